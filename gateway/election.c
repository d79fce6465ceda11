/*
 * Election of the leader, and the leader's own work.  The object "leader" in
 * the store decides which VM leads; heartbeats tell the other VMs that the
 * leader is alive.
 */
#include "gateway/owners_internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/jsonfield.h"
#include "base/opslog.h"

/* How often the leader asks the store whether it still leads, normally and
 * while it cannot reach the store. */
#define CONFIRM_INTERVAL_MS 2000
#define CONFIRM_RETRY_MS 500
/* How often it asks while a grant waits for the answer. */
#define CONFIRM_AWAITED_MS 250
/* How often the leader reads the object "leader" after the store was restored
 * from an older copy, until it has a term of the new era. */
#define RECLAIM_RETRY_MS 250
/* Shorter than the time for which backend servers' entries remain valid without
 * the store: all VMs must know of an outage before entries expire in it. */
#define CONFIRM_TIMEOUT_MS 600
/* When the store's answer is this late, heartbeats say that the leader is
 * failing, so that a VM that reaches the store takes over. */
#define STORE_OVERDUE_MS 1200
/* A VM whose last report is older than this is not counted. */
#define PEER_TIMEOUT_MS 3000
/* Longest extra pause before a VM that lost the lead tries to lead again. */
#define ELECTION_PAUSE_MAX_MS 4000
/* After an outage of the store a leader gets this long to ask the store
 * whether it still leads, and to get the answer. */
#define OUTAGE_GRACE_MS 1500
/* How many heartbeat intervals a leader that was stopped for a while waits for
 * a successor's heartbeat before it sends orders again. */
#define SUCCESSOR_WAIT_BEATS 3
/* How often the leader checks the object of strong VMs (neighbour.h). */
#define STRONG_CHECK_MS 1500
/* How often the leader checks the object of refused requests. */
#define QUARANTINE_CHECK_MS 250
/* Heartbeats that may be missed before this VM watches the store itself. */
#define MISSED_BEATS_MAX 3
/* Leading takes processor time that a small VM needs for its requests.  If
 * another VM has more than twice its core share, a small VM waits this much
 * longer before it tries to lead. */
#define SMALL_VM_WAIT_MS 400
/* A VM that reaches no backend server of a keyed service cannot renew leases,
 * and waits this much longer. */
#define LOST_VM_WAIT_MS 800

static void
send_step(struct dh_owners *o, const char *service, uint64_t term,
    const struct dh_backlog_step *step)
{
	struct dh_peer_delta d = owners_delta(service, term, step);
	g_autoptr(dh_fanout) f = owners_fanout(o, NULL);

	dh_peer_publish_delta(o->peer, f, &d);
}

static void
on_published(void *arg, const char *service, const struct dh_record *now,
    const struct dh_backlog_step *step)
{
	struct dh_record copy = dh_record_copy(now);

	(void)owners_learn(arg, service, &copy, "leader");
	/* The first record of a term is sent to each VM when its report shows
	 * that the VM lacks it. */
	if (step != NULL)
		send_step(arg, service, now->term, step);
}

static void
on_confirmed(void *arg, int64_t began_ms)
{
	struct dh_owners *o = arg;

	if (began_ms > o->confirmed_ms)
		o->confirmed_ms = began_ms;
}

static gboolean
free_duty(gpointer key, gpointer value, gpointer arg)
{
	(void)key;
	(void)arg;
	dh_duty_free(value);
	return TRUE;
}

void
owners_free_duties(struct dh_owners *o)
{
	g_hash_table_foreach_remove(o->duties, free_duty, NULL);
}

static void
on_deposed(void *arg, const char *why)
{
	owners_become_follower(arg, why);
}

void
owners_become_follower(struct dh_owners *o, const char *why)
{
	if (o->role == ROLE_LEADER) {
		dh_opslog_add(DH_OPS_STATE, "leader.lost",
		    ",\"term\":%llu,\"why\":\"%s\"",
		    (unsigned long long)o->term, why);
		dh_registry_set_leading(o->c.registry, NULL, NULL);
	}
	o->role = ROLE_FOLLOWER;
	dh_limits_forget(o->limits);
	g_clear_pointer(&o->evacuations, dh_evacuations_free);
	o->solo_expired = false;
	o->store_restored_ms = 0;
	o->leader_ip[0] = '\0';
	owners_free_duties(o);
	owners_reset_election_timeout(o);
	o->election_timeout_ms += o->election_pause_ms;
	o->election_pause_ms =
	    MIN(MAX(o->election_pause_ms * 2, o->c.settings->silence_ms),
		ELECTION_PAUSE_MAX_MS);
}

