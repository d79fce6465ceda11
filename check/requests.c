#include "check/history_internal.h"

/* A graceful shutdown of a VM. */
struct stop {
	bool ended; /* the VM process has exited */
	struct dh_where at;
};

struct request;

/* One attempt of a request. */
struct call {
	char *name;
	struct request *request;
	const char *via; /* VM that the call was sent to; interned name */
	char *expect; /* hash of the expected response body */
	int64_t sent_us;
	struct dh_where sent_at;
	bool sent;
	bool answered;
	bool not_run;
	const char *backend; /* interned; server that ran it, or NULL */
	struct dh_where start_at;
	struct stop *stop; /* shutdown of the VM during the call, or NULL */
};

struct request {
	char *id;
	GList *link; /* in the queue ages */
	GPtrArray *calls; /* struct call, owned */
	bool unrepeatable;
	uint32_t starts;
	uint32_t untagged; /* number of starts that name no call */
	struct dh_where start_at; /* the first start */
	int64_t newest_us; /* time of the newest send */
	bool refused; /* a call was answered "not run" */
	int64_t refused_us; /* time of the newest "not run" from a VM */
	struct dh_where refused_at;
};

struct dh_requests {
	GHashTable *requests; /* id -> request, owned */
	GHashTable *calls; /* name -> call, borrowed from the request */
	GQueue *ages; /* struct request, in order of age, oldest first */
	GHashTable *stops; /* interned VM name -> stop in progress */
	GPtrArray *all_stops; /* struct stop, owned */
	uint64_t forgotten;
};

static void
call_free(void *arg)
{
	struct call *c = arg;

	g_free(c->expect);
	g_free(c->name);
	g_free(c);
}

static void
request_free(void *arg)
{
	struct request *r = arg;

	g_ptr_array_unref(r->calls);
	g_free(r->id);
	g_free(r);
}

struct dh_requests *
dh_requests_new(void)
{
	struct dh_requests *rq = g_new0(struct dh_requests, 1);

	rq->requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, request_free);
	rq->calls = g_hash_table_new(g_str_hash, g_str_equal);
	rq->ages = g_queue_new();
	rq->stops = g_hash_table_new(NULL, NULL);
	rq->all_stops = g_ptr_array_new_with_free_func(g_free);
	return rq;
}

void
dh_requests_free(struct dh_requests *rq)
{
	g_queue_free(rq->ages);
	g_hash_table_unref(rq->stops);
	g_hash_table_unref(rq->calls);
	g_hash_table_unref(rq->requests);
	g_ptr_array_unref(rq->all_stops);
	g_free(rq);
}

uint64_t
dh_requests_forgotten(const struct dh_requests *rq)
{
	return rq->forgotten;
}

static void
forget_oldest(struct dh_requests *rq)
{
	struct request *r = g_queue_pop_head(rq->ages);
	struct call *c;
	guint i;

	for (i = 0; i < r->calls->len; i++) {
		c = g_ptr_array_index(r->calls, i);
		g_hash_table_remove(rq->calls, c->name);
	}
	g_hash_table_remove(rq->requests, r->id);
	rq->forgotten++;
}

static struct request *
request_get(struct dh_history *h, const char *id)
{
	struct dh_requests *rq = h->requests;
	struct request *r = g_hash_table_lookup(rq->requests, id);

	if (r != NULL)
		return r;
	if (g_hash_table_size(rq->requests) >= h->params.max_ids)
		forget_oldest(rq);
	r = g_new0(struct request, 1);
	r->id = g_strdup(id);
	r->calls = g_ptr_array_new_with_free_func(call_free);
	r->newest_us = INT64_MIN;
	r->refused_us = INT64_MIN;
	g_queue_push_tail(rq->ages, r);
	r->link = rq->ages->tail;
	g_hash_table_insert(rq->requests, r->id, r);
	return r;
}

