#!/bin/sh
# usage: bench/datapath.sh BUILD
# Measures the data path on loopback, each figure three times with the load
# average, and compares it with the same client connected directly to the
# backend server in the same run.  Takes under four minutes.
. "$(dirname "$0")/../tests/failure/lib.sh"

vms_max=${VMS_MAX:-11}
hz=$(getconf CLK_TCK)
# b1 and b2 own the keys of feed; b3 serves web, b4 slow (100 ms, 6 slots), b5
# slow3 (100 ms, 3 slots).
write_team() {
	cat >"$1" <<JSON
{"services": {
  "feed": {"service_kind": "keyed", "hash_slots": 8, "deadline_ms": 2000,
    "queue_ms": 1500},
  "web": {"service_kind": "any", "deadline_ms": 5000},
  "slow": {"service_kind": "any", "deadline_ms": 500, "queue_ms": 400},
  "slow3": {"service_kind": "any", "deadline_ms": 500, "queue_ms": 400}},
 "backend_servers": {
$(row b1 feed 64 4096), $(row b2 feed 64 4096),
$(row b3 web 512 45056), $(row b4 slow 6 4096), $(row b5 slow3 3 4096)
}}
JSON
}

row() {
	printf '"%s": {"service": "%s", "address": "127.0.0.1", "port": %s,
"zone": "za", "region": "r1", "slots": %s, "connections": %s,
"checks_fence": true}' "$1" "$2" "$(backend_port "${1#b}")" "$3" "$4"
}

# ticks PID: processor time used, in clock ticks.
ticks() {
	sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'
}

rss_kb() {
	awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}

# load NAME TARGETS OPTIONS...: one run of the client.
load() {
	what=$1 to=$2
	shift 2
	targets=
	for t in $to; do
		targets="$targets --target $t"
	done
	read -r avg _ </proc/loadavg
	# shellcheck disable=SC2086
	out=$("$build/bench/dhload" $targets --json --timeout-ms 5000 "$@")
	echo "$what load=$avg $out"
}

urls() {
	i=1
	while [ "$i" -le "$1" ]; do
		vm_url "$i"
		i=$((i + 1))
	done
}

# Alternates between one router and none: throughput, then latency at a fixed
# rate.
compare() {
	direct=http://127.0.0.1:$(backend_port 3)
	v=$(pid_of v1)
	load warm "$(vm_url 1)" --service web -c 32 -d 1500 >/dev/null
	for rep in 1 2 3; do
		load "direct.$rep" "$direct" --service web -c 32 -d 2000
		before=$(ticks "$v")
		load "router.$rep" "$(vm_url 1)" --service web -c 32 -d 2000
		used=$(($(ticks "$v") - before))
		echo "$out" | sed 's/.*"done":\([0-9]*\).*/\1/' | awk \
		    -v u="$used" -v hz="$hz" -v r="$rep" \
		    '{ printf "cpu.%s us_per_request=%.0f\n", r, u / hz * 1e6 / $1 }'
		load "direct1000.$rep" "$direct" --service web -r 1000 -d 2000
		load "router1000.$rep" "$(vm_url 1)" --service web -r 1000 \
		    -d 2000
	done
}

routers() {
	for n in 1 4 11; do
		for rep in 1 2 3; do
			load "routers$n.$rep" "$(urls "$n")" --service web \
			    -c 44 -d 1500
		done
	done
}

stream() {
	for rep in 1 2 3; do
		load "stream.direct.$rep" \
		    "http://127.0.0.1:$(backend_port 3)" --service web \
		    -c 4 -S 16000000 -d 1500
		load "stream.router.$rep" "$(vm_url 1)" --service web \
		    -c 4 -S 16000000 -d 1500
	done
}

# Memory of a VM with idle connections, which bash opens, with concurrent
# requests, and with clients that slowly read answers of 200 MB each.
memory() {
	v=$(pid_of v2)
	port=$(vm_port 2)
	for rep in 1 2 3; do
		before=$(rss_kb "$v")
		bash -c "for i in {1..500}; do
			exec {fd}<>/dev/tcp/127.0.0.1/$port || exit 1
			done; sleep 1.5" &
		idle_pid=$!
		sleep 1
		echo "memory.idle.$rep connections=500 before_kb=$before" \
		    "with_kb=$(rss_kb "$v")"
		wait "$idle_pid"
		before=$(rss_kb "$v")
		"$build/bench/dhload" --target "$(vm_url 2)" --service web \
		    -c 200 -S 65536 -d 2000 >/dev/null &
		busy_pid=$!
		sleep 1
		echo "memory.busy.$rep connections=200 before_kb=$before" \
		    "with_kb=$(rss_kb "$v")"
		wait "$busy_pid"
		before=$(rss_kb "$v")
		streams=
		for k in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
			curl -s -m 3 --limit-rate 10M -o /dev/null \
			    "$(vm_url 2)/web/k$k?size=200000000" &
			streams="$streams $!"
		done
		sleep 2
		echo "memory.stream.$rep connections=$k before_kb=$before" \
		    "with_kb=$(rss_kb "$v")"
		# shellcheck disable=SC2086
		wait $streams
	done
}

