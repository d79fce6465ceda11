#!/bin/sh
# usage: mutate_group.sh [NAME]
# Removes one guard of the group state machine at a time on a scratch copy under
# build/mutate.  The fault schedules that CI runs have to find a breach, or else
# a direct test of test_group has to fail.  Exits nonzero if a removal is not
# noticed, unless KNOWN-RED.txt has it as mutate-NAME.
set -eu
only=${1:-}
dir=build/mutate
. "$(dirname "$0")/mutate_lib.sh"

compile tests/test_group.c "$dir/test_group.o"
for f in core/*.c tests/test_group_schedule.c; do
	compile "$f" "$dir/obj/$(basename "$f" .c).o"
done

# fails_directly NAME: whether a test of test_group fails with the mutant.
fails_directly() {
	rm -f "$dir/mutant/test_group_schedule.o"
	${CC:-gcc} -o "$dir/direct" "$dir"/mutant/*.o "$dir/test_group.o" \
	    -lcunit -lm
	! timeout 300 "$dir/direct" >"$dir/$1.direct.log" 2>&1 || return 1
	echo "$1: noticed by $(grep -m1 'FAILED' "$dir/$1.direct.log" |
	    sed 's/^ *Test: /direct test "/; s/ *\.\.\..*/"/')"
}

# mutate NAME FILE SED [direct]: the edit must change FILE.  With "direct" the
# direct tests run first, because the schedules do not notice the mutant.
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

# The leader does not wait for the deputy's answer to a revocation.
mutate revocation group_wait.c \
    's/b->revoke == REVOKE_DONE/b->revoke != REVOKE_NONE/'
# Without support, leader and deputy renew leases in their own zone, too.
mutate own-zone group_lease.c \
    's/ && b->conf.zone != g->self.zone//'
# Without support, they renew leases of backend servers that check no fences.
mutate solo-unchecked group_lease.c \
    's/b->conf.checks_fence && (b->conf.zone != g)/\1/'
# A new leader does not wait for renewals by the former leader.
mutate takeover-wait group_wait.c \
    's/(same|other)_zone_end_ms = now \+ group_at_least.*/\1_zone_end_ms = now;/'
# A change of owner keeps the fencing token.
mutate fence-raise group_move.c \
    's/\.fence = next_fence\(g\)/.fence = g->cur[slot].fence/'
# The end of an order is later than the end of the lease.
mutate until group_lease.c \
    's/b->clock_ms \+ group_at_most\(g, /b->clock_ms + 2 * (/'
# The leader does not wait for the end of a lease.
mutate lapse group_lease.c \
    's/t \+= group_at_least\(g, g->p.lease_ms\)/t += 1/'
# A restart of a backend server is not detected.
mutate incarnation group_lease.c \
    's/if \(b->incarnation != 0\)/if (false)/'
# A leader that has only the store's record trusts the owners in it.
mutate doubt group_term.c \
    's/^\t\tdoubt_all_slots\(g\);//'
# During an outage of the store any backend server may get a slot.
mutate candidates group_store.c \
    's/return id != 0 \&\& .*/return true;/'
# Renewing without support has no time limit.
mutate solo-limit group_term.c \
    's/(base|g->peer.echoed_ms) \+ g->p.solo_limit_ms/DH_FOREVER_MS/'
# Support counts from the arrival of a message, not from its echo.
mutate echo group_peer.c \
    's/g->peer.echoed_ms = m->echo_ms/g->peer.echoed_ms = g->now_ms/'
# A lost answer of the store counts as success.
mutate lost-reply group_store.c \
    's/^\tg->store.failing = true;/\tgroup_commit_stored(g, g->store.put_record ? g->store.put_record : \&(struct dh_group_record){0});/'
# The leader does not wait for renewals by a replaced deputy.
mutate replaced-deputy group_deputy.c \
    's/g->peer.heard_ms \+ group_at_least\(g, g->p.solo_limit_ms\)/same_zone_end_ms/'
# The deputy is not told how long earlier leases may be renewed.
mutate inherited-wait group_peer.c \
    's/m->earlier_renewals_ms = group_renewal_wait_ms\(g\)/m->earlier_renewals_ms = 0/'
# The leader does not wait for older grants to a backend server without fence
# checks to expire.
mutate settle group_lease.c \
    's/b->order_sent_ms >= old_sets_expiry_ms\(g, b\);/true;/'
# The deputy renews by a copy that is not complete.
mutate synced group_term.c \
    's/ \|\| !g->peer.synced \|\| / || /'
# A deputy that was replaced and named again trusts its old copy.
mutate deputy-seq group_term.c \
    's/r->deputy_seq == g->deputy_seq/true/'
# A message is accepted by a later incarnation than it names.
mutate to-incarnation group_peer.c \
    's/m->to_incarnation != g->self.incarnation/false/'
# Leader and deputy acknowledge while the store may name another deputy.
mutate naming group_move.c \
    's/g->store.put_unresolved \&\& g->next_deputy != 0/false/'
# A leader that was disconnected deposes its successor.
mutate deposed group_term.c \
    's/g->deposed = true/g->deposed = false/'
# Former leaders and deputies that are alive are sent no END.
mutate end-asks group_term.c \
    's/^\tgroup_earlier_vms_notify\(g\);//' direct
# A former deputy answers END and keeps its authority.
mutate end-drops group_peer.c \
    's/if \(g->mode == MODE_DEPUTY\) \{/if (false) {/' direct
# A former deputy whose own update may still take effect answers END.
mutate end-taking group_peer.c \
    's/if \(g->mode == MODE_TAKING\)/if (false)/' direct
# An incarnation that started after the last confirmation is granted slots.
mutate new-incarnation group_lease.c \
    's/return b->seen_ms <= g->store.confirmed_ms;/return true;/' direct
# A VM that was not deputy waits no longer than the deputy would.
mutate third-limit group_wait.c \
    's/solo_end_ms \+ group_at_least.*/solo_end_ms;/' direct
# A deputy whose own update is under way still answers its leader.
mutate take-stops-acks group_peer.c \
    's/m->term == g->term \&\& g->mode == MODE_TAKING/false/'
# A lost answer to the update that takes the term counts as a failed update.
mutate read-back group_term.c \
    's/if \(!g->store.put_unresolved\) \{/if ((g->store.put_unresolved = false) == false) {/'
# Leases of the old term count as ended before the new term is accepted.
mutate hello-fences group_wait.c \
    's/b->hold == HOLD_OURS \&\& b->conf.checks_fence/b->conf.checks_fence/'
# A deputy that takes over writes the older of two assignments.
mutate take-newer group_term.c \
    's/dh_fence_cmp\(g->cur\[i\].fence, r->slots\[i\].fence\) > 0/false/'
# A VM that is proven to have ended counts as having renewed no lease.
mutate death-lease group_wait.c \
    's/group_min_ms\(p->(same|other)_zone_end_ms, g->now_ms\)/DH_NEVER_MS/'
# The leader does not wait for the earlier VMs that the record names.
mutate earlier-waited group_wait.c \
    's/earlier_all_ended = !recorded_vms_add\(g, pair_end_ms\);/earlier_all_ended = true;/' direct
# A leader drops the earlier VMs that the record of the old term names.
mutate earlier-kept group_term.c \
    's/g->take.earlier = r->earlier;/g->take.earlier = (struct dh_group_earlier){ 0 };/' direct

summary
