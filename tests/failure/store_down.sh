#!/bin/sh
# The store is down for some seconds: requests go on, unrepeatable ones too.
. "$(dirname "$0")/lib.sh"
start_cluster 3 4
start_load load --rate 300 --concurrency 300 --duration-ms 6000 \
    --unrepeatable 20 --retries 2
sleep 1
store_outage 3000
end_load
for n in $vms; do
	wait_for 20 "owner of every slot at v$n" all_owned "$n"
done
check_history
