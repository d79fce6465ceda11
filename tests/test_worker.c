/*
 * Tests a worker over loopback connections with fake backend servers, whose
 * behavior depends on the path of the request, and callers.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <glib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "gateway/worker.h"
#include "tests/cunit_main.h"

#define ID "X-Dogwoodhub-Request-Id"
#define STAMP "X-Dogwoodhub-Server-Stamp: s\r\n"
#define SERVERS 2u
#define ANSWER_MAX 65536
#define RECEIVE_BYTES 65536 /* that a fake server's socket takes unread */

struct fake_server {
	int fd;
	uint16_t port;
	int index;
	GArray *connections; /* descriptors; guarded by lock */
};

static struct fake_server servers[SERVERS];
static struct dh_gateway_settings settings;
static struct dh_worker *worker;
static uint16_t port;
static struct dh_deployment **deployment;
/* Number of requests that the fake servers have received, number of connections
 * that the worker closed during an answer, and the head of the last request;
 * guarded by lock. */
static GMutex lock;
static int runs, cancelled;
/* Late copies, or parts of them, that were sent; guarded by lock. */
static int late_copies;
static char last_head[4096];

/* Listens on the port *out, or on a free one if it is 0. */
static int
listen_on(uint16_t *out)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(*out) };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	(void)setsockopt(
	    fd, SOL_SOCKET, SO_RCVBUF, &(int){ RECEIVE_BYTES }, sizeof(int));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, 64) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0)
		abort();
	*out = ntohs(sin.sin_port);
	return fd;
}

static void
send_text(int fd, const char *text)
{
	(void)!write(fd, text, strlen(text));
}

static void
reset_connection(int fd)
{
	struct linger l = { .l_onoff = 1 };

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	(void)close(fd);
}

/* Send an answer that does not end until the worker closes the connection: an
 * endless head, endless chunks, or a body without a length. */
static bool
send_endless_answer(int fd, const char *head, const char *id)
{
	bool in_head = strstr(head, "/endless-head") != NULL;
	bool chunks = strstr(head, "/endless-chunks") != NULL;
	bool slow = strstr(head, "/slow/") != NULL;
	g_autofree char *begin =
	    g_strdup_printf("HTTP/1.1 200 OK\r\n" STAMP ID ": %s\r\n%s%s", id,
		chunks ? "Transfer-Encoding: chunked\r\n" : "",
		in_head ? "" : "\r\n");
	char part[4096 + 16];
	size_t n;

	memset(part, 'x', sizeof(part));
	n = sizeof(part);
	if (in_head)
		memcpy(part + n - 6, ": y\r\nz", 6);
	if (chunks) {
		memcpy(part, "1000\r\n", 6);
		memcpy(part + 6 + 4096, "\r\n", 2);
		n = 4096 + 8;
	}
	send_text(fd, begin);
	while (send(fd, part, n, MSG_NOSIGNAL) > 0)
		if (slow)
			(void)usleep(20000);
	g_mutex_lock(&lock);
	cancelled++;
	g_mutex_unlock(&lock);
	(void)close(fd);
	return false;
}

/* Answer with the status that the path names, in three digits. */
static void
send_status(int fd, const char *head, const char *id)
{
	g_autofree char *text = g_strdup_printf("HTTP/1.1 %.3s X\r\n" STAMP ID
						": %s\r\nContent-Length: 4\r\n"
						"\r\nbody",
	    strstr(head, " /status/") + strlen(" /status/"), id);

	send_text(fd, text);
}

#define UPLOAD_BYTES_MAX ((size_t)900 << 10)

/* Answer without a length when only the head of an upload has been read, and
 * end the answer by a half-close.  Under /cut/ the connection is reset 50 ms
 * later; else the rest of the upload is read then. */
static bool
send_early_answer(int fd, const char *head, const char *id)
{
	g_autofree char *text = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\n" STAMP ID ": %s\r\n\r\nbody", id);
	char part[4096];

	send_text(fd, text);
	(void)shutdown(fd, SHUT_WR);
	(void)usleep(50000);
	if (strstr(head, "/cut/") != NULL) {
		reset_connection(fd);
		return false;
	}
	while (read(fd, part, sizeof(part)) > 0)
		;
	(void)close(fd);
	return false;
}

#define LIMIT_PER_S 4.0
#define CONCURRENT 3
static gint concurrent; /* number of requests under /together/ */

/* Wait until CONCURRENT requests are in progress; false after 800 ms. */
static bool
wait_for_concurrent(void)
{
	int i;

	(void)g_atomic_int_add(&concurrent, 1);
	for (i = 0; i < 160 && g_atomic_int_get(&concurrent) < CONCURRENT; i++)
		(void)usleep(5000);
	return g_atomic_int_get(&concurrent) >= CONCURRENT;
}

#define FDS_MAX 4096
/* Whether the first request under /late-copy/ on the connection was refused. */
static bool refused_on[FDS_MAX];

/* Refuse the first request on a connection, and write the refusal once more
 * when the next one arrives, before that one's own answer. */
static void
send_late_copy(int fd, const char *head, const char *id, const char *good)
{
	static char first[FDS_MAX][128];
	g_autofree char *refusal = NULL;
	bool copy = refused_on[fd % FDS_MAX], has_id;

	if (!copy)
		(void)g_strlcpy(first[fd % FDS_MAX], id, sizeof(first[0]));
	refused_on[fd % FDS_MAX] = true;
	has_id = strstr(head, "/no-id/") == NULL &&
	    !(copy && strstr(head, "/lose-id/") != NULL);
	refusal = g_strdup_printf("HTTP/1.1 503 No\r\n%s%s%s"
				  "X-Dogwoodhub-Not-Executed: 1\r\n"
				  "Content-Length: 0\r\n\r\n",
	    has_id ? ID ": " : "", has_id ? first[fd % FDS_MAX] : "",
	    has_id ? "\r\n" : "");
	send_text(fd, refusal);
	if (!copy)
		return;
	g_mutex_lock(&lock);
	late_copies++;
	g_mutex_unlock(&lock);
	(void)usleep(20000);
	send_text(fd, good);
}

/* Requests that a fake server has answered on one connection. */
struct fake_past {
	char ids[8][128];
	int n;
	char previous[128]; /* id of the last one */
};
static struct fake_past pasts[FDS_MAX];

static bool
was_answered(const struct fake_past *p, const char *id)
{
	int i;

	for (i = 0; i < p->n; i++)
		if (strcmp(p->ids[i], id) == 0)
			return true;
	return false;
}

/* The answer to the first request with an id, in the form that the path names.
 */
static char *
first_answer(const char *head, const char *id)
{
	bool failed = strstr(head, "/failed/") != NULL;
	bool refused = strstr(head, "/refused/") != NULL;

	return g_strdup_printf("HTTP/1.1 %s\r\n%s" ID ": %s\r\n%s%s",
	    refused	 ? "429 No"
		: failed ? "500 Failed"
			 : "200 OK",
	    refused ? "X-Dogwoodhub-Not-Executed: 1\r\n" : STAMP, id,
	    strstr(head, "/unframed/") != NULL ? "" : "Content-Length: 5\r\n",
	    strstr(head, "/half/") != NULL ? "\r\nol" : "\r\nfirst");
}

/* Answer a request whose id the connection has carried before with a copy of
 * the first answer, and then with its own.  An answer without a length can't
 * be a first one. */
static void
send_stuttering(int fd, const char *head, const char *id)
{
	struct fake_past *p = &pasts[fd % FDS_MAX];
	g_autofree char *first = first_answer(head, id);
	g_autofree char *own = g_strdup_printf("HTTP/1.1 200 OK\r\n" STAMP ID
					       ": %s\r\nContent-Length: 5\r\n"
					       "\r\nother",
	    id);

	if (was_answered(p, id)) {
		send_text(fd, first);
		g_mutex_lock(&lock);
		late_copies++;
		g_mutex_unlock(&lock);
		(void)usleep(20000);
		send_text(fd, own);
		return;
	}
	(void)g_strlcpy(p->ids[p->n % 8], id, sizeof(p->ids[0]));
	p->n = MIN(p->n + 1, 8);
	send_text(fd,
	    strstr(head, "/failed/") != NULL ||
		    strstr(head, "/refused/") != NULL
		? first
		: own);
}

/* Send the beginning of an answer that is not the first on its connection
 * twice, the first time only a part of its head.  Under /unframed/ that answer
 * has no length, under /copy/ the whole of it comes again behind it. */
static bool
send_behind_part(int fd, const char *head, const char *id)
{
	struct fake_past *p = &pasts[fd % FDS_MAX];
	bool failed = strstr(head, "/failed/") != NULL;
	bool unframed = p->n > 0 && strstr(head, "/unframed/") != NULL;
	bool copy = strstr(head, "/copy/") != NULL;
	g_autofree char *own =
	    g_strdup_printf("HTTP/1.1 %s\r\n" STAMP ID ": %s\r\n%s\r\nother",
		p->n > 0 && failed ? "500 Failed" : "200 OK", id,
		unframed ? "" : "Content-Length: 5\r\n");

	if (p->n++ > 0) {
		if (strstr(head, "/refusal/") != NULL)
			send_text(fd,
			    "HTTP/1.1 503 No\r\n"
			    "X-Dogwoodhub-Not-Executed: 1");
		else if (strstr(head, "/reason/") != NULL)
			send_text(fd, "HTTP/1.1 200 O");
		else
			send_text(
			    fd, copy ? own : "HTTP/1.1 200 OK\r\nX-Part: te");
		g_mutex_lock(&lock);
		late_copies++;
		g_mutex_unlock(&lock);
		(void)usleep(20000);
	}
	send_text(fd, own);
	if (unframed)
		(void)close(fd);
	return !unframed;
}

static gint delayed; /* number of requests under /rest/ in progress */
static bool ran_beside_delayed; /* another request ran at the same time */

static gint lost; /* requests under /lost-then-refused/ */

/* Handle the paths whose answers depend on other requests, do not end, or
 * concern the state of the backend server; false for any other path.  *open is
 * set to false if the connection was closed. */
