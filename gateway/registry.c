#include "gateway/registry.h"

#include <string.h>

#include "base/clock.h"
#include "base/opslog.h"
#include "base/timer.h"
#include "gateway/mirror.h"
#include "platform/wire.h"

/* Entries that the store had before it went back stand for so long: three
 * heartbeats of a backend server that is gone, or one that leaves has said so
 * again. */
#define RECALLED_MS 5000
/* How long one that left is remembered, so that its keys can be released. */
#define FORGET_MS 60000
/* The leader's watch: as long as others may go without what it doesn't hear
 * of, with what it takes to notice and to ask themselves. */
#define FEED_WAIT_MS 700
/* Behind the leader for so long, a VM asks the store: a datagram was lost. */
#define BEHIND_MS 300
/* Routers that share the backend servers, before the leader has said. */
#define VMS_DEFAULT 8

struct known {
	struct dh_registration r;
	struct sockaddr_in address;
	enum dh_tier tier;
	uint32_t uid;
	int64_t cold_until_ms;
	int64_t leaving_ms; /* since when it leaves or is gone; 0: it stays */
	int64_t
	    missing_ms; /* since when its entry is missing; 0: it is there */
	bool counted_out; /* missing and not awaited back */
	bool said_leaving; /* in an answer: holds for the rest of this life */
	bool replaced; /* another one has its address */
	bool recalled; /* it left; the entry that says otherwise may be old */
};

struct dh_registry {
	const struct dh_gateway_settings *settings;
	struct dh_era *era;
	struct dh_mirror *mirrors[DH_REGISTRY_KINDS];
	int64_t behind_ms[DH_REGISTRY_KINDS]; /* the leader, since; 0: not */
	void (*news)(void *arg, const struct dh_registry_news *n);
	void *news_arg;
	GHashTable *servers; /* id -> struct known */
	struct dh_deployment **deployment;
	uint32_t next_uid;
	uint64_t views;
	struct dh_view *base; /* without owners of keys; NULL: out of date */
	int64_t next_change_ms; /* when base is out of date by itself */
	int64_t awaited_until_ms; /* missing entries may be back until then */
	int64_t went_back_ms; /* the store did; 0: never */
	bool servers_reached;
	int64_t lost_ms; /* since when it was not */
	bool (*fine)(void *arg, int64_t since_ms);
	void *fine_arg;
	uv_timer_t *timer; /* missing entries */
	uv_timer_t *recall_timer;
	void (*changed)(void *arg);
	void *arg;
};

/* A view made now differs from the one before. */
static void
note_change(struct dh_registry *reg)
{
	dh_view_unref(reg->base);
	reg->base = NULL;
	reg->changed(reg->arg);
}

static void
drop_other_at_address(struct dh_registry *reg, const struct known *k)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct known *o = value;

		if (o == k || o->replaced || o->r.port != k->r.port ||
		    strcmp(o->r.address, k->r.address) != 0 ||
		    o->r.born_ms > k->r.born_ms)
			continue;
		o->replaced = true;
		dh_ops(DH_OPS_STATE, "server.replaced",
		    ",\"server\":\"%s\",\"by\":\"%s\",\"address\":\"%s:%u\"",
		    o->r.id, k->r.id, k->r.address, k->r.port);
	}
}

static bool
other_life(const struct known *k, const struct dh_registration *r)
{
	return k->r.born_ms != r->born_ms || k->r.port != r->port ||
	    strcmp(k->r.address, r->address) != 0 ||
	    strcmp(k->r.service, r->service) != 0;
}

static enum dh_tier
tier_of(const struct dh_registry *reg, const char *zone)
{
	g_autofree char *region = NULL;

	if (strcmp(zone, reg->settings->zone) == 0)
		return DH_TIER_ZONE;
	region = dh_gateway_region(reg->settings, zone);
	return strcmp(region, reg->settings->region) == 0 ? DH_TIER_REGION
							  : DH_TIER_REMOTE;
}

