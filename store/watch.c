#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/timer.h"
#include "store/store_internal.h"

struct dh_store_watch {
	struct dh_store *store;
	char *prefix;
	dh_store_fn each;
	void *arg;
	uint64_t cursor;
	uint64_t next_cursor; /* cursor of the next poll, after the last page */
	char *after; /* last name of the previous page, or NULL */
	bool resync; /* list the objects instead of polling */
	bool values; /* list with values: an undelivered version exists */
	int64_t resync_due_ms;
	GHashTable *delivered; /* name -> highest version delivered */
	unsigned int failures;
	bool fresh_connection; /* send the next request on a new connection */
	bool in_callback; /* the watch's call-back is running */
	bool freed; /* free the watch when the call-back returns */
	struct dh_http_fetch *fetch;
	uv_timer_t *timer;
};

static void watch_send(struct dh_store_watch *w);

/*
 * A watch polls with the store's cursor.  If a device on the path has dropped
 * the connection's state, the poll gets no answer, times out, and is retried on
 * a new connection.  A poll answered by a stale replica reports no changes and
 * looks like one without changes, so names and versions are listed and
 * compared every resync_ms.
 */
void
store_watch_destroy(struct dh_store_watch *w)
{
	dh_http_fetch_cancel(w->fetch);
	dh_timer_free(w->timer);
	g_hash_table_unref(w->delivered);
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
	int64_t wait_ms = store_backoff_ms(w->store, w->failures++);

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

/* Delivers the new versions on the page.  Returns false if a call-back freed
 * the watch. */
static bool
watch_deliver(struct dh_store_watch *w, const struct store_page *page)
{
	const struct dh_object *o;
	bool freed;
	guint i;

	w->in_callback = true;
	for (i = 0; i < page->objects->len && !w->freed; i++) {
		o = g_ptr_array_index(page->objects, i);
		if (o->version <= store_version_lookup(w->delivered, o->name))
			continue;
		store_version_raise(w->delivered, o->name, o->version);
		store_version_raise(w->store->seen, o->name, o->version);
		w->each(w->arg, o, NULL);
	}
	w->in_callback = false;
	freed = w->freed;
	if (freed)
		store_watch_destroy(w);
	return !freed;
}

static bool
watch_has_undelivered(struct dh_store_watch *w, const struct store_page *page)
{
	const struct dh_object *o;
	guint i;

	for (i = 0; i < page->objects->len; i++) {
		o = g_ptr_array_index(page->objects, i);
		if (o->version > store_version_lookup(w->delivered, o->name))
			return true;
	}
	return false;
}

/* Prepares the request for the next page or, after the last, the next poll. */
static void
watch_advance(struct dh_store_watch *w, const struct store_page *page)
{
	if (w->after == NULL)
		w->next_cursor = page->cursor;
	g_clear_pointer(&w->after, g_free);
	if (page->more) {
		w->after = g_strdup(store_page_last(page)->name);
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
	struct store_page page = { 0 };
	bool alive = true;

	if (!store_page_parse(
		&page, reply, w->resync ? "objects" : "changes")) {
		watch_retry(w, 0);
		return;
	}
	w->failures = 0;
	if (w->resync && !w->values && watch_has_undelivered(w, &page)) {
		dh_counter_add(w->store->stale, 1);
		w->values = true;
		g_clear_pointer(&w->after, g_free);
		watch_send(w);
		g_ptr_array_unref(page.objects);
		return;
	}
	if (!w->resync || w->values)
		alive = watch_deliver(w, &page);
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
	w->fresh_connection = reply->result != CURLE_OK;
	if (reply->result == CURLE_OK && reply->status == 410) {
		watch_restart(w);
		watch_retry(w, 0);
		return;
	}
	if (reply->result == CURLE_OK && reply->status == 200) {
		store_note_answer(w->store);
		watch_answered(w, reply);
		return;
	}
	store_note_failure(w->store);
	watch_retry(w, store_reply_after_ms(reply));
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
		store_count_call("kind=\"list\"");
		url = store_list_url(st, w->prefix, w->after, w->values);
	} else {
		store_count_call("kind=\"watch\"");
		if (w->after == NULL)
			wait_ms = st->times.wait_ms;
		url = watch_url(w, wait_ms);
	}
	rq.url = url;
	rq.fresh_connection = w->fresh_connection;
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
	w->delivered =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->resync_due_ms = dh_clock_ms() + st->times.resync_ms;
	w->timer = dh_timer_new(dh_http_loop(st->http), w);
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
	if (!w->in_callback)
		store_watch_destroy(w);
}
