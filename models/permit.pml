/*
 * Model of the permits of unrepeatable requests: one request id, CALLS attempts
 * of its client through different routers, three VMs that can be the leader,
 * and one backend server.
 *
 * No step is forced to happen, so message loss, pauses and partitions need no
 * steps of their own.  Messages are modelled as states of a call: the event
 * that a call waits for may come late or never.  Time is the counter `now`.
 *
 * Each guard G_* is one rule of the protocol, as in group.pml.
 */
#ifndef CHECKS
#define CHECKS 1 /* the backend server checks fences */
#endif
#ifndef CALLS
#define CALLS 3
#endif
#ifndef END
#define END 5 /* last tick */
#endif
#ifndef DEADLINE
#define DEADLINE 1 /* ticks from the start of a call to its deadline */
#endif
#ifndef RETENTION
#define RETENTION 3
#endif
#ifndef SKEW
#define SKEW 1 /* error of the client's clock that is accepted */
#endif
#ifndef WORST_SKEW
#define WORST_SKEW 2 /* largest error of the client's clock */
#endif
#ifndef OUTAGE
#define OUTAGE 1 /* ticks for which an old leader and its deputy may act
		  * without the store */
#endif
#ifndef SUPPORT
#define SUPPORT 1 /* ticks for which a confirmation by the store is valid */
#endif
#ifndef MAXTERM
#define MAXTERM 2
#endif
#ifndef VM_CRASHES
#define VM_CRASHES 2
#endif
#ifndef NAMES
#define NAMES 1
#endif
#ifndef GOAL
#define GOAL 0
#endif

#ifndef G_BOTH
#define G_BOTH 1 /* leader and deputy record a permit before its use */
#endif
#ifndef G_SYNC
#define G_SYNC 1 /* a new deputy first receives all permits */
#endif
#ifndef G_HELD_UNKNOWN
#define G_HELD_UNKNOWN 1 /* if another call holds the id, the outcome is
			  * unknown */
#endif
#ifndef G_ASK_TO_REFUSE
#define G_ASK_TO_REFUSE 1 /* a router never answers "not run" without
			   * asking the leader */
#endif
#ifndef G_CLOSE
#define G_CLOSE 1 /* a refusal closes the id for the longest deadline */
#endif
#ifndef G_CLOSE_BOTH
#define G_CLOSE_BOTH 1 /* the deputy closes a refused id too */
#endif
#ifndef G_CLOSE_RENEWS
#define G_CLOSE_RENEWS 1 /* each further refusal closes the id again */
#endif
#ifndef G_RELEASE_HOLDER
#define G_RELEASE_HOLDER 1 /* only the call that holds a permit returns it */
#endif
#ifndef G_PERMIT_EXPIRY
#define G_PERMIT_EXPIRY 1 /* a call's request for a permit, its permit and
			   * its request end at the call's deadline */
#endif
#ifndef G_AGE
#define G_AGE 1 /* the outcome of an id older than RETENTION is unknown */
#endif
#ifndef G_SINCE
#define G_SINCE 1 /* after a loss of records the outcome of ids that are not
		   * newer is unknown */
#endif
#ifndef G_SINCE_FENCE
#define G_SINCE_FENCE 1 /* records are complete from the time at which the old
			 * leader's and deputy's permits are void, not from the
			 * takeover */
#endif
#ifndef G_SKEW
#define G_SKEW 1 /* G_SINCE and G_AGE allow for the error of the clock */
#endif
#ifndef G_FUTURE
#define G_FUTURE 1 /* no permit for an id with a time in the future */
#endif
#ifndef G_CLOSE_FIRST
#define G_CLOSE_FIRST 1 /* the id of an unused permit is closed before the
			 * client is told that the request has not run */
#endif
#ifndef G_REFUSE_STORE
#define G_REFUSE_STORE 1 /* "not run" is answered only if the store has
			  * recently confirmed the term */
#endif
#ifndef G_LEADS
#define G_LEADS 1 /* a deputy that knows that its leader is dead but can't
		   * reach the store grants no permits */
#endif
#ifndef G_FRESH
#define G_FRESH 1 /* a request is not sent again without the router's knowledge
		   * after a reused connection fails */
#endif

#define NV 3
#define NONE 3

/* role of a VM */
#define IDLE 0
#define DEPUTY 1
#define LEADER 2

/* a VM's record of the request id */
#define HELD 1
#define DONE 2
#define CLOSED 3

/* state of a call */
#define UNSENT 0
#define ASKING 1
#define PERMIT 2
#define SENT 3
#define RUN 4
#define BACK 5 /* the permit was not used and is being returned */
#define UNUSED 6 /* the client was told "not run" */

