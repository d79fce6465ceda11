#ifndef DH_CONTROL_PEERS_H
#define DH_CONTROL_PEERS_H

#include "control/control.h"
#include "proto/link.h"

/*
 * Links to other VMs, as the membership wants them.
 */
struct dh_peers;

struct dh_peers_ops {
	/* The VM greeted; hello is borrowed. */
	void (*up)(void *arg, uint64_t vm, const struct dh_hello *hello);
	/* A message came; borrowed. */
	void (*message)(void *arg, uint64_t vm, const struct dh_msg *m);
	/* No link is up any more, or an attempt to connect failed. */
	void (*down)(void *arg, uint64_t vm, enum dh_link_down why);
};

/* dh_peers_new -- listen for links.  NULL with an error when the port can't
 * be had.  ops is borrowed.  The caller owns the result. */
struct dh_peers *dh_peers_new(struct dh_control *ct,
    const struct dh_peers_ops *ops, void *arg, GError **error);
void dh_peers_free(struct dh_peers *p);

/* dh_peers_want -- a link to this VM is wanted; a changed address replaces
 * it.  The VM with the lower id connects; the other one does so too if nothing
 * came by the next dh_peers_check(). */
void dh_peers_want(
    struct dh_peers *p, uint64_t vm, const char *address, uint16_t port);

/* dh_peers_unwant -- the link is needed no more. */
void dh_peers_unwant(struct dh_peers *p, uint64_t vm);

/* dh_peers_check -- every few seconds. */
void dh_peers_check(struct dh_peers *p);

/* dh_peers_send -- false when there is no link or its queue is full: the
 * message is dropped and counted. */
bool dh_peers_send(struct dh_peers *p, uint64_t vm, const struct dh_msg *m);

/* dh_peers_send_all -- to every VM with a link. */
void dh_peers_send_all(struct dh_peers *p, const struct dh_msg *m);

bool dh_peers_is_up(const struct dh_peers *p, uint64_t vm);

/* dh_peers_links -- links that are up. */
uint32_t dh_peers_links(const struct dh_peers *p);

/* dh_peers_port -- where it listens. */
uint16_t dh_peers_port(const struct dh_peers *p);

#endif
