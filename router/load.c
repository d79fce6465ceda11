#include "router/load.h"

#include <glib.h>

struct service_load {
	GHashTable *by_slot; /* slot + 1 -> struct dh_load_count */
};

struct dh_loads {
	GHashTable *services; /* name -> struct service_load */
};

static void
service_free(gpointer arg)
{
	struct service_load *sv = arg;

	g_hash_table_unref(sv->by_slot);
	g_free(sv);
}

struct dh_loads *
dh_loads_new(void)
{
	struct dh_loads *ls = g_new0(struct dh_loads, 1);

	ls->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_free);
	return ls;
}

void
dh_loads_free(struct dh_loads *ls)
{
	if (ls == NULL)
		return;
	g_hash_table_unref(ls->services);
	g_free(ls);
}

static struct service_load *
service_get(struct dh_loads *ls, const char *name)
{
	struct service_load *sv = g_hash_table_lookup(ls->services, name);

	if (sv != NULL)
		return sv;
	sv = g_new0(struct service_load, 1);
	sv->by_slot = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_hash_table_insert(ls->services, g_strdup(name), sv);
	return sv;
}

void
dh_loads_add(
    struct dh_loads *ls, const char *service, uint32_t slot, int64_t busy_us)
{
	struct service_load *sv = service_get(ls, service);
	gpointer key = GUINT_TO_POINTER(slot + 1);
	struct dh_load_count *c = g_hash_table_lookup(sv->by_slot, key);

	if (c == NULL) {
		c = g_new0(struct dh_load_count, 1);
		c->slot = slot;
		g_hash_table_insert(sv->by_slot, key, c);
	}
	c->requests++;
	c->busy_us += (uint64_t)busy_us;
}

static struct dh_load_report *
make_report(const char *name, struct service_load *sv)
{
	guint n = g_hash_table_size(sv->by_slot);
	struct dh_load_report *r =
	    g_malloc0(sizeof(*r) + n * sizeof(r->counts[0]));
	GHashTableIter it;
	gpointer c;

	g_strlcpy(r->service, name, sizeof(r->service));
	g_hash_table_iter_init(&it, sv->by_slot);
	while (g_hash_table_iter_next(&it, NULL, &c))
		r->counts[r->n++] = *(struct dh_load_count *)c;
	return r;
}

struct dh_load_report *
dh_loads_take(struct dh_loads *ls)
{
	struct dh_load_report *r;
	gpointer name, sv;
	GHashTableIter it;

	g_hash_table_iter_init(&it, ls->services);
	if (!g_hash_table_iter_next(&it, &name, &sv))
		return NULL;
	r = make_report(name, sv);
	g_hash_table_iter_remove(&it);
	return r;
}
