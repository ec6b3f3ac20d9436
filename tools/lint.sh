#!/bin/sh
# Fails on a formatting difference or a linter warning.
# usage: tools/lint.sh [build-dir] (needs its compile_commands.json)
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
