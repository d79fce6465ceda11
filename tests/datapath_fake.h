#ifndef DH_TESTS_DATAPATH_FAKE_H
#define DH_TESTS_DATAPATH_FAKE_H

#include <inttypes.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <xxhash.h>

#include "router/router.h"

/*
 * The router in this process, between a caller on raw sockets and a fake
 * backend server on raw sockets, with a control thread that only hands out
 * permits.  What the fake does is named by the last part of the path, see
 * fake_kinds.  Waits are for events; their limit only ends a test that hangs.
 */
#define FAKE_LIMIT_S 20
#define FAKE_BIG (64u << 20)
#define FAKE_BLOCK (64u << 10)
#define FAKE_SLOTS 4u

struct fake {
	int fd;
	uint16_t port;
	GThread *thread;
	GPtrArray *conns; /* their threads */
	GArray *fds; /* their sockets, -1 once closed */
	pthread_mutex_t lock;
	pthread_cond_t cond;
	GHashTable *seen; /* path -> times read whole */
	GHashTable *released; /* paths of held requests */
	GQueue held; /* paths, as they came */
	uint32_t opened; /* connections */
	uint32_t gone; /* held or hung requests that were cancelled */
	uint32_t silent_upto; /* connections up to this swallow requests */
	bool frozen; /* all do */
	bool stopping;
	uint32_t busy; /* what its load report says */
	bool deaf; /* die closes the listening socket as well */
};

struct fake_conn {
	struct fake *fake;
	int fd;
	uint32_t number; /* from 1 */
	uint32_t served;
	GString *in;
	bool closed;
};

struct fake_request {
	char method[16];
	char path[512];
	char id[64]; /* Dh-Request-Id */
	char *head;
	uint64_t body_bytes;
	uint64_t body_hash;
};

static bool
fake_fill(struct fake_conn *c)
{
	char buf[FAKE_BLOCK];
	ssize_t n = recv(c->fd, buf, sizeof(buf), 0);

	if (n <= 0) {
		c->closed = true;
		return false;
	}
	g_string_append_len(c->in, buf, n);
	return true;
}

static void
fake_send(int fd, const char *data, size_t len)
{
	ssize_t n;

	while (len > 0) {
		n = send(fd, data, len, MSG_NOSIGNAL);
		if (n <= 0)
			return;
		data += n;
		len -= (size_t)n;
	}
}

static void
fake_say(int fd, const char *text)
{
	fake_send(fd, text, strlen(text));
}

/* One line without its end, or NULL; free with g_free(). */
static char *
fake_line(struct fake_conn *c)
{
	char *end, *line;

	while ((end = strstr(c->in->str, "\r\n")) == NULL)
		if (!fake_fill(c))
			return NULL;
	line = g_strndup(c->in->str, (gsize)(end - c->in->str));
	g_string_erase(c->in, 0, end + 2 - c->in->str);
	return line;
}

static bool
fake_take(struct fake_conn *c, uint64_t n, XXH64_state_t *hash)
{
	size_t some;

	while (n > 0) {
		if (c->in->len == 0 && !fake_fill(c))
			return false;
		some = MIN(n, c->in->len);
		XXH64_update(hash, c->in->str, some);
		g_string_erase(c->in, 0, (gssize)some);
		n -= some;
	}
	return true;
}

static bool
fake_chunks(struct fake_conn *c, struct fake_request *rq, XXH64_state_t *hash)
{
	uint64_t n;
	char *line;

	do {
		line = fake_line(c);
		if (line == NULL)
			return false;
		n = g_ascii_strtoull(line, NULL, 16);
		g_free(line);
		if (!fake_take(c, n, hash))
			return false;
		rq->body_bytes += n;
		line = fake_line(c);
		if (line == NULL)
			return false;
		g_free(line);
	} while (n > 0);
	return true;
}

