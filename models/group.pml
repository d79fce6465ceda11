/*
 * Model of the authority over one slot: three VMs, the store and NB backend
 * servers.
 *
 * A tick of time decrements every countdown.  No step is forced to happen: a
 * VM, the store or a backend server may take no step for any number of ticks,
 * which models pauses, partitions, link loss, store outages and frozen backend
 * servers.  A delayed order, acknowledgement or conditional update is kept in
 * a buffer for one such message and may take effect at any later time.
 *
 * Each guard G_* is one rule of the protocol.  It is 1 unless the command line
 * says -DG_NAME=0; tools/run_models.sh removes the guards one by one.
 */
#ifndef CHECKS
#define CHECKS 1 /* the backend servers check fences */
#endif
#ifndef NB
#define NB 2 /* number of backend servers */
#endif
#ifndef LEASE
#define LEASE 2
#endif
#ifndef SUPPORT
#define SUPPORT 1
#endif
#ifndef SOLO
#define SOLO 1
#endif
#ifndef OUTAGE
#define OUTAGE 3 /* ticks for which a leader may reassign without the store */
#endif
#ifndef MAXTERM
#define MAXTERM 2 /* largest term; the first is 1 */
#endif
#ifndef MAXVER
#define MAXVER 1 /* largest number of owner changes */
#endif
#ifndef VM_CRASHES
#define VM_CRASHES 1
#endif
#ifndef RESTARTS
#define RESTARTS 1 /* restarts of backend servers */
#endif
#ifndef DELAYS
#define DELAYS 1 /* number of delayed orders */
#endif
#ifndef NAMES
#define NAMES 1 /* number of times a leader names or removes a deputy */
#endif
#ifndef LATE_ACKS
#define LATE_ACKS 1 /* acknowledgements may be delayed */
#endif
#ifndef MOVES
#define MOVES 1 /* planned moves happen */
#endif
#ifndef ZONE_A
#define ZONE_A 0 /* zone of backend server 0; 0 is the first leader's zone */
#endif
#ifndef GOAL
#define GOAL 0 /* if not 0: number of the state to reach, see goal() */
#endif

#ifndef G_FENCE
#define G_FENCE 1 /* backend servers refuse lower fences */
#endif
#ifndef G_HELLO_FENCES
#define G_HELLO_FENCES 1 /* a hello raises the fence too */
#endif
#ifndef G_HELLO_FIRST
#define G_HELLO_FIRST 1 /* a leader sends orders only after an answered hello */
#endif
#ifndef G_HELLO_CUT
#define G_HELLO_CUT 1 /* an answered hello shortens the wait for leases of the
		       * old term, not for those of the leader's own term */
#endif
#ifndef G_LEASE_CLOCK
#define G_LEASE_CLOCK 1 /* leases expire while a backend server is frozen */
#endif
#ifndef G_VM_CLOCK
#define G_VM_CLOCK 1 /* authority expires while a VM is paused */
#endif
#ifndef G_ORDER_EXPIRY
#define G_ORDER_EXPIRY 1 /* an order expires with the lease that it grants */
#endif
#ifndef G_INCARNATION
#define G_INCARNATION 1 /* orders carry the backend server's incarnation */
#endif
#ifndef G_NEW_INCARNATION
#define G_NEW_INCARNATION 1 /* a new incarnation of a backend server gets
			     * grants only after a store confirmation that
			     * the leader requested after learning of it */
#endif
#ifndef G_VM_INCARNATION
#define G_VM_INCARNATION 1 /* a restarted deputy is no longer the deputy */
#endif
#ifndef G_REVOKE
#define G_REVOKE 1 /* reassign only after the deputy has revoked */
#endif
#ifndef G_REVOKE_LAST
#define G_REVOKE_LAST 1 /* the wait covers the deputy's last renewal */
#endif
#ifndef G_REPLACE_WAIT
#define G_REPLACE_WAIT 1 /* wait until a replaced deputy's leases have ended */
#endif
#ifndef G_FORMER_DEPUTY
#define G_FORMER_DEPUTY 1 /* a new deputy that takes over waits for its
			   * predecessor's leases too */
#endif
#ifndef G_LAPSE
#define G_LAPSE 1 /* grant only after the previous lease has expired */
#endif
#ifndef G_OWN_ZONE
#define G_OWN_ZONE 1 /* solo: no renewals in the VM's own availability zone */
#endif
#ifndef G_SOLO_CHECKED
#define G_SOLO_CHECKED 1 /* solo: no renewals without fence checks */
#endif
#ifndef G_SOLO_LIMIT
#define G_SOLO_LIMIT 1 /* the time of solo renewals is limited */
#endif
#ifndef G_SOLO_RENEW
#define G_SOLO_RENEW 1 /* solo: renewals only, no reassignment or grant */
#endif
#ifndef G_OUTAGE_LIMIT
#define G_OUTAGE_LIMIT 1 /* authority without the store is limited in time */
#endif
#ifndef G_ACK_AGE
#define G_ACK_AGE 1 /* support starts before the heartbeat is sent */
#endif
#ifndef G_CONFIRM_WRITE
#define G_CONFIRM_WRITE 1 /* the store confirms by a conditional update, not
			   * by a read, which may be stale */
