#include "router/admit.h"

#include <string.h>

#include "base/clock.h"

#define BACKEND_QUEUE_MAX 256u
#define QUEUE_TIMEOUT_US 1000000
/* Router VMs that share a backend server's connections. */
#define ROUTER_VMS_MAX 11u
#define RAMP_US 5000000
#define RETRY_AFTER_MAX_US 5000000

static const struct dh_breaker_params breaker_params = { .failures = 5,
	.percent = 50,
	.window = 20,
	.probes = 2,
	.open_ms = 100,
	.max_open_ms = 2000 };

/* Initial length of the arrays by index. */
#define INITIAL_CAPACITY 64u

struct dh_admitter {
	struct dh_admission *adm;
	GHashTable *index; /* backend server's id -> index + 1 */
	uint32_t nindex; /* indices allocated so far, free ones included */
	uint32_t capacity; /* length of loads and breakers */
	GArray *free_indices; /* of uint32_t */
	struct dh_balance_load *loads;
	struct dh_breaker *breakers;
	struct dh_rng rng;
	uint64_t revision;
	int64_t reopen_us; /* when the first open breaker admits a trial */
	uv_timer_t timer; /* the loop's owner closes it */
	dh_admitter_fn on_admitted;
	uint32_t threads; /* lanes of this VM */
};

static void on_timer(uv_timer_t *timer);

static struct dh_exchange *
exchange_of(struct dh_ticket *tk)
{
	return (struct dh_exchange *)(void *)((char *)tk -
	    offsetof(struct dh_exchange, ticket));
}

struct dh_admitter *
dh_admitter_new(uv_loop_t *loop, const struct dh_settings *s, uint64_t seed,
    dh_admitter_fn on_admitted)
{
	struct dh_admitter *ad = g_new0(struct dh_admitter, 1);
	struct dh_admission_params p = { .nbackends = INITIAL_CAPACITY,
		.max_queued = s->queue_max,
		.backend_queue = BACKEND_QUEUE_MAX,
		.queue_us = QUEUE_TIMEOUT_US,
		.ramp_us = RAMP_US,
		.max_retry_after_us = RETRY_AFTER_MAX_US,
		.seed = seed };

	ad->reopen_us = INT64_MAX;
	ad->adm = dh_admission_new(&p);
	if (ad->adm == NULL)
		g_error("no memory for admission");
	ad->index =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	ad->capacity = INITIAL_CAPACITY;
	ad->free_indices = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	ad->loads = g_new0(struct dh_balance_load, INITIAL_CAPACITY);
	ad->breakers = g_new0(struct dh_breaker, INITIAL_CAPACITY);
	ad->rng.state = seed;
	ad->on_admitted = on_admitted;
	ad->threads = s->threads;
	uv_timer_init(loop, &ad->timer);
	ad->timer.data = ad;
	return ad;
}

void
dh_admitter_free(struct dh_admitter *ad)
{
	if (ad == NULL)
		return;
	dh_admission_free(ad->adm);
	g_hash_table_unref(ad->index);
	g_array_unref(ad->free_indices);
	g_free(ad->loads);
	g_free(ad->breakers);
	g_free(ad);
}

static uint32_t
index_plus_one(const struct dh_admitter *ad, uint64_t id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(ad->index, &id));
}

static void
update_load(struct dh_admitter *ad, uint32_t i, int64_t now_us)
{
	const struct dh_breaker *b = &ad->breakers[i];
	bool open = b->state == DH_BREAKER_OPEN && now_us / 1000 < b->until_ms;

	if (open)
		ad->reopen_us = MIN(ad->reopen_us, b->until_ms * 1000);
	ad->loads[i] = (struct dh_balance_load){
		.running = dh_admission_running(ad->adm, i),
		.limit_milli =
		    open ? 0 : dh_admission_limit_milli(ad->adm, i, now_us),
	};
}

/* Update the load of backend servers whose open breaker admits a trial request
 * again.  The limit is 0 while the breaker is open, so no request is sent to
 * that backend server and nothing else updates its load. */
static void
refresh_open_breakers(struct dh_admitter *ad, int64_t now_us)
{
	uint32_t i;

	if (now_us < ad->reopen_us)
		return;
	ad->reopen_us = INT64_MAX;
	for (i = 0; i < ad->nindex; i++)
		if (ad->breakers[i].state == DH_BREAKER_OPEN)
			update_load(ad, i, now_us);
}

static void
arm_timer(struct dh_admitter *ad)
{
	int64_t at_us = MIN(dh_admission_wake_us(ad->adm), ad->reopen_us);
	int64_t wait_us;

	if (at_us == INT64_MAX) {
		uv_timer_stop(&ad->timer);
		return;
	}
	wait_us = at_us - dh_clock_us();
	uv_timer_start(&ad->timer, on_timer,
	    wait_us > 0 ? (uint64_t)(wait_us + 999) / 1000 : 0, 0);
}

