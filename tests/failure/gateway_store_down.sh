# The store answers nobody for six seconds, three times a lease: the leader goes
# on renewing and requests go on; after it a change of owners is possible again.
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