static bool
fake_read(struct fake_conn *c, struct fake_request *rq)
{
	g_autofree char *first = fake_line(c);
	XXH64_state_t hash;
	GString *head = g_string_new("\n");
	bool chunked = false, ok = first != NULL;
	uint64_t length = 0;
	char *line;

	memset(rq, 0, sizeof(*rq));
	if (ok)
		ok = sscanf(first, "%15s %511s", rq->method, rq->path) == 2;
	while (ok && (line = fake_line(c)) != NULL && line[0] != '\0') {
		if (g_ascii_strncasecmp(line, "Content-Length:", 15) == 0)
			length = g_ascii_strtoull(line + 15, NULL, 10);
		else if (g_ascii_strncasecmp(line, "Transfer-Enc", 12) == 0)
			chunked = true;
		else if (g_str_has_prefix(line, "Dh-Request-Id: "))
			g_strlcpy(rq->id, line + 15, sizeof(rq->id));
		g_string_append_printf(head, "%s\n", line);
		g_free(line);
	}
	rq->head = g_string_free(head, FALSE);
	if (!ok || c->closed)
		return false;
	g_free(line);
	XXH64_reset(&hash, 0);
	rq->body_bytes = chunked ? 0 : length;
	ok = chunked ? fake_chunks(c, rq, &hash) : fake_take(c, length, &hash);
	rq->body_hash = XXH64_digest(&hash);
	return ok;
}

/* Wait for the router to close this connection. */
static void
fake_until_closed(struct fake_conn *c)
{
	while (fake_fill(c))
		continue;
	pthread_mutex_lock(&c->fake->lock);
	c->fake->gone++;
	pthread_cond_broadcast(&c->fake->cond);
	pthread_mutex_unlock(&c->fake->lock);
}

static void
fake_echo(struct fake_conn *c, const struct fake_request *rq)
{
	g_autofree char *body =
	    g_strdup_printf("%s %s %" PRIu64 " %" PRIx64 "\n%s", rq->method,
		rq->path, rq->body_bytes, rq->body_hash, rq->head);
	g_autofree char *head =
	    g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
			    "Dh-Request-Id: %s\r\nX-Own: kept\r\n\r\n",
		strlen(body), rq->id);

	fake_say(c->fd, head);
	if (strcmp(rq->method, "HEAD") != 0)
		fake_say(c->fd, body);
}

static void
fake_hold(struct fake_conn *c, const struct fake_request *rq)
{
	struct fake *f = c->fake;

	pthread_mutex_lock(&f->lock);
	g_queue_push_tail(&f->held, g_strdup(rq->path));
	pthread_cond_broadcast(&f->cond);
	while (!f->stopping && !g_hash_table_contains(f->released, rq->path))
		pthread_cond_wait(&f->cond, &f->lock);
	pthread_mutex_unlock(&f->lock);
	fake_echo(c, rq);
}

static void
fake_big(struct fake_conn *c, const struct fake_request *rq)
{
	static char block[FAKE_BLOCK];
	size_t n;

	(void)rq;
	fake_say(c->fd, "HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n");
	for (n = 0; n < FAKE_BIG; n += sizeof(block))
		fake_send(c->fd, block, sizeof(block));
}

static void
fake_hang(struct fake_conn *c, const struct fake_request *rq)
{
	(void)rq;
	fake_until_closed(c);
}

static void
fake_die(struct fake_conn *c, const struct fake_request *rq)
{
	struct fake *f = c->fake;

	if (c->served == 0) {
		fake_echo(c, rq);
		return;
	}
	if (f->deaf)
		(void)shutdown(f->fd, SHUT_RDWR);
	c->closed = true;
}

/* Fixed answers; those that are cut end the connection. */
struct fake_text {
	const char *name;
	const char *text;
	bool cut;
};

static const struct fake_text fake_texts[] = {
	{ "cut-length", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf",
	    true },
	{ "cut-chunks",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "4\r\nhalf\r\n",
	    true },
	{ "cut-head", "HTTP/1.1 200 OK\r\nContent-Le", true },
	{ "cut-refusal", "HTTP/1.1 503 No\r\nDh-Outcome: not-run\r\nContent-Le",
	    true },
	{ "chunks",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "4\r\nall \r\n5\r\nof it\r\n0\r\n\r\n",
	    false },
	{ "to-end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end",
	    true },
	{ "foreign",
	    "HTTP/1.1 200 OK\r\nDh-Request-Id: other\r\n"
	    "Content-Length: 6\r\n\r\nsecret",
	    false },
	{ "foreign-refusal",
	    "HTTP/1.1 503 No\r\nDh-Outcome: not-run\r\n"
	    "Dh-Request-Id: other\r\nContent-Length: 6\r\n\r\nsecret",
	    false },
	{ "refuse",
	    "HTTP/1.1 503 No\r\nDh-Outcome: not-run\r\n"
	    "Dh-Reason: draining\r\nContent-Length: 2\r\n\r\nno",
	    false },
	{ "double",
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale",
	    false },
	{ "none", "HTTP/1.1 204 None\r\n\r\n", false },
	{ "same", "HTTP/1.1 304 Same\r\nETag: \"a\"\r\n\r\n", false },
	{ "early",
	    "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n"
	    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
	    false },
	{ "fault", "HTTP/1.1 500 Bad\r\nContent-Length: 3\r\n\r\nbad", false },
};

