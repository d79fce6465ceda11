#include "router/probe.h"

#include <glib.h>
#include <json-c/json.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/http.h"

#define PROBE_TIMEOUT_MS 1000
/* Shortest time between probes of a backend server; limits their cost. */
#define PROBE_INTERVAL_MIN_US INT64_C(1000000)
/* Longer than an idle connection is kept (CONNECTION_IDLE_S in upstream.c), so
 * every connection from before is closed by then. */
#define NEW_CONNECTIONS_MS 25000

struct probe {
	struct dh_probes *probes;
	uint64_t backend_id;
	struct dh_http_fetch *fetch; /* NULL: no probe is under way */
	int64_t started_us;
	int64_t new_connections_until_ms;
};

struct dh_probes {
	/* A client of its own: the lane's may be at its connection limit. */
	struct dh_http *http;
	GHashTable *backends; /* id -> struct probe */
	dh_probe_fn done;
	void *arg;
	struct dh_counter *alive, *frozen;
};

struct dh_probes *
dh_probes_new(uv_loop_t *loop, dh_probe_fn done, void *arg)
{
	struct dh_probes *ps = g_new0(struct dh_probes, 1);

	ps->http = dh_http_new(loop);
	ps->backends =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	ps->done = done;
	ps->arg = arg;
	ps->alive = dh_counter_get("dh_probes_total", "verdict=\"alive\"");
	ps->frozen = dh_counter_get("dh_probes_total", "verdict=\"frozen\"");
	return ps;
}

void
dh_probes_free(struct dh_probes *ps)
{
	GHashTableIter it;
	gpointer value;

	if (ps == NULL)
		return;
	g_hash_table_iter_init(&it, ps->backends);
	while (g_hash_table_iter_next(&it, NULL, &value))
		dh_http_fetch_cancel(((struct probe *)value)->fetch);
	dh_http_free(ps->http);
	g_hash_table_unref(ps->backends);
	g_free(ps);
}

static struct probe *
probe_of(struct dh_probes *ps, uint64_t backend_id)
{
	struct probe *p = g_hash_table_lookup(ps->backends, &backend_id);

	if (p != NULL)
		return p;
	p = g_new0(struct probe, 1);
	p->probes = ps;
	p->backend_id = backend_id;
	p->started_us = INT64_MIN / 2;
	g_hash_table_insert(ps->backends, &p->backend_id, p);
	return p;
}

static bool
get_uint(struct json_object *o, const char *name, uint64_t *n)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, json_type_int))
		return false;
	*n = json_object_get_uint64(v);
	return true;
}

static bool
count_busy(const char *text, uint64_t *busy)
{
	struct json_object *o = json_tokener_parse(text);
	uint64_t running = 0, queued = 0;
	bool ok = o != NULL && json_object_is_type(o, json_type_object) &&
	    get_uint(o, "running", &running) && get_uint(o, "queued", &queued);

	json_object_put(o);
	*busy = running + queued;
	return ok;
}

static void
on_reply(void *arg, const struct dh_http_reply *reply)
{
	struct probe *p = arg;
	struct dh_probes *ps = p->probes;
	bool alive = reply->result == CURLE_OK;
	struct dh_probe_result result = { .backend_id = p->backend_id,
		.verdict = alive ? DH_PROBE_ALIVE : DH_PROBE_FROZEN,
		.started_us = p->started_us };

	p->fetch = NULL;
	if (alive && reply->status == 200)
		result.busy_known = count_busy(reply->body, &result.busy);
	dh_counter_add(alive ? ps->alive : ps->frozen, 1);
	ps->done(ps->arg, &result);
}

void
dh_probes_start(struct dh_probes *ps, uint64_t backend_id, const char *address,
    uint16_t port)
{
	struct probe *p = probe_of(ps, backend_id);
	int64_t now_us = dh_clock_us();
	g_autofree char *url = NULL;
	struct dh_http_request rq = { .method = "GET",
		.timeout_ms = PROBE_TIMEOUT_MS,
		.fresh_connection = true };

	if (p->fetch != NULL || now_us - p->started_us < PROBE_INTERVAL_MIN_US)
		return;
	url = g_strdup_printf("http://%s:%u/_dh/load", address, port);
	rq.url = url;
	p->started_us = now_us;
	p->fetch = dh_http_fetch(ps->http, &rq, on_reply, p);
}

void
dh_probes_require_new_connections(struct dh_probes *ps, uint64_t backend_id)
{
	probe_of(ps, backend_id)->new_connections_until_ms =
	    dh_clock_ms() + NEW_CONNECTIONS_MS;
}

bool
dh_probes_needs_new_connection(const struct dh_probes *ps, uint64_t backend_id)
{
	const struct probe *p = g_hash_table_lookup(ps->backends, &backend_id);

	return p != NULL && dh_clock_ms() < p->new_connections_until_ms;
}
