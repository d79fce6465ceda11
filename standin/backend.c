/*
 * Stand-in for a backend server: takes fenced grants, runs requests on a
 * bounded number of slots, starts cold, sheds, drains and honours deadlines
 * and cancellation, as docs/PROTOCOLS.md says.  Faults are ordered with
 * POST /_fault.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/httpd.h"
#include <dogwoodhub/types.h>

#define CONNECTION_MEMORY (32u << 10)
#define IDLE_S 120u
#define BLOCK_BYTES (64u << 10)
#define PATTERN_BYTES 4096u

enum server_state { STATE_COLD, STATE_READY, STATE_DRAINING };

static const char *const state_names[] = { "cold", "ready", "draining" };

struct options {
	const char *name;
	const char *address;
	uint16_t port;
	uint32_t slots;
	uint32_t queue;
	int64_t service_ms;
	int64_t cold_ms;
	bool check_fence;
	bool check_owner;
	const char *log;
};

struct fault {
	int64_t slow_ms; /* added to each request */
	uint32_t drop_after_read; /* close after reading, this many times */
	uint32_t cut_body; /* end the body early, this many times */
	uint32_t silent; /* read and never answer, this many times */
	bool shed; /* refuse all */
	bool lie_idle; /* load reports say idle */
};

struct grant {
	struct dh_fence fence;
	bool releasing;
	uint32_t running;
};

struct group {
	char *name;
	struct dh_fence highest;
	int64_t until_ms;
	GHashTable *grants; /* slot -> struct grant */
};

struct server {
	struct options opt;
	uv_loop_t loop;
	struct dh_httpd *httpd;
	uint64_t incarnation;
	int64_t start_ms;
	enum server_state state;
	struct fault fault;
	GHashTable *groups; /* name -> struct group */
	GQueue waiting; /* struct request */
	uint32_t running;
	uint64_t done, refused;
	int64_t busy_us;
	GHashTable *runs; /* idempotency key -> count */
	FILE *log;
};

enum request_phase { PHASE_READING, PHASE_WAITING, PHASE_RUNNING, PHASE_ENDED };

struct request {
	struct server *server;
	struct MHD_Connection *conn;
	enum request_phase phase;
	uv_timer_t *timer;
	GString *body; /* of orders and faults only */
	XXH64_state_t *hash; /* of a request's body */
	uint64_t body_bytes;
	char *path;
	char *key;
	char *id;
	char *group;
	uint32_t slot;
	struct dh_fence fence;
	int64_t deadline_ms; /* 0: none */
	int64_t begun_us;
	uint64_t answer_bytes;
	bool cut;
	uint64_t sent;
	unsigned int status;
	GString *answer;
	const char *reason;
};

static struct argp_option argp_options[] = {
	{ "name", 'n', "NAME", 0, "name in logs", 0 },
	{ "address", 'a', "IP", 0, "listen on this address", 0 },
	{ "port", 'p', "PORT", 0, "listen on this port", 0 },
	{ "slots", 's', "N", 0, "requests at once (6)", 0 },
	{ "queue", 'q', "N", 0, "requests waiting (12)", 0 },
	{ "service-ms", 't', "MS", 0, "time of a request (2)", 0 },
	{ "cold-ms", 'c', "MS", 0, "slow for so long after the start (0)", 0 },
	{ "no-check", 'u', 0, 0, "obey whoever gives an order", 0 },
	{ "no-owner", 'o', 0, 0, "run requests without a grant", 0 },
	{ "log", 'l', "FILE", 0, "append a history of events", 0 },
	{ 0 },
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 'n':
		o->name = arg;
		break;
	case 'a':
		o->address = arg;
		break;
	case 'p':
		o->port = (uint16_t)strtoul(arg, NULL, 10);
		break;
	case 's':
		o->slots = (uint32_t)strtoul(arg, NULL, 10);
		break;
	case 'q':
		o->queue = (uint32_t)strtoul(arg, NULL, 10);
		break;
	case 't':
		o->service_ms = strtol(arg, NULL, 10);
		break;
	case 'c':
		o->cold_ms = strtol(arg, NULL, 10);
		break;
	case 'u':
		o->check_fence = false;
		break;
	case 'o':
		o->check_owner = false;
		break;
	case 'l':
		o->log = arg;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static void G_GNUC_PRINTF(3, 4)
    log_event(struct server *s, const char *kind, const char *fmt, ...)
{
	va_list ap;

	if (s->log == NULL)
		return;
	fprintf(s->log, "{\"t\":%" PRId64 ",\"src\":\"%s\",\"kind\":\"%s\"",
	    dh_clock_ms(), s->opt.name, kind);
	va_start(ap, fmt);
	vfprintf(s->log, fmt, ap);
	va_end(ap);
	fputs("}\n", s->log);
	fflush(s->log);
}

static enum server_state
state_now(const struct server *s)
{
	if (s->state == STATE_COLD &&
	    dh_clock_ms() - s->start_ms >= s->opt.cold_ms)
		return STATE_READY;
	return s->state;
}

/* Orders */

static void
group_free(void *arg)
{
	struct group *g = arg;

	g_free(g->name);
	g_hash_table_unref(g->grants);
	g_free(g);
}

static struct group *
group_get(struct server *s, const char *name)
{
	struct group *g = g_hash_table_lookup(s->groups, name);

	if (g != NULL)
		return g;
	g = g_new0(struct group, 1);
	g->name = g_strdup(name);
	g->grants = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_hash_table_insert(s->groups, g->name, g);
	return g;
}

static int64_t
json_int(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) ? json_object_get_int64(v)
						      : 0;
}

