#include <dogwoodhub/ramp.h>

#define RAMP_START (DH_RAMP_FULL / 10) /* share at the start */

uint32_t
dh_ramp_share(int64_t start_us, int64_t ramp_us, int64_t now_us)
{
	int64_t age_us = now_us - start_us;

	if (ramp_us <= 0 || age_us >= ramp_us)
		return DH_RAMP_FULL;
	if (age_us <= 0)
		return RAMP_START;
	return RAMP_START +
	    (uint32_t)((DH_RAMP_FULL - RAMP_START) * age_us / ramp_us);
}
