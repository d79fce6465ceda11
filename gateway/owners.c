#include "gateway/owners_internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/jsonfield.h"
#include "base/opslog.h"
#include "base/timer.h"

#define SERVICE_PREFIX "service."
#define VM_PREFIX "vm." /* objects with the address of each VM */
#define REPORT_INTERVAL_MS 250
#define ANNOUNCE_RETRY_MS 1000
/* How many times in a step the leader sends all owners of a service to a VM.
 * A new leader has to send them to every VM, and its link has other traffic. */
#define FULL_SENDS_PER_STEP 20
/* How many heartbeat intervals a restarted VM waits for the leader before it
 * tries to lead. */
#define RESTART_WAIT_BEATS 2
#define TRAFFIC_LOG_MS 1000

static void
known_free(gpointer p)
{
	struct known_owners *k = p;

	dh_record_clear(&k->record);
	g_free(k);
}

bool
owners_learn(struct dh_owners *o, const char *service, struct dh_record *r,
    const char *from)
{
	struct known_owners *k = g_hash_table_lookup(o->known, service);

	if (k != NULL && !dh_record_is_newer(r, &k->record)) {
		dh_record_clear(r);
		return false;
	}
	dh_opslog_add(DH_OPS_MEMBER, "owners.learned",
	    ",\"service\":\"%s\",\"term\":%llu,\"version\":%llu,"
	    "\"ranges\":%zu,\"from\":\"%s\"",
	    service, (unsigned long long)r->term,
	    (unsigned long long)r->version, r->nranges, from);
	if (k == NULL) {
		k = g_new0(struct known_owners, 1);
		g_hash_table_insert(o->known, g_strdup(service), k);
	}
	dh_record_clear(&k->record);
	k->record = *r;
	o->known_changes++;
	o->c.changed(o->c.arg);
	return true;
}

static void
learn_from_spec(struct dh_owners *o, const char *service,
    struct json_object *spec, const char *from)
{
	g_autoptr(GError) error = NULL;
	struct dh_record r;

	if (dh_record_parse(&r, spec, &error))
		(void)owners_learn(o, service, &r, from);
	else
		dh_opslog_add(DH_OPS_STATE, "owners.unreadable",
		    ",\"service\":\"%s\",\"from\":\"%s\",\"why\":\"%s\"",
		    service, from, error->message);
}

void
owners_suspects_changed(struct dh_owners *o)
{
	o->last_report_ms = o->beat_sent_ms = 0;
	o->c.changed(o->c.arg);
}

void
owners_reset_election_timeout(struct dh_owners *o)
{
	int64_t base_ms = o->c.settings->silence_ms;

	o->leader_healthy_ms = dh_clock_ms();
	o->election_timeout_ms =
	    base_ms + g_random_int_range(0, (gint)base_ms / 2 + 1);
}

void
owners_set_leader(
    struct dh_owners *o, uint64_t term, const char *vm, const char *ip)
{
	if (term < o->term || (term == o->term && o->leader_ip[0] != '\0'))
		return;
	dh_opslog_add(DH_OPS_STATE, "leader.known",
	    ",\"leader\":\"%s\",\"term\":%llu,\"before\":%llu", vm,
	    (unsigned long long)term, (unsigned long long)o->term);
	o->term = term;
	o->beat_number = 0;
	(void)g_strlcpy(o->leader_vm, vm, sizeof(o->leader_vm));
	(void)g_strlcpy(o->leader_ip, ip, sizeof(o->leader_ip));
	if (strcmp(ip, o->c.ip) != 0)
		(void)owners_get_peer(o, ip);
	owners_reset_election_timeout(o);
}

static const char *
string_member(struct json_object *spec, const char *name)
{
	struct json_object *v;

	if (!json_object_is_type(spec, json_type_object) ||
	    !json_object_object_get_ex(spec, name, &v) ||
	    !json_object_is_type(v, json_type_string))
		return "";
	return json_object_get_string(v);
}

