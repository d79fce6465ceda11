/*
 * Stand-in for the users' platform: its object store, and backend servers that
 * accept grants of keys, in one process on loopback.  It checks that no two
 * backend servers hold a key, that no key is granted with a lower token, that
 * no unrepeatable request runs twice, that rate limits are kept, and that a
 * request which ends backend servers is not sent to more and more of them.  A
 * violation prints a line that starts with "BROKEN" and makes the exit
 *status 1. A request whose path contains "/crash/" ends the backend server that
 *runs it, which starts again later.
 *
 * usage: platform STORE_PORT BACKEND_PORT N [ADVERTISED_PORT]
 * With ADVERTISED_PORT, the store's entries name ports from this one on, which
 * belong to a stand-in for the network, instead of the backend servers' ports.
 *
 * Control calls on the store's port, for soak tests and scenarios:
 * /_kill?i=N, /_start?i=N	end a backend server's process, start the next
 * /_freeze?i=N, /_thaw?i=N	stop and resume its answers
 * /_stutter?i=N&seed=S	its answers come twice, the second time late, until
 * /_steady?i=N
 * /_drain?i=N		announce that it is draining
 * /_closed?i=N		requests to it are violations from now on
 * /_limit?i=N&per_s=X	its answers name a rate limit; 0: none
 * /_store?mode=M		up, busy, silent, lost (writes take effect but
 *			get no answer), slow, late (calls are executed
 *			after the client's timeout), dies (the next write
 *			takes effect, its connection ends without an
 *			answer, and the store is busy from then on)
 * /_back?ms=N		restore the store's state of N ms ago; entries
 *			not written by gateways are written again later
 * /_config?version=N	write a higher version N, with an added route /vN/
 * /_refused?id=X		a client was told that X has not run
 * /_seen?id=X-N		whether a backend server has received X from its
 *			caller's attempt N
 * /_report		number of requests that ran
 */
#include <arpa/inet.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <json.h>
#include <microhttpd.h>

#include "base/clock.h"
#include "standin/lib/stutter.h"

#define KEYS 65536
#define BACKENDS_MAX 16
#define OBJECTS "/dogwoodhub/objects/"
#define WORK_MS 20
#define SLOTS 6
#define ENTRY_LIFE_MS 2600
#define SLOW_MS 300
/* Delay until entries not written by gateways are rewritten after /_back. */
#define WRITE_AGAIN_MS 800
/* Exceeds the timeout of all clients of the store. */
#define LATE_MS 2500
/* A backend server's rate limit binds from LIMIT_GRACE_MS after it was first
 * named: in any LIMIT_WINDOW_MS it gets at most LIMIT_FACTOR times as many
 * requests as it allows, and LIMIT_SLACK more. */
#define LIMIT_GRACE_MS 3000
#define LIMIT_WINDOW_MS 4000
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5
/* A request under /crash/ ends its backend server after CRASH_MS; the next one
 * starts after CRASH_DOWN_MS. */
#define CRASH_MS 60
#define CRASH_DOWN_MS 700
/* From CRASH_GRACE_MS after such a request has ended CRASHES_MAX backend
 * servers, it may arrive CRASH_RETRIES_MAX times more. */
#define CRASHES_MAX 3
#define CRASH_GRACE_MS 3000
#define CRASH_RETRIES_MAX 3
/* Factor by which the clocks of backend servers may be slow. */
#define DRIFT 1.02

struct object {
	char *kind, *name;
	uint64_t revision;
	struct json_object *spec;
	bool deleted;
};

/* A write to the store, kept so that /_back can restore an earlier state. */
struct object_write {
	int64_t at_ms;
	struct object object;
};

struct backend {
	int index;
	bool up, frozen, closed;
	bool stutters;
	struct dh_rng rng; /* of what stutters */
	bool starting; /* a thread waits to start its next process */
	bool draining;
	int64_t born_ms;
	struct MHD_Daemon *daemon; /* NULL: the process has ended */
	int64_t until_ms[KEYS];
	uint64_t highest[KEYS];
	uint32_t running;
	double limit_per_s; /* 0: none */
	int64_t limit_since_ms;
	GArray *arrivals_ms; /* since the limit binds, within the window */
};

/* What requests for one path under /crash/ have done. */
struct crashes {
	uint32_t ended; /* backend servers */
	int64_t last_allowed_ms; /* when the last of CRASHES_MAX had ended */
	uint32_t late; /* arrivals later than CRASH_GRACE_MS after that */
};

struct call {
	GString *body;
	int64_t arrived_ms;
};

