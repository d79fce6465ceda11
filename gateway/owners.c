#include "gateway/owners.h"

#include <string.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/opslog.h"
#include "base/timer.h"
#include "gateway/duty.h"
#include "gateway/mirror.h"
#include "gateway/peer.h"
#include "gateway/record.h"

#define KIND "dogwoodhub-owners"
#define LEADER_OBJECT "leader"
#define SERVICE_PREFIX "service."
#define VM_PREFIX "vm." /* where each VM may be reached */
#define STEP_MS 40
#define REPORT_MS 250
/* The leader asks the store whether it still leads. */
#define CONFIRM_MS 2000
#define CONFIRM_FAILING_MS 500
/* Less than backend servers' entries live without the store, so that all know
 * of an outage before entries lapse in it. */
#define CONFIRM_TIMEOUT_MS 600
/* Without an answer of the store for so long the leader calls itself failing,
 * so that one that has the store takes over. */
#define FAILING_MS 1200
#define STORE_TIMEOUT_MS 1000
/* A peer that has not reported for so long is not counted. */
#define PEER_MS 3000
/* Speeds change slowly: they are told less often than keys, and only those
 * that have changed. */
#define SPEED_REPORTS 4
#define TAKE_PAUSE_MAX_MS 4000
/* After an outage of the store the leader needs a question and its answer. */
#define OUTAGE_GRACE_MS 1500
#define ANNOUNCE_PAUSE_MS 1000
/* Times that all owners of a service are sent in a step: a new leader has to
 * tell everybody, and its link has other work. */
#define WHOLE_SENDS 20
/* Heartbeats that a VM which starts again waits for, before it leads. */
#define START_BEATS 2
/* Heartbeats that may be missed before this VM follows the store itself. */
#define FED_BEATS 3
/* Leading takes processor time that a small VM needs for its callers: it lets
 * one of over twice its size be first. */
#define WEAK_PATIENCE_MS 400

enum role {
	ROLE_FOLLOWER,
	ROLE_READING, /* who leads, before taking over */
	ROLE_TAKING, /* replacing the object */
	ROLE_LEADER,
};

struct known_owners {
	struct dh_record record;
};

struct peer_state {
	int64_t heard_ms; /* of its last report; 0: none yet */
	int64_t core_share_milli; /* 0: not known */
};

/* Parts of all owners of a service, as they come in. */
struct incoming {
	char service[DH_NAME_MAX];
	uint64_t term, version;
	uint32_t parts;
	uint64_t got; /* a bit for each */
	GArray *changes; /* of struct dh_record_change */
};

struct dh_owners {
	struct dh_owners_context c;
	struct dh_peer *peer;
	struct dh_mirror *mirror;
	uv_timer_t *timer;
	GHashTable *known; /* service -> struct known_owners */
	uint64_t versions; /* changes of known */
	enum role role;
	uint64_t term; /* highest heard of */
	uint64_t revision; /* of the leader's object, 0: none */
	char leader_ip[DH_ADDRESS_MAX];
	char leader_vm[DH_NAME_MAX];
	char incarnation[32]; /* of this process */
	int64_t sign_ms; /* last sign of a leader that is well */
	int64_t beat_heard_ms; /* any heartbeat of it */
	int64_t store_bad_ms; /* when the leader last lacked the store */
	int64_t patience_ms; /* without a sign, before taking over */
	int64_t take_pause_ms;
	struct dh_objects_call *call;
	struct dh_objects_call *announcement;
	bool announced; /* this VM's address is in the store */
	int64_t announce_ms; /* not before */
	uint64_t announce_revision;
	bool resigned;
	/* As leader. */
	GHashTable *duties; /* service -> struct dh_duty */
	GHashTable *peers; /* ip -> struct peer_state */
	int64_t confirmed_ms; /* when the call began that the store answered */
	int64_t asked_ms;
	bool confirm_failed; /* the last question had no answer */
	int64_t beat_ms;
	bool solo; /* without the store for too long: orders nothing */
	uint32_t vms;
	uint32_t whole_sends; /* left until the next step */
	struct incoming incoming;
	/* What workers have seen since the last report. */
	GArray *keys; /* of struct seen_key */
	GHashTable *speeds; /* server id -> work in ms */
	int64_t report_ms;
	uint32_t reports;
};

struct seen_key {
	GQuark service;
	uint32_t key;
};

static void become_follower(struct dh_owners *o, const char *why);