bool
owners_is_own_spec(const struct dh_owners *o, struct json_object *spec)
{
	return strcmp(string_member(spec, "incarnation"), o->incarnation) == 0;
}

void
owners_process_leader(struct dh_owners *o, const struct dh_object_view *v)
{
	uint64_t term = (uint64_t)dh_json_int(v->spec, "term");
	const char *vm = string_member(v->spec, "vm");

	if (v->revision > o->revision)
		o->revision = v->revision;
	if (term < o->term || owners_is_own_spec(o, v->spec))
		return;
	if (o->role == ROLE_LEADER && term > o->term)
		owners_become_follower(o, "the store names another leader");
	if (term > o->term || o->leader_ip[0] == '\0')
		owners_set_leader(o, term, vm, string_member(v->spec, "ip"));
}

struct dh_era *
owners_store_era(const struct dh_owners *o)
{
	return dh_registry_era(o->c.registry);
}

struct peer_state *
owners_get_peer(struct dh_owners *o, const char *ip)
{
	struct peer_state *p = g_hash_table_lookup(o->peers, ip);

	if (p != NULL || ip[0] == '\0')
		return p;
	p = g_new0(struct peer_state, 1);
	p->uid = DH_PEER_UID_FIRST + o->peer_uids++;
	g_hash_table_insert(o->peers, g_strdup(ip), p);
	return p;
}

/* Shortens the election timeout of a VM whose address was in the store at its
 * start: a running leader knows the address and sends heartbeats to it.  If
 * all VMs were lost at once no VM leads, and a leader is needed soon. */
static void
shorten_election_timeout(struct dh_owners *o)
{
	gint beat_ms = (gint)o->c.settings->beat_ms;

	if (o->beat_received_ms != 0 || o->role != ROLE_FOLLOWER)
		return;
	o->election_timeout_ms =
	    RESTART_WAIT_BEATS * beat_ms + g_random_int_range(0, beat_ms);
	dh_opslog_add(DH_OPS_STATE, "leader.expected", ",\"within_ms\":%lld",
	    (long long)o->election_timeout_ms);
}

/* Keeps the entry that an earlier process of this VM wrote if it is still
 * correct. */
static void
check_own_entry(struct dh_owners *o, const struct dh_object_view *v,
    const char *ip, int64_t core_share_milli, int64_t link_kbps)
{
	o->announce_revision = v->revision;
	if (o->announced || o->announcement != NULL ||
	    strcmp(ip, o->c.ip) != 0 ||
	    strcmp(string_member(v->spec, "zone"), o->c.settings->zone) != 0 ||
	    dh_json_int(v->spec, "relays") != 1 ||
	    core_share_milli != o->c.settings->core_share_milli ||
	    link_kbps != o->c.settings->link_kbps)
		return;
	o->announced = true;
	shorten_election_timeout(o);
	dh_opslog_add(DH_OPS_STATE, "vm.announced",
	    ",\"ip\":\"%s\",\"done\":true,\"revision\":%llu", o->c.ip,
	    (unsigned long long)v->revision);
}

static void
process_vm(struct dh_owners *o, const struct dh_object_view *v)
{
	const char *ip = string_member(v->spec, "ip");
	struct peer_state *p;
	int64_t core_share_milli = dh_json_int(v->spec, "core_share_milli");
	int64_t link_kbps = dh_json_int(v->spec, "link_kbps");

	if (strcmp(v->name + strlen(VM_PREFIX), o->c.settings->vm) == 0) {
		check_own_entry(o, v, ip, core_share_milli, link_kbps);
		return;
	}
	if (strcmp(ip, o->c.ip) != 0 && ip[0] != '\0') {
		p = owners_get_peer(o, ip);
		p->core_share_milli = core_share_milli;
		p->link_kbps = link_kbps;
		if (p->heard_ms == 0)
			p->relays = dh_json_int(v->spec, "relays") == 1;
		(void)g_strlcpy(
		    p->vm, v->name + strlen(VM_PREFIX), sizeof(p->vm));
		(void)g_strlcpy(
		    p->zone, string_member(v->spec, "zone"), sizeof(p->zone));
		o->peers_changed = true;
	}
	dh_opslog_add(DH_OPS_MEMBER, "vm.known",
	    ",\"peer\":\"%s\",\"ip\":\"%s\"", v->name + strlen(VM_PREFIX), ip);
}

