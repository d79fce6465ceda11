#include "gateway/registry.h"

#include <string.h>

#include "base/clock.h"
#include "base/opslog.h"
#include "base/timer.h"
#include "gateway/mirror.h"
#include "platform/wire.h"

/* After the store was restored from a copy, a "ready" entry of a backend server
 * that had left may be old.  It counts only after this time, three heartbeats
 * of a backend server: until then the entry of one that is gone has expired,
 * and one that is leaving has written so again. */
#define RETURN_CONFIRM_MS 5000
/* How long a backend server that is gone is kept, so that its keys can be
 * released. */
#define GONE_RETENTION_MS 60000
/* Wait of the leader's watch.  Other VMs depend on it: a dead connection to the
 * store shows only when the wait is over.  It has to leave them time to notice
 * that the leader is silent and to ask the store themselves. */
#define LEADER_WATCH_WAIT_MS 700
/* Shorter for backend servers: the last answer limits how long ago one can have
 * begun to leave when that becomes known (see leaving_since()). */
#define LEADER_SERVERS_WAIT_MS 300
/* A VM that has been behind the leader's revision for this long has lost a
 * datagram and asks the store. */
#define CATCH_UP_DELAY_MS 300
/* Number of VMs that share the backend servers, until the leader sends it. */
#define DEFAULT_VM_COUNT 8
/* Part of evacuate_s for which backend servers of an evacuated zone are still
 * sent requests for their keys.  The rest is for a change of leaders, which
 * delays the news. */
#define EVACUATION_KEYED_PERCENT 30

/* What an answer from the address of a backend server has shown. */
enum answered_as {
	ANSWERED_NOT, /* there was none */
	ANSWERED_AS_ITSELF,
	ANSWERED_AS_OTHER, /* another instance is at the address */
};

/* A backend server.  Times are of dh_clock_ms(). */
struct server_state {
	struct dh_registration r; /* its last valid entry in the store */
	struct sockaddr_in address;
	enum dh_tier tier;
	const char *region; /* interned */
	uint32_t uid;
	int64_t cold_until_ms;
	int64_t leaving_since_ms; /* see leaving_since(); 0: not leaving */
	int64_t missing_since_ms; /* the entry is missing; 0: it exists */
	int64_t existed_until_ms; /* at least: the entry, if it is missing */
	bool presumed_gone; /* the entry was missing for too long */
	/* A response of this incarnation said that it is leaving; true until
	 * the next incarnation. */
	bool reported_leaving;
	enum answered_as answered;
	/* Another backend server is at the address, or is taken to be there as
	 * the entry of this one is missing. */
	bool address_taken;
	bool ended; /* an answer has shown that another one is there */
	bool disputed; /* other entries name the address, and no answer tells */
	bool settled; /* it was in use before the address was disputed */
	bool waits; /* disputed, and one that was there before is not */
	/* It had left before the store was restored from a copy, and its entry,
	 * which says otherwise, may be an old one. */
	bool return_unconfirmed;
	bool closed; /* in the last base view */
};

struct dh_registry {
	const struct dh_gateway_settings *settings;
	struct dh_era *era;
	struct dh_mirror *mirrors[DH_REGISTRY_KINDS];
	/* Since when the leader knows a later revision; 0: it does not. */
	int64_t behind_since_ms[DH_REGISTRY_KINDS];
	void (*send_changes)(void *arg, const struct dh_registry_changes *n);
	void *send_arg;
	GHashTable *servers; /* id -> struct server_state */
	GHashTable *by_address; /* address_key() -> GPtrArray of them */
	struct dh_deployment **deployment;
	uint32_t next_uid;
	GHashTable
	    *evacuated; /* zone -> since when, gint64; see close_time_ms() */
	uint64_t views;
	struct dh_view *base_view; /* without key owners; NULL: out of date */
	int64_t base_expiry_ms; /* base_view is out of date from then on */
	/* Backend servers with missing entries are not presumed gone before. */
	int64_t missing_tolerated_until_ms;
	int64_t store_restored_ms; /* last restore of the store; 0: none */
	bool servers_reached; /* the store or the leader answers */
	int64_t outage_start_ms; /* of the last outage of it; 0: none */
	bool (*store_was_reachable)(void *arg, int64_t since_ms);
	void *reachable_arg;
	uv_timer_t *missing_timer; /* looks for missing entries */
	uv_timer_t *return_timer; /* ends return_unconfirmed */
	void (*changed)(void *arg);
	void *arg;
};

/* Called on each change that makes the next view differ. */
static void
invalidate_base_view(struct dh_registry *reg)
{
	dh_view_unref(reg->base_view);
	reg->base_view = NULL;
	reg->changed(reg->arg);
}

static bool
is_declared(const struct dh_deployment *d, const char *service)
{
	return d != NULL && dh_deployment_service(d, service) != DH_NONE;
}

static gint64
address_key(const struct sockaddr_in *a)
{
	return (gint64)a->sin_addr.s_addr << 16 | a->sin_port;
}