#define FAKE_LEASELESS 8u /* tries */

/* Without a lease at first; then it runs the request. */
static void
fake_leaseless(struct fake_conn *c, const struct fake_request *rq)
{
	guint n;

	pthread_mutex_lock(&c->fake->lock);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(c->fake->seen, rq->path));
	pthread_mutex_unlock(&c->fake->lock);
	if (n > FAKE_LEASELESS)
		fake_echo(c, rq);
	else
		fake_say(c->fd,
		    "HTTP/1.1 503 No\r\nDh-Outcome: not-run\r\n"
		    "Dh-Reason: lease\r\nContent-Length: 0\r\n\r\n");
}

struct fake_kind {
	const char *name;
	void (*run)(struct fake_conn *c, const struct fake_request *rq);
};

static const struct fake_kind fake_kinds[] = {
	{ "echo", fake_echo }, /* tells what it read */
	{ "hold", fake_hold }, /* until fake_release() */
	{ "big", fake_big }, /* FAKE_BIG bytes */
	{ "leaseless", fake_leaseless }, /* at first */
	{ "hang", fake_hang }, /* until the router gives up */
	{ "die", fake_die }, /* without an answer, if reused */
};

static void
fake_load(struct fake_conn *c)
{
	g_autofree char *body =
	    g_strdup_printf("{\"running\": %u, \"queued\": 0}", c->fake->busy);
	g_autofree char *text =
	    g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);

	fake_say(c->fd, text);
}

static void
fake_run(struct fake_conn *c, const struct fake_request *rq)
{
	const char *name = strrchr(rq->path, '/') + 1;
	size_t len = strcspn(name, "?"), i;

	for (i = 0; i < G_N_ELEMENTS(fake_kinds); i++)
		if (strlen(fake_kinds[i].name) == len &&
		    strncmp(name, fake_kinds[i].name, len) == 0)
			fake_kinds[i].run(c, rq);
	for (i = 0; i < G_N_ELEMENTS(fake_texts); i++) {
		if (strlen(fake_texts[i].name) != len ||
		    strncmp(name, fake_texts[i].name, len) != 0)
			continue;
		fake_say(c->fd, fake_texts[i].text);
		if (fake_texts[i].cut)
			c->closed = true;
	}
	if (strcmp(rq->path, "/_dh/load") == 0)
		fake_load(c);
}

/* Count a request; false when it must be swallowed. */
static bool
fake_count(struct fake_conn *c, const struct fake_request *rq)
{
	struct fake *f = c->fake;
	guint n;
	bool answers;

	pthread_mutex_lock(&f->lock);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(f->seen, rq->path));
	g_hash_table_replace(
	    f->seen, g_strdup(rq->path), GUINT_TO_POINTER(n + 1));
	answers = !f->frozen && c->number > f->silent_upto;
	pthread_cond_broadcast(&f->cond);
	pthread_mutex_unlock(&f->lock);
	return answers;
}

static void *
fake_serve(void *arg)
{
	struct fake_conn *c = arg;
	struct fake_request rq = { .head = NULL };

	while (!c->closed && fake_read(c, &rq)) {
		if (fake_count(c, &rq))
			fake_run(c, &rq);
		else
			fake_until_closed(c);
		c->served++;
		g_free(rq.head);
		rq.head = NULL;
	}
	g_free(rq.head);
	pthread_mutex_lock(&c->fake->lock);
	g_array_index(c->fake->fds, int, c->number - 1) = -1;
	(void)close(c->fd);
	pthread_mutex_unlock(&c->fake->lock);
	g_string_free(c->in, TRUE);
	g_free(c);
	return NULL;
}

