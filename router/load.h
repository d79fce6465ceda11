#ifndef DH_ROUTER_LOAD_H
#define DH_ROUTER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

#include "proto/msg.h"

/*
 * Load of keyed services as a lane counts it: by slot, by backend server, and
 * the hottest keys.  Private to the lane's thread but for the reports, which
 * pass to the control thread.
 */
struct dh_loads;

/* Services whose keys are counted between two reports; further ones are not,
 * which bounds the memory. */
#define DH_LOADS_SKETCHES_MAX 16u

struct dh_load_count {
	uint32_t slot;
	uint32_t requests;
	uint64_t busy_us; /* spent at the backend server */
};

/* One service's load since the last report, in one block of memory. */
struct dh_load_report {
	char service[DH_NAME_MAX];
	uint32_t n;
	uint32_t nbackends;
	uint32_t nkeys;
	uint64_t key_total; /* requests whose key was counted */
	struct dh_load_backend *backends;
	struct dh_load_key *keys; /* hottest first */
	struct dh_load_count counts[];
};

struct dh_loads *dh_loads_new(void);
void dh_loads_free(struct dh_loads *ls);

/* dh_loads_add -- a request of this slot has ended. */
void dh_loads_add(
    struct dh_loads *ls, const char *service, uint32_t slot, int64_t busy_us);

/* dh_loads_backend -- the backend server has answered it, or has not. */
void dh_loads_backend(struct dh_loads *ls, const char *service,
    uint64_t backend, bool answered, int64_t latency_us);

/* dh_loads_key -- it was for this key. */
void dh_loads_key(struct dh_loads *ls, const char *service, const char *key);

/*
 * dh_loads_take -- the next service's report, which the caller frees with
 * g_free(), or NULL when every service has reported.
 */
struct dh_load_report *dh_loads_take(struct dh_loads *ls);

#endif
