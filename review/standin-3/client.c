/*
 * A client that keeps one connection and sends one request after the other.  It
 * stops when the connection ends or an answer closes it.
 *
 * usage: client NAME IP PORT RECORD AFTER_MS COUNT GAP_MS METHOD PATH KEY
 *     BODY_BYTES DEADLINE_MS
 * AFTER_MS: pause before the first request, with the connection open.  KEY "-":
 * none.  Each request has an id of its own, NAME-number.
 */
#include "http3.h"

int
main(int argc, char **argv)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct message *m = calloc(1, sizeof(*m));
	char rid[128], head[1024], key[64] = "", value[128], want[160];
	long long i, count, gap_ms, deadline_ms, sent_ms;
	char *body;
	size_t len;
	int n, rc;

	if (argc != 13)
		return 2;
	(void)signal(SIGPIPE, SIG_IGN);
	record_open(argv[4]);
	count = atoll(argv[6]);
	gap_ms = atoll(argv[7]);
	len = (size_t)atoll(argv[11]);
	deadline_ms = atoll(argv[12]);
	body = calloc(1, len + 1);
	memset(body, 'b', len);
	if (strcmp(argv[10], "-") != 0)
		(void)snprintf(key, sizeof(key),
		    "X-Dogwoodhub-Shard-Key: %s\r\n", argv[10]);
	c->fd = dial(argv[2], atoi(argv[3]));
	if (c->fd < 0) {
		record("client %s cannot connect", argv[1]);
		return 0;
	}
	(void)usleep((useconds_t)atoll(argv[5]) * 1000);
	for (i = 0; i < count; i++) {
		(void)snprintf(rid, sizeof(rid), "%s-%lld", argv[1], i);
		n = snprintf(head, sizeof(head),
		    "%s %s HTTP/1.1\r\nHost: h.example\r\n"
		    "X-Dogwoodhub-Request-Id: %s\r\n"
		    "X-Dogwoodhub-Deadline-Ms: %lld\r\n%s"
		    "Content-Length: %zu\r\n\r\n",
		    argv[8], argv[9], rid, deadline_ms, key, len);
		record("client %s sends %s %s body=%zu", rid, argv[8], argv[9],
		    len);
		sent_ms = now_ms();
		if (!write_all(c->fd, head, (size_t)n) ||
		    !write_all(c->fd, body, len)) {
			record("client %s cannot send", rid);
			break;
		}
		record("client %s has sent its last byte", rid);
		do
			rc = read_message(
			    c, m, true, sent_ms + deadline_ms + 1000);
		while (rc == 1 && m->status < 200);
		if (rc != 1) {
			record("client %s gets no answer (%s) after=%lld", rid,
			    rc == 0 ? "closed" : "broken or late",
			    now_ms() - sent_ms);
			break;
		}
		(void)snprintf(want, sizeof(want), "body of %s", rid);
		record("client %s gets %d stamp=%s whole=%s after=%lld why=%.60s",
		    rid, m->status,
		    header(m, "X-Dogwoodhub-Server-Stamp", value, sizeof(value))
			? value
			: "none",
		    m->status != 200 || strcmp(m->body, want) == 0 ? "yes"
								   : "no",
		    now_ms() - sent_ms, m->status == 200 ? "" : m->body);
		if (header(m, "Connection", value, sizeof(value)) &&
		    strcasecmp(value, "close") == 0)
			break;
		(void)usleep((useconds_t)gap_ms * 1000);
	}
	(void)close(c->fd);
	return 0;
}
