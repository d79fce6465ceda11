#!/bin/sh
# usage: close_cost.sh BUILD
# What closing ids costs: unrepeatable requests at twice what the backend
# servers can do, and processor time of the VMs, by request and by refusal.
. "$(dirname "$0")/../tests/failure/lib.sh"
backend_options="--service-ms 40"
deadline_ms=1000 queue_ms=500
start_cluster 3 2

# cpu_ms VM: processor time so far.
cpu_ms() {
	awk -v hz="$(getconf CLK_TCK)" '{ print int(($14 + $15) * 1000 / hz) }' \
	    "/proc/$(pid_of "v$1")/stat"
}

# frames VM: messages about permits sent to other VMs so far.
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
