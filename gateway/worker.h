#ifndef DH_GATEWAY_WORKER_H
#define DH_GATEWAY_WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include <dogwoodhub/choice.h>
#include <dogwoodhub/retry.h>
#include <dogwoodhub/rng.h>

#include "base/counter.h"
#include "gateway/settings.h"
#include "gateway/view.h"

/*
 * A traffic thread: its own loop, connections and requests.  It shares with
 * the control thread only what is exchanged here as a whole: views and
 * commands one way, reports the other.
 */

/* Keys in a report; beyond, only one in several is told. */
#define DH_REPORT_KEYS 512
#define DH_REPORT_SERVERS 256
#define DH_REPORT_LEAVING 64

/* What a worker has seen since its last report. */
struct dh_worker_report {
	struct {
		GQuark service; /* its name */
		uint16_t key;
	} keys[DH_REPORT_KEYS];
	uint32_t nkeys;
	uint32_t keys_seen; /* of which so many are told */
	struct {
		char id[DH_NAME_MAX];
		uint32_t work_ms; /* mean of the measurements */
		uint32_t samples;
	} servers[DH_REPORT_SERVERS];
	uint32_t nservers;
	/* Backend servers whose answers say that they are leaving. */
	struct {
		char id[DH_NAME_MAX];
		int64_t born_ms;
	} leaving[DH_REPORT_LEAVING];
	uint32_t nleaving;
};

struct dh_worker;

/* dh_worker_new -- start a thread that accepts callers.  s must outlive it.
 * NULL with DH_ERROR_IO. */
struct dh_worker *dh_worker_new(
    const struct dh_gateway_settings *s, uint32_t index, GError **error);

/* dh_worker_publish -- hand over a view; the reference goes with it. */
void dh_worker_publish(struct dh_worker *w, struct dh_view *v);

/* dh_worker_report -- what it has seen, the caller's to free; NULL if there is
 * nothing new. */
struct dh_worker_report *dh_worker_report(struct dh_worker *w);

/* dh_worker_drain -- answer what comes, close what is idle, accept nobody after
 * quiet_ms, and end after limit_ms at the latest. */
void dh_worker_drain(struct dh_worker *w, int64_t quiet_ms, int64_t limit_ms);

/* dh_worker_done -- whether a draining worker has ended. */
bool dh_worker_done(const struct dh_worker *w);

/* dh_worker_free -- wait for its end and free it. */
void dh_worker_free(struct dh_worker *w);

#endif
