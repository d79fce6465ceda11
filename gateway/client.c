/*
 * Connections of callers: requests one after the other, each whole before it
 * is routed, each with exactly one answer.
 */
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/opslog.h"
#include "gateway/worker_internal.h"
#include "platform/wire.h"

/* Limits before a configuration is known. */
#define HEAD_MAX_DEFAULT 16384u
#define BODY_MAX_DEFAULT (64u << 20)
#define HEADER_TIMEOUT_DEFAULT_MS 3000
#define IDLE_TIMEOUT_DEFAULT_MS 15000
/* After the last answer: time for the caller to read it and to close. */
#define LINGER_MS 1000
/* Bytes that a caller may send ahead of its turn. */
#define AHEAD_MAX (1u << 20)
/* For callers whose bodies found no room. */
#define NO_ROOM_RETRY_MS 500
/* Answers up to this size go out in one piece with their heads. */
#define JOIN_MAX 16384u

enum client_state {
	CLIENT_READING,
	CLIENT_BUSY, /* a request of it has no answer yet */
	CLIENT_WRITING,
	CLIENT_LINGERING, /* answered for the last time */
	CLIENT_CLOSED,
};

struct dh_client {
	struct dh_worker *worker;
	uv_tcp_t tcp;
	uv_write_t write;
	uv_shutdown_t shutdown;
	enum client_state state;
	struct dh_message in;
	GByteArray *ahead; /* read, not looked at yet */
	struct dh_request *rq;
	GString *out; /* being written */
	bool close_after;
	bool continued; /* told to send the body */
	bool pumping;
	bool reading;
	int64_t since_ms; /* in this state, or since the last byte */
	int64_t began_ms; /* of the message being read */
	GList link; /* in w->clients */
};

static void pump(struct dh_client *c, const char *data, size_t len);

struct dh_worker *
dh_client_worker(const struct dh_client *client)
{
	return client->worker;
}

void
dh_client_set_request(struct dh_client *client, struct dh_request *rq)
{
	client->rq = rq;
}

static void
on_closed(uv_handle_t *handle)
{
	struct dh_client *c = handle->data;

	dh_message_clear(&c->in);
	g_byte_array_free(c->ahead, TRUE);
	if (c->out != NULL)
		g_string_free(c->out, TRUE);
	g_free(c);
}

static void
client_close(struct dh_client *c)
{
	struct dh_request *rq = c->rq;

	if (c->state == CLIENT_CLOSED)
		return;
	c->state = CLIENT_CLOSED;
	c->rq = NULL;
	if (rq != NULL)
		dh_request_abandon(rq);
	g_queue_unlink(&c->worker->clients, &c->link);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void
set_limits(struct dh_client *c)
{
	const struct dh_view *v = c->worker->view;

	c->in.head_max =
	    v == NULL ? HEAD_MAX_DEFAULT : (*v->deployment)->header_bytes_max;
	c->in.body_max =
	    v == NULL ? BODY_MAX_DEFAULT : (*v->deployment)->body_bytes_max;
}

static void
on_shut(uv_shutdown_t *req, int status)
{
	(void)req;
	(void)status;
}

/* The answer is out: the next request, or the end. */
static void
answer_written(struct dh_client *c)
{
	c->since_ms = dh_worker_now_ms(c->worker);
	if (c->close_after) {
		c->state = CLIENT_LINGERING;
		if (uv_shutdown(
			&c->shutdown, (uv_stream_t *)&c->tcp, on_shut) != 0)
			client_close(c);
		return;
	}
	dh_message_reset(&c->in);
	set_limits(c);
	c->continued = false;
	c->state = CLIENT_READING;
	if (!c->pumping)
		pump(c, NULL, 0);
}

static void
on_written(uv_write_t *req, int status)
{
	struct dh_client *c = req->data;

	g_string_free(c->out, TRUE);
	c->out = NULL;
	if (c->state != CLIENT_WRITING)
		return;
	if (status < 0)
		client_close(c);
	else
		answer_written(c);
}

/* Send bytes, which stay the caller's. */
static void
client_send(struct dh_client *c, const char *head, size_t head_len,
    const char *body, size_t len)
{
	uv_buf_t bufs[2] = { uv_buf_init((char *)(uintptr_t)head,
				 (unsigned int)head_len),
		uv_buf_init((char *)(uintptr_t)body, (unsigned int)len) };
	int n = uv_try_write((uv_stream_t *)&c->tcp, bufs, len > 0 ? 2 : 1);
	size_t sent = n < 0 ? 0 : (size_t)n;

	c->state = CLIENT_WRITING;
	if (n < 0 && n != UV_EAGAIN) {
		client_close(c);
		return;
	}
	if (sent == head_len + len) {
		answer_written(c);
		return;
	}
	c->out = g_string_new(NULL);
	if (sent < head_len) {
		g_string_append_len(
		    c->out, head + sent, (gssize)(head_len - sent));
		sent = head_len;
	}
	if (len > 0)
		g_string_append_len(c->out, body + (sent - head_len),
		    (gssize)(len - (sent - head_len)));
	bufs[0] = uv_buf_init(c->out->str, (unsigned int)c->out->len);
	c->write.data = c;
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, bufs, 1, on_written) !=
	    0) {
		g_string_free(c->out, TRUE);
		c->out = NULL;
		client_close(c);
	}
}

