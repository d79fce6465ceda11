#ifndef DOGWOODHUB_KEYSPACE_H
#define DOGWOODHUB_KEYSPACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * Ownership of the numbered keys of one service, as its leader keeps it.
 *
 * The keys 0 .. DH_KEYS - 1 are cut into ranges.  Each has an owner, which
 * holds it under a lease that the leader renews, and a fencing token.  A
 * change is planned, put on record by the caller (an object written under a
 * condition), and only then carried out: the former owner releases the range
 * or its lease runs out, then the new owner is granted it with a higher token.
 *
 * Pure: no clock, no I/O.  Times are milliseconds of a clock that runs through
 * suspends.  Calls on one instance must not overlap.
 */
#define DH_KEYS 65536u
#define DH_HANDOVER_MAX 64

struct dh_keyspace_params {
	int64_t hold_ms; /* a grant's lease, from its arrival */
	int64_t renew_ms; /* between renewals of a range */
	int64_t probe_ms; /* between questions to a silent backend server */
	/* The longest that a leader without the store goes on renewing; a
	 * successor waits for it where the former leader may still renew. */
	int64_t solo_ms;
	uint32_t drift_permille; /* how slow an owner's clock may run */
	int64_t margin_ms; /* added to every lease that is waited out */
};

struct dh_keyspace_server {
	char id[DH_NAME_MAX];
	int64_t born_ms; /* start of this life: another value, another life */
	uint32_t slots; /* requests at once */
	bool leaving; /* gets no keys, and gives its own away */
	bool dead; /* proven: another instance has its address */
};

/* A range as it stands on record. */
struct dh_key_range {
	uint32_t from, to; /* both inclusive */
	char owner[DH_NAME_MAX]; /* "" for none */
	int64_t owner_born_ms;
	uint64_t fence;
	/* Who has to give it up first, and under which token; "" for none. */
	char former[DH_NAME_MAX];
	int64_t former_born_ms;
	uint64_t former_fence;
	bool settled; /* the owner has accepted it: requests may go there */
};

enum dh_key_order_kind {
	DH_KEY_GRANT,
	DH_KEY_RELEASE, /* of neighbouring ranges that have one token */
	DH_KEY_PROBE, /* is it alive?  Extends nothing */
};

struct dh_key_order {
	enum dh_key_order_kind kind;
	uint64_t ticket; /* for dh_keyspace_answer() */
	char server[DH_NAME_MAX];
	uint32_t from, to;
	uint64_t fence;
	int64_t hold_ms;
	char handover[DH_HANDOVER_MAX]; /* "" for none */
};

enum dh_key_answer {
	DH_KEY_ACCEPTED,
	DH_KEY_REFUSED, /* a higher token has been seen there */
	DH_KEY_SILENT, /* it may have been obeyed, or will be */
	DH_KEY_UNSENT, /* nothing left this VM */
};

struct dh_keyspace;

/* dh_keyspace_new -- no ranges, no servers.  The caller frees it. */
struct dh_keyspace *dh_keyspace_new(const struct dh_keyspace_params *p);
void dh_keyspace_free(struct dh_keyspace *ks);

/*
 * dh_keyspace_take_over -- start from the record of a former leader (n may be
 * 0), which granted for former_hold_ms, or 0 if that is not longer than this
 * one grants.  Every range gets a new token above next_fence - 1; nothing is
 * ordered before the new record is stored.
 *
 * dh_keyspace_distrust -- the record that was taken over just now may lack what
 * was written after it: others may hold keys until the former leader has
 * stopped, within within_ms, and its leases are over.  Nothing is ordered
 * before.
 *
 * dh_keyspace_distrusted -- whether that holds at the time of the last export:
 * whoever takes that record over has to distrust it as well.
 */
void dh_keyspace_take_over(struct dh_keyspace *ks,
    const struct dh_key_range *ranges, size_t n, uint64_t next_fence,
    int64_t former_hold_ms, int64_t now_ms);
void dh_keyspace_distrust(struct dh_keyspace *ks, int64_t within_ms);
bool dh_keyspace_distrusted(const struct dh_keyspace *ks);

