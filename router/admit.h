#ifndef DH_ROUTER_ADMIT_H
#define DH_ROUTER_ADMIT_H

#include <dogwoodhub/admission.h>
#include <dogwoodhub/balance.h>
#include <dogwoodhub/table.h>

#include "config/settings.h"
#include "router/exchange.h"

/*
 * Admission of a lane's requests at backend servers, with the lane's loop and
 * the configuration's backend servers.  Private to the router package.
 */
struct dh_admitter;

/* Called when a queued exchange's turn has come, or won't come in time. */
typedef void (*dh_admitter_fn)(
    struct dh_exchange *ex, enum dh_admit verdict, int64_t retry_after_ms);

/* dh_admitter_new -- the lane owns the result; s is borrowed. */
struct dh_admitter *dh_admitter_new(uv_loop_t *loop,
    const struct dh_settings *s, uint64_t seed, dh_admitter_fn on_admitted);
void dh_admitter_free(struct dh_admitter *ad);

/* dh_admitter_update -- take the backend servers of a configuration, if it is
 * another than the last one's. */
void dh_admitter_update(struct dh_admitter *ad, const struct dh_conf *conf);

/* dh_admitter_ask -- may ex be sent to its backend server now?  ex->backend_id
 * names it. */
enum dh_admit dh_admitter_ask(
    struct dh_admitter *ad, struct dh_exchange *ex, int64_t *retry_after_ms);

/* dh_admitter_again -- likewise, for one whose last attempt the backend server
 * refused because of its load: it keeps its place. */
enum dh_admit dh_admitter_again(
    struct dh_admitter *ad, struct dh_exchange *ex, int64_t *retry_after_ms);

/* dh_admitter_end -- the attempt of ex has ended; others may run now. */
void dh_admitter_end(struct dh_admitter *ad, struct dh_exchange *ex,
    enum dh_admission_outcome outcome);

/* dh_admitter_frozen -- a probe says that it answers nobody: opens its breaker.
 */
void dh_admitter_frozen(struct dh_admitter *ad, uint64_t backend_id);

/* dh_admitter_index -- the index of a backend server by id, DH_NONE if unknown.
 * dh_admitter_loads -- what each has and may have, by index; borrowed. */
uint32_t dh_admitter_index(const struct dh_admitter *ad, uint64_t backend_id);
const struct dh_balance_load *dh_admitter_loads(const struct dh_admitter *ad);

/* dh_admitter_room -- indices are below this; it grows with the backend servers
 * known at once, those that are gone make room. */
uint32_t dh_admitter_room(const struct dh_admitter *ad);

#endif
