#include <dogwoodhub/permit.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/permit_store.h"
#include "core/vec.h"

/* Permits in one message to a new deputy. */
#define SYNC_BATCH 256
/* A batch that is not held after so many times hold_ms is sent again. */
#define SYNC_RETRY_HOLDS 8
#define UUID_LEN 36
/* So many times hold_ms after a leader has lost its deputy, or begun without
 * one, another may be expected: until then new permits wait for it. */
#define ALONE_HOLDS 2
/* Earlier than any time. */
#define NEVER_MS (INT64_MIN / 2)

enum role { ROLE_IDLE, ROLE_LEADER, ROLE_DEPUTY };

struct dh_permits {
	struct dh_permit_params p;
	struct permit_store store;
	enum role role;
	uint64_t term; /* that the permits belong to */
	uint64_t naming; /* of the deputy in that term; DEPUTY: of this VM */
	bool complete; /* DEPUTY: holds all; LEADER: the deputy does */
	uint64_t deputy; /* LEADER; 0: none */
	uint64_t
	    seq; /* of the last message to the deputy, or from the leader */
	struct permit *wait_first, *wait_last; /* HOLDING, or being closed */
	int64_t store_ms; /* LEADER: when the store confirmed the term */
	int64_t confirm_asked_ms; /* last DO_CONFIRM since then, or NEVER_MS */
	int64_t confirm_since_ms; /* first one, or NEVER_MS */
	int64_t alone_ms; /* LEADER: without deputy since */
	int64_t close_ms; /* longest deadline that a router named */
	struct permit *sync_next; /* first one the deputy may lack */
	struct permit *sync_after; /* first one after the batch under way */
	uint64_t sync_seq; /* that batch; 0: none */
	bool sync_last; /* that batch completes the deputy */
	int64_t sync_retry_ms; /* send that batch again; 0: none */
	bool lost; /* permits before lost_wall_ms are not known, */
	int64_t lost_wall_ms;
	int64_t lost_until_ms; /* and their ids may still come */
};

void
dh_permit_params_defaults(struct dh_permit_params *p)
{
	*p = (struct dh_permit_params){ .retention_ms = 600000,
		.clock_skew_ms = 2000,
		.hold_ms = 150,
		.retry_ms = 50,
		.confirm_ms = 1000,
		.close_slack_ms = 1000,
		.closed_max = 25000,
		.count_max = 100000,
		.bytes_max = (size_t)24 * 1024 * 1024 };
}

/* Ids. */

static int
hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

int64_t
dh_permit_id_time(const char *id)
{
	int64_t ms = 0;
	size_t i;

	if (strlen(id) != UUID_LEN || id[14] != '7' || id[19] == '\0' ||
	    strchr("89abAB", id[19]) == NULL)
		return -1;
	for (i = 0; i < UUID_LEN; i++) {
		if (i == 8 || i == 13 || i == 18 || i == 23) {
			if (id[i] != '-')
				return -1;
			continue;
		}
		if (hex_value(id[i]) < 0)
			return -1;
		if (i < 13)
			ms = ms * 16 + hex_value(id[i]);
	}
	return ms;
}

/* How an id that is not held stands to what may have been forgotten. */
enum age {
	AGE_NEW, /* was never asked for before */
	AGE_LOST, /* may have been asked for: its memory is gone */
	AGE_NOT_CREDIBLE, /* no time, or one that is still to come */
};

static enum age
id_age(const struct dh_permits *v, const char *id, int64_t now, int64_t wall)
{
	bool lost = v->lost && now < v->lost_until_ms;
	int64_t ms = dh_permit_id_time(id);

	if (ms < 0 || ms > wall + v->p.clock_skew_ms)
		return lost ? AGE_LOST : AGE_NOT_CREDIBLE;
	if (lost && ms <= v->lost_wall_ms + v->p.clock_skew_ms)
		return AGE_LOST;
	return ms < wall - v->p.retention_ms ? AGE_LOST : AGE_NEW;
}

/*
 * How long an ended permit is kept: until its id is refused for its age on
 * any VM's clock.  At the first asking the id was at most clock_skew_ms ahead
 * of one clock, and the next leader's may be as much behind that one.
 */
