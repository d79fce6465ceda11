#include "gateway/mirror.h"

#include <string.h>

#include "base/clock.h"
#include "base/opslog.h"
#include "base/timer.h"

/* How long a watch waits at the store; each answer is a call that is paid. */
#define WATCH_WAIT_MS 20000
#define WATCH_TIMEOUT_MS (WATCH_WAIT_MS + 2000)
#define LIST_TIMEOUT_MS 1500
/* Pauses after a failure, doubling. */
#define PAUSE_MIN_MS 100
#define PAUSE_MAX_MS 500

struct dh_mirror {
	uv_timer_t *timer;
	struct dh_objects *objects;
	char *kind;
	enum dh_freshness freshness;
	struct dh_mirror_handler h;
	struct dh_objects_call *call;
	GHashTable *known; /* name -> NULL */
	GHashTable *seen; /* of the list under way */
	char *after; /* continues the list */
	uint64_t as_of; /* watch from here; 0: list first */
	uint64_t list_as_of; /* of the list's first page */
	int64_t pause_ms;
	bool listed;
	bool reached;
	int64_t changed_ms; /* when reached last changed */
};

static void step(struct dh_mirror *f);

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
	if (o->deleted) {
		if (g_hash_table_remove(f->known, o->name))
			f->h.gone(f->h.arg, o->name);
		return;
	}
	g_hash_table_add(f->known, g_strdup(o->name));
	f->h.changed(f->h.arg, o);
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
	f->as_of = f->list_as_of;
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
	switch (r->result) {
	case DH_OBJECTS_OK:
		set_reached(f, true, "watch answered");
		for (i = 0; i < r->nitems; i++)
			take(f, &r->items[i]);
		if (r->as_of > f->as_of)
			f->as_of = r->as_of;
		step(f);
		return;
	case DH_OBJECTS_HISTORY_GONE:
		dh_ops(DH_OPS_STATE, "store.history_gone",
		    ",\"kind\":\"%s\",\"since\":%llu", f->kind,
		    (unsigned long long)f->as_of);
		f->as_of = 0;
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
	if (f->call != NULL)
		return;
	if (f->as_of == 0 || f->after != NULL)
		f->call = dh_objects_list(f->objects, f->kind,
		    f->after == NULL ? "" : f->after, f->freshness,
		    LIST_TIMEOUT_MS, on_list, f);
	else
		/* The first one after a failure shows whether it answers. */
		f->call = dh_objects_watch(f->objects, f->kind, f->as_of,
		    f->reached ? WATCH_WAIT_MS : 1, f->freshness,
		    f->reached ? WATCH_TIMEOUT_MS : LIST_TIMEOUT_MS, on_watch,
		    f);
}

struct dh_mirror *
dh_mirror_new(uv_loop_t *loop, struct dh_objects *o, const char *kind,
    enum dh_freshness freshness, const struct dh_mirror_handler *h)
{
	struct dh_mirror *f = g_new0(struct dh_mirror, 1);

	f->timer = dh_timer_new(loop, f);
	f->objects = o;
	f->kind = g_strdup(kind);
	f->freshness = freshness;
	f->h = *h;
	f->pause_ms = PAUSE_MIN_MS;
	f->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	step(f);
	return f;
}

void
dh_mirror_free(struct dh_mirror *f)
{
	if (f == NULL)
		return;
	dh_objects_cancel(f->call);
	dh_timer_free(f->timer);
	g_hash_table_destroy(f->known);
	g_hash_table_destroy(f->seen);
	g_free(f->after);
	g_free(f->kind);
	g_free(f);
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
