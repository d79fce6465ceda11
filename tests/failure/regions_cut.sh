#!/bin/sh
# The regions are partitioned for some seconds, with the store in one of them;
# then the leader alone is cut off from everything but the backend servers.
. "$(dirname "$0")/lib.sh"
start_wire 4
start_cluster 4 4
start_load load --rate 300 --concurrency 400 --duration-ms 12000 \
    --unrepeatable 20 --retries 3 --timeout-ms 4000
sleep 1
cut '["v1","v3"],["v1","v4"],["v2","v3"],["v2","v4"],["v3","store"],["v4","store"]'
sleep 3
cut ''
sleep 2
leader=$(leader_of feed/0 1)
cut_off "$leader"
sleep 3
cut ''
end_load
served_again 60
check_history
