#include "gateway/record.h"

#include <string.h>

#include "base/error.h"

#define RANGE_FIELDS 6

static int
add_server(GPtrArray *servers, GString *out, const char *id, int64_t born_ms)
{
	guint i;

	if (id[0] == '\0')
		return -1;
	for (i = 0; i < servers->len; i++)
		if (strcmp(servers->pdata[i], id) == 0)
			return (int)i;
	g_ptr_array_add(servers, (gpointer)(uintptr_t)id);
	g_string_append_printf(
	    out, "%s[\"%s\",%lld]", i == 0 ? "" : ",", id, (long long)born_ms);
	return (int)i;
}

char *
dh_record_to_json(const struct dh_record *r)
{
	g_autoptr(GPtrArray) servers = g_ptr_array_new();
	g_autoptr(GString) names = g_string_new(NULL);
	g_autoptr(GString) ranges = g_string_new(NULL);
	size_t i;

	for (i = 0; i < r->nranges; i++) {
		const struct dh_key_range *k = &r->ranges[i];
		int owner =
		    add_server(servers, names, k->owner, k->owner_start_ms);
		int former =
		    add_server(servers, names, k->former, k->former_start_ms);

		g_string_append_printf(ranges, "%s[%u,%d,%llu,%d,%llu,%d]",
		    i == 0 ? "" : ",", k->to, owner,
		    (unsigned long long)k->fence, former,
		    (unsigned long long)k->former_fence, k->settled);
	}
	return g_strdup_printf("{\"term\":%llu,\"version\":%llu,\"next\":%llu,"
			       "\"hold_ms\":%llu,\"distrusted\":%d,"
			       "\"vm\":\"%s\",\"ip\":\"%s\",\"sole\":%d,"
			       "\"servers\":[%s],"
			       "\"ranges\":[%s]}",
	    (unsigned long long)r->term, (unsigned long long)r->version,
	    (unsigned long long)r->next_fence, (unsigned long long)r->hold_ms,
	    r->distrusted, r->vm, r->ip, r->sole, names->str, ranges->str);
}

static bool
invalid(GError **error, const char *what)
{
	g_set_error(error, DH_ERROR, DH_ERROR_INVALID, "%s", what);
	return false;
}

static struct json_object *
array_member(struct json_object *o, const char *name)
{
	struct json_object *v;

	if (!json_object_is_type(o, json_type_object) ||
	    !json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, json_type_array))
		return NULL;
	return v;
}

static bool
integer_member(struct json_object *o, const char *name, uint64_t *value)
{
	struct json_object *v;

	if (!json_object_is_type(o, json_type_object) ||
	    !json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, json_type_int))
		return false;
	*value = (uint64_t)json_object_get_int64(v);
	return true;
}

static bool
parse_server(struct json_object *servers, struct json_object *index, char *id,
    int64_t *born_ms)
{
	int64_t i = json_object_get_int64(index);
	struct json_object *s, *name;

	if (!json_object_is_type(index, json_type_int) || i < -1)
		return false;
	if (i == -1)
		return true;
	if ((size_t)i >= json_object_array_length(servers))
		return false;
	s = json_object_array_get_idx(servers, (size_t)i);
	if (!json_object_is_type(s, json_type_array) ||
	    json_object_array_length(s) != 2)
		return false;
	name = json_object_array_get_idx(s, 0);
	*born_ms = json_object_get_int64(json_object_array_get_idx(s, 1));
	return json_object_is_type(name, json_type_string) &&
	    g_strlcpy(id, json_object_get_string(name), DH_NAME_MAX) <
	    DH_NAME_MAX;
}

static bool
parse_range(struct json_object *servers, struct json_object *o, uint32_t from,
    struct dh_key_range *k)
{
	int64_t to;

	if (!json_object_is_type(o, json_type_array) ||
	    json_object_array_length(o) != RANGE_FIELDS)
		return false;
	to = json_object_get_int64(json_object_array_get_idx(o, 0));
	if (to < from || to >= DH_KEYS)
		return false;
	k->from = from;
	k->to = (uint32_t)to;
	k->fence =
	    (uint64_t)json_object_get_int64(json_object_array_get_idx(o, 2));
	k->former_fence =
	    (uint64_t)json_object_get_int64(json_object_array_get_idx(o, 4));
	k->settled =
	    json_object_get_int64(json_object_array_get_idx(o, 5)) == 1;
	return parse_server(servers, json_object_array_get_idx(o, 1), k->owner,
		   &k->owner_start_ms) &&
	    parse_server(servers, json_object_array_get_idx(o, 3), k->former,
		&k->former_start_ms);
}

static bool
parse_string(struct json_object *o, const char *name, char *to, size_t size)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) &&
	    json_object_is_type(v, json_type_string) &&
	    g_strlcpy(to, json_object_get_string(v), size) < size;
}

