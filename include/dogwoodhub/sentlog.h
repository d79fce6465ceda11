#ifndef DOGWOODHUB_SENTLOG_H
#define DOGWOODHUB_SENTLOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Remembers which request ids were sent on which connections.
 *
 * An answer on a connection is told from late copies of earlier ones by the id
 * that it names.  This fails for a copy of the answer to an earlier request
 * with the same id: a request may be sent again by this router or another one,
 * or by its caller.  So an id must not be sent twice on one connection.
 *
 * The log holds the last requests of all connections, up to a limit.  It tells
 * whether it still holds all that were sent since a connection was opened; if
 * not, the connection is to be replaced.
 *
 * The functions do no I/O and read no clock.
 */
struct dh_sent_log {
	uint64_t *hashes; /* ring of capacity entries */
	uint32_t *index; /* positions in the ring by hash; twice as many */
	uint32_t capacity; /* a power of two; 0: nothing allocated yet */
	uint32_t capacity_max;
	uint64_t end; /* number of requests that were added */
	uint64_t begin; /* of these, the first that is held */
};

/* dh_sent_log_init -- an empty log, which dh_sent_log_clear() frees.
 * capacity_max is the limit of requests that it holds, a power of two; its
 * memory grows with their number, to 16 bytes each. */
void dh_sent_log_init(struct dh_sent_log *l, uint32_t capacity_max);
void dh_sent_log_clear(struct dh_sent_log *l);

/* dh_sent_log_end -- the present end of the log, to be kept with a connection
 * that is opened now. */
uint64_t dh_sent_log_end(const struct dh_sent_log *l);

/* dh_sent_log_covers -- whether the log holds all requests that were sent since
 * its end was opened_at. */
bool dh_sent_log_covers(const struct dh_sent_log *l, uint64_t opened_at);

/* dh_sent_log_has -- whether a request with the id was sent on the connection,
 * as far as the log goes back.  The number of a connection is never used for
 * another one. */
bool dh_sent_log_has(
    const struct dh_sent_log *l, uint64_t connection, const char *id);

/* dh_sent_log_add -- a request with the id, which the log does not have, is
 * sent on the connection.  Ends the process if there is no memory. */
void dh_sent_log_add(
    struct dh_sent_log *l, uint64_t connection, const char *id);

#endif
