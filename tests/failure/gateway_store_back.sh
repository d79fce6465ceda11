# The store is restored from a copy some seconds old, three times: without any
# other fault, after keys have moved, and with the leader killed at that moment.
# Requests go on, no key gets two holders or a lower token, the configuration
# in force is not taken back, and owners can change afterwards.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gateway_lib.sh"

start_all 5
platform_control '/_config?version=7' >/dev/null
sleep 2
load load 160 "$gateways" &
loader=$!
sleep 0.5
platform_control '/_back?ms=1500' >/dev/null
sleep 3
wait "$loader"
done=$(grep -c '^200$' "$dir/load")
echo "calm: done $done of 160"
[ "$done" -ge 158 ] || { sort "$dir/load" | uniq -c; exit 1; }
grep -q '"ev":"store.went_back"' "$dir"/gw*.log ||
	{ echo "no gateway noticed the restored copy"; exit 1; }
grep -q '"ev":"leader.went_on"' "$dir"/gw*.log ||
	{ echo "the leader did not keep its role"; exit 1; }
for g in $gateways; do
	s=$(ask "$g" GET /v7/ 77 "v$g")
	[ "$s" = 200 ] || { echo "gateway $g lost the configuration: $s"; exit 1; }
done

# Keys have moved: the copy names an owner that has been lost.
platform_control '/_kill?i=2' >/dev/null
wait_served 12 || { echo "no change of owners"; exit 1; }
platform_control '/_start?i=2' >/dev/null
sleep 1
platform_control '/_back?ms=6000' >/dev/null
sleep 1
wait_served 12 || { echo "not served after owners had changed"; exit 1; }

# The leader is lost as well: its successor cannot rely on the copy.
platform_control '/_kill?i=1' >/dev/null
wait_served 12 || { echo "no second change of owners"; exit 1; }
platform_control '/_start?i=1' >/dev/null
sleep 1
l=$(leader)
eval "pid=\$gw$l"
kill -KILL "$pid"
platform_control '/_back?ms=5000' >/dev/null
start_gateway "$l"
wait_served 15 || { echo "not served by the next leader"; exit 1; }
grep -q '"trusted":false' "$dir"/gw*.log ||
	{ echo "the new leader relied on the copy"; exit 1; }
platform_control '/_kill?i=3' >/dev/null
wait_served 15 || { echo "no change of owners at the end"; exit 1; }
check_platform
