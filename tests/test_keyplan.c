/*
 * Planning of owners under a played load: callers, routers that report what
 * they see and learn of owners late, backend servers with slots and queues,
 * and a leader that stores before it orders.  No network.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <dogwoodhub/keyspace.h>
#include <dogwoodhub/rng.h>

#include "tests/cunit_main.h"

#define SLOTS 6
#define QUEUE 24
#define STEP_MS 20
#define PLAN_MS 260
#define REPORT_MS 240
#define STORE_MS 20
#define PUBLISH_MS 160
#define ORDERS_MAX 4096
#define SERVERS_MAX 7000
#define REQUESTS_MAX 400000

struct load {
	uint32_t servers;
	double per_s; /* requests */
	double work_ms; /* of a backend server of mean speed */
	int64_t aim_ms;
	double hot_share; /* of the requests, while it is hot */
	uint32_t hot_first, hot_keys;
	int64_t hot_from_ms, hot_to_ms;
};

struct sent_order {
	struct dh_key_order o;
	int64_t due_ms;
};

struct request {
	int64_t first_ms, at_ms;
	uint32_t key;
	bool again; /* it was refused before */
};

struct play {
	struct load l;
	struct dh_keyspace *ks;
	struct dh_keyspace_server list[SERVERS_MAX];
	double speed[SERVERS_MAX];
	int64_t free_ms[SERVERS_MAX][SLOTS]; /* when each slot is free */
	uint32_t owner[DH_KEYS]; /* as routers know it, DH_NONE: none */
	uint32_t fresh[DH_KEYS]; /* seen, not reported yet */
	struct sent_order orders[ORDERS_MAX];
	size_t norders;
	struct request *back; /* refused callers, by time of return */
	size_t nback;
	struct dh_rng rng;
	int64_t now_ms;
	uint64_t serial; /* being stored */
	int64_t stored_ms;
	/* Callers that came while it was hot, since the time given. */
	int64_t counted_from_ms;
	uint32_t asked, served;
	double plan_ms; /* the longest step's processor time */
};

static const struct dh_keyspace_params params = { .hold_ms = 3000,
	.renew_ms = 750,
	.probe_ms = 250,
	.solo_ms = 15000,
	.drift_permille = 20,
	.margin_ms = 60 };

