#include "store/store.h"

#include <string.h>

#include <json.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"

#define DOWN_AFTER_FAILURES 3u
#define BACKOFF_DOUBLINGS_MAX 16u

static const struct dh_store_times default_times = {
	.attempt_ms = 1000,
	.call_ms = 5000,
	.backoff_min_ms = 20,
	.backoff_max_ms = 2000,
	.wait_ms = 10000,
	.resync_ms = 30000,
};

/*
 * Versions of an object count 1, 2, 3...: the store gives a write that
 * expects version E the number E + 1, and only one write ever gets it.  So
 * whether a write whose reply was lost took effect is a question about
 * version E + 1 alone, however many writes followed: it exists with our
 * writer id (it did), exists with another (it never will), or doesn't exist
 * yet (send the same write again; the condition keeps it from running twice,
 * also when the HTTP library itself sends it again on a new connection).
 */
enum call_kind { CALL_GET, CALL_PUT, CALL_LIST };

struct call {
	struct dh_store *store;
	enum call_kind kind;
	char *name; /* or the prefix */
	dh_store_fn done;
	void *arg;
	int64_t deadline_ms;
	unsigned int attempts;
	bool fresh; /* on a new connection */
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
			char *id; /* writer id of this very call */
			bool unknown; /* an attempt may have had effect */
			bool reading; /* back, to find out */
		} put;
		struct {
			char *after;
		} list;
	};
};

struct dh_store_watch {
	struct dh_store *store;
	char *prefix;
	dh_store_fn each;
	void *arg;
	uint64_t cursor;
	uint64_t next_cursor; /* once all pages are read */
	char *after; /* last name of the page before, or NULL */
	bool resync; /* reading a list instead */
	bool values; /* the list has a newer version: read it whole */
	int64_t resync_due_ms;
	GHashTable *told; /* name -> version */
	unsigned int failures;
	bool fresh;
	bool telling, freed;
	struct dh_http_fetch *fetch;
	uv_timer_t *timer;
};

struct dh_store {
	struct dh_http *http;
	char *url;
	char *writer;
	struct dh_store_times times;
	uint64_t serial; /* of puts */
	unsigned int failures; /* in a row */
	GRand *rand;
	GHashTable *seen; /* name -> highest version seen */
	GHashTable *calls; /* struct call, a set */
	GHashTable *watches; /* struct dh_store_watch, a set */
	struct dh_counter *retries, *resolved, *stale;
};

static void call_send(struct call *c);
static void watch_send(struct dh_store_watch *w);

void
dh_object_free(struct dh_object *o)
{
	if (o == NULL)
		return;
	g_free(o->name);
	g_free(o->writer);
	g_free(o->value);
	g_free(o);
}

struct dh_object *
dh_object_copy(const struct dh_object *o)
{
	struct dh_object *copy;

	if (o == NULL)
		return NULL;
	copy = g_new0(struct dh_object, 1);
	copy->name = g_strdup(o->name);
	copy->version = o->version;
	copy->writer = g_strdup(o->writer);
	copy->len = o->len;
	if (o->value != NULL) {
		copy->value = g_malloc(o->len + 1);
		memcpy(copy->value, o->value, o->len);
		copy->value[o->len] = '\0';
	}
	return copy;
}

static void
timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static uv_timer_t *
timer_new(struct dh_store *st, void *data)
{
	uv_timer_t *timer = g_new0(uv_timer_t, 1);

	uv_timer_init(dh_http_loop(st->http), timer);
	timer->data = data;
	return timer;
}

static void
timer_free(uv_timer_t *timer)
{
	uv_timer_stop(timer);
	uv_close((uv_handle_t *)timer, timer_closed);
}

