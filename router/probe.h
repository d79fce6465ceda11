#ifndef DH_ROUTER_PROBE_H
#define DH_ROUTER_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

/*
 * Probes of backend servers that leave requests unanswered: GET /_dh/load on
 * a connection of its own tells a connection that has gone silent from a
 * backend server that has.  Private to the lane's thread.
 */
struct dh_probes;

enum dh_probe_verdict {
	DH_PROBE_ALIVE, /* it answers new connections */
	DH_PROBE_FROZEN, /* it does not */
};

struct dh_probe_result {
	uint64_t backend_id;
	enum dh_probe_verdict verdict;
	bool counted; /* it told what it has... */
	uint64_t busy; /* ...of requests that run or queue, from anywhere */
	int64_t begun_us; /* when the probe was sent */
};

typedef void (*dh_probe_fn)(void *arg, const struct dh_probe_result *result);

/* dh_probes_new -- the lane owns the result; done runs on the loop. */
struct dh_probes *dh_probes_new(uv_loop_t *loop, dh_probe_fn done, void *arg);

/* dh_probes_free -- no probe calls back any more. */
void dh_probes_free(struct dh_probes *ps);

/* dh_probes_ask -- probe this backend server, unless a probe is under way or
 * the last one was short ago. */
void dh_probes_ask(struct dh_probes *ps, uint64_t backend_id,
    const char *address, uint16_t port);

/* dh_probes_distrust -- connections to it that are open now may be silent. */
void dh_probes_distrust(struct dh_probes *ps, uint64_t backend_id);

/* dh_probes_distrusted -- whether a request to it needs a new connection. */
bool dh_probes_distrusted(const struct dh_probes *ps, uint64_t backend_id);

#endif
