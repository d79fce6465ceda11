#include "gateway/mirror.h"

#include <string.h>

#include "base/clock.h"
#include "base/opslog.h"
#include "base/timer.h"

/* Beyond the wait: the way there and back, and a slow store.  Short where
 * others rely on this VM: they ask the store themselves then. */
#define WATCH_GRACE_MS 2000
#define WATCH_GRACE_SHORT_MS 500
#define LIST_TIMEOUT_MS 1500
/* From an answer to the next watch: changes come in flocks, and each answer
 * is paid.  Small against the time in which a change has to be in force. */
#define WATCH_PAUSE_MS 100
#define WATCH_PAUSE_STALE_MS 300
/* A process that has just started reads what may be some seconds old, at a
 * tenth of the price: until the leader tells it what is new.  Shorter than the
 * time in which a VM that starts has to be in step with the store. */
#define START_STALE_MS 2500
/* The same after the leader fell silent: another one leads by then, or the
 * store is read afresh with what is left of the time for a change. */
#define SUCCESSOR_MS 500
/* Another VM that starts as well may not have its list yet: asked again, so
 * often, before the store is. */
#define SOURCE_TIMEOUT_MS 400
#define SOURCE_PAUSE_MS 60
#define SOURCE_TRIES 5
/* Pauses after a failure, doubling. */
#define PAUSE_MIN_MS 100
#define PAUSE_MAX_MS 500

struct dh_mirror {
	uv_timer_t *timer;
	struct dh_objects *objects;
	struct dh_era *era;
	char *kind;
	enum dh_freshness freshness;
	struct dh_mirror_handler h;
	struct dh_objects_call *call;
	struct dh_objects *source; /* of the first list; NULL: the store */
	uint32_t source_tries;
	GHashTable *known; /* name -> struct known */
	GHashTable *seen; /* of the list under way */
	char *after; /* continues the list */
	uint64_t as_of; /* watch from here; 0: list first */
	uint64_t news_as_of; /* of the last answer that had a change */
	uint64_t list_as_of; /* of the list's first page */
	int64_t pause_ms;
	int64_t wait_ms;
	int64_t stale_until_ms; /* a leader is expected; 0: none is */
	bool fed; /* another VM tells what changes */
	bool ask; /* the store once, without waiting for a change */
	bool waiting; /* the call under way waits for a change */
	bool listed;
	bool reached;
	int64_t changed_ms; /* when reached last changed */
};

struct known {
	uint64_t revision;
	char *spec; /* as JSON text */
};

static void
known_free(gpointer p)
{
	struct known *k = p;

	g_free(k->spec);
	g_free(k);
}

static void step(struct dh_mirror *f);

/* Whether a leader is expected to tell soon what is new. */
static bool
expects_leader(const struct dh_mirror *f)
{
	return dh_clock_ms() < f->stale_until_ms;
}

static enum dh_freshness
freshness_now(const struct dh_mirror *f)
{
	return expects_leader(f) ? DH_STALE : f->freshness;
}

static int64_t
watch_pause_ms(const struct dh_mirror *f)
{
	return f->freshness == DH_STALE || expects_leader(f)
	    ? WATCH_PAUSE_STALE_MS
	    : WATCH_PAUSE_MS;
}

/* How long a watch may wait: one for old news no longer than a leader is
 * expected. */
static int64_t
watch_wait_ms(const struct dh_mirror *f)
{
	int64_t left_ms = f->stale_until_ms - dh_clock_ms();

	return left_ms > 0 && left_ms < f->wait_ms ? left_ms : f->wait_ms;
}

static void
set_reached(struct dh_mirror *f, bool reached, const char *why)
{
	int64_t now_ms = dh_clock_ms();

	if (reached)
		f->pause_ms = PAUSE_MIN_MS;
	if (f->reached == reached && f->changed_ms != 0)
		return;
	dh_ops(DH_OPS_STATE, reached ? "store.reached" : "store.lost",
	    ",\"kind\":\"%s\",\"why\":\"%s\",\"after_ms\":%lld", f->kind, why,
	    f->changed_ms == 0 ? 0LL : (long long)(now_ms - f->changed_ms));
	f->reached = reached;
	f->changed_ms = now_ms;
	f->h.reached(f->h.arg, reached);
}