/* Doubling, half of it random, so that clients spread out after an outage. */
static int64_t
backoff_ms(struct dh_store *st, unsigned int failures)
{
	unsigned int n = MIN(failures, BACKOFF_DOUBLINGS_MAX);
	int64_t most =
	    MIN(st->times.backoff_min_ms << n, st->times.backoff_max_ms);
	int64_t half = most / 2;

	return half + (int64_t)(g_rand_double(st->rand) * (double)half);
}

static uint64_t
version_lookup(GHashTable *table, const char *name)
{
	uint64_t *version = g_hash_table_lookup(table, name);

	return version == NULL ? 0 : *version;
}

static void
version_raise(GHashTable *table, const char *name, uint64_t version)
{
	uint64_t *known = g_hash_table_lookup(table, name);

	if (known != NULL) {
		*known = MAX(*known, version);
		return;
	}
	known = g_new(uint64_t, 1);
	*known = version;
	g_hash_table_insert(table, g_strdup(name), known);
}

static void
note_answer(struct dh_store *st)
{
	if (st->failures >= DOWN_AFTER_FAILURES)
		dh_log(DH_LOG_INFO, "store.up", "url=%s", st->url);
	st->failures = 0;
}

static void
note_failure(struct dh_store *st)
{
	if (++st->failures == DOWN_AFTER_FAILURES)
		dh_log(DH_LOG_WARN, "store.down", "url=%s", st->url);
}

static uint64_t
reply_version(const struct dh_http_reply *reply)
{
	const char *tag = g_hash_table_lookup(reply->headers, "etag");

	if (tag == NULL || *tag != '"')
		return 0;
	return g_ascii_strtoull(tag + 1, NULL, 10);
}

static int64_t
reply_after_ms(const struct dh_http_reply *reply)
{
	const char *after =
	    g_hash_table_lookup(reply->headers, "retry-after-ms");

	return after == NULL ? 0 : g_ascii_strtoll(after, NULL, 10);
}

/* What an HTTP exchange says, whatever the call. */
enum reply_class {
	REPLY_ANSWER, /* the store's own word on the call */
	REPLY_NO_EFFECT, /* try again: it had none */
	REPLY_UNKNOWN, /* try again: it may have had an effect */
	REPLY_REFUSED, /* trying again is of no use */
};

static enum reply_class
reply_class(const struct dh_http_reply *reply)
{
	if (reply->result != CURLE_OK)
		return reply->sent ? REPLY_UNKNOWN : REPLY_NO_EFFECT;
	switch (reply->status) {
	case 200:
	case 201:
	case 404:
	case 410:
	case 412:
		return REPLY_ANSWER;
	case 429:
	case 503:
		return REPLY_NO_EFFECT;
	default:
		return reply->status < 500 ? REPLY_REFUSED : REPLY_UNKNOWN;
	}
}

static void
call_free(struct call *c)
{
	dh_http_fetch_cancel(c->fetch);
	timer_free(c->timer);
	switch (c->kind) {
	case CALL_GET:
		break;
	case CALL_PUT:
		g_free(c->put.value);
		g_free(c->put.id);
		break;
	case CALL_LIST:
		g_free(c->list.after);
		break;
	}
	g_free(c->name);
	g_free(c);
}

/* The last act of a call: c is gone afterwards. */
static void
call_end(struct call *c, const struct dh_object *object, const GError *error)
{
	g_hash_table_remove(c->store->calls, c);
	c->done(c->arg, object, error);
	call_free(c);
}

static void
call_fail(struct call *c, enum dh_error code, const char *why)
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
call_retry(struct call *c, int64_t after_ms, const char *why)
{
	int64_t wait_ms = backoff_ms(c->store, c->attempts++);

	wait_ms = MAX(wait_ms, after_ms);
	if (dh_clock_ms() + wait_ms >= c->deadline_ms) {
		call_fail(c,
		    c->kind == CALL_PUT && c->put.unknown
			? DH_ERROR_TIMEOUT
			: DH_ERROR_UNAVAILABLE,
		    why);
		return;
	}
	dh_counter_add(c->store->retries, 1);
	uv_timer_start(c->timer, call_timer, (uint64_t)wait_ms, 0);
}