static void *
fake_accept(void *arg)
{
	struct fake *f = arg;
	struct fake_conn *c;
	int fd;

	while ((fd = accept(f->fd, NULL, NULL)) >= 0) {
		c = g_new0(struct fake_conn, 1);
		c->fake = f;
		c->fd = fd;
		c->in = g_string_new(NULL);
		pthread_mutex_lock(&f->lock);
		c->number = ++f->opened;
		g_array_append_val(f->fds, fd);
		g_ptr_array_add(f->conns, g_thread_new("fake", fake_serve, c));
		pthread_mutex_unlock(&f->lock);
	}
	return NULL;
}

static void
fake_start(struct fake *f)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);
	pthread_condattr_t attr;

	memset(f, 0, sizeof(*f));
	pthread_mutex_init(&f->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&f->cond, &attr);
	pthread_condattr_destroy(&attr);
	g_queue_init(&f->held);
	f->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->released =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->conns = g_ptr_array_new();
	f->fds = g_array_new(FALSE, FALSE, sizeof(int));
	f->fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert(bind(f->fd, (struct sockaddr *)&sin, sizeof(sin)) == 0);
	g_assert(listen(f->fd, 512) == 0);
	g_assert(getsockname(f->fd, (struct sockaddr *)&sin, &len) == 0);
	f->port = ntohs(sin.sin_port);
	f->thread = g_thread_new("accept", fake_accept, f);
}

static void
fake_stop(struct fake *f)
{
	guint i;
	int fd;

	(void)shutdown(f->fd, SHUT_RDWR);
	g_thread_join(f->thread);
	(void)close(f->fd);
	pthread_mutex_lock(&f->lock);
	f->stopping = true;
	pthread_cond_broadcast(&f->cond);
	for (i = 0; i < f->fds->len; i++) {
		fd = g_array_index(f->fds, int, i);
		if (fd >= 0)
			(void)shutdown(fd, SHUT_RDWR);
	}
	pthread_mutex_unlock(&f->lock);
	for (i = 0; i < f->conns->len; i++)
		g_thread_join(f->conns->pdata[i]);
	g_ptr_array_unref(f->conns);
	g_array_unref(f->fds);
	g_hash_table_unref(f->seen);
	g_hash_table_unref(f->released);
	g_queue_clear_full(&f->held, g_free);
	pthread_mutex_destroy(&f->lock);
	pthread_cond_destroy(&f->cond);
}

static inline uint32_t
fake_seen(struct fake *f, const char *path)
{
	guint n;

	pthread_mutex_lock(&f->lock);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(f->seen, path));
	pthread_mutex_unlock(&f->lock);
	return n;
}

static inline struct timespec
fake_limit(void)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	at.tv_sec += FAKE_LIMIT_S;
	return at;
}

/* Wait until a request was read whole n times. */
static inline bool
fake_wait_seen(struct fake *f, const char *path, uint32_t n)
{
	struct timespec end = fake_limit();
	bool ok = true;

	pthread_mutex_lock(&f->lock);
	while (ok && GPOINTER_TO_UINT(g_hash_table_lookup(f->seen, path)) < n)
		ok = pthread_cond_timedwait(&f->cond, &f->lock, &end) == 0;
	pthread_mutex_unlock(&f->lock);
	return ok;
}

static inline bool
fake_wait_gone(struct fake *f, uint32_t n)
{
	struct timespec end = fake_limit();
	bool ok = true;

	pthread_mutex_lock(&f->lock);
	while (ok && f->gone < n)
		ok = pthread_cond_timedwait(&f->cond, &f->lock, &end) == 0;
	pthread_mutex_unlock(&f->lock);
	return ok;
}

/* The request that came last and is still held, or NULL; free it. */
static inline char *
fake_wait_held(struct fake *f)
{
	struct timespec end = fake_limit();
	bool ok = true;
	char *path;

	pthread_mutex_lock(&f->lock);
	while (ok && f->held.length == 0)
		ok = pthread_cond_timedwait(&f->cond, &f->lock, &end) == 0;
	path = g_queue_pop_tail(&f->held);
	pthread_mutex_unlock(&f->lock);
	return path;
}

