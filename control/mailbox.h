#ifndef DH_CONTROL_MAILBOX_H
#define DH_CONTROL_MAILBOX_H

#include <stdint.h>

#include <uv.h>

#include <dogwoodhub/permit.h>
#include <dogwoodhub/types.h>

/*
 * Message queue between a traffic thread and the control thread: a ring buffer
 * for one producer and one consumer that wakes the consumer's event loop.
 */

enum dh_mail_kind {
	DH_MAIL_PERMIT_ASK, /* traffic -> control */
	DH_MAIL_PERMIT_END, /* traffic -> control: the outcome */
	DH_MAIL_PERMIT_VERDICT, /* control -> traffic: the verdict */
	DH_MAIL_LOAD, /* traffic -> control: requests by slot */
	DH_MAIL_PERMIT_CLOSE, /* traffic -> control: a refused request */
};

struct dh_load_report;

struct dh_mail {
	enum dh_mail_kind kind;
	uint64_t token; /* PERMIT*: set by the sender, repeated in the answer */
	union {
		struct {
			char id[DH_REQUEST_ID_MAX];
			char service[DH_NAME_MAX];
			enum dh_permit_verdict verdict;
			enum dh_outcome outcome;
			uint32_t status; /* HTTP status of the answer */
			int64_t retry_ms; /* delay before another attempt */
			int64_t deadline_ms; /* time by dh_clock_ms() */
			int64_t longest_deadline_ms; /* longest deadline of the
							service */
		} permit;
		struct dh_load_report *load; /* the receiver frees it */
	};
};

struct dh_mailbox;

/* dh_mailbox_new -- a queue with size places, a power of two.  on_mail is
 * called in the loop consumer for each message.  The caller owns the mailbox.
 */
struct dh_mailbox *dh_mailbox_new(uv_loop_t *consumer, uint32_t size,
    void (*on_mail)(void *arg, const struct dh_mail *mail), void *arg);

/* dh_mailbox_free -- to be called on the consumer's thread once the producer
 * has ended. */
void dh_mailbox_free(struct dh_mailbox *mb);

/* dh_mailbox_send -- send a copy of mail; false, without effect, if the ring is
 * full. */
bool dh_mailbox_send(struct dh_mailbox *mb, const struct dh_mail *mail);

#endif
