#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "proto/frame.h"
#include "proto/link.h"
#include "tests/cunit_main.h"

#define WATCHDOG_MS 20000
#define NEVER_MS 600000
#define LOOPBACK "127.0.0.1"

/* One side of a link, with counts of its call-backs. */
struct side {
	struct dh_hello self;
	struct dh_link_params params;
	struct dh_link *link;
	uint32_t ups;
	uint32_t downs;
	enum dh_link_down why;
	uint32_t msgs;
	uint64_t last_seq;
	bool free_on_msg;
	bool free_on_down;
};

static uv_loop_t loop;
static bool timed_out;

static void
side_up(void *arg, struct dh_link *l, const struct dh_hello *peer)
{
	struct side *s = arg;

	CU_ASSERT(peer->vm[0] != '\0');
	s->link = l;
	s->ups++;
}

static void
side_msg(void *arg, struct dh_link *l, const struct dh_msg *m)
{
	struct side *s = arg;

	s->msgs++;
	if (m->kind == DH_MSG_HEARTBEAT)
		s->last_seq = m->heartbeat.seq;
	if (s->free_on_msg) {
		s->link = NULL;
		dh_link_free(l);
	}
}

static void
side_down(void *arg, struct dh_link *l, enum dh_link_down why)
{
	struct side *s = arg;

	s->downs++;
	s->why = why;
	if (s->free_on_down) {
		s->link = NULL;
		dh_link_free(l);
	}
}

static const struct dh_link_ops side_ops = {
	.up = side_up, .msg = side_msg, .down = side_down
};

static void
side_init(struct side *s, const char *vm, uint64_t incarnation)
{
	*s = (struct side){ .self = { .incarnation = incarnation } };
	g_strlcpy(s->self.vm, vm, sizeof(s->self.vm));
	g_strlcpy(s->self.address, LOOPBACK, sizeof(s->self.address));
	dh_link_params_defaults(&s->params);
	s->params.connect_ms = NEVER_MS;
	s->params.silent_ms = NEVER_MS;
	s->params.probe_ms = NEVER_MS;
	s->params.backoff_min_ms = 2;
	s->params.backoff_max_ms = 20;
}

static void
on_watchdog(uv_timer_t *timer)
{
	(void)timer;
	timed_out = true;
	uv_stop(&loop);
}

/* Runs the loop until a counter reaches a value; false on timeout. */
static bool
run_until(const uint32_t *counter, uint32_t value)
{
	uv_timer_t watchdog;

	timed_out = false;
	uv_timer_init(&loop, &watchdog);
	uv_timer_start(&watchdog, on_watchdog, WATCHDOG_MS, 0);
	while (*counter < value && !timed_out)
		uv_run(&loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&watchdog, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	return !timed_out;
}

static struct dh_link_server *
listen_at(struct side *s, uint16_t port)
{
	GError *error = NULL;
	struct dh_link_server *server;

	server = dh_link_listen(
	    &loop, &s->params, &s->self, LOOPBACK, port, &side_ops, s, &error);
	if (server == NULL)
		abort();
	s->self.port = dh_link_server_port(server);
	return server;
}

static struct dh_link *
connect_to(struct side *s, uint16_t port)
{
	return dh_link_connect(
	    &loop, &s->params, &s->self, LOOPBACK, port, &side_ops, s);
}

static enum dh_conn_sent
send_seq(struct dh_link *l, uint64_t seq)
{
	struct dh_msg m = { .kind = DH_MSG_HEARTBEAT };

	m.heartbeat.seq = seq;
	return dh_link_send(l, &m);
}

/* Frees links and server and runs the loop until all handles are closed. */
static void
finish(struct dh_link *a, struct dh_link *b, struct dh_link_server *server)
{
	dh_link_free(a);
	dh_link_free(b);
	dh_link_server_free(server);
	while (uv_run(&loop, UV_RUN_NOWAIT) != 0)
		;
	CU_ASSERT_FALSE(uv_loop_alive(&loop));
}

/*
 * TCP proxy in the role of a middlebox: when muted, its connections stay open
 * but forward no data.
 */
struct proxy {
	uv_tcp_t listener;
	uint16_t port;
	uint16_t to;
	bool mute_new; /* new connections forward no data */
	GPtrArray *ends; /* struct pipe_end * */
};

struct pipe_end {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct pipe_end *other;
	bool muted;
	char buffer[65536];
};

static void
pipe_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	struct pipe_end *e = h->data;

	(void)suggested;
	*buf = uv_buf_init(e->buffer, sizeof(e->buffer));
}

