#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/relay.h>

#include "tests/cunit_main.h"

static struct dh_relay_params params = {
	.objects_max = 64,
	.bytes_max = 65536,
	.neighbours_max = 8,
	.pull_ms = 1000,
};

static enum dh_relay_result
put_value(
    struct dh_relay *r, const char *team, uint64_t version, const char *value)
{
	struct dh_team_update u = { .version = version,
		.len = (uint32_t)strlen(value),
		.bytes = (const uint8_t *)value };

	(void)snprintf(u.team, sizeof(u.team), "%s", team);
	return dh_relay_put_team(r, &u, 0);
}

static bool
holds_value(const struct dh_relay *r, const char *team, uint64_t version,
    const char *value)
{
	struct dh_relay_object o;

	return dh_relay_find(r, DH_RELAY_TEAM, team, &o) &&
	    o.version.counter == version && o.len == strlen(value) &&
	    memcmp(o.bytes, value, o.len) == 0;
}

static enum dh_relay_result
put_slot(struct dh_relay *r, struct dh_relay_version version,
    struct dh_relay_version base, uint32_t slot, uint64_t owner)
{
	struct dh_slot_update s = { slot,
		{ .owner = owner, .state = DH_SLOT_OWNED } };
	struct dh_table_update u = { .group = "feed/0",
		.version = version,
		.base = base,
		.nslots = 100,
		.n = 1,
		.slots = &s };

	return dh_relay_put_table(r, &u, 0);
}

/* Send all updates that `to` lacks from `from` to it.  Returns the number of
 * bytes and slots sent. */
static uint32_t
send_updates(struct dh_relay *from, uint64_t from_id, struct dh_relay *to,
    uint64_t to_id)
{
	struct dh_relay_item item;
	uint32_t sent = 0;

	while (dh_relay_next(from, to_id, &item)) {
		if (item.kind == DH_RELAY_TEAM) {
			sent += item.team.len;
			(void)dh_relay_put_team(to, &item.team, from_id);
		} else {
			sent += item.table.n;
			(void)dh_relay_put_table(to, &item.table, from_id);
		}
		dh_relay_sent(from, to_id, &item);
	}
	return sent;
}

/* A table's updates contain the leader and the deputy, even without slots. */
static void
test_table_contains_leader(void)
{
	struct dh_relay *a = dh_relay_new(&params);
	struct dh_relay *b = dh_relay_new(&params);
	struct dh_table_update u = {
		.group = "web/0", .version = { 2, 1 }, .leader = 7, .deputy = 8
	};
	struct dh_relay_object o;

	CU_ASSERT_EQUAL(dh_relay_put_table(a, &u, 0), DH_RELAY_APPLIED);
	CU_ASSERT_TRUE(dh_relay_attach(a, 2, NULL, 0, NULL, 0));
	(void)send_updates(a, 1, b, 2);
	CU_ASSERT_TRUE_FATAL(dh_relay_find(b, DH_RELAY_TABLE, "web/0", &o));
	CU_ASSERT_EQUAL(o.leader, 7);
	CU_ASSERT_EQUAL(o.deputy, 8);
	u.version.counter = 2;
	u.base = o.version;
	u.deputy = 9;
	CU_ASSERT_EQUAL(dh_relay_put_table(a, &u, 0), DH_RELAY_APPLIED);
	(void)send_updates(a, 1, b, 2);
	CU_ASSERT_TRUE_FATAL(dh_relay_find(b, DH_RELAY_TABLE, "web/0", &o));
	CU_ASSERT_EQUAL(o.deputy, 9);
	dh_relay_free(a);
	dh_relay_free(b);
}