#endif
#ifndef G_CONDITIONAL
#define G_CONDITIONAL 1 /* updates of the store are conditional */
#endif
#ifndef G_READ_BACK
#define G_READ_BACK 1 /* after a put without reply the record is read */
#endif
#ifndef G_TAKE_STOPS_ACKS
#define G_TAKE_STOPS_ACKS 1 /* a deputy that takes over stops acknowledging */
#endif
#ifndef G_TAKE_WAIT
#define G_TAKE_WAIT 1 /* a new leader waits until the old authority ends */
#endif
#ifndef G_WAIT_FROM_EFFECT
#define G_WAIT_FROM_EFFECT 1 /* the wait for the old authority starts when
			      * the new leader's put is known to have taken
			      * effect, not when the put is sent */
#endif
#ifndef G_THIRD_LIMIT
#define G_THIRD_LIMIT 1 /* a third VM also waits for the store outage limit */
#endif
#ifndef G_DEATH_LEASE
#define G_DEATH_LEASE 1 /* after proof of death the wait is still one lease */
#endif
#ifndef G_ASK_STANDBY
#define G_ASK_STANDBY 1 /* after a takeover the standby may be the owner */
#endif
#ifndef G_STANDBY_ONLY
#define G_STANDBY_ONLY 1 /* without the store only the recorded owner and its
			  * standby can become owner */
#endif
#ifndef G_SAME_TARGET
#define G_SAME_TARGET 1 /* an unresolved record keeps its target */
#endif
#ifndef G_TAKE_NEWER
#define G_TAKE_NEWER 1 /* the deputy takes the newer of its own record and
			* the store's */
#endif
#ifndef G_THIRD_ASKS
#define G_THIRD_ASKS 1 /* a third VM that takes over asks the old leader and
			* deputy for their assignments */
#endif
#ifndef G_ASK_AFTER
#define G_ASK_AFTER 1 /* the third VM asks after its put has taken effect, not
		       * before */
#endif
#ifndef G_ANSWER_HOLDS
#define G_ANSWER_HOLDS 1 /* an answer counts only from the old leader or deputy,
			  * and only if that VM has not restarted */
#endif
#ifndef G_NAME_RECORDS
#define G_NAME_RECORDS 1 /* every put writes the whole record: naming a deputy
			  * also records the assignment that only the leader
			  * and the old deputy held */
#endif
#ifndef G_ANSWER_DROPS
#define G_ANSWER_DROPS 1 /* a VM that answers a newer leader leaves the old
			  * term */
#endif
#ifndef G_DEPUTY_ACTIVE
#define G_DEPUTY_ACTIVE 1 /* a deputy renews only leases that its leader may
			   * renew */
#endif
#ifndef G_RECORD
#define G_RECORD 1 /* acknowledge only assignments that the store or the deputy
		    * has recorded */
#endif
#ifndef G_RELEASE
#define G_RELEASE 1 /* a planned move waits for the owner's release */
#endif
#ifndef G_RELEASE_LAPSE
#define G_RELEASE_LAPSE 1 /* without fence checks a planned move also waits
			   * until unanswered orders have expired */
#endif
#ifndef G_RELEASE_RAISES
#define G_RELEASE_RAISES 1 /* a release carries a higher fence */
#endif

#define NV 3
#define NONE 3
/* Ticks until the last lease has ended that a VM with authority for `ticks`
 * can give: its last order leaves in the last of these ticks. */
#define LAST_LEASE(ticks) ((ticks) + LEASE - 1)

/* role of a VM */
#define IDLE 0
#define DEPUTY 1
#define TAKING 2
#define LEADER 3

/* kind of an order */
#define GRANT 1
#define RENEW 2

#define ZONE_VM(v) (v)
#define ZONE_B(b) ((b) == 0 -> ZONE_A : 1)
#define STANDBY(b) ((b) == 0 -> 1 : 0)
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define VB(v, b) ((v) * NB + (b))

/* the group's record in the store */
unsigned s_term : 2 = 1;
unsigned s_leader : 2 = 0;
unsigned s_writer : 2 = 0; /* the leader's incarnation */
unsigned s_deputy : 2 = 1;
unsigned s_owner : 2 = 0;
unsigned s_ver : 2 = 0;
unsigned s_version : 5 = 0;

/* VMs */
byte role[NV];
byte term[NV];
byte inc[NV];
byte auth[NV]; /* > SOLO: supported; 1..SOLO: solo; 0: nothing */
byte out[NV]; /* ticks left of the store outage limit */
byte owner[NV]; /* owner in the VM's copy of the assignment */
byte ver[NV]; /* counter of the assignment in owner[] */
byte rec[NV]; /* owner in the store's record, as last known to the VM */
byte deputy[NV]; /* deputy that a leader has named */
byte deputy_inc[NV];
bool revoked[NV * NB]; /* the VM no longer renews the backend server's lease */
byte former[NV]; /* ticks left of a replaced deputy's authority */
bool named[NV]; /* a deputy of the leader's term may have renewed leases */
bool agreed[NV]; /* the deputy has revoked the owner too */
bool released[NV]; /* the owner has answered a release */
byte target[NV]; /* new owner + 1 of a record with unknown outcome, or 0 */
bool was_deputy[NV]; /* a TAKING VM was the deputy of the previous term */
byte wait[NV * NB]; /* ticks for which the backend server may own the slot */
bool asked[NV * NB]; /* the backend server answered hello in this term */
byte known[NV * NB]; /* last known incarnation of the backend server */
bool sure[NV * NB]; /* the store has confirmed since known[] was set */

