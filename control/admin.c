#include "control/admin.h"

#include <inttypes.h>
#include <string.h>

#include <json-c/json.h>

#include "base/counter.h"
#include "control/authority.h"
#include "control/feed.h"
#include "control/planner.h"
#include "control/tables.h"
#include "control/vms.h"

#define CONNECTION_MEMORY (16u << 10)
#define CONNECTIONS_MAX 64u
#define IDLE_S 10u

struct dh_admin {
	struct dh_control *control;
	struct dh_httpd *httpd;
};

static const char *const role_names[] = { "idle", "deputy", "taking", "waiting",
	"leader", "solo" };

static const char *
vm_name(const struct dh_control *ct, uint64_t id)
{
	const char *name = dh_vms_name(ct->vms, id);

	return name == NULL ? "" : name;
}

static const char *
backend_name(const struct dh_control *ct, uint64_t id)
{
	const struct dh_conf *conf = ct->conf->conf;
	size_t i;

	for (i = 0; i < conf->nbackends; i++)
		if (dh_name_id(conf->backends[i].name) == id)
			return conf->backends[i].name;
	return "";
}

/* A key as a JSON string; invalid UTF-8 in it is replaced. */
static char *
json_string(const char *key)
{
	g_autofree char *text = g_utf8_make_valid(key, -1);
	struct json_object *o = json_object_new_string(text);
	char *out = g_strdup(json_object_to_json_string(o));

	json_object_put(o);
	return out;
}

/* Prints the hot keys, which only the VM of the group's leader knows. */
static void
print_keys(GString *out, const struct dh_control *ct, struct dh_authority *a,
    const struct dh_control_slots *s)
{
	size_t n, i;
	const struct dh_planner_hot_key *keys =
	    dh_planner_hot_keys(dh_authority_planner(a), &n);

	g_string_append(out, ",\"hot_keys\":[");
	for (i = 0; i < n; i++) {
		g_autofree char *key = json_string(keys[i].key);
		uint64_t owner = dh_control_latest_slot(s, keys[i].slot)->owner;

		g_string_append_printf(out,
		    "%s{\"key\":%s,\"slot\":%u,\"share_ppm\":%u,"
		    "\"backend_server\":\"%s\"}",
		    i == 0 ? "" : ",", key, keys[i].slot, keys[i].share_ppm,
		    backend_name(ct, owner));
	}
	g_string_append_c(out, ']');
}

static void
print_group(GString *out, const struct dh_control *ct, struct dh_authority *a)
{
	struct dh_group_view v = dh_authority_view(a);
	struct dh_feed_leaders lead =
	    dh_feed_leaders(ct->feed, dh_authority_name(a), &v);
	struct dh_control_slots s = dh_control_slots(ct, a);
	uint32_t count[3] = { 0 }, i;

	for (i = 0; i < v.nslots; i++)
		count[dh_control_latest_slot(&s, i)->state]++;
	g_string_append_printf(out,
	    "{\"group\":\"%s\",\"role\":\"%s\",\"hosted\":%s,\"term\":%" PRIu64
	    ",\"leader\":\"%s\",\"deputy\":\"%s\",\"slots\":%u,\"unowned\":%u,"
	    "\"owned\":%u,\"moving\":%u,\"store_down\":%s",
	    dh_authority_name(a), role_names[v.role],
	    dh_authority_is_hosted(a) ? "true" : "false", lead.term,
	    vm_name(ct, lead.leader), vm_name(ct, lead.deputy), v.nslots,
	    count[DH_SLOT_UNOWNED], count[DH_SLOT_OWNED], count[DH_SLOT_MOVING],
	    v.acked_by_pair_only ? "true" : "false");
	print_keys(out, ct, a, &s);
	g_string_append_c(out, '}');
}

