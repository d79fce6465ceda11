#include "standin/lib/store.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <json.h>
#include <microhttpd.h>

#include "base/clock.h"
#include "base/error.h"

#define VALUE_MAX (1u << 20)
#define VERSIONS_KEPT 64u
#define PAGE_BYTES (4u << 20)
#define WAIT_MAX_MS 60000
#define SILENT_POLL_MS 10
#define OBJECTS_PATH "/v1/objects/"

/*
 * The HTTP library runs a thread for each connection.  One lock guards all
 * state.  Watches and injected delays wait on one condition variable, which
 * each write and each change of faults signals.
 */
struct version {
	uint64_t number;
	char *writer;
	GBytes *value;
};

struct object {
	char *name;
	uint64_t sequence; /* number of this object's newest write; writes are
			    * numbered across the store */
	GPtrArray *versions; /* struct version, oldest first */
};

enum fault_kind {
	FAULT_SLOW,
	FAULT_DOWN,
	FAULT_LOSE_REPLY,
	FAULT_STALE_READ,
	FAULT_STALE_WATCH,
	FAULT_SILENT_WATCH,
	FAULT_RATE_LIMIT,
	FAULT_KINDS,
};

static const char *const fault_names[FAULT_KINDS] = {
	[FAULT_SLOW] = "slow",
	[FAULT_DOWN] = "down",
	[FAULT_LOSE_REPLY] = "lose-reply",
	[FAULT_STALE_READ] = "stale-read",
	[FAULT_STALE_WATCH] = "stale-watch",
	[FAULT_SILENT_WATCH] = "silent-watch",
	[FAULT_RATE_LIMIT] = "rate-limit",
};

enum fault_mode { MODE_REFUSE, MODE_CLOSE, MODE_SILENT, MODES };

static const char *const mode_names[MODES] = {
	[MODE_REFUSE] = "refuse",
	[MODE_CLOSE] = "close",
	[MODE_SILENT] = "silent",
};

struct fault {
	bool on;
	enum fault_mode mode;
	int64_t until_ms; /* end of the fault; 0: when cleared */
	int64_t calls_left; /* negative: unlimited */
	int64_t amount; /* slow: ms; rate-limit: calls a second */
	double tokens;
	int64_t filled_ms;
};

struct dh_standin_store {
	struct MHD_Daemon *daemon;
	int64_t latency_ms;
	FILE *log;
	pthread_mutex_t lock;
	pthread_cond_t changed; /* uses the monotonic clock */
	bool stopping;
	GTree *objects; /* name -> struct object */
	uint64_t sequence;
	struct fault faults[FAULT_KINDS];
	uint64_t calls[DH_STANDIN_CALLS];
};

/* One HTTP exchange; body accumulates the request body. */
struct exchange {
	struct MHD_Connection *conn;
	const char *method;
	const char *url;
	GByteArray *body;
};

enum answer { ANSWER_SENT, ANSWER_CLOSE };

static void
version_free(gpointer p)
{
	struct version *v = p;

	g_free(v->writer);
	g_bytes_unref(v->value);
	g_free(v);
}

static void
object_free(gpointer p)
{
	struct object *o = p;

	g_ptr_array_unref(o->versions);
	g_free(o->name);
	g_free(o);
}

static int
name_cmp(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return strcmp(a, b);
}

static struct version *
newest(const struct object *o)
{
	return g_ptr_array_index(o->versions, o->versions->len - 1);
}

/* Returns whether the fault applies to this call, and counts the call then. */
static bool
fault_applies(struct dh_standin_store *s, enum fault_kind kind)
{
	struct fault *f = &s->faults[kind];

	if (!f->on)
		return false;
	if (f->calls_left == 0 ||
	    (f->until_ms > 0 && dh_clock_ms() >= f->until_ms)) {
		f->on = false;
		return false;
	}
	if (f->calls_left > 0)
		f->calls_left--;
	return true;
}

/* Waits, with the lock held, for a change or for for_ms. */
static void
wait_changed(struct dh_standin_store *s, int64_t for_ms)
{
	struct timespec ts;
	int64_t end_ns;

	(void)clock_gettime(CLOCK_MONOTONIC, &ts);
	end_ns = ts.tv_nsec + MAX(for_ms, 0) * 1000000;
	ts.tv_sec += end_ns / 1000000000;
	ts.tv_nsec = end_ns % 1000000000;
	(void)pthread_cond_timedwait(&s->changed, &s->lock, &ts);
}

