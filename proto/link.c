#include "proto/link.h"

#include <string.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"

#define LISTEN_BACKLOG 512

enum state {
	STATE_WAITING, /* until the next attempt to connect */
	STATE_CONNECTING, /* until the peer's HELLO arrives */
	STATE_UP,
	STATE_ENDED, /* closed; the link is about to be freed */
};

struct dh_link {
	uv_loop_t *loop;
	uv_timer_t timer;
	const struct dh_link_params *params;
	const struct dh_hello *self;
	const struct dh_link_ops *ops;
	void *arg;
	char address[DH_ADDRESS_MAX];
	uint16_t port;
	enum state state;
	struct dh_conn *conn;
	struct dh_conn *probe;
	int64_t last_received_ms; /* time of the last received message */
	int64_t up_ms; /* time when the link came up */
	int64_t probe_deadline_ms; /* deadline of the probe */
	int64_t backoff_ms;
	uint64_t random;
	uint32_t version;
	struct dh_hello peer;
	struct dh_link_server *server; /* set until an accepted link is up */
	bool accepted;
};

struct dh_link_server {
	uv_tcp_t tcp;
	const struct dh_link_params *params;
	const struct dh_hello *self;
	const struct dh_link_ops *ops;
	void *arg;
	GPtrArray *handshaking; /* struct dh_link *: accepted, not yet up */
};

void
dh_link_params_defaults(struct dh_link_params *p)
{
	*p = (struct dh_link_params){ .connect_ms = 500,
		.silent_ms = 1500,
		.probe_ms = 500,
		.backoff_min_ms = 50,
		.backoff_max_ms = 5000,
		.queue_bytes = (size_t)4 * 1024 * 1024,
		.handshakes_max = 256,
		.seed = 1 };
}

const char *
dh_link_down_name(enum dh_link_down why)
{
	static const char *const names[] = { [DH_LINK_CLOSED] = "closed",
		[DH_LINK_GOODBYE] = "goodbye",
		[DH_LINK_SILENT] = "silent",
		[DH_LINK_RESTARTED] = "restarted",
		[DH_LINK_LOST] = "lost",
		[DH_LINK_REFUSED] = "refused",
		[DH_LINK_UNREACHABLE] = "unreachable",
		[DH_LINK_VERSION] = "version",
		[DH_LINK_PROTOCOL] = "protocol" };

	return names[why];
}

static void
count_down(enum dh_link_down why)
{
	g_autofree char *label =
	    g_strdup_printf("reason=\"%s\"", dh_link_down_name(why));

	dh_counter_add(dh_counter_get("dh_link_down_total", label), 1);
}

static void
count_dropped(enum dh_conn_sent sent)
{
	static struct dh_counter *full, *too_large;

	if (full == NULL) {
		full =
		    dh_counter_get("dh_link_dropped_total", "reason=\"full\"");
		too_large = dh_counter_get(
		    "dh_link_dropped_total", "reason=\"too-large\"");
	}
	if (sent == DH_CONN_FULL)
		dh_counter_add(full, 1);
	else if (sent == DH_CONN_TOO_LARGE)
		dh_counter_add(too_large, 1);
}

static void on_timer(uv_timer_t *timer);

static void
start_timer(struct dh_link *l, int64_t after_ms)
{
	uv_timer_start(
	    &l->timer, on_timer, after_ms < 0 ? 0 : (uint64_t)after_ms, 0);
}

static void
link_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void
close_and_free(struct dh_link *l)
{
	l->state = STATE_ENDED;
	dh_conn_close(l->conn);
	dh_conn_close(l->probe);
	if (l->server != NULL)
		g_ptr_array_remove_fast(l->server->handshaking, l);
	uv_close((uv_handle_t *)&l->timer, link_closed);
}

/* xorshift64 generator; it only serves to spread attempts over time. */
static uint64_t
random_below(struct dh_link *l, uint64_t n)
{
	l->random ^= l->random << 13;
	l->random ^= l->random >> 7;
	l->random ^= l->random << 17;
	return n == 0 ? 0 : l->random % n;
}

/* Delay before the next attempt to connect; 0 if a probe just showed that the
 * address answers. */
static int64_t
next_backoff(struct dh_link *l, enum dh_link_down why)
{
	int64_t half;

	if (why == DH_LINK_SILENT || why == DH_LINK_RESTARTED)
		return 0;
	half = l->backoff_ms / 2;
	l->backoff_ms *= 2;
	if (l->backoff_ms > l->params->backoff_max_ms)
		l->backoff_ms = l->params->backoff_max_ms;
	return half + (int64_t)random_below(l, (uint64_t)half + 1);
}