static bool
handle_special_path(
    int fd, const char *head, const char *id, const char *good, bool *open)
{
	g_autofree char *leaving = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\n" STAMP ID
	    ": %s\r\nServer-Leaving: 1\r\nContent-Length: 4\r\n\r\nbody",
	    id);
	g_autofree char *limited = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\n" STAMP ID
	    ": %s\r\nServer-Limit: %.1f\r\nContent-Length: 4\r\n\r\nbody",
	    id, LIMIT_PER_S);

	if (strstr(head, "/rest/") != NULL) {
		ran_beside_delayed |= g_atomic_int_add(&delayed, 1) > 0;
		(void)usleep(strstr(head, "/long/") != NULL ? 300000 : 100000);
		(void)g_atomic_int_add(&delayed, -1);
		send_text(fd, good);
	} else if (strstr(head, "/together/") != NULL) {
		send_text(fd,
		    wait_for_concurrent()
			? good
			: "HTTP/1.1 500 Alone\r\nContent-Length: 0\r\n\r\n");
	} else if (strstr(head, "/endless") != NULL) {
		*open = send_endless_answer(fd, head, id);
	} else if (strstr(head, " /pause/") != NULL) {
		send_text(fd,
		    "HTTP/1.1 503 No\r\nX-Dogwoodhub-Not-Executed: 1\r\n"
		    "Retry-After: 2.5\r\nContent-Length: 0\r\n\r\n");
	} else if (strstr(head, "/leaving/") != NULL) {
		send_text(fd, leaving);
	} else if (strstr(head, "/delay/") != NULL) {
		(void)usleep(850000);
		send_text(fd, good);
	} else if (strstr(head, "/late-copy/") != NULL) {
		send_late_copy(fd, head, id, good);
	} else if (strstr(head, "/stutter/") != NULL) {
		send_stuttering(fd, head, id);
	} else if (strstr(head, "/part/") != NULL) {
		*open = send_behind_part(fd, head, id);
	} else if (strstr(head, "/lost-then-refused/") != NULL) {
		if (g_atomic_int_add(&lost, 1) == 0) {
			(void)usleep(60000);
			(void)close(fd);
			*open = false;
			return true;
		}
		send_text(fd,
		    "HTTP/1.1 503 No\r\nX-Dogwoodhub-Not-Executed: 1\r\n"
		    "Content-Length: 0\r\n\r\n");
	} else if (strstr(head, " /status/") != NULL) {
		send_status(fd, head, id);
	} else if (strstr(head, "/early/") != NULL) {
		*open = send_early_answer(fd, head, id);
	} else if (strstr(head, "/limited/") != NULL) {
		send_text(fd, limited);
	} else {
		return false;
	}
	return true;
}

#define CRASH_MS 80
#define DOWN_MS 60 /* time until a fake server that crashed starts again */
static gint crashes_left; /* of requests under /crash-some/ */

/* End the fake server: all its connections, and for DOWN_MS its listener. */
static void
end_server(struct fake_server *f)
{
	guint i;

	g_mutex_lock(&lock);
	(void)shutdown(f->fd, SHUT_RDWR);
	for (i = 0; i < f->connections->len; i++)
		(void)shutdown(
		    g_array_index(f->connections, int, i), SHUT_RDWR);
	g_mutex_unlock(&lock);
}

/* End the fake server while the request runs, or at once.  Under /alone/ only
 * the connection ends, under /all/ all fake servers end. */
static bool
crash(struct fake_server *f, int fd, const char *head, const char *good)
{
	size_t i;

	if (strstr(head, " /crash-some/") != NULL &&
	    g_atomic_int_add(&crashes_left, -1) <= 0) {
		send_text(fd, good);
		return true;
	}
	if (strstr(head, "/at-once/") == NULL)
		(void)usleep(CRASH_MS * 1000);
	for (i = 0; i < SERVERS; i++)
		if (&servers[i] == f ? strstr(head, "/alone/") == NULL
				     : strstr(head, "/all/") != NULL)
			end_server(&servers[i]);
	reset_connection(fd);
	return false;
}

/* Answer one request; false if the connection was closed. */
static bool
handle_request(struct fake_server *f, int fd, const char *head, const char *id)
{
	g_autofree char *good = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\n" STAMP ID
	    ": %s\r\nX-From: %d\r\nContent-Length: 4\r\n\r\nbody",
	    id, f->index);
	bool open = true;
	char byte;
	int cut;

	if (strstr(head, " /ok/") != NULL) {
		ran_beside_delayed |= g_atomic_int_get(&delayed) > 0;
		send_text(fd, good);
		return true;
	}
	if (strstr(head, " /foreign/") != NULL) {
		send_text(fd,
		    "HTTP/1.1 200 OK\r\n" STAMP ID
		    ": other\r\nContent-Length: 3\r\n\r\nbad");
		send_text(fd, good);
		return true;
	}
	if (strstr(head, " /extra/") != NULL) {
		send_text(fd, good);
		send_text(fd,
		    "HTTP/1.1 200 OK\r\n" STAMP ID
		    ": other\r\nContent-Length: 3\r\n\r\nbad");
		return true;
	}
	if (strstr(head, " /short/") != NULL) {
		send_text(fd, "HTTP/1.1 200 OK\r\n" STAMP);
		send_text(fd, "Content-Length: 9\r\n\r\nbody");
		(void)close(fd);
		return false;
	}
	if (strstr(head, " /unframed-reset/") != NULL) {
		g_autofree char *text = g_strdup_printf(
		    "HTTP/1.1 200 OK\r\n" STAMP ID ": %s\r\n\r\nbo", id);

		send_text(fd, text);
		(void)usleep(20000);
		reset_connection(fd);
		return false;
	}
	if (strstr(head, " /unframed/") != NULL) {
		g_autofree char *text = g_strdup_printf(
		    "HTTP/1.1 200 OK\r\n" STAMP ID ": %s\r\n\r\nbody", id);

		send_text(fd, text);
		(void)close(fd);
		return false;
	}
	if (strstr(head, " /nostamp/") != NULL) {
		g_autofree char *text =
		    g_strdup_printf("HTTP/1.1 200 OK\r\n" ID
				    ": %s\r\nContent-Length: 4\r\n\r\nbody",
			id);

		send_text(fd, text);
		return true;
	}
	if (strstr(head, " /other/") != NULL && f->index == 0) {
		send_text(fd,
		    "HTTP/1.1 421 No\r\nX-Dogwoodhub-Not-Executed: 1\r\n"
		    "Content-Length: 0\r\n\r\n");
		return true;
	}
	if (strstr(head, " /shed/") != NULL) {
		send_text(fd,
		    f->index == 0
			? "HTTP/1.1 503 No\r\nX-Dogwoodhub-Not-Executed: 1\r\n"
			  "Content-Length: 0\r\n\r\n"
			: good);
		return true;
	}
	if (strstr(head, "/cut-head/") != NULL) {
		cut = atoi(strstr(head, "/cut-head/") + strlen("/cut-head/"));
		(void)!write(fd, good, MIN(strlen(good), (size_t)cut));
		(void)close(fd);
		return false;
	}
	if (strstr(head, " /crash") != NULL)
		return crash(f, fd, head, good);
	if (handle_special_path(fd, head, id, good, &open))
		return open;
	if (strstr(head, " /garbage/") != NULL) {
		send_text(fd, "\x01\x02 nonsense\r\n\r\n");
		return true;
	}
	/* Send no answer; wait until the worker closes the connection. */
	if (read(fd, &byte, 1) <= 0) {
		g_mutex_lock(&lock);
		cancelled++;
		g_mutex_unlock(&lock);
	}
	(void)close(fd);
	return false;
}

/* A request on a connection that was idle for this time resets it; 0: never. */
static int64_t idle_reset_ms;

static bool
serve_one(struct fake_server *f, int fd, char *buf, size_t size,
    int64_t *idle_since_us)
{
	size_t len = 0, want = 0;
	char *end = NULL, *id, *body;
	char name[128] = "";
	ssize_t n;

	while (end == NULL || len < want) {
		/* Small reads leave the rest of an upload to the socket. */
		n = read(fd, buf + len, MIN(size - 1 - len, 2048));
		if (n <= 0) {
			(void)close(fd);
			return false;
		}
		len += (size_t)n;
		buf[len] = '\0';
		end = strstr(buf, "\r\n\r\n");
		if (end == NULL)
			continue;
		body = strstr(buf, "Content-Length: ");
		want = (size_t)(end - buf) + 4;
		if (body != NULL && strstr(buf, "/early/") == NULL)
			want += strtoul(body + 16, NULL, 10);
	}
	if (idle_reset_ms != 0 && *idle_since_us != 0 &&
	    g_get_monotonic_time() - *idle_since_us >= idle_reset_ms * 1000) {
		reset_connection(fd);
		return false;
	}
	id = strstr(buf, ID ": ");
	if (id != NULL)
		(void)sscanf(id + strlen(ID ": "), "%127s", name);
	g_mutex_lock(&lock);
	runs++;
	(void)g_strlcpy(last_head, buf, sizeof(last_head));
	g_mutex_unlock(&lock);
	if (!handle_request(f, fd, buf, name))
		return false;
	*idle_since_us = g_get_monotonic_time();
	return true;
}

struct fake_connection {
	struct fake_server *f;
	int fd;
};

static gint connections; /* open connections to the fake servers */

static void
forget_connection(struct fake_server *f, int fd)
{
	guint i;

	g_mutex_lock(&lock);
	for (i = 0; i < f->connections->len; i++)
		if (g_array_index(f->connections, int, i) == fd) {
			g_array_remove_index_fast(f->connections, i);
			break;
		}
	g_mutex_unlock(&lock);
}

static gpointer
serve(gpointer arg)
{
	struct fake_connection *c = arg;
	char *buf = g_malloc(1 << 20);
	int64_t idle_since_us = 0;

	(void)g_atomic_int_add(&connections, 1);
	refused_on[c->fd % FDS_MAX] = false;
	memset(&pasts[c->fd % FDS_MAX], 0, sizeof(pasts[0]));
	g_mutex_lock(&lock);
	g_array_append_val(c->f->connections, c->fd);
	g_mutex_unlock(&lock);
	while (serve_one(c->f, c->fd, buf, 1 << 20, &idle_since_us))
		;
	forget_connection(c->f, c->fd);
	(void)g_atomic_int_add(&connections, -1);
	g_free(buf);
	g_free(c);
	return NULL;
}

static gpointer
accept_all(gpointer arg)
{
	struct fake_server *f = arg;
	struct fake_connection *c;
	int fd;

	for (;;) {
		fd = accept(f->fd, NULL, NULL);
		if (fd < 0) {
			/* The fake server has ended. */
			(void)close(f->fd);
			(void)usleep(DOWN_MS * 1000);
			f->fd = listen_on(&f->port);
			continue;
		}
		c = g_new0(struct fake_connection, 1);
		c->f = f;
		c->fd = fd;
		g_thread_unref(g_thread_new("conn", serve, c));
	}
	return NULL;
}

static void
add_route(struct dh_deployment *d, const char *prefix, enum dh_repeat repeat,
    uint32_t service)
{
	struct dh_http_route *r = &d->routes[d->nroutes++];

	*r = (struct dh_http_route){ .name = strdup(prefix),
		.host = strdup("h.example"),
		.prefix = strdup(prefix),
		.repeat = repeat,
		.attempts_max = 2,
		.target_ms = 400,
		.timeout_ms = 1000,
		.nparts = 1 };
	r->parts = calloc(1, sizeof(*r->parts));
	r->parts[0] = (struct dh_weighted_service){ service, 1 };
}