static void
update(struct dh_registry *reg, const struct dh_registration *r)
{
	struct known *k = g_hash_table_lookup(reg->servers, r->id);
	int64_t now_ms = dh_clock_ms();
	bool fresh = k == NULL;

	if (fresh) {
		k = g_new0(struct known, 1);
		g_hash_table_insert(reg->servers, g_strdup(r->id), k);
	}
	if (fresh || other_life(k, r)) {
		k->uid = ++reg->next_uid;
		k->replaced = k->said_leaving = false;
		k->leaving_ms = 0;
	}
	k->r = *r;
	(void)uv_ip4_addr(r->address, r->port, &k->address);
	k->tier = tier_of(reg, r->zone);
	k->missing_ms = 0;
	k->counted_out = false;
	k->cold_until_ms = r->cold_left_ms > 0 ? now_ms + r->cold_left_ms : 0;
	k->recalled = !r->draining && !k->said_leaving &&
	    now_ms - reg->went_back_ms < RECALLED_MS && k->leaving_ms != 0 &&
	    k->leaving_ms <= reg->went_back_ms;
	if (!r->draining && !k->said_leaving && !k->recalled)
		k->leaving_ms = 0;
	else if (k->leaving_ms == 0)
		k->leaving_ms = now_ms;
	drop_other_at_address(reg, k);
	dh_ops(DH_OPS_MEMBER, fresh ? "server.joined" : "server.changed",
	    ",\"server\":\"%s\",\"service\":\"%s\",\"address\":\"%s:%u\","
	    "\"zone\":\"%s\",\"slots\":%u,\"draining\":%s,\"born\":%lld",
	    r->id, r->service, r->address, r->port, r->zone, r->slots,
	    r->draining ? "true" : "false", (long long)r->born_ms);
}

static void
on_server(void *arg, const struct dh_object_view *o)
{
	struct dh_registry *reg = arg;
	g_autoptr(GError) error = NULL;
	struct dh_registration r;
	char name[128];

	if (!dh_wire_registration(&r, o->name, o->spec, &error)) {
		dh_ops(DH_OPS_STATE, "server.entry_ignored",
		    ",\"entry\":%s,\"revision\":%llu,\"why\":\"%s\"",
		    dh_ops_text(name, sizeof(name), o->name),
		    (unsigned long long)o->revision, error->message);
		return;
	}
	update(reg, &r);
	note_change(reg);
}

static void
count_out(struct dh_registry *reg, struct known *k, int64_t now_ms)
{
	k->counted_out = true;
	if (k->leaving_ms == 0)
		k->leaving_ms = now_ms;
	dh_ops(DH_OPS_STATE, "server.left",
	    ",\"server\":\"%s\",\"missing_ms\":%lld", k->r.id,
	    (long long)(now_ms - k->missing_ms));
	note_change(reg);
}

/* Entries that are missing and not awaited back. */
static void
on_timer(uv_timer_t *timer)
{
	struct dh_registry *reg = timer->data;
	int64_t now_ms = dh_clock_ms();
	GHashTableIter it;
	gpointer value;

	if (!reg->servers_reached)
		return;
	if (now_ms < reg->awaited_until_ms) {
		uv_timer_start(reg->timer, on_timer,
		    (uint64_t)(reg->awaited_until_ms - now_ms), 0);
		return;
	}
	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct known *k = value;

		if (k->missing_ms != 0 && !k->counted_out)
			count_out(reg, k, now_ms);
		else if (k->counted_out && now_ms - k->missing_ms > FORGET_MS)
			g_hash_table_iter_remove(&it);
	}
}

/* What the entries say now that they are not those of before the store went
 * back. */
static void
on_recall_timer(uv_timer_t *timer)
{
	struct dh_registry *reg = timer->data;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct known *k = value;

		if (!k->recalled || k->missing_ms != 0)
			continue;
		k->recalled = false;
		k->leaving_ms = 0;
		dh_ops(
		    DH_OPS_STATE, "server.back", ",\"server\":\"%s\"", k->r.id);
		note_change(reg);
	}
}

/* The store is a copy some seconds old.  Backend servers write their entries
 * again; what is missing is awaited, and what it says of those that have left
 * since may be old. */
static void
on_went_back(void *arg, uint64_t era)
{
	struct dh_registry *reg = arg;
	int64_t now_ms = dh_clock_ms();

	(void)era;
	reg->awaited_until_ms = now_ms + reg->settings->return_ms;
	reg->went_back_ms = now_ms;
	uv_timer_start(reg->recall_timer, on_recall_timer, RECALLED_MS, 0);
}

static void
on_server_gone(void *arg, const char *name)
{
	struct dh_registry *reg = arg;
	struct known *k = g_hash_table_lookup(reg->servers, name);

	if (k == NULL || k->missing_ms != 0)
		return;
	k->missing_ms = dh_clock_ms();
	uv_timer_start(reg->timer, on_timer, 0, 0);
}

