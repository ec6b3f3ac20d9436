#!/bin/sh
# Checks the format with clang-format and the code with clang-tidy. Fails on a
# difference or a warning.
# usage: tools/lint.sh [build-dir] (requires compile_commands.json in it)
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}

git ls-files '*.c' '*.h' | grep -v 'pb-c' |
    xargs clang-format --dry-run --Werror
echo "format: clean"
git ls-files 'core/*.c' 'adapters/*.c' 'entry/*.c' 'platform/*.c' 'client/*.c' 'programs/*.c' \
    'tools/*.c' |
    xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: clean"
