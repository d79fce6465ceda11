#!/bin/sh
# The VM that leads the group is killed under load; then its successor
# is killed.
. "$(dirname "$0")/lib.sh"
start_cluster 4 4
start_load load --rate 300 --concurrency 300 --duration-ms 6000 \
    --unrepeatable 20 --retries 3
sleep 1
first=$(leader_of feed/0 1)
kill_now "$first"
sleep 2
for n in $vms; do
	[ "v$n" = "$first" ] || break
done
second=$(leader_of feed/0 "$n")
[ "$second" != "$first" ] || fail "no successor to $first"
kill_now "$second"
end_load
served_again 30 "$first" "$second"
check_history
