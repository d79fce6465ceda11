#!/bin/sh
# usage: close_cost.sh BUILD
# Measures the cost of closing request ids: sends unrepeatable requests at
# twice the capacity of the backend servers and prints the processor time of
# each VM and the number of requests by outcome.
. "$(dirname "$0")/../tests/failure/lib.sh"
backend_options="--service-ms 40"
deadline_ms=1000 queue_ms=500
start_cluster 3 2

# cpu_ms VM: processor time that the VM's process has used.
cpu_ms() {
	awk -v hz="$(getconf CLK_TCK)" '{ print int(($14 + $15) * 1000 / hz) }' \
	    "/proc/$(pid_of "v$1")/stat"
}

# frames VM: number of permit messages that the VM has sent to other VMs.
frames() {
	curl -sf "$(admin_url "$1")/counters" |
	    awk '/^dh_permit_sent_total/ { n += $NF } END { print n + 0 }'
}

leader=$(leader_of feed/0 1)
deputy=$(deputy_of feed/0 1)
for n in $vms; do
	eval "cpu_$n=$(cpu_ms "$n") frames_$n=$(frames "$n")"
done
start_load load --rate "${RATE:-600}" --concurrency 4000 --duration-ms 8000 \
    --unrepeatable 100
end_load
for n in $vms; do
	role=router
	[ "v$n" = "$leader" ] && role=leader
	[ "v$n" = "$deputy" ] && role=deputy
	eval "cpu=\$(($(cpu_ms "$n") - cpu_$n))"
	eval "sent=\$(($(frames "$n") - frames_$n))"
	echo "v$n $role: $cpu ms of processor time, $sent messages about permits sent"
	curl -sf "$(admin_url "$n")/counters" |
	    grep -E '^dh_permit_(closes|confirms)_total' || :
done
grep -ao '"outcome":"[a-z-]*","status":[0-9]*' "$dir/load.hist" | sort | uniq -c
check_history
