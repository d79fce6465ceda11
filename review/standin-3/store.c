/*
 * The platform's store: objects by kind and name, lists, watches, conditional
 * writes.  Entries of kind "servers" are removed after LIFE_MS without a write.
 *
 * After SIGUSR1, the next write that records a move of keys begins an outage: it
 * is carried out, but all connections end without an answer, and calls get 503
 * for DOWN_MS.
 *
 * usage: store PORT RECORD CONFIG_FILE
 * CONFIG_FILE holds the spec of config/main, which is written at the start.
 */
#include "http3.h"

#include <json-c/json.h>

#define OBJECTS "/dogwoodhub/objects/"
#define LIFE_MS 2610 /* three heartbeats */
#define OBJECTS_MAX 1024
#define CONNS_MAX 1024
#define DOWN_MS 1500

struct object {
	char kind[64], name[192];
	uint64_t revision;
	struct json_object *spec;
	bool deleted;
	int64_t written_ms;
};

static struct object objects[OBJECTS_MAX];
static size_t nobjects;
static uint64_t revision = 1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static volatile sig_atomic_t armed; /* SIGUSR1 has come */
static int64_t down_until_ms;
static int conns[CONNS_MAX]; /* open connections */
static size_t nconns;

static void
on_signal(int sig)
{
	(void)sig;
	armed = 1;
}

static struct object *
find(const char *kind, const char *name)
{
	size_t i;

	for (i = 0; i < nobjects; i++)
		if (strcmp(objects[i].kind, kind) == 0 &&
		    strcmp(objects[i].name, name) == 0)
			return &objects[i];
	return NULL;
}

/* Whether two specs differ in nothing but "sequence". */
static bool
same_but_sequence(struct json_object *a, struct json_object *b)
{
	struct json_object *x = NULL, *y = NULL;
	bool same = json_object_is_type(a, json_type_object) &&
	    json_object_is_type(b, json_type_object) &&
	    json_object_deep_copy(a, &x, NULL) == 0 &&
	    json_object_deep_copy(b, &y, NULL) == 0;

	if (same) {
		json_object_object_del(x, "sequence");
		json_object_object_del(y, "sequence");
		same = json_object_equal(x, y);
	}
	json_object_put(x);
	json_object_put(y);
	return same;
}

/* Writes an object, or deletes it with spec NULL.  A write that changes nothing
 * makes no revision, nor does an upstream's that changes only "sequence". */
static struct object *
write_object(const char *kind, const char *name, struct json_object *spec)
{
	struct object *o = find(kind, name);

	if (o == NULL) {
		if (nobjects == OBJECTS_MAX)
			exit(2);
		o = &objects[nobjects++];
		(void)snprintf(o->kind, sizeof(o->kind), "%s", kind);
		(void)snprintf(o->name, sizeof(o->name), "%s", name);
	}
	o->written_ms = now_ms();
	if (spec != NULL && !o->deleted && o->spec != NULL &&
	    (json_object_equal(spec, o->spec) ||
		(strcmp(kind, "servers") == 0 &&
		    same_but_sequence(spec, o->spec))))
		return o;
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
	struct json_object *j = json_object_new_object();
	struct json_object *m = json_object_new_object();

	json_object_object_add(m, "name", json_object_new_string(o->name));
	json_object_object_add(
	    m, "revision", json_object_new_int64((int64_t)o->revision));
	json_object_object_add(m, "created", json_object_new_int(1));
	json_object_object_add(m, "finalizers", json_object_new_array());
	json_object_object_add(m, "terminating", json_object_new_boolean(0));
	json_object_object_add(j, "metadata", m);
	json_object_object_add(j, "spec", json_object_get(o->spec));
	json_object_object_add(j, "status", NULL);
	return j;
}

/* The objects of a kind that changed after since; with events, also deleted
 * ones. */
static struct json_object *
list_json(const char *kind, uint64_t since, bool events, size_t *n)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array(), *e;
	size_t i;

	*n = 0;
	for (i = 0; i < nobjects; i++) {
		const struct object *o = &objects[i];

		if (strcmp(o->kind, kind) != 0 || o->revision <= since ||
		    (!events && o->deleted))
			continue;
		(*n)++;
		e = object_json(o);
		if (events) {
			struct json_object *ev = json_object_new_object();

			json_object_object_add(
			    ev, "deleted", json_object_new_boolean(o->deleted));
			json_object_object_add(ev, "object", e);
			e = ev;
		}
		json_object_array_add(list, e);
	}
	json_object_object_add(root, events ? "events" : "items", list);
	if (!events)
		json_object_object_add(
		    root, "more", json_object_new_boolean(0));
	json_object_object_add(
	    root, "as_of", json_object_new_int64((int64_t)revision));
	return root;
}

