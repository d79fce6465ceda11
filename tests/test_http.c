/*
 * The client of the store and of orders, against servers whose answers do not
 * end, and servers that end connections without an answer.
 */
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/clock.h"
#include "base/http.h"
#include "tests/cunit_main.h"
#include "tests/scripted_server.h"

#define TIMEOUT_MS 4000
/* More than any answer may have. */
#define SENT_MAX ((size_t)8 << 20)

struct endless_server {
	int fd;
	uint16_t port;
	const char *begin; /* sent once */
	const char *part; /* sent again and again, with a number */
	size_t sent;
};

static gpointer
send_endlessly(gpointer arg)
{
	struct endless_server *s = arg;
	int fd = accept(s->fd, NULL, NULL);
	char text[512], request[4096];
	size_t i = 0;
	ssize_t n;
	int len;

	if (fd < 0 || read(fd, request, sizeof(request)) <= 0)
		abort();
	n = send(fd, s->begin, strlen(s->begin), MSG_NOSIGNAL);
	while (n > 0) {
		len = g_snprintf(text, sizeof(text), s->part, i++);
		n = send(fd, text, (size_t)len, MSG_NOSIGNAL);
		s->sent += n > 0 ? (size_t)n : 0;
	}
	(void)close(fd);
	return NULL;
}

static void
on_reply(void *arg, const struct dh_http_reply *reply)
{
	CU_ASSERT_NOT_EQUAL(reply->result, CURLE_OK);
	*(bool *)arg = true;
}