static int64_t
keep_ms(const struct dh_permits *v)
{
	return v->p.retention_ms + 2 * v->p.clock_skew_ms;
}

/* Actions. */

static struct dh_permit_action *
act(struct dh_permit_actions *out, enum dh_permit_action_kind kind, uint64_t to)
{
	struct dh_permit_action *a;

	out->list =
	    dh_vec_room(out->list, out->n, &out->size, sizeof(*out->list));
	a = &out->list[out->n++];
	*a = (struct dh_permit_action){ .kind = kind, .to = to };
	return a;
}

void
dh_permit_actions_clear(struct dh_permit_actions *a)
{
	size_t i;

	for (i = 0; i < a->n; i++)
		if (a->list[i].kind == DH_PERMIT_DO_HOLD)
			free(a->list[i].hold.list);
	a->n = 0;
}

void
dh_permit_actions_free(struct dh_permit_actions *a)
{
	dh_permit_actions_clear(a);
	free(a->list);
	*a = (struct dh_permit_actions){ 0 };
}

static struct dh_permit_action *
answer(struct dh_permit_actions *out, uint64_t to, const char *id,
    uint64_t token, enum dh_permit_verdict verdict)
{
	struct dh_permit_action *a = act(out, DH_PERMIT_DO_ANSWER, to);

	(void)strncpy(a->answer.id, id, sizeof(a->answer.id) - 1);
	a->answer.token = token;
	a->answer.verdict = verdict;
	return a;
}

static int64_t
at_least(int64_t ms, int64_t least)
{
	return ms > least ? ms : least;
}

static void
refuse(const struct dh_permits *v, struct dh_permit_actions *out, uint64_t to,
    const char *id, uint64_t token, int64_t retry)
{
	answer(out, to, id, token, DH_PERMIT_REFUSED)->answer.retry_ms =
	    at_least(retry, v->p.retry_ms);
}

static void
entry_fill(struct dh_permit_entry *e, const struct permit *p, int64_t now)
{
	*e = (struct dh_permit_entry){ .asker = p->asker,
		.token = p->token,
		.state = p->state,
		.outcome = p->outcome,
		.status = p->status,
		.left_ms = p->due_ms - now };
	(void)strncpy(e->id, p->id, sizeof(e->id) - 1);
}

/* A message to the deputy with room for n permits, none filled. */
static struct dh_permit_action *
hold_message(struct dh_permits *v, uint32_t n, int64_t now,
    struct dh_permit_actions *out)
{
	struct dh_permit_action *a = act(out, DH_PERMIT_DO_HOLD, v->deputy);

	a->hold.term = v->term;
	a->hold.naming = v->naming;
	a->hold.seq = ++v->seq;
	if (v->lost && now < v->lost_until_ms) {
		a->hold.lost_wall_ms = v->lost_wall_ms;
		a->hold.lost_left_ms = v->lost_until_ms - now;
	}
	a->hold.list = calloc((size_t)n + 1, sizeof(*a->hold.list));
	if (a->hold.list == NULL)
		abort();
	return a;
}

/* Tell the deputy how one permit stands. */
static void
tell_deputy(struct dh_permits *v, const struct permit *p,
    enum dh_permit_state state, int64_t now, struct dh_permit_actions *out)
{
	struct dh_permit_action *a;

	if (v->role != ROLE_LEADER || v->deputy == 0)
		return;
	a = hold_message(v, 1, now, out);
	entry_fill(&a->hold.list[0], p, now);
	a->hold.list[0].state = state;
	a->hold.n = 1;
}

/* Permits that wait for the deputy, in the order of their messages. */

static void
wait_add(struct dh_permits *v, struct permit *p)
{
	p->wait_older = v->wait_last;
	if (v->wait_last != NULL)
		v->wait_last->wait_newer = p;
	else
		v->wait_first = p;
	v->wait_last = p;
	p->waits = true;
}

