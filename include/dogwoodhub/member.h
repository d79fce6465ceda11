#ifndef DOGWOODHUB_MEMBER_H
#define DOGWOODHUB_MEMBER_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * Membership of the VMs that run the system: who is there, who talks to whom,
 * who watches the store and from whom the others hear.
 *
 * A pure state machine like struct dh_group: events and the time go in,
 * actions come out.  What it says is advice: no safety rests on it, since two
 * VMs may hold different views at any moment.
 *
 * VMs are named by dh_name_id().
 */

enum dh_member_state {
	DH_MEMBER_LIVE,
	DH_MEMBER_SUSPECT, /* silent; not yet given up */
	DH_MEMBER_LEAVING, /* answers, but shuts down */
	DH_MEMBER_GONE, /* this incarnation is taken for lost */
};

/*
 * What is known of one VM, as it travels between VMs.  Of two records of a VM
 * the one with the higher (incarnation, version) counts, then the worse
 * state; only the VM itself raises its version.  So records may be merged in
 * any order and any number of times, and a VM that was given up too early
 * answers with a higher version.  SUSPECT never travels.
 */
struct dh_member_record {
	char name[DH_NAME_MAX];
	uint64_t incarnation; /* rises with every start of its process */
	uint64_t version; /* rises with every word it says of itself */
	enum dh_member_state state;
	char zone[DH_NAME_MAX];
	char region[DH_NAME_MAX];
	char address[DH_ADDRESS_MAX];
	uint16_t peer_port;
};

struct dh_member_params {
	int64_t heartbeat_ms; /* between heartbeats on every link */
	int64_t suspect_ms; /* silence that makes a partner suspect */
	int64_t sparse_heartbeat_ms; /* likewise, above mesh_max VMs; shorter */
	int64_t sparse_suspect_ms; /* than suspect_ms, as views may differ */
	int64_t settle_ms; /* shortest time between two choices */
	int64_t hold_min_ms; /* after a refuted accusation: doubles, */
	int64_t hold_max_ms; /* before this VM accuses that one again */
	int64_t forget_ms; /* a GONE record is kept so long */
	int64_t pull_ms; /* views that differ so long are compared */
	int64_t avoid_ms; /* a parent that sent us away is avoided */
	uint32_t mesh_max; /* up to so many VMs all talk to all */
	uint32_t degree; /* partners each VM chooses beyond that; as many
			  * choose it */
	uint32_t watchers; /* VMs that watch the store */
	uint32_t fanout; /* of the relay tree */
	uint32_t records_max;
};

/* dh_member_params_defaults -- fit for 2 to 10,000 VMs. */
void dh_member_params_defaults(struct dh_member_params *p);

enum dh_member_listed {
	DH_MEMBER_LISTED_NEVER,
	DH_MEMBER_LISTED_LIVE,
	DH_MEMBER_LISTED_LEAVING,
	DH_MEMBER_LISTED_MISSING, /* was listed before, is no more */
};

enum dh_member_link {
	DH_MEMBER_LINK_UP,
	DH_MEMBER_LINK_DOWN, /* closed, or replaced: says nothing */
	DH_MEMBER_LINK_LOST, /* silent, and a new connection likewise */
	DH_MEMBER_LINK_REFUSED, /* its address refuses connections */
};

enum dh_member_event_kind {
	DH_MEMBER_TICK,
	DH_MEMBER_LEARN, /* a record, from the store or another VM */
	DH_MEMBER_LISTED, /* what the platform's list says of one VM */
	DH_MEMBER_HEARD, /* a heartbeat */
	DH_MEMBER_LINK, /* of a link to it, or an attempt */
	DH_MEMBER_MOVED, /* a parent sent us away */
	DH_MEMBER_PARTNERS, /* VMs that groups need links to */
	DH_MEMBER_LEAVE, /* this process shuts down */
};

struct dh_member_event {
	enum dh_member_event_kind kind;
	uint64_t vm; /* LISTED, HEARD, LINK, MOVED */
	union {
		const struct dh_member_record *record;
		enum dh_member_listed listed;
		struct {
			uint64_t incarnation;
			uint64_t digest;
		} heard;
		enum dh_member_link link;
		struct {
			const uint64_t *list;
			size_t n;
		} partners;
	};
};

enum dh_member_action_kind {
	DH_MEMBER_DO_BEAT, /* a heartbeat on every link that is up */
	DH_MEMBER_DO_LINK, /* want a link to vm: one that vm made will do */
	DH_MEMBER_DO_UNLINK, /* the link to vm is no longer wanted */
	DH_MEMBER_DO_SEND, /* records to vm; 0: on every link */
	DH_MEMBER_DO_PULL, /* ask vm for its records */
	DH_MEMBER_DO_WATCH, /* watch the store, or stop */
	DH_MEMBER_DO_ATTACH, /* hear from vm; 0: from nobody */
	DH_MEMBER_DO_VIEW, /* the view has changed */
	DH_MEMBER_DO_STOP, /* a newer process has this VM's name */
};

/* Actions hold no memory of their own but `records`. */
struct dh_member_action {
	enum dh_member_action_kind kind;
	uint64_t vm;
	bool on; /* WATCH */
	size_t n;
	struct dh_member_record *records; /* SEND */
};

/* Owned by the caller like struct dh_group_actions. */
struct dh_member_actions {
	struct dh_member_action *list;
	size_t n, size;
};

void dh_member_actions_clear(struct dh_member_actions *a);
void dh_member_actions_free(struct dh_member_actions *a);

struct dh_membership;

/*
 * dh_member_new -- self is copied: this VM's name, incarnation, zone, region
 * and addresses.  The caller owns the result.  Memory is bounded by
 * records_max; a process without memory for a record aborts.
 */
struct dh_membership *dh_member_new(
    const struct dh_member_params *p, const struct dh_member_record *self);
void dh_member_free(struct dh_membership *v);

void dh_member_step(struct dh_membership *v, const struct dh_member_event *ev,
    int64_t now_ms, struct dh_member_actions *out);

/* dh_member_next_ms -- when the next TICK is due. */
int64_t dh_member_next_ms(const struct dh_membership *v);

/* One VM of the view; borrowed, valid until the next step. */
struct dh_member_info {
	uint64_t id;
	enum dh_member_state state;
	enum dh_member_listed listed;
	const struct dh_member_record *record;
};

/* dh_member_at -- by place, in [0, dh_member_count()); self is among them.
 * dh_member_find -- by id; false if not known. */
size_t dh_member_count(const struct dh_membership *v);
struct dh_member_info dh_member_at(const struct dh_membership *v, size_t i);
bool dh_member_find(
    const struct dh_membership *v, uint64_t id, struct dh_member_info *out);

/* dh_member_digest -- equal for equal views, up to SUSPECT and GONE. */
uint64_t dh_member_digest(const struct dh_membership *v);

bool dh_member_watches(const struct dh_membership *v);
uint64_t dh_member_parent(const struct dh_membership *v);

#endif
