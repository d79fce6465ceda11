#ifndef DOGWOODHUB_BREAKER_H
#define DOGWOODHUB_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/rng.h>

/*
 * A circuit breaker for one backend server, fed by what the router sees of
 * its own requests.  Refusals (sheds) are answers: they don't open it.
 * Reports only advise: a bad one lowers the number of own failures needed, a
 * good one brings the next probe forward; neither opens nor closes it.
 */

struct dh_breaker_params {
	uint32_t failures; /* in a row that open it */
	uint32_t percent; /* of failures in a window that opens it... */
	uint32_t window; /* ...of so many requests */
	uint32_t probes; /* answers in a row that close it */
	int64_t open_ms; /* first time open; doubles each time in a row */
	int64_t max_open_ms;
};

enum dh_breaker_state {
	DH_BREAKER_CLOSED,
	DH_BREAKER_OPEN,
	DH_BREAKER_HALF_OPEN, /* one probe at a time */
};

enum dh_breaker_advice {
	DH_BREAKER_ADVICE_NONE,
	DH_BREAKER_ADVICE_BAD, /* reports say unhealthy */
	DH_BREAKER_ADVICE_GOOD,
};

/* The caller owns it and zeroes it first; fields are private. */
struct dh_breaker {
	enum dh_breaker_state state;
	enum dh_breaker_advice advice;
	bool probing; /* a probe is under way */
	uint32_t epoch; /* rises when it opens */
	uint32_t failures; /* in a row */
	uint32_t seen, bad; /* in the window */
	uint32_t good; /* probes answered in a row */
	uint32_t opened; /* times in a row */
	int64_t opened_ms;
	int64_t until_ms; /* open until then */
};

enum dh_breaker_verdict {
	DH_BREAKER_PASS,
	DH_BREAKER_REFUSE, /* not run; come back after retry_after_ms */
};

/* dh_breaker_ask's answer; keep it with the request for dh_breaker_end(). */
struct dh_breaker_pass {
	enum dh_breaker_verdict verdict;
	bool probe;
	uint32_t epoch;
	int64_t retry_after_ms;
};

enum dh_breaker_result {
	DH_BREAKER_ANSWERED, /* any answer, a refusal included */
	DH_BREAKER_FAILED, /* no connection, no answer in time */
	DH_BREAKER_UNUSED, /* given up on our side, or never sent */
};

struct dh_breaker_pass dh_breaker_ask(
    struct dh_breaker *b, const struct dh_breaker_params *p, int64_t now_ms);

/* dh_breaker_end -- a passed request's result.  One that was sent before the
 * breaker opened says nothing of the backend server now. */
void dh_breaker_end(struct dh_breaker *b, const struct dh_breaker_params *p,
    const struct dh_breaker_pass *pass, enum dh_breaker_result result,
    struct dh_rng *rng, int64_t now_ms);

void dh_breaker_advise(struct dh_breaker *b, const struct dh_breaker_params *p,
    enum dh_breaker_advice advice, int64_t now_ms);

#endif
