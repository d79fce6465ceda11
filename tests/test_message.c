#include <string.h>

#include "gateway/message.h"
#include "tests/cunit_main.h"

#define HEAD_MAX 300
#define BODY_MAX 20

static enum dh_message_state
feed(struct dh_message *m, const char *text, size_t piece, size_t *left)
{
	enum dh_message_state state = DH_MESSAGE_INCOMPLETE;
	size_t len = strlen(text), at = 0, used, n;

	while (at < len && state == DH_MESSAGE_INCOMPLETE) {
		n = len - at < piece ? len - at : piece;
		state = dh_message_feed(m, text + at, n, &used);
		at += used;
	}
	*left = len - at;
	return state;
}

static enum dh_message_state
parse_request(const char *text)
{
	struct dh_message m;
	enum dh_message_state state, whole;
	size_t left;

	dh_message_init(&m, HTTP_REQUEST, HEAD_MAX, BODY_MAX);
	whole = feed(&m, text, 100000, &left);
	dh_message_reset(&m);
	state = feed(&m, text, 1, &left);
	CU_ASSERT_EQUAL(state, whole);
	dh_message_clear(&m);
	return state;
}

static void
test_chunked_body_and_pipelined_request(void)
{
	static const char text[] =
	    "POST /a/b?q=1 HTTP/1.1\r\nhost: h\r\nX-Empty:\r\n"
	    "Connection: x-own, keep-alive\r\nX-Own: 1\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n"
	    "X-Trailer: t\r\n\r\nGET / HTTP/1.1\r\n";
	struct dh_message m;
	g_autoptr(GString) copy = g_string_new(NULL);
	size_t left;

	dh_message_init(&m, HTTP_REQUEST, HEAD_MAX, BODY_MAX);
	CU_ASSERT_EQUAL(feed(&m, text, 100000, &left), DH_MESSAGE_DONE);
	CU_ASSERT_EQUAL(left, strlen("GET / HTTP/1.1\r\n"));
	CU_ASSERT_STRING_EQUAL(m.target->str, "/a/b?q=1");
	CU_ASSERT_STRING_EQUAL(m.body->str, "abcde");
	CU_ASSERT_STRING_EQUAL(dh_message_header(&m, "HOST"), "h");
	CU_ASSERT_STRING_EQUAL(dh_message_header(&m, "X-Empty"), "");
	dh_message_copy_headers(&m, NULL, copy);
	CU_ASSERT_STRING_EQUAL(copy->str, "host: h\r\nX-Empty: \r\n");
	dh_message_clear(&m);
}