static void
on_changes(void *arg, const struct dh_registry_changes *n)
{
	struct dh_owners *o = arg;
	g_autoptr(dh_fanout) f = owners_fanout(o, NULL);

	dh_peer_publish_changes(o->peer, f, n, o->term);
}

/* A new term begins: reports of the earlier one say nothing of it. */
static void
forget_followers(struct dh_owners *o)
{
	GHashTableIter it;
	gpointer value;

	memset(o->beats_ms, 0, sizeof(o->beats_ms));
	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct peer_state *)value)->followed_ms = 0;
}

static void
become_leader(struct dh_owners *o, int64_t began_ms)
{
	o->role = ROLE_LEADER;
	o->elected_ms = o->term_began_ms = dh_clock_ms();
	owners_stop_reading_for_zone(o);
	o->unfed_since_ms = o->zone_heard_ms = 0;
	dh_mirror_set_fed_by_leader(o->mirror, false);
	dh_registry_set_leading(o->c.registry, on_changes, o);
	if (o->c.settings->evacuate_ms > 0 && o->evacuations == NULL)
		o->evacuations = dh_evacuations_new(
		    o->c.loop, o->c.objects, owners_store_era(o));
	o->confirm_failed = false;
	o->stalled = false;
	o->last_step_ms = 0;
	o->confirmed_ms = o->leading_ms = began_ms;
	o->unconfirmed = false;
	forget_followers(o);
	o->call_began_ms = dh_clock_ms();
	(void)g_strlcpy(o->leader_vm, o->c.settings->vm, sizeof(o->leader_vm));
	(void)g_strlcpy(o->leader_ip, o->c.ip, sizeof(o->leader_ip));
	dh_opslog_add(DH_OPS_STATE, "leader.elected", ",\"term\":%llu",
	    (unsigned long long)o->term);
}

static uint32_t
count_vms(void *arg)
{
	return ((const struct dh_owners *)arg)->vms;
}

static double
rate_limit(void *arg, const char *id, int64_t start_ms)
{
	const struct dh_owners *o = arg;

	return dh_limits_per_s(o->limits, id, start_ms);
}

