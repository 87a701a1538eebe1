#!/usr/bin/env bash
# Builds the stand-ins of the cases: they need the standard library only, so this
# compiles them in memory to show that they can be read.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
