/*
 * Stand-in for the network between processes.  It relays TCP connections and
 * can be told to cut some of them: no bytes are relayed in either direction,
 * open connections stay open, and new ones are accepted but never answered.
 *
 * usage: wire CONTROL_PORT MAP...
 * A MAP is SRC,DST,LISTEN_PORT,TARGET_PORT.  With SRC "*" the source is the VM
 * named in the HELLO message of the internal protocol.  A MAP
 * datagrams,NAME,IP,PORT is a process that receives UDP datagrams there; each
 * of these sends to the others' addresses, but to its own port, and the
 * stand-in passes that on unless the pair is cut.
 *
 * POST / with {"cut": [["v1", "v2"], ...]} sets the pairs that are cut, in
 * either order; {"cut": []} ends all cuts.  {"cut_to": [["v1", "v2"], ...]}
 * sets those where only bytes from the first to the second are held back;
 * {"slow": [...]} those where each direction is delayed by {"slow_ms": N}.
 * {"silence": [...]} permanently stops all bytes on the present connections
 * of these pairs, {"reset": [...]} resets them; new connections work.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "base/httpd.h"
#include "proto/frame.h"
#include "proto/msg.h"

#define CONNECTIONS_MAX 16u
#define CONNECTION_MEMORY (16u << 10)
#define IDLE_S 10u
#define BACKLOG 128
#define READ_BYTES (64u << 10)

struct wire;

struct map {
	struct wire *wire;
	char **parts; /* SRC, DST, LISTEN_PORT, TARGET_PORT */
	uv_tcp_t server;
};

/* Bytes read from one end that are forwarded at due_ms. */
struct chunk {
	char *bytes;
	size_t len;
	uint64_t due_ms;
};

/* One direction of a relayed connection. */
struct direction {
	uv_stream_t *from, *to;
	uv_timer_t timer;
	GQueue chunks; /* of struct chunk */
	bool stopped; /* reading is stopped */
	bool ended; /* sender closed; chunks are still queued */
};

/* One relayed connection: bytes read from one end go to the other end. */
struct relay {
	struct wire *wire;
	struct map *map;
	char src[DH_NAME_MAX];
	uv_tcp_t in, out;
	uv_connect_t connect;
	bool connected, stopped, closing;
	bool greeting_lost; /* a cut discarded its first bytes */
	bool silent; /* permanently relays no bytes */
	struct direction directions[2]; /* from in to out, from out to in */
	uint32_t open; /* number of handles not yet closed */
	struct dh_frame_decoder greeting;
	GList link;
};

/* A process that receives datagrams. */
struct endpoint {
	char *name;
	struct sockaddr_in at;
};

/* The datagrams from one process to another: received at the address of the one
 * and the port of the other, and sent from the socket of the way back. */
struct passage {
	struct wire *wire;
	const struct endpoint *from, *to;
	struct passage *back;
	uv_udp_t udp;
};

struct wire {
	uv_loop_t loop;
	GPtrArray *endpoints; /* of struct endpoint */
	GQueue relays;
	GPtrArray *cut, *cut_to, *slow; /* each "A B" */
	uint64_t slow_ms;
};

struct write {
	uv_write_t req;
	char *bytes;
};

/* Returns whether pairs contains (a, b) in this order. */
static bool
has_ordered_pair(const GPtrArray *pairs, const char *a, const char *b)
{
	guint i;

	for (i = 0; i < pairs->len; i++) {
		g_auto(GStrv) pair = g_strsplit(pairs->pdata[i], " ", 2);

		if (strcmp(pair[0], a) == 0 && strcmp(pair[1], b) == 0)
			return true;
	}
	return false;
}

/* Returns whether pairs contains a and b in either order. */
static bool
has_pair(const GPtrArray *pairs, const char *a, const char *b)
{
	return has_ordered_pair(pairs, a, b) || has_ordered_pair(pairs, b, a);
}

static void
chunk_free(gpointer p)
{
	struct chunk *c = p;

	g_free(c->bytes);
	g_free(c);
}

static void
on_end_closed(uv_handle_t *handle)
{
	struct relay *r = handle->data;

	if (--r->open > 0)
		return;
	g_queue_unlink(&r->wire->relays, &r->link);
	dh_frame_clear(&r->greeting);
	g_queue_clear_full(&r->directions[0].chunks, chunk_free);
	g_queue_clear_full(&r->directions[1].chunks, chunk_free);
	g_free(r);
}

static void
relay_close(struct relay *r)
{
	if (r->closing)
		return;
	r->closing = true;
	uv_close((uv_handle_t *)&r->in, on_end_closed);
	uv_close((uv_handle_t *)&r->out, on_end_closed);
	uv_close((uv_handle_t *)&r->directions[0].timer, on_end_closed);
	uv_close((uv_handle_t *)&r->directions[1].timer, on_end_closed);
}

