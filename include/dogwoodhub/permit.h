#ifndef DOGWOODHUB_PERMIT_H
#define DOGWOODHUB_PERMIT_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * Permits for unrepeatable requests: one per request id, given by a group's
 * leader and held by leader and deputy before the request may be sent.
 */

/* Size of a request id, with the closing NUL. */
#define DH_REQUEST_ID_MAX 64

enum dh_permit_verdict {
	DH_PERMIT_RUN, /* send it now, once */
	DH_PERMIT_WAS_DONE, /* ran before: status is the first answer's */
	DH_PERMIT_IN_FLIGHT, /* another try of it is running */
	DH_PERMIT_REFUSED, /* not run; may be asked again later */
	DH_PERMIT_UNKNOWN, /* memory of it was lost: it may have run */
};

enum dh_permit_state {
	DH_PERMIT_HOLDING, /* waits for the deputy; RUN not yet given */
	DH_PERMIT_RUNNING, /* RUN was given */
	DH_PERMIT_ENDED, /* outcome is DONE or UNKNOWN */
	DH_PERMIT_DROPPED, /* ended as not run: may run again */
};

/* One permit as leader and deputy hold it.  Times are relative to the moment
 * of sending, so that no two clocks are compared. */
struct dh_permit_entry {
	char id[DH_REQUEST_ID_MAX];
	uint64_t asker; /* VM */
	uint64_t token; /* the asker's own mark of this try */
	enum dh_permit_state state;
	enum dh_outcome outcome; /* ENDED */
	uint32_t status; /* ENDED, DONE: HTTP status of the answer */
	int64_t left_ms; /* to its deadline; ENDED: until it is forgotten */
};

#endif