static void
on_timer(uv_timer_t *timer)
{
	step(timer->data);
}

static void
fail(struct dh_mirror *f, const char *why)
{
	f->ask = true;
	if (!f->fed || !f->listed)
		set_reached(f, false, why);
	uv_timer_start(f->timer, on_timer,
	    (uint64_t)(f->pause_ms / 2 +
		g_random_int_range(0, (gint)f->pause_ms / 2 + 1)),
	    0);
	f->pause_ms = MIN(f->pause_ms * 2, PAUSE_MAX_MS);
}

static void
take(struct dh_mirror *f, const struct dh_object_view *o)
{
	struct known *k;

	if (o->deleted) {
		if (g_hash_table_remove(f->known, o->name))
			f->h.gone(f->h.arg, o->name);
		return;
	}
	k = g_new0(struct known, 1);
	k->revision = o->revision;
	k->spec =
	    g_strdup(o->spec == NULL ? "null"
				     : json_object_to_json_string_ext(
					   o->spec, JSON_C_TO_STRING_PLAIN));
	g_hash_table_insert(f->known, g_strdup(o->name), k);
	f->h.changed(f->h.arg, o);
}

/* Start anew: nothing that was known tells what the store has now. */
static void
on_went_back(void *arg, uint64_t era)
{
	struct dh_mirror *f = arg;

	(void)era;
	dh_objects_cancel(f->call);
	f->call = NULL;
	f->source = NULL;
	g_clear_pointer(&f->after, g_free);
	g_hash_table_remove_all(f->seen);
	f->as_of = f->news_as_of = 0;
	f->stale_until_ms = 0;
	step(f);
}

/* Whether an answer is of the era that was known.  One of a later era has made
 * all start anew; one of an earlier era is as good as none. */
static bool
is_current(struct dh_mirror *f, const struct dh_objects_reply *r)
{
	if (dh_era_current(f->era, r->era))
		return true;
	if (f->call == NULL)
		uv_timer_start(
		    f->timer, on_timer, (uint64_t)WATCH_PAUSE_STALE_MS, 0);
	return false;
}

/* What was known and is not in the list. */
static void
drop_missing(struct dh_mirror *f)
{
	g_autoptr(GPtrArray) missing = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	gpointer name;
	guint i;

	g_hash_table_iter_init(&it, f->known);
	while (g_hash_table_iter_next(&it, &name, NULL))
		if (!g_hash_table_contains(f->seen, name))
			g_ptr_array_add(missing, g_strdup(name));
	for (i = 0; i < missing->len; i++) {
		g_hash_table_remove(f->known, missing->pdata[i]);
		f->h.gone(f->h.arg, missing->pdata[i]);
	}
}

static void
list_ends(struct dh_mirror *f)
{
	g_clear_pointer(&f->after, g_free);
	drop_missing(f);
	g_hash_table_remove_all(f->seen);
	f->as_of = f->news_as_of = f->list_as_of;
	f->listed = true;
	set_reached(f, true, "listed");
}

static void
on_list(void *arg, const struct dh_objects_reply *r)
{
	struct dh_mirror *f = arg;
	const char *last = NULL;
	size_t i;

	f->call = NULL;
	if (!is_current(f, r))
		return;
	if (f->source != NULL && r->result != DH_OBJECTS_OK) {
		if (++f->source_tries == SOURCE_TRIES)
			f->source = NULL;
		uv_timer_start(f->timer, on_timer,
		    f->source == NULL ? 0 : SOURCE_PAUSE_MS, 0);
		return;
	}
	f->source = NULL;
	if (r->result != DH_OBJECTS_OK && r->result != DH_OBJECTS_NOT_FOUND) {
		g_clear_pointer(&f->after, g_free);
		g_hash_table_remove_all(f->seen);
		fail(f, "list failed");
		return;
	}
	if (f->after == NULL)
		f->list_as_of = r->as_of;
	for (i = 0; i < r->nitems; i++) {
		last = r->items[i].name;
		g_hash_table_add(f->seen, g_strdup(last));
		take(f, &r->items[i]);
	}
	if (r->more && last != NULL) {
		g_free(f->after);
		f->after = g_strdup(last);
	} else {
		list_ends(f);
	}
	step(f);
}

