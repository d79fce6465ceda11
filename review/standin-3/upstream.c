/*
 * One upstream, which registers itself in the store.  It runs SLOTS requests at
 * a time and queues QUEUE_MAX more; others it rejects as not run.  A request
 * takes the milliseconds that follow "work=" in its path, ends at its deadline,
 * and is dropped when its connection closes.  With KEYED it runs only requests
 * whose key it holds.
 *
 * usage: upstream ID SERVICE PORT STORE_PORT SLOTS KEYED RECORD
 *     [ADVERTISED_PORT ZONE]
 * With ADVERTISED_PORT its entry names that port, which belongs to a stand-in
 * for the network.
 */
#include "http3.h"

#include <json-c/json.h>

#define KEYS 65536
#define QUEUE_MAX 12
#define BEAT_MS 870

static const char *id, *service, *zone = "z1";
static int port, advertised_port, store_port, slots;
static bool keyed;
static int64_t born_ms;
static int running, waiting;
static int64_t until_ms[KEYS];
static int64_t highest[KEYS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

/* Sends one call to the store on a connection of its own; returns the status,
 * or -1. */
static int
call_store(const char *method, const char *path, const char *body)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct message *m = calloc(1, sizeof(*m));
	char head[512];
	int n, status = -1;

	c->fd = dial("127.0.0.1", store_port);
	if (c->fd >= 0) {
		n = snprintf(head, sizeof(head),
		    "%s %s HTTP/1.1\r\nHost: store\r\nContent-Type: "
		    "application/json\r\nContent-Length: %zu\r\n\r\n",
		    method, path, strlen(body));
		if (write_all(c->fd, head, (size_t)n) &&
		    write_all(c->fd, body, strlen(body)) &&
		    read_message(c, m, true, now_ms() + 2000) == 1)
			status = m->status;
		(void)close(c->fd);
	}
	free(m->body);
	free(m);
	free(c);
	return status;
}

static void *
beat(void *arg)
{
	char path[256], body[1024];
	int sequence = 0;

	for (;; (void)usleep(BEAT_MS * 1000)) {
		(void)snprintf(body, sizeof(body),
		    "{\"metadata\":{\"name\":\"%s\"},\"spec\":{\"service\":"
		    "\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
		    "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
		    "\"cold_left_s\":0,\"sequence\":%d,\"born\":%lld}}",
		    id, service, advertised_port, zone, slots, ++sequence, (long long)born_ms);
		(void)snprintf(path, sizeof(path),
		    "/dogwoodhub/objects/servers/%s", id);
		if (call_store("PUT", path, body) == 404)
			(void)call_store(
			    "POST", "/dogwoodhub/objects/servers", body);
	}
	return arg;
}

static int64_t
number(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) ? json_object_get_int64(v)
						      : -1;
}

/* Applies a grant or a release; the lock is held. */
static int
order(const char *path, const char *body, int64_t arrived_ms)
{
	struct json_object *o = json_tokener_parse(body), *v = NULL;
	int64_t from = number(o, "from"), to = number(o, "to"), k;
	int64_t fence = number(o, "fence"), hold_ms = 0;
	bool grant = strstr(path, "/grant") != NULL;
	int status = 200;

	if (json_object_object_get_ex(o, "hold_s", &v))
		hold_ms = (int64_t)(json_object_get_double(v) * 1000);
	if (from < 0 || to < from || to >= KEYS || fence <= 0)
		status = 400;
	for (k = from; status == 200 && grant && k <= to; k++)
		if (highest[k] > fence)
			status = 409;
	for (k = from; status == 200 && k <= to; k++) {
		if (grant) {
			highest[k] = fence;
			until_ms[k] = arrived_ms + hold_ms;
		} else {
			until_ms[k] = 0;
		}
	}
	record("%s %s born=%lld from=%lld to=%lld fence=%lld hold_ms=%lld %d",
	    grant ? "grant" : "release", id, (long long)born_ms,
	    (long long)from, (long long)to, (long long)fence,
	    (long long)hold_ms, status);
	while (!grant && status == 200 && running > 0)
		pthread_cond_wait(&changed, &lock);
	json_object_put(o);
	return status;
}

/* Waits until a time; false if the caller closes the connection before. */
static bool
work(int fd, int64_t end_ms)
{
	struct pollfd p = { .fd = fd, .events = POLLRDHUP };
	int64_t left;

	while ((left = end_ms - now_ms()) > 0)
		if (poll(&p, 1, (int)left) > 0)
			return false;
	return true;
}

/* Takes a slot, in the queue if need be; false if the queue is full or the
 * deadline passes. */
static bool
take_slot(int64_t deadline_ms)
{
	bool taken = false;

	pthread_mutex_lock(&lock);
	if (running < slots || waiting < QUEUE_MAX) {
		waiting++;
		while (running >= slots && now_ms() < deadline_ms) {
			pthread_mutex_unlock(&lock);
			(void)usleep(2000);
			pthread_mutex_lock(&lock);
		}
		waiting--;
		taken = running < slots;
		running += taken;
	}
	pthread_mutex_unlock(&lock);
	return taken;
}

