/* Tests of the data path: which requests and answers the router forwards, and
 * which requests it refuses.  test_datapath_faults.c tests failures of backend
 * servers and callers. */
#include <inttypes.h>

#include "router/lane.h"

#include "datapath_fake.h"

#include "cunit_main.h"

static struct fixture fx;
static struct reply r;

static void
test_forwards(void)
{
	fixture_start(&fx);
	send_request(&fx, &r,
	    "POST /web/a/echo?x=%%20y HTTP/1.1\r\n" HOST
	    "Dh-Request-Id: forged\r\nX-Mine: 1\r\nTE: trailers\r\n"
	    "Content-Length: 5\r\n\r\nhello");
	CU_ASSERT(r.complete);
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT(has_header(&r, "Dh-Outcome: done"));
	CU_ASSERT(has_header(&r, "X-Own: kept"));
	CU_ASSERT(g_str_has_prefix(r.body, "POST /web/a/echo?x=%20y 5 "));
	CU_ASSERT(strstr(r.body, "\nX-Mine: 1\n") != NULL);
	CU_ASSERT(strstr(r.body, "forged") == NULL);
	CU_ASSERT(strstr(r.body, "\nTE:") == NULL);
	CU_ASSERT(strstr(r.body, "\nDh-Attempt: 1\n") != NULL);
	fixture_stop(&fx);
}

static void
test_keyed(void)
{
	fixture_start(&fx);
	send_request(&fx, &r, GET("/feed/a%%2fb/echo"));
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT(strstr(r.body, "GET /feed/a%2fb/echo ") != NULL);
	CU_ASSERT(strstr(r.body, "\nDh-Group: feed/0\n") != NULL);
	CU_ASSERT(strstr(r.body, "\nDh-Fence: 7.4") != NULL);
	send_request(&fx, &r, GET("/orphan/key"));
	CU_ASSERT(is_router_answer(&r, 503, "not-run", "no-owner"));
	CU_ASSERT(has_header(&r, "Retry-After: 1"));
	fixture_stop(&fx);
}

/* A malformed request is refused and no connection to a backend server is
 * opened for it. */
static void
test_refuses_malformed(void)
{
	static const char *const bad[] = {
		"POST /web/echo HTTP/1.1\r\n" HOST
		"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"POST /web/echo HTTP/1.1\r\n" HOST
		"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"POST /web/echo HTTP/1.1\r\n" HOST
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\n\r\n",
		"POST /web/echo HTTP/1.1\r\n" HOST
		"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
		"0\r\n\r\n",
		"POST /web/echo HTTP/1.1\r\n" HOST
		"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"POST /web/echo HTTP/1.1\r\n" HOST
		"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"POST /web/echo HTTP/1.1\r\n" HOST "Content-Length: -1\r\n\r\n",
		"POST /web/echo HTTP/1.1\r\n" HOST
		"Content-Length: 3x\r\n\r\nabc",
		"POST /web/echo HTTP/1.1\r\n" HOST
		"Content-Length : 3\r\n\r\nabc",
		"GET /web/echo HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n",
		"GET /feed HTTP/1.1\r\n" HOST "\r\n",
		"GET /feed//echo HTTP/1.1\r\n" HOST "\r\n",
		"GET /feed/%zz/echo HTTP/1.1\r\n" HOST "\r\n",
		"GET /feed/%0/echo HTTP/1.1\r\n" HOST "\r\n",
		"GET /feed/%00/echo HTTP/1.1\r\n" HOST "\r\n",
		"GET / HTTP/1.1\r\n" HOST "\r\n",
		"POST /pay/echo HTTP/1.1\r\n" HOST "Content-Length: 0\r\n\r\n",
		"POST /pay/echo HTTP/1.1\r\n" HOST
		"Idempotency-Key:\r\nContent-Length: 0\r\n\r\n",
		"GET /web/echo HTTP/1.1\r\n\r\n",
		"garbage\r\n\r\n",
	};
	size_t i;

	fixture_start(&fx);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		send_request(&fx, &r, "%s", bad[i]);
		if (r.status != 0 && (r.status < 400 || r.status >= 500))
			printf("case %zu: %u\n", i, r.status);
		CU_ASSERT(r.status == 0 || (r.status >= 400 && r.status < 500));
	}
	CU_ASSERT_EQUAL(fx.fake.opened, 0);
	send_request(&fx, &r, GET("/nobody/echo"));
	CU_ASSERT(is_router_answer(&r, 404, "not-run", "no-service"));
	send_request(&fx, &r, GET("/web/echo"));
	CU_ASSERT_EQUAL(r.status, 200);
	fixture_stop(&fx);
}

