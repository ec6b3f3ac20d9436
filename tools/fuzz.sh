#!/bin/sh
# Builds the fuzz targets with clang's libFuzzer, ASan and UBSan and runs each.
# New inputs are written to the build directory, none to tests/fuzz/corpus/.
# usage: tools/fuzz.sh [seconds-per-target]
set -eu
cd "$(dirname "$0")/.."
seconds=${1:-60}
build=build-fuzz

cmake -S . -B $build -DCMAKE_C_COMPILER=clang -DBERYLRAIL_LIBFUZZER=ON \
    -DBERYLRAIL_SANITIZE=ON -DCMAKE_C_FLAGS=-fsanitize=fuzzer-no-link >/dev/null
for source in tests/fuzz/fuzz_*.c; do
	name=$(basename "$source" .c)
	cmake --build $build -j 4 --target "$name"
	mkdir -p "$build/found/$name"
	"$build/tests/$name" -max_total_time="$seconds" -seed=1 \
	    -print_final_stats=1 -artifact_prefix="$build/found/" \
	    "$build/found/$name" "tests/fuzz/corpus/$name"
done