static void
test_older_versions_are_ignored(void)
{
	struct dh_relay *r = dh_relay_new(&params);
	struct dh_relay_summary s;

	CU_ASSERT_EQUAL(put_value(r, "a", 5, "five"), DH_RELAY_APPLIED);
	s = dh_relay_summary(r);
	CU_ASSERT_EQUAL(put_value(r, "a", 5, "five"), DH_RELAY_OLD);
	CU_ASSERT_EQUAL(put_value(r, "a", 4, "four"), DH_RELAY_OLD);
	CU_ASSERT(holds_value(r, "a", 5, "five"));
	CU_ASSERT_EQUAL(dh_relay_summary(r).team_digest, s.team_digest);
	CU_ASSERT_EQUAL(s.team_sum, 5);
	CU_ASSERT_EQUAL(put_slot(r, (struct dh_relay_version){ 2, 1 },
			    (struct dh_relay_version){ 0, 0 }, 3, 7),
	    DH_RELAY_APPLIED);
	/* A version of an older term is older, though its counter is higher. */
	CU_ASSERT_EQUAL(put_slot(r, (struct dh_relay_version){ 1, 99 },
			    (struct dh_relay_version){ 0, 0 }, 3, 8),
	    DH_RELAY_OLD);
	dh_relay_free(r);
}

static void
test_change_needs_its_base(void)
{
	static uint8_t bytes[] = "XY";
	struct dh_relay *r = dh_relay_new(&params);
	struct dh_team_update u = { .team = "a",
		.version = 7,
		.base = 6,
		.offset = 1,
		.removed = 2,
		.len = 2,
		.bytes = bytes };

	CU_ASSERT_EQUAL(dh_relay_put_team(r, &u, 0), DH_RELAY_BASE_MISMATCH);
	(void)put_value(r, "a", 5, "abcde");
	CU_ASSERT_EQUAL(dh_relay_put_team(r, &u, 0), DH_RELAY_BASE_MISMATCH);
	(void)put_value(r, "a", 6, "abcde");
	u.removed = 5;
	CU_ASSERT_EQUAL(dh_relay_put_team(r, &u, 0), DH_RELAY_INVALID);
	u.removed = 2;
	CU_ASSERT_EQUAL(dh_relay_put_team(r, &u, 0), DH_RELAY_APPLIED);
	CU_ASSERT(holds_value(r, "a", 7, "aXYde"));
	CU_ASSERT_EQUAL(put_slot(r, (struct dh_relay_version){ 1, 2 },
			    (struct dh_relay_version){ 1, 1 }, 3, 7),
	    DH_RELAY_BASE_MISMATCH);
	CU_ASSERT_EQUAL(put_slot(r, (struct dh_relay_version){ 1, 2 },
			    (struct dh_relay_version){ 0, 0 }, 100, 7),
	    DH_RELAY_INVALID);
	dh_relay_free(r);
}

/* An older version doesn't restore a deleted object; a newer one does. */
static void
test_deleted_object_stays_deleted(void)
{
	struct dh_team_update gone = {
		.team = "a", .version = 6, .deleted = true
	};
	struct dh_relay *r = dh_relay_new(&params), *s = dh_relay_new(&params);
	struct dh_relay_object o;

	(void)put_value(r, "a", 5, "five");
	CU_ASSERT_EQUAL(dh_relay_put_team(r, &gone, 0), DH_RELAY_APPLIED);
	CU_ASSERT_EQUAL(put_value(r, "a", 5, "five"), DH_RELAY_OLD);
	CU_ASSERT(dh_relay_attach(r, 2, NULL, 0, NULL, 0));
	(void)send_updates(r, 1, s, 2);
	CU_ASSERT(dh_relay_find(s, DH_RELAY_TEAM, "a", &o) && o.deleted);
	CU_ASSERT_EQUAL(put_value(r, "a", 7, "again"), DH_RELAY_APPLIED);
	(void)send_updates(r, 1, s, 2);
	CU_ASSERT(holds_value(s, "a", 7, "again"));
	dh_relay_free(r);
	dh_relay_free(s);
}

