#ifndef DH_ROUTER_LANE_H
#define DH_ROUTER_LANE_H

#include <pthread.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include <dogwoodhub/retry.h>
#include <dogwoodhub/rng.h>

#include "base/counter.h"
#include "base/http.h"
#include "base/httpd.h"
#include "router/router.h"

/*
 * A lane is one traffic thread and all that is its own.  Private to the
 * router package.
 */
/* What a lane keeps for a service. */
struct dh_lane_service {
	struct dh_retry_params retry;
	struct dh_retry_budget budget;
	struct dh_counter *outcome[3]; /* by enum dh_outcome */
	struct dh_counter *slo_total;
	struct dh_counter *slo_good;
	struct dh_counter *retries;
	struct dh_counter *parked;
	struct dh_counter *latency_us;
};

struct dh_admitter;
struct dh_picker;
struct dh_loads;
struct dh_probes;

struct dh_lane {
	uint32_t index;
	const struct dh_settings *settings;
	const struct dh_router_control *control;
	pthread_t thread;
	uv_loop_t loop;
	uv_async_t stop;
	uv_async_t drain;
	uv_timer_t waiting_timer; /* looks for a new table */
	uv_timer_t table_timer; /* follows the table */
	uv_timer_t load_timer; /* reports load */
	uv_timer_t sweep_timer; /* looks for callers that left */
	struct dh_httpd *httpd;
	struct dh_http *http;
	struct dh_publish_reader *reader;
	struct dh_admitter *admitter;
	struct dh_picker *picker;
	struct dh_loads *loads;
	struct dh_probes *probes;
	struct dh_mailbox *to_control; /* consumed by the control thread */
	struct dh_mailbox *from_control;
	GQueue exchanges; /* all, by struct dh_exchange.link */
	GQueue waiting; /* for an owner */
	GQueue spare_easy; /* idle CURL handles */
	GHashTable *asked; /* permit token -> exchange */
	int64_t closes_from_ms; /* since when closes are counted */
	uint32_t closes;
	GHashTable *services; /* service -> struct dh_lane_service */
	uint64_t next_token;
	uint64_t table_version; /* last one looked at */
	struct dh_rng rng;
	uint64_t id_prefix;
	uint32_t in_flight; /* read by the control thread */
	uint32_t connections; /* likewise */
	uint32_t lame; /* written by the control thread */
	bool draining;
	uint16_t port;
};

/* dh_lane_id_prefix -- what the ids of a lane's requests begin with, apart
 * from those of all other lanes, VMs and starts; also the seed of what the
 * lane draws, so that VMs started together don't draw the same. */
uint64_t dh_lane_id_prefix(const char *vm, int64_t wall_ms, uint32_t index);

/* dh_lane_start -- listen on port and start the thread; false with an error
 * when the port can't be had. */
bool dh_lane_start(struct dh_lane *lane, uint16_t port, GError **error);

/* dh_lane_stop -- end the thread, cutting off what is left. */
void dh_lane_stop(struct dh_lane *lane);

/* dh_lane_service -- the state of a service, made with its retry
 * percentage when new; lives as long as the lane. */
struct dh_lane_service *dh_lane_service(
    struct dh_lane *lane, const char *service, uint32_t retry_percent);

/* dh_lane_easy -- a CURL handle in its first state; give back with
 * dh_lane_easy_put(). */
CURL *dh_lane_easy(struct dh_lane *lane);
void dh_lane_easy_put(struct dh_lane *lane, CURL *easy);

/* dh_lane_wait -- have the exchange routed again with the next table; false
 * when too many wait. */
bool dh_lane_wait(struct dh_lane *lane, GList *link);

#endif
