#include "standin/lib/ownership.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/jsonfield.h"

struct grant {
	struct dh_fence fence;
	bool releasing;
	uint32_t running;
};

struct group {
	char *name;
	struct dh_fence highest;
	int64_t until_ms;
	GHashTable *grants; /* slot -> struct grant */
};

struct ownership {
	uint64_t incarnation;
	bool checks_fence;
	struct dh_eventlog *log;
	GHashTable *groups; /* name -> struct group */
};

static void
group_free(void *arg)
{
	struct group *g = arg;

	g_free(g->name);
	g_hash_table_unref(g->grants);
	g_free(g);
}

struct ownership *
ownership_new(uint64_t incarnation, bool checks_fence, struct dh_eventlog *log)
{
	struct ownership *ow = g_new0(struct ownership, 1);

	ow->incarnation = incarnation;
	ow->checks_fence = checks_fence;
	ow->log = log;
	ow->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	return ow;
}

static struct group *
group_find(struct ownership *ow, const char *name)
{
	return g_hash_table_lookup(ow->groups, name);
}

static struct group *
group_make(struct ownership *ow, const char *name)
{
	struct group *g = group_find(ow, name);

	if (g != NULL)
		return g;
	g = g_new0(struct group, 1);
	g->name = g_strdup(name);
	g->grants = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_hash_table_insert(ow->groups, g->name, g);
	return g;
}

static struct grant *
grant_find(struct ownership *ow, const char *group, uint32_t slot)
{
	struct group *g = group_find(ow, group);

	return g == NULL
	    ? NULL
	    : g_hash_table_lookup(g->grants, GUINT_TO_POINTER(slot));
}

static int64_t
entry_int(struct json_object *entry, size_t i)
{
	return json_object_get_int64(json_object_array_get_idx(entry, i));
}

static void
log_release(struct ownership *ow, struct group *g, uint32_t slot)
{
	dh_eventlog_add(
	    ow->log, "release", ",\"group\":\"%s\",\"slot\":%u", g->name, slot);
}

static void
grant_one(struct ownership *ow, struct group *g, struct json_object *entry)
{
	uint32_t slot = (uint32_t)entry_int(entry, 0);
	struct grant *gr =
	    g_hash_table_lookup(g->grants, GUINT_TO_POINTER(slot));

	if (gr == NULL) {
		gr = g_new0(struct grant, 1);
		g_hash_table_insert(g->grants, GUINT_TO_POINTER(slot), gr);
	}
	gr->fence = (struct dh_fence){ .term = (uint64_t)entry_int(entry, 1),
		.counter = (uint64_t)entry_int(entry, 2) };
	gr->releasing = false;
	dh_eventlog_add(ow->log, "grant",
	    ",\"group\":\"%s\",\"slot\":%u,\"fence\":\"%" PRIu64 ".%" PRIu64
	    "\",\"until\":%" PRId64,
	    g->name, slot, gr->fence.term, gr->fence.counter, g->until_ms);
}

/* Replaces the owned slots of the group by the listed ones. */
static void
grant_set(struct ownership *ow, struct group *g, struct json_object *slots)
{
	g_autoptr(GHashTable) keep = g_hash_table_new(NULL, NULL);
	size_t n = slots == NULL ? 0 : json_object_array_length(slots), i;
	struct json_object *entry;
	GHashTableIter it;
	gpointer slot;

	for (i = 0; i < n; i++) {
		entry = json_object_array_get_idx(slots, i);
		g_hash_table_add(
		    keep, GUINT_TO_POINTER((uint32_t)entry_int(entry, 0)));
	}
	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, &slot, NULL)) {
		if (g_hash_table_contains(keep, slot))
			continue;
		g_hash_table_iter_remove(&it);
		log_release(ow, g, GPOINTER_TO_UINT(slot));
	}
	for (i = 0; i < n; i++)
		grant_one(ow, g, json_object_array_get_idx(slots, i));
}

static void
release_slot(struct ownership *ow, struct group *g, uint32_t slot)
{
	g_hash_table_remove(g->grants, GUINT_TO_POINTER(slot));
	log_release(ow, g, slot);
}

