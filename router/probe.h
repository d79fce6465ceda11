#ifndef DH_ROUTER_PROBE_H
#define DH_ROUTER_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

/*
 * Probes of backend servers that leave requests unanswered: GET /_dh/load on
 * a new connection tells whether the backend server or only the old connection
 * no longer answers.  Private to the lane's thread.
 */
struct dh_probes;

enum dh_probe_verdict {
	DH_PROBE_ALIVE, /* the probe was answered */
	DH_PROBE_FROZEN, /* the probe was not answered */
};

struct dh_probe_result {
	uint64_t backend_id;
	enum dh_probe_verdict verdict;
	bool busy_known; /* the load report was valid */
	uint64_t
	    busy; /* requests of all callers that run or are queued there */
	int64_t started_us; /* when the probe was sent */
};

typedef void (*dh_probe_fn)(void *arg, const struct dh_probe_result *result);

/* dh_probes_new -- the lane owns the result; done runs on the loop. */
struct dh_probes *dh_probes_new(uv_loop_t *loop, dh_probe_fn done, void *arg);

/* dh_probes_free -- cancel all probes; done is not called any more. */
void dh_probes_free(struct dh_probes *ps);

/* dh_probes_start -- probe this backend server, unless a probe is under way or
 * the last one was started less than a second ago. */
void dh_probes_start(struct dh_probes *ps, uint64_t backend_id,
    const char *address, uint16_t port);

/* dh_probes_require_new_connections -- connections that are open to this
 * backend server now may be silent: don't use them for requests. */
void dh_probes_require_new_connections(
    struct dh_probes *ps, uint64_t backend_id);

/* dh_probes_needs_new_connection -- whether a request to this backend server
 * needs a new connection. */
bool dh_probes_needs_new_connection(
    const struct dh_probes *ps, uint64_t backend_id);

#endif
