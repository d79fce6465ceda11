# Functions of the gateway's failure scenarios: three gateways on loopback
# addresses of their own, and the stand-in for the users' platform, which checks
# that no key has two holders and nothing runs twice.  Sourced after lib.sh.

backend_base=$((base + 50))
gateways="1 2 3"

# start_platform BACKENDS [PORT]: entries advertise ports from PORT on.
start_platform() {
	"$build/standin/platform" "$store_port" "$backend_base" "$@" \
	    >"$dir/platform.log" 2>&1 &
	platform=$!
	pids="$pids $platform"
}

# The address at which a gateway reaches the store.
store_port_of() {
	echo "$store_port"
}

# The port of a gateway for datagrams between gateways.
peer_port_of() {
	echo $((base + 12))
}

start_gateway() {
	cat >"$dir/gw$1.json" <<END
{ "vm": "gw$1", "zone": "z1", "region": "r1", "zones": "z1=r1",
  "listen_url": "http://127.0.0.$((10 + $1)):$((base + 10))",
  "ready_url": "http://127.0.0.$((10 + $1)):$((base + 11))",
  "store_url": "http://127.0.0.1:$(store_port_of "$1")",
  "peer_port": $(peer_port_of "$1"), "forward_port": $((base + 13)),
  "log_lines_per_s": 1000 }
END
	"$build/dogwoodhub" --gateway --config "$dir/gw$1.json" \
	    >>"$dir/gw$1.log" 2>&1 &
	eval "gw$1=$!"
	pids="$pids $!"
}

# The number of the leader gateway; empty if there is none.
leader() {
	best= term=0
	for g in $gateways; do
		t=$(sed -n 's/.*"ev":"leader.elected","term":\([0-9]*\).*/\1/p' \
		    "$dir/gw$g.log" | tail -n 1)
		if [ "${t:-0}" -gt "$term" ]; then
			term=$t best=$g
		fi
	done
	echo "$best"
}

# ask GATEWAY METHOD PATH KEY ID: prints the status.
ask() {
	curl -s -o /dev/null -m 3 -w '%{http_code}\n' -X "$2" \
	    -H 'Host: h.example' -H "X-Dogwoodhub-Request-Id: $5" \
	    -H 'X-Dogwoodhub-Deadline-Ms: 2000' \
	    -H "X-Dogwoodhub-Shard-Key: $4" \
	    "http://127.0.0.$((10 + $1)):$((base + 10))$3"
}

# wait_served SECONDS: waits until each gateway serves one key of each of 16
# parts of the key space.
wait_served() {
	end=$(($(date +%s) + $1))
	while [ "$(date +%s)" -lt "$end" ]; do
		all=yes
		for g in $gateways; do
			for k in 0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15; do
				s=$(ask "$g" GET /r/ $((k * 4096 + 9)) "w$g$k")
				[ "$s" = 200 ] || all=no
			done
		done
		[ "$all" = yes ] && return 0
		sleep 0.2
	done
	return 1
}

# start_all BACKENDS [PORT]: starts the platform and all gateways and waits
# until they serve requests.
start_all() {
	start_platform "$@"
	for g in $gateways; do
		start_gateway "$g"
	done
	wait_served 15 || fail "not served at the start"
}

# load NAME N GATEWAYS: N requests, one in four of them unrepeatable; their
# statuses, a line each, go to $dir/NAME.
load() {
	i=0
	: >"$dir/$1"
	while [ "$i" -lt "$2" ]; do
		for g in $3; do
			m=GET p=/r/
			[ $((i % 4)) -ne 0 ] || m=POST p=/w/
			ask "$g" $m $p $((i * 977 % 65536)) "$1-$g-$i" \
			    >>"$dir/$1"
			i=$((i + 1))
		done
	done
}

platform_control() {
	curl -s -m 3 -X POST "http://127.0.0.1:$store_port$1"
}

# Checks that the stand-in reports no broken promise.
check_platform() {
	kill -TERM "$platform"
	wait "$platform"
	status=$?
	if [ "$status" -ne 0 ]; then
		if grep -m 5 BROKEN "$dir/platform.log"; then
			echo "a promise was broken"
		else
			echo "the platform's stand-in ended with $status"
			tail -n 40 "$dir/platform.log"
		fi
		exit 1
	fi
}
