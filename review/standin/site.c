/*
 * The store follows PROTOCOL.md: list, watch, POST, PUT and DELETE with a
 * revision as the condition.  Upstreams serve one request at a time on a
 * connection, have slots and a queue, answer 421 to what is meant for another
 * instance or for a key that they do not hold, echo the request id and sign
 * their answers.
 */
#include "site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <json-c/json.h>
#include <microhttpd.h>

#define OBJECTS "/dogwoodhub/objects/"
#define OBJECTS_MAX 256
#define GATEWAYS_MAX 8
#define SLOTS 6
#define QUEUE 24
#define HEAD_MAX 16384
#define ENTRY_LIFE_MS 2610 /* three heartbeats */
#define SAMPLE_STEP 64 /* every 64th key is watched for two holders */
#define SAMPLE_MS 20

struct object {
	char kind[32], name[96];
	uint64_t revision;
	struct json_object *spec;
	bool deleted;
};

struct run {
	bool active;
	int key;
	char id[ID_MAX];
};

struct connection {
	struct upstream *u;
	int fd;
	struct connection *next;
};

struct upstream {
	char id[32], service[32];
	bool down;
	uint32_t life;
	struct connection *connections;
	uint16_t port;
	bool keyed, draining;
	int64_t born_ms;
	int listener;
	int64_t until_ms[KEYS];
	uint64_t highest[KEYS];
	struct run runs[SLOTS];
	int waiting;
	uint32_t failures, answers, extra;
	double grey_credit;
	struct misbehaviour bad;
};

int work_ms = 110;
const char *crash_path;
int crash_ms, crash_down_ms = 3000;
void (*on_run)(const char *id, const char *path, const char *service,
    const char *upstream);
void (*on_answer)(uint32_t number, const char *method, int status);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static struct object objects[OBJECTS_MAX];
static int nobjects;
static uint64_t revision = 1;
static struct upstream *upstreams[UPSTREAMS_MAX];
static int nupstreams;
static struct object copied[OBJECTS_MAX];
static int ncopied;
static uint64_t copied_revision, era = 1;
static bool away, cuts[GATEWAYS_MAX];
static FILE *record_file;
static int64_t began_ms;
static int64_t double_since_ms[KEYS / SAMPLE_STEP], double_hold_ms;
static int grants_of_busy_keys;

