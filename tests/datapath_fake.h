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
 * Runs the router in this process, between a caller and a fake backend server
 * that both use raw sockets, with a control thread that only answers requests
 * for permits.  The last segment of a request's path selects the behaviour of
 * the fake backend server, see fake_kinds and fake_texts.  The tests wait for
 * events; the time limit only ends a test that hangs.
 */
#define FAKE_LIMIT_S 20
#define FAKE_BIG (64u << 20)
#define FAKE_BLOCK (64u << 10)
#define FAKE_SLOTS 4u

struct fake {
	int fd;
	uint16_t port;
	GThread *thread;
	GPtrArray *conns; /* threads of the connections */
	GArray *fds; /* sockets of the connections, -1: closed */
	pthread_mutex_t lock;
	pthread_cond_t cond;
	GHashTable *seen; /* path -> times it was received completely */
	GHashTable *released; /* paths of held requests */
	GQueue held; /* paths of held requests, in order of arrival */
	uint32_t opened; /* connections accepted */
	uint32_t cancelled; /* unanswered requests that the router cancelled */
	uint32_t silent_upto; /* no answer on connections up to this number */
	bool frozen; /* no answer on any connection */
	bool stopping;
	uint32_t busy; /* running requests in its load report */
	bool refuses_after_die; /* fake_die() closes the listening socket too */
};

struct fake_conn {
	struct fake *fake;
	int fd;
	uint32_t number; /* counts from 1 */
	uint32_t served;
	char *late; /* sent before the next answer, or NULL */
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
fake_send_text(int fd, const char *text)
{
	fake_send(fd, text, strlen(text));
}

/* Return one line without its CRLF, or NULL; free it with g_free(). */
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
fake_skip_body(struct fake_conn *c, uint64_t n, XXH64_state_t *hash)
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
fake_skip_chunks(
    struct fake_conn *c, struct fake_request *rq, XXH64_state_t *hash)
{
	uint64_t n;
	char *line;

