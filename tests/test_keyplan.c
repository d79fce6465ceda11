/*
 * Tests of the assignment of keys with a simulated load, without a network.
 * Simulated are callers, routers that report requests and learn of new owners
 * with a delay, backend servers with slots and queues, and a leader that stores
 * its record before it sends orders.
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
	double per_s; /* requests per second */
	double service_ms; /* service time of a backend server of speed 1 */
	int64_t target_latency_ms; /* a request counts as served up to this */
	double hot_share; /* fraction of requests for the hot keys */
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
	bool repeated; /* the request was refused before */
};

struct simulation {
	struct load l;
	struct dh_keyspace *ks;
	struct dh_keyspace_server list[SERVERS_MAX];
	double speed[SERVERS_MAX];
	/* When each slot of a backend server becomes free. */
	int64_t slot_end_ms[SERVERS_MAX][SLOTS];
	uint32_t owner[DH_KEYS]; /* known to the routers; DH_NONE if none */
	uint32_t unreported[DH_KEYS]; /* requests not reported yet */
	struct sent_order orders[ORDERS_MAX];
	size_t norders;
	struct request *refused; /* refused requests to be repeated */
	size_t nrefused;
	struct dh_rng rng;
	int64_t now_ms;
	uint64_t serial; /* of the record being stored; 0: none */
	int64_t stored_ms;
	/* Requests first sent from counted_from_ms to the end of the hot
	 * period, and those of them that were served in time. */
	int64_t counted_from_ms;
	uint32_t requests, served;
	double plan_max_ms; /* longest processor time of a plan */
};

static const struct dh_keyspace_params params = { .lease_ms = 3000,
	.renew_ms = 750,
	.probe_ms = 250,
	.storeless_max_ms = 15000,
	.drift_permille = 20,
	.margin_ms = 60 };

static double
cpu_ms(void)
{
	struct timespec t;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static struct simulation *
simulation_new(const struct load *l)
{
	static const double speeds[] = { 0.5, 1.0, 1.0, 1.5 };
	struct simulation *p = calloc(1, sizeof(*p));
	uint32_t i;

	if (p == NULL)
		abort();
	p->l = *l;
	p->rng.state = 11;
	p->ks = dh_keyspace_new(&params);
	p->refused = calloc(REQUESTS_MAX, sizeof(*p->refused));
	for (i = 0; i < l->servers; i++) {
		p->list[i] = (struct dh_keyspace_server){ .start_ms = 1,
			.slots = SLOTS };
		(void)snprintf(p->list[i].id, sizeof(p->list[i].id), "%u", i);
		p->speed[i] = speeds[i % 4];
	}
	memset(p->owner, 0xff, sizeof(p->owner));
	dh_keyspace_take_over(p->ks, NULL, 0, 1, 0, 0);
	p->now_ms = 1;
	return p;
}

static void
simulation_free(struct simulation *p)
{
	dh_keyspace_free(p->ks);
	free(p->refused);
	free(p);
}

static void
learn_owners(struct simulation *p)
{
	const struct dh_key_range *r;
	uint32_t k;
	size_t i, n;

	(void)dh_keyspace_current_ranges(p->ks, &r, &n);
	for (i = 0; i < n; i++)
		for (k = r[i].from; k <= r[i].to; k++)
			p->owner[k] = r[i].settled && r[i].owner[0] != '\0'
			    ? (uint32_t)strtoul(r[i].owner, NULL, 10)
			    : DH_NONE;
}

/* Sends an order.  A release is answered after the service time of a request,
 * when the requests for the released keys have ended. */
static void
send_order(struct simulation *p, const struct dh_key_order *o)
{
	uint32_t s = (uint32_t)strtoul(o->server, NULL, 10);
	int64_t ms = STEP_MS;

	if (o->kind == DH_KEY_RELEASE)
		ms = (int64_t)(p->l.service_ms / p->speed[s]);
	if (p->norders == ORDERS_MAX)
		abort();
	p->orders[p->norders++] = (struct sent_order){ *o, p->now_ms + ms };
}

static void
run_leader(struct simulation *p)
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
		(void)dh_keyspace_handle_answer(p->ks, p->orders[i].o.order_id,
		    DH_KEY_ACCEPTED, "warm", p->now_ms);
		p->orders[i] = p->orders[--p->norders];
	}
	if (p->now_ms / PLAN_MS != (p->now_ms - STEP_MS) / PLAN_MS ||
	    p->now_ms < STEP_MS) {
		dh_keyspace_set_servers(p->ks, p->list, p->l.servers);
		began = cpu_ms();
		dh_keyspace_plan(p->ks, p->now_ms);
		began = cpu_ms() - began;
		if (began > p->plan_max_ms && p->now_ms > 2000)
			p->plan_max_ms = began;
	}
	if (p->serial != 0 && p->now_ms >= p->stored_ms) {
		dh_keyspace_record_stored(p->ks, p->serial);
		p->serial = 0;
	}
	if (p->serial == 0) {
		p->serial = dh_keyspace_export(p->ks, p->now_ms, &r, &n, &next);
		p->stored_ms = p->now_ms + STORE_MS;
	}
	while (p->norders < ORDERS_MAX &&
	    dh_keyspace_next_order(p->ks, p->now_ms, &o))
		send_order(p, &o);
}

