#!/bin/sh
# A backend server is killed under load: its keys are served again, and the
# history breaks no promise.
. "$(dirname "$0")/lib.sh"
start_cluster 3 4
start_load load --rate 300 --concurrency 200 --duration-ms 4000 \
    --unrepeatable 20 --retries 2
sleep 1
kill_now b2
end_load
for n in $vms; do
	wait_for 20 "owner of every slot at v$n" all_owned "$n"
done
check_history
