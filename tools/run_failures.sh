#!/bin/sh
# usage: run_failures.sh BUILD
# Run every failure scenario in tests/failure over the real programs.
build=$1
passed=0 failed=0 known=0
mkdir -p "$build/log"
for t in tests/failure/*.sh; do
	[ -e "$t" ] || continue
	n=$(basename "$t" .sh)
	case $n in lib) continue ;; esac
	if timeout 120 sh "$t" "$build" >"$build/log/$n.log" 2>&1; then
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
echo "failure scenarios known red: $known"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
