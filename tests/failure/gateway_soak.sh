#!/bin/sh
# usage: [SEED=N] [SECONDS_OF_FAULTS=S] [FAULT_KINDS="..."]
#     [SOAK_GATEWAYS="1 2 3 4"] [SOAK_ATTENDED=1] [SOAK_PARTS=1] gateway_soak.sh BUILD
# Faults drawn from a seed hit gateways, their connections, backend servers and
# the store, overlapping and repeated, while callers keep their connections and
# check every answer and the stand-in of the platform every grant and run.
# Then all faults end: within RECOVER_S nearly all requests must be served, the
# last configuration must be in force, and a backend server that is drained must
# receive no more requests.  SOAK_ATTENDED: the configuration lets gateways
# attend backend servers.  SOAK_PARTS: gateways may lose each other, too.
# docs/SOAK.md.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gateway_lib.sh"
. "$(dirname "$0")/gateway_soak_lib.sh"

seed=${SEED:-1}
fault_s=${SECONDS_OF_FAULTS:-8}
RECOVER_S=15
GRACE_S=6
DRAIN_S=2 # drain_s of the gateways, by default
PROBE_MS=1500
SERVED_PERCENT=95

{
	draw_schedule "$seed" "$((fault_s * 1000))"
	draw_stutters "$seed" "$((fault_s * 1000))"
} | sort -n >"$dir/schedule"
echo "seed $seed, $fault_s s of faults"
mkdir "$dir/excuses"
start_soak_wire
start_all $BACKENDS $((base + 430))
[ -z "${SOAK_ATTENDED:-}" ] ||
	platform_control "/_config?version=$version&bound=50" >/dev/null

# shellcheck disable=SC2046
"$build/standin/caller" $((fault_s * 1000 + 1000)) "$seed" "$store_port" \
    "$dir/excuses" $(all_addresses) >"$dir/callers.out" 2>&1 &
callers=$!
pids="$pids $callers"
run_schedule <"$dir/schedule"
heal_all
healed=$(clock_ms)
wait "$callers"
status=$?
[ "$status" -le 1 ] || fail "the callers ended with $status"

# probe NAME: runs callers for a short time and prints the percentage of
# requests served.
probe() {
	# shellcheck disable=SC2046
	"$build/standin/caller" "$PROBE_MS" "$seed$1" "$store_port" \
	    "$dir/excuses" $(all_addresses) >>"$dir/probe.out" 2>&1 ||
	    fail "a promise was broken after all faults had ended"
	awk '/^sum/ {
		sum = $3 + $5 + $7 + $9
		served = sum == 0 ? 0 : int(100 * $3 / sum)
	} END { print served }' "$dir/probe.out"
}

k=1
served=$(probe $k)
until [ "$served" -ge $SERVED_PERCENT ]; do
	[ $(($(clock_ms) - healed)) -le $((RECOVER_S * 1000)) ] ||
	    fail "$served % served $RECOVER_S s after the last fault"
	k=$((k + 1))
	served=$(probe $k)
done
echo "served again $(($(clock_ms) - healed)) ms after the last fault"
for n in $gateways; do
	s=$(ask "$n" GET "/v$version/" 9 "last-$n")
	[ "$s" != 404 ] || fail "gateway $n has not version $version"
done

platform_control "/_drain?i=0" >/dev/null
sleep $DRAIN_S
platform_control "/_closed?i=0" >/dev/null
[ "$(probe 99)" -ge $SERVED_PERCENT ] || fail "not served after a drain"
for n in $gateways; do
	gateway_alive "$n"
done
grep '^sum' "$dir/callers.out"
grep -m 5 BROKEN "$dir/callers.out" && fail "callers saw a broken promise"
check_platform
