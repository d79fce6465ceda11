#ifndef DH_PROTO_CONN_H
#define DH_PROTO_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "proto/msg.h"

/*
 * A TCP connection that carries messages.  It passes `owner` to its
 * call-backs.  After dh_conn_close() the connection makes no further calls and
 * frees itself.
 */
struct dh_conn;

struct dh_conn_ops {
	/* The connection begun by dh_conn_connect() is established. */
	void (*connected)(void *owner, struct dh_conn *c);
	/* A message arrived.  msg is borrowed, and NULL if the message is one
	 * of a later release (DH_MSG_UNKNOWN). */
	void (*msg)(void *owner, struct dh_conn *c, const struct dh_msg *msg);
	/* The connection ended with the libuv error `status`; UV_EPROTO means
	 * that the peer sent an invalid message.  The owner must close the
	 * connection. */
	void (*ended)(void *owner, struct dh_conn *c, int status);
};

enum dh_conn_sent {
	DH_CONN_SENT, /* written or queued */
	DH_CONN_FULL, /* dropped: the send queue is full */
	DH_CONN_DOWN, /* dropped: there is no connection */
	DH_CONN_TOO_LARGE, /* dropped: dh_msg_encode() failed */
};

/* dh_conn_connect -- start to connect to a numeric IP address.  On failure
 * returns NULL and sets *error to a libuv error. */
struct dh_conn *dh_conn_connect(uv_loop_t *loop, const char *address,
    uint16_t port, const struct dh_conn_ops *ops, void *owner, int *error);

/* dh_conn_accept -- accept a pending connection of a listener.  Returns NULL on
 * failure. */
struct dh_conn *dh_conn_accept(uv_loop_t *loop, uv_stream_t *listener,
    const struct dh_conn_ops *ops, void *owner);

/* dh_conn_set_user_timeout -- let the kernel drop the connection when sent data
 * stays unacknowledged for timeout_ms (TCP_USER_TIMEOUT). */
void dh_conn_set_user_timeout(struct dh_conn *c, int64_t timeout_ms);

/*
 * dh_conn_send_frame -- send a copy of an encoded frame.  queue_bytes is the
 * maximum size of the send queue; an empty queue takes a frame of any size.
 * dh_conn_send -- encode m and send it in the same way.
 */
enum dh_conn_sent dh_conn_send_frame(
    struct dh_conn *c, const uint8_t *frame, size_t len, size_t queue_bytes);
enum dh_conn_sent dh_conn_send(
    struct dh_conn *c, const struct dh_msg *m, size_t queue_bytes);

/* dh_conn_close -- close a connection, which the caller must not use any more.
 * c may be NULL. */
void dh_conn_close(struct dh_conn *c);

#endif
