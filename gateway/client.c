/*
 * Connections of callers.  A request is read completely before it is routed,
 * and gets exactly one answer, in the order of the requests.  Consecutive
 * requests that may be repeated run concurrently; a request behind one that
 * may not be repeated waits for its answer.
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
/* Room for the headers that another VM adds to a caller's. */
#define VM_HEAD_EXTRA 4096u
#define HEADER_TIMEOUT_DEFAULT_MS 3000
#define IDLE_TIMEOUT_DEFAULT_MS 15000
/* Time for the caller to read the last answer and to close the connection. */
#define LINGER_MS 1000
/* Limit of bytes that are read from the socket and buffered while the next
 * request must not be parsed yet. */
#define UNPARSED_MAX (1u << 20)
/* Retry-After of requests refused for lack of memory. */
#define MEMORY_LIMIT_RETRY_MS 500
/* Answers up to this size are copied into one buffer with their heads. */
#define COALESCE_MAX 16384u

/* Limit of concurrent requests of a connection. */
#define CONCURRENT_CALLS_MAX 8

enum client_state {
	CLIENT_OPEN,
	CLIENT_LINGERING, /* the last answer was sent */
	CLIENT_CLOSED,
};

/* A request of a connection, from its last byte until its answer is sent. */
struct dh_call {
	struct dh_client *client;
	struct dh_message in;
	struct dh_request *rq; /* NULL: not started, or answered */
	bool concurrent; /* may run concurrently with others */
	bool started;
	bool answered;
	GString *head; /* of an answer behind unsent ones, or NULL */
	GString *body; /* of the answer that head begins, or NULL */
	bool close; /* close the connection after the answer */
	bool paced; /* the answer is paced if it is large */
	GList link; /* in client->calls */
};

struct dh_client {
	struct dh_worker *worker;
	bool from_vm; /* another VM that forwards requests */
	uv_tcp_t tcp;
	uv_write_t write;
	uv_shutdown_t shutdown;
	enum client_state state;
	struct dh_message in; /* request being read */
	GByteArray *unparsed; /* received, not parsed yet */
	GQueue calls; /* whose answer is not sent, oldest first */
	GString *out; /* bytes being written */
	size_t out_sent; /* bytes of out that were handed to the socket */
	bool waits_for_turn; /* in worker->paced_out */
	GList paced_link;
	bool close_after; /* close after the answer just sent */
	bool continue_sent; /* 100 Continue was sent */
	bool parsing; /* in parse_input() */
	int64_t last_activity_ms; /* last read, write or change of state */
	int64_t message_start_ms; /* start of the message being read */
	GList link; /* in w->clients */
};

static void parse_input(struct dh_client *c, const char *data, size_t len);

struct dh_worker *
dh_call_worker(const struct dh_call *call)
{
	return call->client->worker;
}

bool
dh_call_from_vm(const struct dh_call *call)
{
	return call->client->from_vm;
}

void
dh_call_address(const struct dh_call *call, char *ip, size_t size)
{
	struct sockaddr_storage address;
	int len = sizeof(address);

	if (uv_tcp_getpeername(
		&call->client->tcp, (struct sockaddr *)&address, &len) != 0 ||
	    uv_ip_name((const struct sockaddr *)&address, ip, size) != 0)
		ip[0] = '\0';
}

void
dh_call_pace_answer(struct dh_call *call)
{
	call->paced = true;
}

void
dh_call_set_request(struct dh_call *call, struct dh_request *rq)
{
	call->rq = rq;
}

static void
call_free(struct dh_call *call)
{
	g_queue_unlink(&call->client->calls, &call->link);
	dh_message_clear(&call->in);
	if (call->head != NULL)
		g_string_free(call->head, TRUE);
	if (call->body != NULL)
		g_string_free(call->body, TRUE);
	g_free(call);
}

static void
on_closed(uv_handle_t *handle)
{
	struct dh_client *c = handle->data;

	dh_message_clear(&c->in);
	g_byte_array_free(c->unparsed, TRUE);
	if (c->out != NULL)
		g_string_free(c->out, TRUE);
	g_free(c);
}