static bool
is_counted(const struct simulation *p, const struct request *rq)
{
	return rq->first_ms >= p->counted_from_ms &&
	    rq->first_ms < p->l.hot_to_ms;
}

/* Returns whether the owner's queue accepts a request, and sets *end_ms to the
 * time of the answer. */
static bool
enqueue(struct simulation *p, uint32_t s, int64_t *end_ms)
{
	double service_ms =
	    p->l.service_ms / p->speed[s] * (0.7 + 0.6 * dh_rng_unit(&p->rng));
	int64_t queued_ms = 0;
	int i, best = 0;

	for (i = 0; i < SLOTS; i++) {
		if (p->slot_end_ms[s][i] < p->slot_end_ms[s][best])
			best = i;
		if (p->slot_end_ms[s][i] > p->now_ms)
			queued_ms += p->slot_end_ms[s][i] - p->now_ms;
	}
	if (queued_ms > (int64_t)((SLOTS + QUEUE) * service_ms))
		return false;
	if (p->slot_end_ms[s][best] < p->now_ms)
		p->slot_end_ms[s][best] = p->now_ms;
	p->slot_end_ms[s][best] += (int64_t)service_ms;
	*end_ms = p->slot_end_ms[s][best];
	return true;
}

static void
send_request(struct simulation *p, struct request rq)
{
	uint32_t s = p->owner[rq.key];
	int64_t end_ms = 0;

	p->unreported[rq.key]++;
	p->requests += is_counted(p, &rq) && !rq.repeated;
	if (s != DH_NONE && enqueue(p, s, &end_ms)) {
		p->served += is_counted(p, &rq) &&
		    end_ms - rq.first_ms <= p->l.target_latency_ms;
		return;
	}
	if (rq.repeated || p->nrefused == REQUESTS_MAX)
		return;
	rq.repeated = true;
	rq.at_ms = p->now_ms + 600 + (int64_t)dh_rng_below(&p->rng, 800);
	p->refused[p->nrefused++] = rq;
}

static void
run_callers(struct simulation *p)
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
		send_request(p, rq);
	}
	for (i = 0; i < p->nrefused;) {
		rq = p->refused[i];
		if (rq.at_ms > p->now_ms) {
			i++;
			continue;
		}
		p->refused[i] = p->refused[--p->nrefused];
		send_request(p, rq);
	}
}

static void
send_reports(struct simulation *p)
{
	uint32_t k;

	for (k = 0; k < DH_KEYS; k++)
		for (; p->unreported[k] > 0; p->unreported[k]--)
			dh_keyspace_count_request(p->ks, k);
	for (k = 0; k < p->l.servers; k++)
		dh_keyspace_add_service_time(
		    p->ks, p->list[k].id, p->l.service_ms / p->speed[k], 8);
}

static void
simulate_until(struct simulation *p, int64_t end_ms)
{
	for (; p->now_ms < end_ms; p->now_ms += STEP_MS) {
		run_leader(p);
		if (p->now_ms / PUBLISH_MS !=
		    (p->now_ms - STEP_MS) / PUBLISH_MS)
			learn_owners(p);
		run_callers(p);
		if (p->now_ms / REPORT_MS != (p->now_ms - STEP_MS) / REPORT_MS)
			send_reports(p);
	}
}

/*
 * The load of a large fleet: 446 backend servers at 40 % utilization, then a
 * block of adjacent keys takes a third of all requests.  The capacity suffices
 * for all requests; from 2 s after the change on, 90 % of the requests must be
 * served in time.
 */
static void
check_hot_keys(uint32_t keys, double share, double part)
{
	struct load l = { .servers = 446,
		.per_s = 1734,
		.service_ms = 560,
		.target_latency_ms = 2000,
		.hot_share = share,
		.hot_first = 30011,
		.hot_keys = keys,
		.hot_from_ms = 12000,
		.hot_to_ms = 17000 };
	struct simulation *p = simulation_new(&l);

	p->counted_from_ms = l.hot_from_ms + 2000;
	simulate_until(p, l.hot_to_ms + 3000);
	printf("%u keys: %u of %u in time, %u ranges, %.2f of the keys moved, "
	       "longest plan %.1f ms ... ",
	    keys, p->served, p->requests, dh_keyspace_stats(p->ks).ranges,
	    (double)dh_keyspace_stats(p->ks).keys_moved / DH_KEYS - 1,
	    p->plan_max_ms);
	CU_ASSERT_TRUE(p->served > part * p->requests);
	simulation_free(p);
}

static void
test_two_hundred_hot_keys(void)
{
	check_hot_keys(200, 0.32, 0.9);
}

