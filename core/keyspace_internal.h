#ifndef DH_CORE_KEYSPACE_INTERNAL_H
#define DH_CORE_KEYSPACE_INTERNAL_H

#include <dogwoodhub/keyspace.h>

enum range_state {
	RANGE_NONE, /* nobody holds it, nobody is to */
	RANGE_SETTLED, /* the owner has accepted it */
	RANGE_RELEASING, /* the former owner is to give it up */
	RANGE_GRANTING, /* free: the owner is to be granted it */
};

enum range_pending {
	PENDING_NONE,
	PENDING_FENCE, /* same owner, a higher token */
	PENDING_MOVE, /* to another owner */
};

struct server {
	char id[DH_NAME_MAX];
	int64_t born_ms;
	uint32_t slots;
	bool present;
	bool leaving;
	bool dead;
	bool silent; /* missed an answer: asked, not renewed */
	bool probing;
	/* Last export when this life became known: it is granted nothing
	 * before a later one is stored. */
	uint64_t known_serial;
	int64_t probe_ms; /* when to ask next */
	double work_ms; /* mean of the last work_samples; 0: not known */
	uint32_t work_samples;
	/* Of a plan: requests a second, the variance of their estimate, keys
	 * in all and hot ones. */
	double load, variance;
	uint32_t keys, hot;
};

/* Neighbouring keys whose demand is watched together for sudden changes. */
#define KEY_BLOCK 64u
#define KEY_BLOCKS (DH_KEYS / KEY_BLOCK)

struct key_block {
	double since_ms; /* the demand changed, or was first seen */
};

struct range {
	uint32_t from, to;
	uint32_t owner, former; /* of servers, or DH_NONE */
	uint64_t fence, former_fence;
	enum range_state state;
	/* A change that is not on record yet. */
	enum range_pending pending;
	uint32_t pending_owner;
	uint64_t pending_fence;
	uint64_t pending_serial; /* last export that holds it; 0: none */
	uint64_t pending_first; /* first one that may have been stored */
	uint64_t ticket; /* order in flight, 0 for none */
	enum dh_key_order_kind ticket_kind;
	bool ticket_void; /* it was for a life that is over */
	int64_t sent_ms; /* when a grant may have arrived at the latest */
	/* Until when a grant without an answer may be obeyed after others. */
	int64_t doubt_ms;
	int64_t order_sent_ms; /* of the order in flight */
	int64_t due_ms; /* of the next order */
	/* Until when a former leader may have prolonged the lease. */
	int64_t foreign_ms;
	/* Until when a leader that was forgotten may have given the range to
	 * another owner than the one known here. */
	int64_t taken_ms;
	char handover[DH_HANDOVER_MAX];
};

struct dh_keyspace {
	struct dh_keyspace_params p;
	struct server *servers;
	size_t nservers, servers_size;
	uint32_t *index; /* hash of an id: server and 1, or 0 */
	size_t index_size; /* a power of two, at least twice nservers */
	struct range *ranges; /* in order of keys, without gaps */
	size_t nranges, ranges_size;
	struct dh_key_range *image;
	size_t image_size;
	int64_t sole_ms; /* from when no former leader gives orders */
	int64_t former_limit_ms; /* the longest that its grants count */
	int64_t distrust_ms; /* until when nothing is ordered */
	bool distrusted, sole; /* at the time of the last export */
	/* The last export that the store has lost: only renewals until a later
	 * one is stored.  0: none was lost. */
	uint64_t lost_serial;
	uint64_t next_fence;
	uint64_t next_ticket;
	uint64_t serial; /* of the last export */
	bool changed; /* since the last export */
	uint64_t visible; /* counts changes of owners and states */
	uint64_t stored; /* serial of the last export that is stored */
	float *rate; /* requests a second, by key */
	uint32_t *fresh; /* requests since the last plan, by key */
	struct key_block blocks[KEY_BLOCKS];
	int64_t planned_ms;
	size_t cursor; /* of dh_keyspace_next() */
	uint64_t keys_moved;
	/* Of the last plan. */
	uint32_t changes, hot_keys;
	double used_mean, used_most;
};

/* When nobody can hold the range any more, if it is not renewed. */
int64_t dh_range_lapse_ms(const struct dh_keyspace *ks, const struct range *r);

/* Whether a change of this range may be planned now. */
bool dh_range_idle(const struct range *r, int64_t now_ms);

/* Put on plan: the range goes to another owner. */
void dh_range_plan_move(
    struct dh_keyspace *ks, struct range *r, uint32_t owner);

/* Cut a range that is idle so that a new one begins at key; its index. */
size_t dh_range_cut(struct dh_keyspace *ks, size_t i, uint32_t key);

#endif