static GMutex lock;
static GCond changed;
static GPtrArray *objects;
static uint64_t revision = 1, era = 0;
static GArray *history; /* of struct past */
static int config_version = 1;
static enum {
	STORE_UP,
	STORE_BUSY,
	STORE_SILENT,
	STORE_LOST,
	STORE_SLOW,
	STORE_LATE,
	STORE_DIES
} mode;
static GHashTable *refused; /* ids reported as not run, which must not run */
static GHashTable *seen; /* ID-ATTEMPT received by a backend server */
static struct backend backends[BACKENDS_MAX];
static uint64_t highest_token[KEYS]; /* highest token accepted for each key */
static GHashTable *ran; /* ids of unrepeatable requests that ran */
static GHashTable *crashes; /* path -> struct crashes */
static int nbackends, ran_total, misdirected;
static uint16_t backend_port, advertised_port;
static bool broken;

static void
report_violation(const char *what, uint32_t key, uint64_t fence)
{
	printf("BROKEN %s: key %u, token %llu, at %lld\n", what, key,
	    (unsigned long long)fence, (long long)dh_clock_wall_ms());
	(void)fflush(stdout);
	broken = true;
}

static enum MHD_Result
reply(struct MHD_Connection *c, unsigned int status, const char *text,
    const char *name, const char *value)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	g_autofree char *text_era =
	    g_strdup_printf("%llu", (unsigned long long)era);

	if (name != NULL)
		MHD_add_response_header(r, name, value);
	MHD_add_response_header(r, "Store-Era", text_era);
	MHD_add_response_header(r, "Content-Type", "application/json");
	result = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
	return result;
}

static struct object *
find(const char *kind, const char *name)
{
	guint i;

	for (i = 0; i < objects->len; i++) {
		struct object *o = objects->pdata[i];

		if (strcmp(o->kind, kind) == 0 && strcmp(o->name, name) == 0)
			return o;
	}
	return NULL;
}

/* Writes an object, or deletes it if spec is NULL.  The lock must be held. */
static struct object *
write_object(const char *kind, const char *name, struct json_object *spec)
{
	struct object *o = find(kind, name);
	struct object_write p = { .at_ms = dh_clock_ms() };

	if (o == NULL) {
		o = g_new0(struct object, 1);
		o->kind = g_strdup(kind);
		o->name = g_strdup(name);
		g_ptr_array_add(objects, o);
	}
	json_object_put(o->spec);
	o->spec = json_object_get(spec);
	o->deleted = spec == NULL;
	o->revision = ++revision;
	p.object = *o;
	p.object.spec = json_object_get(spec);
	g_array_append_val(history, p);
	g_cond_broadcast(&changed);
	return o;
}

static void
free_object_write(void *arg)
{
	struct object_write *p = arg;

	json_object_put(p->object.spec);
}

/* Restores all objects to their state at at_ms.  The lock must be held. */
static void
restore_objects(int64_t at_ms)
{
	guint i;

	for (i = 0; i < objects->len; i++) {
		struct object *o = objects->pdata[i];

		json_object_put(o->spec);
		o->spec = NULL;
		o->deleted = true;
		o->revision = 0;
	}
	for (revision = i = 0; i < history->len; i++) {
		struct object_write *p =
		    &g_array_index(history, struct object_write, i);
		struct object *o = find(p->object.kind, p->object.name);

		if (p->at_ms > at_ms) {
			g_array_set_size(history, i);
			break;
		}
		json_object_put(o->spec);
		o->spec = json_object_get(p->object.spec);
		o->deleted = p->object.deleted;
		revision = o->revision = p->object.revision;
	}
	era++;
	g_cond_broadcast(&changed);
}

static char *
text_of(const struct object *o)
{
	return g_strdup_printf(
	    "{\"metadata\":{\"name\":\"%s\",\"revision\":%llu,\"created\":1,"
	    "\"finalizers\":[],\"terminating\":false},\"spec\":%s,"
	    "\"status\":null}",
	    o->name, (unsigned long long)o->revision,
	    o->spec == NULL ? "null" : json_object_to_json_string(o->spec));
}

static char *
list_text(const char *kind, uint64_t since, bool events)
{
	GString *out = g_string_new(events ? "{\"events\":[" : "{\"items\":[");
	guint i, n = 0;

	for (i = 0; i < objects->len; i++) {
		struct object *o = objects->pdata[i];
		g_autofree char *text = NULL;

		if (strcmp(o->kind, kind) != 0 || o->revision <= since ||
		    (!events && o->deleted))
			continue;
		text = text_of(o);
		if (n++ > 0)
			g_string_append_c(out, ',');
		if (events)
			g_string_append_printf(out,
			    "{\"deleted\":%s,\"object\":%s}",
			    o->deleted ? "true" : "false", text);
		else
			g_string_append(out, text);
	}
	g_string_append_printf(out, "],\"more\":false,\"as_of\":%llu}",
	    (unsigned long long)revision);
	if (events && n == 0) {
		g_string_free(out, TRUE);
		return NULL;
	}
	return g_string_free(out, FALSE);
}

