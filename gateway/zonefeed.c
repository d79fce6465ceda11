/*
 * How VMs follow the store while no leader reads it for them.  In each
 * availability zone one VM reads it, and sends the others there what changes
 * and how far it has read, as the leader does.  VMs start to read in turn,
 * until one hears from another that goes before it and reaches the store.
 */
#include "gateway/owners_internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/opslog.h"

/* How much later than the VM before it a VM starts to read. */
#define TURN_MS 200
/* Cursors that may be missing before the VM that reads counts as silent. */
#define CURSORS_MISSING_MAX 3
/* If nobody reads the store for this long, it counts as away.  Less than the
 * time after which a leader is replaced: one is not while the store is away. */
#define OUTAGE_MS 600
/* VMs whose lists have grown too old ask the store within this time of each
 * other. */
#define TOO_OLD_SPREAD_MS 400

/* Whether a VM of this zone reads the store before another one: larger VMs do,
 * of equal ones that with the lower address. */
static bool
reads_before(int64_t core_share_a, const char *ip_a, int64_t core_share_b,
    const char *ip_b)
{
	return core_share_a != core_share_b ? core_share_a > core_share_b
					    : strcmp(ip_a, ip_b) < 0;
}

static bool
in_zone(const struct dh_owners *o, const struct peer_state *p)
{
	return p->relays && strcmp(p->zone, o->c.settings->zone) == 0;
}

/* Number of VMs that start to read before this one.  The leader, which cannot,
 * is left out. */
static uint32_t
place_in_turn(const struct dh_owners *o)
{
	GHashTableIter it;
	gpointer ip, value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, &ip, &value)) {
		const struct peer_state *p = value;

		n += in_zone(o, p) && strcmp(ip, o->leader_ip) != 0 &&
		    reads_before(p->core_share_milli, ip,
			o->c.settings->core_share_milli, o->c.ip);
	}
	return n;
}

/* Lets this VM be told by another one, whose cursors these are, or ask the
 * store itself. */
static void
follow(struct dh_owners *o, const struct dh_registry_cursor *cursors)
{
	dh_mirror_set_fed_by_leader(o->mirror, cursors != NULL);
	dh_registry_set_leader_cursors(o->c.registry, cursors);
}

static void
on_changes(void *arg, const struct dh_registry_changes *n)
{
	struct dh_owners *o = arg;
	g_autoptr(dh_fanout) f = owners_fanout(o, o->c.settings->zone);

	dh_peer_publish_changes(o->peer, f, n, o->term);
}

static void
start_reading(struct dh_owners *o, int64_t now_ms, uint32_t place)
{
	o->reads_for_zone = true;
	o->cursors_sent_ms = 0;
	dh_opslog_add(DH_OPS_STATE, "zone.reading",
	    ",\"leader\":\"%s\",\"term\":%llu,\"place\":%u,\"unfed_ms\":%lld",
	    o->leader_vm, (unsigned long long)o->term, place,
	    (long long)(now_ms - o->unfed_since_ms));
	dh_registry_set_leading(o->c.registry, on_changes, o);
}

void
owners_stop_reading_for_zone(struct dh_owners *o)
{
	if (!o->reads_for_zone)
		return;
	o->reads_for_zone = false;
	dh_registry_set_leading(o->c.registry, NULL, NULL);
}

static void
send_cursors(struct dh_owners *o, int64_t now_ms)
{
	struct dh_peer_cursors c = { .era = dh_era_number(owners_store_era(o)),
		.core_share_milli = o->c.settings->core_share_milli };
	GHashTableIter it;
	gpointer ip, value;

	/* Others would rely on a VM that does not reach the store either. */
	if (now_ms - o->cursors_sent_ms < o->c.settings->beat_ms ||
	    !dh_registry_reads_store(o->c.registry))
		return;
	o->cursors_sent_ms = now_ms;
	dh_registry_cursors(o->c.registry, c.cursors);
	g_hash_table_iter_init(&it, o->peers);
	while (g_hash_table_iter_next(&it, &ip, &value))
		if (in_zone(o, value))
			dh_peer_send_cursors(o->peer, ip, &c);
}

/* Does what is due while no leader reads the store for this VM. */
static void
step_unfed(struct dh_owners *o, int64_t now_ms)
{
	uint32_t place;

	if (o->reads_for_zone || o->beat_received_ms == 0) {
		follow(o, NULL);
		if (o->reads_for_zone)
			send_cursors(o, now_ms);
		return;
	}
	dh_registry_check_age(
	    o->c.registry, g_random_int_range(0, TOO_OLD_SPREAD_MS));
	if (o->zone_heard_ms != 0) {
		if (now_ms - o->zone_heard_ms <=
		    CURSORS_MISSING_MAX * o->c.settings->beat_ms +
			DH_OWNERS_STEP_MS)
			return;
		o->unfed_since_ms = now_ms;
		o->zone_heard_ms = 0;
	}
	if (now_ms - o->unfed_since_ms > OUTAGE_MS) {
		dh_mirror_note_outage(o->mirror);
		dh_registry_note_outage(o->c.registry);
	}
	place = place_in_turn(o);
	if (now_ms - o->unfed_since_ms >= (int64_t)place * TURN_MS)
		start_reading(o, now_ms, place);
}

/* Whether the VM with these cursors reads every kind from the store. */
static bool
reads_store(const struct dh_registry_cursor *cursors)
{
	size_t i;

	for (i = 0; i < DH_REGISTRY_KINDS; i++)
		if (!cursors[i].reached || cursors[i].as_of == 0)
			return false;
	return true;
}

void
owners_zone_cursors(
    struct dh_owners *o, const struct dh_peer_cursors *c, const char *ip)
{
	bool current = dh_era_accept(owners_store_era(o), c->era) ||
	    c->era == dh_era_number(owners_store_era(o));

	if (o->role == ROLE_LEADER || o->unfed_since_ms == 0 || !current ||
	    !reads_store(c->cursors))
		return;
	if (o->reads_for_zone &&
	    !reads_before(c->core_share_milli, ip,
		o->c.settings->core_share_milli, o->c.ip))
		return;
	owners_stop_reading_for_zone(o);
	o->zone_heard_ms = dh_clock_ms();
	follow(o, c->cursors);
}

void
owners_set_store_source(
    struct dh_owners *o, const struct dh_registry_cursor *cursors)
{
	int64_t now_ms = dh_clock_ms();

	if (cursors != NULL && reads_store(cursors)) {
		o->unfed_since_ms = o->zone_heard_ms = 0;
		owners_stop_reading_for_zone(o);
		follow(o, cursors);
		return;
	}
	if (o->unfed_since_ms == 0)
		o->unfed_since_ms = now_ms;
	step_unfed(o, now_ms);
}