static void
on_servers_reached(void *arg, bool reached)
{
	struct dh_registry *reg = arg;
	int64_t now_ms = dh_clock_ms();

	reg->servers_reached = reached;
	if (!reached) {
		reg->lost_ms = now_ms;
		return;
	}
	if (reg->lost_ms != 0 &&
	    !(reg->fine != NULL && reg->fine(reg->fine_arg, reg->lost_ms)))
		reg->awaited_until_ms = now_ms + reg->settings->return_ms;
	dh_ops(DH_OPS_STATE, "servers.awaited", ",\"for_ms\":%lld",
	    (long long)(reg->awaited_until_ms > now_ms
		    ? reg->awaited_until_ms - now_ms
		    : 0));
	uv_timer_start(reg->timer, on_timer, 0, 0);
}

static void
on_config(void *arg, const struct dh_object_view *o)
{
	struct dh_registry *reg = arg;
	g_autoptr(GError) error = NULL;
	struct dh_deployment *d;

	if (strcmp(o->name, dh_wire_config_name) != 0)
		return;
	d = dh_wire_deployment(o->spec, &error);
	if (d == NULL) {
		dh_ops(DH_OPS_STATE, "config.ignored",
		    ",\"revision\":%llu,\"why\":\"%s\"",
		    (unsigned long long)o->revision, error->message);
		return;
	}
	if (reg->deployment != NULL &&
	    d->version <= (*reg->deployment)->version) {
		dh_deployment_free(d);
		return;
	}
	dh_ops(DH_OPS_STATE, "config.in_force",
	    ",\"version\":%lld,\"before\":%lld,\"revision\":%llu,"
	    "\"routes\":%zu,\"services\":%zu",
	    (long long)d->version,
	    reg->deployment == NULL ? -1LL
				    : (long long)(*reg->deployment)->version,
	    (unsigned long long)o->revision, d->nroutes, d->nservices);
	dh_deployment_unbox(reg->deployment);
	reg->deployment = dh_deployment_box(d);
	note_change(reg);
}

static void
on_config_gone(void *arg, const char *name)
{
	(void)arg;
	/* What was accepted stays in force. */
	dh_ops(DH_OPS_STATE, "config.object_gone", ",\"name\":\"%s\"", name);
}

static void
on_config_reached(void *arg, bool reached)
{
	(void)arg;
	(void)reached;
}

static void
tell_news(struct dh_registry *reg, enum dh_registry_kind kind, uint64_t since,
    uint64_t as_of, const struct dh_object_view *items, size_t n)
{
	struct dh_registry_news news = { kind, since, as_of, items, n,
		dh_era_number(reg->era) };

	if (reg->news != NULL)
		reg->news(reg->news_arg, &news);
}

static void
on_servers_news(void *arg, uint64_t since, uint64_t as_of,
    const struct dh_object_view *items, size_t n)
{
	tell_news(arg, DH_REGISTRY_SERVERS, since, as_of, items, n);
}

static void
on_config_news(void *arg, uint64_t since, uint64_t as_of,
    const struct dh_object_view *items, size_t n)
{
	tell_news(arg, DH_REGISTRY_CONFIG, since, as_of, items, n);
}

struct dh_registry *
dh_registry_new(uv_loop_t *loop, struct dh_objects *o,
    struct dh_objects *source, const struct dh_gateway_settings *s,
    void (*changed)(void *arg), void *arg)
{
	struct dh_registry *reg = g_new0(struct dh_registry, 1);
	struct dh_mirror_handler servers = { on_server, on_server_gone,
		on_servers_reached, on_servers_news, reg };
	struct dh_mirror_handler config = { on_config, on_config_gone,
		on_config_reached, on_config_news, reg };

	reg->settings = s;
	reg->changed = changed;
	reg->arg = arg;
	reg->servers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	reg->timer = dh_timer_new(loop, reg);
	reg->recall_timer = dh_timer_new(loop, reg);
	reg->era = dh_era_new();
	dh_era_follow(reg->era, on_went_back, reg);
	reg->mirrors[DH_REGISTRY_SERVERS] = dh_mirror_new(loop, o, source,
	    reg->era, dh_wire_kind_servers, DH_FRESH, &servers);
	reg->mirrors[DH_REGISTRY_CONFIG] = dh_mirror_new(
	    loop, o, source, reg->era, dh_wire_kind_config, DH_FRESH, &config);
	return reg;
}

void
dh_registry_free(struct dh_registry *reg)
{
	size_t i;

	if (reg == NULL)
		return;
	for (i = 0; i < DH_REGISTRY_KINDS; i++)
		dh_mirror_free(reg->mirrors[i]);
	dh_timer_free(reg->timer);
	dh_timer_free(reg->recall_timer);
	dh_era_free(reg->era);
	dh_view_unref(reg->base);
	g_hash_table_destroy(reg->servers);
	dh_deployment_unbox(reg->deployment);
	g_free(reg);
}

