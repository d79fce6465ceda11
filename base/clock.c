#include "base/clock.h"

#include <time.h>

static int64_t
clock_read_us(clockid_t id)
{
	struct timespec ts;

	(void)clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t
dh_clock_us(void)
{
	return clock_read_us(CLOCK_BOOTTIME);
}

int64_t
dh_clock_ms(void)
{
	return dh_clock_us() / 1000;
}

int64_t
dh_clock_wall_ms(void)
{
	return clock_read_us(CLOCK_REALTIME) / 1000;
}