/* The backend servers whose entries name an address; NULL if none does. */
static GPtrArray *
servers_at(const struct dh_registry *reg, const struct sockaddr_in *a)
{
	gint64 key = address_key(a);

	return g_hash_table_lookup(reg->by_address, &key);
}

static void
add_to_address(struct dh_registry *reg, struct server_state *k)
{
	GPtrArray *there = servers_at(reg, &k->address);
	gint64 *key;

	if (there == NULL) {
		there = g_ptr_array_new();
		key = g_new(gint64, 1);
		*key = address_key(&k->address);
		g_hash_table_insert(reg->by_address, key, there);
	}
	g_ptr_array_add(there, k);
}

static void
remove_from_address(struct dh_registry *reg, struct server_state *k)
{
	GPtrArray *there = servers_at(reg, &k->address);
	gint64 key = address_key(&k->address);

	if (there == NULL || !g_ptr_array_remove_fast(there, k))
		return;
	if (there->len == 0)
		g_hash_table_remove(reg->by_address, &key);
}

/* Whether the entry of o, at the address of k, counts against k.  One
 * of a service that the configuration does not name may come from any writer,
 * and never does. */
static bool
is_rival(const struct dh_registry *reg, const struct server_state *k,
    const struct server_state *o)
{
	return o != k && o->missing_since_ms == 0 &&
	    o->answered != ANSWERED_AS_OTHER &&
	    is_declared(dh_registry_deployment(reg), o->r.service);
}

/* Whether o is at the address rather than k as long as no answer tells. */
static bool
goes_before(const struct server_state *o, const struct server_state *k)
{
	if (o->settled != k->settled)
		return o->settled;
	return o->r.start_ms < k->r.start_ms;
}

static void
log_if_address_changed(
    const struct server_state *k, bool was_taken, bool was_disputed)
{
	if (k->address_taken != was_taken || k->disputed != was_disputed)
		dh_opslog_add(DH_OPS_STATE, "server.address",
		    ",\"server\":\"%s\",\"born\":%lld,\"address\":\"%s:%u\","
		    "\"taken\":%s,\"by_answer\":%s,\"disputed\":%s",
		    k->r.id, (long long)k->r.start_ms, k->r.address, k->r.port,
		    k->address_taken ? "true" : "false",
		    k->ended ? "true" : "false",
		    k->disputed ? "true" : "false");
}

static void
review_instance(
    struct dh_registry *reg, struct server_state *k, const GPtrArray *there)
{
	bool was_taken = k->address_taken, was_disputed = k->disputed;
	bool rivals = false, replaced = false;
	const struct server_state *o;
	guint i;

	k->ended = k->answered == ANSWERED_AS_OTHER;
	k->waits = false;
	for (i = 0; i < there->len; i++) {
		o = g_ptr_array_index(there, i);
		if (!is_rival(reg, k, o))
			continue;
		rivals = true;
		k->ended |= o->answered == ANSWERED_AS_ITSELF;
		k->waits |= goes_before(o, k);
		replaced |=
		    k->missing_since_ms != 0 && k->r.start_ms <= o->r.start_ms;
	}
	k->address_taken = k->ended || replaced;
	k->disputed = rivals && !k->ended && k->answered == ANSWERED_NOT;
	k->waits &= k->disputed;
	k->settled |= !k->address_taken && !k->disputed &&
	    is_declared(dh_registry_deployment(reg), k->r.service);
	log_if_address_changed(k, was_taken, was_disputed);
}

/* Finds out again which backend servers count as being at an address. */
static void
review_address(struct dh_registry *reg, const struct sockaddr_in *address)
{
	const GPtrArray *there = servers_at(reg, address);
	guint i;

	for (i = 0; there != NULL && i < there->len; i++)
		review_instance(reg, g_ptr_array_index(there, i), there);
}

/* The incarnation k has come to its address: what others there have answered
 * before says nothing about it. */
static void
forget_answers_at(struct dh_registry *reg, const struct server_state *k)
{
	const GPtrArray *there = servers_at(reg, &k->address);
	struct server_state *o;
	guint i;

	for (i = 0; there != NULL && i < there->len; i++) {
		o = g_ptr_array_index(there, i);
		if (o->answered == ANSWERED_AS_ITSELF)
			o->answered = ANSWERED_NOT;
	}
}

static bool
is_other_incarnation(
    const struct server_state *k, const struct dh_registration *r)
{
	return k->r.start_ms != r->start_ms || k->r.port != r->port ||
	    strcmp(k->r.address, r->address) != 0 ||
	    strcmp(k->r.service, r->service) != 0;
}

static void
locate(const struct dh_registry *reg, struct server_state *k)
{
	const struct dh_gateway_settings *s = reg->settings;
	g_autofree char *region = dh_gateway_region(s, k->r.zone);

	/* Of the zones that the settings name, so there are few. */
	k->region = g_intern_string(region);
	if (strcmp(k->r.zone, s->zone) == 0)
		k->tier = DH_TIER_ZONE;
	else
		k->tier = strcmp(region, s->region) == 0 ? DH_TIER_REGION
							 : DH_TIER_REMOTE;
}

