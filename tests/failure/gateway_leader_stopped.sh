# The leader gateway is asked to stop while the store answers no call, so that
# no other can take over: it goes on renewing leases until just before it would
# be killed, and the other gateways keep serving.  Once another gateway has
# taken over, the former leader exits at once.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gateway_lib.sh"

# stop_leader MS REQUESTS LOAD: the leader exits by itself within MS.
stop_leader() {
	old=$(leader)
	others=$(echo "$gateways" | sed "s/$old//")
	eval "pid=\$gw$old"
	kill -TERM "$pid"
	load "$3" "$2" "$others"
	wait "$pid" || { echo "gateway $old ended with $?"; exit 1; }
	took_ms=$(awk -F '[:,]' '/"ev":"process.stopping"/ { from = $2 }
	    /"ev":"process.stopped"/ { print int(1000 * ($2 - from)) }' \
	    "$dir/gw$old.log" | tail -n 1)
	done=$(grep -c '^200$' "$dir/$3")
	echo "leader $old: done $done of $2, ended after $took_ms ms"
	[ "$done" -ge "$(($2 - 2))" ] ||
		{ sort "$dir/$3" | uniq -c; exit 1; }
	[ "$took_ms" -lt "$1" ] || { echo "it took too long"; exit 1; }
}

start_all 4
platform_control '/_store?mode=busy' >/dev/null
sleep 1.5
stop_leader 6000 150 outage
platform_control '/_store?mode=up' >/dev/null
start_gateway "$old"
wait_served 12 || { echo "not served after the outage"; exit 1; }

# With the store up, another gateway takes over and the leader may exit.
sleep 2
stop_leader 4500 100 calm
[ "$(leader)" != "$old" ] || { echo "no other gateway took over"; exit 1; }
start_gateway "$old"
platform_control '/_kill?i=2' >/dev/null
wait_served 12 || { echo "no change of owners at the end"; exit 1; }
check_platform
