#ifndef DH_BASE_COUNTER_H
#define DH_BASE_COUNTER_H

#include <stdint.h>

#include <glib.h>

/*
 * Counters and gauges of this process, printed in the text exposition format.
 *
 * dh_counter_get() finds or creates the counter with this name and label set
 * ("service=\"feed\",outcome=\"done\"" or "").  It takes a lock, so callers
 * should keep the pointer, which stays valid until the process exits.
 * dh_counter_add() and dh_counter_set() take no lock.
 */
struct dh_counter;

struct dh_counter *dh_counter_get(const char *name, const char *labels);
void dh_counter_add(struct dh_counter *c, uint64_t n);
void dh_counter_set(struct dh_counter *c, uint64_t value);
uint64_t dh_counter_value(const struct dh_counter *c);

/* dh_counter_print -- append every counter to out, sorted by name. */
void dh_counter_print(GString *out);

#endif
