#include <dogwoodhub/permit.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/permit_store.h"
#include "core/vec.h"

/* Number of permits in one HOLD message to a new deputy. */
#define SYNC_BATCH 256
/* A batch without an acknowledgement is resent after this many times
 * deputy_timeout_ms. */
#define SYNC_RETRY_TIMEOUTS 8
#define UUID_LEN 36
/* For this many times deputy_timeout_ms after a leader has lost its deputy, or
 * started without one, the next deputy is expected and new permits wait for
 * it. */
#define DEPUTY_WAIT_TIMEOUTS 2
/* A time before any other time. */
#define NEVER_MS (INT64_MIN / 2)

enum role { ROLE_IDLE, ROLE_LEADER, ROLE_DEPUTY };

struct dh_permits {
	struct dh_permit_params p;
	struct permit_store store;
	enum role role;
	uint64_t term; /* term that the permits belong to */
	uint64_t
	    deputy_seq; /* number of the deputy's appointment in the term */
	/* On the leader: the deputy has all permits; on the deputy: this VM. */
	bool complete;
	uint64_t deputy; /* on the leader: VM of the deputy; 0: none */
	/* Number of the last HOLD message, sent or received. */
	uint64_t seq;
	/* Permits in state PENDING, and CLOSED ones not yet answered. */
	struct permit *wait_first, *wait_last;
	/* On the leader: time of the store's last confirmation of the term. */
	int64_t confirmed_ms;
	/* Last and first DO_CONFIRM since that confirmation, or NEVER_MS. */
	int64_t confirm_sent_ms;
	int64_t first_confirm_ms;
	/* On the leader: start of the time without a deputy. */
	int64_t no_deputy_since_ms;
	/* Longest deadline that a router has reported. */
	int64_t longest_deadline_ms;
	struct permit *sync_next; /* first permit that the deputy may lack */
	/* First permit after the batch in transit. */
	struct permit *sync_batch_end;
	uint64_t sync_seq; /* number of the batch in transit; 0: none */
	bool sync_last; /* the batch in transit is the last one */
	int64_t sync_retry_ms; /* time to resend the batch; 0: no batch */
	/* Permits for ids up to lost_before_wall_ms may be missing, and
	 * requests with these ids may arrive until lost_until_ms. */
	bool lost;
	int64_t lost_before_wall_ms;
	int64_t lost_until_ms;
};

void
dh_permit_params_defaults(struct dh_permit_params *p)
{
	*p = (struct dh_permit_params){ .retention_ms = 600000,
		.clock_skew_ms = 2000,
		.deputy_timeout_ms = 150,
		.retry_min_ms = 50,
		.confirm_valid_ms = 1000,
		.close_slack_ms = 1000,
		.closed_max = 25000,
		.count_max = 100000,
		.bytes_max = (size_t)24 * 1024 * 1024 };
}

/* Request ids. */

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

/* Class of an id that has no permit. */
enum id_class {
	ID_NEW, /* no permit was requested for the id before */
	ID_FORGOTTEN, /* a permit may have existed and been lost or deleted */
	ID_UNTIMED, /* the id has no timestamp, or one in the future */
};

static enum id_class
classify_id(
    const struct dh_permits *v, const char *id, int64_t now, int64_t wall)
{
	bool lost = v->lost && now < v->lost_until_ms;
	int64_t ms = dh_permit_id_time(id);

	if (ms < 0 || ms > wall + v->p.clock_skew_ms)
		return lost ? ID_FORGOTTEN : ID_UNTIMED;
	if (lost && ms <= v->lost_before_wall_ms + v->p.clock_skew_ms)
		return ID_FORGOTTEN;
	return ms < wall - v->p.retention_ms ? ID_FORGOTTEN : ID_NEW;
}

/*
 * Returns how long an ended permit is kept: until its id is too old by the
 * clock of any VM.  When the permit was requested, the id's timestamp was at
 * most clock_skew_ms ahead of the leader's clock, and the clock of the next
 * leader may be as far behind that clock.
 */
