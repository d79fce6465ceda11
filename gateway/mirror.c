#include "gateway/mirror.h"

#include <string.h>

#include "base/clock.h"
#include "base/opslog.h"
#include "base/timer.h"

/* How long a watch may take beyond its wait: the round trip and a slow store.
 * Shorter on the leader, since other VMs depend on it: when it does not hear
 * from the store they ask the store themselves. */
#define WATCH_GRACE_MS 2000
#define WATCH_GRACE_LEADER_MS 500
#define LIST_TIMEOUT_MS 1500
/* Pause between an answer that had changes and the next watch.  Changes come in
 * bursts and each answer is billed, so one answer should bring several.  Small
 * against the time in which a change has to take effect. */
#define WATCH_PAUSE_MS 100
#define WATCH_PAUSE_STALE_MS 300
/* After its start a process makes stale reads, which cost a tenth and may be
 * some seconds old, until the leader sends the changes.  Shorter than the time
 * in which a starting VM has to be up to date with the store. */
#define START_STALE_MS 2500
/* The same after the leader fell silent: by then another VM leads, or the rest
 * of the time for a change to take effect suffices for a fresh read. */
#define NEW_LEADER_STALE_MS 500
/* The source of the first list may be starting as well and have no list yet: it
 * is asked this often before the store is. */
#define SOURCE_TIMEOUT_MS 400
#define SOURCE_PAUSE_MS 60
#define SOURCE_TRIES 5
/* Pause after a failed call; doubles with each failure. */
#define RETRY_PAUSE_MIN_MS 100
#define RETRY_PAUSE_MAX_MS 500
/* The pause between calls because of the list's age doubles this often while
 * the store does not answer. */
#define REFRESH_DOUBLINGS_MAX 2

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
	GHashTable *known; /* name -> struct known_object */
	GHashTable *listed_names; /* set: names in the list being read */
	char *list_after; /* last name of the page before; NULL: first page */
	uint64_t as_of; /* revision to watch from; 0: list first */
	uint64_t
	    last_change_as_of; /* as_of of the last answer that had a change */
	uint64_t list_as_of; /* revision of the list's first page */
	int64_t retry_pause_ms;
	int64_t wait_ms;
	/* Reads are stale until then, as a leader is expected to send what is
	 * new; 0: no leader is expected. */
	int64_t stale_reads_until_ms;
	int64_t call_began_ms; /* start of the open call */
	int64_t call_wait_ms; /* how long it waits for a change */
	bool call_fresh; /* the open call is a fresh read of the store */
	int64_t list_began_ms; /* start of the list being read; 0: stale */
	int64_t current_ms; /* see dh_mirror_current_ms() */
	int64_t max_age_ms; /* see dh_mirror_set_max_age(); 0: no limit */
	int64_t refreshed_ms; /* last call because of max_age_ms */
	/* Such calls since one was answered: the pause between them grows. */
	uint32_t refreshes;
	bool fed; /* the leader sends the changes */
	bool answered; /* the store has answered since it is asked again */
	bool poll_once; /* the next call asks without waiting for a change */
	bool call_waits; /* the open call waits for a change */
	bool listed;
	bool reached;
	int64_t reached_changed_ms; /* when reached last changed */
};

struct known_object {
	uint64_t revision;
	char *spec; /* as JSON text */
};

static void
known_object_free(gpointer p)
{
	struct known_object *k = p;

	g_free(k->spec);
	g_free(k);
}

static void start_call(struct dh_mirror *f);

/* Whether a leader is expected to send the latest changes soon. */
static bool
leader_expected(const struct dh_mirror *f)
{
	return dh_clock_ms() < f->stale_reads_until_ms;
}

static enum dh_freshness
current_freshness(const struct dh_mirror *f)
{
	return leader_expected(f) ? DH_STALE : f->freshness;
}

static int64_t
watch_pause_ms(const struct dh_mirror *f)
{
	return f->freshness == DH_STALE || leader_expected(f)
	    ? WATCH_PAUSE_STALE_MS
	    : WATCH_PAUSE_MS;
}

/* How long a watch waits for a change; a stale one no longer than a leader is
 * expected. */
