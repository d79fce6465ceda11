#ifndef DOGWOODHUB_PLACEMENT_H
#define DOGWOODHUB_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/conf.h>
#include <dogwoodhub/types.h>

/*
 * Placement planner: assigns the hash slots of one keyed service to backend
 * servers.
 *
 * The planner tracks the load of every slot, as counted by the routers, and
 * proposes a bounded list of moves.  A move that only improves the balance is
 * proposed if its predicted gain, by the service's weights, exceeds its cost
 * by a margin, and if the budget of moves per minute allows it.  Slots of a
 * backend server that is lost or draining move without regard to the budget.
 *
 * Slots [0, nslots) are the service's hash slots.  Unless whole_slots is set,
 * slots [nslots, nslots + max_pins) are pins: slots that hold one hot key
 * each.  All times of one planner must come from the same clock.
 */

struct dh_placement_params {
	struct dh_weights weights;
	uint32_t nslots;
	uint32_t max_pins;
	/* A hot key is moved together with its whole hash slot; pins have no
	 * slots of their own. */
	bool whole_slots;
	uint32_t max_backends;
	uint32_t moves_per_minute; /* budget for balancing moves */
	uint32_t hot_moves_per_minute; /* budget for hot keys; only used
					* with whole_slots */
	int64_t horizon_ms; /* period over which a move's gain is summed */
	int64_t move_ms; /* time that a planned move delays a slot's requests */
	int64_t dwell_ms; /* least time from a move of a slot until it moves
			   * for balance or a hot key */
	int64_t half_life_ms; /* half-life of the decaying load average */
	int64_t ramp_ms; /* time from a cold start to full capacity */
	uint64_t seed;
};

enum dh_placement_state {
	DH_PLACEMENT_ABSENT, /* not running: its slots move at once */
	DH_PLACEMENT_FROZEN, /* does not answer: its slots move at once */
	DH_PLACEMENT_DRAINING, /* its slots move away; it receives none */
	DH_PLACEMENT_READY,
};

struct dh_placement_backend {
	enum dh_placement_state state;
	uint32_t slots; /* capacity: requests that it runs concurrently */
	uint64_t zone;
	bool cold; /* has just started: its capacity grows over ramp_ms, during
		    * which no slot moves to it for balance or a hot key */
	bool avoided; /* routers get almost no answers from it: no slot moves
		       * to it for balance or a hot key */
};

enum dh_placement_reason {
	DH_PLACEMENT_LOST, /* the owner is absent or frozen */
	DH_PLACEMENT_DRAIN, /* the owner is draining */
	DH_PLACEMENT_UNPIN, /* a pinned key is no longer hot: it returns to the
			     * owner of its hash slot */
	DH_PLACEMENT_BALANCE, /* improves the balance */
	DH_PLACEMENT_HOT, /* relieves the backend server of a hot key: moves
			   * the hot key's slot or another slot away */
};

struct dh_placement_move {
	uint32_t slot;
	uint32_t target; /* backend server that becomes the owner */
	uint32_t standby; /* standby after the move, or DH_NONE */
	enum dh_placement_reason reason;
};

/* A hot key, as found by dh_hotkeys_top(). */
struct dh_placement_hot {
	uint64_t hash; /* hash of the key */
	uint32_t home; /* hash slot of the key */
	double share; /* fraction of the service's load */
};

/* A backend server's load report: totals since it started. */
struct dh_placement_report {
	uint64_t completed; /* requests completed */
	uint64_t busy_us; /* processing time of all requests */
};

/* Result of comparing a load report with the routers' counts. */
enum dh_placement_report_result {
	DH_REPORT_NO_BASELINE, /* first report: nothing to compare it with */
	DH_REPORT_AGREES, /* within the tolerance: corrects the counted load */
	DH_REPORT_DIFFERS, /* late or false: not used */
};

struct dh_placement;

/* dh_placement_new -- create a planner without backend servers.  Returns NULL
 * if memory is exhausted.  No other function allocates memory. */
struct dh_placement *dh_placement_new(const struct dh_placement_params *p);

/* dh_placement_free -- free a planner; NULL is allowed. */
void dh_placement_free(struct dh_placement *pl);

/* dh_placement_set_backend -- set the state and capacity of a backend server.
 */
void dh_placement_set_backend(struct dh_placement *pl, uint32_t backend,
    const struct dh_placement_backend *be, int64_t now_ms);

/*
 * dh_placement_assign -- make the initial assignment: all hash slots in
 * proportion to capacity, each with a standby in another availability zone if
 * there is one.  Returns false if no backend server is ready.
 */
bool dh_placement_assign(struct dh_placement *pl, int64_t now_ms);

/*
 * dh_placement_set_owner -- record the acknowledged owner and standby of a
 * slot.  They replace what the planner assumed after proposing a move.  A
 * target that did not take over a slot moved for balance or for a hot key
 * receives no further such moves for some time.  Owner and standby may be
 * DH_NONE.
 */
void dh_placement_set_owner(
    struct dh_placement *pl, uint32_t slot, uint32_t owner, uint32_t standby);

/* dh_placement_set_fixed -- set whether a slot was placed by an operator and
 * must not move for balance or a hot key. */
void dh_placement_set_fixed(struct dh_placement *pl, uint32_t slot, bool fixed);

/* dh_placement_owner, dh_placement_standby -- the slot's owner or standby as
 * the planner assumes it, or DH_NONE. */
uint32_t dh_placement_owner(const struct dh_placement *pl, uint32_t slot);
uint32_t dh_placement_standby(const struct dh_placement *pl, uint32_t slot);

/* dh_placement_add_load -- add requests that routers sent to a slot in the
 * current period, and the sum of their durations. */
void dh_placement_add_load(
    struct dh_placement *pl, uint32_t slot, uint32_t requests, int64_t busy_us);

/* dh_placement_tick -- end a counting period that lasted period_ms: update
 * the load of each slot from its counts. */
void dh_placement_tick(struct dh_placement *pl, int64_t period_ms);

/* dh_placement_report -- compare a backend server's load report with the
 * routers' counts since its previous report. */
enum dh_placement_report_result dh_placement_report(struct dh_placement *pl,
    uint32_t backend, const struct dh_placement_report *r);

/* dh_placement_set_hot_keys -- set the current list of hot keys.  Pins the keys
 * whose load is high enough; keys that are no longer hot are unpinned by the
 * next dh_placement_plan(). */
void dh_placement_set_hot_keys(
    struct dh_placement *pl, const struct dh_placement_hot *list, size_t n);

/* dh_placement_pin_slot -- the slot of a pinned key (with whole_slots, its hash
 * slot), or DH_NONE if the key is not pinned. */
uint32_t dh_placement_pin_slot(const struct dh_placement *pl, uint64_t hash);

/*
 * dh_placement_plan -- write at most max moves to out, most urgent first, and
 * return their number.  The planner assumes that they are carried out until
 * dh_placement_set_owner() reports otherwise.  If it returns max, more moves
 * may be due: call it again.
 */
size_t dh_placement_plan(struct dh_placement *pl, int64_t now_ms,
    struct dh_placement_move *out, size_t max);

/* dh_placement_utilisation -- requests in flight at a backend server, divided
 * by its full capacity. */
double dh_placement_utilisation(
    const struct dh_placement *pl, uint32_t backend);

/* dh_placement_bytes -- memory that a planner with these parameters uses. */
size_t dh_placement_bytes(const struct dh_placement_params *p);

#endif