/* When a backend server that has just become known as leaving said so at the
 * earliest: its drain period runs from then on, however late this VM learns of
 * it. */
static int64_t
leaving_since(const struct dh_registry *reg)
{
	int64_t current_ms =
	    dh_mirror_current_ms(reg->mirrors[DH_REGISTRY_SERVERS]);

	return MAX(MIN(current_ms, dh_clock_ms()), 1);
}

/* How old the list of backend servers may be, for the log; -1: not known. */
static long long
list_age_ms(const struct dh_registry *reg, int64_t now_ms)
{
	int64_t current_ms =
	    dh_mirror_current_ms(reg->mirrors[DH_REGISTRY_SERVERS]);

	return current_ms == 0 ? -1 : (long long)(now_ms - current_ms);
}

static void
update_server(
    struct dh_registry *reg, const struct dh_registration *r, uint64_t revision)
{
	struct server_state *k = g_hash_table_lookup(reg->servers, r->id);
	int64_t now_ms = dh_clock_ms();
	bool is_new = k == NULL, moved = false;
	struct sockaddr_in before;

	if (is_new) {
		k = g_new0(struct server_state, 1);
		g_hash_table_insert(reg->servers, g_strdup(r->id), k);
	}
	if (is_new || is_other_incarnation(k, r)) {
		k->uid = ++reg->next_uid;
		k->address_taken = k->reported_leaving = false;
		k->disputed = k->settled = false;
		k->answered = ANSWERED_NOT;
		k->leaving_since_ms = 0;
		moved = true;
	}
	k->r = *r;
	if (moved) {
		before = k->address;
		remove_from_address(reg, k);
		(void)uv_ip4_addr(r->address, r->port, &k->address);
		forget_answers_at(reg, k);
		add_to_address(reg, k);
		review_address(reg, &before);
	}
	locate(reg, k);
	k->missing_since_ms = 0;
	k->presumed_gone = false;
	k->cold_until_ms =
	    r->slow_start_left_ms > 0 ? now_ms + r->slow_start_left_ms : 0;
	k->return_unconfirmed = !r->draining && !k->reported_leaving &&
	    now_ms - reg->store_restored_ms < RETURN_CONFIRM_MS &&
	    k->leaving_since_ms != 0 &&
	    k->leaving_since_ms <= reg->store_restored_ms;
	if (!r->draining && !k->reported_leaving && !k->return_unconfirmed)
		k->leaving_since_ms = 0;
	else if (k->leaving_since_ms == 0)
		k->leaving_since_ms = leaving_since(reg);
	review_address(reg, &k->address);
	dh_opslog_add(DH_OPS_MEMBER,
	    is_new ? "server.joined" : "server.changed",
	    ",\"server\":\"%s\",\"service\":\"%s\",\"address\":\"%s:%u\","
	    "\"zone\":\"%s\",\"slots\":%u,\"draining\":%s,\"born\":%lld,"
	    "\"slow_start_ms\":%lld,"
	    "\"declared\":%s,\"revision\":%llu,\"list_age_ms\":%lld",
	    r->id, r->service, r->address, r->port, r->zone, r->slots,
	    r->draining ? "true" : "false", (long long)r->start_ms,
	    (long long)r->slow_start_left_ms,
	    is_declared(dh_registry_deployment(reg), r->service) ? "true"
								 : "false",
	    (unsigned long long)revision, list_age_ms(reg, now_ms));
}

static void
on_server_changed(void *arg, const struct dh_object_view *o)
{
	struct dh_registry *reg = arg;
	g_autoptr(GError) error = NULL;
	struct dh_registration r;
	char name[128];

	if (!dh_wire_registration(&r, o->name, o->spec, &error)) {
		dh_opslog_add(DH_OPS_STATE, "server.entry_ignored",
		    ",\"entry\":%s,\"revision\":%llu,\"why\":\"%s\"",
		    dh_opslog_quote(name, sizeof(name), o->name),
		    (unsigned long long)o->revision, error->message);
		return;
	}
	update_server(reg, &r, o->revision);
	invalidate_base_view(reg);
}

static void
presume_gone(struct dh_registry *reg, struct server_state *k, int64_t now_ms)
{
	k->presumed_gone = true;
	if (k->leaving_since_ms == 0)
		k->leaving_since_ms =
		    MAX(k->existed_until_ms, reg->missing_tolerated_until_ms);
	dh_opslog_add(DH_OPS_STATE, "server.left",
	    ",\"server\":\"%s\",\"missing_ms\":%lld", k->r.id,
	    (long long)(now_ms - k->missing_since_ms));
	invalidate_base_view(reg);
}

/* Presumes backend servers gone whose entries are missing, and forgets them
 * after GONE_RETENTION_MS. */
