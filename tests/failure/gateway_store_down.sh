# The store answers no call for six seconds, three lease durations: the leader
# goes on renewing leases and requests are served; after the outage owners can
# change again.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gateway_lib.sh"

start_all 4
platform_control '/_store?mode=busy' >/dev/null
sleep 2.5
load load 120 "$gateways"
sleep 2
platform_control '/_store?mode=up' >/dev/null
done=$(grep -c '^200$' "$dir/load")
echo "done $done of 120"
[ "$done" -ge 119 ] || { sort "$dir/load" | uniq -c; exit 1; }
grep -q '"ev":"store.lost"' "$dir/gw1.log" || { echo "no outage seen"; exit 1; }
platform_control '/_kill?i=2' >/dev/null
wait_served 12 || { echo "no change of owners after the outage"; exit 1; }
check_platform
