#ifndef DOGWOODHUB_RELAY_H
#define DOGWOODHUB_RELAY_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/group.h>
#include <dogwoodhub/types.h>

/*
 * Relay of configuration objects (one per team) and routing tables (one per
 * group) over the tree of VMs that the membership chooses.  The relay keeps
 * the objects that this VM holds and the versions that each neighbour in the
 * tree holds, and computes the updates that each neighbour still lacks.
 *
 * The neighbours of a VM are its parent and its children, without a difference
 * between them: an update from one neighbour is sent to all others, so that a
 * group's leader may insert its table at any VM.  An object never returns to an
 * older version, and updates are idempotent.  The functions do no input or
 * output and read no clock; only dh_relay_compare() depends on the time, which
 * it is given.
 */

/* A version, ordered by term, then counter.  A team's object has term 0 and
 * the store's version as its counter.  0.0 stands for no version. */
struct dh_relay_version {
	uint64_t term;
	uint64_t counter;
};

/*
 * An update of a team's object: its whole value (base 0), or the change from
 * version base, in which `removed` bytes at offset are replaced by the `len`
 * bytes given.
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

/* An update of a group's routing table: all owned slots (base is 0.0), or the
 * slots that changed since version base. */
struct dh_table_update {
	char group[DH_GROUP_NAME_MAX];
	struct dh_relay_version version;
	struct dh_relay_version base;
	uint32_t nslots; /* slots of the group */
	uint32_t n; /* entries in slots */
	struct dh_slot_update *slots;
	uint64_t leader, deputy; /* VMs with these roles in version's term */
};

enum dh_relay_kind { DH_RELAY_TEAM, DH_RELAY_TABLE };

/* The version that a VM holds of one object. */
struct dh_relay_held {
	char name[DH_GROUP_NAME_MAX];
	struct dh_relay_version version;
};

struct dh_relay_params {
	uint32_t objects_max; /* objects of teams and groups */
	size_t bytes_max; /* total size of their values */
	uint32_t neighbours_max;
	int64_t pull_ms; /* time that a partner is ahead before a pull */
};

/* dh_relay_params_defaults -- set the default parameters, which fit into the
 * share of a VM's memory that is meant for the relay. */
void dh_relay_params_defaults(struct dh_relay_params *p);

enum dh_relay_result {
	DH_RELAY_APPLIED,
	DH_RELAY_OLD, /* ignored: not newer than the version held */
	DH_RELAY_BASE_MISMATCH, /* rejected: base is not the version held; pull
				 */
	DH_RELAY_FULL, /* rejected: above objects_max or bytes_max */
	DH_RELAY_INVALID, /* rejected: the change does not fit its base */
};

struct dh_relay;

/* dh_relay_new -- create a relay, which the caller frees with dh_relay_free().
 * This and all other functions abort the process if out of memory. */
struct dh_relay *dh_relay_new(const struct dh_relay_params *p);
void dh_relay_free(struct dh_relay *r);

/*
 * dh_relay_put_team, dh_relay_put_table -- apply an update that comes from
 * neighbour `from`; 0 stands for the store or a leader on this VM.  The relay
 * copies what it keeps of the update.
 */
enum dh_relay_result dh_relay_put_team(
    struct dh_relay *r, const struct dh_team_update *u, uint64_t from);
enum dh_relay_result dh_relay_put_table(
    struct dh_relay *r, const struct dh_table_update *u, uint64_t from);

/* An object that this VM holds.  The pointers are owned by the relay and valid
 * until the next put. */
struct dh_relay_object {
	enum dh_relay_kind kind;
	const char *name;
	struct dh_relay_version version;
	bool deleted; /* a team's object that has been deleted */
	uint32_t len; /* bytes of a team's object, slots of a group */
	const uint8_t *bytes;
	const struct dh_assignment *slots;
	uint64_t leader, deputy; /* VMs with these roles in a group */
};

/* dh_relay_count, dh_relay_at, dh_relay_find -- return the number of objects
 * held, the object at an index, or the object of that kind and name.
 * dh_relay_find() returns false if there is none. */
size_t dh_relay_count(const struct dh_relay *r);
struct dh_relay_object dh_relay_at(const struct dh_relay *r, size_t i);
bool dh_relay_find(const struct dh_relay *r, enum dh_relay_kind kind,
    const char *name, struct dh_relay_object *out);

/*
 * dh_relay_attach -- add `vm` as a neighbour that holds the given versions, or
 * replace the versions of a neighbour.  Returns false if there are
 * neighbours_max others: the VM has to attach elsewhere.  dh_relay_detach()
 * removes the neighbour.
 */
bool dh_relay_attach(struct dh_relay *r, uint64_t vm,
    const struct dh_relay_held *teams, uint32_t nteams,
    const struct dh_relay_held *tables, uint32_t ntables);
void dh_relay_detach(struct dh_relay *r, uint64_t vm);

/* An update that a neighbour lacks: the whole object, or the change from the
 * version that the neighbour holds.  The pointers are owned by the relay and
 * valid until the next call for it. */
struct dh_relay_item {
	enum dh_relay_kind kind;
	size_t object; /* index for dh_relay_at() */
	union {
		struct dh_team_update team;
		struct dh_table_update table;
	};
};

/*
 * dh_relay_next -- get the next update to send to a neighbour; returns false if
 * the neighbour lacks none.  The caller confirms with dh_relay_sent() that the
 * update was sent; otherwise the object is returned again.  A slow neighbour is
 * sent only the newest version of an object.
 */
bool dh_relay_next(struct dh_relay *r, uint64_t vm, struct dh_relay_item *item);
void dh_relay_sent(
    struct dh_relay *r, uint64_t vm, const struct dh_relay_item *item);

/* Summary of the versions that a VM holds, sent in heartbeats.  The sums never
 * fall. */
struct dh_relay_summary {
	uint64_t team_digest; /* hash of all versions of teams' objects */
	uint64_t table_digest; /* hash of all versions of tables */
	uint64_t team_sum; /* sum of versions: the configuration's revision */
	uint64_t table_sum;
};

struct dh_relay_summary dh_relay_summary(const struct dh_relay *r);

/*
 * dh_relay_compare -- compare the summary in a partner's heartbeat with that of
 * this VM.  Returns true if the partner has been ahead for pull_ms; the caller
 * then pulls from the partner.  This repairs updates that the tree has lost.
 */
bool dh_relay_compare(struct dh_relay *r, uint64_t vm,
    const struct dh_relay_summary *s, int64_t now_ms);

#endif