static void
on_watch(void *arg, const struct dh_objects_reply *r)
{
	struct dh_mirror *f = arg;
	size_t i;

	f->call = NULL;
	if (!is_current(f, r))
		return;
	switch (r->result) {
	case DH_OBJECTS_OK:
		f->ask = false;
		set_reached(f, true, "watch answered");
		for (i = 0; i < r->nitems; i++)
			take(f, &r->items[i]);
		if (r->as_of > f->as_of)
			f->as_of = r->as_of;
		if (r->nitems == 0) {
			step(f);
			return;
		}
		if (f->h.news != NULL)
			f->h.news(f->h.arg, f->news_as_of, f->as_of, r->items,
			    r->nitems);
		f->news_as_of = f->as_of;
		uv_timer_start(
		    f->timer, on_timer, (uint64_t)watch_pause_ms(f), 0);
		return;
	case DH_OBJECTS_HISTORY_GONE:
		dh_ops(DH_OPS_STATE, "store.history_gone",
		    ",\"kind\":\"%s\",\"since\":%llu", f->kind,
		    (unsigned long long)f->as_of);
		f->as_of = 0;
		/* An old list would bring back what has changed since. */
		f->stale_until_ms = 0;
		step(f);
		return;
	case DH_OBJECTS_UNKNOWN:
	case DH_OBJECTS_NOT_DONE:
	case DH_OBJECTS_NOT_FOUND:
	case DH_OBJECTS_CONFLICT:
	case DH_OBJECTS_REJECTED:
		fail(f, "watch failed");
		return;
	}
}

static void
step(struct dh_mirror *f)
{
	bool ask = f->ask || !f->reached;
	int64_t wait_ms = watch_wait_ms(f);
	int64_t grace_ms = f->wait_ms < DH_MIRROR_WAIT_MS ? WATCH_GRACE_SHORT_MS
							  : WATCH_GRACE_MS;

	if (f->call != NULL)
		return;
	f->waiting = false;
	if (f->source != NULL)
		f->call = dh_objects_list(f->source, f->kind, "", DH_FRESH,
		    SOURCE_TIMEOUT_MS, on_list, f);
	else if (f->as_of == 0 || f->after != NULL)
		f->call = dh_objects_list(f->objects, f->kind,
		    f->after == NULL ? "" : f->after, freshness_now(f),
		    LIST_TIMEOUT_MS, on_list, f);
	else if (f->ask || !f->fed) {
		/* The first one after a failure shows whether it answers. */
		f->waiting = !ask;
		f->call = dh_objects_watch(f->objects, f->kind, f->as_of,
		    ask ? 1 : wait_ms, freshness_now(f),
		    ask ? LIST_TIMEOUT_MS : wait_ms + grace_ms, on_watch, f);
	}
}

/* Not by a watch that waits already: its connection may be dead. */
static void
ask_now(struct dh_mirror *f)
{
	if (f->call != NULL && f->waiting) {
		dh_objects_cancel(f->call);
		f->call = NULL;
	}
	f->ask = true;
	step(f);
}

void
dh_mirror_set_fed(struct dh_mirror *f, bool fed)
{
	if (f->fed == fed)
		return;
	f->fed = fed;
	dh_ops(DH_OPS_STATE, fed ? "store.fed_by_leader" : "store.asked_again",
	    ",\"kind\":\"%s\",\"as_of\":%llu", f->kind,
	    (unsigned long long)f->as_of);
	if (fed) {
		if (f->listed)
			set_reached(f, true, "told by the leader");
		return;
	}
	ask_now(f);
}