byte now = 0;
byte uuid; /* time in the request id, plus WORST_SKEW */
unsigned newest : 2 = 1; /* term in the store */
unsigned s_leader : 2 = 0;
unsigned s_deputy : 2 = 1;
unsigned fence : 2 = 1; /* term of the backend server's grant */
byte taken; /* time at which a third VM took over the term */
bool pair_cut; /* the old leader and deputy may act until taken + OUTAGE */

unsigned crashes : 2 = VM_CRASHES;
unsigned names : 2 = NAMES;

byte role[NV];
byte term[NV];
byte deputy[NV];
byte rec[NV];
byte rec_call[NV];
byte rec_time[NV];
bool ready[NV]; /* the VM's records are complete from since[] on */
bool lost[NV]; /* records from before since[] were lost */
byte since[NV];

byte state[CALLS];
byte ends[CALLS]; /* deadline of the call */
byte call_term[CALLS];
byte seen_refusals[CALLS]; /* value of refusals when the call was sent */

/* variables that only the assertions and goals read */
unsigned runs : 2;
unsigned refusals : 3;

#define AGREES(v) (deputy[v] != NONE && role[deputy[v]] == DEPUTY && \
	term[deputy[v]] == term[v])
#define ACTING(v) (role[v] == LEADER && ready[v] && (term[v] == newest || \
	(pair_cut && term[v] + 1 == newest && now < taken + OUTAGE)))
#define LEADS(x, v) (role[x] == LEADER && term[x] == term[v])
#define LEADER_DEAD(v) (!LEADS(0, v) && !LEADS(1, v) && !LEADS(2, v))
#define ALONE(v) (!G_LEADS && role[v] == DEPUTY && ready[v] && \
	LEADER_DEAD(v) && (term[v] == newest || \
	(pair_cut && term[v] + 1 == newest && now < taken + OUTAGE)))
#define MAY_REFUSE(v) (term[v] == newest || now < taken + SUPPORT || \
	!G_REFUSE_STORE)
#define ALIVE(k) (now <= ends[k] || !G_PERMIT_EXPIRY)
#define MARGIN (G_SKEW -> SKEW : 0)
#define NEW_ENOUGH(v) (!lost[v] || !G_SINCE || \
	uuid > since[v] + WORST_SKEW + MARGIN)
#define NOT_FUTURE (uuid <= now + WORST_SKEW + SKEW || !G_FUTURE)
#define NOT_OLD (now + WORST_SKEW + MARGIN < uuid + RETENTION || !G_AGE)
#define IN_TIME(v) (NEW_ENOUGH(v) && NOT_FUTURE && NOT_OLD)
#define FREE(v) (rec[v] == 0 || \
	(rec[v] == CLOSED && now > rec_time[v] + DEADLINE))

inline goal(n)
{
	assert(GOAL != n)
}

inline hold(v, what, k)
{
	rec[v] = what;
	rec_call[v] = k;
	rec_time[v] = now
}

inline hold_both(v, what, k)
{
	hold(v, what, k);
	if
	:: AGREES(v) && (what != CLOSED || G_CLOSE_BOTH) &&
	    (what != HELD || G_BOTH) ->
		hold(deputy[v], what, k)
	:: else -> skip
	fi
}

inline not_run()
{
	assert(runs == 0);
	refusals++
}

inline unused(k)
{
	if
	:: G_CLOSE_FIRST -> state[k] = BACK
	:: else ->
		state[k] = UNUSED;
		not_run()
	fi
}

inline forget(v)
{
	rec[v] = 0;
	rec_call[v] = 0;
	rec_time[v] = 0
}

inline reset(v)
{
	forget(v);
	role[v] = IDLE;
	term[v] = 0;
	deputy[v] = NONE;
	ready[v] = 0;
	lost[v] = 0;
	since[v] = 0
}

#define SEND(k, before) \
	:: atomic { state[k] == UNSENT && before -> \
		d_step { \
			state[k] = ASKING; \
			ends[k] = now + DEADLINE; \
			seen_refusals[k] = refusals \
		} }

/* The client creates the id at its first call; its clock may be wrong. */
#define MAKE_ID(skew) \
	:: atomic { state[0] == UNSENT -> \
		d_step { \
			uuid = now + skew; \
			state[0] = ASKING; \
			ends[0] = now + DEADLINE; \
			seen_refusals[0] = 0 \
		} }

