#ifndef DH_GATEWAY_DUTY_H
#define DH_GATEWAY_DUTY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/http.h"
#include "gateway/record.h"
#include "gateway/registry.h"
#include "gateway/settings.h"
#include "platform/objects.h"

/*
 * The leader's work for one keyed service: the machine of its ranges, its
 * record in the store and the orders to its backend servers.  On the control
 * thread.
 */
struct dh_duty;

/* For how long a leader renews leases, once it has heard that the store went
 * back, before it has a term of the new era: a few calls of the store. */
#define DH_RECLAIM_MOST_MS 1500

struct dh_duty_context {
	const struct dh_gateway_settings *settings;
	struct dh_http *http;
	struct dh_objects *objects;
	struct dh_registry *registry;
	const char *kind; /* of the record's object */
	const char *ip; /* of this VM */
	uint64_t term;
	uint64_t era; /* of the store's data */
	uint32_t (*vms)(void *arg); /* that are told of changes */
	/* The owners have changed, from before (no ranges at first); both are
	 * borrowed. */
	void (*published)(void *arg, const char *service,
	    const struct dh_record *before, const struct dh_record *now);
	/* The store took a write of this term, which began then: until that
	 * moment no other leader's record was stored. */
	void (*confirmed)(void *arg, int64_t began_ms);
	/* Another leader is in office. */
	void (*deposed)(void *arg, const char *why);
	void *arg;
};

/* dh_duty_new -- read the service's record and take it over. */
struct dh_duty *dh_duty_new(
    const struct dh_duty_context *c, const char *service);
void dh_duty_free(struct dh_duty *d);

/* dh_duty_step -- plan, store, and order what is due, the last only with
 * orders.  Called every few ten milliseconds. */
void dh_duty_step(struct dh_duty *d, bool orders);

/*
 * dh_duty_went_back -- the store has lost what was written last.  Only leases
 * are renewed, and nothing is stored, until dh_duty_go_on(): this VM leads in a
 * new term, of that era.  False if the duty has stored nothing yet, and is to
 * be begun anew then.
 */
bool dh_duty_went_back(struct dh_duty *d, uint64_t era);
void dh_duty_go_on(struct dh_duty *d, uint64_t term);

/* dh_duty_demand, dh_duty_speed -- what routers have seen: a request, the mean
 * of so many measurements. */
void dh_duty_demand(struct dh_duty *d, uint32_t key);
void dh_duty_speed(
    struct dh_duty *d, const char *server, uint32_t work_ms, uint32_t samples);

/* dh_duty_followed -- that VM, at that address, gives no orders but follows
 * this leader.  Its own process that led before counts as well. */
void dh_duty_followed(struct dh_duty *d, const char *vm, const char *ip);

/* dh_duty_record -- the owners as last published; NULL before the first. */
const struct dh_record *dh_duty_record(const struct dh_duty *d);
bool dh_duty_is_newest(
    const struct dh_duty *d, uint64_t term, uint64_t version);

#endif
