#!/bin/sh
# usage: [SEED=N] [SECONDS_OF_FAULTS=S] [FAULT_KINDS="..."]
#     [UNCHECKED_BACKENDS="3 4 7"] random_faults.sh BUILD
# Faults drawn from a seed hit VMs, backend servers, links and the store, one
# by one, overlapping and repeated, under mixed load of two teams whose
# operators race.  Then all faults end: everything must be served again within
# SERVED_AGAIN_S, and the histories must break no promise.  "begin" and
# "end" lines show the schedule, which the seed reproduces.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/random_faults_lib.sh"

seed=${SEED:-1}
fault_s=${SECONDS_OF_FAULTS:-6}
SERVED_AGAIN_S=30
TAIL_MS=9000 # of load after the last fault: a drain counts after 5 s

draw_schedule "$seed" "$((fault_s * 1000))" >"$dir/schedule"
echo "seed $seed, $fault_s s of faults"
start_two_teams

load_ms=$((fault_s * 1000 + TAIL_MS))
loads= load_seed=$((seed * 1000))
for service in feed album web; do
	rate=200
	[ "$service" = feed ] || rate=60
	load_seed=$((load_seed + 1)) # no two requests have one id
	start_load "load-$service" --service "$service" --rate "$rate" \
	    --concurrency 2000 --duration-ms "$load_ms" --seed "$load_seed" \
	    --unrepeatable 20 --retries 3 --timeout-ms 15000
	loads="$loads $load_pid:load-$service"
done

run_schedule <"$dir/schedule"
heal_all
healed=$(clock_ms)
for n in $vms; do
	for group in feed/0 album/0; do
		wait_for "$SERVED_AGAIN_S" "owner of every slot of $group at v$n" \
		    all_owned "$n" "$group"
	done
	wait_for "$SERVED_AGAIN_S" "revision $(revision) at v$n" \
	    in_force "$n" "$(revision)"
done
wait_for "$SERVED_AGAIN_S" "answer to every request" all_served
[ $(($(clock_ms) - healed)) -le $((SERVED_AGAIN_S * 1000)) ] ||
    fail "served again only after $(($(clock_ms) - healed)) ms"
echo "served again $(($(clock_ms) - healed)) ms after the last fault"
for l in $loads; do
	load_pid=${l%%:*} load_name=${l#*:}
	end_load
done
all_running
check_history
