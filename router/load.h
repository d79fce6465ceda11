#ifndef DH_ROUTER_LOAD_H
#define DH_ROUTER_LOAD_H

#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * Load of keyed services' slots, as a lane counts it.  Private to the lane's
 * thread but for the reports, which pass to the control thread.
 */
struct dh_loads;

struct dh_load_count {
	uint32_t slot;
	uint32_t requests;
	uint64_t busy_us; /* spent at the backend server */
};

/* One service's load since the last report. */
struct dh_load_report {
	char service[DH_NAME_MAX];
	uint32_t n;
	struct dh_load_count counts[];
};

struct dh_loads *dh_loads_new(void);
void dh_loads_free(struct dh_loads *ls);

/* dh_loads_add -- a request of this slot has ended. */
void dh_loads_add(
    struct dh_loads *ls, const char *service, uint32_t slot, int64_t busy_us);

/*
 * dh_loads_take -- the next service's report, which the caller frees with
 * g_free(), or NULL when every service has reported.
 */
struct dh_load_report *dh_loads_take(struct dh_loads *ls);

#endif