static inline void
fake_release(struct fake *f, const char *path)
{
	pthread_mutex_lock(&f->lock);
	g_hash_table_add(f->released, g_strdup(path));
	pthread_cond_broadcast(&f->cond);
	pthread_mutex_unlock(&f->lock);
}

/* The router and what it needs. */

enum { SV_WEB, SV_PAY, SV_SLOW, SV_TIGHT, SV_FEED, SV_ORPHAN, SV_ALL };

/* Of each backend server of the next world, if not 0. */
static uint32_t share_connections;
/* Backend servers of service web beside the first, in the next world. */
static uint32_t more_backends;
#define MORE_MAX 15u

struct world {
	struct fake fake;
	struct dh_settings settings;
	struct dh_service services[SV_ALL];
	struct dh_backend backends[SV_ALL + MORE_MAX];
	struct dh_conf conf;
	struct dh_publish *publish;
	uv_loop_t loop;
	uv_async_t stop;
	uv_async_t start;
	GThread *thread;
	struct dh_router *router;
	uint16_t port;
	gint permits; /* asked for */
	gint refuse_permits; /* verdict on them: REFUSED, not RUN */
	gint closes; /* asked for */
	gint close_verdict; /* of enum dh_permit_verdict; RUN: no answer */
	uint64_t permit_token, close_token; /* of the last ones */
	gint ends[3]; /* by enum dh_outcome */
};

static void
world_close(struct world *w, uint32_t i, const struct dh_mail *mail)
{
	struct dh_mail reply = *mail;

	w->close_token = mail->token;
	g_atomic_int_inc(&w->closes);
	reply.kind = DH_MAIL_PERMIT;
	reply.permit.verdict =
	    (enum dh_permit_verdict)g_atomic_int_get(&w->close_verdict);
	reply.permit.retry_ms = 16000;
	reply.permit.status = 201;
	/* One that was given before the refusal was read changes nothing. */
	if (reply.permit.verdict != DH_PERMIT_RUN) {
		struct dh_mail late = reply;

		late.permit.verdict = DH_PERMIT_RUN;
		g_assert(dh_router_mail(w->router, i, &late));
	}
	g_assert(dh_router_mail(w->router, i, &reply));
}

static void
world_mail(void *arg, uint32_t i, const struct dh_mail *mail)
{
	struct world *w = arg;
	struct dh_mail reply = *mail;

	if (mail->kind == DH_MAIL_LOAD)
		g_free(mail->load);
	if (mail->kind == DH_MAIL_PERMIT_END)
		g_atomic_int_inc(&w->ends[mail->permit.outcome]);
	if (mail->kind == DH_MAIL_PERMIT_CLOSE) {
		world_close(w, i, mail);
		return;
	}
	if (mail->kind != DH_MAIL_PERMIT_ASK)
		return;
	w->permit_token = mail->token;
	g_atomic_int_inc(&w->permits);
	reply.kind = DH_MAIL_PERMIT;
	reply.permit.verdict = g_atomic_int_get(&w->refuse_permits)
	    ? DH_PERMIT_REFUSED
	    : DH_PERMIT_RUN;
	g_assert(dh_router_mail(w->router, i, &reply));
}

static void
world_stop_loop(uv_async_t *async)
{
	uv_stop(async->loop);
}

static void *
world_control(void *arg)
{
	uv_run(arg, UV_RUN_DEFAULT);
	return NULL;
}

