#!/bin/sh
# Builds the stand-ins of review/11 to review/15 under target/, after the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make BUILD=target -j8 target/standin/wire
mkdir -p target/review-3
for p in store upstream client relay judge; do
	# shellcheck disable=SC2046
	cc -O1 -g -Wall -Wextra -pthread -o "target/review-3/$p" \
	    "review/standin-3/$p.c" $(pkg-config --cflags --libs json-c)
done