void
dh_registry_feed(struct dh_registry *reg,
    void (*news)(void *arg, const struct dh_registry_news *n), void *arg)
{
	size_t i;

	reg->news = news;
	reg->news_arg = arg;
	for (i = 0; i < DH_REGISTRY_KINDS; i++) {
		if (news != NULL)
			dh_mirror_set_fed(reg->mirrors[i], false);
		dh_mirror_set_wait(reg->mirrors[i],
		    news != NULL ? FEED_WAIT_MS : DH_MIRROR_WAIT_MS);
	}
}

void
dh_registry_cursors(const struct dh_registry *reg,
    struct dh_registry_cursor cursors[DH_REGISTRY_KINDS])
{
	size_t i;

	for (i = 0; i < DH_REGISTRY_KINDS; i++) {
		cursors[i].as_of = dh_mirror_news_as_of(reg->mirrors[i]);
		cursors[i].reached = dh_mirror_reached(reg->mirrors[i]);
	}
}

static void
follow_kind(struct dh_registry *reg, enum dh_registry_kind kind,
    const struct dh_registry_cursor *c)
{
	struct dh_mirror *f = reg->mirrors[kind];
	int64_t now_ms = dh_clock_ms();

	if (c == NULL)
		dh_mirror_feeder_silent(f);
	else
		dh_mirror_set_fed(f, c->reached && c->as_of != 0);
	if (c == NULL || c->as_of <= dh_mirror_as_of(f)) {
		reg->behind_ms[kind] = 0;
		return;
	}
	if (reg->behind_ms[kind] == 0) {
		reg->behind_ms[kind] = now_ms;
	} else if (now_ms - reg->behind_ms[kind] >= BEHIND_MS) {
		reg->behind_ms[kind] = 0;
		dh_mirror_catch_up(f);
	}
}

void
dh_registry_follow(
    struct dh_registry *reg, const struct dh_registry_cursor *cursors)
{
	size_t i;

	for (i = 0; i < DH_REGISTRY_KINDS; i++)
		follow_kind(reg, (enum dh_registry_kind)i,
		    cursors == NULL ? NULL : &cursors[i]);
}

void
dh_registry_take(struct dh_registry *reg, const struct dh_registry_news *n)
{
	/* If something is missing the next heartbeats will show it. */
	if (dh_era_current(reg->era, n->era))
		(void)dh_mirror_take(reg->mirrors[n->kind], n->since, n->as_of,
		    n->items, n->nitems);
}

void
dh_registry_set_witness(struct dh_registry *reg,
    bool (*fine)(void *arg, int64_t since_ms), void *arg)
{
	reg->fine = fine;
	reg->fine_arg = arg;
}

struct dh_era *
dh_registry_era(const struct dh_registry *reg)
{
	return reg->era;
}

const struct dh_deployment *
dh_registry_deployment(const struct dh_registry *reg)
{
	return reg->deployment == NULL ? NULL : *reg->deployment;
}

GString *
dh_registry_list(const struct dh_registry *reg, const char *kind)
{
	if (strcmp(kind, dh_wire_kind_servers) == 0)
		return dh_mirror_list(reg->mirrors[DH_REGISTRY_SERVERS]);
	if (strcmp(kind, dh_wire_kind_config) == 0)
		return dh_mirror_list(reg->mirrors[DH_REGISTRY_CONFIG]);
	return NULL;
}

bool
dh_registry_ready(const struct dh_registry *reg)
{
	return reg->deployment != NULL &&
	    dh_mirror_listed(reg->mirrors[DH_REGISTRY_SERVERS]);
}

/* When the backend server gets its last request; INT64_MAX if it stays. */
static int64_t
closes_ms(const struct dh_registry *reg, const struct known *k, bool keyed)
{
	int64_t most_ms = reg->settings->drain_ms - DH_CLOSE_EARLY_MS;

	if (k->replaced)
		return 0;
	if (k->leaving_ms == 0)
		return INT64_MAX;
	return k->leaving_ms + (keyed && most_ms > 0 ? most_ms : 0);
}

static void
view_server(struct dh_registry *reg, const struct known *k, uint32_t service,
    int64_t now_ms, struct dh_view_server *s)
{
	const struct dh_deployment *d = *reg->deployment;

	*s = (struct dh_view_server){ .uid = k->uid,
		.born_ms = k->r.born_ms,
		.address = k->address,
		.tier = k->tier,
		.service = service,
		.slots = k->r.slots,
		.closed =
		    now_ms >= closes_ms(reg, k, d->services[service].keyed) };
	(void)g_strlcpy(s->id, k->r.id, sizeof(s->id));
	/* The workers' clock does not count suspends: close enough. */
	if (k->cold_until_ms != 0)
		s->cold_until_ms = (int64_t)(uv_hrtime() / 1000000) +
		    k->cold_until_ms - now_ms;
}