static void
known_free(gpointer p)
{
	struct known_owners *k = p;

	dh_record_clear(&k->record);
	g_free(k);
}

/* Keep a record if it is newer than what is known; takes its ranges. */
static bool
learn(struct dh_owners *o, const char *service, struct dh_record *r,
    const char *from)
{
	struct known_owners *k = g_hash_table_lookup(o->known, service);

	if (k != NULL && !dh_record_newer(r, &k->record)) {
		dh_record_clear(r);
		return false;
	}
	dh_ops(DH_OPS_STATE, "owners.learned",
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
	o->versions++;
	o->c.changed(o->c.arg);
	return true;
}

static void
learn_json(struct dh_owners *o, const char *service, struct json_object *spec,
    const char *from)
{
	g_autoptr(GError) error = NULL;
	struct dh_record r;

	if (dh_record_parse(&r, spec, &error))
		(void)learn(o, service, &r, from);
	else
		dh_ops(DH_OPS_STATE, "owners.unreadable",
		    ",\"service\":\"%s\",\"from\":\"%s\",\"why\":\"%s\"",
		    service, from, error->message);
}

static void
renew_patience(struct dh_owners *o)
{
	int64_t base_ms = o->c.settings->silence_ms;

	o->sign_ms = dh_clock_ms();
	o->patience_ms = base_ms + g_random_int_range(0, (gint)base_ms / 2 + 1);
}

/* Somebody else leads in this term. */
static void
adopt_leader(struct dh_owners *o, uint64_t term, const char *vm, const char *ip)
{
	if (term < o->term || (term == o->term && o->leader_ip[0] != '\0'))
		return;
	dh_ops(DH_OPS_STATE, "leader.known",
	    ",\"leader\":\"%s\",\"term\":%llu,\"before\":%llu", vm,
	    (unsigned long long)term, (unsigned long long)o->term);
	o->term = term;
	(void)g_strlcpy(o->leader_vm, vm, sizeof(o->leader_vm));
	(void)g_strlcpy(o->leader_ip, ip, sizeof(o->leader_ip));
	renew_patience(o);
}

static const char *
member_text(struct json_object *spec, const char *name)
{
	struct json_object *v;

	if (!json_object_is_type(spec, json_type_object) ||
	    !json_object_object_get_ex(spec, name, &v) ||
	    !json_object_is_type(v, json_type_string))
		return "";
	return json_object_get_string(v);
}

static uint64_t
member_number(struct json_object *spec, const char *name)
{
	struct json_object *v;

	if (!json_object_is_type(spec, json_type_object) ||
	    !json_object_object_get_ex(spec, name, &v))
		return 0;
	return (uint64_t)json_object_get_int64(v);
}

/* The leader's object, from a list, a watch or a read. */
static void
see_leader(struct dh_owners *o, const struct dh_object_view *v)
{
	uint64_t term = member_number(v->spec, "term");
	const char *vm = member_text(v->spec, "vm");
	const char *incarnation = member_text(v->spec, "incarnation");

	if (v->revision > o->revision)
		o->revision = v->revision;
	if (term < o->term || strcmp(incarnation, o->incarnation) == 0)
		return;
	if (o->role == ROLE_LEADER && term > o->term)
		become_follower(o, "the store names another leader");
	if (term > o->term || o->leader_ip[0] == '\0')
		adopt_leader(o, term, vm, member_text(v->spec, "ip"));
}

static struct peer_state *
peer_known(struct dh_owners *o, const char *ip)
{
	struct peer_state *p = g_hash_table_lookup(o->peers, ip);

	if (p != NULL || ip[0] == '\0')
		return p;
	p = g_new0(struct peer_state, 1);
	g_hash_table_insert(o->peers, g_strdup(ip), p);
	return p;
}

static void
see_vm(struct dh_owners *o, const struct dh_object_view *v)
{
	const char *ip = member_text(v->spec, "ip");

	if (strcmp(ip, o->c.ip) != 0 && ip[0] != '\0')
		peer_known(o, ip)->core_share_milli =
		    (int64_t)member_number(v->spec, "core_share_milli");
	dh_ops(DH_OPS_STATE, "vm.known", ",\"peer\":\"%s\",\"ip\":\"%s\"",
	    v->name + strlen(VM_PREFIX), ip);
}

/* This VM was here before: a leader that lives knows it, and its heartbeats
 * come.  Where all were lost at once nobody leads, and each moment counts. */
static void
expect_beats(struct dh_owners *o)
{
	gint beat_ms = (gint)o->c.settings->beat_ms;

	if (o->beat_heard_ms != 0 || o->role != ROLE_FOLLOWER)
		return;
	o->patience_ms = START_BEATS * beat_ms + g_random_int_range(0, beat_ms);
	dh_ops(DH_OPS_STATE, "leader.expected", ",\"within_ms\":%lld",
	    (long long)o->patience_ms);
}

static void
on_announced(void *arg, const struct dh_objects_reply *r)
{
	struct dh_owners *o = arg;

	o->announcement = NULL;
	o->announced = r->result == DH_OBJECTS_OK ||
	    (r->result == DH_OBJECTS_CONFLICT && r->nitems == 1 &&
		strcmp(member_text(r->items[0].spec, "ip"), o->c.ip) == 0);
	o->announce_ms = dh_clock_ms() + ANNOUNCE_PAUSE_MS;
	if (o->announced && r->result == DH_OBJECTS_CONFLICT)
		expect_beats(o);
	dh_ops(DH_OPS_STATE, "vm.announced",
	    ",\"ip\":\"%s\",\"done\":%s,\"status\":%ld", o->c.ip,
	    o->announced ? "true" : "false", r->status);
	if (!o->announced && r->result == DH_OBJECTS_CONFLICT && r->nitems == 1)
		o->announce_revision = r->items[0].revision;
}

/* Tell the other VMs, through the store, where this one is. */
static void
announce(struct dh_owners *o, int64_t now_ms)
{
	g_autofree char *name = NULL;
	g_autofree char *spec = NULL;

	if (o->announced || o->announcement != NULL || now_ms < o->announce_ms)
		return;
	name = g_strconcat(VM_PREFIX, o->c.settings->vm, NULL);
	spec = g_strdup_printf("{\"ip\":\"%s\",\"core_share_milli\":%lld}",
	    o->c.ip, (long long)o->c.settings->core_share_milli);
	o->announcement = dh_objects_put(o->c.objects, KIND, name,
	    o->announce_revision, spec, STORE_TIMEOUT_MS, on_announced, o);
}

/* Whether the leader tells this VM of each change: the record in the store is
 * then older, or a plan that is not carried out yet. */
static bool
told_by_leader(const struct dh_owners *o, const char *service)
{
	const struct known_owners *k = g_hash_table_lookup(o->known, service);

	return k != NULL && k->record.term == o->term &&
	    dh_clock_ms() - o->sign_ms < o->c.settings->silence_ms;
}

static void
on_object(void *arg, const struct dh_object_view *v)
{
	struct dh_owners *o = arg;

	if (strcmp(v->name, LEADER_OBJECT) == 0)
		see_leader(o, v);
	else if (g_str_has_prefix(v->name, VM_PREFIX))
		see_vm(o, v);
	else if (g_str_has_prefix(v->name, SERVICE_PREFIX) &&
	    !told_by_leader(o, v->name + strlen(SERVICE_PREFIX)))
		learn_json(
		    o, v->name + strlen(SERVICE_PREFIX), v->spec, "store");
}

static void
on_object_gone(void *arg, const char *name)
{
	(void)arg;
	dh_ops(DH_OPS_STATE, "owners.object_gone", ",\"name\":\"%s\"", name);
}

static void
on_reached(void *arg, bool reached)
{
	(void)arg;
	(void)reached;
}

/* --- leading --- */

static void
on_published(void *arg, const char *service, const struct dh_record *before,
    const struct dh_record *now)
{
	struct dh_owners *o = arg;
	g_autoptr(GArray) changes = dh_peer_changes(before, now);
	struct dh_peer_delta d = { .term = now->term,
		.base = before->version,
		.version = now->version };
	struct dh_record copy = dh_record_copy(now);
	GHashTableIter it;
	gpointer ip;

	(void)learn(o, service, &copy, "leader");
	/* The first of a term is asked for by those that report. */
	if (before->ranges == NULL)
		return;
	(void)g_strlcpy(d.service, service, sizeof(d.service));
	d.changes = changes;
	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, &ip, NULL))
		dh_peer_send_delta(o->peer, ip, &d);
}