/* backend servers */
bool has[NB];
byte lease[NB];
byte f_term[NB];
byte f_ver[NB];
byte b_inc[NB];

/* a delayed order */
unsigned o_kind : 2;
unsigned o_to : 2;
unsigned o_term : 2;
unsigned o_ver : 2;
unsigned o_inc : 2;
unsigned o_until : 3;

/* a delayed acknowledgement */
unsigned a_left : 2;
unsigned a_to : 2;
unsigned a_term : 2;

/* a delayed conditional update of a takeover */
bool p_any;
unsigned p_from : 2;
unsigned p_inc : 2;
unsigned p_term : 2;
unsigned p_expect : 5;
unsigned p_leader : 2; /* leader and deputy of the previous term */
unsigned p_deputy : 2;
unsigned p_owner : 2;
unsigned p_ver : 2;

/* remaining numbers of faults and changes */
unsigned crashes : 2 = VM_CRASHES;
unsigned restarts : 2 = RESTARTS;
unsigned delays : 2 = DELAYS;
unsigned names : 2 = NAMES;

/* variables that only the assertions and goals read */
unsigned led : 2 = 1; /* newest term that a VM knows it leads */
unsigned acked : 2; /* counter of the newest acknowledged assignment */
bool acked_pair; /* only leader and deputy recorded assignment `acked` */
unsigned acked_term : 2;
unsigned acked_deputy : 2 = NONE; /* deputy that recorded `acked` */
bool holder;
unsigned excused : 2; /* newest term that a third VM has taken over while it
		      * could ask neither the old leader nor its deputy */
byte i; /* 0 between steps */

#define OWNS(b) (has[b] && lease[b] > 0)
#if NB == 2
#define MANY_OWN (OWNS(0) && OWNS(1))
#define OTHERS_LAPSED(v, b) (wait[VB(v, 1 - (b))] == 0)
#else
#define MANY_OWN ((OWNS(0) && OWNS(1)) || (OWNS(0) && OWNS(2)) || \
	(OWNS(1) && OWNS(2)))
#define OTHERS_LAPSED(v, b) (((b) == 0 || wait[VB(v, 0)] == 0) && \
	((b) == 1 || wait[VB(v, 1)] == 0) && \
	((b) == 2 || wait[VB(v, 2)] == 0))
#endif

#define SUPPORTED(v) (auth[v] > SOLO)
#define MAY_ASSIGN(v) (role[v] == LEADER && (SUPPORTED(v) || \
	(!G_SOLO_RENEW && auth[v] > 0)))
#define ACTIVE(v) (OTHERS_LAPSED(v, owner[v]) || !G_LAPSE)
#define KEPT(v) (ver[v] >= acked || (acked_pair && acked_term < excused))
#define CURRENT(v) (s_term == term[v] && s_leader == v && s_writer == inc[v])
#define STORE_TAKES(v) (CURRENT(v) || !G_CONDITIONAL)
#define BELOW(t, n, b) ((t) < f_term[b] || \
	((t) == f_term[b] && (n) < f_ver[b]))
#define REFUSED(t, n, b) (CHECKS && G_FENCE && BELOW(t, n, b))

inline goal(n)
{
	assert(GOAL != n)
}

inline clear_target(v)
{
	target[v] = 0
}

inline forget(v)
{
	role[v] = IDLE;
	auth[v] = 0;
	out[v] = 0;
	owner[v] = 0;
	ver[v] = 0;
	rec[v] = 0;
	deputy[v] = 0;
	deputy_inc[v] = 0;
	former[v] = 0;
	named[v] = 0;
	agreed[v] = 0;
	released[v] = 0;
	target[v] = 0;
	was_deputy[v] = 0;
	i = 0;
	do
	:: i < NB ->
		revoked[VB(v, i)] = 0;
		wait[VB(v, i)] = 0;
		asked[VB(v, i)] = 0;
		known[VB(v, i)] = 0;
		sure[VB(v, i)] = 0;
		i++
	:: else -> break
	od;
	i = 0
}

/* A backend server receives a grant or renewal. */
inline accept(kd, b, t, n, bi, end)
{
	if
	:: REFUSED(t, n, b) || (G_INCARNATION && bi != b_inc[b]) -> skip
	:: else ->
		if
		:: BELOW(t, n, b) -> skip
		:: else ->
			f_term[b] = t;
			f_ver[b] = n
		fi;
		if
		:: kd == GRANT ->
			has[b] = 1;
			lease[b] = MAX(lease[b], end)
		:: kd == RENEW && has[b] ->
			lease[b] = MAX(lease[b], end)
		:: else -> skip
		fi;
		assert(!MANY_OWN);
		if
		:: kd == GRANT && b == 1 && t == 1 && acked_pair -> goal(1)
		:: kd == GRANT && b == 1 && t > 1 -> goal(2)
		:: else -> skip
		fi
	fi
}

