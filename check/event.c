#include "check/event.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"

#define LINE_BYTES_MAX 4096
#define US_PER_MS 1000

static const char *const kind_names[] = {
	[DH_EVENT_UP] = "up",
	[DH_EVENT_GRANT] = "grant",
	[DH_EVENT_EXTEND] = "extend",
	[DH_EVENT_RELEASE] = "release",
	[DH_EVENT_EXPIRE] = "expire",
	[DH_EVENT_START] = "start",
	[DH_EVENT_FINISH] = "finish",
	[DH_EVENT_REFUSE] = "refuse",
	[DH_EVENT_SEND] = "send",
	[DH_EVENT_ANSWER] = "answer",
	[DH_EVENT_ASSIGN] = "assign",
	[DH_EVENT_FORCE] = "force",
	[DH_EVENT_ACCEPT] = "accept",
	[DH_EVENT_DRAIN] = "drain",
	[DH_EVENT_UNDRAIN] = "undrain",
	[DH_EVENT_STOP] = "stop",
	[DH_EVENT_STOPPED] = "stopped",
	[DH_EVENT_DOWN] = "down",
	[DH_EVENT_FAULT] = "fault",
};

/* Parser state of one line; bad names its first missing or invalid field. */
struct reader {
	struct json_object *json;
	const char *bad;
};

static struct json_object *
field(struct reader *r, const char *name, enum json_type type, bool needed)
{
	struct json_object *o = NULL;
	bool found = json_object_object_get_ex(r->json, name, &o);

	if (found && o != NULL && json_object_is_type(o, type))
		return o;
	if ((needed || (found && o != NULL)) && r->bad == NULL)
		r->bad = name;
	return NULL;
}

static const char *
string(struct reader *r, const char *name, bool needed)
{
	struct json_object *o = field(r, name, json_type_string, needed);

	return o == NULL ? NULL : json_object_get_string(o);
}

static int64_t
integer(struct reader *r, const char *name)
{
	struct json_object *o = field(r, name, json_type_int, true);

	if (o == NULL)
		return 0;
	if (json_object_get_int64(o) < 0 && r->bad == NULL)
		r->bad = name;
	return json_object_get_int64(o);
}

static bool
boolean(struct reader *r, const char *name)
{
	struct json_object *o = field(r, name, json_type_boolean, true);

	return o != NULL && json_object_get_boolean(o);
}

/* Converts a field in milliseconds, with up to three decimals, to us. */
static int64_t
time_us(struct reader *r, const char *name)
{
	struct json_object *o = NULL;
	double ms;

	(void)json_object_object_get_ex(r->json, name, &o);
	if (!json_object_is_type(o, json_type_int) &&
	    !json_object_is_type(o, json_type_double)) {
		if (r->bad == NULL)
			r->bad = name;
		return 0;
	}
	ms = json_object_get_double(o);
	return (int64_t)llround(ms * US_PER_MS);
}

static struct dh_fence
fence(struct reader *r, const char *name)
{
	const char *s = string(r, name, true);
	struct dh_fence f = { 0 };
	char *end;

	if (s == NULL)
		return f;
	f.term = g_ascii_strtoull(s, &end, 10);
	if (end == s || *end != '.' || !g_ascii_isdigit(end[1])) {
		r->bad = r->bad == NULL ? name : r->bad;
		return f;
	}
	f.counter = g_ascii_strtoull(end + 1, &end, 10);
	if (*end != '\0' && r->bad == NULL)
		r->bad = name;
	return f;
}

static void
read_lease(struct reader *r, struct dh_event *ev)
{
	ev->lease.group = string(r, "group", true);
	if (ev->kind != DH_EVENT_EXTEND)
		ev->lease.slot = (uint32_t)integer(r, "slot");
	if (ev->kind == DH_EVENT_GRANT)
		ev->lease.fence = fence(r, "fence");
	if (ev->kind == DH_EVENT_GRANT || ev->kind == DH_EVENT_EXTEND)
		ev->lease.until_us = time_us(r, "until");
}

static void
read_run(struct reader *r, struct dh_event *ev)
{
	ev->run.id = string(r, "id", true);
	ev->run.call = string(r, "call", false);
	if (ev->kind != DH_EVENT_START)
		return;
	ev->run.unrepeatable = boolean(r, "unrepeatable");
	ev->run.group = string(r, "group", false);
	if (ev->run.group == NULL)
		return;
	ev->run.slot = (uint32_t)integer(r, "slot");
	ev->run.fence = fence(r, "fence");
}

static void
read_send(struct reader *r, struct dh_event *ev)
{
	ev->send.call = string(r, "call", true);
	ev->send.id = string(r, "id", true);
	ev->send.via = string(r, "via", true);
	ev->send.expect = string(r, "expect", true);
	ev->send.unrepeatable = boolean(r, "unrepeatable");
}

static void
read_answer(struct reader *r, struct dh_event *ev)
{
	const char *s = string(r, "outcome", true);

	ev->answer.call = string(r, "call", true);
	ev->answer.status = (int32_t)integer(r, "status");
	ev->answer.echo = string(r, "echo", false);
	ev->answer.hash = string(r, "hash", false);
	ev->answer.whole = boolean(r, "whole");
	if (json_object_object_get(r->json, "repeated") != NULL)
		ev->answer.repeated = boolean(r, "repeated");
	if (g_strcmp0(s, "done") == 0)
		ev->answer.outcome = DH_OUTCOME_DONE;
	else if (g_strcmp0(s, "not-run") == 0)
		ev->answer.outcome = DH_OUTCOME_NOT_RUN;
	else if (g_strcmp0(s, "unknown") == 0)
		ev->answer.outcome = DH_OUTCOME_UNKNOWN;
	else if (r->bad == NULL)
		r->bad = "outcome";
}

