/*
 * Stand-in for the network between processes: relays TCP connections and, on
 * order, cuts some of them off: bytes stop in both directions, connections
 * stay open, new ones are taken and never answered.
 *
 * usage: wire CONTROL_PORT MAP...
 * A MAP is SRC,DST,LISTEN_PORT,TARGET_PORT.  With SRC "*" the source is the VM
 * that the inner protocol's greeting names.
 * POST / with {"cut": [["v1", "v2"], ...]} sets the pairs that are cut, in
 * either order; {"cut": []} heals all.  {"silence": [["v1", "v2"], ...]} makes
 * the connections that these pairs have now silent for good, new ones work.
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

/* One relayed connection: two ends, each read into the other. */
struct relay {
	struct wire *wire;
	struct map *map;
	char src[DH_NAME_MAX];
	uv_tcp_t in, out;
	uv_connect_t connect;
	bool connected, stopped, closing;
	bool doomed; /* lost its greeting to a cut */
	bool silent; /* for good */
	uint32_t open; /* handles not yet closed */
	struct dh_frame_decoder greeting;
	GList link;
};

struct wire {
	uv_loop_t loop;
	GQueue relays;
	GPtrArray *cut; /* "A B" */
};

struct write {
	uv_write_t req;
	char *bytes;
};

/* Whether the pairs have a and b, in either order. */
static bool
has_pair(const GPtrArray *pairs, const char *a, const char *b)
{
	guint i;

	for (i = 0; i < pairs->len; i++) {
		g_auto(GStrv) pair = g_strsplit(pairs->pdata[i], " ", 2);

		if ((strcmp(pair[0], a) == 0 && strcmp(pair[1], b) == 0) ||
		    (strcmp(pair[0], b) == 0 && strcmp(pair[1], a) == 0))
			return true;
	}
	return false;
}

static void
on_end_closed(uv_handle_t *handle)
{
	struct relay *r = handle->data;

	if (--r->open > 0)
		return;
	g_queue_unlink(&r->wire->relays, &r->link);
	dh_frame_clear(&r->greeting);
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
on_read(uv_stream_t *from, ssize_t n, const uv_buf_t *buf)
{
	struct relay *r = from->data;
	uv_stream_t *to =
	    (uv_stream_t *)(from == (uv_stream_t *)&r->in ? &r->out : &r->in);
	struct write *wr;
	uv_buf_t out;

	if (n <= 0) {
		g_free(buf->base);
		if (n < 0)
			relay_close(r);
		return;
	}
	if (r->src[0] == '*' && from == (uv_stream_t *)&r->in) {
		(void)dh_frame_feed(
		    &r->greeting, (uint8_t *)buf->base, (size_t)n, on_frame, r);
		relay_apply(r);
		if (r->stopped) {
			r->doomed = true;
			g_free(buf->base);
			return;
		}
	}
	wr = g_new0(struct write, 1);
	wr->bytes = buf->base;
	out = uv_buf_init(buf->base, (unsigned int)n);
	if (uv_write(&wr->req, to, &out, 1, on_written) != 0) {
		g_free(wr->bytes);
		g_free(wr);
		relay_close(r);
	}
}

/* Read from both ends, or from neither while the pair is cut. */
static void
relay_apply(struct relay *r)
{
	bool cut =
	    r->silent || has_pair(r->wire->cut, r->src, r->map->parts[1]);

	if (r->closing || !r->connected || cut == r->stopped)
		return;
	if (r->doomed) {
		relay_close(r);
		return;
	}
	r->stopped = cut;
	if (cut) {
		uv_read_stop((uv_stream_t *)&r->in);
		uv_read_stop((uv_stream_t *)&r->out);
		return;
	}
	uv_read_start((uv_stream_t *)&r->in, on_alloc, on_read);
	uv_read_start((uv_stream_t *)&r->out, on_alloc, on_read);
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
	r->stopped = true;
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
	r->in.data = r->out.data = r->connect.data = r;
	r->open = 2;
	g_queue_push_tail_link(&m->wire->relays, &r->link);
	uv_ip4_addr("127.0.0.1", atoi(m->parts[3]), &to);
	if (uv_accept(server, (uv_stream_t *)&r->in) != 0 ||
	    uv_tcp_connect(&r->connect, &r->out, (struct sockaddr *)&to,
		on_connected) != 0)
		relay_close(r);
	else
		uv_tcp_nodelay(&r->out, 1);
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
	uv_tcp_init(&w->loop, &m->server);
	m->server.data = m;
	uv_ip4_addr("127.0.0.1", atoi(m->parts[2]), &at);
	return uv_tcp_bind(&m->server, (struct sockaddr *)&at, 0) == 0 &&
	    uv_listen((uv_stream_t *)&m->server, BACKLOG, on_connection) == 0;
}

/* Reads o's pairs under key, each as "A B"; false: there are none. */
static bool
take_pairs(struct json_object *o, const char *key, GPtrArray *pairs)
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
take_order(struct wire *w, const char *body)
{
	g_autoptr(GPtrArray) silent = g_ptr_array_new_with_free_func(g_free);
	struct json_object *o = json_tokener_parse(body);
	bool ok = take_pairs(o, "cut", w->cut);
	GList *it, *next;
	struct relay *r;

	ok = take_pairs(o, "silence", silent) || ok;
	json_object_put(o);
	for (it = w->relays.head; it != NULL; it = next) {
		next = it->next;
		r = it->data;
		if (has_pair(silent, r->src, r->map->parts[1]))
			r->silent = true;
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
	ok = take_order(w, body->str);
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
	return uv_run(&w.loop, UV_RUN_DEFAULT);
}