static struct call *
call_new(struct dh_store *st, enum call_kind kind, const char *name,
    dh_store_fn done, void *arg)
{
	struct call *c = g_new0(struct call, 1);

	c->store = st;
	c->kind = kind;
	c->name = g_strdup(name);
	c->done = done;
	c->arg = arg;
	c->deadline_ms = dh_clock_ms() + st->times.call_ms;
	c->timer = timer_new(st, c);
	g_hash_table_add(st->calls, c);
	return c;
}

static void
get_answered(struct call *c, const struct dh_http_reply *reply)
{
	struct dh_store *st = c->store;
	struct dh_object o = { .name = c->name };
	uint64_t seen = version_lookup(st->seen, c->name);
	uint64_t wanted = c->get.version == 0 ? seen : c->get.version;

	if (reply->status == 200) {
		o.version = reply_version(reply);
		o.writer = g_hash_table_lookup(reply->headers, "x-writer");
		o.value = (char *)reply->body;
		o.len = reply->body_len;
	}
	if (reply->status != 410 && wanted <= seen && o.version < wanted) {
		dh_counter_add(st->stale, 1);
		call_retry(c, 0, "reads are older than a version seen");
		return;
	}
	if (reply->status == 200 && o.version > 0 && o.writer != NULL) {
		version_raise(st->seen, c->name, o.version);
		call_end(c, &o, NULL);
		return;
	}
	if (reply->status == 200)
		call_fail(c, DH_ERROR_REFUSED, "answer without a version");
	else
		call_fail(c, DH_ERROR_NOT_FOUND,
		    reply->status == 410 ? "version not kept" : "not found");
}

static void
put_done(struct call *c, uint64_t version)
{
	struct dh_object o = { .name = c->name,
		.version = version,
		.writer = c->put.id,
		.value = c->put.value,
		.len = c->put.len };

	if (c->put.unknown)
		dh_counter_add(c->store->resolved, 1);
	version_raise(c->store->seen, c->name, version);
	call_end(c, &o, NULL);
}

/* Version expect + 1 exists, by this writer. */
static void
put_decided(struct call *c, const char *writer)
{
	if (g_strcmp0(writer, c->put.id) == 0)
		put_done(c, c->put.expect + 1);
	else
		call_fail(c, DH_ERROR_CONFLICT, "another version is there");
}

static void
put_read_back(struct call *c, const struct dh_http_reply *reply)
{
	switch (reply->status) {
	case 200:
		put_decided(c, g_hash_table_lookup(reply->headers, "x-writer"));
		return;
	case 404:
		c->put.reading = false;
		call_retry(c, 0, "the write did not get through");
		return;
	default:
		call_fail(c, DH_ERROR_TIMEOUT, "its version is not kept");
		return;
	}
}

static void
put_answered(struct call *c, const struct dh_http_reply *reply)
{
	uint64_t version = reply_version(reply);

	if (c->put.reading) {
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
		call_fail(c, DH_ERROR_CONFLICT, "it has no such version yet");
		return;
	}
	c->put.reading = true;
	call_send(c);
}

static struct json_object *
json_field(struct json_object *entry, const char *key, enum json_type type)
{
	struct json_object *v;

	if (!json_object_object_get_ex(entry, key, &v) ||
	    !json_object_is_type(v, type))
		return NULL;
	return v;
}

