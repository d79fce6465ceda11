#ifndef DOGWOODHUB_PLACEMENT_H
#define DOGWOODHUB_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/conf.h>
#include <dogwoodhub/types.h>

/*
 * Which backend server should own which slot of one keyed service.
 *
 * The planner keeps the load of every slot as the routers count it, and
 * proposes a bounded list of moves.  A move that only improves the balance is
 * proposed when its predicted gain beats its cost by a margin, by the
 * service's weights, and within a budget of moves a minute.  Slots of a
 * backend server that is lost or leaving move at once.
 *
 * Slots [0, nslots) are the service's; [nslots, nslots + max_pins) are hot
 * keys pinned apart from their slot, unless whole_slots is set.  Times are of
 * any one clock.
 */

struct dh_placement_params {
	struct dh_weights weights;
	uint32_t nslots;
	uint32_t max_pins;
	/* A hot key moves the whole slot that it falls into: pins have no
	 * slots of their own. */
	bool whole_slots;
	uint32_t max_backends;
	uint32_t moves_a_minute; /* that only improve the balance */
	uint32_t hot_moves_a_minute; /* for hot keys, with whole_slots */
	int64_t horizon_ms; /* how long a gain is counted */
	int64_t move_ms; /* a planned move holds a slot's requests so long */
	int64_t dwell_ms; /* a slot moved stays at least so long */
	int64_t half_life_ms; /* of counted load */
	int64_t ramp_ms; /* from a cold start to full capacity */
	uint64_t seed;
};

enum dh_placement_state {
	DH_PLACEMENT_ABSENT, /* not there: its slots move at once */
	DH_PLACEMENT_FROZEN, /* does not answer: likewise */
	DH_PLACEMENT_DRAINING, /* its slots move away, it gets none */
	DH_PLACEMENT_READY,
};

struct dh_placement_backend {
	enum dh_placement_state state;
	uint32_t slots; /* requests it runs at once */
	uint64_t zone;
	bool cold; /* starts now: its capacity grows over ramp_ms; until
		    * then no slot moves to it for balance or a hot key */
	bool shunned; /* nor now: routers get hardly an answer from it */
};

enum dh_placement_reason {
	DH_PLACEMENT_LOST,
	DH_PLACEMENT_DRAIN,
	DH_PLACEMENT_UNPIN, /* a pinned key has cooled: back to its slot */
	DH_PLACEMENT_BALANCE,
	DH_PLACEMENT_HOT, /* a hot key, or what shares its backend server */
};

struct dh_placement_move {
	uint32_t slot;
	uint32_t target; /* backend server */
	uint32_t standby; /* from then on; DH_NONE if there is none */
	enum dh_placement_reason reason;
};

/* A hot key, from dh_hotkeys_top(). */
struct dh_placement_hot {
	uint64_t hash;
	uint32_t home; /* its slot */
	double share; /* of the service's load */
};

/* A backend server's own report: totals since it started. */
struct dh_placement_report {
	uint64_t done;
	uint64_t busy_us;
};

enum dh_placement_trust {
	DH_REPORT_FIRST, /* nothing to compare with yet */
	DH_REPORT_AGREES, /* with what the routers count: it refines them */
	DH_REPORT_DIFFERS, /* it lags or misleads: not used */
};

struct dh_placement;

/* dh_placement_new -- a planner without backend servers, or NULL without
 * memory.  No other function allocates. */
struct dh_placement *dh_placement_new(const struct dh_placement_params *p);
void dh_placement_free(struct dh_placement *pl);

void dh_placement_set_backend(struct dh_placement *pl, uint32_t backend,
    const struct dh_placement_backend *be, int64_t now_ms);

/*
 * dh_placement_assign -- first assignment of all slots, in proportion to
 * capacity, each with a standby in another availability zone if there is one.
 * Returns false if no backend server is ready.
 */
bool dh_placement_assign(struct dh_placement *pl, int64_t now_ms);

/* dh_placement_set_owner -- what is acknowledged; corrects what the planner
 * took to be carried out: a target that did not take a move proposed for
 * balance gets no more of them for a while.  Either may be DH_NONE. */
void dh_placement_set_owner(
    struct dh_placement *pl, uint32_t slot, uint32_t owner, uint32_t standby);

/* dh_placement_fix -- whether a slot stays where it is, whatever its load:
 * an operator has placed it. */
void dh_placement_fix(struct dh_placement *pl, uint32_t slot, bool fixed);

uint32_t dh_placement_owner(const struct dh_placement *pl, uint32_t slot);
uint32_t dh_placement_standby(const struct dh_placement *pl, uint32_t slot);

/* dh_placement_count -- requests of a slot that routers saw in this period,
 * and the time they took in all. */
void dh_placement_count(
    struct dh_placement *pl, uint32_t slot, uint32_t requests, int64_t busy_us);

/* dh_placement_tick -- the period of period_ms ends: counts become load. */
void dh_placement_tick(struct dh_placement *pl, int64_t period_ms);

/* dh_placement_report -- check a report against the routers' counts since
 * the one before. */
enum dh_placement_trust dh_placement_report(struct dh_placement *pl,
    uint32_t backend, const struct dh_placement_report *r);

/* dh_placement_hot_keys -- the hot keys now; pins those that weigh enough,
 * and unpins those that have cooled. */
void dh_placement_hot_keys(
    struct dh_placement *pl, const struct dh_placement_hot *list, size_t n);

/* dh_placement_pin -- the pin slot of a key (with whole_slots, the slot that
 * it falls into), or DH_NONE if it is not pinned. */
uint32_t dh_placement_pin(const struct dh_placement *pl, uint64_t hash);

/*
 * dh_placement_plan -- at most max moves, most urgent first.  The planner
 * takes them to be carried out, until dh_placement_set_owner() says
 * otherwise; call it again after it returned max.
 */
size_t dh_placement_plan(struct dh_placement *pl, int64_t now_ms,
    struct dh_placement_move *out, size_t max);

/* Load of a backend server in requests in flight, over its capacity. */
double dh_placement_utilisation(
    const struct dh_placement *pl, uint32_t backend);

/* dh_placement_bytes -- memory of a planner with these parameters. */
size_t dh_placement_bytes(const struct dh_placement_params *p);

#endif
