#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/timer.h"
#include "store/store_internal.h"

/*
 * Versions of an object count 1, 2, 3...: the store gives a write that
 * expects version E the number E + 1, and only one write ever gets it.  So
 * version E + 1 alone tells whether a write whose reply was lost took effect,
 * however many writes followed.  If the version has this call's writer id, the
 * write took effect; if it has another id, the write never will.  If the
 * version does not exist yet, the same write is sent again; its condition
 * keeps it from taking effect twice.  The HTTP library itself must not send it
 * again: a store that refuses the copy has not refused the write.
 */
enum call_kind { CALL_GET, CALL_PUT, CALL_LIST };

struct store_call {
	struct dh_store *store;
	enum call_kind kind;
	char *name; /* object name, or prefix of a list */
	dh_store_fn done;
	void *arg;
	int64_t deadline_ms;
	unsigned int attempts;
	bool fresh_connection; /* send the next attempt on a new connection */
	struct dh_http_fetch *fetch;
	uv_timer_t *timer;
	union {
		struct {
			uint64_t version;
		} get;
		struct {
			uint64_t expect;
			char *value;
			size_t len;
			char *writer_id; /* writer id, unique to this call */
			bool effect_unknown; /* a try may have had effect */
			bool reading_back; /* reading back version expect + 1 */
		} put;
		struct {
			char *after; /* last name of the previous page */
		} list;
	};
};

static void call_send(struct store_call *c);

static uint64_t
reply_version(const struct dh_http_reply *reply)
{
	const char *tag = g_hash_table_lookup(reply->headers, "etag");

	if (tag == NULL || *tag != '"')
		return 0;
	return g_ascii_strtoull(tag + 1, NULL, 10);
}

void
store_call_free(struct store_call *c)
{
	dh_http_fetch_cancel(c->fetch);
	dh_timer_free(c->timer);
	switch (c->kind) {
	case CALL_GET:
		break;
	case CALL_PUT:
		g_free(c->put.value);
		g_free(c->put.writer_id);
		break;
	case CALL_LIST:
		g_free(c->list.after);
		break;
	}
	g_free(c->name);
	g_free(c);
}

/* Runs the call-back of a call and frees the call. */
static void
call_end(
    struct store_call *c, const struct dh_object *object, const GError *error)
{
	g_hash_table_remove(c->store->calls, c);
	c->done(c->arg, object, error);
	store_call_free(c);
}

static void
call_fail(struct store_call *c, enum dh_error code, const char *why)
{
	g_autoptr(GError) error =
	    g_error_new(DH_ERROR, (gint)code, "store: %s: %s", c->name, why);

	call_end(c, NULL, error);
}

static void
call_timer(uv_timer_t *timer)
{
	call_send(timer->data);
}

static void
call_retry(struct store_call *c, int64_t after_ms, const char *why)
{
	int64_t wait_ms = store_backoff_ms(c->store, c->attempts++);

	wait_ms = MAX(wait_ms, after_ms);
	if (dh_clock_ms() + wait_ms >= c->deadline_ms) {
		call_fail(c,
		    c->kind == CALL_PUT && c->put.effect_unknown
			? DH_ERROR_TIMEOUT
			: DH_ERROR_UNAVAILABLE,
		    why);
		return;
	}
	dh_counter_add(c->store->retries, 1);
	uv_timer_start(c->timer, call_timer, (uint64_t)wait_ms, 0);
}

static struct store_call *
call_new(struct dh_store *st, enum call_kind kind, const char *name,
    dh_store_fn done, void *arg)
{
	struct store_call *c = g_new0(struct store_call, 1);

	c->store = st;
	c->kind = kind;
	c->name = g_strdup(name);
	c->done = done;
	c->arg = arg;
	c->deadline_ms = dh_clock_ms() + st->times.call_ms;
	c->timer = dh_timer_new(dh_http_loop(st->http), c);
	g_hash_table_add(st->calls, c);
	return c;
}

static void
get_answered(struct store_call *c, const struct dh_http_reply *reply)
{
	struct dh_store *st = c->store;
	struct dh_object o = { .name = c->name };
	uint64_t seen = store_version_lookup(st->seen, c->name);
	uint64_t wanted = c->get.version == 0 ? seen : c->get.version;

	if (reply->status == 200) {
		o.version = reply_version(reply);
		o.writer = g_hash_table_lookup(reply->headers, "x-writer");
		o.value = (char *)reply->body;
		o.len = reply->body_len;
	}
	if (reply->status != 410 && wanted <= seen && o.version < wanted) {
		dh_counter_add(st->stale, 1);
		call_retry(c, 0,
		    "the store returned an older version than seen before");
		return;
	}
	if (reply->status == 200 && o.version > 0 && o.writer != NULL) {
		store_version_raise(st->seen, c->name, o.version);
		call_end(c, &o, NULL);
		return;
	}
	if (reply->status == 200)
		call_fail(c, DH_ERROR_REFUSED,
		    "answer has no version or no writer id");
	else
		call_fail(c, DH_ERROR_NOT_FOUND,
		    reply->status == 410
			? "the store no longer keeps this version"
			: "not found");
}

