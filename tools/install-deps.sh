#!/bin/sh
# Installs the Debian packages that the build and the tests need.
set -eu
PACKAGES="gcc make cmake pkg-config libevent-dev libevhtp-dev libargtable2-dev
liblog4c-dev libcriterion-dev libprotobuf-c-dev protobuf-c-compiler
libjansson-dev libsodium-dev libbsd-dev clang clang-format clang-tidy curl"

missing=""
for package in $PACKAGES; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
	    grep -q 'ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0

sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q \
    --no-install-recommends $missing