static void
link_down(struct dh_link *l, enum dh_link_down why)
{
	bool handed_over = l->server == NULL;

	/* The delay is reset only after a link has stayed up, so that a peer
	 * which closes right after its HELLO is not retried at a high rate. */
	if (l->state == STATE_UP && dh_clock_ms() - l->up_ms >= l->backoff_ms)
		l->backoff_ms = l->params->backoff_min_ms;
	dh_conn_close(l->conn);
	dh_conn_close(l->probe);
	l->conn = NULL;
	l->probe = NULL;
	l->version = 0;
	count_down(why);
	if (l->accepted) {
		/* The timer frees the link, unless the call-back does. */
		l->state = STATE_ENDED;
		start_timer(l, 0);
	} else {
		l->state = STATE_WAITING;
		start_timer(l, next_backoff(l, why));
	}
	if (handed_over)
		l->ops->down(l->arg, l, why);
}

static const struct dh_conn_ops conn_ops;
static const struct dh_conn_ops probe_ops;

static void
send_hello(struct dh_link *l, struct dh_conn *c, enum dh_hello_purpose purpose)
{
	struct dh_msg m = { .kind = DH_MSG_HELLO, .hello = *l->self };

	m.hello.version_min = DH_PROTO_VERSION_MIN;
	m.hello.version_max = DH_PROTO_VERSION_MAX;
	if (l->self->version_max != 0) {
		m.hello.version_min = l->self->version_min;
		m.hello.version_max = l->self->version_max;
	}
	m.hello.purpose = purpose;
	(void)dh_conn_send(c, &m, l->params->queue_bytes);
}

static enum dh_link_down
failure_reason(int status)
{
	switch (status) {
	case UV_ECONNREFUSED:
		return DH_LINK_REFUSED;
	case UV_EPROTO:
		return DH_LINK_PROTOCOL;
	default:
		return DH_LINK_UNREACHABLE;
	}
}

static void
start_connecting(struct dh_link *l)
{
	int error;

	l->state = STATE_CONNECTING;
	l->conn =
	    dh_conn_connect(l->loop, l->address, l->port, &conn_ops, l, &error);
	if (l->conn == NULL) {
		link_down(l, failure_reason(error));
		return;
	}
	start_timer(l, l->params->connect_ms);
}

/* Highest protocol version that both HELLO messages allow, or 0. */
static uint32_t
common_version(const struct dh_hello *self, const struct dh_hello *peer)
{
	uint32_t low = DH_PROTO_VERSION_MIN, high = DH_PROTO_VERSION_MAX;

	if (self->version_max != 0) {
		low = self->version_min;
		high = self->version_max;
	}
	if (peer->version_min > low)
		low = peer->version_min;
	if (peer->version_max < high)
		high = peer->version_max;
	return low <= high ? high : 0;
}

static void
send_goodbye(struct dh_link *l, enum dh_goodbye_reason reason)
{
	struct dh_msg m = { .kind = DH_MSG_GOODBYE };

	m.goodbye.reason = reason;
	(void)dh_conn_send(l->conn, &m, l->params->queue_bytes);
}

static void
enter_up_state(struct dh_link *l)
{
	if (l->accepted) {
		g_ptr_array_remove_fast(l->server->handshaking, l);
		l->server = NULL;
		/* Probes connect to the address that the peer listens on. */
		g_strlcpy(l->address, l->peer.address, sizeof(l->address));
		l->port = l->peer.port;
	}
	l->state = STATE_UP;
	l->up_ms = l->last_received_ms;
	/* Longer than a probe takes, because the result of the probe gives a
	 * more precise reason than the kernel's timeout. */
	dh_conn_set_user_timeout(
	    l->conn, l->params->silent_ms + 2 * l->params->probe_ms);
	start_timer(l, l->params->silent_ms / 4 + 1);
	l->ops->up(l->arg, l, &l->peer);
}

static void
on_hello(struct dh_link *l, const struct dh_hello *peer)
{
	l->peer = *peer;
	l->last_received_ms = dh_clock_ms();
	if (l->accepted)
		send_hello(l, l->conn, peer->purpose);
	if (l->accepted && peer->purpose == DH_HELLO_PROBE) {
		/* Limits how long the peer may keep the connection open. */
		start_timer(l, l->params->connect_ms);
		return;
	}
	l->version = common_version(l->self, peer);
	if (l->version == 0) {
		send_goodbye(l, DH_GOODBYE_VERSION);
		link_down(l, DH_LINK_VERSION);
		return;
	}
	enter_up_state(l);
}

static void
stop_probe(struct dh_link *l)
{
	dh_conn_close(l->probe);
	l->probe = NULL;
}

