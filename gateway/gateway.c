#include "gateway/gateway.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/http.h"
#include "base/httpd.h"
#include "base/opslog.h"
#include "base/timer.h"
#include "gateway/neighbour.h"
#include "gateway/owners.h"
#include "gateway/registry.h"
#include "gateway/worker.h"
#include "platform/objects.h"
#include "platform/wire.h"

#define TICK_MS 100
/* Ticks between checks of the settings file for a change. */
#define SETTINGS_TICKS 20
#define ADMIN_CONNECTIONS 64
#define ADMIN_MEMORY 8192
#define ADMIN_IDLE_S 30
/* Limit of idle connections of the client that calls the store, and of the one
 * that sends grants to backend servers. */
#define CONNECTIONS_KEPT 512
/* Time after SIGTERM for which new connections are accepted: the load balancer
 * sends connections until two readiness checks, one per second, have failed. */
#define DRAIN_ACCEPT_MS 2300
/* Time between the end of a drain and SIGKILL. */
#define DRAIN_SLACK_MS 400

struct gateway {
	struct dh_gateway_settings settings;
	const char *path;
	struct timespec settings_mtime;
	uv_loop_t loop;
	uv_timer_t *tick;
	uv_idle_t publish_soon;
	uv_signal_t signals[3];
	struct dh_http *http;
	struct dh_http *grants; /* sends grants of keys only */
	struct dh_objects *objects;
	struct dh_registry *registry;
	struct dh_owners *owners;
	struct dh_httpd *ready, *metrics, *lists;
	struct dh_neighbour_search *search; /* NULL once it has ended */
	struct dh_objects *neighbour; /* VM that serves first lists, or NULL */
	bool failed;
	struct dh_worker **workers;
	uint32_t nworkers;
	uint32_t ticks;
	int64_t next_change_ms;
	int64_t drain_deadline_ms; /* deadline of the drain; 0: not draining */
};

static void
publish_view(struct gateway *g)
{
	struct dh_view *v = dh_registry_view(g->registry);
	uint32_t i;

	if (v == NULL)
		return;
	dh_owners_fill_view(g->owners, v);
	for (i = 0; i < g->nworkers; i++)
		dh_worker_publish(g->workers[i], dh_view_ref(v));
	dh_view_unref(v);
	g->next_change_ms = dh_registry_next_change_ms(g->registry);
}

/* Publish once for all changes of an iteration of the event loop. */
static void
on_publish(uv_idle_t *idle)
{
	uv_idle_stop(idle);
	publish_view(idle->data);
}

static void
on_changed(void *arg)
{
	struct gateway *g = arg;

	uv_idle_start(&g->publish_soon, on_publish);
}

static enum MHD_Result
on_ready(void *arg, struct MHD_Connection *c, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	struct gateway *g = arg;
	static int mark;
	bool ok = g->registry != NULL && dh_registry_ready(g->registry) &&
	    g->drain_deadline_ms == 0;

	(void)method;
	(void)version;
	(void)data;
	if (dh_httpd_skip_body(state, &mark, len))
		return MHD_YES;
	if (strcmp(url, dh_wire_readiness_path) != 0)
		return dh_httpd_reply(c, 404, "", 0, NULL);
	return dh_httpd_reply(c, ok ? 200 : 503, "", 0, NULL);
}

static enum MHD_Result
on_metrics(void *arg, struct MHD_Connection *c, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	static const char *const headers[] = { "Content-Type",
		"text/plain; version=0.0.4", NULL };
	static int mark;
	g_autoptr(GString) text = NULL;

	(void)arg;
	(void)method;
	(void)version;
	(void)data;
	if (dh_httpd_skip_body(state, &mark, len))
		return MHD_YES;
	if (strcmp(url, "/metrics") != 0)
		return dh_httpd_reply(c, 404, "", 0, NULL);
	dh_counter_set(
	    dh_counter_get("dh_log_left_out_total", ""), dh_opslog_dropped());
	text = g_string_new(NULL);
	dh_counter_print(text);
	return dh_httpd_reply(c, 200, text->str, text->len, headers);
}

/* Serve the registry's list of a kind of objects, with which another VM
 * starts. */
static enum MHD_Result
on_list(void *arg, struct MHD_Connection *c, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	const char *headers[] = { "Content-Type", "application/json", NULL,
		NULL, NULL };
	const char *kind = dh_objects_path_kind(url);
	g_autofree char *era = NULL;
	struct gateway *g = arg;
	uint64_t number;
	static int mark;
	GString *list;
	enum MHD_Result rc;

	(void)method;
	(void)version;
	(void)data;
	if (dh_httpd_skip_body(state, &mark, len))
		return MHD_YES;
	list = g->registry == NULL || kind == NULL
	    ? NULL
	    : dh_registry_list(g->registry, kind);
	if (list == NULL)
		return dh_httpd_reply(c, 503, "", 0, NULL);
	number = dh_era_number(dh_registry_era(g->registry));
	if (number != 0) {
		era = dh_wire_era_text(number);
		headers[2] = dh_wire_headers.store_era;
		headers[3] = era;
	}
	rc = dh_httpd_reply(c, 200, list->str, list->len, headers);
	g_string_free(list, TRUE);
	return rc;
}

