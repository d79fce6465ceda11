#!/bin/sh
# usage: run_tests.sh BUILD TEST...
# Run each test program; a failure passes only if KNOWN-RED.txt has its name
# at the start of a line, and is then printed.
build=$1
shift
passed=0 failed=0 known=0
mkdir -p "$build/log"
for t in "$@"; do
	n=$(basename "$t")
	if timeout 300 "$t" >"$build/log/$n.log" 2>&1; then
		passed=$((passed + 1))
	elif grep -q "^$n:" KNOWN-RED.txt 2>/dev/null; then
		known=$((known + 1))
		echo "known red: $(grep "^$n:" KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAILED: $n"
		tail -n 60 "$build/log/$n.log"
	fi
done
echo "known red: $known"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
