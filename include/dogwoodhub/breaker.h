#ifndef DOGWOODHUB_BREAKER_H
#define DOGWOODHUB_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/rng.h>

/*
 * A router's circuit breaker for one backend server, driven by the results of
 * the router's own requests.  A response that sheds load is an answer and does
 * not count as a failure.
 *
 * Health reports about the backend server are only advice: a bad report lowers
 * the number of failures that open the breaker, a good one brings the next
 * probe forward; neither opens or closes the breaker by itself.
 */

struct dh_breaker_params {
	uint32_t failures; /* consecutive failures that open the breaker */
	uint32_t percent; /* failure rate in a window that opens the breaker */
	uint32_t window; /* size of the window in requests */
	uint32_t probes; /* answered probes needed to close the breaker */
	int64_t open_ms; /* first open period; doubles each time that the
			  * breaker opens again before it has closed */
	int64_t max_open_ms; /* upper bound of the open period */
};

enum dh_breaker_state {
	DH_BREAKER_CLOSED, /* requests pass */
	DH_BREAKER_OPEN, /* requests are refused */
	DH_BREAKER_HALF_OPEN, /* one probe request passes at a time */
};

enum dh_breaker_advice {
	DH_BREAKER_ADVICE_NONE,
	DH_BREAKER_ADVICE_BAD, /* reported unhealthy */
	DH_BREAKER_ADVICE_GOOD, /* reported healthy */
};

/* The caller owns the breaker and initialises it to all zeros, which is the
 * closed state.  The fields are private. */
struct dh_breaker {
	enum dh_breaker_state state;
	enum dh_breaker_advice advice;
	bool probing; /* a probe is in flight */
	uint32_t epoch; /* incremented each time that the breaker opens */
	uint32_t failures; /* consecutive failures */
	uint32_t seen, bad; /* requests and failures in the window */
	uint32_t good; /* consecutive answered probes */
	uint32_t opened; /* times opened since the breaker was last closed */
	int64_t opened_ms; /* time of the last opening */
	int64_t until_ms; /* end of the open period */
};

enum dh_breaker_verdict {
	DH_BREAKER_PASS, /* send the request */
	DH_BREAKER_REFUSE, /* don't send it; retry after retry_after_ms */
};

/* Result of dh_breaker_admit(); keep it with the request for
 * dh_breaker_record(). */
struct dh_breaker_decision {
	enum dh_breaker_verdict verdict;
	bool probe; /* the request is a probe */
	uint32_t epoch; /* the breaker's epoch when the request passed */
	int64_t retry_after_ms;
};

enum dh_breaker_result {
	DH_BREAKER_ANSWERED, /* any response, including one that sheds load */
	DH_BREAKER_FAILED, /* connection failed or response timed out */
	DH_BREAKER_CANCELLED, /* cancelled by the router, or not sent */
};

/* dh_breaker_admit -- decide whether a request may be sent.  A request that
 * passes must be ended by dh_breaker_record(). */
struct dh_breaker_decision dh_breaker_admit(
    struct dh_breaker *b, const struct dh_breaker_params *p, int64_t now_ms);

/* dh_breaker_record -- record the result of a request that passed.  The result
 * of a request sent before the breaker last opened is ignored: it says nothing
 * about the present state of the backend server. */
void dh_breaker_record(struct dh_breaker *b, const struct dh_breaker_params *p,
    const struct dh_breaker_decision *pass, enum dh_breaker_result result,
    struct dh_rng *rng, int64_t now_ms);

/* dh_breaker_advise -- set the advice of the latest health report. */
void dh_breaker_advise(struct dh_breaker *b, const struct dh_breaker_params *p,
    enum dh_breaker_advice advice, int64_t now_ms);

#endif
