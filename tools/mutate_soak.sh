#!/bin/sh
# usage: mutate_soak.sh FIRST COUNT SECONDS [NAME]
# Remove one guard at a time from a scratch copy under build/mutate-soak and
# run the soak of the gateways on it, until a seed fails: shows what the soak
# can find.  By hand; takes minutes a guard.
set -u
first=$1 count=$2 seconds=$3 only=${4:-}
dir=build/mutate-soak

# mutate NAME FILE SED
mutate() {
	[ -z "$only" ] || [ "$only" = "$1" ] || return 0
	rm -rf "$dir"
	mkdir -p "$dir"
	git ls-files | grep -v '^journal/' | cpio -pdm --quiet "$dir"
	sed -E "$3" "$2" >"$dir/$2"
	if cmp -s "$2" "$dir/$2"; then
		echo "$1: the edit changes nothing"
		return
	fi
	(cd "$dir" && make -s -j"$(nproc)" all >make.log 2>&1) || {
		echo "$1: does not build"
		return
	}
	seed=$first
	while [ "$seed" -lt $((first + count)) ]; do
		if ! (cd "$dir" && SEED=$seed SECONDS_OF_FAULTS=$seconds \
		    timeout 240 sh tests/failure/gateway_soak.sh build \
		    >soak.log 2>&1); then
			echo "$1: seed $seed: $(grep -aE \
			    '^BROKEN|^FAILED' "$dir/soak.log" | head -n 1)"
			return
		fi
		seed=$((seed + 1))
	done
	echo "$1: not found by $count seeds"
}

mutate lease-waited core/keyspace.c \
    's/r->grant_arrival_ms \+ own_lease_limit_ms\(ks\)/r->grant_arrival_ms/'
mutate release-answered core/keyspace.c 's/answer != DH_KEY_ACCEPTED/0/'
mutate record-first core/keyspace.c 's/if \(ks->stored_serial == 0\)$/if (0)/'
mutate former-leader core/keyspace.c \
    's/now_ms \+ ks->p.solo_ms \+ longest_hold_ms\(ks\);/0;/'
mutate may-have-run gateway/request.c \
    's/rq->may_have_run = true/rq->may_have_run = false/'
mutate own-answer gateway/upstream.c 's/!answer_matches_request\(/false \&\& !answer_matches_request(/'
mutate drain gateway/registry.c 's/if \(k->leaving_since_ms == 0\)$/if (1)/'
mutate higher-version gateway/registry.c \
    's/d->version <= \(\*reg->deployment\)->version/d->version != 0/'
