#ifndef DOGWOODHUB_CHOICE_H
#define DOGWOODHUB_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/balance.h>
#include <dogwoodhub/rng.h>

/*
 * Load estimates of backend servers, and the choice of the backend server that
 * a request is sent to.
 *
 * A request is sent to the backend server with the lowest cost: the expected
 * answer time plus the price of the request's bytes on links between
 * availability zones and regions and the price of a likely failure.  The
 * request is refused at once if no backend server is expected to answer in
 * time.  Where the request would have to wait, in time means within its latency
 * objective, because a late request delays all requests queued behind it; less
 * urgent requests are refused first.  Where it would not wait, only its
 * deadline counts.
 *
 * The functions have no side effects beyond their arguments and read no
 * clock.  Times are in milliseconds.
 */

/*
 * A router's estimate of the load of one backend server.  The work time is
 * the time that a request takes there without waiting (service time).  Fields
 * named *_updated_ms are the times of the last update, from which the
 * estimates decay.
 */
struct dh_backend_load {
	double work_ms; /* mean work time; 0: not known */
	int64_t work_updated_ms;
	/* Sum and number of the work times measured since the last report. */
	double unreported_ms;
	uint32_t unreported_samples;
	double other_routers; /* estimated requests of other routers */
	int64_t other_routers_updated_ms;
	double failure_rate; /* share of recent requests that failed */
	int64_t failure_rate_updated_ms;
	/* How long work takes there now, as a multiple of the usual time, as
	 * the last answer said. */
	double slowness;
	int64_t slowness_updated_ms; /* 0: no answer has said so */
	uint32_t own_requests; /* this router's requests in flight */
	/* End of the backoff that follows an unreachable backend server or an
	 * immediately reset connection. */
	int64_t backoff_until_ms;
	/* End of the pause that the backend server asked for. */
	int64_t pause_until_ms;
	uint32_t backoff_count; /* consecutive backoffs */
};

/* How a request that was sent to a backend server ended. */
enum dh_reply_kind {
	DH_REPLY_GOOD, /* the request ran and was answered */
	DH_REPLY_ERROR, /* the request ran and failed */
	DH_REPLY_SHED, /* not run: the backend server is overloaded */
	DH_REPLY_LOST, /* no answer, or a malformed one */
	DH_REPLY_UNREACHABLE, /* the connection failed; nothing was sent */
	DH_REPLY_RESET, /* a new connection was reset immediately */
	DH_REPLY_ABANDONED, /* the router gave the request up; the end says
			     * nothing about the backend server */
};

/* The outcome of a request, for dh_backend_replied(). */
struct dh_reply {
	enum dh_reply_kind kind;
	int64_t latency_ms; /* since sending, including the network */
	double round_trip_ms; /* network round trip */
	double requests_ahead; /* dh_backend_requests() when the request was
				  sent */
	uint32_t slots;
	bool has_load; /* the reply contained running and waiting */
	uint32_t running, waiting; /* requests at the backend server */
	double slowness; /* see struct dh_backend_load; 0: not reported */
	int64_t pause_ms; /* pause asked for by the backend server; 0: none */
};

/* dh_backend_requests -- return the estimated number of requests that run or
 * wait at the backend server now: this router's and those of other routers. */
double dh_backend_requests(const struct dh_backend_load *l, int64_t now_ms);

/* dh_backend_sent, dh_backend_replied -- record that a request was sent to the
 * backend server, and how it ended. */
void dh_backend_sent(struct dh_backend_load *l);
void dh_backend_replied(
    struct dh_backend_load *l, const struct dh_reply *r, int64_t now_ms);

/*
 * The mean work time of a service, over all its backend servers.  A zeroed one
 * has no measurement.
 *
 * dh_work_mean_add -- count a measurement.
 *
 * dh_work_mean_ms -- the mean, which fades towards default_ms while there are
 * no measurements: a wrong one may keep the router from sending the requests
 * that would correct it.
 */
