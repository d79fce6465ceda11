/*
 * Tests the questions to disputed addresses, with a fake registry and a socket
 * that answers as the test says.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "gateway/identity.h"
#include "tests/cunit_main.h"

/* The fake registry: one backend server, i-1. */
static bool disputed;
static int64_t start_ms;
static char address[32];
static int noted_there, noted_other;

void
dh_registry_disputed(
    const struct dh_registry *r, const char *service, GArray *list)
{
	struct dh_instance i = { .id = "i-1", .start_ms = start_ms };

	(void)r;
	CU_ASSERT_STRING_EQUAL(service, "s");
	if (disputed)
		g_array_append_val(list, i);
}

void
dh_registry_note_instance(
    struct dh_registry *r, const char *id, int64_t start, bool there)
{
	(void)r;
	CU_ASSERT_STRING_EQUAL(id, "i-1");
	CU_ASSERT_EQUAL(start, start_ms);
	noted_there += there;
	noted_other += !there;
}

char *
dh_registry_address(const struct dh_registry *r, const char *id)
{
	(void)r;
	(void)id;
	return g_strdup(address);
}

struct fixture {
	uv_loop_t loop;
	struct dh_http *http;
	struct dh_identity *identity;
	int listener;
	int questions, answers; /* received, and reported by the module */
	const char *reply; /* NULL: accept and stay silent */
	char question[1024];
};

static void
on_answered(void *arg)
{
	((struct fixture *)arg)->answers++;
}

static void
start(struct fixture *fx, const char *reply)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);

	memset(fx, 0, sizeof(*fx));
	disputed = true;
	start_ms = 100;
	noted_there = noted_other = 0;
	fx->reply = reply;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fx->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (fx->listener < 0 ||
	    bind(fx->listener, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fx->listener, 16) != 0 ||
	    getsockname(fx->listener, (struct sockaddr *)&sin, &len) != 0)
		abort();
	(void)snprintf(
	    address, sizeof(address), "127.0.0.1:%u", ntohs(sin.sin_port));
	uv_loop_init(&fx->loop);
	fx->http = dh_http_new(&fx->loop);
	fx->identity = dh_identity_new(fx->http, NULL, on_answered, fx);
}

static void
end(struct fixture *fx)
{
	dh_identity_free(fx->identity);
	dh_http_free(fx->http);
	(void)uv_run(&fx->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&fx->loop), 0);
	(void)close(fx->listener);
}

static void
serve(struct fixture *fx)
{
	int fd = accept(fx->listener, NULL, NULL);
	ssize_t n;

	if (fd < 0)
		return;
	fx->questions++;
	n = recv(fd, fx->question, sizeof(fx->question) - 1, 0);
	fx->question[n > 0 ? n : 0] = '\0';
	if (fx->reply == NULL)
		return;
	(void)!write(fd, fx->reply, strlen(fx->reply));
	(void)close(fd);
}

static void
run_for(struct fixture *fx, int64_t ms)
{
	int64_t end_ms = dh_clock_ms() + ms;

	while (dh_clock_ms() < end_ms) {
		dh_identity_step(fx->identity, "s", "/health", dh_clock_ms());
		(void)uv_run(&fx->loop, UV_RUN_NOWAIT);
		serve(fx);
		g_usleep(2000);
	}
}

static void
test_answers_tell_who_is_there(void)
{
	static const struct {
		const char *reply;
		bool there;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nX-Dogwoodhub-Instance-Id: i-1\r\n"
		  "Content-Length: 0\r\n\r\n",
		    true },
		{ "HTTP/1.1 503 No\r\nX-Dogwoodhub-Instance-Id: i-1\r\n"
		  "Content-Length: 0\r\n\r\n",
		    true },
		{ "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", false },
		{ "HTTP/1.1 200 OK\r\nX-Dogwoodhub-Instance-Id: i-2\r\n"
		  "Content-Length: 0\r\n\r\n",
		    false },
	};
	struct fixture fx;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		start(&fx, cases[i].reply);
		run_for(&fx, 100);
		CU_ASSERT_PTR_NOT_NULL(strstr(fx.question, "GET /health "));
		CU_ASSERT_PTR_NOT_NULL(strstr(
		    fx.question, "X-Dogwoodhub-Target-Instance: i-1\r\n"));
		CU_ASSERT_TRUE(fx.answers >= 1);
		CU_ASSERT_EQUAL(noted_there > 0, cases[i].there);
		CU_ASSERT_EQUAL(noted_other > 0, !cases[i].there);
		end(&fx);
	}
}

/* Silence and an answer that names nobody are no evidence; the question is
 * repeated with growing pauses, and ends with the dispute. */
static void
test_no_answer_is_no_evidence(void)
{
	static const char *const replies[] = { NULL,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" };
	struct fixture fx;
	size_t i;
	int asked;

	for (i = 0; i < G_N_ELEMENTS(replies); i++) {
		start(&fx, replies[i]);
		run_for(&fx, 1200);
		CU_ASSERT_TRUE(fx.questions >= 2);
		CU_ASSERT_TRUE(fx.questions <= 3);
		CU_ASSERT_EQUAL(noted_there + noted_other, 0);
		disputed = false;
		run_for(&fx, 50);
		asked = fx.questions;
		run_for(&fx, 600);
		CU_ASSERT_EQUAL(fx.questions, asked);
		end(&fx);
	}
}

/* A restart under the same id is asked about anew, at once. */
static void
test_restart_is_asked_about(void)
{
	struct fixture fx;

	start(&fx, NULL);
	run_for(&fx, 50);
	CU_ASSERT_EQUAL(fx.questions, 1);
	start_ms = 200;
	fx.reply = "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n";
	run_for(&fx, 50);
	CU_ASSERT_TRUE(fx.questions >= 2);
	CU_ASSERT_TRUE(noted_other >= 1);
	end(&fx);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "answers", test_answers_tell_who_is_there },
		{ "no answer", test_no_answer_is_no_evidence },
		{ "restart", test_restart_is_asked_about },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("identity", tests);
}
