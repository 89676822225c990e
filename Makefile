VENV := .venv
PY := $(VENV)/bin/python
PACKAGES := packages/gooseberryport-core packages/gooseberryport-platform \
            packages/gooseberryport-daemon packages/gooseberryport-gateway packages/gooseberryport-cli standins
SOURCES := packages standins tests platform conftest.py
SEED ?= 1

.PHONY: demo test lint format proof soak gateway-soak bench proto clean

$(VENV)/.ready: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install -q --disable-pip-version-check --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $@

demo: $(VENV)/.ready  ## Start a small deployment, steer requests through failures, check the result.
	$(PY) -m gooseberryport_standins.demo

lint: $(VENV)/.ready  ## Formatter, linter and type checker.
	$(VENV)/bin/black -q --check $(SOURCES)
	$(VENV)/bin/ruff check -q --no-cache $(SOURCES)
	$(VENV)/bin/mypy --no-error-summary $(wildcard packages/*/src standins/src) platform/gooseberryport_site

test: lint  ## Everything that CI runs.
	$(PY) -m pytest

format: $(VENV)/.ready
	$(VENV)/bin/black -q $(SOURCES)
	$(VENV)/bin/ruff check -q --no-cache --fix $(SOURCES)

proof: $(VENV)/.ready  ## Each guard taken out of a copy: its test must fail there.
	$(PY) -m gooseberryport_standins.proof

soak: $(VENV)/.ready  ## Long randomised runs: make soak SEED=7
	$(PY) -m gooseberryport_standins.soak --seed $(SEED)
	$(PY) -m gooseberryport_standins.traffic_soak --seed $(SEED)

gateway-soak: $(VENV)/.ready  ## Random faults against real gateways: make gateway-soak SEED=7
	$(PY) tests/gateway_soak.py --seed $(SEED) --seconds 30

bench: $(VENV)/.ready  ## The figures of docs/CAPACITY.md and docs/design.
	$(PY) -m gooseberryport_standins.bench --seed $(SEED)

proto: $(VENV)/.ready  ## Make the committed protocol code anew.
	cd packages/gooseberryport-daemon/src && PATH=$(CURDIR)/$(VENV)/bin:$$PATH \
	  python -m grpc_tools.protoc -I. \
	  --python_out=. --pyi_out=. --grpclib_python_out=. gooseberryport_daemon/_peer.proto

clean:
	rm -rf $(VENV)
