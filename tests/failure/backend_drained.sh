#!/bin/sh
# A backend server is drained under load: its slots move to other backend
# servers before it stops receiving requests, and no request is refused.
. "$(dirname "$0")/lib.sh"
start_cluster 3 4
start_load load --rate 300 --concurrency 300 --duration-ms 7000 \
    --unrepeatable 20 --retries 2
sleep 1
ctl drain b2 >/dev/null || fail "drain"
event drain ',"backend":"b2"'
event accept ',"revision":2'
end_load
for n in $vms; do
	wait_for 20 "owner of every slot at v$n" all_owned "$n"
done
check_history
