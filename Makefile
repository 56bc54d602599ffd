PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# Names the Python version and the machine for which compiled packages are installed.
BINARY_INTERFACE := $(shell $(PYTHON) -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))')
STAMP := $(VENV)/.stamp-$(BINARY_INTERFACE)

.DEFAULT_GOAL := setup
.PHONY: setup lock test lint format demo bench fuzz soak deploy-check clean

$(STAMP): pyproject.toml requirements/dev.txt
	@if [ -d $(VENV) ] && [ ! -e $@ ]; then \
		echo "$(VENV) is incomplete or of another kind of machine: making it anew for $(BINARY_INTERFACE)"; \
		rm -rf $(VENV); \
	fi
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements/dev.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

$(VENV): $(STAMP)

setup: $(STAMP)

# Writes the hashes of all pinned packages for every supported machine.
lock:
	$(PYTHON) requirements/lock.py

test: setup
	$(BIN)/python -m tests

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy hopstep emulator
	$(BIN)/lint-imports

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m emulator.demo

bench: setup
	$(BIN)/hopstep-emulator bench

fuzz: setup
	$(BIN)/python -m tests.fuzz

soak: setup
	$(BIN)/hopstep-emulator soak --seed $(shell date +%s) --runs 3

deploy-check: setup
	$(BIN)/python -m tests tests.platform.test_deploy

clean:
	rm -rf $(VENV) build dist *.egg-info .hypothesis .mypy_cache .ruff_cache .import_linter_cache
	find . -name __pycache__ -type d -prune -exec rm -rf {} +