static void
client_close(struct dh_client *c)
{
	struct dh_call *call;

	if (c->state == CLIENT_CLOSED)
		return;
	c->state = CLIENT_CLOSED;
	if (c->waits_for_turn)
		g_queue_unlink(&c->worker->paced_out, &c->paced_link);
	c->waits_for_turn = false;
	while (c->calls.head != NULL) {
		call = c->calls.head->data;
		if (call->rq != NULL)
			dh_request_caller_disconnected(call->rq);
		call_free(call);
	}
	g_queue_unlink(&c->worker->clients, &c->link);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void
set_limits(struct dh_client *c)
{
	const struct dh_view *v = c->worker->view;

	c->in.head_max =
	    v == NULL ? HEAD_MAX_DEFAULT : (*v->deployment)->header_bytes_max;
	if (c->from_vm)
		c->in.head_max += VM_HEAD_EXTRA;
	c->in.body_max =
	    v == NULL ? BODY_MAX_DEFAULT : (*v->deployment)->body_bytes_max;
}

static void
on_shutdown(uv_shutdown_t *req, int status)
{
	(void)req;
	(void)status;
}

/* Whether the next message may be read now. */
static bool
may_read(const struct dh_client *c)
{
	const struct dh_call *last =
	    c->calls.tail == NULL ? NULL : c->calls.tail->data;

	if (c->state != CLIENT_OPEN || c->close_after)
		return false;
	return last == NULL ||
	    (last->concurrent && !last->close &&
		c->worker->drain_began_ms == 0 &&
		c->calls.length < CONCURRENT_CALLS_MAX);
}

/* All output has been written: close if the last answer was sent. */
static void
all_written(struct dh_client *c)
{
	c->last_activity_ms = dh_worker_now_ms(c->worker);
	if (!c->close_after)
		return;
	c->state = CLIENT_LINGERING;
	if (uv_shutdown(&c->shutdown, (uv_stream_t *)&c->tcp, on_shutdown) != 0)
		client_close(c);
}

static void send_ready_answers(struct dh_client *c);

/* The buffer out has been written. */
static void
out_written(struct dh_client *c)
{
	g_string_free(c->out, TRUE);
	c->out = NULL;
	all_written(c);
	send_ready_answers(c);
	if (!c->parsing)
		parse_input(c, NULL, 0);
}

static void
wait_for_turn(struct dh_client *c)
{
	c->waits_for_turn = true;
	c->paced_link.data = c;
	g_queue_push_tail_link(&c->worker->paced_out, &c->paced_link);
	dh_pace_start(c->worker);
}

static void
on_written(uv_write_t *req, int status)
{
	struct dh_client *c = req->data;

	if (c->state != CLIENT_OPEN)
		return;
	if (status < 0) {
		client_close(c);
		return;
	}
	c->last_activity_ms = dh_worker_now_ms(c->worker);
	if (c->out_sent < c->out->len)
		wait_for_turn(c);
	else
		out_written(c);
}

/* The oldest answer gets all turns until it is written, or until its caller is
 * slow to read. */
void
dh_client_paced_turn(struct dh_client *c)
{
	struct dh_worker *w = c->worker;
	size_t len = MIN(c->out->len - c->out_sent, DH_PACE_PIECE), sent;
	uv_buf_t buf =
	    uv_buf_init(c->out->str + c->out_sent, (unsigned int)len);
	int n = uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);

	g_queue_unlink(&w->paced_out, &c->paced_link);
	c->waits_for_turn = false;
	if (n < 0 && n != UV_EAGAIN) {
		client_close(c);
		return;
	}
	sent = n < 0 ? 0 : (size_t)n;
	dh_pacer_count(&w->pacer_out, len, dh_worker_now_ms(w));
	c->out_sent += len;
	if (sent < len) {
		buf = uv_buf_init(buf.base + sent, (unsigned int)(len - sent));
		c->write.data = c;
		if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1,
			on_written) != 0)
			client_close(c);
		return;
	}
	c->last_activity_ms = dh_worker_now_ms(w);
	if (c->out_sent == c->out->len) {
		out_written(c);
		return;
	}
	c->waits_for_turn = true;
	g_queue_push_head_link(&w->paced_out, &c->paced_link);
}