static void
on_confirmed(void *arg, int64_t began_ms)
{
	struct dh_owners *o = arg;

	if (began_ms > o->confirmed_ms)
		o->confirmed_ms = began_ms;
}

static gboolean
depose_later(gpointer key, gpointer value, gpointer arg)
{
	(void)key;
	(void)arg;
	dh_duty_free(value);
	return TRUE;
}

static void
on_deposed(void *arg, const char *why)
{
	become_follower(arg, why);
}

static void
become_follower(struct dh_owners *o, const char *why)
{
	if (o->role == ROLE_LEADER)
		dh_ops(DH_OPS_STATE, "leader.lost",
		    ",\"term\":%llu,\"why\":\"%s\"",
		    (unsigned long long)o->term, why);
	if (o->role == ROLE_LEADER)
		dh_registry_feed(o->c.registry, NULL, NULL);
	o->role = ROLE_FOLLOWER;
	o->solo = false;
	o->leader_ip[0] = '\0';
	g_hash_table_foreach_remove(o->duties, depose_later, NULL);
	renew_patience(o);
	o->patience_ms += o->take_pause_ms;
	o->take_pause_ms =
	    MIN(MAX(o->take_pause_ms * 2, o->c.settings->silence_ms),
		TAKE_PAUSE_MAX_MS);
}