static void
on_announced(void *arg, const struct dh_objects_reply *r)
{
	struct dh_owners *o = arg;

	o->announcement = NULL;
	r = dh_era_check_reply(owners_store_era(o), r);
	if (r == NULL)
		return;
	o->announced = r->result == DH_OBJECTS_OK ||
	    (r->result == DH_OBJECTS_CONFLICT && r->nitems == 1 &&
		strcmp(string_member(r->items[0].spec, "ip"), o->c.ip) == 0);
	o->next_announce_ms = dh_clock_ms() + ANNOUNCE_RETRY_MS;
	if (o->announced && r->result == DH_OBJECTS_CONFLICT)
		shorten_election_timeout(o);
	dh_opslog_add(DH_OPS_STATE, "vm.announced",
	    ",\"ip\":\"%s\",\"done\":%s,\"status\":%ld", o->c.ip,
	    o->announced ? "true" : "false", r->status);
	if (!o->announced && r->result == DH_OBJECTS_CONFLICT && r->nitems == 1)
		o->announce_revision = r->items[0].revision;
}

/* Writes this VM's address into the store for the other VMs. */
static void
announce(struct dh_owners *o, int64_t now_ms)
{
	g_autofree char *name = NULL;
	g_autofree char *spec = NULL;

	if (o->announced || o->announcement != NULL ||
	    now_ms < o->next_announce_ms || !dh_mirror_listed(o->mirror))
		return;
	name = g_strconcat(VM_PREFIX, o->c.settings->vm, NULL);
	spec = g_strdup_printf(
	    "{\"ip\":\"%s\",\"core_share_milli\":%lld,\"link_kbps\":%lld,"
	    "\"zone\":\"%s\",\"relays\":1}",
	    o->c.ip, (long long)o->c.settings->core_share_milli,
	    (long long)o->c.settings->link_kbps, o->c.settings->zone);
	o->announcement = dh_objects_put(o->c.objects, DH_OWNERS_KIND, name,
	    o->announce_revision, spec, DH_OWNERS_STORE_TIMEOUT_MS,
	    on_announced, o);
}

/* Returns true if the leader sends this VM each change of the service's owners.
 * The record in the store is then older, or holds changes that were planned
 * but not yet carried out. */
static bool
leader_sends_changes(const struct dh_owners *o, const char *service)
{
	const struct known_owners *k = g_hash_table_lookup(o->known, service);

	return k != NULL && k->record.term == o->term &&
	    dh_clock_ms() - o->leader_healthy_ms < o->c.settings->silence_ms;
}

void
owners_process_quarantine(struct dh_owners *o, const struct dh_object_view *v)
{
	o->quarantine.revision = v->revision;
	g_free(o->quarantine.text);
	o->quarantine.text = g_strdup(
	    json_object_to_json_string_ext(v->spec, JSON_C_TO_STRING_PLAIN));
	if (dh_suspects_note_spec(o->suspects, v->spec, dh_clock_ms()))
		owners_suspects_changed(o);
}

static void
on_object(void *arg, const struct dh_object_view *v)
{
	struct dh_owners *o = arg;

	if (strcmp(v->name, DH_OWNERS_LEADER) == 0)
		owners_process_leader(o, v);
	else if (strcmp(v->name, DH_NEIGHBOURS_OBJECT) == 0)
		o->strong.revision = v->revision;
	else if (strcmp(v->name, DH_SUSPECTS_OBJECT) == 0)
		owners_process_quarantine(o, v);
	else if (g_str_has_prefix(v->name, VM_PREFIX))
		process_vm(o, v);
	else if (g_str_has_prefix(v->name, SERVICE_PREFIX) &&
	    !leader_sends_changes(o, v->name + strlen(SERVICE_PREFIX)))
		learn_from_spec(
		    o, v->name + strlen(SERVICE_PREFIX), v->spec, "store");
}

