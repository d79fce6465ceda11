#ifndef DH_ROUTER_ADMIT_H
#define DH_ROUTER_ADMIT_H

#include <dogwoodhub/admission.h>
#include <dogwoodhub/balance.h>
#include <dogwoodhub/table.h>

#include "config/settings.h"
#include "router/exchange.h"

/*
 * Admission control of a lane: decides with dh_admission and one circuit
 * breaker per backend server whether a request may be sent, is queued or is
 * refused.  Its timer runs on the lane's loop.  Private to the router package.
 */
struct dh_admitter;

/* Called when a queued exchange is admitted, or refused because it can't be
 * admitted in time. */
typedef void (*dh_admitter_fn)(
    struct dh_exchange *ex, enum dh_admit verdict, int64_t retry_after_ms);

/* dh_admitter_new -- the lane owns the result; s is borrowed. */
struct dh_admitter *dh_admitter_new(uv_loop_t *loop,
    const struct dh_settings *s, uint64_t seed, dh_admitter_fn on_admitted);
void dh_admitter_free(struct dh_admitter *ad);

/* dh_admitter_update -- take over the backend servers of conf; does nothing
 * when the last call had the same revision. */
void dh_admitter_update(struct dh_admitter *ad, const struct dh_conf *conf);

/* dh_admitter_ask -- decide whether ex may be sent now to the backend server
 * ex->backend_id. */
enum dh_admit dh_admitter_ask(
    struct dh_admitter *ad, struct dh_exchange *ex, int64_t *retry_after_ms);

/* dh_admitter_ask_again -- likewise for an exchange whose last attempt the
 * backend server refused because of its load; ex keeps its place in the
 * queue. */
enum dh_admit dh_admitter_ask_again(
    struct dh_admitter *ad, struct dh_exchange *ex, int64_t *retry_after_ms);

/* dh_admitter_end -- the attempt of ex has ended or its wait is given up; the
 * freed slot goes to queued exchanges. */
void dh_admitter_end(struct dh_admitter *ad, struct dh_exchange *ex,
    enum dh_admission_outcome outcome);

/* dh_admitter_open_breaker -- open the breaker of a backend server that does
 * not answer new connections either. */
void dh_admitter_open_breaker(struct dh_admitter *ad, uint64_t backend_id);

/* dh_admitter_index -- the index of a backend server by id, DH_NONE if unknown.
 * dh_admitter_loads -- running requests and concurrency limit of each backend
 * server, by index; borrowed. */
uint32_t dh_admitter_index(const struct dh_admitter *ad, uint64_t backend_id);
const struct dh_balance_load *dh_admitter_loads(const struct dh_admitter *ad);

/* dh_admitter_index_limit -- every index is below this.  It grows with the
 * number of backend servers known at the same time: the index of a removed
 * backend server is used again. */
uint32_t dh_admitter_index_limit(const struct dh_admitter *ad);

#endif