static enum MHD_Result
store_get(struct MHD_Connection *c, const char *kind, const char *name)
{
	const char *since =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "watch");
	const char *wait =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "wait_ms");
	gint64 end = g_get_monotonic_time() +
	    (wait == NULL ? 0 : atoi(wait)) * (gint64)1000;
	g_autofree char *text = NULL;
	struct object *o;

	if (name != NULL) {
		o = find(kind, name);
		if (o == NULL || o->deleted)
			return reply(c, 404, "{}", NULL, NULL);
		text = text_of(o);
		return reply(c, 200, text, NULL, NULL);
	}
	if (since == NULL) {
		text = list_text(kind, 0, false);
		return reply(c, 200, text, NULL, NULL);
	}
	for (;;) {
		if (strtoull(since, NULL, 10) > revision)
			return reply(c, 410, "{}", NULL, NULL);
		text = list_text(kind, strtoull(since, NULL, 10), true);
		if (text != NULL || mode != STORE_UP ||
		    !g_cond_wait_until(&changed, &lock, end))
			break;
	}
	if (mode != STORE_UP && mode != STORE_DIES)
		return reply(c, 503, "{}", NULL, NULL);
	if (text == NULL)
		text = g_strdup_printf("{\"events\":[],\"as_of\":%llu}",
		    (unsigned long long)revision);
	return reply(c, 200, text, NULL, NULL);
}

static enum MHD_Result
store_write(struct MHD_Connection *c, const char *kind, const char *name,
    const char *body)
{
	struct json_object *root = json_tokener_parse(body), *meta, *v;
	struct json_object *spec = NULL;
	g_autofree char *text = NULL;
	enum MHD_Result result;
	uint64_t want = 0;
	struct object *o;

	if (root == NULL ||
	    !json_object_object_get_ex(root, "metadata", &meta) ||
	    !json_object_object_get_ex(root, "spec", &spec)) {
		json_object_put(root);
		return reply(c, 400, "{}", NULL, NULL);
	}
	if (name == NULL && json_object_object_get_ex(meta, "name", &v))
		name = json_object_get_string(v);
	else if (json_object_object_get_ex(meta, "revision", &v))
		want = (uint64_t)json_object_get_int64(v);
	o = find(kind, name);
	if (o != NULL && !o->deleted && o->revision != want) {
		text = text_of(o);
		result = reply(c, 409, text, NULL, NULL);
	} else if ((o == NULL || o->deleted) && want != 0) {
		result = reply(c, 404, "{}", NULL, NULL);
	} else {
		text = text_of(write_object(kind, name, spec));
		result = reply(c, 200, text, NULL, NULL);
	}
	json_object_put(root);
	return result;
}

static void
write_entry(const struct backend *b, const char *name, int64_t born_ms)
{
	g_autofree char *text = g_strdup_printf(
	    "{\"service\":\"keyed\",\"address\":\"127.0.0.1:%d\",\"zone\":"
	    "\"z1\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
	    "\"cold_left_s\":0,\"sequence\":1,\"born\":%lld}",
	    advertised_port + b->index, SLOTS,
	    b->draining ? "draining" : "ready", (long long)born_ms);
	struct json_object *spec = json_tokener_parse(text);

	(void)write_object("servers", name, spec);
	json_object_put(spec);
}

static void
write_server_entry(struct backend *b)
{
	g_autofree char *name = g_strdup_printf("i-%d", b->index);

	write_entry(b, name, b->born_ms);
}

static void
set_limit(struct backend *b, double per_s)
{
	b->limit_per_s = per_s;
	b->limit_since_ms = dh_clock_ms();
	g_array_set_size(b->arrivals_ms, 0);
}

/* Counts a request to a backend server with a rate limit. */
static void
check_limit(struct backend *b)
{
	int64_t now_ms = dh_clock_ms();
	double most = LIMIT_SLACK +
	    LIMIT_FACTOR * b->limit_per_s * LIMIT_WINDOW_MS / 1000;
	guint old = 0;

	if (b->limit_per_s == 0 || now_ms < b->limit_since_ms + LIMIT_GRACE_MS)
		return;
	while (old < b->arrivals_ms->len &&
	    g_array_index(b->arrivals_ms, int64_t, old) <=
		now_ms - LIMIT_WINDOW_MS)
		old++;
	if (old > 0)
		g_array_remove_range(b->arrivals_ms, 0, old);
	g_array_append_val(b->arrivals_ms, now_ms);
	if (b->arrivals_ms->len <= most)
		return;
	report_violation("more requests than the rate limit", 0, 0);
	printf("backend server %d, limit %.2f a second: %u in %d ms\n",
	    b->index, b->limit_per_s, b->arrivals_ms->len, LIMIT_WINDOW_MS);
	g_array_set_size(b->arrivals_ms, 0);
}

static gpointer
expire_entry(gpointer arg)
{
	struct backend *b = arg;
	g_autofree char *name = g_strdup_printf("i-%d", b->index);

	(void)usleep(ENTRY_LIFE_MS * 1000);
	g_mutex_lock(&lock);
	if (!b->up)
		(void)write_object("servers", name, NULL);
	g_mutex_unlock(&lock);
	return NULL;
}