/* Each hot key takes the whole capacity of a backend server; the fastest ones
 * serve most of the requests. */
static void
test_sixty_hot_keys(void)
{
	check_hot_keys(60, 0.25, 0.9);
}

/* A key whose demand exceeds the capacity of any owner must not keep other keys
 * from being balanced. */
static void
test_hot_keys_beside_an_overloaded_key(void)
{
	struct load l = { .servers = 60,
		.per_s = 300,
		.service_ms = 560,
		.target_latency_ms = 2000,
		.hot_share = 0.4,
		.hot_first = 500,
		.hot_keys = 40,
		.hot_from_ms = 8000,
		.hot_to_ms = 14000 };
	struct simulation *p = simulation_new(&l);
	uint32_t i;

	p->counted_from_ms = l.hot_from_ms + 2000;
	for (; p->now_ms < l.hot_to_ms; simulate_until(p, p->now_ms + 100))
		for (i = 0; i < 10; i++) /* 100 more requests per second */
			dh_keyspace_count_request(p->ks, 60000);
	printf("%u of %u in time ... ", p->served, p->requests);
	CU_ASSERT_TRUE(p->served > 0.85 * p->requests);
	simulation_free(p);
}

/* Each of many backend servers gets few requests.  Once service times are
 * known, random variation must cause almost no moves. */
static void
test_random_variation_moves_few_keys(void)
{
	struct load l = { .servers = 446,
		.per_s = 1734,
		.service_ms = 560,
		.target_latency_ms = 2000,
		.hot_keys = 1 };
	struct simulation *p = simulation_new(&l);
	uint64_t before;

	simulate_until(p, 10000);
	before = dh_keyspace_stats(p->ks).keys_moved;
	simulate_until(p, 30000);
	before = dh_keyspace_stats(p->ks).keys_moved - before;
	printf("%llu keys moved ... ", (unsigned long long)before);
	CU_ASSERT_TRUE(before < DH_KEYS / 20);
	simulation_free(p);
}

/* Requests per second for the keys of a backend server. */
static double
load_of(const struct simulation *p, uint32_t server)
{
	uint32_t k, keys = 0;

	for (k = 0; k < DH_KEYS; k++)
		keys += p->owner[k] == server;
	return p->l.per_s * keys / DH_KEYS;
}

/* A backend server that takes fewer requests than it has slots for gives keys
 * away until the rest fits, and gets none while it is limited. */
static void
test_rate_limit_moves_keys_away(void)
{
	struct load l = { .servers = 20,
		.per_s = 400,
		.service_ms = 100,
		.target_latency_ms = 400,
		.hot_keys = 1 };
	struct simulation *p = simulation_new(&l);

	simulate_until(p, 8000);
	CU_ASSERT_TRUE(load_of(p, 3) > 10);
	p->list[3].limited = true;
	p->list[3].rate_limit_per_s = 3;
	simulate_until(p, 10500);
	printf("%.1f requests a second after 2.5 s ... ", load_of(p, 3));
	CU_ASSERT_TRUE(load_of(p, 3) <= 3);
	simulate_until(p, 16000);
	CU_ASSERT_TRUE(load_of(p, 3) <= 3);
	/* The limit is lifted: keys come back. */
	p->list[3].limited = false;
	simulate_until(p, 24000);
	CU_ASSERT_TRUE(load_of(p, 3) > 5);
	simulation_free(p);
}

/* The number of backend servers of the largest fleet: 400 hot keys must be
 * spread over nearly as many owners within 2 s. */
static void
test_largest_fleet(void)
{
	struct load l = { .servers = SERVERS_MAX,
		.per_s = 20000,
		.service_ms = 560,
		.target_latency_ms = 2000,
		.hot_share = 0.3,
		.hot_first = 100,
		.hot_keys = 400,
		.hot_from_ms = 3000,
		.hot_to_ms = 5000 };
	struct simulation *p = simulation_new(&l);
	uint32_t owners = 0, i;

	simulate_until(p, 5000);
	for (i = 1; i < l.hot_keys; i++)
		owners +=
		    p->owner[l.hot_first + i] != p->owner[l.hot_first + i - 1];
	printf("%u changes of owner among %u hot keys, longest plan %.1f ms "
	       "at %u backend servers, %u ranges ... ",
	    owners, l.hot_keys, p->plan_max_ms, l.servers,
	    dh_keyspace_stats(p->ks).ranges);
	CU_ASSERT_TRUE(owners > l.hot_keys * 3 / 4);
	simulation_free(p);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "200 hot keys", test_two_hundred_hot_keys },
		{ "60 hot keys", test_sixty_hot_keys },
		{ "hot keys beside an overloaded key",
		    test_hot_keys_beside_an_overloaded_key },
		{ "random variation", test_random_variation_moves_few_keys },
		{ "rate limit", test_rate_limit_moves_keys_away },
		{ "largest fleet", test_largest_fleet },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("keyplan", tests);
}
