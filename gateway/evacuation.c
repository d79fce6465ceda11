#include "gateway/evacuation.h"

#include "base/opslog.h"
#include "gateway/mirror.h"
#include "platform/wire.h"

/* Wait of the watch at the store: a dead connection shows only when it is
 * over. */
#define WATCH_WAIT_MS 1500

struct dh_evacuations {
	struct dh_mirror *mirror;
	GHashTable *zones; /* set of names */
};

static void
on_changed(void *arg, const struct dh_object_view *o)
{
	struct dh_evacuations *e = arg;

	(void)g_hash_table_add(e->zones, g_strdup(o->name));
}

static void
on_gone(void *arg, const char *name)
{
	struct dh_evacuations *e = arg;

	(void)g_hash_table_remove(e->zones, name);
}

static void
on_reached(void *arg, bool reached)
{
	(void)arg;
	dh_opslog_add(DH_OPS_STATE, "evacuations.reached", ",\"reached\":%s",
	    reached ? "true" : "false");
}

struct dh_evacuations *
dh_evacuations_new(uv_loop_t *loop, struct dh_objects *o, struct dh_era *era)
{
	struct dh_evacuations *e = g_new0(struct dh_evacuations, 1);
	struct dh_mirror_handler h = { on_changed, on_gone, on_reached, NULL,
		e };

	e->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->mirror = dh_mirror_new(
	    loop, o, NULL, era, dh_wire_kind_evacuations, DH_FRESH, &h);
	dh_mirror_set_wait(e->mirror, WATCH_WAIT_MS);
	return e;
}

void
dh_evacuations_free(struct dh_evacuations *e)
{
	if (e == NULL)
		return;
	dh_mirror_free(e->mirror);
	g_hash_table_destroy(e->zones);
	g_free(e);
}

GPtrArray *
dh_evacuations_zones(const struct dh_evacuations *e)
{
	GPtrArray *zones;
	GHashTableIter it;
	gpointer name;

	if (!dh_mirror_listed(e->mirror))
		return NULL;
	zones = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_iter_init(&it, e->zones);
	while (g_hash_table_iter_next(&it, &name, NULL) &&
	    zones->len < DH_EVACUATED_ZONES_MAX)
		g_ptr_array_add(zones, g_strdup(name));
	return zones;
}
