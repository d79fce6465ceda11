#!/bin/sh
# The store goes down at the leader's write of a move, which it has carried out;
# then the leader is cut off until after the store is back.  See claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
trouble=${TROUBLE:-1} # 0: without the disruption
. "$here/../lib-3.sh"

# Gateway 1 reaches the store and the other gateways through proxies.
store_port_of() { [ "$1" = 1 ] && echo $((base + 1)) || echo "$store_port"; }
peer_port_of() { [ "$1" = 1 ] && echo $((base + 63)) || echo $((base + 64)); }

cat >"$dir/config.json" <<END
{"version": 1,
 "limits": {"header_bytes": 16384, "body_bytes": 67108864,
  "header_timeout_s": 3, "idle_timeout_s": 15},
 "listeners": [{"host": "h.example", "rules": [
  {"name": "r-feed", "type": "safe", "target_latency_s": 0.4, "priority": 1,
   "match": {"path_prefix": "/feed/"},
   "action": {"service": "feed", "timeout_s": 1, "max_attempts": 2}}]}],
 "clusters": [
  {"name": "feed", "health_path": "/health", "max_conns": 130,
   "protocol": "h1", "tls": false, "sharded": true, "warm_s": 2.0,
   "grants": "duty_call"}]}
END
ms() { awk '{printf "%d", $1 * 1000}' /proc/uptime; }
mark() { echo "$(ms) $*" >>"$record"; }
start_wire() {
	start wire target/standin/wire $((base + 2)) \
	    "gw1,store,$((base + 1)),$store_port"
}

start_store "$dir/config.json"
start_wire
start relay $bin/relay $((base + 63)) $((base + 64)) 127.0.0.11 \
    127.0.0.12 127.0.0.13 127.0.0.14 127.0.0.15 127.0.0.16
sleep 0.3
for k in 0 1 2 3 4 5 6 7; do start_upstream $k feed 6 1; done
sleep 0.5
start_gateway 1
wait_ready 15 1
keys="100 9000 17000 25000 34000 42000 50000 58000"
# shellcheck disable=SC2086
wait_served 10 1 GET /feed/w $keys
for g in 2 3 4 5 6; do start_gateway "$g"; done
wait_ready 15 2 3 4 5 6
for g in 2 3 4 5 6; do
	# shellcheck disable=SC2086
	wait_served 10 "$g" GET /feed/w $keys
done
[ "$(leader 1 2 3 4 5 6)" = 1 ] || cannot_run "gateway 1 does not lead"
sleep 3.8

# An empty upstream comes: the leader moves keys to it.
# shellcheck disable=SC2154
[ "$trouble" = 0 ] || kill -USR1 "$store"
start_upstream 8 feed 6 1
began=$(ms)
after() {
	left=$((began + $1 - $(ms)))
	[ "$left" -le 0 ] ||
		sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}
from=
until [ -n "$from" ]; do
	sleep 0.05
	from=$(sed -n \
	    's/.* store down: .* from=\([0-9]*\) .*/\1/p; s/.* grant i-8 .* from=\([0-9]*\) .* 200$/\1/p' \
	    "$record" | head -n 1)
	[ $(($(ms) - began)) -lt 8000 ] || cannot_run "no keys move to i-8"
done
[ "$trouble" = 0 ] || grep -q ' store down: ' "$record" ||
	cannot_run "the store did not go down at a move"
began=$(ms)
key=$from
note "key $key moves to i-8"
for i in 0 1 2 3 4 5 6 7; do
	client "one$i" 1 $((i * 50)) 20 380 GET "/feed/one$i" "$key" 0 600
	client "two$i" 2 $((i * 50)) 20 380 GET "/feed/two$i" "$key" 0 600
done
after 700
if [ "$trouble" != 0 ]; then
	# Without its proxy, the store's address refuses connections.
	# shellcheck disable=SC2154
	kill -KILL "$wire"
	# shellcheck disable=SC2154
	kill -USR1 "$relay"
	mark "cut gateway 1"
fi
after 4500
if [ "$trouble" != 0 ]; then
	[ -n "$(leader 2 3 4 5 6)" ] || cannot_run "nobody else leads"
	mark "gateway $(leader 2 3 4 5 6) leads"
	start_wire
	kill -USR2 "$relay"
	mark "heal gateway 1"
fi
sleep 4
keep_log '"leader\.|"order.answered"|"owners.store_failed"|"owners.taken_over"' \
    "1 2 3 4 5 6"
$bin/judge "$record" >"$dir/verdict"
rc=$?
sed 's/^/judge: /' "$dir/verdict" >>"$record"
cut -c1-200 "$dir/verdict" | tail -n 4
exit $rc