static void
wait_remove(struct dh_permits *v, struct permit *p)
{
	if (p->wait_older != NULL)
		p->wait_older->wait_newer = p->wait_newer;
	else
		v->wait_first = p->wait_newer;
	if (p->wait_newer != NULL)
		p->wait_newer->wait_older = p->wait_older;
	else
		v->wait_last = p->wait_older;
	p->wait_older = p->wait_newer = NULL;
	p->waits = p->held = false;
}

static void
set_state(struct dh_permits *v, struct permit *p, enum dh_permit_state state,
    int64_t due)
{
	if (p->waits)
		wait_remove(v, p);
	dh_permit_store_set(&v->store, p, state, due);
}

static void
drop(struct dh_permits *v, struct permit *p)
{
	if (p->waits)
		wait_remove(v, p);
	if (v->sync_next == p)
		v->sync_next = p->newer;
	if (v->sync_after == p)
		v->sync_after = p->newer;
	dh_permit_store_remove(&v->store, p);
}

static void
end_permit(struct dh_permits *v, struct permit *p, enum dh_outcome outcome,
    uint32_t status, int64_t now)
{
	assert(outcome != DH_OUTCOME_NOT_RUN);
	p->outcome = outcome;
	p->status = status;
	set_state(v, p, DH_PERMIT_ENDED, now + keep_ms(v));
}

/* It has not run and will not by this try: it may be asked for again. */
static void
drop_unrun(struct dh_permits *v, struct permit *p, int64_t now,
    struct dh_permit_actions *out)
{
	tell_deputy(v, p, DH_PERMIT_DROPPED, now, out);
	drop(v, p);
}

/* What is being closed stays closed here, but nobody is told so. */
static void
refuse_waiting(struct dh_permits *v, struct permit *p, int64_t now,
    struct dh_permit_actions *out)
{
	refuse(v, out, p->asker, p->id, p->token, v->p.retry_ms);
	if (p->state == DH_PERMIT_CLOSED)
		wait_remove(v, p);
	else
		drop_unrun(v, p, now, out);
}

static void
refuse_all_waiting(
    struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	while (v->wait_first != NULL)
		refuse_waiting(v, v->wait_first, now, out);
}

static void
ask_deputy(struct dh_permits *v, struct permit *p, int64_t now,
    struct dh_permit_actions *out)
{
	tell_deputy(v, p, p->state, now, out);
	p->hold_seq = v->deputy == 0 ? 0 : v->seq;
}

/* Another deputy, or another connection to it: permits that wait ask it, what
 * is being closed is refused. */
static void
ask_all_waiting(
    struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	struct permit *p, *next;

	for (p = v->wait_first; p != NULL; p = next) {
		next = p->wait_newer;
		if (p->state == DH_PERMIT_CLOSED)
			refuse_waiting(v, p, now, out);
		else
			ask_deputy(v, p, now, out);
	}
}

static void
sync_stop(struct dh_permits *v)
{
	v->complete = false;
	v->sync_next = v->sync_after = NULL;
	v->sync_seq = 0;
	v->sync_retry_ms = 0;
}

static void
forget_all(struct dh_permits *v)
{
	dh_permit_store_clear(&v->store);
	v->wait_first = v->wait_last = NULL;
	sync_stop(v);
}

/* A new deputy is sent every permit, a batch at a time. */

static void
sync_batch(struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	struct dh_permit_action *a = hold_message(v, SYNC_BATCH, now, out);
	struct permit *p = v->sync_next;

	while (p != NULL && a->hold.n < SYNC_BATCH) {
		entry_fill(&a->hold.list[a->hold.n++], p, now);
		p = p->newer;
	}
	v->sync_after = p;
	v->sync_seq = a->hold.seq;
	v->sync_last = p == NULL;
	v->sync_retry_ms = now + SYNC_RETRY_HOLDS * v->p.hold_ms;
	a->hold.complete = v->sync_last;
}

static void
sync_start(struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	sync_stop(v);
	v->sync_next = v->store.oldest;
	if (v->deputy != 0)
		sync_batch(v, now, out);
}

/*
 * Closing.  Not run is said of an id when leader and deputy both have it
 * closed and the store has confirmed the term within confirm_ms: a pair that
 * is cut off does not know who else may have let it run.
 */

