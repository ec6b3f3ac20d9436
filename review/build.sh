#!/bin/sh
# Builds the stand-ins and the programs of the cases into target/review. Run it
# after the build of the deploy file; it needs no other packages than that.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
packages="libevent jansson libsodium libbsd-overlay"
# shellcheck disable=SC2046
for case in review/[1-5]/case.c review/kept/*/case.c; do
	name=$(dirname "${case#review/}" | tr / -)
	cc -std=gnu11 -O2 -g -Wall -Wextra -I. -Itests \
	    $(pkg-config --cflags $packages) \
	    "$case" review/rig/*.c tests/support/standin.c \
	    -o "$out/case-$name" $(pkg-config --libs $packages)
done