/* Closes the connection so that both ends see a reset. */
static void
relay_reset(struct relay *r)
{
	if (r->closing)
		return;
	r->closing = true;
	uv_tcp_close_reset(&r->in, on_end_closed);
	uv_tcp_close_reset(&r->out, on_end_closed);
	uv_close((uv_handle_t *)&r->directions[0].timer, on_end_closed);
	uv_close((uv_handle_t *)&r->directions[1].timer, on_end_closed);
}

static void
on_written(uv_write_t *req, int status)
{
	struct write *wr = (struct write *)(void *)req;

	(void)status;
	g_free(wr->bytes);
	g_free(wr);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(g_malloc(READ_BYTES), READ_BYTES);
}

static bool
on_frame(void *arg, const uint8_t *payload, size_t len)
{
	struct relay *r = arg;
	struct dh_msg m;

	if (dh_msg_decode(payload, len, &m) == DH_MSG_OK) {
		if (m.kind == DH_MSG_HELLO)
			g_strlcpy(r->src, m.hello.vm, sizeof(r->src));
		dh_msg_clear(&m);
	}
	return false;
}

static void relay_apply(struct relay *r);

static void
forward(struct relay *r, uv_stream_t *to, char *bytes, size_t len)
{
	struct write *wr = g_new0(struct write, 1);
	uv_buf_t out = uv_buf_init(bytes, (unsigned int)len);

	wr->bytes = bytes;
	if (uv_write(&wr->req, to, &out, 1, on_written) != 0) {
		g_free(wr->bytes);
		g_free(wr);
		relay_close(r);
	}
}

static void
on_due(uv_timer_t *timer)
{
	struct relay *r = timer->data;
	struct direction *w = &r->directions[timer == &r->directions[1].timer];
	uint64_t now_ms = uv_now(&r->wire->loop);
	struct chunk *c;

	while (!r->closing && (c = g_queue_peek_head(&w->chunks)) != NULL) {
		if (c->due_ms > now_ms) {
			uv_timer_start(timer, on_due, c->due_ms - now_ms, 0);
			return;
		}
		(void)g_queue_pop_head(&w->chunks);
		forward(r, w->to, c->bytes, c->len);
		g_free(c);
	}
	if (w->ended)
		relay_close(r);
}

/* Queues bytes behind earlier ones, with the delay of a slow pair. */
static void
forward_delayed(struct relay *r, struct direction *w, char *bytes, size_t len)
{
	struct chunk *c = g_new0(struct chunk, 1);

	c->bytes = bytes;
	c->len = len;
	c->due_ms = uv_now(&r->wire->loop) +
	    (has_pair(r->wire->slow, r->src, r->map->parts[1])
		    ? r->wire->slow_ms
		    : 0);
	g_queue_push_tail(&w->chunks, c);
	if (w->chunks.length == 1)
		uv_timer_start(
		    &w->timer, on_due, c->due_ms - uv_now(&r->wire->loop), 0);
}

static void
on_read(uv_stream_t *from, ssize_t n, const uv_buf_t *buf)
{
	struct relay *r = from->data;
	struct direction *w = &r->directions[from == r->directions[1].from];

	if (n <= 0) {
		g_free(buf->base);
		if (n == UV_EOF && w->chunks.length > 0)
			w->ended = true;
		else if (n < 0)
			relay_close(r);
		return;
	}
	if (r->src[0] == '*' && from == (uv_stream_t *)&r->in) {
		(void)dh_frame_feed(
		    &r->greeting, (uint8_t *)buf->base, (size_t)n, on_frame, r);
		relay_apply(r);
		if (r->stopped) {
			r->greeting_lost = true;
			g_free(buf->base);
			return;
		}
	}
	if (w->chunks.length > 0 ||
	    has_pair(r->wire->slow, r->src, r->map->parts[1]))
		forward_delayed(r, w, buf->base, (size_t)n);
	else
		forward(r, w->to, buf->base, (size_t)n);
}

/*
 * Returns whether the sender has reset the connection.  Bytes held back by a
 * cut are then lost, although the kernel would still deliver them.
 */
static bool
was_reset(const uv_stream_t *from)
{
	int fd, error = 0;
	socklen_t len = sizeof(error);

	return uv_fileno((const uv_handle_t *)from, &fd) == 0 &&
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 &&
	    error != 0;
}

