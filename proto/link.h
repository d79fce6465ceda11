#ifndef DH_PROTO_LINK_H
#define DH_PROTO_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "proto/conn.h"
#include "proto/msg.h"

/*
 * Links between VMs: TCP connections of the internal protocol, each driven by
 * one event loop.
 *
 * A link made by dh_link_connect() reconnects with jittered backoff until it
 * is freed.  A link accepted by a server is handed to the user of the server
 * by the call-back `up` and ends with the call-back `down`.
 *
 * A link that received nothing for silent_ms does not prove that the VM is
 * lost: a middlebox may have dropped the state of this one connection.  The
 * link then probes the VM over a new connection, and the result decides the
 * reason that `down` gets.  The user of a link must send heartbeats over it,
 * several within silent_ms.
 */
enum dh_link_down {
	DH_LINK_CLOSED, /* the peer or the kernel ended the connection */
	DH_LINK_GOODBYE, /* the peer sent a GOODBYE message */
	DH_LINK_SILENT, /* link silent, but the VM answered a probe */
	DH_LINK_RESTARTED, /* link silent, another incarnation or VM
			    * answered the probe */
	DH_LINK_LOST, /* link silent, and the probe had no answer */
	DH_LINK_REFUSED, /* the VM's address refuses connections: the
			  * incarnation that listened there is gone */
	DH_LINK_UNREACHABLE, /* an attempt to connect failed or timed out */
	DH_LINK_VERSION, /* no common protocol version */
	DH_LINK_PROTOCOL, /* the peer violated the protocol */
};

struct dh_link_params {
	int64_t connect_ms; /* timeout for connecting and the peer's HELLO */
	int64_t silent_ms; /* time without a message until a probe starts */
	int64_t probe_ms; /* timeout for the reply to a probe */
	/* The delay between attempts to connect doubles from backoff_min_ms up
	 * to backoff_max_ms; half of each delay is random. */
	int64_t backoff_min_ms;
	int64_t backoff_max_ms;
	size_t queue_bytes; /* maximum size of a link's send queue */
	uint32_t handshakes_max; /* maximum of accepted links not yet up */
	uint64_t seed; /* of the random part of the delays */
};

/* dh_link_params_defaults -- set *p to values that suit links within a region
 * and between regions. */
void dh_link_params_defaults(struct dh_link_params *p);

struct dh_link;

/*
 * up -- the peer's HELLO arrived; peer is borrowed.
 * msg -- a message other than HELLO and GOODBYE arrived; m is borrowed.
 * down -- the link went down, or an attempt to connect failed, in which case
 * no `up` came before.  An accepted link is freed after `down` returns.
 *
 * Each of these call-backs may call dh_link_free().
 */
struct dh_link_ops {
	void (*up)(void *arg, struct dh_link *l, const struct dh_hello *peer);
	void (*msg)(void *arg, struct dh_link *l, const struct dh_msg *m);
	void (*down)(void *arg, struct dh_link *l, enum dh_link_down why);
};

/* dh_link_connect -- create a link to an address.  params, self and ops are
 * borrowed and must outlive the link.  The caller frees the link. */
struct dh_link *dh_link_connect(uv_loop_t *loop,
    const struct dh_link_params *params, const struct dh_hello *self,
    const char *address, uint16_t port, const struct dh_link_ops *ops,
    void *arg);

/* dh_link_free -- close and free a link without calling `down`.  If the link is
 * up, the peer gets a GOODBYE with reason DH_GOODBYE_UNWANTED. */
void dh_link_free(struct dh_link *l);

/* dh_link_free_reason -- like dh_link_free(), with the given reason in the
 * GOODBYE. */
void dh_link_free_reason(struct dh_link *l, enum dh_goodbye_reason reason);

/* dh_link_send -- send m to the peer.  The message is dropped unless the result
 * is DH_CONN_SENT. */
enum dh_conn_sent dh_link_send(struct dh_link *l, const struct dh_msg *m);

/* dh_link_send_frame -- send an encoded frame, so that a message to several
 * peers is encoded only once.  Results are those of dh_link_send(). */
enum dh_conn_sent dh_link_send_frame(
    struct dh_link *l, const uint8_t *frame, size_t len);

bool dh_link_is_up(const struct dh_link *l);

/* dh_link_peer -- the last HELLO of the peer; borrowed. */
const struct dh_hello *dh_link_peer(const struct dh_link *l);

/* dh_link_version -- the negotiated protocol version; 0 when the link is
 * down. */
uint32_t dh_link_version(const struct dh_link *l);

const char *dh_link_down_name(enum dh_link_down why);

/*
 * dh_link_listen -- accept links on an address.  With port 0 the kernel
 * chooses the port.  params, self and ops are borrowed and must outlive the
 * server and its links.  On failure returns NULL and sets error to
 * DH_ERROR_IO.
 */
struct dh_link_server;
struct dh_link_server *dh_link_listen(uv_loop_t *loop,
    const struct dh_link_params *params, const struct dh_hello *self,
    const char *address, uint16_t port, const struct dh_link_ops *ops,
    void *arg, GError **error);
uint16_t dh_link_server_port(const struct dh_link_server *s);

/* dh_link_server_free -- stop accepting and close the accepted links that are
 * not yet up.  Links that are up stay up. */
void dh_link_server_free(struct dh_link_server *s);

#endif
