#include "proto/conn.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "proto/frame.h"

#define READ_SIZE 65536 /* bytes */

struct dh_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct dh_frame_decoder decoder;
	const struct dh_conn_ops *ops;
	void *owner; /* NULL once closed: no more call-backs */
	size_t queued; /* bytes in the send queue */
};

struct write {
	uv_write_t req;
	struct dh_conn *conn;
	size_t len;
	uint8_t frame[];
};

static void
conn_closed(uv_handle_t *handle)
{
	struct dh_conn *c = handle->data;

	dh_frame_clear(&c->decoder);
	g_free(c);
}

void
dh_conn_close(struct dh_conn *c)
{
	if (c == NULL || c->owner == NULL)
		return;
	c->owner = NULL;
	uv_close((uv_handle_t *)&c->tcp, conn_closed);
}

static void
conn_ended(struct dh_conn *c, int status)
{
	if (c->owner != NULL)
		c->ops->ended(c->owner, c, status);
}

static bool
on_frame(void *arg, const uint8_t *payload, size_t len)
{
	struct dh_conn *c = arg;
	struct dh_msg m;

	switch (dh_msg_decode(payload, len, &m)) {
	case DH_MSG_OK:
		c->ops->msg(c->owner, c, &m);
		dh_msg_clear(&m);
		break;
	case DH_MSG_UNKNOWN:
		c->ops->msg(c->owner, c, NULL);
		break;
	case DH_MSG_INVALID:
		conn_ended(c, UV_EPROTO);
		return false;
	case DH_MSG_NOMEM:
		conn_ended(c, UV_ENOMEM);
		return false;
	}
	/* The call-back may have closed the connection. */
	return c->owner != NULL;
}

/* All connections of a thread share one buffer, because on_read() consumes the
 * data of a read before the next read begins. */
static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static _Thread_local char buffer[READ_SIZE];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct dh_conn *c = stream->data;

	if (c->owner == NULL || n == 0)
		return;
	if (n < 0) {
		conn_ended(c, (int)n);
		return;
	}
	switch (dh_frame_feed(
	    &c->decoder, (const uint8_t *)buf->base, (size_t)n, on_frame, c)) {
	case DH_FRAME_BAD_LENGTH:
		conn_ended(c, UV_EPROTO);
		break;
	case DH_FRAME_NOMEM:
		conn_ended(c, UV_ENOMEM);
		break;
	case DH_FRAME_OK:
	case DH_FRAME_STOPPED:
		break;
	}
}

static struct dh_conn *
conn_new(uv_loop_t *loop, const struct dh_conn_ops *ops, void *owner)
{
	struct dh_conn *c = g_new0(struct dh_conn, 1);

	g_assert(owner != NULL);
	uv_tcp_init(loop, &c->tcp);
	c->tcp.data = c;
	c->ops = ops;
	c->owner = owner;
	return c;
}

static void
conn_start(struct dh_conn *c)
{
	uv_tcp_nodelay(&c->tcp, 1);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static void
on_connect(uv_connect_t *req, int status)
{
	struct dh_conn *c = req->data;

	if (c->owner == NULL)
		return;
	if (status < 0) {
		conn_ended(c, status);
		return;
	}
	conn_start(c);
	c->ops->connected(c->owner, c);
}

struct dh_conn *
dh_conn_connect(uv_loop_t *loop, const char *address, uint16_t port,
    const struct dh_conn_ops *ops, void *owner, int *error)
{
	struct sockaddr_storage to = { 0 };
	struct dh_conn *c;

	*error = uv_ip4_addr(address, port, (struct sockaddr_in *)&to);
	if (*error < 0)
		*error = uv_ip6_addr(address, port, (struct sockaddr_in6 *)&to);
	if (*error < 0)
		return NULL;
	c = conn_new(loop, ops, owner);
	c->connect.data = c;
	*error = uv_tcp_connect(
	    &c->connect, &c->tcp, (const struct sockaddr *)&to, on_connect);
	if (*error < 0) {
		dh_conn_close(c);
		return NULL;
	}
	return c;
}

struct dh_conn *
dh_conn_accept(uv_loop_t *loop, uv_stream_t *listener,
    const struct dh_conn_ops *ops, void *owner)
{
	struct dh_conn *c = conn_new(loop, ops, owner);

	if (uv_accept(listener, (uv_stream_t *)&c->tcp) < 0) {
		dh_conn_close(c);
		return NULL;
	}
	conn_start(c);
	return c;
}

void
dh_conn_set_user_timeout(struct dh_conn *c, int64_t timeout_ms)
{
	unsigned int ms = (unsigned int)timeout_ms;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) < 0)
		return;
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static void
on_written(uv_write_t *req, int status)
{
	struct write *w = (struct write *)(void *)req;

	/* A failed write also ends reading, and on_read() reports the error. */
	(void)status;
	w->conn->queued -= w->len;
	g_free(w);
}

enum dh_conn_sent
dh_conn_send_frame(
    struct dh_conn *c, const uint8_t *frame, size_t len, size_t queue_bytes)
{
	struct write *w;
	uv_buf_t buf;

	if (c->owner == NULL)
		return DH_CONN_DOWN;
	if (c->queued > 0 && c->queued + len > queue_bytes)
		return DH_CONN_FULL;
	w = g_malloc(sizeof(*w) + len);
	w->conn = c;
	w->len = len;
	memcpy(w->frame, frame, len);
	buf = uv_buf_init((char *)w->frame, (unsigned int)len);
	if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written) <
	    0) {
		g_free(w);
		return DH_CONN_DOWN;
	}
	c->queued += len;
	return DH_CONN_SENT;
}

enum dh_conn_sent
dh_conn_send(struct dh_conn *c, const struct dh_msg *m, size_t queue_bytes)
{
	enum dh_conn_sent sent;
	uint8_t *frame;
	size_t len;

	frame = dh_msg_encode(m, &len);
	if (frame == NULL)
		return DH_CONN_TOO_LARGE;
	sent = dh_conn_send_frame(c, frame, len, queue_bytes);
	free(frame);
	return sent;
}