static void
set_up(struct backend *b, bool up)
{
	if (b->up == up)
		return;
	b->up = up;
	b->draining = b->closed = false;
	b->limit_per_s = 0;
	memset(b->until_ms, 0, sizeof(b->until_ms));
	memset(b->highest, 0, sizeof(b->highest));
	if (up) {
		b->born_ms = dh_clock_wall_ms();
		write_server_entry(b);
	} else {
		g_thread_unref(g_thread_new("lapse", expire_entry, b));
		g_cond_broadcast(&changed);
	}
}

static void listen_for_backend(struct backend *b);

static gpointer
end_connections(gpointer arg)
{
	struct backend *b = arg;

	MHD_stop_daemon(b->daemon);
	g_mutex_lock(&lock);
	b->daemon = NULL;
	g_cond_broadcast(&changed);
	g_mutex_unlock(&lock);
	return NULL;
}

/* Ends the process of a backend server: its listener and all its connections.
 * The lock must be held. */
static void
end_process(struct backend *b)
{
	if (!b->up)
		return;
	set_up(b, false);
	g_thread_unref(g_thread_new("end", end_connections, b));
}

static gpointer
await_start(gpointer arg)
{
	struct backend *b = arg;

	g_mutex_lock(&lock);
	while (b->daemon != NULL)
		g_cond_wait(&changed, &lock);
	listen_for_backend(b);
	b->starting = false;
	set_up(b, true);
	g_mutex_unlock(&lock);
	return NULL;
}

/* Starts the next process once the one before has ended.  The lock must be
 * held. */
static void
start_process(struct backend *b)
{
	if (b->up || b->starting)
		return;
	b->starting = true;
	g_thread_unref(g_thread_new("start", await_start, b));
}

static const char configuration[] =
    "{\"version\":1,\"limits\":{\"header_bytes\":16384,\"body_bytes\":1000000,"
    "\"header_timeout_s\":3,\"idle_timeout_s\":15},\"listeners\":[{\"host\":"
    "\"h.example\",\"rules\":[{\"name\":\"read\",\"type\":\"safe\","
    "\"target_latency_s\":0.4,\"priority\":1,\"match\":{\"path_prefix\":\"/r/"
    "\"},\"action\":{\"service\":\"keyed\",\"timeout_s\":2,"
    "\"max_attempts\":3}},{\"name\":\"write\",\"type\":\"unsafe\","
    "\"target_latency_s\":0.4,\"priority\":1,\"match\":{\"path_prefix\":\"/w/"
    "\"},\"action\":{\"service\":\"keyed\",\"timeout_s\":2,"
    "\"max_attempts\":3}}]}],\"clusters\":[{\"name\":\"keyed\","
    "\"health_path\":\"/health\",\"max_conns\":200,\"sharded\":true,"
    "\"warm_s\":2.0}]}";

/* What a starting backend server bears, as the configuration states it; 0: it
 * does not. */
static double start_bound_per_s;

static void
add_start_bound(struct json_object *spec)
{
	struct json_object *list, *cluster;

	if (start_bound_per_s <= 0)
		return;
	json_object_object_get_ex(spec, "clusters", &list);
	cluster = json_object_array_get_idx(list, 0);
	json_object_object_add(
	    cluster, "warmup_s", json_object_new_double(1.0));
	json_object_object_add(
	    cluster, "warmup_per_s", json_object_new_double(start_bound_per_s));
}

/* Writes the configuration above with a rule whose path prefix only this
 * version has. */
static void
configure(int version)
{
	g_autofree char *prefix = g_strdup_printf("/v%d/", version);
	struct json_object *spec = json_tokener_parse(configuration);
	struct json_object *list, *host, *rules, *rule, *match;

	json_object_object_add(spec, "version", json_object_new_int(version));
	json_object_object_get_ex(spec, "listeners", &list);
	host = json_object_array_get_idx(list, 0);
	json_object_object_get_ex(host, "rules", &rules);
	rule = NULL;
	(void)json_object_deep_copy(
	    json_object_array_get_idx(rules, 0), &rule, NULL);
	json_object_object_add(
	    rule, "name", json_object_new_string("versioned"));
	match = json_object_new_object();
	json_object_object_add(
	    match, "path_prefix", json_object_new_string(prefix));
	json_object_object_add(rule, "match", match);
	json_object_array_add(rules, rule);
	add_start_bound(spec);
	config_version = version;
	(void)write_object("config", "main", spec);
	json_object_put(spec);
}

static gpointer
write_again(gpointer arg)
{
	int i;

	(void)arg;
	(void)usleep(WRITE_AGAIN_MS * 1000);
	g_mutex_lock(&lock);
	for (i = 0; i < nbackends; i++)
		if (backends[i].up)
			write_server_entry(&backends[i]);
		else
			g_thread_unref(
			    g_thread_new("lapse", expire_entry, &backends[i]));
	configure(config_version);
	g_mutex_unlock(&lock);
	return NULL;
}