static bool
is_confirmed(const struct dh_permits *v, int64_t now)
{
	return now - v->store_ms < v->p.confirm_ms;
}

/* Ask before it is needed, and not more often than an answer may take. */
static void
want_confirmation(
    struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	if (now - v->store_ms < v->p.confirm_ms / 2 ||
	    now - v->confirm_asked_ms < v->p.hold_ms)
		return;
	if (v->confirm_since_ms == NEVER_MS)
		v->confirm_since_ms = now;
	v->confirm_asked_ms = now;
	(void)act(out, DH_PERMIT_DO_CONFIRM, 0);
}

/* Whether it is of use to wait for deputy and store. */
static bool
may_close(const struct dh_permits *v, int64_t now)
{
	if (v->deputy == 0)
		return false;
	return is_confirmed(v, now) || v->confirm_since_ms == NEVER_MS ||
	    now - v->confirm_since_ms < v->p.hold_ms;
}

static void
answer_closed(struct dh_permits *v, struct permit *p, int64_t now,
    struct dh_permit_actions *out)
{
	/* The deputy's copy began later by what its answer took. */
	answer(out, p->asker, p->id, p->token, DH_PERMIT_NOT_RUN)
	    ->answer.retry_ms = p->due_ms - now + v->p.hold_ms;
	wait_remove(v, p);
}

static void
start_close(struct dh_permits *v, struct permit *p, uint64_t asker,
    uint64_t token, int64_t now, struct dh_permit_actions *out)
{
	int64_t due = now + v->close_ms + v->p.close_slack_ms;

	if (p->state == DH_PERMIT_CLOSED)
		due = at_least(p->due_ms, due);
	set_state(v, p, DH_PERMIT_CLOSED, due);
	p->asker = asker;
	p->token = token;
	p->asked_ms = now;
	tell_deputy(v, p, DH_PERMIT_CLOSED, now, out);
	p->hold_seq = v->seq;
	wait_add(v, p);
	want_confirmation(v, now, out);
}

static void
drop_closed(struct dh_permits *v)
{
	struct permit *p, *next;

	for (p = v->store.oldest; p != NULL; p = next) {
		next = p->newer;
		if (p->state == DH_PERMIT_CLOSED)
			drop(v, p);
	}
}

/* Events. */

/*
 * This VM leads.  Its own permits count if they are all there are: it led
 * before, or was the deputy, named so by the very record that it replaced,
 * and complete under the number it was named by.  Else what the two before it
 * knew is lost, and so is whether an id of that time has run; what this VM does
 * hold stays true, but for what is closed, which those two may have opened.
 * They may also say not run for confirm_ms yet: that time is lost too.
 */
static void
lead(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    int64_t wall, struct dh_permit_actions *out)
{
	bool held = v->role == ROLE_LEADER ||
	    (v->role == ROLE_DEPUTY && v->complete &&
		v->naming == ev->lead.from_naming);

	assert(ev->lead.term > v->term || v->role == ROLE_LEADER);
	refuse_all_waiting(v, now, out);
	if (ev->lead.from_term != 0 && ev->lead.term > v->term &&
	    (!held || !ev->lead.named || v->term != ev->lead.from_term)) {
		v->lost = true;
		v->lost_wall_ms = wall + v->p.confirm_ms;
		v->lost_until_ms = now + v->p.confirm_ms + keep_ms(v);
		drop_closed(v);
	}
	if (ev->lead.term > v->term)
		v->store_ms = v->confirm_asked_ms = v->confirm_since_ms =
		    NEVER_MS;
	v->role = ROLE_LEADER;
	v->alone_ms = now;
	v->term = ev->lead.term;
	v->deputy = ev->lead.deputy;
	v->naming = ev->lead.naming;
	sync_start(v, now, out);
}

static void
set_deputy(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	if (v->role != ROLE_LEADER)
		return;
	if (v->deputy != 0 && ev->lead.deputy == 0)
		v->alone_ms = now;
	v->deputy = ev->lead.deputy;
	v->naming = ev->lead.naming;
	sync_start(v, now, out);
	ask_all_waiting(v, now, out);
}

