#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
cflags="-std=gnu11 -O2 -g -pthread -Wall -Wextra -D_GNU_SOURCE"
cflags="$cflags $(pkg-config --cflags json-c libmicrohttpd)"
libs="$(pkg-config --libs json-c libmicrohttpd)"

# program NAME FILE...: links a stand-in from files of standin/.
program() {
	out=bin/$1
	shift
	# shellcheck disable=SC2086
	(cd standin && ${CC:-cc} $cflags -o "../$out" "$@" site.c $libs)
}

program route route.c
program foreign foreign.c keyed_common.c
program drill drill.c keyed_common.c
program extra extra.c keyed_common.c
program poison poison.c
