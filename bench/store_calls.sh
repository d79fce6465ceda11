#!/bin/sh
# usage: store_calls.sh BUILD [VMS [STEADY_S]]
# Counts the calls to the store by kind: in the steady state, after a VM is shut
# down and started again, after a VM is killed and started again, and after an
# availability zone is lost.  Each event is measured for EVENT_S seconds;
# "above" is the number of calls beyond the steady rate.
vm_count=${2:-3}
steady_s=${3:-60}
EVENT_S=15
. "$(dirname "$0")/../tests/failure/lib.sh"

# calls KIND: number of calls of this kind since the store started.
calls() {
	curl -sf "$(store_url)/_calls" |
	    sed "s/.*\"$1\": *\([0-9]*\).*/\1/"
}

mark() {
	get_0=$(calls get) put_0=$(calls put)
	list_0=$(calls list) watch_0=$(calls watch)
	begun_ms=$(now_ms)
}

# since LABEL: prints the calls since the mark and those beyond the steady rate.
since() {
	g=$(($(calls get) - get_0)) p=$(($(calls put) - put_0))
	l=$(($(calls list) - list_0)) w=$(($(calls watch) - watch_0))
	awk -v label="$1" -v vms="$vm_count" -v g="$g" -v p="$p" -v l="$l" \
	    -v w="$w" -v s="$begun_ms" -v e="$(now_ms)" \
	    -v rate="${rate:-0}" 'BEGIN {
		t = (e - s) / 1000
		n = g + p + l + w
		printf "| %d | %s | %.1f | %d | %d | %d | %d | %.2f | %.1f |\n",
		    vms, label, t, g, p, l, w, n / t,
		    rate == 0 ? 0 : n - rate * t
	}'
}

ready() {
	for n in $vms; do
		[ "$n" = "$lost_vm" ] && continue
		wait_for 30 "owner of every slot at v$n" all_owned "$n"
	done
}

lost_vm=
start_cluster "$vm_count" 8
sleep 5
mark
sleep "$steady_s"
total_0=$((get_0 + put_0 + list_0 + watch_0))
total=$(($(calls get) + $(calls put) + $(calls list) + $(calls watch)))
since steady
rate=$(awk -v n="$((total - total_0))" -v s="$begun_ms" -v e="$(now_ms)" \
    'BEGIN { print n * 1000 / (e - s) }')

mark
stop_vm 2
start_vm 2
sleep "$EVENT_S"
ready
since "v2 shut down, started again"

mark
leader=$(leader_of feed/0 3)
kill_now "$leader"
start_vm "${leader#v}"
sleep "$EVENT_S"
ready
since "leader killed, started again"

mark
for n in $vms; do
	[ "$(zone "$n")" = za ] && kill_now "v$n"
done
kill_now b1
kill_now b5
sleep "$EVENT_S"
since "zone lost (VMs and 2 of 8 backend servers)"