static void
ensure_duties(struct dh_owners *o)
{
	const struct dh_deployment *d = dh_registry_deployment(o->c.registry);
	struct dh_duty_context c = { .settings = o->c.settings,
		.http = o->c.http,
		.grants = o->c.grants,
		.objects = o->c.objects,
		.registry = o->c.registry,
		.kind = DH_OWNERS_KIND,
		.ip = o->c.ip,
		.term = o->term,
		.term_began_ms = o->term_began_ms,
		.era = dh_era_number(owners_store_era(o)),
		.count_vms = count_vms,
		.rate_limit = rate_limit,
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

/* Returns a term that no VM has led in, including terms that the store lost
 * when it was restored from an older copy. */
static uint64_t
next_term(const struct dh_owners *o)
{
	uint64_t era = dh_era_number(owners_store_era(o));

	return MAX(o->term, dh_era_floor(era)) + 1;
}

/* Writes this VM as the leader of the next term, on the condition that the
 * object still has the known revision. */
static void
put_leader(struct dh_owners *o, dh_objects_fn done)
{
	g_autofree char *spec =
	    g_strdup_printf("{\"vm\":\"%s\",\"ip\":\"%s\",\"incarnation\":\"%"
			    "s\",\"term\":%llu}",
		o->c.settings->vm, o->c.ip, o->incarnation,
		(unsigned long long)next_term(o));

	o->call_began_ms = dh_clock_ms();
	o->call = dh_objects_put(o->c.objects, DH_OWNERS_KIND, DH_OWNERS_LEADER,
	    o->revision, spec, DH_OWNERS_STORE_TIMEOUT_MS, done, o);
}

/* --- restore of the store from an older copy --- */

/* For g_hash_table_foreach_remove(): suspends the duties that have stored a
 * record, and frees the others. */
static gboolean
suspend_or_free(gpointer key, gpointer value, gpointer era)
{
	(void)key;
	if (dh_duty_store_rolled_back(value, *(const uint64_t *)era))
		return FALSE;
	dh_duty_free(value);
	return TRUE;
}

/*
 * The restored store may name an earlier leader or none.  The current leader
 * knows the owners and goes on renewing leases under its old fencing tokens,
 * for at most DH_RECLAIM_MAX_MS (see owners_step_leader()).  It takes a term of
 * the new era after the time in which all leases are renewed: a backend server
 * that has accepted a grant of another leader refuses the renewal, and then
 * this VM gives way.
 */
void
owners_store_rolled_back(struct dh_owners *o, uint64_t era)
{
	dh_objects_cancel(o->call);
	o->call = NULL;
	o->revision = 0;
	switch (o->role) {
	case ROLE_FOLLOWER:
		return;
	case ROLE_READING:
	case ROLE_WRITING:
		o->role = ROLE_FOLLOWER;
		owners_reset_election_timeout(o);
		return;
	case ROLE_LEADER:
		o->store_restored_ms = dh_clock_ms();
		o->call_began_ms = 0;
		o->confirm_failed = false;
		g_hash_table_foreach_remove(o->duties, suspend_or_free, &era);
		return;
	}
}

/* Returns true if the store answered with the leader's object.  *r becomes the
 * reply as dh_era_check_reply() returns it. */
static bool
accept_leader_reply(struct dh_owners *o, const struct dh_objects_reply **r)
{
	o->call = NULL;
	*r = dh_era_check_reply(owners_store_era(o), *r);
	if (*r == NULL)
		return false;
	o->confirm_failed = (*r)->result != DH_OBJECTS_OK || (*r)->nitems != 1;
	return !o->confirm_failed;
}

static void
on_reclaim_written(void *arg, const struct dh_objects_reply *r)
{
	struct dh_owners *o = arg;
	GHashTableIter it;
	gpointer duty;

	if (!accept_leader_reply(o, &r))
		return;
	o->revision = r->items[0].revision;
	o->term = next_term(o);
	o->term_began_ms = dh_clock_ms();
	o->confirmed_ms = o->call_began_ms;
	forget_followers(o);
	o->store_restored_ms = 0;
	o->stalled = false;
	g_hash_table_iter_init(&it, o->duties);
	while (g_hash_table_iter_next(&it, NULL, &duty))
		dh_duty_resume(duty, o->term);
	dh_opslog_add(DH_OPS_STATE, "leader.went_on", ",\"term\":%llu",
	    (unsigned long long)o->term);
}

static void
on_reclaim_read(void *arg, const struct dh_objects_reply *r)
{
	struct dh_owners *o = arg;
	uint64_t era = dh_era_number(owners_store_era(o));
	uint64_t term;

	o->call = NULL;
	r = dh_era_check_reply(owners_store_era(o), r);
	if (r == NULL)
		return;
	o->confirm_failed = false;
	if (r->result == DH_OBJECTS_NOT_FOUND) {
		o->revision = 0;
	} else if (r->result != DH_OBJECTS_OK || r->nitems != 1) {
		o->confirm_failed = true;
		return;
	} else {
		term = (uint64_t)dh_json_int(r->items[0].spec, "term");
		o->revision = r->items[0].revision;
		/* An earlier write of this VM may have taken effect. */
		if (term > dh_era_floor(era) && term > o->term &&
		    !owners_is_own_spec(o, r->items[0].spec)) {
			owners_become_follower(
			    o, "another leads since the store went back");
			return;
		}
	}
	if (dh_clock_ms() - o->store_restored_ms >=
	    o->c.settings->renew_ms + o->c.settings->order_ms)
		put_leader(o, on_reclaim_written);
}

static void
reclaim(struct dh_owners *o, int64_t now_ms)
{
	if (o->call != NULL || now_ms - o->call_began_ms < RECLAIM_RETRY_MS)
		return;
	o->call_began_ms = now_ms;
	o->call = dh_objects_get(o->c.objects, DH_OWNERS_KIND, DH_OWNERS_LEADER,
	    DH_FRESH, CONFIRM_TIMEOUT_MS, on_reclaim_read, o);
}

static void
on_confirm_read(void *arg, const struct dh_objects_reply *r)
{
	struct dh_owners *o = arg;

	if (!accept_leader_reply(o, &r))
		return;
	owners_process_leader(o, &r->items[0]);
	if (o->role == ROLE_LEADER && o->call_began_ms > o->confirmed_ms)
		o->confirmed_ms = o->call_began_ms;
	if (o->call_began_ms >= o->stalled_ms)
		o->stalled = false;
}

static bool
is_failing(const struct dh_owners *o, int64_t now_ms)
{
	/* The store's report of a new era counts as an answer. */
	int64_t answered_ms = MAX(o->confirmed_ms, o->store_restored_ms);

	return o->resigned || o->confirm_failed ||
	    now_ms - answered_ms > CONFIRM_INTERVAL_MS + STORE_OVERDUE_MS;
}

/* Returns true if this VM, as the leader, reaches no backend server of some
 * keyed service, so that it cannot renew leases. */
static bool
is_lost(const struct dh_owners *o)
{
	GHashTableIter it;
	gpointer duty;

	g_hash_table_iter_init(&it, o->duties);
	while (g_hash_table_iter_next(&it, NULL, &duty))
		if (dh_duty_is_lost(duty))
			return true;
	return o->keyed_lost;
}

void
owners_set_evacuated(struct dh_owners *o, const GPtrArray *zones)
{
	if (zones != NULL && dh_registry_set_evacuated(o->c.registry, zones))
		o->c.changed(o->c.arg);
}

void
owners_send_beats(struct dh_owners *o, int64_t now_ms)
{
	g_autoptr(GArray) limits =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_shared_limit));
	g_autoptr(GArray) suspects =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_suspect));
	struct dh_leader_heartbeat beat = { .term = o->term,
		.failing = is_failing(o, now_ms),
		.lost = is_lost(o),
		.era = dh_era_number(owners_store_era(o)),
		.number = ++o->beat_number,
		.limits = limits,
		.suspects = suspects };
	g_autoptr(GPtrArray) evacuated = NULL;
	GHashTableIter it;
	gpointer ip, value;

	o->beats_ms[beat.number % DH_OWNERS_BEATS_KEPT] = now_ms;
	(void)g_strlcpy(beat.vm, o->c.settings->vm, sizeof(beat.vm));
	dh_registry_cursors(o->c.registry, beat.cursors);
	dh_limits_share(o->limits, limits, now_ms);
	if (dh_limits_set_shared(o->limits, limits, now_ms))
		o->c.changed(o->c.arg);
	dh_suspects_share(o->suspects, suspects);
	if (o->evacuations != NULL)
		evacuated = dh_evacuations_zones(o->evacuations);
	beat.evacuated = evacuated;
	owners_set_evacuated(o, evacuated);
	beat.vms = 1;
	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, &ip, &value)) {
		struct peer_state *p = value;

		beat.vms +=
		    p->heard_ms != 0 && now_ms - p->heard_ms < PEER_TIMEOUT_MS;
	}
	if (o->vms != beat.vms) {
		o->vms = beat.vms;
		o->c.changed(o->c.arg);
	}
	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, &ip, NULL))
		dh_peer_send_heartbeat(o->peer, ip, &beat);
}