static void
on_missing_timer(uv_timer_t *timer)
{
	struct dh_registry *reg = timer->data;
	int64_t now_ms = dh_clock_ms();
	GHashTableIter it;
	gpointer value;

	if (!reg->servers_reached)
		return;
	if (now_ms < reg->missing_tolerated_until_ms) {
		uv_timer_start(reg->missing_timer, on_missing_timer,
		    (uint64_t)(reg->missing_tolerated_until_ms - now_ms), 0);
		return;
	}
	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct server_state *k = value;

		if (k->missing_since_ms != 0 && !k->presumed_gone)
			presume_gone(reg, k, now_ms);
		else if (k->presumed_gone &&
		    now_ms - k->missing_since_ms > GONE_RETENTION_MS) {
			remove_from_address(reg, k);
			g_hash_table_iter_remove(&it);
		}
	}
}

/* Accepts "ready" entries that still exist RETURN_CONFIRM_MS after the restore
 * of the store: they are not leftovers of the copy. */
static void
on_return_timer(uv_timer_t *timer)
{
	struct dh_registry *reg = timer->data;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct server_state *k = value;

		if (!k->return_unconfirmed || k->missing_since_ms != 0)
			continue;
		k->return_unconfirmed = false;
		k->leaving_since_ms = 0;
		dh_opslog_add(
		    DH_OPS_STATE, "server.back", ",\"server\":\"%s\"", k->r.id);
		invalidate_base_view(reg);
	}
}

/* The store was restored from a copy that is some seconds old.  Backend servers
 * write their entries again, so missing ones are tolerated for return_ms.  The
 * entry of one that has left since the copy was made may be an old one. */
static void
on_store_restored(void *arg, uint64_t era)
{
	struct dh_registry *reg = arg;
	int64_t now_ms = dh_clock_ms();

	(void)era;
	reg->missing_tolerated_until_ms = now_ms + reg->settings->return_ms;
	reg->store_restored_ms = now_ms;
	uv_timer_start(
	    reg->return_timer, on_return_timer, RETURN_CONFIRM_MS, 0);
}

static void
on_server_gone(void *arg, const char *name)
{
	struct dh_registry *reg = arg;
	struct server_state *k = g_hash_table_lookup(reg->servers, name);

	if (k == NULL || k->missing_since_ms != 0)
		return;
	k->missing_since_ms = dh_clock_ms();
	k->existed_until_ms = leaving_since(reg);
	review_address(reg, &k->address);
	if (k->address_taken)
		invalidate_base_view(reg);
	uv_timer_start(reg->missing_timer, on_missing_timer, 0, 0);
}

static void
on_servers_reached(void *arg, bool reached)
{
	struct dh_registry *reg = arg;
	int64_t now_ms = dh_clock_ms();

	reg->servers_reached = reached;
	if (!reached) {
		reg->outage_start_ms = now_ms;
		return;
	}
	if (reg->outage_start_ms != 0 &&
	    !(reg->store_was_reachable != NULL &&
		reg->store_was_reachable(
		    reg->reachable_arg, reg->outage_start_ms)))
		reg->missing_tolerated_until_ms =
		    now_ms + reg->settings->return_ms;
	dh_opslog_add(DH_OPS_STATE, "servers.awaited", ",\"for_ms\":%lld",
	    (long long)(reg->missing_tolerated_until_ms > now_ms
		    ? reg->missing_tolerated_until_ms - now_ms
		    : 0));
	uv_timer_start(reg->missing_timer, on_missing_timer, 0, 0);
}

/* Takes account of the entries of services that the configuration before did
 * not name; it may be NULL. */
static void
accept_declared_servers(
    struct dh_registry *reg, const struct dh_deployment *before)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct server_state *k = value;

		if (!is_declared(before, k->r.service))
			review_address(reg, &k->address);
	}
}

static void
on_config_changed(void *arg, const struct dh_object_view *o)
{
	struct dh_registry *reg = arg;
	struct dh_deployment **before = reg->deployment;
	g_autoptr(GError) error = NULL;
	struct dh_deployment *d;

	if (strcmp(o->name, dh_wire_config_name) != 0)
		return;
	d = dh_wire_deployment(o->spec, &error);
	if (d == NULL) {
		dh_opslog_add(DH_OPS_STATE, "config.ignored",
		    ",\"revision\":%llu,\"why\":\"%s\"",
		    (unsigned long long)o->revision, error->message);
		return;
	}
	if (reg->deployment != NULL &&
	    d->version <= (*reg->deployment)->version) {
		dh_deployment_free(d);
		return;
	}
	dh_opslog_add(DH_OPS_STATE, "config.in_force",
	    ",\"version\":%lld,\"before\":%lld,\"revision\":%llu,"
	    "\"routes\":%zu,\"services\":%zu",
	    (long long)d->version,
	    reg->deployment == NULL ? -1LL
				    : (long long)(*reg->deployment)->version,
	    (unsigned long long)o->revision, d->nroutes, d->nservices);
	reg->deployment = dh_deployment_box(d);
	accept_declared_servers(reg, before == NULL ? NULL : *before);
	dh_deployment_unbox(before);
	invalidate_base_view(reg);
}

