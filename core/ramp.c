#include <dogwoodhub/ramp.h>

#define RAMP_FIRST (DH_RAMP_FULL / 10)

uint32_t
dh_ramp_share(int64_t start_us, int64_t ramp_us, int64_t now_us)
{
	int64_t age_us = now_us - start_us;

	if (ramp_us <= 0 || age_us >= ramp_us)
		return DH_RAMP_FULL;
	if (age_us <= 0)
		return RAMP_FIRST;
	return RAMP_FIRST +
	    (uint32_t)((DH_RAMP_FULL - RAMP_FIRST) * age_us / ramp_us);
}