	do {
		line = fake_line(c);
		if (line == NULL)
			return false;
		n = g_ascii_strtoull(line, NULL, 16);
		g_free(line);
		if (!fake_skip_body(c, n, hash))
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
	if (g_str_has_suffix(rq->path, "/early-cut"))
		return true;
	XXH64_reset(&hash, 0);
	rq->body_bytes = chunked ? 0 : length;
	ok = chunked ? fake_skip_chunks(c, rq, &hash)
		     : fake_skip_body(c, length, &hash);
	rq->body_hash = XXH64_digest(&hash);
	return ok;
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

/* Wait for the router to close this connection. */
static void
fake_wait_closed(struct fake_conn *c)
{
	while (fake_fill(c))
		continue;
	pthread_mutex_lock(&c->fake->lock);
	c->fake->cancelled++;
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

	fake_send_text(c->fd, head);
	if (strcmp(rq->method, "HEAD") != 0)
		fake_send_text(c->fd, body);
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

/* Echo, and echo again when the answer has been read. */
static void
fake_twice(struct fake_conn *c, const struct fake_request *rq)
{
	fake_echo(c, rq);
	g_usleep(30000);
	fake_echo(c, rq);
	pthread_mutex_lock(&c->fake->lock);
	g_queue_push_tail(&c->fake->held, g_strdup(rq->path));
	pthread_cond_broadcast(&c->fake->cond);
	pthread_mutex_unlock(&c->fake->lock);
}

static void
fake_big(struct fake_conn *c, const struct fake_request *rq)
{
	static char block[FAKE_BLOCK];
	size_t n;

	(void)rq;
	fake_send_text(
	    c->fd, "HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n");
	for (n = 0; n < FAKE_BIG; n += sizeof(block))
		fake_send(c->fd, block, sizeof(block));
}

static void
fake_hang(struct fake_conn *c, const struct fake_request *rq)
{
	(void)rq;
	fake_wait_closed(c);
}

static void
fake_die(struct fake_conn *c, const struct fake_request *rq)
{
	struct fake *f = c->fake;

	if (c->served == 0) {
		fake_echo(c, rq);
		return;
	}
	if (f->refuses_after_die)
		(void)shutdown(f->fd, SHUT_RDWR);
	c->closed = true;
}

/* Answer without a length before the body of the request is read, end the
 * answer by a half-close, and reset the connection with the body unread. */
static void
fake_early_cut(struct fake_conn *c, const struct fake_request *rq)
{
	struct linger l = { .l_onoff = 1 };

	(void)rq;
	fake_send_text(c->fd, "HTTP/1.1 200 OK\r\n\r\nhalf");
	(void)shutdown(c->fd, SHUT_WR);
	g_usleep(50000);
	(void)setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	c->closed = true;
}

/* Fixed answers; those of "once-" to the first request of a path, then it is
 * echoed.  "@" stands for the request's id.  What follows "|" is sent
 * before the answer to the next request on the connection. */
struct fake_text {
	const char *name;
	const char *text;
	bool cut; /* the connection is closed after it */
};

#define FAKE_ID "Dh-Request-Id: @\r\n"
#define FAKE_DONE "HTTP/1.1 200 OK\r\n" FAKE_ID "Content-Length: 2\r\n\r\nok"
#define FAKE_NAMELESS "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
#define FAKE_REFUSAL                                                          \
	"HTTP/1.1 503 No\r\n" FAKE_ID                                         \
	"Dh-Outcome: not-run\r\nDh-Reason: draining\r\nContent-Length: 2\r\n" \
	"\r\nno"

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
	    "HTTP/1.1 200 OK\r\n" FAKE_ID "Transfer-Encoding: chunked\r\n\r\n"
	    "4\r\nall \r\n5\r\nof it\r\n0\r\n\r\n",
	    false },
	{ "to-end",
	    "HTTP/1.1 200 OK\r\n" FAKE_ID "Connection: close\r\n\r\nto the end",
	    true },
	{ "foreign",
	    "HTTP/1.1 200 OK\r\nDh-Request-Id: other\r\n"
	    "Content-Length: 6\r\n\r\nsecret",
	    false },
	{ "foreign-refusal",
	    "HTTP/1.1 503 No\r\nDh-Outcome: not-run\r\n"
	    "Dh-Request-Id: other\r\nContent-Length: 6\r\n\r\nsecret",
	    false },
	{ "foreign-lease",
	    "HTTP/1.1 503 No\r\nDh-Outcome: not-run\r\n"
	    "Dh-Reason: lease\r\nDh-Request-Id: other\r\n"
	    "Content-Length: 0\r\n\r\n",
	    false },
	{ "refuse", FAKE_REFUSAL, false },
	{ "double",
	    "HTTP/1.1 200 OK\r\n" FAKE_ID "Content-Length: 5\r\n\r\nfirst"
	    "HTTP/1.1 200 OK\r\n" FAKE_ID "Content-Length: 5\r\n\r\nstale",
	    false },
	{ "none", "HTTP/1.1 204 None\r\n" FAKE_ID "\r\n", false },
	{ "same", "HTTP/1.1 304 Same\r\n" FAKE_ID "ETag: \"a\"\r\n\r\n",
	    false },
	{ "early",
	    "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n"
	    "HTTP/1.1 200 OK\r\n" FAKE_ID "Content-Length: 4\r\n\r\nlate",
	    false },
	{ "status-000",
	    "HTTP/1.1 000 X\r\n" FAKE_ID "Content-Length: 3\r\n\r\nbad",
	    false },
	{ "status-099",
	    "HTTP/1.1 099 X\r\n" FAKE_ID "Content-Length: 3\r\n\r\nbad",
	    false },
	{ "status-600",
	    "HTTP/1.1 600 X\r\n" FAKE_ID "Content-Length: 3\r\n\r\nbad",
	    false },
	{ "status-999",
	    "HTTP/1.1 999 X\r\n" FAKE_ID "Content-Length: 3\r\n\r\nbad",
	    false },
	{ "status-000-refusal",
	    "HTTP/1.1 000 X\r\n" FAKE_ID
	    "Dh-Outcome: not-run\r\nContent-Length: 0\r\n"
	    "\r\n",
	    false },
	{ "fault",
	    "HTTP/1.1 500 Bad\r\n" FAKE_ID "Content-Length: 3\r\n\r\nbad",
	    false },
	{ "early-refusal",
	    "HTTP/1.1 103 Early\r\n" FAKE_ID "Dh-Outcome: not-run\r\n\r\n",
	    true },
	{ "once-refused", FAKE_REFUSAL "|" FAKE_REFUSAL, false },
	{ "once-switched", "HTTP/1.1 101 Switch\r\n" FAKE_ID "\r\nstale",
	    true },
	{ "once-bare-cr",
	    "HTTP/1.1 200 OK\r\n" FAKE_ID "Content-Length: 5\r\n"
	    "\rX: y\r\nstale",
	    false },
	{ "part-of-value", FAKE_DONE "|HTTP/1.1 500 Bad\r\nX-Part: a", false },
	{ "part-of-name", FAKE_DONE "|HTTP/1.1 500 Bad\r\nX-Pa", false },
	{ "part-of-reason", FAKE_DONE "|HTTP/1.1 500 Ba", false },
	{ "part-of-lines", FAKE_DONE "|HTTP/1.1 204 No\r\nX-Part: a\r\n",
	    false },
	{ "part-with-cr", FAKE_DONE "|HTTP/1.1 500 Bad\r\nX-Part: a\r\n\r",
	    false },
	{ "quoted-status",
	    "HTTP/1.1 200 OK\r\n" FAKE_ID "X-Via: HTTP/1.1 200 OK\r\n"
	    "Content-Length: 2\r\n\r\nok",
	    false },
	{ "nameless", FAKE_NAMELESS "|" FAKE_NAMELESS, false },
	{ "nameless-refusal",
	    "HTTP/1.1 503 No\r\nDh-Outcome: not-run\r\n"
	    "Content-Length: 0\r\n\r\n",
	    false },
};

/* Send a fixed answer. */
static void
fake_send_fixed(struct fake_conn *c, const char *text, const char *id)
{
	GString *s = g_string_new(text);
	char *late;

	g_string_replace(s, "@", id, 0);
	late = strchr(s->str, '|');
	if (late != NULL) {
		*late = '\0';
		c->late = g_strdup(late + 1);
	}
	fake_send_text(c->fd, s->str);
	g_string_free(s, TRUE);
}

/* Requests that fake_leaseless() refuses before it runs one. */
#define FAKE_LEASELESS 8u

/* Refuse the first requests for lack of a lease. */
static void
fake_leaseless(struct fake_conn *c, const struct fake_request *rq)
{
	if (fake_seen(c->fake, rq->path) > FAKE_LEASELESS)
		fake_echo(c, rq);
	else
		fake_send_fixed(c,
		    "HTTP/1.1 503 No\r\n" FAKE_ID "Dh-Outcome: not-run\r\n"
		    "Dh-Reason: lease\r\nContent-Length: 0\r\n\r\n",
		    rq->id);
}

struct fake_kind {
	const char *name;
	void (*run)(struct fake_conn *c, const struct fake_request *rq);
};

static void
fake_die_refuse(struct fake_conn *c, const struct fake_request *rq)
{
	if (c->served > 0) {
		fake_die(c, rq);
		return;
	}
	fake_send_text(c->fd,
	    "HTTP/1.1 503 No\r\nDh-Outcome: not-run\r\n"
	    "Dh-Reason: draining\r\nContent-Length: 2\r\n\r\nno");
}

/* Answer in chunks beside a length that is not theirs, the head first. */
static void
fake_chunks_and_length(struct fake_conn *c, const struct fake_request *rq)
{
	fake_send_fixed(c,
	    "HTTP/1.1 200 OK\r\n" FAKE_ID "Transfer-Encoding: chunked\r\n"
	    "Content-Length: 3\r\n\r\n",
	    rq->id);
	g_usleep(30000);
	fake_send_text(c->fd, "4\r\nall \r\n5\r\nof it\r\n0\r\n\r\n");
}

static const struct fake_kind fake_kinds[] = {
	{ "chunks-and-length", fake_chunks_and_length },
	{ "echo", fake_echo }, /* answers with what it received */
	{ "hold", fake_hold }, /* waits for fake_release(), then echoes */
	{ "twice", fake_twice }, /* fake_wait_held() waits for the second */
	{ "big", fake_big }, /* answers with FAKE_BIG bytes */
	{ "leaseless", fake_leaseless }, /* at first has no lease */
	{ "hang", fake_hang }, /* never answers */
	{ "early-cut",
	    fake_early_cut }, /* answers, and does not read the body */
	{ "die-refuse", fake_die_refuse }, /* as "die"; refuses the next copy */
	{ "die", fake_die }, /* closes a reused connection unanswered */
};

static void
fake_load(struct fake_conn *c)
{
	g_autofree char *body =
	    g_strdup_printf("{\"running\": %u, \"queued\": 0}", c->fake->busy);
	g_autofree char *text =
	    g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);