static int64_t
clock_ms(clockid_t id)
{
	struct timespec ts;

	(void)clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
now_ms(void)
{
	return clock_ms(CLOCK_MONOTONIC);
}

void
sleep_ms(int ms)
{
	struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

	while (nanosleep(&ts, &ts) != 0 && errno == EINTR)
		;
}

void
record(const char *fmt, ...)
{
	char line[512];
	va_list ap;

	va_start(ap, fmt);
	(void)vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	fprintf(
	    record_file, "%6lld %s\n", (long long)(now_ms() - began_ms), line);
}

/* --- the store --- */

static struct object *
find_object(const char *kind, const char *name)
{
	int i;

	for (i = 0; i < nobjects; i++)
		if (strcmp(objects[i].kind, kind) == 0 &&
		    strcmp(objects[i].name, name) == 0)
			return &objects[i];
	return NULL;
}

/* Writes an object, or deletes it if spec is NULL. */
static struct object *
write_object(const char *kind, const char *name, struct json_object *spec)
{
	struct object *o = find_object(kind, name);

	if (o == NULL) {
		if (nobjects == OBJECTS_MAX)
			abort();
		o = &objects[nobjects++];
		snprintf(o->kind, sizeof(o->kind), "%s", kind);
		snprintf(o->name, sizeof(o->name), "%s", name);
	}
	json_object_put(o->spec);
	o->spec = json_object_get(spec);
	o->deleted = spec == NULL;
	o->revision = ++revision;
	pthread_cond_broadcast(&changed);
	return o;
}

static struct json_object *
object_json(const struct object *o)
{
	struct json_object *all = json_object_new_object();
	struct json_object *meta = json_object_new_object();

	json_object_object_add(meta, "name", json_object_new_string(o->name));
	json_object_object_add(
	    meta, "revision", json_object_new_int64((int64_t)o->revision));
	json_object_object_add(meta, "created", json_object_new_int(1));
	json_object_object_add(meta, "finalizers", json_object_new_array());
	json_object_object_add(
	    meta, "terminating", json_object_new_boolean(false));
	json_object_object_add(all, "metadata", meta);
	json_object_object_add(all, "spec", json_object_get(o->spec));
	json_object_object_add(all, "status", NULL);
	return all;
}

static struct json_object *
list_json(const char *kind, uint64_t since, bool events, int *n)
{
	struct json_object *all = json_object_new_object();
	struct json_object *list = json_object_new_array(), *e;
	int i;

	for (i = *n = 0; i < nobjects; i++) {
		const struct object *o = &objects[i];

		if (strcmp(o->kind, kind) != 0 || o->revision <= since ||
		    (!events && o->deleted))
			continue;
		e = object_json(o);
		if (events) {
			struct json_object *event = json_object_new_object();

			json_object_object_add(event, "deleted",
			    json_object_new_boolean(o->deleted));
			json_object_object_add(event, "object", e);
			e = event;
		}
		json_object_array_add(list, e);
		++*n;
	}
	json_object_object_add(all, events ? "events" : "items", list);
	if (!events)
		json_object_object_add(
		    all, "more", json_object_new_boolean(false));
	json_object_object_add(
	    all, "as_of", json_object_new_int64((int64_t)revision));
	return all;
}

static enum MHD_Result
store_reply(
    struct MHD_Connection *c, unsigned int status, struct json_object *body)
{
	const char *text = body == NULL
	    ? "{}"
	    : json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	char text_era[32];
	enum MHD_Result result;

	(void)snprintf(
	    text_era, sizeof(text_era), "%llu", (unsigned long long)era);
	MHD_add_response_header(r, "Store-Era", text_era);
	MHD_add_response_header(r, "Content-Type", "application/json");
	result = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
	json_object_put(body);
	return result;
}

/* Whether the store answers a gateway, or others if it is -1. */
static bool
is_silent(int gateway)
{
	return away || (gateway >= 0 && cuts[gateway]);
}

/* Waits, with the lock held, until the store answers again. */
static void
wait_silent(int gateway)
{
	while (is_silent(gateway))
		pthread_cond_wait(&changed, &lock);
}

static enum MHD_Result
store_get(
    struct MHD_Connection *c, int gateway, const char *kind, const char *name)
{
	const char *since =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "watch");
	const char *wait =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "wait_ms");
	int64_t end_ms = now_ms() + (wait == NULL ? 0 : atoi(wait));
	struct json_object *body;
	struct object *o;
	struct timespec ts;
	int n;

	if (name != NULL) {
		o = find_object(kind, name);
		if (o == NULL || o->deleted)
			return store_reply(c, 404, NULL);
		return store_reply(c, 200, object_json(o));
	}
	if (since == NULL)
		return store_reply(c, 200, list_json(kind, 0, false, &n));
	for (;;) {
		if (is_silent(gateway)) {
			wait_silent(gateway);
			return MHD_NO;
		}
		if (strtoull(since, NULL, 10) > revision)
			return store_reply(c, 410, NULL);
		body = list_json(kind, strtoull(since, NULL, 10), true, &n);
		if (n > 0 || now_ms() >= end_ms)
			return store_reply(c, 200, body);
		json_object_put(body);
		ts.tv_sec = end_ms / 1000;
		ts.tv_nsec = (long)(end_ms % 1000) * 1000000;
		(void)pthread_cond_timedwait(&changed, &lock, &ts);
	}
}

static enum MHD_Result
store_write(struct MHD_Connection *c, const char *method, const char *kind,
    const char *name, const char *text)
{
	struct json_object *root = json_tokener_parse(text);
	struct json_object *meta = NULL, *spec = NULL, *v = NULL;
	bool post = strcmp(method, "POST") == 0;
	enum MHD_Result result;
	struct object *o;

	if (strcmp(method, "DELETE") == 0) {
		o = find_object(kind, name);
		if (o == NULL || o->deleted)
			return store_reply(c, 404, NULL);
		(void)write_object(kind, name, NULL);
		return store_reply(c, 200, NULL);
	}
	if (root == NULL ||
	    !json_object_object_get_ex(root, "metadata", &meta) ||
	    !json_object_object_get_ex(root, "spec", &spec)) {
		json_object_put(root);
		return store_reply(c, 400, NULL);
	}
	if (post && json_object_object_get_ex(meta, "name", &v))
		name = json_object_get_string(v);
	o = find_object(kind, name);
	v = NULL;
	(void)json_object_object_get_ex(meta, "revision", &v);
	if (post && o != NULL && !o->deleted)
		result = store_reply(c, 409, object_json(o));
	else if (!post && (o == NULL || o->deleted))
		result = store_reply(c, 404, NULL);
	else if (!post && v != NULL &&
	    (uint64_t)json_object_get_int64(v) != o->revision)
		result = store_reply(c, 409, object_json(o));
	else if (!post && json_object_equal(o->spec, spec))
		result = store_reply(c, 200, object_json(o));
	else
		result = store_reply(
		    c, 200, object_json(write_object(kind, name, spec)));
	json_object_put(root);
	return result;
}

struct body {
	char *text;
	size_t len;
};