static void
on_config_gone(void *arg, const char *name)
{
	(void)arg;
	/* The configuration in force stays. */
	dh_opslog_add(
	    DH_OPS_STATE, "config.object_gone", ",\"name\":\"%s\"", name);
}

static void
on_config_reached(void *arg, bool reached)
{
	(void)arg;
	(void)reached;
}

static void
publish_changes(struct dh_registry *reg, enum dh_registry_kind kind,
    uint64_t since, uint64_t as_of, const struct dh_object_view *items,
    size_t n)
{
	struct dh_registry_changes changes = { kind, since, as_of, items, n,
		dh_era_number(reg->era) };

	if (reg->send_changes != NULL)
		reg->send_changes(reg->send_arg, &changes);
}

static void
on_servers_changes(void *arg, uint64_t since, uint64_t as_of,
    const struct dh_object_view *items, size_t n)
{
	publish_changes(arg, DH_REGISTRY_SERVERS, since, as_of, items, n);
}

static void
on_config_changes(void *arg, uint64_t since, uint64_t as_of,
    const struct dh_object_view *items, size_t n)
{
	publish_changes(arg, DH_REGISTRY_CONFIG, since, as_of, items, n);
}

struct dh_registry *
dh_registry_new(uv_loop_t *loop, struct dh_objects *o,
    struct dh_objects *source, const struct dh_gateway_settings *s,
    void (*changed)(void *arg), void *arg)
{
	struct dh_registry *reg = g_new0(struct dh_registry, 1);
	struct dh_mirror_handler servers = { on_server_changed, on_server_gone,
		on_servers_reached, on_servers_changes, reg };
	struct dh_mirror_handler config = { on_config_changed, on_config_gone,
		on_config_reached, on_config_changes, reg };

	reg->settings = s;
	reg->changed = changed;
	reg->arg = arg;
	reg->servers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	reg->evacuated =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	reg->by_address = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    g_free, (GDestroyNotify)g_ptr_array_unref);
	reg->missing_timer = dh_timer_new(loop, reg);
	reg->return_timer = dh_timer_new(loop, reg);
	reg->era = dh_era_new();
	dh_era_subscribe(reg->era, on_store_restored, reg);
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
	dh_timer_free(reg->missing_timer);
	dh_timer_free(reg->return_timer);
	dh_era_free(reg->era);
	dh_view_unref(reg->base_view);
	g_hash_table_destroy(reg->evacuated);
	g_hash_table_destroy(reg->by_address);
	g_hash_table_destroy(reg->servers);
	dh_deployment_unbox(reg->deployment);
	g_free(reg);
}

void
dh_registry_set_leading(struct dh_registry *reg,
    void (*send)(void *arg, const struct dh_registry_changes *n), void *arg)
{
	static const int64_t wait_ms[DH_REGISTRY_KINDS] = {
		[DH_REGISTRY_SERVERS] = LEADER_SERVERS_WAIT_MS,
		[DH_REGISTRY_CONFIG] = LEADER_WATCH_WAIT_MS,
	};
	size_t i;

	reg->send_changes = send;
	reg->send_arg = arg;
	for (i = 0; i < DH_REGISTRY_KINDS; i++) {
		if (send != NULL)
			dh_mirror_set_fed_by_leader(reg->mirrors[i], false);
		dh_mirror_set_wait(reg->mirrors[i],
		    send != NULL ? wait_ms[i] : DH_MIRROR_WAIT_MS);
	}
}

static uint32_t
age_ms(const struct dh_mirror *f)
{
	int64_t current_ms = dh_mirror_current_ms(f);

	return current_ms == 0 ? UINT32_MAX
			       : (uint32_t)CLAMP(dh_clock_ms() - current_ms, 0,
				     (int64_t)UINT32_MAX);
}

void
dh_registry_cursors(const struct dh_registry *reg,
    struct dh_registry_cursor cursors[DH_REGISTRY_KINDS])
{
	size_t i;

	for (i = 0; i < DH_REGISTRY_KINDS; i++) {
		cursors[i].as_of = dh_mirror_last_change_as_of(reg->mirrors[i]);
		cursors[i].reached = dh_mirror_reached(reg->mirrors[i]);
		cursors[i].age_ms = age_ms(reg->mirrors[i]);
	}
}

bool
dh_registry_reads_store(const struct dh_registry *reg)
{
	size_t i;

	for (i = 0; i < DH_REGISTRY_KINDS; i++)
		if (!dh_mirror_reads_store(reg->mirrors[i]))
			return false;
	return true;
}

static void
follow_leader(struct dh_registry *reg, enum dh_registry_kind kind,
    const struct dh_registry_cursor *c)
{
	struct dh_mirror *f = reg->mirrors[kind];
	int64_t now_ms = dh_clock_ms();

	if (c == NULL)
		dh_mirror_leader_silent(f);
	else
		dh_mirror_set_fed_by_leader(f, c->reached && c->as_of != 0);
	if (c == NULL || c->as_of <= dh_mirror_as_of(f)) {
		reg->behind_since_ms[kind] = 0;
		if (c != NULL && c->as_of != 0 && c->age_ms != UINT32_MAX)
			dh_mirror_note_leader_age(f, c->age_ms);
		dh_mirror_check_age(f);
		return;
	}
	if (reg->behind_since_ms[kind] == 0) {
		reg->behind_since_ms[kind] = now_ms;
	} else if (now_ms - reg->behind_since_ms[kind] >= CATCH_UP_DELAY_MS) {
		reg->behind_since_ms[kind] = 0;
		dh_mirror_catch_up(f);
	}
}

