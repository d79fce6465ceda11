#include <math.h>

#include <dogwoodhub/key.h>

#include "core/group_internal.h"

/*
 * Weighted rendezvous hashing: for each slot every backend server has the
 * score -weight / ln(u), where u is a hash of both, and the highest score wins.
 * A change of one backend server therefore moves only its own slots, which
 * spread over all others.  A bound on each server's share (bounded load) evens
 * out the random differences, which for a few hundred slots would leave some
 * backend servers a third above their share.
 */
enum { LOAD_SLACK_PERCENT = 10 };

/* group_pair_hash -- hash of two ids, the score of one for the other. */
uint64_t
group_pair_hash(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = { a, b };

	return dh_key_hash(pair, sizeof(pair));
}

static double
slot_score(const struct group_backend *b, uint32_t slot)
{
	uint64_t h = group_pair_hash(b->conf.id, slot);
	double u = ((double)(h >> 11) + 0.5) / (double)(1ULL << 53);

	return -(double)(b->conf.weight == 0 ? 1 : b->conf.weight) / log(u);
}

/* Whether b may be given slots. */
static bool
eligible(const struct group_backend *b)
{
	return b->present && !b->conf.drain;
}

static uint64_t
total_weight(const struct dh_group *g, bool alive)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++)
		if (eligible(&g->backends[i]) &&
		    (!alive || group_backend_answers(&g->backends[i])))
			sum += g->backends[i].conf.weight == 0
			    ? 1
			    : g->backends[i].conf.weight;
	return sum;
}

static uint64_t
load_cap(const struct dh_group *g, const struct group_backend *b, uint64_t sum)
{
	uint64_t w = b->conf.weight == 0 ? 1 : b->conf.weight;

	return g->nslots * w * (100 + LOAD_SLACK_PERCENT) / (sum * 100) + 1;
}

/* The backend server below its bound on load with the highest score for the
 * slot, or NULL. */
static struct group_backend *
best_backend(struct dh_group *g, uint32_t slot, uint64_t excluded, bool alive,
    uint64_t sum)
{
	struct group_backend *b, *top = NULL;
	double score, top_score = 0;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		if (!eligible(b) || b->conf.id == excluded ||
		    (alive && !group_backend_answers(b)))
			continue;
		if (b->count + b->incoming >= load_cap(g, b, sum))
			continue;
		score = slot_score(b, slot);
		if (top == NULL || score > top_score) {
			top = b;
			top_score = score;
		}
	}
	return top;
}

uint64_t
group_spread_owner(struct dh_group *g, uint32_t slot, uint64_t excluded)
{
	uint64_t sum = total_weight(g, true);
	struct group_backend *b;

	if (sum == 0)
		return 0;
	b = best_backend(g, slot, excluded, true, sum);
	return b == NULL ? 0 : b->conf.id;
}

uint64_t
group_spread_standby(struct dh_group *g, uint32_t slot, uint64_t owner)
{
	const struct group_backend *own = group_backend(g, owner);
	const struct group_backend *b, *top = NULL;
	bool other, top_other = false;
	double score, top_score = 0;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		if (!eligible(b) || b->conf.id == owner ||
		    (g->mode == MODE_LEADING && b->suspect))
			continue;
		other = own == NULL || b->conf.zone != own->conf.zone;
		score = slot_score(b, slot);
		if (top == NULL || other > top_other ||
		    (other == top_other && score > top_score)) {
			top = b;
			top_other = other;
			top_score = score;
		}
	}
	return top == NULL ? 0 : top->conf.id;
}

void
group_spread_all(struct dh_group *g, struct dh_assignment *slots)
{
	uint64_t sum = total_weight(g, false);
	struct group_backend *b;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++)
		g->backends[i].count = g->backends[i].incoming = 0;
	for (i = 0; i < g->nslots && sum > 0; i++) {
		b = best_backend(g, i, 0, false, sum);
		if (b == NULL)
			continue;
		b->count++;
		slots[i].owner = b->conf.id;
		slots[i].standby = group_spread_standby(g, i, b->conf.id);
	}
	for (i = 0; i < g->nbackends; i++)
		g->backends[i].count = 0;
}
