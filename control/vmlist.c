#include "control/vmlist.h"

#include <string.h>

#include "base/counter.h"
#include "base/jsonfield.h"

#define TIMEOUT_MS 2000

struct dh_vmlist {
	struct dh_http *http;
	char *url;
	dh_vmlist_fn each;
	void *arg;
	struct dh_http_fetch *fetch;
	int64_t version; /* of the last list processed, or -1 */
	GHashTable *listed; /* set of the names in that list */
	struct dh_counter *failed;
};

struct dh_vmlist *
dh_vmlist_new(
    struct dh_http *http, const char *url, dh_vmlist_fn each, void *arg)
{
	struct dh_vmlist *l = g_new0(struct dh_vmlist, 1);

	l->http = http;
	l->url = g_strdup(url);
	l->each = each;
	l->arg = arg;
	l->version = -1;
	l->listed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->failed = dh_counter_get("dh_vm_list_failed_total", "");
	return l;
}

void
dh_vmlist_free(struct dh_vmlist *l)
{
	if (l == NULL)
		return;
	dh_http_fetch_cancel(l->fetch);
	g_hash_table_unref(l->listed);
	g_free(l->url);
	g_free(l);
}

static bool
entry_decode(struct dh_vmlist_entry *e, struct json_object *o)
{
	struct json_object *port;

	*e = (struct dh_vmlist_entry){ .state = DH_VMLIST_LIVE };
	if (!json_object_is_type(o, json_type_object))
		return false;
	if (strcmp(dh_json_text(o, "state"), "leaving") == 0)
		e->state = DH_VMLIST_LEAVING;
	if (json_object_object_get_ex(o, "peer_port", &port))
		e->peer_port = (uint16_t)json_object_get_int(port);
	return g_strlcpy(e->name, dh_json_text(o, "name"), sizeof(e->name)) <
	    sizeof(e->name) &&
	    e->name[0] != '\0' &&
	    g_strlcpy(e->address, dh_json_text(o, "address"),
		sizeof(e->address)) < sizeof(e->address);
}

/* Reports the VMs that were in the previous list and aren't in now. */
static void
report_missing(struct dh_vmlist *l, GHashTable *now)
{
	struct dh_vmlist_entry e = { .state = DH_VMLIST_MISSING };
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, l->listed);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (g_hash_table_contains(now, name))
			continue;
		g_strlcpy(e.name, name, sizeof(e.name));
		l->each(l->arg, &e);
	}
}

static void
process_entries(struct dh_vmlist *l, struct json_object *vms)
{
	GHashTable *now =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	size_t n = json_object_array_length(vms), i;
	struct dh_vmlist_entry e;

	for (i = 0; i < n; i++) {
		if (!entry_decode(&e, json_object_array_get_idx(vms, i)))
			continue;
		g_hash_table_add(now, g_strdup(e.name));
		l->each(l->arg, &e);
	}
	report_missing(l, now);
	g_hash_table_unref(l->listed);
	l->listed = now;
}

bool
dh_vmlist_process(struct dh_vmlist *l, const char *body)
{
	struct json_object *o = json_tokener_parse(body), *vms, *version;
	bool ok = o != NULL && json_object_is_type(o, json_type_object) &&
	    json_object_object_get_ex(o, "version", &version) &&
	    json_object_object_get_ex(o, "vms", &vms) &&
	    json_object_is_type(vms, json_type_array) &&
	    json_object_get_int64(version) >= l->version;

	if (ok) {
		l->version = json_object_get_int64(version);
		process_entries(l, vms);
	}
	json_object_put(o);
	return ok;
}

static void
on_reply(void *arg, const struct dh_http_reply *reply)
{
	struct dh_vmlist *l = arg;

	l->fetch = NULL;
	if (reply->result != CURLE_OK || reply->status != 200 ||
	    !dh_vmlist_process(l, reply->body))
		dh_counter_add(l->failed, 1);
}

void
dh_vmlist_poll(struct dh_vmlist *l)
{
	struct dh_http_request rq = {
		.method = "GET", .url = l->url, .timeout_ms = TIMEOUT_MS
	};

	if (l->fetch == NULL)
		l->fetch = dh_http_fetch(l->http, &rq, on_reply, l);
}