static const char *
json_str(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v)
	    ? json_object_get_string(v)
	    : "";
}

static uint32_t
releasing_count(struct group *g)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += ((struct grant *)value)->releasing;
	return n;
}

static void
slot_drop(struct server *s, struct group *g, uint32_t slot)
{
	g_hash_table_remove(g->grants, GUINT_TO_POINTER(slot));
	log_event(
	    s, "released", ",\"group\":\"%s\",\"slot\":%u", g->name, slot);
}

static void
grant_one(struct server *s, struct group *g, struct json_object *entry)
{
	uint32_t slot = (uint32_t)json_object_get_int64(
	    json_object_array_get_idx(entry, 0));
	struct grant *gr =
	    g_hash_table_lookup(g->grants, GUINT_TO_POINTER(slot));
	struct dh_fence f = {
		.term = (uint64_t)json_object_get_int64(
		    json_object_array_get_idx(entry, 1)),
		.counter = (uint64_t)json_object_get_int64(
		    json_object_array_get_idx(entry, 2)),
	};

	if (gr != NULL && dh_fence_cmp(gr->fence, f) == 0 && !gr->releasing)
		return;
	if (gr == NULL) {
		gr = g_new0(struct grant, 1);
		g_hash_table_insert(g->grants, GUINT_TO_POINTER(slot), gr);
	}
	gr->fence = f;
	gr->releasing = false;
	log_event(s, "granted",
	    ",\"group\":\"%s\",\"slot\":%u,\"term\":%" PRIu64
	    ",\"counter\":%" PRIu64 ",\"until\":%" PRId64,
	    g->name, slot, f.term, f.counter, g->until_ms);
}

/* The slots listed are all that this backend server owns in the group. */
static void
grant_set(struct server *s, struct group *g, struct json_object *slots)
{
	g_autoptr(GHashTable) keep = g_hash_table_new(NULL, NULL);
	size_t n = slots == NULL ? 0 : json_object_array_length(slots), i;
	struct json_object *entry;
	GHashTableIter it;
	gpointer slot;

	for (i = 0; i < n; i++) {
		entry = json_object_array_get_idx(slots, i);
		grant_one(s, g, entry);
		g_hash_table_add(keep,
		    GUINT_TO_POINTER((uint32_t)json_object_get_int64(
			json_object_array_get_idx(entry, 0))));
	}
	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, &slot, NULL)) {
		if (g_hash_table_contains(keep, slot))
			continue;
		g_hash_table_iter_remove(&it);
		log_event(s, "released", ",\"group\":\"%s\",\"slot\":%u",
		    g->name, GPOINTER_TO_UINT(slot));
	}
}

static void
release_set(struct server *s, struct group *g, struct json_object *slots)
{
	size_t n = slots == NULL ? 0 : json_object_array_length(slots), i;
	struct json_object *entry;
	struct grant *gr;
	uint32_t slot;

	for (i = 0; i < n; i++) {
		entry = json_object_array_get_idx(slots, i);
		slot = (uint32_t)json_object_get_int64(
		    json_object_array_get_idx(entry, 0));
		gr = g_hash_table_lookup(g->grants, GUINT_TO_POINTER(slot));
		if (gr == NULL)
			continue;
		gr->releasing = true;
		if (gr->running == 0)
			slot_drop(s, g, slot);
	}
}

