#include "control/control.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "control/admin.h"
#include "control/authority.h"
#include "control/feed.h"
#include "control/hosting.h"
#include "control/permits.h"
#include "control/planner.h"
#include "control/tables.h"
#include "control/teams.h"
#include "control/vms.h"

/* Time for which callers are still served after the health check has begun to
 * fail, so that the load balancer notices. */
#define UNHEALTHY_MS 1000
#define SHUTDOWN_POLL_MS 20u
/* Further time that shutdown waits for callers to close idle connections. */
#define IDLE_CLOSE_MS 3000
/* Idle connections kept open: one to each backend server of the groups that
 * this VM leads. */
#define IDLE_CONNECTIONS_MAX 1024u
#define WATCH_WAIT_MS 2000
#define WATCH_RESYNC_MS 3000

static struct dh_conf_ref *
conf_ref_new(struct dh_conf *conf)
{
	struct dh_conf_ref *ref = g_new0(struct dh_conf_ref, 1);

	ref->refs = 1;
	ref->conf = conf;
	return ref;
}

struct dh_conf_ref *
dh_conf_ref_get(struct dh_conf_ref *ref)
{
	ref->refs++;
	return ref;
}

void
dh_conf_ref_put(void *ref)
{
	struct dh_conf_ref *r = ref;

	if (r == NULL || --r->refs > 0)
		return;
	dh_conf_free(r->conf);
	g_free(r);
}

/* Slots of groups */

struct dh_control_slots
dh_control_slots(const struct dh_control *ct, const struct dh_authority *a)
{
	struct dh_group_view v = dh_authority_view(a);
	struct dh_control_slots s = { .n = v.nslots, .own = v.slots };
	uint32_t n = 0;

	if (!dh_authority_is_hosted(a)) {
		s.own = NULL;
		s.relayed = v.slots;
	} else if (v.role != DH_GROUP_LEADER) {
		s.relayed = dh_feed_slots(ct->feed, dh_authority_name(a), &n);
		if (n != v.nslots)
			s.relayed = NULL;
	}
	return s;
}

/* The assignment with the higher fence is the later one.  If both are equal,
 * the relayed one is used, because it comes from the leader. */
const struct dh_assignment *
dh_control_latest_slot(const struct dh_control_slots *s, uint32_t slot)
{
	static const struct dh_assignment unknown = { 0 };

	if (s->relayed == NULL)
		return s->own == NULL ? &unknown : &s->own[slot];
	if (s->own == NULL)
		return &s->relayed[slot];
	return dh_fence_cmp(s->relayed[slot].fence, s->own[slot].fence) >= 0
	    ? &s->relayed[slot]
	    : &s->own[slot];
}

static void
add_partner(const struct dh_control *ct, GArray *list, uint64_t vm)
{
	guint i;

	if (vm == 0 || vm == ct->self)
		return;
	for (i = 0; i < list->len; i++)
		if (g_array_index(list, uint64_t, i) == vm)
			return;
	g_array_append_val(list, vm);
}

/* Passes the leaders and deputies of all groups to the membership if they have
 * changed.  Leader and deputy exchange messages and every router requests
 * permits from them, so the membership keeps links to them even when there are
 * too many VMs for a full mesh. */
static void
update_partners(struct dh_control *ct)
{
	g_autoptr(GArray) now = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct dh_feed_leaders lead;
	struct dh_group_view v;
	GHashTableIter it;
	gpointer a;

	g_hash_table_iter_init(&it, ct->authorities);
	while (g_hash_table_iter_next(&it, NULL, &a)) {
		v = dh_authority_view(a);
		lead = dh_feed_leaders(ct->feed, dh_authority_name(a), &v);
		add_partner(ct, now, lead.leader);
		add_partner(ct, now, lead.deputy);
	}
	if (now->len == ct->partners->len &&
	    (now->len == 0 ||
		memcmp(now->data, ct->partners->data,
		    now->len * sizeof(uint64_t)) == 0))
		return;
	g_array_set_size(ct->partners, 0);
	g_array_append_vals(ct->partners, now->data, now->len);
	dh_vms_set_partners(
	    ct->vms, (const uint64_t *)(void *)now->data, now->len);
}

static void
on_prepare(uv_prepare_t *prepare)
{
	struct dh_control *ct = prepare->data;

	if (ct->tables != NULL)
		dh_tables_flush(ct->tables);
	if (ct->partners_stale && ct->vms != NULL) {
		ct->partners_stale = false;
		update_partners(ct);
	}
	dh_publish_poll(ct->publish);
}

/* Configuration and membership */