static int64_t
ended_retention_ms(const struct dh_permits *v)
{
	return v->p.retention_ms + 2 * v->p.clock_skew_ms;
}

/* Actions. */

static struct dh_permit_action *
add_action(
    struct dh_permit_actions *out, enum dh_permit_action_kind kind, uint64_t to)
{
	struct dh_permit_action *a;

	out->list =
	    dh_vec_reserve(out->list, out->n, &out->size, sizeof(*out->list));
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
add_answer(struct dh_permit_actions *out, uint64_t to, const char *id,
    uint64_t token, enum dh_permit_verdict verdict)
{
	struct dh_permit_action *a = add_action(out, DH_PERMIT_DO_ANSWER, to);

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
	add_answer(out, to, id, token, DH_PERMIT_REFUSED)->answer.retry_ms =
	    at_least(retry, v->p.retry_min_ms);
}

static void
entry_fill(struct dh_permit_entry *e, const struct permit *p, int64_t now)
{
	*e = (struct dh_permit_entry){ .router = p->router,
		.token = p->token,
		.state = p->state,
		.outcome = p->outcome,
		.status = p->status,
		.left_ms = p->expiry_ms - now };
	(void)strncpy(e->id, p->id, sizeof(e->id) - 1);
}

/* Adds a HOLD message to the deputy with room for n permits, none filled in. */
static struct dh_permit_action *
new_hold_message(struct dh_permits *v, uint32_t n, int64_t now,
    struct dh_permit_actions *out)
{
	struct dh_permit_action *a =
	    add_action(out, DH_PERMIT_DO_HOLD, v->deputy);

	a->hold.term = v->term;
	a->hold.deputy_seq = v->deputy_seq;
	a->hold.seq = ++v->seq;
	if (v->lost && now < v->lost_until_ms) {
		a->hold.lost_before_wall_ms = v->lost_before_wall_ms;
		a->hold.loss_remaining_ms = v->lost_until_ms - now;
	}
	a->hold.list = calloc((size_t)n + 1, sizeof(*a->hold.list));
	if (a->hold.list == NULL)
		abort();
	return a;
}

/* Sends the deputy one permit, with the given state. */
static void
send_to_deputy(struct dh_permits *v, const struct permit *p,
    enum dh_permit_state state, int64_t now, struct dh_permit_actions *out)
{
	struct dh_permit_action *a;