static void
world_conf(struct world *w)
{
	static const char *const names[] = { "web", "pay", "slow", "tight",
		"feed", "orphan" };
	size_t i;

	for (i = 0; i < SV_ALL; i++) {
		struct dh_service *sv = &w->services[i];
		struct dh_backend *b = &w->backends[i];

		g_strlcpy(sv->name, names[i], sizeof(sv->name));
		g_strlcpy(sv->team, "t", sizeof(sv->team));
		sv->kind = i < SV_FEED ? DH_SERVICE_ANY : DH_SERVICE_KEYED;
		sv->division.hash.slots = FAKE_SLOTS;
		sv->unrepeatable = i == SV_PAY;
		sv->deadline_ms = i == SV_SLOW ? 300 : 15000;
		sv->queue_ms = i == SV_ORPHAN ? 50 : 5000;
		sv->retry_percent = 10;
		sv->objective_latency_ms = 100;
		g_snprintf(b->name, sizeof(b->name), "b-%s", names[i]);
		g_strlcpy(b->team, "t", sizeof(b->team));
		g_strlcpy(b->service, names[i], sizeof(b->service));
		g_strlcpy(b->address, "127.0.0.1", sizeof(b->address));
		g_strlcpy(b->zone, "za", sizeof(b->zone));
		g_strlcpy(b->region, "r1", sizeof(b->region));
		b->port = w->fake.port;
		b->slots = i == SV_TIGHT ? 1 : 32;
		b->connections =
		    share_connections > 0 ? share_connections : 1100;
		b->checks_fence = true;
	}
	for (i = SV_ALL; i < SV_ALL + more_backends; i++) {
		w->backends[i] = w->backends[SV_WEB];
		g_snprintf(w->backends[i].name, sizeof(w->backends[i].name),
		    "b-more-%zu", i);
	}
	w->conf = (struct dh_conf){ .revision = 1,
		.services = w->services,
		.nservices = SV_ALL,
		.backends = w->backends,
		.nbackends = SV_ALL + more_backends };
}

static void
world_publish(struct world *w)
{
	struct dh_table *t = dh_table_new(&w->conf, 1);
	uint32_t i;

	for (i = 0; i < FAKE_SLOTS; i++)
		t->slots[SV_FEED][i] = (struct dh_slot){ .owner = SV_FEED,
			.standby = DH_NONE,
			.fence = { 7, 40 + i },
			.state = DH_SLOT_OWNED };
	w->publish = dh_publish_new();
	dh_publish_set(w->publish, t, NULL, NULL);
}

static void
world_start(struct world *w)
{
	struct dh_router_control c;

	memset(w, 0, sizeof(*w));
	fake_start(&w->fake);
	world_conf(w);
	world_publish(w);
	dh_settings_defaults(&w->settings);
	g_strlcpy(w->settings.zone, "za", sizeof(w->settings.zone));
	g_strlcpy(w->settings.region, "r1", sizeof(w->settings.region));
	g_strlcpy(w->settings.listen_address, "127.0.0.1",
	    sizeof(w->settings.listen_address));
	w->settings.listen_port = 0;
	w->settings.threads = 1;
	uv_loop_init(&w->loop);
	uv_async_init(&w->loop, &w->stop, world_stop_loop);
	c = (struct dh_router_control){ .publish = w->publish,
		.loop = &w->loop,
		.on_mail = world_mail,
		.arg = w };
	w->router = dh_router_start(&w->settings, &c, NULL);
	g_assert(w->router != NULL);
	w->port = dh_router_port(w->router);
	w->thread = g_thread_new("control", world_control, &w->loop);
}

static void
world_stop(struct world *w)
{
	uv_async_send(&w->stop);
	g_thread_join(w->thread);
	dh_router_stop(w->router);
	uv_close((uv_handle_t *)&w->stop, NULL);
	while (uv_run(&w->loop, UV_RUN_DEFAULT) != 0)
		continue;
	uv_loop_close(&w->loop);
	dh_publish_free(w->publish);
	fake_stop(&w->fake);
}

/* Wait until n permits have ended so. */
static inline bool
world_wait_end(struct world *w, enum dh_outcome outcome, int n)
{
	int i;

	for (i = 0; i < FAKE_LIMIT_S * 1000; i++) {
		if (g_atomic_int_get(&w->ends[outcome]) >= n)
			break;
		g_usleep(1000);
	}
	return g_atomic_int_get(&w->ends[outcome]) == n;
}

/* The caller. */

struct reply {
	unsigned int status;
	char head[8192]; /* each line after a newline */
	char body[8192]; /* its first bytes */
	uint64_t bytes; /* of the whole body */
	bool whole;
};

struct caller {
	int fd;
	GString *in;
};

static void
caller_open(struct caller *c, uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct timeval limit = { .tv_sec = FAKE_LIMIT_S };

	c->in = g_string_new(NULL);
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	(void)setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	g_assert(connect(c->fd, (struct sockaddr *)&sin, sizeof(sin)) == 0);
}