static void
set_mode(const char *name)
{
	static const char *const names[] = { "up", "busy", "silent", "lost",
		"slow", "late", "dies" };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		if (strcmp(name, names[i]) == 0)
			mode = i;
	g_cond_broadcast(&changed);
}

static void
control_backend(struct backend *b, const char *url)
{
	if (strcmp(url, "/_start") == 0)
		start_process(b);
	else if (strcmp(url, "/_kill") == 0)
		end_process(b);
	else if (strcmp(url, "/_closed") == 0)
		b->closed = true;
	else if (strcmp(url, "/_drain") == 0 && b->up) {
		b->draining = true;
		write_server_entry(b);
	} else if (strcmp(url, "/_steady") == 0) {
		b->stutters = false;
	} else if (strcmp(url, "/_foreign") == 0) {
		/* Another writer's entry has the address of b. */
		write_entry(b, "agent-0", dh_clock_wall_ms());
	} else if (strcmp(url, "/_freeze") == 0 || strcmp(url, "/_thaw") == 0) {
		b->frozen = strcmp(url, "/_freeze") == 0;
		g_cond_broadcast(&changed);
	}
}

/* Records that a client was told that the request has not run. */
static void
note_refused(const char *id)
{
	if (g_hash_table_contains(ran, id))
		report_violation("refused, and has run", 0, 0);
	(void)g_hash_table_add(refused, g_strdup(id));
}

static enum MHD_Result
control(struct MHD_Connection *c, const char *url)
{
	const char *i =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "i");
	const char *m =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "mode");
	const char *v =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "version");
	const char *id =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "id");
	const char *ms =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "ms");
	const char *per_s =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "per_s");
	const char *seed =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "seed");
	const char *bound =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "bound");
	g_autofree char *text = NULL;

	if (bound != NULL)
		start_bound_per_s = g_ascii_strtod(bound, NULL);
	if (ms != NULL && strcmp(url, "/_back") == 0) {
		restore_objects(dh_clock_ms() - atoi(ms));
		g_thread_unref(g_thread_new("again", write_again, NULL));
	}
	if (id != NULL && strcmp(url, "/_refused") == 0)
		note_refused(id);
	if (id != NULL && strcmp(url, "/_seen") == 0)
		return reply(c, 200,
		    g_hash_table_contains(seen, id) ? "{\"seen\":true}"
						    : "{\"seen\":false}",
		    NULL, NULL);
	if (i != NULL && atoi(i) >= 0 && atoi(i) < nbackends) {
		control_backend(&backends[atoi(i)], url);
		if (per_s != NULL)
			set_limit(
			    &backends[atoi(i)], g_ascii_strtod(per_s, NULL));
		if (seed != NULL) {
			backends[atoi(i)].stutters = true;
			backends[atoi(i)].rng.state = strtoull(seed, NULL, 10);
		}
	}
	if (m != NULL)
		set_mode(m);
	if (v != NULL)
		configure(atoi(v));
	text =
	    g_strdup_printf("{\"ran\":%d,\"misdirected\":%d,\"broken\":%s}\n",
		ran_total, misdirected, broken ? "true" : "false");
	return reply(c, 200, text, NULL, NULL);
}

/* Accumulates the request body; returns true once the request is complete. */
static bool
collect_body(void **state, const char *data, size_t *len)
{
	struct call *call = *state;

	if (call == NULL) {
		call = g_new0(struct call, 1);
		call->body = g_string_new(NULL);
		call->arrived_ms = dh_clock_ms();
		*state = call;
		return false;
	}
	if (*len == 0)
		return true;
	g_string_append_len(call->body, data, (gssize)*len);
	*len = 0;
	return false;
}

static void
on_completed(void *arg, struct MHD_Connection *c, void **state,
    enum MHD_RequestTerminationCode why)
{
	struct call *call = *state;

	(void)arg;
	(void)c;
	(void)why;
	if (call == NULL)
		return;
	g_string_free(call->body, TRUE);
	g_free(call);
}

static void
store_sleep(int ms)
{
	g_mutex_unlock(&lock);
	(void)usleep((useconds_t)ms * 1000);
	g_mutex_lock(&lock);
}