static void
pipe_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct pipe_end *e = stream->data;
	uv_buf_t out = uv_buf_init(buf->base, n > 0 ? (unsigned int)n : 0);

	if (n < 0)
		uv_read_stop(stream);
	else if (!e->muted && n > 0)
		(void)uv_try_write((uv_stream_t *)&e->other->tcp, &out, 1);
}

static void
pipe_connected(uv_connect_t *req, int status)
{
	struct pipe_end *e = req->data;

	if (status < 0)
		return;
	uv_read_start((uv_stream_t *)&e->tcp, pipe_alloc, pipe_read);
	uv_read_start((uv_stream_t *)&e->other->tcp, pipe_alloc, pipe_read);
}

static struct pipe_end *
pipe_new(struct proxy *p)
{
	struct pipe_end *e = g_new0(struct pipe_end, 1);

	uv_tcp_init(&loop, &e->tcp);
	e->tcp.data = e;
	e->muted = p->mute_new;
	g_ptr_array_add(p->ends, e);
	return e;
}

static void
proxy_accept(uv_stream_t *listener, int status)
{
	struct proxy *p = listener->data;
	struct pipe_end *in = pipe_new(p), *out = pipe_new(p);
	struct sockaddr_in to;

	CU_ASSERT_EQUAL(status, 0);
	in->other = out;
	out->other = in;
	uv_accept(listener, (uv_stream_t *)&in->tcp);
	uv_ip4_addr(LOOPBACK, p->to, &to);
	out->connect.data = out;
	uv_tcp_connect(&out->connect, &out->tcp, (const struct sockaddr *)&to,
	    pipe_connected);
}

static void
proxy_start(struct proxy *p, uint16_t to)
{
	struct sockaddr_in at;
	int len = sizeof(at);

	*p = (struct proxy){ .to = to, .ends = g_ptr_array_new() };
	uv_tcp_init(&loop, &p->listener);
	p->listener.data = p;
	uv_ip4_addr(LOOPBACK, 0, &at);
	uv_tcp_bind(&p->listener, (const struct sockaddr *)&at, 0);
	uv_listen((uv_stream_t *)&p->listener, 16, proxy_accept);
	uv_tcp_getsockname(&p->listener, (struct sockaddr *)&at, &len);
	p->port = ntohs(at.sin_port);
}

static void
proxy_mute(struct proxy *p)
{
	struct pipe_end *e;
	guint i;

	for (i = 0; i < p->ends->len; i++) {
		e = g_ptr_array_index(p->ends, i);
		e->muted = true;
	}
}

static void
pipe_closed(uv_handle_t *h)
{
	g_free(h->data);
}

static void
proxy_refuse(struct proxy *p)
{
	if (!uv_is_closing((uv_handle_t *)&p->listener))
		uv_close((uv_handle_t *)&p->listener, NULL);
}

static void
proxy_stop(struct proxy *p)
{
	struct pipe_end *e;
	guint i;

	for (i = 0; i < p->ends->len; i++) {
		e = g_ptr_array_index(p->ends, i);
		uv_close((uv_handle_t *)&e->tcp, pipe_closed);
	}
	g_ptr_array_free(p->ends, TRUE);
	proxy_refuse(p);
}

static void
test_messages_both_ways(void)
{
	struct side a, b;
	struct dh_link_server *server;
	struct dh_link *l;

	side_init(&a, "entry-1", 7);
	side_init(&b, "entry-2", 9);
	server = listen_at(&b, 0);
	l = connect_to(&a, b.self.port);
	CU_ASSERT_EQUAL(send_seq(l, 1), DH_CONN_DOWN);
	CU_ASSERT(run_until(&a.ups, 1) && run_until(&b.ups, 1));
	CU_ASSERT_STRING_EQUAL(dh_link_peer(l)->vm, "entry-2");
	CU_ASSERT_EQUAL(dh_link_peer(b.link)->incarnation, 7);
	CU_ASSERT_EQUAL(dh_link_version(l), DH_PROTO_VERSION_MAX);
	CU_ASSERT_EQUAL(send_seq(l, 41), DH_CONN_SENT);
	CU_ASSERT_EQUAL(send_seq(b.link, 42), DH_CONN_SENT);
	CU_ASSERT(run_until(&a.msgs, 1) && run_until(&b.msgs, 1));
	CU_ASSERT_EQUAL(a.last_seq, 42);
	CU_ASSERT_EQUAL(b.last_seq, 41);
	dh_link_free(l);
	CU_ASSERT(run_until(&b.downs, 1));
	CU_ASSERT_EQUAL(b.why, DH_LINK_GOODBYE);
	finish(NULL, NULL, server);
}