static struct dh_object *
object_parse(struct json_object *entry)
{
	struct json_object *name = json_field(entry, "name", json_type_string);
	struct json_object *version =
	    json_field(entry, "version", json_type_int);
	struct json_object *writer =
	    json_field(entry, "writer", json_type_string);
	struct json_object *value =
	    json_field(entry, "value", json_type_string);
	struct dh_object *o;
	gsize len = 0;

	if (name == NULL || version == NULL || writer == NULL)
		return NULL;
	o = g_new0(struct dh_object, 1);
	o->name = g_strdup(json_object_get_string(name));
	o->version = json_object_get_uint64(version);
	o->writer = g_strdup(json_object_get_string(writer));
	if (value == NULL)
		return o;
	o->value = (char *)g_base64_decode(json_object_get_string(value), &len);
	o->value = g_realloc(o->value, len + 1);
	o->value[len] = '\0';
	o->len = len;
	return o;
}

static void
object_destroy(gpointer o)
{
	dh_object_free(o);
}

/* A page of a list or a watch. */
struct page {
	GPtrArray *objects; /* struct dh_object */
	uint64_t cursor;
	bool more;
};

static bool
page_parse(
    struct page *page, const struct dh_http_reply *reply, const char *field)
{
	struct json_object *root = json_tokener_parse(reply->body);
	struct json_object *list, *cursor;
	struct dh_object *o;
	size_t i;

	page->objects = g_ptr_array_new_with_free_func(object_destroy);
	list = json_field(root, field, json_type_array);
	cursor = json_field(root, "cursor", json_type_int);
	if (list == NULL || cursor == NULL)
		goto bad;
	page->cursor = json_object_get_uint64(cursor);
	page->more = json_object_get_boolean(
	    json_field(root, "more", json_type_boolean));
	for (i = 0; i < json_object_array_length(list); i++) {
		o = object_parse(json_object_array_get_idx(list, i));
		if (o == NULL)
			goto bad;
		g_ptr_array_add(page->objects, o);
	}
	page->more = page->more && page->objects->len > 0;
	json_object_put(root);
	return true;
bad:
	json_object_put(root);
	g_ptr_array_unref(page->objects);
	page->objects = NULL;
	return false;
}

static const struct dh_object *
page_last(const struct page *page)
{
	return g_ptr_array_index(page->objects, page->objects->len - 1);
}

static bool
page_stale(struct dh_store *st, const struct page *page)
{
	const struct dh_object *o;
	guint i;

	for (i = 0; i < page->objects->len; i++) {
		o = g_ptr_array_index(page->objects, i);
		if (o->version < version_lookup(st->seen, o->name))
			return true;
	}
	return false;
}