static enum MHD_Result
on_store(void *arg, struct MHD_Connection *c, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	g_auto(GStrv) path = NULL;
	enum MHD_Result result;

	(void)arg;
	(void)version;
	if (!collect_body(state, data, len))
		return MHD_YES;
	g_mutex_lock(&lock);
	if (url[1] == '_') {
		result = control(c, url);
	} else if (mode == STORE_SILENT) {
		g_mutex_unlock(&lock);
		(void)usleep(3000 * 1000);
		return MHD_NO;
	} else if (mode == STORE_BUSY || !g_str_has_prefix(url, OBJECTS)) {
		result = reply(c, 503, "{}", NULL, NULL);
	} else {
		if (mode == STORE_SLOW || mode == STORE_LATE)
			store_sleep(mode == STORE_SLOW ? SLOW_MS : LATE_MS);
		path = g_strsplit(url + strlen(OBJECTS), "/", 2);
		result = strcmp(method, "GET") == 0
		    ? store_get(c, path[0], path[1])
		    : store_write(c, path[0], path[1],
			  ((struct call *)*state)->body->str);
		if ((mode == STORE_LOST || mode == STORE_DIES) &&
		    strcmp(method, "GET") != 0)
			result = MHD_NO;
		if (mode == STORE_DIES && result == MHD_NO) {
			mode = STORE_BUSY;
			g_cond_broadcast(&changed);
		}
	}
	g_mutex_unlock(&lock);
	return result;
}

/* Checks that other holds none of the keys that are being granted to b. */
static void
check_holder(const struct backend *b, const struct backend *other,
    uint32_t from, uint32_t to, uint64_t fence)
{
	int64_t now_ms = dh_clock_ms();
	uint32_t k;

	for (k = from; k <= to; k++) {
		if (other->until_ms[k] <= now_ms)
			continue;
		report_violation("two holders", k, fence);
		printf("granted %u to %u to %d; %d holds it with token %llu "
		       "for %lld ms more\n",
		    from, to, b->index, other->index,
		    (unsigned long long)other->highest[k],
		    (long long)(other->until_ms[k] - now_ms));
		return;
	}
}

static enum MHD_Result
take_grant(struct MHD_Connection *c, struct backend *b, struct json_object *o,
    int64_t arrived_ms)
{
	int64_t from, to, until_ms;
	struct json_object *v;
	uint64_t fence;
	uint32_t k, lower = 0;
	int other;

	from = json_object_object_get_ex(o, "from", &v)
	    ? json_object_get_int64(v)
	    : -1;
	to = json_object_object_get_ex(o, "to", &v) ? json_object_get_int64(v)
						    : -1;
	fence = json_object_object_get_ex(o, "fence", &v)
	    ? (uint64_t)json_object_get_int64(v)
	    : 0;
	if (from < 0 || to < from || to >= KEYS || fence == 0)
		return reply(c, 400, "{}", NULL, NULL);
	for (k = (uint32_t)from; k <= to; k++)
		if (b->highest[k] > fence)
			return reply(c, 409, "{}", NULL, NULL);
	v = NULL;
	(void)json_object_object_get_ex(o, "hold_s", &v);
	/* The hold time starts at the arrival of the grant, even if late. */
	v = NULL;
	(void)json_object_object_get_ex(o, "hold_s", &v);
	until_ms =
	    arrived_ms + (int64_t)(json_object_get_double(v) * 1000 * DRIFT);
	if (until_ms <= dh_clock_ms())
		return reply(c, 200, "{}", NULL, NULL);
	for (other = 0; other < nbackends; other++)
		if (other != b->index)
			check_holder(b, &backends[other], (uint32_t)from,
			    (uint32_t)to, fence);
	for (k = (uint32_t)from; k <= to; k++) {
		if (fence < highest_token[k] && lower++ == 0)
			report_violation("lower token", k, fence);
		highest_token[k] = b->highest[k] = fence;
		b->until_ms[k] = until_ms;
	}
	return reply(c, 200, "{}", NULL, NULL);
}

static enum MHD_Result
take_release(struct MHD_Connection *c, struct backend *b, struct json_object *o)
{
	struct json_object *from, *to;
	int64_t k;

	if (!json_object_object_get_ex(o, "from", &from) ||
	    !json_object_object_get_ex(o, "to", &to))
		return reply(c, 400, "{}", NULL, NULL);
	for (k = json_object_get_int64(from);
	     k <= json_object_get_int64(to) && k < KEYS; k++)
		b->until_ms[k] = 0;
	while (b->running > 0)
		g_cond_wait(&changed, &lock);
	return reply(c, 200, "{}", "X-Dogwoodhub-Handover", "5c0e7a21d94b36f8");
}

/* Waits, with the lock held, while the backend server is frozen. */
static void
wait_while_frozen(const struct backend *b)
{
	while (b->frozen && b->up)
		g_cond_wait(&changed, &lock);
}

static struct crashes *
crashes_of(const char *url)
{
	struct crashes *x = g_hash_table_lookup(crashes, url);

	if (x == NULL) {
		x = g_new0(struct crashes, 1);
		g_hash_table_insert(crashes, g_strdup(url), x);
	}
	return x;
}