/* When a view will differ because time has passed. */
static int64_t
next_change_ms(const struct dh_registry *reg, int64_t now_ms)
{
	int64_t next_ms = INT64_MAX, at_ms;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		at_ms = closes_ms(reg, value, true);
		if (at_ms > now_ms && at_ms < next_ms)
			next_ms = at_ms;
	}
	return next_ms;
}

static void
view_index(struct dh_view *v)
{
	size_t i, nservices = (*v->deployment)->nservices;
	struct dh_view_service *s;
	int tier;

	v->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < v->nservers; i++)
		v->services[v->servers[i].service].nservers++;
	for (i = 0; i < nservices; i++) {
		s = &v->services[i];
		s->servers = g_new(uint32_t, s->nservers + 1);
		s->nservers = 0;
	}
	for (tier = 0; tier < DH_TIERS; tier++) {
		for (i = 0; i < v->nservers; i++) {
			s = &v->services[v->servers[i].service];
			if ((int)v->servers[i].tier == tier)
				s->servers[s->nservers++] = (uint32_t)i;
		}
		for (i = 0; i < nservices; i++)
			v->services[i].tier_end[tier] = v->services[i].nservers;
	}
	for (i = 0; i < v->nservers; i++)
		g_hash_table_insert(
		    v->by_id, v->servers[i].id, GUINT_TO_POINTER(i + 1));
}

static struct dh_view *
make_base(struct dh_registry *reg, int64_t now_ms)
{
	struct dh_view *v = dh_view_new(reg->deployment);
	GHashTableIter it;
	gpointer value;
	uint32_t service;

	v->vms = VMS_DEFAULT;
	v->servers =
	    g_new0(struct dh_view_server, g_hash_table_size(reg->servers) + 1);
	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct known *k = value;

		service = dh_deployment_service(*reg->deployment, k->r.service);
		if (service != DH_NONE)
			view_server(reg, k, service, now_ms,
			    &v->servers[v->nservers++]);
	}
	view_index(v);
	return v;
}

struct dh_view *
dh_registry_view(struct dh_registry *reg)
{
	int64_t now_ms = dh_clock_ms();
	struct dh_view *v;

	if (reg->deployment == NULL)
		return NULL;
	if (reg->base == NULL || now_ms >= reg->next_change_ms) {
		dh_view_unref(reg->base);
		reg->base = make_base(reg, now_ms);
		reg->next_change_ms = next_change_ms(reg, now_ms);
	}
	v = dh_view_new_like(reg->base);
	v->number = ++reg->views;
	return v;
}

int64_t
dh_registry_next_change_ms(const struct dh_registry *reg)
{
	return reg->base == NULL ? INT64_MAX : reg->next_change_ms;
}

void
dh_registry_servers(
    const struct dh_registry *reg, const char *service, GArray *list)
{
	struct dh_keyspace_server s;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct known *k = value;

		if (strcmp(k->r.service, service) != 0)
			continue;
		s = (struct dh_keyspace_server){ .born_ms = k->r.born_ms,
			.slots = k->r.slots,
			.leaving = k->leaving_ms != 0,
			.dead = k->replaced };
		(void)g_strlcpy(s.id, k->r.id, sizeof(s.id));
		g_array_append_val(list, s);
	}
}

void
dh_registry_said_leaving(
    struct dh_registry *reg, const char *id, int64_t born_ms)
{
	struct known *k = g_hash_table_lookup(reg->servers, id);

	if (k == NULL || k->r.born_ms != born_ms || k->said_leaving)
		return;
	k->said_leaving = true;
	if (k->leaving_ms == 0)
		k->leaving_ms = dh_clock_ms();
	dh_ops(DH_OPS_STATE, "server.said_leaving",
	    ",\"server\":\"%s\",\"born\":%lld", id, (long long)born_ms);
	note_change(reg);
}

int64_t
dh_registry_born_ms(const struct dh_registry *reg, const char *id)
{
	const struct known *k = g_hash_table_lookup(reg->servers, id);

	return k == NULL ? 0 : k->r.born_ms;
}

char *
dh_registry_address(const struct dh_registry *reg, const char *id)
{
	const struct known *k = g_hash_table_lookup(reg->servers, id);

	return k == NULL ? NULL
			 : g_strdup_printf("%s:%u", k->r.address, k->r.port);
}