static void
conn_connected(void *owner, struct dh_conn *c)
{
	send_hello(owner, c, DH_HELLO_PEER);
}

static void
conn_msg(void *owner, struct dh_conn *c, const struct dh_msg *m)
{
	struct dh_link *l = owner;

	(void)c;
	l->last_received_ms = dh_clock_ms();
	if (l->probe != NULL)
		stop_probe(l);
	if (m != NULL && m->kind == DH_MSG_GOODBYE) {
		link_down(l,
		    m->goodbye.reason == DH_GOODBYE_VERSION ? DH_LINK_VERSION
							    : DH_LINK_GOODBYE);
		return;
	}
	if (l->state == STATE_CONNECTING) {
		if (m != NULL && m->kind == DH_MSG_HELLO)
			on_hello(l, &m->hello);
		else
			link_down(l, DH_LINK_PROTOCOL);
		return;
	}
	if (m != NULL && m->kind != DH_MSG_HELLO)
		l->ops->msg(l->arg, l, m);
}

static void
conn_ended(void *owner, struct dh_conn *c, int status)
{
	struct dh_link *l = owner;
	enum dh_link_down why = failure_reason(status);

	(void)c;
	if (why == DH_LINK_UNREACHABLE &&
	    (l->state == STATE_UP || status == UV_EOF ||
		status == UV_ECONNRESET))
		why = DH_LINK_CLOSED;
	link_down(l, why);
}

static const struct dh_conn_ops conn_ops = {
	.connected = conn_connected, .msg = conn_msg, .ended = conn_ended
};

/* Probes. */

static void
probe_connected(void *owner, struct dh_conn *c)
{
	send_hello(owner, c, DH_HELLO_PROBE);
}

static void
probe_msg(void *owner, struct dh_conn *c, const struct dh_msg *m)
{
	struct dh_link *l = owner;

	(void)c;
	if (m == NULL || m->kind != DH_MSG_HELLO)
		return;
	if (m->hello.incarnation != l->peer.incarnation ||
	    strcmp(m->hello.vm, l->peer.vm) != 0)
		link_down(l, DH_LINK_RESTARTED);
	else
		link_down(l, DH_LINK_SILENT);
}

static void
probe_ended(void *owner, struct dh_conn *c, int status)
{
	struct dh_link *l = owner;

	(void)c;
	link_down(
	    l, status == UV_ECONNREFUSED ? DH_LINK_REFUSED : DH_LINK_LOST);
}

static const struct dh_conn_ops probe_ops = {
	.connected = probe_connected, .msg = probe_msg, .ended = probe_ended
};

static void
start_probe(struct dh_link *l)
{
	int error;

	l->probe_deadline_ms = dh_clock_ms() + l->params->probe_ms;
	l->probe = dh_conn_connect(
	    l->loop, l->address, l->port, &probe_ops, l, &error);
	if (l->probe == NULL)
		link_down(l, DH_LINK_LOST);
}

static void
check_silence(struct dh_link *l)
{
	int64_t now = dh_clock_ms();

	start_timer(l, l->params->silent_ms / 4 + 1);
	if (l->probe != NULL) {
		if (now >= l->probe_deadline_ms)
			link_down(l, DH_LINK_LOST);
		return;
	}
	if (now - l->last_received_ms >= l->params->silent_ms)
		start_probe(l);
}

static void
on_timer(uv_timer_t *timer)
{
	struct dh_link *l = timer->data;

	switch (l->state) {
	case STATE_WAITING:
		start_connecting(l);
		break;
	case STATE_CONNECTING:
		link_down(l, DH_LINK_UNREACHABLE);
		break;
	case STATE_UP:
		check_silence(l);
		break;
	case STATE_ENDED:
		close_and_free(l);
		break;
	}
}

static struct dh_link *
link_new(uv_loop_t *loop, const struct dh_link_params *params,
    const struct dh_hello *self, const struct dh_link_ops *ops, void *arg)
{
	struct dh_link *l = g_new0(struct dh_link, 1);

	l->loop = loop;
	l->params = params;
	l->self = self;
	l->ops = ops;
	l->arg = arg;
	l->backoff_ms = params->backoff_min_ms;
	l->random = (params->seed ^ (uintptr_t)l) | 1;
	uv_timer_init(loop, &l->timer);
	l->timer.data = l;
	return l;
}

struct dh_link *
dh_link_connect(uv_loop_t *loop, const struct dh_link_params *params,
    const struct dh_hello *self, const char *address, uint16_t port,
    const struct dh_link_ops *ops, void *arg)
{
	struct dh_link *l = link_new(loop, params, self, ops, arg);

	g_strlcpy(l->address, address, sizeof(l->address));
	l->port = port;
	l->state = STATE_WAITING;
	start_timer(l, 0);
	return l;
}

