#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/httpd.h"
#include "tests/cunit_main.h"

#define CLIENTS 40u
#define TURNS_MAX 20000u

static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *path,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	(void)arg;
	(void)path;
	(void)method;
	(void)version;
	(void)data;
	(void)len;
	(void)state;
	return dh_httpd_reply(conn, 200, "", 0, NULL);
}

static int
connect_client(uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_EQUAL_FATAL(
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	CU_ASSERT_EQUAL_FATAL(
	    write(fd, request, strlen(request)), (ssize_t)strlen(request));
	return fd;
}

/* Returns whether status 200 arrived on fd within TURNS_MAX loop iterations. */
static bool
got_answer(uv_loop_t *loop, int fd)
{
	uint32_t turns;
	char head[12] = "";
	ssize_t n = -1;

	for (turns = 0; turns < TURNS_MAX && n < 0; turns++) {
		uv_run(loop, UV_RUN_NOWAIT);
		n = recv(fd, head, sizeof(head), MSG_DONTWAIT);
		if (n < 0 && errno != EAGAIN)
			return false;
	}
	return n == (ssize_t)sizeof(head) &&
	    memcmp(head, "HTTP/1.1 200", 12) == 0;
}

/* dh_httpd_quiesce also serves clients whose connections are still in the
 * listen queue. */
static void
test_quiesce_answers_all(void)
{
	struct dh_httpd_options o = { .address = "127.0.0.1",
		.connections_max = 2 * CLIENTS,
		.memory_per_connection = 16u << 10,
		.idle_s = 60,
		.handler = on_request };
	g_autoptr(GError) error = NULL;
	struct dh_httpd *h;
	uv_loop_t loop;
	int fds[CLIENTS];
	uint32_t i, n = 0;

	uv_loop_init(&loop);
	h = dh_httpd_new(&loop, &o, &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(h);
	for (i = 0; i < CLIENTS; i++)
		fds[i] = connect_client(dh_httpd_port(h));
	dh_httpd_quiesce(h);
	for (i = 0; i < CLIENTS; i++)
		n += got_answer(&loop, fds[i]);
	CU_ASSERT_EQUAL(n, CLIENTS);
	for (i = 0; i < CLIENTS; i++)
		(void)close(fds[i]);
	dh_httpd_free(h);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "quiesce", test_quiesce_answers_all },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("httpd", tests);
}