void
dh_registry_set_leader_cursors(
    struct dh_registry *reg, const struct dh_registry_cursor *cursors)
{
	size_t i;

	/* The settings may have been reloaded. */
	dh_mirror_set_max_age(
	    reg->mirrors[DH_REGISTRY_SERVERS], reg->settings->drain_ms / 2);
	for (i = 0; i < DH_REGISTRY_KINDS; i++)
		follow_leader(reg, (enum dh_registry_kind)i,
		    cursors == NULL ? NULL : &cursors[i]);
}

void
dh_registry_note_outage(struct dh_registry *reg)
{
	size_t i;

	for (i = 0; i < DH_REGISTRY_KINDS; i++)
		dh_mirror_note_outage(reg->mirrors[i]);
}

void
dh_registry_check_age(struct dh_registry *reg, int64_t spread_ms)
{
	struct dh_mirror *f = reg->mirrors[DH_REGISTRY_SERVERS];
	int64_t current_ms = dh_mirror_current_ms(f);

	if (current_ms != 0 &&
	    dh_clock_ms() - current_ms >
		reg->settings->drain_ms / 2 + spread_ms)
		dh_mirror_check_age(f);
}

void
dh_registry_apply_changes(
    struct dh_registry *reg, const struct dh_registry_changes *changes)
{
	/* After a gap, follow_leader() asks the store for what is missing. */
	if (dh_era_accept(reg->era, changes->era))
		(void)dh_mirror_apply(reg->mirrors[changes->kind],
		    changes->since, changes->as_of, changes->items,
		    changes->nitems);
}

void
dh_registry_set_outage_check(struct dh_registry *reg,
    bool (*store_was_reachable)(void *arg, int64_t since_ms), void *arg)
{
	reg->store_was_reachable = store_was_reachable;
	reg->reachable_arg = arg;
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

/* Since when the zone of a backend server has been evacuated; 0: it is not. */
static int64_t
evacuated_since_ms(const struct dh_registry *reg, const struct server_state *k)
{
	const gint64 *since_ms = g_hash_table_size(reg->evacuated) == 0
	    ? NULL
	    : g_hash_table_lookup(reg->evacuated, k->r.zone);

	return since_ms == NULL ? 0 : *since_ms;
}

/* When the backend server gets its last request; INT64_MAX if it is not
 * leaving. */
static int64_t
close_time_ms(
    const struct dh_registry *reg, const struct server_state *k, bool keyed)
{
	int64_t keyed_drain_ms = reg->settings->drain_ms - DH_DRAIN_MARGIN_MS;

	int64_t at_ms = INT64_MAX, evacuated_ms = evacuated_since_ms(reg, k);

	if (k->address_taken)
		return 0;
	if (k->leaving_since_ms != 0)
		at_ms = k->leaving_since_ms +
		    (keyed && keyed_drain_ms > 0 ? keyed_drain_ms : 0);
	if (evacuated_ms != 0)
		at_ms = MIN(at_ms,
		    evacuated_ms +
			(keyed ? reg->settings->evacuate_ms *
				    EVACUATION_KEYED_PERCENT / 100
			       : 0));
	return at_ms;
}

/* Converts to the workers' clock, which stands still while the VM is suspended;
 * the error is harmless. */
static int64_t
worker_clock_ms(int64_t at_ms, int64_t now_ms)
{
	return (int64_t)(uv_hrtime() / 1000000) + at_ms - now_ms;
}

static void
fill_view_server(struct dh_registry *reg, const struct server_state *k,
    uint32_t service, int64_t now_ms, struct dh_view_server *s)
{
	const struct dh_deployment *d = *reg->deployment;
	int64_t close_ms = close_time_ms(reg, k, d->services[service].keyed);

	*s = (struct dh_view_server){ .uid = k->uid,
		.start_ms = k->r.start_ms,
		.address = k->address,
		.tier = k->tier,
		.zone = g_intern_string(k->r.zone),
		.region = k->region,
		.service = service,
		.slots = k->r.slots };
	(void)g_strlcpy(s->id, k->r.id, sizeof(s->id));
	if (close_ms != INT64_MAX)
		s->close_ms = MAX(worker_clock_ms(close_ms, now_ms), 1);
	if (k->cold_until_ms != 0) {
		s->slow_start_until_ms =
		    worker_clock_ms(k->cold_until_ms, now_ms);
		s->slow_start_per_s = d->services[service].slow_start_per_s;
	}
}

/* When the next leaving backend server gets its last request; INT64_MAX if none
 * will. */
static int64_t
next_expiry_ms(const struct dh_registry *reg, int64_t now_ms)
{
	int64_t next_ms = INT64_MAX, at_ms;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		at_ms = close_time_ms(reg, value, true);
		if (at_ms > now_ms && at_ms < next_ms)
			next_ms = at_ms;
	}
	return next_ms;
}

