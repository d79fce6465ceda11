#!/bin/sh
# usage: mutate_group.sh [NAME]
# Remove one guard of the group authority at a time on a scratch copy under
# build/mutate and expect the fault schedules that CI runs to find a breach, or
# else a direct test of test_group to fail.  Fails when a guard's removal goes
# unnoticed, unless KNOWN-RED.txt has it as mutate-NAME.
set -eu
only=${1:-}
dir=build/mutate
. "$(dirname "$0")/mutate_lib.sh"

compile tests/test_group.c "$dir/test_group.o"
for f in core/*.c tests/test_group_schedule.c; do
	compile "$f" "$dir/obj/$(basename "$f" .c).o"
done

# fails_directly NAME: whether a test of test_group notices the mutant.
fails_directly() {
	rm -f "$dir/mutant/test_group_schedule.o"
	${CC:-gcc} -o "$dir/direct" "$dir"/mutant/*.o "$dir/test_group.o" \
	    -lcunit -lm
	! timeout 300 "$dir/direct" >"$dir/$1.direct.log" 2>&1 || return 1
	echo "$1: noticed by $(grep -m1 'FAILED' "$dir/$1.direct.log" |
	    sed 's/^ *Test: /direct test "/; s/ *\.\.\..*/"/')"
}

# mutate NAME FILE SED [direct]: the edit must change FILE.  With "direct" the
# direct tests go first, since the schedules are known not to notice.
mutate() {
	[ -z "$only" ] || [ "$only" = "$1" ] || return 0
	edit "$1" "$2" "$3" || return 0
	${CC:-gcc} -o "$dir/schedule" "$dir"/mutant/*.o -lcunit -lm
	if [ "${4:-}" ] && fails_directly "$1"; then
		caught=$((caught + 1))
	elif timeout 300 "$dir/schedule" first >"$dir/$1.log" 2>&1; then
		if fails_directly "$1"; then
			caught=$((caught + 1))
			return 0
		fi
		if grep -q "^mutate-$1:" KNOWN-RED.txt; then
			echo "known red: $(grep "^mutate-$1:" KNOWN-RED.txt)"
			return 0
		fi
		echo "$1: NOT NOTICED"
		missed=$((missed + 1))
	elif grep -q '^seed' "$dir/$1.log"; then
		echo "$1: $(grep -m1 '^seed' "$dir/$1.log")"
		caught=$((caught + 1))
	else
		echo "$1: the run failed without a breach"
		missed=$((missed + 1))
	fi
}

# The deputy's consent to a revocation is not waited for.
mutate revocation group_wait.c \
    's/b->revoke == REVOKE_DONE/b->revoke != REVOKE_NONE/'
# Alone, the leader and the deputy renew their own zone, too.
mutate own-zone group_lease.c \
    's/ && b->conf.zone != g->self.zone//'
# Alone, they renew backend servers that check no fences.
mutate solo-unchecked group_lease.c \
    's/b->conf.checks_fence && (b->conf.zone != g)/\1/'
# A new leader does not wait for the old one's renewals.
mutate takeover-wait group_wait.c \
    's/(own|all) = now \+ group_slack.*/\1 = now;/'
# A change of owner keeps the fencing token.
mutate fence-raise group_move.c \
    's/\.fence = next_fence\(g\)/.fence = g->cur[slot].fence/'
# An order's end is not bound to the lease.
mutate until group_lease.c \
    's/b->clock_ms \+ group_short\(g, /b->clock_ms + 2 * (/'
# The lease is not waited out.
mutate lapse group_lease.c \
    's/t \+= group_slack\(g, g->p.lease_ms\)/t += 1/'
# A restart of a backend server goes unnoticed.
mutate incarnation group_lease.c \
    's/if \(b->incarnation != 0\)/if (false)/'
# A leader that knows only the store does not doubt its owners.
mutate doubt group_term.c \
    's/^\t\tdoubt_all\(g\);//'
# In an outage any backend server is given a slot.
mutate candidates group_store.c \
    's/return id != 0 \&\& .*/return true;/'
# Renewing alone has no end.
mutate solo-limit group_term.c \
    's/(base|g->peer.base_ms) \+ g->p.solo_limit_ms/DH_FOREVER_MS/'
# Support counts from the arrival, not from the echo.
mutate echo group_peer.c \
    's/g->peer.base_ms = m->echo_ms/g->peer.base_ms = g->now_ms/'
# A lost answer counts as success.
mutate lost-reply group_store.c \
    's/^\tg->store.failing = true;/\tgroup_commit_stored(g, g->store.put_record ? g->store.put_record : \&(struct dh_group_record){0});/'
# A replaced deputy is not waited for.
mutate replaced-deputy group_deputy.c \
    's/all = g->peer.heard_ms \+ group_slack.*/all = own;/'
# Waits are not handed on to the next leader.
mutate inherited-wait group_peer.c \
    's/m->wait_ms = group_wait\(g\)/m->wait_ms = 0/'
# Older grants to a backend server without fence checks are not waited out.
mutate settle group_lease.c \
    's/b->busy_ms >= settle_end\(g, b\);/true;/'
# The deputy renews by a copy that it has not been brought up to date.
mutate synced group_term.c \
    's/ \|\| !g->peer.synced \|\| / || /'
# A deputy that was replaced and named again trusts what it knew.
mutate deputy-seq group_term.c \
    's/r->deputy_seq == g->deputy_seq/true/'
# A message reaches a later incarnation than it was meant for.
mutate to-incarnation group_peer.c \
    's/m->to_incarnation != g->self.incarnation/false/'
# The pair acknowledges while the store may name another deputy.
mutate naming group_move.c \
    's/g->store.put_open \&\& g->next_deputy != 0/false/'
# A leader that was cut off deposes its successor.
mutate deposed group_term.c \
    's/g->deposed = true/g->deposed = false/'
# Former leaders and deputies that are alive are waited out.
mutate end-asks group_term.c \
    's/^\tgroup_parties_ask\(g\);//' direct
# A former deputy answers that its term is over, and keeps its authority.
mutate end-drops group_peer.c \
    's/if \(g->mode == MODE_DEPUTY\) \{/if (false) {/' direct
# A former deputy whose own update may still take effect answers it, too.
mutate end-taking group_peer.c \
    's/if \(g->mode == MODE_TAKING\)/if (false)/' direct
# Any incarnation of a backend server is granted slots.
mutate new-incarnation group_lease.c \
    's/return b->seen_ms <= g->store.base_ms;/return true;/' direct
# A third VM waits no longer than the deputy.
mutate third-limit group_wait.c \
    's/int64_t pair = solo \+ .*/int64_t pair = solo;/' direct
# A deputy whose own update is under way still answers its leader.
mutate take-stops-acks group_peer.c \
    's/m->term == g->term \&\& g->mode == MODE_TAKING/false/'
# A lost answer to the update that takes the term counts as failure.
mutate read-back group_term.c \
    's/if \(!g->store.put_open\) \{/if ((g->store.put_open = false) == false) {/'
# The lease of the old term counts as over before the new one is accepted.
mutate hello-fences group_wait.c \
    's/b->hold == HOLD_OURS \&\& b->conf.checks_fence/b->conf.checks_fence/'
# A deputy that takes over writes the older of two assignments.
mutate take-newer group_term.c \
    's/dh_fence_cmp\(g->cur\[i\].fence, r->slots\[i\].fence\) > 0/false/'
# Whoever is proven dead left no lease behind.
mutate death-lease group_wait.c \
    's/group_min_ms\(p->(own|all)_ms, g->now_ms\)/DH_NEVER_MS/'
# Those that the object names are not waited for.
mutate earlier-waited group_wait.c \
    's/alone = !earlier_parties\(g, pair\);/alone = true;/' direct
# A leader forgets whom the object of the term before named.
mutate earlier-kept group_term.c \
    's/g->take.earlier = r->earlier;/g->take.earlier = (struct dh_group_earlier){ 0 };/' direct

summary