static struct call *
call_find(const struct dh_history *h, const char *name)
{
	return name == NULL ? NULL
			    : g_hash_table_lookup(h->requests->calls, name);
}

/*
 * Finds or adds a call.  Its start can precede its send in the history, because
 * the clocks of the processes differ slightly.
 */
static struct call *
call_get(struct dh_history *h, struct request *r, const char *name)
{
	struct call *c = call_find(h, name);

	if (c != NULL || name == NULL)
		return c;
	c = g_new0(struct call, 1);
	c->name = g_strdup(name);
	c->request = r;
	c->sent_us = INT64_MIN;
	g_ptr_array_add(r->calls, c);
	g_hash_table_insert(h->requests->calls, c->name, c);
	return c;
}

/* A process killed and not restarted reads none of the calls sent to it. */
static bool
is_down(const struct dh_history *h, const char *name)
{
	const struct dh_change *ch = dh_history_change(h, name);

	return ch != NULL && ch->down_us > ch->up_us;
}

static void
note_send(struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	const struct dh_event_send *sd = &ev->send;
	struct request *r = request_get(h, sd->id);
	struct call *c = call_get(h, r, sd->call);

	r->unrepeatable |= sd->unrepeatable;
	r->newest_us = ev->t_us;
	c->via = g_intern_string(sd->via);
	g_free(c->expect);
	c->expect = g_strdup(sd->expect);
	c->sent = true;
	c->sent_us = ev->t_us;
	c->sent_at = at;
	if (!is_down(h, c->via))
		c->stop = g_hash_table_lookup(h->requests->stops, c->via);
}

void
dh_requests_before(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	struct request *r;

	switch (ev->kind) {
	case DH_EVENT_SEND:
		note_send(h, ev, at);
		break;
	case DH_EVENT_START:
		r = request_get(h, ev->run.id);
		r->unrepeatable |= ev->run.unrepeatable;
		(void)call_get(h, r, ev->run.call);
		break;
	default:
		break;
	}
}

static void
note_start(struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	struct request *r = request_get(h, ev->run.id);
	struct call *c = call_find(h, ev->run.call);

	if (r->starts == 0)
		r->start_at = at;
	r->starts++;
	if (c == NULL) {
		r->untagged++;
		return;
	}
	c->backend = g_intern_string(ev->src);
	c->start_at = at;
}

/*
 * Status 0 of a "not run" answer means that the client itself found that the
 * call was not sent.  This says nothing about other calls of the same request.
 */
static bool
is_unsent(const struct dh_event_answer *an)
{
	return an->status == 0;
}

static void
note_answer(struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	struct call *c = call_find(h, ev->answer.call);

	if (c == NULL)
		return;
	c->answered = true;
	if (ev->answer.outcome != DH_OUTCOME_NOT_RUN)
		return;
	c->not_run = true;
	c->request->refused = true;
	c->request->refused_at = at;
	if (!is_unsent(&ev->answer))
		c->request->refused_us = ev->t_us;
}

void
dh_requests_after(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	switch (ev->kind) {
	case DH_EVENT_START:
		note_start(h, ev, at);
		break;
	case DH_EVENT_ANSWER:
		note_answer(h, ev, at);
		break;
	default:
		break;
	}
}

static void
check_body(struct dh_history *h, const struct call *c,
    const struct dh_event_answer *an, struct dh_where at)
{
	if (g_strcmp0(an->echo, c->request->id) != 0)
		dh_history_broken(h, DH_PROMISE_OWN_ANSWER, at,
		    "call %s of request %s (%s:%u) got the answer to %s",
		    c->name, c->request->id, c->sent_at.file, c->sent_at.line,
		    an->echo == NULL ? "no request" : an->echo);
	else if (g_strcmp0(an->hash, c->expect) != 0)
		dh_history_broken(h, DH_PROMISE_OWN_ANSWER, at,
		    "call %s of request %s (%s:%u) got body %s, not %s, as if "
		    "it were whole",
		    c->name, c->request->id, c->sent_at.file, c->sent_at.line,
		    an->hash == NULL ? "(none)" : an->hash, c->expect);
}

