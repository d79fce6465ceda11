#!/bin/sh
# usage: hot_keys.sh BUILD [true|false]
# Measures how soon 76 new hot keys are pinned, with the setting hot_keys on or
# off.  There are 3 VMs and 4 services of 10 backend servers each; each of the
# 19 hot keys of a service has a share of 4 % of its load.  After SET_S seconds
# a second set of 76 keys replaces the first.
hot_keys=${2:-true}
SET_S=75
BACKENDS=40
. "$(dirname "$0")/../tests/failure/lib.sh"

write_services() {
	echo '{"services": {'
	for s in 1 2 3 4; do
		[ "$s" -eq 1 ] || echo ','
		echo "\"s$s\": {\"service_kind\": \"keyed\", \"hot_keys\": $hot_keys}"
	done
	echo '}, "backend_servers": {'
	b=1
	while [ "$b" -le "$BACKENDS" ]; do
		[ "$b" -eq 1 ] || echo ','
		echo "\"b$b\": {\"service\": \"s$(((b - 1) % 4 + 1))\",
		    \"address\": \"127.0.0.1\", \"port\": $(backend_port "$b"),
		    \"zone\": \"$(zone "$b")\", \"region\": \"$(region "$b")\",
		    \"slots\": 6, \"connections\": 130, \"checks_fence\": true}"
		b=$((b + 1))
	done
	echo '}}'
}

serving() {
	for s in 1 2 3 4; do
		curl -sf -m 3 -o /dev/null "$(vm_url "$1")/s$s/k" || return 1
	done
}

# load NAME RATE KEYS FIRST MS: starts a client of all VMs for each service.
load() {
	for s in 1 2 3 4; do
		"$build/bench/dhload" --target "v1=$(vm_url 1)" \
		    --target "v2=$(vm_url 2)" --target "v3=$(vm_url 3)" \
		    --service "s$s" --name "$1-$s" --log "$dir/$1-$s.hist" \
		    --rate "$2" --keys "$3" --first-key "$4" --retries 2 \
		    --duration-ms "$5" >"$dir/$1-$s.out" 2>&1 &
		pids="$pids $!"
		loads="$loads $!"
	done
}

# row T FIRST: prints the numbers of pinned keys in the set that starts at FIRST
# and outside it, the requested moves, and the largest number of the set's keys
# on one backend server.
row() {
	for v in 1 2 3; do
		curl -sf -m 2 "$(admin_url "$v")/status" | tr '{' '\n' |
		    sed -n 's/.*"key":"k\([0-9]*\)".*/\1/p'
	done >"$dir/pinned"
	of=$(awk -v f="$2" '$1 >= f && $1 < f + 19' "$dir/pinned" | wc -l)
	moves=$(for v in 1 2 3; do
		curl -sf -m 2 "$(admin_url "$v")/counters"
	done | awk '/^dh_placement_(hot_)?moves_total/ { n += $2 } END { print n + 0 }')
	most=$(k=0; while [ "$k" -lt 19 ]; do
		for s in 1 2 3 4; do
			curl -s -m 3 -o /dev/null -D - \
			    "$(vm_url 1)/s$s/k$(($2 + k))" | tr -d '\r' |
			    sed -n 's/^Test-Server: //p'
		done
		k=$((k + 1))
	done | sort | uniq -c | sort -rn | awk 'NR == 1 { print $1 }')
	echo "| $hot_keys | $1 | $of | $(($(wc -l <"$dir/pinned") - of)) | $moves | $most |"
}

start_store
b=1
while [ "$b" -le "$BACKENDS" ]; do
	start_backend "$b" --service-ms 20
	b=$((b + 1))
done
write_services >"$dir/team.json"
put_object teams/t "$dir/team.json"
event accept ',"revision":1'
for v in 1 2 3; do
	start_vm "$v"
done
for v in 1 2 3; do
	wait_for 30 "answers of v$v" serving "$v"
done
loads=
load even 100 2000 0 $((2 * SET_S * 1000 + 16000))
sleep 15
read -r average rest </proc/loadavg
echo "load average $average (${rest%% *} over 5 minutes)"
echo '| hot_keys | s | pinned | others pinned | moves | most on one |'
echo '|---|---|---|---|---|---|'
for first in 10000 20000; do
	loads=
	row 0 "$first"
	load "hot$first" 380 19 "$first" $((SET_S * 1000))
	begun=$(date +%s)
	while t=$(($(date +%s) - begun)) && [ "$t" -lt $((SET_S - 5)) ]; do
		sleep 4
		row $(($(date +%s) - begun)) "$first"
	done
	# shellcheck disable=SC2086
	wait $loads
done
cat "$dir"/hot*.out | grep -a sent
check_history