/* A port that is bound but does not listen refuses connections.  Once a server
 * listens on it, the link, which kept retrying, comes up. */
static void
test_refused_then_reconnects(void)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0), one = 1;
	socklen_t len = sizeof(at);
	struct dh_link_server *server;
	struct side a, b;
	struct dh_link *l;

	inet_pton(AF_INET, LOOPBACK, &at.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	CU_ASSERT_EQUAL(bind(fd, (struct sockaddr *)&at, len), 0);
	CU_ASSERT_EQUAL(getsockname(fd, (struct sockaddr *)&at, &len), 0);
	side_init(&a, "entry-1", 7);
	side_init(&b, "entry-2", 9);
	l = connect_to(&a, ntohs(at.sin_port));
	CU_ASSERT(run_until(&a.downs, 3));
	CU_ASSERT_EQUAL(a.why, DH_LINK_REFUSED);
	CU_ASSERT_EQUAL(a.ups, 0);
	server = listen_at(&b, ntohs(at.sin_port));
	close(fd);
	CU_ASSERT(run_until(&a.ups, 1));
	finish(l, NULL, server);
}

/* A stopped process: the kernel accepts connections, but nobody replies. */
static void
test_no_hello_is_unreachable(void)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	socklen_t len = sizeof(at);
	struct dh_link *l;
	struct side a;

	inet_pton(AF_INET, LOOPBACK, &at.sin_addr);
	CU_ASSERT_EQUAL(bind(fd, (struct sockaddr *)&at, len), 0);
	CU_ASSERT_EQUAL(listen(fd, 16), 0);
	CU_ASSERT_EQUAL(getsockname(fd, (struct sockaddr *)&at, &len), 0);
	side_init(&a, "entry-1", 7);
	a.params.connect_ms = 20;
	l = connect_to(&a, ntohs(at.sin_port));
	CU_ASSERT(run_until(&a.downs, 2));
	CU_ASSERT_EQUAL(a.why, DH_LINK_UNREACHABLE);
	close(fd);
	finish(l, NULL, NULL);
}

/* Sends heartbeats, so that a link is silent only if the proxy is muted. */
static void
on_heartbeat_timer(uv_timer_t *timer)
{
	struct side *s = timer->data;

	if (s->link != NULL && dh_link_is_up(s->link))
		(void)send_seq(s->link, 0);
}

struct pair {
	struct side a, b;
	struct proxy proxy;
	uv_timer_t heartbeat_timer;
	struct dh_link *link;
	struct dh_link_server *server;
};

static void
pair_start(struct pair *p)
{
	side_init(&p->a, "entry-1", 7);
	side_init(&p->b, "entry-2", 9);
	p->a.params.silent_ms = 300;
	p->b.free_on_down = true;
	p->server = listen_at(&p->b, 0);
	proxy_start(&p->proxy, p->b.self.port);
	uv_timer_init(&loop, &p->heartbeat_timer);
	p->heartbeat_timer.data = &p->b;
	uv_timer_start(&p->heartbeat_timer, on_heartbeat_timer, 5, 5);
	p->link = connect_to(&p->a, p->proxy.port);
	CU_ASSERT(run_until(&p->a.ups, 1));
	CU_ASSERT(run_until(&p->a.msgs, 5));
	CU_ASSERT_EQUAL(p->a.downs, 0);
}

static void
pair_stop(struct pair *p)
{
	uv_close((uv_handle_t *)&p->heartbeat_timer, NULL);
	proxy_stop(&p->proxy);
	finish(p->link, NULL, p->server);
}

