VENV := .venv
PYTHON := $(VENV)/bin/python
READY := $(VENV)/.ready
PACKAGES := packages/damasktide packages/damasktidectl packages/damasktide-standins platform
SOURCES := packages platform tooling
SEEDS ?= 1-3
SECONDS ?= 15
LOAD ?=

.PHONY: demo test lint format types setup clean fault-matrix measure soak load

setup: $(READY)

$(READY): tooling/requirements.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --require-hashes -r tooling/requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $(READY)

demo: $(READY)
	$(PYTHON) -m damasktide_standins.demo

test: $(READY)
	$(PYTHON) tooling/run_tests.py

fault-matrix: $(READY)
	$(PYTHON) -m damasktide_standins.ownership_world.matrix
	$(PYTHON) -m damasktide_standins.process_faults

soak: $(READY)
	$(PYTHON) -m damasktide_platform_emulator.soak --seeds $(SEEDS) --seconds $(SECONDS)

load: $(READY)
	$(PYTHON) -m damasktide_platform_emulator.load $(LOAD)

measure: $(READY)
	$(PYTHON) -m damasktide_standins.measure --output build/measure

format: $(READY)
	$(VENV)/bin/ruff format $(SOURCES)
	$(VENV)/bin/ruff check --fix $(SOURCES)

lint: $(READY)
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)

types: $(READY)
	$(VENV)/bin/mypy $(SOURCES)

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache
