#ifndef DOGWOODHUB_BALANCE_H
#define DOGWOODHUB_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/rng.h>
#include <dogwoodhub/types.h>

/*
 * Choice of a backend server for services of kind any: the better of two
 * random ones by requests in flight over what it may take, in the router's
 * own availability zone first, then in its region, and over the billed links
 * between regions only as far as a byte budget goes.
 */

/* Bytes over billed links: a token bucket. */
struct dh_byte_budget {
	int64_t rate; /* bytes a second */
	int64_t burst; /* bytes */
	int64_t micro; /* millionths of a byte left; may be negative */
	int64_t filled_us;
};

void dh_byte_budget_init(
    struct dh_byte_budget *b, int64_t rate, int64_t burst, int64_t now_us);

/* dh_byte_budget_left -- bytes left, negative when overdrawn. */
int64_t dh_byte_budget_left(struct dh_byte_budget *b, int64_t now_us);

/* dh_byte_budget_settle -- a request planned with planned bytes took used. */
void dh_byte_budget_settle(
    struct dh_byte_budget *b, int64_t planned, int64_t used);

enum dh_tier {
	DH_TIER_ZONE,
	DH_TIER_REGION,
	DH_TIER_REMOTE,
	DH_TIERS,
};

/* A backend server of the service; zone and region are dh_name_id()s. */
struct dh_balance_backend {
	uint32_t backend; /* index into the load list */
	uint64_t zone;
	uint64_t region;
};

struct dh_balance_load {
	uint32_t running; /* this router's requests in flight there */
	uint32_t limit_milli; /* what it may have; 0: unusable */
};

struct dh_balance;

/* dh_balance_new -- the candidates of one service as seen from a router in
 * the given availability zone and region; immutable.  list is copied.  NULL
 * without memory. */
struct dh_balance *dh_balance_new(const struct dh_balance_backend *list,
    size_t n, uint64_t zone, uint64_t region);
void dh_balance_free(struct dh_balance *bal);

struct dh_balance_choice {
	uint32_t backend; /* DH_NONE: refuse as not run */
	enum dh_tier tier;
	int64_t retry_after_ms; /* with DH_NONE */
};

/*
 * dh_balance_pick -- choose; takes bytes from the budget if the choice is in
 * another region.  A full choice may be returned when no other can be had: it
 * will queue.  With nothing usable in the own region, the budget may be
 * overdrawn by one burst.  tried (or DH_NONE) is avoided if possible: the
 * backend server of the attempt before.
 */
struct dh_balance_choice dh_balance_pick(const struct dh_balance *bal,
    const struct dh_balance_load *loads, struct dh_byte_budget *budget,
    int64_t bytes, uint32_t tried, struct dh_rng *rng, int64_t now_us);

#endif