static void
lease_extend(struct server *s, struct group *g, int64_t until_ms)
{
	if (dh_clock_ms() > g->until_ms)
		log_event(s, "expired", ",\"group\":\"%s\",\"until\":%" PRId64,
		    g->name, g->until_ms);
	g->until_ms = until_ms;
	log_event(s, "lease", ",\"group\":\"%s\",\"until\":%" PRId64, g->name,
	    until_ms);
}

static bool
order_apply(struct server *s, struct group *g, struct json_object *o)
{
	const char *kind = json_str(o, "kind");
	struct dh_fence f = { .term = (uint64_t)json_int(o, "term"),
		.counter = (uint64_t)json_int(o, "counter") };
	int64_t until_ms = json_int(o, "until_ms");
	struct json_object *slots = NULL;

	if (strcmp(kind, "hello") == 0)
		return true;
	if ((uint64_t)json_int(o, "incarnation") != s->incarnation)
		return false;
	if (s->opt.check_fence && dh_fence_cmp(f, g->highest) < 0)
		return false;
	json_object_object_get_ex(o, "slots", &slots);
	if (strcmp(kind, "release") == 0) {
		release_set(s, g, slots);
	} else if (strcmp(kind, "grant") == 0 || strcmp(kind, "renew") == 0) {
		if (until_ms <= dh_clock_ms())
			return false;
		lease_extend(s, g, until_ms);
		if (kind[0] == 'g')
			grant_set(s, g, slots);
	}
	if (dh_fence_cmp(f, g->highest) > 0)
		g->highest = f;
	return true;
}

static enum MHD_Result
order_handle(struct request *rq)
{
	struct server *s = rq->server;
	struct json_object *o = json_tokener_parse(rq->body->str);
	g_autofree char *text = NULL;
	struct group *g;
	bool ok;

	if (o == NULL)
		return dh_httpd_reply(rq->conn, 400, "bad order\n", 10, NULL);
	g = group_get(s, json_str(o, "group"));
	ok = order_apply(s, g, o);
	json_object_put(o);
	text = g_strdup_printf("{\"accepted\":%s,\"incarnation\":%" PRIu64
			       ",\"clock_ms\":%" PRId64 ",\"term\":%" PRIu64
			       ",\"counter\":%" PRIu64
			       ",\"state\":\"%s\",\"running\":%u,\"queued\":%u,"
			       "\"releasing\":%u}\n",
	    ok ? "true" : "false", s->incarnation, dh_clock_ms(),
	    g->highest.term, g->highest.counter, state_names[state_now(s)],
	    s->fault.lie_idle ? 0 : s->running, s->waiting.length,
	    releasing_count(g));
	return dh_httpd_reply(
	    rq->conn, ok ? 200 : 409, text, strlen(text), NULL);
}

static enum MHD_Result
load_handle(struct request *rq)
{
	struct server *s = rq->server;
	g_autofree char *text = g_strdup_printf(
	    "{\"incarnation\":%" PRIu64 ",\"state\":\"%s\",\"running\":%u,"
	    "\"queued\":%u,\"done\":%" PRIu64 ",\"refused\":%" PRIu64
	    ",\"busy_us\":%" PRId64 "}\n",
	    s->incarnation, state_names[state_now(s)],
	    s->fault.lie_idle ? 0 : s->running, s->waiting.length, s->done,
	    s->refused, s->busy_us);

	return dh_httpd_reply(rq->conn, 200, text, strlen(text), NULL);
}

static enum MHD_Result
fault_handle(struct request *rq)
{
	struct server *s = rq->server;
	struct json_object *o = json_tokener_parse(rq->body->str);

	if (o == NULL)
		return dh_httpd_reply(rq->conn, 400, "bad fault\n", 10, NULL);
	s->fault = (struct fault){
		.slow_ms = json_int(o, "slow_ms"),
		.drop_after_read = (uint32_t)json_int(o, "drop_after_read"),
		.cut_body = (uint32_t)json_int(o, "cut_body"),
		.silent = (uint32_t)json_int(o, "silent"),
		.shed = json_int(o, "shed") != 0,
		.lie_idle = json_int(o, "lie_idle") != 0,
	};
	if (json_int(o, "drain") != 0)
		s->state = STATE_DRAINING;
	json_object_put(o);
	return dh_httpd_reply(rq->conn, 200, "ok\n", 3, NULL);
}

