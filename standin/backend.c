/*
 * Stand-in for a backend server.  It accepts fenced grants, runs a bounded
 * number of requests at once, is slow after its start, sheds load, drains, and
 * obeys deadlines and cancellation, as docs/PROTOCOLS.md specifies.  POST
 * /_fault injects faults.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/httpd.h"
#include "base/jsonfield.h"
#include "base/eventlog.h"
#include "base/timer.h"
#include "standin/lib/ownership.h"
#include <dogwoodhub/types.h>

#define CONNECTION_MEMORY (32u << 10)
#define IDLE_S 120u
#define BLOCK_BYTES (64u << 10)
/* Factor by which a cold backend server takes longer for a request. */
#define COLD_FACTOR 4

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
	uint32_t drop_after_read; /* number of requests to read, then close */
	uint32_t cut_body; /* number of responses to truncate */
	uint32_t silent; /* number of requests never to answer */
	bool shed; /* refuse all requests */
	bool lie_idle; /* load reports claim to be idle */
};

struct server {
	struct options opt;
	uv_loop_t loop;
	struct dh_httpd *httpd;
	uint64_t incarnation;
	int64_t start_ms;
	enum server_state state;
	struct fault fault;
	struct ownership *ownership;
	GQueue waiting; /* struct request */
	uint32_t running;
	uint64_t done, refused;
	int64_t busy_us;
	GHashTable *runs; /* idempotency key -> number of runs */
	struct dh_eventlog *log;
};

enum request_phase { PHASE_READING, PHASE_WAITING, PHASE_RUNNING, PHASE_ENDED };

struct request {
	struct server *server;
	struct MHD_Connection *conn;
	enum request_phase phase;
	uv_timer_t *timer;
	GString *body; /* body of an order or a fault, else empty */
	XXH64_state_t *hash; /* hash of a request's body */
	uint64_t body_bytes;
	char *path;
	char *key;
	char *id;
	char *request_id; /* id set by the router */
	char *call; /* JSON member for the event log, or "" */
	char *service;
	char *group;
	uint32_t slot;
	struct dh_fence fence;
	int64_t deadline_ms; /* 0: no deadline */
	int64_t begun_us;
	uint64_t answer_bytes;
	bool cut; /* the answer's body breaks off halfway */
	uint64_t sent; /* not used */
	unsigned int status;
	uint32_t run; /* number of this run among those of its id */
	bool unrepeatable;
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

static enum server_state
state_now(const struct server *s)
{
	if (s->state == STATE_COLD &&
	    dh_clock_ms() - s->start_ms >= s->opt.cold_ms)
		return STATE_READY;
	return s->state;
}

/* Orders */

static enum MHD_Result
order_handle(struct request *rq)
{
	struct server *s = rq->server;
	struct json_object *o = json_tokener_parse(rq->body->str);
	g_autofree char *text = NULL;
	struct order_result r;

	if (o == NULL)
		return dh_httpd_reply(rq->conn, 400, "bad order\n", 10, NULL);
	r = ownership_order(s->ownership, o);
	json_object_put(o);
	text = g_strdup_printf("{\"accepted\":%s,\"incarnation\":%" PRIu64
			       ",\"clock_ms\":%" PRId64 ",\"term\":%" PRIu64
			       ",\"counter\":%" PRIu64
			       ",\"state\":\"%s\",\"running\":%u,"
			       "\"queued\":%u,\"releasing\":%u}\n",
	    r.accepted ? "true" : "false", s->incarnation, dh_clock_ms(),
	    r.highest.term, r.highest.counter, state_names[state_now(s)],
	    s->fault.lie_idle ? 0 : s->running, s->waiting.length, r.releasing);
	return dh_httpd_reply(
	    rq->conn, r.accepted ? 200 : 409, text, strlen(text), NULL);
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
		.slow_ms = dh_json_int(o, "slow_ms"),
		.drop_after_read = (uint32_t)dh_json_int(o, "drop_after_read"),
		.cut_body = (uint32_t)dh_json_int(o, "cut_body"),
		.silent = (uint32_t)dh_json_int(o, "silent"),
		.shed = dh_json_int(o, "shed") != 0,
		.lie_idle = dh_json_int(o, "lie_idle") != 0,
	};
	if (dh_json_int(o, "drain") != 0)
		s->state = STATE_DRAINING;
	json_object_put(o);
	return dh_httpd_reply(rq->conn, 200, "ok\n", 3, NULL);
}