static void
answer(int fd, int status, struct json_object *j)
{
	const char *text = j == NULL
	    ? "{}"
	    : json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN);

	(void)respond(fd, status, "Content-Type: application/json\r\n", text,
	    strlen(text));
	json_object_put(j);
}

static long long
query_number(const char *query, const char *name)
{
	const char *p = query == NULL ? NULL : strstr(query, name);

	return p == NULL ? -1 : atoll(p + strlen(name));
}

static void
expire_servers(void)
{
	int64_t now = now_ms();
	size_t i;

	if (now < down_until_ms)
		for (i = 0; i < nobjects; i++)
			objects[i].written_ms = now;
	for (i = 0; i < nobjects; i++)
		if (strcmp(objects[i].kind, "servers") == 0 &&
		    !objects[i].deleted &&
		    now - objects[i].written_ms > LIFE_MS) {
			record("store expires servers/%s", objects[i].name);
			(void)write_object("servers", objects[i].name, NULL);
		}
}

static void *
sweep(void *arg)
{
	for (;;) {
		(void)usleep(50000);
		pthread_mutex_lock(&lock);
		expire_servers();
		pthread_mutex_unlock(&lock);
	}
	return arg;
}

static struct json_object *
get(const char *kind, const char *name, const char *query, int *status)
{
	long long since = query_number(query, "watch=");
	long long wait = query_number(query, "wait_ms=");
	struct json_object *j;
	struct timespec until;
	struct object *o;
	size_t n;

	*status = 200;
	if (name != NULL) {
		o = find(kind, name);
		if (o != NULL && !o->deleted)
			return object_json(o);
		*status = 404;
		return NULL;
	}
	if (since < 0)
		return list_json(kind, 0, false, &n);
	if ((uint64_t)since > revision) {
		*status = 410;
		return NULL;
	}
	(void)clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += (wait < 0 ? 0 : wait) / 1000;
	until.tv_nsec += (wait < 0 ? 0 : wait) % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	for (;;) {
		j = list_json(kind, (uint64_t)since, true, &n);
		if (n > 0 ||
		    pthread_cond_timedwait(&changed, &lock, &until) != 0)
			return j;
		json_object_put(j);
	}
}

static struct json_object *
write_call(const char *kind, const char *name, const char *body, int *status)
{
	struct json_object *root = json_tokener_parse(body), *meta, *v, *j;
	struct json_object *spec = NULL;
	uint64_t want = 0;
	struct object *o;

	*status = 400;
	if (root == NULL ||
	    !json_object_object_get_ex(root, "metadata", &meta) ||
	    !json_object_object_get_ex(root, "spec", &spec)) {
		json_object_put(root);
		return NULL;
	}
	if (json_object_object_get_ex(meta, "revision", &v))
		want = (uint64_t)json_object_get_int64(v);
	if (name == NULL && json_object_object_get_ex(meta, "name", &v)) {
		name = json_object_get_string(v);
		o = find(kind, name);
		*status = o != NULL && !o->deleted ? 409 : 200;
	} else {
		o = name == NULL ? NULL : find(kind, name);
		*status = o == NULL || o->deleted
		    ? 404
		    : (want != 0 && want != o->revision ? 409 : 200);
	}
	j = NULL;
	if (*status == 409)
		j = object_json(o);
	else if (*status == 200)
		j = object_json(write_object(kind, name, spec));
	json_object_put(root);
	return j;
}

/* Whether an object is a record of owners with keys on their way from one
 * upstream to another; notes the first of them. */