	fake_send_text(c->fd, text);
}

static void
fake_answer(struct fake_conn *c, const struct fake_request *rq)
{
	const char *name = strrchr(rq->path, '/') + 1;
	size_t len = strcspn(name, "?"), i;

	if (c->late != NULL)
		fake_send_text(c->fd, c->late);
	g_clear_pointer(&c->late, g_free);
	for (i = 0; i < G_N_ELEMENTS(fake_kinds); i++)
		if (strlen(fake_kinds[i].name) == len &&
		    strncmp(name, fake_kinds[i].name, len) == 0)
			fake_kinds[i].run(c, rq);
	for (i = 0; i < G_N_ELEMENTS(fake_texts); i++) {
		if (strlen(fake_texts[i].name) != len ||
		    strncmp(name, fake_texts[i].name, len) != 0)
			continue;
		if (g_str_has_prefix(name, "once-") &&
		    fake_seen(c->fake, rq->path) > 1) {
			fake_echo(c, rq);
			return;
		}
		fake_send_fixed(c, fake_texts[i].text, rq->id);
		if (fake_texts[i].cut)
			c->closed = true;
	}
	if (strcmp(rq->path, "/_dh/load") == 0)
		fake_load(c);
}

/* Count a request; false when it must not be answered. */
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
			fake_answer(c, &rq);
		else
			fake_wait_closed(c);
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
	g_free(c->late);
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

static inline struct timespec
fake_limit(void)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	at.tv_sec += FAKE_LIMIT_S;
	return at;
}