void
dh_mirror_feeder_silent(struct dh_mirror *f)
{
	if (!f->fed)
		return;
	if (f->freshness == DH_FRESH)
		f->stale_until_ms = dh_clock_ms() + SUCCESSOR_MS;
	dh_mirror_set_fed(f, false);
}

/* One that another VM has told.  The revision of a deleted object may be that
 * of its last change. */
static void
take_told(struct dh_mirror *f, const struct dh_object_view *o)
{
	const struct known *k = g_hash_table_lookup(f->known, o->name);

	if (o->deleted ? k != NULL && k->revision <= o->revision
		       : o->revision > f->as_of)
		take(f, o);
}

bool
dh_mirror_take(struct dh_mirror *f, uint64_t since, uint64_t as_of,
    const struct dh_object_view *items, size_t n)
{
	size_t i;

	if (!f->listed || f->as_of == 0 || since > f->as_of)
		return false;
	if (as_of <= f->as_of)
		return true;
	for (i = 0; i < n; i++)
		take_told(f, &items[i]);
	f->as_of = f->news_as_of = as_of;
	return true;
}

void
dh_mirror_catch_up(struct dh_mirror *f)
{
	ask_now(f);
}

void
dh_mirror_set_wait(struct dh_mirror *f, int64_t wait_ms)
{
	bool shorter = wait_ms < f->wait_ms;

	f->wait_ms = wait_ms;
	/* Others rely on this VM now. */
	if (shorter)
		f->stale_until_ms = 0;
	if (shorter && f->call != NULL && f->waiting)
		ask_now(f);
}

uint64_t
dh_mirror_as_of(const struct dh_mirror *f)
{
	return f->as_of;
}

uint64_t
dh_mirror_news_as_of(const struct dh_mirror *f)
{
	return f->news_as_of;
}

bool
dh_mirror_reached(const struct dh_mirror *f)
{
	return f->reached;
}

struct dh_mirror *
dh_mirror_new(uv_loop_t *loop, struct dh_objects *o, struct dh_objects *source,
    struct dh_era *era, const char *kind, enum dh_freshness freshness,
    const struct dh_mirror_handler *h)
{
	struct dh_mirror *f = g_new0(struct dh_mirror, 1);

	f->timer = dh_timer_new(loop, f);
	f->objects = o;
	f->source = source;
	f->era = era;
	dh_era_follow(era, on_went_back, f);
	f->kind = g_strdup(kind);
	f->freshness = freshness;
	f->h = *h;
	f->pause_ms = PAUSE_MIN_MS;
	f->wait_ms = DH_MIRROR_WAIT_MS;
	if (freshness == DH_FRESH)
		f->stale_until_ms = dh_clock_ms() + START_STALE_MS;
	f->known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, known_free);
	f->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	step(f);
	return f;
}

void
dh_mirror_free(struct dh_mirror *f)
{
	if (f == NULL)
		return;
	dh_era_unfollow(f->era, f);
	dh_objects_cancel(f->call);
	dh_timer_free(f->timer);
	g_hash_table_destroy(f->known);
	g_hash_table_destroy(f->seen);
	g_free(f->after);
	g_free(f->kind);
	g_free(f);
}

GString *
dh_mirror_list(const struct dh_mirror *f)
{
	GString *list;
	GHashTableIter it;
	gpointer name, value;

	if (!f->listed)
		return NULL;
	list = g_string_new(NULL);
	g_hash_table_iter_init(&it, f->known);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct known *k = value;

		dh_objects_append(list, name, k->revision, k->spec);
	}
	dh_objects_finish(list, f->as_of);
	return list;
}

bool
dh_mirror_listed(const struct dh_mirror *f)
{
	return f->listed;
}

int64_t
dh_mirror_reached_ms(const struct dh_mirror *f)
{
	return f->reached ? dh_clock_ms() - f->changed_ms : 0;
}
