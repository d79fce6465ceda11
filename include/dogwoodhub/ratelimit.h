#ifndef DOGWOODHUB_RATELIMIT_H
#define DOGWOODHUB_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/rng.h>

/*
 * Keeps the rate limit that a backend server names for all routers together.
 *
 * Every router admits the same fraction of the requests that it would send to
 * the backend server, so that callers of all routers are treated alike and no
 * router needs a minimum of its own.  One router, the leader, adds up what all
 * have offered and admitted, and shares the fraction.  A router that the leader
 * does not reach admits an equal share of the limit.
 *
 * The functions have no side effects beyond their arguments and read no clock.
 */

/* No limit; any negative number is one. */
#define DH_RATE_UNLIMITED (-1.0)

/* Counts events over the last four seconds.  A zeroed meter is empty. */
#define DH_RATE_METER_SLOTS 16
struct dh_rate_meter {
	int64_t slot; /* number of the current slot */
	uint32_t counts[DH_RATE_METER_SLOTS]; /* by slot number */
};

/* dh_rate_meter_add -- count n events at now_ms. */
void dh_rate_meter_add(struct dh_rate_meter *m, uint32_t n, int64_t now_ms);

/* dh_rate_meter_per_s -- events per second: the higher of the rates over the
 * last half second and over the last four seconds, so that it follows a rise at
 * once and a fall late. */
double dh_rate_meter_per_s(const struct dh_rate_meter *m, int64_t now_ms);

/* One router's state of the limit of one backend server. */
struct dh_rate_limit {
	double named_per_s; /* by the last answer to this router */
	int64_t answered_ms; /* time of that answer; 0: none */
	double shared_per_s; /* by the leader */
	double shared_fraction; /* of the requests that are admitted */
	int64_t shared_ms; /* when the leader last shared them; 0: never */
	double start_per_s; /* while the backend server starts */
	int64_t start_until_ms; /* end of that; 0: it is not known to start */
	struct dh_rate_meter offered; /* this router's demand */
	int64_t offered_ms; /* time of the last request */
	/* Sum of the fractions that were to be admitted of all requests so far,
	 * less the requests that were: below 1. */
	double credit;
};

/* dh_rate_limit_init -- start without a limit.  A random start keeps routers
 * from admitting at the same time. */
void dh_rate_limit_init(struct dh_rate_limit *l, struct dh_rng *rng);

/* dh_rate_limit_answered -- an answer of the backend server named the limit
 * per_s, or none if per_s is negative. */
void dh_rate_limit_answered(
    struct dh_rate_limit *l, double per_s, int64_t now_ms);

/* dh_rate_limit_share -- the leader shared the limit per_s and the fraction of
 * requests to admit; with a negative per_s it knows of no limit. */
void dh_rate_limit_share(
    struct dh_rate_limit *l, double per_s, double fraction, int64_t now_ms);

/*
 * dh_rate_limit_set_start -- until until_ms the backend server starts, and
 * bears per_s requests per second from all routers.  This limit holds at once,
 * whether the leader has shared it or not, and other than a limit that the
 * backend server names, it may not be exceeded while the routers learn of a
 * rise of the demand: whatever the leader shares, a router admits at most twice
 * its equal share.
 */
void dh_rate_limit_set_start(
    struct dh_rate_limit *l, double per_s, int64_t until_ms);

/* Requests of all routers for one backend server, added up by the leader. */
struct dh_rate_total {
	struct dh_rate_meter offered, admitted;
};

/* dh_rate_total_add -- count the requests that a router has reported. */
void dh_rate_total_add(struct dh_rate_total *t, uint32_t offered,
    uint32_t admitted, int64_t now_ms);

/* dh_rate_total_fraction -- the fraction of requests that all routers have to
 * admit to keep the limit per_s, from 0 to 1. */
double dh_rate_total_fraction(
    const struct dh_rate_total *t, double per_s, int64_t now_ms);

/* dh_rate_limit_per_s -- the limit in force; negative: none. */
double dh_rate_limit_per_s(const struct dh_rate_limit *l, int64_t now_ms);

/* dh_rate_limit_admit -- count a request that would be sent to the backend
 * server, and decide whether it may be.  routers is the number of routers that
 * share the limit, this one included; 0: not known, and then a starting backend
 * server gets no request. */
bool dh_rate_limit_admit(
    struct dh_rate_limit *l, uint32_t routers, int64_t now_ms);

#endif
