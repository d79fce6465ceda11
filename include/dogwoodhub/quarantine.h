#ifndef DOGWOODHUB_QUARANTINE_H
#define DOGWOODHUB_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Finds requests that crash the backend servers that run them, and refuses
 * them.
 *
 * A request is told by a digest, so that repetitions with another id count as
 * the same one.  Each backend server that ends while it runs the request counts
 * once, whichever routers had sent it there.  An attempt that was sent when an
 * earlier crash was known, and ends its backend server too, decides at once:
 * the two did not end together.  Any answer to the request starts a new epoch
 * without crashes: a request that was merely in progress on backend servers
 * that ended is answered by others.
 *
 * Entries of several routers are merged in any order and any number of times:
 * the later epoch wins, and within an epoch the crashed backend servers of both
 * count, or the higher number of crashes.
 *
 * The functions have no side effects beyond their arguments and read no clock.
 */

/* From this number of crashes on, a request is refused. */
#define DH_CRASHES_MAX 3
#define DH_SUSPECTS_MAX 256

/* A request that may crash backend servers.  With epoch and crashes 0, nothing
 * is known of it. */
struct dh_suspect {
	uint64_t request; /* its digest */
	uint32_t epoch;
	uint32_t crashes; /* at least nservers */
	/* Hashes of the incarnations of backend servers that crashed.  Some may
	 * be missing: routers of an earlier release tell the number only. */
	uint32_t servers[DH_CRASHES_MAX];
	uint32_t nservers;
	int64_t changed_ms; /* by this router's clock */
};

/* Zeroed: no suspects.  Owns no memory. */
struct dh_quarantine {
	struct dh_suspect suspects[DH_SUSPECTS_MAX]; /* in no order */
	size_t nsuspects;
};

/* dh_quarantine_find -- what is known of a request. */
struct dh_suspect dh_quarantine_find(
    const struct dh_quarantine *q, uint64_t request);

/* dh_quarantine_merge -- merge an entry; changed_ms of it is not used.  False
 * if it was known, or if there is no place for it. */
bool dh_quarantine_merge(
    struct dh_quarantine *q, const struct dh_suspect *s, int64_t now_ms);

/* dh_quarantine_add_crash -- a backend server ended while it ran the request.
 * sent is what was known of the request when it was sent, and server the hash
 * of the incarnation that ended.  False if it was known, if the request has
 * been answered since it was sent, or if there is no place for it. */
bool dh_quarantine_add_crash(struct dh_quarantine *q,
    const struct dh_suspect *sent, uint32_t server, int64_t now_ms);

/* dh_quarantine_add_answer -- a backend server has run the request and
 * answered.  False if the request was not suspected. */
bool dh_quarantine_add_answer(
    struct dh_quarantine *q, uint64_t request, int64_t now_ms);

/* dh_quarantine_expire -- forget suspects without recent crashes; a request
 * that was refused for an hour may be sent again until the next crash.  True if
 * there was a change. */
bool dh_quarantine_expire(struct dh_quarantine *q, int64_t now_ms);

/* dh_suspect_is_refused -- whether the request must not be sent. */
bool dh_suspect_is_refused(const struct dh_suspect *s);

/* dh_suspect_refused_ms -- how much longer a refused request is refused. */
int64_t dh_suspect_refused_ms(const struct dh_suspect *s, int64_t now_ms);

/* dh_suspect_is_newer -- whether merging a changes an entry b. */
bool dh_suspect_is_newer(
    const struct dh_suspect *a, const struct dh_suspect *b);

#endif