static void
test_neighbour_gets_changes_only(void)
{
	struct dh_relay *r = dh_relay_new(&params), *s = dh_relay_new(&params);
	struct dh_relay_held held = { "a", { 0, 5 } };
	char value[1000];

	memset(value, 'x', sizeof(value));
	value[999] = '\0';
	(void)put_value(r, "a", 5, value);
	(void)put_value(s, "a", 5, value);
	CU_ASSERT(dh_relay_attach(r, 2, &held, 1, NULL, 0));
	CU_ASSERT_EQUAL(send_updates(r, 1, s, 2), 0);
	value[500] = 'y';
	(void)put_value(r, "a", 6, value);
	CU_ASSERT_EQUAL(send_updates(r, 1, s, 2), 1);
	CU_ASSERT(holds_value(s, "a", 6, value));
	/* A neighbour that is two versions behind is sent the whole value. */
	value[501] = 'z';
	(void)put_value(r, "a", 7, value);
	value[502] = 'z';
	(void)put_value(r, "a", 8, value);
	CU_ASSERT_EQUAL(send_updates(r, 1, s, 2), 999);
	CU_ASSERT(holds_value(s, "a", 8, value));

	(void)put_slot(r, (struct dh_relay_version){ 1, 1 },
	    (struct dh_relay_version){ 0, 0 }, 3, 7);
	CU_ASSERT_EQUAL(send_updates(r, 1, s, 2), 1);
	(void)put_slot(r, (struct dh_relay_version){ 1, 2 },
	    (struct dh_relay_version){ 1, 1 }, 4, 7);
	(void)put_slot(r, (struct dh_relay_version){ 1, 3 },
	    (struct dh_relay_version){ 1, 2 }, 5, 7);
	CU_ASSERT_EQUAL(send_updates(r, 1, s, 2), 2);
	/* An update that came from s is not sent back to s. */
	CU_ASSERT(dh_relay_attach(s, 1, NULL, 0, NULL, 0));
	(void)send_updates(s, 2, r, 1);
	(void)put_value(s, "b", 1, "new");
	CU_ASSERT_EQUAL(send_updates(s, 2, r, 1), 3);
	CU_ASSERT_EQUAL(send_updates(r, 1, s, 2), 0);
	dh_relay_free(r);
	dh_relay_free(s);
}

/* A slot's owner changes to another one and back.  A VM that held only the
 * first and the last version must not send a change to a VM that holds the
 * middle version, since the slot looks unchanged to it. */
static void
test_no_change_from_version_never_held(void)
{
	struct dh_relay_version v1 = { 1, 1 }, v2 = { 1, 2 }, v3 = { 1, 3 };
	struct dh_relay_version none = { 0, 0 };
	struct dh_relay *r = dh_relay_new(&params), *s = dh_relay_new(&params);
	struct dh_relay_held held = { "feed/0", v2 };
	struct dh_relay_object o;

	(void)put_slot(r, v1, none, 3, 7);
	(void)put_slot(r, v3, none, 3, 7);
	(void)put_slot(s, v2, none, 3, 8);
	CU_ASSERT(dh_relay_attach(r, 2, NULL, 0, &held, 1));
	(void)send_updates(r, 1, s, 2);
	CU_ASSERT_FATAL(dh_relay_find(s, DH_RELAY_TABLE, "feed/0", &o));
	CU_ASSERT_EQUAL(o.slots[3].owner, 7);
	CU_ASSERT_EQUAL(o.version.counter, 3);
	/* A VM rejects a change whose base isn't the version that it holds. */
	CU_ASSERT_EQUAL(
	    put_slot(s, (struct dh_relay_version){ 1, 5 }, v1, 4, 9),
	    DH_RELAY_BASE_MISMATCH);
	dh_relay_free(r);
	dh_relay_free(s);
}

/* A table with another number of slots is sent whole, even to neighbours that
 * hold the version before.  An update isn't sent back to the neighbour that it
 * came from. */
static void
test_resized_table_is_sent_whole(void)
{
	struct dh_relay *r = dh_relay_new(&params), *s = dh_relay_new(&params);
	struct dh_slot_update slot = { 150, { .owner = 9 } };
	struct dh_table_update u = { .group = "feed/0",
		.version = { 1, 2 },
		.nslots = 200,
		.n = 1,
		.slots = &slot };
	struct dh_relay_object o;

	CU_ASSERT(dh_relay_attach(r, 2, NULL, 0, NULL, 0));
	CU_ASSERT(dh_relay_attach(s, 1, NULL, 0, NULL, 0));
	(void)put_slot(r, (struct dh_relay_version){ 1, 1 },
	    (struct dh_relay_version){ 0, 0 }, 3, 7);
	CU_ASSERT_EQUAL(send_updates(r, 1, s, 2), 1);
	CU_ASSERT_EQUAL(send_updates(s, 2, r, 1), 0);
	CU_ASSERT_EQUAL(dh_relay_put_table(r, &u, 0), DH_RELAY_APPLIED);
	(void)send_updates(r, 1, s, 2);
	CU_ASSERT_FATAL(dh_relay_find(s, DH_RELAY_TABLE, "feed/0", &o));
	CU_ASSERT_EQUAL_FATAL(o.len, 200);
	CU_ASSERT_EQUAL(o.slots[150].owner, 9);
	CU_ASSERT_EQUAL(o.slots[3].owner, 0);
	dh_relay_free(r);
	dh_relay_free(s);
}

