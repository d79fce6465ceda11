#ifndef DOGWOODHUB_RAMP_H
#define DOGWOODHUB_RAMP_H

#include <stdint.h>

/* Parts in a whole share. */
#define DH_RAMP_FULL 1000

/*
 * dh_ramp_share -- the share, in thousandths, that a backend server may carry
 * which started cold at start_us and is warm after ramp_us: grows linearly
 * from a tenth.  A ramp_us of 0 means no ramp.
 */
uint32_t dh_ramp_share(int64_t start_us, int64_t ramp_us, int64_t now_us);

#endif