/* Waits, with the lock held, until end_ms or until the store stops. */
static void
wait_until(struct dh_standin_store *s, int64_t end_ms)
{
	int64_t left;

	while (!s->stopping && (left = end_ms - dh_clock_ms()) > 0)
		wait_changed(s, left);
}

static enum answer
close_unanswered(struct dh_standin_store *s)
{
	s->calls[DH_STANDIN_DROPPED]++;
	return ANSWER_CLOSE;
}

/* Holds the call until the fault ends or the store stops, then closes it. */
static enum answer
stay_silent(struct dh_standin_store *s, enum fault_kind kind)
{
	struct fault *f = &s->faults[kind];

	s->calls[DH_STANDIN_DROPPED]++;
	while (!s->stopping && f->on &&
	    (f->until_ms == 0 || dh_clock_ms() < f->until_ms))
		wait_changed(s, SILENT_POLL_MS);
	return ANSWER_CLOSE;
}

static void
reply_version(struct MHD_Response *rs, uint64_t number, const char *writer)
{
	g_autofree char *tag = NULL;

	if (number == 0)
		return;
	tag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", number);
	(void)MHD_add_response_header(rs, "ETag", tag);
	(void)MHD_add_response_header(rs, "X-Writer", writer);
}

static enum answer
reply(struct exchange *x, unsigned int status, const void *body, size_t len,
    const struct version *v)
{
	struct MHD_Response *rs = MHD_create_response_from_buffer(
	    len, (void *)body, MHD_RESPMEM_MUST_COPY);

	if (v != NULL)
		reply_version(rs, v->number, v->writer);
	(void)MHD_queue_response(x->conn, status, rs);
	MHD_destroy_response(rs);
	return ANSWER_SENT;
}

static enum answer
reply_text(struct exchange *x, unsigned int status, const char *text)
{
	return reply(x, status, text, strlen(text), NULL);
}

static enum answer
refuse(struct dh_standin_store *s, struct exchange *x, unsigned int status,
    int64_t after_ms)
{
	g_autofree char *after = g_strdup_printf("%" G_GINT64_FORMAT, after_ms);
	struct MHD_Response *rs = MHD_create_response_from_buffer(
	    0, (void *)"", MHD_RESPMEM_PERSISTENT);

	s->calls[DH_STANDIN_REFUSED]++;
	(void)MHD_add_response_header(rs, "Retry-After-Ms", after);
	(void)MHD_queue_response(x->conn, status, rs);
	MHD_destroy_response(rs);
	return ANSWER_SENT;
}

static const char *
query(struct exchange *x, const char *key)
{
	return MHD_lookup_connection_value(x->conn, MHD_GET_ARGUMENT_KIND, key);
}

static uint64_t
query_number(struct exchange *x, const char *key)
{
	const char *text = query(x, key);

	return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
}

static const char *
header(struct exchange *x, const char *key)
{
	return MHD_lookup_connection_value(x->conn, MHD_HEADER_KIND, key);
}

/*
 * Returns the newest version known to a replica that lags by behind versions,
 * or NULL if that replica knows none.
 */
static struct version *
visible_version(const struct object *o, int64_t behind)
{
	if (o == NULL || o->versions->len <= behind)
		return NULL;
	return g_ptr_array_index(
	    o->versions, o->versions->len - 1 - (guint)behind);
}

static int64_t
versions_behind(struct dh_standin_store *s)
{
	if (!fault_applies(s, FAULT_STALE_READ))
		return 0;
	return MAX(s->faults[FAULT_STALE_READ].amount, 1);
}

static enum answer
reply_value(struct exchange *x, const struct version *v)
{
	return reply(x, MHD_HTTP_OK, g_bytes_get_data(v->value, NULL),
	    g_bytes_get_size(v->value), v);
}

static enum answer
serve_get(struct dh_standin_store *s, struct exchange *x, const char *name)
{
	struct object *o = g_tree_lookup(s->objects, name);
	uint64_t number = query_number(x, "version");
	struct version *top, *v;
	guint i;

	s->calls[DH_STANDIN_GET]++;
	top = visible_version(o, versions_behind(s));
	if (top == NULL || number > top->number)
		return reply_text(x, MHD_HTTP_NOT_FOUND, "not found");
	if (number == 0)
		return reply_value(x, top);
	for (i = 0; i < o->versions->len; i++) {
		v = g_ptr_array_index(o->versions, i);
		if (v->number == number)
			return reply_value(x, v);
	}
	return reply_text(x, MHD_HTTP_GONE, "version not kept");
}

