#ifndef DOGWOODHUB_RETRY_H
#define DOGWOODHUB_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/rng.h>
#include <dogwoodhub/types.h>

/*
 * Retries of a router's requests to backend servers: only of what is safe,
 * only within the deadline, and only as a part of the first attempts, so that
 * retries can't multiply an overload.
 */

struct dh_retry_params {
	uint32_t percent; /* retries to first attempts */
	uint32_t burst; /* retries the budget holds at most, and at first */
	uint32_t max_attempts; /* of one request, the first included */
	int64_t base_ms; /* bound of the first pause; doubles each time */
	int64_t max_ms; /* bound of any pause */
};

/* One for each service; no memory of its own. */
struct dh_retry_budget {
	uint64_t centi; /* retries left, in hundredths */
};

/* An attempt that did not end well. */
struct dh_retry_attempt {
	enum dh_outcome outcome;
	bool idempotent; /* the method may run twice and is not marked
			  * unrepeatable */
	uint32_t number; /* 1 for the first */
	int64_t deadline_ms;
	int64_t latency_ms; /* what an attempt is expected to take */
	int64_t retry_after_ms; /* asked for by the backend server, or 0 */
};

enum dh_retry_verdict {
	DH_RETRY_AGAIN, /* after delay_ms */
	DH_RETRY_UNSAFE, /* it may have run */
	DH_RETRY_DEADLINE, /* would end too late */
	DH_RETRY_ATTEMPTS, /* made too many */
	DH_RETRY_BUDGET, /* budget spent */
};

struct dh_retry_decision {
	enum dh_retry_verdict verdict;
	int64_t delay_ms;
};

void dh_retry_budget_init(
    struct dh_retry_budget *b, const struct dh_retry_params *p);

/* dh_retry_first -- a first attempt was made: it earns its part. */
void dh_retry_first(struct dh_retry_budget *b, const struct dh_retry_params *p);

/*
 * dh_retry_decide -- may the request be sent again, and after which pause?
 * Takes from the budget only if so.  Any verdict but DH_RETRY_AGAIN is final:
 * the caller answers at once.
 */
struct dh_retry_decision dh_retry_decide(struct dh_retry_budget *b,
    const struct dh_retry_params *p, const struct dh_retry_attempt *at,
    struct dh_rng *rng, int64_t now_ms);

#endif