static void
record_settings_mtime(struct gateway *g)
{
	struct stat st;

	if (g->path != NULL && stat(g->path, &st) == 0)
		g->settings_mtime = st.st_mtim;
}

static void
reload_settings(struct gateway *g, const char *why)
{
	g_autoptr(GError) error = NULL;
	struct dh_gateway_settings s;
	char text[512];

	record_settings_mtime(g);
	if (!dh_gateway_settings_load(&s, g->path, &error)) {
		dh_opslog_add(DH_OPS_STATE, "settings.rejected",
		    ",\"why\":%s,\"asked_by\":\"%s\"",
		    dh_opslog_quote(text, sizeof(text), error->message), why);
		return;
	}
	/* Other settings take effect after a restart. */
	g->settings.drain_ms = s.drain_ms;
	g->settings.grace_ms = s.grace_ms;
	g->settings.retry_share_milli = s.retry_share_milli;
	g->settings.retry_window_ms = s.retry_window_ms;
	g->settings.retry_slack = s.retry_slack;
	dh_opslog_add(DH_OPS_STATE, "settings.reloaded",
	    ",\"asked_by\":\"%s\",\"drain_ms\":%lld,\"grace_ms\":%lld,"
	    "\"retry_share_milli\":%lld,\"retry_slack\":%u",
	    why, (long long)s.drain_ms, (long long)s.grace_ms,
	    (long long)s.retry_share_milli, s.retry_slack);
}

static void
check_settings_file(struct gateway *g)
{
	struct stat st;

	if (g->path == NULL || stat(g->path, &st) != 0)
		return;
	if (st.st_mtim.tv_sec != g->settings_mtime.tv_sec ||
	    st.st_mtim.tv_nsec != g->settings_mtime.tv_nsec)
		reload_settings(g, "file");
}

static void
start_drain(struct gateway *g)
{
	uint32_t i;

	if (g->drain_deadline_ms != 0)
		return;
	g->drain_deadline_ms =
	    dh_clock_ms() + g->settings.grace_ms - DRAIN_SLACK_MS;
	dh_opslog_add(DH_OPS_STATE, "process.stopping", ",\"leads\":%s",
	    g->owners != NULL && dh_owners_is_leader(g->owners) ? "true"
								: "false");
	if (g->owners != NULL)
		dh_owners_resign(g->owners);
	for (i = 0; i < g->nworkers; i++)
		dh_worker_drain(g->workers[i], DRAIN_ACCEPT_MS,
		    g->settings.grace_ms - DRAIN_SLACK_MS);
}

static void
on_signal(uv_signal_t *handle, int number)
{
	struct gateway *g = handle->data;

	if (number == SIGHUP)
		reload_settings(g, "signal");
	else
		start_drain(g);
}

static bool
workers_done(const struct gateway *g)
{
	uint32_t i;

	for (i = 0; i < g->nworkers; i++)
		if (!dh_worker_done(g->workers[i]))
			return false;
	return true;
}

/* A leader that is still needed for renewals of leases uses the whole time of
 * the drain. */
static bool
may_exit(const struct gateway *g)
{
	return workers_done(g) &&
	    (g->owners == NULL || !dh_owners_renews_for_others(g->owners) ||
		dh_clock_ms() >= g->drain_deadline_ms);
}

static void
on_tick(uv_timer_t *timer)
{
	struct gateway *g = timer->data;
	struct dh_worker_report *r;
	uint32_t i;

	for (i = 0; i < g->nworkers; i++) {
		r = dh_worker_take_report(g->workers[i]);
		if (r != NULL && g->owners != NULL)
			dh_owners_add_report(g->owners, r);
		g_free(r);
	}
	if (dh_clock_ms() >= g->next_change_ms)
		publish_view(g);
	if (++g->ticks % SETTINGS_TICKS == 0)
		check_settings_file(g);
	if (g->drain_deadline_ms != 0 && may_exit(g))
		uv_stop(&g->loop);
}

static void
watch_signals(struct gateway *g)
{
	static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };
	size_t i;

	(void)signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		uv_signal_init(&g->loop, &g->signals[i]);
		g->signals[i].data = g;
		uv_signal_start(&g->signals[i], on_signal, numbers[i]);
	}
}

static bool
start_admin(struct gateway *g, const char *ip, GError **error)
{
	uint16_t port;
	g_autofree char *ready_ip =
	    dh_gateway_endpoint(g->settings.ready_url, &port);
	struct dh_httpd_options o = { .address = ready_ip,
		.port = port,
		.connections_max = ADMIN_CONNECTIONS,
		.memory_per_connection = ADMIN_MEMORY,
		.idle_s = ADMIN_IDLE_S,
		.handler = on_ready,
		.arg = g };

	g->ready = dh_httpd_new(&g->loop, &o, error);
	if (g->ready == NULL)
		return false;
	o.address = ip;
	o.port = g->settings.peer_port;
	o.handler = on_list;
	g->lists = dh_httpd_new(&g->loop, &o, error);
	if (g->lists == NULL)
		return false;
	if (g->settings.metrics_port == 0)
		return true;
	o.port = g->settings.metrics_port;
	o.handler = on_metrics;
	g->metrics = dh_httpd_new(&g->loop, &o, error);
	return g->metrics != NULL;
}

