#ifndef DOGWOODHUB_RAMP_H
#define DOGWOODHUB_RAMP_H

#include <stdint.h>

/* The full share, in thousandths. */
#define DH_RAMP_FULL 1000

/*
 * dh_ramp_share -- return the share of its normal load, in thousandths, that a
 * backend server may get while it warms up.  The share grows linearly from a
 * tenth at start_us to DH_RAMP_FULL at start_us + ramp_us.  If ramp_us is 0 the
 * share is always DH_RAMP_FULL.
 */
uint32_t dh_ramp_share(int64_t start_us, int64_t ramp_us, int64_t now_us);

#endif