static int64_t
watch_wait_ms(const struct dh_mirror *f)
{
	int64_t left_ms = f->stale_reads_until_ms - dh_clock_ms();
	int64_t wait_ms = f->wait_ms;

	if (f->max_age_ms != 0)
		wait_ms = MIN(wait_ms, f->max_age_ms / 2);
	return left_ms > 0 && left_ms < wait_ms ? left_ms : wait_ms;
}

/* Notes that all changes made before current_ms are known. */
static void
set_current(struct dh_mirror *f, int64_t current_ms)
{
	if (current_ms <= f->current_ms)
		return;
	f->current_ms = current_ms;
	f->refreshes = 0;
}

/* The store answered a watch.  An answer without changes was made when the wait
 * was over, any other one at an unknown time after the start of the call. */
static void
watch_answered(struct dh_mirror *f, size_t nitems)
{
	int64_t made_ms = f->call_began_ms;

	if (!f->call_fresh)
		return;
	if (nitems == 0 && f->call_waits)
		made_ms =
		    MIN(dh_clock_ms(), f->call_began_ms + f->call_wait_ms);
	set_current(f, made_ms);
}

static void
set_reached(struct dh_mirror *f, bool reached, const char *why)
{
	int64_t now_ms = dh_clock_ms();

	if (reached)
		f->retry_pause_ms = RETRY_PAUSE_MIN_MS;
	if (f->reached == reached && f->reached_changed_ms != 0)
		return;
	dh_opslog_add(DH_OPS_STATE, reached ? "store.reached" : "store.lost",
	    ",\"kind\":\"%s\",\"why\":\"%s\",\"after_ms\":%lld", f->kind, why,
	    f->reached_changed_ms == 0
		? 0LL
		: (long long)(now_ms - f->reached_changed_ms));
	f->reached = reached;
	f->reached_changed_ms = now_ms;
	f->h.reached(f->h.arg, reached);
}

/* The store answered a call for the list or for changes. */
static void
store_answered(struct dh_mirror *f, const char *why)
{
	f->answered = true;
	set_reached(f, true, why);
}

static void
on_timer(uv_timer_t *timer)
{
	start_call(timer->data);
}

static void
retry_later(struct dh_mirror *f, const char *why)
{
	f->poll_once = true;
	if (!f->fed || !f->listed)
		set_reached(f, false, why);
	uv_timer_start(f->timer, on_timer,
	    (uint64_t)(f->retry_pause_ms / 2 +
		g_random_int_range(0, (gint)f->retry_pause_ms / 2 + 1)),
	    0);
	f->retry_pause_ms = MIN(f->retry_pause_ms * 2, RETRY_PAUSE_MAX_MS);
}

static void
apply_object(struct dh_mirror *f, const struct dh_object_view *o)
{
	struct known_object *k;

	if (o->deleted) {
		if (g_hash_table_remove(f->known, o->name))
			f->h.gone(f->h.arg, o->name);
		return;
	}
	k = g_new0(struct known_object, 1);
	k->revision = o->revision;
	k->spec =
	    g_strdup(o->spec == NULL ? "null"
				     : json_object_to_json_string_ext(
					   o->spec, JSON_C_TO_STRING_PLAIN));
	g_hash_table_insert(f->known, g_strdup(o->name), k);
	f->h.changed(f->h.arg, o);
}

/* The store was restored from an older copy: list everything again. */
static void
on_store_restored(void *arg, uint64_t era)
{
	struct dh_mirror *f = arg;

	(void)era;
	dh_objects_cancel(f->call);
	f->call = NULL;
	f->source = NULL;
	g_clear_pointer(&f->list_after, g_free);
	g_hash_table_remove_all(f->listed_names);
	f->as_of = f->last_change_as_of = 0;
	f->stale_reads_until_ms = 0;
	start_call(f);
}

/* Whether an answer is of the era known so far.  An answer of a later era makes
 * dh_era_accept() call on_store_restored(); one of an earlier era is ignored,
 * and the call is made again after a pause. */