static struct dh_deployment *
make_deployment(void)
{
	struct dh_deployment *d = dh_deployment_new();
	int i;

	d->version = 1;
	d->header_bytes_max = 2000;
	d->body_bytes_max = UPLOAD_BYTES_MAX;
	d->header_timeout_ms = 500;
	d->idle_timeout_ms = 5000;
	d->services = calloc(2, sizeof(*d->services));
	d->nservices = 2;
	for (i = 0; i < 2; i++) {
		d->services[i].name = strdup(i == 0 ? "any" : "keyed");
		d->services[i].health_path = strdup("/health");
		d->services[i].connections_max = 100;
		d->services[i].keyed = i == 1;
	}
	d->routes = calloc(32, sizeof(*d->routes));
	add_route(d, "/", DH_REPEAT_SAFE, 0);
	add_route(d, "/shed/", DH_REPEAT_NEVER, 0);
	add_route(d, "/unframed-reset/", DH_REPEAT_NEVER, 0);
	add_route(d, "/short/", DH_REPEAT_NEVER, 0);
	add_route(d, "/early/", DH_REPEAT_NEVER, 0);
	add_route(d, "/silent-once/", DH_REPEAT_NEVER, 0);
	add_route(d, "/ok/keyed/", DH_REPEAT_SAFE, 1);
	add_route(d, "/ok/once/", DH_REPEAT_NEVER, 0);
	add_route(d, "/rest/once/", DH_REPEAT_NEVER, 0);
	add_route(d, "/leaving/keyed/", DH_REPEAT_SAFE, 1);
	add_route(d, "/limited/keyed/", DH_REPEAT_SAFE, 1);
	add_route(d, "/late-copy/", DH_REPEAT_NEVER, 0);
	add_route(d, "/cut-head/", DH_REPEAT_NEVER, 0);
	add_route(d, "/crash/once/", DH_REPEAT_NEVER, 0);
	add_route(d, "/crash/once/keyed/", DH_REPEAT_NEVER, 1);
	add_route(d, "/delay/", DH_REPEAT_NEVER, 0);
	add_route(d, "/late-copy/keyed/", DH_REPEAT_NEVER, 1);
	add_route(d, "/ok/keyed/slow/", DH_REPEAT_SAFE, 1);
	d->routes[d->nroutes - 1].timeout_ms = 3000;
	add_route(d, "/stutter/", DH_REPEAT_NEVER, 0);
	d->routes[d->nroutes - 1].attempts_max = 1;
	add_route(d, "/stutter/failed/keyed/", DH_REPEAT_SAFE, 1);
	add_route(d, "/part/", DH_REPEAT_NEVER, 0);
	add_route(d, "/ok/north/", DH_REPEAT_SAFE, 0);
	d->routes[d->nroutes - 1].homes = strdup("north");
	add_route(d, "/ok/north/keyed/", DH_REPEAT_SAFE, 1);
	d->routes[d->nroutes - 1].homes = strdup("north");
	return d;
}

static uint32_t slots = 4; /* slots of each fake server */
static const char *regions[SERVERS] = { "home", "home" }; /* by fake server */
static uint32_t restarts; /* of all fake servers, as the views say */

static void
set_view_server(struct dh_view_server *x, uint32_t uid, const char *id,
    size_t fake, uint32_t service)
{
	x->uid = uid;
	x->start_ms = restarts + 1;
	(void)g_strlcpy(x->id, id, sizeof(x->id));
	x->address.sin_family = AF_INET;
	x->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	x->address.sin_port = htons(servers[fake].port);
	x->service = service;
	x->region = regions[fake];
	x->slots = slots;
}

/* Make a view in which the first nservers backend servers of each service are
 * open.  The first server owns keys up to 999; other keys have no owner. */
static struct dh_view *
make_view(size_t nservers, bool settled, uint64_t version)
{
	struct dh_view *v = dh_view_new(deployment);
	size_t i, s;

	v->vms = 1;
	v->number = v->owners_version = version;
	v->nservers = (size_t)2 * SERVERS;
	v->servers = g_new0(struct dh_view_server, v->nservers);
	for (s = 0; s < 2; s++) {
		v->services[s].servers = g_new0(uint32_t, SERVERS);
		for (i = 0; i < SERVERS; i++) {
			struct dh_view_server *x = &v->servers[s * SERVERS + i];

			set_view_server(x,
			    (uint32_t)(s * SERVERS + i + 1) +
				restarts * 2 * SERVERS,
			    i == 0 ? "i-0" : "i-1", i, (uint32_t)s);
			x->close_ms = i >= nservers ? 1 : 0;
			v->services[s].servers[v->services[s].nservers++] =
			    (uint32_t)(s * SERVERS + i);
		}
	}
	v->services[1].nranges = 2;
	v->services[1].ranges = g_new0(struct dh_view_range, 2);
	v->services[1].ranges[0] =
	    (struct dh_view_range){ 999, SERVERS, settled };
	v->services[1].ranges[1] =
	    (struct dh_view_range){ DH_KEYS - 1, DH_NONE, false };
	return v;
}

static void
publish(size_t nservers, bool settled)
{
	static uint64_t version;

	dh_worker_publish(worker, make_view(nservers, settled, ++version));
	(void)usleep(50000);
}

/* The fake servers have started again. */
static void
publish_restart(size_t nservers)
{
	restarts++;
	publish(nservers, true);
}

static void
start_worker(size_t nservers)
{
	g_autoptr(GError) error = NULL;
	int fd;

	port = 0;
	fd = listen_on(&port);
	(void)close(fd);
	(void)g_snprintf(settings.listen_url, sizeof(settings.listen_url),
	    "http://127.0.0.1:%u", port);
	settings.threads = 1;
	settings.connections_max = 1000;
	settings.connect_ms = 250;
	settings.park_ms = 300;
	if (settings.memory_mb == 0)
		settings.memory_mb = 256;
	settings.retry_share_milli = 200;
	settings.retry_slack = 60;
	worker = dh_worker_new(&settings, 0, &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(worker);
	publish(nservers, true);
	runs = cancelled = late_copies = 0;
}

static void
stop_worker(void)
{
	dh_worker_drain(worker, 0, 1);
	dh_worker_free(worker);
}

static int
connect_to_worker(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port) };
	struct timeval tv = { .tv_sec = 3 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0)
		abort();
	return fd;
}

/* Read one answer; returns its status, or 0 at the end of the connection or
 * after 3 s without data. */
static unsigned int
receive(int fd, char *buf)
{
	size_t len = 0, want = SIZE_MAX;
	unsigned int status = 0;
	char *end, *cl;
	ssize_t n;

	while (len < want && len < ANSWER_MAX - 1) {
		n = read(fd, buf + len,
		    want == SIZE_MAX ? 1
				     : MIN(want - len, ANSWER_MAX - 1 - len));
		if (n <= 0)
			return 0;
		len += (size_t)n;
		buf[len] = '\0';
		end = strstr(buf, "\r\n\r\n");
		if (want != SIZE_MAX || end == NULL)
			continue;
		cl = strstr(buf, "Content-Length: ");
		want = len + (cl == NULL ? 0 : strtoul(cl + 16, NULL, 10));
	}
	(void)sscanf(buf, "HTTP/1.1 %u", &status);
	return status;
}

/* As callers do, each request names another id. */
static unsigned int
send_get(int fd, const char *path, const char *extra, char *buf)
{
	static int last_id;
	g_autofree char *text = g_strdup_printf(
	    "GET %s HTTP/1.1\r\nHost: h.example\r\n" ID
	    ": g%04d\r\nX-Dogwoodhub-Deadline-Ms: 900\r\n%s\r\n",
	    path, ++last_id, extra);

	send_text(fd, text);
	return receive(fd, buf);
}

static unsigned int
get_once(const char *path, const char *extra, char *buf)
{
	int fd = connect_to_worker();
	unsigned int status = send_get(fd, path, extra, buf);

	(void)close(fd);
	return status;
}

static char buf[ANSWER_MAX];

static void
test_forwarding(void)
{
	int fd;

	start_worker(1);
	fd = connect_to_worker();
	CU_ASSERT_EQUAL(send_get(fd, "/ok/a?b=c", "X-Own: v\r\n", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "\r\n\r\nbody"));
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, STAMP));
	CU_ASSERT_PTR_NOT_NULL(strstr(last_head, "GET /ok/a?b=c HTTP/1.1"));
	CU_ASSERT_PTR_NOT_NULL(strstr(last_head, "X-Own: v\r\n"));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(last_head, "X-Dogwoodhub-Target-Instance: i-0\r\n"));
	/* The second request on the connection, with 8xx ms left. */
	CU_ASSERT_EQUAL(send_get(fd, "/ok/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(last_head, "X-Dogwoodhub-Deadline-Ms: 8"));
	(void)close(fd);
	stop_worker();
}

static void
test_gateway_errors(void)
{
	int fd;

	start_worker(1);
	CU_ASSERT_EQUAL(get_once("/ok/", "Host: second\r\n", buf), 400);
	CU_ASSERT_EQUAL(get_once("/ok/keyed/", "", buf), 400);
	fd = connect_to_worker();
	send_text(fd, "GET /ok/ HTTP/1.1\r\n" ID ": r\r\n\r\n");
	CU_ASSERT_EQUAL(receive(fd, buf), 400);
	/* There is no second answer. */
	CU_ASSERT_PTR_NULL(strstr(buf + 5, "HTTP/1.1"));
	(void)close(fd);
	fd = connect_to_worker();
	send_text(fd,
	    "GET /ok/ HTTP/1.1\r\nHost: other.example\r\n" ID ": r\r\n\r\n");
	CU_ASSERT_EQUAL(receive(fd, buf), 404);
	(void)close(fd);
	CU_ASSERT_EQUAL(runs, 0);
	stop_worker();
}

static void
test_incomplete_heads_time_out(void)
{
	int64_t began = dh_clock_ms();
	int fds[50];
	size_t i;

	start_worker(1);
	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = connect_to_worker();
		send_text(fds[i], "GET /ok/ HTTP/1.1\r\nHos");
	}
	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		CU_ASSERT_EQUAL(receive(fds[i], buf), 408);
		(void)close(fds[i]);
	}
	CU_ASSERT_TRUE(dh_clock_ms() - began < 1500);
	stop_worker();
}