/* Send head and body; the caller keeps the buffers. */
static void
client_send(struct dh_client *c, const char *head, size_t head_len,
    const char *body, size_t len)
{
	uv_buf_t bufs[2] = { uv_buf_init((char *)(uintptr_t)head,
				 (unsigned int)head_len),
		uv_buf_init((char *)(uintptr_t)body, (unsigned int)len) };
	int n = uv_try_write((uv_stream_t *)&c->tcp, bufs, len > 0 ? 2 : 1);
	size_t sent = n < 0 ? 0 : (size_t)n;

	if (n < 0 && n != UV_EAGAIN) {
		client_close(c);
		return;
	}
	if (sent == head_len + len) {
		all_written(c);
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
	c->out_sent = c->out->len;
	c->write.data = c;
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, bufs, 1, on_written) !=
	    0) {
		g_string_free(c->out, TRUE);
		c->out = NULL;
		client_close(c);
	}
}

static void
client_send_paced(
    struct dh_client *c, const GString *head, const char *body, size_t len)
{
	c->out = g_string_sized_new(head->len + len + 1);
	g_string_append_len(c->out, head->str, (gssize)head->len);
	g_string_append_len(c->out, body, (gssize)len);
	c->out_sent = 0;
	dh_counter_add(c->worker->c.paced, 1);
	wait_for_turn(c);
}

/* Send the answer to the oldest call, and free the call. */
static void
send_answer(struct dh_call *call, GString *head, const char *body, size_t len)
{
	struct dh_client *c = call->client;
	bool head_only =
	    call->in.parser.method == HTTP_HEAD && call->in.head_done;
	unsigned int status = 0;

	(void)sscanf(head->str, "HTTP/1.1 %u", &status);
	/* While draining, the connection is closed after the answer to its only
	 * remaining call. */
	c->close_after = call->close ||
	    (c->worker->drain_began_ms != 0 && c->calls.length == 1);
	if (head_only || status == 204 || status == 304)
		len = 0;
	else
		g_string_append_printf(head, "Content-Length: %zu\r\n", len);
	if (c->close_after)
		g_string_append(head, "Connection: close\r\n");
	g_string_append(head, "\r\n");
	if (len > 0 && head->len + len <= COALESCE_MAX) {
		g_string_append_len(head, body, (gssize)len);
		len = 0;
	}
	if (call->paced && len > DH_PACE_MIN && dh_pace_enabled(c->worker))
		client_send_paced(c, head, body, len);
	else
		client_send(c, head->str, head->len, body, len);
	if (c->state != CLIENT_CLOSED)
		call_free(call);
}

static void
start_call(struct dh_call *call)
{
	call->started = true;
	dh_request_start(call, &call->in);
}

/* Send the answers that are ready, in order, and start the oldest call if it
 * had to wait. */
static void
send_ready_answers(struct dh_client *c)
{
	struct dh_call *call;
	GString *head;

	while (c->state == CLIENT_OPEN && c->out == NULL &&
	    c->calls.head != NULL) {
		call = c->calls.head->data;
		if (!call->started) {
			start_call(call);
			return;
		}
		if (!call->answered)
			return;
		head = g_steal_pointer(&call->head);
		send_answer(call, head, call->body->str, call->body->len);
		g_string_free(head, TRUE);
	}
}

void
dh_call_answer(struct dh_call *call, GString *head, const char *body,
    size_t len, bool close)
{
	struct dh_client *c = call->client;

	call->rq = NULL;
	call->answered = true;
	call->close =
	    call->close || close || !http_should_keep_alive(&call->in.parser);
	if (c->calls.head->data != call || c->out != NULL) {
		call->head = head;
		call->body = g_string_new_len(body, (gssize)len);
		return;
	}
	send_answer(call, head, body, len);
	g_string_free(head, TRUE);
	if (c->state != CLIENT_OPEN)
		return;
	send_ready_answers(c);
	if (!c->parsing)
		parse_input(c, NULL, 0);
}

/* Move the message that was read into a new call, and prepare for the next
 * message. */
static struct dh_call *
call_new(struct dh_client *c)
{
	struct dh_call *call = g_new0(struct dh_call, 1);

	call->client = c;
	call->in = c->in;
	call->in.parser.data = &call->in;
	call->link.data = call;
	g_queue_push_tail_link(&c->calls, &call->link);
	dh_message_init(&c->in, HTTP_REQUEST, 0, 0);
	set_limits(c);
	c->continue_sent = false;
	return call;
}

