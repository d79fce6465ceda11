# Functions of this review's scripts: the stand-in for the platform, and three
# gateways with the command of the deploy file and settings as its template
# renders them, on loopback addresses.  A script sets "here" to its folder and
# "record" to its record.txt, and sources this file.

root=$(cd "$here/../.." && pwd)
trouble=${TROUBLE:-1}
work=$(mktemp -d "${TMPDIR:-/tmp}/dh-review.XXXXXX") || exit 2
gateways="1 2 3"
pids= loaders=
: >"$record"
GRACE_S=6

say() {
	echo "$(($(date +%s%3N) - began)) script: $*" >>"$work/script.log"
}

# Ends each process that this script started, by its pid; the loaders end when
# they see the file, after their present request.
cleanup() {
	: >"$work/stop"
	for p in $pids; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	# shellcheck disable=SC2086
	[ -z "$loaders" ] || wait $loaders 2>/dev/null
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

cannot_run() {
	echo "cannot run: $*" | tee -a "$record"
	tail -n 5 "$work"/*.log 2>/dev/null
	exit 2
}

# start_platform N: the stand-in on a free block of ports.
start_platform() {
	try=0
	while [ "$try" -lt 20 ]; do
		base=$((11000 + ($$ + try * 7) % 80 * 100))
		"$root/target/review-2/platform" "$base" $((base + 50)) "$1" \
		    >"$work/platform.log" 2>&1 &
		platform=$!
		began=$(date +%s%3N)
		sleep 0.3
		if kill -0 "$platform" 2>/dev/null; then
			pids="$pids $platform"
			return
		fi
		try=$((try + 1))
	done
	cannot_run "no free ports, or no stand-in: run review/build-2.sh"
}

control() {
	curl -s -m 3 -o /dev/null -X POST "http://127.0.0.1:$base$1"
}

# The availability zone of a gateway, and the port at which it reaches the
# store.  Scripts may define these anew.
zone_of() {
	echo z1
}

store_port_of() {
	echo "$base"
}

start_gateway() {
	ip=127.0.0.$((10 + $1))
	cat >"$work/gw$1.json" <<END
{ "vm": "gw$1", "zone": "$(zone_of "$1")", "region": "r1",
  "zones": "z1=r1,z2=r1,z3=r1",
  "listen_url": "http://$ip:$((base + 10))",
  "ready_url": "http://$ip:$((base + 11))",
  "store_url": "http://127.0.0.1:$(store_port_of "$1")",
  "core_share": 0.2, "link_mbps": 1000.0, "memory_mb": 260,
  "peer_port": $((base + 12)), "metrics_port": $((base + 14)),
  "forward_port": $((base + 13)),
  "drain_s": 2, "grace_s": 6, "hold_max_s": 10,
  "retry_share": 0.2, "retry_window_s": 10, "retry_slack": 62 }
END
	(
		cd "$root" || exit 2
		DOGWOODHUB_SETTINGS=$work/gw$1.json \
		    exec target/dogwoodhub --gateway
	) >>"$work/gw$1.log" 2>&1 &
	eval "gw$1=$!"
	pids="$pids $!"
}

# stop_gateway PID: waits for the end of a gateway that got SIGTERM, which the
# platform kills after GRACE_S.
stop_gateway() {
	k=0
	while kill -0 "$1" 2>/dev/null && [ "$k" -lt $((GRACE_S * 20)) ]; do
		sleep 0.05
		k=$((k + 1))
	done
	kill -KILL "$1" 2>/dev/null && say "pid $1 killed after grace_s"
	wait "$1" 2>/dev/null
	pids=$(for p in $pids; do [ "$p" = "$1" ] || printf '%s ' "$p"; done)
}

# ask GATEWAY METHOD PATH KEY ID: prints the status.
ask() {
	curl -s -o /dev/null -m 2.5 -w '%{http_code}' -X "$2" \
	    -H 'Host: h.example' -H "X-Dogwoodhub-Request-Id: $5" \
	    -H 'X-Dogwoodhub-Deadline-Ms: 2000' \
	    -H "X-Dogwoodhub-Shard-Key: $4" \
	    "http://127.0.0.$((10 + $1)):$((base + 10))$3"
}

# Waits until each gateway serves keys of all parts of the key space.
wait_served() {
	tries=0 served_end=$(($(date +%s) + 20))
	while [ "$(date +%s)" -lt "$served_end" ]; do
		all=yes
		for g in $gateways; do
			for k in 9 9000 17000 25000 33000 41000 49000 57000; do
				[ "$(ask "$g" GET /r/ "$k" "w$g-$tries-$k")" \
				    = 200 ] || all=no
			done
		done
		[ "$all" = yes ] && return
		tries=$((tries + 1))
		sleep 0.1
	done
	cannot_run "not served at the start"
}

# The gateway that the store names as the leader.
leader() {
	curl -s -m 3 "http://127.0.0.1:$base/dogwoodhub/objects/$1/leader" |
	    sed -n 's/.*"vm": *"gw\([0-9]\)".*/\1/p'
}

# load NAME SECONDS GATEWAYS: requests for keys of the whole key space; one in
# four is unsafe.
load() {
	load_end=$(($(date +%s%3N) + $2 * 1000)) n=0
	while [ "$(date +%s%3N)" -lt "$load_end" ] && [ ! -e "$work/stop" ]; do
		for g in $3; do
			m=GET p=/r/ key=$((n * 9973 % 65536))
			[ $((n % 4)) -ne 0 ] || m=POST p=/w/
			sent=$(($(date +%s%3N) - began))
			s=$(ask "$g" $m $p "$key" "$1-$g-$n")
			echo "$sent client: $m key $key id $1-$g-$n by gw$g:" \
			    "answer $s"
			n=$((n + 1))
		done
	done >>"$work/client-$1.log"
}

# Ends the stand-in, writes the record, and exits: 1 if the rule was broken, as
# the stand-in or a client has written.
judge() {
	# shellcheck disable=SC2086
	[ -z "$loaders" ] || wait $loaders
	loaders=
	kill -TERM "$platform"
	wait "$platform"
	status=$?
	pids=$(for p in $pids; do [ "$p" = "$platform" ] || printf '%s ' "$p"; done)
	cat "$work/platform.log" "$work/script.log" "$work"/client-*.log |
	    sort -n >"$record"
	[ "$status" -le 1 ] || cannot_run "the stand-in ended with $status"
	if grep -m 4 BROKEN "$record"; then
		exit 1
	fi
	echo "held"
	exit 0
}