/* Requests */

/* Returns the reason why the request may not start now, or NULL. */
static const char *
refusal_reason(struct request *rq)
{
	struct server *s = rq->server;

	if (rq->deadline_ms != 0 && dh_clock_ms() >= rq->deadline_ms)
		return "deadline";
	if (s->fault.shed)
		return "shed";
	if (state_now(s) == STATE_DRAINING && rq->group == NULL)
		return "draining";
	if (!s->opt.check_owner || rq->group == NULL)
		return NULL;
	return ownership_check(s->ownership, rq->group, rq->slot, rq->fence);
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
	dh_eventlog_add(rq->server->log, "refuse",
	    ",\"id\":\"%s\"%s,\"reason\":\"%s\"", rq->id, rq->call, reason);
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
finish(struct request *rq, unsigned int status)
{
	struct server *s = rq->server;

	s->running--;
	s->done++;
	s->busy_us += dh_clock_us() - rq->begun_us;
	dh_eventlog_add(s->log, "finish", ",\"id\":\"%s\"%s,\"status\":%u",
	    rq->id, rq->call, status);
	if (rq->group != NULL)
		ownership_end(s->ownership, rq->group, rq->slot);
	rq->status = status;
	start_next(s);
}

static void
on_service(uv_timer_t *timer)
{
	struct request *rq = timer->data;

	finish(rq, 200);
	answer(rq);
}

static void
log_start(struct request *rq)
{
	struct server *s = rq->server;
	g_autofree char *owned = NULL;

	if (rq->group != NULL)
		owned = g_strdup_printf(",\"group\":\"%s\",\"slot\":%u,"
					"\"fence\":\"%" PRIu64 ".%" PRIu64
					"\",\"lease\":%" PRId64,
		    rq->group, rq->slot, rq->fence.term, rq->fence.counter,
		    ownership_until(s->ownership, rq->group));
	dh_eventlog_add(s->log, "start",
	    ",\"id\":\"%s\"%s,\"service\":\"%s\",\"key\":\"%s\","
	    "\"unrepeatable\":%s%s",
	    rq->id, rq->call, rq->service, rq->key,
	    rq->unrepeatable ? "true" : "false", owned == NULL ? "" : owned);
}

static void
run(struct request *rq)
{
	struct server *s = rq->server;
	int64_t ms = s->opt.service_ms + s->fault.slow_ms;

	if (state_now(s) == STATE_COLD)
		ms *= COLD_FACTOR;
	s->running++;
	if (rq->group != NULL)
		ownership_begin(s->ownership, rq->group, rq->slot);
	rq->phase = PHASE_RUNNING;
	rq->begun_us = dh_clock_us();
	rq->run = rq->unrepeatable ? count_run(rq, rq->id) : 1;
	log_start(rq);
	uv_timer_start(rq->timer, on_service, (uint64_t)ms, 0);
}

static void
start_next(struct server *s)
{
	struct request *rq;
	const char *why;

	while (s->running < s->opt.slots &&
	    (rq = g_queue_pop_head(&s->waiting)) != NULL) {
		why = refusal_reason(rq);
		if (why == NULL) {
			run(rq);
			continue;
		}
		refuse(rq, why);
		answer(rq);
	}
}

/* Refuses a queued request whose deadline has passed. */
static void
on_deadline(uv_timer_t *timer)
{
	struct request *rq = timer->data;

	g_queue_remove(&rq->server->waiting, rq);
	refuse(rq, "deadline");
	answer(rq);
}

/* Starts, queues or refuses a completely read request. */
static void
admit(struct request *rq)
{
	struct server *s = rq->server;
	const char *why = refusal_reason(rq);

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
	if (rq->deadline_ms != 0)
		uv_timer_start(rq->timer, on_deadline,
		    (uint64_t)MAX(rq->deadline_ms - dh_clock_ms(), 0), 0);
}

/*
 * Generates the response body, which repeats the request's id and a bar, so
 * that a client can verify the body with the id alone.
 */
static ssize_t
pattern_read(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct request *rq = arg;
	uint64_t left = rq->answer_bytes - pos;
	size_t n = left < max ? (size_t)left : max, i;
	size_t len = strlen(rq->id);

	if (left == 0)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (rq->cut && pos >= rq->answer_bytes / 2)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	for (i = 0; i < n; i++) {
		size_t at = (size_t)((pos + i) % (len + 1));

		buf[i] = at == len ? '|' : rq->id[at];
	}
	return (ssize_t)n;
}

static enum MHD_Result
reply_pattern(struct request *rq)
{
	struct MHD_Response *r = MHD_create_response_from_callback(
	    rq->answer_bytes, BLOCK_BYTES, pattern_read, rq, NULL);
	char run[16], bytes[24], hash[24];
	enum MHD_Result result;

	g_snprintf(run, sizeof(run), "%u", rq->run);
	g_snprintf(bytes, sizeof(bytes), "%" PRIu64, rq->body_bytes);
	g_snprintf(hash, sizeof(hash), "%016" PRIx64,
	    (uint64_t)XXH64_digest(rq->hash));
	MHD_add_response_header(r, "Dh-Request-Id", rq->request_id);
	MHD_add_response_header(r, "Test-Id", rq->id);
	MHD_add_response_header(r, "Test-Server", rq->server->opt.name);
	MHD_add_response_header(r, "Test-Run", run);
	MHD_add_response_header(r, "Test-Bytes", bytes);
	MHD_add_response_header(r, "Test-Hash", hash);
	result = MHD_queue_response(rq->conn, 200, r);
	MHD_destroy_response(r);
	return result;
}

static enum MHD_Result
reply_request(struct request *rq)
{
	struct server *s = rq->server;
	const char *headers[] = { "Dh-Request-Id", rq->request_id, NULL, NULL,
		NULL, NULL, NULL };

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
	if (s->fault.cut_body > 0) {
		s->fault.cut_body--;
		rq->cut = true;
	}
	return reply_pattern(rq);
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

static char *
service_of(const char *path)
{
	g_auto(GStrv) parts = g_strsplit(path, "/", 3);

	return g_strdup(g_strv_length(parts) > 1 ? parts[1] : "");
}

/* Sets the ids of the request; id is the client's, or else the router's. */
static void
set_ids(struct request *rq)
{
	const char *id = header(rq, "Idempotency-Key");
	const char *call = header(rq, "Test-Call");
	const char *request_id = header(rq, "Dh-Request-Id");

	rq->unrepeatable = id != NULL;
	rq->request_id = g_strdup(request_id != NULL ? request_id : "");
	if (id == NULL)
		id = header(rq, "Test-Id");
	rq->id = g_strdup(id != NULL ? id : rq->request_id);
	rq->call = call == NULL ? g_strdup("")
				: g_strdup_printf(",\"call\":\"%s\"", call);
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
	rq->hash = XXH64_createState();
	XXH64_reset(rq->hash, 0);
	rq->timer = dh_timer_new(&s->loop, rq);
	text = header(rq, "Dh-Key");
	rq->key = text != NULL ? g_strdup(text) : key_of(path);
	set_ids(rq);
	rq->service = service_of(path);
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
	rq->answer_bytes =
	    text != NULL ? strtoull(text, NULL, 10) : strlen(rq->id) + 1;
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
on_request_read(struct request *rq)
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
		return on_request_read(rq);
	case PHASE_ENDED:
		return reply_request(rq);
	case PHASE_WAITING:
	case PHASE_RUNNING:
		break;
	}
	return MHD_YES;
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
		finish(rq, 0);
	dh_timer_free(rq->timer);
	g_string_free(rq->body, TRUE);
	g_free(rq->call);
	g_free(rq->request_id);
	g_free(rq->service);
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
	s->log = dh_eventlog_open(s->opt.log, s->opt.name);
	s->ownership =
	    ownership_new(s->incarnation, s->opt.check_fence, s->log);
	dh_eventlog_add(s->log, "up",
	    ",\"incarnation\":%" PRIu64 ",\"checks\":%s", s->incarnation,
	    s->opt.check_fence ? "true" : "false");
	s->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&s->waiting);
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
