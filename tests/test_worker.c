/*
 * The data path over loopback: a worker, a fake backend server that does what
 * a request's path says, and callers.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <glib.h>

#include "base/clock.h"
#include "gateway/worker.h"
#include "tests/cunit_main.h"

#define ID "X-Dogwoodhub-Request-Id"
#define STAMP "X-Dogwoodhub-Server-Stamp: s\r\n"
#define SERVERS 2u
#define ANSWER_MAX 65536

struct fake {
	int fd;
	uint16_t port;
	int index;
};

static struct fake fakes[SERVERS];
static struct dh_gateway_settings settings;
static struct dh_worker *worker;
static uint16_t port;
static struct dh_deployment **deployment;
/* What the fakes have seen. */
static GMutex lock;
static int runs, cancelled;
static char last_head[4096];

static int
listen_on(uint16_t *out)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, 64) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0)
		abort();
	*out = ntohs(sin.sin_port);
	return fd;
}

static void
say(int fd, const char *text)
{
	(void)!write(fd, text, strlen(text));
}

static void
reset(int fd)
{
	struct linger l = { .l_onoff = 1 };

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	(void)close(fd);
}

/* Bytes until the other side closes: in a head, in chunks, or without a
 * length; the slow ones some at a time. */
static bool
say_without_end(int fd, const char *head, const char *id)
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
	say(fd, begin);
	while (send(fd, part, n, MSG_NOSIGNAL) > 0)
		if (slow)
			(void)usleep(20000);
	g_mutex_lock(&lock);
	cancelled++;
	g_mutex_unlock(&lock);
	(void)close(fd);
	return false;
}

#define TOGETHER 3
static gint together; /* requests that wait for one another */

/* Whether as many are at work at once as wait for one another. */
static bool
wait_for_others(void)
{
	int i;

	(void)g_atomic_int_add(&together, 1);
	for (i = 0; i < 160 && g_atomic_int_get(&together) < TOGETHER; i++)
		(void)usleep(5000);
	return g_atomic_int_get(&together) >= TOGETHER;
}

static gint resting; /* requests at work under /rest/ */
static bool beside_rest; /* another was at work beside them */

/* Answers that depend on what else is at work, or do not end; false if the
 * request asks for none of these.  *open: whether the connection goes on. */
static bool
answers_by_turn(
    int fd, const char *head, const char *id, const char *good, bool *open)
{
	g_autofree char *leaving = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\n" STAMP ID
	    ": %s\r\nServer-Leaving: 1\r\nContent-Length: 4\r\n\r\nbody",
	    id);

	if (strstr(head, "/rest/") != NULL) {
		beside_rest |= g_atomic_int_add(&resting, 1) > 0;
		(void)usleep(strstr(head, "/long/") != NULL ? 300000 : 100000);
		(void)g_atomic_int_add(&resting, -1);
		say(fd, good);
	} else if (strstr(head, "/together/") != NULL) {
		say(fd,
		    wait_for_others()
			? good
			: "HTTP/1.1 500 Alone\r\nContent-Length: 0\r\n\r\n");
	} else if (strstr(head, "/endless") != NULL) {
		*open = say_without_end(fd, head, id);
	} else if (strstr(head, " /pause/") != NULL) {
		say(fd,
		    "HTTP/1.1 503 No\r\nX-Dogwoodhub-Not-Executed: 1\r\n"
		    "Retry-After: 2.5\r\nContent-Length: 0\r\n\r\n");
	} else if (strstr(head, "/leaving/") != NULL) {
		say(fd, leaving);
	} else {
		return false;
	}
	return true;
}

