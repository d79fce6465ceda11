#include "gateway/neighbour.h"

#include <string.h>

#include <dogwoodhub/key.h>

#include "base/opslog.h"

/* A VM serves the lists if it has this many times the smallest processor
 * share. */
#define CORE_SHARE_FACTOR 2
/* If reading the object takes longer, the VM reads the lists from the store. */
#define FIND_TIMEOUT_MS 300

struct dh_neighbour_search {
	const struct dh_gateway_settings *settings;
	struct dh_objects_call *call;
	void (*done)(void *arg, const char *ip);
	void *arg;
};

static int
compare_names(const void *a, const void *b)
{
	return strcmp(((const struct dh_neighbour *)a)->vm,
	    ((const struct dh_neighbour *)b)->vm);
}

static int64_t
smallest_core_share(const struct dh_neighbour *list, size_t n)
{
	int64_t least = INT64_MAX;
	size_t i;

	for (i = 0; i < n; i++)
		if (list[i].core_share_milli > 0)
			least = MIN(least, list[i].core_share_milli);
	return least;
}

char *
dh_neighbours_spec(struct dh_neighbour *list, size_t n)
{
	g_autoptr(GString) text = g_string_new("{\"vms\":[");
	int64_t least = smallest_core_share(list, n);
	bool any = false;
	size_t i;

	qsort(list, n, sizeof(*list), compare_names);
	for (i = 0; i < n; i++) {
		if (list[i].core_share_milli / CORE_SHARE_FACTOR < least ||
		    list[i].zone[0] == '\0')
			continue;
		g_string_append_printf(text, "%s[\"%s\",\"%s\",\"%s\"]",
		    any ? "," : "", list[i].vm, list[i].zone, list[i].ip);
		any = true;
	}
	if (!any)
		return NULL;
	g_string_append(text, "]}");
	return g_strdup(text->str);
}

static const char *
text_at(struct json_object *row, size_t i)
{
	struct json_object *v = json_object_array_get_idx(row, i);

	return json_object_is_type(v, json_type_string)
	    ? json_object_get_string(v)
	    : "";
}

char *
dh_neighbour_choose(struct json_object *spec, const char *vm, const char *zone)
{
	struct json_object *list = NULL, *row;
	const char *best = NULL;
	uint64_t weight, most = 0;
	size_t i;

	if (!json_object_is_type(spec, json_type_object) ||
	    !json_object_object_get_ex(spec, "vms", &list) ||
	    !json_object_is_type(list, json_type_array))
		return NULL;
	for (i = 0; i < json_object_array_length(list); i++) {
		g_autofree char *pair = NULL;

		row = json_object_array_get_idx(list, i);
		if (!json_object_is_type(row, json_type_array))
			continue;
		if (strcmp(text_at(row, 0), vm) == 0)
			return NULL;
		if (strcmp(text_at(row, 1), zone) != 0 ||
		    text_at(row, 2)[0] == '\0')
			continue;
		/* Rendezvous hashing: each VM ranks the candidates by a hash of
		 * both names, which spreads the VMs evenly over them. */
		pair = g_strconcat(vm, "/", text_at(row, 0), NULL);
		weight = dh_key_hash(pair, strlen(pair));
		if (best == NULL || weight > most) {
			best = text_at(row, 2);
			most = weight;
		}
	}
	return g_strdup(best);
}

static void
on_found(void *arg, const struct dh_objects_reply *r)
{
	struct dh_neighbour_search *s = arg;
	g_autofree char *ip = NULL;

	if (r->result == DH_OBJECTS_OK && r->nitems == 1)
		ip = dh_neighbour_choose(
		    r->items[0].spec, s->settings->vm, s->settings->zone);
	dh_opslog_add(DH_OPS_STATE, "start.from",
	    ",\"source\":\"%s\",\"status\":%ld", ip == NULL ? "store" : ip,
	    r->status);
	s->done(s->arg, ip);
	g_free(s);
}

struct dh_neighbour_search *
dh_neighbour_find(struct dh_objects *o, const char *kind,
    const struct dh_gateway_settings *settings,
    void (*done)(void *arg, const char *ip), void *arg)
{
	struct dh_neighbour_search *s = g_new0(struct dh_neighbour_search, 1);

	s->settings = settings;
	s->done = done;
	s->arg = arg;
	s->call = dh_objects_get(o, kind, DH_NEIGHBOURS_OBJECT, DH_STALE,
	    FIND_TIMEOUT_MS, on_found, s);
	return s;
}

void
dh_neighbour_cancel(struct dh_neighbour_search *s)
{
	if (s == NULL)
		return;
	dh_objects_cancel(s->call);
	g_free(s);
}