static void
test_lost_connection_is_replaced(void)
{
	struct pair p;

	pair_start(&p);
	proxy_mute(&p.proxy);
	CU_ASSERT(run_until(&p.a.downs, 1));
	CU_ASSERT_EQUAL(p.a.why, DH_LINK_SILENT);
	CU_ASSERT(run_until(&p.a.ups, 2));
	CU_ASSERT_EQUAL(send_seq(p.link, 5), DH_CONN_SENT);
	CU_ASSERT(run_until(&p.b.msgs, 1));
	CU_ASSERT_EQUAL(p.b.last_seq, 5);
	pair_stop(&p);
}

static void
test_stopped_vm_is_lost(void)
{
	struct pair p;

	pair_start(&p);
	p.a.params.probe_ms = 50;
	/* Set before the link is lost, since reconnecting may begin at once. */
	p.a.params.connect_ms = 500;
	p.proxy.mute_new = true;
	proxy_mute(&p.proxy);
	CU_ASSERT(run_until(&p.a.downs, 1));
	CU_ASSERT_EQUAL(p.a.why, DH_LINK_LOST);
	/* The VM resumes; the link reconnects to the same incarnation. */
	p.proxy.mute_new = false;
	CU_ASSERT(run_until(&p.a.ups, 2));
	CU_ASSERT_EQUAL(dh_link_peer(p.link)->incarnation, 9);
	pair_stop(&p);
}

static void
test_restarted_vm_is_detected(void)
{
	struct dh_link_server *server;
	struct side restarted;
	struct pair p;

	pair_start(&p);
	side_init(&restarted, "entry-2", 10);
	server = listen_at(&restarted, 0);
	p.proxy.to = restarted.self.port;
	proxy_mute(&p.proxy);
	CU_ASSERT(run_until(&p.a.downs, 1));
	CU_ASSERT_EQUAL(p.a.why, DH_LINK_RESTARTED);
	CU_ASSERT(run_until(&p.a.ups, 2));
	CU_ASSERT_EQUAL(dh_link_peer(p.link)->incarnation, 10);
	dh_link_server_free(server);
	pair_stop(&p);
}

static void
test_silent_and_refused(void)
{
	struct pair p;

	pair_start(&p);
	proxy_mute(&p.proxy);
	proxy_refuse(&p.proxy);
	CU_ASSERT(run_until(&p.a.downs, 1));
	CU_ASSERT_EQUAL(p.a.why, DH_LINK_REFUSED);
	pair_stop(&p);
}

static void
test_no_common_version(void)
{
	struct dh_link_server *server;
	struct dh_link *l;
	struct side a, b;

	side_init(&a, "entry-1", 7);
	side_init(&b, "entry-2", 9);
	a.self.version_min = 2;
	a.self.version_max = 3;
	server = listen_at(&b, 0);
	l = connect_to(&a, b.self.port);
	CU_ASSERT(run_until(&a.downs, 1));
	CU_ASSERT_EQUAL(a.why, DH_LINK_VERSION);
	CU_ASSERT_EQUAL(b.ups, 0);
	/* A later release that still supports version 1. */
	dh_link_free(l);
	a.self.version_min = 1;
	l = connect_to(&a, b.self.port);
	CU_ASSERT(run_until(&a.ups, 1));
	CU_ASSERT_EQUAL(dh_link_version(l), 1);
	finish(l, NULL, server);
}

/* If the peer does not read, the queue fills up and sending fails. */
static void
test_queue_is_bounded(void)
{
	struct dh_team_update team = { .team = "t", .len = 65536 };
	struct dh_msg m = { .kind = DH_MSG_CONFIG,
		.config = { .n = 1, .list = &team } };
	enum dh_conn_sent sent = DH_CONN_SENT;
	struct dh_link_server *server;
	struct side a, b;
	struct dh_link *l;
	uint8_t *bytes;
	uint32_t n;

	side_init(&a, "entry-1", 7);
	side_init(&b, "entry-2", 9);
	a.params.queue_bytes = (size_t)1 << 20;
	server = listen_at(&b, 0);
	l = connect_to(&a, b.self.port);
	CU_ASSERT(run_until(&b.ups, 1) && run_until(&a.ups, 1));
	bytes = g_malloc0(team.len);
	team.bytes = bytes;
	/* The loop does not run, so the peer does not read. */
	for (n = 0; n < 10000 && sent == DH_CONN_SENT; n++)
		sent = dh_link_send(l, &m);
	CU_ASSERT_EQUAL(sent, DH_CONN_FULL);
	/* Once the peer reads again, all accepted messages arrive. */
	CU_ASSERT(run_until(&b.msgs, n - 1));
	CU_ASSERT_EQUAL(b.msgs, n - 1);
	CU_ASSERT_EQUAL(dh_link_send(l, &m), DH_CONN_SENT);
	team.len = DH_FRAME_MAX;
	g_free(bytes);
	bytes = g_malloc0(team.len);
	team.bytes = bytes;
	CU_ASSERT_EQUAL(dh_link_send(l, &m), DH_CONN_TOO_LARGE);
	g_free(bytes);
	finish(l, NULL, server);
}