static void
direction_apply(struct relay *r, struct direction *w, bool stop)
{
	if (r->closing || w->stopped == stop)
		return;
	w->stopped = stop;
	if (stop)
		uv_read_stop(w->from);
	else if (was_reset(w->from))
		relay_close(r);
	else
		uv_read_start(w->from, on_alloc, on_read);
}

/* Starts or stops reading at each end according to the cuts. */
static void
relay_apply(struct relay *r)
{
	const char *dst = r->map->parts[1];
	bool cut = r->silent || has_pair(r->wire->cut, r->src, dst);

	if (r->closing || !r->connected)
		return;
	if (r->greeting_lost && cut != r->stopped) {
		relay_close(r);
		return;
	}
	r->stopped = cut;
	direction_apply(r, &r->directions[0],
	    cut || has_ordered_pair(r->wire->cut_to, r->src, dst));
	direction_apply(r, &r->directions[1],
	    cut || has_ordered_pair(r->wire->cut_to, dst, r->src));
}

static void
on_connected(uv_connect_t *connect, int status)
{
	struct relay *r = connect->data;

	if (status != 0) {
		relay_close(r);
		return;
	}
	r->connected = true;
	r->stopped = r->directions[0].stopped = r->directions[1].stopped = true;
	relay_apply(r);
}

static void
on_connection(uv_stream_t *server, int status)
{
	struct map *m = server->data;
	struct relay *r;
	struct sockaddr_in to;

	if (status != 0)
		return;
	r = g_new0(struct relay, 1);
	r->wire = m->wire;
	r->map = m;
	r->link.data = r;
	g_strlcpy(r->src, m->parts[0], sizeof(r->src));
	uv_tcp_init(&m->wire->loop, &r->in);
	uv_tcp_init(&m->wire->loop, &r->out);
	uv_timer_init(&m->wire->loop, &r->directions[0].timer);
	uv_timer_init(&m->wire->loop, &r->directions[1].timer);
	r->directions[0].from = r->directions[1].to = (uv_stream_t *)&r->in;
	r->directions[0].to = r->directions[1].from = (uv_stream_t *)&r->out;
	r->in.data = r->out.data = r->connect.data = r;
	r->directions[0].timer.data = r->directions[1].timer.data = r;
	r->open = 4;
	g_queue_push_tail_link(&m->wire->relays, &r->link);
	uv_ip4_addr("127.0.0.1", atoi(m->parts[3]), &to);
	if (uv_accept(server, (uv_stream_t *)&r->in) != 0 ||
	    uv_tcp_connect(&r->connect, &r->out, (struct sockaddr *)&to,
		on_connected) != 0)
		relay_close(r);
	else
		uv_tcp_nodelay(&r->out, 1);
}

static void
on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
    const struct sockaddr *from, unsigned flags)
{
	struct passage *p = udp->data;
	const char *a = p->from->name, *b = p->to->name;
	uv_buf_t out = uv_buf_init(buf->base, n > 0 ? (unsigned)n : 0);

	(void)flags;
	if (n > 0 && from != NULL && !has_pair(p->wire->cut, a, b) &&
	    !has_ordered_pair(p->wire->cut_to, a, b))
		(void)uv_udp_try_send(&p->back->udp, &out, 1,
		    (const struct sockaddr *)&p->to->at);
	g_free(buf->base);
}

static struct passage *
passage_open(
    struct wire *w, const struct endpoint *from, const struct endpoint *to)
{
	struct passage *p = g_new0(struct passage, 1);
	struct sockaddr_in at = to->at;

	p->wire = w;
	p->from = from;
	p->to = to;
	at.sin_port = from->at.sin_port;
	uv_udp_init(&w->loop, &p->udp);
	p->udp.data = p;
	if (uv_udp_bind(&p->udp, (struct sockaddr *)&at, 0) != 0 ||
	    uv_udp_recv_start(&p->udp, on_alloc, on_datagram) != 0)
		return NULL;
	return p;
}

/* Passes datagrams on between all endpoints. */
static bool
passages_open(struct wire *w)
{
	struct passage *there, *back;
	guint i, j;

	for (i = 0; i < w->endpoints->len; i++)
		for (j = 0; j < i; j++) {
			there = passage_open(
			    w, w->endpoints->pdata[i], w->endpoints->pdata[j]);
			back = passage_open(
			    w, w->endpoints->pdata[j], w->endpoints->pdata[i]);
			if (there == NULL || back == NULL)
				return false;
			there->back = back;
			back->back = there;
		}
	return true;
}

static bool
endpoint_add(struct wire *w, char **parts)
{
	struct endpoint *e = g_new0(struct endpoint, 1);

	e->name = g_strdup(parts[1]);
	g_ptr_array_add(w->endpoints, e);
	return uv_ip4_addr(parts[2], atoi(parts[3]), &e->at) == 0;
}

