#!/bin/sh
# usage: run_tests.sh BUILD TEST...
# Run each test program.  A failure passes only if KNOWN-RED.txt has the
# program's name at the start of a line and each failed test's name in quotes in
# such a line, and is then printed.
build=$1
shift
passed=0 failed=0 known=0

failed_tests() {
	awk '/^  Test: / { name = $0; sub(/^  Test: /, "", name)
		sub(/ \.\.\..*/, "", name) }
	    /FAILED$/ { print name }' "$1"
}

# Whether all failed tests of program $1 with log $2 are known, and any failed.
is_known() {
	failed_tests "$2" | grep -q . || return 1
	! failed_tests "$2" | while read -r name; do
		grep "^$1:" KNOWN-RED.txt | grep -qF "\"$name\"" || echo "$name"
	done | grep -q .
}

mkdir -p "$build/log"
for t in "$@"; do
	n=$(basename "$t")
	if timeout 300 "$t" >"$build/log/$n.log" 2>&1; then
		passed=$((passed + 1))
	elif is_known "$n" "$build/log/$n.log"; then
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
