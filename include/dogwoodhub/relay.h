#ifndef DOGWOODHUB_RELAY_H
#define DOGWOODHUB_RELAY_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/group.h>
#include <dogwoodhub/types.h>

/*
 * Relay of configuration (one object a team) and of routing tables (one a
 * group) from the VMs that watch the store to all others.
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
	uint8_t *bytes;
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
};

/* What a VM holds of one object. */
struct dh_relay_held {
	char name[DH_GROUP_NAME_MAX];
	struct dh_relay_version version;
};

#endif