static void
on_object_written(void *arg, const struct dh_objects_reply *r)
{
	struct leader_object *l = arg;
	struct dh_owners *o = l->owners;

	l->call = NULL;
	r = dh_era_check_reply(owners_store_era(o), r);
	if (r == NULL)
		return;
	if (r->nitems == 1)
		l->revision = r->items[0].revision;
	if (r->result == DH_OBJECTS_OK)
		return;
	dh_opslog_add(DH_OPS_STATE, "object.not_written",
	    ",\"name\":\"%s\",\"status\":%ld", l->name, r->status);
	/* Not the text in the store: it is written again. */
	g_free(l->text);
	l->text = g_strdup("");
	if (l == &o->quarantine && r->nitems == 1)
		owners_process_quarantine(o, &r->items[0]);
}

/* Whether the leader may compute the object's text now. */
static bool
may_write_object(struct leader_object *l, int64_t interval_ms, int64_t now_ms)
{
	if (l->call != NULL || now_ms - l->checked_ms < interval_ms)
		return false;
	l->checked_ms = now_ms;
	return true;
}

/* Writes the object if its text has changed.  Takes ownership of text. */
static void
write_object(struct leader_object *l, char *text)
{
	if (g_strcmp0(text, l->text) == 0) {
		g_free(text);
		return;
	}
	g_free(l->text);
	l->text = text;
	l->call = dh_objects_put(l->owners->c.objects, DH_OWNERS_KIND, l->name,
	    l->revision, l->text, DH_OWNERS_STORE_TIMEOUT_MS, on_object_written,
	    l);
}