static void
on_news(void *arg, const struct dh_registry_news *n)
{
	struct dh_owners *o = arg;
	g_autofree const char **ips =
	    (const char **)g_hash_table_get_keys_as_array(o->peers, NULL);

	dh_peer_send_news(
	    o->peer, ips, g_hash_table_size(o->peers), n, o->term);
}

static void
become_leader(struct dh_owners *o, int64_t began_ms)
{
	o->role = ROLE_LEADER;
	dh_mirror_set_fed(o->mirror, false);
	dh_registry_feed(o->c.registry, on_news, o);
	o->confirm_failed = false;
	o->confirmed_ms = began_ms;
	o->asked_ms = dh_clock_ms();
	(void)g_strlcpy(o->leader_vm, o->c.settings->vm, sizeof(o->leader_vm));
	(void)g_strlcpy(o->leader_ip, o->c.ip, sizeof(o->leader_ip));
	dh_ops(DH_OPS_STATE, "leader.elected", ",\"term\":%llu",
	    (unsigned long long)o->term);
}

static uint32_t
count_vms(void *arg)
{
	return ((const struct dh_owners *)arg)->vms;
}

static void
ensure_duties(struct dh_owners *o)
{
	const struct dh_deployment *d = dh_registry_deployment(o->c.registry);
	struct dh_duty_context c = { .settings = o->c.settings,
		.http = o->c.http,
		.objects = o->c.objects,
		.registry = o->c.registry,
		.kind = KIND,
		.term = o->term,
		.vms = count_vms,
		.published = on_published,
		.confirmed = on_confirmed,
		.deposed = on_deposed,
		.arg = o };
	size_t i;

	for (i = 0; i < d->nservices; i++) {
		if (!d->services[i].keyed ||
		    g_hash_table_contains(o->duties, d->services[i].name))
			continue;
		g_hash_table_insert(o->duties, g_strdup(d->services[i].name),
		    dh_duty_new(&c, d->services[i].name));
	}
}

static void
on_confirm(void *arg, const struct dh_objects_reply *r)
{
	struct dh_owners *o = arg;

	o->call = NULL;
	o->confirm_failed = r->result != DH_OBJECTS_OK || r->nitems != 1;
	if (o->confirm_failed)
		return;
	see_leader(o, &r->items[0]);
	if (o->role == ROLE_LEADER && o->asked_ms > o->confirmed_ms)
		o->confirmed_ms = o->asked_ms;
}

static bool
failing(const struct dh_owners *o, int64_t now_ms)
{
	return o->resigned || o->confirm_failed ||
	    now_ms - o->confirmed_ms > CONFIRM_MS + FAILING_MS;
}

static void
send_beats(struct dh_owners *o, int64_t now_ms)
{
	struct dh_beat beat = { .term = o->term,
		.failing = failing(o, now_ms) };
	GHashTableIter it;
	gpointer ip, value;

	(void)g_strlcpy(beat.vm, o->c.settings->vm, sizeof(beat.vm));
	dh_registry_cursors(o->c.registry, beat.cursors);
	beat.vms = 1;
	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, &ip, &value)) {
		struct peer_state *p = value;

		beat.vms += p->heard_ms != 0 && now_ms - p->heard_ms < PEER_MS;
	}
	if (o->vms != beat.vms) {
		o->vms = beat.vms;
		o->c.changed(o->c.arg);
	}
	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, &ip, NULL))
		dh_peer_send_beat(o->peer, ip, &beat);
}

