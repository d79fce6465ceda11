#ifndef DOGWOODHUB_RELAY_H
#define DOGWOODHUB_RELAY_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/group.h>
#include <dogwoodhub/types.h>

/*
 * Relay of configuration (one object a team) and of routing tables (one a
 * group) over the tree that the membership chooses: what this VM holds, and
 * what each neighbour in the tree still lacks.
 *
 * Neighbours are the parent and the children alike: what comes from one goes
 * to all others, so that a group's leader may put in a table anywhere.  No
 * object ever goes back to an older version, and applying an update again
 * changes nothing.  Pure, and without a clock but for dh_relay_compare().
 */

/* Ordered by term, then counter.  A team's object has term 0 and the store's
 * version as its counter. */
struct dh_relay_version {
	uint64_t term;
	uint64_t counter;
};

/*
 * A team's object: its whole value (base 0), or the change from version base
 * on: at offset, `removed` bytes are replaced by the `len` bytes given.
 */
struct dh_team_update {
	char team[DH_NAME_MAX];
	uint64_t version;
	uint64_t base;
	bool deleted;
	uint32_t offset;
	uint32_t removed;
	uint32_t len;
	const uint8_t *bytes;
};

struct dh_slot_update {
	uint32_t slot;
	struct dh_assignment assignment;
};

/* A group's slots: all of them (base is 0.0), or those that changed since
 * version base. */
struct dh_table_update {
	char group[DH_GROUP_NAME_MAX];
	struct dh_relay_version version;
	struct dh_relay_version base;
	uint32_t nslots; /* of the group */
	uint32_t n;
	struct dh_slot_update *slots;
	uint64_t leader, deputy; /* VMs, in the version's term */
};

enum dh_relay_kind { DH_RELAY_TEAM, DH_RELAY_TABLE };

/* What a VM holds of one object. */
struct dh_relay_held {
	char name[DH_GROUP_NAME_MAX];
	struct dh_relay_version version;
};

struct dh_relay_params {
	uint32_t objects_max; /* teams and groups */
	size_t bytes_max; /* of their values together */
	uint32_t neighbours_max;
	int64_t pull_ms; /* a partner that is ahead so long is asked */
};

/* dh_relay_params_defaults -- within a node's share of memory. */
void dh_relay_params_defaults(struct dh_relay_params *p);

enum dh_relay_result {
	DH_RELAY_APPLIED,
	DH_RELAY_OLD, /* not newer than what is held: nothing changed */
	DH_RELAY_GAP, /* a change of a version not held: pull */
	DH_RELAY_FULL, /* above objects_max or bytes_max: not taken */
	DH_RELAY_INVALID, /* the change does not fit its base */
};

struct dh_relay;

/* dh_relay_new -- the caller owns it.  A process without memory for what the
 * bounds allow aborts. */
struct dh_relay *dh_relay_new(const struct dh_relay_params *p);
void dh_relay_free(struct dh_relay *r);

/*
 * dh_relay_put_team, dh_relay_put_table -- take an update from neighbour
 * `from`, or 0 for the store or a leader on this VM.  Copied.
 */
enum dh_relay_result dh_relay_put_team(
    struct dh_relay *r, const struct dh_team_update *u, uint64_t from);
enum dh_relay_result dh_relay_put_table(
    struct dh_relay *r, const struct dh_table_update *u, uint64_t from);

/* An object as it is held; borrowed, valid until the next put. */
struct dh_relay_object {
	enum dh_relay_kind kind;
	const char *name;
	struct dh_relay_version version;
	bool deleted; /* a team's object that is no more */
	uint32_t len; /* bytes of a team's, slots of a group's */
	const uint8_t *bytes;
	const struct dh_assignment *slots;
	uint64_t leader, deputy; /* of a group */
};

size_t dh_relay_count(const struct dh_relay *r);
struct dh_relay_object dh_relay_at(const struct dh_relay *r, size_t i);
bool dh_relay_find(const struct dh_relay *r, enum dh_relay_kind kind,
    const char *name, struct dh_relay_object *out);

/*
 * dh_relay_attach -- from now on `vm` is a neighbour that holds these
 * versions; again for one that is attached already.  False when there are
 * neighbours_max: it has to go elsewhere.
 */
bool dh_relay_attach(struct dh_relay *r, uint64_t vm,
    const struct dh_relay_held *teams, uint32_t nteams,
    const struct dh_relay_held *tables, uint32_t ntables);
void dh_relay_detach(struct dh_relay *r, uint64_t vm);

/* One object that a neighbour lacks: whole, or as a change from the version
 * that it holds.  Borrowed, valid until the next call on r. */
struct dh_relay_item {
	enum dh_relay_kind kind;
	size_t object;
	union {
		struct dh_team_update team;
		struct dh_table_update table;
	};
};

/*
 * dh_relay_next -- the next object to send to a neighbour; false if it lacks
 * none.  dh_relay_sent() says that it was sent; without that it comes again.
 * A neighbour that is slow gets the newest version only.
 */
bool dh_relay_next(struct dh_relay *r, uint64_t vm, struct dh_relay_item *item);
void dh_relay_sent(
    struct dh_relay *r, uint64_t vm, const struct dh_relay_item *item);

/* What a heartbeat says of the versions held. */
struct dh_relay_summary {
	uint64_t team_digest; /* equal for equal versions */
	uint64_t table_digest;
	uint64_t team_sum; /* only rises: the configuration's revision */
	uint64_t table_sum; /* only rises */
};

struct dh_relay_summary dh_relay_summary(const struct dh_relay *r);

/*
 * dh_relay_compare -- a partner's heartbeat came with this summary.  True
 * when the partner has held something that this VM lacks for pull_ms: pull
 * from it.  Mends what the tree left out.
 */
bool dh_relay_compare(struct dh_relay *r, uint64_t vm,
    const struct dh_relay_summary *s, int64_t now_ms);

#endif