/* Keeps the object up to date that lists the strong VMs, from which other VMs
 * of their zone read the store's lists at their start. */
static void
write_strong(struct dh_owners *o, int64_t now_ms)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_neighbour));
	struct dh_neighbour n = { .core_share_milli =
				      o->c.settings->core_share_milli };
	GHashTableIter it;
	gpointer ip, value;
	char *text;

	if (!may_write_object(&o->strong, STRONG_CHECK_MS, now_ms))
		return;
	(void)g_strlcpy(n.vm, o->c.settings->vm, sizeof(n.vm));
	(void)g_strlcpy(n.zone, o->c.settings->zone, sizeof(n.zone));
	(void)g_strlcpy(n.ip, o->c.ip, sizeof(n.ip));
	g_array_append_val(list, n);
	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, &ip, &value)) {
		const struct peer_state *p = value;

		n.core_share_milli = p->core_share_milli;
		(void)g_strlcpy(n.vm, p->vm, sizeof(n.vm));
		(void)g_strlcpy(n.zone, p->zone, sizeof(n.zone));
		(void)g_strlcpy(n.ip, ip, sizeof(n.ip));
		g_array_append_val(list, n);
	}
	text = dh_neighbours_spec(
	    (struct dh_neighbour *)(void *)list->data, list->len);
	if (text != NULL)
		write_object(&o->strong, text);
}

/* Keeps the object up to date that lists the refused requests. */
static void
write_quarantine(struct dh_owners *o, int64_t now_ms)
{
	if (may_write_object(&o->quarantine, QUARANTINE_CHECK_MS, now_ms) &&
	    (o->quarantine.text != NULL || dh_suspects_refuse(o->suspects)))
		write_object(&o->quarantine, dh_suspects_spec(o->suspects));
}

/* Detects that this process was stopped for as long as it takes other VMs to
 * replace the leader.  It then sends no orders until the store confirms that
 * it still leads, or until a successor's heartbeat would have arrived: if the
 * store is down, renewals have to go on. */
static void
detect_stall(struct dh_owners *o, int64_t now_ms)
{
	int64_t stopped_ms = now_ms - o->last_step_ms;

	if (o->last_step_ms != 0 && stopped_ms >= o->c.settings->silence_ms) {
		o->stalled = true;
		o->stalled_ms = now_ms;
		dh_objects_cancel(o->call);
		o->call = NULL;
		dh_opslog_add(DH_OPS_STATE, "leader.stalled",
		    ",\"term\":%llu,\"stood_ms\":%lld",
		    (unsigned long long)o->term, (long long)stopped_ms);
	}
	o->last_step_ms = now_ms;
	if (o->stalled &&
	    now_ms - o->stalled_ms >
		SUCCESSOR_WAIT_BEATS * o->c.settings->beat_ms)
		o->stalled = false;
}

/* Returns true if every other VM that this one knows of has reported that it
 * follows this leader in the present term, so that none sends orders. */
static bool
all_vms_follow(const struct dh_owners *o)
{
	GHashTableIter it;
	gpointer value;

	if (!dh_mirror_listed(o->mirror))
		return false;
	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((struct peer_state *)value)->followed_term != o->term)
			return false;
	return true;
}

void
owners_note_follower(struct dh_owners *o, struct peer_state *p, uint64_t beat)
{
	if (beat == 0 || beat > o->beat_number ||
	    o->beat_number - beat >= DH_OWNERS_BEATS_KEPT)
		return;
	p->followed_ms =
	    MAX(p->followed_ms, o->beats_ms[beat % DH_OWNERS_BEATS_KEPT]);
}

/* Returns a time at which all other VMs followed this leader, or 0.  A VM does
 * not count that had been silent for some time when the store confirmed that
 * this VM leads: had it reached the store, it would have been elected. */
