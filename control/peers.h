#ifndef DH_CONTROL_PEERS_H
#define DH_CONTROL_PEERS_H

#include "control/control.h"
#include "proto/link.h"

/*
 * Links to the other VMs that the membership chooses.
 */
struct dh_peers;

struct dh_peers_ops {
	/* A link to the VM is up; hello is borrowed. */
	void (*up)(void *arg, uint64_t vm, const struct dh_hello *hello);
	/* A message has arrived; m is borrowed. */
	void (*message)(void *arg, uint64_t vm, const struct dh_msg *m);
	/* The last link to the VM went down or a connection attempt failed. */
	void (*down)(void *arg, uint64_t vm, enum dh_link_down why);
};

/* dh_peers_new -- listen for links.  Returns NULL with an error if the port
 * can't be opened.  ops is borrowed.  The caller owns the result. */
struct dh_peers *dh_peers_new(struct dh_control *ct,
    const struct dh_peers_ops *ops, void *arg, GError **error);
void dh_peers_free(struct dh_peers *p);

/* dh_peers_want -- keep a link to a VM; a changed address replaces the link.
 * The VM with the lower id connects.  The other one connects too if there is no
 * link by its next dh_peers_check(). */
void dh_peers_want(
    struct dh_peers *p, uint64_t vm, const char *address, uint16_t port);

/* dh_peers_unwant -- close the link that this VM opened and don't open it
 * again. */
void dh_peers_unwant(struct dh_peers *p, uint64_t vm);

/* dh_peers_check -- connect to the wanted VMs without a link; to be called
 * about once a second. */
void dh_peers_check(struct dh_peers *p);

/* dh_peers_send -- send a message.  If no link is up or its queue is full, the
 * message is dropped and counted, and the result is false. */
bool dh_peers_send(struct dh_peers *p, uint64_t vm, const struct dh_msg *m);

/* dh_peers_send_all -- send a message to every VM with a link that is up. */
void dh_peers_send_all(struct dh_peers *p, const struct dh_msg *m);

/* dh_peers_is_up -- whether a link to the VM is up. */
bool dh_peers_is_up(const struct dh_peers *p, uint64_t vm);

/* dh_peers_links -- the number of links that are up. */
uint32_t dh_peers_links(const struct dh_peers *p);

/* dh_peers_port -- the port that accepts links. */
uint16_t dh_peers_port(const struct dh_peers *p);

#endif