bool
dh_record_parse(struct dh_record *r, struct json_object *o, GError **error)
{
	uint64_t flag;
	struct json_object *servers = array_member(o, "servers");
	struct json_object *ranges = array_member(o, "ranges");
	uint32_t from = 0;
	size_t i;

	*r = (struct dh_record){ 0 };
	if (servers == NULL || ranges == NULL ||
	    !integer_member(o, "term", &r->term) ||
	    !integer_member(o, "version", &r->version) ||
	    !integer_member(o, "next", &r->next_fence))
		return invalid(error,
		    "owners record: a member is missing or has the wrong type");
	/* Release 0.2 wrote no hold_ms: leases were those of the settings. */
	if (!integer_member(o, "hold_ms", &r->hold_ms))
		r->hold_ms = 0;
	if (integer_member(o, "distrusted", &flag))
		r->distrusted = flag != 0;
	/* Release 0.4 wrote no vm, ip and sole. */
	if (integer_member(o, "sole", &flag) &&
	    parse_string(o, "vm", r->vm, sizeof(r->vm)) &&
	    parse_string(o, "ip", r->ip, sizeof(r->ip)))
		r->sole = flag != 0;
	r->nranges = json_object_array_length(ranges);
	if (r->nranges > DH_KEYS)
		return invalid(error, "owners record: too many ranges");
	r->ranges = g_new0(struct dh_key_range, r->nranges + 1);
	for (i = 0; i < r->nranges; i++) {
		if (!parse_range(servers, json_object_array_get_idx(ranges, i),
			from, &r->ranges[i])) {
			dh_record_clear(r);
			return invalid(
			    error, "owners record: a range is invalid");
		}
		from = r->ranges[i].to + 1;
	}
	if (from != DH_KEYS) {
		dh_record_clear(r);
		return invalid(
		    error, "owners record: the ranges do not cover all keys");
	}
	return true;
}

void
dh_record_clear(struct dh_record *r)
{
	g_clear_pointer(&r->ranges, g_free);
	r->nranges = 0;
}

struct dh_record
dh_record_copy(const struct dh_record *r)
{
	struct dh_record c = *r;

	c.ranges = g_memdup2(r->ranges, r->nranges * sizeof(*r->ranges));
	return c;
}

static bool
same_for_routers(const struct dh_key_range *a, const struct dh_key_range *b)
{
	return a->settled == b->settled && strcmp(a->owner, b->owner) == 0;
}

static void
append_merged(GArray *list, struct dh_key_range k)
{
	struct dh_key_range *last;

	if (list->len > 0) {
		last = &g_array_index(list, struct dh_key_range, list->len - 1);
		if (same_for_routers(last, &k)) {
			last->to = k.to;
			return;
		}
	}
	g_array_append_val(list, k);
}

struct dh_record
dh_record_unowned(void)
{
	struct dh_record r = { .nranges = 1 };

	r.ranges = g_new0(struct dh_key_range, 1);
	r.ranges[0].to = DH_KEYS - 1;
	return r;
}

/* Appends what the changes make of one range.  *c is the first change that may
 * overlap the range, and is advanced past those that end before it. */
static void
apply_to_range(GArray *list, struct dh_key_range k,
    const struct dh_record_change **c, const struct dh_record_change *end)
{
	struct dh_key_range piece;

	while (k.from <= k.to) {
		while (*c < end && (*c)->to < k.from)
			(*c)++;
		if (*c == end || (*c)->from > k.to) {
			append_merged(list, k);
			return;
		}
		if ((*c)->from > k.from) {
			piece = k;
			piece.to = (*c)->from - 1;
			append_merged(list, piece);
			k.from = (*c)->from;
		}
		piece = (struct dh_key_range){ .from = k.from,
			.to = MIN(k.to, (*c)->to),
			.settled = (*c)->settled };
		(void)g_strlcpy(piece.owner, (*c)->owner, sizeof(piece.owner));
		append_merged(list, piece);
		k.from = piece.to + 1;
	}
}

void
dh_record_apply(
    struct dh_record *r, const struct dh_record_change *changes, size_t n)
{
	GArray *list = g_array_sized_new(FALSE, TRUE,
	    sizeof(struct dh_key_range), (guint)(r->nranges + 2 * n));
	const struct dh_record_change *c = changes;
	size_t i;

	for (i = 0; i < r->nranges; i++)
		apply_to_range(list, r->ranges[i], &c, changes + n);
	g_free(r->ranges);
	r->nranges = list->len;
	r->ranges = (struct dh_key_range *)(void *)g_array_free(list, FALSE);
}

GArray *
dh_record_diff(const struct dh_record *a, const struct dh_record *b)
{
	GArray *changes =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_record_change));
	const struct dh_key_range *ra, *rb;
	struct dh_record_change c;
	size_t i = 0, j = 0;

	c.from = 0;
	while (i < a->nranges && j < b->nranges) {
		ra = &a->ranges[i];
		rb = &b->ranges[j];
		c.to = MIN(ra->to, rb->to);
		if (!same_for_routers(ra, rb)) {
			c.settled = rb->settled;
			(void)g_strlcpy(c.owner, rb->owner, sizeof(c.owner));
			g_array_append_val(changes, c);
		}
		i += ra->to == c.to;
		j += rb->to == c.to;
		c.from = c.to + 1;
	}
	return changes;
}

bool
dh_record_is_newer(const struct dh_record *a, const struct dh_record *b)
{
	return a->term != b->term ? a->term > b->term : a->version > b->version;
}
