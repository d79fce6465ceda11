#!/bin/sh
# The leader's VM is lost while the store is down.
. "$(dirname "$0")/lib.sh"
start_cluster 4 4
leader=$(leader_of feed/0 1)
start_load load --rate 300 --concurrency 300 --duration-ms 8000 \
    --unrepeatable 20 --retries 3
sleep 1
store_outage 4000
sleep 1
kill_now "$leader"
end_load
served_again 60 "$leader"
check_history