static void
go_idle(struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	refuse_all_waiting(v, now, out);
	forget_all(v);
	v->role = ROLE_IDLE;
	v->term = 0;
	v->lost = false;
}

/* The answer for an id that is held. */
static void
answer_held(const struct dh_permits *v, const struct permit *p,
    const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	struct dh_permit_action *a = answer(
	    out, ev->ask.asker, ev->ask.id, ev->ask.token, DH_PERMIT_IN_FLIGHT);

	if (p->state == DH_PERMIT_CLOSED) {
		a->answer.verdict = DH_PERMIT_REFUSED;
		a->answer.retry_ms = at_least(p->due_ms - now, v->p.retry_ms);
	} else if (p->state != DH_PERMIT_ENDED) {
		a->answer.retry_ms =
		    at_least((p->due_ms - now) / 4, v->p.retry_ms);
	} else if (p->outcome == DH_OUTCOME_DONE) {
		a->answer.verdict = DH_PERMIT_WAS_DONE;
		a->answer.status = p->status;
	} else {
		a->answer.verdict = DH_PERMIT_UNKNOWN;
	}
}

static bool
is_full(const struct dh_permits *v, const char *id)
{
	return v->store.count >= v->p.count_max ||
	    v->store.bytes + dh_permit_store_cost(id) > v->p.bytes_max;
}

/* When a place falls free: an ended permit is forgotten, or, if there is
 * none, one in flight may end as not run. */
static int64_t
free_in_ms(const struct dh_permits *v, int64_t now)
{
	const struct permit *p = dh_permit_store_first(&v->store.ended);

	if (p == NULL)
		p = dh_permit_store_first(&v->store.flight);
	return p == NULL ? 0 : p->due_ms - now;
}

static void
grant(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	int64_t left = ev->ask.left_ms;
	struct permit *p;

	if (left > v->p.retention_ms)
		left = v->p.retention_ms;
	p = dh_permit_store_add(&v->store, ev->ask.id, now + left);
	p->asker = ev->ask.asker;
	p->token = ev->ask.token;
	p->asked_ms = now;
	ask_deputy(v, p, now, out);
	wait_add(v, p);
}

static bool
expects_deputy(const struct dh_permits *v, int64_t now)
{
	return v->deputy != 0 || now - v->alone_ms < ALONE_HOLDS * v->p.hold_ms;
}

/* An id that is not held. */
static void
ask_new(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    int64_t wall, struct dh_permit_actions *out)
{
	enum age age = id_age(v, ev->ask.id, now, wall);
	int64_t retry = 0;

	if (age == AGE_LOST) {
		(void)answer(out, ev->ask.asker, ev->ask.id, ev->ask.token,
		    DH_PERMIT_UNKNOWN);
		return;
	}
	if (expects_deputy(v, now) && (age == AGE_NEW || v->p.untimed_ids)) {
		if (!is_full(v, ev->ask.id)) {
			grant(v, ev, now, out);
			return;
		}
		retry = free_in_ms(v, now);
	}
	refuse(v, out, ev->ask.asker, ev->ask.id, ev->ask.token, retry);
}

/* Whether it is closed and may be closed anew for a further refusal. */
static bool
is_closed(const struct dh_permits *v, const struct permit *p, int64_t now)
{
	return p->state == DH_PERMIT_CLOSED && !p->waits && v->close_ms > 0 &&
	    may_close(v, now);
}

/* Whether there is a permit that its own try may give back. */
static bool
is_unused(const struct permit *p)
{
	return p->state == DH_PERMIT_HOLDING || p->state == DH_PERMIT_RUNNING;
}

static void
ask(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    int64_t wall, struct dh_permit_actions *out)
{
	const char *id = ev->ask.id;
	struct permit *p = dh_permit_store_find(&v->store, id);

	if (v->role != ROLE_LEADER || id[0] == '\0' ||
	    strlen(id) >= DH_REQUEST_ID_MAX || ev->ask.left_ms <= 0)
		refuse(v, out, ev->ask.asker, id, ev->ask.token, 0);
	else if (p != NULL && is_closed(v, p, now))
		start_close(v, p, ev->ask.asker, ev->ask.token, now, out);
	else if (p != NULL)
		answer_held(v, p, ev, now, out);
	else
		ask_new(v, ev, now, wall, out);
}

