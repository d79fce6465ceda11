#ifndef DH_REPORT_SAMPLE_H
#define DH_REPORT_SAMPLE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <dogwoodhub/types.h>

/*
 * What one VM had counted for its callers at one time, since its start.
 */
struct dh_sample_counts {
	uint64_t total; /* requests that the objective is about */
	uint64_t good;
	uint64_t done, not_run, unknown; /* by outcome */
};

struct dh_sample_service {
	char name[DH_NAME_MAX];
	struct dh_sample_counts counts;
};

struct dh_sample {
	int64_t wall_ms; /* one round of samples shares it */
	char vm[DH_NAME_MAX];
	uint64_t incarnation; /* wall clock of the VM's start, ms */
	GArray *services; /* struct dh_sample_service, by name */
};

struct dh_sample *dh_sample_new(
    int64_t wall_ms, const char *vm, uint64_t incarnation);
void dh_sample_free(struct dh_sample *s);

/* dh_samples_new -- an empty list that owns its struct dh_sample. */
GPtrArray *dh_samples_new(void);

/* dh_sample_read -- take the counters from a VM's exposition text; lines of
 * other counters are passed over. */
void dh_sample_read(struct dh_sample *s, const char *text);

/* dh_sample_print -- one line of JSON, without its end; the caller frees it.
 * dh_sample_parse -- the sample of such a line, the caller's; NULL if it is
 * none. */
char *dh_sample_print(const struct dh_sample *s);
struct dh_sample *dh_sample_parse(const char *line);

#endif