static void
store_write(struct dh_standin_store *s, struct object *o, const char *writer,
    const GByteArray *body)
{
	struct version *v = g_new0(struct version, 1);

	v->number = o->versions->len == 0 ? 1 : newest(o)->number + 1;
	v->writer = g_strdup(writer);
	v->value = g_bytes_new(body->data, body->len);
	g_ptr_array_add(o->versions, v);
	if (o->versions->len > VERSIONS_KEPT)
		g_ptr_array_remove_index(o->versions, 0);
	o->sequence = ++s->sequence;
	pthread_cond_broadcast(&s->changed);
	if (s->log == NULL)
		return;
	(void)fprintf(s->log,
	    "{\"wall_ms\": %" G_GINT64_FORMAT ", \"name\": \"%s\", "
	    "\"version\": %" G_GUINT64_FORMAT ", \"writer\": \"%s\"}\n",
	    dh_clock_wall_ms(), o->name, v->number, writer);
	(void)fflush(s->log);
}

/*
 * Stores the version that a PUT expects, 0 if the object must not exist.
 * Returns false if the PUT has no valid condition.
 */
static bool
put_condition(struct exchange *x, uint64_t *expect)
{
	const char *match = header(x, "If-Match");
	const char *none = header(x, "If-None-Match");

	*expect = 0;
	if (none != NULL)
		return match == NULL && strcmp(none, "*") == 0;
	if (match == NULL || *match != '"')
		return false;
	*expect = g_ascii_strtoull(match + 1, NULL, 10);
	return *expect > 0;
}

static enum answer
serve_put(struct dh_standin_store *s, struct exchange *x, const char *name)
{
	struct object *o = g_tree_lookup(s->objects, name);
	const char *writer = header(x, "X-Writer");
	uint64_t expect;

	s->calls[DH_STANDIN_PUT]++;
	if (!put_condition(x, &expect) || writer == NULL)
		return reply_text(x, MHD_HTTP_PRECONDITION_REQUIRED,
		    "If-Match or If-None-Match, and X-Writer");
	if (x->body->len > VALUE_MAX)
		return reply_text(x, MHD_HTTP_CONTENT_TOO_LARGE, "too large");
	if (expect != (o == NULL ? 0 : newest(o)->number))
		return reply(x, MHD_HTTP_PRECONDITION_FAILED, "", 0,
		    o == NULL ? NULL : newest(o));
	if (o == NULL) {
		o = g_new0(struct object, 1);
		o->name = g_strdup(name);
		o->versions = g_ptr_array_new_with_free_func(version_free);
		g_tree_insert(s->objects, o->name, o);
	}
	store_write(s, o, writer, x->body);
	if (fault_applies(s, FAULT_LOSE_REPLY))
		return s->faults[FAULT_LOSE_REPLY].mode == MODE_SILENT
		    ? stay_silent(s, FAULT_LOSE_REPLY)
		    : close_unanswered(s);
	return reply(
	    x, expect == 0 ? MHD_HTTP_CREATED : MHD_HTTP_OK, "", 0, newest(o));
}

/* Criteria of a list or a watch, and the entries found so far. */
struct search {
	const char *prefix;
	const char *after; /* lower bound of names, exclusive */
	uint64_t sequence; /* lower bound of sequences, exclusive */
	uint64_t highest; /* highest sequence found */
	bool values;
	int64_t behind; /* number of versions the replica lags */
	bool more;
	size_t bytes;
	struct json_object *found;
};

static void
search_add(struct search *se, const char *name, const struct version *v)
{
	struct json_object *entry = json_object_new_object();
	g_autofree char *text = NULL;
	gsize len;
	const void *value = g_bytes_get_data(v->value, &len);

	json_object_object_add(entry, "name", json_object_new_string(name));
	json_object_object_add(
	    entry, "version", json_object_new_uint64(v->number));
	json_object_object_add(
	    entry, "writer", json_object_new_string(v->writer));
	if (se->values) {
		text = g_base64_encode(value, len);
		json_object_object_add(
		    entry, "value", json_object_new_string(text));
		se->bytes += strlen(text);
	}
	se->bytes += 128;
	json_object_array_add(se->found, entry);
}