void
dh_control_accept(struct dh_control *ct, struct dh_conf *conf)
{
	if (ct->conf != NULL && conf->revision <= ct->conf->conf->revision) {
		dh_conf_free(conf);
		return;
	}
	dh_conf_ref_put(ct->conf);
	ct->conf = conf_ref_new(conf);
	dh_tables_configure(ct->tables);
	dh_counter_set(
	    dh_counter_get("dh_config_revision", ""), conf->revision);
	dh_eventlog_add(
	    ct->history, "force", ",\"revision\":%" PRIu64, conf->revision);
	dh_log(DH_LOG_INFO, "config.in_force",
	    "revision=%" PRIu64 " services=%zu backend_servers=%zu",
	    conf->revision, conf->nservices, conf->nbackends);
	dh_hosting_configure(ct->hosting);
	ct->partners_stale = true;
}

void
dh_control_vms_changed(struct dh_control *ct)
{
	dh_hosting_vms_changed(ct->hosting);
}

struct dh_authority *
dh_control_authority(const struct dh_control *ct, const char *service)
{
	char group[DH_GROUP_NAME_MAX];

	dh_group_name(group, service, 0);
	return g_hash_table_lookup(ct->authorities, group);
}

/* Traffic threads */

static void
handle_load(struct dh_control *ct, struct dh_load_report *report)
{
	g_autofree struct dh_load_report *r = report;
	struct dh_authority *a = dh_control_authority(ct, r->service);

	if (a != NULL)
		dh_planner_send_report(dh_authority_planner(a), r);
}

static void
on_mail(void *arg, uint32_t lane, const struct dh_mail *mail)
{
	struct dh_control *ct = arg;

	switch (mail->kind) {
	case DH_MAIL_PERMIT_ASK:
	case DH_MAIL_PERMIT_END:
	case DH_MAIL_PERMIT_CLOSE:
		dh_permit_client_mail(ct->permit_client, lane, mail);
		break;
	case DH_MAIL_LOAD:
		handle_load(ct, mail->load);
		break;
	case DH_MAIL_PERMIT_VERDICT:
		break;
	}
}

/* Shutdown: fail the health check, hand the groups over, accept no new
 * connections, finish the requests in flight, exit. */

static bool
groups_stopped(struct dh_control *ct)
{
	GHashTableIter it;
	gpointer a;

	g_hash_table_iter_init(&it, ct->authorities);
	while (g_hash_table_iter_next(&it, NULL, &a))
		if (!dh_authority_view(a).stopped)
			return false;
	return true;
}

static void
on_shutdown(uv_timer_t *timer)
{
	struct dh_control *ct = timer->data;
	int64_t age_ms = dh_clock_ms() - ct->stop_ms;

	if (age_ms >= UNHEALTHY_MS)
		dh_router_drain(ct->router);
	if (age_ms > UNHEALTHY_MS && dh_router_idle(ct->router) &&
	    groups_stopped(ct) &&
	    (dh_router_connections(ct->router) == 0 ||
		age_ms > UNHEALTHY_MS + IDLE_CLOSE_MS)) {
		uv_stop(&ct->loop);
	} else if (age_ms > UNHEALTHY_MS + ct->settings->drain_ms) {
		dh_log(DH_LOG_WARN, "shutdown.cut", "drain_ms=%" PRId64,
		    ct->settings->drain_ms);
		ct->status = 1;
		uv_stop(&ct->loop);
	}
}

void
dh_control_stop(struct dh_control *ct)
{
	GHashTableIter it;
	gpointer a;

	if (ct->stopping)
		return;
	ct->stopping = true;
	ct->stop_ms = dh_clock_ms();
	dh_log(DH_LOG_INFO, "shutdown.begin", "vm=%s", ct->settings->vm);
	dh_router_close_connections(ct->router);
	dh_vms_leave(ct->vms);
	g_hash_table_iter_init(&it, ct->authorities);
	while (g_hash_table_iter_next(&it, NULL, &a))
		dh_authority_stop(a);
	uv_timer_start(
	    &ct->shutdown, on_shutdown, SHUTDOWN_POLL_MS, SHUTDOWN_POLL_MS);
}

static void
on_signal(uv_signal_t *sig, int signum)
{
	(void)signum;
	dh_control_stop(sig->data);
}

/* Startup and teardown */

