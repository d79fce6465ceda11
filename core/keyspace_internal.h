#ifndef DH_CORE_KEYSPACE_INTERNAL_H
#define DH_CORE_KEYSPACE_INTERNAL_H

#include <dogwoodhub/keyspace.h>

enum range_state {
	RANGE_NONE, /* the range has no owner */
	RANGE_SETTLED, /* the owner has accepted the grant */
	RANGE_RELEASING, /* the former owner has to release the range */
	RANGE_GRANTING, /* the range has to be granted to its owner */
};

enum range_pending {
	PENDING_NONE,
	PENDING_FENCE, /* a higher token for the same owner */
	PENDING_MOVE, /* a move to another owner */
};

struct server {
	char id[DH_NAME_MAX];
	int64_t start_ms;
	uint32_t slots;
	bool limited; /* see struct dh_keyspace_server */
	double rate_limit_per_s;
	/* The last list of backend servers has this one, and it is not dead. */
	bool listed;
	bool leaving;
	bool dead;
	/* The backend server did not answer an order.  It is probed, and its
	 * leases are not renewed until it answers. */
	bool unresponsive;
	bool probe_in_flight;
	/* Serial of the last export when this incarnation of the backend server
	 * became known.  It is granted nothing before a later export is
	 * stored. */
	uint64_t first_seen_serial;
	int64_t probe_ms; /* time of the next probe */
	/* Mean service time of the last service_samples requests; 0 if it is
	 * not known. */
	double service_ms;
	uint32_t service_samples;
	/* Values of the current plan: load in requests per second, variance of
	 * that estimate, number of keys, number of hot keys. */
	double load, variance;
	uint32_t keys, hot_keys;
};

/* Number of adjacent keys whose demand is checked together for sudden
 * changes. */
#define KEY_BLOCK 64u
#define KEY_BLOCKS (DH_KEYS / KEY_BLOCK)

struct key_block {
	/* Time since the demand last changed suddenly, or since the first
	 * request; the demand is averaged over it. */
	double averaged_ms;
};

struct range {
	uint32_t from, to;
	uint32_t owner, former; /* indices into servers, or DH_NONE */
	uint64_t fence, former_fence;
	enum range_state state;
	/* The planned change that is not in the stored record yet. */
	enum range_pending pending;
	uint32_t pending_owner;
	uint64_t pending_fence;
	/* Serials of the last export that contains the change, and of the first
	 * one that does and may have been stored; 0 if there is none. */
	uint64_t pending_last_serial, pending_first_serial;
	uint64_t order_id; /* identifies the order in flight; 0 for none */
	enum dh_key_order_kind order_kind;
	/* The order in flight was sent to an earlier incarnation of the backend
	 * server. */
	bool order_outdated;
	/* The latest time at which the last grant may have arrived. */
	int64_t grant_arrival_ms;
	int64_t earlier_arrival_ms; /* the same, before the order in flight */
	bool withheld; /* the last grant was, and no order has followed */
	/* A grant that was not answered may be executed until this time, also
	 * after later orders. */
	int64_t late_grant_until_ms;
	int64_t order_sent_ms; /* when the order in flight was sent */
	int64_t due_ms; /* when the next order is due */
	/* A lease that a former leader granted or renewed may last until this
	 * time. */
	int64_t former_lease_until_ms;
	/* Another leader whose record the store has lost may have granted the
	 * range to an owner unknown here; that lease may last until this
	 * time. */
	int64_t unknown_lease_until_ms;
	char handover[DH_HANDOVER_MAX];
};

struct dh_keyspace {
	struct dh_keyspace_params p;
	struct server *servers;
	size_t nservers, servers_size;
	/* Hash table from the id of a backend server to its index in servers
	 * plus 1; 0 for an empty slot. */
	uint32_t *server_index;
	size_t server_index_size; /* a power of two, at least twice nservers */
	struct range *ranges; /* the ranges in key order, without gaps */
	size_t nranges, ranges_size;
	/* The ranges that dh_keyspace_export() and dh_keyspace_current_ranges()
	 * return. */
	struct dh_key_range *exported;
	size_t exported_size;
	/* All former leaders have stopped sending orders at this time. */
	int64_t former_stop_ms;
	int64_t former_lease_max_ms; /* longest lease of a former leader */
	int64_t no_orders_until_ms; /* no order is sent before this time */
	/* As of the last export: the record may be stale; all former leaders
	 * have stopped sending orders. */
	bool record_stale, sole_leader;
	/* Serial of the last export that the store has lost; 0 if none.  Only
	 * renewals are sent until a later export is stored. */
	uint64_t lost_serial;
	/* No later leader was in office at this time. */
	int64_t leading_ms;
	uint64_t next_fence;
	uint64_t order_count; /* number of orders made */
	uint64_t serial; /* serial of the last export */
	bool changed; /* the record has changed since the last export */
	uint64_t owners_version; /* incremented on each change of ownership */
	uint64_t stored_serial; /* serial of the last export that was stored */
	float *rate; /* requests per second for each key */
	uint32_t *new_requests; /* requests for each key since the last plan */
	struct key_block blocks[KEY_BLOCKS];
	int64_t last_plan_ms; /* time of the last plan */
	size_t
	    next_range; /* next range that dh_keyspace_next_order() looks at */
	uint64_t keys_moved;
	/* Results of the last plan, for dh_keyspace_stats(). */
	uint32_t changes, hot_keys;
	double utilisation_mean, utilisation_max;
};

/* dh_range_lease_end_ms -- return the time at which the leases of the range
 * that this leader and the recorded former leaders granted have expired unless
 * they are renewed.  unknown_lease_until_ms is not included. */
int64_t dh_range_lease_end_ms(
    const struct dh_keyspace *ks, const struct range *r);

/* dh_range_can_change -- return whether a change of the range may be planned
 * now. */
bool dh_range_can_change(const struct range *r, int64_t now_ms);

/* dh_range_plan_move -- plan a move of the range to another owner. */
void dh_range_plan_move(
    struct dh_keyspace *ks, struct range *r, uint32_t owner);

/* dh_range_split -- split range i, which has no order in flight, before key and
 * return the index of the second part.  If key is not above the first key of
 * the range, return i without a split. */
size_t dh_range_split(struct dh_keyspace *ks, size_t i, uint32_t key);

#endif
