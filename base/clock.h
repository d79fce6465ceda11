#ifndef DH_BASE_CLOCK_H
#define DH_BASE_CLOCK_H

#include <stdint.h>

/*
 * dh_clock_ms, dh_clock_us -- monotonic time, including time in suspend, in
 * milliseconds or microseconds.  Leases are measured with it.
 */
int64_t dh_clock_ms(void);
int64_t dh_clock_us(void);

/* dh_clock_wall_ms -- wall-clock time in milliseconds since the epoch.  Use it
 * only for display and for ids. */
int64_t dh_clock_wall_ms(void);

#endif