static void
release_set(struct ownership *ow, struct group *g, struct json_object *slots)
{
	size_t n = slots == NULL ? 0 : json_object_array_length(slots), i;
	struct grant *gr;
	uint32_t slot;

	for (i = 0; i < n; i++) {
		slot =
		    (uint32_t)entry_int(json_object_array_get_idx(slots, i), 0);
		gr = g_hash_table_lookup(g->grants, GUINT_TO_POINTER(slot));
		if (gr == NULL)
			continue;
		gr->releasing = true;
		if (gr->running == 0)
			release_slot(ow, g, slot);
	}
}

/*
 * Drops the grants of an expired lease.  Only a new grant restores them,
 * because the leader of the group may have granted the slots to another server
 * since.
 */
static void
drop_expired(struct ownership *ow, struct group *g)
{
	GHashTableIter it;
	gpointer slot;

	if (dh_clock_ms() < g->until_ms)
		return;
	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, &slot, NULL)) {
		g_hash_table_iter_remove(&it);
		dh_eventlog_add(ow->log, "expire",
		    ",\"group\":\"%s\",\"slot\":%u", g->name,
		    GPOINTER_TO_UINT(slot));
	}
}

static bool
extend(struct ownership *ow, struct group *g, int64_t until_ms)
{
	if (until_ms <= dh_clock_ms())
		return false;
	drop_expired(ow, g);
	g->until_ms = MAX(g->until_ms, until_ms);
	return true;
}

static bool
apply(struct ownership *ow, struct group *g, struct json_object *o)
{
	const char *kind = dh_json_text(o, "kind");
	struct json_object *slots = NULL;

	json_object_object_get_ex(o, "slots", &slots);
	if (strcmp(kind, "release") == 0) {
		release_set(ow, g, slots);
		return true;
	}
	if (strcmp(kind, "warm") == 0)
		return true;
	/* An expired lease is not extended; it needs a new grant. */
	if (strcmp(kind, "grant") != 0 && dh_clock_ms() >= g->until_ms) {
		drop_expired(ow, g);
		return false;
	}
	if (!extend(ow, g, dh_json_int(o, "until_ms")))
		return false;
	if (strcmp(kind, "grant") == 0)
		grant_set(ow, g, slots);
	else
		dh_eventlog_add(ow->log, "extend",
		    ",\"group\":\"%s\",\"until\":%" PRId64, g->name,
		    g->until_ms);
	return true;
}

static uint32_t
count_releasing(struct group *g)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += ((struct grant *)value)->releasing;
	return n;
}

struct order_result
ownership_order(struct ownership *ow, struct json_object *o)
{
	struct group *g = group_make(ow, dh_json_text(o, "group"));
	struct dh_fence f = { .term = (uint64_t)dh_json_int(o, "term"),
		.counter = (uint64_t)dh_json_int(o, "counter") };
	bool hello = strcmp(dh_json_text(o, "kind"), "hello") == 0;
	bool ok = hello;

	if (!hello &&
	    (uint64_t)dh_json_int(o, "incarnation") == ow->incarnation &&
	    !(ow->checks_fence && dh_fence_cmp(f, g->highest) < 0)) {
		ok = apply(ow, g, o);
		if (ok && dh_fence_cmp(f, g->highest) > 0)
			g->highest = f;
	}
	return (struct order_result){ .accepted = ok,
		.highest = g->highest,
		.releasing = count_releasing(g) };
}

const char *
ownership_check(struct ownership *ow, const char *group, uint32_t slot,
    struct dh_fence fence)
{
	struct group *g = group_find(ow, group);
	struct grant *gr = grant_find(ow, group, slot);

	if (gr == NULL || gr->releasing)
		return "wrong-owner";
	if (dh_clock_ms() >= g->until_ms)
		return "lease";
	if (ow->checks_fence && dh_fence_cmp(gr->fence, fence) != 0)
		return "wrong-owner";
	return NULL;
}

int64_t
ownership_until(struct ownership *ow, const char *group)
{
	struct group *g = group_find(ow, group);

	return g == NULL ? 0 : g->until_ms;
}

void
ownership_begin(struct ownership *ow, const char *group, uint32_t slot)
{
	struct grant *gr = grant_find(ow, group, slot);

	if (gr != NULL)
		gr->running++;
}

void
ownership_end(struct ownership *ow, const char *group, uint32_t slot)
{
	struct grant *gr = grant_find(ow, group, slot);

	if (gr == NULL || gr->running == 0)
		return;
	if (--gr->running == 0 && gr->releasing)
		release_slot(ow, group_find(ow, group), slot);
}
