#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the disruption.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$folder/.." exec python3 "$folder/case.py"
