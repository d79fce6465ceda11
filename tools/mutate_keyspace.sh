#!/bin/sh
# usage: mutate_keyspace.sh [NAME]
# Mutation test of core/keyspace.c: removes one safety check at a time from a
# copy under build/mutate-keyspace and runs test_keyspace and
# test_keyspace_schedule on it.  Fails if no test fails for a mutant.
set -eu
only=${1:-}
dir=build/mutate-keyspace
. "$(dirname "$0")/mutate_lib.sh"

for f in core/key.c core/keyspace.c core/keyplan.c tests/test_keyspace.c \
    tests/test_keyspace_schedule.c; do
	compile "$f" "$dir/obj/$(basename "$f" .c).o"
done

# mutate NAME SED: test the mutant that SED makes of core/keyspace.c.
mutate() {
	[ -z "$only" ] || [ "$only" = "$1" ] || return 0
	edit "$1" keyspace.c "$2" || return 0
	if run test_keyspace test_keyspace_schedule; then
		echo "$1: caught by test_keyspace"
		caught=$((caught + 1))
	elif run test_keyspace_schedule test_keyspace 1000 400; then
		echo "$1: caught by test_keyspace_schedule"
		caught=$((caught + 1))
	else
		echo "$1: NOT CAUGHT"
		missed=$((missed + 1))
	fi
}

# Orders are sent before the leader has stored a record.
mutate RECORD_FIRST \
    's/ks->stored_serial == 0 \|\| now_ms < ks->no_orders_until_ms/now_ms < ks->no_orders_until_ms/'
# The end of a lease is not waited for.
mutate LAPSE 's/r->grant_arrival_ms \+ own_lease_limit_ms\(ks\)/r->grant_arrival_ms/'
# The last orders of a former leader are not waited for.
mutate FOREIGN 's/return ks->former_stop_ms \+ ks->former_lease_max_ms;/return 0;/'
mutate FOREIGN_SOLO 's/ks->former_stop_ms = last_write_ms \+ ks->p.storeless_max_ms;/ks->former_stop_ms = last_write_ms;/'
# The record says that no former leader sends orders, although one may.
mutate SOLE 's/ks->sole_leader = now_ms >= ks->former_stop_ms;/ks->sole_leader = true;/'
# The leases of a former leader that has stopped are not waited for.
mutate SOLE_HOLD 's/ks->former_stop_ms \+ ks->former_lease_max_ms;/ks->former_stop_ms;/'
# The longer leases of a former leader are not waited for.
mutate FOREIGN_HOLD 's/former_lease_ms > ks->p.lease_ms \?/false ?/'
# A range that a former leader may renew is moved.
mutate FOREIGN_IDLE \
    's/r->state == RANGE_SETTLED \&\& r->former_lease_until_ms != 0/0/'
# A lease counts from the time when its order was made instead of from the
# latest time at which the order may have arrived.
mutate ARRIVAL '/case DH_KEY_ACCEPTED:/{n;s/r->grant_arrival_ms = now_ms;//}'
# An unanswered grant is ignored.
mutate DOUBT 's/r->late_grant_until_ms = now_ms \+.*$/r->late_grant_until_ms = 0;/'
# A move is written to the record while an order is in flight.
mutate RECORD_OPEN \
    's/\(r->order_id == 0 \&\& now_ms >= r->late_grant_until_ms\)/1/'
# The lease is renewed while the record may contain the move.
mutate RENEW_MOVED \
    's/r->pending == PENDING_MOVE \&\& r->pending_first_serial != 0/0/'
# A restarted backend server is granted keys by a leader that has not stored a
# record since.
mutate NEW_LIFE 's/ks->stored_serial <= s->first_seen_serial/0/'
# An order in flight is ignored when the owner restarts.
mutate VOID 's/r->order_outdated = r->order_id != 0;/r->order_id = 0;/'
# An unanswered release counts as executed.
mutate RELEASE 's/answer != DH_KEY_ACCEPTED/0/'
# The moves of a write that was refused still count as exported.
mutate REFUSED '/pending_first_serial = 0;$/{n;s/ks->ranges\[i\].pending_last_serial = 0;//}'
# A range without an owner is granted although another leader whose record the
# store has lost may have granted it.
mutate TAKEN 's/ \&\& now_ms < r->unknown_lease_until_ms/ \&\& 0/'
# The record does not say that backend servers may hold such ranges.
mutate TAKEN_RECORD 's/now_ms < ks->ranges\[i\].unknown_lease_until_ms/0/'
# Orders are sent at once on the basis of a record that may be stale.
mutate DISTRUST 's/ \|\| now_ms < ks->no_orders_until_ms//'
# The exported record does not say that it may be stale.
mutate DISTRUSTED 's/ks->record_stale = may_have_unknown_owners.ks, now_ms.;/;/'
# A leader that has never stored a record continues after the store was restored.
mutate NOTHING_STORED 's/if \(ks->stored_serial == 0\)$/if (0)/'
# New tokens are not above those of the previous era.
mutate FLOOR 's/ks->next_fence = fence_floor \+ 1;/;/'
# Leases of another leader whose record the store has lost are not waited for.
mutate FORGOTTEN_FOREIGN 's/ks->ranges\[i\].former_lease_until_ms = former_leases_end_ms\(ks\);/;/'
# A leader that may have been replaced grants keys to a process that it has never
# granted any to.
mutate SAME_PROCESS 's/ks->leading_ms \+ ks->p.leading_valid_ms/INT64_MAX/'
# A grant that was withheld counts as one that may have arrived.
mutate WITHHELD 's/r->grant_arrival_ms = r->earlier_arrival_ms;//'

summary