static void
grow_arrays(struct dh_admitter *ad)
{
	uint32_t capacity = ad->capacity * 2;

	if (!dh_admission_grow(ad->adm, capacity))
		g_error("no memory for admission");
	ad->loads = g_renew(struct dh_balance_load, ad->loads, capacity);
	ad->breakers = g_renew(struct dh_breaker, ad->breakers, capacity);
	memset(
	    ad->loads + ad->capacity, 0, ad->capacity * sizeof(ad->loads[0]));
	memset(ad->breakers + ad->capacity, 0,
	    ad->capacity * sizeof(ad->breakers[0]));
	ad->capacity = capacity;
}

static uint32_t
alloc_index(struct dh_admitter *ad)
{
	uint32_t i;

	if (ad->free_indices->len > 0) {
		i = g_array_index(
		    ad->free_indices, uint32_t, ad->free_indices->len - 1);
		g_array_set_size(ad->free_indices, ad->free_indices->len - 1);
		return i;
	}
	if (ad->nindex == ad->capacity)
		grow_arrays(ad);
	return ad->nindex++;
}

static uint32_t
find_or_alloc_index(struct dh_admitter *ad, uint64_t id, bool *is_new)
{
	uint32_t i = index_plus_one(ad, id);
	uint64_t *key;

	*is_new = i == 0;
	if (i != 0)
		return i - 1;
	i = alloc_index(ad);
	key = g_new(uint64_t, 1);
	*key = id;
	g_hash_table_insert(ad->index, key, GUINT_TO_POINTER(i + 1));
	return i;
}

static GHashTable *
backend_ids(const struct dh_conf *conf)
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

/* Set the slots of backend servers that are not in conf to 0.  The index of
 * such a backend server is freed once no request uses it, here or when the next
 * configuration is applied. */
static void
drop_removed(struct dh_admitter *ad, const struct dh_conf *conf, int64_t now_us)
{
	g_autoptr(GHashTable) ids = backend_ids(conf);
	gpointer id, value;
	GHashTableIter it;
	uint32_t i;

	g_hash_table_iter_init(&it, ad->index);
	while (g_hash_table_iter_next(&it, &id, &value)) {
		if (g_hash_table_contains(ids, id))
			continue;
		i = GPOINTER_TO_UINT(value) - 1;
		dh_admission_set_slots(ad->adm, i, 0, false, now_us);
		if (!dh_admission_recycle(ad->adm, i))
			continue;
		memset(&ad->breakers[i], 0, sizeof(ad->breakers[i]));
		g_array_append_val(ad->free_indices, i);
		g_hash_table_iter_remove(&it);
	}
}

/*
 * Return how many requests a lane may run at a backend server at once.  Each
 * request takes one connection, and an idle connection is used before another
 * is opened, so this limits the connections too.  libcurl has no limit of its
 * own and never queues an admitted request.  Only requests that need a new
 * connection can leave more idle connections, until these time out.
 */
static uint32_t
lane_slots(const struct dh_admitter *ad, const struct dh_backend *b)
{
	uint32_t share = b->connections / ROUTER_VMS_MAX / ad->threads;

	return MIN(b->slots, MAX(share, 1));
}

void
dh_admitter_update(struct dh_admitter *ad, const struct dh_conf *conf)
{
	int64_t now_us;
	bool is_new;
	uint32_t i;
	size_t b;

	if (ad->revision == conf->revision)
		return;
	now_us = dh_clock_us();
	drop_removed(ad, conf, now_us);
	for (b = 0; b < conf->nbackends; b++) {
		i = find_or_alloc_index(
		    ad, dh_name_id(conf->backends[b].name), &is_new);
		dh_admission_set_slots(ad->adm, i,
		    lane_slots(ad, &conf->backends[b]),
		    is_new && ad->revision != 0, now_us);
	}
	for (i = 0; i < ad->nindex; i++)
		update_load(ad, i, now_us);
	ad->revision = conf->revision;
	/* Requests queued for removed backend servers are refused now. */
	arm_timer(ad);
}

static void
end_pass(struct dh_admitter *ad, struct dh_exchange *ex, uint32_t i,
    enum dh_breaker_result result)
{
	if (ex->pass.verdict != DH_BREAKER_PASS)
		return;
	dh_breaker_record(&ad->breakers[i], &breaker_params, &ex->pass, result,
	    &ad->rng, dh_clock_ms());
	ex->pass.verdict = DH_BREAKER_REFUSE;
}

