#include "gateway/limits.h"

#include <string.h>

#include <dogwoodhub/ratelimit.h>

#include "base/opslog.h"

/* Shared limits are not used for longer: the leader has been silent. */
#define SHARED_MAX_AGE_MS 1000

/* The fraction for a starting backend server is shared after this time, when
 * all VMs have reported what they have for it; until then they admit equal
 * shares. */
#define START_SUMS_MS 1000

/* A limit that the leader knows. */
struct limit {
	char id[DH_NAME_MAX];
	int64_t start_ms;
	double per_s;
	struct dh_rate_total total; /* requests of all VMs */
	/* The configuration limits it while the backend server starts, and no
	 * answer has named a limit; 0: it is not of that kind. */
	int64_t starting_since_ms;
	bool still_starting;
};

struct dh_limits {
	const struct dh_registry *registry;
	GHashTable *reports; /* id -> struct dh_limit_report, collected */
	GHashTable *known; /* id -> struct limit, on the leader */
	GArray *shared; /* of struct dh_shared_limit, by the leader */
	int64_t shared_ms;
};

struct dh_limits *
dh_limits_new(const struct dh_registry *reg)
{
	struct dh_limits *l = g_new0(struct dh_limits, 1);

	l->registry = reg;
	l->reports =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	l->known = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	l->shared = g_array_new(FALSE, TRUE, sizeof(struct dh_shared_limit));
	return l;
}

void
dh_limits_free(struct dh_limits *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->reports);
	g_hash_table_destroy(l->known);
	g_array_free(l->shared, TRUE);
	g_free(l);
}

void
dh_limits_add_worker_report(
    struct dh_limits *l, const struct dh_worker_report *r)
{
	struct dh_limit_report *p;
	uint32_t i;

	for (i = 0; i < r->nlimits; i++) {
		p = g_hash_table_lookup(l->reports, r->limits[i].id);
		if (p == NULL) {
			p = g_new0(struct dh_limit_report, 1);
			(void)g_strlcpy(p->id, r->limits[i].id, sizeof(p->id));
			g_hash_table_insert(l->reports, p->id, p);
		}
		if (r->limits[i].change != DH_LIMIT_UNCHANGED) {
			p->change = r->limits[i].change;
			p->per_s = r->limits[i].per_s;
		}
		p->start_ms = r->limits[i].start_ms;
		p->offered += r->limits[i].offered;
		p->admitted += r->limits[i].admitted;
	}
}

void
dh_limits_take_reports(struct dh_limits *l, GArray *reports)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, l->reports);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_array_append_vals(reports, value, 1);
	g_hash_table_remove_all(l->reports);
}

static void
log_limit(const struct limit *k, double per_s)
{
	dh_opslog_add(DH_OPS_STATE, "rate_limit.shared",
	    ",\"server\":\"%s\",\"born\":%lld,\"per_s\":%.3f,"
	    "\"before\":%.3f",
	    k->id, (long long)k->start_ms, per_s, k->per_s);
}

static struct limit *
add_limit(struct dh_limits *l, const char *id, int64_t start_ms)
{
	struct limit *k = g_new0(struct limit, 1);

	(void)g_strlcpy(k->id, id, sizeof(k->id));
	k->start_ms = start_ms;
	k->per_s = DH_RATE_UNLIMITED;
	g_hash_table_insert(l->known, k->id, k);
	return k;
}

/* Adds the backend servers that start, and removes those that have started. */
static void
update_starting(struct dh_limits *l, int64_t now_ms)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_starting_server));
	const struct dh_starting_server *s;
	struct limit *k;
	GHashTableIter it;
	gpointer value;
	guint i;

	dh_registry_starting(l->registry, list);
	for (i = 0; i < list->len; i++) {
		s = &g_array_index(list, struct dh_starting_server, i);
		k = g_hash_table_lookup(l->known, s->id);
		if (k != NULL && k->start_ms != s->start_ms) {
			g_hash_table_remove(l->known, s->id);
			k = NULL;
		}
		if (k == NULL) {
			k = add_limit(l, s->id, s->start_ms);
			k->starting_since_ms = now_ms;
		}
		k->still_starting = true;
		if (k->starting_since_ms == 0)
			continue;
		if (k->per_s != s->per_s)
			log_limit(k, s->per_s);
		k->per_s = s->per_s;
	}
	g_hash_table_iter_init(&it, l->known);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		k = value;
		if (k->starting_since_ms != 0 && !k->still_starting) {
			log_limit(k, DH_RATE_UNLIMITED);
			g_hash_table_iter_remove(&it);
			continue;
		}
		k->still_starting = false;
	}
}