/* A VM sends an order; from now on the backend server may own the slot. */
inline send(v, b, kind)
{
	wait[VB(v, b)] = MAX(wait[VB(v, b)], LEASE)
}

#define ORDER(v, b, kd) \
	d_step { \
		send(v, b, kd); \
		accept(kd, b, term[v], ver[v], known[VB(v, b)], LEASE) \
	}
#define ORDER_LATE(v, b, kd) \
	d_step { \
		send(v, b, kd); \
		delays--; \
		o_kind = kd; \
		o_to = b; \
		o_term = term[v]; \
		o_ver = ver[v]; \
		o_inc = known[VB(v, b)]; \
		o_until = LEASE \
	}

#define CAN_GRANT(v, b) (MAY_ASSIGN(v) && owner[v] == b && \
	!revoked[VB(v, b)] && !released[v] && ACTIVE(v) && \
	(asked[VB(v, b)] || !G_HELLO_FIRST) && \
	(sure[VB(v, b)] || !G_NEW_INCARNATION))
/* Whether a VM may renew b's lease as a leader without support, or as deputy:
 * b checks fences and is in another availability zone than the VM.
 * (G_SOLO_CHECKED, G_OWN_ZONE) */
#define CAN_SOLO(v, b) ((CHECKS || !G_SOLO_CHECKED) && \
	(ZONE_VM(v) != ZONE_B(b) || !G_OWN_ZONE))
#define CAN_RENEW(v, b) (role[v] != IDLE && auth[v] > 0 && \
	owner[v] == b && !revoked[VB(v, b)] && !released[v] && \
	((role[v] == LEADER && ACTIVE(v) && \
	(asked[VB(v, b)] || !G_HELLO_FIRST) && \
	(SUPPORTED(v) || CAN_SOLO(v, b))) || \
	(role[v] != LEADER && CAN_SOLO(v, b))))

#define ORDERS(v, b) \
	:: atomic { CAN_GRANT(v, b) -> \
		assert(term[v] < led || KEPT(v)); \
		if \
		:: ORDER(v, b, GRANT) \
		:: delays > 0 && o_kind == 0 -> ORDER_LATE(v, b, GRANT) \
		fi } \
	:: atomic { CAN_RENEW(v, b) -> \
		if \
		:: ORDER(v, b, RENEW) \
		:: delays > 0 && o_kind == 0 -> ORDER_LATE(v, b, RENEW) \
		fi }

/* Asks a backend server, which refuses older terms afterwards if it checks
 * fences. */
inline hello(v, b)
{
	if
	:: REFUSED(term[v], ver[v], b) -> role[v] = IDLE; auth[v] = 0
	:: else ->
		if
		:: G_HELLO_FENCES && !BELOW(term[v], ver[v], b) ->
			f_term[b] = term[v];
			f_ver[b] = ver[v]
		:: else -> skip
		fi;
		if
		:: CHECKS && ((!asked[VB(v, b)] && (!named[v] || !G_HELLO_CUT)) ||
		    known[VB(v, b)] != b_inc[b]) ->
			wait[VB(v, b)] = (has[b] -> lease[b] : 0)
		:: else -> skip
		fi;
		if
		:: known[VB(v, b)] != b_inc[b] ->
			known[VB(v, b)] = b_inc[b];
			sure[VB(v, b)] = 0
		:: else -> skip
		fi;
		asked[VB(v, b)] = 1
	fi
}

#define HELLO(v, b) \
	:: atomic { role[v] == LEADER && \
	    (!asked[VB(v, b)] || known[VB(v, b)] != b_inc[b]) -> \
		d_step { hello(v, b) } }

/* Planned move: the owner finishes its requests and releases the slot. */
inline release(v, b)
{
	if
	:: REFUSED(term[v], ver[v], b) || known[VB(v, b)] != b_inc[b] -> skip
	:: else ->
		if
		:: G_RELEASE ->
			has[b] = 0;
			lease[b] = 0;
			if
			:: !BELOW(term[v], ver[v] + 1, b) && G_RELEASE_RAISES ->
				f_term[b] = term[v];
				f_ver[b] = ver[v] + 1
			:: else -> skip
			fi
		:: else -> skip
		fi;
		released[v] = 1;
		if
		:: CHECKS || !G_RELEASE_LAPSE -> wait[VB(v, b)] = 0
		:: else -> skip
		fi
	fi
}

#define RELEASE(v, b) \
	:: atomic { MOVES && MAY_ASSIGN(v) && owner[v] == b && ACTIVE(v) && \
	    !released[v] && \
	    !revoked[VB(v, b)] && ver[v] < MAXVER && CAN_GRANT(v, b) -> \
		d_step { release(v, b) } }

/* The deputy revokes for the leader and answers when it last renewed. */
inline revoke(v, d, b)
{
	revoked[VB(d, b)] = 1;
	agreed[v] = 1;
	if
	:: G_REVOKE_LAST ->
		wait[VB(v, b)] = MAX(wait[VB(v, b)], wait[VB(d, b)])
	:: else -> skip
	fi
}

