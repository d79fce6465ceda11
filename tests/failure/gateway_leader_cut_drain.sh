# A backend server announces that it is leaving after the leader gateway was cut
# off from the store, and then the leader stands still: the other gateways learn
# of it late, but send it nothing after drain_s.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gateway_lib.sh"
. "$(dirname "$0")/gateway_soak_lib.sh"

DRAIN_S=2 # drain_s of the gateways, by default
# The leader notices the cut 0.5 s after it at the earliest, and says so.
STOP_AFTER_S=0.4

# check_closed GATEWAY BACKEND SINCE: the gateway stopped sending requests to
# the backend server within drain_s after SINCE, in wall-clock ms.
check_closed() {
	late=$(sed -n "s/^{\"t\":\([0-9.]*\),.*\"ev\":\"server.closed\",\"server\":\"i-$2\".*/\1/p" \
	    "$dir/gw$1.log" | head -n 1 |
	    awk -v since="$3" '{ print int(1000 * $1 - since) }')
	echo "gateway $1 closed backend server $2 after ${late:-no} ms"
	[ "${late:-99999}" -lt "${DRAIN_S}000" ] ||
		fail "gateway $1 closed backend server $2 too late"
}

# drain_without_leader BACKEND NAME
drain_without_leader() {
	lost=$(leader)
	others=$(echo "$gateways" | sed "s/$lost//")
	mkdir -p "$dir/excuses"
	begin_pair 1 cut_store "$lost"
	platform_control "/_drain?i=$1" >/dev/null
	announced=$(wall_ms)
	(
		sleep $STOP_AFTER_S
		kill -STOP "$(pid_of_gateway "$lost")"
	) &
	stopper=$!
	loaders=
	for g in $others; do
		load "$2-$g" 120 "$g" &
		loaders="$loaders $!"
	done
	sleep $DRAIN_S
	platform_control "/_closed?i=$1" >/dev/null
	for p in $stopper $loaders; do
		wait "$p"
	done
	for g in $others; do
		check_closed "$g" "$1" "$announced"
	done
	kill -CONT "$(pid_of_gateway "$lost")"
	end_pair 1
	echo "leader $lost lost, done" \
	    "$(cat "$dir/$2"-* | grep -c '^200$') of 360"
	wait_served 15 || fail "not served after the cut"
}

start_soak_wire
start_all $BACKENDS $((base + 430))
drain_without_leader 0 first
sleep 1
drain_without_leader 1 second
check_platform
