#include "check/history_internal.h"

/* The last lease of a slot that a backend server logged. */
struct hold {
	const char *backend; /* interned */
	struct slot *slot;
	struct dh_fence fence;
	int64_t until_us;
	bool held; /* not released, expired or lost by a restart */
	/* The highest fence whose lease has not ended, and that end: of a
	 * backend server that does not check fences it may be above fence. */
	struct dh_fence highest;
	int64_t highest_until_us;
	struct dh_where at;
};

struct slot {
	char *name; /* GROUP#SLOT */
	const char *group; /* interned */
	GPtrArray *holds; /* owns; one for each backend server */
	struct dh_fence highest; /* highest fence granted */
	const char *highest_backend;
	/* The newest acknowledged assignment. */
	struct dh_fence acked;
	int64_t acked_us;
	bool acked_pair;
	const char *holders[2]; /* interned VM names, if acked_pair */
	struct dh_where acked_at;
};

struct dh_ownership {
	GHashTable *slots; /* name -> slot, owned */
	GHashTable *backends; /* interned name -> GPtrArray of holds */
	GHashTable *unchecked; /* set of interned names */
};

static void
slot_free(void *arg)
{
	struct slot *s = arg;

	g_ptr_array_unref(s->holds);
	g_free(s->name);
	g_free(s);
}

struct dh_ownership *
dh_ownership_new(void)
{
	struct dh_ownership *o = g_new0(struct dh_ownership, 1);

	o->slots =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, slot_free);
	o->backends = g_hash_table_new_full(
	    NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
	o->unchecked = g_hash_table_new(NULL, NULL);
	return o;
}

void
dh_ownership_free(struct dh_ownership *o)
{
	g_hash_table_unref(o->unchecked);
	g_hash_table_unref(o->backends);
	g_hash_table_unref(o->slots);
	g_free(o);
}

static struct slot *
slot_get(struct dh_ownership *o, const char *group, uint32_t index)
{
	g_autofree char *name = g_strdup_printf("%s#%u", group, index);
	struct slot *s = g_hash_table_lookup(o->slots, name);

	if (s != NULL)
		return s;
	s = g_new0(struct slot, 1);
	s->name = g_steal_pointer(&name);
	s->group = g_intern_string(group);
	s->holds = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(o->slots, s->name, s);
	return s;
}

static struct hold *
hold_find(const struct slot *s, const char *backend)
{
	struct hold *hd;
	guint i;

	for (i = 0; i < s->holds->len; i++) {
		hd = g_ptr_array_index(s->holds, i);
		if (hd->backend == backend)
			return hd;
	}
	return NULL;
}

static GPtrArray *
backend_holds(struct dh_ownership *o, const char *backend)
{
	GPtrArray *list = g_hash_table_lookup(o->backends, backend);

	if (list == NULL) {
		list = g_ptr_array_new();
		g_hash_table_insert(o->backends, (gpointer)backend, list);
	}
	return list;
}

static struct hold *
hold_get(struct dh_ownership *o, struct slot *s, const char *backend)
{
	struct hold *hd = hold_find(s, backend);

	if (hd != NULL)
		return hd;
	hd = g_new0(struct hold, 1);
	hd->backend = backend;
	hd->slot = s;
	g_ptr_array_add(s->holds, hd);
	g_ptr_array_add(backend_holds(o, backend), hd);
	return hd;
}

static bool
owns(const struct hold *hd, int64_t t_us)
{
	return hd->held && t_us < hd->until_us;
}

/* Checks that no other backend server owns the slot that hd now owns. */
static void
check_sole_owner(
    struct dh_history *h, const struct hold *hd, int64_t t_us, const char *how)
{
	const struct hold *other;
	guint i;

	h->findings[DH_PROMISE_SINGLE_OWNER].checked++;
	for (i = 0; i < hd->slot->holds->len; i++) {
		other = g_ptr_array_index(hd->slot->holds, i);
		if (other == hd || !owns(other, t_us))
			continue;
		dh_history_broken(h, DH_PROMISE_SINGLE_OWNER, hd->at,
		    "%s %s slot %s while %s owns it for another %.3f ms "
		    "(%s:%u)",
		    hd->backend, how, hd->slot->name, other->backend,
		    (double)(other->until_us - t_us) / DH_US_PER_MS,
		    other->at.file, other->at.line);
	}
}

