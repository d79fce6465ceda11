#ifndef DH_TESTS_FAKE_OBJECTS_H
#define DH_TESTS_FAKE_OBJECTS_H

/*
 * Fake of platform/objects.  Its calls stay open until the test answers them;
 * there is at most one open call per kind of objects.
 */
#include <glib.h>

#include "platform/objects.h"

struct dh_objects_call {
	char *kind;
	bool watch;
	char *put; /* spec to be written; NULL: the call reads */
	uint64_t revision; /* revision to be replaced */
	uint64_t since; /* watch: changes after this revision */
	int64_t wait_ms;
	enum dh_freshness freshness;
	struct dh_objects *from; /* list: the store or VM that is asked */
	dh_objects_fn done;
	void *arg;
};

static GPtrArray *fake_calls; /* open calls, oldest first */
static uint32_t fake_calls_made;
static uint32_t fake_cancelled;
static uint64_t fake_era; /* era in the answers */

static struct dh_objects_call *
fake_call(const char *kind, dh_objects_fn done, void *arg)
{
	struct dh_objects_call *c = g_new0(struct dh_objects_call, 1);

	if (fake_calls == NULL)
		fake_calls = g_ptr_array_new();
	c->kind = g_strdup(kind);
	c->done = done;
	c->arg = arg;
	g_ptr_array_add(fake_calls, c);
	fake_calls_made++;
	return c;
}

static void
fake_free(struct dh_objects_call *c)
{
	g_ptr_array_remove(fake_calls, c);
	g_free(c->kind);
	g_free(c->put);
	g_free(c);
}

struct dh_objects_call *
dh_objects_list(struct dh_objects *o, const char *kind, const char *after,
    enum dh_freshness freshness, int64_t timeout_ms, dh_objects_fn done,
    void *arg)
{
	struct dh_objects_call *c = fake_call(kind, done, arg);

	(void)after;
	(void)timeout_ms;
	c->from = o;
	c->freshness = freshness;
	return c;
}

struct dh_objects_call *
dh_objects_watch(struct dh_objects *o, const char *kind, uint64_t since,
    int64_t wait_ms, enum dh_freshness freshness, int64_t timeout_ms,
    dh_objects_fn done, void *arg)
{
	struct dh_objects_call *c = fake_call(kind, done, arg);

	(void)o;
	(void)timeout_ms;
	c->freshness = freshness;
	c->watch = true;
	c->since = since;
	c->wait_ms = wait_ms;
	return c;
}

/* A call for a single object has the object's name as its kind. */
struct dh_objects_call *
dh_objects_get(struct dh_objects *o, const char *kind, const char *name,
    enum dh_freshness freshness, int64_t timeout_ms, dh_objects_fn done,
    void *arg)
{
	struct dh_objects_call *c = fake_call(name, done, arg);

	(void)o;
	(void)kind;
	(void)timeout_ms;
	c->freshness = freshness;
	return c;
}

struct dh_objects_call *
dh_objects_put(struct dh_objects *o, const char *kind, const char *name,
    uint64_t revision, const char *spec, int64_t timeout_ms, dh_objects_fn done,
    void *arg)
{
	struct dh_objects_call *c = fake_call(name, done, arg);

	(void)o;
	(void)kind;
	(void)timeout_ms;
	c->put = g_strdup(spec);
	c->revision = revision;
	return c;
}

void
dh_objects_list_append(
    GString *list, const char *name, uint64_t revision, const char *spec)
{
	g_string_append_printf(
	    list, "%s@%llu=%s ", name, (unsigned long long)revision, spec);
}

void
dh_objects_list_finish(GString *list, uint64_t as_of)
{
	g_string_append_printf(list, "as of %llu", (unsigned long long)as_of);
}

void
dh_objects_cancel(struct dh_objects_call *c)
{
	if (c == NULL)
		return;
	fake_cancelled++;
	fake_free(c);
}

/* The oldest open call for a kind, or NULL. */
static struct dh_objects_call *
fake_open(const char *kind)
{
	guint i;

	for (i = 0; fake_calls != NULL && i < fake_calls->len; i++) {
		struct dh_objects_call *c = fake_calls->pdata[i];

		if (strcmp(c->kind, kind) == 0)
			return c;
	}
	return NULL;
}

/* Answers the oldest open call for a kind, if there is one. */
static void
fake_answer(const char *kind, enum dh_objects_result result, uint64_t as_of,
    const struct dh_object_view *items, size_t n)
{
	struct dh_objects_call *c = fake_open(kind);
	struct dh_objects_reply r = { .result = result,
		.items = items,
		.nitems = n,
		.as_of = as_of,
		.era = fake_era };
	dh_objects_fn done;
	void *arg;

	if (c == NULL)
		return;
	done = c->done;
	arg = c->arg;
	fake_free(c);
	done(arg, &r);
}

#endif