static bool
map_open(struct wire *w, const char *text)
{
	struct map *m = g_new0(struct map, 1);
	struct sockaddr_in at;

	m->wire = w;
	m->parts = g_strsplit(text, ",", 4);
	if (g_strv_length(m->parts) != 4)
		return false;
	if (strcmp(m->parts[0], "datagrams") == 0)
		return endpoint_add(w, m->parts);
	uv_tcp_init(&w->loop, &m->server);
	m->server.data = m;
	uv_ip4_addr("127.0.0.1", atoi(m->parts[2]), &at);
	return uv_tcp_bind(&m->server, (struct sockaddr *)&at, 0) == 0 &&
	    uv_listen((uv_stream_t *)&m->server, BACKLOG, on_connection) == 0;
}

/* Parses the pairs of o's member key into "A B"; false if there are none. */
static bool
parse_pairs(struct json_object *o, const char *key, GPtrArray *pairs)
{
	struct json_object *list, *pair;
	size_t i;

	if (!json_object_object_get_ex(o, key, &list))
		return false;
	g_ptr_array_set_size(pairs, 0);
	for (i = 0; i < json_object_array_length(list); i++) {
		pair = json_object_array_get_idx(list, i);
		g_ptr_array_add(pairs,
		    g_strdup_printf("%s %s",
			json_object_get_string(
			    json_object_array_get_idx(pair, 0)),
			json_object_get_string(
			    json_object_array_get_idx(pair, 1))));
	}
	return true;
}

static bool
apply_order(struct wire *w, const char *body)
{
	g_autoptr(GPtrArray) silent = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GPtrArray) reset = g_ptr_array_new_with_free_func(g_free);
	struct json_object *o = json_tokener_parse(body), *ms;
	bool ok = parse_pairs(o, "cut", w->cut);
	GList *it, *next;
	struct relay *r;

	ok = parse_pairs(o, "cut_to", w->cut_to) || ok;
	ok = parse_pairs(o, "slow", w->slow) || ok;
	ok = parse_pairs(o, "silence", silent) || ok;
	ok = parse_pairs(o, "reset", reset) || ok;
	if (json_object_object_get_ex(o, "slow_ms", &ms))
		w->slow_ms = (uint64_t)json_object_get_int64(ms);
	json_object_put(o);
	for (it = w->relays.head; it != NULL; it = next) {
		next = it->next;
		r = it->data;
		if (has_pair(silent, r->src, r->map->parts[1]))
			r->silent = true;
		if (has_pair(reset, r->src, r->map->parts[1]))
			relay_reset(r);
		relay_apply(r);
	}
	return ok;
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *path,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	struct wire *w = arg;
	GString *body = *state;
	bool ok;

	(void)path;
	(void)method;
	(void)version;
	if (body == NULL) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*len > 0) {
		g_string_append_len(body, data, (gssize)*len);
		*len = 0;
		return MHD_YES;
	}
	ok = apply_order(w, body->str);
	g_string_free(body, TRUE);
	*state = NULL;
	return dh_httpd_reply(
	    conn, ok ? 200 : 400, ok ? "ok\n" : "bad\n", ok ? 3 : 4, NULL);
}

int
main(int argc, char **argv)
{
	struct wire w = { 0 };
	struct dh_httpd_options o = { .address = "127.0.0.1",
		.connections_max = CONNECTIONS_MAX,
		.memory_per_connection = CONNECTION_MEMORY,
		.idle_s = IDLE_S,
		.handler = on_request,
		.arg = &w };
	g_autoptr(GError) error = NULL;
	int i;

	if (argc < 3) {
		fprintf(stderr, "usage: wire CONTROL_PORT MAP...\n");
		return 64;
	}
	(void)signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&w.loop);
	w.cut = g_ptr_array_new_with_free_func(g_free);
	w.cut_to = g_ptr_array_new_with_free_func(g_free);
	w.slow = g_ptr_array_new_with_free_func(g_free);
	w.endpoints = g_ptr_array_new();
	o.port = (uint16_t)strtoul(argv[1], NULL, 10);
	if (dh_httpd_new(&w.loop, &o, &error) == NULL) {
		fprintf(stderr, "wire: %s\n", error->message);
		return 1;
	}
	for (i = 2; i < argc; i++)
		if (!map_open(&w, argv[i])) {
			fprintf(stderr, "wire: cannot map %s\n", argv[i]);
			return 1;
		}
	if (!passages_open(&w)) {
		fprintf(stderr, "wire: cannot pass datagrams on\n");
		return 1;
	}
	return uv_run(&w.loop, UV_RUN_DEFAULT);
}