static void
note_report(
    struct dh_limits *l, const struct dh_limit_report *r, int64_t now_ms)
{
	struct limit *k = g_hash_table_lookup(l->known, r->id);

	if (k != NULL && k->start_ms != r->start_ms) {
		g_hash_table_remove(l->known, r->id);
		k = NULL;
	}
	if (r->change == DH_LIMIT_LIFTED) {
		if (k != NULL)
			log_limit(k, DH_RATE_UNLIMITED);
		g_hash_table_remove(l->known, r->id);
		return;
	}
	if (r->change == DH_LIMIT_NAMED) {
		if (k == NULL)
			k = add_limit(l, r->id, r->start_ms);
		k->starting_since_ms = 0;
		if (k->per_s != r->per_s)
			log_limit(k, r->per_s);
		k->per_s = r->per_s;
	}
	if (k != NULL)
		dh_rate_total_add(&k->total, r->offered, r->admitted, now_ms);
}

void
dh_limits_note_reports(
    struct dh_limits *l, const GArray *reports, int64_t now_ms)
{
	guint i;

	for (i = 0; i < reports->len; i++)
		note_report(l,
		    &g_array_index(reports, struct dh_limit_report, i), now_ms);
}

static gint
compare_fraction(gconstpointer a, gconstpointer b)
{
	const struct dh_shared_limit *ca = a, *cb = b;

	return (ca->fraction > cb->fraction) - (ca->fraction < cb->fraction);
}

void
dh_limits_share(struct dh_limits *l, GArray *shared, int64_t now_ms)
{
	struct dh_shared_limit s;
	GHashTableIter it;
	gpointer value;

	update_starting(l, now_ms);
	g_hash_table_iter_init(&it, l->known);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct limit *k = value;

		if (dh_registry_start_ms(l->registry, k->id) != k->start_ms) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		if (k->starting_since_ms != 0 &&
		    now_ms - k->starting_since_ms < START_SUMS_MS)
			continue;
		s = (struct dh_shared_limit){ .start_ms = k->start_ms,
			.per_s = k->per_s,
			.fraction = dh_rate_total_fraction(
			    &k->total, k->per_s, now_ms) };
		(void)g_strlcpy(s.id, k->id, sizeof(s.id));
		g_array_append_val(shared, s);
	}
	if (shared->len <= DH_SHARED_LIMITS)
		return;
	g_array_sort(shared, compare_fraction);
	g_array_set_size(shared, DH_SHARED_LIMITS);
}

void
dh_limits_forget(struct dh_limits *l)
{
	g_hash_table_remove_all(l->known);
}

bool
dh_limits_set_shared(struct dh_limits *l, const GArray *shared, int64_t now_ms)
{
	bool needed = l->shared->len > 0 || shared->len > 0;

	g_array_set_size(l->shared, 0);
	if (shared->len > 0)
		g_array_append_vals(l->shared, shared->data, shared->len);
	l->shared_ms = now_ms;
	return needed;
}

void
dh_limits_fill_view(
    const struct dh_limits *l, struct dh_view *v, int64_t now_ms)
{
	const struct dh_shared_limit *s;
	uint32_t server;
	guint i;

	if (l->shared->len == 0 || now_ms - l->shared_ms > SHARED_MAX_AGE_MS)
		return;
	v->limits = g_new0(struct dh_view_limit, l->shared->len);
	for (i = 0; i < l->shared->len; i++) {
		s = &g_array_index(l->shared, struct dh_shared_limit, i);
		server = dh_view_find(v, s->id);
		if (server == DH_NONE ||
		    v->servers[server].start_ms != s->start_ms)
			continue;
		v->limits[v->nlimits++] =
		    (struct dh_view_limit){ .uid = v->servers[server].uid,
			    .per_s = s->per_s,
			    .fraction = s->fraction };
	}
}

double
dh_limits_per_s(const struct dh_limits *l, const char *id, int64_t start_ms)
{
	const struct limit *k = g_hash_table_lookup(l->known, id);

	return k == NULL || k->start_ms != start_ms ? DH_RATE_UNLIMITED
						    : k->per_s;
}