static void
test_refuses_long_header(void)
{
	g_autofree char *pad = g_strnfill(64 << 10, 'x');

	fixture_start(&fx);
	send_request(
	    &fx, &r, "GET /web/echo HTTP/1.1\r\n" HOST "X: %s\r\n\r\n", pad);
	CU_ASSERT(r.status == 0 || (r.status >= 400 && r.status < 500));
	CU_ASSERT_EQUAL(fx.fake.opened, 0);
	send_request(&fx, &r, GET("/web/echo"));
	CU_ASSERT_EQUAL(r.status, 200);
	fixture_stop(&fx);
}

static void
test_slow_caller(void)
{
	static const char text[] = "POST /web/echo HTTP/1.1\r\n" HOST
				   "Content-Length: 6\r\n\r\nslowly";
	struct caller c;
	size_t i;

	fixture_start(&fx);
	caller_open(&c, fx.port);
	for (i = 0; i < sizeof(text) - 1; i++) {
		fake_send(c.fd, text + i, 1);
		if (i % 16 == 0)
			g_usleep(1000);
	}
	caller_read(&c, &r, false);
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT(g_str_has_prefix(r.body, "POST /web/echo 6 "));
	caller_close(&c);
	fixture_stop(&fx);
}

static void
test_chunks(void)
{
	uint64_t want = XXH64("hello world", 11, 0);
	char line[64];

	fixture_start(&fx);
	send_request(&fx, &r,
	    "POST /web/echo HTTP/1.1\r\n" HOST
	    "Transfer-Encoding: chunked\r\n\r\n"
	    "5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nX-T: t\r\n\r\n");
	g_snprintf(line, sizeof(line), "POST /web/echo 11 %" PRIx64 "\n", want);
	CU_ASSERT(r.complete);
	CU_ASSERT(g_str_has_prefix(r.body, line));
	send_request(&fx, &r,
	    "POST /web/echo?e HTTP/1.1\r\n" HOST
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	CU_ASSERT(g_str_has_prefix(r.body, "POST /web/echo?e 0 "));
	send_request(&fx, &r, GET("/web/chunks"));
	CU_ASSERT(r.complete);
	CU_ASSERT_STRING_EQUAL(r.body, "all of it");
	send_request(&fx, &r, GET("/web/to-end"));
	CU_ASSERT(r.complete);
	CU_ASSERT_STRING_EQUAL(r.body, "to the end");
	fixture_stop(&fx);
}

static void
test_bodyless(void)
{
	fixture_start(&fx);
	send_request(&fx, &r, "HEAD /web/echo HTTP/1.1\r\n" HOST "\r\n");
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT(strstr(r.head, "\nContent-Length: 0\n") == NULL);
	CU_ASSERT(strstr(r.head, "\nContent-Length: ") != NULL);
	send_request(&fx, &r, GET("/web/none"));
	CU_ASSERT_EQUAL(r.status, 204);
	send_request(&fx, &r, GET("/web/same"));
	CU_ASSERT_EQUAL(r.status, 304);
	CU_ASSERT(has_header(&r, "ETag: \"a\""));
	send_request(&fx, &r, GET("/web/early"));
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT_STRING_EQUAL(r.body, "late");
	CU_ASSERT(strstr(r.head, "Link") == NULL);
	send_request(&fx, &r, GET("/web/fault"));
	CU_ASSERT_EQUAL(r.status, 500);
	CU_ASSERT(has_header(&r, "Dh-Outcome: done"));
	CU_ASSERT_EQUAL(fake_seen(&fx.fake, "/web/fault"), 1);
	fixture_stop(&fx);
}

static void
test_continue(void)
{
	struct caller c;

	fixture_start(&fx);
	caller_open(&c, fx.port);
	fake_send_text(c.fd,
	    "POST /web/echo HTTP/1.1\r\n" HOST
	    "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
	caller_read(&c, &r, true);
	CU_ASSERT_EQUAL(r.status, 100);
	fake_send_text(c.fd, "body");
	caller_read(&c, &r, false);
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT(g_str_has_prefix(r.body, "POST /web/echo 4 "));
	caller_close(&c);
	fixture_stop(&fx);
}

static void
test_pipelined(void)
{
	struct caller c;

	fixture_start(&fx);
	caller_open(&c, fx.port);
	fake_send_text(c.fd,
	    "POST /web/echo?1 HTTP/1.1\r\n" HOST
	    "Content-Length: 3\r\n\r\none" GET("/web/echo?2") GET("/nobody/x")
		GET("/web/echo?3"));
	caller_read(&c, &r, false);
	CU_ASSERT(g_str_has_prefix(r.body, "POST /web/echo?1 3 "));
	caller_read(&c, &r, false);
	CU_ASSERT(g_str_has_prefix(r.body, "GET /web/echo?2 0 "));
	caller_read(&c, &r, false);
	CU_ASSERT_EQUAL(r.status, 404);
	caller_read(&c, &r, false);
	CU_ASSERT(g_str_has_prefix(r.body, "GET /web/echo?3 0 "));
	caller_close(&c);
	fixture_stop(&fx);
}

/* Each of many concurrent requests gets its own answer when the backend server
 * answers in another order. */
static void
test_out_of_order(void)
{
	enum { CALLERS = 16 };
	struct caller c[CALLERS];
	g_autofree char *want = NULL;
	unsigned long n;
	char *path;
	int i;

	/* A backend server's concurrency limit starts at one request. */
	extra_web_backends = EXTRA_WEB_MAX;
	fixture_start(&fx);
	extra_web_backends = 0;
	for (i = 0; i < CALLERS; i++) {
		g_autofree char *text = g_strdup_printf(
		    "GET /web/hold?%d HTTP/1.1\r\n" HOST "\r\n", i);

		caller_open(&c[i], fx.port);
		fake_send_text(c[i].fd, text);
	}
	for (i = 0; i < CALLERS; i++) {
		path = fake_wait_held(&fx.fake);
		if (path == NULL) {
			printf("no request is held after %d\n", i);
			for (n = 0; n < CALLERS; n++) {
				char b[600] = { 0 };
				if (recv(c[n].fd, b, 599, MSG_DONTWAIT) > 0)
					printf("caller %lu: %s\n", n, b);
			}
		}
		CU_ASSERT_PTR_NOT_NULL_FATAL(path);
		n = strtoul(strchr(path, '?') + 1, NULL, 10);
		fake_release(&fx.fake, path);
		caller_read(&c[n], &r, false);
		g_free(want);
		want = g_strdup_printf("GET %s 0 ", path);
		CU_ASSERT(r.complete && g_str_has_prefix(r.body, want));
		if (r.status != 200)
			printf(
			    "request %d: status %u%s\n", i, r.status, r.head);
		CU_ASSERT_EQUAL(fake_seen(&fx.fake, path), 1);
		caller_close(&c[n]);
		g_free(path);
	}
	fixture_stop(&fx);
}

static uint64_t
peak_kb(void)
{
	g_autofree char *text = NULL;
	const char *at;

	g_assert(g_file_get_contents("/proc/self/status", &text, NULL, NULL));
	at = strstr(text, "VmHWM:");
	return g_ascii_strtoull(at + 6, NULL, 10);
}

/* The buffers bound the memory that a long body takes: 64 MiB in each direction
 * raise the peak by less than 8 MiB. */
static void
test_large(void)
{
	static char block[FAKE_BLOCK];
	g_autofree char *want = NULL;
	XXH64_state_t hash;
	struct caller c;
	uint64_t before;
	size_t n;

	fixture_start(&fx);
	send_request(&fx, &r, GET("/web/echo"));
	before = peak_kb();
	send_request(&fx, &r, GET("/web/big"));
	CU_ASSERT(r.complete);
	CU_ASSERT_EQUAL(r.bytes, FAKE_BIG);
	caller_open(&c, fx.port);
	fake_send_text(c.fd,
	    "POST /web/echo HTTP/1.1\r\n" HOST
	    "Content-Length: 67108864\r\n\r\n");
	XXH64_reset(&hash, 0);
	for (n = 0; n < FAKE_BIG; n += sizeof(block)) {
		memset(block, (int)(n / sizeof(block)), sizeof(block));
		fake_send(c.fd, block, sizeof(block));
		XXH64_update(&hash, block, sizeof(block));
	}
	caller_read(&c, &r, false);
	want = g_strdup_printf(
	    "POST /web/echo %u %" PRIx64 "\n", FAKE_BIG, XXH64_digest(&hash));
	CU_ASSERT(r.complete && g_str_has_prefix(r.body, want));
	caller_close(&c);
	CU_ASSERT(peak_kb() - before < 8 << 10);
	fixture_stop(&fx);
}

static bool
connects(uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok = connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;

	(void)close(fd);
	return ok;
}

static void
test_drain(void)
{
	struct caller c;
	char *path;
	int tries;

	fixture_start(&fx);
	caller_open(&c, fx.port);
	fake_send_text(c.fd, GET("/web/hold"));
	path = fake_wait_held(&fx.fake);
	CU_ASSERT_PTR_NOT_NULL_FATAL(path);
	dh_router_drain(fx.router);
	for (tries = 0; connects(fx.port) && tries < 20000; tries++)
		g_usleep(1000);
	CU_ASSERT(!connects(fx.port));
	CU_ASSERT(!dh_router_idle(fx.router));
	fake_release(&fx.fake, path);
	caller_read(&c, &r, false);
	CU_ASSERT(r.complete && r.status == 200);
	for (tries = 0; !dh_router_idle(fx.router) && tries < 20000; tries++)
		g_usleep(1000);
	CU_ASSERT(dh_router_idle(fx.router));
	caller_close(&c);
	g_free(path);
	fixture_stop(&fx);
}

/* Request ids differ between VMs and lanes that start in the same millisecond.
 */
static void
test_request_ids_differ(void)
{
	uint64_t a = dh_lane_id_prefix("v1", 1796344382000, 0);

	CU_ASSERT_NOT_EQUAL(a, dh_lane_id_prefix("v2", 1796344382000, 0));
	CU_ASSERT_NOT_EQUAL(a, dh_lane_id_prefix("v1", 1796344382000, 1));
	CU_ASSERT_NOT_EQUAL(a, dh_lane_id_prefix("v1", 1796344382001, 0));
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "forwards", test_forwards },
		{ "keyed", test_keyed },
		{ "refuses malformed", test_refuses_malformed },
		{ "refuses long header", test_refuses_long_header },
		{ "slow caller", test_slow_caller },
		{ "chunks", test_chunks },
		{ "bodyless", test_bodyless },
		{ "continue", test_continue },
		{ "pipelined", test_pipelined },
		{ "out of order", test_out_of_order },
		{ "large", test_large },
		{ "drain", test_drain },
		{ "request ids", test_request_ids_differ },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("datapath", tests);
}