static void
lead(struct dh_owners *o, int64_t now_ms)
{
	int64_t pause_ms = failing(o, now_ms) ? CONFIRM_FAILING_MS : CONFIRM_MS;
	bool solo = now_ms - o->confirmed_ms >= o->c.settings->solo_ms;
	GHashTableIter it;
	gpointer duty;

	if (solo != o->solo)
		dh_ops(DH_OPS_STATE, solo ? "leader.solo_over" : "leader.solo",
		    ",\"term\":%llu,\"confirmed_ms_ago\":%lld",
		    (unsigned long long)o->term,
		    (long long)(now_ms - o->confirmed_ms));
	o->solo = solo;
	ensure_duties(o);
	if (o->call == NULL && now_ms - o->asked_ms >= pause_ms) {
		o->asked_ms = now_ms;
		o->call = dh_objects_get(o->c.objects, KIND, LEADER_OBJECT,
		    CONFIRM_TIMEOUT_MS, on_confirm, o);
	}
	if (now_ms - o->beat_ms >= o->c.settings->beat_ms) {
		o->beat_ms = now_ms;
		send_beats(o, now_ms);
	}
	g_hash_table_iter_init(&it, o->duties);
	while (g_hash_table_iter_next(&it, NULL, &duty))
		dh_duty_step(duty, !solo && !o->resigned);
	if (now_ms - o->confirmed_ms < CONFIRM_MS)
		o->take_pause_ms = 0;
}

/* --- taking over --- */

static void
give_up_taking(struct dh_owners *o, const char *why)
{
	dh_ops(DH_OPS_STATE, "leader.not_taken",
	    ",\"term\":%llu,\"why\":\"%s\"", (unsigned long long)o->term, why);
	o->role = ROLE_FOLLOWER;
	renew_patience(o);
}

static void
on_taken(void *arg, const struct dh_objects_reply *r)
{
	struct dh_owners *o = arg;

	o->call = NULL;
	if (r->result == DH_OBJECTS_OK && r->nitems == 1) {
		o->revision = r->items[0].revision;
		o->term++;
		become_leader(o, o->asked_ms);
		return;
	}
	if (r->result == DH_OBJECTS_CONFLICT && r->nitems == 1)
		see_leader(o, &r->items[0]);
	give_up_taking(o,
	    r->result == DH_OBJECTS_CONFLICT ? "another was first"
					     : "no answer of the store");
}

static void
take(struct dh_owners *o)
{
	g_autofree char *spec =
	    g_strdup_printf("{\"vm\":\"%s\",\"ip\":\"%s\",\"incarnation\":\"%"
			    "s\",\"term\":%llu}",
		o->c.settings->vm, o->c.ip, o->incarnation,
		(unsigned long long)o->term + 1);

	o->role = ROLE_TAKING;
	o->asked_ms = dh_clock_ms();
	o->call = dh_objects_put(o->c.objects, KIND, LEADER_OBJECT, o->revision,
	    spec, STORE_TIMEOUT_MS, on_taken, o);
}

static void
on_read(void *arg, const struct dh_objects_reply *r)
{
	struct dh_owners *o = arg;
	uint64_t term = o->term;

	o->call = NULL;
	if (r->result == DH_OBJECTS_NOT_FOUND) {
		o->revision = 0;
		take(o);
		return;
	}
	if (r->result != DH_OBJECTS_OK || r->nitems != 1) {
		give_up_taking(o, "the store does not answer");
		return;
	}
	o->revision = 0;
	see_leader(o, &r->items[0]);
	if (o->term > term) {
		give_up_taking(o, "another has just taken over");
		return;
	}
	/* One's own write of an earlier try may stand there. */
	if (member_number(r->items[0].spec, "term") > o->term)
		o->term = member_number(r->items[0].spec, "term");
	take(o);
}

/* Whether the leader is there and only lacks the store, as this VM has until
 * just now: after an outage for all it goes on. */
static bool
lacks_store_as_we_did(const struct dh_owners *o, int64_t now_ms)
{
	return now_ms - o->beat_heard_ms < o->c.settings->silence_ms &&
	    dh_mirror_reached_ms(o->mirror) < OUTAGE_GRACE_MS;
}

