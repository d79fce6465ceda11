#include "backend/order.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "base/jsonfield.h"
#include "base/log.h"

/* Timeout of the probe on a new connection. */
#define PROBE_MS 50

struct pending_order {
	struct dh_http *http;
	char *probe_url;
	enum dh_group_order_kind kind;
	struct dh_fence fence; /* of the order */
	dh_order_fn done;
	void *arg;
};

static const char *
kind_name(enum dh_group_order_kind kind)
{
	switch (kind) {
	case DH_GROUP_ORDER_HELLO:
		return "hello";
	case DH_GROUP_ORDER_GRANT:
		return "grant";
	case DH_GROUP_ORDER_RENEW:
		return "renew";
	case DH_GROUP_ORDER_RELEASE:
		return "release";
	case DH_GROUP_ORDER_WARM:
		return "warm";
	}
	g_assert_not_reached();
}

static bool
has_slots(enum dh_group_order_kind kind)
{
	switch (kind) {
	case DH_GROUP_ORDER_GRANT:
	case DH_GROUP_ORDER_RELEASE:
	case DH_GROUP_ORDER_WARM:
		return true;
	case DH_GROUP_ORDER_HELLO:
	case DH_GROUP_ORDER_RENEW:
		return false;
	}
	g_assert_not_reached();
}

static void
encode_slots(GString *text, const struct dh_group_order *o)
{
	uint32_t i;

	g_string_append(text, ",\"slots\":[");
	for (i = 0; i < o->nslots; i++)
		g_string_append_printf(text, "%s[%u,%" PRIu64 ",%" PRIu64 "]",
		    i == 0 ? "" : ",", o->index[i], o->fences[i].term,
		    o->fences[i].counter);
	g_string_append(text, "]");
}

/* Returns the order as JSON text, which the caller frees. */
static char *
order_encode(const char *group, const struct dh_group_order *o)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text,
	    "{\"group\":\"%s\",\"kind\":\"%s\",\"term\":%" PRIu64
	    ",\"counter\":%" PRIu64 ",\"incarnation\":%" PRIu64
	    ",\"until_ms\":%" PRId64,
	    group, kind_name(o->kind), o->fence.term, o->fence.counter,
	    o->incarnation, o->lease_end_ms);
	if (has_slots(o->kind))
		encode_slots(text, o);
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

static bool
state_is(struct json_object *o, const char *state)
{
	struct json_object *v;

	return json_object_object_get_ex(o, "state", &v) &&
	    g_strcmp0(json_object_get_string(v), state) == 0;
}

/* Parses the body of an answer.  Returns false if it is not a valid answer. */
static bool
order_decode(struct dh_order_reply *reply, const char *body)
{
	struct json_object *o = json_tokener_parse(body);
	struct json_object *accepted;

	if (o == NULL || !json_object_is_type(o, json_type_object) ||
	    !json_object_object_get_ex(o, "accepted", &accepted)) {
		json_object_put(o);
		return false;
	}
	*reply = (struct dh_order_reply){
		.result = json_object_get_boolean(accepted) ? DH_ORDER_ACCEPTED
							    : DH_ORDER_REFUSED,
		.incarnation = (uint64_t)dh_json_int(o, "incarnation"),
		.clock_ms = dh_json_int(o, "clock_ms"),
		.highest = { .term = (uint64_t)dh_json_int(o, "term"),
		    .counter = (uint64_t)dh_json_int(o, "counter") },
		.cold = state_is(o, "cold"),
		.draining = state_is(o, "draining"),
		.running = (uint32_t)dh_json_int(o, "running"),
		.queued = (uint32_t)dh_json_int(o, "queued"),
		.releasing = (uint32_t)dh_json_int(o, "releasing"),
	};
	json_object_put(o);
	return true;
}

static void
finish(struct pending_order *p, const struct dh_order_reply *reply)
{
	p->done(p->arg, reply);
	g_free(p->probe_url);
	g_free(p);
}

static bool
connection_refused(const struct dh_http_reply *http)
{
	return http->result == CURLE_COULDNT_CONNECT &&
	    http->os_errno == ECONNREFUSED;
}