/* Wait until a request was received completely n times. */
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
fake_wait_cancelled(struct fake *f, uint32_t n)
{
	struct timespec end = fake_limit();
	bool ok = true;

	pthread_mutex_lock(&f->lock);
	while (ok && f->cancelled < n)
		ok = pthread_cond_timedwait(&f->cond, &f->lock, &end) == 0;
	pthread_mutex_unlock(&f->lock);
	return ok;
}

/* Return the path of the latest held request, or NULL; free it with g_free().
 */
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

/* The router, its settings and configuration, and the control thread */

enum { SV_WEB, SV_PAY, SV_SLOW, SV_TIGHT, SV_FEED, SV_ORPHAN, SV_ALL };

/* Connection limit of each backend server for the next fixture_start(); 0: the
 * default. */
static uint32_t connections_limit;
/* Further backend servers of service web for the next fixture_start(). */
static uint32_t extra_web_backends;
#define EXTRA_WEB_MAX 15u

struct fixture {
	struct fake fake;
	struct dh_settings settings;
	struct dh_service services[SV_ALL];
	struct dh_backend backends[SV_ALL + EXTRA_WEB_MAX];
	struct dh_conf conf;
	struct dh_publish *publish;
	uv_loop_t loop;
	uv_async_t stop;
	uv_async_t start;
	GThread *thread;
	struct dh_router *router;
	uint16_t port;
	gint permits; /* requests for a permit */
	gint refuse_permits; /* answer them with REFUSED instead of RUN */
	gint closes; /* requests to close an id */
	/* Reply to a close, enum dh_permit_verdict; RUN confirms nothing. */
	gint close_verdict;
	uint64_t permit_token, close_token; /* of the last such request */
	gint permit_ends[3]; /* ended permits, by enum dh_outcome */
};