static enum MHD_Result
on_store(void *arg, struct MHD_Connection *c, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	int gateway = (int)(intptr_t)arg;
	char kind[32] = "", name[96] = "";
	struct body *b = *state;
	enum MHD_Result result;

	(void)version;
	if (b == NULL) {
		*state = calloc(1, sizeof(*b));
		return MHD_YES;
	}
	if (*len > 0) {
		b->text = realloc(b->text, b->len + *len + 1);
		memcpy(b->text + b->len, data, *len);
		b->len += *len;
		b->text[b->len] = '\0';
		*len = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&lock);
	if (is_silent(gateway)) {
		wait_silent(gateway);
		pthread_mutex_unlock(&lock);
		return MHD_NO;
	}
	if (sscanf(url, OBJECTS "%31[^/]/%95s", kind, name) < 1)
		result = store_reply(c, 404, NULL);
	else if (strcmp(method, "GET") == 0)
		result =
		    store_get(c, gateway, kind, name[0] == '\0' ? NULL : name);
	else
		result = store_write(
		    c, method, kind, name, b->text == NULL ? "" : b->text);
	pthread_mutex_unlock(&lock);
	return result;
}

static void
on_store_done(void *arg, struct MHD_Connection *c, void **state,
    enum MHD_RequestTerminationCode why)
{
	struct body *b = *state;

	(void)arg;
	(void)c;
	(void)why;
	if (b != NULL)
		free(b->text);
	free(b);
}

void
store_put(const char *kind, const char *name, const char *spec)
{
	struct json_object *o = json_tokener_parse(spec);

	if (o == NULL)
		abort();
	pthread_mutex_lock(&lock);
	(void)write_object(kind, name, o);
	record("store %s/%s revision %llu", kind, name,
	    (unsigned long long)revision);
	pthread_mutex_unlock(&lock);
	json_object_put(o);
}

void
store_delete(const char *kind, const char *name)
{
	pthread_mutex_lock(&lock);
	(void)write_object(kind, name, NULL);
	record("store %s/%s deleted", kind, name);
	pthread_mutex_unlock(&lock);
}

/* --- holders of keys --- */

static const char *
holder_name(int i)
{
	return upstreams[i]->id;
}

