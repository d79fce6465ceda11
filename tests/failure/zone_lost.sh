#!/bin/sh
# An availability zone is lost: its VM and its backend server at once, the
# leader's zone, if the leader is v1.
. "$(dirname "$0")/lib.sh"
start_cluster 4 8
start_load load --rate 300 --concurrency 300 --duration-ms 6000 \
    --unrepeatable 20 --retries 3
sleep 1
kill_now v1
kill_now b1
kill_now b5
end_load
served_again 30 v1
check_history
