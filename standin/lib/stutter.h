#ifndef DH_STANDIN_STUTTER_H
#define DH_STANDIN_STUTTER_H

#include <dogwoodhub/rng.h>

/*
 * Late second copies of the answers that a connection has carried, as a faulty
 * backend server sends them where the next answer is expected.
 */
struct stutter;

struct stutter *stutter_new(void);
void stutter_free(struct stutter *s);

/* stutter_note -- an answer with a length, head and body, is sent on the
 * connection.  The last ones are kept. */
void stutter_note(struct stutter *s, const char *id, const char *answer);

/* stutter_send -- the answer to the request id is expected on the socket next.
 * If the connection has carried the id, a copy of that answer is sent before
 * it, else sometimes one of another answer: whole, broken off in its head or
 * body, or without its length.  An answer is copied once. */
void stutter_send(
    struct stutter *s, int fd, const char *id, struct dh_rng *rng);

#endif
