#!/bin/sh
# The deputy's VM is killed under load; the leader appoints another.
. "$(dirname "$0")/lib.sh"
start_cluster 4 4
start_load load --rate 300 --concurrency 300 --duration-ms 5000 \
    --unrepeatable 20 --retries 3
sleep 1
deputy=$(deputy_of feed/0 1)
kill_now "$deputy"
end_load
for n in $vms; do
	[ "v$n" = "$deputy" ] && continue
	wait_for 30 "owner of every slot at v$n" all_owned "$n"
	wait_for 30 "another deputy" deputy_is_not feed/0 "$n" "$deputy"
done
check_history
