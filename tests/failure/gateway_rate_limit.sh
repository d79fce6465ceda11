# Backend servers name in their answers how many requests a second they take
# from all gateways together: they get no more, while most requests are served
# since their keys move to others.  Once a limit is lifted all are served.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gateway_lib.sh"

gateways="1 2 3 4"
LIMITED_S=9
SERVED_PERCENT=75

# loads NAME N: N requests at each gateway at the same time.
loads() {
	loaders=
	for g in $gateways; do
		load "$1-$g" "$2" "$g" &
		loaders="$loaders $!"
	done
	for p in $loaders; do
		wait "$p"
	done
}

# served NAME: percentage of the requests that were served.
served() {
	cat "$dir/$1"-* | awk '{ n++ } /^200$/ { done++ }
	    END { print int(100 * done / n) }'
}

start_all 6
loads before 100
echo "before: $(served before) % served"
platform_control "/_limit?i=1&per_s=3" >/dev/null
platform_control "/_limit?i=4&per_s=0.8" >/dev/null
end=$(($(date +%s) + LIMITED_S))
k=0
while [ "$(date +%s)" -lt $end ]; do
	loads "limited-$k" 60
	k=$((k + 1))
done
echo "limited: $(served limited) % served"
platform_control "/_limit?i=1&per_s=0" >/dev/null
platform_control "/_limit?i=4&per_s=0" >/dev/null
sleep 1
loads lifting 60
loads after 100
echo "after: $(served after) % served"
grep -q '"ev":"server.rate_limit"' "$dir"/gw*.log ||
	{ echo "no gateway has noticed a limit"; exit 1; }
for p in before limited after; do
	[ "$(served $p)" -ge $SERVED_PERCENT ] ||
		{ cat "$dir/$p"-* | sort | uniq -c; exit 1; }
done
[ "$(served after)" -ge 98 ] ||
	{ cat "$dir"/after-* | sort | uniq -c; exit 1; }
check_platform
