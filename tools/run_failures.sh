#!/bin/sh
# usage: run_failures.sh BUILD
# Run every failure scenario in tests/failure over the real programs, a few at
# a time.  A failure passes only if KNOWN-RED.txt has its name at the start of
# a line, and is then printed.
build=$1
log=$build/log
mkdir -p "$log"

if [ "${2:-}" ]; then
	# One scenario, for xargs below.
	n=$(basename "$2" .sh)
	timeout 180 sh "$2" "$build" >"$log/$n.log" 2>&1
	echo "$?" >"$log/$n.status"
	exit 0
fi

rm -f "$log"/*.status
find tests/failure -name '*.sh' ! -name '*lib.sh' | sort |
    xargs -P "${FAILURE_JOBS:-3}" -I{} sh "$0" "$build" {}

passed=0 failed=0 known=0
for s in "$log"/*.status; do
	n=$(basename "$s" .status)
	if [ "$(cat "$s")" -eq 0 ]; then
		passed=$((passed + 1))
	elif grep -q "^$n:" KNOWN-RED.txt 2>/dev/null; then
		known=$((known + 1))
		echo "known red: $(grep "^$n:" KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAILED: $n"
		tail -n 60 "$log/$n.log"
	fi
done
echo "failure scenarios known red: $known"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
