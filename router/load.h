#ifndef DH_ROUTER_LOAD_H
#define DH_ROUTER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

#include "proto/msg.h"

/*
 * Counts a lane's load of keyed services by slot, by backend server and for
 * the keys with the most requests.  Private to the lane's thread except for the
 * reports, which are handed to the control thread.
 */
struct dh_loads;

/* Limit on the services whose keys are counted between two reports, which
 * bounds the memory; keys of further services are not counted. */
#define DH_LOADS_SKETCHES_MAX 16u

struct dh_load_count {
	uint32_t slot;
	uint32_t requests;
	uint64_t busy_us; /* sum of the attempts' durations */
};

/* One service's load since the last report, allocated as one block. */
struct dh_load_report {
	char service[DH_NAME_MAX];
	uint32_t nslots; /* length of counts */
	uint32_t nbackends;
	uint32_t nkeys;
	uint64_t key_total; /* requests whose key was counted */
	struct dh_load_backend *backends;
	struct dh_load_key *keys; /* by descending number of requests */
	struct dh_load_count counts[];
};

struct dh_loads *dh_loads_new(void);
void dh_loads_free(struct dh_loads *ls);

/* dh_loads_add -- count an ended attempt for its slot. */
void dh_loads_add(
    struct dh_loads *ls, const char *service, uint32_t slot, int64_t busy_us);

/* dh_loads_backend -- count an ended attempt for its backend server, answered
 * or failed. */
void dh_loads_backend(struct dh_loads *ls, const char *service,
    uint64_t backend, bool answered, int64_t latency_us);

/* dh_loads_key -- count an answered request for its key. */
void dh_loads_key(struct dh_loads *ls, const char *service, const char *key);

/*
 * dh_loads_take -- the next service's report, which the caller frees with
 * g_free(), or NULL when every service has reported.
 */
struct dh_load_report *dh_loads_take(struct dh_loads *ls);

#endif
