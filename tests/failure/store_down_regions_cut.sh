#!/bin/sh
# The store is down while the regions are partitioned, and a backend server of
# each region is lost meanwhile.
. "$(dirname "$0")/lib.sh"
start_wire 4
start_cluster 4 8
start_load load --rate 300 --concurrency 400 --duration-ms 10000 \
    --unrepeatable 20 --retries 3 --timeout-ms 4000
sleep 1
store_outage 5000
sleep 1
cut '["v1","v3"],["v1","v4"],["v2","v3"],["v2","v4"],["v3","store"],["v4","store"]'
sleep 1
kill_now b1
kill_now b3
sleep 2
cut ''
end_load
served_again 60
check_history
