#include "store/store_internal.h"

#include <string.h>

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

/* The delay doubles with each failure.  Half of it is random, so that clients
 * do not all retry at the same time after an outage. */
int64_t
store_backoff_ms(struct dh_store *st, unsigned int failures)
{
	unsigned int n = MIN(failures, BACKOFF_DOUBLINGS_MAX);
	int64_t most =
	    MIN(st->times.backoff_min_ms << n, st->times.backoff_max_ms);
	int64_t half = most / 2;

	return half + (int64_t)(g_rand_double(st->rand) * (double)half);
}

uint64_t
store_version_lookup(GHashTable *table, const char *name)
{
	uint64_t *version = g_hash_table_lookup(table, name);

	return version == NULL ? 0 : *version;
}

void
store_version_raise(GHashTable *table, const char *name, uint64_t version)
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

void
store_note_answer(struct dh_store *st)
{
	if (st->failures >= DOWN_AFTER_FAILURES)
		dh_log(DH_LOG_INFO, "store.up", "url=%s", st->url);
	st->failures = 0;
}

void
store_note_failure(struct dh_store *st)
{
	if (++st->failures == DOWN_AFTER_FAILURES)
		dh_log(DH_LOG_WARN, "store.down", "url=%s", st->url);
}

int64_t
store_reply_after_ms(const struct dh_http_reply *reply)
{
	const char *after =
	    g_hash_table_lookup(reply->headers, "retry-after-ms");

	return after == NULL ? 0 : g_ascii_strtoll(after, NULL, 10);
}

enum store_reply
store_reply_class(const struct dh_http_reply *reply)
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

char *
store_list_url(
    struct dh_store *st, const char *prefix, const char *after, bool values)
{
	g_autofree char *p = g_uri_escape_string(prefix, "/", FALSE);
	g_autofree char *a =
	    g_uri_escape_string(after == NULL ? "" : after, "/", FALSE);

	return g_strdup_printf("%s/v1/list?prefix=%s&after=%s&values=%d",
	    st->url, p, a, values ? 1 : 0);
}

void
store_count_call(const char *labels)
{
	dh_counter_add(dh_counter_get("dh_store_calls_total", labels), 1);
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
		store_call_free(p);
	g_hash_table_iter_init(&it, st->watches);
	while (g_hash_table_iter_next(&it, &p, NULL))
		store_watch_destroy(p);
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