#define PARTNERS(v, d) (role[v] == LEADER && deputy[v] == d && \
	(role[d] == DEPUTY || (role[d] == TAKING && !G_TAKE_STOPS_ACKS)) && \
	term[d] == term[v] && \
	(deputy_inc[v] == inc[d] || !G_VM_INCARNATION))

#define REVOKE(v, d, b) \
	:: atomic { PARTNERS(v, d) && owner[v] == b && revoked[VB(v, b)] && \
	    !agreed[v] -> \
		if \
		:: d_step { revoke(v, d, b) } \
		:: !revoked[VB(d, b)] -> revoked[VB(d, b)] = 1 \
		fi }

#define REVOKES(v, b) \
	:: atomic { MAY_ASSIGN(v) && owner[v] == b && !revoked[VB(v, b)] && \
	    !released[v] && ver[v] < MAXVER -> \
		revoked[VB(v, b)] = 1 }

/* The owner's lease has expired: the slot may be reassigned. */
#define CAN_REASSIGN(v, b, to) (MAY_ASSIGN(v) && owner[v] == b && \
	ver[v] < MAXVER && (target[v] == 0 || target[v] == to + 1 || \
	!G_SAME_TARGET) && \
	(released[v] || (revoked[VB(v, b)] && (agreed[v] || \
	deputy[v] == NONE || !G_REVOKE))) && \
	(OTHERS_LAPSED(v, to) || !G_LAPSE))

inline assigned(v, b, to, pair, d)
{
	if
	:: term[v] >= led ->
		assert(KEPT(v));
		acked = ver[v] + 1;
		acked_pair = pair;
		acked_term = term[v];
		acked_deputy = d
	:: else ->
		/* the newer leader reached neither v nor its deputy */
		assert(pair && term[v] < excused)
	fi;
	owner[v] = to;
	ver[v] = ver[v] + 1;
	if
	:: pair -> skip
	:: else -> rec[v] = to
	fi;
	revoked[VB(v, b)] = 0;
	agreed[v] = 0;
	target[v] = 0;
	if
	:: released[v] -> goal(3)
	:: else -> skip
	fi;
	released[v] = 0
}

inline record_store(v, to)
{
	s_owner = to;
	s_ver = ver[v] + 1;
	s_version++;
	if
	:: !G_CONDITIONAL ->
		s_term = term[v];
		s_leader = v;
		s_writer = inc[v]
	:: else -> skip
	fi
}

inline record_pair(v, d, b, to)
{
	owner[d] = to;
	ver[d] = ver[v] + 1;
	revoked[VB(d, b)] = 1;
	revoked[VB(d, to)] = 0
}

#define PAIR_TARGET(v, to) (!G_STANDBY_ONLY || to == rec[v] || \
	to == STANDBY(rec[v]))

#define REASSIGN(v, b, to) \
	:: atomic { CAN_REASSIGN(v, b, to) -> \
		if \
		:: !STORE_TAKES(v) -> d_step { role[v] = IDLE; auth[v] = 0 } \
		:: STORE_TAKES(v) -> \
			d_step { \
				record_store(v, to); \
				assigned(v, b, to, 0, NONE) \
			} \
		:: STORE_TAKES(v) && target[v] == 0 -> \
			d_step { record_store(v, to); target[v] = to + 1 } \
		:: PARTNERS(v, 0) && !released[v] && PAIR_TARGET(v, to) -> \
			PAIR(v, 0, b, to) \
		:: PARTNERS(v, 1) && !released[v] && PAIR_TARGET(v, to) -> \
			PAIR(v, 1, b, to) \
		:: PARTNERS(v, 2) && !released[v] && PAIR_TARGET(v, to) -> \
			PAIR(v, 2, b, to) \
		:: !G_RECORD -> d_step { assigned(v, b, to, 1, NONE) } \
		fi }
#define PAIR(v, d, b, to) \
	if \
	:: d_step { \
		record_pair(v, d, b, to); \
		assigned(v, b, to, 1, d) \
	} \
	:: target[v] == 0 -> \
		d_step { record_pair(v, d, b, to); target[v] = to + 1 } \
	fi

/* Heartbeat, and the authority that its acknowledgement gives. */
#define WORTH(v) (out[v] > 0 -> MIN(SUPPORT, out[v]) + SOLO : 0)
#define HEARS(v, d) (role[v] == LEADER && deputy[v] == d && \
	(term[d] < term[v] || \
	(term[d] == term[v] && (role[d] == DEPUTY || \
	(!G_TAKE_STOPS_ACKS && role[d] == TAKING) || \
	(!G_VM_INCARNATION && role[d] == IDLE)))) && \
	(deputy_inc[v] == inc[d] || !G_VM_INCARNATION))

inline heartbeat(v, d)
{
	if
	:: term[d] < term[v] || role[d] == IDLE ->
		forget(d);
		role[d] = DEPUTY;
		term[d] = term[v]
	:: else -> skip
	fi;
	auth[d] = MAX(auth[d], WORTH(v));
	former[d] = former[v];
	if
	:: ver[v] >= ver[d] ->
		owner[d] = owner[v];
		ver[d] = ver[v];
		rec[d] = rec[v];
		i = 0;
		do
		:: i < NB ->
			revoked[VB(d, i)] = revoked[VB(v, i)] ||
			    (G_DEPUTY_ACTIVE && !ACTIVE(v));
			known[VB(d, i)] = known[VB(v, i)];
			i++
		:: else -> break
		od;
		i = 0
	:: else -> skip
	fi
}