static void
print_groups(GString *out, const struct dh_control *ct)
{
	GHashTableIter it;
	const char *comma = "";
	gpointer a;

	g_hash_table_iter_init(&it, ct->authorities);
	while (g_hash_table_iter_next(&it, NULL, &a)) {
		g_string_append(out, comma);
		print_group(out, ct, a);
		comma = ",";
	}
}

static void
print_vms(GString *out, const struct dh_control *ct)
{
	size_t n, i;
	g_autofree struct dh_group_vm *vms = dh_vms_list(ct->vms, &n);

	for (i = 0; i < n; i++)
		g_string_append_printf(out,
		    "%s{\"name\":\"%s\",\"incarnation\":%" PRIu64
		    ",\"live\":%s,\"leaving\":%s}",
		    i == 0 ? "" : ",", vm_name(ct, vms[i].id),
		    vms[i].incarnation, vms[i].live ? "true" : "false",
		    vms[i].leaving ? "true" : "false");
}

static char *
status_text(const struct dh_control *ct)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out,
	    "{\"vm\":\"%s\",\"incarnation\":%" PRIu64
	    ",\"zone\":\"%s\",\"region\":\"%s\",\"stopping\":%s,"
	    "\"revision\":%" PRIu64 ",\"table_version\":%" PRIu64
	    ",\"groups\":[",
	    ct->settings->vm, ct->incarnation, ct->settings->zone,
	    ct->settings->region, ct->stopping ? "true" : "false",
	    ct->conf == NULL ? 0 : ct->conf->conf->revision,
	    dh_tables_version(ct->tables));
	print_groups(out, ct);
	g_string_append(out, "],\"vms\":[");
	print_vms(out, ct);
	g_string_append(out, "]}\n");
	return g_string_free(out, FALSE);
}

static enum MHD_Result
reply_text(struct MHD_Connection *conn, unsigned int status, const char *text,
    const char *type)
{
	const char *headers[] = { "Content-Type", type, NULL };

	return dh_httpd_reply(conn, status, text, strlen(text), headers);
}

static enum MHD_Result
reply_counters(struct MHD_Connection *conn)
{
	GString *out = g_string_new(NULL);
	enum MHD_Result result;

	dh_counter_print(out);
	result = reply_text(conn, 200, out->str, "text/plain; version=0.0.4");
	g_string_free(out, TRUE);
	return result;
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *path,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	struct dh_admin *ad = arg;
	const struct dh_control *ct = ad->control;
	g_autofree char *text = NULL;

	(void)version;
	(void)data;
	if (dh_httpd_skip_body(state, ad, len))
		return MHD_YES;
	if (strcmp(method, "GET") != 0)
		return reply_text(conn, 405, "GET only\n", "text/plain");
	if (strcmp(path, "/health") == 0)
		return ct->stopping
		    ? reply_text(conn, 503, "stopping\n", "text/plain")
		    : reply_text(conn, 200, "ok\n", "text/plain");
	if (strcmp(path, "/counters") == 0)
		return reply_counters(conn);
	if (strcmp(path, "/status") != 0)
		return reply_text(conn, 404, "no such page\n", "text/plain");
	text = status_text(ct);
	return reply_text(conn, 200, text, "application/json");
}

struct dh_admin *
dh_admin_new(struct dh_control *ct, GError **error)
{
	struct dh_admin *ad = g_new0(struct dh_admin, 1);
	struct dh_httpd_options o = {
		.address = ct->settings->listen_address,
		.port = ct->settings->admin_port,
		.connections_max = CONNECTIONS_MAX,
		.memory_per_connection = CONNECTION_MEMORY,
		.idle_s = IDLE_S,
		.handler = on_request,
		.arg = ad,
	};

	ad->control = ct;
	ad->httpd = dh_httpd_new(&ct->loop, &o, error);
	if (ad->httpd != NULL)
		return ad;
	g_free(ad);
	return NULL;
}

void
dh_admin_free(struct dh_admin *ad)
{
	if (ad == NULL)
		return;
	dh_httpd_free(ad->httpd);
	g_free(ad);
}