static int64_t
followed_by_all_ms(const struct dh_owners *o)
{
	int64_t counted_ms = o->confirmed_ms - PEER_TIMEOUT_MS;
	int64_t all_ms = INT64_MAX;
	GHashTableIter it;
	gpointer value;

	if (!dh_mirror_listed(o->mirror))
		return 0;
	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer_state *p = value;

		if (MAX(p->heard_ms, o->elected_ms) >= counted_ms)
			all_ms = MIN(all_ms, p->followed_ms);
	}
	return all_ms == INT64_MAX ? 0 : all_ms;
}

/* Updates leading_ms from what the store and the other VMs have said. */
static void
update_leading(struct dh_owners *o, int64_t now_ms)
{
	bool unconfirmed;

	o->leading_ms =
	    MAX(o->leading_ms, MAX(o->confirmed_ms, followed_by_all_ms(o)));
	unconfirmed = is_failing(o, now_ms) &&
	    now_ms - o->leading_ms >= o->c.settings->silence_ms;
	if (unconfirmed != o->unconfirmed)
		dh_opslog_add(DH_OPS_STATE,
		    unconfirmed ? "leader.unconfirmed" : "leader.confirmed",
		    ",\"term\":%llu,\"leading_ms_ago\":%lld",
		    (unsigned long long)o->term,
		    (long long)(now_ms - o->leading_ms));
	o->unconfirmed = unconfirmed;
}

static bool
is_withholding(const struct dh_owners *o)
{
	GHashTableIter it;
	gpointer duty;

	g_hash_table_iter_init(&it, o->duties);
	while (g_hash_table_iter_next(&it, NULL, &duty))
		if (dh_duty_is_withholding(duty))
			return true;
	return false;
}

/* Asks the store whether this VM still leads. */
static void
confirm(struct dh_owners *o, int64_t now_ms)
{
	int64_t pause_ms = is_withholding(o) ? CONFIRM_AWAITED_MS
	    : is_failing(o, now_ms)	     ? CONFIRM_RETRY_MS
					     : CONFIRM_INTERVAL_MS;

	if (o->call != NULL ||
	    (now_ms - o->call_began_ms < pause_ms &&
		!(o->stalled && o->call_began_ms < o->stalled_ms)))
		return;
	o->call_began_ms = now_ms;
	o->call = dh_objects_get(o->c.objects, DH_OWNERS_KIND, DH_OWNERS_LEADER,
	    DH_FRESH, CONFIRM_TIMEOUT_MS, on_confirm_read, o);
}

void
owners_step_leader(struct dh_owners *o, int64_t now_ms)
{
	bool solo_expired =
	    now_ms - o->confirmed_ms >= o->c.settings->solo_ms ||
	    (o->store_restored_ms != 0 &&
		now_ms - o->store_restored_ms >= DH_RECLAIM_MAX_MS);
	GHashTableIter it;
	gpointer duty;

	detect_stall(o, now_ms);

	if (solo_expired != o->solo_expired)
		dh_opslog_add(DH_OPS_STATE,
		    solo_expired ? "leader.solo_over" : "leader.solo",
		    ",\"term\":%llu,\"confirmed_ms_ago\":%lld",
		    (unsigned long long)o->term,
		    (long long)(now_ms - o->confirmed_ms));
	o->solo_expired = solo_expired;
	if (o->store_restored_ms != 0) {
		reclaim(o, now_ms);
	} else {
		ensure_duties(o);
		confirm(o, now_ms);
	}
	if (now_ms - o->beat_sent_ms >= o->c.settings->beat_ms) {
		o->beat_sent_ms = now_ms;
		owners_send_beats(o, now_ms);
	}
	update_leading(o, now_ms);
	g_hash_table_iter_init(&it, o->duties);
	while (g_hash_table_iter_next(&it, NULL, &duty)) {
		if (dh_duty_awaits_followers(duty) && all_vms_follow(o))
			dh_duty_note_all_follow(duty);
		dh_duty_step(duty, !solo_expired && !o->stalled, o->leading_ms);
	}
	if (now_ms - o->confirmed_ms < CONFIRM_INTERVAL_MS) {
		o->election_pause_ms = 0;
		write_strong(o, now_ms);
		write_quarantine(o, now_ms);
	}
}