static void
read_holders(struct reader *r, struct dh_event *ev)
{
	struct json_object *list = field(r, "holders", json_type_array, true);
	struct json_object *o;
	size_t i;

	if (list == NULL)
		return;
	if (json_object_array_length(list) != G_N_ELEMENTS(ev->assign.holders))
		r->bad = "holders";
	for (i = 0; r->bad == NULL && i < 2; i++) {
		o = json_object_array_get_idx(list, i);
		if (!json_object_is_type(o, json_type_string))
			r->bad = "holders";
		ev->assign.holders[i] = json_object_get_string(o);
	}
}

static void
read_assign(struct reader *r, struct dh_event *ev)
{
	const char *kept = string(r, "kept", true);

	ev->assign.group = string(r, "group", true);
	ev->assign.slot = (uint32_t)integer(r, "slot");
	ev->assign.owner = string(r, "owner", true);
	ev->assign.fence = fence(r, "fence");
	ev->assign.prev = fence(r, "prev");
	ev->assign.pair = g_strcmp0(kept, "pair") == 0;
	if (ev->assign.pair)
		read_holders(r, ev);
	else if (g_strcmp0(kept, "store") != 0 && r->bad == NULL)
		r->bad = "kept";
}

static void
read_target(struct reader *r, struct dh_event *ev)
{
	switch (ev->kind) {
	case DH_EVENT_DRAIN:
	case DH_EVENT_UNDRAIN:
		ev->target.name = string(r, "backend", true);
		break;
	case DH_EVENT_STOP:
	case DH_EVENT_STOPPED:
		ev->target.name = string(r, "vm", true);
		break;
	case DH_EVENT_FAULT:
		ev->target.name = string(r, "name", false);
		ev->target.on = boolean(r, "on");
		break;
	default:
		ev->target.name = string(r, "name", true);
		break;
	}
}

static void
read_fields(struct reader *r, struct dh_event *ev)
{
	switch (ev->kind) {
	case DH_EVENT_GRANT:
	case DH_EVENT_EXTEND:
	case DH_EVENT_RELEASE:
	case DH_EVENT_EXPIRE:
		read_lease(r, ev);
		break;
	case DH_EVENT_START:
	case DH_EVENT_FINISH:
	case DH_EVENT_REFUSE:
		read_run(r, ev);
		break;
	case DH_EVENT_SEND:
		read_send(r, ev);
		break;
	case DH_EVENT_ANSWER:
		read_answer(r, ev);
		break;
	case DH_EVENT_ASSIGN:
		read_assign(r, ev);
		break;
	case DH_EVENT_FORCE:
	case DH_EVENT_ACCEPT:
		ev->config.revision = (uint64_t)integer(r, "revision");
		break;
	case DH_EVENT_UP:
		if (json_object_object_get(r->json, "checks") != NULL)
			ev->up.unchecked = !boolean(r, "checks");
		break;
	default:
		read_target(r, ev);
		break;
	}
}

static bool
read_kind(struct reader *r, struct dh_event *ev)
{
	const char *s = string(r, "ev", true);
	size_t i;

	for (i = 0; s != NULL && i < G_N_ELEMENTS(kind_names); i++) {
		if (strcmp(s, kind_names[i]) != 0)
			continue;
		ev->kind = (enum dh_event_kind)i;
		return true;
	}
	r->bad = "ev";
	return false;
}

bool
dh_event_parse(
    struct dh_event *ev, const char *line, size_t len, GError **error)
{
	struct reader r = { 0 };
	struct json_tokener *tok;

	memset(ev, 0, sizeof(*ev));
	if (len > LINE_BYTES_MAX) {
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID,
		    "line of over %d bytes", LINE_BYTES_MAX);
		return false;
	}
	tok = json_tokener_new();
	json_tokener_set_flags(tok, JSON_TOKENER_STRICT);
	r.json = json_tokener_parse_ex(tok, line, (int)len);
	if (r.json == NULL && len > 0 &&
	    json_tokener_get_error(tok) == json_tokener_continue)
		r.json = json_tokener_parse_ex(tok, "", 1);
	json_tokener_free(tok);
	if (!json_object_is_type(r.json, json_type_object)) {
		json_object_put(r.json);
		g_set_error(
		    error, DH_ERROR, DH_ERROR_INVALID, "not a JSON object");
		return false;
	}
	ev->json = r.json;
	ev->t_us = time_us(&r, "t");
	ev->src = string(&r, "src", true);
	if (read_kind(&r, ev))
		read_fields(&r, ev);
	if (r.bad == NULL)
		return true;
	g_set_error(error, DH_ERROR, DH_ERROR_INVALID,
	    "field \"%s\" is missing or invalid", r.bad);
	dh_event_clear(ev);
	return false;
}

void
dh_event_clear(struct dh_event *ev)
{
	json_object_put(ev->json);
	memset(ev, 0, sizeof(*ev));
}