static void
fixture_on_close(struct fixture *fx, uint32_t i, const struct dh_mail *mail)
{
	struct dh_mail reply = *mail;

	fx->close_token = mail->token;
	g_atomic_int_inc(&fx->closes);
	reply.kind = DH_MAIL_PERMIT_VERDICT;
	reply.permit.verdict =
	    (enum dh_permit_verdict)g_atomic_int_get(&fx->close_verdict);
	reply.permit.retry_ms = 16000;
	reply.permit.status = 201;
	/* A permit that was given before the close was read must be ignored. */
	if (reply.permit.verdict != DH_PERMIT_RUN) {
		struct dh_mail late = reply;

		late.permit.verdict = DH_PERMIT_RUN;
		g_assert(dh_router_mail(fx->router, i, &late));
	}
	g_assert(dh_router_mail(fx->router, i, &reply));
}

static void
fixture_on_mail(void *arg, uint32_t i, const struct dh_mail *mail)
{
	struct fixture *fx = arg;
	struct dh_mail reply = *mail;

	if (mail->kind == DH_MAIL_LOAD)
		g_free(mail->load);
	if (mail->kind == DH_MAIL_PERMIT_END)
		g_atomic_int_inc(&fx->permit_ends[mail->permit.outcome]);
	if (mail->kind == DH_MAIL_PERMIT_CLOSE) {
		fixture_on_close(fx, i, mail);
		return;
	}
	if (mail->kind != DH_MAIL_PERMIT_ASK)
		return;
	fx->permit_token = mail->token;
	g_atomic_int_inc(&fx->permits);
	reply.kind = DH_MAIL_PERMIT_VERDICT;
	reply.permit.verdict = g_atomic_int_get(&fx->refuse_permits)
	    ? DH_PERMIT_REFUSED
	    : DH_PERMIT_RUN;
	g_assert(dh_router_mail(fx->router, i, &reply));
}

static void
fixture_on_stop(uv_async_t *async)
{
	uv_stop(async->loop);
}

static void *
fixture_control_main(void *arg)
{
	uv_run(arg, UV_RUN_DEFAULT);
	return NULL;
}

static void
fixture_conf(struct fixture *fx)
{
	static const char *const names[] = { "web", "pay", "slow", "tight",
		"feed", "orphan" };
	size_t i;

	for (i = 0; i < SV_ALL; i++) {
		struct dh_service *sv = &fx->services[i];
		struct dh_backend *b = &fx->backends[i];

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
		b->port = fx->fake.port;
		b->slots = i == SV_TIGHT ? 1 : 32;
		b->connections =
		    connections_limit > 0 ? connections_limit : 1100;
		b->checks_fence = true;
	}
	for (i = SV_ALL; i < SV_ALL + extra_web_backends; i++) {
		fx->backends[i] = fx->backends[SV_WEB];
		g_snprintf(fx->backends[i].name, sizeof(fx->backends[i].name),
		    "b-more-%zu", i);
	}
	fx->conf = (struct dh_conf){ .revision = 1,
		.services = fx->services,
		.nservices = SV_ALL,
		.backends = fx->backends,
		.nbackends = SV_ALL + extra_web_backends };
}

static void
fixture_publish(struct fixture *fx)
{
	struct dh_table *t = dh_table_new(&fx->conf, 1);
	uint32_t i;

	for (i = 0; i < FAKE_SLOTS; i++)
		t->slots[SV_FEED][i] = (struct dh_slot){ .owner = SV_FEED,
			.standby = DH_NONE,
			.fence = { 7, 40 + i },
			.state = DH_SLOT_OWNED };
	fx->publish = dh_publish_new();
	dh_publish_set(fx->publish, t, NULL, NULL);
}

