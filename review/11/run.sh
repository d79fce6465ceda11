#!/bin/sh
# The leader freezes and is cut off from the store and the other machines; an
# upstream crashes meanwhile and starts again under its id.  See claim.txt.
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
wire_cut() {
	curl -s -o /dev/null -m 2 -d "{\"cut\": [$1]}" \
	    "http://127.0.0.1:$((base + 2))/" || cannot_run "the proxy is silent"
}

start_store "$dir/config.json"
maps="gw1,store,$((base + 1)),$store_port" slow=
for k in 1 2 3 4 5 6 7; do
	maps="$maps far,up$k,$((upstream_port + 10 + k)),$((upstream_port + k))"
	slow="$slow${slow:+, }[\"far\", \"up$k\"]"
done
# shellcheck disable=SC2086
start wire target/standin/wire $((base + 2)) $maps
start relay $bin/relay $((base + 63)) $((base + 64)) 127.0.0.11 \
    127.0.0.12 127.0.0.13 127.0.0.14 127.0.0.15 127.0.0.16
sleep 0.3
# i-0 is in the gateways' region, the others are in another one, 8 ms away.
curl -s -o /dev/null -m 2 -d "{\"slow\": [$slow], \"slow_ms\": 8}" \
    "http://127.0.0.1:$((base + 2))/" || cannot_run "the proxy is silent"
start_upstream 0 feed 6 1
for k in 1 2 3 4 5 6 7; do
	start_upstream $k feed 6 1 $((upstream_port + 10 + k)) z2
done
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
sleep 3.5

# One client at gateway 2 and one at gateway 1 for a key of i-0.
key=$(sed -n 's/.* grant i-0 .* from=\([0-9]*\) .* 200$/\1/p' "$record" | tail -n 1)
[ -n "$key" ] || cannot_run "i-0 holds no keys"
key=$((key + 5000))
note "key $key is held by i-0"
client two 2 0 40 300 GET /feed/two "$key" 0 1000
# Other keys get more requests.
other=$(sed -n 's/.* grant i-3 .* from=\([0-9]*\) .* 200$/\1/p' "$record" | tail -n 1)
for i in 1 2 3 4 5 6; do
	client "busy$i" 3 $((i * 10)) 100 60 GET "/feed/busy$i?work=60" \
	    $((other + 64 * i)) 0 1000
done

# What happens at which time after the freeze, in ms.  Without trouble only the
# upstream crashes.
began=$(ms)
after() {
	left=$((began + $1 - $(ms)))
	[ "$left" -le 0 ] ||
		sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}
if [ "$trouble" != 0 ]; then
	wire_cut '["gw1", "store"]'
	# shellcheck disable=SC2154
	kill -USR1 "$relay"
	mark "cut gateway 1"
	# shellcheck disable=SC2154
	kill -STOP "$gw1"
	began=$(ms)
	mark "freeze gateway 1"
fi
after 1500
if [ "$trouble" != 0 ]; then
	[ -n "$(leader 2 3 4 5 6)" ] || cannot_run "nobody else leads"
	mark "gateway $(leader 2 3 4 5 6) leads"
fi
# shellcheck disable=SC2154
kill -KILL "$up0"
mark "crash i-0"
after 3950
if [ "$trouble" != 0 ]; then
	kill -CONT "$gw1"
	mark "thaw gateway 1"
fi
after 4400
start_upstream 0 feed 6 1
for i in 0 1 2 3 4 5 6 7; do
	client "one$i" 1 $((100 + i * 100)) 4 20 GET "/feed/one$i" "$key" 0 600
done
after 5400
if [ "$trouble" != 0 ]; then
	wire_cut ''
	kill -USR2 "$relay"
	mark "heal gateway 1"
fi
sleep 4
keep_log '"leader\.|"order.answered"' "1 2 3 4 5 6"
$bin/judge "$record" >"$dir/verdict"
rc=$?
sed 's/^/judge: /' "$dir/verdict" >>"$record"
cut -c1-200 "$dir/verdict" | tail -n 4
exit $rc
