#!/bin/sh
# usage: run_fuzz.sh [RUNS]
# Build every fuzz/fuzz_*.c with libFuzzer and the address and undefined
# behaviour sanitizers, and run each a fixed number of cases from a fixed
# seed.  A folder fuzz/corpus/NAME, where there is one, gives first inputs.
set -eu
runs=${1:-20000}
build=build-fuzz
rm -rf "$build/obj"
mkdir -p "$build/obj"
flags="-std=gnu11 -O1 -g -D_GNU_SOURCE -I. -Iinclude -DXXH_INLINE_ALL
$(pkg-config --cflags glib-2.0 json-c)
-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined"
libs="-lhttp_parser -lmicrohttpd -lcurl -ljson-c -lmsgpackc -lcsv -llog4c -lck
-luv -lglib-2.0 -lm -pthread"

# Objects are named by their path: two folders may have a file of one name.
flags=$(echo "$flags" | tr '\n' ' ')
export flags build
find base core proto store backend config platform gateway fuzz -name '*.c' |
    xargs -P "$(nproc)" -I{} sh -c \
	'clang $flags -c -o "$build/obj/$(echo "{}" | tr / _).o" "{}"'
failed=0
for target in fuzz/fuzz_*.c; do
	name=$(basename "$target" .c)
	others=$(find "$build/obj" -name '*.o' ! -name 'fuzz_*')
	# shellcheck disable=SC2086
	clang -fsanitize=fuzzer,address,undefined -o "$build/$name" \
	    "$build/obj/fuzz_$name.c.o" $others $libs
	corpus=
	[ ! -d "fuzz/corpus/$name" ] || corpus=fuzz/corpus/$name
	mkdir -p "$build/found-$name"
	# New inputs go to the first folder, so that the corpus stays as is.
	# shellcheck disable=SC2086
	if ! "$build/$name" -runs="$runs" -seed=1 -max_len=4096 \
	    -rss_limit_mb=512 -artifact_prefix="$build/$name-" \
	    "$build/found-$name" $corpus >"$build/$name.log" 2>&1; then
		failed=1
		echo "FAILED: $name"
		tail -n 40 "$build/$name.log"
	else
		echo "$name: $(tail -n 1 "$build/$name.log")"
	fi
	rm -rf "$build/found-$name"
done
exit "$failed"
