#ifndef DH_GATEWAY_BACKLOG_H
#define DH_GATEWAY_BACKLOG_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/record.h"

/*
 * The last changes of a service's owners that the leader has sent to all VMs.
 * A VM whose report names an earlier version is sent what it missed, once the
 * changes cannot still be on their way.  Times are of dh_clock_ms().
 */
struct dh_backlog;

/* A change that is sent again no earlier than this after it was first sent: the
 * time for it to arrive, and between two reports of a VM. */
#define DH_BACKLOG_RESEND_MS 500
/* Steps that are kept. */
#define DH_BACKLOG_STEPS 64

/* The changes from one version to a later one. */
struct dh_backlog_step {
	uint64_t base, version;
	int64_t sent_ms;
	GArray *changes; /* of struct dh_record_change; owned */
};

struct dh_backlog *dh_backlog_new(void);
void dh_backlog_free(struct dh_backlog *b);

/* dh_backlog_clear -- forget all steps: versions start anew. */
void dh_backlog_clear(struct dh_backlog *b);

/* dh_backlog_add -- note changes that are sent now; base is the version of the
 * step before.  Takes ownership of changes, and returns the step, valid until
 * the next call. */
const struct dh_backlog_step *dh_backlog_add(struct dh_backlog *b,
    uint64_t base, uint64_t version, GArray *changes, int64_t now_ms);

/* dh_backlog_may_arrive -- whether a VM that reports this version may still get
 * all that it lacks: all later steps were sent less than DH_BACKLOG_RESEND_MS
 * ago. */
bool dh_backlog_may_arrive(
    const struct dh_backlog *b, uint64_t version, int64_t now_ms);

/* dh_backlog_after -- the step that starts from this version; NULL if there is
 * none or it is no longer kept. */
const struct dh_backlog_step *dh_backlog_after(
    const struct dh_backlog *b, uint64_t version);

#endif
