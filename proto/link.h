#ifndef DH_PROTO_LINK_H
#define DH_PROTO_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "proto/conn.h"
#include "proto/msg.h"

/*
 * Links between VMs: TCP connections of the inner protocol, on one loop.
 *
 * A connected link (dh_link_connect()) keeps itself up: it connects again
 * with jittered backoff until it is freed.  An accepted link belongs to its
 * server's user from its `up` on and ends with its `down`.
 *
 * A link on which nothing came for silent_ms isn't yet a lost VM: a middlebox
 * may have dropped the state of this one connection.  So a
 * fresh connection asks; what it says decides the reason given to `down`.
 * Whoever uses a link sends heartbeats over it, several per silent_ms.
 */
enum dh_link_down {
	DH_LINK_CLOSED, /* the peer or the kernel ended the connection */
	DH_LINK_GOODBYE, /* the peer took its leave */
	DH_LINK_SILENT, /* silent, while a fresh connection answered */
	DH_LINK_RESTARTED, /* silent; a new incarnation answered */
	DH_LINK_LOST, /* silent, and a fresh connection isn't answered */
	DH_LINK_REFUSED, /* the VM's address refuses connections: the
			  * incarnation that had it is gone */
	DH_LINK_UNREACHABLE, /* an attempt to connect had no answer */
	DH_LINK_VERSION, /* no common version of the protocol */
	DH_LINK_PROTOCOL, /* the peer sent what is no message */
};

struct dh_link_params {
	int64_t connect_ms; /* to connect and greet */
	int64_t silent_ms; /* without a byte: ask by a fresh connection */
	int64_t probe_ms; /* for that connection's answer */
	int64_t backoff_min_ms; /* between attempts: doubles to the max, */
	int64_t backoff_max_ms; /* of which half is random */
	size_t queue_bytes; /* that may wait on one link */
	uint32_t greeting_max; /* accepted links that haven't greeted yet */
	uint64_t seed; /* of the random part */
};

/* dh_link_params_defaults -- for links within and between regions. */
void dh_link_params_defaults(struct dh_link_params *p);

struct dh_link;

/*
 * up: the peer greeted; peer is borrowed.
 * msg: a message came, borrowed; neither HELLO nor GOODBYE.
 * down: the link went down, or an attempt to connect failed (without an `up`
 * before).  An accepted link is freed when `down` returns.
 * dh_link_free() may be called in any of them.
 */
struct dh_link_ops {
	void (*up)(void *arg, struct dh_link *l, const struct dh_hello *peer);
	void (*msg)(void *arg, struct dh_link *l, const struct dh_msg *m);
	void (*down)(void *arg, struct dh_link *l, enum dh_link_down why);
};

/* dh_link_connect -- a link to an address.  params, self and ops are
 * borrowed and outlive it; the caller frees it. */
struct dh_link *dh_link_connect(uv_loop_t *loop,
    const struct dh_link_params *params, const struct dh_hello *self,
    const char *address, uint16_t port, const struct dh_link_ops *ops,
    void *arg);

/* dh_link_free -- end it without a `down`; says goodbye if it is up. */
void dh_link_free(struct dh_link *l);

/* dh_link_part -- likewise, with the reason to tell the peer. */
void dh_link_part(struct dh_link *l, enum dh_goodbye_reason reason);

/* dh_link_send -- DH_CONN_FULL and DH_CONN_DOWN: the message is dropped. */
enum dh_conn_sent dh_link_send(struct dh_link *l, const struct dh_msg *m);

/* dh_link_send_frame -- likewise, for a frame that goes to many. */
enum dh_conn_sent dh_link_send_frame(
    struct dh_link *l, const uint8_t *frame, size_t len);

bool dh_link_is_up(const struct dh_link *l);

/* dh_link_peer -- the peer's last greeting; borrowed. */
const struct dh_hello *dh_link_peer(const struct dh_link *l);

/* dh_link_version -- of the protocol, agreed with the peer; 0 when down. */
uint32_t dh_link_version(const struct dh_link *l);

const char *dh_link_down_name(enum dh_link_down why);

/*
 * dh_link_listen -- accept links on an address; port 0: the kernel chooses.
 * params, self and ops are borrowed and outlive the server and its links.
 * NULL with DH_ERROR_IO.
 */
struct dh_link_server;
struct dh_link_server *dh_link_listen(uv_loop_t *loop,
    const struct dh_link_params *params, const struct dh_hello *self,
    const char *address, uint16_t port, const struct dh_link_ops *ops,
    void *arg, GError **error);
uint16_t dh_link_server_port(const struct dh_link_server *s);

/* dh_link_server_free -- accept no more; links that are up stay. */
void dh_link_server_free(struct dh_link_server *s);

#endif