/* Whether another VM could lead at a much smaller part of what it has. */
static bool
is_weak(const struct dh_owners *o)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((struct peer_state *)value)->core_share_milli >
		    2 * o->c.settings->core_share_milli)
			return true;
	return false;
}

/* The leader tells what changes in the store, or, for want of its heartbeats,
 * this VM asks itself. */
static void
follow_store(struct dh_owners *o, const struct dh_registry_cursor *cursors)
{
	dh_mirror_set_fed(o->mirror, cursors != NULL);
	dh_registry_follow(o->c.registry, cursors);
}

static void
follow(struct dh_owners *o, int64_t now_ms)
{
	if (now_ms - o->beat_heard_ms >
	    FED_BEATS * o->c.settings->beat_ms + STEP_MS)
		follow_store(o, NULL);
	if (lacks_store_as_we_did(o, now_ms) || o->resigned ||
	    o->call != NULL || o->role != ROLE_FOLLOWER ||
	    now_ms - o->sign_ms <
		o->patience_ms + (is_weak(o) ? WEAK_PATIENCE_MS : 0) ||
	    !dh_registry_ready(o->c.registry))
		return;
	dh_ops(DH_OPS_STATE, "leader.silent",
	    ",\"leader\":\"%s\",\"term\":%llu,\"silent_ms\":%lld", o->leader_vm,
	    (unsigned long long)o->term, (long long)(now_ms - o->sign_ms));
	o->role = ROLE_READING;
	o->call = dh_objects_get(
	    o->c.objects, KIND, LEADER_OBJECT, STORE_TIMEOUT_MS, on_read, o);
}

/* --- peers --- */

static void
on_beat(void *arg, const struct dh_beat *beat, const char *ip)
{
	struct dh_owners *o = arg;

	if (beat->term < o->term)
		return;
	if (o->role == ROLE_LEADER) {
		if (beat->term == o->term)
			return;
		become_follower(o, "another leads in a higher term");
	}
	if (beat->term > o->term || strcmp(o->leader_ip, ip) != 0) {
		o->leader_ip[0] = '\0';
		adopt_leader(o, beat->term, beat->vm, ip);
	}
	o->beat_heard_ms = dh_clock_ms();
	follow_store(o, beat->failing ? NULL : beat->cursors);
	if (beat->failing)
		o->store_bad_ms = dh_clock_ms();
	else
		o->sign_ms = dh_clock_ms();
	if (o->vms != beat->vms) {
		o->vms = beat->vms;
		o->c.changed(o->c.arg);
	}
}

static gint
by_key(gconstpointer a, gconstpointer b)
{
	const struct dh_record_change *ca = a, *cb = b;

	return (gint)ca->from - (gint)cb->from;
}

static void
on_owners(void *arg, const struct dh_peer_part *p)
{
	struct dh_owners *o = arg;
	struct incoming *in = &o->incoming;
	struct dh_record r;

	if (o->role == ROLE_LEADER)
		return;
	if (strcmp(in->service, p->service) != 0 || in->term != p->term ||
	    in->version != p->version || in->parts != p->parts) {
		(void)g_strlcpy(in->service, p->service, sizeof(in->service));
		in->term = p->term;
		in->version = p->version;
		in->parts = p->parts;
		in->got = 0;
		g_array_set_size(in->changes, 0);
	}
	if ((in->got >> p->part & 1) != 0)
		return;
	in->got |= 1ull << p->part;
	g_array_append_vals(in->changes, p->changes->data, p->changes->len);
	if (__builtin_popcountll(in->got) < (int)in->parts)
		return;
	g_array_sort(in->changes, by_key);
	r = dh_record_none();
	r.term = p->term;
	r.version = p->version;
	dh_record_apply(&r,
	    (const struct dh_record_change *)(void *)in->changes->data,
	    in->changes->len);
	(void)learn(o, p->service, &r, "peer");
}

static void
on_delta(void *arg, const struct dh_peer_delta *d)
{
	struct dh_owners *o = arg;
	struct known_owners *k = g_hash_table_lookup(o->known, d->service);
	struct dh_record r;

	/* Another base: the next report will show it. */
	if (o->role == ROLE_LEADER || k == NULL || k->record.term != d->term ||
	    k->record.version != d->base)
		return;
	r = dh_record_copy(&k->record);
	r.version = d->version;
	dh_record_apply(&r,
	    (const struct dh_record_change *)(void *)d->changes->data,
	    d->changes->len);
	(void)learn(o, d->service, &r, "delta");
}