#define ASK(k, v) \
	:: atomic { state[k] == ASKING && ALIVE(k) && ACTING(v) -> \
		if \
		:: FREE(v) && IN_TIME(v) && (AGREES(v) || !G_BOTH) -> \
			d_step { \
				hold_both(v, HELD, k); \
				state[k] = PERMIT; \
				call_term[k] = term[v] \
			} \
		:: FREE(v) && IN_TIME(v) && AGREES(v) -> \
			d_step { hold_both(v, HELD, k) } \
		:: FREE(v) && IN_TIME(v) && AGREES(v) && G_CLOSE && \
		    MAY_REFUSE(v) -> \
			d_step { \
				hold_both(v, CLOSED, k); \
				state[k] = UNUSED; \
				not_run() \
			} \
		:: FREE(v) && IN_TIME(v) && !G_CLOSE -> \
			d_step { state[k] = UNUSED; not_run() } \
		:: rec[v] == HELD && rec_call[v] == k -> \
			d_step { state[k] = PERMIT; call_term[k] = term[v] } \
		:: rec[v] == HELD && rec_call[v] != k && !G_HELD_UNKNOWN -> \
			d_step { state[k] = UNUSED; not_run() } \
		:: !FREE(v) && rec[v] == CLOSED && \
		    (AGREES(v) || !G_CLOSE_RENEWS) && MAY_REFUSE(v) -> \
			d_step { \
				if \
				:: G_CLOSE_RENEWS -> hold_both(v, CLOSED, k) \
				:: else -> skip \
				fi; \
				state[k] = UNUSED; \
				not_run() \
			} \
		:: else -> skip /* the leader answers that the outcome is \
			 * unknown; the call goes on asking */ \
		fi }

#define ASK_DEPUTY(k, v) \
	:: atomic { state[k] == ASKING && ALIVE(k) && ALONE(v) && FREE(v) && \
	    IN_TIME(v) -> \
		d_step { \
			hold(v, HELD, k); \
			state[k] = PERMIT; \
			call_term[k] = term[v] \
		} }

/* A router refuses without asking: it is overloaded or no leader answers. */
#define SHED(k) \
	:: atomic { state[k] == ASKING && !G_ASK_TO_REFUSE -> \
		d_step { state[k] = UNUSED; not_run() } }

/* The connection failed before the router sent any byte. */
#define CONNECTION_REFUSED(k) \
	:: atomic { state[k] == PERMIT -> \
		d_step { unused(k) } }

#define REQUEST(k) \
	:: atomic { state[k] == PERMIT && ALIVE(k) -> state[k] = SENT }

#define ARRIVE(k) \
	:: atomic { state[k] == SENT && ALIVE(k) && \
	    (!CHECKS || call_term[k] == fence) -> \
		d_step { \
			runs++; \
			assert(runs <= 1); \
			assert(seen_refusals[k] == refusals); \
			if \
			:: G_FRESH -> state[k] = RUN \
			:: else -> skip \
			fi; \
			if \
			:: k > 0 && newest > 1 -> goal(1) \
			:: else -> skip \
			fi; \
			if \
			:: refusals > 0 -> goal(2) \
			:: else -> skip \
			fi \
		} } \
	:: atomic { state[k] == SENT && CHECKS && call_term[k] != fence && \
	    ALIVE(k) -> \
		d_step { unused(k) } }

/* The leader learns the result of a permit, and the deputy may miss it.  The
 * return of a permit may arrive twice. */
#define REPORT(k, v) \
	:: atomic { role[v] == LEADER && rec[v] == HELD && state[k] == RUN && \
	    rec_call[v] == k -> \
		if \
		:: d_step { hold_both(v, DONE, k) } \
		:: d_step { hold(v, DONE, k) } \
		fi } \
	:: atomic { state[k] == BACK && ACTING(v) && AGREES(v) && \
	    ((rec[v] == HELD && (rec_call[v] == k || !G_RELEASE_HOLDER)) || \
	    (FREE(v) && IN_TIME(v))) && MAY_REFUSE(v) -> \
		d_step { \
			hold_both(v, CLOSED, k); \
			state[k] = UNUSED; \
			not_run() \
		} } \
	:: atomic { state[k] == UNUSED && ACTING(v) && AGREES(v) && \
	    rec[v] == HELD && (rec_call[v] == k || !G_RELEASE_HOLDER) -> \
		d_step { hold_both(v, CLOSED, k) } }

#define FORGET(v) \
	:: atomic { rec[v] != 0 && now >= rec_time[v] + \
	    (rec[v] == CLOSED -> DEADLINE + 1 : RETENTION) -> \
		d_step { forget(v) } }

#define CRASH(v) \
	:: atomic { crashes > 0 && role[v] != IDLE -> \
		d_step { reset(v); crashes-- } }

#define TAKE_AS_DEPUTY(v) \
	:: atomic { role[v] == DEPUTY && term[v] == newest && \
	    s_deputy == v && newest < MAXTERM -> \
		d_step { \
			newest++; \
			s_leader = v; \
			s_deputy = NONE; \
			pair_cut = 0; \
			role[v] = LEADER; \
			term[v] = newest; \
			deputy[v] = NONE; \
			fence = newest \
		} }

