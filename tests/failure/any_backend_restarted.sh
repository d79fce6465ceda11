#!/bin/sh
# The only backend server of a service of kind "any" is killed under load and
# restarted: every VM that detected the loss sends it requests again.
. "$(dirname "$0")/lib.sh"
feed_backends=1
start_cluster 2 2
start_load load --service web --rate 200 --concurrency 300 \
    --duration-ms 3000 --retries 2
sleep 1
kill_now b2
sleep 1
start_backend 2
end_load
for n in $vms; do
	wait_for 5 "answer of web through v$n" \
	    curl -sf -m 3 -o /dev/null "$(vm_url "$n")/web/key"
done
check_history