void
dh_link_free_reason(struct dh_link *l, enum dh_goodbye_reason reason)
{
	if (l == NULL)
		return;
	if (l->state == STATE_UP)
		send_goodbye(l, reason);
	if (!uv_is_closing((uv_handle_t *)&l->timer))
		close_and_free(l);
}

void
dh_link_free(struct dh_link *l)
{
	dh_link_free_reason(l, DH_GOODBYE_UNWANTED);
}

enum dh_conn_sent
dh_link_send(struct dh_link *l, const struct dh_msg *m)
{
	enum dh_conn_sent sent;

	if (l->state != STATE_UP)
		return DH_CONN_DOWN;
	sent = dh_conn_send(l->conn, m, l->params->queue_bytes);
	if (sent != DH_CONN_SENT)
		count_dropped(sent);
	return sent;
}

enum dh_conn_sent
dh_link_send_frame(struct dh_link *l, const uint8_t *frame, size_t len)
{
	enum dh_conn_sent sent;

	if (l->state != STATE_UP)
		return DH_CONN_DOWN;
	sent = dh_conn_send_frame(l->conn, frame, len, l->params->queue_bytes);
	if (sent != DH_CONN_SENT)
		count_dropped(sent);
	return sent;
}

bool
dh_link_is_up(const struct dh_link *l)
{
	return l->state == STATE_UP;
}

const struct dh_hello *
dh_link_peer(const struct dh_link *l)
{
	return &l->peer;
}

uint32_t
dh_link_version(const struct dh_link *l)
{
	return l->version;
}

/* Server. */

static void
on_connection(uv_stream_t *listener, int status)
{
	struct dh_link_server *s = listener->data;
	struct dh_link *l;

	if (status < 0)
		return;
	l = link_new(listener->loop, s->params, s->self, s->ops, s->arg);
	l->accepted = true;
	l->server = s;
	g_ptr_array_add(s->handshaking, l);
	l->state = STATE_CONNECTING;
	l->conn = dh_conn_accept(l->loop, listener, &conn_ops, l);
	if (l->conn == NULL || s->handshaking->len > s->params->handshakes_max)
		close_and_free(l);
	else
		start_timer(l, s->params->connect_ms);
}

static int
server_bind(struct dh_link_server *s, const char *address, uint16_t port)
{
	struct sockaddr_storage at = { 0 };
	int error;

	error = uv_ip4_addr(address, port, (struct sockaddr_in *)&at);
	if (error < 0)
		error = uv_ip6_addr(address, port, (struct sockaddr_in6 *)&at);
	if (error < 0)
		return error;
	error = uv_tcp_bind(&s->tcp, (const struct sockaddr *)&at, 0);
	if (error < 0)
		return error;
	return uv_listen((uv_stream_t *)&s->tcp, LISTEN_BACKLOG, on_connection);
}

static void
server_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

struct dh_link_server *
dh_link_listen(uv_loop_t *loop, const struct dh_link_params *params,
    const struct dh_hello *self, const char *address, uint16_t port,
    const struct dh_link_ops *ops, void *arg, GError **error)
{
	struct dh_link_server *s = g_new0(struct dh_link_server, 1);
	int status;

	s->params = params;
	s->self = self;
	s->ops = ops;
	s->arg = arg;
	s->handshaking = g_ptr_array_new();
	uv_tcp_init(loop, &s->tcp);
	s->tcp.data = s;
	status = server_bind(s, address, port);
	if (status < 0) {
		g_set_error(error, DH_ERROR, DH_ERROR_IO,
		    "cannot listen on %s port %u: %s", address, port,
		    uv_strerror(status));
		dh_link_server_free(s);
		return NULL;
	}
	return s;
}

uint16_t
dh_link_server_port(const struct dh_link_server *s)
{
	struct sockaddr_storage at = { 0 };
	int len = sizeof(at);

	if (uv_tcp_getsockname(&s->tcp, (struct sockaddr *)&at, &len) < 0)
		return 0;
	if (at.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&at)->sin6_port);
	return ntohs(((struct sockaddr_in *)&at)->sin_port);
}

void
dh_link_server_free(struct dh_link_server *s)
{
	if (s == NULL)
		return;
	while (s->handshaking->len > 0)
		close_and_free(g_ptr_array_index(s->handshaking, 0));
	g_ptr_array_free(s->handshaking, TRUE);
	uv_close((uv_handle_t *)&s->tcp, server_closed);
}
