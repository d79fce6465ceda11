#ifndef DOGWOODHUB_MEMBER_H
#define DOGWOODHUB_MEMBER_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * Membership of the VMs that run the system: which VMs are alive, which links
 * each VM keeps, which VMs watch the store and from which VM the others receive
 * what the watchers read.
 *
 * This is a state machine without I/O: it takes events and the time, and
 * returns actions.  Its view is only a hint: two VMs may have different views
 * at any time, so no safety property may depend on it.
 *
 * VMs are identified by dh_name_id() of their names.
 */

enum dh_member_state {
	DH_MEMBER_LIVE,
	DH_MEMBER_SUSPECT, /* sends no heartbeats, but is not yet GONE */
	DH_MEMBER_LEAVING, /* still answers, but is shutting down */
	DH_MEMBER_GONE, /* this incarnation is considered dead */
};

/*
 * The state of one VM, as VMs send it to each other.  Of two records of a VM
 * the one with the higher (incarnation, version) wins; if these are equal, the
 * one with the later state in enum dh_member_state.  Only the VM itself raises
 * its version.  So records may be merged in any order and any number of times,
 * and a VM that is declared GONE by mistake refutes that with a higher version.
 * SUSPECT is local to a VM and never sent.
 */
struct dh_member_record {
	char name[DH_NAME_MAX];
	uint64_t incarnation; /* higher at each start of the VM's process */
	uint64_t version; /* higher at each change by the VM itself */
	enum dh_member_state state;
	char zone[DH_NAME_MAX];
	char region[DH_NAME_MAX];
	char address[DH_ADDRESS_MAX];
	uint16_t peer_port;
};

struct dh_member_params {
	int64_t heartbeat_ms; /* interval of heartbeats on each link */
	int64_t suspect_ms; /* a VM without a heartbeat for longer than this is
			     * SUSPECT */
	/* The same two for more than mesh_max VMs.  sparse_heartbeat_ms must be
	 * less than suspect_ms, since VMs may disagree on the number of VMs. */
	int64_t sparse_heartbeat_ms;
	int64_t sparse_suspect_ms;
	int64_t choice_interval_ms; /* minimum time between two choices of links
				     * and parent */
	/* Backoff before this VM declares another one GONE again, after that VM
	 * has refuted it: doubles from declare_backoff_min_ms up to
	 * declare_backoff_max_ms. */
	int64_t declare_backoff_min_ms;
	int64_t declare_backoff_max_ms;
	int64_t gone_retention_ms; /* how long a GONE record is kept */
	int64_t pull_delay_ms; /* a VM whose view differs for this long is asked
				* for its records */
	int64_t parent_avoid_ms; /* how long a VM is not chosen as parent again
				  * after it redirected this VM or its link
				  * failed */
	uint32_t mesh_max; /* up to this many VMs form a full mesh */
	uint32_t degree; /* with more VMs: links that each VM chooses; other VMs
			  * choose as many links to it */
	uint32_t watchers; /* number of VMs that watch the store */
	uint32_t fanout; /* ratio of the sizes of two successive tiers of the
			  * relay tree */
	uint32_t records_max; /* limit of records */
};

/* dh_member_params_defaults -- defaults for 2 to 10,000 VMs. */
void dh_member_params_defaults(struct dh_member_params *p);

/* A VM's state in the platform's list of VMs. */
enum dh_member_listed {
	DH_MEMBER_LISTED_NEVER,
	DH_MEMBER_LISTED_LIVE,
	DH_MEMBER_LISTED_LEAVING,
	DH_MEMBER_LISTED_MISSING, /* was listed earlier and no longer is */
};

enum dh_member_link {
	DH_MEMBER_LINK_UP,
	DH_MEMBER_LINK_DOWN, /* closed or replaced: the VM may still run */
	DH_MEMBER_LINK_LOST, /* no data, on a new connection either */
	DH_MEMBER_LINK_REFUSED, /* the VM's address refuses connections */
};

