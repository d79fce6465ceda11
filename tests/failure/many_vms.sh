#!/bin/sh
# With more VMs than the 16 that may all connect to each other, configuration
# and tables arrive over the relay tree, leader and deputy keep a direct link,
# and the group recovers from the loss of a leader.
. "$(dirname "$0")/lib.sh"
start_cluster 20 4
leader=$(leader_of feed/0 1)
start_load load --rate 200 --concurrency 300 --duration-ms 5000 \
    --unrepeatable 20 --retries 3
sleep 1
kill_now "$leader"
end_load
served_again 30 "$leader"
for n in $vms; do
	[ "v$n" = "$leader" ] && continue
	wait_for 30 "another leader at v$n" leader_is_not feed/0 "$n" "$leader"
done
check_history