#define HEARTBEAT(v, d) \
	:: atomic { HEARS(v, d) && !(role[d] == DEPUTY && auth[d] > WORTH(v) && \
	    auth[v] > WORTH(v)) -> \
		if \
		:: d_step { \
			heartbeat(v, d); \
			auth[v] = MAX(auth[v], WORTH(v)) \
		} \
		:: d_step { heartbeat(v, d) } \
		:: LATE_ACKS && a_left == 0 && out[v] > 0 -> \
			d_step { \
				heartbeat(v, d); \
				a_left = MIN(SUPPORT, out[v]); \
				a_to = v; \
				a_term = term[v] \
			} \
		fi }

/* The store confirms the leader's term or reports that the term has ended. */
inline confirm(v)
{
	if
	:: CURRENT(v) || !G_CONFIRM_WRITE || !G_CONDITIONAL ->
		auth[v] = SUPPORT + SOLO;
		out[v] = OUTAGE;
		i = 0;
		do
		:: i < NB ->
			sure[VB(v, i)] = 1;
			i++
		:: else -> break
		od;
		i = 0
	:: else ->
		role[v] = IDLE;
		auth[v] = 0
	fi
}

#define CONFIRM(v) \
	:: atomic { role[v] == LEADER -> d_step { confirm(v) } } \
	:: atomic { role[v] == LEADER && CURRENT(v) && ver[v] > s_ver -> \
		d_step { record_own(v); s_version++ } }

inline record_own(v)
{
	s_owner = owner[v];
	s_ver = ver[v];
	rec[v] = owner[v]
}

/* The leader names a deputy, or none, in the store. */
inline name(v, d)
{
	names--;
	if
	:: G_NAME_RECORDS && ver[v] > s_ver -> record_own(v)
	:: else -> skip
	fi;
	s_deputy = d;
	s_version++;
	deputy[v] = d;
	if
	:: d != NONE ->
		deputy_inc[v] = inc[d];
		named[v] = 1
	:: else -> deputy_inc[v] = 0
	fi;
	agreed[v] = 0;
	former[v] = SUPPORT + SOLO;
	if
	:: CHECKS && G_REPLACE_WAIT ->
		wait[VB(v, owner[v])] =
		    MAX(wait[VB(v, owner[v])], LAST_LEASE(SUPPORT + SOLO))
	:: else -> skip
	fi
}

#define NAME(v, d) \
	:: atomic { role[v] == LEADER && CURRENT(v) && names > 0 && \
	    deputy[v] != d -> \
		d_step { name(v, d) } }

/* Takeover. */
#define NEWER(v) (G_TAKE_NEWER && role[v] == DEPUTY && ver[v] > s_ver && \
	term[v] == s_term)
#define IS_DEPUTY(v) (role[v] == DEPUTY && s_deputy == v && \
	s_term == term[v])