static void
check_fence(struct dh_history *h, struct slot *s, const struct hold *hd)
{
	int cmp = dh_fence_cmp(hd->fence, s->highest);

	if (s->highest_backend != NULL && cmp == 0 &&
	    s->highest_backend != hd->backend)
		dh_history_broken(h, DH_PROMISE_SINGLE_OWNER, hd->at,
		    "slot %s: fence %" PRIu64 ".%" PRIu64
		    " is given to %s and to %s",
		    s->name, hd->fence.term, hd->fence.counter,
		    s->highest_backend, hd->backend);
	if (s->highest_backend == NULL || cmp > 0) {
		s->highest = hd->fence;
		s->highest_backend = hd->backend;
	}
}

static void
on_grant(struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	struct slot *s =
	    slot_get(h->ownership, ev->lease.group, ev->lease.slot);
	struct hold *hd = hold_get(h->ownership, s, g_intern_string(ev->src));

	if (!owns(hd, ev->t_us) || ev->t_us >= hd->highest_until_us ||
	    dh_fence_cmp(ev->lease.fence, hd->highest) >= 0) {
		hd->highest = ev->lease.fence;
		hd->highest_until_us = ev->lease.until_us;
	}
	hd->fence = ev->lease.fence;
	hd->until_us = ev->lease.until_us;
	hd->held = true;
	hd->at = at;
	if (owns(hd, ev->t_us))
		check_sole_owner(h, hd, ev->t_us, "is granted");
	check_fence(h, s, hd);
}

static void
on_extend(struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	GPtrArray *list = backend_holds(h->ownership, g_intern_string(ev->src));
	const char *group = g_intern_string(ev->lease.group);
	struct hold *hd;
	bool lapsed;
	guint i;

	for (i = 0; i < list->len; i++) {
		hd = g_ptr_array_index(list, i);
		if (!hd->held || hd->slot->group != group)
			continue;
		lapsed = !owns(hd, ev->t_us);
		hd->until_us = ev->lease.until_us;
		hd->at = at;
		if (lapsed && owns(hd, ev->t_us))
			check_sole_owner(h, hd, ev->t_us, "is extended on");
	}
}

static void
on_release(struct dh_history *h, const struct dh_event *ev)
{
	struct slot *s =
	    slot_get(h->ownership, ev->lease.group, ev->lease.slot);
	struct hold *hd = hold_find(s, g_intern_string(ev->src));

	if (hd != NULL)
		hd->held = false;
}

/* A killed or restarted process loses its slots. */
static void
drop_holds(struct dh_history *h, const char *name)
{
	GPtrArray *list =
	    g_hash_table_lookup(h->ownership->backends, g_intern_string(name));
	struct hold *hd;
	guint i;

	for (i = 0; list != NULL && i < list->len; i++) {
		hd = g_ptr_array_index(list, i);
		hd->held = false;
	}
}

/*
 * A backend server that does not check fences may also run requests sent under
 * an earlier fence of the slot, but it must own the slot.  It also takes a
 * grant of an earlier leader after one of a later leader, and may then run
 * requests sent under the later fence until that lease ends.
 */
static bool
fence_allowed(struct dh_history *h, const struct hold *hd,
    struct dh_fence asked, int64_t t_us)
{
	int cmp = dh_fence_cmp(hd->fence, asked);

	if (cmp == 0)
		return true;
	if (!g_hash_table_contains(h->ownership->unchecked, hd->backend))
		return false;
	return cmp > 0 ||
	    (t_us < hd->highest_until_us &&
		dh_fence_cmp(hd->highest, asked) >= 0);
}