/* An id that is not held. */
static void
close_new(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    int64_t wall, struct dh_permit_actions *out)
{
	enum age age = id_age(v, ev->close.id, now, wall);

	if (age == AGE_LOST) {
		(void)answer(out, ev->close.asker, ev->close.id,
		    ev->close.token, DH_PERMIT_UNKNOWN);
	} else if (age == AGE_NEW && may_close(v, now) &&
	    v->store.closed < v->p.closed_max && !is_full(v, ev->close.id)) {
		start_close(v,
		    dh_permit_store_add(&v->store, ev->close.id, now),
		    ev->close.asker, ev->close.token, now, out);
	} else {
		want_confirmation(v, now, out);
		refuse(
		    v, out, ev->close.asker, ev->close.id, ev->close.token, 0);
	}
}

/* This try's own permit, which is of no use. */
static void
close_permit(struct dh_permits *v, struct permit *p, int64_t now,
    struct dh_permit_actions *out)
{
	if (may_close(v, now) && v->store.closed < v->p.closed_max) {
		start_close(v, p, p->asker, p->token, now, out);
		return;
	}
	want_confirmation(v, now, out);
	refuse(v, out, p->asker, p->id, p->token, 0);
	drop_unrun(v, p, now, out);
}

static void
close_id(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    int64_t wall, struct dh_permit_actions *out)
{
	const char *id = ev->close.id;
	struct permit *p = dh_permit_store_find(&v->store, id);
	struct dh_permit_event as_ask = { .kind = DH_PERMIT_ASK,
		.ask = { id, ev->close.asker, ev->close.token, 0 } };

	if (ev->close.close_ms > v->close_ms)
		v->close_ms = ev->close.close_ms;
	if (v->role != ROLE_LEADER || id[0] == '\0' ||
	    strlen(id) >= DH_REQUEST_ID_MAX || v->close_ms <= 0)
		refuse(v, out, ev->close.asker, id, ev->close.token, 0);
	else if (p == NULL)
		close_new(v, ev, now, wall, out);
	else if (is_closed(v, p, now))
		start_close(v, p, ev->close.asker, ev->close.token, now, out);
	else if (is_unused(p) && p->asker == ev->close.asker &&
	    p->token == ev->close.token)
		close_permit(v, p, now, out);
	else
		answer_held(v, p, &as_ask, now, out);
}

static void
confirmed(struct dh_permits *v, int64_t at, int64_t now,
    struct dh_permit_actions *out)
{
	struct permit *p, *next;

	if (v->role != ROLE_LEADER || at <= v->store_ms)
		return;
	v->store_ms = at;
	v->confirm_asked_ms = v->confirm_since_ms = NEVER_MS;
	if (!is_confirmed(v, now))
		return;
	for (p = v->wait_first; p != NULL; p = next) {
		next = p->wait_newer;
		if (p->held)
			answer_closed(v, p, now, out);
	}
}

static void
end(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	struct permit *p = dh_permit_store_find(&v->store, ev->end.id);

	/* Another try's end says nothing about this one. */
	if (v->role != ROLE_LEADER || p == NULL || p->asker != ev->end.asker ||
	    p->token != ev->end.token)
		return;
	if (p->state == DH_PERMIT_CLOSED)
		return;
	if (p->state == DH_PERMIT_ENDED &&
	    (p->outcome == DH_OUTCOME_DONE ||
		ev->end.outcome != DH_OUTCOME_DONE))
		return;
	if (ev->end.outcome == DH_OUTCOME_NOT_RUN) {
		drop_unrun(v, p, now, out);
		return;
	}
	end_permit(v, p, ev->end.outcome, ev->end.status, now);
	tell_deputy(v, p, DH_PERMIT_ENDED, now, out);
}

/* The deputy's side. */