/* Answer one request; false if the connection is over. */
static bool
behave(struct fake *f, int fd, const char *head, const char *id)
{
	g_autofree char *good = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\n" STAMP ID
	    ": %s\r\nX-From: %d\r\nContent-Length: 4\r\n\r\nbody",
	    id, f->index);
	bool open = true;
	char byte;

	if (strstr(head, " /ok/") != NULL) {
		beside_rest |= g_atomic_int_get(&resting) > 0;
		say(fd, good);
		return true;
	}
	if (strstr(head, " /foreign/") != NULL) {
		say(fd,
		    "HTTP/1.1 200 OK\r\n" STAMP ID
		    ": other\r\nContent-Length: 3\r\n\r\nbad");
		say(fd, good);
		return true;
	}
	if (strstr(head, " /extra/") != NULL) {
		say(fd, good);
		say(fd,
		    "HTTP/1.1 200 OK\r\n" STAMP ID
		    ": other\r\nContent-Length: 3\r\n\r\nbad");
		return true;
	}
	if (strstr(head, " /short/") != NULL) {
		say(fd, "HTTP/1.1 200 OK\r\n" STAMP);
		say(fd, "Content-Length: 9\r\n\r\nbody");
		(void)close(fd);
		return false;
	}
	if (strstr(head, " /unframed-reset/") != NULL) {
		g_autofree char *text = g_strdup_printf(
		    "HTTP/1.1 200 OK\r\n" STAMP ID ": %s\r\n\r\nbo", id);

		say(fd, text);
		(void)usleep(20000);
		reset(fd);
		return false;
	}
	if (strstr(head, " /unframed/") != NULL) {
		g_autofree char *text = g_strdup_printf(
		    "HTTP/1.1 200 OK\r\n" STAMP ID ": %s\r\n\r\nbody", id);

		say(fd, text);
		(void)close(fd);
		return false;
	}
	if (strstr(head, " /nostamp/") != NULL) {
		g_autofree char *text =
		    g_strdup_printf("HTTP/1.1 200 OK\r\n" ID
				    ": %s\r\nContent-Length: 4\r\n\r\nbody",
			id);

		say(fd, text);
		return true;
	}
	if (strstr(head, " /shed/") != NULL) {
		say(fd,
		    f->index == 0
			? "HTTP/1.1 503 No\r\nX-Dogwoodhub-Not-Executed: 1\r\n"
			  "Content-Length: 0\r\n\r\n"
			: good);
		return true;
	}
	if (answers_by_turn(fd, head, id, good, &open))
		return open;
	if (strstr(head, " /garbage/") != NULL) {
		say(fd, "\x01\x02 nonsense\r\n\r\n");
		return true;
	}
	/* Silence, until the other side closes. */
	if (read(fd, &byte, 1) <= 0) {
		g_mutex_lock(&lock);
		cancelled++;
		g_mutex_unlock(&lock);
	}
	(void)close(fd);
	return false;
}

/* Connections that rested for so long are reset by the next request; 0: none
 * are. */
static int64_t forget_ms;

static bool
serve_one(struct fake *f, int fd, char *buf, size_t size, int64_t *rests_us)
{
	size_t len = 0, want = 0;
	char *end = NULL, *id, *body;
	char name[128] = "";
	ssize_t n;

	while (end == NULL || len < want) {
		n = read(fd, buf + len, size - 1 - len);
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
		want = (size_t)(end - buf) + 4 +
		    (body == NULL ? 0 : strtoul(body + 16, NULL, 10));
	}
	if (forget_ms != 0 && *rests_us != 0 &&
	    g_get_monotonic_time() - *rests_us >= forget_ms * 1000) {
		reset(fd);
		return false;
	}
	id = strstr(buf, ID ": ");
	if (id != NULL)
		(void)sscanf(id + strlen(ID ": "), "%127s", name);
	g_mutex_lock(&lock);
	runs++;
	(void)g_strlcpy(last_head, buf, sizeof(last_head));
	g_mutex_unlock(&lock);
	if (!behave(f, fd, buf, name))
		return false;
	*rests_us = g_get_monotonic_time();
	return true;
}

struct conn {
	struct fake *f;
	int fd;
};

static gint connections; /* open at the backend servers */