/*
 * dh_keyspace_alone -- all former leaders are known to have given their last
 * order by now: only leases are waited for.  Else that is taken for granted
 * after solo_ms.
 *
 * dh_keyspace_sole -- whether no former leader gave orders any more at the time
 * of the last export: whoever takes that record over has only this leader to
 * wait for.
 */
void dh_keyspace_alone(struct dh_keyspace *ks, int64_t now_ms);
bool dh_keyspace_sole(const struct dh_keyspace *ks);

/*
 * dh_keyspace_forgotten -- the store has lost what this leader stored last.
 * It still knows who holds what: leases are renewed, but nothing else is
 * ordered before all of it is stored again.  New tokens are above fence_floor.
 * Another leader may have been forgotten as well, and gives orders for
 * within_ms at most: a range is not moved before its owner has accepted a
 * renewal, and one that cannot be renewed is granted to nobody before the
 * leases of that leader are over.  False if nothing was stored yet: then there
 * is nothing to go on with.
 */
bool dh_keyspace_forgotten(struct dh_keyspace *ks, uint64_t fence_floor,
    int64_t within_ms, int64_t now_ms);

/* dh_keyspace_set_servers -- all that are known now; one that is left out is
 * leaving, and may still hold its keys. */
void dh_keyspace_set_servers(
    struct dh_keyspace *ks, const struct dh_keyspace_server *list, size_t n);

/* dh_keyspace_demand -- a request for key was seen by some router. */
void dh_keyspace_demand(struct dh_keyspace *ks, uint32_t key);

/* dh_keyspace_measured -- how long requests took at a backend server without
 * their waiting, in milliseconds: the mean of so many that routers measured. */
void dh_keyspace_measured(struct dh_keyspace *ks, const char *server,
    double work_ms, uint32_t samples);

/* dh_keyspace_plan -- look for ranges without a living owner and for
 * backend servers with too much or too little load, and plan changes. */
void dh_keyspace_plan(struct dh_keyspace *ks, int64_t now_ms);

/*
 * dh_keyspace_export -- the record to store next: *n ranges in order, owned by
 * the instance until the next call, and the next token.  Returns a serial for
 * dh_keyspace_stored(), 0 if nothing has changed since the last one stored.
 */
uint64_t dh_keyspace_export(struct dh_keyspace *ks, int64_t now_ms,
    const struct dh_key_range **ranges, size_t *n, uint64_t *next_fence);
void dh_keyspace_stored(struct dh_keyspace *ks, uint64_t serial);

/* dh_keyspace_not_stored -- the record of this serial was not stored and never
 * will be.  What is not told of one of the two may have been stored. */
void dh_keyspace_not_stored(struct dh_keyspace *ks, uint64_t serial);

/* dh_keyspace_urgent -- whether something waits for the next export to be
 * stored; else what has changed is only good to know. */
bool dh_keyspace_urgent(const struct dh_keyspace *ks, int64_t now_ms);

/* dh_keyspace_current -- the owners as they are, for routers: *n ranges, owned
 * by the instance until the next call.  Returns a number that rises with each
 * change; with ranges NULL only that. */
uint64_t dh_keyspace_current(
    struct dh_keyspace *ks, const struct dh_key_range **ranges, size_t *n);

/* dh_keyspace_next -- the next order that is due, or false. */
bool dh_keyspace_next(
    struct dh_keyspace *ks, int64_t now_ms, struct dh_key_order *order);

/* dh_keyspace_answer -- what became of an order; handover may be NULL.
 * Returns false when the answer shows that another leader is in office. */
bool dh_keyspace_answer(struct dh_keyspace *ks, uint64_t ticket,
    enum dh_key_answer answer, const char *handover, int64_t now_ms);

struct dh_keyspace_stats {
	uint32_t ranges, settled, moving, ownerless;
	uint32_t servers, silent;
	uint64_t keys_moved; /* keys that were given another owner */
	/* Of the last plan: changes to even out the load, hot keys, and
	 * utilizations in thousandths before it. */
	uint32_t changes, hot_keys;
	uint32_t used_mean_milli, used_most_milli;
};
struct dh_keyspace_stats dh_keyspace_stats(const struct dh_keyspace *ks);

#endif