static void
on_object_gone(void *arg, const char *name)
{
	(void)arg;
	dh_opslog_add(
	    DH_OPS_STATE, "owners.object_gone", ",\"name\":\"%s\"", name);
}

static void
on_reached(void *arg, bool reached)
{
	(void)arg;
	(void)reached;
}

static enum dh_tier
peer_tier(const struct dh_owners *o, const char *zone)
{
	g_autofree char *region = dh_gateway_region(o->c.settings, zone);

	if (strcmp(zone, o->c.settings->zone) == 0)
		return DH_TIER_ZONE;
	return strcmp(region, o->c.settings->region) == 0 ? DH_TIER_REGION
							  : DH_TIER_REMOTE;
}

static const char *
peer_region(const struct dh_owners *o, const char *zone)
{
	g_autofree char *region = dh_gateway_region(o->c.settings, zone);

	return g_intern_string(region);
}

static int
compare_tiers(const void *a, const void *b)
{
	const struct dh_view_peer *pa = a, *pb = b;

	if (pa->tier != pb->tier)
		return pa->tier < pb->tier ? -1 : 1;
	return pa->uid < pb->uid ? -1 : 1;
}

static void
make_view_peers(struct dh_owners *o)
{
	struct dh_view_peers *v =
	    dh_view_peers_new(g_hash_table_size(o->peers));
	struct dh_view_peer *p;
	GHashTableIter it;
	gpointer ip, value;

	o->peers_changed = false;
	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, &ip, &value)) {
		const struct peer_state *s = value;

		p = &v->list[v->n];
		if (s->zone[0] == '\0' ||
		    uv_ip4_addr(ip, o->c.settings->forward_port, &p->address) !=
			0)
			continue;
		p->uid = s->uid;
		p->tier = peer_tier(o, s->zone);
		p->zone = g_intern_string(s->zone);
		p->region = peer_region(o, s->zone);
		p->link_kbps = s->link_kbps;
		(void)g_strlcpy(p->vm, s->vm, sizeof(p->vm));
		v->n++;
	}
	qsort(v->list, v->n, sizeof(v->list[0]), compare_tiers);
	v->number = ++o->peers_number;
	if (o->view_peers != NULL)
		g_atomic_rc_box_release(o->view_peers);
	o->view_peers = v;
	o->c.changed(o->c.arg);
}

static void
on_timer(uv_timer_t *timer)
{
	struct dh_owners *o = timer->data;
	int64_t now_ms = dh_clock_ms();

	if (o->stepped_ms != 0)
		o->step_pause_ms =
		    MAX(o->step_pause_ms, now_ms - o->stepped_ms);
	o->stepped_ms = now_ms;
	announce(o, now_ms);
	if (o->role == ROLE_LEADER &&
	    now_ms - o->traffic_logged_ms >= TRAFFIC_LOG_MS) {
		o->traffic_logged_ms = now_ms;
		owners_log_traffic(o);
	}
	if (o->peers_changed && o->c.settings->forward_port != 0)
		make_view_peers(o);
	if (dh_suspects_expire(o->suspects, now_ms))
		owners_suspects_changed(o);
	o->full_sends = FULL_SENDS_PER_STEP;
	if (now_ms - o->last_report_ms >= REPORT_INTERVAL_MS) {
		o->last_report_ms = now_ms;
		owners_send_report(o);
	}
	if (o->role == ROLE_LEADER)
		owners_step_leader(o, now_ms);
	else
		owners_step_follower(o, now_ms);
}

/* Returns true if another VM leads and has reached the store all the time since
 * since_ms. */
static bool
leader_reached_store(void *arg, int64_t since_ms)
{
	const struct dh_owners *o = arg;

	return o->role != ROLE_LEADER && o->leader_failing_ms < since_ms &&
	    dh_clock_ms() - o->leader_healthy_ms < o->c.settings->silence_ms;
}

