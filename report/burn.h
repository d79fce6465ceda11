#ifndef DH_REPORT_BURN_H
#define DH_REPORT_BURN_H

#include <dogwoodhub/conf.h>

#include "report/sample.h"

/*
 * Error budget burn rates: how fast each service uses up its error budget.
 *
 * The error budget of an objective of 999,000 ppm is 0.1 % of the requests of
 * 30 days.  A burn rate of 1 uses up the budget in exactly that time, a burn
 * rate of 14.4 in two days.  An alert requires that the rate exceeds the
 * alert's threshold in a long and in a short window: the long window shows
 * that the loss is significant, the short one that it still continues.
 */
enum dh_burn_alert {
	DH_BURN_NONE,
	DH_BURN_TICKET, /* above 1 over 3 days and 6 hours */
	DH_BURN_PAGE, /* above 14.4 over 1 h and 5 min, or above 6 over 6 h and
		       * 30 min */
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
	int64_t covered_ms; /* time that the samples used cover: at most the
			     * window's length and one round */
	bool whole; /* the samples reach back to the window's start */
	struct dh_sample_counts counts;
	double rate; /* burn rate; 0 without requests */
};

/* Counts of all VMs at one round, summed up since the first round. */
struct dh_burn_point {
	int64_t wall_ms;
	struct dh_sample_counts counts;
};

struct dh_burn_service {
	char name[DH_NAME_MAX];
	char team[DH_NAME_MAX];
	uint32_t objective_ppm;
	int64_t objective_latency_ms;
	GArray *points; /* struct dh_burn_point, one for each round */
	struct dh_burn_window windows[DH_BURN_WINDOWS];
	double budget_left; /* fraction; negative once overspent */
	enum dh_burn_alert alert;
};

struct dh_burn {
	GArray *services; /* struct dh_burn_service, in the order of conf */
	int64_t from_ms, to_ms; /* wall clock of the first and last round */
	unsigned int rounds;
	unsigned int vms; /* VMs sampled in the last round */
	unsigned int restarts; /* restarts of VMs; requests counted between a
				* VM's last sample and its restart are lost */
};

const char *dh_burn_window_name(enum dh_burn_window_kind kind);
const char *dh_burn_alert_name(enum dh_burn_alert alert);

/* dh_burn_new -- compute the report for the services of conf from samples,
 * which may be in any order.  The caller owns the report, which keeps no
 * reference to conf and samples. */
struct dh_burn *dh_burn_new(
    const struct dh_conf *conf, const GPtrArray *samples);
void dh_burn_free(struct dh_burn *b);

/* dh_burn_rate -- burn rate of the requests counted in c; 0 if there are
 * none. */
double dh_burn_rate(uint32_t objective_ppm, const struct dh_sample_counts *c);

/* dh_burn_worst -- the most severe alert of all services. */
enum dh_burn_alert dh_burn_worst(const struct dh_burn *b);

/* dh_burn_text, dh_burn_json, dh_burn_page -- format the report as plain text,
 * as JSON, or as a self-contained HTML page.  The caller frees the result. */
char *dh_burn_text(const struct dh_burn *b);
char *dh_burn_json(const struct dh_burn *b);
char *dh_burn_page(const struct dh_burn *b);

#endif
