#ifndef DOGWOODHUB_RETRY_H
#define DOGWOODHUB_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/rng.h>
#include <dogwoodhub/types.h>

/*
 * Decides whether a router may retry a request to a backend server: only if it
 * is safe, only within the deadline, and only for a limited fraction of the
 * first attempts (the retry budget), so that retries cannot multiply an
 * overload.
 */

struct dh_retry_params {
	uint32_t percent; /* retries allowed per 100 first attempts */
	uint32_t burst; /* initial and maximum budget, in retries */
	uint32_t max_attempts; /* limit per request, the first included */
	int64_t base_ms; /* bound of the first delay; doubles each time */
	int64_t max_ms; /* bound of any delay */
};

/* The retry budget of a service.  Owns no memory. */
struct dh_retry_budget {
	uint64_t hundredths; /* remaining retries, in hundredths */
};

/* A failed attempt. */
struct dh_retry_attempt {
	enum dh_outcome outcome;
	/* The method may be executed twice, and the request is not marked as
	 * one that must not be repeated. */
	bool idempotent;
	uint32_t attempt; /* number of the attempt, from 1 */
	int64_t deadline_ms;
	int64_t latency_ms; /* expected duration of an attempt */
	int64_t retry_after_ms; /* requested by the backend server, or 0 */
};

enum dh_retry_verdict {
	DH_RETRY_ALLOWED, /* retry after delay_ms */
	DH_RETRY_UNSAFE, /* the request has or may have been executed */
	DH_RETRY_DEADLINE, /* a retry would not end before the deadline */
	DH_RETRY_MAX_ATTEMPTS, /* max_attempts have been made */
	DH_RETRY_BUDGET_SPENT, /* the retry budget is used up */
};

struct dh_retry_decision {
	enum dh_retry_verdict verdict;
	int64_t delay_ms; /* time to wait before the retry */
};

void dh_retry_budget_init(
    struct dh_retry_budget *b, const struct dh_retry_params *p);

/* dh_retry_count_first_attempt -- count a first attempt, which adds to the
 * budget. */
void dh_retry_count_first_attempt(
    struct dh_retry_budget *b, const struct dh_retry_params *p);

/*
 * dh_retry_decide -- decide whether the request may be retried, and after which
 * delay.  A retry takes 1 from the budget.  Any verdict other than
 * DH_RETRY_ALLOWED is final; the caller then has to answer the request.
 */
struct dh_retry_decision dh_retry_decide(struct dh_retry_budget *b,
    const struct dh_retry_params *p, const struct dh_retry_attempt *at,
    struct dh_rng *rng, int64_t now_ms);

#endif
