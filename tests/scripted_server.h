#ifndef DH_TESTS_SCRIPTED_SERVER_H
#define DH_TESTS_SCRIPTED_SERVER_H

/*
 * An HTTP server in a thread.  It answers the requests that it reads with the
 * texts of a script in turn; "" ends the connection without an answer, and what
 * follows a LATE is sent LATE_US later, or ends it if nothing follows.  After
 * the script it ends each connection.  One connection is served at a time.
 */
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "tests/cunit_main.h"

/* An answer with an empty object as its body. */
#define HTTP_ANSWER(status)                                         \
	"HTTP/1.1 " status "\r\nContent-Type: application/json\r\n" \
	"Content-Length: 2\r\n\r\n{}"

#define LATE "\f"
#define LATE_US 30000UL

struct scripted_server {
	int fd;
	uint16_t port;
	const char *const *script; /* NULL-ended */
	gint requests, connections; /* atomic */
	GThread *thread;
};

/* Whether a request with its body, if it has a length, is complete. */
static bool
request_is_whole(const char *text)
{
	const char *end = strstr(text, "\r\n\r\n");
	const char *length = strstr(text, "Content-Length: ");

	return end != NULL &&
	    (length == NULL || length > end ||
		strlen(end + 4) >= strtoul(length + 16, NULL, 10));
}

static bool
read_request(int fd)
{
	char text[8192];
	size_t len = 0;
	ssize_t n;

	while ((n = recv(fd, text + len, sizeof(text) - 1 - len, 0)) > 0) {
		len += (size_t)n;
		text[len] = '\0';
		if (request_is_whole(text))
			return true;
	}
	return false;
}

/* Returns false if the connection is to end. */
static bool
send_answer(int fd, const char *text)
{
	size_t len = strcspn(text, LATE);
	const char *late = text + len;

	(void)!send(fd, text, len, MSG_NOSIGNAL);
	if (*late == '\0')
		return true;
	g_usleep(LATE_US);
	(void)!send(fd, late + 1, strlen(late + 1), MSG_NOSIGNAL);
	return late[1] != '\0';
}

static gpointer
serve_script(gpointer arg)
{
	struct scripted_server *s = arg;
	const char *const *answer = s->script;
	int fd;

	while ((fd = accept(s->fd, NULL, NULL)) >= 0) {
		g_atomic_int_inc(&s->connections);
		while (read_request(fd)) {
			g_atomic_int_inc(&s->requests);
			if (*answer == NULL)
				break;
			if (**answer == '\0') {
				answer++;
				break;
			}
			if (!send_answer(fd, *answer++))
				break;
		}
		(void)close(fd);
	}
	return NULL;
}

static void
scripted_server_start(struct scripted_server *s, const char *const *script)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);

	memset(s, 0, sizeof(*s));
	s->script = script;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
	    bind(s->fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(s->fd, 4), 0);
	CU_ASSERT_EQUAL_FATAL(
	    getsockname(s->fd, (struct sockaddr *)&sin, &len), 0);
	s->port = ntohs(sin.sin_port);
	s->thread = g_thread_new("script", serve_script, s);
}

/* To be called once the client's connections are closed. */
static void
scripted_server_stop(struct scripted_server *s)
{
	(void)shutdown(s->fd, SHUT_RDWR);
	g_thread_join(s->thread);
	(void)close(s->fd);
}

#endif
