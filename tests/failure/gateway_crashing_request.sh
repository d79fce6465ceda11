# A request ends each backend server that runs it, and comes again at every
# gateway, while leaders are killed: it is refused soon, also by gateways that
# started after it was found, and after all have started anew.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gateway_lib.sh"

SECONDS_OF_REPETITIONS=10
SERVED_PERCENT=95

# repeat METHOD PATH SECONDS: the request at each gateway in turn.
repeat() {
	until_s=$(($(date +%s) + $3))
	while [ "$(date +%s)" -lt "$until_s" ]; do
		for g in $gateways; do
			n=$((n + 1))
			ask "$g" "$1" "$2" 4100 "c$n" >>"$dir/crashing"
			sleep 0.1
		done
	done
}

n=0
start_all 6
repeat GET /r/crash/1 $SECONDS_OF_REPETITIONS &
reader=$!
sleep 2
first=$(leader)
eval "kill -KILL \$gw$first"
start_gateway "$first"
wait $reader
n=1000
repeat POST /w/crash/2 $SECONDS_OF_REPETITIONS
# All gateways at once: what they knew is in the store.
for g in $gateways; do
	eval "kill -KILL \$gw$g"
done
for g in $gateways; do
	start_gateway "$g"
done
wait_served 20 || fail "not served after all gateways have started anew"
n=2000
repeat GET /r/crash/1 2
repeat POST /w/crash/2 2
load after 60 "$gateways"
grep " ends backend server " "$dir/platform.log"
sort "$dir/crashing" | uniq -c
check_platform
served=$(grep -c '^200$' "$dir/after")
[ $((100 * served)) -ge $((60 * SERVED_PERCENT)) ] ||
	{ sort "$dir/after" | uniq -c; fail "$served of 60 served at the end"; }