static void
on_start(struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	const struct dh_event_run *run = &ev->run;
	struct slot *s;
	struct hold *hd;

	if (run->group == NULL)
		return;
	h->findings[DH_PROMISE_SINGLE_OWNER].checked++;
	s = slot_get(h->ownership, run->group, run->slot);
	hd = hold_find(s, g_intern_string(ev->src));
	if (hd == NULL || !owns(hd, ev->t_us))
		dh_history_broken(h, DH_PROMISE_SINGLE_OWNER, at,
		    "request %s starts on %s, which does not own slot %s then",
		    run->id, ev->src, s->name);
	else if (!fence_allowed(h, hd, run->fence, ev->t_us))
		dh_history_broken(h, DH_PROMISE_SINGLE_OWNER, at,
		    "request %s starts on %s under fence %" PRIu64 ".%" PRIu64
		    ", slot %s was granted with %" PRIu64 ".%" PRIu64
		    " (%s:%u)",
		    run->id, ev->src, run->fence.term, run->fence.counter,
		    s->name, hd->fence.term, hd->fence.counter, hd->at.file,
		    hd->at.line);
}

void
dh_check_single_owner(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	switch (ev->kind) {
	case DH_EVENT_GRANT:
		on_grant(h, ev, at);
		break;
	case DH_EVENT_EXTEND:
		on_extend(h, ev, at);
		break;
	case DH_EVENT_RELEASE:
	case DH_EVENT_EXPIRE:
		on_release(h, ev);
		break;
	case DH_EVENT_UP:
		drop_holds(h, ev->src);
		if (ev->up.unchecked)
			g_hash_table_add(h->ownership->unchecked,
			    (gpointer)g_intern_string(ev->src));
		break;
	case DH_EVENT_DOWN:
		drop_holds(h, ev->target.name);
		break;
	case DH_EVENT_START:
		on_start(h, ev, at);
		break;
	default:
		break;
	}
}

/* Returns whether both VMs with the newest assignment were killed after it. */
static bool
holders_lost(const struct dh_history *h, const struct slot *s)
{
	const struct dh_change *c;
	size_t i;

	if (!s->acked_pair)
		return false;
	for (i = 0; i < G_N_ELEMENTS(s->holders); i++) {
		c = dh_history_change(h, s->holders[i]);
		if (c == NULL || c->down_us < s->acked_us)
			return false;
	}
	return true;
}

static void
check_replaces(struct dh_history *h, const struct dh_event_assign *as,
    const struct slot *s, struct dh_where at)
{
	if (dh_fence_cmp(as->prev, s->acked) < 0 && !holders_lost(h, s))
		dh_history_broken(h, DH_PROMISE_ASSIGNMENT_KEPT, at,
		    "slot %s: %s replaces fence %" PRIu64 ".%" PRIu64
		    ", but %" PRIu64 ".%" PRIu64
		    " was acknowledged (%s:%u) and is lost",
		    s->name, as->owner, as->prev.term, as->prev.counter,
		    s->acked.term, s->acked.counter, s->acked_at.file,
		    s->acked_at.line);
	if (dh_fence_cmp(as->fence, as->prev) <= 0 ||
	    dh_fence_cmp(as->fence, s->acked) <= 0)
		dh_history_broken(h, DH_PROMISE_ASSIGNMENT_KEPT, at,
		    "slot %s: fence %" PRIu64 ".%" PRIu64
		    " is not above that of the previous assignment "
		    "(%s:%u)",
		    s->name, as->fence.term, as->fence.counter,
		    s->acked_at.file, s->acked_at.line);
}

void
dh_check_assignment_kept(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	const struct dh_event_assign *as = &ev->assign;
	struct slot *s;
	size_t i;

	if (ev->kind != DH_EVENT_ASSIGN)
		return;
	h->findings[DH_PROMISE_ASSIGNMENT_KEPT].checked++;
	s = slot_get(h->ownership, as->group, as->slot);
	if (s->acked_at.file != NULL)
		check_replaces(h, as, s, at);
	s->acked = as->fence;
	s->acked_us = ev->t_us;
	s->acked_pair = as->pair;
	s->acked_at = at;
	for (i = 0; i < G_N_ELEMENTS(s->holders); i++)
		s->holders[i] =
		    as->pair ? g_intern_string(as->holders[i]) : NULL;
}
