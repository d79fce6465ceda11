/*
 * Datagrams between VMs.  The leader sends heartbeats, owners of keys and
 * changes in the store; the other VMs send it reports of what their routers
 * have seen.
 */
#include "gateway/owners_internal.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/clock.h"
#include "base/opslog.h"

/* Heartbeats that may be missing before the gap is logged. */
#define BEATS_MISSING_MAX 2
/* A VM that the leader has not heard from for this long is no relay. */
#define RELAY_SILENT_MS 700
/* Work times change slowly: only each WORK_TIME_REPORTS-th report has them. */
#define WORK_TIME_REPORTS 4

/* Logs a gap between heartbeats: how many were lost on the way, and whether
 * this VM's own steps were late. */
static void
log_heartbeat_gap(const struct dh_owners *o,
    const struct dh_leader_heartbeat *beat, int64_t now_ms)
{
	int64_t gap_ms = now_ms - o->beat_received_ms;
	uint64_t lost = 0;

	if (o->beat_received_ms == 0 ||
	    gap_ms <= (BEATS_MISSING_MAX + 1) * o->c.settings->beat_ms)
		return;
	if (o->beat_number != 0 && beat->number > o->beat_number)
		lost = beat->number - o->beat_number - 1;
	dh_opslog_add(DH_OPS_STATE, "heartbeats.missed",
	    ",\"leader\":\"%s\",\"term\":%llu,\"gap_ms\":%lld,"
	    "\"lost\":%llu,\"number\":%llu,\"step_pause_ms\":%lld",
	    beat->vm, (unsigned long long)beat->term, (long long)gap_ms,
	    (unsigned long long)lost, (unsigned long long)beat->number,
	    (long long)o->step_pause_ms);
}

static void
on_beat(void *arg, const struct dh_leader_heartbeat *beat, const char *ip)
{
	struct dh_owners *o = arg;
	bool current;

	if (beat->term < o->term)
		return;
	if (o->role == ROLE_LEADER) {
		if (beat->term == o->term)
			return;
		owners_become_follower(o, "another leads in a higher term");
	}
	if (beat->term > o->term || strcmp(o->leader_ip, ip) != 0) {
		o->leader_ip[0] = '\0';
		owners_set_leader(o, beat->term, beat->vm, ip);
	}
	log_heartbeat_gap(o, beat, dh_clock_ms());
	o->beat_number = beat->number;
	o->step_pause_ms = 0;
	o->beat_received_ms = dh_clock_ms();
	/* A leader of an earlier era does not know yet that the store was
	 * restored from an older copy; its cursors are not used. */
	current = dh_era_accept(owners_store_era(o), beat->era) ||
	    beat->era == dh_era_number(owners_store_era(o));
	owners_set_store_source(
	    o, beat->failing || !current ? NULL : beat->cursors);
	/* A VM that reaches no more backend servers does not replace it. */
	if (beat->failing || (beat->lost && !o->keyed_lost))
		o->leader_failing_ms = dh_clock_ms();
	else
		o->leader_healthy_ms = dh_clock_ms();
	if (dh_limits_set_shared(o->limits, beat->limits, dh_clock_ms()))
		o->c.changed(o->c.arg);
	if (dh_suspects_note_shared(o->suspects, beat->suspects, dh_clock_ms()))
		o->c.changed(o->c.arg);
	owners_set_evacuated(o, beat->evacuated);
	if (o->vms != beat->vms) {
		o->vms = beat->vms;
		o->c.changed(o->c.arg);
	}
}

static gint
compare_from(gconstpointer a, gconstpointer b)
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
		in->received = 0;
		g_array_set_size(in->changes, 0);
	}
	if ((in->received >> p->part & 1) != 0)
		return;
	in->received |= 1ull << p->part;
	g_array_append_vals(in->changes, p->changes->data, p->changes->len);
	if (__builtin_popcountll(in->received) < (int)in->parts)
		return;
	g_array_sort(in->changes, compare_from);
	r = dh_record_unowned();
	r.term = p->term;
	r.version = p->version;
	dh_record_apply(&r,
	    (const struct dh_record_change *)(void *)in->changes->data,
	    in->changes->len);
	(void)owners_learn(o, p->service, &r, "peer");
}

