/* Orders on connections on which earlier answers come again. */
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "backend/order.h"
#include "base/clock.h"
#include "tests/cunit_main.h"

#define TIMEOUT_MS 2000
#define CONNECTIONS_MAX 8

struct server {
	int listener, fds[CONNECTIONS_MAX];
	int n; /* number of connections, open or not */
	uint16_t port;
	struct dh_http *http;
};

static void
server_start(struct server *s, uv_loop_t *loop)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);

	memset(s, 0, sizeof(*s));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	CU_ASSERT_EQUAL_FATAL(
	    bind(s->listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(s->listener, 4), 0);
	CU_ASSERT_EQUAL_FATAL(
	    getsockname(s->listener, (struct sockaddr *)&sin, &len), 0);
	s->port = ntohs(sin.sin_port);
	uv_loop_init(loop);
	s->http = dh_http_new(loop);
}

static void
server_stop(struct server *s, uv_loop_t *loop)
{
	dh_http_free(s->http);
	uv_run(loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(loop), 0);
	while (s->n > 0)
		(void)close(s->fds[--s->n]);
	(void)close(s->listener);
}

static void
answer_orders(struct server *s, const char *answer)
{
	char text[2048];
	int fd, i;

	while (s->n < CONNECTIONS_MAX &&
	    (fd = accept4(s->listener, NULL, NULL, SOCK_NONBLOCK)) >= 0)
		s->fds[s->n++] = fd;
	for (i = 0; i < s->n; i++)
		if (recv(s->fds[i], text, sizeof(text), MSG_DONTWAIT) > 0)
			(void)!send(
			    s->fds[i], answer, strlen(answer), MSG_NOSIGNAL);
}

static void
on_order(void *arg, const struct dh_order_reply *reply)
{
	*(int *)arg = (int)reply->result;
}

/* Sends an order with the token 3.counter; the answer gives 3.highest, or no
 * token if that is 0. */
static int
send_order(struct server *s, enum dh_group_order_kind kind, uint64_t counter,
    const char *status, int highest)
{
	struct dh_group_order o = { .kind = kind,
		.incarnation = 7,
		.fence = { kind == DH_GROUP_ORDER_HELLO ? 0 : 3, counter } };
	g_autofree char *token = highest == 0
	    ? g_strdup("")
	    : g_strdup_printf("\"term\":3,\"counter\":%d,", highest);
	g_autofree char *body = g_strdup_printf(
	    "{\"accepted\":%s,\"incarnation\":7,%s\"releasing\":0}",
	    strcmp(status, "200") == 0 ? "true" : "false", token);
	g_autofree char *answer =
	    g_strdup_printf("HTTP/1.1 %s X\r\nContent-Length: %zu\r\n\r\n%s",
		status, strlen(body), body);
	int64_t end_ms = dh_clock_ms() + TIMEOUT_MS;
	int result = -1;

	dh_order_send(s->http, "127.0.0.1", s->port, "g/0", &o, TIMEOUT_MS,
	    on_order, &result);
	while (result == -1 && dh_clock_ms() < end_ms) {
		answer_orders(s, answer);
		uv_run(dh_http_loop(s->http), UV_RUN_NOWAIT);
		g_usleep(1000);
	}
	return result;
}

/* Guards against slots that are granted to a second owner: the late copy of an
 * earlier answer says that nothing runs any more. */
static void
test_late_copy_is_no_answer(void)
{
	static const struct {
		enum dh_group_order_kind kind;
		uint64_t counter;
		const char *status;
		int highest, result;
		int connections; /* in all */
	} orders[] = {
		{ DH_GROUP_ORDER_HELLO, 0, "200", 4, DH_ORDER_ACCEPTED, 1 },
		{ DH_GROUP_ORDER_GRANT, 5, "200", 5, DH_ORDER_ACCEPTED, 1 },
		{ DH_GROUP_ORDER_GRANT, 6, "200", 5, DH_ORDER_NO_ANSWER, 1 },
		{ DH_GROUP_ORDER_GRANT, 6, "200", 6, DH_ORDER_ACCEPTED, 2 },
		{ DH_GROUP_ORDER_RENEW, 7, "200", 6, DH_ORDER_ACCEPTED, 2 },
		{ DH_GROUP_ORDER_WARM, 7, "200", 0, DH_ORDER_ACCEPTED, 2 },
		{ DH_GROUP_ORDER_RELEASE, 8, "200", 7, DH_ORDER_NO_ANSWER, 2 },
		{ DH_GROUP_ORDER_RELEASE, 9, "200", 7, DH_ORDER_ACCEPTED, 3 },
		{ DH_GROUP_ORDER_RELEASE, 10, "200", 10, DH_ORDER_ACCEPTED, 3 },
		{ DH_GROUP_ORDER_RELEASE, 11, "200", 0, DH_ORDER_NO_ANSWER, 3 },
		{ DH_GROUP_ORDER_RELEASE, 12, "200", 0, DH_ORDER_ACCEPTED, 4 },
		{ DH_GROUP_ORDER_RENEW, 8, "409", 9, DH_ORDER_REFUSED, 4 },
		{ DH_GROUP_ORDER_RENEW, 9, "409", 4, DH_ORDER_REFUSED, 5 },
	};
	struct server s;
	uv_loop_t loop;
	size_t i;

	server_start(&s, &loop);
	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		CU_ASSERT_EQUAL(
		    send_order(&s, orders[i].kind, orders[i].counter,
			orders[i].status, orders[i].highest),
		    orders[i].result);
		CU_ASSERT_EQUAL(s.n, orders[i].connections);
	}
	server_stop(&s, &loop);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "late copy is no answer", test_late_copy_is_no_answer },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("order", tests);
}