/* Watches every SAMPLE_STEP-th key for two upstreams that hold it. */
static void *
watch_holders(void *arg)
{
	int64_t now, since;
	int k, i, n, first, second;

	(void)arg;
	for (;;) {
		sleep_ms(SAMPLE_MS);
		pthread_mutex_lock(&lock);
		now = now_ms();
		for (k = 0; k < KEYS / SAMPLE_STEP; k++) {
			first = second = -1;
			for (i = n = 0; i < nupstreams; i++) {
				if (!upstreams[i]->keyed ||
				    upstreams[i]->until_ms[k * SAMPLE_STEP] <=
					now)
					continue;
				n++;
				if (first < 0)
					first = i;
				else
					second = i;
			}
			since = double_since_ms[k];
			if (n < 2) {
				double_since_ms[k] = 0;
				continue;
			}
			if (since == 0) {
				double_since_ms[k] = now;
				record("two holders: key %d, %s and %s",
				    k * SAMPLE_STEP, holder_name(first),
				    holder_name(second));
			} else if (now - since > double_hold_ms) {
				double_hold_ms = now - since;
			}
		}
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

int64_t
site_double_hold_ms(void)
{
	int64_t ms;

	pthread_mutex_lock(&lock);
	ms = double_hold_ms;
	pthread_mutex_unlock(&lock);
	return ms;
}

int
site_grants_of_busy_keys(void)
{
	int n;

	pthread_mutex_lock(&lock);
	n = grants_of_busy_keys;
	pthread_mutex_unlock(&lock);
	return n;
}

/* --- upstreams --- */

struct incoming {
	char method[16], path[256], id[ID_MAX], target[64];
	int key;
	int64_t deadline_ms;
	char *body;
};

/* Time until which the last hold of a key, also one that was released, would
 * have lasted. */
static int64_t would_hold_ms[UPSTREAMS_MAX][KEYS];

static void
check_busy(const struct upstream *to, int from_key, int to_key)
{
	int64_t now = now_ms();
	int i, s;

	for (i = 0; i < nupstreams; i++) {
		struct upstream *u = upstreams[i];

		if (u == to || !u->keyed)
			continue;
		for (s = 0; s < SLOTS; s++) {
			int key = u->runs[s].key;

			if (!u->runs[s].active || key < from_key ||
			    key > to_key || would_hold_ms[i][key] <= now)
				continue;
			grants_of_busy_keys++;
			record("key %d given to %s while %s still runs %s; its "
			       "hold would last %lld ms more",
			    key, to->id, u->id, u->runs[s].id,
			    (long long)(would_hold_ms[i][key] - now));
		}
	}
}

static int
index_of(const struct upstream *u)
{
	int i;

	for (i = 0; i < nupstreams; i++)
		if (upstreams[i] == u)
			return i;
	abort();
}

/* Returns the status of the answer. */
static int
take_grant(struct upstream *u, const char *text, int64_t arrived_ms)
{
	struct json_object *o = json_tokener_parse(text), *v;
	int from = -1, to = -1, me = index_of(u), k;
	uint64_t fence = 0;
	double hold_s = 0;
	bool renewal;

	if (o == NULL)
		return 400;
	if (json_object_object_get_ex(o, "from", &v))
		from = json_object_get_int(v);
	if (json_object_object_get_ex(o, "to", &v))
		to = json_object_get_int(v);
	if (json_object_object_get_ex(o, "fence", &v))
		fence = (uint64_t)json_object_get_int64(v);
	if (json_object_object_get_ex(o, "hold_s", &v))
		hold_s = json_object_get_double(v);
	json_object_put(o);
	if (from < 0 || to < from || to >= KEYS || fence == 0 || hold_s <= 0)
		return 400;
	for (k = from; k <= to; k++)
		if (u->highest[k] > fence)
			return 409;
	renewal = u->until_ms[from] > arrived_ms && u->highest[from] == fence;
	if (!renewal) {
		record("grant %d..%d fence %llu to %s", from, to,
		    (unsigned long long)fence, u->id);
		check_busy(u, from, to);
	}
	for (k = from; k <= to; k++) {
		u->highest[k] = fence;
		u->until_ms[k] = arrived_ms + (int64_t)(hold_s * 1000);
		would_hold_ms[me][k] = u->until_ms[k];
	}
	return 200;
}

static bool
runs_key_of(const struct upstream *u, int from, int to)
{
	int s;

	for (s = 0; s < SLOTS; s++)
		if (u->runs[s].active && u->runs[s].key >= from &&
		    u->runs[s].key <= to)
			return true;
	return false;
}

static int
take_release(struct upstream *u, const char *text)
{
	struct json_object *o = json_tokener_parse(text), *v;
	int from = -1, to = -1, k;

	if (o != NULL && json_object_object_get_ex(o, "from", &v))
		from = json_object_get_int(v);
	if (o != NULL && json_object_object_get_ex(o, "to", &v))
		to = json_object_get_int(v);
	json_object_put(o);
	if (from < 0 || to < from || to >= KEYS)
		return 400;
	record("release %d..%d reaches %s", from, to, u->id);
	for (k = from; k <= to; k++)
		u->until_ms[k] = 0;
	while (runs_key_of(u, from, to))
		pthread_cond_wait(&changed, &lock);
	record("release %d..%d done at %s", from, to, u->id);
	return 200;
}

/* Reads one message; false at the end of the connection. */
static bool
read_message(int fd, char *buf, size_t *have, struct incoming *in)
{
	char *end, *line, *next, *colon, *value;
	size_t head, length = 0;
	ssize_t n;

	while ((end = memmem(buf, *have, "\r\n\r\n", 4)) == NULL) {
		if (*have >= HEAD_MAX)
			return false;
		n = recv(fd, buf + *have, HEAD_MAX - *have, 0);
		if (n <= 0)
			return false;
		*have += (size_t)n;
	}
	head = (size_t)(end - buf) + 4;
	*end = '\0';
	memset(in, 0, sizeof(*in));
	in->key = -1;
	if (sscanf(buf, "%15s %255s", in->method, in->path) != 2)
		return false;
	for (line = strstr(buf, "\r\n"); line != NULL; line = next) {
		line += 2;
		next = strstr(line, "\r\n");
		if (next != NULL)
			*next = '\0';
		colon = strchr(line, ':');
		if (colon == NULL)
			continue;
		*colon = '\0';
		value = colon + 1 + strspn(colon + 1, " ");
		if (strcasecmp(line, "Content-Length") == 0)
			length = strtoul(value, NULL, 10);
		else if (strcasecmp(line, "X-Dogwoodhub-Request-Id") == 0)
			snprintf(in->id, sizeof(in->id), "%s", value);
		else if (strcasecmp(line, "X-Dogwoodhub-Target-Instance") == 0)
			snprintf(in->target, sizeof(in->target), "%s", value);
		else if (strcasecmp(line, "X-Dogwoodhub-Shard-Key") == 0)
			in->key = atoi(value);
		else if (strcasecmp(line, "X-Dogwoodhub-Deadline-Ms") == 0)
			in->deadline_ms = now_ms() + atoi(value);
	}
	in->body = calloc(1, length + 1);
	*have -= head;
	memmove(buf, buf + head, *have);
	n = (ssize_t)(*have < length ? *have : length);
	memcpy(in->body, buf, (size_t)n);
	memmove(buf, buf + n, *have - (size_t)n);
	*have -= (size_t)n;
	while ((size_t)n < length) {
		ssize_t m = recv(fd, in->body + n, length - (size_t)n, 0);

		if (m <= 0)
			return false;
		n += m;
	}
	return true;
}

static bool
send_all(int fd, const char *text, size_t len)
{
	ssize_t n;

	while (len > 0) {
		n = send(fd, text, len, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		text += n;
		len -= (size_t)n;
	}
	return true;
}

/* Whether the caller has closed its connection. */
static bool
caller_left(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static int
free_slot(const struct upstream *u)
{
	int s;

	for (s = 0; s < SLOTS; s++)
		if (!u->runs[s].active)
			return s;
	return -1;
}

static int
running(const struct upstream *u)
{
	int s, n = 0;

	for (s = 0; s < SLOTS; s++)
		n += u->runs[s].active;
	return n;
}

static void start_thread(void *(*fn)(void *), void *arg);
static void *expire_entry(void *arg);

static void
crash_locked(struct upstream *u)
{
	struct connection *c;
	int s;

	record("crash of %s", u->id);
	u->down = true;
	u->life++;
	for (s = 0; s < SLOTS; s++)
		u->runs[s].active = false;
	memset(u->until_ms, 0, sizeof(u->until_ms));
	memset(u->highest, 0, sizeof(u->highest));
	(void)shutdown(u->listener, SHUT_RDWR);
	for (c = u->connections; c != NULL; c = c->next)
		(void)shutdown(c->fd, SHUT_RDWR);
	pthread_cond_broadcast(&changed);
	start_thread(expire_entry, u);
}

static void *
start_again_later(void *arg)
{
	sleep_ms(crash_down_ms);
	upstream_start_again(arg);
	return NULL;
}

/* The upstream ends because of a request, and is back later. */
static void
end_life(struct upstream *u)
{
	crash_locked(u);
	start_thread(start_again_later, u);
}

/* Runs a request, with the lock held; returns the status, and sets *not_run.  0
 * means that the upstream has ended. */
static int
run_request(
    struct upstream *u, int fd, const struct incoming *in, bool *not_run)
{
	uint32_t life = u->life;
	int64_t end_ms;
	bool fails, left, crashes;
	int s;

	*not_run = true;
	if (in->id[0] == '\0')
		return 400;
	if (free_slot(u) < 0 && u->waiting >= QUEUE)
		return 503;
	u->waiting++;
	while ((s = free_slot(u)) < 0)
		pthread_cond_wait(&changed, &lock);
	u->waiting--;
	if (u->life != life)
		return 0;
	if (in->deadline_ms != 0 && now_ms() >= in->deadline_ms)
		return 503;
	if (u->keyed &&
	    (in->key < 0 || in->key >= KEYS ||
		u->until_ms[in->key] <= now_ms()))
		return 421;
	*not_run = false;
	u->runs[s].active = true;
	u->runs[s].key = in->key;
	snprintf(u->runs[s].id, sizeof(u->runs[s].id), "%s", in->id);
	record("run %s %s at %s of %s", in->id, in->path, u->id, u->service);
	if (on_run != NULL)
		on_run(in->id, in->path, u->service, u->id);
	u->grey_credit += u->bad.grey_share;
	fails = u->grey_credit >= 1;
	if (fails)
		u->grey_credit -= 1;
	crashes = crash_path != NULL &&
	    strncmp(in->path, crash_path, strlen(crash_path)) == 0;
	if (crashes && crash_ms == 0) {
		end_life(u);
		return 0;
	}
	end_ms = now_ms() + (crashes ? crash_ms : work_ms);
	do {
		pthread_mutex_unlock(&lock);
		sleep_ms(10);
		left = caller_left(fd);
		pthread_mutex_lock(&lock);
	} while (now_ms() < end_ms && !left && u->life == life &&
	    (in->deadline_ms == 0 || now_ms() < in->deadline_ms));
	if (u->life != life)
		return 0;
	u->runs[s].active = false;
	pthread_cond_broadcast(&changed);
	if (now_ms() < end_ms)
		return 504;
	if (crashes) {
		end_life(u);
		return 0;
	}
	return fails ? u->bad.grey_status : 200;
}

static void
remove_connection(struct connection *c)
{
	struct connection **p = &c->u->connections;

	while (*p != c)
		p = &(*p)->next;
	*p = c->next;
	(void)close(c->fd);
	free(c);
}

static void *
serve(void *arg)
{
	struct connection *c = arg;
	struct upstream *u = c->u;
	char buf[HEAD_MAX + 1], out[1024], last[1024] = "", body[128];
	struct incoming in;
	size_t have = 0;
	bool not_run, order, release, ok;
	int status;

	memset(&in, 0, sizeof(in));
	while (read_message(c->fd, buf, &have, &in)) {
		int64_t arrived_ms = now_ms();

		order = strncmp(in.path, "/dogwoodhub/", 12) == 0;
		release = strcmp(in.path, "/dogwoodhub/release") == 0;
		not_run = false;
		pthread_mutex_lock(&lock);
		if (in.target[0] != '\0' && strcmp(in.target, u->id) != 0) {
			status = 421;
			not_run = true;
		} else if (release) {
			if (u->bad.extra_before_release && last[0] != '\0' &&
			    u->extra < u->bad.extra_max) {
				u->extra++;
				record("%s answers the order before once more",
				    u->id);
				pthread_mutex_unlock(&lock);
				(void)send_all(c->fd, last, strlen(last));
				pthread_mutex_lock(&lock);
			}
			status = take_release(u, in.body);
		} else if (order) {
			status = take_grant(u, in.body, arrived_ms);
		} else if (strcmp(in.path, "/health") == 0) {
			status = u->draining ? 503 : 200;
		} else {
			status = run_request(u, c->fd, &in, &not_run);
		}
		snprintf(body, sizeof(body), order ? "" : "body of %s", in.id);
		snprintf(out, sizeof(out),
		    "HTTP/1.1 %d x\r\nContent-Length: %zu\r\n"
		    "X-Dogwoodhub-Instance-Id: %s\r\n"
		    "X-Dogwoodhub-Server-Load: %d,%d,%d\r\n%s%s%s%s%s%s%s%s\r\n"
		    "%s",
		    status, strlen(body), u->id, running(u), u->waiting, SLOTS,
		    in.id[0] == '\0' ? "" : "X-Dogwoodhub-Request-Id: ", in.id,
		    in.id[0] == '\0' ? "" : "\r\n",
		    not_run ? "X-Dogwoodhub-Not-Executed: 1\r\n" : "",
		    not_run || order ? "" : "X-Dogwoodhub-Server-Stamp: s-",
		    not_run || order ? "" : in.id,
		    not_run || order ? "" : "\r\n",
		    release && status == 200
			? "X-Dogwoodhub-Handover: 5c0e7a21d94b36f8\r\n"
			: "",
		    body);
		u->answers++;
		pthread_mutex_unlock(&lock);
		free(in.body);
		ok = status != 0 && send_all(c->fd, out, strlen(out));
		snprintf(last, sizeof(last), "%s", order ? out : "");
		if (!ok)
			break;
	}
	pthread_mutex_lock(&lock);
	remove_connection(c);
	pthread_mutex_unlock(&lock);
	return NULL;
}

static void
start_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &attr, fn, arg) != 0) {
		fprintf(stderr, "cannot start a thread\n");
		exit(2);
	}
	pthread_attr_destroy(&attr);
}

static void *
accept_connections(void *arg)
{
	struct upstream *u = arg;
	struct connection *c;
	int listener = u->listener, fd, on = 1;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = calloc(1, sizeof(*c));
		c->u = u;
		c->fd = fd;
		pthread_mutex_lock(&lock);
		if (u->down) {
			(void)close(fd);
			free(c);
		} else {
			c->next = u->connections;
			u->connections = c;
			start_thread(serve, c);
		}
		pthread_mutex_unlock(&lock);
	}
	(void)close(listener);
	return NULL;
}

