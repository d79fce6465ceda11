#include "control/record.h"

#include <inttypes.h>

#include <json-c/json.h>

#include "base/error.h"

/* A slot is the array [owner, standby, term, counter, state]. */
#define SLOT_FIELDS 5u
/* A VM in `earlier` is the array [vm, incarnation]. */
#define EARLIER_FIELDS 2u
#define SLOTS_MAX (1u << 20)

char *
dh_record_encode(const struct dh_group_record *r)
{
	GString *text = g_string_new(NULL);
	const struct dh_assignment *a;
	uint32_t i;

	g_string_printf(text,
	    "{\"term\":%" PRIu64 ",\"leader\":\"%" PRIx64
	    "\",\"leader_incarnation\":\"%" PRIx64 "\",\"deputy\":\"%" PRIx64
	    "\",\"deputy_incarnation\":\"%" PRIx64
	    "\",\"deputy_seq\":\"%" PRIx64 "\",\"write_seq\":\"%" PRIx64
	    "\",\"unsettled\":%s,\"earlier_more\":%s,\"earlier\":[",
	    r->term, r->leader, r->leader_incarnation, r->deputy,
	    r->deputy_incarnation, r->deputy_seq, r->write_seq,
	    r->unsettled ? "true" : "false",
	    r->earlier.has_unknown ? "true" : "false");
	for (i = 0; i < r->earlier.n; i++)
		g_string_append_printf(text,
		    "%s[\"%" PRIx64 "\",\"%" PRIx64 "\"]", i == 0 ? "" : ",",
		    r->earlier.vms[i].vm, r->earlier.vms[i].incarnation);
	g_string_append(text, "],\"slots\":[");
	for (i = 0; i < r->nslots; i++) {
		a = &r->slots[i];
		g_string_append_printf(text,
		    "%s[\"%" PRIx64 "\",\"%" PRIx64 "\",%" PRIu64 ",%" PRIu64
		    ",%d]",
		    i == 0 ? "" : ",", a->owner, a->standby, a->fence.term,
		    a->fence.counter, (int)a->state);
	}
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static uint64_t
parse_hex(struct json_object *v)
{
	const char *text = json_object_get_string(v);

	return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 16);
}

static uint64_t
hex_field(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) ? parse_hex(v) : 0;
}

static bool
decode_slot(struct dh_assignment *a, struct json_object *v)
{
	int state;

	if (!json_object_is_type(v, json_type_array) ||
	    json_object_array_length(v) != SLOT_FIELDS)
		return false;
	state = json_object_get_int(json_object_array_get_idx(v, 4));
	if (state < DH_SLOT_UNOWNED || state > DH_SLOT_MOVING)
		return false;
	*a = (struct dh_assignment){
		.owner = parse_hex(json_object_array_get_idx(v, 0)),
		.standby = parse_hex(json_object_array_get_idx(v, 1)),
		.fence = { .term = (uint64_t)json_object_get_int64(
			       json_object_array_get_idx(v, 2)),
		    .counter = (uint64_t)json_object_get_int64(
			json_object_array_get_idx(v, 3)) },
		.state = (enum dh_slot_state)state,
	};
	return true;
}

static bool
decode_slots(struct dh_group_record *r, struct json_object *o)
{
	struct json_object *list;
	size_t n;
	uint32_t i;

	if (!json_object_object_get_ex(o, "slots", &list) ||
	    !json_object_is_type(list, json_type_array))
		return false;
	n = json_object_array_length(list);
	if (n > SLOTS_MAX)
		return false;
	r->nslots = (uint32_t)n;
	r->slots = g_new0(struct dh_assignment, n);
	for (i = 0; i < r->nslots; i++)
		if (!decode_slot(
			&r->slots[i], json_object_array_get_idx(list, i)))
			return false;
	return true;
}

static bool
bool_field(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) &&
	    json_object_get_boolean(v);
}

/* Decodes the VMs in `earlier`, which a record of an earlier release lacks.  An
 * element that can't be read or doesn't fit sets `more`, because its VM may
 * still renew leases. */
static void
decode_earlier(struct dh_group_earlier *e, struct json_object *o)
{
	struct json_object *list, *v;
	size_t i;

	e->has_unknown = bool_field(o, "earlier_more");
	if (!json_object_object_get_ex(o, "earlier", &list) ||
	    !json_object_is_type(list, json_type_array))
		return;
	for (i = 0; i < json_object_array_length(list); i++) {
		v = json_object_array_get_idx(list, i);
		if (e->n == DH_GROUP_EARLIER_MAX ||
		    !json_object_is_type(v, json_type_array) ||
		    json_object_array_length(v) != EARLIER_FIELDS) {
			e->has_unknown = true;
			continue;
		}
		e->vms[e->n].vm = parse_hex(json_object_array_get_idx(v, 0));
		e->vms[e->n++].incarnation =
		    parse_hex(json_object_array_get_idx(v, 1));
	}
}

struct dh_group_record *
dh_record_decode(const char *text, GError **error)
{
	struct json_object *o = json_tokener_parse(text), *term = NULL;
	struct dh_group_record *r = g_new0(struct dh_group_record, 1);

	if (o == NULL || !json_object_is_type(o, json_type_object) ||
	    !json_object_object_get_ex(o, "term", &term) ||
	    !decode_slots(r, o)) {
		json_object_put(o);
		dh_record_free(r);
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID,
		    "invalid group record: not a JSON object with a term and "
		    "valid slots");
		return NULL;
	}
	r->term = (uint64_t)json_object_get_int64(term);
	r->leader = hex_field(o, "leader");
	r->leader_incarnation = hex_field(o, "leader_incarnation");
	r->deputy = hex_field(o, "deputy");
	r->deputy_incarnation = hex_field(o, "deputy_incarnation");
	r->deputy_seq = hex_field(o, "deputy_seq");
	r->write_seq = hex_field(o, "write_seq");
	r->unsettled = bool_field(o, "unsettled");
	decode_earlier(&r->earlier, o);
	json_object_put(o);
	return r;
}

void
dh_record_free(struct dh_group_record *r)
{
	if (r == NULL)
		return;
	g_free(r->slots);
	g_free(r);
}
