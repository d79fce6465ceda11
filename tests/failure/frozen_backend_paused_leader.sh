#!/bin/sh
# A backend server freezes while the leader's VM is paused; both come back.
. "$(dirname "$0")/lib.sh"
start_cluster 4 4
start_load load --rate 300 --concurrency 400 --duration-ms 8000 \
    --unrepeatable 20 --retries 3 --timeout-ms 4000
sleep 1
leader=$(leader_of feed/0 1)
freeze "$leader"
freeze b2
sleep 3
thaw b2
sleep 1
thaw "$leader"
end_load
served_again 30
check_history