static void
on_peer_news(void *arg, const struct dh_registry_news *n, uint64_t term)
{
	struct dh_owners *o = arg;

	if (o->role != ROLE_LEADER && term >= o->term)
		dh_registry_take(o->c.registry, n);
}

static void
send_missing(
    struct dh_owners *o, const struct dh_peer_report *r, const char *ip)
{
	GHashTableIter it;
	gpointer service, duty;
	uint32_t i;

	g_hash_table_iter_init(&it, o->duties);
	while (g_hash_table_iter_next(&it, &service, &duty)) {
		for (i = 0; i < r->nowners; i++)
			if (strcmp(r->owners[i].service, service) == 0)
				break;
		if (i < r->nowners &&
		    dh_duty_is_newest(
			duty, r->owners[i].term, r->owners[i].version))
			continue;
		if (dh_duty_record(duty) == NULL || o->whole_sends == 0)
			continue;
		o->whole_sends--;
		dh_peer_send_owners(o->peer, ip, service, dh_duty_record(duty));
	}
}

static void
on_report(void *arg, const struct dh_peer_report *r, const char *ip)
{
	struct dh_owners *o = arg;
	struct peer_state *p;
	struct dh_duty *duty;
	GHashTableIter it;
	gpointer value;
	guint i;

	if (o->role != ROLE_LEADER)
		return;
	if (strcmp(ip, o->c.ip) != 0) {
		p = peer_known(o, ip);
		p->heard_ms = dh_clock_ms();
	}
	for (i = 0; i < r->keys->len; i++) {
		const struct dh_peer_key *k =
		    &g_array_index(r->keys, struct dh_peer_key, i);

		duty = g_hash_table_lookup(
		    o->duties, r->owners[k->owners].service);
		if (duty != NULL)
			dh_duty_demand(duty, k->key);
	}
	g_hash_table_iter_init(&it, o->duties);
	while (g_hash_table_iter_next(&it, NULL, &value))
		for (i = 0; i < r->servers->len; i++)
			dh_duty_speed(value,
			    g_array_index(r->servers, struct dh_peer_server, i)
				.id,
			    g_array_index(r->servers, struct dh_peer_server, i)
				.work_ms);
	send_missing(o, r, ip);
}

static void
report_keys(const struct dh_owners *o, struct dh_peer_report *r)
{
	struct dh_peer_key k;
	uint32_t s;
	guint i;

	for (i = 0; i < o->keys->len; i++) {
		const struct seen_key *seen =
		    &g_array_index(o->keys, struct seen_key, i);

		for (s = 0; s < r->nowners; s++)
			if (strcmp(r->owners[s].service,
				g_quark_to_string(seen->service)) == 0)
				break;
		if (s == r->nowners)
			continue;
		k = (struct dh_peer_key){ .owners = s, .key = seen->key };
		g_array_append_val(r->keys, k);
	}
}

static void
report_speeds(const struct dh_owners *o, struct dh_peer_report *r)
{
	struct dh_peer_server s;
	GHashTableIter it;
	gpointer id, work;

	g_hash_table_iter_init(&it, o->speeds);
	while (g_hash_table_iter_next(&it, &id, &work)) {
		(void)g_strlcpy(s.id, id, sizeof(s.id));
		s.work_ms = GPOINTER_TO_UINT(work);
		g_array_append_val(r->servers, s);
	}
}

static void
report_services(const struct dh_owners *o, struct dh_peer_report *r)
{
	const struct dh_deployment *d = dh_registry_deployment(o->c.registry);
	const struct known_owners *k;
	size_t i;

	for (i = 0; d != NULL && i < d->nservices; i++) {
		if (!d->services[i].keyed || r->nowners == DH_PEER_SERVICES)
			continue;
		k = g_hash_table_lookup(o->known, d->services[i].name);
		(void)g_strlcpy(r->owners[r->nowners].service,
		    d->services[i].name, sizeof(r->owners[0].service));
		r->owners[r->nowners].term = k == NULL ? 0 : k->record.term;
		r->owners[r->nowners++].version =
		    k == NULL ? 0 : k->record.version;
	}
}