static void
leader_object_reset(struct leader_object *l)
{
	dh_objects_cancel(l->call);
	l->call = NULL;
	l->revision = 0;
	g_clear_pointer(&l->text, g_free);
}

/* The store was restored from an older copy: objects that this VM wrote may be
 * missing, and known revisions are void. */
static void
on_store_rolled_back(void *arg, uint64_t era)
{
	struct dh_owners *o = arg;

	dh_objects_cancel(o->announcement);
	o->announcement = NULL;
	o->announced = false;
	o->announce_revision = 0;
	leader_object_reset(&o->strong);
	leader_object_reset(&o->quarantine);
	owners_store_rolled_back(o, era);
}

struct dh_owners *
dh_owners_new(const struct dh_owners_context *c, GError **error)
{
	struct dh_owners *o = g_new0(struct dh_owners, 1);
	struct dh_peer_handler peers = owners_peer_handler(o);
	struct dh_mirror_handler objects = { on_object, on_object_gone,
		on_reached, NULL, o };

	o->c = *c;
	o->c.ip = g_strdup(c->ip);
	o->peer =
	    dh_peer_new(c->loop, c->ip, c->settings->peer_port, &peers, error);
	if (o->peer == NULL) {
		g_free((char *)(uintptr_t)o->c.ip);
		g_free(o);
		return NULL;
	}
	g_snprintf(o->incarnation, sizeof(o->incarnation), "%llx-%x",
	    (unsigned long long)dh_clock_wall_ms(), g_random_int());
	o->known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, known_free);
	o->duties =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	o->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	o->work_times =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	o->seen_keys = g_array_new(FALSE, FALSE, sizeof(struct seen_key));
	o->leaving = g_array_new(FALSE, FALSE, sizeof(struct dh_peer_leaving));
	o->limits = dh_limits_new(c->registry);
	o->suspects = dh_suspects_new();
	o->strong =
	    (struct leader_object){ .owners = o, .name = DH_NEIGHBOURS_OBJECT };
	o->quarantine =
	    (struct leader_object){ .owners = o, .name = DH_SUSPECTS_OBJECT };
	o->incoming.changes =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_record_change));
	owners_reset_election_timeout(o);
	dh_registry_set_outage_check(c->registry, leader_reached_store, o);
	dh_era_subscribe(owners_store_era(o), on_store_rolled_back, o);
	o->mirror = dh_mirror_new(c->loop, c->objects, NULL,
	    owners_store_era(o), DH_OWNERS_KIND, DH_STALE, &objects);
	o->timer = dh_timer_new(c->loop, o);
	uv_timer_start(
	    o->timer, on_timer, DH_OWNERS_STEP_MS, DH_OWNERS_STEP_MS);
	return o;
}

void
dh_owners_free(struct dh_owners *o)
{
	if (o == NULL)
		return;
	dh_registry_set_outage_check(o->c.registry, NULL, NULL);
	dh_era_unsubscribe(owners_store_era(o), o);
	owners_free_duties(o);
	g_hash_table_destroy(o->duties);
	dh_objects_cancel(o->call);
	dh_objects_cancel(o->announcement);
	leader_object_reset(&o->strong);
	leader_object_reset(&o->quarantine);
	dh_evacuations_free(o->evacuations);
	dh_mirror_free(o->mirror);
	dh_timer_free(o->timer);
	dh_peer_free(o->peer);
	g_hash_table_destroy(o->known);
	g_hash_table_destroy(o->peers);
	g_hash_table_destroy(o->work_times);
	g_array_free(o->seen_keys, TRUE);
	g_array_free(o->leaving, TRUE);
	dh_limits_free(o->limits);
	dh_suspects_free(o->suspects);
	if (o->view_peers != NULL)
		g_atomic_rc_box_release(o->view_peers);
	g_array_free(o->incoming.changes, TRUE);
	g_free((char *)(uintptr_t)o->c.ip);
	g_free(o);
}

