#ifndef DH_PROTO_CONN_H
#define DH_PROTO_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "proto/msg.h"

/*
 * One TCP connection that carries messages.  A connection is owned by a link
 * or a probe through `owner`; once closed it calls back no more and frees
 * itself.
 */
struct dh_conn;

struct dh_conn_ops {
	/* The connection that dh_conn_connect() began stands. */
	void (*connected)(void *owner, struct dh_conn *c);
	/* A message came; msg is borrowed, and NULL if it was of an unknown
	 * kind. */
	void (*msg)(void *owner, struct dh_conn *c, const struct dh_msg *msg);
	/* It ended, status is a libuv error; UV_EPROTO: bytes that are no
	 * message.  The owner closes it. */
	void (*ended)(void *owner, struct dh_conn *c, int status);
};

enum dh_conn_sent {
	DH_CONN_SENT, /* written or queued */
	DH_CONN_FULL, /* the queue is full: dropped */
	DH_CONN_DOWN, /* no connection: dropped */
	DH_CONN_TOO_LARGE, /* cannot be encoded: dropped */
};

/* dh_conn_connect -- begin a connection to an IP number.  *error is a libuv
 * error when the result is NULL. */
struct dh_conn *dh_conn_connect(uv_loop_t *loop, const char *address,
    uint16_t port, const struct dh_conn_ops *ops, void *owner, int *error);

/* dh_conn_accept -- take a waiting connection of a listener, or NULL. */
struct dh_conn *dh_conn_accept(uv_loop_t *loop, uv_stream_t *listener,
    const struct dh_conn_ops *ops, void *owner);

/* dh_conn_set_user_timeout -- the kernel drops a connection whose bytes stay
 * unacknowledged for so long. */
void dh_conn_set_user_timeout(struct dh_conn *c, int64_t timeout_ms);

/*
 * dh_conn_send_frame -- send an encoded frame; it is copied.  queue_bytes
 * bounds what waits here for the peer to read.
 */
enum dh_conn_sent dh_conn_send_frame(
    struct dh_conn *c, const uint8_t *frame, size_t len, size_t queue_bytes);
enum dh_conn_sent dh_conn_send(
    struct dh_conn *c, const struct dh_msg *m, size_t queue_bytes);

/* dh_conn_close -- end it; c may be NULL, and is gone for the caller. */
void dh_conn_close(struct dh_conn *c);

#endif
