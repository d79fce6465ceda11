#ifndef DOGWOODHUB_BALANCE_H
#define DOGWOODHUB_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/rng.h>
#include <dogwoodhub/types.h>

/*
 * Choice of a backend server for services of kind `any`.  Of two random
 * candidates the one with the lower ratio of requests in flight to its limit is
 * chosen (power of two choices).  Candidates in the router's own availability
 * zone come first, then those in its region.  Other regions, to which links are
 * billed, are used only as far as a byte budget allows.
 */

/* Budget of bytes sent over billed links: a token bucket. */
struct dh_byte_budget {
	int64_t rate; /* bytes per second */
	int64_t burst; /* capacity in bytes */
	int64_t micro; /* millionths of a byte left; negative if overdrawn */
	int64_t filled_us; /* time of the last refill */
};

void dh_byte_budget_init(
    struct dh_byte_budget *b, int64_t rate, int64_t burst, int64_t now_us);

/* dh_byte_budget_left -- refill the budget and return the bytes left, negative
 * if overdrawn. */
int64_t dh_byte_budget_left(struct dh_byte_budget *b, int64_t now_us);

/* dh_byte_budget_settle -- correct the budget for a request that was charged
 * with planned bytes and took used bytes. */
void dh_byte_budget_settle(
    struct dh_byte_budget *b, int64_t planned, int64_t used);

/* Distance of a backend server from the router. */
enum dh_tier {
	DH_TIER_ZONE, /* same availability zone */
	DH_TIER_REGION, /* same region, another availability zone */
	DH_TIER_REMOTE, /* another region */
	DH_TIERS,
};

/* A backend server of the service.  zone and region are dh_name_id() of their
 * names. */
struct dh_balance_backend {
	uint32_t backend; /* index into the list of loads */
	uint64_t zone;
	uint64_t region;
};

/* Load of a backend server, as this router sees it. */
struct dh_balance_load {
	uint32_t running; /* this router's requests in flight */
	uint32_t limit_milli; /* limit, thousandths of a request; 0: unusable */
};

struct dh_balance;

/* dh_balance_new -- create the immutable set of candidates of one service, for
 * a router in the given availability zone and region.  list is copied.  Returns
 * NULL if out of memory. */
struct dh_balance *dh_balance_new(const struct dh_balance_backend *list,
    size_t n, uint64_t zone, uint64_t region);
void dh_balance_free(struct dh_balance *bal);

struct dh_balance_choice {
	uint32_t backend; /* DH_NONE: refuse the request as not run */
	enum dh_tier tier;
	int64_t retry_after_ms; /* set if backend is DH_NONE */
};

/*
 * dh_balance_pick -- choose a backend server for a request of the given size.
 * If the choice is in another region, bytes are taken from the budget.  A
 * backend server at its limit may be returned if no other is available; the
 * request is then expected to be queued.  If no backend server in the router's
 * region is usable, the budget may be overdrawn by one burst.  tried is the
 * backend server of the previous attempt, which is avoided if possible, or
 * DH_NONE.
 */
struct dh_balance_choice dh_balance_pick(const struct dh_balance *bal,
    const struct dh_balance_load *loads, struct dh_byte_budget *budget,
    int64_t bytes, uint32_t tried, struct dh_rng *rng, int64_t now_us);

#endif
