#!/bin/sh
# usage: mutate_permit.sh [NAME]
# Remove one guard of the permits at a time (MODEL.md, findings 12 to 16) on a
# scratch copy under build/mutate-permit and expect test_permit or
# test_permit_schedule to fail.  Fails when a guard's removal goes unnoticed.
set -eu
only=${1:-}
dir=build/mutate-permit
. "$(dirname "$0")/mutate_lib.sh"

for f in core/*.c tests/test_permit.c tests/test_permit_schedule.c; do
	compile "$f" "$dir/obj/$(basename "$f" .c).o"
done

# mutate NAME SED: the edit must change core/permit.c.
mutate() {
	[ -z "$only" ] || [ "$only" = "$1" ] || return 0
	edit "$1" permit.c "$2" || return 0
	by=
	if run test_permit test_permit_schedule; then
		by=$(grep 'FAILED' "$dir/test_permit.log" |
		    sed 's/^ *Test: /"/; s/ *\.\.\..*/"/' | tr '\n' ' ')
	fi
	if run test_permit_schedule test_permit; then
		by="$by schedules"
	fi
	if [ "$by" ]; then
		echo "$1: noticed by $by"
		caught=$((caught + 1))
	else
		echo "$1: NOT NOTICED"
		missed=$((missed + 1))
	fi
}

# What is said not to have run is not closed from then on.
mutate CLOSE \
    's/^\t    ->answer.retry_ms = p->due_ms - now \+ v->p.hold_ms;/&\n\tdrop(v, p);\n\treturn;/'
# The leader closes it alone.
mutate CLOSE_BOTH \
    's/^\ttell_deputy\(v, p, DH_PERMIT_CLOSED, now, out\);/\twait_add(v, p); if (is_confirmed(v, now)) { answer_closed(v, p, now, out); return; } wait_remove(v, p);/'
# A further refusal does not close it anew.
mutate CLOSE_RENEWS 's/due = at_least\(p->due_ms, due\)/due = p->due_ms/'
# The permit that came to nothing is free at once.
mutate CLOSE_FIRST \
    's/^\t\tstart_close\(v, p, p->asker, p->token, now, out\);/\t\tstart_close(v, p, p->asker, p->token, now, out); p->due_ms = now;/'
# An id that another try holds is closed.
mutate HELD_UNKNOWN \
    's/p->asker == ev->close.asker \&\&/true ||/'
# Not run is said without the store's confirmation, or with an old one.
mutate REFUSE_STORE 's/return now - v->store_ms < v->p.confirm_ms;/return true;/'
# The time in which the pair before may still say not run is not lost.
mutate SINCE_FENCE 's/v->lost_wall_ms = wall \+ .*/v->lost_wall_ms = wall;/'
# What a VM that was not deputy has closed still counts.
mutate SINCE_CLOSED 's/^\t\tdrop_closed\(v\);//'
# A loss of memory is forgotten.
mutate SINCE 's/^\t\tv->lost = true;/\t\tv->lost = false;/'
# Newer than the loss, without the clocks' error.
mutate SKEW 's/v->lost_wall_ms \+ v->p.clock_skew_ms/v->lost_wall_ms/'
# Ids of the future are new.
mutate FUTURE 's/ms < 0 \|\| ms > wall \+ v->p.clock_skew_ms/ms < 0/'
# Old ids are new.
mutate AGE 's/ms < wall - v->p.retention_ms \? AGE_LOST/false ? AGE_LOST/'
# A new deputy counts before it holds all.
mutate SYNC 's/v->role == ROLE_DEPUTY \&\& v->complete/v->role == ROLE_DEPUTY/'
# Any try gives the permit back.
mutate RELEASE_HOLDER \
    's/p == NULL \|\| p->asker != ev->end.asker \|\|/p == NULL || false \&\&/'
# A permit outlives its try's deadline.
mutate PERMIT_EXPIRY \
    's/^\t\t\tend_permit\(v, p, DH_OUTCOME_UNKNOWN, 0, now\);/\t\t\tdrop(v, p);/'
# The leader gives permits by itself.
mutate BOTH \
    's/^(\twait_add\(v, p\);)$/\1 if (p->state == DH_PERMIT_HOLDING) { (void)answer(out, p->asker, p->id, p->token, DH_PERMIT_RUN); }/'

summary