static void
on_timer(uv_timer_t *timer)
{
	struct dh_admitter *ad = timer->data;
	struct dh_ticket *tk;
	enum dh_admit verdict;
	int64_t retry_after_ms;

	while ((tk = dh_admission_poll(ad->adm, dh_clock_us(), &verdict,
		    &retry_after_ms)) != NULL) {
		if (verdict == DH_ADMIT_REFUSE)
			end_pass(ad, exchange_of(tk), tk->backend,
			    DH_BREAKER_CANCELLED);
		ad->on_admitted(exchange_of(tk), verdict, retry_after_ms);
	}
	refresh_open_breakers(ad, dh_clock_us());
	arm_timer(ad);
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
		return DH_BREAKER_CANCELLED;
	}
	g_assert_not_reached();
}

static enum dh_admit
ask_breaker_and_admission(struct dh_admitter *ad, struct dh_exchange *ex,
    uint32_t i, int64_t *retry_after_ms)
{
	int64_t now_us = dh_clock_us();
	enum dh_admit verdict;

	ex->pass =
	    dh_breaker_admit(&ad->breakers[i], &breaker_params, now_us / 1000);
	if (ex->pass.verdict == DH_BREAKER_REFUSE) {
		*retry_after_ms = ex->pass.retry_after_ms;
		return DH_ADMIT_REFUSE;
	}
	verdict =
	    dh_admission_ask(ad->adm, &ex->ticket, now_us, retry_after_ms);
	if (verdict == DH_ADMIT_REFUSE)
		end_pass(ad, ex, i, DH_BREAKER_CANCELLED);
	update_load(ad, i, now_us);
	if (verdict == DH_ADMIT_QUEUE)
		arm_timer(ad);
	return verdict;
}

enum dh_admit
dh_admitter_ask(
    struct dh_admitter *ad, struct dh_exchange *ex, int64_t *retry_after_ms)
{
	uint32_t i = index_plus_one(ad, ex->backend_id);

	g_assert(i != 0);
	ex->ticket = (struct dh_ticket){ .backend = i - 1,
		.team = ex->team,
		.deadline_us = ex->deadline_ms * 1000 };
	return ask_breaker_and_admission(ad, ex, i - 1, retry_after_ms);
}

enum dh_admit
dh_admitter_ask_again(
    struct dh_admitter *ad, struct dh_exchange *ex, int64_t *retry_after_ms)
{
	/* The backend server was removed meanwhile, and its index may have
	 * been given to another. */
	if (dh_admitter_index(ad, ex->backend_id) != ex->ticket.backend) {
		*retry_after_ms = 1;
		return DH_ADMIT_REFUSE;
	}
	return ask_breaker_and_admission(
	    ad, ex, ex->ticket.backend, retry_after_ms);
}

/* Return the time from the end of the request's body, or from sending if that
 * was later, to the answer's headers: the request's time limit starts there
 * too. */
static int64_t
answer_us(const struct dh_exchange *ex)
{
	int64_t asked_us = (ex->deadline_ms - ex->time_limit_ms) * 1000;

	if (!ex->answer_started)
		return 0;
	return MAX(ex->answer_headers_us - MAX(asked_us, ex->sent_us), 1);
}

void
dh_admitter_end(struct dh_admitter *ad, struct dh_exchange *ex,
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
		dh_admission_cancel(ad->adm, tk);
		end_pass(ad, ex, backend, DH_BREAKER_CANCELLED);
		return;
	case DH_TICKET_RUNNING:
		break;
	}
	end_pass(ad, ex, backend, breaker_result(outcome));
	tk->answer_us = answer_us(ex);
	next = dh_admission_end(
	    ad->adm, tk, outcome, now_us - ex->sent_us, now_us);
	while (next != NULL) {
		ad->on_admitted(exchange_of(next), DH_ADMIT_RUN, 0);
		next = dh_admission_next(ad->adm, backend, dh_clock_us());
	}
	update_load(ad, backend, dh_clock_us());
	arm_timer(ad);
}

void
dh_admitter_open_breaker(struct dh_admitter *ad, uint64_t backend_id)
{
	uint32_t i = index_plus_one(ad, backend_id), n;
	int64_t now_us = dh_clock_us();
	struct dh_breaker_decision pass;

	if (i == 0)
		return;
	for (n = 0; n < breaker_params.failures; n++) {
		pass = dh_breaker_admit(
		    &ad->breakers[i - 1], &breaker_params, now_us / 1000);
		if (pass.verdict == DH_BREAKER_REFUSE)
			break;
		dh_breaker_record(&ad->breakers[i - 1], &breaker_params, &pass,
		    DH_BREAKER_FAILED, &ad->rng, now_us / 1000);
	}
	update_load(ad, i - 1, now_us);
	arm_timer(ad);
}

uint32_t
dh_admitter_index(const struct dh_admitter *ad, uint64_t backend_id)
{
	uint32_t i = index_plus_one(ad, backend_id);

	return i == 0 ? DH_NONE : i - 1;
}

const struct dh_balance_load *
dh_admitter_loads(const struct dh_admitter *ad)
{
	return ad->loads;
}

uint32_t
dh_admitter_index_limit(const struct dh_admitter *ad)
{
	return ad->capacity;
}