static void
write_entry(struct upstream *u)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
	    "\"cold_left_s\":0,\"sequence\":1,\"born\":%lld}",
	    u->service, u->port, SLOTS, u->draining ? "draining" : "ready",
	    (long long)u->born_ms);
	store_put("servers", u->id, text);
}

void
entries_again(void)
{
	int i;

	for (i = 0; i < nupstreams; i++)
		if (!upstreams[i]->down)
			write_entry(upstreams[i]);
}

static bool
upstream_listen(struct upstream *u)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(u->port) };
	int on = 1;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	u->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	(void)setsockopt(
	    u->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(u->listener, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
	    listen(u->listener, 128) == 0)
		return true;
	(void)close(u->listener);
	return false;
}

static void
upstream_open(struct upstream *u)
{
	while (!upstream_listen(u)) {
		if (u->life == 0) {
			perror("upstream");
			exit(2);
		}
		sleep_ms(20);
	}
	u->born_ms = clock_ms(CLOCK_REALTIME);
	u->down = false;
	start_thread(accept_connections, u);
	write_entry(u);
}

struct upstream *
site_upstream(const char *id, const char *service, uint16_t port, bool keyed)
{
	struct upstream *u = calloc(1, sizeof(*u));

	snprintf(u->id, sizeof(u->id), "%s", id);
	snprintf(u->service, sizeof(u->service), "%s", service);
	u->port = port;
	u->keyed = keyed;
	u->bad.grey_status = 500;
	pthread_mutex_lock(&lock);
	upstreams[nupstreams++] = u;
	pthread_mutex_unlock(&lock);
	upstream_open(u);
	return u;
}