/* Start the registry with the lists of a neighbour, or of the store if
 * neighbour_ip is NULL. */
static void
on_neighbour_found(void *arg, const char *neighbour_ip)
{
	struct gateway *g = arg;
	uint16_t port;
	g_autofree char *ip =
	    dh_gateway_endpoint(g->settings.listen_url, &port);
	g_autofree char *url = NULL;
	g_autoptr(GError) error = NULL;
	char text[512];
	struct dh_owners_context c = { .loop = &g->loop,
		.http = g->http,
		.grants = g->grants,
		.objects = g->objects,
		.settings = &g->settings,
		.ip = ip,
		.changed = on_changed,
		.arg = g };

	g->search = NULL;
	if (neighbour_ip != NULL) {
		url = g_strdup_printf(
		    "http://%s:%u", neighbour_ip, g->settings.peer_port);
		g->neighbour = dh_objects_new(g->http, url);
	}
	g->registry = dh_registry_new(
	    &g->loop, g->objects, g->neighbour, &g->settings, on_changed, g);
	c.registry = g->registry;
	g->owners = dh_owners_new(&c, &error);
	if (g->owners != NULL) {
		if (g->drain_deadline_ms != 0)
			dh_owners_resign(g->owners);
		return;
	}
	dh_opslog_add(DH_OPS_STATE, "process.failed", ",\"why\":%s",
	    dh_opslog_quote(text, sizeof(text), error->message));
	g->failed = true;
	uv_stop(&g->loop);
}

static bool
start(struct gateway *g, GError **error)
{
	uint16_t port;
	g_autofree char *ip =
	    dh_gateway_endpoint(g->settings.listen_url, &port);
	uint32_t i;

	g->http = dh_http_new(&g->loop);
	dh_http_set_idle_max(g->http, CONNECTIONS_KEPT);
	g->grants = dh_http_new(&g->loop);
	dh_http_set_idle_max(g->grants, CONNECTIONS_KEPT);
	g->objects = dh_objects_new(g->http, g->settings.store_url);
	g->search = dh_neighbour_find(
	    g->objects, DH_OWNERS_KIND, &g->settings, on_neighbour_found, g);
	if (!start_admin(g, ip, error))
		return false;
	g->workers = g_new0(struct dh_worker *, g->settings.threads);
	for (i = 0; i < g->settings.threads; i++) {
		g->workers[i] = dh_worker_new(&g->settings, i, error);
		if (g->workers[i] == NULL)
			return false;
		g->nworkers++;
	}
	return true;
}

static void
stop(struct gateway *g)
{
	uint32_t i;

	for (i = 0; i < g->nworkers; i++)
		dh_worker_free(g->workers[i]);
	dh_neighbour_cancel(g->search);
	dh_owners_free(g->owners);
	dh_registry_free(g->registry);
	dh_objects_free(g->neighbour);
	dh_objects_free(g->objects);
	dh_httpd_free(g->ready);
	dh_httpd_free(g->lists);
	dh_httpd_free(g->metrics);
	dh_http_free(g->grants);
	dh_http_free(g->http);
	dh_timer_free(g->tick);
	g_free(g->workers);
}

int
dh_gateway_run(const struct dh_gateway_settings *s, const char *path)
{
	static struct gateway gateway;
	struct gateway *g = &gateway;
	g_autoptr(GError) error = NULL;
	char text[512];

	g->settings = *s;
	g->path = path;
	g->next_change_ms = INT64_MAX;
	record_settings_mtime(g);
	dh_opslog_open(STDOUT_FILENO, s->vm, s->log_lines_per_s);
	uv_loop_init(&g->loop);
	uv_idle_init(&g->loop, &g->publish_soon);
	g->publish_soon.data = g;
	watch_signals(g);
	dh_opslog_add(DH_OPS_STATE, "process.started",
	    ",\"zone\":\"%s\",\"region\":\"%s\",\"listen\":\"%s\"", s->zone,
	    s->region, s->listen_url);
	if (!start(g, &error)) {
		dh_opslog_add(DH_OPS_STATE, "process.failed", ",\"why\":%s",
		    dh_opslog_quote(text, sizeof(text), error->message));
		return EXIT_FAILURE;
	}
	g->tick = dh_timer_new(&g->loop, g);
	uv_timer_start(g->tick, on_tick, TICK_MS, TICK_MS);
	uv_run(&g->loop, UV_RUN_DEFAULT);
	dh_opslog_add(DH_OPS_STATE, "process.stopped",
	    ",\"lines_left_out\":%llu",
	    (unsigned long long)dh_opslog_dropped());
	stop(g);
	return g->failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