static void
list_answered(struct call *c, const struct dh_http_reply *reply)
{
	struct dh_store *st = c->store;
	const struct dh_object *o;
	struct page page = { 0 };
	guint i;

	if (!page_parse(&page, reply, "objects")) {
		call_retry(c, 0, "a page that can't be read");
		return;
	}
	if (page_stale(st, &page)) {
		dh_counter_add(st->stale, 1);
		g_ptr_array_unref(page.objects);
		call_retry(c, 0, "reads are older than a version seen");
		return;
	}
	for (i = 0; i < page.objects->len; i++) {
		o = g_ptr_array_index(page.objects, i);
		version_raise(st->seen, o->name, o->version);
		c->done(c->arg, o, NULL);
	}
	if (page.more) {
		g_free(c->list.after);
		c->list.after = g_strdup(page_last(&page)->name);
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
	struct call *c = arg;
	enum reply_class class = reply_class(reply);

	c->fetch = NULL;
	c->fresh = reply->result != CURLE_OK;
	if (class == REPLY_ANSWER || class == REPLY_REFUSED)
		note_answer(c->store);
	else
		note_failure(c->store);
	switch (class) {
	case REPLY_ANSWER:
		break;
	case REPLY_REFUSED:
		call_fail(c, DH_ERROR_REFUSED, reply->body);
		return;
	case REPLY_UNKNOWN:
		if (c->kind == CALL_PUT) {
			c->put.unknown = true;
			c->put.reading = true;
		}
		/* FALLTHROUGH */
	case REPLY_NO_EFFECT:
		call_retry(c, reply_after_ms(reply),
		    reply->result == CURLE_OK
			? "the store is down"
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

static char *
list_url(
    struct dh_store *st, const char *prefix, const char *after, bool values)
{
	g_autofree char *p = g_uri_escape_string(prefix, "/", FALSE);
	g_autofree char *a =
	    g_uri_escape_string(after == NULL ? "" : after, "/", FALSE);

	return g_strdup_printf("%s/v1/list?prefix=%s&after=%s&values=%d",
	    st->url, p, a, values ? 1 : 0);
}

static void
put_send(struct call *c, struct dh_http_request *rq)
{
	g_autofree char *url = object_url(c->store, c->name, 0);
	g_autofree char *match = c->put.expect == 0
	    ? g_strdup("If-None-Match: *")
	    : g_strdup_printf(
		  "If-Match: \"%" G_GUINT64_FORMAT "\"", c->put.expect);
	g_autofree char *writer = g_strconcat("X-Writer: ", c->put.id, NULL);
	const char *headers[] = { match, writer,
		"Content-Type: application/octet-stream", NULL };

	rq->method = "PUT";
	rq->url = url;
	rq->headers = headers;
	rq->body = c->put.value;
	rq->body_len = c->put.len;
	c->fetch = dh_http_fetch(c->store->http, rq, call_replied, c);
}

/* A page of a list is up to 4 MB: it gets half of the time for all tries. */
static int64_t
attempt_ms(const struct call *c)
{
	const struct dh_store_times *t = &c->store->times;
	int64_t most = t->attempt_ms;

	if (c->kind == CALL_LIST)
		most = MAX(most, t->call_ms / 2);
	return CLAMP(c->deadline_ms - dh_clock_ms(), 1, most);
}

static void
call_send(struct call *c)
{
	struct dh_store *st = c->store;
	struct dh_http_request rq = { .method = "GET" };
	g_autofree char *url = NULL;

	rq.fresh_connection = c->fresh;
	rq.timeout_ms = attempt_ms(c);
	switch (c->kind) {
	case CALL_GET:
		url = object_url(st, c->name, c->get.version);
		break;
	case CALL_PUT:
		if (!c->put.reading) {
			put_send(c, &rq);
			return;
		}
		url = object_url(st, c->name, c->put.expect + 1);
		break;
	case CALL_LIST:
		url = list_url(st, c->name, c->list.after, true);
		break;
	}
	rq.url = url;
	c->fetch = dh_http_fetch(st->http, &rq, call_replied, c);
}

static void
count_call(const char *labels)
{
	dh_counter_add(dh_counter_get("dh_store_calls_total", labels), 1);
}

void
dh_store_get(struct dh_store *st, const char *name, uint64_t version,
    dh_store_fn done, void *arg)
{
	struct call *c = call_new(st, CALL_GET, name, done, arg);

	count_call("kind=\"get\"");
	c->get.version = version;
	call_send(c);
}

void
dh_store_put(struct dh_store *st, const char *name, uint64_t expect,
    const char *value, size_t len, dh_store_fn done, void *arg)
{
	struct call *c = call_new(st, CALL_PUT, name, done, arg);

	count_call("kind=\"put\"");
	c->put.expect = expect;
	c->put.value = g_malloc(len + 1);
	memcpy(c->put.value, value, len);
	c->put.value[len] = '\0';
	c->put.len = len;
	c->put.id =
	    g_strdup_printf("%s/%" G_GUINT64_FORMAT, st->writer, ++st->serial);
	call_send(c);
}

void
dh_store_list(
    struct dh_store *st, const char *prefix, dh_store_fn each, void *arg)
{
	struct call *c = call_new(st, CALL_LIST, prefix, each, arg);

	count_call("kind=\"list\"");
	call_send(c);
}

/*
 * A watch polls with the store's cursor.  A connection that something in
 * between has forgotten shows as silence: the poll times out and a new
 * connection is made.  A watch that answers but tells of nothing (it hangs
 * off a stale replica) can't be told from a quiet one, so every resync_ms
 * names and versions are listed and compared.
 */
static void
watch_destroy(struct dh_store_watch *w)
{
	dh_http_fetch_cancel(w->fetch);
	timer_free(w->timer);
	g_hash_table_unref(w->told);
	g_free(w->prefix);
	g_free(w->after);
	g_free(w);
}

static void
watch_timer(uv_timer_t *timer)
{
	watch_send(timer->data);
}

static void
watch_retry(struct dh_store_watch *w, int64_t after_ms)
{
	int64_t wait_ms = backoff_ms(w->store, w->failures++);

	wait_ms = MAX(wait_ms, after_ms);
	uv_timer_start(w->timer, watch_timer, (uint64_t)wait_ms, 0);
}

static void
watch_restart(struct dh_store_watch *w)
{
	g_clear_pointer(&w->after, g_free);
	w->cursor = 0;
	w->resync = false;
	w->values = false;
}

/* Tell what is new on the page.  False when the watch was freed by it. */
static bool
watch_tell(struct dh_store_watch *w, const struct page *page)
{
	const struct dh_object *o;
	bool freed;
	guint i;

	w->telling = true;
	for (i = 0; i < page->objects->len && !w->freed; i++) {
		o = g_ptr_array_index(page->objects, i);
		if (o->version <= version_lookup(w->told, o->name))
			continue;
		version_raise(w->told, o->name, o->version);
		version_raise(w->store->seen, o->name, o->version);
		w->each(w->arg, o, NULL);
	}
	w->telling = false;
	freed = w->freed;
	if (freed)
		watch_destroy(w);
	return !freed;
}

static bool
watch_behind(struct dh_store_watch *w, const struct page *page)
{
	const struct dh_object *o;
	guint i;

	for (i = 0; i < page->objects->len; i++) {
		o = g_ptr_array_index(page->objects, i);
		if (o->version > version_lookup(w->told, o->name))
			return true;
	}
	return false;
}

/* The page is dealt with: on to the next page, or the next poll. */
static void
watch_advance(struct dh_store_watch *w, const struct page *page)
{
	if (w->after == NULL)
		w->next_cursor = page->cursor;
	g_clear_pointer(&w->after, g_free);
	if (page->more) {
		w->after = g_strdup(page_last(page)->name);
		return;
	}
	if (w->resync) {
		w->resync = false;
		w->values = false;
		w->resync_due_ms = dh_clock_ms() + w->store->times.resync_ms;
		return;
	}
	w->cursor = w->next_cursor;
	w->resync = dh_clock_ms() >= w->resync_due_ms;
}

static void
watch_answered(struct dh_store_watch *w, const struct dh_http_reply *reply)
{
	struct page page = { 0 };
	bool alive = true;

	if (!page_parse(&page, reply, w->resync ? "objects" : "changes")) {
		watch_retry(w, 0);
		return;
	}
	w->failures = 0;
	if (w->resync && !w->values && watch_behind(w, &page)) {
		dh_counter_add(w->store->stale, 1);
		w->values = true;
		g_clear_pointer(&w->after, g_free);
		watch_send(w);
		g_ptr_array_unref(page.objects);
		return;
	}
	if (!w->resync || w->values)
		alive = watch_tell(w, &page);
	if (alive) {
		watch_advance(w, &page);
		watch_send(w);
	}
	g_ptr_array_unref(page.objects);
}

static void
watch_replied(void *arg, const struct dh_http_reply *reply)
{
	struct dh_store_watch *w = arg;

	w->fetch = NULL;
	w->fresh = reply->result != CURLE_OK;
	if (reply->result == CURLE_OK && reply->status == 410) {
		watch_restart(w);
		watch_retry(w, 0);
		return;
	}
	if (reply->result == CURLE_OK && reply->status == 200) {
		note_answer(w->store);
		watch_answered(w, reply);
		return;
	}
	note_failure(w->store);
	watch_retry(w, reply_after_ms(reply));
}

static char *
watch_url(struct dh_store_watch *w, int64_t wait_ms)
{
	g_autofree char *p = g_uri_escape_string(w->prefix, "/", FALSE);
	g_autofree char *a =
	    g_uri_escape_string(w->after == NULL ? "" : w->after, "/", FALSE);

	return g_strdup_printf("%s/v1/watch?prefix=%s&after=%s"
			       "&cursor=%" G_GUINT64_FORMAT
			       "&wait_ms=%" G_GINT64_FORMAT,
	    w->store->url, p, a, w->cursor, wait_ms);
}

static void
watch_send(struct dh_store_watch *w)
{
	struct dh_store *st = w->store;
	struct dh_http_request rq = { .method = "GET" };
	g_autofree char *url = NULL;
	int64_t wait_ms = 0;

	if (w->resync) {
		count_call("kind=\"list\"");
		url = list_url(st, w->prefix, w->after, w->values);
	} else {
		count_call("kind=\"watch\"");
		if (w->after == NULL)
			wait_ms = st->times.wait_ms;
		url = watch_url(w, wait_ms);
	}
	rq.url = url;
	rq.fresh_connection = w->fresh;
	rq.timeout_ms = wait_ms + st->times.attempt_ms;
	w->fetch = dh_http_fetch(st->http, &rq, watch_replied, w);
}

struct dh_store_watch *
dh_store_watch(
    struct dh_store *st, const char *prefix, dh_store_fn each, void *arg)
{
	struct dh_store_watch *w = g_new0(struct dh_store_watch, 1);

	w->store = st;
	w->prefix = g_strdup(prefix);
	w->each = each;
	w->arg = arg;
	w->told =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->resync_due_ms = dh_clock_ms() + st->times.resync_ms;
	w->timer = timer_new(st, w);
	g_hash_table_add(st->watches, w);
	watch_send(w);
	return w;
}

void
dh_store_watch_free(struct dh_store_watch *w)
{
	if (w == NULL)
		return;
	g_hash_table_remove(w->store->watches, w);
	w->freed = true;
	if (!w->telling)
		watch_destroy(w);
}

struct dh_store *
dh_store_new(struct dh_http *http, const char *url, const char *writer)
{
	struct dh_store *st = g_new0(struct dh_store, 1);

	st->http = http;
	st->url = g_strdup(url);
	st->writer = g_strdup(writer);
	st->times = default_times;
	st->rand = g_rand_new_with_seed(g_str_hash(writer));
	st->seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	st->calls = g_hash_table_new(NULL, NULL);
	st->watches = g_hash_table_new(NULL, NULL);
	st->retries = dh_counter_get("dh_store_retries_total", "");
	st->resolved = dh_counter_get("dh_store_resolved_total", "");
	st->stale = dh_counter_get("dh_store_stale_total", "");
	return st;
}

void
dh_store_free(struct dh_store *st)
{
	GHashTableIter it;
	gpointer p;

	if (st == NULL)
		return;
	g_hash_table_iter_init(&it, st->calls);
	while (g_hash_table_iter_next(&it, &p, NULL))
		call_free(p);
	g_hash_table_iter_init(&it, st->watches);
	while (g_hash_table_iter_next(&it, &p, NULL))
		watch_destroy(p);
	g_hash_table_unref(st->calls);
	g_hash_table_unref(st->watches);
	g_hash_table_unref(st->seen);
	g_rand_free(st->rand);
	g_free(st->url);
	g_free(st->writer);
	g_free(st);
}

struct dh_http *
dh_store_http(const struct dh_store *st)
{
	return st->http;
}

void
dh_store_set_times(struct dh_store *st, const struct dh_store_times *t)
{
	st->times = *t;
}

struct dh_store_times
dh_store_times(const struct dh_store *st)
{
	return st->times;
}
