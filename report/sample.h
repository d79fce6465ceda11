#ifndef DH_REPORT_SAMPLE_H
#define DH_REPORT_SAMPLE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <dogwoodhub/types.h>

/*
 * A sample: the request counts of one VM, from its start to the time of the
 * sample.
 */
struct dh_sample_counts {
	uint64_t total; /* requests that the objective covers */
	uint64_t good; /* of these, requests that met the objective */
	uint64_t done, not_run, unknown; /* requests by outcome */
};

struct dh_sample_service {
	char name[DH_NAME_MAX];
	struct dh_sample_counts counts;
};

struct dh_sample {
	int64_t wall_ms; /* the same for all samples of one round */
	char vm[DH_NAME_MAX];
	uint64_t incarnation; /* wall-clock time of the VM's start, ms */
	GArray *services; /* struct dh_sample_service, sorted by name */
};

struct dh_sample *dh_sample_new(
    int64_t wall_ms, const char *vm, uint64_t incarnation);
void dh_sample_free(struct dh_sample *s);

/* dh_samples_new -- create an empty array that frees its struct dh_sample
 * elements. */
GPtrArray *dh_samples_new(void);

/* dh_sample_read -- read the counters of requests from the metrics text of a
 * VM.  Lines of other counters are skipped. */
void dh_sample_read(struct dh_sample *s, const char *text);

/* dh_sample_print -- format a sample as one line of JSON without a newline.
 * The caller frees the line.
 * dh_sample_parse -- parse such a line.  The caller owns the sample; NULL if
 * the line is invalid. */
char *dh_sample_print(const struct dh_sample *s);
struct dh_sample *dh_sample_parse(const char *line);

#endif