/* Returns the index of a backend server of the service in the view, or
 * DH_NONE. */
static uint32_t
find_server(const struct dh_view *v, uint32_t service, const char *id)
{
	uint32_t i = dh_view_find(v, id);

	return i != DH_NONE && v->servers[i].service == service ? i : DH_NONE;
}

static void
fill_service(struct dh_view *v, uint32_t service, const struct dh_record *r)
{
	struct dh_view_service *s = &v->services[service];
	size_t i;

	s->ranges = g_new0(struct dh_view_range, r->nranges + 1);
	s->nranges = r->nranges;
	for (i = 0; i < r->nranges; i++) {
		s->ranges[i].to = r->ranges[i].to;
		s->ranges[i].server =
		    find_server(v, service, r->ranges[i].owner);
		s->ranges[i].settled = r->ranges[i].settled;
	}
}

void
dh_owners_fill_view(const struct dh_owners *o, struct dh_view *v)
{
	const struct dh_deployment *d = *v->deployment;
	const struct known_owners *k;
	size_t i;

	v->owners_version = o->known_changes;
	if (o->vms > 0)
		v->vms = o->vms;
	if (o->vms > 0 || o->role == ROLE_LEADER)
		v->vms_max = MAX(v->vms, g_hash_table_size(o->peers) + 1);
	dh_limits_fill_view(o->limits, v, dh_clock_ms());
	dh_suspects_fill_view(o->suspects, v);
	if (o->view_peers != NULL)
		v->peers = g_atomic_rc_box_acquire(o->view_peers);
	for (i = 0; i < d->nservices; i++) {
		k = g_hash_table_lookup(o->known, d->services[i].name);
		if (d->services[i].keyed && k != NULL)
			fill_service(v, (uint32_t)i, &k->record);
	}
}

static void
add_work_time(
    struct dh_owners *o, const char *id, uint32_t work_ms, uint32_t samples)
{
	struct dh_peer_server *s = g_hash_table_lookup(o->work_times, id);
	uint64_t sum_ms = (uint64_t)work_ms * samples;

	if (s == NULL) {
		s = g_new0(struct dh_peer_server, 1);
		(void)g_strlcpy(s->id, id, sizeof(s->id));
		g_hash_table_insert(o->work_times, s->id, s);
	}
	sum_ms += (uint64_t)s->work_ms * s->samples;
	s->samples += samples;
	s->work_ms = (uint32_t)(sum_ms / s->samples);
}

void
dh_owners_add_report(struct dh_owners *o, const struct dh_worker_report *r)
{
	struct dh_peer_leaving l;
	struct seen_key k;
	uint32_t i;

	for (i = 0; i < r->nleaving; i++) {
		l.start_ms = r->leaving[i].start_ms;
		(void)g_strlcpy(l.id, r->leaving[i].id, sizeof(l.id));
		g_array_append_val(o->leaving, l);
		dh_registry_mark_leaving(o->c.registry, l.id, l.start_ms);
	}
	o->keyed_lost = r->keyed_lost;
	dh_limits_add_worker_report(o->limits, r);
	if (dh_suspects_add_worker_report(o->suspects, r, dh_clock_ms()))
		owners_suspects_changed(o);
	for (i = 0; i < r->nkeys; i++) {
		k = (struct seen_key){ r->keys[i].service, r->keys[i].key };
		g_array_append_val(o->seen_keys, k);
	}
	for (i = 0; i < r->nservers; i++)
		add_work_time(o, r->servers[i].id, r->servers[i].work_ms,
		    r->servers[i].samples);
}

void
dh_owners_resign(struct dh_owners *o)
{
	o->resigned = true;
	if (o->role == ROLE_LEADER)
		owners_send_beats(o, dh_clock_ms());
}

bool
dh_owners_renews_for_others(const struct dh_owners *o)
{
	return o->role == ROLE_LEADER && !o->solo_expired && o->vms > 1;
}

bool
dh_owners_is_leader(const struct dh_owners *o)
{
	return o->role == ROLE_LEADER;
}