static void
check_endless(const char *begin, const char *part)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	struct endless_server s = { .begin = begin, .part = part };
	g_autofree char *url = NULL;
	struct dh_http_request rq = {
		.method = "POST", .answer_max = 4096, .timeout_ms = TIMEOUT_MS
	};
	int64_t began_ms = dh_clock_ms();
	bool done = false;
	struct dh_http *h;
	GThread *thread;
	uv_loop_t loop;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s.fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
	    bind(s.fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(s.fd, 4), 0);
	CU_ASSERT_EQUAL_FATAL(
	    getsockname(s.fd, (struct sockaddr *)&sin, &len), 0);
	thread = g_thread_new("endless", send_endlessly, &s);
	uv_loop_init(&loop);
	h = dh_http_new(&loop);
	url = g_strdup_printf("http://127.0.0.1:%u/", ntohs(sin.sin_port));
	rq.url = url;
	(void)dh_http_fetch(h, &rq, on_reply, &done);
	while (!done && dh_clock_ms() < began_ms + TIMEOUT_MS + 1000) {
		uv_run(&loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
	CU_ASSERT_TRUE(done);
	CU_ASSERT_TRUE(dh_clock_ms() < began_ms + TIMEOUT_MS);
	dh_http_free(h);
	uv_run(&loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
	g_thread_join(thread);
	(void)close(s.fd);
	CU_ASSERT_TRUE(s.sent < SENT_MAX);
}

/* Guards against the memory of an answer whose head does not end: each header
 * is kept until the answer is complete. */
static void
test_endless_head(void)
{
	check_endless("HTTP/1.1 200 OK\r\n", "X-%zu: y\r\n");
}

static void
test_endless_interim_answers(void)
{
	check_endless("", "HTTP/1.1 100 Continue\r\nX-%zu: y\r\n\r\n");
}

static void
test_endless_trailers(void)
{
	check_endless(
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	    "X-%zu: y\r\n");
}

static void
test_endless_body(void)
{
	check_endless("HTTP/1.1 200 OK\r\n\r\n", "body %zu");
}

static void
test_endless_bytes_without_a_line(void)
{
	check_endless("HTTP/1.1 200 OK\r\nX", "%zu");
}

struct exchange {
	bool done, sent;
	long status;
};

static void
on_exchange(void *arg, const struct dh_http_reply *reply)
{
	struct exchange *x = arg;

	x->done = true;
	x->sent = reply->sent;
	x->status = reply->status;
}

/* Sends rq and waits for its end. */
static struct exchange
fetch(struct dh_http *h, struct dh_http_request rq, uint16_t port)
{
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u/", port);
	int64_t end_ms = dh_clock_ms() + TIMEOUT_MS;
	struct exchange x = { .done = false };

	rq.method = "PUT";
	rq.url = url;
	rq.body = "x";
	rq.body_len = 1;
	rq.timeout_ms = TIMEOUT_MS;
	(void)dh_http_fetch(h, &rq, on_exchange, &x);
	while (!x.done && dh_clock_ms() < end_ms) {
		uv_run(dh_http_loop(h), UV_RUN_NOWAIT);
		g_usleep(1000);
	}
	CU_ASSERT_TRUE(x.done);
	return x;
}

/* Sends one request after another to a server that ends its first connection
 * without an answer to the second request.  Returns the second one's end. */
static struct exchange
fetch_twice(const struct dh_http_request *second, struct scripted_server *s)
{
	static const char *const script[] = { HTTP_ANSWER("200 OK"), "",
		HTTP_ANSWER("503 Busy"), NULL };
	struct dh_http_request first = { .method = "PUT" };
	struct exchange x;
	struct dh_http *h;
	uv_loop_t loop;

	scripted_server_start(s, script);
	uv_loop_init(&loop);
	h = dh_http_new(&loop);
	x = fetch(h, first, s->port);
	CU_ASSERT_EQUAL(x.status, 200);
	x = fetch(h, *second, s->port);
	dh_http_free(h);
	uv_run(&loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
	scripted_server_stop(s);
	return x;
}

/* Guards against a request that was carried out, and counts as refused because
 * libcurl has sent it again: only the copy was refused. */
static void
test_request_on_a_connection_that_ends_is_sent_once(void)
{
	struct dh_http_request once = { .send_once = true }, any = { 0 };
	struct scripted_server s;
	struct exchange x = fetch_twice(&once, &s);

	CU_ASSERT_EQUAL(x.status, 0);
	CU_ASSERT_TRUE(x.sent);
	CU_ASSERT_EQUAL(s.requests, 2);
	x = fetch_twice(&any, &s);
	CU_ASSERT_EQUAL(x.status, 503);
	CU_ASSERT_EQUAL(s.requests, 3);
}

/* Guards against a request for one process that reaches another one, which has
 * the address since: it needs a connection that was open before. */
static void
test_request_for_a_kept_connection_opens_none(void)
{
	static const char *const script[] = { HTTP_ANSWER("200 OK"),
		HTTP_ANSWER("200 OK"), NULL };
	struct dh_http_request kept = { .connect_until_ms = dh_clock_ms() };
	struct dh_http_request later = { .connect_until_ms =
					     dh_clock_ms() + TIMEOUT_MS };
	struct scripted_server s;
	struct exchange x;
	struct dh_http *h;
	uv_loop_t loop;

	scripted_server_start(&s, script);
	uv_loop_init(&loop);
	h = dh_http_new(&loop);
	x = fetch(h, kept, s.port);
	CU_ASSERT_EQUAL(x.status, 0);
	CU_ASSERT_FALSE(x.sent);
	CU_ASSERT_EQUAL(g_atomic_int_get(&s.connections), 0);
	CU_ASSERT_EQUAL(fetch(h, later, s.port).status, 200);
	CU_ASSERT_EQUAL(fetch(h, kept, s.port).status, 200);
	/* The connection ends without an answer. */
	x = fetch(h, kept, s.port);
	CU_ASSERT_EQUAL(x.status, 0);
	CU_ASSERT_TRUE(x.sent);
	CU_ASSERT_EQUAL(g_atomic_int_get(&s.connections), 1);
	dh_http_free(h);
	uv_run(&loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
	scripted_server_stop(&s);
}

/* Guards against a late copy of an answer that passes for the next request's,
 * with each later answer for the one after it. */
static void
test_connection_with_unread_bytes_is_not_used(void)
{
	static const char *const script[] = {
		HTTP_ANSWER("200 OK") LATE HTTP_ANSWER("409 Conflict"),
		HTTP_ANSWER("200 OK"), HTTP_ANSWER("201 Created") LATE "H",
		HTTP_ANSWER("202 Accepted") LATE, HTTP_ANSWER("203 Other"), NULL
	};
	struct dh_http_request any = { 0 }, once = { .send_once = true };
	struct dh_http_request kept = { .connect_until_ms = dh_clock_ms() };
	struct scripted_server s;
	struct exchange x;
	struct dh_http *h;
	uv_loop_t loop;

	scripted_server_start(&s, script);
	uv_loop_init(&loop);
	h = dh_http_new(&loop);
	CU_ASSERT_EQUAL(fetch(h, any, s.port).status, 200);
	g_usleep(3 * LATE_US);
	CU_ASSERT_EQUAL(fetch(h, once, s.port).status, 200);
	CU_ASSERT_EQUAL(fetch(h, once, s.port).status, 201);
	CU_ASSERT_EQUAL(g_atomic_int_get(&s.connections), 2);
	g_usleep(3 * LATE_US);
	x = fetch(h, kept, s.port);
	CU_ASSERT_EQUAL(x.status, 0);
	CU_ASSERT_FALSE(x.sent);
	CU_ASSERT_EQUAL(g_atomic_int_get(&s.requests), 3);
	CU_ASSERT_EQUAL(fetch(h, once, s.port).status, 202);
	g_usleep(3 * LATE_US);
	CU_ASSERT_EQUAL(fetch(h, once, s.port).status, 203);
	CU_ASSERT_EQUAL(g_atomic_int_get(&s.connections), 4);
	dh_http_free(h);
	uv_run(&loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
	scripted_server_stop(&s);
}

/* Guards against a late copy of a refusal that passes for the answer to a
 * request that was accepted. */
static void
test_connection_with_a_refusal_is_not_kept(void)
{
	static const char *const script[] = { HTTP_ANSWER("200 OK"),
		"HTTP/1.1 102 Wait\r\n\r\n" HTTP_ANSWER("200 OK"),
		HTTP_ANSWER("409 Conflict"), HTTP_ANSWER("204 None"),
		HTTP_ANSWER("200 OK"), NULL };
	static const long statuses[] = { 200, 200, 409, 204, 200 };
	static const int connections[] = { 1, 1, 1, 2, 3 };
	struct dh_http_request rq = { .keep_after_200_only = true };
	struct scripted_server s;
	struct dh_http *h;
	uv_loop_t loop;
	size_t i;

	scripted_server_start(&s, script);
	uv_loop_init(&loop);
	h = dh_http_new(&loop);
	for (i = 0; i < G_N_ELEMENTS(statuses); i++) {
		CU_ASSERT_EQUAL(fetch(h, rq, s.port).status, statuses[i]);
		CU_ASSERT_EQUAL(
		    g_atomic_int_get(&s.connections), connections[i]);
	}
	dh_http_free(h);
	uv_run(&loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
	scripted_server_stop(&s);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "endless head", test_endless_head },
		{ "endless interim answers", test_endless_interim_answers },
		{ "endless trailers", test_endless_trailers },
		{ "endless body", test_endless_body },
		{ "endless bytes without a line",
		    test_endless_bytes_without_a_line },
		{ "sent once on a connection that ends",
		    test_request_on_a_connection_that_ends_is_sent_once },
		{ "kept connection",
		    test_request_for_a_kept_connection_opens_none },
		{ "connection with unread bytes",
		    test_connection_with_unread_bytes_is_not_used },
		{ "connection with a refusal",
		    test_connection_with_a_refusal_is_not_kept },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("http", tests);
}
