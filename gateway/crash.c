/*
 * Whether a backend server has ended.  The end of one connection proves little:
 * backend servers close connections over their limit and idle ones, and
 * networks reset them.  When an attempt has lost its connection, the backend
 * server counts as ended if this worker has no other connection left to it, and
 * a new one is refused, while another backend server accepts one: a partitioned
 * VM may be refused by all.  The requests that were lost with it may have
 * crashed it.
 */
#include <string.h>

#include "base/opslog.h"
#include "gateway/worker_internal.h"

/* Time for the other connections to end, which a process that ends closes at
 * about the same time. */
#define SETTLE_MS 10
/* Limits of requests that are kept for a backend server, and of other backend
 * servers that are asked for a connection. */
#define LOST_MAX 64
#define WITNESSES_MAX 3

struct lost_request {
	struct dh_suspect sent; /* what was known when it was sent */
	char id[DH_NAME_MAX * 2];
};

struct crash_check {
	struct dh_worker *worker;
	struct dh_view_server server;
	uint32_t incarnation; /* of the server, as dh_pool's */
	int64_t began_ms;
	uint32_t witnesses; /* other backend servers asked so far */
	GArray *lost; /* of struct lost_request */
	uv_timer_t timer;
	GList link; /* in worker->crash_checks */
};

static void
on_closed(uv_handle_t *handle)
{
	struct crash_check *c = handle->data;

	g_array_free(c->lost, TRUE);
	g_free(c);
}

static void
check_end(struct crash_check *c)
{
	g_queue_unlink(&c->worker->crash_checks, &c->link);
	uv_close((uv_handle_t *)&c->timer, on_closed);
}

static void
count_crash(const struct crash_check *c, const struct lost_request *l)
{
	struct dh_worker *w = c->worker;
	char id[DH_NAME_MAX * 2 + 8];

	if (!dh_quarantine_add_crash(
		&w->quarantine, &l->sent, c->incarnation, dh_worker_now_ms(w)))
		return;
	w->quarantine_changed = true;
	dh_opslog_add(DH_OPS_STATE, "suspect.crash",
	    ",\"digest\":\"%016llx\",\"id\":%s,\"server\":\"%s\","
	    "\"born\":%lld,\"crashes\":%u,\"after_ms\":%lld",
	    (unsigned long long)l->sent.request,
	    dh_opslog_quote(id, sizeof(id), l->id), c->server.id,
	    (long long)c->server.start_ms,
	    dh_quarantine_find(&w->quarantine, l->sent.request).crashes,
	    (long long)(dh_worker_now_ms(w) - c->began_ms));
}

static void
server_has_ended(struct crash_check *c)
{
	guint i;

	for (i = 0; i < c->lost->len; i++)
		count_crash(c, &g_array_index(c->lost, struct lost_request, i));
	check_end(c);
}

static bool
may_witness(const struct crash_check *c, const struct dh_view_server *s)
{
	return !dh_view_server_is_closed(s, dh_worker_now_ms(c->worker)) &&
	    s->uid != c->server.uid &&
	    memcmp(&s->address, &c->server.address, sizeof(s->address)) != 0;
}

/* A random backend server that is in use, but not the one that is checked; NULL
 * if there is none.  One as far away is preferred: it shares a path that may
 * have been lost. */
static const struct dh_view_server *
choose_witness(const struct crash_check *c)
{
	const struct dh_view *v = c->worker->view;
	const struct dh_view_server *s, *other = NULL;
	size_t i, start;

	if (v->nservers == 0)
		return NULL;
	start = dh_rng_below(&c->worker->rng, v->nservers);
	for (i = 0; i < v->nservers; i++) {
		s = &v->servers[(start + i) % v->nservers];
		if (!may_witness(c, s))
			continue;
		if (s->tier == c->server.tier)
			return s;
		other = s;
	}
	return other;
}

static void on_witness(void *arg, int status);

static void
ask_witness(struct crash_check *c)
{
	const struct dh_view_server *s = choose_witness(c);

	if (s == NULL)
		server_has_ended(c);
	else if (c->witnesses++ == WITNESSES_MAX)
		check_end(c);
	else
		dh_worker_try_connect(c->worker, s, on_witness, c);
}

static void
on_witness(void *arg, int status)
{
	struct crash_check *c = arg;

	if (status == UV_ECANCELED)
		check_end(c);
	else if (status == 0)
		server_has_ended(c);
	else
		ask_witness(c);
}

static void
on_reconnect(void *arg, int status)
{
	struct crash_check *c = arg;

	if (status == UV_ECONNREFUSED)
		ask_witness(c);
	else
		check_end(c);
}

static bool
has_earlier_connection(const GQueue *connections, int64_t before_ms)
{
	GList *l;

	for (l = connections->head; l != NULL; l = l->next)
		if (dh_upstream_connected_before(l->data, before_ms))
			return true;
	return false;
}

static void
on_settled(uv_timer_t *timer)
{
	struct crash_check *c = timer->data;
	const struct dh_pool *pool = g_hash_table_lookup(
	    c->worker->pools, GUINT_TO_POINTER(c->server.uid));

	if (pool != NULL &&
	    (has_earlier_connection(&pool->idle, c->began_ms) ||
		has_earlier_connection(&pool->busy, c->began_ms))) {
		check_end(c);
		return;
	}
	dh_worker_try_connect(c->worker, &c->server, on_reconnect, c);
}

static struct crash_check *
find_check(struct dh_worker *w, uint32_t uid)
{
	struct crash_check *c;
	GList *l;

	for (l = w->crash_checks.head; l != NULL; l = l->next) {
		c = l->data;
		if (c->server.uid == uid)
			return c;
	}
	return NULL;
}

static struct crash_check *
check_start(struct dh_worker *w, const struct dh_pool *pool)
{
	struct crash_check *c = g_new0(struct crash_check, 1);

	c->worker = w;
	c->server = (struct dh_view_server){ .uid = pool->uid,
		.start_ms = pool->start_ms,
		.address = pool->address,
		.tier = pool->tier };
	(void)g_strlcpy(c->server.id, pool->id, sizeof(c->server.id));
	c->incarnation = pool->incarnation;
	c->began_ms = dh_worker_now_ms(w);
	c->lost = g_array_new(FALSE, FALSE, sizeof(struct lost_request));
	c->timer.data = c;
	c->link.data = c;
	g_queue_push_tail_link(&w->crash_checks, &c->link);
	uv_timer_init(&w->loop, &c->timer);
	uv_timer_start(&c->timer, on_settled, SETTLE_MS, 0);
	return c;
}

void
dh_request_connection_lost(const struct dh_request *rq)
{
	struct dh_worker *w = rq->worker;
	struct lost_request lost = { .sent = rq->suspect };
	struct crash_check *c;

	if (rq->pool->peer)
		return;
	c = find_check(w, rq->pool->uid);
	if (c == NULL)
		c = check_start(w, rq->pool);
	(void)g_strlcpy(lost.id, rq->id, sizeof(lost.id));
	if (c->lost->len < LOST_MAX)
		g_array_append_val(c->lost, lost);
}

int64_t
dh_crash_check_ms(const struct dh_request *rq)
{
	const struct dh_choice_params *p = &rq->worker->choice;

	return SETTLE_MS + (int64_t)p->round_trip_ms[rq->pool->tier] +
	    (int64_t)p->round_trip_ms[DH_TIER_REMOTE];
}

void
dh_worker_end_crash_checks(struct dh_worker *w)
{
	while (w->crash_checks.head != NULL)
		check_end(w->crash_checks.head->data);
}
