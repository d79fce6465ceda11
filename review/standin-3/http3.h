/*
 * Small HTTP/1.1 helpers of the stand-ins: one message at a time on a blocking
 * socket.  Bodies have a Content-Length, as those of the gateway have.
 */
#ifndef REVIEW_HTTP3_H
#define REVIEW_HTTP3_H

#ifndef _GNU_SOURCE
#define _GNU_SOURCE /* POLLRDHUP */
#endif

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536

struct message {
	char head[HEAD_MAX]; /* NUL-terminated */
	char method[16], path[1024]; /* of a request */
	int status; /* of a response */
	char *body;
	size_t body_len;
};

/* A connection with the bytes that were read beyond the last message. */
struct conn {
	int fd;
	char buf[HEAD_MAX];
	size_t len;
};

/* CLOCK_MONOTONIC is the same in all processes of a machine. */
static inline int64_t
now_ms(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static inline int64_t
wall_ms(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int record_fd = -1;

/* Appends one line to the record that all stand-ins of a case share. */
static inline void
record(const char *fmt, ...)
{
	char line[2048];
	va_list ap;
	int n = snprintf(line, sizeof(line), "%lld ", (long long)now_ms());

	va_start(ap, fmt);
	n += vsnprintf(line + n, sizeof(line) - (size_t)n - 2, fmt, ap);
	va_end(ap);
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	if (record_fd >= 0 && write(record_fd, line, (size_t)n) != n)
		perror("record");
}

static inline void
record_open(const char *path)
{
	record_fd = open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
	if (record_fd < 0) {
		perror(path);
		exit(2);
	}
}

static inline bool
write_all(int fd, const char *data, size_t len)
{
	ssize_t n;

	while (len > 0) {
		n = send(fd, data, len, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* Copies a header's value; false if there is no such header. */
static inline bool
header(const struct message *m, const char *name, char *to, size_t size)
{
	const char *p = strstr(m->head, "\r\n");
	size_t n = strlen(name), len;

	while (p != NULL && p[2] != '\r' && p[2] != '\0') {
		p += 2;
		if (strncasecmp(p, name, n) == 0 && p[n] == ':') {
			p += n + 1;
			p += strspn(p, " \t");
			len = strcspn(p, "\r\n");
			if (len >= size)
				len = size - 1;
			memcpy(to, p, len);
			to[len] = '\0';
			return true;
		}
		p = strstr(p, "\r\n");
	}
	return false;
}

/* Reads one message; until_ms bounds the wait, 0 does not.  Returns 1, 0 at the
 * end of the connection, -1 on an error, a bad message or the time limit. */
static inline int
read_message(struct conn *c, struct message *m, bool response, int64_t until_ms)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };
	char text[64], *end;
	size_t head_len, want, have;
	int64_t left;
	ssize_t n;

	free(m->body);
	m->body = NULL;
	m->body_len = 0;
	for (;;) {
		c->buf[c->len] = '\0';
		end = strstr(c->buf, "\r\n\r\n");
		if (end != NULL)
			break;
		if (c->len + 1 >= sizeof(c->buf))
			return -1;
		left = until_ms == 0 ? -1 : until_ms - now_ms();
		if (until_ms != 0 && left <= 0)
			return -1;
		if (poll(&p, 1, (int)left) <= 0)
			return -1;
		n = recv(c->fd, c->buf + c->len, sizeof(c->buf) - 1 - c->len,
		    0);
		if (n <= 0)
			return n == 0 && c->len == 0 ? 0 : -1;
		c->len += (size_t)n;
	}
	head_len = (size_t)(end - c->buf) + 4;
	memcpy(m->head, c->buf, head_len);
	m->head[head_len] = '\0';
	c->len -= head_len;
	memmove(c->buf, c->buf + head_len, c->len);
	if (response) {
		if (sscanf(m->head, "HTTP/1.1 %d", &m->status) != 1)
			return -1;
	} else if (sscanf(m->head, "%15s %1023s", m->method, m->path) != 2) {
		return -1;
	}
	want = header(m, "Content-Length", text, sizeof(text))
	    ? (size_t)strtoull(text, NULL, 10)
	    : 0;
	m->body = malloc(want + 1);
	if (m->body == NULL)
		return -1;
	have = c->len < want ? c->len : want;
	memcpy(m->body, c->buf, have);
	c->len -= have;
	memmove(c->buf, c->buf + have, c->len);
	while (have < want) {
		left = until_ms == 0 ? -1 : until_ms - now_ms();
		if ((until_ms != 0 && left <= 0) ||
		    poll(&p, 1, (int)left) <= 0)
			return -1;
		n = recv(c->fd, m->body + have, want - have, 0);
		if (n <= 0)
			return -1;
		have += (size_t)n;
	}
	m->body[want] = '\0';
	m->body_len = want;
	return 1;
}

static inline const char *
reason(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 404:
		return "Not Found";
	case 409:
		return "Conflict";
	case 410:
		return "Gone";
	case 421:
		return "Misdirected Request";
	case 503:
		return "Service Unavailable";
	default:
		return "Status";
	}
}

/* Sends a response; headers are whole lines, or "". */
static inline bool
respond(int fd, int status, const char *headers, const char *body, size_t len)
{
	char head[2048 + 1024];
	int n = snprintf(head, 2048,
	    "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n", status,
	    reason(status), headers, len);

	/* A short answer goes in one piece: a second one would wait for the
	 * acknowledgement of the first. */
	if (len <= 1024) {
		memcpy(head + n, body, len);
		return write_all(fd, head, (size_t)n + len);
	}
	return write_all(fd, head, (size_t)n) && write_all(fd, body, len);
}

static inline int
dial(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	(void)inet_pton(AF_INET, ip, &a.sin_addr);
	if (fd < 0 || connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		if (fd >= 0)
			(void)close(fd);
		return -1;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

static inline int
listen_on(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	(void)inet_pton(AF_INET, ip, &a.sin_addr);
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
	    listen(fd, 256) != 0) {
		perror("listen");
		exit(2);
	}
	return fd;
}

/* Accepts connections for ever; serve gets each in a thread of its own. */
static inline void
accept_all(int fd, void *(*serve)(void *conn))
{
	pthread_attr_t attr;
	struct conn *c;
	pthread_t t;
	int on = 1;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 << 10);
	for (;;) {
		c = calloc(1, sizeof(*c));
		if (c == NULL)
			exit(2);
		c->fd = accept(fd, NULL, NULL);
		if (c->fd < 0) {
			free(c);
			continue;
		}
		(void)setsockopt(
		    c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (pthread_create(&t, &attr, serve, c) != 0) {
			(void)close(c->fd);
			free(c);
		}
	}
}

#endif
