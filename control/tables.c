#include "control/tables.h"

#include "base/counter.h"
#include "control/authority.h"

struct dh_tables {
	struct dh_control *control;
	struct dh_table *last; /* last one published, or NULL */
	uint64_t version;
	bool rebuild; /* the next table is built from scratch */
	GHashTable *marked; /* set of group names, borrowed from the
			     * authorities */
	GHashTable *backends; /* id -> index in the configuration */
	GHashTable *services; /* name, borrowed from the configuration -> index
			       * there */
};

struct dh_tables *
dh_tables_new(struct dh_control *ct)
{
	struct dh_tables *tb = g_new0(struct dh_tables, 1);

	tb->control = ct;
	tb->marked = g_hash_table_new(g_str_hash, g_str_equal);
	tb->backends =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	tb->services = g_hash_table_new(g_str_hash, g_str_equal);
	return tb;
}

void
dh_tables_free(struct dh_tables *tb)
{
	if (tb == NULL)
		return;
	g_hash_table_unref(tb->marked);
	g_hash_table_unref(tb->backends);
	g_hash_table_unref(tb->services);
	g_free(tb);
}

static void
fill_backend_index(struct dh_tables *tb, const struct dh_conf *conf)
{
	uint64_t *id;
	size_t i;

	g_hash_table_remove_all(tb->backends);
	for (i = 0; i < conf->nbackends; i++) {
		id = g_new(uint64_t, 1);
		*id = dh_name_id(conf->backends[i].name);
		g_hash_table_insert(
		    tb->backends, id, GUINT_TO_POINTER((guint)i));
	}
}

static void
fill_service_index(struct dh_tables *tb, const struct dh_conf *conf)
{
	size_t i;

	g_hash_table_remove_all(tb->services);
	for (i = 0; i < conf->nservices; i++)
		g_hash_table_insert(tb->services, conf->services[i].name,
		    GUINT_TO_POINTER((guint)i));
}

void
dh_tables_configure(struct dh_tables *tb)
{
	fill_backend_index(tb, tb->control->conf->conf);
	fill_service_index(tb, tb->control->conf->conf);
	tb->rebuild = true;
}

void
dh_tables_mark_group(struct dh_tables *tb, const char *group)
{
	struct dh_authority *a =
	    g_hash_table_lookup(tb->control->authorities, group);

	if (a != NULL)
		g_hash_table_add(tb->marked, (gpointer)dh_authority_name(a));
}

static uint32_t
backend_index(struct dh_tables *tb, uint64_t id)
{
	gpointer index;

	if (id == 0 ||
	    !g_hash_table_lookup_extended(tb->backends, &id, NULL, &index))
		return DH_NONE;
	return GPOINTER_TO_UINT(index);
}

static void
fill_slots(
    struct dh_tables *tb, struct dh_table *t, const struct dh_authority *a)
{
	struct dh_control_slots s = dh_control_slots(tb->control, a);
	const struct dh_assignment *as;
	struct dh_slot *slots;
	gpointer index;
	uint32_t i;

	if (!g_hash_table_lookup_extended(
		tb->services, dh_authority_service(a), NULL, &index) ||
	    s.n !=
		dh_service_slots(&t->conf->services[GPOINTER_TO_UINT(index)]))
		return;
	slots = dh_table_writable_slots(t, GPOINTER_TO_UINT(index));
	if (slots == NULL && s.n > 0)
		g_error("no memory for the routing table");
	for (i = 0; i < s.n; i++) {
		as = dh_control_latest_slot(&s, i);
		slots[i] = (struct dh_slot){
			.owner = backend_index(tb, as->owner),
			.standby = backend_index(tb, as->standby),
			.fence = as->fence,
			.state = as->state,
		};
	}
}

static void
fill_all(struct dh_tables *tb, struct dh_table *t)
{
	GHashTableIter it;
	gpointer a;

	g_hash_table_iter_init(&it, tb->control->authorities);
	while (g_hash_table_iter_next(&it, NULL, &a))
		fill_slots(tb, t, a);
}

static void
fill_marked(struct dh_tables *tb, struct dh_table *t)
{
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, tb->marked);
	while (g_hash_table_iter_next(&it, &name, NULL))
		fill_slots(
		    tb, t, g_hash_table_lookup(tb->control->authorities, name));
}

static struct dh_table *
next_table(struct dh_tables *tb)
{
	uint64_t version = ++tb->version;
	struct dh_table *t = tb->rebuild
	    ? dh_table_new(tb->control->conf->conf, version)
	    : dh_table_copy(tb->last, version);

	if (t == NULL)
		g_error("no memory for the routing table");
	return t;
}

void
dh_tables_flush(struct dh_tables *tb)
{
	struct dh_control *ct = tb->control;
	struct dh_table *t;

	if (ct->conf == NULL ||
	    (!tb->rebuild && g_hash_table_size(tb->marked) == 0))
		return;
	t = next_table(tb);
	if (tb->rebuild)
		fill_all(tb, t);
	else
		fill_marked(tb, t);
	tb->rebuild = false;
	g_hash_table_remove_all(tb->marked);
	tb->last = t;
	dh_publish_set(
	    ct->publish, t, dh_conf_ref_put, dh_conf_ref_get(ct->conf));
	dh_counter_set(dh_counter_get("dh_table_version", ""), tb->version);
}

uint64_t
dh_tables_version(const struct dh_tables *tb)
{
	return tb->version;
}
