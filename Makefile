# The commands of README. Everything runs in a virtual environment that the first one makes.

VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
PEER := src/cherrylane/peer

.PHONY: run smoke test bench soak generate format check unit

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

# Starts a fleet on this machine: platform, engines, a plain service and three daemons.
run: $(STAMP)
	$(PYTHON) -m standins.launcher

# Sends requests through the fleet that `make run` started.
smoke: $(STAMP)
	$(PYTHON) -m standins.smoke

test: check unit

# Formatter, linter and types.
check: $(STAMP)
	$(VENV)/bin/black --check --quiet src standins bench soak tests examples || (echo "run: make format"; exit 1)
	$(VENV)/bin/ruff check --quiet src standins bench soak tests examples
	$(VENV)/bin/mypy

unit: $(STAMP)
	$(PYTHON) -m tests.run

# `make bench ONLY=name` runs one of the benchmarks.
bench: $(STAMP)
	$(PYTHON) -m bench.run $(if $(ONLY),--only $(ONLY))

# `make soak SEED=7` plays one seed again; `make soak SEEDS=50 SEED=100` plays a row of them, and
# `make soak SEEDS=10 FRESH=1` others than ever before.
soak: $(STAMP)
	$(PYTHON) -m soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),1) $(if $(FRESH),--fresh)

format: $(STAMP)
	$(VENV)/bin/ruff check --quiet --fix src standins bench soak tests examples
	$(VENV)/bin/black --quiet src standins bench soak tests examples

# Makes the committed code of the protocol between daemons from its definition.
generate: $(STAMP)
	$(PYTHON) -m grpc_tools.protoc -Isrc --python_out=src --grpc_python_out=src --pyi_out=src \
		$(PEER)/peer.proto