static void *
expire_entry(void *arg)
{
	struct upstream *u = arg;
	uint32_t life = u->life;
	bool expired;

	sleep_ms(ENTRY_LIFE_MS);
	pthread_mutex_lock(&lock);
	expired = u->down && u->life == life;
	pthread_mutex_unlock(&lock);
	if (expired)
		store_delete("servers", u->id);
	return NULL;
}

void
upstream_crash(struct upstream *u)
{
	pthread_mutex_lock(&lock);
	crash_locked(u);
	pthread_mutex_unlock(&lock);
}

void
upstream_start_again(struct upstream *u)
{
	upstream_open(u);
	record("%s starts again", u->id);
}

struct misbehaviour *
upstream_misbehaviour(struct upstream *u)
{
	return &u->bad;
}

void
upstream_set_draining(struct upstream *u)
{
	u->draining = true;
	write_entry(u);
}

int64_t
upstream_born_ms(const struct upstream *u)
{
	return u->born_ms;
}

uint32_t
upstream_extra_answers(const struct upstream *u)
{
	return u->extra;
}

uint32_t
upstream_answers(const struct upstream *u)
{
	return u->answers;
}

static void
store_listen(uint16_t port, int gateway)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port) };

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
		port, NULL, NULL, on_store, (void *)(intptr_t)gateway,
		MHD_OPTION_SOCK_ADDR, &sin, MHD_OPTION_NOTIFY_COMPLETED,
		on_store_done, NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_END) == NULL) {
		fprintf(stderr, "cannot start the store\n");
		exit(2);
	}
}