/* Requests */

static struct grant *
grant_of(struct request *rq, struct group **group)
{
	struct group *g;

	if (rq->group == NULL)
		return NULL;
	g = g_hash_table_lookup(rq->server->groups, rq->group);
	if (group != NULL)
		*group = g;
	return g == NULL
	    ? NULL
	    : g_hash_table_lookup(g->grants, GUINT_TO_POINTER(rq->slot));
}

/* Why the request may not start now, or NULL. */
static const char *
refusal(struct request *rq)
{
	struct server *s = rq->server;
	struct group *g = NULL;
	struct grant *gr;

	if (rq->deadline_ms != 0 && dh_clock_ms() >= rq->deadline_ms)
		return "deadline";
	if (s->fault.shed)
		return "shed";
	if (state_now(s) == STATE_DRAINING && rq->group == NULL)
		return "draining";
	if (!s->opt.check_owner || rq->group == NULL)
		return NULL;
	gr = grant_of(rq, &g);
	if (gr == NULL || gr->releasing)
		return "wrong-owner";
	if (dh_clock_ms() >= g->until_ms)
		return "lease";
	if (s->opt.check_fence && dh_fence_cmp(gr->fence, rq->fence) != 0)
		return "wrong-owner";
	return NULL;
}

static void start_next(struct server *s);

static void
answer(struct request *rq)
{
	rq->phase = PHASE_ENDED;
	dh_httpd_resume(rq->server->httpd, rq->conn);
}

static void
refuse(struct request *rq, const char *reason)
{
	rq->server->refused++;
	rq->reason = reason;
	rq->status = strcmp(reason, "wrong-owner") == 0 ? 421 : 503;
	log_event(rq->server, "refused", ",\"id\":\"%s\",\"reason\":\"%s\"",
	    rq->id, reason);
}

static uint32_t
count_run(struct request *rq, const char *idempotency_key)
{
	GHashTable *runs = rq->server->runs;
	uint32_t n =
	    GPOINTER_TO_UINT(g_hash_table_lookup(runs, idempotency_key));

	g_hash_table_replace(
	    runs, g_strdup(idempotency_key), GUINT_TO_POINTER(n + 1));
	return n + 1;
}

static void
finish(struct request *rq)
{
	struct server *s = rq->server;
	struct group *g = NULL;
	struct grant *gr = grant_of(rq, &g);

	s->running--;
	s->done++;
	s->busy_us += dh_clock_us() - rq->begun_us;
	if (gr != NULL && gr->running > 0) {
		gr->running--;
		if (gr->releasing && gr->running == 0)
			slot_drop(s, g, rq->slot);
	}
	log_event(s, "finish", ",\"id\":\"%s\"", rq->id);
	rq->status = 200;
	start_next(s);
}

static void
on_service(uv_timer_t *timer)
{
	struct request *rq = timer->data;

	finish(rq);
	answer(rq);
}

static void
run(struct request *rq)
{
	struct server *s = rq->server;
	const char *unrepeatable = MHD_lookup_connection_value(
	    rq->conn, MHD_HEADER_KIND, "Idempotency-Key");
	struct grant *gr = grant_of(rq, NULL);
	int64_t ms = s->opt.service_ms + s->fault.slow_ms;
	uint32_t n = 1;

	if (state_now(s) == STATE_COLD)
		ms *= 4;
	s->running++;
	if (gr != NULL)
		gr->running++;
	rq->phase = PHASE_RUNNING;
	rq->begun_us = dh_clock_us();
	if (unrepeatable != NULL)
		n = count_run(rq, unrepeatable);
	g_string_printf(rq->answer,
	    "{\"id\":\"%s\",\"key\":\"%s\",\"server\":\"%s\",\"run\":%u,"
	    "\"bytes\":%" PRIu64 ",\"hash\":\"%016llx\"}\n",
	    rq->id, rq->key, s->opt.name, n, rq->body_bytes,
	    (unsigned long long)XXH64_digest(rq->hash));
	log_event(s, "start",
	    ",\"id\":\"%s\",\"key\":\"%s\",\"group\":\"%s\",\"slot\":%u,"
	    "\"term\":%" PRIu64 ",\"counter\":%" PRIu64 ",\"unrepeatable\":%s",
	    unrepeatable != NULL ? unrepeatable : rq->id, rq->key,
	    rq->group == NULL ? "" : rq->group, rq->slot, rq->fence.term,
	    rq->fence.counter, unrepeatable != NULL ? "true" : "false");
	uv_timer_start(rq->timer, on_service, (uint64_t)ms, 0);
}