/* --- becoming the leader --- */

static void
abandon_candidacy(struct dh_owners *o, const char *why)
{
	dh_opslog_add(DH_OPS_STATE, "leader.not_taken",
	    ",\"term\":%llu,\"why\":\"%s\"", (unsigned long long)o->term, why);
	o->role = ROLE_FOLLOWER;
	owners_reset_election_timeout(o);
}

static void
on_leader_written(void *arg, const struct dh_objects_reply *r)
{
	struct dh_owners *o = arg;

	o->call = NULL;
	r = dh_era_check_reply(owners_store_era(o), r);
	if (r == NULL)
		return;
	if (r->result == DH_OBJECTS_OK && r->nitems == 1) {
		o->revision = r->items[0].revision;
		o->term = next_term(o);
		become_leader(o, o->call_began_ms);
		return;
	}
	if (r->result == DH_OBJECTS_CONFLICT && r->nitems == 1)
		owners_process_leader(o, &r->items[0]);
	abandon_candidacy(o,
	    r->result == DH_OBJECTS_CONFLICT ? "another was first"
					     : "no answer of the store");
}

static void
write_candidacy(struct dh_owners *o)
{
	o->role = ROLE_WRITING;
	put_leader(o, on_leader_written);
}

static void
on_leader_read(void *arg, const struct dh_objects_reply *r)
{
	struct dh_owners *o = arg;
	uint64_t term = o->term;
	bool heard = o->leader_healthy_ms > o->call_began_ms;

	o->call = NULL;
	r = dh_era_check_reply(owners_store_era(o), r);
	if (r == NULL)
		return;
	if (r->result == DH_OBJECTS_NOT_FOUND) {
		o->revision = 0;
		write_candidacy(o);
		return;
	}
	if (r->result != DH_OBJECTS_OK || r->nitems != 1) {
		abandon_candidacy(o, "the store does not answer");
		return;
	}
	o->revision = 0;
	owners_process_leader(o, &r->items[0]);
	/* The second case: a leader was heard while the call was pending. */
	if (o->term > term || heard) {
		abandon_candidacy(o, "another has just taken over");
		return;
	}
	/* The object may hold a write of an earlier attempt of this VM. */
	term = (uint64_t)dh_json_int(r->items[0].spec, "term");
	o->term = MAX(o->term, term);
	write_candidacy(o);
}

/* Returns true if the leader sends heartbeats and only lacks the store, which
 * this VM does not reach either or has reached again for less than
 * OUTAGE_GRACE_MS: an outage that affects all VMs replaces no leader. */
static bool
leader_awaits_store(const struct dh_owners *o, int64_t now_ms)
{
	return now_ms - o->beat_received_ms < o->c.settings->silence_ms &&
	    dh_mirror_reached_ms(o->mirror) < OUTAGE_GRACE_MS;
}

/* Returns true if another VM has more than twice this VM's core share. */
static bool
is_small_vm(const struct dh_owners *o)
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

void
owners_step_follower(struct dh_owners *o, int64_t now_ms)
{
	if (now_ms - o->beat_received_ms >
	    MISSED_BEATS_MAX * o->c.settings->beat_ms + DH_OWNERS_STEP_MS)
		owners_set_store_source(o, NULL);
	if (leader_awaits_store(o, now_ms) || o->resigned || o->call != NULL ||
	    o->role != ROLE_FOLLOWER ||
	    now_ms - o->leader_healthy_ms < o->election_timeout_ms +
		    (is_small_vm(o) ? SMALL_VM_WAIT_MS : 0) +
		    (o->keyed_lost ? LOST_VM_WAIT_MS : 0) ||
	    !dh_registry_ready(o->c.registry))
		return;
	dh_opslog_add(DH_OPS_STATE, "leader.silent",
	    ",\"leader\":\"%s\",\"term\":%llu,\"silent_ms\":%lld", o->leader_vm,
	    (unsigned long long)o->term,
	    (long long)(now_ms - o->leader_healthy_ms));
	o->role = ROLE_READING;
	o->call_began_ms = now_ms;
	o->call = dh_objects_get(o->c.objects, DH_OWNERS_KIND, DH_OWNERS_LEADER,
	    DH_FRESH, DH_OWNERS_STORE_TIMEOUT_MS, on_leader_read, o);
}
