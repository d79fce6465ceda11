#!/bin/sh
# A backend server is lost while the store is down.
. "$(dirname "$0")/lib.sh"
start_cluster 3 4
start_load load --rate 300 --concurrency 300 --duration-ms 7000 \
    --unrepeatable 20 --retries 2
sleep 1
store_outage 4000
sleep 1
kill_now b2
end_load
for n in $vms; do
	wait_for 30 "owner of every slot at v$n" all_owned "$n"
done
check_history
