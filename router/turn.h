#ifndef DH_ROUTER_TURN_H
#define DH_ROUTER_TURN_H

#include <dogwoodhub/admission.h>
#include <dogwoodhub/balance.h>
#include <dogwoodhub/table.h>

#include "config/settings.h"
#include "router/exchange.h"

/*
 * A lane's turns at backend servers: admission, with the lane's loop and the
 * configuration's backend servers.  Private to the router package.
 */
struct dh_turns;

/* Called when a queued exchange's turn has come, or won't come in time. */
typedef void (*dh_turn_fn)(
    struct dh_exchange *ex, enum dh_admit verdict, int64_t retry_after_ms);

/* dh_turns_new -- the lane owns the result; s is borrowed. */
struct dh_turns *dh_turns_new(uv_loop_t *loop, const struct dh_settings *s,
    uint64_t seed, dh_turn_fn on_turn);
void dh_turns_free(struct dh_turns *ts);

/* dh_turns_update -- take the backend servers of a configuration, if it is
 * another than the last one's. */
void dh_turns_update(struct dh_turns *ts, const struct dh_conf *conf);

/* dh_turns_ask -- may ex be sent to its backend server now?  ex->backend_id
 * names it. */
enum dh_admit dh_turns_ask(
    struct dh_turns *ts, struct dh_exchange *ex, int64_t *retry_after_ms);

/* dh_turns_again -- likewise, for one whose last attempt the backend server
 * refused because of its load: it keeps its place. */
enum dh_admit dh_turns_again(
    struct dh_turns *ts, struct dh_exchange *ex, int64_t *retry_after_ms);

/* dh_turns_end -- the attempt of ex has ended; others may run now. */
void dh_turns_end(struct dh_turns *ts, struct dh_exchange *ex,
    enum dh_admission_outcome outcome);

/* dh_turns_frozen -- a probe says that it answers nobody: opens its breaker. */
void dh_turns_frozen(struct dh_turns *ts, uint64_t backend_id);

/* dh_turns_index -- the index of a backend server by id, DH_NONE if unknown.
 * dh_turns_loads -- what each has and may have, by index; borrowed. */
uint32_t dh_turns_index(const struct dh_turns *ts, uint64_t backend_id);
const struct dh_balance_load *dh_turns_loads(const struct dh_turns *ts);

/* dh_turns_room -- indices are below this; it grows with the backend servers
 * known at once, those that are gone make room. */
uint32_t dh_turns_room(const struct dh_turns *ts);

#endif