static gboolean
search_object(gpointer key, gpointer data, gpointer arg)
{
	struct search *se = arg;
	struct object *o = data;
	struct version *v = visible_version(o, se->behind);

	if (v == NULL || !g_str_has_prefix(key, se->prefix) ||
	    strcmp(key, se->after) <= 0 || o->sequence <= se->sequence)
		return FALSE;
	if (se->bytes >= PAGE_BYTES) {
		se->more = true;
		return TRUE;
	}
	search_add(se, key, v);
	return FALSE;
}

static enum answer
reply_search(
    struct exchange *x, struct search *se, const char *field, uint64_t cursor)
{
	struct json_object *root = json_object_new_object();
	const char *text;
	enum answer done;

	json_object_object_add(root, "cursor", json_object_new_uint64(cursor));
	json_object_object_add(root, "more", json_object_new_boolean(se->more));
	json_object_object_add(root, field, se->found);
	text = json_object_to_json_string(root);
	done = reply(x, MHD_HTTP_OK, text, strlen(text), NULL);
	json_object_put(root);
	return done;
}

static struct search
search_of(struct exchange *x)
{
	const char *prefix = query(x, "prefix");
	const char *after = query(x, "after");
	const char *values = query(x, "values");

	return (struct search){
		.prefix = prefix == NULL ? "" : prefix,
		.after = after == NULL ? "" : after,
		.values = values == NULL || strcmp(values, "0") != 0,
	};
}

static enum answer
serve_list(struct dh_standin_store *s, struct exchange *x)
{
	struct search se = search_of(x);

	s->calls[DH_STANDIN_LIST]++;
	se.behind = versions_behind(s);
	se.found = json_object_new_array();
	g_tree_foreach(s->objects, search_object, &se);
	return reply_search(x, &se, "objects", s->sequence);
}

/*
 * A watch returns the newest version of each object changed after the cursor.
 * The store keeps no change history, so a watcher that was disconnected for
 * long gets each object once.  A truncated page keeps the old cursor; the
 * client gets the rest with "after", and the last page has the cursor of the
 * first.
 */
static enum answer
serve_watch(struct dh_standin_store *s, struct exchange *x)
{
	struct search se = search_of(x);
	uint64_t cursor = query_number(x, "cursor"), now;
	int64_t wait_ms = (int64_t)query_number(x, "wait_ms");
	int64_t end_ms = dh_clock_ms() + MIN(wait_ms, WAIT_MAX_MS);
	bool stale;

	s->calls[DH_STANDIN_WATCH]++;
	if (cursor > s->sequence)
		return reply_text(x, MHD_HTTP_GONE, "unknown cursor");
	if (fault_applies(s, FAULT_SILENT_WATCH))
		return stay_silent(s, FAULT_SILENT_WATCH);
	stale = fault_applies(s, FAULT_STALE_WATCH);
	se.sequence = cursor;
	se.found = json_object_new_array();
	for (;;) {
		now = s->sequence;
		if (!stale)
			g_tree_foreach(s->objects, search_object, &se);
		if (json_object_array_length(se.found) > 0 || s->stopping ||
		    dh_clock_ms() >= end_ms)
			break;
		wait_changed(s, end_ms - dh_clock_ms());
	}
	return reply_search(x, &se, "changes", stale ? cursor : now);
}

static enum answer
serve_calls(struct dh_standin_store *s, struct exchange *x)
{
	g_autofree char *text = g_strdup_printf(
	    "{\"get\": %" G_GUINT64_FORMAT ", \"put\": %" G_GUINT64_FORMAT
	    ", \"list\": %" G_GUINT64_FORMAT ", \"watch\": %" G_GUINT64_FORMAT
	    ", \"refused\": %" G_GUINT64_FORMAT
	    ", \"dropped\": %" G_GUINT64_FORMAT "}\n",
	    s->calls[DH_STANDIN_GET], s->calls[DH_STANDIN_PUT],
	    s->calls[DH_STANDIN_LIST], s->calls[DH_STANDIN_WATCH],
	    s->calls[DH_STANDIN_REFUSED], s->calls[DH_STANDIN_DROPPED]);

	return reply_text(x, MHD_HTTP_OK, text);
}

static int
name_index(const char *const *names, int n, const char *name)
{
	int i;

	for (i = 0; i < n; i++)
		if (name != NULL && strcmp(names[i], name) == 0)
			return i;
	return -1;
}

static int64_t
json_number(struct json_object *root, const char *key, int64_t otherwise)
{
	struct json_object *v;

	if (!json_object_object_get_ex(root, key, &v))
		return otherwise;
	return json_object_get_int64(v);
}