inline old_authority(v)
{
	/* i is the index of a backend server */
	i = 0;
	do
	:: i < NB ->
		asked[VB(v, i)] = 0;
		if
		:: !G_TAKE_WAIT -> wait[VB(v, i)] = 0
		:: G_TAKE_WAIT && was_deputy[v] && i != p_owner &&
		    (!revoked[VB(v, p_owner)] || !G_ASK_STANDBY) ->
			wait[VB(v, i)] = 0
		:: G_TAKE_WAIT && !was_deputy[v] && i != p_owner &&
		    (i != STANDBY(p_owner) || !G_ASK_STANDBY) ->
			wait[VB(v, i)] = 0
		:: else ->
			if
			:: was_deputy[v] || !G_THIRD_LIMIT ->
				wait[VB(v, i)] = LAST_LEASE(SUPPORT) +
				    (CHECKS && ZONE_B(i) != ZONE_VM(p_leader) ->
				    SOLO : 0);
				if
				:: was_deputy[v] && CHECKS && former[v] > 0 &&
				    G_FORMER_DEPUTY ->
					wait[VB(v, i)] = MAX(wait[VB(v, i)],
					    LAST_LEASE(former[v]))
				:: else -> skip
				fi
			:: else ->
				wait[VB(v, i)] = LAST_LEASE(OUTAGE) +
				    (CHECKS -> SOLO : 0)
			fi
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline take(v)
{
	was_deputy[v] = IS_DEPUTY(v);
	p_any = 1;
	p_from = v;
	p_inc = inc[v];
	p_term = s_term + 1;
	p_expect = s_version;
	p_leader = s_leader;
	p_deputy = s_deputy;
	if
	:: NEWER(v) ->
		p_owner = owner[v];
		p_ver = ver[v]
	:: else ->
		p_owner = s_owner;
		p_ver = s_ver
	fi;
	if
	:: !was_deputy[v] && G_THIRD_ASKS && !G_ASK_AFTER && acked_pair ->
		excused = p_term
	:: else -> skip
	fi;
	role[v] = TAKING;
	if
	:: !G_WAIT_FROM_EFFECT -> old_authority(v)
	:: else -> skip
	fi
}

#define TAKE(v) \
	:: atomic { (role[v] == IDLE || role[v] == DEPUTY) && !p_any && \
	    s_term < MAXTERM && (s_leader != v || s_writer != inc[v]) -> \
		d_step { take(v) } }

/* v becomes leader; x, if not v, answers v and leaves the old term. */
inline lead(v, x)
{
	/* p_owner and p_ver of the put are still those of the store */
	if
	:: G_WAIT_FROM_EFFECT -> old_authority(v)
	:: else -> skip
	fi;
	holder = (acked_deputy == v && term[v] == p_term - 1);
	role[v] = LEADER;
	term[v] = p_term;
	led = p_term;
	owner[v] = p_owner;
	ver[v] = p_ver;
	rec[v] = p_owner;
	auth[v] = 0;
	out[v] = 0;
	former[v] = 0;
	named[v] = 0;
	deputy[v] = NONE;
	deputy_inc[v] = 0;
	agreed[v] = 0;
	released[v] = 0;
	target[v] = 0;
	i = 0;
	do
	:: i < NB ->
		revoked[VB(v, i)] = 0;
		sure[VB(v, i)] = 0;
		i++
	:: else -> break
	od;
	i = 0;
	if
	:: !was_deputy[v] && x == v && G_THIRD_ASKS && G_ASK_AFTER && !holder ->
		excused = p_term
	:: !was_deputy[v] && x != v && ver[x] > ver[v] &&
	    term[x] == p_term - 1 ->
		owner[v] = owner[x];
		ver[v] = ver[x]
	:: else -> skip
	fi;
	if
	:: x != v && term[x] < term[v] && G_ANSWER_DROPS ->
		role[x] = IDLE;
		auth[x] = 0
	:: else -> skip
	fi;
	holder = 0;
	was_deputy[v] = 0
}

inline put_effect()
{
	s_term = p_term;
	s_leader = p_from;
	s_writer = p_inc;
	s_deputy = NONE;
	s_owner = p_owner;
	s_ver = p_ver;
	s_version++
}

inline put_gone()
{
	p_any = 0;
	p_from = 0;
	p_inc = 0;
	p_term = 0;
	p_expect = 0;
	p_leader = 0;
	p_deputy = 0;
	p_owner = 0;
	p_ver = 0
}

#define PUT_LANDED (s_term == p_term && s_leader == p_from && \
	s_writer == p_inc)
#define PUT \
	:: atomic { p_any && !PUT_LANDED && \
	    (p_expect == s_version || !G_CONDITIONAL) -> \
		d_step { put_effect() } } \
	:: atomic { p_any && !PUT_LANDED && p_expect != s_version -> \
		d_step { \
			if \
			:: role[p_from] == TAKING && inc[p_from] == p_inc -> \
				role[p_from] = IDLE; \
				auth[p_from] = 0 \
			:: else -> skip \
			fi; \
			put_gone() \
		} }

/* Only the old leader and its deputy, if they have not lost their state of the
 * old term, know which assignments were acknowledged in it. */
#define ANSWERS(v, x) (!was_deputy[v] && G_THIRD_ASKS && G_ASK_AFTER && \
	(((x == p_leader || x == p_deputy) && term[x] == p_term - 1) || \
	!G_ANSWER_HOLDS))
#define LEAD(v) \
	if \
	:: d_step { lead(v, v); put_gone() } \
	:: ANSWERS(v, (v + 1) % NV) -> \
		d_step { lead(v, ((v + 1) % NV)); put_gone() } \
	:: ANSWERS(v, (v + 2) % NV) -> \
		d_step { lead(v, ((v + 2) % NV)); put_gone() } \
	fi

/* The VM that takes over learns the outcome of its put.  A put whose sender has
 * crashed is removed from the model after it has taken effect. */
#define LEARN \
	:: atomic { p_any && role[p_from] == TAKING && inc[p_from] == p_inc && \
	    (PUT_LANDED || !G_READ_BACK) -> \
		if \
		:: p_from == 0 -> LEAD(0) \
		:: p_from == 1 -> LEAD(1) \
		:: p_from == 2 -> LEAD(2) \
		fi } \
	:: atomic { p_any && inc[p_from] != p_inc && PUT_LANDED -> \
		d_step { put_gone() } }

/* No other VM has a role: only orders in flight are left. */
#define ALONE(v) (role[(v + 1) % NV] == IDLE && role[(v + 2) % NV] == IDLE)
#define DEATH(v, b) \
	:: atomic { role[v] == LEADER && ALONE(v) && wait[VB(v, b)] > \
	    (G_DEATH_LEASE -> LEASE : 0) -> \
		wait[VB(v, b)] = (G_DEATH_LEASE -> LEASE : 0) }

#define CRASH(v) \
	:: atomic { crashes > 0 && role[v] != IDLE -> \
		d_step { \
			forget(v); \
			term[v] = (G_VM_INCARNATION || s_deputy != v || \
			    s_leader == v -> 0 : s_term); \
			inc[v] = inc[v] + 1; \
			crashes-- \
		} }

