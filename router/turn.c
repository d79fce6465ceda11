#include "router/turn.h"

#include <string.h>

#include "base/clock.h"

#define BACKEND_QUEUE_MAX 256u
#define QUEUE_US 1000000
/* VMs that share a backend server's connections. */
#define VMS_MAX 11u
#define RAMP_US 5000000
#define RETRY_AFTER_MAX_US 5000000

static const struct dh_breaker_params breaker_params = { .failures = 5,
	.percent = 50,
	.window = 20,
	.probes = 2,
	.open_ms = 100,
	.max_open_ms = 2000 };

/* Room for backend servers at first. */
#define ROOM_FIRST 64u

struct dh_turns {
	struct dh_admission *adm;
	GHashTable *index; /* backend server's id -> index + 1 */
	uint32_t nindex; /* indices ever used */
	uint32_t room; /* of the arrays by index */
	GArray *spare; /* uint32_t: indices to be used again */
	struct dh_balance_load *loads;
	struct dh_breaker *breakers;
	struct dh_rng rng;
	uint64_t revision;
	int64_t reopen_us; /* when the first open breaker lets one try */
	uv_timer_t *timer;
	dh_turn_fn on_turn;
	uint32_t threads; /* lanes of this VM */
};

static void on_timer(uv_timer_t *timer);

static struct dh_exchange *
exchange_of(struct dh_ticket *tk)
{
	return (struct dh_exchange *)(void *)((char *)tk -
	    offsetof(struct dh_exchange, ticket));
}

struct dh_turns *
dh_turns_new(uv_loop_t *loop, const struct dh_settings *s, uint64_t seed,
    dh_turn_fn on_turn)
{
	struct dh_turns *ts = g_new0(struct dh_turns, 1);
	struct dh_admission_params p = { .nbackends = ROOM_FIRST,
		.max_queued = s->queue_max,
		.backend_queue = BACKEND_QUEUE_MAX,
		.queue_us = QUEUE_US,
		.ramp_us = RAMP_US,
		.max_retry_after_us = RETRY_AFTER_MAX_US,
		.seed = seed };

	ts->reopen_us = INT64_MAX;
	ts->adm = dh_admission_new(&p);
	if (ts->adm == NULL)
		g_error("no memory for admission");
	ts->index =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	ts->room = ROOM_FIRST;
	ts->spare = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	ts->loads = g_new0(struct dh_balance_load, ROOM_FIRST);
	ts->breakers = g_new0(struct dh_breaker, ROOM_FIRST);
	ts->rng.state = seed;
	ts->on_turn = on_turn;
	ts->threads = s->threads;
	ts->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(loop, ts->timer);
	ts->timer->data = ts;
	return ts;
}

void
dh_turns_free(struct dh_turns *ts)
{
	if (ts == NULL)
		return;
	dh_admission_free(ts->adm);
	g_hash_table_unref(ts->index);
	g_array_unref(ts->spare);
	g_free(ts->loads);
	g_free(ts->breakers);
	g_free(ts->timer); /* closed with its loop */
	g_free(ts);
}

static uint32_t
index_of(const struct dh_turns *ts, uint64_t id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(ts->index, &id));
}

static void
note_load(struct dh_turns *ts, uint32_t i, int64_t now_us)
{
	const struct dh_breaker *b = &ts->breakers[i];
	bool open = b->state == DH_BREAKER_OPEN && now_us / 1000 < b->until_ms;

	if (open)
		ts->reopen_us = MIN(ts->reopen_us, b->until_ms * 1000);
	ts->loads[i] = (struct dh_balance_load){
		.running = dh_admission_running(ts->adm, i),
		.limit_milli =
		    open ? 0 : dh_admission_limit_milli(ts->adm, i, now_us),
	};
}

/* Nobody chooses a backend server without room, so nothing but the time makes
 * a breaker that is over with its pause let one try. */
static void
reopen(struct dh_turns *ts, int64_t now_us)
{
	uint32_t i;

	if (now_us < ts->reopen_us)
		return;
	ts->reopen_us = INT64_MAX;
	for (i = 0; i < ts->nindex; i++)
		if (ts->breakers[i].state == DH_BREAKER_OPEN)
			note_load(ts, i, now_us);
}

static void
arm(struct dh_turns *ts)
{
	int64_t at_us = MIN(dh_admission_wake_us(ts->adm), ts->reopen_us);
	int64_t wait_us;

	if (at_us == INT64_MAX) {
		uv_timer_stop(ts->timer);
		return;
	}
	wait_us = at_us - dh_clock_us();
	uv_timer_start(ts->timer, on_timer,
	    wait_us > 0 ? (uint64_t)(wait_us + 999) / 1000 : 0, 0);
}

