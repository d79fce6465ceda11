#include "router/load.h"

#include <string.h>

#include <glib.h>

#include <dogwoodhub/hotkey.h>
#include <dogwoodhub/key.h>

/* Counters of a hot-key sketch: enough to tell 76 keys with 0.1 % of the
 * requests each from the sketch's error. */
#define SKETCH_SIZE 1024u
/* Without effect: dh_loads_key() passes a constant time, so that counts don't
 * decay, and each report clears the sketch. */
#define SKETCH_HALF_LIFE_US INT64_C(3600000000)
/* Keys with a smaller share of a service's requests are not reported: they
 * don't unbalance a group of up to a hundred backend servers. */
#define KEY_SHARE 0.001
/* A key with fewer requests is not reported: while there is little load, a
 * single request may already be a large share. */
#define KEY_COUNT_MIN 2.0

struct service_load {
	GHashTable *by_slot; /* slot + 1 -> struct dh_load_count */
	GArray *backends; /* struct dh_load_backend */
	struct dh_hotkeys *keys; /* NULL: keys are not counted */
};

struct dh_loads {
	GHashTable *services; /* name -> struct service_load */
	GPtrArray *idle_sketches; /* cleared, to be used again */
	uint32_t nsketches; /* in use and idle */
};

static void
service_free(gpointer arg)
{
	struct service_load *sv = arg;

	g_hash_table_unref(sv->by_slot);
	g_array_unref(sv->backends);
	dh_hotkeys_free(sv->keys);
	g_free(sv);
}

static void
sketch_free(gpointer sketch)
{
	dh_hotkeys_free(sketch);
}

struct dh_loads *
dh_loads_new(void)
{
	struct dh_loads *ls = g_new0(struct dh_loads, 1);

	ls->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_free);
	ls->idle_sketches = g_ptr_array_new_with_free_func(sketch_free);
	return ls;
}

void
dh_loads_free(struct dh_loads *ls)
{
	if (ls == NULL)
		return;
	g_hash_table_unref(ls->services);
	g_ptr_array_unref(ls->idle_sketches);
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
	sv->backends =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_load_backend));
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

static struct dh_load_backend *
backend_get(struct service_load *sv, uint64_t backend)
{
	struct dh_load_backend b = { .backend = backend };
	guint i;

	for (i = 0; i < sv->backends->len; i++)
		if (g_array_index(sv->backends, struct dh_load_backend, i)
			.backend == backend)
			break;
	if (i == sv->backends->len)
		g_array_append_val(sv->backends, b);
	return &g_array_index(sv->backends, struct dh_load_backend, i);
}

void
dh_loads_backend(struct dh_loads *ls, const char *service, uint64_t backend,
    bool answered, int64_t latency_us)
{
	struct dh_load_backend *b =
	    backend_get(service_get(ls, service), backend);

	if (answered) {
		b->answered++;
		b->latency_us += (uint64_t)latency_us;
	} else {
		b->failed++;
	}
}

static struct dh_hotkeys *
sketch_get(struct dh_loads *ls)
{
	static const struct dh_hotkey_params params = { SKETCH_SIZE,
		SKETCH_HALF_LIFE_US };

	if (ls->idle_sketches->len > 0)
		return g_ptr_array_steal_index(
		    ls->idle_sketches, ls->idle_sketches->len - 1);
	if (ls->nsketches == DH_LOADS_SKETCHES_MAX)
		return NULL;
	ls->nsketches++;
	return dh_hotkeys_new(&params);
}

void
dh_loads_key(struct dh_loads *ls, const char *service, const char *key)
{
	struct service_load *sv = service_get(ls, service);
	size_t len = strlen(key);

	if (sv->keys == NULL)
		sv->keys = sketch_get(ls);
	if (sv->keys != NULL)
		dh_hotkeys_add(sv->keys, dh_key_hash(key, len), key, len, 1, 1);
}

static void
fill_keys(struct dh_load_report *r, const struct dh_hotkeys *keys)
{
	struct dh_hotkey top[DH_MSG_KEYS_MAX];
	size_t i, n = dh_hotkeys_top(keys, KEY_SHARE, top, DH_MSG_KEYS_MAX);
	struct dh_load_key *k;

	r->key_total = (uint64_t)dh_hotkeys_total(keys);
	for (i = 0; i < n; i++) {
		if (top[i].count - top[i].error < KEY_COUNT_MIN)
			continue;
		k = &r->keys[r->nkeys++];
		k->hash = top[i].hash;
		k->requests = (uint64_t)(top[i].count - top[i].error);
		g_strlcpy(k->key, top[i].key, sizeof(k->key));
	}
}

static struct dh_load_report *
make_report(const char *name, struct service_load *sv)
{
	guint n = g_hash_table_size(sv->by_slot), nb = sv->backends->len;
	guint nk = sv->keys == NULL ? 0 : DH_MSG_KEYS_MAX;
	struct dh_load_report *r =
	    g_malloc0(sizeof(*r) + n * sizeof(r->counts[0]) +
		nb * sizeof(r->backends[0]) + nk * sizeof(r->keys[0]));
	GHashTableIter it;
	gpointer c;

	r->backends = (struct dh_load_backend *)(void *)&r->counts[n];
	r->keys = (struct dh_load_key *)(void *)&r->backends[nb];
	if (nb > 0)
		memcpy(r->backends, sv->backends->data,
		    nb * sizeof(r->backends[0]));
	r->nbackends = nb;
	if (sv->keys != NULL)
		fill_keys(r, sv->keys);
	g_strlcpy(r->service, name, sizeof(r->service));
	g_hash_table_iter_init(&it, sv->by_slot);
	while (g_hash_table_iter_next(&it, NULL, &c))
		r->counts[r->nslots++] = *(struct dh_load_count *)c;
	return r;
}

static void
sketch_put(struct dh_loads *ls, struct service_load *sv)
{
	if (sv->keys == NULL)
		return;
	dh_hotkeys_clear(sv->keys);
	g_ptr_array_add(ls->idle_sketches, g_steal_pointer(&sv->keys));
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
	sketch_put(ls, sv);
	g_hash_table_iter_remove(&it);
	return r;
}