static void
start_next(struct server *s)
{
	struct request *rq;
	const char *why;

	while (s->running < s->opt.slots &&
	    (rq = g_queue_pop_head(&s->waiting)) != NULL) {
		why = refusal(rq);
		if (why == NULL) {
			run(rq);
			continue;
		}
		refuse(rq, why);
		answer(rq);
	}
}

/* Start, queue or refuse a request read whole. */
static void
admit(struct request *rq)
{
	struct server *s = rq->server;
	const char *why = refusal(rq);

	if (why == NULL && s->running >= s->opt.slots &&
	    s->waiting.length >= s->opt.queue)
		why = "shed";
	if (why != NULL) {
		refuse(rq, why);
		rq->phase = PHASE_ENDED;
		return;
	}
	MHD_suspend_connection(rq->conn);
	if (s->running < s->opt.slots) {
		run(rq);
		return;
	}
	rq->phase = PHASE_WAITING;
	g_queue_push_tail(&s->waiting, rq);
}

static ssize_t
pattern_read(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct request *rq = arg;
	uint64_t left = rq->answer_bytes - pos;
	size_t n = left < max ? (size_t)left : max, i;

	if (left == 0)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (rq->cut && pos >= rq->answer_bytes / 2)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	for (i = 0; i < n; i++)
		buf[i] = (char)('a' + (pos + i) % PATTERN_BYTES % 26);
	return (ssize_t)n;
}

static enum MHD_Result
reply_pattern(struct request *rq)
{
	struct MHD_Response *r = MHD_create_response_from_callback(
	    rq->answer_bytes, BLOCK_BYTES, pattern_read, rq, NULL);
	enum MHD_Result result;

	MHD_add_response_header(r, "Dh-Request-Id", rq->id);
	result = MHD_queue_response(rq->conn, 200, r);
	MHD_destroy_response(r);
	return result;
}

static enum MHD_Result
reply_request(struct request *rq)
{
	struct server *s = rq->server;
	const char *headers[] = { "Dh-Request-Id", rq->id, NULL, NULL, NULL,
		NULL, NULL };

	if (rq->reason != NULL) {
		headers[2] = "Dh-Outcome";
		headers[3] = "not-run";
		headers[4] = "Dh-Reason";
		headers[5] = rq->reason;
		return dh_httpd_reply(
		    rq->conn, rq->status, "refused\n", 8, headers);
	}
	if (s->fault.drop_after_read > 0) {
		s->fault.drop_after_read--;
		return MHD_NO;
	}
	if (rq->answer_bytes > 0) {
		if (s->fault.cut_body > 0) {
			s->fault.cut_body--;
			rq->cut = true;
		}
		return reply_pattern(rq);
	}
	return dh_httpd_reply(
	    rq->conn, 200, rq->answer->str, rq->answer->len, headers);
}

static const char *
header(struct request *rq, const char *name)
{
	return MHD_lookup_connection_value(rq->conn, MHD_HEADER_KIND, name);
}

static char *
key_of(const char *path)
{
	g_auto(GStrv) parts = g_strsplit(path, "/", 4);

	return g_strdup(g_strv_length(parts) > 2 ? parts[2] : "");
}

static struct request *
request_new(struct server *s, struct MHD_Connection *conn, const char *path)
{
	struct request *rq = g_new0(struct request, 1);
	const char *text;
	char *dot;

	rq->server = s;
	rq->conn = conn;
	rq->path = g_strdup(path);
	rq->body = g_string_new(NULL);
	rq->answer = g_string_new(NULL);
	rq->hash = XXH64_createState();
	XXH64_reset(rq->hash, 0);
	rq->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(&s->loop, rq->timer);
	rq->timer->data = rq;
	text = header(rq, "Dh-Key");
	rq->key = text != NULL ? g_strdup(text) : key_of(path);
	text = header(rq, "Dh-Request-Id");
	rq->id = g_strdup(text != NULL ? text : "");
	rq->group = g_strdup(header(rq, "Dh-Group"));
	text = header(rq, "Dh-Slot");
	rq->slot = text != NULL ? (uint32_t)strtoul(text, NULL, 10) : 0;
	text = header(rq, "Dh-Fence");
	if (text != NULL) {
		rq->fence.term = strtoull(text, &dot, 10);
		if (*dot == '.')
			rq->fence.counter = strtoull(dot + 1, NULL, 10);
	}
	text = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "size");
	rq->answer_bytes = text != NULL ? strtoull(text, NULL, 10) : 0;
	return rq;
}