static void
index_view(struct dh_view *v)
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

static void
log_if_closed(struct server_state *k, bool closed, int64_t now_ms)
{
	if (closed && !k->closed)
		dh_opslog_add(DH_OPS_MEMBER, "server.closed",
		    ",\"server\":\"%s\",\"born\":%lld,\"leaving_ms\":%lld,"
		    "\"replaced\":%s",
		    k->r.id, (long long)k->r.start_ms,
		    (long long)(k->leaving_since_ms == 0
			    ? 0
			    : now_ms - k->leaving_since_ms),
		    k->address_taken ? "true" : "false");
	k->closed = closed;
}

static struct dh_view *
make_base_view(struct dh_registry *reg, int64_t now_ms)
{
	struct dh_view *v = dh_view_new(reg->deployment);
	GHashTableIter it;
	gpointer value;
	uint32_t service;

	v->vms = DEFAULT_VM_COUNT;
	v->servers =
	    g_new0(struct dh_view_server, g_hash_table_size(reg->servers) + 1);
	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct server_state *k = value;
		struct dh_view_server *s = &v->servers[v->nservers];

		service = dh_deployment_service(*reg->deployment, k->r.service);
		if (service == DH_NONE)
			continue;
		fill_view_server(reg, k, service, now_ms, s);
		log_if_closed(k,
		    now_ms >= close_time_ms(reg, k,
				  (*reg->deployment)->services[service].keyed),
		    now_ms);
		v->nservers++;
	}
	index_view(v);
	return v;
}

struct dh_view *
dh_registry_view(struct dh_registry *reg)
{
	int64_t now_ms = dh_clock_ms();
	struct dh_view *v;

	if (reg->deployment == NULL)
		return NULL;
	if (reg->base_view == NULL || now_ms >= reg->base_expiry_ms) {
		dh_view_unref(reg->base_view);
		reg->base_view = make_base_view(reg, now_ms);
		reg->base_expiry_ms = next_expiry_ms(reg, now_ms);
	}
	v = dh_view_new_derived(reg->base_view);
	v->number = ++reg->views;
	return v;
}

int64_t
dh_registry_next_change_ms(const struct dh_registry *reg)
{
	return reg->base_view == NULL ? INT64_MAX : reg->base_expiry_ms;
}

static bool
has_name(const GPtrArray *names, const char *name)
{
	guint i;

	for (i = 0; i < names->len; i++)
		if (strcmp(names->pdata[i], name) == 0)
			return true;
	return false;
}

static void
log_zone(const char *event, const char *zone)
{
	char name[DH_NAME_MAX * 2 + 8];

	dh_opslog_add(DH_OPS_STATE, event, ",\"zone\":%s",
	    dh_opslog_quote(name, sizeof(name), zone));
}

bool
dh_registry_set_evacuated(struct dh_registry *reg, const GPtrArray *zones)
{
	gint64 now_ms = dh_clock_ms();
	/* The restored store may lack entries that operators write again. */
	bool awaits_entries = reg->store_restored_ms != 0 &&
	    now_ms < reg->store_restored_ms + reg->settings->return_ms;
	bool changed = false;
	GHashTableIter it;
	gpointer zone;
	guint i;

	g_hash_table_iter_init(&it, reg->evacuated);
	while (g_hash_table_iter_next(&it, &zone, NULL)) {
		if (awaits_entries || has_name(zones, zone))
			continue;
		log_zone("zone.in_use", zone);
		g_hash_table_iter_remove(&it);
		changed = true;
	}
	for (i = 0; i < zones->len; i++) {
		if (g_hash_table_contains(reg->evacuated, zones->pdata[i]))
			continue;
		log_zone("zone.evacuated", zones->pdata[i]);
		g_hash_table_insert(reg->evacuated, g_strdup(zones->pdata[i]),
		    g_memdup2(&now_ms, sizeof(now_ms)));
		changed = true;
	}
	if (changed)
		invalidate_base_view(reg);
	return changed;
}

/* Requests per second that a backend server bears because it starts; 0: no
 * bound is known. */
static double
start_limit_per_s(const struct dh_registry *reg, const struct server_state *k)
{
	const struct dh_deployment *d = dh_registry_deployment(reg);
	uint32_t i =
	    d == NULL ? DH_NONE : dh_deployment_service(d, k->r.service);

	return i == DH_NONE || dh_clock_ms() >= k->cold_until_ms
	    ? 0
	    : d->services[i].slow_start_per_s;
}

void
dh_registry_starting(const struct dh_registry *reg, GArray *list)
{
	struct dh_starting_server s;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct server_state *k = value;

		s = (struct dh_starting_server){ .start_ms = k->r.start_ms };
		if (k->cold_until_ms != 0)
			s.per_s = start_limit_per_s(reg, k);
		if (s.per_s <= 0)
			continue;
		(void)g_strlcpy(s.id, k->r.id, sizeof(s.id));
		g_array_append_val(list, s);
	}
}

