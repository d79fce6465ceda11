# A backend server stops answering and comes back as a new incarnation: other
# backend servers serve its keys once its leases have expired, and no key is
# ever served by two.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gateway_lib.sh"

start_all 4
platform_control '/_kill?i=1' >/dev/null
wait_served 8 ||
	{ echo "keys of the lost backend server are not served"; exit 1; }
platform_control '/_start?i=1' >/dev/null
load load 120 "$gateways"
done=$(grep -c '^200$' "$dir/load")
echo "done $done of 120"
[ "$done" -ge 116 ] || { sort "$dir/load" | uniq -c; exit 1; }
check_platform
