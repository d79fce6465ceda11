#!/bin/sh
# VMs are shut down gracefully under load, the leader's among them: no
# request in flight is aborted.
. "$(dirname "$0")/lib.sh"
start_cluster 4 4
start_load load --rate 300 --concurrency 300 --duration-ms 7000 \
    --unrepeatable 20 --retries 3
sleep 1
leader=$(leader_of feed/0 1)
stop_vm "${leader#v}"
end_load
served_again 30 "$leader"
check_history
