VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
CODE := src tests bench platform
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)/platform

.PHONY: setup demo test lint bench lock format

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(PY) || python3.11 -m venv $(VENV)
	$(PY) -m pip install --quiet --require-hashes -r requirements.lock
	$(PY) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m snipebend.console.application demo

test: $(STAMP)
	$(PY) -m tests

lint: $(STAMP)
	$(VENV)/bin/ruff format --check $(CODE)
	$(VENV)/bin/flake8 $(CODE)
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

format: $(STAMP)
	$(VENV)/bin/ruff format $(CODE)

bench: $(STAMP)
	$(PY) -m bench

lock: $(STAMP)
	$(VENV)/bin/pip-compile --quiet --extra dev --generate-hashes --allow-unsafe \
	  --strip-extras --no-header --no-annotate --no-emit-index-url \
	  --no-emit-find-links --no-emit-trusted-host \
	  --output-file requirements.lock pyproject.toml