static gpointer
serve(gpointer arg)
{
	struct conn *c = arg;
	char *buf = g_malloc(1 << 20);
	int64_t rests_us = 0;

	(void)g_atomic_int_add(&connections, 1);
	while (serve_one(c->f, c->fd, buf, 1 << 20, &rests_us))
		;
	(void)g_atomic_int_add(&connections, -1);
	g_free(buf);
	g_free(c);
	return NULL;
}

static gpointer
accept_all(gpointer arg)
{
	struct fake *f = arg;
	struct conn *c;
	int fd;

	while ((fd = accept(f->fd, NULL, NULL)) >= 0) {
		c = g_new0(struct conn, 1);
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
	r->parts[0] = (struct dh_route_part){ service, 1 };
}

static struct dh_deployment *
make_deployment(void)
{
	struct dh_deployment *d = dh_deployment_new();
	int i;

	d->version = 1;
	d->header_bytes_max = 2000;
	d->body_bytes_max = 100000;
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
	d->routes = calloc(16, sizeof(*d->routes));
	add_route(d, "/", DH_REPEAT_SAFE, 0);
	add_route(d, "/shed/", DH_REPEAT_NEVER, 0);
	add_route(d, "/unframed-reset/", DH_REPEAT_NEVER, 0);
	add_route(d, "/short/", DH_REPEAT_NEVER, 0);
	add_route(d, "/silent-once/", DH_REPEAT_NEVER, 0);
	add_route(d, "/ok/keyed/", DH_REPEAT_SAFE, 1);
	add_route(d, "/ok/once/", DH_REPEAT_NEVER, 0);
	add_route(d, "/rest/once/", DH_REPEAT_NEVER, 0);
	add_route(d, "/leaving/keyed/", DH_REPEAT_SAFE, 1);
	return d;
}

static uint32_t slots = 4; /* of each backend server */

/* The first of the servers alone, or all; and the owner of the low keys. */
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

			x->uid = (uint32_t)(s * SERVERS + i + 1);
			(void)g_snprintf(x->id, sizeof(x->id), "i-%zu", i);
			x->address.sin_family = AF_INET;
			x->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
			x->address.sin_port = htons(fakes[i].port);
			x->service = (uint32_t)s;
			x->slots = slots;
			x->closed = i >= nservers;
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

static void
start(size_t nservers)
{
	g_autoptr(GError) error = NULL;
	int fd = listen_on(&port);

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
	runs = cancelled = 0;
}

static void
stop(void)
{
	dh_worker_drain(worker, 0, 1);
	dh_worker_free(worker);
}

static int
dial(void)
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

/* Read one answer; its status, 0 if the connection ended or was silent. */
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

static unsigned int
ask(int fd, const char *path, const char *extra, char *buf)
{
	g_autofree char *text =
	    g_strdup_printf("GET %s HTTP/1.1\r\nHost: h.example\r\n" ID
			    ": r1\r\nX-Dogwoodhub-Deadline-Ms: 900\r\n%s\r\n",
		path, extra);

	say(fd, text);
	return receive(fd, buf);
}

static unsigned int
ask_once(const char *path, const char *extra, char *buf)
{
	int fd = dial();
	unsigned int status = ask(fd, path, extra, buf);

	(void)close(fd);
	return status;
}

static char buf[ANSWER_MAX];

static void
test_passes_request_and_answer_on(void)
{
	int fd;

	start(1);
	fd = dial();
	CU_ASSERT_EQUAL(ask(fd, "/ok/a?b=c", "X-Own: v\r\n", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "\r\n\r\nbody"));
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, STAMP));
	CU_ASSERT_PTR_NOT_NULL(strstr(last_head, "GET /ok/a?b=c HTTP/1.1"));
	CU_ASSERT_PTR_NOT_NULL(strstr(last_head, "X-Own: v\r\n"));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(last_head, "X-Dogwoodhub-Target-Instance: i-0\r\n"));
	/* The same connection again, and the time that is left. */
	CU_ASSERT_EQUAL(ask(fd, "/ok/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(last_head, "X-Dogwoodhub-Deadline-Ms: 8"));
	(void)close(fd);
	stop();
}

static void
test_own_answers(void)
{
	int fd;

	start(1);
	CU_ASSERT_EQUAL(ask_once("/ok/", "Host: second\r\n", buf), 400);
	CU_ASSERT_EQUAL(ask_once("/ok/keyed/", "", buf), 400);
	fd = dial();
	say(fd, "GET /ok/ HTTP/1.1\r\n" ID ": r\r\n\r\n");
	CU_ASSERT_EQUAL(receive(fd, buf), 400);
	/* One answer, not two. */
	CU_ASSERT_PTR_NULL(strstr(buf + 5, "HTTP/1.1"));
	(void)close(fd);
	fd = dial();
	say(fd,
	    "GET /ok/ HTTP/1.1\r\nHost: other.example\r\n" ID ": r\r\n\r\n");
	CU_ASSERT_EQUAL(receive(fd, buf), 404);
	(void)close(fd);
	CU_ASSERT_EQUAL(runs, 0);
	stop();
}

static void
test_half_sent_heads_are_closed(void)
{
	int64_t began = dh_clock_ms();
	int fds[50];
	size_t i;

	start(1);
	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = dial();
		say(fds[i], "GET /ok/ HTTP/1.1\r\nHos");
	}
	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		CU_ASSERT_EQUAL(receive(fds[i], buf), 408);
		(void)close(fds[i]);
	}
	CU_ASSERT_TRUE(dh_clock_ms() - began < 1500);
	stop();
}

