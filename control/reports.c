#include "control/reports.h"

#include <glib.h>
#include <json-c/json.h>

#include <dogwoodhub/group.h>

#define TIMEOUT_MS 1000

struct report_request {
	struct dh_reports *reports;
	uint64_t backend;
	struct dh_http_fetch *fetch;
};

struct dh_reports {
	struct dh_http *http;
	dh_reports_fn done;
	void *arg;
	GHashTable *requests; /* in flight, by backend server's id */
};

struct dh_reports *
dh_reports_new(struct dh_http *http, dh_reports_fn done, void *arg)
{
	struct dh_reports *rs = g_new0(struct dh_reports, 1);

	rs->http = http;
	rs->done = done;
	rs->arg = arg;
	rs->requests =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return rs;
}

void
dh_reports_free(struct dh_reports *rs)
{
	GHashTableIter it;
	gpointer value;

	if (rs == NULL)
		return;
	g_hash_table_iter_init(&it, rs->requests);
	while (g_hash_table_iter_next(&it, NULL, &value))
		dh_http_fetch_cancel(((struct report_request *)value)->fetch);
	g_hash_table_unref(rs->requests);
	g_free(rs);
}

static bool
parse_total(struct json_object *root, const char *name, uint64_t *out)
{
	struct json_object *v;

	if (!json_object_object_get_ex(root, name, &v) ||
	    !json_object_is_type(v, json_type_int) ||
	    json_object_get_int64(v) < 0)
		return false;
	*out = json_object_get_uint64(v);
	return true;
}

bool
dh_reports_parse(const char *text, struct dh_placement_report *out)
{
	struct json_object *root = json_tokener_parse(text);
	bool ok = json_object_is_type(root, json_type_object) &&
	    parse_total(root, "done", &out->completed) &&
	    parse_total(root, "busy_us", &out->busy_us);

	json_object_put(root);
	return ok;
}

static void
on_reply(void *arg, const struct dh_http_reply *reply)
{
	struct report_request *q = arg;
	struct dh_reports *rs = q->reports;
	struct dh_placement_report r;
	uint64_t backend = q->backend;

	g_hash_table_remove(rs->requests, &backend);
	if (reply->result == CURLE_OK && reply->status == 200 &&
	    reply->body != NULL && dh_reports_parse(reply->body, &r))
		rs->done(rs->arg, backend, &r);
}

void
dh_reports_request(struct dh_reports *rs, const struct dh_backend *b)
{
	g_autofree char *url =
	    g_strdup_printf("http://%s:%u/_dh/load", b->address, b->port);
	struct dh_http_request rq = {
		.method = "GET", .url = url, .timeout_ms = TIMEOUT_MS
	};
	uint64_t id = dh_name_id(b->name);
	struct report_request *q;

	if (g_hash_table_contains(rs->requests, &id))
		return;
	q = g_new0(struct report_request, 1);
	q->reports = rs;
	q->backend = id;
	g_hash_table_insert(rs->requests, &q->backend, q);
	q->fetch = dh_http_fetch(rs->http, &rq, on_reply, q);
}
