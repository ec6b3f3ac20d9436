# Thin front to CMake. `make demo` and `make check` install what is missing.
BUILD = build
ASAN = build-asan
JOBS = $(shell nproc)

.PHONY: all deps build asan demo check check-asan lint format clean

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
	ctest --no-tests=error --test-dir $(BUILD) --output-on-failure -j 4

check-asan: asan
	ctest --no-tests=error --test-dir $(ASAN) --output-on-failure -j 4

lint: build
	sh tools/lint.sh $(BUILD)

format:
	git ls-files '*.c' '*.h' | grep -v pb-c | xargs clang-format -i

clean:
	rm -rf $(BUILD) $(ASAN)
