#ifndef DOGWOODHUB_KEYSPACE_H
#define DOGWOODHUB_KEYSPACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * Ownership of the numbered keys of one service, as managed by the leader of
 * that service.
 *
 * The keys 0 .. DH_KEYS - 1 are split into ranges.  Each range has a fencing
 * token and an owner, a backend server that holds the range under a lease which
 * the leader renews.  The leader changes ownership in three steps: it plans the
 * change; the caller writes the ownership record to the store with a
 * conditional write; only then the former owner releases the range or its lease
 * expires, and the new owner is granted the range with a higher token.  The
 * requests that the leader sends to backend servers for this are called orders.
 *
 * This module reads no clock and does no I/O.  Times are in milliseconds of a
 * clock that also advances while the machine is suspended.  The caller must
 * serialize the calls on one instance.
 */
#define DH_KEYS 65536u
#define DH_HANDOVER_MAX 64

struct dh_keyspace_params {
	int64_t lease_ms; /* duration of a lease, from the grant's arrival */
	int64_t renew_ms; /* interval between renewals of a range */
	/* Interval between probes of an unresponsive backend server, and
	 * between attempts to release a range. */
	int64_t probe_ms;
	/* The longest time that a leader renews leases while it cannot reach
	 * the store.  A new leader waits this long for a former leader that may
	 * still be renewing. */
	int64_t storeless_max_ms;
	uint32_t drift_permille; /* how much an owner's clock may run slow */
	int64_t margin_ms; /* added when waiting for a lease to expire */
	/* For how long a report of dh_keyspace_note_leading() counts.  It must
	 * be shorter than the time in which another leader can be elected and
	 * give a backend server a token, and that backend server can restart.
	 */
	int64_t leading_valid_ms;
};

struct dh_keyspace_server {
	char id[DH_NAME_MAX];
	int64_t start_ms; /* start time; a new value means a restart */
	uint32_t slots; /* number of requests that it runs concurrently */
	bool leaving; /* is granted no keys, and has to release its own */
	/* It takes no more than rate_limit_per_s requests per second. */
	bool limited;
	double rate_limit_per_s;
	/* The backend server is known to have ended, since another instance
	 * has its address. */
	bool dead;
};

/* A range as it is stored in the ownership record. */
struct dh_key_range {
	uint32_t from, to; /* first and last key */
	char owner[DH_NAME_MAX]; /* "" for none */
	int64_t owner_start_ms; /* start time of the owner */
	uint64_t fence; /* fencing token of the owner */
	/* The owner that has to release the range before it is granted to the
	 * new one, with its start time and token; "" for none. */
	char former[DH_NAME_MAX];
	int64_t former_start_ms;
	uint64_t former_fence;
	bool settled; /* the owner has accepted the grant and may serve */
};

enum dh_key_order_kind {
	DH_KEY_GRANT, /* grant of a range, or renewal of its lease */
	/* Release of one range, or of adjacent ranges that have the same former
	 * owner and token. */
	DH_KEY_RELEASE,
	DH_KEY_PROBE, /* liveness check; renews no lease */
};

struct dh_key_order {
	enum dh_key_order_kind kind;
	uint64_t
	    order_id; /* id of the order, for dh_keyspace_handle_answer() */
	char server[DH_NAME_MAX];
	uint32_t from, to;
	uint64_t fence;
	int64_t lease_ms; /* duration of the lease */
	/* From this time on only a backend server process may get the grant
	 * that has had one of this leader's already: it is sent on a connection
	 * that has been open since, or else answered with DH_KEY_WITHHELD. */
	int64_t same_process_from_ms;
	/* Data from the former owner's release, for the new owner; "" for
	 * none. */
	char handover[DH_HANDOVER_MAX];
};

enum dh_key_answer {
	DH_KEY_ACCEPTED,
	DH_KEY_REFUSED, /* the backend server has seen a higher token */
	/* No answer: the backend server may have executed the order, or may
	 * still do so. */
	DH_KEY_UNANSWERED,
	DH_KEY_NOT_SENT, /* the order was not sent */
	/* The order was not sent, as no connection was left on which it may be
	 * (same_process_from_ms).  This says nothing about the backend server.
	 */
	DH_KEY_WITHHELD,
};