static const char *
json_text(struct json_object *root, const char *key)
{
	struct json_object *v;

	if (!json_object_object_get_ex(root, key, &v))
		return NULL;
	return json_object_get_string(v);
}

static bool
fields_known(struct json_object *root)
{
	static const char *const known[] = { "kind", "mode", "for_ms", "calls",
		"amount" };

	json_object_object_foreach(root, name, value)
	{
		(void)value;
		if (name_index(known, G_N_ELEMENTS(known), name) < 0)
			return false;
	}
	return true;
}

static bool
fault_set(struct dh_standin_store *s, struct json_object *root)
{
	const char *kind_name = json_text(root, "kind");
	const char *mode_name = json_text(root, "mode");
	int kind = name_index(fault_names, FAULT_KINDS, kind_name);
	int mode = mode_name == NULL ? MODE_REFUSE
				     : name_index(mode_names, MODES, mode_name);
	int64_t for_ms = json_number(root, "for_ms", 0);
	struct fault *f;

	if (kind_name != NULL && strcmp(kind_name, "clear") == 0) {
		memset(s->faults, 0, sizeof(s->faults));
		return true;
	}
	if (kind < 0 || mode < 0)
		return false;
	f = &s->faults[kind];
	*f = (struct fault){ .on = true, .mode = mode };
	f->until_ms = for_ms > 0 ? dh_clock_ms() + for_ms : 0;
	f->calls_left = json_number(root, "calls", -1);
	f->amount = json_number(root, "amount", 0);
	f->tokens = (double)f->amount;
	f->filled_ms = dh_clock_ms();
	return true;
}

bool
dh_standin_store_fault(
    struct dh_standin_store *s, const char *json, GError **error)
{
	struct json_object *root = json_tokener_parse(json);
	bool ok = root != NULL && json_object_is_type(root, json_type_object);

	pthread_mutex_lock(&s->lock);
	ok = ok && fields_known(root) && fault_set(s, root);
	pthread_cond_broadcast(&s->changed);
	pthread_mutex_unlock(&s->lock);
	json_object_put(root);
	if (!ok)
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID,
		    "no such fault: %s", json);
	return ok;
}

/* Returns the time in ms until the next call is allowed, 0 for now. */
static int64_t
rate_delay_ms(struct fault *f)
{
	int64_t now_ms = dh_clock_ms();
	double per_ms = (double)f->amount / 1000;

	f->tokens += (double)(now_ms - f->filled_ms) * per_ms;
	f->tokens = MIN(f->tokens, (double)f->amount);
	f->filled_ms = now_ms;
	if (f->tokens >= 1) {
		f->tokens -= 1;
		return 0;
	}
	return f->amount == 0 ? 1000 : (int64_t)((1 - f->tokens) / per_ms) + 1;
}

static enum answer
answer_down(struct dh_standin_store *s, struct exchange *x)
{
	switch (s->faults[FAULT_DOWN].mode) {
	case MODE_REFUSE:
		return refuse(s, x, MHD_HTTP_SERVICE_UNAVAILABLE, 0);
	case MODE_SILENT:
		return stay_silent(s, FAULT_DOWN);
	default:
		return close_unanswered(s);
	}
}

/*
 * Applies the latency and the faults that precede the processing of a call.
 * Returns false if a fault has already determined the result, stored in *done.
 */
static bool
apply_faults(struct dh_standin_store *s, struct exchange *x, enum answer *done)
{
	int64_t wait_ms;

	if (s->latency_ms > 0)
		wait_until(s, dh_clock_ms() + s->latency_ms);
	if (fault_applies(s, FAULT_SLOW))
		wait_until(s, dh_clock_ms() + s->faults[FAULT_SLOW].amount);
	if (fault_applies(s, FAULT_DOWN)) {
		*done = answer_down(s, x);
		return false;
	}
	if (fault_applies(s, FAULT_RATE_LIMIT)) {
		wait_ms = rate_delay_ms(&s->faults[FAULT_RATE_LIMIT]);
		if (wait_ms > 0) {
			*done =
			    refuse(s, x, MHD_HTTP_TOO_MANY_REQUESTS, wait_ms);
			return false;
		}
	}
	return true;
}

static enum answer
serve_fault(struct dh_standin_store *s, struct exchange *x)
{
	g_autofree char *text =
	    g_strndup((const char *)x->body->data, x->body->len);
	bool ok;

	pthread_mutex_unlock(&s->lock);
	ok = dh_standin_store_fault(s, text, NULL);
	pthread_mutex_lock(&s->lock);
	return reply_text(x, ok ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST, "");
}