/* Counts the arrival of a request under /crash/. */
static void
check_crashes(const struct backend *b, const char *url)
{
	struct crashes *x = crashes_of(url);

	if (x->ended < CRASHES_MAX ||
	    dh_clock_ms() < x->last_allowed_ms + CRASH_GRACE_MS ||
	    ++x->late <= CRASH_RETRIES_MAX)
		return;
	report_violation("a request that ends backend servers", 0, 0);
	printf(
	    "%s reaches backend server %d, late for the %u. time; %u ended\n",
	    url, b->index, x->late, x->ended);
}

static gpointer
restart_later(gpointer arg)
{
	struct backend *b = arg;

	(void)usleep(CRASH_DOWN_MS * 1000);
	g_mutex_lock(&lock);
	start_process(b);
	g_mutex_unlock(&lock);
	return NULL;
}

/* Ends a backend server because of a request, if it has not ended since. */
static enum MHD_Result
crash(struct backend *b, const char *url)
{
	struct crashes *x = crashes_of(url);
	int64_t born_ms = b->born_ms;

	g_mutex_unlock(&lock);
	(void)usleep(CRASH_MS * 1000);
	g_mutex_lock(&lock);
	if (!b->up || b->born_ms != born_ms)
		return MHD_NO;
	if (++x->ended == CRASHES_MAX)
		x->last_allowed_ms = dh_clock_ms();
	printf("%s ends backend server %d, the %u. at %lld\n", url, b->index,
	    x->ended, (long long)dh_clock_wall_ms());
	(void)fflush(stdout);
	end_process(b);
	g_thread_unref(g_thread_new("restart", restart_later, b));
	return MHD_NO;
}

static void
on_connection(void *arg, struct MHD_Connection *c, void **context,
    enum MHD_ConnectionNotificationCode what)
{
	(void)arg;
	(void)c;
	if (what == MHD_CONNECTION_NOTIFY_STARTED)
		*context = stutter_new();
	else
		stutter_free(*context);
}

static struct stutter *
stutter_of(struct MHD_Connection *c)
{
	return MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
	    ->socket_context;
}

static enum MHD_Result
add_header(
    void *arg, enum MHD_ValueKind kind, const char *name, const char *value)
{
	(void)kind;
	g_string_append_printf(arg, "%s: %s\r\n", name, value);
	return MHD_YES;
}