/* Third VM v takes over the term through the store.  If x != v, x is the old
 * leader or deputy, sends its permits to v and leaves the old term; if x == v,
 * neither of them answers. */
inline take(v, x)
{
	newest++;
	if
	:: x == v ->
		reset(v);
		taken = now;
		pair_cut = 1;
		lost[v] = 1;
		ready[v] = !G_SINCE_FENCE;
		since[v] = now
	:: else ->
		rec[v] = rec[x];
		rec_call[v] = rec_call[x];
		rec_time[v] = rec_time[x];
		ready[v] = ready[x];
		lost[v] = lost[x];
		since[v] = since[x];
		role[x] = IDLE;
		pair_cut = 0;
		fence = newest
	fi;
	s_leader = v;
	s_deputy = NONE;
	role[v] = LEADER;
	term[v] = newest;
	deputy[v] = NONE
}

#define ANSWERS(x) ((s_leader == x || s_deputy == x) && role[x] != IDLE && \
	term[x] == newest && ready[x])
#define TAKE_AS_THIRD(v) \
	:: atomic { s_leader != v && newest < MAXTERM && \
	    (role[v] == IDLE || (role[v] == DEPUTY && s_deputy != v)) -> \
		if \
		:: d_step { take(v, v) } \
		:: ANSWERS((v + 1) % NV) -> \
			d_step { take(v, ((v + 1) % NV)) } \
		:: ANSWERS((v + 2) % NV) -> \
			d_step { take(v, ((v + 2) % NV)) } \
		fi }

/* The permits of the old term become void: if the backend server checks
 * fences, when it accepts the new leader's grant; if not, after the old
 * authority and the longest deadline have ended. */
#define VOID_OLD(v) \
	:: atomic { role[v] == LEADER && term[v] == newest && !ready[v] && \
	    (CHECKS -> now >= taken + SUPPORT : \
	    now > taken + OUTAGE + DEADLINE) -> \
		d_step { \
			fence = term[v]; \
			ready[v] = 1; \
			since[v] = now \
		} } \
	:: atomic { role[v] == LEADER && term[v] == newest && ready[v] && \
	    fence < term[v] -> fence = term[v] }

#define NAME(v, d) \
	:: atomic { role[v] == LEADER && term[v] == newest && ready[v] && \
	    names > 0 && \
	    deputy[v] != d && \
	    (role[d] != LEADER || term[d] < newest) -> \
		d_step { \
			names--; \
			s_deputy = d; \
			deputy[v] = d; \
			role[d] = DEPUTY; \
			term[d] = term[v]; \
			deputy[d] = NONE; \
			ready[d] = 1; \
			lost[d] = lost[v]; \
			since[d] = since[v]; \
			if \
			:: G_SYNC -> \
				rec[d] = rec[v]; \
				rec_call[d] = rec_call[v]; \
				rec_time[d] = rec_time[v] \
			:: else -> forget(d) \
			fi \
		} }

#define VM(v) FORGET(v) CRASH(v) TAKE_AS_DEPUTY(v) TAKE_AS_THIRD(v) \
	VOID_OLD(v)
#define CALL(k) ASK(k, 0) ASK(k, 1) ASK(k, 2) SHED(k) \
	ASK_DEPUTY(k, 0) ASK_DEPUTY(k, 1) ASK_DEPUTY(k, 2) \
	CONNECTION_REFUSED(k) REQUEST(k) ARRIVE(k) REPORT(k, 0) \
	REPORT(k, 1) REPORT(k, 2)

init
{
	d_step {
		role[0] = LEADER;
		role[1] = DEPUTY;
		term[0] = 1;
		term[1] = 1;
		deputy[0] = 1;
		deputy[1] = NONE;
		deputy[2] = NONE;
		ready[0] = 1;
		ready[1] = 1
	}
end:	do
	:: atomic { now < END -> now++ }
	MAKE_ID(0)
	MAKE_ID(WORST_SKEW - SKEW)
	MAKE_ID(WORST_SKEW)
	MAKE_ID(WORST_SKEW + SKEW)
	MAKE_ID(WORST_SKEW + WORST_SKEW)
	SEND(1, state[0] != UNSENT)
	CALL(0)
	CALL(1)
#if CALLS > 2
	SEND(2, state[1] != UNSENT)
	CALL(2)
#endif
	VM(0)
	VM(1)
	VM(2)
	NAME(0, 1)
	NAME(0, 2)
	NAME(1, 0)
	NAME(1, 2)
	NAME(2, 0)
	NAME(2, 1)
	od
}
