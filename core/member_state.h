#ifndef DH_CORE_MEMBER_STATE_H
#define DH_CORE_MEMBER_STATE_H

#include <dogwoodhub/member.h>

/*
 * The state of a membership, shared by core/member.c (records, events and
 * timeouts) and core/overlay.c (choice of links, watchers and parent).
 */

/* One VM. */
struct member {
	uint64_t id;
	uint64_t rank; /* order in the relay tree: the root has the lowest */
	struct dh_member_record rec;
	enum dh_member_state
	    view_state; /* state at the last dh_overlay_choose() */
	enum dh_member_listed listed;
	int64_t heard_ms; /* time of the last heartbeat; 0: none, or outdated */
	int64_t gone_ms; /* time at which the record became GONE */
	int64_t declare_backoff_ms; /* current backoff; 0: none so far */
	/* Time before which this VM does not declare it GONE. */
	int64_t declare_not_before_ms;
	int64_t avoid_until_ms; /* until when it is not chosen as parent */
	/* Time since which its view differs from this VM's; 0: equal. */
	int64_t diverged_since_ms;
	bool link_up;
	bool link_wanted; /* this VM has requested a link to it */
	bool link_chosen; /* dh_overlay_choose() made it a partner or the parent
			   */
	bool group_partner; /* a group needs a link to it */
	bool declared_gone; /* this VM declared it GONE */
	bool is_neighbour; /* it is in neighbours of the membership */
	bool send_pending; /* its record is to be sent on every link */
};

struct dh_membership {
	struct dh_member_params p;
	struct member *self;
	struct member **all; /* every known VM, sorted by id */
	size_t n, size;
	struct member **neighbours; /* VMs with a link, or a wanted one */
	size_t nneighbours, neighbours_size;
	struct member **ranked; /* live VMs and this VM, sorted by rank */
	size_t nranked, ranked_size;
	uint64_t digest;
	uint64_t parent; /* VM that is the relay parent; 0: none */
	bool watches_store;
	bool partial_mesh; /* too many VMs for a full mesh */
	bool choice_due; /* dh_overlay_choose() is to be called */
	bool view_changed;
	bool any_send_pending; /* send_pending is set for some VM */
	bool stop_requested; /* DO_STOP was returned */
	bool pull_requested; /* some VM was asked for its records at start */
	int64_t last_tick_ms;
	int64_t next_heartbeat_ms;
	int64_t last_choice_ms; /* time of the last dh_overlay_choose() */
	int64_t last_purge_ms; /* time of the last deletion of GONE records */
	int64_t avoid_expiry_ms; /* end of the last avoid time; 0: none */
};

/* dh_member_hash -- hash of two values, the same on every VM. */
static inline uint64_t
dh_member_hash(uint64_t a, uint64_t b)
{
	uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

/* dh_member_lookup -- returns the VM with this id, or NULL. */
struct member *dh_member_lookup(const struct dh_membership *v, uint64_t id);

/* dh_member_state_of -- state of a VM by its record and its heartbeats. */
enum dh_member_state dh_member_state_of(
    const struct dh_membership *v, const struct member *m, int64_t now);

/* dh_member_add_neighbour -- adds m to v->neighbours, for a link that is up or
 * wanted. */
void dh_member_add_neighbour(struct dh_membership *v, struct member *m);

/* dh_member_add_action -- appends an action.  The result is valid until the
 * next call. */
struct dh_member_action *dh_member_add_action(struct dh_member_actions *out,
    enum dh_member_action_kind kind, uint64_t vm);

/*
 * dh_overlay_choose -- chooses the VMs to link to, the parent in the relay tree
 * and whether to watch the store.  Adds actions for what has changed.
 */
void dh_overlay_choose(
    struct dh_membership *v, int64_t now, struct dh_member_actions *out);

#endif
