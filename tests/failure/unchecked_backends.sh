#!/bin/sh
# Backend servers do not check fences: the leader is cut off from everything
# but them, and meanwhile one is drained to which the former leader could still
# send orders; later a backend server and the leader are lost.
. "$(dirname "$0")/lib.sh"
checks_fence=false
backend_options=--no-check
start_wire 4
start_cluster 4 4
start_load load --rate 300 --concurrency 400 --duration-ms 16000 \
    --unrepeatable 20 --retries 3 --timeout-ms 4000
sleep 1
leader=$(leader_of feed/0 1)
cut_off "$leader"
sleep 1
ctl drain b3 >/dev/null || fail drain
event accept ',"revision":2'
event drain ',"backend":"b3"'
sleep 4
cut ''
sleep 2
kill_now b2
sleep 2
second=$(leader_of feed/0 1)
kill_now "$second"
end_load
served_again 30 "$second"
check_history