static void
on_delta(void *arg, const struct dh_peer_delta *d)
{
	struct dh_owners *o = arg;
	struct known_owners *k = g_hash_table_lookup(o->known, d->service);
	struct dh_record r;

	/* If the change does not start from the version that is known here, the
	 * next report shows that version and the leader sends all owners. */
	if (o->role == ROLE_LEADER || k == NULL || k->record.term != d->term ||
	    k->record.version != d->base)
		return;
	r = dh_record_copy(&k->record);
	r.version = d->version;
	dh_record_apply(&r,
	    (const struct dh_record_change *)(void *)d->changes->data,
	    d->changes->len);
	(void)owners_learn(o, d->service, &r, "delta");
}

static void
on_peer_changes(void *arg, const struct dh_registry_changes *n, uint64_t term)
{
	struct dh_owners *o = arg;

	if (o->role != ROLE_LEADER && term >= o->term)
		dh_registry_apply_changes(o->c.registry, n);
}

struct dh_fanout *
owners_fanout(struct dh_owners *o, const char *zone)
{
	g_autofree struct dh_fanout_vm *vms =
	    g_new0(struct dh_fanout_vm, g_hash_table_size(o->peers) + 1);
	int64_t now_ms = dh_clock_ms();
	GHashTableIter it;
	gpointer ip, value;
	size_t n = 0;

	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, &ip, &value)) {
		const struct peer_state *p = value;
		struct in_addr address;

		if (inet_pton(AF_INET, ip, &address) != 1 ||
		    (zone != NULL && strcmp(p->zone, zone) != 0))
			continue;
		vms[n++] = (struct dh_fanout_vm){ .address = address.s_addr,
			.zone = p->zone,
			.core_share_milli = p->core_share_milli,
			.relays = p->relays,
			/* Only the leader gets reports. */
			.silent = o->role == ROLE_LEADER &&
			    now_ms - MAX(p->heard_ms, o->elected_ms) >
				RELAY_SILENT_MS };
	}
	return dh_fanout_new(vms, n, o->fanout_turn++);
}

struct dh_peer_delta
owners_delta(
    const char *service, uint64_t term, const struct dh_backlog_step *step)
{
	struct dh_peer_delta d = { .term = term,
		.base = step->base,
		.version = step->version,
		.changes = step->changes };

	(void)g_strlcpy(d.service, service, sizeof(d.service));
	return d;
}

/* Sends a VM again what followed this version; returns false if that is no
 * longer known. */
static bool
send_missing_steps(struct dh_owners *o, const struct dh_duty *duty,
    const char *service, uint64_t term, uint64_t version, const char *ip)
{
	const struct dh_backlog_step *step =
	    dh_duty_step_after(duty, term, version);
	struct dh_peer_delta d;

	if (step == NULL)
		return false;
	for (; step != NULL;
	     step = dh_duty_step_after(duty, term, step->version)) {
		d = owners_delta(service, term, step);
		dh_peer_send_delta(o->peer, ip, &d);
	}
	return true;
}

static void
send_outdated(
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
		    dh_duty_is_up_to_date(
			duty, r->owners[i].term, r->owners[i].version))
			continue;
		if (dh_duty_record(duty) == NULL || o->full_sends == 0)
			continue;
		o->full_sends--;
		if (i < r->nowners &&
		    send_missing_steps(o, duty, service, r->owners[i].term,
			r->owners[i].version, ip))
			continue;
		dh_peer_send_owners(o->peer, ip, service, dh_duty_record(duty));
	}
}

static void
on_report(void *arg, const struct dh_peer_report *r, const char *ip)
{
	struct dh_owners *o = arg;
	const struct dh_peer_server *s;
	struct peer_state *p;
	struct dh_duty *duty;
	GHashTableIter it;
	gpointer value;
	guint i;

	if (o->role != ROLE_LEADER)
		return;
	if (strcmp(ip, o->c.ip) != 0) {
		p = owners_get_peer(o, ip);
		p->heard_ms = dh_clock_ms();
		p->followed_term = r->term;
		if (r->term == o->term)
			owners_note_follower(o, p, r->beat);
		p->relays = r->relays;
	}
	for (i = 0; i < r->keys->len; i++) {
		const struct dh_peer_key *k =
		    &g_array_index(r->keys, struct dh_peer_key, i);

		duty = g_hash_table_lookup(
		    o->duties, r->owners[k->owners].service);
		if (duty != NULL)
			dh_duty_add_request(duty, k->key);
	}
	g_hash_table_iter_init(&it, o->duties);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (r->term == o->term)
			dh_duty_note_follower(value, r->vm, ip);
		for (i = 0; i < r->servers->len; i++) {
			s = &g_array_index(
			    r->servers, struct dh_peer_server, i);
			dh_duty_add_work_time(
			    value, s->id, s->work_ms, s->samples);
		}
	}
	for (i = 0; i < r->leaving->len; i++) {
		const struct dh_peer_leaving *l =
		    &g_array_index(r->leaving, struct dh_peer_leaving, i);

		dh_registry_mark_leaving(o->c.registry, l->id, l->start_ms);
	}
	dh_limits_note_reports(o->limits, r->limits, dh_clock_ms());
	if (dh_suspects_note_report(o->suspects, r->suspects, dh_clock_ms()))
		owners_suspects_changed(o);
	send_outdated(o, r, ip);
}