struct dh_keyspace;

/* dh_keyspace_new -- create an instance without ranges and backend servers.
 * The caller releases it with dh_keyspace_free(). */
struct dh_keyspace *dh_keyspace_new(const struct dh_keyspace_params *p);
void dh_keyspace_free(struct dh_keyspace *ks);

/*
 * dh_keyspace_take_over -- start from the ownership record of a former leader;
 * n may be 0.  former_lease_ms is the duration of the former leader's leases,
 * or 0 if they are not longer than p->lease_ms; last_write_ms is a time since
 * which no former leader has written to the store.  Each range that has an
 * owner gets a new token of at least next_fence.  No order is sent before the
 * new record is stored.
 *
 * dh_keyspace_mark_record_stale -- report that the record just taken over may
 * be stale: later writes may be missing from it, so that backend servers other
 * than the recorded owners may hold keys.  No order is sent until all former
 * leaders have stopped and their leases have expired.
 *
 * dh_keyspace_record_is_stale -- return whether the last exported record was
 * marked as possibly stale.  A leader that takes over that record has to call
 * dh_keyspace_mark_record_stale() too.
 */
void dh_keyspace_take_over(struct dh_keyspace *ks,
    const struct dh_key_range *ranges, size_t n, uint64_t next_fence,
    int64_t former_lease_ms, int64_t last_write_ms);
void dh_keyspace_mark_record_stale(struct dh_keyspace *ks);
bool dh_keyspace_record_is_stale(const struct dh_keyspace *ks);

/*
 * dh_keyspace_former_leaders_stopped -- report that all former leaders have
 * stopped sending orders by now_ms, so that only their leases have to expire.
 * This also ends the waits of dh_keyspace_mark_record_stale() and
 * dh_keyspace_record_lost() for other leaders.
 * Without this call they are assumed to have stopped storeless_max_ms after the
 * takeover's last_write_ms.
 *
 * dh_keyspace_is_sole_leader -- return whether all former leaders had stopped
 * sending orders at the time of the last export.  A leader that takes over that
 * record has to wait for this leader only.
 */
void dh_keyspace_former_leaders_stopped(struct dh_keyspace *ks, int64_t now_ms);
bool dh_keyspace_is_sole_leader(const struct dh_keyspace *ks);

/*
 * dh_keyspace_record_lost -- report that the store was restored from an older
 * copy and has lost this leader's last record.  The leader still knows the
 * owners: it renews their leases, but sends no other order before its record is
 * stored again.  New tokens are above fence_floor.
 *
 * The store may have lost the record of another leader as well, which counts as
 * a former leader that may still send orders.  Therefore a range is not moved
 * before its owner has accepted a renewal, and a range that cannot be renewed
 * is granted to no backend server before the leases of that other leader have
 * expired.
 *
 * Returns false if this leader has not stored a record yet: it does not know
 * the owners then and cannot continue.
 */
bool dh_keyspace_record_lost(
    struct dh_keyspace *ks, uint64_t fence_floor, int64_t now_ms);

/*
 * dh_keyspace_note_leading -- report that no later leader was in office at
 * at_ms; earlier times than the last one reported are ignored.
 *
 * A backend server refuses the grants of a leader that has been replaced, as it
 * has accepted a higher token.  One that has restarted under its id knows no
 * tokens, and the leader may not know of the restart.  Therefore a process that
 * has had no grant gets one only within leading_valid_ms of a report
 * (same_process_from_ms).
 *
 * dh_keyspace_is_withholding -- return whether a grant was answered with
 * DH_KEY_WITHHELD and is due again.  A later report makes it due at once.
 */
void dh_keyspace_note_leading(struct dh_keyspace *ks, int64_t at_ms);
bool dh_keyspace_is_withholding(const struct dh_keyspace *ks);

/* dh_keyspace_set_servers -- set the list of known backend servers.  One that
 * is missing from the list counts as leaving and may still hold its keys. */
