#include "router/intake.h"

#include <string.h>

#include "base/clock.h"

#define DEADLINE_MIN_MS 1

static const char *
header(struct dh_exchange *ex, const char *name)
{
	return MHD_lookup_connection_value(ex->conn, MHD_HEADER_KIND, name);
}

struct framing {
	uint32_t lengths; /* Content-Length headers */
	uint32_t encodings; /* Transfer-Encoding headers */
	int64_t bytes; /* the last Content-Length */
	bool bad; /* a header is malformed or not supported */
};

/* Whether name is a valid header name.  A name with a space, as in
 * "Content-Length : 3", is unknown here but another server may accept it. */
static bool
is_token(const char *name)
{
	static const char marks[] = "!#$%&'*+-.^_`|~";

	if (name[0] == '\0')
		return false;
	for (; name[0] != '\0'; name++)
		if (!g_ascii_isalnum(name[0]) && strchr(marks, name[0]) == NULL)
			return false;
	return true;
}

static enum MHD_Result
framing_header(
    void *arg, enum MHD_ValueKind kind, const char *name, const char *value)
{
	struct framing *f = arg;
	guint64 n;

	(void)kind;
	if (!is_token(name))
		f->bad = true;
	if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
		f->encodings++;
		if (value == NULL || g_ascii_strcasecmp(value, "chunked") != 0)
			f->bad = true;
	} else if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
		f->lengths++;
		if (value == NULL ||
		    !g_ascii_string_to_unsigned(
			value, 10, 0, G_MAXINT64, &n, NULL))
			f->bad = true;
		else
			f->bytes = (int64_t)n;
	}
	return MHD_YES;
}

/* Refuse a request that gives its body's length twice: another server could
 * choose the other length, which allows request smuggling. */
static bool
check_framing(struct dh_exchange *ex)
{
	struct framing f = { 0 };

	MHD_get_connection_values(
	    ex->conn, MHD_HEADER_KIND, framing_header, &f);
	if (f.bad || f.lengths + f.encodings > 1)
		return false;
	ex->body_bytes = f.encodings > 0 ? -1 : f.bytes;
	ex->has_body = ex->body_bytes != 0;
	ex->request_ended = !ex->has_body;
	return true;
}

static bool
check_id(struct dh_exchange *ex)
{
	const char *id = header(ex, "Idempotency-Key");

	if (id == NULL)
		return true;
	ex->unrepeatable = true;
	return id[0] != '\0' &&
	    g_strlcpy(ex->idempotency_key, id, sizeof(ex->idempotency_key)) <
	    sizeof(ex->idempotency_key);
}

bool
dh_intake_check(struct dh_exchange *ex, const char *method)
{
	const char *key = header(ex, "Dh-Key");

	if (g_strlcpy(ex->method, method, sizeof(ex->method)) >=
	    sizeof(ex->method))
		return false;
	if (!dh_target_parse(&ex->target, ex->url) || !check_framing(ex) ||
	    !check_id(ex))
		return false;
	return key == NULL || dh_target_set_key(&ex->target, key);
}

bool
dh_intake_apply_service(struct dh_exchange *ex, const struct dh_service *sv)
{
	const char *text = header(ex, "Dh-Deadline-Ms");
	int64_t asked_ms = text == NULL ? 0 : g_ascii_strtoll(text, NULL, 10);

	ex->keyed = sv->kind == DH_SERVICE_KEYED;
	ex->team = (uint32_t)dh_name_id(sv->team);
	ex->service = dh_lane_service(ex->lane, sv->name, sv->retry_percent);
	ex->owner_wait_max_ms = sv->queue_ms;
	ex->time_limit_ms = ex->max_time_limit_ms = sv->deadline_ms;
	ex->objective_ms = sv->objective_latency_ms;
	if (text != NULL)
		ex->time_limit_ms =
		    CLAMP(asked_ms, DEADLINE_MIN_MS, sv->deadline_ms);
	ex->deadline_ms = dh_clock_ms() + ex->time_limit_ms;
	ex->permit_use_deadline_ms = ex->deadline_ms;
	if (sv->unrepeatable && !ex->unrepeatable)
		return false;
	return !ex->keyed || ex->target.key[0] != '\0';
}