static void
fixture_start(struct fixture *fx)
{
	struct dh_router_control c;

	memset(fx, 0, sizeof(*fx));
	fake_start(&fx->fake);
	fixture_conf(fx);
	fixture_publish(fx);
	dh_settings_defaults(&fx->settings);
	g_strlcpy(fx->settings.zone, "za", sizeof(fx->settings.zone));
	g_strlcpy(fx->settings.region, "r1", sizeof(fx->settings.region));
	g_strlcpy(fx->settings.listen_address, "127.0.0.1",
	    sizeof(fx->settings.listen_address));
	fx->settings.listen_port = 0;
	fx->settings.threads = 1;
	uv_loop_init(&fx->loop);
	uv_async_init(&fx->loop, &fx->stop, fixture_on_stop);
	c = (struct dh_router_control){ .publish = fx->publish,
		.loop = &fx->loop,
		.on_mail = fixture_on_mail,
		.arg = fx };
	fx->router = dh_router_start(&fx->settings, &c, NULL);
	g_assert(fx->router != NULL);
	fx->port = dh_router_port(fx->router);
	fx->thread = g_thread_new("control", fixture_control_main, &fx->loop);
}

static void
fixture_stop(struct fixture *fx)
{
	uv_async_send(&fx->stop);
	g_thread_join(fx->thread);
	dh_router_stop(fx->router);
	uv_close((uv_handle_t *)&fx->stop, NULL);
	while (uv_run(&fx->loop, UV_RUN_DEFAULT) != 0)
		continue;
	uv_loop_close(&fx->loop);
	dh_publish_free(fx->publish);
	fake_stop(&fx->fake);
}

/* Wait until n permits have ended with this outcome. */
static inline bool
fixture_wait_permit_end(struct fixture *fx, enum dh_outcome outcome, int n)
{
	int i;

	for (i = 0; i < FAKE_LIMIT_S * 1000; i++) {
		if (g_atomic_int_get(&fx->permit_ends[outcome]) >= n)
			break;
		g_usleep(1000);
	}
	return g_atomic_int_get(&fx->permit_ends[outcome]) == n;
}

/* The caller */

struct reply {
	unsigned int status;
	char head[8192]; /* header lines, each after a newline */
	char body[8192]; /* the first bytes of the body */
	uint64_t bytes; /* size of the body received */
	bool complete; /* the answer was received to its end */
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

/* Read n bytes of a body; false when the connection ends before. */
static bool
caller_read_body(struct caller *c, struct reply *r, uint64_t n)
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
caller_read_chunks(struct caller *c, struct reply *r)
{
	uint64_t n;
	char *line;

	do {
		line = caller_line(c);
		if (line == NULL)
			return false;
		n = g_ascii_strtoull(line, NULL, 16);
		g_free(line);
		if (!caller_read_body(c, r, n))
			return false;
		line = caller_line(c);
		if (line == NULL)
			return false;
		g_free(line);
	} while (n > 0);
	return true;
}

/* Read one answer.  bodyless: the answer has no body, whatever its headers say.
 */
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
		r->complete = true;
	else if (chunked)
		r->complete = caller_read_chunks(c, r);
	else if (length >= 0)
		r->complete = caller_read_body(c, r, (uint64_t)length);
}

/* send_request -- send one request on a new connection and read its answer. */
static void G_GNUC_PRINTF(3, 4)
    send_request(struct fixture *fx, struct reply *r, const char *fmt, ...)
{
	struct caller c;
	char *text;
	va_list ap;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	caller_open(&c, fx->port);
	fake_send_text(c.fd, text);
	caller_read(&c, r, g_str_has_prefix(text, "HEAD "));
	caller_close(&c);
	g_free(text);
}

#define HOST "Host: h\r\n"
#define GET(path) "GET " path " HTTP/1.1\r\n" HOST "\r\n"

static inline bool
has_header(const struct reply *r, const char *line)
{
	g_autofree char *want = g_strdup_printf("\n%s\n", line);

	return strstr(r->head, want) != NULL;
}

static inline bool
is_router_answer(const struct reply *r, unsigned int status,
    const char *outcome, const char *reason)
{
	g_autofree char *o = g_strdup_printf("Dh-Outcome: %s", outcome);
	g_autofree char *why = g_strdup_printf("Dh-Reason: %s", reason);

	return r->complete && r->status == status && has_header(r, o) &&
	    has_header(r, why);
}

#endif
