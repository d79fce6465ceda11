#ifndef DOGWOODHUB_ATTENDANTS_H
#define DOGWOODHUB_ATTENDANTS_H

#include <stddef.h>
#include <stdint.h>

/*
 * The choice of the VMs that may attend a backend server, by rendezvous
 * hashing: VMs that know the same candidates choose the same without a message,
 * and the loss of a candidate moves only what it attended.  Candidates whose
 * link has less than half of the best one's rate are left out, as all requests
 * for the backend server pass it once more.
 *
 * The functions do no I/O and allocate nothing.
 */

/* VMs that may attend a backend server, the preferred one first. */
#define DH_ATTENDANTS 2
/* In place of the index of a candidate. */
#define DH_ATTENDANT_NONE (-1)

struct dh_attendants {
	uint32_t seed; /* of the backend server */
	int64_t link_min_kbps;
	uint32_t scores[DH_ATTENDANTS];
	int32_t found[DH_ATTENDANTS]; /* indices of candidates */
};

/* dh_attendants_init -- begin the choice for a backend server.  best_link_kbps:
 * the best link among the candidates. */
void dh_attendants_init(
    struct dh_attendants *a, const char *server, int64_t best_link_kbps);

/* dh_attendants_consider -- take a VM into account.  candidate: the caller's
 * index of it. */
void dh_attendants_consider(struct dh_attendants *a, const char *vm,
    int64_t link_kbps, int32_t candidate);

#endif
