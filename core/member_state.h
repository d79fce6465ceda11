#ifndef DH_CORE_MEMBER_STATE_H
#define DH_CORE_MEMBER_STATE_H

#include <dogwoodhub/member.h>

/*
 * The state of a membership, shared by core/member.c (records, events, time)
 * and core/overlay.c (who talks to whom).
 */
struct member {
	uint64_t id;
	uint64_t rank; /* place in the relay tree: lower is nearer the root */
	struct dh_member_record rec;
	enum dh_member_state shown; /* at the last choice */
	enum dh_member_listed listed;
	int64_t heard_ms; /* last heartbeat; 0: none counts */
	int64_t gone_ms; /* when its record became GONE */
	int64_t hold_ms; /* length of the next hold */
	int64_t hold_until_ms; /* not accused by us before */
	int64_t avoid_until_ms; /* not our parent before */
	int64_t differs_ms; /* since when its view differs; 0: equal */
	bool up; /* a link stands */
	bool wanted; /* we asked for a link */
	bool chosen; /* scratch of choose() */
	bool grouped; /* partner in a group */
	bool accused; /* GONE is our own word */
	bool near; /* on v->near */
	bool spread; /* its record is to be sent */
};

struct dh_membership {
	struct dh_member_params p;
	struct member *self;
	struct member **all; /* sorted by id */
	size_t n, size;
	struct member **near; /* those with a link, or that should have one */
	size_t nnear, near_size;
	struct member **ranked; /* live ones, sorted by rank */
	size_t nranked, ranked_size;
	uint64_t digest;
	uint64_t parent;
	bool watches;
	bool sparse; /* too many VMs for all to talk to all */
	bool dirty; /* choose again */
	bool view_changed;
	bool spreading; /* some record has its spread mark */
	bool stopped;
	bool pulled; /* asked somebody for the records once */
	int64_t ticked_ms;
	int64_t beat_due_ms;
	int64_t settled_ms; /* the last choice */
	int64_t swept_ms;
	int64_t avoid_due_ms; /* some VM may be a parent again; 0: none */
};

/* Hashes that every VM computes alike. */

static inline uint64_t
dh_member_mix(uint64_t a, uint64_t b)
{
	uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

/* dh_member_lookup -- the member of this id, or NULL. */
struct member *dh_member_lookup(const struct dh_membership *v, uint64_t id);

/* dh_member_state_of -- what this VM takes another for. */
enum dh_member_state dh_member_state_of(
    const struct dh_membership *v, const struct member *m, int64_t now);

/* dh_member_go_near -- m has a link, or should have one. */
void dh_member_go_near(struct dh_membership *v, struct member *m);

/* dh_member_act -- append an action; valid until the next one. */
struct dh_member_action *dh_member_act(struct dh_member_actions *out,
    enum dh_member_action_kind kind, uint64_t vm);

/*
 * dh_overlay_choose -- choose partners, whether to watch the store, and the
 * parent in the relay tree anew; tells what changed.
 */
void dh_overlay_choose(
    struct dh_membership *v, int64_t now, struct dh_member_actions *out);

#endif
