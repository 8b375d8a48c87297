PYTHON ?= python3
CACHE ?= $(or $(XDG_CACHE_HOME),$(HOME)/.cache)/peridothitch
LOCK := $(firstword $(shell cat requirements.lock requirements-dev.lock | sha256sum))
VENV ?= $(CACHE)/venv-$(LOCK)
RUN := PYTHONPATH=src $(VENV)/bin/python

.PHONY: run platform test check format build docs mutants venv

venv: $(VENV)/.done

$(VENV)/.done: requirements.lock requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --require-hashes -r requirements-dev.lock
	touch $@

run: venv
	$(RUN) -m peridothitch run

platform: venv
	$(RUN) -m peridothitch standin platform

test: venv
	$(RUN) tools/run_tests.py

check: venv
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	PYTHONPATH=src $(VENV)/bin/lint-imports --no-cache
	$(RUN) tools/check_source.py
	$(RUN) tools/check_docs.py
	$(RUN) tools/write_docs.py --check

format: venv
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
	$(RUN) tools/write_docs.py

build: venv
	$(RUN) tools/build_binary.py

mutants: venv
	$(RUN) tools/mutants.py

docs: venv
	$(RUN) tools/write_docs.py