static void
make_room(struct dh_turns *ts)
{
	uint32_t room = ts->room * 2;

	if (!dh_admission_grow(ts->adm, room))
		g_error("no memory for admission");
	ts->loads = g_renew(struct dh_balance_load, ts->loads, room);
	ts->breakers = g_renew(struct dh_breaker, ts->breakers, room);
	memset(ts->loads + ts->room, 0, ts->room * sizeof(ts->loads[0]));
	memset(ts->breakers + ts->room, 0, ts->room * sizeof(ts->breakers[0]));
	ts->room = room;
}

static uint32_t
index_new(struct dh_turns *ts)
{
	uint32_t i;

	if (ts->spare->len > 0) {
		i = g_array_index(ts->spare, uint32_t, ts->spare->len - 1);
		g_array_set_size(ts->spare, ts->spare->len - 1);
		return i;
	}
	if (ts->nindex == ts->room)
		make_room(ts);
	return ts->nindex++;
}

static uint32_t
index_make(struct dh_turns *ts, uint64_t id, bool *is_new)
{
	uint32_t i = index_of(ts, id);
	uint64_t *key;

	*is_new = i == 0;
	if (i != 0)
		return i - 1;
	i = index_new(ts);
	key = g_new(uint64_t, 1);
	*key = id;
	g_hash_table_insert(ts->index, key, GUINT_TO_POINTER(i + 1));
	return i;
}

static GHashTable *
ids_of(const struct dh_conf *conf)
{
	GHashTable *ids =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	uint64_t *id;
	size_t b;

	for (b = 0; b < conf->nbackends; b++) {
		id = g_new(uint64_t, 1);
		*id = dh_name_id(conf->backends[b].name);
		g_hash_table_add(ids, id);
	}
	return ids;
}

/* Those that are gone get no slots; their index is free once no request is
 * left of them, or with the next configuration. */
static void
drop_gone(struct dh_turns *ts, const struct dh_conf *conf, int64_t now_us)
{
	g_autoptr(GHashTable) ids = ids_of(conf);
	gpointer id, value;
	GHashTableIter it;
	uint32_t i;

	g_hash_table_iter_init(&it, ts->index);
	while (g_hash_table_iter_next(&it, &id, &value)) {
		if (g_hash_table_contains(ids, id))
			continue;
		i = GPOINTER_TO_UINT(value) - 1;
		dh_admission_set_slots(ts->adm, i, 0, false, now_us);
		if (!dh_admission_recycle(ts->adm, i))
			continue;
		memset(&ts->breakers[i], 0, sizeof(ts->breakers[i]));
		g_array_append_val(ts->spare, i);
		g_hash_table_iter_remove(&it);
	}
}

/*
 * Requests a lane may have at a backend server at once.  Each takes one
 * connection, and an idle one is used before another is opened, so this
 * bounds the connections too; libcurl is given no limit of its own, and never
 * queues a request that admission has let run.  Only requests that insist on
 * a new connection can leave more idle ones, as long as these are kept.
 */
static uint32_t
lane_slots(const struct dh_turns *ts, const struct dh_backend *b)
{
	uint32_t share = b->connections / VMS_MAX / ts->threads;

	return MIN(b->slots, MAX(share, 1));
}

void
dh_turns_update(struct dh_turns *ts, const struct dh_conf *conf)
{
	int64_t now_us;
	bool is_new;
	uint32_t i;
	size_t b;

	if (ts->revision == conf->revision)
		return;
	now_us = dh_clock_us();
	drop_gone(ts, conf, now_us);
	for (b = 0; b < conf->nbackends; b++) {
		i = index_make(ts, dh_name_id(conf->backends[b].name), &is_new);
		dh_admission_set_slots(ts->adm, i,
		    lane_slots(ts, &conf->backends[b]),
		    is_new && ts->revision != 0, now_us);
	}
	for (i = 0; i < ts->nindex; i++)
		note_load(ts, i, now_us);
	ts->revision = conf->revision;
	/* Who waited for one that is gone is refused now. */
	arm(ts);
}

static void
end_pass(struct dh_turns *ts, struct dh_exchange *ex, uint32_t i,
    enum dh_breaker_result result)
{
	if (ex->pass.verdict != DH_BREAKER_PASS)
		return;
	dh_breaker_end(&ts->breakers[i], &breaker_params, &ex->pass, result,
	    &ts->rng, dh_clock_ms());
	ex->pass.verdict = DH_BREAKER_REFUSE;
}

static void
on_timer(uv_timer_t *timer)
{
	struct dh_turns *ts = timer->data;
	struct dh_ticket *tk;
	enum dh_admit verdict;
	int64_t retry_after_ms;

	while ((tk = dh_admission_poll(ts->adm, dh_clock_us(), &verdict,
		    &retry_after_ms)) != NULL) {
		if (verdict == DH_ADMIT_REFUSE)
			end_pass(ts, exchange_of(tk), tk->backend,
			    DH_BREAKER_UNUSED);
		ts->on_turn(exchange_of(tk), verdict, retry_after_ms);
	}
	reopen(ts, dh_clock_us());
	arm(ts);
}

