#!/bin/sh
# usage: mutate_keyspace.sh [NAME]
# Remove one guard of the ownership of keys at a time on a scratch copy under
# build/mutate-keyspace and expect test_keyspace or test_keyspace_schedule to
# fail.  Fails when a guard's removal goes unnoticed.
set -eu
only=${1:-}
dir=build/mutate-keyspace
. "$(dirname "$0")/mutate_lib.sh"

for f in core/key.c core/keyspace.c core/keyplan.c tests/test_keyspace.c \
    tests/test_keyspace_schedule.c; do
	compile "$f" "$dir/obj/$(basename "$f" .c).o"
done

# mutate NAME SED: the edit must change core/keyspace.c.
mutate() {
	[ -z "$only" ] || [ "$only" = "$1" ] || return 0
	edit "$1" keyspace.c "$2" || return 0
	if run test_keyspace test_keyspace_schedule; then
		echo "$1: noticed by cases"
		caught=$((caught + 1))
	elif run test_keyspace_schedule test_keyspace 1000 400; then
		echo "$1: noticed by schedules"
		caught=$((caught + 1))
	else
		echo "$1: NOT NOTICED"
		missed=$((missed + 1))
	fi
}

# Orders before the record of the term is stored.
mutate RECORD_FIRST \
    's/ks->stored == 0 \|\| now_ms < ks->distrust_ms/now_ms < ks->distrust_ms/'
# A lease is not waited out.
mutate LAPSE 's/r->sent_ms \+ longest_hold_ms\(ks\)/r->sent_ms/'
# A former leader's orders are not waited out.
mutate FOREIGN 's/return ks->sole_ms \+ ks->former_limit_ms;/return 0;/'
mutate FOREIGN_SOLO 's/ks->sole_ms = now_ms \+ ks->p.solo_ms;/ks->sole_ms = now_ms;/'
# A record says that nobody else gives orders, whoever may.
mutate SOLE 's/ks->sole = now_ms >= ks->sole_ms;/ks->sole = true;/'
# The leases of a former leader that has stopped are not waited out.
mutate SOLE_HOLD 's/ks->sole_ms \+ ks->former_limit_ms;/ks->sole_ms;/'
# A former leader's longer leases are not waited out.
mutate FOREIGN_HOLD 's/former_hold_ms > ks->p.hold_ms \?/false ?/'
# A range that a former leader may renew is moved.
mutate FOREIGN_IDLE \
    's/r->state == RANGE_SETTLED \&\& r->foreign_ms != 0/0/'
# A lease counts from when its order was made, not from its latest arrival.
mutate ARRIVAL '/case DH_KEY_ACCEPTED:/{n;s/r->sent_ms = now_ms;//}'
# An order without an answer is forgotten.
mutate DOUBT 's/r->doubt_ms = now_ms \+.*$/r->doubt_ms = 0;/'
# A move goes on record while an order is open.
mutate RECORD_OPEN \
    's/\(r->ticket == 0 \&\& now_ms >= r->doubt_ms\)/1/'
# The owner is renewed while its move may be on record.
mutate RENEW_MOVED \
    's/r->pending == PENDING_MOVE \&\& r->pending_first != 0/0/'
# A new life is granted keys by a term that was confirmed before it.
mutate NEW_LIFE 's/ks->stored <= s->known_serial/0/'
# An order to the life before is forgotten when the owner starts anew.
mutate VOID 's/r->ticket_void = r->ticket != 0;/r->ticket = 0;/'
# A release without an answer counts as one.
mutate RELEASE 's/answer != DH_KEY_ACCEPTED/0/'
# A write that was refused is remembered as one that holds its moves.
mutate REFUSED '/pending_first = 0;$/{n;s/ks->ranges\[i\].pending_serial = 0;//}'
# What has no owner is granted though a forgotten leader may have given it away.
mutate TAKEN 's/ \&\& now_ms < r->taken_ms/ \&\& 0/'
# A successor is not warned of that.
mutate TAKEN_RECORD 's/now_ms < ks->ranges\[i\].taken_ms/0/'
# A record of an era before is trusted.
mutate DISTRUST 's/ \|\| now_ms < ks->distrust_ms//'
# A successor is not told of it.
mutate DISTRUSTED 's/ks->distrusted = is_distrusted.ks, now_ms.;/;/'
# A leader that never stored anything goes on.
mutate NOTHING_STORED 's/if \(ks->stored == 0\)$/if (0)/'
# Tokens do not rise with the era.
mutate FLOOR 's/ks->next_fence = fence_floor \+ 1;/;/'
# Nobody else may have been forgotten.
mutate FORGOTTEN_FOREIGN 's/ks->ranges\[i\].foreign_ms = foreign_until_ms\(ks\);/;/'

summary