static void
report_keys(const struct dh_owners *o, struct dh_peer_report *r)
{
	struct dh_peer_key k;
	uint32_t s;
	guint i;

	for (i = 0; i < o->seen_keys->len; i++) {
		const struct seen_key *seen =
		    &g_array_index(o->seen_keys, struct seen_key, i);

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
report_work_times(const struct dh_owners *o, struct dh_peer_report *r)
{
	GHashTableIter it;
	gpointer work_time;

	g_hash_table_iter_init(&it, o->work_times);
	while (g_hash_table_iter_next(&it, NULL, &work_time))
		g_array_append_vals(r->servers, work_time, 1);
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

void
owners_send_report(struct dh_owners *o)
{
	g_autoptr(GArray) keys =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_peer_key));
	g_autoptr(GArray) servers =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_peer_server));
	g_autoptr(GArray) limits =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_limit_report));
	g_autoptr(GArray) suspects =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_suspect));
	struct dh_peer_report r = { .term = o->term,
		.beat = o->beat_number,
		.keys = keys,
		.servers = servers,
		.leaving = o->leaving,
		.limits = limits,
		.suspects = suspects };

	(void)g_strlcpy(r.vm, o->c.settings->vm, sizeof(r.vm));
	dh_limits_take_reports(o->limits, limits);
	dh_suspects_report(o->suspects, suspects);
	report_services(o, &r);
	report_keys(o, &r);
	if (o->reports++ % WORK_TIME_REPORTS == 0) {
		report_work_times(o, &r);
		g_hash_table_remove_all(o->work_times);
	}
	g_array_set_size(o->seen_keys, 0);
	if (o->role == ROLE_LEADER)
		on_report(o, &r, o->c.ip);
	else if (o->leader_ip[0] != '\0')
		dh_peer_send_report(o->peer, o->leader_ip, &r);
	g_array_set_size(o->leaving, 0);
}

void
owners_log_traffic(struct dh_owners *o)
{
	struct dh_peer_traffic t = dh_peer_take_traffic(o->peer);

	dh_opslog_add(DH_OPS_STATE, "peer.sent",
	    ",\"term\":%llu,\"vms\":%u,\"heartbeats\":%llu,"
	    "\"heartbeat_bytes\":%llu,\"owners\":%llu,"
	    "\"owners_bytes\":%llu,\"deltas\":%llu,\"delta_bytes\":%llu,"
	    "\"changes\":%llu,\"changes_bytes\":%llu,\"unsent\":%llu,"
	    "\"step_pause_ms\":%lld",
	    (unsigned long long)o->term, o->vms,
	    (unsigned long long)t.datagrams[DH_PEER_HEARTBEAT],
	    (unsigned long long)t.bytes[DH_PEER_HEARTBEAT],
	    (unsigned long long)t.datagrams[DH_PEER_OWNERS],
	    (unsigned long long)t.bytes[DH_PEER_OWNERS],
	    (unsigned long long)t.datagrams[DH_PEER_DELTA],
	    (unsigned long long)t.bytes[DH_PEER_DELTA],
	    (unsigned long long)t.datagrams[DH_PEER_CHANGES],
	    (unsigned long long)t.bytes[DH_PEER_CHANGES],
	    (unsigned long long)t.unsent, (long long)o->step_pause_ms);
	o->step_pause_ms = 0;
}

static void
on_cursors(void *arg, const struct dh_peer_cursors *c, const char *ip)
{
	owners_zone_cursors(arg, c, ip);
}

static void
on_relayed(void *arg, const uint32_t *addresses, size_t n, const void *datagram,
    size_t len)
{
	struct dh_owners *o = arg;

	dh_peer_pass_on(o->peer, addresses, n, datagram, len);
}

struct dh_peer_handler
owners_peer_handler(struct dh_owners *o)
{
	return (struct dh_peer_handler){ on_beat, on_owners, on_delta,
		on_report, on_peer_changes, on_relayed, on_cursors, o };
}
