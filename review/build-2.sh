#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for f in review/standin-2/*.c; do
	# shellcheck disable=SC2046
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -I. -Iinclude \
	    $(pkg-config --cflags glib-2.0 json-c libmicrohttpd) \
	    -o "target/review-2/$(basename "$f" .c)" "$f" \
	    target/libdogwoodhub-all.a \
	    $(pkg-config --libs glib-2.0 json-c libmicrohttpd) -pthread
done
