#include "report/sample.h"

#include <string.h>

#include <json.h>

enum { COUNTS = 5 }; /* numbers in the JSON form of dh_sample_counts */

struct dh_sample *
dh_sample_new(int64_t wall_ms, const char *vm, uint64_t incarnation)
{
	struct dh_sample *s = g_new0(struct dh_sample, 1);

	s->wall_ms = wall_ms;
	(void)g_strlcpy(s->vm, vm, sizeof(s->vm));
	s->incarnation = incarnation;
	s->services =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_sample_service));
	return s;
}

void
dh_sample_free(struct dh_sample *s)
{
	if (s == NULL)
		return;
	g_array_unref(s->services);
	g_free(s);
}

static void
sample_free(gpointer s)
{
	dh_sample_free(s);
}

GPtrArray *
dh_samples_new(void)
{
	return g_ptr_array_new_with_free_func(sample_free);
}

static int
service_cmp(gconstpointer a, gconstpointer b)
{
	const struct dh_sample_service *x = a, *y = b;

	return strcmp(x->name, y->name);
}

static struct dh_sample_counts *
find_or_add_counts(struct dh_sample *s, const char *service)
{
	struct dh_sample_service key = { 0 };
	guint i;

	(void)g_strlcpy(key.name, service, sizeof(key.name));
	if (!g_array_binary_search(s->services, &key, service_cmp, &i)) {
		g_array_append_val(s->services, key);
		g_array_sort(s->services, service_cmp);
		(void)g_array_binary_search(s->services, &key, service_cmp, &i);
	}
	return &g_array_index(s->services, struct dh_sample_service, i).counts;
}

/* Returns the value of a label in a list like a="x",b="y", or NULL if the list
 * lacks the label.  The caller frees the value. */
static char *
label_value(const char *labels, const char *name)
{
	g_autofree char *start = g_strconcat(name, "=\"", NULL);
	const char *at = strstr(labels, start), *end;

	if (at == NULL || (at > labels && at[-1] != ','))
		return NULL;
	at += strlen(start);
	end = strchr(at, '"');
	return end == NULL ? NULL : g_strndup(at, (gsize)(end - at));
}

static void
store_counter(
    struct dh_sample *s, const char *name, const char *labels, uint64_t value)
{
	g_autofree char *service = label_value(labels, "service");
	g_autofree char *outcome = label_value(labels, "outcome");
	struct dh_sample_counts *c;

	if (service == NULL || *service == '\0')
		return;
	if (strcmp(name, "dh_slo_total") == 0) {
		find_or_add_counts(s, service)->total = value;
		return;
	}
	if (strcmp(name, "dh_slo_good_total") == 0) {
		find_or_add_counts(s, service)->good = value;
		return;
	}
	if (strcmp(name, "dh_requests_total") != 0 || outcome == NULL)
		return;
	c = find_or_add_counts(s, service);
	if (strcmp(outcome, "done") == 0)
		c->done = value;
	else if (strcmp(outcome, "not-run") == 0)
		c->not_run = value;
	else if (strcmp(outcome, "unknown") == 0)
		c->unknown = value;
}

/* Reads a metrics line of the form: name{labels} value */
static void
read_line(struct dh_sample *s, char *line)
{
	char *open = strchr(line, '{'), *close, *end;
	uint64_t value;

	if (*line == '#' || open == NULL)
		return;
	close = strchr(open, '}');
	if (close == NULL)
		return;
	*open = *close = '\0';
	value = g_ascii_strtoull(close + 1, &end, 10);
	if (end != close + 1)
		store_counter(s, line, open + 1, value);
}

void
dh_sample_read(struct dh_sample *s, const char *text)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	size_t i;

	for (i = 0; lines[i] != NULL; i++)
		read_line(s, lines[i]);
}

char *
dh_sample_print(const struct dh_sample *s)
{
	struct json_object *root = json_object_new_object();
	struct json_object *services = json_object_new_object(), *list;
	const struct dh_sample_service *sv;
	char *text;
	guint i;

	json_object_object_add(
	    root, "wall_ms", json_object_new_int64(s->wall_ms));
	json_object_object_add(root, "vm", json_object_new_string(s->vm));
	json_object_object_add(
	    root, "incarnation", json_object_new_uint64(s->incarnation));
	for (i = 0; i < s->services->len; i++) {
		sv = &g_array_index(s->services, struct dh_sample_service, i);
		list = json_object_new_array();
		json_object_array_add(
		    list, json_object_new_uint64(sv->counts.total));
		json_object_array_add(
		    list, json_object_new_uint64(sv->counts.good));
		json_object_array_add(
		    list, json_object_new_uint64(sv->counts.done));
		json_object_array_add(
		    list, json_object_new_uint64(sv->counts.not_run));
		json_object_array_add(
		    list, json_object_new_uint64(sv->counts.unknown));
		json_object_object_add(services, sv->name, list);
	}
	json_object_object_add(root, "services", services);
	text = g_strdup(
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return text;
}

static struct json_object *
field(struct json_object *o, const char *name, enum json_type type)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, type))
		return NULL;
	return v;
}

static uint64_t
number_at(struct json_object *list, size_t i)
{
	return json_object_get_uint64(json_object_array_get_idx(list, i));
}

static bool
parse_services(struct dh_sample *s, struct json_object *services)
{
	struct dh_sample_counts *c;

	json_object_object_foreach(services, name, list)
	{
		if (!json_object_is_type(list, json_type_array) ||
		    json_object_array_length(list) != COUNTS)
			return false;
		c = find_or_add_counts(s, name);
		c->total = number_at(list, 0);
		c->good = number_at(list, 1);
		c->done = number_at(list, 2);
		c->not_run = number_at(list, 3);
		c->unknown = number_at(list, 4);
	}
	return true;
}

struct dh_sample *
dh_sample_parse(const char *line)
{
	struct json_object *root = json_tokener_parse(line);
	struct json_object *wall = field(root, "wall_ms", json_type_int);
	struct json_object *vm = field(root, "vm", json_type_string);
	struct json_object *inc = field(root, "incarnation", json_type_int);
	struct json_object *services =
	    field(root, "services", json_type_object);
	struct dh_sample *s = NULL;

	if (wall != NULL && vm != NULL && inc != NULL && services != NULL) {
		s = dh_sample_new(json_object_get_int64(wall),
		    json_object_get_string(vm), json_object_get_uint64(inc));
		if (!parse_services(s, services)) {
			dh_sample_free(s);
			s = NULL;
		}
	}
	json_object_put(root);
	return s;
}
