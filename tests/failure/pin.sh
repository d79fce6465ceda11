#!/bin/sh
# A pin places its key's slot on the backend server named, and keeps it there.
. "$(dirname "$0")/lib.sh"
start_cluster 2 4
owner() {
	curl -s -m 3 -o /dev/null -D - "$(vm_url 1)/feed/child-7" | tr -d '\r' |
	    sed -n 's/^Test-Server: //p'
}
first=$(owner)
for b in b1 b2 b3 b4; do
	[ "$b" = "$first" ] || break
done
{
	echo 'revisions,t=1'
	echo 'team,kind,name,backend_server'
	echo "t,pin,feed/child-7,$b"
} >"$dir/pin.csv"
ctl apply "$dir/pin.csv" >"$dir/apply.out" || fail "$(cat "$dir/apply.out")"
event accept ',"revision":2'
is_there() {
	[ "$(owner)" = "$b" ]
}
wait_for 20 "child-7 at $b" is_there
check_history