/* Answers a request that has an id. */
static enum MHD_Result
answer(struct MHD_Connection *c, unsigned int status, const char *id,
    const char *body, struct MHD_Response *r)
{
	g_autoptr(GString) text = g_string_new(NULL);
	enum MHD_Result result;

	MHD_add_response_header(r, "X-Dogwoodhub-Request-Id", id);
	g_string_printf(text, "HTTP/1.1 %u Twice\r\n", status);
	(void)MHD_get_response_headers(r, add_header, text);
	g_string_append_printf(
	    text, "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
	stutter_note(stutter_of(c), id, text->str);
	result = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
	return result;
}

static enum MHD_Result
refuse(struct MHD_Connection *c, const char *id)
{
	struct MHD_Response *r;

	misdirected++;
	if (id == NULL)
		return reply(c, 421, "{}", "X-Dogwoodhub-Not-Executed", "1");
	r = MHD_create_response_from_buffer(
	    2, (void *)(uintptr_t) "{}", MHD_RESPMEM_PERSISTENT);
	MHD_add_response_header(r, "X-Dogwoodhub-Not-Executed", "1");
	return answer(c, 421, id, "{}", r);
}

static const char *
id_of(struct MHD_Connection *c)
{
	return MHD_lookup_connection_value(
	    c, MHD_HEADER_KIND, "X-Dogwoodhub-Request-Id");
}

static enum MHD_Result
run_request(struct MHD_Connection *c, struct backend *b, const char *url,
    const char *method)
{
	const char *key = MHD_lookup_connection_value(
	    c, MHD_HEADER_KIND, "X-Dogwoodhub-Shard-Key");
	const char *attempt =
	    MHD_lookup_connection_value(c, MHD_HEADER_KIND, "Soak-Attempt");
	const char *id = id_of(c);
	g_autofree char *body = NULL;
	g_autofree char *stamp = NULL;
	struct MHD_Response *r;
	int64_t born_ms = b->born_ms;
	char limit[32];
	int run, k = key == NULL ? -1 : atoi(key);

	if (b->closed)
		report_violation("a request after the drain", (uint32_t)k, 0);
	if (id != NULL)
		(void)g_hash_table_add(seen,
		    g_strdup_printf(
			"%s-%s", id, attempt == NULL ? "" : attempt));
	if (strstr(url, "/crash/") != NULL)
		check_crashes(b, url);
	if (k < 0 || k >= KEYS || id == NULL || b->until_ms[k] <= dh_clock_ms())
		return refuse(c, id);
	if (strcmp(method, "GET") != 0 && !g_hash_table_add(ran, g_strdup(id)))
		report_violation("ran twice", (uint32_t)k, 0);
	if (g_hash_table_contains(refused, id))
		report_violation("ran after it was refused", (uint32_t)k, 0);
	check_limit(b);
	run = ++ran_total;
	if (strstr(url, "/crash/") != NULL)
		return crash(b, url);
	b->running++;
	g_mutex_unlock(&lock);
	(void)usleep(WORK_MS * 1000);
	g_mutex_lock(&lock);
	b->running--;
	g_cond_broadcast(&changed);
	wait_while_frozen(b);
	if (!b->up || b->born_ms != born_ms)
		return MHD_NO;
	body = g_strdup_printf("body of %s, attempt %s, run %d", id,
	    attempt == NULL ? "" : attempt, run);
	stamp = g_strdup_printf("s-%s-%d", id, run);
	r = MHD_create_response_from_buffer(
	    strlen(body), body, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(r, "X-Dogwoodhub-Server-Stamp", stamp);
	if (b->limit_per_s > 0) {
		(void)g_snprintf(limit, sizeof(limit), "%.3f", b->limit_per_s);
		MHD_add_response_header(r, "Server-Limit", limit);
	}
	return answer(c, 200, id, body, r);
}

/* Whether a request or an order names another backend server. */
static bool
is_for_another(struct MHD_Connection *c, const struct backend *b)
{
	const char *id = MHD_lookup_connection_value(
	    c, MHD_HEADER_KIND, "X-Dogwoodhub-Target-Instance");

	return id != NULL &&
	    (strncmp(id, "i-", 2) != 0 || atoi(id + 2) != b->index);
}

static enum MHD_Result
on_backend(void *arg, struct MHD_Connection *c, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	struct backend *b = arg;
	struct json_object *o;
	enum MHD_Result result;
	char id[16];

	(void)version;
	if (!collect_body(state, data, len))
		return MHD_YES;
	g_mutex_lock(&lock);
	wait_while_frozen(b);
	if (b->up && b->stutters && id_of(c) != NULL)
		stutter_send(stutter_of(c),
		    MHD_get_connection_info(
			c, MHD_CONNECTION_INFO_CONNECTION_FD)
			->connect_fd,
		    id_of(c), &b->rng);
	if (!b->up) {
		result = MHD_NO;
	} else if (is_for_another(c, b)) {
		result = refuse(c, id_of(c));
	} else if (strcmp(url, "/health") == 0) {
		(void)g_snprintf(id, sizeof(id), "i-%d", b->index);
		result = reply(c, 200, "{}", "X-Dogwoodhub-Instance-Id", id);
	} else if (g_str_has_prefix(url, "/dogwoodhub/")) {
		o = json_tokener_parse(((struct call *)*state)->body->str);
		result = strcmp(url, "/dogwoodhub/grant") == 0
		    ? take_grant(c, b, o, ((struct call *)*state)->arrived_ms)
		    : take_release(c, b, o);
		json_object_put(o);
	} else {
		result = run_request(c, b, url, method);
	}
	g_mutex_unlock(&lock);
	return result;
}

static struct MHD_Daemon *
listen_on(uint16_t port, MHD_AccessHandlerCallback handler, void *arg)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port) };

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return MHD_start_daemon(
	    MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
	    port, NULL, NULL, handler, arg, MHD_OPTION_SOCK_ADDR, &sin,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, NULL,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

static void
listen_for_backend(struct backend *b)
{
	b->daemon =
	    listen_on((uint16_t)(backend_port + b->index), on_backend, b);
	if (b->daemon == NULL) {
		fprintf(stderr, "backend server %d: no port\n", b->index);
		exit(2);
	}
}

int
main(int argc, char **argv)
{
	sigset_t set;
	int i, number;

	if (argc < 4 || argc > 5 || atoi(argv[3]) > BACKENDS_MAX) {
		fprintf(stderr,
		    "usage: platform STORE_PORT BACKEND_PORT N [PORT]\n");
		return 2;
	}
	(void)signal(SIGPIPE, SIG_IGN);
	/* Blocked before any thread starts, so that sigwait() gets them. */
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	(void)pthread_sigmask(SIG_BLOCK, &set, NULL);
	history = g_array_new(FALSE, TRUE, sizeof(struct object_write));
	g_array_set_clear_func(history, free_object_write);
	objects = g_ptr_array_new();
	ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	crashes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	backend_port = (uint16_t)atoi(argv[2]);
	advertised_port = argc == 5 ? (uint16_t)atoi(argv[4]) : backend_port;
	nbackends = atoi(argv[3]);
	configure(1);
	for (i = 0; i < nbackends; i++) {
		backends[i].index = i;
		backends[i].arrivals_ms =
		    g_array_new(FALSE, FALSE, sizeof(int64_t));
		set_up(&backends[i], true);
		listen_for_backend(&backends[i]);
	}
	if (listen_on((uint16_t)atoi(argv[1]), on_store, NULL) == NULL)
		return 2;
	(void)sigwait(&set, &number);
	return broken ? 1 : 0;
}