static void
loop_open(struct dh_control *ct)
{
	uv_loop_init(&ct->loop);
	uv_prepare_init(&ct->loop, &ct->prepare);
	ct->prepare.data = ct;
	uv_prepare_start(&ct->prepare, on_prepare);
	uv_timer_init(&ct->loop, &ct->shutdown);
	ct->shutdown.data = ct;
	uv_signal_init(&ct->loop, &ct->sigterm);
	ct->sigterm.data = ct;
	uv_signal_start(&ct->sigterm, on_signal, SIGTERM);
	uv_signal_init(&ct->loop, &ct->sigint);
	ct->sigint.data = ct;
	uv_signal_start(&ct->sigint, on_signal, SIGINT);
}

static void
authority_free(gpointer a)
{
	dh_authority_free(a);
}

/* Keeps watch requests short and compares them with a list of the objects just
 * as often, so that a change takes effect within seconds even if a watch has
 * gone stale. */
static void
set_store_times(struct dh_store *st)
{
	struct dh_store_times t = dh_store_times(st);

	t.wait_ms = WATCH_WAIT_MS;
	t.resync_ms = WATCH_RESYNC_MS;
	dh_store_set_times(st, &t);
}

static bool
control_open(struct dh_control *ct, GError **error)
{
	const struct dh_settings *s = ct->settings;
	struct dh_router_control rc = {
		.loop = &ct->loop, .on_mail = on_mail, .arg = ct
	};
	g_autofree char *writer = NULL;

	ct->self = dh_name_id(s->vm);
	ct->incarnation = (uint64_t)dh_clock_wall_ms();
	dh_eventlog_add(
	    ct->history, "up", ",\"incarnation\":%" PRIu64, ct->incarnation);
	writer = g_strdup_printf("%s-%" PRIu64, s->vm, ct->incarnation);
	ct->authorities = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, authority_free);
	ct->partners = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	ct->http = dh_http_new(&ct->loop);
	dh_http_set_idle_max(ct->http, IDLE_CONNECTIONS_MAX);
	ct->store = dh_store_new(ct->http, s->store_url, writer);
	set_store_times(ct->store);
	ct->publish = dh_publish_new();
	rc.publish = ct->publish;
	ct->admin = dh_admin_new(ct, error);
	if (ct->admin == NULL)
		return false;
	ct->router = dh_router_start(s, &rc, error);
	if (ct->router == NULL)
		return false;
	ct->tables = dh_tables_new(ct);
	ct->teams = dh_teams_new(ct);
	ct->feed = dh_feed_new(ct);
	ct->permit_client = dh_permit_client_new(ct);
	ct->hosting = dh_hosting_new(ct);
	ct->vms = dh_vms_new(ct, error);
	return ct->vms != NULL;
}

static void
close_handle(uv_handle_t *handle, void *arg)
{
	(void)arg;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void
control_close(struct dh_control *ct)
{
	uv_prepare_stop(&ct->prepare);
	uv_timer_stop(&ct->shutdown);
	if (ct->router != NULL)
		dh_router_stop(ct->router);
	dh_admin_free(ct->admin);
	dh_vms_free(ct->vms);
	dh_store_free(ct->store);
	g_hash_table_unref(ct->authorities);
	dh_hosting_free(ct->hosting);
	dh_http_free(ct->http);
	dh_feed_free(ct->feed);
	dh_permit_client_free(ct->permit_client);
	dh_teams_free(ct->teams);
	g_array_unref(ct->partners);
	dh_tables_free(ct->tables);
	dh_publish_free(ct->publish);
	dh_conf_ref_put(ct->conf);
	uv_run(&ct->loop, UV_RUN_NOWAIT);
	uv_walk(&ct->loop, close_handle, NULL);
	while (uv_run(&ct->loop, UV_RUN_DEFAULT) != 0)
		continue;
	uv_loop_close(&ct->loop);
}

int
dh_control_run(const struct dh_settings *s, const char *history_path)
{
	struct dh_control ct = { .settings = s };
	g_autoptr(GError) error = NULL;

	(void)signal(SIGPIPE, SIG_IGN);
	ct.history = dh_eventlog_open(history_path, s->vm);
	loop_open(&ct);
	if (control_open(&ct, &error)) {
		dh_log(DH_LOG_INFO, "vm.up",
		    "vm=%s port=%u incarnation=%" PRIu64, s->vm,
		    dh_router_port(ct.router), ct.incarnation);
		uv_run(&ct.loop, UV_RUN_DEFAULT);
		dh_log(DH_LOG_INFO, "vm.down", "vm=%s status=%d", s->vm,
		    ct.status);
	} else {
		dh_log(DH_LOG_ERROR, "vm.failed", "%s", error->message);
		ct.status = 1;
	}
	control_close(&ct);
	dh_eventlog_close(ct.history);
	return ct.status;
}
