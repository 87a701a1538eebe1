# Every target sets up .venv from requirements.lock first, or keeps it if it is whole;
# VENV points elsewhere if set.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
WORKERS ?= 6

.PHONY: environment demo test lint format typecheck check faults

# The prefix has no files: no bytecode that an earlier version left is read.
environment:
	python3 -B -X pycache_prefix=target/unused -m ebonyrack.building.environment $(VENV)

demo: environment
	PYTHON=$(PYTHON) bash demo/run.sh

test: environment
	$(PYTHON) -m pytest -n $(WORKERS)

lint: environment
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

format: environment
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

typecheck: environment
	$(PYTHON) -m mypy

check: lint typecheck test

# Writes docs/FAULTS.md from a run of the fault matrices of callers and of routes.
faults: environment
	rm -f build/faults.txt && mkdir -p build
	EBONYRACK_FAULT_TABLE=$(CURDIR)/build/faults.txt \
	  $(PYTHON) -m pytest -n $(WORKERS) ebonyrack/callers/fault_matrix_test.py \
	  ebonyrack/entry/fault_matrix_test.py
	cat docs/faults_header.md > docs/FAULTS.md
	sort -u build/faults.txt >> docs/FAULTS.md