static void
report(struct dh_owners *o)
{
	g_autoptr(GArray) keys =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_peer_key));
	g_autoptr(GArray) servers =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_peer_server));
	struct dh_peer_report r = { .keys = keys, .servers = servers };

	(void)g_strlcpy(r.vm, o->c.settings->vm, sizeof(r.vm));
	report_services(o, &r);
	report_keys(o, &r);
	if (o->reports++ % SPEED_REPORTS == 0) {
		report_speeds(o, &r);
		g_hash_table_remove_all(o->speeds);
	}
	g_array_set_size(o->keys, 0);
	if (o->role == ROLE_LEADER)
		on_report(o, &r, o->c.ip);
	else if (o->leader_ip[0] != '\0')
		dh_peer_send_report(o->peer, o->leader_ip, &r);
}

static void
on_timer(uv_timer_t *timer)
{
	struct dh_owners *o = timer->data;
	int64_t now_ms = dh_clock_ms();

	announce(o, now_ms);
	o->whole_sends = WHOLE_SENDS;
	if (now_ms - o->report_ms >= REPORT_MS) {
		o->report_ms = now_ms;
		report(o);
	}
	if (o->role == ROLE_LEADER)
		lead(o, now_ms);
	else
		follow(o, now_ms);
}

/* Whether the leader, another VM, has reached the store since then. */
static bool
store_was_fine(void *arg, int64_t since_ms)
{
	const struct dh_owners *o = arg;

	return o->role != ROLE_LEADER && o->store_bad_ms < since_ms &&
	    dh_clock_ms() - o->sign_ms < o->c.settings->silence_ms;
}

struct dh_owners *
dh_owners_new(const struct dh_owners_context *c, GError **error)
{
	struct dh_owners *o = g_new0(struct dh_owners, 1);
	struct dh_peer_handler peers = { on_beat, on_owners, on_delta,
		on_report, on_peer_news, o };
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
	o->speeds =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	o->keys = g_array_new(FALSE, FALSE, sizeof(struct seen_key));
	o->incoming.changes =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_record_change));
	renew_patience(o);
	dh_registry_set_witness(c->registry, store_was_fine, o);
	o->mirror =
	    dh_mirror_new(c->loop, c->objects, KIND, DH_STALE, &objects);
	o->timer = dh_timer_new(c->loop, o);
	uv_timer_start(o->timer, on_timer, STEP_MS, STEP_MS);
	return o;
}

void
dh_owners_free(struct dh_owners *o)
{
	if (o == NULL)
		return;
	dh_registry_set_witness(o->c.registry, NULL, NULL);
	g_hash_table_foreach_remove(o->duties, depose_later, NULL);
	g_hash_table_destroy(o->duties);
	dh_objects_cancel(o->call);
	dh_objects_cancel(o->announcement);
	dh_mirror_free(o->mirror);
	dh_timer_free(o->timer);
	dh_peer_free(o->peer);
	g_hash_table_destroy(o->known);
	g_hash_table_destroy(o->peers);
	g_hash_table_destroy(o->speeds);
	g_array_free(o->keys, TRUE);
	g_array_free(o->incoming.changes, TRUE);
	g_free((char *)(uintptr_t)o->c.ip);
	g_free(o);
}

/* The owner of a range that routers know, or DH_NONE. */
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
dh_owners_fill(const struct dh_owners *o, struct dh_view *v)
{
	const struct dh_deployment *d = *v->deployment;
	const struct known_owners *k;
	size_t i;

	v->owners_version = o->versions;
	if (o->vms > 0)
		v->vms = o->vms;
	for (i = 0; i < d->nservices; i++) {
		k = g_hash_table_lookup(o->known, d->services[i].name);
		if (d->services[i].keyed && k != NULL)
			fill_service(v, (uint32_t)i, &k->record);
	}
}

void
dh_owners_seen(struct dh_owners *o, const struct dh_worker_report *r)
{
	struct seen_key k;
	uint32_t i;

	for (i = 0; i < r->nkeys; i++) {
		k = (struct seen_key){ r->keys[i].service, r->keys[i].key };
		g_array_append_val(o->keys, k);
	}
	for (i = 0; i < r->nservers; i++)
		g_hash_table_insert(o->speeds, g_strdup(r->servers[i].id),
		    GUINT_TO_POINTER(r->servers[i].work_ms));
}

void
dh_owners_resign(struct dh_owners *o)
{
	o->resigned = true;
	if (o->role == ROLE_LEADER)
		send_beats(o, dh_clock_ms());
}

bool
dh_owners_leads(const struct dh_owners *o)
{
	return o->role == ROLE_LEADER;
}
