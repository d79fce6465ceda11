#!/bin/sh
# Two operators drain and undrain different backend servers of one team at the
# same time, over and over, while watches are stale: no accepted edit is lost,
# and every VM ends up at the last revision.
. "$(dirname "$0")/lib.sh"
start_cluster 3 4
store_fault '{"kind": "stale-watch", "for_ms": 2000}'
event fault ',"kind":"store","on":true'
edit() {
	j=0
	while [ "$j" -lt 5 ]; do
		ctl drain "$1" >/dev/null && ctl undrain "$1" >/dev/null ||
		    exit 1
		j=$((j + 1))
	done
	ctl drain "$1" >/dev/null || exit 1
}
edit b1 &
first=$!
edit b3 &
second=$!
wait "$first" || fail "first operator"
wait "$second" || fail "second operator"
event accept ',"revision":23'
event fault ',"kind":"store","on":false'
ctl get t >"$dir/t.json"
[ "$(grep -o '"drain": *true' "$dir/t.json" | wc -l)" -eq 2 ] ||
    fail "an edit was lost: $(cat "$dir/t.json")"
for n in $vms; do
	wait_for 60 "revision 23 at v$n" in_force "$n" 23
done
check_history
