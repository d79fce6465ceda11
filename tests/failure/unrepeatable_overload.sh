#!/bin/sh
# Unrepeatable requests at twice what the backend servers can do, while one of
# these is killed and a VM is paused now and then.  Callers have short
# timeouts and, when told to, retry the same id through another VM:
# nothing runs twice, and what was answered not run has not run.
. "$(dirname "$0")/lib.sh"
backend_options="--service-ms 40"
deadline_ms=1000 queue_ms=500
start_cluster 4 2
leader=$(leader_of feed/0 1)
deputy=$(deputy_of feed/0 1)
for n in $vms; do
	[ "v$n" = "$leader" ] || [ "v$n" = "$deputy" ] || paused=v$n
done
start_load load --rate 600 --concurrency 2000 --duration-ms 9000 \
    --unrepeatable 100 --retries 3 --retry-after --timeout-ms 250
sleep 1
for k in 1 2 3 4 5 6; do
	freeze "$paused"
	sleep 0.4
	thaw "$paused"
	sleep 0.4
	[ "$k" -ne 3 ] || kill_now b2
done
end_load
"$build/bench/dhcheck" --need=not-run --need=at-most-once "$dir"/*.hist ||
    fail "history"
grep -ao '"outcome":"not-run","status":503' "$dir"/load.hist |
    grep -c . >"$dir/refused"
echo "answered not run by a router: $(cat "$dir/refused")"
[ "$(cat "$dir/refused")" -gt 100 ] || fail "nothing was answered not run"
check_history