/*
 * An answer that reports an earlier execution has no body to compare, so the
 * history must contain that execution.
 */
static void
check_repeated(struct dh_history *h, const struct call *c,
    const struct dh_event_answer *an, struct dh_where at)
{
	if (g_strcmp0(an->echo, c->request->id) != 0 ||
	    !c->request->unrepeatable || c->request->starts == 0)
		dh_history_broken(h, DH_PROMISE_OWN_ANSWER, at,
		    "call %s of request %s (%s:%u) got a wrong report that %s "
		    "was already executed",
		    c->name, c->request->id, c->sent_at.file, c->sent_at.line,
		    an->echo == NULL ? "no request" : an->echo);
}

void
dh_check_own_answer(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	const struct dh_event_answer *an = &ev->answer;
	struct call *c;

	if (ev->kind != DH_EVENT_ANSWER)
		return;
	h->findings[DH_PROMISE_OWN_ANSWER].checked++;
	c = call_find(h, an->call);
	if (c == NULL || !c->sent) {
		if (h->requests->forgotten == 0)
			dh_history_broken(h, DH_PROMISE_OWN_ANSWER, at,
			    "an answer to call %s, which was never sent",
			    an->call);
		return;
	}
	if (c->answered)
		dh_history_broken(h, DH_PROMISE_OWN_ANSWER, at,
		    "a second answer to call %s (%s:%u)", c->name,
		    c->sent_at.file, c->sent_at.line);
	else if (an->outcome == DH_OUTCOME_DONE && an->repeated)
		check_repeated(h, c, an, at);
	else if (an->outcome == DH_OUTCOME_DONE && an->whole)
		check_body(h, c, an, at);
}

/*
 * Returns whether a call not answered "not run" may have led to a start, or no
 * call is known.
 */
static bool
may_have_run(const struct request *r)
{
	const struct call *c;
	guint i;

	for (i = 0; i < r->calls->len; i++) {
		c = g_ptr_array_index(r->calls, i);
		if (!c->not_run)
			return true;
	}
	return r->calls->len == 0;
}

static void
not_run_start(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	const struct request *r = request_get(h, ev->run.id);
	const struct call *c = call_find(h, ev->run.call);
	int64_t sent_us = c != NULL ? c->sent_us : r->newest_us;
	bool late;

	if (!r->refused)
		return;
	if (r->unrepeatable)
		late = (c != NULL && c->not_run) ||
		    (r->refused_us != INT64_MIN && sent_us <= r->refused_us);
	else
		late = c != NULL ? c->not_run : !may_have_run(r);
	if (late)
		dh_history_broken(h, DH_PROMISE_NOT_RUN, at,
		    "request %s starts on %s after it was answered not run "
		    "(%s:%u)",
		    r->id, ev->src, r->refused_at.file, r->refused_at.line);
}

static void
not_run_answer(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	const struct call *c = call_find(h, ev->answer.call);
	const struct request *r;
	struct dh_where ran;
	bool by_id;

	if (c == NULL || ev->answer.outcome != DH_OUTCOME_NOT_RUN)
		return;
	h->findings[DH_PROMISE_NOT_RUN].checked++;
	r = c->request;
	by_id = (r->unrepeatable && r->starts > 0 && !is_unsent(&ev->answer)) ||
	    (r->untagged > 0 && r->calls->len == 1);
	if (c->backend == NULL && !by_id)
		return;
	ran = c->backend != NULL ? c->start_at : r->start_at;
	dh_history_broken(h, DH_PROMISE_NOT_RUN, at,
	    "call %s of request %s is answered not run, but it ran (%s:%u)",
	    c->name, r->id, ran.file, ran.line);
}