static void
test_invalid_answers(void)
{
	start_worker(2);
	/* A foreign answer is skipped, or the request is retried. */
	CU_ASSERT_EQUAL(get_once("/foreign/", "", buf), 200);
	CU_ASSERT_PTR_NULL(strstr(buf, "bad"));
	CU_ASSERT_EQUAL(get_once("/extra/", "", buf), 200);
	CU_ASSERT_EQUAL(get_once("/ok/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "\r\n\r\nbody"));
	CU_ASSERT_EQUAL(get_once("/nostamp/", "", buf), 502);
	CU_ASSERT_EQUAL(get_once("/garbage/", "", buf), 502);
	CU_ASSERT_EQUAL(get_once("/unframed/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "\r\n\r\nbody"));
	stop_worker();
}

/* Guards against an answer of a backend server in trouble, with a status that
 * HTTP does not know, that is passed on, or waited behind until the deadline.
 */
static void
test_answer_with_invalid_status(void)
{
	static const char *const statuses[] = { "000", "099", "600", "999" };
	g_autofree char *path = NULL;
	int64_t began;
	size_t i;

	start_worker(2);
	CU_ASSERT_EQUAL(get_once("/status/599/", "", buf), 599);
	for (i = 0; i < G_N_ELEMENTS(statuses); i++) {
		g_free(path);
		path = g_strdup_printf("/status/%s/", statuses[i]);
		began = dh_clock_ms();
		CU_ASSERT_EQUAL(get_once(path, "", buf), 502);
		CU_ASSERT_TRUE(dh_clock_ms() - began < 400);
	}
	stop_worker();
}

/* An unrepeatable request that may have run is not sent again, and the answer
 * is not 503, which would say that it has not run. */
static void
test_unrepeatable_request_is_sent_once(void)
{
	start_worker(2);
	CU_ASSERT_EQUAL(get_once("/short/", "", buf), 502);
	CU_ASSERT_EQUAL(runs, 1);
	/* An answer without a length that ends in a reset is incomplete. */
	CU_ASSERT_EQUAL(get_once("/unframed-reset/", "", buf), 502);
	CU_ASSERT_EQUAL(runs, 2);
	stop_worker();
}

static unsigned int
upload(const char *path, size_t len)
{
	g_autofree char *body = g_strnfill(len, 'u');
	g_autofree char *text = g_strdup_printf(
	    "POST %s HTTP/1.1\r\nHost: h.example\r\n" ID
	    ": r1\r\nX-Dogwoodhub-Deadline-Ms: 900\r\nContent-Length: "
	    "%zu\r\n\r\n%s",
	    path, len, body);
	int fd = connect_to_worker();
	unsigned int status;

	send_text(fd, text);
	status = receive(fd, buf);
	(void)close(fd);
	return status;
}

/* Guards against an answer without a length that counts as complete although
 * the connection is reset while the upload is being sent. */
static void
test_answer_that_is_cut_during_an_upload(void)
{
	/* The smaller one fits into the worker's send buffer. */
	static const size_t sizes[] = { (size_t)200 << 10, UPLOAD_BYTES_MAX };
	size_t i;

	start_worker(2);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		runs = 0;
		CU_ASSERT_EQUAL(upload("/early/cut/", sizes[i]), 502);
		CU_ASSERT_EQUAL(runs, 1);
		/* The rest of the upload is read: the answer was complete. */
		CU_ASSERT_EQUAL(upload("/early/", sizes[i]), 200);
		CU_ASSERT_PTR_NOT_NULL(strstr(buf, "\r\n\r\nbody"));
		CU_ASSERT_EQUAL(runs, 2);
	}
	stop_worker();
}

/* The backend server closes in the middle of the head of its answer. */
static void
test_head_that_ends_early(void)
{
	size_t whole = strlen("HTTP/1.1 200 OK\r\n" STAMP ID
			      ": g0000\r\nX-From: 0\r\nContent-Length: 4\r\n"
			      "\r\nbody");
	size_t cut;

	start_worker(1);
	for (cut = 1; cut <= whole; cut++) {
		g_autofree char *path = g_strdup_printf("/cut-head/%zu/", cut);
		unsigned int status;

		/* After failures the router may send nothing for a time. */
		while ((status = get_once(path, "", buf)) == 503)
			(void)usleep(20000);
		CU_ASSERT_EQUAL(status, cut < whole ? 502 : 200);
	}
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "\r\n\r\nbody"));
	stop_worker();
}

#define QUARANTINED "the request ends backend servers"

static void
test_request_that_ends_backend_servers_is_refused(void)
{
	struct dh_worker_report *r;
	const char *after;

	start_worker(2);
	CU_ASSERT_EQUAL(get_once("/crash/a", "", buf), 502);
	CU_ASSERT_EQUAL(runs, 2);
	(void)usleep(2 * DOWN_MS * 1000);
	publish_restart(2);
	/* The third crash, after which the retry is refused. */
	CU_ASSERT_EQUAL(get_once("/crash/a", "", buf), 502);
	CU_ASSERT_EQUAL(runs, 3);
	CU_ASSERT_EQUAL(get_once("/crash/a", "", buf), 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, QUARANTINED));
	after = strstr(buf, "Retry-After: ");
	CU_ASSERT_TRUE(after != NULL &&
	    strtod(after + strlen("Retry-After: "), NULL) > 3000);
	CU_ASSERT_EQUAL(runs, 3);
	(void)usleep(2 * DOWN_MS * 1000);
	CU_ASSERT_EQUAL(get_once("/ok/a", "", buf), 200);
	/* It is reported until the view shows it. */
	(void)usleep(300000);
	g_free(dh_worker_take_report(worker));
	(void)usleep(300000);
	r = dh_worker_take_report(worker);
	CU_ASSERT_TRUE(r != NULL && r->nsuspects == 1 &&
	    dh_suspect_is_refused(&r->suspects[0]));
	g_free(r);
	stop_worker();
}

/* An answer shows that the request does not end its backend servers. */
static void
test_answered_request_is_not_refused(void)
{
	int i;

	start_worker(2);
	for (i = 0; i < 3; i++) {
		g_atomic_int_set(&crashes_left, 2);
		CU_ASSERT_EQUAL(get_once("/crash-some/", "", buf), 502);
		(void)usleep(2 * DOWN_MS * 1000);
		CU_ASSERT_EQUAL(get_once("/crash-some/", "", buf), 200);
	}
	stop_worker();
}

/* Guards against a request that is never refused, because it ends its backend
 * server before it has run for some time. */
static void
test_request_that_ends_backend_servers_at_once_is_refused(void)
{
	int i;

	start_worker(2);
	for (i = 0; i < 2; i++) {
		CU_ASSERT_EQUAL(get_once("/crash/once/at-once/", "", buf), 502);
		(void)usleep(2 * DOWN_MS * 1000);
		publish_restart(2);
	}
	CU_ASSERT_EQUAL(get_once("/crash/once/at-once/", "", buf), 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, QUARANTINED));
	CU_ASSERT_EQUAL(runs, 2);
	stop_worker();
}

static void
check_ends_of_connections(const char *path)
{
	int i;

	start_worker(2);
	/* Until enough of them have been sent: the router also pauses. */
	for (i = 0; i < 40 && runs < 2 * DH_CRASHES_MAX; i++) {
		(void)get_once(path, "", buf);
		CU_ASSERT_PTR_NULL(strstr(buf, QUARANTINED));
		/* More backend servers than there are listeners. */
		publish_restart(2);
	}
	CU_ASSERT_TRUE(runs >= 2 * DH_CRASHES_MAX);
	stop_worker();
}

/* Guards against a refusal of requests whose connections a backend server ends
 * that lives on: at once, like those over its limit, or while they run. */
static void
test_ends_of_connections_are_no_crashes(void)
{
	check_ends_of_connections("/crash/alone/at-once/");
	check_ends_of_connections("/crash/alone/");
}

/* Guards against a refusal of requests that were lost when this VM was cut off
 * from all backend servers, which refuse its connections. */
static void
test_lost_path_to_all_servers_is_no_crash(void)
{
	int i;

	start_worker(2);
	for (i = 0; i < 2 * DH_CRASHES_MAX; i++) {
		(void)get_once("/crash/once/all/", "", buf);
		CU_ASSERT_PTR_NULL(strstr(buf, QUARANTINED));
		(void)usleep(2 * DOWN_MS * 1000);
		publish_restart(2);
	}
	CU_ASSERT_EQUAL(runs, 2 * DH_CRASHES_MAX);
	stop_worker();
}

/* Guards against a refusal of requests that were lost when this VM was cut off
 * from another region, whose backend servers refuse its connections, while one
 * of its own zone accepts them. */
static void
test_lost_path_to_a_region_is_no_crash(void)
{
	static uint64_t version = 2000000;
	uint16_t unused = 0;
	struct dh_view *v;
	int i;

	(void)close(listen_on(&unused));
	start_worker(2);
	for (i = 0; i < 5; i++) {
		restarts++;
		v = make_view(2, true, ++version);
		v->servers[0].close_ms = 1;
		v->servers[SERVERS].tier = DH_TIER_REMOTE;
		v->servers[SERVERS + 1].tier = DH_TIER_REMOTE;
		v->servers[SERVERS + 1].address.sin_port = htons(unused);
		dh_worker_publish(worker, v);
		(void)usleep(50000);
		(void)get_once(
		    "/crash/once/keyed/", "X-Dogwoodhub-Shard-Key: 5\r\n", buf);
		CU_ASSERT_PTR_NULL(strstr(buf, QUARANTINED));
		(void)usleep(2 * DOWN_MS * 1000);
	}
	CU_ASSERT_EQUAL(runs, 5);
	stop_worker();
}

/* Another VM has found the request. */
static void
test_request_refused_by_the_view(void)
{
	struct dh_worker_report *r = NULL;
	struct dh_view *v;
	int i;

	start_worker(1);
	CU_ASSERT_EQUAL(get_once("/crash/b", "", buf), 502);
	for (i = 0; i < 50 && (r == NULL || r->nsuspects == 0); i++) {
		g_free(r);
		(void)usleep(20000);
		r = dh_worker_take_report(worker);
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(r);
	CU_ASSERT_EQUAL_FATAL(r->nsuspects, 1);
	stop_worker();
	start_worker(1);
	v = make_view(1, true, 1000000);
	v->suspects = g_memdup2(r->suspects, sizeof(r->suspects[0]));
	v->suspects[0].crashes = DH_CRASHES_MAX;
	v->nsuspects = 1;
	dh_worker_publish(worker, v);
	(void)usleep(50000);
	CU_ASSERT_EQUAL(get_once("/crash/b", "", buf), 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, QUARANTINED));
	CU_ASSERT_EQUAL(runs, 0);
	g_free(r);
	stop_worker();
}

static uint64_t
retries(void)
{
	return dh_counter_value(dh_counter_get("dh_gateway_retries_total", ""));
}

/* Backend servers reset connections that were idle for too long.  Unrepeatable
 * requests use none of them; repeatable ones are retried, and lower the limit
 * of idle time. */
