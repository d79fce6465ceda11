#ifndef DH_CONTROL_FEED_H
#define DH_CONTROL_FEED_H

#include "control/control.h"
#include "proto/msg.h"

/*
 * This VM's node of the relay (dogwoodhub/relay.h), a tree that distributes the
 * teams' objects and the groups' tables to all VMs.  Objects arrive from a
 * watch of the store (on the few VMs that watch it), from a group's leader on
 * this VM, or from a neighbour in the tree; newer ones are sent on to all other
 * neighbours.
 */
struct dh_feed;

struct dh_feed *dh_feed_new(struct dh_control *ct);
void dh_feed_free(struct dh_feed *f);

/* dh_feed_set_watch -- start or stop watching the teams' objects in the
 * store. */
void dh_feed_set_watch(struct dh_feed *f, bool on);

/* dh_feed_set_parent -- set the VM that is the parent in the relay tree; 0 if
 * none. */
void dh_feed_set_parent(struct dh_feed *f, uint64_t vm);

/* dh_feed_link_changed -- the link to a VM went up or down. */
void dh_feed_link_changed(struct dh_feed *f, uint64_t vm, bool up);

/* dh_feed_message -- handle a CONFIG, TABLE or PULL message from a VM; other
 * kinds are ignored. */
void dh_feed_message(struct dh_feed *f, uint64_t vm, const struct dh_msg *m);

/* dh_feed_put_team -- distribute a team's object from the store that
 * dh_teams_apply() has accepted. */
void dh_feed_put_team(struct dh_feed *f, const struct dh_object *object);

/* dh_feed_put_table -- distribute the table of a group that this VM leads. */
void dh_feed_put_table(
    struct dh_feed *f, const char *group, const struct dh_group_view *view);

/* dh_feed_slots -- a group's slots in its relayed table, and their number in n;
 * NULL if there is no table.  Borrowed until the next call. */
const struct dh_assignment *dh_feed_slots(
    const struct dh_feed *f, const char *group, uint32_t *n);

/* Leader and deputy of a group in the latest term that this VM knows of. */
struct dh_feed_leaders {
	uint64_t term;
	uint64_t leader, deputy; /* VMs, 0: none */
};

/* dh_feed_leaders -- leader and deputy by the relayed table or by view,
 * whichever has the later term. */
struct dh_feed_leaders dh_feed_leaders(const struct dh_feed *f,
    const char *group, const struct dh_group_view *view);

/* dh_feed_summary -- fill in a heartbeat's digests and versions of the relayed
 * objects. */
void dh_feed_summary(const struct dh_feed *f, struct dh_heartbeat *hb);

/* dh_feed_compare -- compare the summary in a VM's heartbeat with this VM's,
 * and request missing objects if they differ. */
void dh_feed_compare(
    struct dh_feed *f, uint64_t vm, const struct dh_heartbeat *hb);

/* dh_feed_flush -- send the neighbours the objects that they lack, until their
 * links' queues are full. */
void dh_feed_flush(struct dh_feed *f);

#endif