static void
hold_entry(struct dh_permits *v, const struct dh_permit_entry *e, int64_t now)
{
	struct permit *p = dh_permit_store_find(&v->store, e->id);
	enum dh_permit_state state =
	    e->state == DH_PERMIT_HOLDING ? DH_PERMIT_RUNNING : e->state;

	if (e->state == DH_PERMIT_DROPPED) {
		if (p != NULL)
			drop(v, p);
		return;
	}
	if (p == NULL) {
		p = dh_permit_store_add(&v->store, e->id, now);
		p->state = DH_PERMIT_RUNNING;
	}
	p->asker = e->asker;
	p->token = e->token;
	p->outcome = e->outcome;
	p->status = e->status;
	set_state(v, p, state, now + e->left_ms);
}

/* Whether all of a message finds room: it is taken whole or not at all. */
static bool
has_room(const struct dh_permits *v, const struct dh_permit_event *ev)
{
	size_t bytes = v->store.bytes, count = v->store.count;
	const struct dh_permit_entry *e;
	uint32_t i;

	for (i = 0; i < ev->hold.n; i++) {
		e = &ev->hold.list[i];
		if (e->state == DH_PERMIT_DROPPED ||
		    dh_permit_store_find(&v->store, e->id) != NULL)
			continue;
		bytes += dh_permit_store_cost(e->id);
		count++;
	}
	return count <= v->p.count_max && bytes <= v->p.bytes_max;
}

/*
 * The leader of a term, or of a naming within it, speaks for the first time.
 * A VM that is named again after another was deputy lacks what was given in
 * between: it is complete only when told so under the new number.
 */
static void
follow(struct dh_permits *v, uint64_t term, uint64_t naming, int64_t now,
    struct dh_permit_actions *out)
{
	if (term == v->term && naming == v->naming)
		return;
	refuse_all_waiting(v, now, out);
	sync_stop(v);
	if (term != v->term)
		v->seq = 0;
	v->role = ROLE_DEPUTY;
	v->term = term;
	v->naming = naming;
}

static void
hold(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	bool stale = ev->hold.term < v->term ||
	    (ev->hold.term == v->term &&
		(v->role == ROLE_LEADER || ev->hold.naming < v->naming));
	struct dh_permit_action *a;
	uint32_t i;

	if (!stale)
		follow(v, ev->hold.term, ev->hold.naming, now, out);
	/* From a connection that another has replaced. */
	if (!stale && ev->hold.seq <= v->seq)
		return;
	a = act(out, DH_PERMIT_DO_HELD, ev->hold.from);
	a->held.term = v->term;
	a->held.seq = ev->hold.seq;
	a->held.refused = stale || !has_room(v, ev);
	if (a->held.refused)
		return;
	v->seq = ev->hold.seq;
	for (i = 0; i < ev->hold.n; i++)
		hold_entry(v, &ev->hold.list[i], now);
	v->lost = ev->hold.lost_left_ms > 0;
	v->lost_wall_ms = ev->hold.lost_wall_ms;
	v->lost_until_ms = now + ev->hold.lost_left_ms;
	if (ev->hold.complete)
		v->complete = true;
}

/*
 * The deputy's answer.  It stands for its one message: a message that the
 * link dropped is never answered, and its permit is refused in time.
 */

static void
held_sync(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	if (v->sync_seq == 0 || ev->held.seq != v->sync_seq || ev->held.refused)
		return;
	v->sync_seq = 0;
	v->sync_retry_ms = 0;
	v->sync_next = v->sync_after;
	if (v->sync_last)
		v->complete = true;
	else
		sync_batch(v, now, out);
}

static void
held_one(struct dh_permits *v, struct permit *p, bool refused, int64_t now,
    struct dh_permit_actions *out)
{
	if (refused) {
		refuse_waiting(v, p, now, out);
	} else if (p->state != DH_PERMIT_CLOSED) {
		set_state(v, p, DH_PERMIT_RUNNING, p->due_ms);
		(void)answer(out, p->asker, p->id, p->token, DH_PERMIT_RUN);
	} else {
		p->held = true;
		if (is_confirmed(v, now))
			answer_closed(v, p, now, out);
	}
}