static void
caller_close(struct caller *c)
{
	(void)close(c->fd);
	g_string_free(c->in, TRUE);
}

static bool
caller_fill(struct caller *c)
{
	char buf[FAKE_BLOCK];
	ssize_t n = recv(c->fd, buf, sizeof(buf), 0);

	if (n <= 0)
		return false;
	g_string_append_len(c->in, buf, n);
	return true;
}

static char *
caller_line(struct caller *c)
{
	char *end, *line;

	while ((end = strstr(c->in->str, "\r\n")) == NULL)
		if (!caller_fill(c))
			return NULL;
	line = g_strndup(c->in->str, (gsize)(end - c->in->str));
	g_string_erase(c->in, 0, end + 2 - c->in->str);
	return line;
}

/* Read n bytes of a body; false when it ends before. */
static bool
caller_take(struct caller *c, struct reply *r, uint64_t n)
{
	size_t some, room;

	while (n > 0) {
		if (c->in->len == 0 && !caller_fill(c))
			return false;
		some = MIN(n, c->in->len);
		room = r->bytes < sizeof(r->body) - 1
		    ? sizeof(r->body) - 1 - r->bytes
		    : 0;
		if (room > 0)
			memcpy(r->body + r->bytes, c->in->str, MIN(room, some));
		r->bytes += some;
		g_string_erase(c->in, 0, (gssize)some);
		n -= some;
	}
	return true;
}

static bool
caller_chunks(struct caller *c, struct reply *r)
{
	uint64_t n;
	char *line;

	do {
		line = caller_line(c);
		if (line == NULL)
			return false;
		n = g_ascii_strtoull(line, NULL, 16);
		g_free(line);
		if (!caller_take(c, r, n))
			return false;
		line = caller_line(c);
		if (line == NULL)
			return false;
		g_free(line);
	} while (n > 0);
	return true;
}

/* Read one answer; bodyless: it has none whatever its headers say. */
static void
caller_read(struct caller *c, struct reply *r, bool bodyless)
{
	char *line = caller_line(c);
	int64_t length = -1;
	bool chunked = false;

	memset(r, 0, sizeof(*r));
	if (line == NULL)
		return;
	r->status = (unsigned int)g_ascii_strtoull(line + 9, NULL, 10);
	g_free(line);
	g_strlcpy(r->head, "\n", sizeof(r->head));
	while ((line = caller_line(c)) != NULL && line[0] != '\0') {
		if (g_ascii_strncasecmp(line, "Content-Length: ", 16) == 0)
			length = g_ascii_strtoll(line + 16, NULL, 10);
		if (g_ascii_strncasecmp(line, "Transfer-Enc", 12) == 0)
			chunked = true;
		g_strlcat(r->head, line, sizeof(r->head));
		g_strlcat(r->head, "\n", sizeof(r->head));
		g_free(line);
	}
	if (line == NULL)
		return;
	g_free(line);
	if (bodyless || r->status == 204 || r->status == 304)
		r->whole = true;
	else if (chunked)
		r->whole = caller_chunks(c, r);
	else if (length >= 0)
		r->whole = caller_take(c, r, (uint64_t)length);
}

/* call -- one request on a connection of its own. */
static void G_GNUC_PRINTF(3, 4)
    call(struct world *w, struct reply *r, const char *fmt, ...)
{
	struct caller c;
	char *text;
	va_list ap;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	caller_open(&c, w->port);
	fake_say(c.fd, text);
	caller_read(&c, r, g_str_has_prefix(text, "HEAD "));
	caller_close(&c);
	g_free(text);
}

#define HOST "Host: h\r\n"
#define GET(path) "GET " path " HTTP/1.1\r\n" HOST "\r\n"

static inline bool
says(const struct reply *r, const char *line)
{
	g_autofree char *want = g_strdup_printf("\n%s\n", line);

	return strstr(r->head, want) != NULL;
}

static inline bool
is_local(const struct reply *r, unsigned int status, const char *outcome,
    const char *reason)
{
	g_autofree char *o = g_strdup_printf("Dh-Outcome: %s", outcome);
	g_autofree char *why = g_strdup_printf("Dh-Reason: %s", reason);

	return r->whole && r->status == status && says(r, o) && says(r, why);
}

#endif