#define RESTART(b) \
	:: atomic { restarts > 0 && (has[b] || f_term[b] > 0) -> \
		d_step { \
			has[b] = 0; \
			lease[b] = 0; \
			f_term[b] = 0; \
			f_ver[b] = 0; \
			b_inc[b] = b_inc[b] + 1; \
			restarts-- \
		} }

inline tick_vm(v)
{
	if
	:: former[v] > 0 -> former[v] = former[v] - 1
	:: else -> skip
	fi;
	if
	:: auth[v] > 0 && (G_SOLO_LIMIT || auth[v] > SOLO) ->
		auth[v] = auth[v] - 1
	:: else -> skip
	fi;
	if
	:: out[v] > 0 && G_OUTAGE_LIMIT -> out[v] = out[v] - 1
	:: else -> skip
	fi
}

inline tick()
{
	i = 0;
	do
	:: i < NV * NB ->
		wait[i] = (wait[i] > 0 -> wait[i] - 1 : 0);
		i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < NB ->
		lease[i] = (lease[i] > 0 -> lease[i] - 1 : 0);
		i++
	:: else -> break
	od;
	i = 0;
	if
	:: o_kind != 0 && o_until > 0 -> o_until--
	:: else -> skip
	fi;
	if
	:: o_kind != 0 && o_until == 0 && G_ORDER_EXPIRY ->
		o_kind = 0;
		o_to = 0;
		o_term = 0;
		o_ver = 0;
		o_inc = 0
	:: else -> skip
	fi;
	if
	:: a_left > 0 && G_ACK_AGE -> a_left--
	:: else -> skip
	fi;
	if
	:: a_left == 0 ->
		a_to = 0;
		a_term = 0
	:: else -> skip
	fi
}

#define TICK \
	:: atomic { d_step { tick(); tick_vm(0); tick_vm(1); tick_vm(2) } } \
	:: atomic { !G_LEASE_CLOCK && lease[0] > 0 -> \
		d_step { \
			lease[0] = lease[0] + 1; \
			tick(); tick_vm(0); tick_vm(1); tick_vm(2) \
		} } \
	:: atomic { !G_VM_CLOCK -> d_step { tick(); tick_vm(1); tick_vm(2) } }

inline late_order()
{
	if
	:: G_ORDER_EXPIRY -> skip
	:: else -> o_until = LEASE
	fi;
	accept(o_kind, o_to, o_term, o_ver, o_inc, o_until);
	o_kind = 0;
	o_to = 0;
	o_term = 0;
	o_ver = 0;
	o_inc = 0;
	o_until = 0
}

inline late_ack()
{
	if
	:: role[a_to] == LEADER && term[a_to] == a_term && out[a_to] > 0 ->
		auth[a_to] = MAX(auth[a_to], MIN(a_left, out[a_to]) + SOLO)
	:: else -> skip
	fi;
	a_left = 0;
	a_to = 0;
	a_term = 0
}

#if NB == 2
#define EACH_B(M, v) M(v, 0) M(v, 1)
#define EACH_MOVE(v) REASSIGN(v, 0, 1) REASSIGN(v, 1, 0)
#define EACH_REVOKE(v, d) REVOKE(v, d, 0) REVOKE(v, d, 1)
#else
#define EACH_B(M, v) M(v, 0) M(v, 1) M(v, 2)
#define EACH_MOVE(v) REASSIGN(v, 0, 1) REASSIGN(v, 1, 0) \
	REASSIGN(v, 0, 2) REASSIGN(v, 1, 2) REASSIGN(v, 2, 0) \
	REASSIGN(v, 2, 1)
#define EACH_REVOKE(v, d) REVOKE(v, d, 0) REVOKE(v, d, 1) REVOKE(v, d, 2)
#endif
#define EACH_PEER(v, d) HEARTBEAT(v, d) NAME(v, d) EACH_REVOKE(v, d)
#define VM(v) \
	EACH_B(ORDERS, v) EACH_B(HELLO, v) EACH_B(RELEASE, v) \
	EACH_B(REVOKES, v) EACH_B(DEATH, v) EACH_MOVE(v) \
	CONFIRM(v) NAME(v, NONE) TAKE(v) CRASH(v)

init
{
	d_step {
		role[0] = LEADER;
		role[1] = DEPUTY;
		term[0] = 1;
		term[1] = 1;
		auth[0] = SUPPORT + SOLO;
		auth[1] = SUPPORT + SOLO;
		out[0] = OUTAGE;
		deputy[0] = 1;
		named[0] = 1;
		f_term[0] = 1;
		has[0] = 1;
		lease[0] = LEASE;
		wait[VB(0, 0)] = LEASE;
		i = 0;
		do
		:: i < NB ->
			sure[VB(0, i)] = 1;
			asked[VB(0, i)] = 1;
			i++
		:: else -> break
		od;
		i = 0
	}
	do
	TICK
	VM(0)
	VM(1)
	VM(2)
	EACH_PEER(0, 1)
	EACH_PEER(0, 2)
	EACH_PEER(1, 0)
	EACH_PEER(1, 2)
	EACH_PEER(2, 0)
	EACH_PEER(2, 1)
	PUT
	LEARN
	RESTART(0)
	RESTART(1)
	:: atomic { o_kind != 0 -> d_step { late_order() } }
	:: atomic { a_left > 0 -> d_step { late_ack() } }
	od
}