void
dh_check_not_run(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	if (ev->kind == DH_EVENT_START)
		not_run_start(h, ev, at);
	else if (ev->kind == DH_EVENT_ANSWER)
		not_run_answer(h, ev, at);
}

void
dh_check_at_most_once(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	const struct request *r;

	if (ev->kind != DH_EVENT_START)
		return;
	r = request_get(h, ev->run.id);
	if (!r->unrepeatable)
		return;
	h->findings[DH_PROMISE_AT_MOST_ONCE].checked++;
	if (r->starts > 0)
		dh_history_broken(h, DH_PROMISE_AT_MOST_ONCE, at,
		    "unrepeatable request %s starts again on %s; it first ran "
		    "at %s:%u",
		    r->id, ev->src, r->start_at.file, r->start_at.line);
}

static void
on_stop(struct dh_history *h, const char *vm, struct dh_where at)
{
	struct dh_requests *rq = h->requests;
	struct stop *st = g_new0(struct stop, 1);
	GHashTableIter it;
	gpointer value;
	struct call *c;

	st->at = at;
	g_ptr_array_add(rq->all_stops, st);
	g_hash_table_replace(rq->stops, (gpointer)vm, st);
	g_hash_table_iter_init(&it, rq->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		c = value;
		if (c->sent && !c->answered && c->via == vm)
			c->stop = st;
	}
}

/* The call was cut by a kill or restart of a process, not by the shutdown. */
static bool
cut_by_process_loss(const struct dh_history *h, const struct call *c)
{
	const struct dh_change *ch = dh_history_change(h, c->via);

	if (ch != NULL && ch->down_us >= c->sent_us)
		return true;
	if (c->backend == NULL)
		return false;
	ch = dh_history_change(h, c->backend);
	return ch != NULL &&
	    (ch->down_us >= c->sent_us || ch->up_us >= c->sent_us);
}

static void
stop_answer(struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	const struct dh_event_answer *an = &ev->answer;
	const struct call *c = call_find(h, an->call);
	bool lost;

	if (c == NULL || c->stop == NULL)
		return;
	h->findings[DH_PROMISE_CLEAN_STOP].checked++;
	lost = an->status == 0 && an->outcome == DH_OUTCOME_UNKNOWN;
	if ((an->whole && !lost) || cut_by_process_loss(h, c))
		return;
	dh_history_broken(h, DH_PROMISE_CLEAN_STOP, at,
	    "call %s (%s:%u) was cut off by the shutdown of %s (%s:%u)",
	    c->name, c->sent_at.file, c->sent_at.line, c->via, c->stop->at.file,
	    c->stop->at.line);
}

void
dh_check_clean_stop(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	const char *vm;
	struct stop *st;

	switch (ev->kind) {
	case DH_EVENT_STOP:
		on_stop(h, g_intern_string(ev->target.name), at);
		break;
	case DH_EVENT_STOPPED:
		vm = g_intern_string(ev->target.name);
		st = g_hash_table_lookup(h->requests->stops, vm);
		if (st != NULL)
			st->ended = true;
		g_hash_table_remove(h->requests->stops, vm);
		break;
	case DH_EVENT_ANSWER:
		stop_answer(h, ev, at);
		break;
	default:
		break;
	}
}

void
dh_check_clean_stop_end(struct dh_history *h)
{
	GHashTableIter it;
	gpointer value;
	const struct call *c;

	g_hash_table_iter_init(&it, h->requests->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		c = value;
		if (c->stop == NULL || !c->stop->ended || c->answered ||
		    cut_by_process_loss(h, c))
			continue;
		h->findings[DH_PROMISE_CLEAN_STOP].checked++;
		dh_history_broken(h, DH_PROMISE_CLEAN_STOP, c->sent_at,
		    "call %s has no answer; %s was shut down meanwhile "
		    "(%s:%u)",
		    c->name, c->via, c->stop->at.file, c->stop->at.line);
	}
}
