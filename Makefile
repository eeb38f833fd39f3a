# Every target sets up a virtual environment with pinned and hashed packages.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: demo test lint bench model fuzz soak binary clean

$(VENV)/.installed: requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements-dev.txt
	touch $@

demo: $(VENV)/.installed
	$(RUN) -m damasklead demo

# Processes that run the files of tests beside each other; 0 for this one alone.
JOBS ?= 0
test: $(VENV)/.installed
	$(RUN) -m pytest --numprocesses=$(JOBS) --dist=loadfile

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

bench: $(VENV)/.installed
	$(RUN) -m bench.policy
	$(RUN) -m bench.datapath
	$(RUN) -m bench.gatewaypath
	$(RUN) -m bench.processes
	$(RUN) -m bench.store
	$(RUN) -m bench.slopes
	$(RUN) -m bench.coordination

# One seed, or several: make soak SEED=7 SEEDS=50.
SEED ?= 1
SEEDS ?= 1
soak: $(VENV)/.installed
	$(RUN) -m soak --seed $(SEED) --seeds $(SEEDS)

model: $(VENV)/.installed
	$(RUN) -m models

BUILD := .venv-binary
$(BUILD)/.installed: requirements-binary.txt
	$(PYTHON) -m venv $(BUILD)
	$(BUILD)/bin/python -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements-binary.txt
	touch $@

# Needs a C compiler and patchelf; takes some minutes.  See docs/BINARY.md.
binary: $(BUILD)/.installed
	$(BUILD)/bin/python -m nuitka --onefile --python-flag=-m \
		--onefile-tempdir-spec='{CACHE_DIR}/damasklead/{VERSION}' \
		--product-version=0.1.0 --file-version=0.1.0 \
		--include-package=damasklead --include-package-data=damasklead \
		--nofollow-import-to=gevent.tests --nofollow-import-to=gevent.testing \
		--nofollow-import-to=tkinter --nofollow-import-to=unittest \
		--nofollow-import-to=setuptools --lto=no \
		--output-dir=build --output-filename=damasklead damasklead
	mkdir -p dist
	cp build/damasklead dist/damasklead

clean:
	rm -rf $(VENV) $(BUILD) build dist

fuzz: $(VENV)/.installed
	FUZZ_EXAMPLES=3000 FUZZ_STEPS=100 $(RUN) -m pytest tests/test_fuzz.py --hypothesis-show-statistics
