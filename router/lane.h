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
 * A lane is one traffic thread with its loop, its listening socket and all
 * state that only this thread uses.  Private to the router package.
 */

/* Retry state and counters of one service in a lane. */
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
	uv_timer_t waiting_timer; /* routes the waiting exchanges again */
	uv_timer_t table_timer; /* applies a new table */
	uv_timer_t load_timer; /* reports load to the control thread */
	/* Finds disconnected callers and silent attempts. */
	uv_timer_t sweep_timer;
	struct dh_httpd *httpd;
	struct dh_http *http;
	struct dh_publish_reader *reader;
	struct dh_admitter *admitter;
	struct dh_picker *picker;
	struct dh_loads *loads;
	struct dh_probes *probes;
	struct dh_mailbox *to_control; /* consumed by the control thread */
	struct dh_mailbox *from_control;
	GQueue exchanges; /* every exchange, by struct dh_exchange.link */
	GQueue waiting; /* exchanges whose slot has no owner, by wait_link */
	GQueue idle_easy; /* CURL handles to be used again */
	GHashTable *awaiting_permit; /* permit token -> exchange */
	int64_t close_window_start_ms;
	uint32_t closes_in_window; /* requests to close an id */
	GHashTable *services; /* service -> struct dh_lane_service */
	uint64_t next_token;
	uint64_t table_version; /* of the last table applied */
	struct dh_rng rng;
	uint64_t id_prefix;
	uint32_t in_flight; /* exchanges; read by the control thread */
	uint32_t connections; /* of callers; read by the control thread */
	/* Every answer closes its connection; written by the control thread. */
	uint32_t closing_connections;
	bool draining;
	uint16_t port;
};

/* dh_lane_id_prefix -- the prefix of the lane's request ids, different for each
 * lane, VM and start.  It also seeds the lane's random numbers, so that VMs
 * started at the same time don't draw the same numbers. */
uint64_t dh_lane_id_prefix(const char *vm, int64_t wall_ms, uint32_t index);

/* dh_lane_start -- listen on port and start the thread; false with an error
 * when the port can't be bound. */
bool dh_lane_start(struct dh_lane *lane, uint16_t port, GError **error);

/* dh_lane_stop -- end the thread, aborting the remaining exchanges. */
void dh_lane_stop(struct dh_lane *lane);

/* dh_lane_service -- the state of a service, created on first use with this
 * retry percentage; valid as long as the lane. */
struct dh_lane_service *dh_lane_service(
    struct dh_lane *lane, const char *service, uint32_t retry_percent);

/* dh_lane_easy_get -- a CURL handle with default options; release it with
 * dh_lane_easy_put(). */
CURL *dh_lane_easy_get(struct dh_lane *lane);
void dh_lane_easy_put(struct dh_lane *lane, CURL *easy);

/* dh_lane_await_owner -- queue an exchange, by its wait_link, to be routed
 * again periodically; false when too many exchanges wait. */
bool dh_lane_await_owner(struct dh_lane *lane, GList *link);

#endif