/* Invalid data ends only the connection that it came over. */
static void
test_invalid_data(void)
{
	static const char *const lines[] = { "GET / HTTP/1.1\r\n\r\n",
		"\0\0\0\1\1", "\0\0\0\2\x91\x02" };
	static const size_t lens[] = { 18, 5, 6 };
	struct sockaddr_in to;
	struct dh_link_server *server;
	struct side a, b;
	struct dh_link *l;
	char byte;
	size_t i;
	int fd;

	side_init(&a, "entry-1", 7);
	side_init(&b, "entry-2", 9);
	server = listen_at(&b, 0);
	uv_ip4_addr(LOOPBACK, b.self.port, &to);
	for (i = 0; i < 3; i++) {
		fd = socket(AF_INET, SOCK_STREAM, 0);
		CU_ASSERT_EQUAL(
		    connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
		CU_ASSERT_EQUAL(
		    send(fd, lines[i], lens[i], 0), (ssize_t)lens[i]);
		while (recv(fd, &byte, 1, MSG_DONTWAIT) < 0 && errno == EAGAIN)
			uv_run(&loop, UV_RUN_NOWAIT);
		close(fd);
	}
	CU_ASSERT_EQUAL(b.ups, 0);
	CU_ASSERT_EQUAL(b.downs, 0);
	l = connect_to(&a, b.self.port);
	CU_ASSERT(run_until(&b.ups, 1));
	finish(l, NULL, server);
}

static void
test_free_in_call_backs(void)
{
	struct dh_link_server *server;
	struct dh_link *l;
	struct side a, b;

	side_init(&a, "entry-1", 7);
	side_init(&b, "entry-2", 9);
	b.free_on_msg = true;
	a.free_on_down = true;
	server = listen_at(&b, 0);
	l = connect_to(&a, b.self.port);
	CU_ASSERT(run_until(&b.ups, 1) && run_until(&a.ups, 1));
	CU_ASSERT_EQUAL(send_seq(l, 1), DH_CONN_SENT);
	CU_ASSERT_EQUAL(send_seq(l, 2), DH_CONN_SENT);
	CU_ASSERT(run_until(&a.downs, 1));
	CU_ASSERT_EQUAL(a.why, DH_LINK_GOODBYE);
	CU_ASSERT_EQUAL(b.msgs, 1);
	finish(NULL, NULL, server);
}

static void
test_listen_errors(void)
{
	g_autoptr(GError) error = NULL;
	struct side b;

	side_init(&b, "entry-2", 9);
	CU_ASSERT_PTR_NULL(dh_link_listen(
	    &loop, &b.params, &b.self, "no address", 0, &side_ops, &b, &error));
	CU_ASSERT(g_error_matches(error, DH_ERROR, DH_ERROR_IO));
	finish(NULL, NULL, NULL);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "messages", test_messages_both_ways },
		{ "refused", test_refused_then_reconnects },
		{ "no HELLO", test_no_hello_is_unreachable },
		{ "lost connection", test_lost_connection_is_replaced },
		{ "stopped VM", test_stopped_vm_is_lost },
		{ "restarted VM", test_restarted_vm_is_detected },
		{ "silent and refused", test_silent_and_refused },
		{ "no common version", test_no_common_version },
		{ "queue", test_queue_is_bounded },
		{ "invalid data", test_invalid_data },
		{ "free in call-backs", test_free_in_call_backs },
		{ "listen errors", test_listen_errors },
		CU_TEST_INFO_NULL,
	};
	int status;

	uv_loop_init(&loop);
	status = cunit_main("link", tests);
	uv_loop_close(&loop);
	return status;
}
