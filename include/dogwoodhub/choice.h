#ifndef DOGWOODHUB_CHOICE_H
#define DOGWOODHUB_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/balance.h>
#include <dogwoodhub/rng.h>

/*
 * What a router knows of a backend server's load, and which backend server a
 * request goes to, or that it is refused.
 *
 * A request is sent where it is expected to be answered soonest, weighed
 * against the price of its bytes on links between availability zones and
 * regions.  It is refused at once when none is expected to answer within its
 * latency objective: what would be late makes all behind it late.  Less urgent
 * kinds are refused first.
 *
 * Pure; times are milliseconds.
 */
struct dh_backend_load {
	double work_ms; /* a request that does not wait; 0: not known */
	int64_t work_at_ms;
	/* Measured since it was last reported: the sum, and of how many. */
	double unreported_ms;
	uint32_t unreported;
	double others; /* requests of other routers there, estimated */
	int64_t others_at_ms;
	double failing; /* share of recent requests that failed there */
	int64_t failing_at_ms;
	uint32_t own; /* this router's requests there */
	int64_t down_until_ms; /* not to be asked before */
	int64_t held_until_ms; /* it has asked for nothing before */
	uint32_t down_times; /* in a row */
};

enum dh_reply_kind {
	DH_REPLY_GOOD,
	DH_REPLY_ERROR, /* it ran and failed */
	DH_REPLY_SHED, /* not run for want of room */
	DH_REPLY_LOST, /* none, or none that makes sense */
	DH_REPLY_UNREACHABLE, /* no connection; nothing was sent */
	DH_REPLY_OVERRUN, /* a new connection was reset at once */
	DH_REPLY_DROPPED, /* given up here: says nothing about it */
};

struct dh_reply {
	enum dh_reply_kind kind;
	int64_t latency_ms; /* from sending, the way there included */
	double way_ms; /* there and back */
	double ahead; /* dh_backend_ahead() when it was sent */
	uint32_t slots;
	bool has_load; /* the two below were told */
	uint32_t running, waiting;
	int64_t pause_ms; /* it wants no request for so long */
};

/* dh_backend_ahead -- requests there now, as far as is known. */
double dh_backend_ahead(const struct dh_backend_load *l, int64_t now_ms);

/* dh_backend_sent, dh_backend_replied -- each request that is sent there, and
 * what became of it. */
void dh_backend_sent(struct dh_backend_load *l);
void dh_backend_replied(
    struct dh_backend_load *l, const struct dh_reply *r, int64_t now_ms);

/* Prices and ways, by tier. */
struct dh_choice_params {
	double way_ms[DH_TIERS]; /* there and back */
	/* Longer answer times that a KiB less on this tier's links is worth. */
	double kib_ms[DH_TIERS];
	double work_ms; /* of a service of which nothing is known */
};

struct dh_candidate {
	const struct dh_backend_load *load;
	uint32_t slots;
	enum dh_tier tier;
	int64_t cold_until_ms; /* slow before */
	int64_t oldest_ms; /* age of this router's oldest request there */
	bool full; /* no connection is to be had */
	bool tried; /* this request was there */
};

struct dh_wish {
	int64_t target_left_ms; /* of the latency objective; may be negative */
	int64_t left_ms; /* until it must be answered */
	double kib; /* of request and answer, about */
	double work_ms; /* mean of the service, 0: not known */
	uint32_t rank; /* kinds of request here that are more urgent */
};

struct dh_choice {
	size_t index; /* SIZE_MAX: refused */
	size_t
	    nearest; /* when refused: closest to being in time, or SIZE_MAX */
	double expected_ms; /* there */
	int64_t retry_after_ms; /* when refused; below a third of left_ms */
};

/* dh_choose -- where to send a request. */
struct dh_choice dh_choose(const struct dh_choice_params *p,
    const struct dh_candidate *list, size_t n, const struct dh_wish *w,
    struct dh_rng *rng, int64_t now_ms);

/*
 * dh_choice_sample -- of a list in the order of tiers, which end at tier_end,
 * the positions to look at for one request: some of each tier, from a place
 * drawn anew.  As good as all of many, at a cost that does not grow with them;
 * but before a request is refused all are to be looked at.  All of a list that
 * is no longer than DH_SAMPLE_MAX.  Returns how many.
 */
#define DH_SAMPLE_MAX 64
size_t dh_choice_sample(const size_t tier_end[DH_TIERS], struct dh_rng *rng,
    uint32_t positions[DH_SAMPLE_MAX]);

/* Priorities of requests to one service that are told apart; 0 is the most
 * urgent, those above the last count as it. */
#define DH_PRIORITIES 8

/* When a request of each priority was last seen. */
struct dh_demand_seen {
	int64_t at_ms[DH_PRIORITIES];
};

/* dh_demand_rank -- note a request of this priority; how many more urgent ones
 * have been seen lately. */
uint32_t dh_demand_rank(
    struct dh_demand_seen *d, uint32_t priority, int64_t now_ms);

/* dh_retry_after_ms -- when a caller may come back: about after_ms, spread so
 * that the refused do not come together, and below a third of left_ms. */
int64_t dh_retry_after_ms(
    int64_t after_ms, int64_t left_ms, struct dh_rng *rng);

#endif
