#include "store/wait.h"

struct blocking_call {
	bool done;
	struct dh_object *object;
	GPtrArray *list;
	GError *error;
};

static void
on_done(void *arg, const struct dh_object *object, const GError *error)
{
	struct blocking_call *w = arg;

	w->done = true;
	w->object = dh_object_copy(object);
	if (error != NULL)
		w->error = g_error_copy(error);
}

static void
on_each(void *arg, const struct dh_object *object, const GError *error)
{
	struct blocking_call *w = arg;

	if (object != NULL)
		g_ptr_array_add(w->list, dh_object_copy(object));
	else
		on_done(arg, NULL, error);
}

static void
run_until_done(struct dh_store *st, const struct blocking_call *w)
{
	while (!w->done)
		uv_run(dh_http_loop(dh_store_http(st)), UV_RUN_ONCE);
}

struct dh_object *
dh_store_wait_get(
    struct dh_store *st, const char *name, uint64_t version, GError **error)
{
	struct blocking_call w = { 0 };

	dh_store_get(st, name, version, on_done, &w);
	run_until_done(st, &w);
	if (w.error != NULL)
		g_propagate_error(error, w.error);
	return w.object;
}

uint64_t
dh_store_wait_put(struct dh_store *st, const char *name, uint64_t expect,
    const char *value, size_t len, GError **error)
{
	struct blocking_call w = { 0 };
	uint64_t version;

	dh_store_put(st, name, expect, value, len, on_done, &w);
	run_until_done(st, &w);
	if (w.error != NULL) {
		g_propagate_error(error, w.error);
		return 0;
	}
	version = w.object->version;
	dh_object_free(w.object);
	return version;
}

static void
object_free(gpointer object)
{
	dh_object_free(object);
}

GPtrArray *
dh_store_wait_list(struct dh_store *st, const char *prefix, GError **error)
{
	struct blocking_call w = { 0 };

	w.list = g_ptr_array_new_with_free_func(object_free);
	dh_store_list(st, prefix, on_each, &w);
	run_until_done(st, &w);
	if (w.error == NULL)
		return w.list;
	g_ptr_array_unref(w.list);
	g_propagate_error(error, w.error);
	return NULL;
}
