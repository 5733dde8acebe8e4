# Every target makes the virtual environment itself when it is missing.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
READY := $(VENV)/.ready
DEPLOYMENT ?= mill

.PHONY: demo test lint format bench bench-decisions policies slopes fuzz soak docs lock generate

$(READY): requirements/develop.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements/develop.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --config-settings editable_mode=compat --editable .
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m worksrail.bench.demo --deployment=$(DEPLOYMENT)

# Real processes come alone and last: they need the processors.
test: $(READY)
	$(BIN)/python -m pytest --ignore=tests/processes
	$(BIN)/python -m pytest tests/processes -n 0

lint: $(READY)
	$(BIN)/ruff format --check worksrail tests
	$(BIN)/ruff check worksrail tests
	$(BIN)/flake8 worksrail
	$(BIN)/mypy worksrail

format: $(READY)
	$(BIN)/ruff check --fix worksrail tests
	$(BIN)/ruff format worksrail tests

bench: $(READY)
	$(BIN)/python -m worksrail.bench.load

bench-decisions: $(READY)
	$(BIN)/python -m worksrail.bench.decisions

policies: $(READY)
	$(BIN)/python -m tests.steering.policies
	$(BIN)/python -m tests.steering.crash_policies
	$(BIN)/python -m tests.steering.limit_policies

slopes: $(READY)
	$(BIN)/python -m worksrail.bench.slopes every

fuzz: $(READY)
	$(BIN)/python -m pytest tests/fuzz --hypothesis-profile=fuzz

# Fresh seeds; SEEDS and SECONDS say how many and for how long each.
SEEDS ?= 10
DURATION ?= 20
soak: $(READY)
	$(BIN)/python -m tests.soak --seeds=$(SEEDS) --seconds=$(DURATION)
	$(BIN)/python -m tests.soak --seeds=$(SEEDS) --seconds=$(DURATION) --rejecting=5

docs: $(READY)
	$(BIN)/python -m worksrail.cli.pages docs

# Needs uv; writes the files of exact versions and hashes.
lock:
	cd requirements && for name in runtime develop generate; do \
	  uv pip compile --quiet --generate-hashes --no-header \
	    --python-version 3.11 $$name.in -o $$name.txt; done

# Needs the packages of requirements/generate.txt; what it writes is committed.
generate:
	$(PYTHON) -m grpc_tools.protoc --proto_path=. --python_out=. \
	  --pyi_out=. --grpclib_python_out=. worksrail/peer/peer.proto