	if (v->role != ROLE_LEADER || v->deputy == 0)
		return;
	a = new_hold_message(v, 1, now, out);
	entry_fill(&a->hold.list[0], p, now);
	a->hold.list[0].state = state;
	a->hold.n = 1;
}

/* List of the waiting permits, in the order of their HOLD messages. */

static void
wait_add(struct dh_permits *v, struct permit *p)
{
	p->wait_prev = v->wait_last;
	if (v->wait_last != NULL)
		v->wait_last->wait_next = p;
	else
		v->wait_first = p;
	v->wait_last = p;
	p->waiting = true;
}

static void
wait_remove(struct dh_permits *v, struct permit *p)
{
	if (p->wait_prev != NULL)
		p->wait_prev->wait_next = p->wait_next;
	else
		v->wait_first = p->wait_next;
	if (p->wait_next != NULL)
		p->wait_next->wait_prev = p->wait_prev;
	else
		v->wait_last = p->wait_prev;
	p->wait_prev = p->wait_next = NULL;
	p->waiting = p->deputy_closed = false;
}

static void
set_state(struct dh_permits *v, struct permit *p, enum dh_permit_state state,
    int64_t due)
{
	if (p->waiting)
		wait_remove(v, p);
	dh_permit_store_update(&v->store, p, state, due);
}

static void
delete_permit(struct dh_permits *v, struct permit *p)
{
	if (p->waiting)
		wait_remove(v, p);
	if (v->sync_next == p)
		v->sync_next = p->newer;
	if (v->sync_batch_end == p)
		v->sync_batch_end = p->newer;
	dh_permit_store_remove(&v->store, p);
}

static void
end_permit(struct dh_permits *v, struct permit *p, enum dh_outcome outcome,
    uint32_t status, int64_t now)
{
	assert(outcome != DH_OUTCOME_NOT_RUN);
	p->outcome = outcome;
	p->status = status;
	set_state(v, p, DH_PERMIT_ENDED, now + ended_retention_ms(v));
}

/* Deletes a permit whose attempt has not run and will not run.  Routers may
 * ask for the id again. */
static void
release_permit(struct dh_permits *v, struct permit *p, int64_t now,
    struct dh_permit_actions *out)
{
	send_to_deputy(v, p, DH_PERMIT_RELEASED, now, out);
	delete_permit(v, p);
}

/* Refuses the router of a waiting permit.  An id that is being closed stays
 * closed on this VM, but no router is answered NOT_RUN. */
static void
refuse_waiting(struct dh_permits *v, struct permit *p, int64_t now,
    struct dh_permit_actions *out)
{
	refuse(v, out, p->router, p->id, p->token, v->p.retry_min_ms);
	if (p->state == DH_PERMIT_CLOSED)
		wait_remove(v, p);
	else
		release_permit(v, p, now, out);
}

static void
refuse_all_waiting(
    struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	while (v->wait_first != NULL)
		refuse_waiting(v, v->wait_first, now, out);
}

static void
send_hold(struct dh_permits *v, struct permit *p, int64_t now,
    struct dh_permit_actions *out)
{
	send_to_deputy(v, p, p->state, now, out);
	p->hold_seq = v->deputy == 0 ? 0 : v->seq;
}

/* After a change of the deputy or of the connection to it: sends the waiting
 * permits again, and refuses the ids that are being closed. */
static void
resend_waiting(struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	struct permit *p, *next;

	for (p = v->wait_first; p != NULL; p = next) {
		next = p->wait_next;
		if (p->state == DH_PERMIT_CLOSED)
			refuse_waiting(v, p, now, out);
		else
			send_hold(v, p, now, out);
	}
}

static void
sync_stop(struct dh_permits *v)
{
	v->complete = false;
	v->sync_next = v->sync_batch_end = NULL;
	v->sync_seq = 0;
	v->sync_retry_ms = 0;
}

static void
delete_all(struct dh_permits *v)
{
	dh_permit_store_clear(&v->store);
	v->wait_first = v->wait_last = NULL;
	sync_stop(v);
}

/* Transfer of all permits to a new deputy, one batch at a time. */

static void
sync_batch(struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	struct dh_permit_action *a = new_hold_message(v, SYNC_BATCH, now, out);
	struct permit *p = v->sync_next;

	while (p != NULL && a->hold.n < SYNC_BATCH) {
		entry_fill(&a->hold.list[a->hold.n++], p, now);
		p = p->newer;
	}
	v->sync_batch_end = p;
	v->sync_seq = a->hold.seq;
	v->sync_last = p == NULL;
	v->sync_retry_ms = now + SYNC_RETRY_TIMEOUTS * v->p.deputy_timeout_ms;
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
 * Closing of ids.  The leader answers NOT_RUN when leader and deputy have both
 * closed the id and the store has confirmed the term within confirm_valid_ms.
 * Without that confirmation, a leader and deputy that are partitioned from the
 * store cannot know whether a newer leader has let the request run.
 */

static bool
is_confirmed(const struct dh_permits *v, int64_t now)
{
	return now - v->confirmed_ms < v->p.confirm_valid_ms;
}

/* Requests a confirmation once the last one is half expired, at most once per
 * deputy_timeout_ms, which is the time that the store's answer may take. */
static void
request_confirmation(
    struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	if (now - v->confirmed_ms < v->p.confirm_valid_ms / 2 ||
	    now - v->confirm_sent_ms < v->p.deputy_timeout_ms)
		return;
	if (v->first_confirm_ms == NEVER_MS)
		v->first_confirm_ms = now;
	v->confirm_sent_ms = now;
	(void)add_action(out, DH_PERMIT_DO_CONFIRM, 0);
}

/* Returns whether deputy and store can be expected to answer. */
static bool
can_close(const struct dh_permits *v, int64_t now)
{
	if (v->deputy == 0)
		return false;
	return is_confirmed(v, now) || v->first_confirm_ms == NEVER_MS ||
	    now - v->first_confirm_ms < v->p.deputy_timeout_ms;
}

static void
answer_not_run(struct dh_permits *v, struct permit *p, int64_t now,
    struct dh_permit_actions *out)
{
	/* The deputy closed the id later than the leader, by at most the time
	 * that its answer took (deputy_timeout_ms); the router may ask again
	 * only when the id is closed on neither. */
	add_answer(out, p->router, p->id, p->token, DH_PERMIT_NOT_RUN)
	    ->answer.retry_ms = p->expiry_ms - now + v->p.deputy_timeout_ms;
	wait_remove(v, p);
}

static void
start_close(struct dh_permits *v, struct permit *p, uint64_t router,
    uint64_t token, int64_t now, struct dh_permit_actions *out)
{
	int64_t due = now + v->longest_deadline_ms + v->p.close_slack_ms;

	if (p->state == DH_PERMIT_CLOSED)
		due = at_least(p->expiry_ms, due);
	set_state(v, p, DH_PERMIT_CLOSED, due);
	p->router = router;
	p->token = token;
	p->wait_start_ms = now;
	send_to_deputy(v, p, DH_PERMIT_CLOSED, now, out);
	p->hold_seq = v->seq;
	wait_add(v, p);
	request_confirmation(v, now, out);
}

static void
delete_closed(struct dh_permits *v)
{
	struct permit *p, *next;

	for (p = v->store.oldest; p != NULL; p = next) {
		next = p->newer;
		if (p->state == DH_PERMIT_CLOSED)
			delete_permit(v, p);
	}
}

/* Events. */

/*
 * This VM becomes leader.  Its permits are complete if it led before, or if
 * the record that it replaced has it as deputy and it held all permits under
 * that appointment.  Otherwise the permits of the former leader and its deputy
 * are lost, and it is unknown whether a request with an id from that time has
 * run.  The permits on this VM remain valid, except the closed ids, which the
 * former pair may have reopened.  The former pair may also answer NOT_RUN for
 * another confirm_valid_ms, so ids from that period count as lost too.
 */
static void
on_lead(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    int64_t wall, struct dh_permit_actions *out)
{
	bool held = v->role == ROLE_LEADER ||
	    (v->role == ROLE_DEPUTY && v->complete &&
		v->deputy_seq == ev->lead.from_deputy_seq);

	assert(ev->lead.term > v->term || v->role == ROLE_LEADER);
	refuse_all_waiting(v, now, out);
	if (ev->lead.from_term != 0 && ev->lead.term > v->term &&
	    (!held || !ev->lead.was_in_record ||
		v->term != ev->lead.from_term)) {
		v->lost = true;
		v->lost_before_wall_ms = wall + v->p.confirm_valid_ms;
		v->lost_until_ms =
		    now + v->p.confirm_valid_ms + ended_retention_ms(v);
		delete_closed(v);
	}
	if (ev->lead.term > v->term)
		v->confirmed_ms = v->confirm_sent_ms = v->first_confirm_ms =
		    NEVER_MS;
	v->role = ROLE_LEADER;
	v->no_deputy_since_ms = now;
	v->term = ev->lead.term;
	v->deputy = ev->lead.deputy;
	v->deputy_seq = ev->lead.deputy_seq;
	sync_start(v, now, out);
}

static void
on_deputy(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	if (v->role != ROLE_LEADER)
		return;
	if (v->deputy != 0 && ev->lead.deputy == 0)
		v->no_deputy_since_ms = now;
	v->deputy = ev->lead.deputy;
	v->deputy_seq = ev->lead.deputy_seq;
	sync_start(v, now, out);
	resend_waiting(v, now, out);
}

static void
on_idle(struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	refuse_all_waiting(v, now, out);
	delete_all(v);
	v->role = ROLE_IDLE;
	v->term = 0;
	v->lost = false;
}

/* Answers a request for an id that has a permit. */
static void
answer_known(const struct dh_permits *v, const struct permit *p,
    const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	struct dh_permit_action *a = add_answer(out, ev->ask.router, ev->ask.id,
	    ev->ask.token, DH_PERMIT_IN_FLIGHT);

	if (p->state == DH_PERMIT_CLOSED) {
		a->answer.verdict = DH_PERMIT_REFUSED;
		a->answer.retry_ms =
		    at_least(p->expiry_ms - now, v->p.retry_min_ms);
	} else if (p->state != DH_PERMIT_ENDED) {
		a->answer.retry_ms =
		    at_least((p->expiry_ms - now) / 4, v->p.retry_min_ms);
	} else if (p->outcome == DH_OUTCOME_DONE) {
		a->answer.verdict = DH_PERMIT_ALREADY_DONE;
		a->answer.status = p->status;
	} else {
		a->answer.verdict = DH_PERMIT_UNKNOWN;
	}
}

static bool
is_full(const struct dh_permits *v, const char *id)
{
	return v->store.count >= v->p.count_max ||
	    v->store.bytes + dh_permit_store_size(id) > v->p.bytes_max;
}

/* Returns the time until a permit may be deleted: the first ended one expires
 * or, if there is none, the first one in flight, which may end as not run. */
static int64_t
next_free_ms(const struct dh_permits *v, int64_t now)
{
	const struct permit *p = dh_permit_heap_first(&v->store.ended);

	if (p == NULL)
		p = dh_permit_heap_first(&v->store.in_flight);
	return p == NULL ? 0 : p->expiry_ms - now;
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
	p->router = ev->ask.router;
	p->token = ev->ask.token;
	p->wait_start_ms = now;
	send_hold(v, p, now, out);
	wait_add(v, p);
}

static bool
expects_deputy(const struct dh_permits *v, int64_t now)
{
	return v->deputy != 0 ||
	    now - v->no_deputy_since_ms <
	    DEPUTY_WAIT_TIMEOUTS * v->p.deputy_timeout_ms;
}

/* Handles ASK for an id without a permit. */
static void
ask_new(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    int64_t wall, struct dh_permit_actions *out)
{
	enum id_class class = classify_id(v, ev->ask.id, now, wall);
	int64_t retry = 0;

	if (class == ID_FORGOTTEN) {
		(void)add_answer(out, ev->ask.router, ev->ask.id, ev->ask.token,
		    DH_PERMIT_UNKNOWN);
		return;
	}
	if (expects_deputy(v, now) && (class == ID_NEW || v->p.untimed_ids)) {
		if (!is_full(v, ev->ask.id)) {
			grant(v, ev, now, out);
			return;
		}
		retry = next_free_ms(v, now);
	}
	refuse(v, out, ev->ask.router, ev->ask.id, ev->ask.token, retry);
}

/* Returns whether the id is closed and another attempt can extend the
 * closing. */
static bool
can_extend_close(
    const struct dh_permits *v, const struct permit *p, int64_t now)
{
	return p->state == DH_PERMIT_CLOSED && !p->waiting &&
	    v->longest_deadline_ms > 0 && can_close(v, now);
}

/* Returns whether the router with this permit may still give it back. */
static bool
is_in_flight(const struct permit *p)
{
	return p->state == DH_PERMIT_PENDING || p->state == DH_PERMIT_RUNNING;
}

static void
on_ask(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    int64_t wall, struct dh_permit_actions *out)
{
	const char *id = ev->ask.id;
	struct permit *p = dh_permit_store_find(&v->store, id);

	if (v->role != ROLE_LEADER || id[0] == '\0' ||
	    strlen(id) >= DH_REQUEST_ID_MAX || ev->ask.left_ms <= 0)
		refuse(v, out, ev->ask.router, id, ev->ask.token, 0);
	else if (p != NULL && can_extend_close(v, p, now))
		start_close(v, p, ev->ask.router, ev->ask.token, now, out);
	else if (p != NULL)
		answer_known(v, p, ev, now, out);
	else
		ask_new(v, ev, now, wall, out);
}

/* Handles CLOSE for an id without a permit. */
static void
close_new(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    int64_t wall, struct dh_permit_actions *out)
{
	enum id_class class = classify_id(v, ev->close.id, now, wall);

	if (class == ID_FORGOTTEN) {
		(void)add_answer(out, ev->close.router, ev->close.id,
		    ev->close.token, DH_PERMIT_UNKNOWN);
	} else if (class == ID_NEW && can_close(v, now) &&
	    v->store.nclosed < v->p.closed_max && !is_full(v, ev->close.id)) {
		start_close(v,
		    dh_permit_store_add(&v->store, ev->close.id, now),
		    ev->close.router, ev->close.token, now, out);
	} else {
		request_confirmation(v, now, out);
		refuse(
		    v, out, ev->close.router, ev->close.id, ev->close.token, 0);
	}
}

/* Closes the id of a permit that its own router gives back unused.  If deputy
 * or store can't be expected to answer, the router is refused and the permit is
 * released; its id is not closed. */
static void
close_permit(struct dh_permits *v, struct permit *p, int64_t now,
    struct dh_permit_actions *out)
{
	if (can_close(v, now) && v->store.nclosed < v->p.closed_max) {
		start_close(v, p, p->router, p->token, now, out);
		return;
	}
	request_confirmation(v, now, out);
	refuse(v, out, p->router, p->id, p->token, 0);
	release_permit(v, p, now, out);
}

static void
on_close(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    int64_t wall, struct dh_permit_actions *out)
{
	const char *id = ev->close.id;
	struct permit *p = dh_permit_store_find(&v->store, id);
	struct dh_permit_event ask_ev = { .kind = DH_PERMIT_ASK,
		.ask = { id, ev->close.router, ev->close.token, 0 } };

	if (ev->close.longest_deadline_ms > v->longest_deadline_ms)
		v->longest_deadline_ms = ev->close.longest_deadline_ms;
	if (v->role != ROLE_LEADER || id[0] == '\0' ||
	    strlen(id) >= DH_REQUEST_ID_MAX || v->longest_deadline_ms <= 0)
		refuse(v, out, ev->close.router, id, ev->close.token, 0);
	else if (p == NULL)
		close_new(v, ev, now, wall, out);
	else if (can_extend_close(v, p, now))
		start_close(v, p, ev->close.router, ev->close.token, now, out);
	else if (is_in_flight(p) && p->router == ev->close.router &&
	    p->token == ev->close.token)
		close_permit(v, p, now, out);
	else
		answer_known(v, p, &ask_ev, now, out);
}

static void
on_confirmed(struct dh_permits *v, int64_t at, int64_t now,
    struct dh_permit_actions *out)
{
	struct permit *p, *next;

	if (v->role != ROLE_LEADER || at <= v->confirmed_ms)
		return;
	v->confirmed_ms = at;
	v->confirm_sent_ms = v->first_confirm_ms = NEVER_MS;
	if (!is_confirmed(v, now))
		return;
	for (p = v->wait_first; p != NULL; p = next) {
		next = p->wait_next;
		if (p->deputy_closed)
			answer_not_run(v, p, now, out);
	}
}

static void
on_end(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	struct permit *p = dh_permit_store_find(&v->store, ev->end.id);

	/* The outcome of another attempt does not apply to this permit. */
	if (v->role != ROLE_LEADER || p == NULL ||
	    p->router != ev->end.router || p->token != ev->end.token)
		return;
	if (p->state == DH_PERMIT_CLOSED)
		return;
	if (p->state == DH_PERMIT_ENDED &&
	    (p->outcome == DH_OUTCOME_DONE ||
		ev->end.outcome != DH_OUTCOME_DONE))
		return;
	if (ev->end.outcome == DH_OUTCOME_NOT_RUN) {
		release_permit(v, p, now, out);
		return;
	}
	end_permit(v, p, ev->end.outcome, ev->end.status, now);
	send_to_deputy(v, p, DH_PERMIT_ENDED, now, out);
}

/* Events on the deputy. */

static void
store_entry(struct dh_permits *v, const struct dh_permit_entry *e, int64_t now)
{
	struct permit *p = dh_permit_store_find(&v->store, e->id);
	enum dh_permit_state state =
	    e->state == DH_PERMIT_PENDING ? DH_PERMIT_RUNNING : e->state;

	if (e->state == DH_PERMIT_RELEASED) {
		if (p != NULL)
			delete_permit(v, p);
		return;
	}
	if (p == NULL) {
		p = dh_permit_store_add(&v->store, e->id, now);
		p->state = DH_PERMIT_RUNNING;
	}
	p->router = e->router;
	p->token = e->token;
	p->outcome = e->outcome;
	p->status = e->status;
	set_state(v, p, state, now + e->left_ms);
}

/* Returns whether the limits allow all permits of a message.  A message is
 * applied as a whole or not at all. */
static bool
has_room_for(const struct dh_permits *v, const struct dh_permit_event *ev)
{
	size_t bytes = v->store.bytes, count = v->store.count;
	const struct dh_permit_entry *e;
	uint32_t i;

	for (i = 0; i < ev->hold.n; i++) {
		e = &ev->hold.list[i];
		if (e->state == DH_PERMIT_RELEASED ||
		    dh_permit_store_find(&v->store, e->id) != NULL)
			continue;
		bytes += dh_permit_store_size(e->id);
		count++;
	}
	return count <= v->p.count_max && bytes <= v->p.bytes_max;
}

/*
 * Accepts the first message with a new term or deputy_seq.  A VM that
 * becomes deputy again after another VM lacks the permits granted in between:
 * it is complete only once a message with the new deputy_seq says so.
 */
static void
accept_leader(struct dh_permits *v, uint64_t term, uint64_t deputy_seq,
    int64_t now, struct dh_permit_actions *out)
{
	if (term == v->term && deputy_seq == v->deputy_seq)
		return;
	refuse_all_waiting(v, now, out);
	sync_stop(v);
	if (term != v->term)
		v->seq = 0;
	v->role = ROLE_DEPUTY;
	v->term = term;
	v->deputy_seq = deputy_seq;
}

static void
on_hold(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	bool stale = ev->hold.term < v->term ||
	    (ev->hold.term == v->term &&
		(v->role == ROLE_LEADER ||
		    ev->hold.deputy_seq < v->deputy_seq));
	struct dh_permit_action *a;
	uint32_t i;

	if (!stale)
		accept_leader(v, ev->hold.term, ev->hold.deputy_seq, now, out);
	/* A late message from a connection that has been replaced. */
	if (!stale && ev->hold.seq <= v->seq)
		return;
	a = add_action(out, DH_PERMIT_DO_HELD, ev->hold.from);
	a->held.term = v->term;
	a->held.seq = ev->hold.seq;
	a->held.refused = stale || !has_room_for(v, ev);
	if (a->held.refused)
		return;
	v->seq = ev->hold.seq;
	for (i = 0; i < ev->hold.n; i++)
		store_entry(v, &ev->hold.list[i], now);
	v->lost = ev->hold.loss_remaining_ms > 0;
	v->lost_before_wall_ms = ev->hold.lost_before_wall_ms;
	v->lost_until_ms = now + ev->hold.loss_remaining_ms;
	if (ev->hold.complete)
		v->complete = true;
}

/*
 * Acknowledgements from the deputy.  Each one applies to a single HOLD message:
 * a message that the link dropped is never acknowledged, and the wait of its
 * permit times out.
 */

static void
on_sync_held(struct dh_permits *v, const struct dh_permit_event *ev,
    int64_t now, struct dh_permit_actions *out)
{
	if (v->sync_seq == 0 || ev->held.seq != v->sync_seq || ev->held.refused)
		return;
	v->sync_seq = 0;
	v->sync_retry_ms = 0;
	v->sync_next = v->sync_batch_end;
	if (v->sync_last)
		v->complete = true;
	else
		sync_batch(v, now, out);
}

static void
on_permit_held(struct dh_permits *v, struct permit *p, bool refused,
    int64_t now, struct dh_permit_actions *out)
{
	if (refused) {
		refuse_waiting(v, p, now, out);
	} else if (p->state != DH_PERMIT_CLOSED) {
		set_state(v, p, DH_PERMIT_RUNNING, p->expiry_ms);
		(void)add_answer(
		    out, p->router, p->id, p->token, DH_PERMIT_RUN);
	} else {
		p->deputy_closed = true;
		if (is_confirmed(v, now))
			answer_not_run(v, p, now, out);
	}
}

static void
on_held(struct dh_permits *v, const struct dh_permit_event *ev, int64_t now,
    struct dh_permit_actions *out)
{
	struct permit *p = v->wait_first;

	if (v->role != ROLE_LEADER || ev->held.from != v->deputy)
		return;
	if (ev->held.term > v->term) {
		/* Another VM leads, so this VM must not grant permits. */
		v->deputy = 0;
		v->no_deputy_since_ms = NEVER_MS;
		sync_stop(v);
		refuse_all_waiting(v, now, out);
		return;
	}
	if (ev->held.term != v->term)
		return;
	while (p != NULL && p->hold_seq < ev->held.seq)
		p = p->wait_next;
	if (p != NULL && p->hold_seq == ev->held.seq)
		on_permit_held(v, p, ev->held.refused, now, out);
	on_sync_held(v, ev, now, out);
}

/* Timeouts. */

static void
expire(struct dh_permits *v, int64_t now, struct dh_permit_actions *out)
{
	struct permit *p;

	while (v->wait_first != NULL &&
	    now - v->wait_first->wait_start_ms >= v->p.deputy_timeout_ms)
		refuse_waiting(v, v->wait_first, now, out);
	while ((p = dh_permit_heap_first(&v->store.in_flight)) != NULL &&
	    p->expiry_ms <= now) {
		if (p->state == DH_PERMIT_PENDING)
			refuse_waiting(v, p, now, out);
		else
			end_permit(v, p, DH_OUTCOME_UNKNOWN, 0, now);
	}
	while ((p = dh_permit_heap_first(&v->store.ended)) != NULL &&
	    p->expiry_ms <= now)
		delete_permit(v, p);
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
		on_lead(v, ev, now_ms, wall_ms, out);
		break;
	case DH_PERMIT_DEPUTY:
		on_deputy(v, ev, now_ms, out);
		break;
	case DH_PERMIT_IDLE:
		on_idle(v, now_ms, out);
		break;
	case DH_PERMIT_ASK:
		on_ask(v, ev, now_ms, wall_ms, out);
		break;
	case DH_PERMIT_END:
		on_end(v, ev, now_ms, out);
		break;
	case DH_PERMIT_CLOSE:
		on_close(v, ev, now_ms, wall_ms, out);
		break;
	case DH_PERMIT_CONFIRMED:
		on_confirmed(v, ev->confirmed.sent_ms, now_ms, out);
		break;
	case DH_PERMIT_HOLD:
		on_hold(v, ev, now_ms, out);
		break;
	case DH_PERMIT_HELD:
		on_held(v, ev, now_ms, out);
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
	const struct permit *in_flight =
	    dh_permit_heap_first(&v->store.in_flight);
	const struct permit *ended = dh_permit_heap_first(&v->store.ended);
	int64_t next = INT64_MAX;

	if (v->wait_first != NULL)
		next = v->wait_first->wait_start_ms + v->p.deputy_timeout_ms;
	if (in_flight != NULL)
		next = earlier(next, in_flight->expiry_ms);
	if (ended != NULL)
		next = earlier(next, ended->expiry_ms);
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
	v->confirmed_ms = v->confirm_sent_ms = v->first_confirm_ms = NEVER_MS;
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
		.closed = v->store.nclosed,
		.bytes = v->store.bytes,
		.deputy_complete = v->role == ROLE_LEADER && v->complete };
}
