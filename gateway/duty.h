#ifndef DH_GATEWAY_DUTY_H
#define DH_GATEWAY_DUTY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/http.h"
#include "gateway/backlog.h"
#include "gateway/record.h"
#include "gateway/registry.h"
#include "gateway/settings.h"
#include "platform/objects.h"

/*
 * What the leader does for one keyed service: it runs the state machine of the
 * service's key ranges (struct dh_keyspace), keeps the record of their owners
 * in the store, and sends orders to the backend servers.  All calls are made on
 * the control thread.
 */
struct dh_duty;

/* How long a leader may renew leases after it has learned that the store
 * was restored from an older copy and before it has a term of the new era:
 * long enough for a few calls to the store. */
#define DH_RECLAIM_MAX_MS 1500

struct dh_duty_context {
	const struct dh_gateway_settings *settings;
	struct dh_http *http; /* for releases and probes */
	struct dh_http *grants; /* sends grants, and nothing else */
	struct dh_objects *objects;
	struct dh_registry *registry;
	const char *kind; /* store kind of the object that holds the record */
	const char *ip; /* address of this VM */
	uint64_t term; /* in which this VM leads */
	int64_t term_began_ms; /* when the store had accepted the term */
	uint64_t era; /* of the store's data */
	/* Returns the number of VMs that changes are sent to. */
	uint32_t (*count_vms)(void *arg);
	/* Returns the rate limit that a backend server has named, in requests
	 * per second; negative: none. */
	double (*rate_limit)(void *arg, const char *id, int64_t start_ms);
	/* Called when the owners have changed.  step is NULL the first time in
	 * a term; it and the record are valid only during the call. */
	void (*published)(void *arg, const char *service,
	    const struct dh_record *now, const struct dh_backlog_step *step);
	/* Called when the store has accepted a write of this term that was
	 * sent at began_ms: up to then no other leader stored a record. */
	void (*confirmed)(void *arg, int64_t began_ms);
	/* Called when another VM turns out to lead in a later term. */
	void (*deposed)(void *arg, const char *why);
	void *arg;
};

/* dh_duty_new -- start to read the service's record from the store; once it
 * has arrived, take over the owners that it names. */
struct dh_duty *dh_duty_new(
    const struct dh_duty_context *c, const char *service);
void dh_duty_free(struct dh_duty *d);

/*
 * dh_duty_step -- plan changes, store the record and send the orders that are
 * due; orders are sent only if send_orders is true.  No later leader was in
 * office at leading_ms.  The caller does this every few tens of milliseconds.
 *
 * dh_duty_is_withholding -- whether a grant waits for a later leading_ms.
 */
void dh_duty_step(struct dh_duty *d, bool send_orders, int64_t leading_ms);
bool dh_duty_is_withholding(const struct dh_duty *d);

/*
 * dh_duty_store_rolled_back -- the store was restored from an older copy, in a
 * new era, and may have lost the last writes.  Until dh_duty_resume() only
 * leases are renewed and nothing is stored.  Returns false if this duty had
 * stored nothing yet; the caller then frees it and creates a new one.
 *
 * dh_duty_resume -- this VM leads in a new term of that era: store again.
 */
bool dh_duty_store_rolled_back(struct dh_duty *d, uint64_t era);
void dh_duty_resume(struct dh_duty *d, uint64_t term);

/*
 * dh_duty_add_request -- a router has seen a request for the key.
 *
 * dh_duty_add_work_time -- routers have measured how long requests take at a
 * backend server: the mean and the number of samples behind it.
 */
void dh_duty_add_request(struct dh_duty *d, uint32_t key);
void dh_duty_add_work_time(
    struct dh_duty *d, const char *server, uint32_t work_ms, uint32_t samples);

/* dh_duty_note_follower -- the VM vm, at address ip, follows this leader and
 * so sends no orders itself.  This also covers a former leader process on
 * this leader's own VM. */
void dh_duty_note_follower(struct dh_duty *d, const char *vm, const char *ip);

/*
 * dh_duty_awaits_followers -- whether the record may lack moves of a leader
 * that nobody here knows of: few orders are sent before
 * dh_duty_note_all_follow(), or before the time is over for which a leader goes
 * on without the store.
 *
 * dh_duty_note_all_follow -- all other VMs that may have led follow this
 * leader.
 */
bool dh_duty_awaits_followers(const struct dh_duty *d);
void dh_duty_note_all_follow(struct dh_duty *d);

/* dh_duty_is_lost -- whether none of the backend servers that are sent orders
 * is reached. */
bool dh_duty_is_lost(const struct dh_duty *d);

/* dh_duty_record -- the owners as last published; NULL before the first
 * publication. */
const struct dh_record *dh_duty_record(const struct dh_duty *d);

/* dh_duty_is_up_to_date -- whether a VM that knows the owners as of this term
 * and version lacks nothing of the published record but what may be on its way
 * to it.
 *
 * dh_duty_step_after -- the publication that followed this version in the
 * present term; NULL if it is no longer known. */
bool dh_duty_is_up_to_date(
    const struct dh_duty *d, uint64_t term, uint64_t version);
const struct dh_backlog_step *dh_duty_step_after(
    const struct dh_duty *d, uint64_t term, uint64_t version);

#endif
