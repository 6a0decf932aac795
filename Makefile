# `make demo` and `make test` do all the set-up that they need.

VENV := .venv
PYTHON := $(VENV)/bin/python
TEST_JOBS ?= 4
RUN := PYTHONPATH=src:tooling:. $(PYTHON)

.PHONY: demo demo-coopcarga test lint format soak bench bench-long bench-cost capacity regress clean

$(VENV)/ready: pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/ready
	$(RUN) -m gingerturn_demo brolga

demo-coopcarga: $(VENV)/ready
	$(RUN) -m gingerturn_demo coopcarga

# The tests under tests/alone measure processes, so nothing runs beside them.
test: $(VENV)/ready
	$(RUN) -m pytest tests -n $(TEST_JOBS) --dist worksteal --ignore tests/alone
	$(RUN) -m pytest tests/alone

lint: $(VENV)/ready
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy

format: $(VENV)/ready
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

bench: $(VENV)/ready
	$(RUN) -m benchmarks.sites

bench-long: $(VENV)/ready
	$(RUN) -m benchmarks.overload

soak: $(VENV)/ready
	$(RUN) -m gingerturn_soak --runs $(or $(RUNS),10)

bench-cost: $(VENV)/ready
	$(RUN) -m benchmarks.cost

# make regress BENCH=PROGRAM SITES="FILE FILE", the sites in the order of their weight
regress: $(VENV)/ready
	$(RUN) -m benchmarks.regress --bench $(BENCH) $(SITES)

capacity: $(VENV)/ready
	$(RUN) -m benchmarks.capacity

clean:
	rm -rf $(VENV) out .pytest_cache .mypy_cache .ruff_cache .hypothesis
