PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: site changelog docs traces install test demo format check model capacity bench clean

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --quiet --no-deps --editable .
	touch $(STAMP)

install: $(STAMP)

test: install
	$(BIN)/python -W error::DeprecationWarning:wasabiwick tools/known_red.py

demo: install
	$(BIN)/wasabiwick demo

format: install
	$(BIN)/black --quiet src tests
	$(BIN)/ruff check --quiet --fix src tests

check: install
	$(BIN)/black --check --quiet src tests
	$(BIN)/ruff check src tests

model: install
	$(BIN)/wasabiwick model

capacity: install
	$(BIN)/python -m wasabiwick._capacity docs/CAPACITY.md

clean:
	rm -rf $(VENV) build

traces: install
	$(BIN)/python -m tests._scripts

docs: install
	$(BIN)/python -m wasabiwick._reference docs

changelog: install
	$(BIN)/python tools/changelog.py

site: install
	$(BIN)/wasabiwick site