static void
free_slot(void)
{
	pthread_mutex_lock(&lock);
	running--;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

/* Runs a request; false if its connection is to be closed. */
static bool
run(struct conn *c, const struct message *m)
{
	char rid[128] = "", text[64], headers[512], body[256];
	const char *p = strstr(m->path, "work=");
	int64_t start_ms = now_ms(), deadline_ms = start_ms + 60000;
	int64_t work_ms = p == NULL ? 20 : atoll(p + strlen("work="));
	int key = -1, status = 200, n;
	bool whole;

	if (header(m, "X-Dogwoodhub-Deadline-Ms", text, sizeof(text)))
		deadline_ms = start_ms + atoll(text);
	if (header(m, "X-Dogwoodhub-Shard-Key", text, sizeof(text)))
		key = atoi(text);
	if (!header(m, "X-Dogwoodhub-Request-Id", rid, sizeof(rid)))
		return respond(c->fd, 400, "X-Dogwoodhub-Not-Executed: 1\r\n",
		    "", 0);
	(void)snprintf(headers, sizeof(headers),
	    "X-Dogwoodhub-Request-Id: %s\r\nX-Dogwoodhub-Not-Executed: 1\r\n",
	    rid);
	if (!take_slot(deadline_ms)) {
		record("reject %s %s 503", id, rid);
		return respond(c->fd, 503, headers, "", 0);
	}
	pthread_mutex_lock(&lock);
	whole = !keyed || (key >= 0 && key < KEYS && until_ms[key] > now_ms());
	pthread_mutex_unlock(&lock);
	if (!whole) {
		free_slot();
		record("reject %s %s key=%d 421", id, rid, key);
		return respond(c->fd, 421, headers, "", 0);
	}
	record("begin %s born=%lld %s %s %.80s key=%d body=%zu", id,
	    (long long)born_ms, rid, m->method, m->path, key, m->body_len);
	start_ms = now_ms();
	if (start_ms + work_ms > deadline_ms) {
		work_ms = deadline_ms - start_ms;
		status = 504;
	}
	whole = work(c->fd, start_ms + work_ms);
	free_slot();
	record("end %s %s %s after=%lld", id, rid,
	    !whole		? "dropped: its connection was closed"
		: status == 200 ? "200"
				: "504",
	    (long long)(now_ms() - start_ms));
	if (!whole)
		return false;
	(void)snprintf(headers, sizeof(headers),
	    "X-Dogwoodhub-Request-Id: %s\r\nX-Dogwoodhub-Server-Stamp: "
	    "s-%s\r\nX-Dogwoodhub-Server-Load: %d,%d,%d\r\n",
	    rid, rid, running, waiting, slots);
	n = snprintf(body, sizeof(body), "body of %s", rid);
	return respond(c->fd, status, headers, body, (size_t)n);
}

static bool
handle(struct conn *c, const struct message *m)
{
	char expected[256], headers[512];
	int status;

	(void)snprintf(
	    headers, sizeof(headers), "X-Dogwoodhub-Instance-Id: %s\r\n", id);
	if (header(m, "X-Dogwoodhub-Target-Instance", expected,
		sizeof(expected)) &&
	    strcmp(expected, id) != 0) {
		record("misdirected %s expects=%s %s %.80s", id, expected,
		    m->method, m->path);
		return respond(c->fd, 421, headers, "", 0);
	}
	if (strcmp(m->path, "/health") == 0)
		return respond(c->fd, 200, headers, "", 0);
	if (strncmp(m->path, "/dogwoodhub/", 12) == 0) {
		pthread_mutex_lock(&lock);
		status = order(m->path, m->body, now_ms());
		pthread_mutex_unlock(&lock);
		return respond(c->fd, status,
		    "X-Dogwoodhub-Handover: 5c0e7a21d94b36f8\r\n", "", 0);
	}
	return run(c, m);
}

static void *
serve(void *arg)
{
	struct conn *c = arg;
	struct message *m = calloc(1, sizeof(*m));
	int rc;

	while ((rc = read_message(c, m, false, 0)) == 1)
		if (!handle(c, m))
			break;
	if (rc == -1 && c->len > 0)
		record("unreadable %s %.60s", id, c->buf);
	(void)close(c->fd);
	free(m->body);
	free(m);
	free(c);
	return NULL;
}

int
main(int argc, char **argv)
{
	pthread_t t;
	int fd;

	if (argc != 8 && argc != 10)
		return 2;
	(void)signal(SIGPIPE, SIG_IGN);
	id = argv[1];
	service = argv[2];
	port = atoi(argv[3]);
	store_port = atoi(argv[4]);
	slots = atoi(argv[5]);
	keyed = atoi(argv[6]) != 0;
	record_open(argv[7]);
	advertised_port = argc == 10 ? atoi(argv[8]) : port;
	zone = argc == 10 ? argv[9] : zone;
	born_ms = wall_ms();
	fd = listen_on("127.0.0.1", port);
	record("start %s born=%lld pid=%d", id, (long long)born_ms,
	    (int)getpid());
	pthread_create(&t, NULL, beat, NULL);
	accept_all(fd, serve);
	return 0;
}
