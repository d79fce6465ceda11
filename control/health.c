#include "control/health.h"

#include <glib.h>

/* Least number of failed requests in a period for a backend server to be
 * avoided. */
#define FAILED_MIN 3u
/* Periods for which a backend server stays avoided. */
#define AVOID_PERIODS 5u

struct health {
	uint64_t backend;
	uint64_t incarnation; /* as last seen, 0 if never */
	uint64_t answered, failed; /* in this period */
	uint32_t avoid_periods; /* periods left, 0 if not avoided */
};

struct dh_health {
	GHashTable *backends; /* id -> struct health */
};

struct dh_health *
dh_health_new(void)
{
	struct dh_health *h = g_new0(struct dh_health, 1);

	h->backends =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return h;
}

void
dh_health_free(struct dh_health *h)
{
	if (h == NULL)
		return;
	g_hash_table_unref(h->backends);
	g_free(h);
}

void
dh_health_clear(struct dh_health *h)
{
	g_hash_table_remove_all(h->backends);
}

static struct health *
get_health(struct dh_health *h, uint64_t backend)
{
	struct health *b = g_hash_table_lookup(h->backends, &backend);

	if (b != NULL)
		return b;
	b = g_new0(struct health, 1);
	b->backend = backend;
	g_hash_table_insert(h->backends, &b->backend, b);
	return b;
}

/* Counts only backend servers that dh_health_state() has been called for, so
 * that reports about removed backend servers don't grow the table. */
void
dh_health_add_counts(
    struct dh_health *h, const struct dh_load_backend *list, uint32_t n)
{
	struct health *b;
	uint32_t i;

	for (i = 0; i < n; i++) {
		b = g_hash_table_lookup(h->backends, &list[i].backend);
		if (b == NULL)
			continue;
		b->answered += list[i].answered;
		b->failed += list[i].failed;
	}
}

void
dh_health_end_period(struct dh_health *h)
{
	GHashTableIter it;
	gpointer value;
	struct health *b;

	g_hash_table_iter_init(&it, h->backends);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		b = value;
		if (b->failed >= FAILED_MIN && b->failed > b->answered)
			b->avoid_periods = AVOID_PERIODS;
		else if (b->avoid_periods > 0)
			b->avoid_periods--;
		b->answered = 0;
		b->failed = 0;
	}
}

static enum dh_placement_state
placement_state(const struct dh_group_backend_state *seen, bool drain)
{
	if (seen->incarnation == 0)
		return DH_PLACEMENT_ABSENT;
	if (!seen->answers)
		return DH_PLACEMENT_FROZEN;
	return drain ? DH_PLACEMENT_DRAINING : DH_PLACEMENT_READY;
}

void
dh_health_state(struct dh_health *h, uint64_t backend,
    const struct dh_group_backend_state *seen, bool drain,
    struct dh_placement_backend *out)
{
	struct health *b = get_health(h, backend);
	bool restarted = b->incarnation != 0 && seen->incarnation != 0 &&
	    seen->incarnation != b->incarnation;

	if (seen->incarnation != 0)
		b->incarnation = seen->incarnation;
	out->state = placement_state(seen, drain);
	out->cold = seen->cold || restarted;
	out->avoided = b->avoid_periods > 0;
}
