#!/bin/sh
# The store takes writes but its replies are lost, while a backend server is
# lost and a leader too.
. "$(dirname "$0")/lib.sh"
start_cluster 4 4
start_load load --rate 200 --concurrency 300 --duration-ms 7000 \
    --unrepeatable 20 --retries 3
sleep 1
store_fault '{"kind": "lose-reply", "calls": 3}'
kill_now b2
sleep 1
leader=$(leader_of feed/0 1)
store_fault '{"kind": "lose-reply", "calls": 3}'
kill_now "$leader"
end_load
for n in $vms; do
	[ "v$n" = "$leader" ] && continue
	wait_for 60 "owner of every slot at v$n" all_owned "$n"
done
check_history
