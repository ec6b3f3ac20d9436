# Wrapper for CMake. All targets that build install missing packages first.
BUILD = build
ASAN = build-asan
TAMPERED = build-tampered
JOBS = $(shell nproc)
SEED = 1
SECONDS = 60

.PHONY: all deps build asan demo check check-asan bench lint format clean \
	torture torture-tampered fuzz

all: build

deps:
	sh tools/install-deps.sh

build: deps
	cmake -S . -B $(BUILD) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

asan: deps
	cmake -S . -B $(ASAN) -DBERYLRAIL_SANITIZE=ON \
	    -DCMAKE_BUILD_TYPE=Debug >/dev/null
	cmake --build $(ASAN) -j $(JOBS)

demo: build
	sh tools/demo.sh $(BUILD)

check: build
	sh tools/check.sh $(BUILD)

check-asan: asan
	sh tools/check.sh $(ASAN)

# Randomised run under faults: make torture SEED=n SECONDS=n
torture: build
	BERYLRAIL_BIN_DIR=$(BUILD) $(BUILD)/berylrail-torture --seed $(SEED) \
	    --seconds $(SECONDS)

# Without the claim check, the same run must report a task started twice.
torture-tampered: deps
	cmake -S . -B $(TAMPERED) -DBERYLRAIL_TAMPER_CLAIMS=ON >/dev/null
	cmake --build $(TAMPERED) -j $(JOBS)
	BERYLRAIL_BIN_DIR=$(TAMPERED) $(TAMPERED)/berylrail-torture \
	    --seed $(SEED) --seconds 15 2>&1 | \
	    grep -m 3 'started more than once'

# Runs each fuzz target for SECONDS with libFuzzer.
fuzz: deps
	sh tools/fuzz.sh $(SECONDS)

# Prints the table of both measures (docs/MEASURES.md) within 5 min. BENCH_ARGS
# selects a part of it.
bench: build
	$(BUILD)/berylrail-bench $(BENCH_ARGS)

lint: build
	sh tools/lint.sh $(BUILD)

format:
	git ls-files '*.c' '*.h' | grep -v pb-c | xargs clang-format -i

clean:
	rm -rf $(BUILD) $(ASAN) $(TAMPERED) build-fuzz