static bool
check_era(struct dh_mirror *f, const struct dh_objects_reply *r)
{
	if (dh_era_accept(f->era, r->era))
		return true;
	if (f->call == NULL)
		uv_timer_start(
		    f->timer, on_timer, (uint64_t)WATCH_PAUSE_STALE_MS, 0);
	return false;
}

static void
log_changes(
    const struct dh_mirror *f, const char *from, uint64_t as_of, size_t n)
{
	if (n > 0)
		dh_opslog_add(DH_OPS_MEMBER, "store.changes",
		    ",\"kind\":\"%s\",\"from\":\"%s\",\"objects\":%zu,"
		    "\"since\":%llu,\"as_of\":%llu",
		    f->kind, from, n, (unsigned long long)f->as_of,
		    (unsigned long long)as_of);
}

/* Removes known objects that are not in the list. */
static void
remove_unlisted(struct dh_mirror *f)
{
	g_autoptr(GPtrArray) missing = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	gpointer name;
	guint i;

	g_hash_table_iter_init(&it, f->known);
	while (g_hash_table_iter_next(&it, &name, NULL))
		if (!g_hash_table_contains(f->listed_names, name))
			g_ptr_array_add(missing, g_strdup(name));
	for (i = 0; i < missing->len; i++) {
		g_hash_table_remove(f->known, missing->pdata[i]);
		f->h.gone(f->h.arg, missing->pdata[i]);
	}
}

static void
finish_list(struct dh_mirror *f)
{
	g_clear_pointer(&f->list_after, g_free);
	remove_unlisted(f);
	g_hash_table_remove_all(f->listed_names);
	f->as_of = f->last_change_as_of = f->list_as_of;
	f->listed = true;
	set_current(f, f->list_began_ms);
	store_answered(f, "listed");
}

static void
on_list(void *arg, const struct dh_objects_reply *r)
{
	struct dh_mirror *f = arg;
	const char *last = NULL;
	size_t i;

	f->call = NULL;
	if (!check_era(f, r))
		return;
	if (f->source != NULL && r->result != DH_OBJECTS_OK) {
		if (++f->source_tries == SOURCE_TRIES)
			f->source = NULL;
		uv_timer_start(f->timer, on_timer,
		    f->source == NULL ? 0 : SOURCE_PAUSE_MS, 0);
		return;
	}
	f->source = NULL;
	if (f->list_after == NULL)
		f->list_began_ms = f->call_fresh ? f->call_began_ms : 0;
	if (r->result != DH_OBJECTS_OK && r->result != DH_OBJECTS_NOT_FOUND) {
		g_clear_pointer(&f->list_after, g_free);
		g_hash_table_remove_all(f->listed_names);
		retry_later(f, "list failed");
		return;
	}
	if (f->list_after == NULL)
		f->list_as_of = r->as_of;
	for (i = 0; i < r->nitems; i++) {
		last = r->items[i].name;
		g_hash_table_add(f->listed_names, g_strdup(last));
		apply_object(f, &r->items[i]);
	}
	if (r->more && last != NULL) {
		g_free(f->list_after);
		f->list_after = g_strdup(last);
	} else {
		finish_list(f);
	}
	start_call(f);
}

static void
on_watch(void *arg, const struct dh_objects_reply *r)
{
	struct dh_mirror *f = arg;
	size_t i;

	f->call = NULL;
	if (!check_era(f, r))
		return;
	switch (r->result) {
	case DH_OBJECTS_OK:
		f->poll_once = false;
		store_answered(f, "watch answered");
		log_changes(f, "store", r->as_of, r->nitems);
		for (i = 0; i < r->nitems; i++)
			apply_object(f, &r->items[i]);
		if (r->as_of > f->as_of)
			f->as_of = r->as_of;
		watch_answered(f, r->nitems);
		if (r->nitems == 0) {
			start_call(f);
			return;
		}
		if (f->h.batch != NULL)
			f->h.batch(f->h.arg, f->last_change_as_of, f->as_of,
			    r->items, r->nitems);
		f->last_change_as_of = f->as_of;
		uv_timer_start(
		    f->timer, on_timer, (uint64_t)watch_pause_ms(f), 0);
		return;
	case DH_OBJECTS_HISTORY_GONE:
		dh_opslog_add(DH_OPS_STATE, "store.history_gone",
		    ",\"kind\":\"%s\",\"since\":%llu", f->kind,
		    (unsigned long long)f->as_of);
		f->as_of = 0;
		/* A stale list could undo changes that are known already. */
		f->stale_reads_until_ms = 0;
		start_call(f);
		return;
	case DH_OBJECTS_UNKNOWN:
	case DH_OBJECTS_NOT_DONE:
	case DH_OBJECTS_NOT_FOUND:
	case DH_OBJECTS_CONFLICT:
	case DH_OBJECTS_REJECTED:
		/* If another VM sends the changes, the next check of the age or
		 * of the revision asks again. */
		if (f->fed)
			f->poll_once = false;
		else
			retry_later(f, "watch failed");
		return;
	}
}

