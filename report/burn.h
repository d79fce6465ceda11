#ifndef DH_REPORT_BURN_H
#define DH_REPORT_BURN_H

#include <dogwoodhub/conf.h>

#include "report/sample.h"

/*
 * Service-level burn: how fast each service uses up its error budget.
 *
 * The budget of an objective of 999,000 ppm is 0.1 % of the requests of 30
 * days.  A burn rate of 1 uses it up in just that time, one of 14.4 in two
 * days.  A rate counts as an alert only when a long window and a short one
 * both show it: the long one says that it matters, the short one that it
 * still goes on.
 */
enum dh_burn_alert {
	DH_BURN_NONE,
	DH_BURN_TICKET, /* rate 1 over 3 days and 6 hours */
	DH_BURN_PAGE, /* 14.4 over 1 h and 5 min, or 6 over 6 h and 30 min */
};

enum dh_burn_window_kind {
	DH_BURN_5MIN,
	DH_BURN_30MIN,
	DH_BURN_1H,
	DH_BURN_6H,
	DH_BURN_3D,
	DH_BURN_30D, /* the period of the budget */
	DH_BURN_WINDOWS,
};

struct dh_burn_window {
	int64_t covered_ms; /* by samples: up to its length and one round */
	bool whole; /* the samples reach back to its start */
	struct dh_sample_counts counts;
	double rate; /* 0 without requests */
};

/* Sums of all VMs since the first round. */
struct dh_burn_point {
	int64_t wall_ms;
	struct dh_sample_counts counts;
};

struct dh_burn_service {
	char name[DH_NAME_MAX];
	char team[DH_NAME_MAX];
	uint32_t objective_ppm;
	int64_t objective_latency_ms;
	GArray *points; /* struct dh_burn_point, one a round */
	struct dh_burn_window windows[DH_BURN_WINDOWS];
	double budget_left; /* of 1; negative once overspent */
	enum dh_burn_alert alert;
};

struct dh_burn {
	GArray *services; /* struct dh_burn_service, in conf's order */
	int64_t from_ms, to_ms; /* wall clock of the first and last round */
	unsigned int rounds;
	unsigned int vms; /* in the last round */
	unsigned int restarts; /* VMs that began anew: what they counted
				* after their last sample is lost */
};

const char *dh_burn_window_name(enum dh_burn_window_kind kind);
const char *dh_burn_alert_name(enum dh_burn_alert alert);

/* dh_burn_new -- work out the report for conf's services from samples, in any
 * order.  The caller owns it; conf and samples are not kept. */
struct dh_burn *dh_burn_new(
    const struct dh_conf *conf, const GPtrArray *samples);
void dh_burn_free(struct dh_burn *b);

/* dh_burn_rate -- of the requests counted between two points; 0 if none. */
double dh_burn_rate(uint32_t objective_ppm, const struct dh_sample_counts *c);

/* dh_burn_worst -- the highest alert. */
enum dh_burn_alert dh_burn_worst(const struct dh_burn *b);

/* dh_burn_text, dh_burn_json, dh_burn_page -- the report for a terminal, for a
 * script, and as one HTML page that needs nothing else.  The caller frees. */
char *dh_burn_text(const struct dh_burn *b);
char *dh_burn_json(const struct dh_burn *b);
char *dh_burn_page(const struct dh_burn *b);

#endif