static double
cpu_ms(void)
{
	struct timespec t;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static struct play *
play_new(const struct load *l)
{
	static const double speeds[] = { 0.5, 1.0, 1.0, 1.5 };
	struct play *p = calloc(1, sizeof(*p));
	uint32_t i;

	if (p == NULL)
		abort();
	p->l = *l;
	p->rng.state = 11;
	p->ks = dh_keyspace_new(&params);
	p->back = calloc(REQUESTS_MAX, sizeof(*p->back));
	for (i = 0; i < l->servers; i++) {
		p->list[i] =
		    (struct dh_keyspace_server){ .born_ms = 1, .slots = SLOTS };
		(void)snprintf(p->list[i].id, sizeof(p->list[i].id), "%u", i);
		p->speed[i] = speeds[i % 4];
	}
	memset(p->owner, 0xff, sizeof(p->owner));
	dh_keyspace_take_over(p->ks, NULL, 0, 1, 0, 0);
	p->now_ms = 1;
	return p;
}

static void
play_free(struct play *p)
{
	dh_keyspace_free(p->ks);
	free(p->back);
	free(p);
}

static void
learn_owners(struct play *p)
{
	const struct dh_key_range *r;
	uint32_t k;
	size_t i, n;

	(void)dh_keyspace_current(p->ks, &r, &n);
	for (i = 0; i < n; i++)
		for (k = r[i].from; k <= r[i].to; k++)
			p->owner[k] = r[i].settled && r[i].owner[0] != '\0'
			    ? (uint32_t)strtoul(r[i].owner, NULL, 10)
			    : DH_NONE;
}

/* A release is answered when the work of those keys has ended. */
static void
order(struct play *p, const struct dh_key_order *o)
{
	uint32_t s = (uint32_t)strtoul(o->server, NULL, 10);
	int64_t ms = STEP_MS;

	if (o->kind == DH_KEY_RELEASE)
		ms = (int64_t)(p->l.work_ms / p->speed[s]);
	if (p->norders == ORDERS_MAX)
		abort();
	p->orders[p->norders++] = (struct sent_order){ *o, p->now_ms + ms };
}

static void
lead(struct play *p)
{
	const struct dh_key_range *r;
	struct dh_key_order o;
	uint64_t next;
	size_t i, n;
	double began;

	for (i = 0; i < p->norders;) {
		if (p->now_ms < p->orders[i].due_ms) {
			i++;
			continue;
		}
		(void)dh_keyspace_answer(p->ks, p->orders[i].o.ticket,
		    DH_KEY_ACCEPTED, "warm", p->now_ms);
		p->orders[i] = p->orders[--p->norders];
	}
	if (p->now_ms / PLAN_MS != (p->now_ms - STEP_MS) / PLAN_MS ||
	    p->now_ms < STEP_MS) {
		dh_keyspace_set_servers(p->ks, p->list, p->l.servers);
		began = cpu_ms();
		dh_keyspace_plan(p->ks, p->now_ms);
		began = cpu_ms() - began;
		if (began > p->plan_ms && p->now_ms > 2000)
			p->plan_ms = began;
	}
	if (p->serial != 0 && p->now_ms >= p->stored_ms) {
		dh_keyspace_stored(p->ks, p->serial);
		p->serial = 0;
	}
	if (p->serial == 0) {
		p->serial = dh_keyspace_export(p->ks, p->now_ms, &r, &n, &next);
		p->stored_ms = p->now_ms + STORE_MS;
	}
	while (
	    p->norders < ORDERS_MAX && dh_keyspace_next(p->ks, p->now_ms, &o))
		order(p, &o);
}

static bool
counted(const struct play *p, const struct request *rq)
{
	return rq->first_ms >= p->counted_from_ms &&
	    rq->first_ms < p->l.hot_to_ms;
}

/* Returns whether the owner's queue takes it; *end_ms: its answer. */
static bool
serve(struct play *p, uint32_t s, int64_t *end_ms)
{
	double work_ms =
	    p->l.work_ms / p->speed[s] * (0.7 + 0.6 * dh_rng_unit(&p->rng));
	int64_t behind_ms = 0;
	int i, best = 0;

	for (i = 0; i < SLOTS; i++) {
		if (p->free_ms[s][i] < p->free_ms[s][best])
			best = i;
		if (p->free_ms[s][i] > p->now_ms)
			behind_ms += p->free_ms[s][i] - p->now_ms;
	}
	if (behind_ms > (int64_t)((SLOTS + QUEUE) * work_ms))
		return false;
	if (p->free_ms[s][best] < p->now_ms)
		p->free_ms[s][best] = p->now_ms;
	p->free_ms[s][best] += (int64_t)work_ms;
	*end_ms = p->free_ms[s][best];
	return true;
}

static void
ask(struct play *p, struct request rq)
{
	uint32_t s = p->owner[rq.key];
	int64_t end_ms = 0;

	p->fresh[rq.key]++;
	p->asked += counted(p, &rq) && !rq.again;
	if (s != DH_NONE && serve(p, s, &end_ms)) {
		p->served +=
		    counted(p, &rq) && end_ms - rq.first_ms <= p->l.aim_ms;
		return;
	}
	if (rq.again || p->nback == REQUESTS_MAX)
		return;
	rq.again = true;
	rq.at_ms = p->now_ms + 600 + (int64_t)dh_rng_below(&p->rng, 800);
	p->back[p->nback++] = rq;
}

static void
callers(struct play *p)
{
	bool hot = p->now_ms >= p->l.hot_from_ms && p->now_ms < p->l.hot_to_ms;
	uint32_t due =
	    (uint32_t)(p->l.per_s * STEP_MS / 1000.0 + dh_rng_unit(&p->rng));
	struct request rq = { .first_ms = p->now_ms, .at_ms = p->now_ms };
	size_t i;

	for (; due > 0; due--) {
		rq.key = hot && dh_rng_unit(&p->rng) < p->l.hot_share
		    ? p->l.hot_first +
			(uint32_t)dh_rng_below(&p->rng, p->l.hot_keys)
		    : (uint32_t)dh_rng_below(&p->rng, DH_KEYS);
		ask(p, rq);
	}
	for (i = 0; i < p->nback;) {
		rq = p->back[i];
		if (rq.at_ms > p->now_ms) {
			i++;
			continue;
		}
		p->back[i] = p->back[--p->nback];
		ask(p, rq);
	}
}

static void
report(struct play *p)
{
	uint32_t k;

	for (k = 0; k < DH_KEYS; k++)
		for (; p->fresh[k] > 0; p->fresh[k]--)
			dh_keyspace_demand(p->ks, k);
	for (k = 0; k < p->l.servers; k++)
		dh_keyspace_measured(
		    p->ks, p->list[k].id, p->l.work_ms / p->speed[k], 8);
}

static void
play_until(struct play *p, int64_t end_ms)
{
	for (; p->now_ms < end_ms; p->now_ms += STEP_MS) {
		lead(p);
		if (p->now_ms / PUBLISH_MS !=
		    (p->now_ms - STEP_MS) / PUBLISH_MS)
			learn_owners(p);
		callers(p);
		if (p->now_ms / REPORT_MS != (p->now_ms - STEP_MS) / REPORT_MS)
			report(p);
	}
}

/*
 * A load like that of the large fleet: 446 backend servers at two fifths of
 * what they can do, then neighbouring keys take a third of all requests.
 * There is room for all; from two seconds on nine in ten callers are to be
 * served in time.
 */
static void
check_hot(uint32_t keys, double share, double part)
{
	struct load l = { .servers = 446,
		.per_s = 1734,
		.work_ms = 560,
		.aim_ms = 2000,
		.hot_share = share,
		.hot_first = 30011,
		.hot_keys = keys,
		.hot_from_ms = 12000,
		.hot_to_ms = 17000 };
	struct play *p = play_new(&l);

	p->counted_from_ms = l.hot_from_ms + 2000;
	play_until(p, l.hot_to_ms + 3000);
	printf("%u keys: %u of %u in time, %u ranges, %.2f of the keys moved, "
	       "a step %.1f ms ... ",
	    keys, p->served, p->asked, dh_keyspace_stats(p->ks).ranges,
	    (double)dh_keyspace_stats(p->ks).keys_moved / DH_KEYS - 1,
	    p->plan_ms);
	CU_ASSERT_TRUE(p->served > part * p->asked);
	play_free(p);
}

static void
test_two_hundred_hot_keys(void)
{
	check_hot(200, 0.32, 0.9);
}

/* Each fills a backend server alone: the fastest take most of it. */
static void
test_sixty_hot_keys(void)
{
	check_hot(60, 0.25, 0.9);
}

/* One key beyond any owner does not keep others from being evened out. */
static void
test_hot_keys_beside_one_that_is_too_hot(void)
{
	struct load l = { .servers = 60,
		.per_s = 300,
		.work_ms = 560,
		.aim_ms = 2000,
		.hot_share = 0.4,
		.hot_first = 500,
		.hot_keys = 40,
		.hot_from_ms = 8000,
		.hot_to_ms = 14000 };
	struct play *p = play_new(&l);
	uint32_t i;

	p->counted_from_ms = l.hot_from_ms + 2000;
	for (; p->now_ms < l.hot_to_ms; play_until(p, p->now_ms + 100))
		for (i = 0; i < 10; i++) /* 100 a second beside */
			dh_keyspace_demand(p->ks, 60000);
	printf("%u of %u in time ... ", p->served, p->asked);
	CU_ASSERT_TRUE(p->served > 0.85 * p->asked);
	play_free(p);
}

/* Few requests for each of many backend servers: chance moves next to
 * nothing, once speeds are known. */
static void
test_chance_moves_few_keys(void)
{
	struct load l = { .servers = 446,
		.per_s = 1734,
		.work_ms = 560,
		.aim_ms = 2000,
		.hot_keys = 1 };
	struct play *p = play_new(&l);
	uint64_t before;

	play_until(p, 10000);
	before = dh_keyspace_stats(p->ks).keys_moved;
	play_until(p, 30000);
	before = dh_keyspace_stats(p->ks).keys_moved - before;
	printf("%llu keys moved ... ", (unsigned long long)before);
	CU_ASSERT_TRUE(before < DH_KEYS / 20);
	play_free(p);
}

/* As many backend servers as the largest fleet has: 400 hot keys are spread
 * over most of as many owners within two seconds. */
static void
test_largest_fleet(void)
{
	struct load l = { .servers = SERVERS_MAX,
		.per_s = 20000,
		.work_ms = 560,
		.aim_ms = 2000,
		.hot_share = 0.3,
		.hot_first = 100,
		.hot_keys = 400,
		.hot_from_ms = 3000,
		.hot_to_ms = 5000 };
	struct play *p = play_new(&l);
	uint32_t owners = 0, i;

	play_until(p, 5000);
	for (i = 1; i < l.hot_keys; i++)
		owners +=
		    p->owner[l.hot_first + i] != p->owner[l.hot_first + i - 1];
	printf("%u changes of owner among %u hot keys, a step %.1f ms at %u "
	       "backend servers, %u ranges ... ",
	    owners, l.hot_keys, p->plan_ms, l.servers,
	    dh_keyspace_stats(p->ks).ranges);
	CU_ASSERT_TRUE(owners > l.hot_keys * 3 / 4);
	play_free(p);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "200 hot keys", test_two_hundred_hot_keys },
		{ "60 hot keys", test_sixty_hot_keys },
		{ "beside a key too hot",
		    test_hot_keys_beside_one_that_is_too_hot },
		{ "chance", test_chance_moves_few_keys },
		{ "largest fleet", test_largest_fleet },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("keyplan", tests);
}
