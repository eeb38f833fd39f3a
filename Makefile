# Every target sets up its own virtual environment with pinned and hashed packages.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: demo test lint bench model fuzz binary clean

$(VENV)/.installed: requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements-dev.txt
	touch $@

demo: $(VENV)/.installed
	$(RUN) -m damasklead demo

test: $(VENV)/.installed
	$(RUN) -m pytest

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

bench: $(VENV)/.installed
	$(RUN) -m bench.policy
	$(RUN) -m bench.datapath
	$(RUN) -m bench.store
	$(RUN) -m bench.slopes

model: $(VENV)/.installed
	$(RUN) -m models

clean:
	rm -rf $(VENV) build dist

fuzz: $(VENV)/.installed
	FUZZ_EXAMPLES=3000 FUZZ_STEPS=100 $(RUN) -m pytest tests/test_fuzz.py --hypothesis-show-statistics