/* Answer a request that cannot be routed with an error, and close. */
static void
reject(struct dh_client *c, unsigned int status, const char *why,
    int64_t retry_after_ms)
{
	struct dh_call *call;
	GString *head = g_string_new(NULL);

	dh_opslog_add(DH_OPS_REQUEST, "request.rejected",
	    ",\"status\":%u,\"why\":\"%s\",\"age_ms\":%lld", status, why,
	    (long long)(dh_worker_now_ms(c->worker) - c->message_start_ms));
	dh_counter_add(c->worker->c.failed, 1);
	g_string_printf(head, "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\n",
	    status, http_status_str((enum http_status)status));
	if (retry_after_ms > 0)
		g_string_append_printf(head, "Retry-After: %.3f\r\n",
		    (double)retry_after_ms / 1000.0);
	call = call_new(c);
	call->started = true;
	dh_call_answer(call, head, why, strlen(why), true);
}

static void
send_continue(struct dh_client *c)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *expect = dh_message_header(&c->in, "Expect");
	uv_buf_t buf = uv_buf_init((char *)(uintptr_t)line, sizeof(line) - 1);

	/* Earlier requests must be answered first. */
	if (c->continue_sent || c->calls.length > 0 || c->out != NULL ||
	    expect == NULL || strcasecmp(expect, "100-continue") != 0)
		return;
	c->continue_sent = true;
	if (uv_try_write((uv_stream_t *)&c->tcp, &buf, 1) !=
	    (int)sizeof(line) - 1)
		client_close(c);
}

void
dh_call_tell_progress(struct dh_call *call, bool overdue)
{
	static const char in_progress[] = "HTTP/1.1 102 Processing\r\n\r\n";
	static const char late[] =
	    "HTTP/1.1 102 Processing\r\n" DH_OVERDUE_HEADER ": 1\r\n\r\n";
	const char *text = overdue ? late : in_progress;
	struct dh_client *c = call->client;
	uv_buf_t buf =
	    uv_buf_init((char *)(uintptr_t)text, (unsigned int)strlen(text));

	if (c->calls.head->data != call || c->out != NULL)
		return;
	if (uv_try_write((uv_stream_t *)&c->tcp, &buf, 1) != (int)buf.len)
		client_close(c);
}

/* Start the request that was read, or leave it to send_ready_answers(). */
static void
add_call(struct dh_client *c)
{
	struct dh_call *call = call_new(c);

	call->close = !http_should_keep_alive(&call->in.parser);
	call->concurrent = dh_request_is_repeatable(c->worker, &call->in);
	if (call->concurrent || c->calls.length == 1)
		start_call(call);
}

