#!/bin/sh
# One key becomes hot on a backend server that owns others as well: it ends
# up as the only key there and never has two owners.  Then other keys become
# hot, and the pins follow.  With hot_keys=false in the environment it must
# fail.
. "$(dirname "$0")/lib.sh"
slots=64
backend_options='--service-ms 5'
start_cluster 3 4

owner() {
	curl -s -m 3 -o /dev/null -D - "$(vm_url 1)/feed/$1" | tr -d '\r' |
	    sed -n 's/^Test-Server: //p'
}

# pinned_at KEY: the backend server of a hot key by the leader's status.
pinned_at() {
	v=$(leader_of feed/0 1)
	curl -sf -m 2 "$(admin_url "${v#v}")/status" | tr '{' '\n' |
	    sed -n "s/.*\"key\":\"$1\".*\"backend_server\":\"\([^\"]*\)\".*/\1/p"
}

# others_at BACKEND: how many of 40 other keys the backend server owns.
others_at() {
	k=0 others=0
	while [ "$k" -lt 40 ]; do
		[ "$(owner "other-$k")" != "$1" ] || others=$((others + 1))
		k=$((k + 1))
	done
	echo "$others"
}

# alone KEY: succeeds if the key's backend server owns at most 2 of the 40 other
# keys.
alone() {
	at=$(owner "$1")
	[ "$at" ] && [ "$(others_at "$at")" -le 2 ]
}

is_pinned() {
	[ "$(pinned_at "$1")" ] && [ "$(pinned_at "$1")" = "$(owner "$1")" ]
}

# Reads the status only: requests would keep the key hot.
not_pinned() {
	v=$(leader_of feed/0 1)
	[ "$v" ] && [ -z "$(pinned_at "$1")" ]
}

first=$(owner k7000)
[ "$(others_at "$first")" -gt 4 ] || fail "few other keys at $first"
start_load even --rate 100 --duration-ms 110000 --retries 2
even_pid=$load_pid
sleep 12
is_pinned k7000 && fail "pinned before it is hot"
start_load hot1 --rate 300 --duration-ms 30000 --retries 2 --keys 1 \
    --first-key 7000
hot1_pid=$load_pid
wait_for 25 "k7000 alone" alone k7000
wait_for 5 "pin of k7000 in the status" is_pinned k7000
ctl status | grep 'hot key of feed/0: "k7000"' || fail "dogwoodctl status"
wait "$hot1_pid" || fail "hot1: $(cat "$dir/hot1.out")"

start_load hot2 --rate 400 --duration-ms 60000 --retries 2 --keys 2 \
    --first-key 8000
hot2_pid=$load_pid
wait_for 25 "pin of k8000" is_pinned k8000
wait_for 5 "pin of k8001" is_pinned k8001
apart() {
	[ "$(owner k8000)" != "$(owner k8001)" ]
}
wait_for 30 "k8000 and k8001 apart" apart
wait_for 60 "end of the pin of k7000" not_pinned k7000
wait "$hot2_pid" || fail "hot2: $(cat "$dir/hot2.out")"
wait "$even_pid" || fail "even: $(cat "$dir/even.out")"
cat "$dir"/even.out "$dir"/hot1.out "$dir"/hot2.out
check_history
