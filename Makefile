# Every target makes its own virtual environment from hashed requirements.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test lint format demo build proofs check-long bench-control \
	bench-routing bench-path bench-capacity bench-storage bench-recovery \
	bench-partition bench-quotas bench-limits bench-overload bench-uneven bench-readers \
	bench-streams bench-slots soak \
	experiment clean

$(STAMP): requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check --require-hashes \
		-r requirements/dev.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $@

test: $(STAMP)
	$(BIN)/python -m testing.known_red

lint: $(STAMP)
	$(BIN)/ruff format --check src testing bench
	$(BIN)/ruff check src testing bench
	$(BIN)/mypy src/ridgesill

format: $(STAMP)
	$(BIN)/ruff format src testing bench
	$(BIN)/ruff check --fix src testing bench

demo: $(STAMP)
	$(BIN)/python -m bench.demo

check-long: $(STAMP)
	$(BIN)/python -m pytest -m long -o addopts="" -q

proofs: $(STAMP)
	$(BIN)/python -m bench.proofs

$(VENV)/.experiment: requirements/experiment.txt $(STAMP)
	$(BIN)/pip install -q --disable-pip-version-check --require-hashes \
		-r requirements/experiment.txt
	touch $@

# Plays an experiment; its tables are printed, its plots are in build/.
PLAN ?= bench/experiments/long-prompts.toml
experiment: $(VENV)/.experiment
	$(BIN)/ridgesill experiment $(PLAN) build/experiment

# How many seeds; for more options see `python -m testing.soak --help`.
SEEDS ?= 50
soak: $(STAMP)
	$(BIN)/python -m testing.soak --seeds $(SEEDS)

bench-control bench-routing bench-path bench-capacity bench-storage bench-quotas \
bench-limits bench-overload bench-uneven bench-readers bench-streams bench-slots \
bench-partition bench-recovery: $(STAMP)
	$(BIN)/python -m bench.$(subst bench-,,$@)

build: $(STAMP)
	$(BIN)/python -m bench.build

clean:
	rm -rf $(VENV) build dist