/* Passes datagrams of gateway from on to gateway to, as from that address. */
struct relay {
	int from, to, in, out;
	struct sockaddr_in target;
};

static void *
relay_datagrams(void *arg)
{
	struct relay *r = arg;
	char data[65536];
	ssize_t n;
	bool cut;

	while ((n = recv(r->in, data, sizeof(data), 0)) >= 0) {
		pthread_mutex_lock(&lock);
		cut = cuts[r->from] || cuts[r->to];
		pthread_mutex_unlock(&lock);
		if (!cut)
			(void)sendto(r->out, data, (size_t)n, 0,
			    (struct sockaddr *)&r->target, sizeof(r->target));
	}
	return NULL;
}

static struct sockaddr_in
gateway_address(int ip, uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port) };

	sin.sin_addr.s_addr = htonl(0x7f000000u + (uint32_t)ip);
	return sin;
}

static int
udp_socket(int ip, uint16_t port)
{
	struct sockaddr_in sin = gateway_address(ip, port);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		perror("relay");
		exit(2);
	}
	return fd;
}

void
site_network(int first_ip, int n, uint16_t store_port, uint16_t peer_port)
{
	struct relay *r;
	int i, j;

	for (i = 0; i < n; i++) {
		store_listen((uint16_t)(store_port + 1 + i), i);
		for (j = 0; j < n; j++) {
			if (i == j)
				continue;
			r = calloc(1, sizeof(*r));
			r->from = i;
			r->to = j;
			r->in =
			    udp_socket(first_ip + j, (uint16_t)(peer_port + i));
			r->out = udp_socket(first_ip + i, 0);
			r->target = gateway_address(
			    first_ip + j, (uint16_t)(peer_port + j));
			start_thread(relay_datagrams, r);
		}
	}
}