static enum answer
serve(struct dh_standin_store *s, struct exchange *x)
{
	bool get = strcmp(x->method, "GET") == 0;
	enum answer done;

	if (strcmp(x->url, "/_calls") == 0)
		return serve_calls(s, x);
	if (strcmp(x->url, "/_fault") == 0)
		return serve_fault(s, x);
	if (!apply_faults(s, x, &done))
		return done;
	if (get && strcmp(x->url, "/v1/list") == 0)
		return serve_list(s, x);
	if (get && strcmp(x->url, "/v1/watch") == 0)
		return serve_watch(s, x);
	if (!g_str_has_prefix(x->url, OBJECTS_PATH))
		return reply_text(x, MHD_HTTP_NOT_FOUND, "no such path");
	if (get)
		return serve_get(s, x, x->url + strlen(OBJECTS_PATH));
	if (strcmp(x->method, "PUT") == 0)
		return serve_put(s, x, x->url + strlen(OBJECTS_PATH));
	return reply_text(x, MHD_HTTP_METHOD_NOT_ALLOWED, "GET or PUT");
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *protocol, const char *upload,
    size_t *upload_len, void **state)
{
	struct dh_standin_store *s = arg;
	struct exchange *x = *state;
	enum answer done;

	(void)protocol;
	if (x == NULL) {
		x = g_new0(struct exchange, 1);
		x->body = g_byte_array_new();
		*state = x;
		return MHD_YES;
	}
	if (*upload_len > 0) {
		if (x->body->len <= VALUE_MAX)
			g_byte_array_append(x->body, (const guint8 *)upload,
			    (guint)*upload_len);
		*upload_len = 0;
		return MHD_YES;
	}
	x->conn = conn;
	x->url = url;
	x->method = method;
	pthread_mutex_lock(&s->lock);
	done = serve(s, x);
	pthread_mutex_unlock(&s->lock);
	return done == ANSWER_SENT ? MHD_YES : MHD_NO;
}

static void
on_completed(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode why)
{
	struct exchange *x = *state;

	(void)arg, (void)conn, (void)why;
	if (x == NULL)
		return;
	g_byte_array_unref(x->body);
	g_free(x);
	*state = NULL;
}

static void
store_free(struct dh_standin_store *s)
{
	g_tree_destroy(s->objects);
	pthread_mutex_destroy(&s->lock);
	pthread_cond_destroy(&s->changed);
	if (s->log != NULL)
		(void)fclose(s->log);
	g_free(s);
}

struct dh_standin_store *
dh_standin_store_start(
    uint16_t port, int64_t latency_ms, const char *log_path, GError **error)
{
	struct dh_standin_store *s = g_new0(struct dh_standin_store, 1);
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	pthread_condattr_t attr;

	s->latency_ms = latency_ms;
	s->objects = g_tree_new_full(name_cmp, NULL, NULL, object_free);
	pthread_mutex_init(&s->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&s->changed, &attr);
	pthread_condattr_destroy(&attr);
	if (log_path != NULL && (s->log = fopen(log_path, "ae")) == NULL) {
		g_set_error(error, DH_ERROR, DH_ERROR_IO, "%s: %s", log_path,
		    g_strerror(errno));
		store_free(s);
		return NULL;
	}
	s->daemon = MHD_start_daemon(
	    MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0,
	    NULL, NULL, on_request, s, MHD_OPTION_SOCK_ADDR,
	    (struct sockaddr *)&sin, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
	if (s->daemon == NULL) {
		g_set_error(
		    error, DH_ERROR, DH_ERROR_IO, "port %u can't be had", port);
		store_free(s);
		return NULL;
	}
	return s;
}

void
dh_standin_store_stop(struct dh_standin_store *s)
{
	if (s == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	s->stopping = true;
	pthread_cond_broadcast(&s->changed);
	pthread_mutex_unlock(&s->lock);
	MHD_stop_daemon(s->daemon);
	store_free(s);
}

uint16_t
dh_standin_store_port(const struct dh_standin_store *s)
{
	return MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

uint64_t
dh_standin_store_calls(struct dh_standin_store *s, enum dh_standin_call kind)
{
	uint64_t n;

	pthread_mutex_lock(&s->lock);
	n = s->calls[kind];
	pthread_mutex_unlock(&s->lock);
	return n;
}
