#!/bin/sh
# Install what the build and the tests need, once a machine.
set -eu
pkgs="gcc make clang clang-format clang-tidy pkg-config curl spin
libck-dev libmsgpack-dev libmicrohttpd-dev libcurl4-openssl-dev liblog4c-dev
libglib2.0-dev libcunit1-dev libjson-c-dev libcsv-dev libxxhash-dev
libclang-rt-14-dev libuv1-dev libhttp-parser-dev"
missing=
for p in $pkgs; do
	dpkg -s "$p" 2>/dev/null | grep -q '^Status: install ok' ||
	    missing="$missing $p"
done
[ -z "$missing" ] && exit 0
run=
[ "$(id -u)" = 0 ] || run=sudo
$run apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $run apt-get install -y -qq $missing >/dev/null