static void
test_request_smuggling_is_rejected(void)
{
	static const char *const bad[] = {
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Content-Length: 4\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nBad Name: 1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n"
		"Upgrade: other\r\n\r\n",
		"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"\x16\x03\x01\x02",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		CU_ASSERT_EQUAL(parse_request(bad[i]), DH_MESSAGE_INVALID);
}

static void
test_limits(void)
{
	g_autofree char *pad = g_strnfill(HEAD_MAX, 'a');
	g_autofree char *head = g_strdup_printf(
	    "GET / HTTP/1.1\r\nHost: h\r\nX-Pad: %s\r\n\r\n", pad);
	g_autofree char *target =
	    g_strdup_printf("GET /%s HTTP/1.1\r\nHost: h\r\n\r\n", pad);

	CU_ASSERT_EQUAL(parse_request(head), DH_MESSAGE_HEAD_TOO_LARGE);
	CU_ASSERT_EQUAL(parse_request(target), DH_MESSAGE_HEAD_TOO_LARGE);
	CU_ASSERT_EQUAL(
	    parse_request("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21"
			  "\r\n\r\n123456789012345678901"),
	    DH_MESSAGE_BODY_TOO_LARGE);
	CU_ASSERT_EQUAL(
	    parse_request("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20"
			  "\r\n\r\n12345678901234567890"),
	    DH_MESSAGE_DONE);
}

/* An answer without a length is complete at the end of the connection; one with
 * a length is complete only if all its bytes have arrived. */
static void
test_end_of_connection(void)
{
	struct dh_message m;
	size_t left;

	dh_message_init(&m, HTTP_RESPONSE, HEAD_MAX, BODY_MAX);
	CU_ASSERT_EQUAL(
	    feed(&m, "HTTP/1.1 200 OK\r\nA: b\r\n\r\nabc", 5, &left),
	    DH_MESSAGE_INCOMPLETE);
	CU_ASSERT_TRUE(dh_message_eof(&m));
	CU_ASSERT_STRING_EQUAL(m.body->str, "abc");
	dh_message_reset(&m);
	CU_ASSERT_EQUAL(
	    feed(&m, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", 5,
		&left),
	    DH_MESSAGE_INCOMPLETE);
	CU_ASSERT_FALSE(dh_message_eof(&m));
	dh_message_reset(&m);
	CU_ASSERT_FALSE(dh_message_eof(&m));
	m.no_body = true;
	CU_ASSERT_EQUAL(feed(&m, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
			    100, &left),
	    DH_MESSAGE_DONE);
	dh_message_clear(&m);
}

static enum dh_message_state
parse_answer(const char *status)
{
	g_autofree char *text = g_strdup_printf(
	    "HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n", status);
	enum dh_message_state state;
	struct dh_message m;
	size_t left;

	dh_message_init(&m, HTTP_RESPONSE, HEAD_MAX, BODY_MAX);
	state = feed(&m, text, 100000, &left);
	dh_message_clear(&m);
	return state;
}

/* Guards against bytes that are no HTTP answer and are passed on as one. */
static void
test_status_out_of_range(void)
{
	static const char *const valid[] = { "100", "200", "503", "599" };
	static const char *const invalid[] = { "000", "099", "600", "999",
		"1000", "20", "-20" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(valid); i++)
		CU_ASSERT_EQUAL(parse_answer(valid[i]), DH_MESSAGE_DONE);
	for (i = 0; i < G_N_ELEMENTS(invalid); i++)
		CU_ASSERT_EQUAL(parse_answer(invalid[i]), DH_MESSAGE_INVALID);
}

static uint64_t
digest_of(const char *text)
{
	struct dh_message m;
	uint64_t digest;
	size_t left;

	dh_message_init(&m, HTTP_REQUEST, HEAD_MAX, BODY_MAX);
	CU_ASSERT_EQUAL(feed(&m, text, 100000, &left), DH_MESSAGE_DONE);
	digest = dh_message_digest(&m);
	dh_message_clear(&m);
	return digest;
}

static void
test_digest_ignores_id_and_framing(void)
{
	uint64_t digest = digest_of("POST /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"
				    "Content-Length: 3\r\n\r\nabc");

	CU_ASSERT_EQUAL(digest,
	    digest_of("POST /a HTTP/1.1\r\nX-Id: 2\r\nHost: h\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n"
		      "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"));
	CU_ASSERT_NOT_EQUAL(digest,
	    digest_of("POST /a HTTP/1.1\r\nHost: h\r\n"
		      "Content-Length: 3\r\n\r\nabd"));
	CU_ASSERT_NOT_EQUAL(digest,
	    digest_of("PUT /a HTTP/1.1\r\nHost: h\r\n"
		      "Content-Length: 3\r\n\r\nabc"));
	CU_ASSERT_NOT_EQUAL(digest,
	    digest_of("POST /b HTTP/1.1\r\nHost: h\r\n"
		      "Content-Length: 3\r\n\r\nabc"));
	CU_ASSERT_NOT_EQUAL(digest,
	    digest_of("POST /a HTTP/1.1\r\nHost: i\r\n"
		      "Content-Length: 3\r\n\r\nabc"));
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "chunked", test_chunked_body_and_pipelined_request },
		{ "request smuggling", test_request_smuggling_is_rejected },
		{ "limits", test_limits },
		{ "end of connection", test_end_of_connection },
		{ "status out of range", test_status_out_of_range },
		{ "digest", test_digest_ignores_id_and_framing },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("message", tests);
}