static enum MHD_Result
on_body(struct request *rq, const char *data, size_t *len)
{
	bool inner = g_str_has_prefix(rq->path, "/_");

	if (inner && rq->body->len + *len < (4u << 20))
		g_string_append_len(rq->body, data, (gssize)*len);
	XXH64_update(rq->hash, data, *len);
	rq->body_bytes += *len;
	*len = 0;
	return MHD_YES;
}

static enum MHD_Result
on_whole(struct request *rq)
{
	struct server *s = rq->server;
	const char *text = header(rq, "Dh-Deadline-Ms");

	if (strcmp(rq->path, "/_dh/order") == 0)
		return order_handle(rq);
	if (strcmp(rq->path, "/_dh/load") == 0)
		return load_handle(rq);
	if (strcmp(rq->path, "/_fault") == 0)
		return fault_handle(rq);
	if (text != NULL)
		rq->deadline_ms = dh_clock_ms() + strtol(text, NULL, 10);
	if (s->fault.silent > 0) {
		s->fault.silent--;
		MHD_suspend_connection(rq->conn);
		return MHD_YES;
	}
	admit(rq);
	return rq->phase == PHASE_ENDED ? reply_request(rq) : MHD_YES;
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *path,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	struct request *rq = *state;

	(void)method;
	(void)version;
	if (rq == NULL) {
		*state = request_new(arg, conn, path);
		return MHD_YES;
	}
	if (*len > 0)
		return on_body(rq, data, len);
	switch (rq->phase) {
	case PHASE_READING:
		return on_whole(rq);
	case PHASE_ENDED:
		return reply_request(rq);
	case PHASE_WAITING:
	case PHASE_RUNNING:
		break;
	}
	return MHD_YES;
}

static void
timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void
on_completed(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode why)
{
	struct request *rq = *state;
	struct server *s = arg;

	(void)conn;
	(void)why;
	if (rq == NULL)
		return;
	g_queue_remove(&s->waiting, rq);
	if (rq->phase == PHASE_RUNNING)
		finish(rq);
	uv_close((uv_handle_t *)rq->timer, timer_closed);
	g_string_free(rq->body, TRUE);
	g_string_free(rq->answer, TRUE);
	XXH64_freeState(rq->hash);
	g_free(rq->path);
	g_free(rq->key);
	g_free(rq->id);
	g_free(rq->group);
	g_free(rq);
	*state = NULL;
}

static void
on_signal(uv_signal_t *sig, int signum)
{
	(void)signum;
	uv_stop(sig->loop);
}

static bool
server_open(struct server *s)
{
	struct dh_httpd_options o = {
		.address = s->opt.address,
		.port = s->opt.port,
		.connections_max = 4096,
		.memory_per_connection = CONNECTION_MEMORY,
		.idle_s = IDLE_S,
		.handler = on_request,
		.completed = on_completed,
		.arg = s,
	};
	g_autoptr(GError) error = NULL;

	uv_loop_init(&s->loop);
	s->start_ms = dh_clock_ms();
	s->incarnation = (uint64_t)dh_clock_wall_ms();
	s->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	s->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&s->waiting);
	if (s->opt.log != NULL)
		s->log = fopen(s->opt.log, "ae");
	s->httpd = dh_httpd_new(&s->loop, &o, &error);
	if (s->httpd == NULL)
		fprintf(stderr, "backend: %s\n", error->message);
	return s->httpd != NULL;
}

int
main(int argc, char **argv)
{
	struct argp parser = { argp_options, parse_option, NULL,
		"Stand-in for a backend server.", NULL, NULL, NULL };
	struct server s = { .opt = { .name = "backend",
				.address = "127.0.0.1",
				.slots = 6,
				.queue = 12,
				.service_ms = 2,
				.check_fence = true,
				.check_owner = true } };
	uv_signal_t term;

	if (argp_parse(&parser, argc, argv, 0, NULL, &s.opt) != 0)
		return 64;
	(void)signal(SIGPIPE, SIG_IGN);
	if (!server_open(&s))
		return 1;
	uv_signal_init(&s.loop, &term);
	uv_signal_start(&term, on_signal, SIGTERM);
	uv_run(&s.loop, UV_RUN_DEFAULT);
	return 0;
}
