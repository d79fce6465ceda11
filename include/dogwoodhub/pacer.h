#ifndef DOGWOODHUB_PACER_H
#define DOGWOODHUB_PACER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A token bucket for the bytes of large answers on a link that they share with
 * small ones.  Large answers that are kept below the rate of the link leave no
 * queue on it in which a small answer would wait.
 *
 * The functions read no clock.  Times are in milliseconds.
 */
struct dh_pacer {
	double bytes_per_ms;
	double burst; /* bytes that may be sent at once after a pause */
	double credit; /* negative while bytes were sent ahead of their time */
	int64_t updated_ms;
};

/* dh_pacer_init -- burst bytes may be sent at once. */
void dh_pacer_init(
    struct dh_pacer *p, double bytes_per_ms, double burst, int64_t now_ms);

/* dh_pacer_ready -- whether bytes may be sent now. */
bool dh_pacer_ready(struct dh_pacer *p, int64_t now_ms);

/* dh_pacer_count -- count bytes that are sent now.  More than were ready are
 * made up for by a later dh_pacer_ready(). */
void dh_pacer_count(struct dh_pacer *p, size_t bytes, int64_t now_ms);

#endif