static void
put_done(struct store_call *c, uint64_t version)
{
	struct dh_object o = { .name = c->name,
		.version = version,
		.writer = c->put.writer_id,
		.value = c->put.value,
		.len = c->put.len };

	if (c->put.effect_unknown)
		dh_counter_add(c->store->resolved, 1);
	store_version_raise(c->store->seen, c->name, version);
	call_end(c, &o, NULL);
}

/* Ends a put, given the writer id of the existing version expect + 1. */
static void
put_decided(struct store_call *c, const char *writer)
{
	if (g_strcmp0(writer, c->put.writer_id) == 0)
		put_done(c, c->put.expect + 1);
	else
		call_fail(
		    c, DH_ERROR_CONFLICT, "another writer wrote this version");
}

/* Whether a reply with status 200 or 201 tells of version expect + 1.  A late
 * copy of the reply to an earlier call mostly has another version or writer. */
static bool
put_is_answer(const struct store_call *c, const struct dh_http_reply *reply)
{
	const char *writer = g_hash_table_lookup(reply->headers, "x-writer");

	if (reply_version(reply) != c->put.expect + 1)
		return false;
	return c->put.reading_back || writer == NULL ||
	    strcmp(writer, c->put.writer_id) == 0;
}

/* Reads back what became of the write. */
static void
put_not_answered(struct store_call *c, const struct dh_http_reply *reply)
{
	dh_log(DH_LOG_WARN, "store.not_an_answer",
	    "name=%s version=%" G_GUINT64_FORMAT " expected=%" G_GUINT64_FORMAT,
	    c->name, reply_version(reply), c->put.expect + 1);
	c->put.effect_unknown = true;
	c->put.reading_back = true;
	c->fresh_connection = true;
	dh_http_set_out_of_step(c->store->http, reply->local_port);
	call_retry(c, 0, "the answer is to another call");
}

static void
put_read_back(struct store_call *c, const struct dh_http_reply *reply)
{
	switch (reply->status) {
	case 200:
		put_decided(c, g_hash_table_lookup(reply->headers, "x-writer"));
		return;
	case 404:
		c->put.reading_back = false;
		call_retry(c, 0, "the write did not reach the store");
		return;
	default:
		call_fail(c, DH_ERROR_TIMEOUT,
		    "the store no longer keeps the written version");
		return;
	}
}

static void
put_answered(struct store_call *c, const struct dh_http_reply *reply)
{
	uint64_t version = reply_version(reply);

	if ((reply->status == 200 || reply->status == 201) &&
	    !put_is_answer(c, reply)) {
		put_not_answered(c, reply);
		return;
	}
	if (c->put.reading_back) {
		put_read_back(c, reply);
		return;
	}
	if (reply->status == 200 || reply->status == 201) {
		put_done(c, version);
		return;
	}
	if (reply->status != 412) {
		call_fail(c, DH_ERROR_REFUSED, "not an answer to a write");
		return;
	}
	if (version == c->put.expect + 1) {
		put_decided(c, g_hash_table_lookup(reply->headers, "x-writer"));
		return;
	}
	if (version <= c->put.expect) {
		call_fail(c, DH_ERROR_CONFLICT,
		    "the object has not reached the expected version");
		return;
	}
	c->put.reading_back = true;
	call_send(c);
}

static void
list_answered(struct store_call *c, const struct dh_http_reply *reply)
{
	struct dh_store *st = c->store;
	const struct dh_object *o;
	struct store_page page = { 0 };
	guint i;

	if (!store_page_parse(&page, reply, "objects")) {
		call_retry(c, 0, "cannot parse the page of the list");
		return;
	}
	if (store_page_stale(st, &page)) {
		dh_counter_add(st->stale, 1);
		g_ptr_array_unref(page.objects);
		call_retry(c, 0,
		    "the store returned an older version than seen before");
		return;
	}
	for (i = 0; i < page.objects->len; i++) {
		o = g_ptr_array_index(page.objects, i);
		store_version_raise(st->seen, o->name, o->version);
		c->done(c->arg, o, NULL);
	}
	if (page.more) {
		g_free(c->list.after);
		c->list.after = g_strdup(store_page_last(&page)->name);
		c->deadline_ms = dh_clock_ms() + st->times.call_ms;
		c->attempts = 0;
		call_send(c);
	} else {
		call_end(c, NULL, NULL);
	}
	g_ptr_array_unref(page.objects);
}