static void
start_call(struct dh_mirror *f)
{
	bool ask = f->poll_once || !f->reached;
	int64_t wait_ms = watch_wait_ms(f);
	int64_t grace_ms = f->wait_ms < DH_MIRROR_WAIT_MS
	    ? WATCH_GRACE_LEADER_MS
	    : WATCH_GRACE_MS;

	if (f->call != NULL)
		return;
	f->call_waits = false;
	f->call_began_ms = dh_clock_ms();
	f->call_fresh = f->source == NULL && current_freshness(f) == DH_FRESH;
	if (f->source != NULL)
		f->call = dh_objects_list(f->source, f->kind, "", DH_FRESH,
		    SOURCE_TIMEOUT_MS, on_list, f);
	else if (f->as_of == 0 || f->list_after != NULL)
		f->call = dh_objects_list(f->objects, f->kind,
		    f->list_after == NULL ? "" : f->list_after,
		    current_freshness(f), LIST_TIMEOUT_MS, on_list, f);
	else if (f->poll_once || !f->fed) {
		/* The first watch after a failure does not wait, to show
		 * whether the store answers. */
		f->call_waits = !ask;
		f->call_wait_ms = wait_ms;
		f->call = dh_objects_watch(f->objects, f->kind, f->as_of,
		    ask ? 1 : wait_ms, current_freshness(f),
		    ask ? LIST_TIMEOUT_MS : wait_ms + grace_ms, on_watch, f);
	}
}

/* Asks the store without waiting for a change.  An open watch that waits is
 * cancelled, since its connection may be dead. */
static void
poll_now(struct dh_mirror *f)
{
	if (f->call != NULL && f->call_waits) {
		dh_objects_cancel(f->call);
		f->call = NULL;
	}
	f->poll_once = true;
	start_call(f);
}

void
dh_mirror_set_fed_by_leader(struct dh_mirror *f, bool fed)
{
	if (f->fed == fed) {
		if (fed && f->listed)
			set_reached(f, true, "told by another VM");
		return;
	}
	f->fed = fed;
	f->answered = false;
	dh_opslog_add(DH_OPS_STATE,
	    fed ? "store.fed_by_leader" : "store.asked_again",
	    ",\"kind\":\"%s\",\"as_of\":%llu", f->kind,
	    (unsigned long long)f->as_of);
	if (fed) {
		if (f->listed)
			set_reached(f, true, "told by the leader");
		return;
	}
	poll_now(f);
}

void
dh_mirror_note_outage(struct dh_mirror *f)
{
	if (f->fed && f->listed)
		set_reached(f, false, "nobody reads the store");
}

void
dh_mirror_leader_silent(struct dh_mirror *f)
{
	if (!f->fed)
		return;
	if (f->freshness == DH_FRESH)
		f->stale_reads_until_ms = dh_clock_ms() + NEW_LEADER_STALE_MS;
	dh_mirror_set_fed_by_leader(f, false);
}

/* Applies a change that the leader sent, unless a later one is known.  The
 * revision of a deleted object may be that of its last change before. */
static void
apply_from_leader(struct dh_mirror *f, const struct dh_object_view *o)
{
	const struct known_object *k = g_hash_table_lookup(f->known, o->name);

	if (o->deleted ? k != NULL && k->revision <= o->revision
		       : o->revision > f->as_of)
		apply_object(f, o);
}

