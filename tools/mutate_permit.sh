#!/bin/sh
# usage: mutate_permit.sh [NAME]
# Mutation test of core/permit.c: removes one guard at a time (MODEL.md, findings
# 12 to 16) on a scratch copy under build/mutate-permit and expects test_permit
# or test_permit_schedule to fail.  Exits non-zero if both pass for a mutant.
set -eu
only=${1:-}
dir=build/mutate-permit
. "$(dirname "$0")/mutate_lib.sh"

for f in core/*.c tests/test_permit.c tests/test_permit_schedule.c; do
	compile "$f" "$dir/obj/$(basename "$f" .c).o"
done

# mutate NAME SED: tests the mutant NAME, made from core/permit.c by SED, which
# must change the file.
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

# An id that was answered NOT_RUN is not closed.
mutate CLOSE \
    's/^\t    ->answer.retry_ms = p->expiry_ms - now \+ v->p.deputy_timeout_ms;/&\n\tdelete_permit(v, p);\n\treturn;/'
# The leader closes an id without the deputy.
mutate CLOSE_BOTH \
    's/^\tsend_to_deputy\(v, p, DH_PERMIT_CLOSED, now, out\);/\twait_add(v, p); if (is_confirmed(v, now)) { answer_not_run(v, p, now, out); return; } wait_remove(v, p);/'
# A further refusal does not extend the closing of an id.
mutate CLOSE_RENEWS 's/due = at_least\(p->expiry_ms, due\)/due = p->expiry_ms/'
# An unused permit that is closed expires at once.
mutate CLOSE_FIRST \
    's/^\t\tstart_close\(v, p, p->router, p->token, now, out\);/\t\tstart_close(v, p, p->router, p->token, now, out); p->expiry_ms = now;/'
# CLOSE closes an id whose permit belongs to another attempt.
mutate HELD_UNKNOWN \
    's/p->router == ev->close.router \&\&/true ||/'
# NOT_RUN is answered without the store's confirmation, or with an old one.
mutate REFUSE_STORE 's/return now - v->confirmed_ms < v->p.confirm_valid_ms;/return true;/'
# Ids of the period in which the former pair may still answer NOT_RUN count as
# new.
mutate SINCE_FENCE 's/v->lost_before_wall_ms = wall \+ .*/v->lost_before_wall_ms = wall;/'
# A leader that was not the deputy before keeps its closed ids.
mutate SINCE_CLOSED 's/^\t\tdelete_closed\(v\);//'
# The loss of permits is not recorded.
mutate SINCE 's/^\t\tv->lost = true;/\t\tv->lost = false;/'
# The check for ids newer than a loss of permits ignores the clock skew.
mutate SKEW 's/v->lost_before_wall_ms \+ v->p.clock_skew_ms/v->lost_before_wall_ms/'
# Ids with a timestamp in the future count as new.
mutate FUTURE 's/ms < 0 \|\| ms > wall \+ v->p.clock_skew_ms/ms < 0/'
# Ids older than retention_ms count as new.
mutate AGE 's/ms < wall - v->p.retention_ms \? ID_FORGOTTEN/false ? ID_FORGOTTEN/'
# The permits of a deputy that takes over count as complete before it has
# received them all.
mutate SYNC 's/v->role == ROLE_DEPUTY \&\& v->complete/v->role == ROLE_DEPUTY/'
# END from any attempt releases the permit.
mutate RELEASE_HOLDER \
    's/p->router != ev->end.router \|\|/false \&\&/'
# A permit is deleted at its deadline instead of ending as UNKNOWN.
mutate PERMIT_EXPIRY \
    's/^\t\t\tend_permit\(v, p, DH_OUTCOME_UNKNOWN, 0, now\);/\t\t\tdelete_permit(v, p);/'
# The leader grants permits without the deputy.
mutate BOTH \
    's/^(\twait_add\(v, p\);)$/\1 if (p->state == DH_PERMIT_PENDING) { (void)add_answer(out, p->router, p->id, p->token, DH_PERMIT_RUN); }/'

summary