static void
test_reset_of_idle_connections(void)
{
	uint64_t before;
	int fd, i;

	start_worker(1);
	fd = connect_to_worker();
	idle_reset_ms = 300;
	CU_ASSERT_EQUAL(send_get(fd, "/ok/", "", buf), 200);
	(void)usleep(400000);
	CU_ASSERT_EQUAL(send_get(fd, "/ok/once/", "", buf), 200);
	(void)usleep(400000);
	before = retries();
	CU_ASSERT_EQUAL(send_get(fd, "/ok/", "", buf), 200);
	CU_ASSERT_EQUAL(retries(), before + 1);
	/* Connections that were idle for long are no longer used. */
	for (i = 0; i < 3; i++) {
		(void)usleep(400000);
		CU_ASSERT_EQUAL(send_get(fd, "/ok/", "", buf), 200);
	}
	CU_ASSERT_EQUAL(retries(), before + 1);
	/* Idle connections that are not reused are closed. */
	for (i = 0; i < 3; i++) {
		(void)usleep(300000);
		CU_ASSERT_EQUAL(send_get(fd, "/ok/once/", "", buf), 200);
	}
	(void)usleep(50000);
	CU_ASSERT_EQUAL(g_atomic_int_get(&connections), 1);
	idle_reset_ms = 0;
	(void)close(fd);
	stop_worker();
}

/* The first attempt got no answer, so a refusal of the second does not mean
 * that the request has not run. */
static void
test_refusal_after_a_lost_attempt(void)
{
	start_worker(2);
	g_atomic_int_set(&lost, 0);
	CU_ASSERT_EQUAL(get_once("/lost-then-refused/", "", buf), 502);
	CU_ASSERT_EQUAL(g_atomic_int_get(&lost), 2);
	stop_worker();
}

