#!/bin/sh
# A drill of the store and a planned stop of the leading VM at the same time,
# some seconds after the first start: the store's copy is older than the first
# record of owners.  See claim.txt.  TROUBLE=0: the stop without the drill.
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt # what was sent, answered and run
. "$here/../lib-2.sh"

# The copy is "some seconds old"; with an older one the case is not run.
COPY_MAX_MS=6000

has_record() {
	curl -s -f -m 1 -o /dev/null \
	    "http://127.0.0.1:$base/dogwoodhub/objects/dogwoodhub-owners/service.keyed"
}

start_platform 5
# The last backend server joins later.
control '/_kill?i=4'
sleep 3
for g in $gateways; do
	start_gateway "$g"
done
# The copy is as old as the last look at the store that found no record.
looks=0
while now=$(date +%s%3N) && ! has_record && [ "$looks" -lt 500 ]; do
	copy=$now
	looks=$((looks + 1))
	sleep 0.02
done
wait_served
control '/_start?i=4'
say "backend server i-4 has joined"
sleep 1
l=$(leader dogwoodhub-owners)
[ "$l" ] || cannot_run "no leader in the store"
others=$(echo "$gateways" | sed "s/$l//")
for g in $others; do
	load "c$g" 8 "$g" &
	loaders="$loaders $!"
done
sleep 0.5
eval "stopped=\$gw$l"
say "SIGTERM to gw$l"
kill -TERM "$stopped"
sleep 0.2
if [ "$trouble" = 1 ]; then
	control '/_store?mode=busy'
	sleep 0.3
	age=$(($(date +%s%3N) - copy + 10))
	[ "$age" -le "$COPY_MAX_MS" ] || cannot_run "the copy is $age ms old"
	say "the store comes back from a copy that is $age ms old"
	control "/_back?ms=$age"
	control '/_store?mode=up'
fi
stop_gateway "$stopped"
say "gw$l has ended, and starts again"
start_gateway "$l"
sleep 3
judge
