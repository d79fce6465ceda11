#ifndef DH_GATEWAY_LIMITS_H
#define DH_GATEWAY_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gateway/registry.h"
#include "gateway/view.h"
#include "gateway/worker.h"

/*
 * Rate limits that backend servers name, on the control thread.  Each VM
 * reports to the leader what its routers read in answers, and how many requests
 * they had for limited backend servers.  The leader adds these up, and shares
 * with its heartbeats the limits and the fraction of requests that every router
 * admits (dogwoodhub/ratelimit.h).
 */
struct dh_limits;

/* What the routers of one VM report of one backend server. */
struct dh_limit_report {
	char id[DH_NAME_MAX];
	int64_t start_ms; /* start of its incarnation */
	enum dh_limit_change change; /* since the last report */
	double per_s; /* with DH_LIMIT_NAMED */
	/* Requests for it since the last report, and those admitted. */
	uint32_t offered, admitted;
};

/* A limit in force, as the leader shares it. */
struct dh_shared_limit {
	char id[DH_NAME_MAX];
	int64_t start_ms; /* start of its incarnation */
	double per_s;
	double fraction; /* of the requests that each VM admits */
};

/* Limits that the leader shares at most; of more, those with the smallest
 * fraction. */
#define DH_SHARED_LIMITS 64

struct dh_limits *dh_limits_new(const struct dh_registry *reg);
void dh_limits_free(struct dh_limits *l);

/* dh_limits_add_worker_report -- collect what a worker counted. */
void dh_limits_add_worker_report(
    struct dh_limits *l, const struct dh_worker_report *r);

/* dh_limits_take_reports -- append what was collected since the last call to a
 * GArray of struct dh_limit_report. */
void dh_limits_take_reports(struct dh_limits *l, GArray *reports);

/* dh_limits_note_reports -- as the leader, count the reports of a VM. */
void dh_limits_note_reports(
    struct dh_limits *l, const GArray *reports, int64_t now_ms);

/* dh_limits_share -- as the leader, append the limits in force to a GArray of
 * struct dh_shared_limit. */
void dh_limits_share(struct dh_limits *l, GArray *shared, int64_t now_ms);

/* dh_limits_forget -- this VM no longer leads: drop what it has added up. */
void dh_limits_forget(struct dh_limits *l);

/* dh_limits_set_shared -- keep what the leader shared.  True if views have to
 * be published again, which is so while there are limits. */
bool dh_limits_set_shared(
    struct dh_limits *l, const GArray *shared, int64_t now_ms);

/* dh_limits_fill_view -- put the shared limits into a view, unless they are too
 * old. */
void dh_limits_fill_view(
    const struct dh_limits *l, struct dh_view *v, int64_t now_ms);

/* dh_limits_per_s -- as the leader, the limit of a backend server; negative:
 * none. */
double dh_limits_per_s(
    const struct dh_limits *l, const char *id, int64_t start_ms);

#endif
