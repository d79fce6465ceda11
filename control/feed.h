#ifndef DH_CONTROL_FEED_H
#define DH_CONTROL_FEED_H

#include "control/control.h"
#include "proto/msg.h"

/*
 * What this VM holds of the teams' objects and of the groups' tables, and its
 * place in the relay tree.  Objects come from the store's watch (on the few
 * VMs that watch), from a group's leader on this VM, or from a neighbour; what
 * is new goes to all other neighbours.
 */
struct dh_feed;

struct dh_feed *dh_feed_new(struct dh_control *ct);
void dh_feed_free(struct dh_feed *f);

/* dh_feed_watch -- watch the store's teams, or stop. */
void dh_feed_watch(struct dh_feed *f, bool on);

/* dh_feed_parent -- hear from this VM, 0: from nobody. */
void dh_feed_parent(struct dh_feed *f, uint64_t vm);

/* dh_feed_link -- the link to a VM went up or down. */
void dh_feed_link(struct dh_feed *f, uint64_t vm, bool up);

/* dh_feed_message -- CONFIG, TABLE or PULL; others are ignored. */
void dh_feed_message(struct dh_feed *f, uint64_t vm, const struct dh_msg *m);

/* dh_feed_team -- a team's object from the store that keeps the schema and has
 * been taken: for the others. */
void dh_feed_team(struct dh_feed *f, const struct dh_object *object);

/* dh_feed_table -- a leader on this VM has another table. */
void dh_feed_table(
    struct dh_feed *f, const char *group, const struct dh_group_view *view);

/* dh_feed_slots -- a group's slots as relayed, and how many; NULL if none is
 * held.  Borrowed until the next call. */
const struct dh_assignment *dh_feed_slots(
    const struct dh_feed *f, const char *group, uint32_t *n);

/* Who leads a group, by the latest term that this VM knows of. */
struct dh_feed_lead {
	uint64_t term;
	uint64_t leader, deputy; /* VMs, 0: none */
};

/* dh_feed_leader -- the later of what was relayed and of view. */
struct dh_feed_lead dh_feed_leader(const struct dh_feed *f, const char *group,
    const struct dh_group_view *view);

/* dh_feed_summary -- fill in a heartbeat's summary.
 * dh_feed_compare -- a partner's heartbeat came. */
void dh_feed_summary(const struct dh_feed *f, struct dh_heartbeat *hb);
void dh_feed_compare(
    struct dh_feed *f, uint64_t vm, const struct dh_heartbeat *hb);

/* dh_feed_flush -- send what neighbours still lack, as far as it goes. */
void dh_feed_flush(struct dh_feed *f);

#endif