static enum dh_breaker_result
breaker_result(enum dh_admission_outcome outcome)
{
	switch (outcome) {
	case DH_ADMISSION_OK:
	case DH_ADMISSION_SHED:
		return DH_BREAKER_ANSWERED;
	case DH_ADMISSION_LOST:
		return DH_BREAKER_FAILED;
	case DH_ADMISSION_CANCELLED:
		return DH_BREAKER_UNUSED;
	}
	g_assert_not_reached();
}

static enum dh_admit
ask(struct dh_turns *ts, struct dh_exchange *ex, uint32_t i,
    int64_t *retry_after_ms)
{
	int64_t now_us = dh_clock_us();
	enum dh_admit verdict;

	ex->pass =
	    dh_breaker_ask(&ts->breakers[i], &breaker_params, now_us / 1000);
	if (ex->pass.verdict == DH_BREAKER_REFUSE) {
		*retry_after_ms = ex->pass.retry_after_ms;
		return DH_ADMIT_REFUSE;
	}
	verdict =
	    dh_admission_ask(ts->adm, &ex->ticket, now_us, retry_after_ms);
	if (verdict == DH_ADMIT_REFUSE)
		end_pass(ts, ex, i, DH_BREAKER_UNUSED);
	note_load(ts, i, now_us);
	if (verdict == DH_ADMIT_QUEUE)
		arm(ts);
	return verdict;
}

enum dh_admit
dh_turns_ask(
    struct dh_turns *ts, struct dh_exchange *ex, int64_t *retry_after_ms)
{
	uint32_t i = index_of(ts, ex->backend_id);

	g_assert(i != 0);
	ex->ticket = (struct dh_ticket){ .backend = i - 1,
		.team = ex->team,
		.deadline_us = ex->deadline_ms * 1000 };
	return ask(ts, ex, i - 1, retry_after_ms);
}

enum dh_admit
dh_turns_again(
    struct dh_turns *ts, struct dh_exchange *ex, int64_t *retry_after_ms)
{
	/* Gone meanwhile, and its index may be another's. */
	if (dh_turns_index(ts, ex->backend_id) != ex->ticket.backend) {
		*retry_after_ms = 1;
		return DH_ADMIT_REFUSE;
	}
	return ask(ts, ex, ex->ticket.backend, retry_after_ms);
}

/* Time to the beginning of the answer, from the end of the request's body: its
 * deadline runs over the same. */
static int64_t
answer_us(const struct dh_exchange *ex)
{
	int64_t asked_us = (ex->deadline_ms - ex->budget_ms) * 1000;

	if (!ex->head_ready)
		return 0;
	return MAX(ex->head_us - MAX(asked_us, ex->sent_us), 1);
}

void
dh_turns_end(struct dh_turns *ts, struct dh_exchange *ex,
    enum dh_admission_outcome outcome)
{
	struct dh_ticket *tk = &ex->ticket, *next;
	int64_t now_us = dh_clock_us();
	uint32_t backend = tk->backend;

	switch (tk->state) {
	case DH_TICKET_IDLE:
		return;
	case DH_TICKET_QUEUED:
	case DH_TICKET_REFUSED:
		dh_admission_cancel(ts->adm, tk);
		end_pass(ts, ex, backend, DH_BREAKER_UNUSED);
		return;
	case DH_TICKET_RUNNING:
		break;
	}
	end_pass(ts, ex, backend, breaker_result(outcome));
	tk->answer_us = answer_us(ex);
	next = dh_admission_end(
	    ts->adm, tk, outcome, now_us - ex->sent_us, now_us);
	while (next != NULL) {
		ts->on_turn(exchange_of(next), DH_ADMIT_RUN, 0);
		next = dh_admission_next(ts->adm, backend, dh_clock_us());
	}
	note_load(ts, backend, dh_clock_us());
	arm(ts);
}

void
dh_turns_frozen(struct dh_turns *ts, uint64_t backend_id)
{
	uint32_t i = index_of(ts, backend_id), n;
	int64_t now_us = dh_clock_us();
	struct dh_breaker_pass pass;

	if (i == 0)
		return;
	for (n = 0; n < breaker_params.failures; n++) {
		pass = dh_breaker_ask(
		    &ts->breakers[i - 1], &breaker_params, now_us / 1000);
		if (pass.verdict == DH_BREAKER_REFUSE)
			break;
		dh_breaker_end(&ts->breakers[i - 1], &breaker_params, &pass,
		    DH_BREAKER_FAILED, &ts->rng, now_us / 1000);
	}
	note_load(ts, i - 1, now_us);
	arm(ts);
}

uint32_t
dh_turns_index(const struct dh_turns *ts, uint64_t backend_id)
{
	uint32_t i = index_of(ts, backend_id);

	return i == 0 ? DH_NONE : i - 1;
}

const struct dh_balance_load *
dh_turns_loads(const struct dh_turns *ts)
{
	return ts->loads;
}

uint32_t
dh_turns_room(const struct dh_turns *ts)
{
	return ts->room;
}