enum dh_member_event_kind {
	DH_MEMBER_TICK,
	DH_MEMBER_RECORD, /* a record from the store or from another VM */
	DH_MEMBER_LISTED, /* a VM's state in the platform's list */
	DH_MEMBER_HEARTBEAT, /* a heartbeat from a VM */
	DH_MEMBER_LINK, /* result of a link or connection attempt to a VM */
	DH_MEMBER_REDIRECTED, /* the parent redirected this VM elsewhere */
	DH_MEMBER_PARTNERS, /* the VMs to which groups need links */
	DH_MEMBER_LEAVE, /* this process is shutting down */
};

struct dh_member_event {
	enum dh_member_event_kind kind;
	uint64_t vm; /* VM that a LISTED, HEARTBEAT, LINK or REDIRECTED
		      * is about */
	union {
		const struct dh_member_record *record;
		enum dh_member_listed listed;
		struct {
			uint64_t incarnation;
			uint64_t digest;
		} heartbeat;
		enum dh_member_link link;
		struct {
			const uint64_t *list;
			size_t n;
		} partners;
	};
};

enum dh_member_action_kind {
	DH_MEMBER_DO_HEARTBEAT, /* send a heartbeat on every link that is up */
	DH_MEMBER_DO_LINK, /* open a link to vm, unless vm has opened one */
	DH_MEMBER_DO_UNLINK, /* the link to vm is no longer wanted */
	DH_MEMBER_DO_SEND, /* send records to vm; 0: on every link */
	DH_MEMBER_DO_PULL, /* ask vm for its records */
	DH_MEMBER_DO_WATCH, /* start or stop watching the store */
	DH_MEMBER_DO_SET_PARENT, /* make vm the relay parent; 0: no parent */
	DH_MEMBER_DO_VIEW_CHANGED, /* the view has changed */
	DH_MEMBER_DO_STOP, /* a newer process has this VM's name */
};

/* An action owns only the memory of records. */
struct dh_member_action {
	enum dh_member_action_kind kind;
	uint64_t vm;
	bool on; /* DO_WATCH: whether to start (true) or stop */
	size_t n;
	struct dh_member_record *records; /* DO_SEND: the records to send */
};

/* The caller owns the list and frees it with dh_member_actions_free(). */
struct dh_member_actions {
	struct dh_member_action *list;
	size_t n, size;
};

void dh_member_actions_clear(struct dh_member_actions *a);
void dh_member_actions_free(struct dh_member_actions *a);

struct dh_membership;

/*
 * dh_member_new -- returns the membership of the VM that self describes.  self
 * is copied and gives this VM's name, incarnation, zone, region and addresses.
 * The caller frees the result.  Memory is bounded by records_max; the process
 * aborts if it cannot allocate a record.
 */
struct dh_membership *dh_member_new(
    const struct dh_member_params *p, const struct dh_member_record *self);
void dh_member_free(struct dh_membership *v);

void dh_member_step(struct dh_membership *v, const struct dh_member_event *ev,
    int64_t now_ms, struct dh_member_actions *out);

/* dh_member_next_ms -- time at which the next TICK is due. */
int64_t dh_member_next_ms(const struct dh_membership *v);

/* One VM of the view, valid until the next dh_member_step(). */
struct dh_member_info {
	uint64_t id;
	enum dh_member_state state;
	enum dh_member_listed listed;
	const struct dh_member_record *record;
};

/* dh_member_at -- returns VM i, in [0, dh_member_count()); this VM is included.
 * dh_member_find -- finds a VM by id; false if it has no record. */
size_t dh_member_count(const struct dh_membership *v);
struct dh_member_info dh_member_at(const struct dh_membership *v, size_t i);
bool dh_member_find(
    const struct dh_membership *v, uint64_t id, struct dh_member_info *out);

/* dh_member_digest -- hash of all records that are not GONE.  Equal views have
 * equal digests; SUSPECT does not affect it. */
uint64_t dh_member_digest(const struct dh_membership *v);

/* dh_member_watches_store -- whether this VM should watch the store.
 * dh_member_parent -- this VM's parent in the relay tree; 0: none. */
bool dh_member_watches_store(const struct dh_membership *v);
uint64_t dh_member_parent(const struct dh_membership *v);

#endif