void
dh_client_answer(struct dh_client *c, GString *head, const char *body,
    size_t len, bool close)
{
	unsigned int status = 0;
	bool head_only = c->in.parser.method == HTTP_HEAD && c->in.head_done;

	c->rq = NULL;
	if (c->state == CLIENT_CLOSED) {
		g_string_free(head, TRUE);
		return;
	}
	(void)sscanf(head->str, "HTTP/1.1 %u", &status);
	c->close_after = close || c->worker->drain_began_ms != 0 ||
	    !http_should_keep_alive(&c->in.parser);
	if (head_only || status == 204 || status == 304)
		len = 0;
	else
		g_string_append_printf(head, "Content-Length: %zu\r\n", len);
	if (c->close_after)
		g_string_append(head, "Connection: close\r\n");
	g_string_append(head, "\r\n");
	if (len > 0 && head->len + len <= JOIN_MAX) {
		g_string_append_len(head, body, (gssize)len);
		len = 0;
	}
	client_send(c, head->str, head->len, body, len);
	g_string_free(head, TRUE);
}

/* Answer what is no request that could be routed, and close. */
static void
reject(struct dh_client *c, unsigned int status, const char *why,
    int64_t retry_after_ms)
{
	GString *head = g_string_new(NULL);

	dh_ops(DH_OPS_REQUEST, "request.rejected",
	    ",\"status\":%u,\"why\":\"%s\",\"age_ms\":%lld", status, why,
	    (long long)(dh_worker_now_ms(c->worker) - c->began_ms));
	dh_counter_add(c->worker->c.failed, 1);
	g_string_printf(head, "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\n",
	    status, http_status_str((enum http_status)status));
	if (retry_after_ms > 0)
		g_string_append_printf(head, "Retry-After: %.3f\r\n",
		    (double)retry_after_ms / 1000.0);
	dh_client_answer(c, head, why, strlen(why), true);
}

static void
send_continue(struct dh_client *c)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *expect = dh_message_header(&c->in, "Expect");
	uv_buf_t buf = uv_buf_init((char *)(uintptr_t)line, sizeof(line) - 1);

	if (c->continued || expect == NULL ||
	    strcasecmp(expect, "100-continue") != 0)
		return;
	c->continued = true;
	if (uv_try_write((uv_stream_t *)&c->tcp, &buf, 1) !=
	    (int)sizeof(line) - 1)
		client_close(c);
}

/* Feed a message from data; how many bytes it took. */
static size_t
feed(struct dh_client *c, const char *data, size_t len)
{
	enum dh_message_state state;
	size_t used;

	if (!c->in.began)
		c->began_ms = dh_worker_now_ms(c->worker);
	state = dh_message_feed(&c->in, data, len, &used);
	switch (state) {
	case DH_MESSAGE_MORE:
		if (c->in.head_done)
			send_continue(c);
		return len;
	case DH_MESSAGE_DONE:
		c->state = CLIENT_BUSY;
		dh_request_start(c, &c->in);
		return used;
	case DH_MESSAGE_BAD:
		reject(c, 400, "not a request", 0);
		return len;
	case DH_MESSAGE_HEAD_TOO_LARGE:
		reject(c, 431, "head too large", 0);
		return len;
	case DH_MESSAGE_BODY_TOO_LARGE:
		reject(c, 413, "body too large", 0);
		return len;
	}
	return len;
}