/* An object whose sending isn't confirmed, as with a full send queue, is
 * returned again in its newest version. */
static void
test_unconfirmed_send_is_repeated(void)
{
	struct dh_relay *r = dh_relay_new(&params);
	struct dh_relay_item item;

	CU_ASSERT(dh_relay_attach(r, 2, NULL, 0, NULL, 0));
	(void)put_value(r, "a", 1, "one");
	CU_ASSERT(dh_relay_next(r, 2, &item));
	(void)put_value(r, "a", 2, "two");
	CU_ASSERT(dh_relay_next(r, 2, &item));
	CU_ASSERT_EQUAL(item.team.version, 2);
	dh_relay_sent(r, 2, &item);
	CU_ASSERT_FALSE(dh_relay_next(r, 2, &item));
	/* The neighbour has restarted and holds nothing. */
	CU_ASSERT(dh_relay_attach(r, 2, NULL, 0, NULL, 0));
	CU_ASSERT(dh_relay_next(r, 2, &item));
	dh_relay_detach(r, 2);
	CU_ASSERT_FALSE(dh_relay_next(r, 2, &item));
	dh_relay_free(r);
}

static void
test_bounds(void)
{
	struct dh_relay *r = dh_relay_new(&params);
	char *big = calloc(1, params.bytes_max + 2), name[16];
	uint64_t i;

	memset(big, 'x', params.bytes_max + 1);
	CU_ASSERT_EQUAL(put_value(r, "a", 1, big), DH_RELAY_FULL);
	big[params.bytes_max] = '\0';
	CU_ASSERT_EQUAL(put_value(r, "a", 1, big), DH_RELAY_APPLIED);
	CU_ASSERT_EQUAL(put_value(r, "b", 1, "x"), DH_RELAY_FULL);
	CU_ASSERT_EQUAL(put_slot(r, (struct dh_relay_version){ 1, 1 },
			    (struct dh_relay_version){ 0, 0 }, 3, 7),
	    DH_RELAY_FULL);
	CU_ASSERT_EQUAL(put_value(r, "a", 2, "small"), DH_RELAY_APPLIED);
	for (i = dh_relay_count(r); i < params.objects_max; i++) {
		(void)snprintf(name, sizeof(name), "t%u", (unsigned int)i);
		CU_ASSERT_EQUAL(put_value(r, name, 1, "x"), DH_RELAY_APPLIED);
	}
	CU_ASSERT_EQUAL(put_value(r, "last", 1, "x"), DH_RELAY_FULL);
	for (i = 1; i <= params.neighbours_max; i++)
		CU_ASSERT(dh_relay_attach(r, i, NULL, 0, NULL, 0));
	CU_ASSERT_FALSE(dh_relay_attach(r, i, NULL, 0, NULL, 0));
	CU_ASSERT(dh_relay_attach(r, 1, NULL, 0, NULL, 0));
	free(big);
	dh_relay_free(r);
}

static void
test_pull_from_partner_ahead(void)
{
	struct dh_relay *r = dh_relay_new(&params), *s = dh_relay_new(&params);
	struct dh_relay_summary other;

	(void)put_value(r, "a", 1, "one");
	(void)put_value(s, "a", 2, "two");
	other = dh_relay_summary(s);
	CU_ASSERT_FALSE(dh_relay_compare(r, 2, &other, 100));
	CU_ASSERT_FALSE(dh_relay_compare(r, 2, &other, 1099));
	CU_ASSERT(dh_relay_compare(r, 2, &other, 1100));
	CU_ASSERT_FALSE(dh_relay_compare(r, 2, &other, 1200));
	/* A partner that is behind has to pull itself. */
	other = dh_relay_summary(r);
	CU_ASSERT_FALSE(dh_relay_compare(s, 1, &other, 100));
	CU_ASSERT_FALSE(dh_relay_compare(s, 1, &other, 9999));
	/* The VM has received the update over the tree meanwhile. */
	(void)put_value(r, "a", 2, "two");
	other = dh_relay_summary(s);
	CU_ASSERT_FALSE(dh_relay_compare(r, 2, &other, 9999));
	dh_relay_free(r);
	dh_relay_free(s);
}