static void
test_not_executed_is_retried(void)
{
	int i;

	start_worker(2);
	for (i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(get_once("/shed/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "X-From: 1"));
	publish(1, true);
	CU_ASSERT_EQUAL(get_once("/shed/", "", buf), 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Retry-After: 0."));
	CU_ASSERT_PTR_NULL(strstr(buf, STAMP));
	stop_worker();
}

/* Guards against a request that goes to a region that is none of its route's
 * homes, also since
 * the owner of its key is there.  It is refused at once. */
static void
test_homes_of_a_route(void)
{
	int64_t began_us;
	int i, before;

	regions[1] = "north";
	start_worker(2);
	for (i = 0; i < 8; i++) {
		CU_ASSERT_EQUAL(get_once("/ok/north/", "", buf), 200);
		CU_ASSERT_PTR_NOT_NULL(strstr(buf, "X-From: 1"));
	}
	before = runs;
	began_us = g_get_monotonic_time();
	CU_ASSERT_EQUAL(
	    get_once("/ok/north/keyed/", "X-Dogwoodhub-Shard-Key: 7\r\n", buf),
	    503);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Retry-After: "));
	publish(1, true);
	CU_ASSERT_EQUAL(get_once("/ok/north/", "", buf), 503);
	CU_ASSERT_TRUE(g_get_monotonic_time() - began_us < 250000);
	CU_ASSERT_EQUAL(runs, before);
	/* The homes hold for this route only. */
	CU_ASSERT_EQUAL(get_once("/ok/", "", buf), 200);
	regions[1] = "home";
	stop_worker();
}

/* Guards against requests to the address of a backend server at which another
 * instance has answered: one attempt each time. */
static void
test_other_instance_at_an_address(void)
{
	int i, before;

	start_worker(1);
	CU_ASSERT_EQUAL(get_once("/other/", "", buf), 503);
	before = runs;
	for (i = 0; i < 8; i++)
		CU_ASSERT_EQUAL(get_once("/ok/", "", buf), 503);
	CU_ASSERT_EQUAL(runs, before);
	/* The other backend server is used instead. */
	publish(2, true);
	CU_ASSERT_EQUAL(get_once("/ok/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "X-From: 1"));
	stop_worker();
}

static void
test_late_copy_of_a_refusal_of_the_same_request(void)
{
	start_worker(1);
	CU_ASSERT_EQUAL(
	    get_once("/late-copy/keyed/", "X-Dogwoodhub-Shard-Key: 7\r\n", buf),
	    503);
	/* Each attempt was refused; none was taken for refused and ran. */
	CU_ASSERT_EQUAL(runs, 2);
	CU_ASSERT_EQUAL(late_copies, 0);
	stop_worker();
}

static void
send_request(int fd, const char *path, const char *id, const char *extra)
{
	g_autofree char *text =
	    g_strdup_printf("GET %s HTTP/1.1\r\nHost: h.example\r\n" ID
			    ": %s\r\nX-Dogwoodhub-Deadline-Ms: 900\r\n%s\r\n",
		path, id, extra);

	send_text(fd, text);
}

/* Wait until *seen, which is guarded by lock, reaches n, for at most 2 s. */
static void
wait_for_count(const int *seen, int n)
{
	int i, now = 0;

	for (i = 0; i < 400 && now < n; i++) {
		(void)usleep(5000);
		g_mutex_lock(&lock);
		now = *seen;
		g_mutex_unlock(&lock);
	}
}

/* Pipelined repeatable requests run concurrently and are answered in order. */
/* Send requests under /late-copy/ one after another, each with an id of its
 * own; returns how many were answered with the status. */
static int
count_late_copy_answers(const char *path, unsigned int status)
{
	g_autofree char *id = NULL;
	int fd = connect_to_worker(), found = 0, i;

	for (i = 0; i < 4; i++) {
		g_free(id);
		id = g_strdup_printf("r-%d", i);
		send_request(fd, path, id, "");
		found += receive(fd, buf) == status;
	}
	(void)close(fd);
	return found;
}

static void
test_late_copy_of_a_refusal_without_id(void)
{
	start_worker(1);
	CU_ASSERT_EQUAL(count_late_copy_answers("/late-copy/no-id/", 503), 4);
	CU_ASSERT_EQUAL(late_copies, 0);
	stop_worker();
}

static void
test_late_copy_that_lost_its_id(void)
{
	start_worker(1);
	/* Every other one finds a kept connection: the copy on it is skipped,
	 * and the connection is not kept any longer. */
	CU_ASSERT_EQUAL(count_late_copy_answers("/late-copy/lose-id/", 200), 2);
	CU_ASSERT_EQUAL(late_copies, 2);
	stop_worker();
}

static unsigned int
ask_with_id(const char *path, const char *id)
{
	int fd = connect_to_worker();
	unsigned int status;

	send_request(fd, path, id, "X-Dogwoodhub-Shard-Key: 7\r\n");
	status = receive(fd, buf);
	(void)close(fd);
	return status;
}

/* Guards against a late copy of the answer to an earlier request with the same
 * id that passes for the answer to this one. */
static void
test_late_copy_to_a_request_that_came_again(void)
{
	static const struct {
		const char *path;
		unsigned int first;
	} cases[] = { { "/stutter/whole/", 200 }, { "/stutter/half/", 200 },
		{ "/stutter/unframed/", 200 }, { "/stutter/failed/", 500 },
		{ "/stutter/refused/", 503 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		start_worker(1);
		CU_ASSERT_EQUAL(
		    ask_with_id(cases[i].path, "x"), cases[i].first);
		/* Others use the connection meanwhile. */
		CU_ASSERT_EQUAL(
		    ask_with_id(cases[i].path, "y"), cases[i].first);
		CU_ASSERT_EQUAL(
		    ask_with_id(cases[i].path, "z"), cases[i].first);
		CU_ASSERT_EQUAL(
		    ask_with_id(cases[i].path, "x"), cases[i].first);
		CU_ASSERT_EQUAL(late_copies, 0);
		CU_ASSERT_EQUAL(runs, 4);
		if (cases[i].first == 200)
			CU_ASSERT_PTR_NOT_NULL(strstr(buf, "\r\n\r\nother"));
		stop_worker();
	}
}

/* The same for the next attempt of one request. */
static void
test_late_copy_to_the_next_attempt(void)
{
	start_worker(1);
	CU_ASSERT_EQUAL(ask_with_id("/stutter/failed/keyed/", "x"), 500);
	CU_ASSERT_EQUAL(runs, 2);
	CU_ASSERT_EQUAL(late_copies, 0);
	stop_worker();
}

/* Guards against a head that begins with a part of another answer's head. */
static void
check_parts(const char *const *paths, size_t n)
{
	char id[16];
	size_t i;

	for (i = 0; i < n; i++) {
		start_worker(1);
		(void)g_snprintf(id, sizeof(id), "p-%zu", i);
		CU_ASSERT_EQUAL(ask_with_id(paths[i], id), 200);
		(void)g_snprintf(id, sizeof(id), "q-%zu", i);
		CU_ASSERT_EQUAL(ask_with_id(paths[i], id), 502);
		CU_ASSERT_EQUAL(late_copies, 1);
		CU_ASSERT_EQUAL(runs, 2);
		stop_worker();
	}
}

static void
test_part_of_a_head_before_an_answer(void)
{
	static const char *const paths[] = { "/part/failed/",
		"/part/reason/failed/", "/part/refusal/" };

	check_parts(paths, G_N_ELEMENTS(paths));
}

/* The same for an answer that the end of the connection ends. */
static void
test_part_of_a_head_before_an_answer_without_length(void)
{
	static const char *const paths[] = { "/part/unframed/failed/",
		"/part/unframed/reason/failed/", "/part/unframed/refusal/" };

	check_parts(paths, G_N_ELEMENTS(paths));
}

/* Guards against a copy of an answer without a length that counts as the rest
 * of its body. */
static void
test_copy_behind_an_answer_without_length(void)
{
	start_worker(1);
	CU_ASSERT_EQUAL(ask_with_id("/part/unframed/copy/", "p"), 200);
	CU_ASSERT_EQUAL(ask_with_id("/part/unframed/copy/", "q"), 502);
	CU_ASSERT_EQUAL(late_copies, 1);
	CU_ASSERT_EQUAL(runs, 2);
	stop_worker();
}

/* Requests with ids of their own share one connection. */
static void
test_requests_share_a_connection(void)
{
	struct dh_counter *opened =
	    dh_counter_get("dh_gateway_connects_total", "");
	uint64_t before = dh_counter_value(opened);
	char id[16];
	int i;

	start_worker(1);
	for (i = 0; i < 300; i++) {
		(void)g_snprintf(id, sizeof(id), "n-%d", i);
		CU_ASSERT_EQUAL(ask_with_id("/ok/", id), 200);
	}
	CU_ASSERT_EQUAL(dh_counter_value(opened), before + 1);
	stop_worker();
}

static void
test_pipelining(void)
{
	char id[32];
	int fd, i;

	start_worker(1);
	/* No request is answered before all are in progress. */
	concurrent = 0;
	fd = connect_to_worker();
	for (i = 0; i < CONCURRENT; i++) {
		(void)g_snprintf(id, sizeof(id), "r%d", i);
		send_request(fd, "/together/", id, "");
	}
	for (i = 0; i < CONCURRENT; i++) {
		CU_ASSERT_EQUAL(receive(fd, buf), 200);
		(void)g_snprintf(id, sizeof(id), ID ": r%d\r\n", i);
		CU_ASSERT_PTR_NOT_NULL(strstr(buf, id));
	}
	(void)close(fd);
	/* The backend server answers the second request first. */
	fd = connect_to_worker();
	send_request(fd, "/rest/long/", "r0", "");
	send_request(fd, "/ok/", "r1", "");
	for (i = 0; i < 2; i++) {
		CU_ASSERT_EQUAL(receive(fd, buf), 200);
		(void)g_snprintf(id, sizeof(id), ID ": r%d\r\n", i);
		CU_ASSERT_PTR_NOT_NULL(strstr(buf, id));
	}
	(void)close(fd);
	stop_worker();
}

/* An unrepeatable request is not sent before earlier requests of the connection
 * are answered, and requests behind a Connection: close are not sent. */
static void
test_pipelining_unrepeatable(void)
{
	int fd;

	start_worker(1);
	ran_beside_delayed = false;
	fd = connect_to_worker();
	send_request(fd, "/rest/", "r0", "");
	send_request(fd, "/rest/once/", "r1", "");
	send_request(fd, "/ok/", "r2", "");
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, ID ": r2\r\n"));
	CU_ASSERT_FALSE(ran_beside_delayed);
	CU_ASSERT_EQUAL(runs, 3);
	(void)close(fd);
	runs = 0;
	fd = connect_to_worker();
	send_request(fd, "/ok/", "r0", "Connection: close\r\n");
	send_request(fd, "/ok/", "r1", "");
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Connection: close"));
	CU_ASSERT_EQUAL(receive(fd, buf), 0);
	CU_ASSERT_EQUAL(runs, 1);
	(void)close(fd);
	/* An invalid request is answered after the earlier ones. */
	fd = connect_to_worker();
	send_request(fd, "/rest/", "r0", "");
	send_text(fd, "nonsense\r\n\r\n");
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_EQUAL(receive(fd, buf), 400);
	(void)close(fd);
	/* The end of the connection cancels all its requests. */
	cancelled = runs = 0;
	fd = connect_to_worker();
	send_request(fd, "/silent/", "r0", "");
	send_request(fd, "/silent/", "r1", "");
	wait_for_count(&runs, 2);
	reset_connection(fd);
	wait_for_count(&cancelled, 2);
	CU_ASSERT_EQUAL(cancelled, 2);
	stop_worker();
}

/* A draining worker answers all pipelined requests that it has sent to backend
 * servers, and closes the connection with the last answer. */
static void
test_pipelining_drain(void)
{
	int fd;

	start_worker(1);
	fd = connect_to_worker();
	send_request(fd, "/rest/long/", "r0", "");
	send_request(fd, "/rest/", "r1", "");
	wait_for_count(&runs, 2);
	dh_worker_drain(worker, 100, 3000);
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_PTR_NULL(strstr(buf, "Connection: close"));
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Connection: close"));
	(void)close(fd);
	dh_worker_free(worker);
}

struct caller {
	const char *path;
	unsigned int status;
	GThread *thread;
};

static gpointer
get_in_thread(gpointer arg)
{
	struct caller *a = arg;
	g_autofree char *text = g_malloc(ANSWER_MAX);

	a->status = get_once(a->path, "", text);
	return NULL;
}

/* Answers that do not end: the worker closes the connections, stays within its
 * memory limit, and serves other requests meanwhile. */
static void
test_endless_answers(void)
{
	static const char *const paths[] = { "/endless-head/", "/endless-body/",
		"/endless-chunks/", "/endless-head/slow/",
		"/endless-body/slow/", "/endless-chunks/slow/" };
	struct caller callers[48];
	const struct dh_counter *over, *room;
	uint64_t over_before, room_max = 0;
	size_t i;

	settings.memory_mb = 32;
	slots = G_N_ELEMENTS(callers);
	start_worker(1);
	over = dh_counter_get("dh_gateway_room_over_total", "");
	room = dh_counter_get("dh_gateway_room_bytes", "");
	over_before = dh_counter_value(over);
	for (i = 0; i < G_N_ELEMENTS(callers); i++) {
		callers[i].path = paths[i % G_N_ELEMENTS(paths)];
		callers[i].thread =
		    g_thread_new("ask", get_in_thread, &callers[i]);
	}
	for (i = 0; i < 20; i++) {
		CU_ASSERT_EQUAL(get_once("/ok/keyed/",
				    "X-Dogwoodhub-Shard-Key: 7\r\n", buf),
		    200);
		room_max = MAX(room_max, dh_counter_value(room));
		(void)usleep(20000);
	}
	for (i = 0; i < G_N_ELEMENTS(callers); i++) {
		(void)g_thread_join(callers[i].thread);
		CU_ASSERT_TRUE(
		    callers[i].status == 502 || callers[i].status == 504);
	}
	for (i = 0; i < 100; i++) {
		(void)usleep(20000);
		g_mutex_lock(&lock);
		if (cancelled >= (int)G_N_ELEMENTS(callers))
			i = 100;
		g_mutex_unlock(&lock);
	}
	CU_ASSERT_TRUE(cancelled >= (int)G_N_ELEMENTS(callers));
	CU_ASSERT_TRUE(dh_counter_value(over) > over_before);
	/* A third of memory_mb, plus reads between two counts. */
	CU_ASSERT_TRUE(room_max < (size_t)16 << 20);
	printf(
	    "%.1f MB held, %d closed ... ", (double)room_max / 1e6, cancelled);
	stop_worker();
	settings.memory_mb = 256;
	slots = 4;
}

/* Request bodies that together exceed the memory limit: some requests are
 * refused and not sent; others are served. */
static void
test_memory_limit_of_bodies(void)
{
	static char part[65536];
	unsigned int status;
	int fds[160], refused = 0;
	size_t i, n;

	settings.memory_mb = 32;
	start_worker(1);
	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = connect_to_worker();
		send_text(fds[i],
		    "POST /ok/ HTTP/1.1\r\nHost: h.example\r\n" ID
		    ": r\r\nContent-Length: 99999\r\n\r\n");
		for (n = 0; n < sizeof(part); n += 16384)
			(void)send(fds[i], part, 16384, MSG_NOSIGNAL);
	}
	CU_ASSERT_EQUAL(get_once("/ok/", "", buf), 200);
	n = (size_t)runs;
	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		while (recv(fds[i], buf, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
			status = receive(fds[i], buf);
			CU_ASSERT_EQUAL(status, 503);
			CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Retry-After: "));
			refused++;
			break;
		}
		(void)close(fds[i]);
	}
	CU_ASSERT_TRUE(refused > 0);
	CU_ASSERT_TRUE(refused < (int)G_N_ELEMENTS(fds));
	CU_ASSERT_EQUAL(runs, (int)n);
	stop_worker();
	settings.memory_mb = 256;
}

/* Uploads that have been passed on exceed the memory limit, and more are read.
 * Guards against awaited answers to small requests that are given up then,
 * which frees nothing. */
static void
test_memory_limit_keeps_small_requests(void)
{
	static char body[60000];
	struct caller orders[4];
	g_autofree char *head = g_strdup_printf(
	    "POST /delay/ HTTP/1.1\r\nHost: h.example\r\n" ID
	    ": u\r\nX-Dogwoodhub-Deadline-Ms: 3000\r\nContent-Length: "
	    "%zu\r\n\r\n",
	    sizeof(body));
	const struct dh_counter *room;
	int fds[10];
	size_t i;

	settings.memory_mb = 2;
	slots = 16;
	start_worker(1);
	room = dh_counter_get("dh_gateway_room_bytes", "");
	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		orders[i].path = "/delay/";
		orders[i].thread =
		    g_thread_new("order", get_in_thread, &orders[i]);
	}
	(void)usleep(100000);
	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = connect_to_worker();
		send_text(fds[i], head);
		(void)send(fds[i], body, sizeof(body), MSG_NOSIGNAL);
	}
	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		(void)g_thread_join(orders[i].thread);
		CU_ASSERT_EQUAL(orders[i].status, 200);
	}
	for (i = 0; i < G_N_ELEMENTS(fds); i++)
		(void)close(fds[i]);
	CU_ASSERT_TRUE(dh_counter_value(room) > ((uint64_t)2 << 20) / 3);
	stop_worker();
	settings.memory_mb = 256;
	slots = 4;
}

/* A backend server that refuses a request with Retry-After is sent no request
 * for that time.  If it is the only one, requests are refused meanwhile. */
static void
test_retry_after_of_a_server(void)
{
	int64_t began_us;
	int before;

	start_worker(1);
	CU_ASSERT_EQUAL(get_once("/pause/", "", buf), 503);
	CU_ASSERT_EQUAL(runs, 1);
	began_us = g_get_monotonic_time();
	before = runs;
	while (g_get_monotonic_time() - began_us < 1000000) {
		CU_ASSERT_EQUAL(get_once("/ok/", "", buf), 503);
		CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Retry-After: "));
		(void)usleep(50000);
	}
	CU_ASSERT_EQUAL(runs, before);
	(void)usleep(1700000);
	CU_ASSERT_EQUAL(get_once("/ok/", "", buf), 200);
	stop_worker();
}

/* A backend server that says in an answer that it is leaving is sent no more
 * requests, though it is open in the view.  The owner of keys is sent requests
 * until the keys can have moved. */
static void
test_leaving_server(void)
{
	struct dh_worker_report *r = NULL;
	int i;

	settings.drain_ms = 2500;
	start_worker(1);
	CU_ASSERT_EQUAL(get_once("/leaving/", "", buf), 200);
	CU_ASSERT_EQUAL(get_once("/ok/", "", buf), 503);
	CU_ASSERT_EQUAL(runs, 1);
	/* The other backend server is used instead. */
	publish(2, true);
	CU_ASSERT_EQUAL(get_once("/ok/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "X-From: 1"));
	CU_ASSERT_EQUAL(
	    get_once("/leaving/keyed/", "X-Dogwoodhub-Shard-Key: 7\r\n", buf),
	    200);
	CU_ASSERT_EQUAL(
	    get_once("/ok/keyed/", "X-Dogwoodhub-Shard-Key: 7\r\n", buf), 200);
	(void)usleep(2100000);
	CU_ASSERT_EQUAL(
	    get_once("/ok/keyed/", "X-Dogwoodhub-Shard-Key: 7\r\n", buf), 503);
	for (i = 0; i < 10 && (r == NULL || r->nleaving == 0); i++) {
		g_free(r);
		(void)usleep(100000);
		r = dh_worker_take_report(worker);
	}
	CU_ASSERT_TRUE(r != NULL && r->nleaving > 0);
	g_free(r);
	stop_worker();
	settings.drain_ms = 0;
}

/* A listener whose queue of connections is full: the next one is accepted when
 * its opening packet is sent again after a second, if there is room by then. */
struct full_listener {
	int fd;
	uint16_t port;
	int waiting[2]; /* connections that fill the queue */
};

static void
full_listener_start(struct full_listener *l)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	size_t i;

	l->port = 0;
	l->fd = listen_on(&l->port);
	CU_ASSERT_EQUAL_FATAL(listen(l->fd, 0), 0);
	sin.sin_port = htons(l->port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (i = 0; i < G_N_ELEMENTS(l->waiting); i++) {
		l->waiting[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(
		    l->waiting[i], (struct sockaddr *)&sin, sizeof(sin));
	}
}

/* Accepts connections for ms; returns the number of bytes that came on them. */
static size_t
full_listener_run(struct full_listener *l, int64_t ms, int *accepted)
{
	int64_t end_ms = dh_clock_ms() + ms;
	char text[4096];
	struct pollfd listener = { .fd = l->fd, .events = POLLIN };
	int fds[8], n = 0, i;
	size_t bytes = 0;
	ssize_t got;

	while (dh_clock_ms() < end_ms) {
		if (n < (int)G_N_ELEMENTS(fds) && poll(&listener, 1, 0) == 1 &&
		    (fds[n] = accept4(l->fd, NULL, NULL, SOCK_NONBLOCK)) >= 0)
			n++;
		for (i = 0; i < n; i++) {
			got = recv(fds[i], text, sizeof(text), MSG_DONTWAIT);
			bytes += got > 0 ? (size_t)got : 0;
		}
		(void)usleep(5000);
	}
	for (i = 0; i < n; i++)
		(void)close(fds[i]);
	*accepted = n;
	return bytes;
}

static void
full_listener_end(struct full_listener *l)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(l->waiting); i++)
		(void)close(l->waiting[i]);
	(void)close(l->fd);
}

/* Publishes a view in which the owner of the keys listens on that port, and
 * closes at that time. */
static void
publish_owner_at(uint16_t owner_port, int64_t close_ms)
{
	static uint64_t version = 1000;
	struct dh_view *v = make_view(1, true, ++version);

	v->servers[SERVERS].address.sin_port = htons(owner_port);
	v->servers[SERVERS].close_ms = close_ms;
	dh_worker_publish(worker, v);
	(void)usleep(50000);
}

/* Guards against a request that is sent to an owner whose drain period has
 * ended while the connection to it was opened. */
static void
test_owner_closes_while_a_connection_opens(void)
{
	struct full_listener l = { .fd = -1 };
	int fd, accepted;

	start_worker(1);
	settings.connect_ms = 2500;
	full_listener_start(&l);
	publish_owner_at(l.port, 0);
	fd = connect_to_worker();
	send_text(fd,
	    "GET /ok/keyed/slow/ HTTP/1.1\r\nHost: h.example\r\n" ID
	    ": r\r\nX-Dogwoodhub-Shard-Key: 5\r\n\r\n");
	(void)usleep(300000);
	publish_owner_at(l.port, 1);
	CU_ASSERT_EQUAL(full_listener_run(&l, 1500, &accepted), 0);
	CU_ASSERT_TRUE(accepted > 2);
	CU_ASSERT_EQUAL(receive(fd, buf), 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Retry-After: "));
	(void)close(fd);
	full_listener_end(&l);
	stop_worker();
}

/* The end of the drain period takes effect without a later view. */
static void
test_owner_closes_by_itself(void)
{
	int i;

	start_worker(1);
	publish_owner_at(
	    servers[0].port, (int64_t)(uv_hrtime() / 1000000) + 400);
	CU_ASSERT_EQUAL(
	    get_once("/ok/keyed/", "X-Dogwoodhub-Shard-Key: 7\r\n", buf), 200);
	(void)usleep(400000);
	for (i = 0; i < 2; i++)
		CU_ASSERT_EQUAL(get_once("/ok/keyed/",
				    "X-Dogwoodhub-Shard-Key: 7\r\n", buf),
		    503);
	CU_ASSERT_EQUAL(runs, 1);
	stop_worker();
}

/* Sends requests for 3 s; returns how many ran in the last 2 s, in *refused the
 * number that was refused then. */
static int
run_limited(const char *path, int *refused)
{
	int64_t began_ms = dh_clock_ms();
	int ran = 0;

	*refused = 0;
	while (dh_clock_ms() - began_ms < 3000) {
		unsigned int status =
		    get_once(path, "X-Dogwoodhub-Shard-Key: 7\r\n", buf);

		if (dh_clock_ms() - began_ms >= 1000) {
			ran += status == 200;
			*refused += status == 503 &&
			    strstr(buf, "Retry-After: ") != NULL;
		}
		(void)usleep(10000);
	}
	return ran;
}

/* A backend server that names a rate limit gets no more requests than that;
 * others are refused at once, or sent to another backend server. */
static void
test_rate_limit_of_a_server(void)
{
	struct dh_worker_report *r = NULL;
	int ran, refused, i;

	start_worker(1);
	for (i = 0; i < 2; i++) {
		ran = run_limited(
		    i == 0 ? "/limited/" : "/limited/keyed/", &refused);
		CU_ASSERT_TRUE(ran >= 2);
		CU_ASSERT_TRUE(ran <= 2 * LIMIT_PER_S + 1);
		CU_ASSERT_TRUE(refused > 50);
	}
	g_free(dh_worker_take_report(worker));
	(void)run_limited("/limited/", &refused);
	r = dh_worker_take_report(worker);
	CU_ASSERT_TRUE(r != NULL && r->nlimits > 0 &&
	    r->limits[0].offered > r->limits[0].admitted);
	g_free(r);
	/* The other backend server is not limited. */
	publish(2, true);
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(get_once("/ok/", "", buf), 200);
	stop_worker();
}

/* The first answer takes so long that no later request seems to have the time;
 * only further answers can show that the others are quick. */
static void
test_requests_after_a_slow_first_answer(void)
{
	int64_t began_ms;
	int served = 0;

	start_worker(2);
	CU_ASSERT_EQUAL(get_once("/delay/", "", buf), 200);
	began_ms = dh_clock_ms();
	while (dh_clock_ms() - began_ms < 4000 && served < 20) {
		served += get_once("/ok/", "", buf) == 200;
		(void)usleep(20000);
	}
	CU_ASSERT_EQUAL(served, 20);
	stop_worker();
}

static void
test_rate_limit_is_lifted(void)
{
	int refused, i, ran = 0;

	start_worker(1);
	(void)run_limited("/limited/", &refused);
	/* The first one that is admitted says that there is no limit. */
	for (i = 0; i < 200 && ran == 0; i++) {
		ran += get_once("/ok/", "", buf) == 200;
		(void)usleep(10000);
	}
	CU_ASSERT_EQUAL(ran, 1);
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(get_once("/ok/", "", buf), 200);
	stop_worker();
}

/* A limit that this VM has not read in an answer: the leader shares it. */
static void
test_rate_limit_shared_by_the_leader(void)
{
	struct dh_view *v;
	int refused, ran, i;

	start_worker(1);
	for (ran = refused = i = 0; i < 100; i++) {
		v = make_view(1, true, 1000 + (uint64_t)i);
		v->limits = g_new0(struct dh_view_limit, 1);
		v->nlimits = 1;
		v->limits[0] = (struct dh_view_limit){
			.uid = 1, .per_s = LIMIT_PER_S, .fraction = 0.25
		};
		dh_worker_publish(worker, v);
		(void)usleep(5000);
		ran += get_once("/limited/", "", buf) == 200;
		refused += strncmp(buf, "HTTP/1.1 503", 12) == 0;
	}
	CU_ASSERT_TRUE(ran >= 24 && ran <= 27);
	CU_ASSERT_EQUAL(ran + refused, 100);
	stop_worker();
}

static void
test_deadline(void)
{
	int64_t began;

	start_worker(1);
	began = dh_clock_ms();
	CU_ASSERT_EQUAL(get_once("/silent-once/", "", buf), 504);
	CU_ASSERT_TRUE(dh_clock_ms() - began < 1000);
	CU_ASSERT_TRUE(dh_clock_ms() - began > 800);
	CU_ASSERT_EQUAL(runs, 1);
	stop_worker();
}

static void
test_caller_disconnects(void)
{
	int fd;

	start_worker(1);
	fd = connect_to_worker();
	send_text(fd,
	    "GET /silent/ HTTP/1.1\r\nHost: h.example\r\n" ID ": r9\r\n\r\n");
	(void)usleep(100000);
	CU_ASSERT_EQUAL(runs, 1);
	(void)close(fd);
	(void)usleep(200000);
	CU_ASSERT_EQUAL(cancelled, 1);
	stop_worker();
}

static void
test_parked_request(void)
{
	int64_t began;
	int fd;

	start_worker(1);
	CU_ASSERT_EQUAL(
	    get_once("/ok/keyed/", "X-Dogwoodhub-Shard-Key: 5\r\n", buf), 200);
	publish(1, false);
	fd = connect_to_worker();
	send_text(fd,
	    "GET /ok/keyed/ HTTP/1.1\r\nHost: h.example\r\n" ID
	    ": r\r\nX-Dogwoodhub-Shard-Key: 5\r\n\r\n");
	(void)usleep(100000);
	publish(1, true);
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	(void)close(fd);
	/* No owner appears within park_ms. */
	began = dh_clock_ms();
	CU_ASSERT_EQUAL(
	    get_once("/ok/keyed/", "X-Dogwoodhub-Shard-Key: 5000\r\n", buf),
	    503);
	CU_ASSERT_TRUE(dh_clock_ms() - began < 400);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Retry-After: "));
	stop_worker();
}

/* Publishes a view by a later deployment, which has the service "added" in
 * place of the first one.  If any_repeat is not negative, the service "any" and
 * its route follow, which may be repeated as any_repeat says. */
static void
publish_changed_deployment(int any_repeat)
{
	static const char *const names[] = { "added", "any" };
	static const char *const ids[] = { "i-added", "i-0", "i-1" };
	struct dh_deployment *d = dh_deployment_new();
	struct dh_deployment **box;
	struct dh_view *v;
	uint32_t i, service;

	d->version = 2;
	d->header_bytes_max = 2000;
	d->body_bytes_max = 100000;
	d->header_timeout_ms = 500;
	d->idle_timeout_ms = 5000;
	d->services = calloc(2, sizeof(*d->services));
	d->routes = calloc(2, sizeof(*d->routes));
	d->nservices = any_repeat < 0 ? 1 : 2;
	for (i = 0; i < d->nservices; i++) {
		d->services[i].name = strdup(names[i]);
		d->services[i].health_path = strdup("/health");
		d->services[i].connections_max = 100;
	}
	add_route(d, "/added/", DH_REPEAT_SAFE, 0);
	if (any_repeat >= 0)
		add_route(d, "/", (enum dh_repeat)any_repeat, 1);
	box = dh_deployment_box(d);
	v = dh_view_new(box);
	dh_deployment_unbox(box);
	v->vms = 1;
	v->number = v->owners_version = 1000;
	v->servers = g_new0(struct dh_view_server, G_N_ELEMENTS(ids));
	for (i = 0; i < (any_repeat < 0 ? 1 : G_N_ELEMENTS(ids)); i++) {
		service = i == 0 ? 0 : 1;
		set_view_server(&v->servers[v->nservers],
		    i == 0 ? 1000 : i + restarts * 2 * SERVERS, ids[i], i == 2,
		    service);
		if (v->services[service].servers == NULL)
			v->services[service].servers =
			    g_new0(uint32_t, G_N_ELEMENTS(ids));
		v->services[service].servers[v->services[service].nservers++] =
		    (uint32_t)v->nservers++;
	}
	dh_worker_publish(worker, v);
}

/* Sends a request and publishes another deployment while it is in progress;
 * returns the status of the answer. */
static unsigned int
get_during_change(const char *path, int any_repeat)
{
	int fd = connect_to_worker();
	g_autofree char *text = g_strdup_printf(
	    "GET %s HTTP/1.1\r\nHost: h.example\r\n" ID ": r\r\n\r\n", path);
	unsigned int status;

	send_text(fd, text);
	(void)usleep(CRASH_MS * 1000 / 4);
	publish_changed_deployment(any_repeat);
	status = receive(fd, buf);
	(void)close(fd);
	return status;
}

/* Guards against a retry that goes to another service, whose index in a later
 * deployment is that of the request's service in an earlier one. */
static void
test_retry_after_a_change_of_the_services(void)
{
	start_worker(1);
	crashes_left = 1;
	CU_ASSERT_EQUAL(get_during_change("/crash-some/", DH_REPEAT_SAFE), 200);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(last_head, "X-Dogwoodhub-Target-Instance: i-1\r\n"));
	CU_ASSERT_EQUAL(runs, 2);
	stop_worker();
}

/* Guards against a retry by the index of a service that is gone. */
static void
test_retry_after_the_route_has_gone(void)
{
	start_worker(1);
	crashes_left = 1;
	CU_ASSERT_EQUAL(get_during_change("/crash-some/", -1), 404);
	CU_ASSERT_EQUAL(runs, 1);
	stop_worker();
}

/* Guards against a repetition that only an earlier deployment allowed. */
static void
test_retry_after_the_route_forbids_repetition(void)
{
	start_worker(1);
	crashes_left = 1;
	CU_ASSERT_EQUAL(
	    get_during_change("/crash-some/", DH_REPEAT_NEVER), 502);
	CU_ASSERT_EQUAL(runs, 1);
	stop_worker();
}

/* Guards against a second attempt at another service when the answer to the
 * first is overdue. */
static void
test_overdue_after_a_change_of_the_services(void)
{
	start_worker(1);
	CU_ASSERT_EQUAL(get_during_change("/silent/", DH_REPEAT_SAFE), 504);
	CU_ASSERT_EQUAL(runs, 2);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(last_head, "X-Dogwoodhub-Target-Instance: i-1\r\n"));
	stop_worker();
}

/* Guards against the index of a service that is gone when an answer is overdue:
 * the attempt continues, since no route leads anywhere else. */
static void
test_overdue_after_the_route_has_gone(void)
{
	start_worker(1);
	CU_ASSERT_EQUAL(get_during_change("/silent/", -1), 504);
	CU_ASSERT_EQUAL(runs, 1);
	stop_worker();
}

static void
test_drain(void)
{
	int fd, idle;

	start_worker(1);
	fd = connect_to_worker();
	idle = connect_to_worker();
	CU_ASSERT_EQUAL(send_get(fd, "/ok/", "", buf), 200);
	CU_ASSERT_PTR_NULL(strstr(buf, "Connection: close"));
	dh_worker_drain(worker, 300, 2000);
	(void)usleep(50000);
	CU_ASSERT_EQUAL(send_get(fd, "/ok/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Connection: close"));
	(void)close(fd);
	/* An idle connection is closed after quiet_ms. */
	CU_ASSERT_EQUAL(read(idle, buf, 1), 0);
	(void)close(idle);
	(void)usleep(300000);
	CU_ASSERT_TRUE(dh_worker_done(worker));
	/* These calls are allowed after the worker has ended. */
	publish(1, true);
	dh_worker_drain(worker, 300, 2000);
	dh_worker_free(worker);
}

/* At the end of a drain, a request without an answer is answered with 504. */
static void
test_drain_limit(void)
{
	int fd;

	start_worker(1);
	fd = connect_to_worker();
	send_text(fd,
	    "GET /silent-once/ HTTP/1.1\r\nHost: h.example\r\n" ID
	    ": r7\r\n\r\n");
	(void)usleep(50000);
	dh_worker_drain(worker, 100, 600);
	CU_ASSERT_EQUAL(receive(fd, buf), 504);
	(void)close(fd);
	dh_worker_free(worker);
}

/* Sends a request whose head ends 350 ms after the drain began, which ends
 * after 1500 ms; returns the status of its answer. */
static unsigned int
send_late_in_drain(const char *path, const char *header, int64_t *answer_ms)
{
	g_autofree char *head = g_strdup_printf(
	    "POST %s HTTP/1.1\r\nHost: h.example\r\n" ID ": r8\r\n%s", path,
	    header);
	unsigned int status;
	int64_t sent_ms;
	int fd;

	start_worker(1);
	fd = connect_to_worker();
	send_text(fd, head);
	(void)usleep(50000);
	dh_worker_drain(worker, 100, 1500);
	(void)usleep(350000);
	sent_ms = dh_clock_ms();
	send_text(fd, "\r\n");
	status = receive(fd, buf);
	*answer_ms = dh_clock_ms() - sent_ms;
	(void)close(fd);
	dh_worker_free(worker);
	return status;
}

static void
test_request_that_may_outlast_the_drain_is_not_sent(void)
{
	int64_t answer_ms;

	CU_ASSERT_EQUAL(
	    send_late_in_drain("/silent-once/", "", &answer_ms), 503);
	CU_ASSERT_EQUAL(runs, 0);
	CU_ASSERT_TRUE(answer_ms < 50);
	/* One that ends before the drain does. */
	CU_ASSERT_EQUAL(send_late_in_drain("/ok/once/",
			    "X-Dogwoodhub-Deadline-Ms: 700\r\n", &answer_ms),
	    200);
	CU_ASSERT_EQUAL(runs, 1);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "forwarding", test_forwarding },
		{ "gateway errors", test_gateway_errors },
		{ "incomplete heads", test_incomplete_heads_time_out },
		{ "invalid answers", test_invalid_answers },
		{ "answer with an invalid status",
		    test_answer_with_invalid_status },
		{ "unrepeatable", test_unrepeatable_request_is_sent_once },
		{ "answer that is cut during an upload",
		    test_answer_that_is_cut_during_an_upload },
		{ "head that ends early", test_head_that_ends_early },
		{ "not executed", test_not_executed_is_retried },
		{ "refusal after a lost attempt",
		    test_refusal_after_a_lost_attempt },
		{ "other instance", test_other_instance_at_an_address },
		{ "homes", test_homes_of_a_route },
		{ "late copy of a refusal",
		    test_late_copy_of_a_refusal_of_the_same_request },
		{ "late copy of a refusal without id",
		    test_late_copy_of_a_refusal_without_id },
		{ "late copy that lost its id",
		    test_late_copy_that_lost_its_id },
		{ "late copy to a request that came again",
		    test_late_copy_to_a_request_that_came_again },
		{ "late copy to the next attempt",
		    test_late_copy_to_the_next_attempt },
		{ "part of a head before an answer",
		    test_part_of_a_head_before_an_answer },
		{ "part of a head before an answer without length",
		    test_part_of_a_head_before_an_answer_without_length },
		{ "copy behind an answer without length",
		    test_copy_behind_an_answer_without_length },
		{ "requests share a connection",
		    test_requests_share_a_connection },
		{ "endless answers", test_endless_answers },
		{ "memory limit of bodies", test_memory_limit_of_bodies },
		{ "memory limit and small requests",
		    test_memory_limit_keeps_small_requests },
		{ "pipelining", test_pipelining },
		{ "pipelining, unrepeatable", test_pipelining_unrepeatable },
		{ "pipelining, drain", test_pipelining_drain },
		{ "Retry-After of a server", test_retry_after_of_a_server },
		{ "leaving server", test_leaving_server },
		{ "owner closes by itself", test_owner_closes_by_itself },
		{ "owner closes while a connection opens",
		    test_owner_closes_while_a_connection_opens },
		{ "slow first answer",
		    test_requests_after_a_slow_first_answer },
		{ "rate limit", test_rate_limit_of_a_server },
		{ "rate limit lifted", test_rate_limit_is_lifted },
		{ "rate limit of the leader",
		    test_rate_limit_shared_by_the_leader },
		{ "deadline", test_deadline },
		{ "caller disconnects", test_caller_disconnects },
		{ "reset of idle connections", test_reset_of_idle_connections },
		{ "request that ends backend servers",
		    test_request_that_ends_backend_servers_is_refused },
		{ "answered request", test_answered_request_is_not_refused },
		{ "request that ends backend servers at once",
		    test_request_that_ends_backend_servers_at_once_is_refused },
		{ "ends of connections",
		    test_ends_of_connections_are_no_crashes },
		{ "lost path to all servers",
		    test_lost_path_to_all_servers_is_no_crash },
		{ "lost path to a region",
		    test_lost_path_to_a_region_is_no_crash },
		{ "request refused by the view",
		    test_request_refused_by_the_view },
		{ "parked request", test_parked_request },
		{ "retry after a change of the services",
		    test_retry_after_a_change_of_the_services },
		{ "retry after the route has gone",
		    test_retry_after_the_route_has_gone },
		{ "retry after the route forbids it",
		    test_retry_after_the_route_forbids_repetition },
		{ "overdue after a change of the services",
		    test_overdue_after_a_change_of_the_services },
		{ "overdue after the route has gone",
		    test_overdue_after_the_route_has_gone },
		{ "drain", test_drain },
		{ "drain limit", test_drain_limit },
		{ "late in a drain",
		    test_request_that_may_outlast_the_drain_is_not_sent },
		CU_TEST_INFO_NULL,
	};
	int i;

	deployment = dh_deployment_box(make_deployment());
	for (i = 0; i < (int)SERVERS; i++) {
		servers[i].index = i;
		servers[i].connections = g_array_new(FALSE, FALSE, sizeof(int));
		servers[i].fd = listen_on(&servers[i].port);
		g_thread_unref(g_thread_new("fake", accept_all, &servers[i]));
	}
	return cunit_main("worker", tests);
}