static void
test_spoiled_answers(void)
{
	start(2);
	/* Skipped, or read again from the other; never passed on. */
	CU_ASSERT_EQUAL(ask_once("/foreign/", "", buf), 200);
	CU_ASSERT_PTR_NULL(strstr(buf, "bad"));
	CU_ASSERT_EQUAL(ask_once("/extra/", "", buf), 200);
	CU_ASSERT_EQUAL(ask_once("/ok/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "\r\n\r\nbody"));
	CU_ASSERT_EQUAL(ask_once("/nostamp/", "", buf), 502);
	CU_ASSERT_EQUAL(ask_once("/garbage/", "", buf), 502);
	CU_ASSERT_EQUAL(ask_once("/unframed/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "\r\n\r\nbody"));
	stop();
}

/* What may have run once is not sent again, nor called not run. */
static void
test_unrepeatable_request_is_sent_once(void)
{
	start(2);
	CU_ASSERT_EQUAL(ask_once("/short/", "", buf), 502);
	CU_ASSERT_EQUAL(runs, 1);
	/* Reset right after its last bytes: not whole. */
	CU_ASSERT_EQUAL(ask_once("/unframed-reset/", "", buf), 502);
	CU_ASSERT_EQUAL(runs, 2);
	stop();
}

static uint64_t
retries(void)
{
	return dh_counter_value(dh_counter_get("dh_gateway_retries_total", ""));
}

/* Backend servers forget connections that rest: what must not be repeated is
 * sent on none of them, and what is reset there is repeated, and teaches. */
static void
test_forgotten_connections(void)
{
	uint64_t before;
	int fd, i;

	start(1);
	fd = dial();
	forget_ms = 300;
	CU_ASSERT_EQUAL(ask(fd, "/ok/", "", buf), 200);
	(void)usleep(400000);
	CU_ASSERT_EQUAL(ask(fd, "/ok/once/", "", buf), 200);
	(void)usleep(400000);
	before = retries();
	CU_ASSERT_EQUAL(ask(fd, "/ok/", "", buf), 200);
	CU_ASSERT_EQUAL(retries(), before + 1);
	/* From now on no rested connection is tried. */
	for (i = 0; i < 3; i++) {
		(void)usleep(400000);
		CU_ASSERT_EQUAL(ask(fd, "/ok/", "", buf), 200);
	}
	CU_ASSERT_EQUAL(retries(), before + 1);
	/* Those that are not used again are closed. */
	for (i = 0; i < 3; i++) {
		(void)usleep(300000);
		CU_ASSERT_EQUAL(ask(fd, "/ok/once/", "", buf), 200);
	}
	(void)usleep(50000);
	CU_ASSERT_EQUAL(g_atomic_int_get(&connections), 1);
	forget_ms = 0;
	(void)close(fd);
	stop();
}

static void
test_not_run_is_sent_elsewhere(void)
{
	int i;

	start(2);
	for (i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(ask_once("/shed/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "X-From: 1"));
	publish(1, true);
	CU_ASSERT_EQUAL(ask_once("/shed/", "", buf), 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Retry-After: 0."));
	CU_ASSERT_PTR_NULL(strstr(buf, STAMP));
	stop();
}

static void
say_request(int fd, const char *path, const char *id, const char *extra)
{
	g_autofree char *text =
	    g_strdup_printf("GET %s HTTP/1.1\r\nHost: h.example\r\n" ID
			    ": %s\r\nX-Dogwoodhub-Deadline-Ms: 900\r\n%s\r\n",
		path, id, extra);

	say(fd, text);
}

/* Wait for what the backend servers have seen to reach n, but not for ever. */
static void
wait_until(const int *seen, int n)
{
	int i, now = 0;

	for (i = 0; i < 400 && now < n; i++) {
		(void)usleep(5000);
		g_mutex_lock(&lock);
		now = *seen;
		g_mutex_unlock(&lock);
	}
}

/* Requests that a caller sends before it has the first answer: at work side by
 * side, answered in order. */
static void
test_requests_sent_ahead(void)
{
	char id[32];
	int fd, i;

	start(1);
	/* Each is answered once all are at work. */
	together = 0;
	fd = dial();
	for (i = 0; i < TOGETHER; i++) {
		(void)g_snprintf(id, sizeof(id), "r%d", i);
		say_request(fd, "/together/", id, "");
	}
	for (i = 0; i < TOGETHER; i++) {
		CU_ASSERT_EQUAL(receive(fd, buf), 200);
		(void)g_snprintf(id, sizeof(id), ID ": r%d\r\n", i);
		CU_ASSERT_PTR_NOT_NULL(strstr(buf, id));
	}
	(void)close(fd);
	/* The last of them is done first. */
	fd = dial();
	say_request(fd, "/rest/long/", "r0", "");
	say_request(fd, "/ok/", "r1", "");
	for (i = 0; i < 2; i++) {
		CU_ASSERT_EQUAL(receive(fd, buf), 200);
		(void)g_snprintf(id, sizeof(id), ID ": r%d\r\n", i);
		CU_ASSERT_PTR_NOT_NULL(strstr(buf, id));
	}
	(void)close(fd);
	stop();
}

/* One that must not repeat is not passed on before those ahead of it are
 * answered; nor is anything behind an answer that closes. */
static void
test_requests_behind_others_wait(void)
{
	int fd;

	start(1);
	beside_rest = false;
	fd = dial();
	say_request(fd, "/rest/", "r0", "");
	say_request(fd, "/rest/once/", "r1", "");
	say_request(fd, "/ok/", "r2", "");
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, ID ": r2\r\n"));
	CU_ASSERT_FALSE(beside_rest);
	CU_ASSERT_EQUAL(runs, 3);
	(void)close(fd);
	runs = 0;
	fd = dial();
	say_request(fd, "/ok/", "r0", "Connection: close\r\n");
	say_request(fd, "/ok/", "r1", "");
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Connection: close"));
	CU_ASSERT_EQUAL(receive(fd, buf), 0);
	CU_ASSERT_EQUAL(runs, 1);
	(void)close(fd);
	/* What is no request is answered last. */
	fd = dial();
	say_request(fd, "/rest/", "r0", "");
	say(fd, "nonsense\r\n\r\n");
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_EQUAL(receive(fd, buf), 400);
	(void)close(fd);
	/* A caller that leaves takes all of them along. */
	cancelled = runs = 0;
	fd = dial();
	say_request(fd, "/silent/", "r0", "");
	say_request(fd, "/silent/", "r1", "");
	wait_until(&runs, 2);
	reset(fd);
	wait_until(&cancelled, 2);
	CU_ASSERT_EQUAL(cancelled, 2);
	stop();
}

/* A VM that stops answers all that it has passed on, and closes with the last
 * of them. */
static void
test_drain_with_requests_sent_ahead(void)
{
	int fd;

	start(1);
	fd = dial();
	say_request(fd, "/rest/long/", "r0", "");
	say_request(fd, "/rest/", "r1", "");
	wait_until(&runs, 2);
	dh_worker_drain(worker, 100, 3000);
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_PTR_NULL(strstr(buf, "Connection: close"));
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Connection: close"));
	(void)close(fd);
	dh_worker_free(worker);
}

struct asker {
	const char *path;
	unsigned int status;
	GThread *thread;
};

static gpointer
ask_in_thread(gpointer arg)
{
	struct asker *a = arg;
	g_autofree char *text = g_malloc(ANSWER_MAX);

	a->status = ask_once(a->path, "", text);
	return NULL;
}

/* Backend servers whose bytes never end: the connections are closed, memory
 * stays within its bound, and other callers are served meanwhile. */
static void
test_answers_without_end(void)
{
	static const char *const paths[] = { "/endless-head/", "/endless-body/",
		"/endless-chunks/", "/endless-head/slow/",
		"/endless-body/slow/", "/endless-chunks/slow/" };
	struct asker askers[48];
	const struct dh_counter *over, *room;
	uint64_t over_before, most = 0;
	size_t i;

	settings.memory_mb = 32;
	slots = G_N_ELEMENTS(askers);
	start(1);
	over = dh_counter_get("dh_gateway_room_over_total", "");
	room = dh_counter_get("dh_gateway_room_bytes", "");
	over_before = dh_counter_value(over);
	for (i = 0; i < G_N_ELEMENTS(askers); i++) {
		askers[i].path = paths[i % G_N_ELEMENTS(paths)];
		askers[i].thread =
		    g_thread_new("ask", ask_in_thread, &askers[i]);
	}
	for (i = 0; i < 20; i++) {
		CU_ASSERT_EQUAL(ask_once("/ok/keyed/",
				    "X-Dogwoodhub-Shard-Key: 7\r\n", buf),
		    200);
		most = MAX(most, dh_counter_value(room));
		(void)usleep(20000);
	}
	for (i = 0; i < G_N_ELEMENTS(askers); i++) {
		(void)g_thread_join(askers[i].thread);
		CU_ASSERT_TRUE(
		    askers[i].status == 502 || askers[i].status == 504);
	}
	for (i = 0; i < 100; i++) {
		(void)usleep(20000);
		g_mutex_lock(&lock);
		if (cancelled >= (int)G_N_ELEMENTS(askers))
			i = 100;
		g_mutex_unlock(&lock);
	}
	CU_ASSERT_TRUE(cancelled >= (int)G_N_ELEMENTS(askers));
	CU_ASSERT_TRUE(dh_counter_value(over) > over_before);
	/* A third of the memory, and what one turn of reads may add. */
	CU_ASSERT_TRUE(most < (size_t)16 << 20);
	printf("%.1f MB held, %d closed ... ", (double)most / 1e6, cancelled);
	stop();
	settings.memory_mb = 256;
	slots = 4;
}

/* Callers' bodies that are too much together: some are refused, and have not
 * run; others are served. */
static void
test_bodies_beyond_the_memory(void)
{
	static char part[65536];
	unsigned int status;
	int fds[160], refused = 0;
	size_t i, n;

	settings.memory_mb = 32;
	start(1);
	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = dial();
		say(fds[i],
		    "POST /ok/ HTTP/1.1\r\nHost: h.example\r\n" ID
		    ": r\r\nContent-Length: 99999\r\n\r\n");
		for (n = 0; n < sizeof(part); n += 16384)
			(void)send(fds[i], part, 16384, MSG_NOSIGNAL);
	}
	CU_ASSERT_EQUAL(ask_once("/ok/", "", buf), 200);
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
	stop();
	settings.memory_mb = 256;
}

/* One that refuses with a time is sent nothing until then, though it answers
 * others well; where it is the only one, callers are refused at once. */
static void
test_pause_of_a_backend_server(void)
{
	int64_t began_us;
	int before;

	start(1);
	CU_ASSERT_EQUAL(ask_once("/pause/", "", buf), 503);
	CU_ASSERT_EQUAL(runs, 1);
	began_us = g_get_monotonic_time();
	before = runs;
	while (g_get_monotonic_time() - began_us < 1000000) {
		CU_ASSERT_EQUAL(ask_once("/ok/", "", buf), 503);
		CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Retry-After: "));
		(void)usleep(50000);
	}
	CU_ASSERT_EQUAL(runs, before);
	(void)usleep(1700000);
	CU_ASSERT_EQUAL(ask_once("/ok/", "", buf), 200);
	stop();
}

/* One that says in an answer that it leaves is sent nothing new in this life,
 * whatever its entry says; the owner of keys until they can have moved. */
static void
test_leaving_backend_server(void)
{
	struct dh_worker_report *r = NULL;
	int i;

	settings.drain_ms = 2500;
	start(1);
	CU_ASSERT_EQUAL(ask_once("/leaving/", "", buf), 200);
	CU_ASSERT_EQUAL(ask_once("/ok/", "", buf), 503);
	CU_ASSERT_EQUAL(runs, 1);
	/* Another takes its place. */
	publish(2, true);
	CU_ASSERT_EQUAL(ask_once("/ok/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "X-From: 1"));
	CU_ASSERT_EQUAL(
	    ask_once("/leaving/keyed/", "X-Dogwoodhub-Shard-Key: 7\r\n", buf),
	    200);
	CU_ASSERT_EQUAL(
	    ask_once("/ok/keyed/", "X-Dogwoodhub-Shard-Key: 7\r\n", buf), 200);
	(void)usleep(2100000);
	CU_ASSERT_EQUAL(
	    ask_once("/ok/keyed/", "X-Dogwoodhub-Shard-Key: 7\r\n", buf), 503);
	for (i = 0; i < 10 && (r == NULL || r->nleaving == 0); i++) {
		g_free(r);
		(void)usleep(100000);
		r = dh_worker_report(worker);
	}
	CU_ASSERT_TRUE(r != NULL && r->nleaving > 0);
	g_free(r);
	stop();
	settings.drain_ms = 0;
}

static void
test_no_answer_ends_at_the_deadline(void)
{
	int64_t began;

	start(1);
	began = dh_clock_ms();
	CU_ASSERT_EQUAL(ask_once("/silent-once/", "", buf), 504);
	CU_ASSERT_TRUE(dh_clock_ms() - began < 1000);
	CU_ASSERT_TRUE(dh_clock_ms() - began > 800);
	CU_ASSERT_EQUAL(runs, 1);
	stop();
}

static void
test_caller_leaves(void)
{
	int fd;

	start(1);
	fd = dial();
	say(fd,
	    "GET /silent/ HTTP/1.1\r\nHost: h.example\r\n" ID ": r9\r\n\r\n");
	(void)usleep(100000);
	CU_ASSERT_EQUAL(runs, 1);
	(void)close(fd);
	(void)usleep(200000);
	CU_ASSERT_EQUAL(cancelled, 1);
	stop();
}

static void
test_key_waits_for_its_owner(void)
{
	int64_t began;
	int fd;

	start(1);
	CU_ASSERT_EQUAL(
	    ask_once("/ok/keyed/", "X-Dogwoodhub-Shard-Key: 5\r\n", buf), 200);
	publish(1, false);
	fd = dial();
	say(fd,
	    "GET /ok/keyed/ HTTP/1.1\r\nHost: h.example\r\n" ID
	    ": r\r\nX-Dogwoodhub-Shard-Key: 5\r\n\r\n");
	(void)usleep(100000);
	publish(1, true);
	CU_ASSERT_EQUAL(receive(fd, buf), 200);
	(void)close(fd);
	/* An owner that never comes. */
	began = dh_clock_ms();
	CU_ASSERT_EQUAL(
	    ask_once("/ok/keyed/", "X-Dogwoodhub-Shard-Key: 5000\r\n", buf),
	    503);
	CU_ASSERT_TRUE(dh_clock_ms() - began < 400);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Retry-After: "));
	stop();
}

static void
test_drain_answers_and_closes(void)
{
	int fd, idle;

	start(1);
	fd = dial();
	idle = dial();
	CU_ASSERT_EQUAL(ask(fd, "/ok/", "", buf), 200);
	CU_ASSERT_PTR_NULL(strstr(buf, "Connection: close"));
	dh_worker_drain(worker, 300, 2000);
	(void)usleep(50000);
	CU_ASSERT_EQUAL(ask(fd, "/ok/", "", buf), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Connection: close"));
	(void)close(fd);
	/* One that says nothing is closed after the quiet time. */
	CU_ASSERT_EQUAL(read(idle, buf, 1), 0);
	(void)close(idle);
	(void)usleep(300000);
	CU_ASSERT_TRUE(dh_worker_done(worker));
	/* The control thread may not have seen that yet. */
	publish(1, true);
	dh_worker_drain(worker, 300, 2000);
	dh_worker_free(worker);
}

/* A backend server that never answers: the caller hears before the end. */
static void
test_drain_answers_what_is_left(void)
{
	int fd;

	start(1);
	fd = dial();
	say(fd,
	    "GET /silent-once/ HTTP/1.1\r\nHost: h.example\r\n" ID
	    ": r7\r\n\r\n");
	(void)usleep(50000);
	dh_worker_drain(worker, 100, 600);
	CU_ASSERT_EQUAL(receive(fd, buf), 504);
	(void)close(fd);
	dh_worker_free(worker);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "pass on", test_passes_request_and_answer_on },
		{ "own answers", test_own_answers },
		{ "half-sent heads", test_half_sent_heads_are_closed },
		{ "spoiled answers", test_spoiled_answers },
		{ "unrepeatable", test_unrepeatable_request_is_sent_once },
		{ "not run", test_not_run_is_sent_elsewhere },
		{ "answers without end", test_answers_without_end },
		{ "bodies", test_bodies_beyond_the_memory },
		{ "sent ahead", test_requests_sent_ahead },
		{ "behind others", test_requests_behind_others_wait },
		{ "drain, sent ahead", test_drain_with_requests_sent_ahead },
		{ "pause", test_pause_of_a_backend_server },
		{ "leaving", test_leaving_backend_server },
		{ "no answer", test_no_answer_ends_at_the_deadline },
		{ "caller leaves", test_caller_leaves },
		{ "forgotten connections", test_forgotten_connections },
		{ "key waits", test_key_waits_for_its_owner },
		{ "drain", test_drain_answers_and_closes },
		{ "drain to the end", test_drain_answers_what_is_left },
		CU_TEST_INFO_NULL,
	};
	int i;

	deployment = dh_deployment_box(make_deployment());
	for (i = 0; i < (int)SERVERS; i++) {
		fakes[i].index = i;
		fakes[i].fd = listen_on(&fakes[i].port);
		g_thread_unref(g_thread_new("fake", accept_all, &fakes[i]));
	}
	return cunit_main("worker", tests);
}