/* Take what has been read, as far as it is its turn. */
static void
pump(struct dh_client *c, const char *data, size_t len)
{
	size_t used;

	if (c->pumping)
		return;
	c->pumping = true;
	if (c->ahead->len > 0 && len > 0) {
		g_byte_array_append(c->ahead, (const guint8 *)data, (guint)len);
		len = 0;
	}
	while (c->state == CLIENT_READING && c->ahead->len > 0) {
		used = feed(c, (const char *)c->ahead->data, c->ahead->len);
		g_byte_array_remove_range(c->ahead, 0, (guint)used);
	}
	while (c->state == CLIENT_READING && len > 0) {
		used = feed(c, data, len);
		data += used;
		len -= used;
	}
	if (len > 0 && (c->state == CLIENT_BUSY || c->state == CLIENT_WRITING))
		g_byte_array_append(c->ahead, (const guint8 *)data, (guint)len);
	c->pumping = false;
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct dh_client *c = stream->data;

	if (n == 0 || c->state == CLIENT_CLOSED)
		return;
	if (n < 0) {
		client_close(c);
		return;
	}
	if (c->state == CLIENT_LINGERING)
		return;
	if (c->ahead->len + (size_t)n > AHEAD_MAX &&
	    c->state != CLIENT_READING) {
		client_close(c);
		return;
	}
	c->since_ms = dh_worker_now_ms(c->worker);
	dh_room_read(c->worker, (size_t)n);
	pump(c, buf->base, (size_t)n);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct dh_client *c = handle->data;

	(void)size;
	*buf = uv_buf_init(c->worker->buffer, sizeof(c->worker->buffer));
}

void
dh_client_accept(struct dh_worker *w)
{
	struct dh_client *c = g_new0(struct dh_client, 1);

	c->worker = w;
	c->link.data = c;
	c->ahead = g_byte_array_new();
	dh_message_init(&c->in, HTTP_REQUEST, 0, 0);
	set_limits(c);
	c->since_ms = dh_worker_now_ms(w);
	uv_tcp_init(&w->loop, &c->tcp);
	c->tcp.data = c;
	g_queue_push_tail_link(&w->clients, &c->link);
	if (uv_accept((uv_stream_t *)&w->listener, (uv_stream_t *)&c->tcp) !=
		0 ||
	    w->clients.length > w->settings->connections_max ||
	    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read) != 0) {
		client_close(c);
		return;
	}
	(void)uv_tcp_nodelay(&c->tcp, 1);
}

static void
sweep_reading(
    struct dh_client *c, int64_t now_ms, int64_t header_ms, int64_t idle_ms)
{
	if (!c->in.began) {
		if (now_ms - c->since_ms >= idle_ms)
			client_close(c);
		return;
	}
	if (!c->in.head_done && now_ms - c->began_ms >= header_ms)
		reject(c, 408, "head took too long", 0);
	else if (c->in.head_done && now_ms - c->since_ms >= idle_ms)
		reject(c, 408, "body took too long", 0);
}

size_t
dh_client_held(const struct dh_client *c)
{
	/* The request's body is held until the answer is there. */
	return c->ahead->len +
	    (c->state == CLIENT_READING ? 0 : c->in.body->allocated_len) +
	    (c->out == NULL ? 0 : c->out->allocated_len);
}

size_t
dh_client_reading(const struct dh_client *c, uint32_t *priority)
{
	const struct dh_view *v = c->worker->view;
	const struct dh_http_route *route;

	*priority = 0;
	if (c->state != CLIENT_READING || !c->in.head_done)
		return 0;
	route = v == NULL
	    ? NULL
	    : dh_deployment_match(*v->deployment,
		  dh_message_header(&c->in, "Host"), c->in.target->str);
	*priority = route == NULL ? UINT32_MAX : route->priority;
	return c->in.body->allocated_len;
}

void
dh_client_no_room(struct dh_client *c)
{
	if (c->state != CLIENT_READING)
		return;
	dh_message_drop_body(&c->in);
	reject(c, 503, "no room for the body", NO_ROOM_RETRY_MS);
}

void
dh_clients_close(struct dh_worker *w)
{
	while (w->clients.head != NULL)
		client_close(w->clients.head->data);
}

void
dh_clients_sweep(struct dh_worker *w, int64_t now_ms)
{
	const struct dh_deployment *d =
	    w->view == NULL ? NULL : *w->view->deployment;
	int64_t header_ms =
	    d == NULL ? HEADER_TIMEOUT_DEFAULT_MS : d->header_timeout_ms;
	int64_t idle_ms =
	    d == NULL ? IDLE_TIMEOUT_DEFAULT_MS : d->idle_timeout_ms;
	struct dh_client *c;
	GList *l, *next;

	/* Those that are idle have had their time to send one more. */
	if (w->drain_began_ms != 0 &&
	    now_ms - w->drain_began_ms >= w->drain_quiet_ms)
		idle_ms = 0;
	for (l = w->clients.head; l != NULL; l = next) {
		next = l->next;
		c = l->data;
		switch (c->state) {
		case CLIENT_READING:
			sweep_reading(c, now_ms, header_ms, idle_ms);
			break;
		case CLIENT_LINGERING:
			if (now_ms - c->since_ms >= LINGER_MS)
				client_close(c);
			break;
		case CLIENT_WRITING:
			if (now_ms - c->since_ms >= idle_ms &&
			    w->drain_began_ms == 0)
				client_close(c);
			break;
		case CLIENT_BUSY:
		case CLIENT_CLOSED:
			break;
		}
	}
}