#define NODES 12
#define ROUNDS 4000

/* In a random tree whose links break and move while new versions are inserted
 * at any node, no node returns to an older version, and all nodes end with the
 * newest one. */
static void
test_random_tree_converges(void)
{
	struct dh_relay *node[NODES];
	uint64_t seen[NODES] = { 0 }, version = 0;
	struct dh_relay_object o;
	uint32_t round, i, parent[NODES], rnd = 11;
	char value[64];

	for (i = 0; i < NODES; i++) {
		node[i] = dh_relay_new(&params);
		parent[i] = NODES;
	}
	for (round = 0; round < ROUNDS + 200; round++) {
		rnd = rnd * 1103515245U + 12345U;
		i = (rnd >> 16) % NODES;
		if (round < ROUNDS && (rnd >> 8) % 4 == 0) {
			(void)snprintf(value, sizeof(value), "%u-%u-%s",
			    rnd % 3, rnd, "tail");
			version++;
			(void)put_value(node[i], "a", version, value);
			(void)put_slot(node[i],
			    (struct dh_relay_version){ 1, version },
			    (struct dh_relay_version){ 0, 0 }, version % 100,
			    version);
		}
		if (i > 0 && (parent[i] == NODES || (rnd >> 5) % 16 == 0)) {
			if (parent[i] != NODES) {
				dh_relay_detach(node[i], 1 + parent[i]);
				dh_relay_detach(node[parent[i]], 1 + i);
			}
			parent[i] = i > 8 ? (rnd >> 20) % 8 : (i - 1) / 2;
			if (!dh_relay_attach(
				node[parent[i]], 1 + i, NULL, 0, NULL, 0)) {
				parent[i] = NODES;
				continue;
			}
			(void)dh_relay_attach(
			    node[i], 1 + parent[i], NULL, 0, NULL, 0);
		}
		if (parent[i] != NODES) {
			(void)send_updates(
			    node[i], 1 + i, node[parent[i]], 1 + parent[i]);
			(void)send_updates(
			    node[parent[i]], 1 + parent[i], node[i], 1 + i);
		}
		for (i = 0; i < NODES; i++) {
			if (!dh_relay_find(node[i], DH_RELAY_TEAM, "a", &o))
				continue;
			CU_ASSERT(o.version.counter >= seen[i]);
			seen[i] = o.version.counter;
		}
	}
	for (i = 0; i < NODES; i++) {
		CU_ASSERT_EQUAL(seen[i], version);
		CU_ASSERT_EQUAL(dh_relay_summary(node[i]).team_digest,
		    dh_relay_summary(node[0]).team_digest);
		CU_ASSERT_FATAL(
		    dh_relay_find(node[i], DH_RELAY_TABLE, "feed/0", &o));
		CU_ASSERT_EQUAL(o.slots[version % 100].owner, version);
	}
	for (i = 0; i < NODES; i++)
		dh_relay_free(node[i]);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "table contains leader", test_table_contains_leader },
		{ "older versions ignored", test_older_versions_are_ignored },
		{ "change needs its base", test_change_needs_its_base },
		{ "deleted object", test_deleted_object_stays_deleted },
		{ "only changes sent", test_neighbour_gets_changes_only },
		{ "change from version not held",
		    test_no_change_from_version_never_held },
		{ "number of slots changes", test_resized_table_is_sent_whole },
		{ "unconfirmed send repeated",
		    test_unconfirmed_send_is_repeated },
		{ "bounds", test_bounds },
		{ "pull from partner ahead", test_pull_from_partner_ahead },
		{ "random tree converges", test_random_tree_converges },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("relay", tests);
}