void dh_keyspace_set_servers(
    struct dh_keyspace *ks, const struct dh_keyspace_server *list, size_t n);

/* dh_keyspace_count_request -- count a request for key that a router has
 * received. */
void dh_keyspace_count_request(struct dh_keyspace *ks, uint32_t key);

/* dh_keyspace_add_service_time -- add a measurement of a backend server's
 * service time, without queueing: the mean of the given number of samples that
 * routers took, in milliseconds. */
void dh_keyspace_add_service_time(struct dh_keyspace *ks, const char *server,
    double service_ms, uint32_t samples);

/* dh_keyspace_plan -- find ranges without a live owner and backend servers with
 * too much or too little load, and plan changes of ownership. */
void dh_keyspace_plan(struct dh_keyspace *ks, int64_t now_ms);

/*
 * dh_keyspace_export -- return the ownership record to store next: *n ranges in
 * key order and the next token.  *ranges points to memory of the instance,
 * valid until the next dh_keyspace_export() or dh_keyspace_current_ranges().
 * Returns a serial number for dh_keyspace_record_stored(), or 0 if nothing has
 * changed since the last stored record.
 *
 * dh_keyspace_record_stored -- report that the record of this serial was
 * stored; the changes that it contains are carried out.
 */
uint64_t dh_keyspace_export(struct dh_keyspace *ks, int64_t now_ms,
    const struct dh_key_range **ranges, size_t *n, uint64_t *next_fence);
void dh_keyspace_record_stored(struct dh_keyspace *ks, uint64_t serial);

/* dh_keyspace_record_rejected -- report that the record of this serial was not
 * stored and will not be.  A record that neither dh_keyspace_record_stored()
 * nor dh_keyspace_record_rejected() was called for counts as possibly stored.
 */
void dh_keyspace_record_rejected(struct dh_keyspace *ks, uint64_t serial);

/* dh_keyspace_needs_store -- return whether orders or planned changes wait for
 * the next record to be stored.  If not, the caller may store it later. */
bool dh_keyspace_needs_store(const struct dh_keyspace *ks, int64_t now_ms);

/* dh_keyspace_current_ranges -- return the current ownership, for routers: *n
 * ranges in memory of the instance, valid until the next
 * dh_keyspace_current_ranges() or dh_keyspace_export().  Returns a version
 * number that increases with each change.  If ranges is NULL, only the version
 * number is returned. */
uint64_t dh_keyspace_current_ranges(
    struct dh_keyspace *ks, const struct dh_key_range **ranges, size_t *n);

/* dh_keyspace_next_order -- get the next order that is due in this pass over
 * the ranges and backend servers.  Returns false at the end of the pass, or if
 * no order may be sent yet.  The next call begins a new pass, which may find
 * further orders. */
bool dh_keyspace_next_order(
    struct dh_keyspace *ks, int64_t now_ms, struct dh_key_order *order);

/* dh_keyspace_handle_answer -- report the result of the order whose id is
 * order_id; handover may be NULL. Returns false if the answer shows that
 * another leader has been elected. */
bool dh_keyspace_handle_answer(struct dh_keyspace *ks, uint64_t order_id,
    enum dh_key_answer answer, const char *handover, int64_t now_ms);

struct dh_keyspace_stats {
	/* Number of ranges, of those whose owner has accepted the grant, of
	 * those that are being released or granted, and of those without
	 * owner. */
	uint32_t ranges, settled, moving, ownerless;
	uint32_t servers; /* listed backend servers */
	uint32_t unresponsive; /* unresponsive backend servers, listed or not */
	uint64_t keys_moved; /* number of keys in all moves planned so far,
			      * first assignments included */
	/* Results of the last plan: the number of changes that balance the
	 * load, the number of hot keys, and the mean and the highest
	 * utilisation before the changes, in thousandths. */
	uint32_t changes, hot_keys;
	uint32_t utilisation_mean_milli, utilisation_max_milli;
};
struct dh_keyspace_stats dh_keyspace_stats(const struct dh_keyspace *ks);

#endif