static void
held(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	struct permit *p = v->wait_first;

	if (v->role != ROLE_LEADER || ev->held.from != v->deputy)
		return;
	if (ev->held.term > v->term) {
		/* Another leads: no permit is ours to give. */
		v->deputy = 0;
		v->alone_ms = NEVER_MS;
		sync_stop(v);
		refuse_all_waiting(v, now, out);
		return;
	}
	if (ev->held.term != v->term)
		return;
	while (p != NULL && p->hold_seq < ev->held.seq)
		p = p->wait_newer;
	if (p != NULL && p->hold_seq == ev->held.seq)
		held_one(v, p, ev->held.refused, now, out);
	held_sync(v, ev, now, out);
}

/* Time. */

static void
expire(struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	struct permit *p;

	while (v->wait_first != NULL &&
	    now - v->wait_first->asked_ms >= v->p.hold_ms)
		refuse_waiting(v, v->wait_first, now, out);
	while ((p = dh_permit_store_first(&v->store.flight)) != NULL &&
	    p->due_ms <= now) {
		if (p->state == DH_PERMIT_HOLDING)
			refuse_waiting(v, p, now, out);
		else
			end_permit(v, p, DH_OUTCOME_UNKNOWN, 0, now);
	}
	while ((p = dh_permit_store_first(&v->store.ended)) != NULL &&
	    p->due_ms <= now)
		drop(v, p);
	if (v->sync_retry_ms != 0 && now >= v->sync_retry_ms)
		sync_batch(v, now, out);
}

void
dh_permits_step(struct dh_permits *v, const struct dh_permit_event *ev,
    int64_t now_ms, int64_t wall_ms, struct dh_permit_actions *out)
{
	expire(v, now_ms, out);
	switch (ev->kind) {
	case DH_PERMIT_TICK:
		break;
	case DH_PERMIT_LEAD:
		lead(v, ev, now_ms, wall_ms, out);
		break;
	case DH_PERMIT_DEPUTY:
		set_deputy(v, ev, now_ms, out);
		break;
	case DH_PERMIT_IDLE:
		go_idle(v, now_ms, out);
		break;
	case DH_PERMIT_ASK:
		ask(v, ev, now_ms, wall_ms, out);
		break;
	case DH_PERMIT_END:
		end(v, ev, now_ms, out);
		break;
	case DH_PERMIT_CLOSE:
		close_id(v, ev, now_ms, wall_ms, out);
		break;
	case DH_PERMIT_CONFIRMED:
		confirmed(v, ev->confirmed.at_ms, now_ms, out);
		break;
	case DH_PERMIT_HOLD:
		hold(v, ev, now_ms, out);
		break;
	case DH_PERMIT_HELD:
		held(v, ev, now_ms, out);
		break;
	}
}

static int64_t
earlier(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

int64_t
dh_permits_next_ms(const struct dh_permits *v)
{
	const struct permit *flight = dh_permit_store_first(&v->store.flight);
	const struct permit *ended = dh_permit_store_first(&v->store.ended);
	int64_t next = INT64_MAX;

	if (v->wait_first != NULL)
		next = v->wait_first->asked_ms + v->p.hold_ms;
	if (flight != NULL)
		next = earlier(next, flight->due_ms);
	if (ended != NULL)
		next = earlier(next, ended->due_ms);
	if (v->sync_retry_ms != 0)
		next = earlier(next, v->sync_retry_ms);
	return next;
}

struct dh_permits *
dh_permits_new(const struct dh_permit_params *p)
{
	struct dh_permits *v = calloc(1, sizeof(*v));

	if (v == NULL)
		abort();
	v->p = *p;
	v->store_ms = v->confirm_asked_ms = v->confirm_since_ms = NEVER_MS;
	return v;
}

void
dh_permits_free(struct dh_permits *v)
{
	if (v == NULL)
		return;
	dh_permit_store_clear(&v->store);
	free(v);
}

struct dh_permit_stats
dh_permits_stats(const struct dh_permits *v)
{
	return (struct dh_permit_stats){ .count = v->store.count,
		.closed = v->store.closed,
		.bytes = v->store.bytes,
		.deputy_complete = v->role == ROLE_LEADER && v->complete };
}