static bool
has_move(const char *kind, const char *name)
{
	const struct object *o = find(kind, name);
	struct json_object *ranges, *names, *r;
	int64_t from = 0, to, owner, former;
	size_t i;

	if (o == NULL || strncmp(name, "service.", 8) != 0 ||
	    !json_object_object_get_ex(o->spec, "ranges", &ranges) ||
	    !json_object_object_get_ex(o->spec, "servers", &names))
		return false;
	for (i = 0; i < json_object_array_length(ranges); i++, from = to + 1) {
		r = json_object_array_get_idx(ranges, i);
		to = json_object_get_int64(json_object_array_get_idx(r, 0));
		owner = json_object_get_int64(json_object_array_get_idx(r, 1));
		former = json_object_get_int64(json_object_array_get_idx(r, 3));
		if (owner < 0 || former < 0)
			continue;
		record("store down: a write is carried out and not answered: "
		       "from=%lld to=%lld of=%s for=%s",
		    (long long)from, (long long)to,
		    json_object_get_string(json_object_array_get_idx(
			json_object_array_get_idx(names, (size_t)former), 0)),
		    json_object_get_string(json_object_array_get_idx(
			json_object_array_get_idx(names, (size_t)owner), 0)));
		return true;
	}
	return false;
}

/* Ends all connections; the lock is held. */
static void
go_down(void)
{
	size_t i;

	armed = 0;
	down_until_ms = now_ms() + DOWN_MS;
	for (i = 0; i < nconns; i++)
		(void)shutdown(conns[i], SHUT_RDWR);
	pthread_cond_broadcast(&changed);
}

static void
remove_conn(int fd)
{
	size_t i;

	for (i = 0; i < nconns; i++)
		if (conns[i] == fd) {
			conns[i] = conns[--nconns];
			return;
		}
}

/* Decodes %XX in place. */
static void
unescape(char *s)
{
	char *to = s;
	unsigned int c;

	for (; *s != '\0'; s++) {
		if (*s == '%' && sscanf(s + 1, "%2x", &c) == 1) {
			*to++ = (char)c;
			s += 2;
		} else {
			*to++ = *s;
		}
	}
	*to = '\0';
}

static void *
serve(void *arg)
{
	struct conn *c = arg;
	struct message *m = calloc(1, sizeof(*m));
	struct json_object *j;
	char *kind, *name, *query;
	int status;
	bool down;

	pthread_mutex_lock(&lock);
	if (nconns < CONNS_MAX)
		conns[nconns++] = c->fd;
	pthread_mutex_unlock(&lock);
	while (read_message(c, m, false, 0) == 1) {
		if (strncmp(m->path, OBJECTS, strlen(OBJECTS)) != 0) {
			(void)respond(c->fd, 404, "", "", 0);
			continue;
		}
		kind = m->path + strlen(OBJECTS);
		query = strchr(kind, '?');
		if (query != NULL)
			*query++ = '\0';
		name = strchr(kind, '/');
		if (name != NULL)
			*name++ = '\0';
		if (name != NULL)
			unescape(name);
		pthread_mutex_lock(&lock);
		if (now_ms() < down_until_ms) {
			pthread_mutex_unlock(&lock);
			if (strcmp(m->method, "GET") != 0 &&
			    strcmp(kind, "servers") != 0)
				record("store %s %s/%s 503", m->method, kind,
				    name == NULL ? "" : name);
			answer(c->fd, 503, NULL);
			continue;
		}
		j = strcmp(m->method, "GET") == 0
		    ? get(kind, name, query, &status)
		    : write_call(kind, name, m->body, &status);
		down = armed != 0 && strcmp(m->method, "PUT") == 0 &&
		    name != NULL && status == 200 && has_move(kind, name);
		if (down)
			go_down();
		pthread_mutex_unlock(&lock);
		/* Heartbeats and reads are too many for the record. */
		if (strcmp(m->method, "GET") != 0 &&
		    (strcmp(kind, "servers") != 0 || status != 200))
			record("store %s %s/%s %d %.200s", m->method, kind,
			    name == NULL ? "" : name, status, m->body);
		if (down) {
			json_object_put(j);
			break;
		}
		answer(c->fd, status, j);
	}
	pthread_mutex_lock(&lock);
	remove_conn(c->fd);
	pthread_mutex_unlock(&lock);
	(void)close(c->fd);
	free(m->body);
	free(m);
	free(c);
	return NULL;
}

int
main(int argc, char **argv)
{
	struct json_object *config;
	pthread_t t;

	if (argc != 4)
		return 2;
	(void)signal(SIGPIPE, SIG_IGN);
	(void)signal(SIGUSR1, on_signal);
	record_open(argv[2]);
	config = json_object_from_file(argv[3]);
	if (config == NULL)
		return 2;
	(void)write_object("config", "main", config);
	pthread_create(&t, NULL, sweep, NULL);
	accept_all(listen_on("127.0.0.1", atoi(argv[1])), serve);
	return 0;
}
