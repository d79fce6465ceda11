#ifndef DH_GATEWAY_WORKER_H
#define DH_GATEWAY_WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include <dogwoodhub/choice.h>
#include <dogwoodhub/quarantine.h>
#include <dogwoodhub/retry.h>
#include <dogwoodhub/rng.h>

#include "base/counter.h"
#include "gateway/settings.h"
#include "gateway/view.h"

/*
 * A traffic thread with its own event loop, connections and requests.  The
 * control thread passes views and commands to it and takes reports from it;
 * views and reports change hands as whole objects, by atomic exchange.
 */

/* Limits of the entries in a report.  Of more keys, the first are reported. */
#define DH_REPORT_KEYS 512
#define DH_REPORT_SERVERS 256
#define DH_REPORT_LEAVING 64
#define DH_REPORT_LIMITS 64
#define DH_REPORT_SUSPECTS 64

/* What answers of a backend server have said of its rate limit since the last
 * report. */
enum dh_limit_change {
	DH_LIMIT_UNCHANGED,
	DH_LIMIT_NAMED,
	DH_LIMIT_LIFTED, /* there was one before */
};

/* What a worker has counted since its last report. */
struct dh_worker_report {
	struct {
		GQuark service; /* name of the service */
		uint16_t key;
	} keys[DH_REPORT_KEYS];
	uint32_t nkeys;
	uint32_t keys_seen; /* keyed requests, also those not in keys */
	struct {
		char id[DH_NAME_MAX];
		uint32_t work_ms; /* mean work time of the samples */
		uint32_t samples;
	} servers[DH_REPORT_SERVERS];
	uint32_t nservers;
	/* Backend servers that have said in answers that they are leaving. */
	struct {
		char id[DH_NAME_MAX];
		int64_t start_ms; /* start time of the backend server */
	} leaving[DH_REPORT_LEAVING];
	uint32_t nleaving;
	/* Backend servers with a rate limit, or with one that was lifted. */
	struct {
		char id[DH_NAME_MAX];
		int64_t start_ms;
		enum dh_limit_change change;
		double per_s; /* with DH_LIMIT_NAMED */
		uint32_t offered, admitted; /* requests for it */
	} limits[DH_REPORT_LIMITS];
	uint32_t nlimits;
	/* Requests that may crash backend servers, as far as the view does not
	 * show them. */
	struct dh_suspect suspects[DH_REPORT_SUSPECTS];
	uint32_t nsuspects;
	/* No backend server of some keyed service is reached. */
	bool keyed_lost;
};

struct dh_worker;

/* dh_worker_new -- start a thread that accepts connections of callers.  s must
 * outlive the worker.  NULL with DH_ERROR_IO. */
struct dh_worker *dh_worker_new(
    const struct dh_gateway_settings *s, uint32_t index, GError **error);

/* dh_worker_publish -- pass a view to the worker, which takes ownership of the
 * reference. */
void dh_worker_publish(struct dh_worker *w, struct dh_view *v);

/* dh_worker_take_report -- take the last report, to be freed with g_free();
 * NULL if there is none since the last call. */
struct dh_worker_report *dh_worker_take_report(struct dh_worker *w);

/* dh_worker_drain -- start to end the worker.  Connections are closed after
 * their last answer.  After quiet_ms, the worker accepts no connections and
 * closes idle ones; it ends when all are closed, at the latest after
 * limit_ms. */
void dh_worker_drain(struct dh_worker *w, int64_t quiet_ms, int64_t limit_ms);

/* dh_worker_done -- whether a draining worker has ended. */
bool dh_worker_done(const struct dh_worker *w);

/* dh_worker_free -- wait for the thread to end, and free the worker. */
void dh_worker_free(struct dh_worker *w);

#endif
