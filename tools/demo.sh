#!/bin/sh
# usage: demo.sh BUILD
# Demonstrates request routing on loopback: starts a store, backend servers in
# availability zones of three regions and three routers, sends requests, kills a
# backend server whose keys are then served again, and shuts down a router
# gracefully.
. "$(dirname "$0")/../tests/failure/lib.sh"

say() {
	printf '\n== %s\n' "$*"
}

say "Starting a store, 6 backend servers and 3 routers (files in $dir)"
start_store
i=1
while [ "$i" -le 6 ]; do
	start_backend "$i"
	i=$((i + 1))
done
i=1
while [ "$i" -le 3 ]; do
	start_vm "$i"
	i=$((i + 1))
done

say "Loading a sheet with dogwoodctl"
. "$(dirname "$0")/demo_sheet.sh"
write_sheet >"$dir/day.csv"
ctl apply "$dir/day.csv" || fail "sheet"
event accept ',"revision":2'
for n in $vms; do
	wait_for 30 "owner of every slot at v$n" all_owned "$n"
done
ctl status

say "One request, through each router"
for n in $vms; do
	curl -s -i -m 5 "$(vm_url "$n")/feed/child-7" |
	    grep -iE '^(HTTP|Dh-|Test-Server)' | tr -d '\r' | paste -sd' ' -
done

say "Load for 6 s, 10 % of it unrepeatable; b2 is killed after 2 s"
start_load load --rate 1000 --concurrency 500 --duration-ms 6000 \
    --unrepeatable 10 --retries 2
sleep 2
kill_now b2
end_load
for n in $vms; do
	wait_for 20 "owner of every slot at v$n" all_owned "$n"
done
echo "every slot has an owner again"

say "Graceful shutdown of a router under load"
start_load last --rate 500 --concurrency 500 --duration-ms 4000
sleep 1
stop_vm 1
end_load

say "Checking the promises against the histories"
check_history