static void
on_probe(void *arg, const struct dh_http_reply *http)
{
	struct dh_order_reply reply = { .result = connection_refused(http)
		    ? DH_ORDER_CONNECTION_REFUSED
		    : DH_ORDER_NO_ANSWER };

	finish(arg, &reply);
}

/* Called when the connection was closed without an answer.  A new connection
 * shows whether the backend server process has ended too. */
static void
send_probe(struct pending_order *p)
{
	struct dh_http_request rq = { .method = "GET",
		.url = p->probe_url,
		.timeout_ms = PROBE_MS,
		.fresh_connection = true };

	dh_http_fetch(p->http, &rq, on_probe, p);
}

static bool
closed_without_answer(CURLcode result)
{
	return result == CURLE_GOT_NOTHING || result == CURLE_RECV_ERROR ||
	    result == CURLE_SEND_ERROR || result == CURLE_PARTIAL_FILE;
}

/* Whether the answer may be to an earlier order: it gives a lower token than
 * this one's, or none.  A grant may be answered without a token.  A backend
 * server that checks no fences may give its last grant's; what it says to a
 * release counts on a connection of its own only. */
static bool
is_late_copy(const struct pending_order *p, const struct dh_http_reply *http,
    const struct dh_order_reply *reply)
{
	static const struct dh_fence none = { 0, 0 };

	if (reply->result != DH_ORDER_ACCEPTED ||
	    dh_fence_cmp(reply->highest, p->fence) >= 0)
		return false;
	switch (p->kind) {
	case DH_GROUP_ORDER_GRANT:
		return dh_fence_cmp(reply->highest, none) > 0;
	case DH_GROUP_ORDER_RELEASE:
		return !http->new_connection;
	case DH_GROUP_ORDER_HELLO:
	case DH_GROUP_ORDER_RENEW:
	case DH_GROUP_ORDER_WARM:
		return false;
	}
	g_assert_not_reached();
}

static void
on_reply(void *arg, const struct dh_http_reply *http)
{
	struct pending_order *p = arg;
	struct dh_order_reply reply = { .result = DH_ORDER_NO_ANSWER };

	if (closed_without_answer(http->result)) {
		send_probe(p);
		return;
	}
	if (connection_refused(http))
		reply.result = DH_ORDER_CONNECTION_REFUSED;
	else if (http->result == CURLE_OK && !order_decode(&reply, http->body))
		reply.result = DH_ORDER_NO_ANSWER;
	if (is_late_copy(p, http, &reply)) {
		dh_log(DH_LOG_WARN, "order.late_copy",
		    "server=%s fence=%" PRIu64 ".%" PRIu64 " answer=%" PRIu64
		    ".%" PRIu64,
		    p->probe_url, p->fence.term, p->fence.counter,
		    reply.highest.term, reply.highest.counter);
		dh_http_set_out_of_step(p->http, http->local_port);
		reply = (struct dh_order_reply){ .result = DH_ORDER_NO_ANSWER };
	}
	finish(p, &reply);
}

void
dh_order_send(struct dh_http *http, const char *address, uint16_t port,
    const char *group, const struct dh_group_order *o, int64_t timeout_ms,
    dh_order_fn done, void *arg)
{
	static const char *const headers[] = { "Content-Type: application/json",
		"Accept:", NULL };
	g_autofree char *url =
	    g_strdup_printf("http://%s:%u/_dh/order", address, port);
	g_autofree char *body = order_encode(group, o);
	struct dh_http_request rq = { .method = "POST",
		.url = url,
		.headers = headers,
		.body = body,
		.body_len = strlen(body),
		.timeout_ms = timeout_ms,
		.keep_after_200_only = true };
	struct pending_order *p = g_new0(struct pending_order, 1);

	p->http = http;
	p->probe_url = g_strdup_printf("http://%s:%u/_dh/load", address, port);
	p->kind = o->kind;
	p->fence = o->fence;
	p->done = done;
	p->arg = arg;
	dh_http_fetch(http, &rq, on_reply, p);
}
