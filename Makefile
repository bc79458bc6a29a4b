# The two commands to know are `make demo` and `make test`; both install what the machine lacks and build first.
BUILD ?= build
JOBS ?= $(shell nproc)

SEEDS ?= 50
FROM ?= 1
MINUTES ?= 0

.PHONY: setup build demo test test-console golden sanitize format lint bench soak

setup:
	@scripts/setup

build: setup
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@$(BUILD)/chicory-demo

test: build
	@scripts/run-tests $(BUILD)

test-console: build
	@scripts/test-console $(BUILD)

golden: build
	@CHICORY_GOLDEN=write $(BUILD)/chicory-tests --filter 'scenarios/*'

sanitize: setup
	@scripts/sanitize

format:
	@scripts/format fix

lint: build
	@scripts/format check
	@scripts/lint $(BUILD)

# Faults against real processes; make soak SEEDS=50 FROM=1 MINUTES=0 SOAK='--former=PATH --noformer_first --returns'
soak: build
	@$(BUILD)/chicory-soak --router=$(BUILD)/chicoryrouterd --from=$(FROM) --seeds=$(SEEDS) --minutes=$(MINUTES) $(SOAK)

bench: build
	@for name in routing streams plain firsttoken moves slopes hundred; do $(BUILD)/chicory-bench $$name; done