/* The regions in which keys of a service may be owned, as found so far. */
struct key_regions {
	const struct dh_deployment *deployment;
	uint32_t service;
	GHashTable *allowed; /* interned region -> 1: yes, 2: no */
};

static bool
may_own_keys(struct key_regions *kr, const char *region)
{
	gpointer known = g_hash_table_lookup(kr->allowed, region);

	if (known == NULL) {
		known =
		    GUINT_TO_POINTER(dh_deployment_keys_allowed(
					 kr->deployment, kr->service, region)
			    ? 1
			    : 2);
		g_hash_table_insert(kr->allowed, (gpointer)region, known);
	}
	return GPOINTER_TO_UINT(known) == 1;
}

/* Marks backend servers outside the homes as leaving, so that their keys move.
 * Where the routes that lead to the service have no home in common that has a
 * backend server, keys may be anywhere.  regions holds the region of each one
 * in list. */
static void
keep_keys_at_home(const struct dh_registry *reg, const char *service,
    GArray *list, const GPtrArray *regions)
{
	struct key_regions kr = { .deployment = dh_registry_deployment(reg) };
	struct dh_keyspace_server *s;
	bool any = false;
	guint i;

	if (kr.deployment == NULL)
		return;
	kr.service = dh_deployment_service(kr.deployment, service);
	kr.allowed = g_hash_table_new(g_direct_hash, g_direct_equal);
	for (i = 0; i < list->len && !any; i++) {
		s = &g_array_index(list, struct dh_keyspace_server, i);
		any = !s->leaving && !s->dead &&
		    may_own_keys(&kr, regions->pdata[i]);
	}
	for (i = 0; any && i < list->len; i++) {
		s = &g_array_index(list, struct dh_keyspace_server, i);
		s->leaving |= !may_own_keys(&kr, regions->pdata[i]);
	}
	g_hash_table_destroy(kr.allowed);
}

void
dh_registry_servers(
    const struct dh_registry *reg, const char *service, GArray *list)
{
	g_autoptr(GPtrArray) regions = g_ptr_array_new();
	struct dh_keyspace_server s;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct server_state *k = value;

		if (strcmp(k->r.service, service) != 0 || k->waits)
			continue;
		s = (struct dh_keyspace_server){ .start_ms = k->r.start_ms,
			.slots = k->r.slots,
			.leaving = k->leaving_since_ms != 0 ||
			    evacuated_since_ms(reg, k) != 0,
			.dead = k->ended };
		(void)g_strlcpy(s.id, k->r.id, sizeof(s.id));
		s.rate_limit_per_s = start_limit_per_s(reg, k);
		s.limited = s.rate_limit_per_s > 0;
		g_array_append_val(list, s);
		g_ptr_array_add(regions, (gpointer)k->region);
	}
	keep_keys_at_home(reg, service, list, regions);
}

void
dh_registry_disputed(
    const struct dh_registry *reg, const char *service, GArray *list)
{
	struct dh_instance i;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, reg->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct server_state *k = value;

		if (!k->disputed || strcmp(k->r.service, service) != 0)
			continue;
		i = (struct dh_instance){ .start_ms = k->r.start_ms };
		(void)g_strlcpy(i.id, k->r.id, sizeof(i.id));
		g_array_append_val(list, i);
	}
}

void
dh_registry_note_instance(
    struct dh_registry *reg, const char *id, int64_t start_ms, bool there)
{
	struct server_state *k = g_hash_table_lookup(reg->servers, id);

	if (k == NULL || k->r.start_ms != start_ms || !k->disputed)
		return;
	k->answered = there ? ANSWERED_AS_ITSELF : ANSWERED_AS_OTHER;
	review_address(reg, &k->address);
	invalidate_base_view(reg);
}

void
dh_registry_mark_leaving(
    struct dh_registry *reg, const char *id, int64_t start_ms)
{
	struct server_state *k = g_hash_table_lookup(reg->servers, id);

	if (k == NULL || k->r.start_ms != start_ms || k->reported_leaving)
		return;
	k->reported_leaving = true;
	if (k->leaving_since_ms == 0)
		k->leaving_since_ms = leaving_since(reg);
	dh_opslog_add(DH_OPS_STATE, "server.said_leaving",
	    ",\"server\":\"%s\",\"born\":%lld", id, (long long)start_ms);
	invalidate_base_view(reg);
}

int64_t
dh_registry_start_ms(const struct dh_registry *reg, const char *id)
{
	const struct server_state *k = g_hash_table_lookup(reg->servers, id);

	return k == NULL ? 0 : k->r.start_ms;
}

char *
dh_registry_address(const struct dh_registry *reg, const char *id)
{
	const struct server_state *k = g_hash_table_lookup(reg->servers, id);

	return k == NULL ? NULL
			 : g_strdup_printf("%s:%u", k->r.address, k->r.port);
}