static void
call_replied(void *arg, const struct dh_http_reply *reply)
{
	struct store_call *c = arg;
	enum store_reply class = store_reply_class(reply);

	c->fetch = NULL;
	c->fresh_connection = reply->result != CURLE_OK;
	if (class == REPLY_ANSWER || class == REPLY_REFUSED)
		store_note_answer(c->store);
	else
		store_note_failure(c->store);
	switch (class) {
	case REPLY_ANSWER:
		break;
	case REPLY_REFUSED:
		call_fail(c, DH_ERROR_REFUSED, reply->body);
		return;
	case REPLY_UNKNOWN:
		if (c->kind == CALL_PUT) {
			c->put.effect_unknown = true;
			c->put.reading_back = true;
		}
		/* FALLTHROUGH */
	case REPLY_NO_EFFECT:
		call_retry(c, store_reply_after_ms(reply),
		    reply->result == CURLE_OK
			? "the store is unavailable"
			: curl_easy_strerror(reply->result));
		return;
	}
	switch (c->kind) {
	case CALL_GET:
		get_answered(c, reply);
		return;
	case CALL_PUT:
		put_answered(c, reply);
		return;
	case CALL_LIST:
		list_answered(c, reply);
		return;
	}
}

static char *
object_url(struct dh_store *st, const char *name, uint64_t version)
{
	g_autofree char *path = g_uri_escape_string(name, "/", FALSE);

	if (version == 0)
		return g_strdup_printf("%s/v1/objects/%s", st->url, path);
	return g_strdup_printf("%s/v1/objects/%s?version=%" G_GUINT64_FORMAT,
	    st->url, path, version);
}

static void
put_send(struct store_call *c, struct dh_http_request *rq)
{
	g_autofree char *url = object_url(c->store, c->name, 0);
	g_autofree char *match = c->put.expect == 0
	    ? g_strdup("If-None-Match: *")
	    : g_strdup_printf(
		  "If-Match: \"%" G_GUINT64_FORMAT "\"", c->put.expect);
	g_autofree char *writer =
	    g_strconcat("X-Writer: ", c->put.writer_id, NULL);
	const char *headers[] = { match, writer,
		"Content-Type: application/octet-stream", NULL };

	rq->method = "PUT";
	rq->url = url;
	rq->headers = headers;
	rq->body = c->put.value;
	rq->body_len = c->put.len;
	rq->send_once = true;
	c->fetch = dh_http_fetch(c->store->http, rq, call_replied, c);
}

/* Timeout of the next attempt.  A page of a list is up to 4 MB, so an attempt
 * to read one may take half of the timeout of the whole call. */
static int64_t
attempt_ms(const struct store_call *c)
{
	const struct dh_store_times *t = &c->store->times;
	int64_t most = t->attempt_ms;

	if (c->kind == CALL_LIST)
		most = MAX(most, t->call_ms / 2);
	return CLAMP(c->deadline_ms - dh_clock_ms(), 1, most);
}

static void
call_send(struct store_call *c)
{
	struct dh_store *st = c->store;
	struct dh_http_request rq = { .method = "GET" };
	g_autofree char *url = NULL;

	rq.fresh_connection = c->fresh_connection;
	rq.timeout_ms = attempt_ms(c);
	switch (c->kind) {
	case CALL_GET:
		url = object_url(st, c->name, c->get.version);
		break;
	case CALL_PUT:
		if (!c->put.reading_back) {
			put_send(c, &rq);
			return;
		}
		url = object_url(st, c->name, c->put.expect + 1);
		break;
	case CALL_LIST:
		url = store_list_url(st, c->name, c->list.after, true);
		break;
	}
	rq.url = url;
	c->fetch = dh_http_fetch(st->http, &rq, call_replied, c);
}

void
dh_store_get(struct dh_store *st, const char *name, uint64_t version,
    dh_store_fn done, void *arg)
{
	struct store_call *c = call_new(st, CALL_GET, name, done, arg);

	store_count_call("kind=\"get\"");
	c->get.version = version;
	call_send(c);
}

void
dh_store_put(struct dh_store *st, const char *name, uint64_t expect,
    const char *value, size_t len, dh_store_fn done, void *arg)
{
	struct store_call *c = call_new(st, CALL_PUT, name, done, arg);

	store_count_call("kind=\"put\"");
	c->put.expect = expect;
	c->put.value = g_malloc(len + 1);
	memcpy(c->put.value, value, len);
	c->put.value[len] = '\0';
	c->put.len = len;
	c->put.writer_id =
	    g_strdup_printf("%s/%" G_GUINT64_FORMAT, st->writer, ++st->serial);
	call_send(c);
}

void
dh_store_list(
    struct dh_store *st, const char *prefix, dh_store_fn each, void *arg)
{
	struct store_call *c = call_new(st, CALL_LIST, prefix, each, arg);

	store_count_call("kind=\"list\"");
	call_send(c);
}