struct dh_work_mean {
	double ms;
	int64_t updated_ms;
};
void dh_work_mean_add(struct dh_work_mean *m, double work_ms, int64_t now_ms);
double dh_work_mean_ms(
    const struct dh_work_mean *m, double default_ms, int64_t now_ms);

/* Costs by tier, and the default work time. */
struct dh_choice_params {
	double round_trip_ms[DH_TIERS]; /* network round trip time */
	/* Additional answer time that is accepted in order to keep one KiB off
	 * the links to this tier. */
	double ms_per_kib[DH_TIERS];
	double work_ms; /* work time if that of the service is not known */
};

/* A backend server that a request may be sent to. */
struct dh_candidate {
	const struct dh_backend_load *load;
	uint32_t slots;
	enum dh_tier tier;
	int64_t slow_start_until_ms; /* end of the slow time after its start */
	int64_t oldest_ms; /* age of this router's oldest request to it */
	bool no_connection; /* no connection is available */
	bool queued; /* a run queue decides whether the request may wait */
	bool tried; /* an earlier attempt of this request was sent to it */
};

/* The request for which a backend server is chosen. */
struct dh_choice_request {
	/* Time left of the latency objective; negative if it has passed. */
	int64_t objective_left_ms;
	int64_t left_ms; /* time left until the deadline */
	double kib; /* approximate size of request and answer */
	double work_ms; /* mean work time of the service; 0: not known */
	uint32_t rank; /* dh_demand_rank() of the request */
};

/* The result of dh_choose(). */
struct dh_choice {
	/* Index of the chosen candidate; SIZE_MAX: the request is refused. */
	size_t index;
	/* If refused: the candidate whose expected answer is closest to being
	 * in time; SIZE_MAX if none may be sent a request. */
	size_t nearest;
	double expected_ms; /* expected answer time of index or nearest */
	int64_t retry_after_ms; /* if refused; at most a third of left_ms */
};

/* dh_choose -- choose the candidate to send a request to, or refuse it. */
struct dh_choice dh_choose(const struct dh_choice_params *p,
    const struct dh_candidate *list, size_t n,
    const struct dh_choice_request *w, struct dh_rng *rng, int64_t now_ms);

/*
 * dh_choice_sample -- choose the positions of the backend servers to consider
 * for one request.  The list of backend servers is sorted by tier, and
 * tier_end holds the end position of each tier.  The sample takes consecutive
 * positions of each tier from a random start, or the whole list if that is no
 * longer than DH_SAMPLE_MAX.  On long lists it serves about as many requests
 * in time as the whole list would, at a cost that doesn't grow with the list,
 * provided that the caller considers the whole list before it refuses a
 * request.  Returns the number of positions.
 */
#define DH_SAMPLE_MAX 64
size_t dh_choice_sample(const size_t tier_end[DH_TIERS], struct dh_rng *rng,
    uint32_t positions[DH_SAMPLE_MAX]);

/* Number of distinct priorities of requests to one service.  0 is the most
 * urgent; values above the last one count as the last one. */
#define DH_PRIORITIES 8

/* Time at which a request of each priority was last seen; 0: never. */
struct dh_demand_seen {
	int64_t at_ms[DH_PRIORITIES];
};

/* dh_demand_rank -- record a request of this priority.  Returns the number of
 * more urgent priorities that were seen recently. */
uint32_t dh_demand_rank(
    struct dh_demand_seen *d, uint32_t priority, int64_t now_ms);

/* dh_retry_after_ms -- return the retry delay of a refused caller: about the
 * larger of after_ms and a quarter of left_ms, randomized so that refused
 * callers don't return at the same time, and at most a third of left_ms but at
 * least 1 ms. */
int64_t dh_retry_after_ms(
    int64_t after_ms, int64_t left_ms, struct dh_rng *rng);

#endif