/* Parse data into the current message; returns the number of bytes used. */
static size_t
feed(struct dh_client *c, const char *data, size_t len)
{
	enum dh_message_state state;
	size_t used;

	if (!c->in.began)
		c->message_start_ms = dh_worker_now_ms(c->worker);
	state = dh_message_feed(&c->in, data, len, &used);
	switch (state) {
	case DH_MESSAGE_INCOMPLETE:
		if (c->in.head_done)
			send_continue(c);
		return len;
	case DH_MESSAGE_DONE:
		add_call(c);
		return used;
	case DH_MESSAGE_INVALID:
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

/* Parse buffered bytes, then data, while the next request may be read; buffer
 * the rest. */
static void
parse_input(struct dh_client *c, const char *data, size_t len)
{
	size_t used;

	if (c->parsing)
		return;
	c->parsing = true;
	if (c->unparsed->len > 0 && len > 0) {
		g_byte_array_append(
		    c->unparsed, (const guint8 *)data, (guint)len);
		len = 0;
	}
	while (may_read(c) && c->unparsed->len > 0) {
		used =
		    feed(c, (const char *)c->unparsed->data, c->unparsed->len);
		g_byte_array_remove_range(c->unparsed, 0, (guint)used);
	}
	while (may_read(c) && len > 0) {
		used = feed(c, data, len);
		data += used;
		len -= used;
	}
	if (len > 0 && c->state == CLIENT_OPEN)
		g_byte_array_append(
		    c->unparsed, (const guint8 *)data, (guint)len);
	c->parsing = false;
	if (c->state == CLIENT_OPEN && c->in.head_done)
		send_continue(c);
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
	if (c->unparsed->len + (size_t)n > UNPARSED_MAX && !may_read(c)) {
		client_close(c);
		return;
	}
	c->last_activity_ms = dh_worker_now_ms(c->worker);
	dh_message_memory_count_read(c->worker, (size_t)n);
	parse_input(c, buf->base, (size_t)n);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct dh_client *c = handle->data;

	(void)size;
	*buf = uv_buf_init(c->worker->buffer, sizeof(c->worker->buffer));
}

void
dh_client_accept(struct dh_worker *w, uv_tcp_t *listener)
{
	struct dh_client *c = g_new0(struct dh_client, 1);

	c->worker = w;
	c->from_vm = listener == &w->forward_listener;
	c->link.data = c;
	c->unparsed = g_byte_array_new();
	dh_message_init(&c->in, HTTP_REQUEST, 0, 0);
	set_limits(c);
	c->last_activity_ms = dh_worker_now_ms(w);
	uv_tcp_init(&w->loop, &c->tcp);
	c->tcp.data = c;
	g_queue_push_tail_link(&w->clients, &c->link);
	if (uv_accept((uv_stream_t *)listener, (uv_stream_t *)&c->tcp) != 0 ||
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
		if (now_ms - c->last_activity_ms >= idle_ms)
			client_close(c);
		return;
	}
	if (!c->in.head_done && now_ms - c->message_start_ms >= header_ms)
		reject(c, 408, "head took too long", 0);
	else if (c->in.head_done && now_ms - c->last_activity_ms >= idle_ms)
		reject(c, 408, "body took too long", 0);
}

size_t
dh_client_buffered_bytes(const struct dh_client *c)
{
	size_t bytes =
	    c->unparsed->len + (c->out == NULL ? 0 : c->out->allocated_len);
	const struct dh_call *call;
	const GList *l;

	for (l = c->calls.head; l != NULL; l = l->next) {
		call = l->data;
		bytes += call->in.body->allocated_len;
		if (call->body != NULL)
			bytes += call->body->allocated_len;
	}
	return bytes;
}

size_t
dh_client_body_bytes(const struct dh_client *c, uint32_t *priority)
{
	const struct dh_view *v = c->worker->view;
	const struct dh_http_route *route;

	*priority = 0;
	if (c->state != CLIENT_OPEN || !c->in.head_done)
		return 0;
	route = v == NULL
	    ? NULL
	    : dh_deployment_match(*v->deployment,
		  dh_message_header(&c->in, "Host"), c->in.target->str);
	*priority = route == NULL ? UINT32_MAX : route->priority;
	return c->in.body->allocated_len;
}

void
dh_client_reject_memory_limit(struct dh_client *c)
{
	if (c->state != CLIENT_OPEN)
		return;
	dh_message_free_body(&c->in);
	reject(c, 503, "no room for the body", MEMORY_LIMIT_RETRY_MS);
}

static void
sweep_open(
    struct dh_client *c, int64_t now_ms, int64_t header_ms, int64_t idle_ms)
{
	if (c->out != NULL) {
		if (now_ms - c->last_activity_ms >= idle_ms &&
		    c->worker->drain_began_ms == 0)
			client_close(c);
		return;
	}
	if (c->calls.length == 0 || (c->in.began && may_read(c)))
		sweep_reading(c, now_ms, header_ms, idle_ms);
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

	/* Idle connections had drain_quiet_ms for one more request. */
	if (w->drain_began_ms != 0 &&
	    now_ms - w->drain_began_ms >= w->drain_quiet_ms)
		idle_ms = 0;
	for (l = w->clients.head; l != NULL; l = next) {
		next = l->next;
		c = l->data;
		switch (c->state) {
		case CLIENT_OPEN:
			sweep_open(c, now_ms, header_ms, idle_ms);
			break;
		case CLIENT_LINGERING:
			if (now_ms - c->last_activity_ms >= LINGER_MS)
				client_close(c);
			break;
		case CLIENT_CLOSED:
			break;
		}
	}
}