void
site_cut(int gateway, bool cut)
{
	pthread_mutex_lock(&lock);
	cuts[gateway] = cut;
	record("gateway %d is %s", gateway + 1,
	    cut ? "cut off from the store and the other gateways" : "back");
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

void
store_away(bool is_away)
{
	pthread_mutex_lock(&lock);
	away = is_away;
	record("the store %s", away ? "is away" : "is back");
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

void
store_copy(void)
{
	int i;

	pthread_mutex_lock(&lock);
	memcpy(copied, objects, sizeof(copied));
	for (i = 0; i < nobjects; i++)
		(void)json_object_get(copied[i].spec);
	ncopied = nobjects;
	copied_revision = revision;
	record(
	    "copy of the store at revision %llu", (unsigned long long)revision);
	pthread_mutex_unlock(&lock);
}

void
store_restore(void)
{
	pthread_mutex_lock(&lock);
	memcpy(objects, copied, sizeof(objects));
	nobjects = ncopied;
	revision = copied_revision;
	era++;
	record("the store holds the copy of revision %llu, era %llu",
	    (unsigned long long)revision, (unsigned long long)era);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

int
store_leader(int first_ip)
{
	struct json_object *v;
	int i, ip, found = -1;

	pthread_mutex_lock(&lock);
	for (i = 0; i < nobjects; i++)
		if (strcmp(objects[i].name, "leader") == 0 &&
		    json_object_object_get_ex(objects[i].spec, "ip", &v) &&
		    sscanf(json_object_get_string(v), "127.0.0.%d", &ip) == 1)
			found = ip - first_ip;
	pthread_mutex_unlock(&lock);
	return found;
}

void
site_open(uint16_t port, const char *record_path)
{
	pthread_condattr_t attr;

	(void)signal(SIGPIPE, SIG_IGN);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&changed, &attr);
	began_ms = now_ms();
	record_file = fopen(record_path, "w");
	if (record_file == NULL) {
		perror(record_path);
		exit(2);
	}
	store_listen(port, -1);
	start_thread(watch_holders, NULL);
}

/* --- clients --- */

#define DEADLINE_MS 2500

static volatile bool stopping;
static uint32_t sent, done, active;
static int client_pause_ms, client_first_ip, client_gateways;
static uint16_t client_port;
static void (*client_make)(uint32_t number, struct client_request *r);

/* Sends one request on a new connection and reads the answer to its end. */
static int
ask(int ip, uint16_t port, const char *id, const struct client_request *r)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port) };
	char text[1024], key[64] = "", answer[4096];
	struct timeval tv = { 4, 0 };
	size_t have = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), status = 0;
	ssize_t n;

	snprintf(text, sizeof(text), "127.0.0.%d", ip);
	(void)inet_pton(AF_INET, text, &sin.sin_addr);
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		(void)close(fd);
		return 0;
	}
	if (r->key >= 0)
		snprintf(
		    key, sizeof(key), "X-Dogwoodhub-Shard-Key: %d\r\n", r->key);
	snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: h.example\r\n"
	    "X-Dogwoodhub-Request-Id: %s\r\n"
	    "X-Dogwoodhub-Deadline-Ms: %d\r\n%s%s"
	    "Connection: close\r\n\r\n",
	    r->method, r->path, id, DEADLINE_MS, key,
	    strcmp(r->method, "GET") == 0 ? "" : "Content-Length: 0\r\n");
	if (send_all(fd, text, strlen(text)))
		while (have < sizeof(answer) - 1 &&
		    (n = recv(
			 fd, answer + have, sizeof(answer) - 1 - have, 0)) > 0)
			have += (size_t)n;
	(void)close(fd);
	answer[have] = '\0';
	if (sscanf(answer, "HTTP/1.1 %d", &status) != 1)
		status = 0;
	return status;
}

int
clients_ask(int ip, uint16_t port, const struct client_request *r)
{
	static uint32_t number;
	char id[ID_MAX];

	snprintf(id, sizeof(id), "probe-%u", number++);
	return ask(ip, port, id, r);
}

static void *
client(void *arg)
{
	struct client_request r;
	uint32_t number;
	char id[ID_MAX];
	int status, ip;

	(void)arg;
	while (!stopping) {
		number = __atomic_fetch_add(&sent, 1, __ATOMIC_RELAXED);
		ip =
		    client_first_ip + (int)(number % (uint32_t)client_gateways);
		snprintf(id, sizeof(id), "q-%u", number);
		client_make(number, &r);
		pthread_mutex_lock(&lock);
		record("send %s %s %s key %d to 127.0.0.%d", id, r.method,
		    r.path, r.key, ip);
		pthread_mutex_unlock(&lock);
		status = ask(ip, client_port, id, &r);
		pthread_mutex_lock(&lock);
		record("answer %s %d", id, status);
		if (on_answer != NULL)
			on_answer(number, r.method, status);
		pthread_mutex_unlock(&lock);
		if (status == 200)
			(void)__atomic_fetch_add(&done, 1, __ATOMIC_RELAXED);
		sleep_ms(client_pause_ms);
	}
	(void)__atomic_fetch_sub(&active, 1, __ATOMIC_RELAXED);
	return NULL;
}

void
clients_start(int threads, int pause_ms, int first_ip, int n, uint16_t port,
    void (*make)(uint32_t number, struct client_request *r))
{
	client_pause_ms = pause_ms;
	client_first_ip = first_ip;
	client_gateways = n;
	client_port = port;
	client_make = make;
	active = (uint32_t)threads;
	while (threads-- > 0)
		start_thread(client, NULL);
}

void
clients_stop(void)
{
	stopping = true;
	while (__atomic_load_n(&active, __ATOMIC_RELAXED) > 0)
		sleep_ms(20);
	pthread_mutex_lock(&lock);
	fflush(record_file);
	pthread_mutex_unlock(&lock);
}

uint32_t
clients_sent(void)
{
	return __atomic_load_n(&sent, __ATOMIC_RELAXED);
}

uint32_t
clients_done(void)
{
	return __atomic_load_n(&done, __ATOMIC_RELAXED);
}
