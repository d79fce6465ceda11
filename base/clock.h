#ifndef DH_BASE_CLOCK_H
#define DH_BASE_CLOCK_H

#include <stdint.h>

/*
 * dh_clock_ms, dh_clock_us -- monotonic time that runs through suspends,
 * in milliseconds or microseconds.  Leases are counted on it.
 */
int64_t dh_clock_ms(void);
int64_t dh_clock_us(void);

/* dh_clock_wall_ms -- milliseconds since the epoch; only for people and ids. */
int64_t dh_clock_wall_ms(void);

#endif
