# Another writer's entry names the service and the address of a living backend
# server, and a later start.  The backend server answers as itself, so it keeps
# its keys and its requests, also with a leader that knows both entries from the
# start.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gateway_lib.sh"

start_all 4
platform_control "/_foreign?i=0" >/dev/null
load entry 240 "$gateways"
old=$(leader)
others=$(echo "$gateways" | sed "s/$old//")
eval "kill -KILL \$gw$old"
sleep 3
load successor 240 "$others"
for n in entry successor; do
	served=$(grep -c '^200$' "$dir/$n")
	echo "$n: $served of 240"
	[ "$served" -eq 240 ] || { sort "$dir/$n" | uniq -c; exit 1; }
done
grep -q '"ev":"server.asked".*agent-0.*"there":"another one"' "$dir"/gw*.log ||
	{ echo "nobody has asked at the address"; exit 1; }
check_platform
