#!/bin/sh
# The leader's process is stopped until the leases it granted have
# expired, then resumed.
. "$(dirname "$0")/lib.sh"
start_cluster 4 4
start_load load --rate 300 --concurrency 400 --duration-ms 7000 \
    --unrepeatable 20 --retries 3 --timeout-ms 4000
sleep 1
leader=$(leader_of feed/0 1)
freeze "$leader"
sleep 3
thaw "$leader"
end_load
served_again 30
check_history