bool
dh_mirror_apply(struct dh_mirror *f, uint64_t since, uint64_t as_of,
    const struct dh_object_view *items, size_t n)
{
	size_t i;

	if (!f->listed || f->as_of == 0 || since > f->as_of)
		return false;
	if (as_of <= f->as_of)
		return true;
	log_changes(f, "leader", as_of, n);
	for (i = 0; i < n; i++)
		apply_from_leader(f, &items[i]);
	f->as_of = f->last_change_as_of = as_of;
	return true;
}

void
dh_mirror_catch_up(struct dh_mirror *f)
{
	poll_now(f);
}

void
dh_mirror_set_wait(struct dh_mirror *f, int64_t wait_ms)
{
	bool shorter = wait_ms < f->wait_ms;

	f->wait_ms = wait_ms;
	/* This VM leads now: it reads fresh. */
	if (shorter)
		f->stale_reads_until_ms = 0;
	if (shorter && f->call != NULL && f->call_waits)
		poll_now(f);
}

void
dh_mirror_set_max_age(struct dh_mirror *f, int64_t max_age_ms)
{
	f->max_age_ms = max_age_ms;
}

void
dh_mirror_note_leader_age(struct dh_mirror *f, int64_t age_ms)
{
	if (f->listed)
		set_current(f, dh_clock_ms() - age_ms);
}

void
dh_mirror_check_age(struct dh_mirror *f)
{
	int64_t now_ms = dh_clock_ms();
	int64_t pause_ms = f->max_age_ms / 2
	    << MIN(f->refreshes, (uint32_t)REFRESH_DOUBLINGS_MAX);

	if (f->max_age_ms == 0 || f->current_ms == 0 ||
	    now_ms - f->current_ms <= f->max_age_ms ||
	    now_ms - f->refreshed_ms <= pause_ms)
		return;
	f->refreshes++;
	dh_opslog_add(DH_OPS_STATE, "store.too_old",
	    ",\"kind\":\"%s\",\"age_ms\":%lld,\"as_of\":%llu", f->kind,
	    (long long)(now_ms - f->current_ms), (unsigned long long)f->as_of);
	f->refreshed_ms = now_ms;
	f->stale_reads_until_ms = 0;
	poll_now(f);
}

int64_t
dh_mirror_current_ms(const struct dh_mirror *f)
{
	return f->current_ms;
}

uint64_t
dh_mirror_as_of(const struct dh_mirror *f)
{
	return f->as_of;
}

uint64_t
dh_mirror_last_change_as_of(const struct dh_mirror *f)
{
	return f->last_change_as_of;
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
	dh_era_subscribe(era, on_store_restored, f);
	f->kind = g_strdup(kind);
	f->freshness = freshness;
	f->h = *h;
	f->retry_pause_ms = RETRY_PAUSE_MIN_MS;
	f->wait_ms = DH_MIRROR_WAIT_MS;
	if (freshness == DH_FRESH)
		f->stale_reads_until_ms = dh_clock_ms() + START_STALE_MS;
	f->known = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, known_object_free);
	f->listed_names =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	start_call(f);
	return f;
}

void
dh_mirror_free(struct dh_mirror *f)
{
	if (f == NULL)
		return;
	dh_era_unsubscribe(f->era, f);
	dh_objects_cancel(f->call);
	dh_timer_free(f->timer);
	g_hash_table_destroy(f->known);
	g_hash_table_destroy(f->listed_names);
	g_free(f->list_after);
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
		const struct known_object *k = value;

		dh_objects_list_append(list, name, k->revision, k->spec);
	}
	dh_objects_list_finish(list, f->as_of);
	return list;
}

bool
dh_mirror_listed(const struct dh_mirror *f)
{
	return f->listed;
}

bool
dh_mirror_reads_store(const struct dh_mirror *f)
{
	return !f->fed && f->answered && f->reached;
}

int64_t
dh_mirror_reached_ms(const struct dh_mirror *f)
{
	return f->reached ? dh_clock_ms() - f->reached_changed_ms : 0;
}