# four_clients NAME URL...: one client for each of four URLs, in parallel.
four_clients() {
	what=$1
	shift
	clients= n=0
	for t in "$@"; do
		n=$((n + 1))
		"$build/bench/dhload" --target "$t" --json --service web \
		    -c 11 -d 1500 >"$dir/tail.$n" &
		clients="$clients $!"
	done
	# shellcheck disable=SC2086
	wait $clients
	while [ "$n" -gt 0 ]; do
		echo "$what.client$n.$rep load=$avg $(cat "$dir/tail.$n")"
		n=$((n - 1))
	done
}

# Tail latency through one and four routers: with a single client, with one
# client for each router and the same total concurrency, at a rate below the
# capacity of the backend server, and with four clients connected directly to
# the backend server.
tails() {
	direct=http://127.0.0.1:$(backend_port 3)
	for rep in 1 2 3; do
		for n in 1 4; do
			load "tail.routers$n.$rep" "$(urls "$n")" \
			    --service web -c 44 -d 1500
			load "tail.4000.routers$n.$rep" "$(urls "$n")" \
			    --service web -r 4000 -c 200 -d 1500
		done
		# shellcheck disable=SC2046
		four_clients tail.routers4 $(urls 4)
		four_clients tail.direct "$direct" "$direct" "$direct" "$direct"
	done
}

# Six slots of 100 ms serve 60 requests a second: offer 30, then 120.
overload() {
	for rep in 1 2 3; do
		load "offered30.$rep" "$(urls 3)" --service slow -r 30 -c 400 -d 3000
		load "offered120.$rep" "$(urls 3)" --service slow -r 120 -c 400 \
		    -d 3000
		load "direct120.$rep" "http://127.0.0.1:$(backend_port 4)" \
		    --service slow -r 120 -c 400 -d 3000 --timeout-ms 500
	done
}

# Routers that share six or three slots, at twice the capacity of the slots.
shared() {
	for slots in 6 3; do
		b=4 service=slow
		[ "$slots" -eq 6 ] || b=5 service=slow3
		for rep in 1 2 3; do
			for n in 1 2 4; do
				load "slots$slots.routers$n.$rep" "$(urls "$n")" \
				    --service "$service" -r $((slots * 20)) \
				    -c 400 -d 3000
			done
			load "slots$slots.direct.$rep" \
			    "http://127.0.0.1:$(backend_port "$b")" \
			    --service "$service" -r $((slots * 20)) -c 400 \
			    -d 3000 --timeout-ms 500
		done
	done
}

owner_of_key() {
	for b in 1 2; do
		eval "size_$b=$(wc -c <"$dir/b$b.hist")"
	done
	"$build/bench/dhload" --target "$(vm_url 1)" --service feed \
	    --keys 1 -r 50 -d 500 >/dev/null
	sleep 0.3
	grown_1=$(($(wc -c <"$dir/b1.hist") - size_1))
	grown_2=$(($(wc -c <"$dir/b2.hist") - size_2))
	if [ "$grown_1" -gt "$grown_2" ]; then echo b1; else echo b2; fi
}

# Longest gap between answers for one key, without faults and when the key's
# owner is killed.
unavailable() {
	load gap.none "$(urls 3)" --service feed --keys 1 -r 300 -d 2000
	for rep in 1 2 3; do
		owner=$(owner_of_key)
		(
			sleep 1
			kill -KILL "$(pid_of "$owner")"
		) &
		load "gap.kill.$rep.$owner" "$(urls 3)" --service feed \
		    --keys 1 -r 300 -d 4000
		start_backend "${owner#b}" $feed_options
		wait_for 30 "owners again" all_owned 1
		sleep 2
	done
}

feed_options="--service-ms 1 --slots 64 --queue 256"
start_store
start_backend 1 $feed_options
start_backend 2 $feed_options
start_backend 3 --service-ms 0 --slots 512 --queue 512 --no-owner
start_backend 4 --service-ms 100 --slots 6 --queue 12 --no-owner
start_backend 5 --service-ms 100 --slots 3 --queue 6 --no-owner
write_team "$dir/team.json"
put_object teams/t "$dir/team.json"
n=1
while [ "$n" -le "$vms_max" ]; do
	start_vm "$n"
	n=$((n + 1))
done
for n in $vms; do
	wait_for 30 "owners at v$n" all_owned "$n"
done
for part in ${PARTS:-compare routers stream memory overload unavailable}; do
	"$part"
done
