#include <dogwoodhub/pacer.h>

void
dh_pacer_init(
    struct dh_pacer *p, double bytes_per_ms, double burst, int64_t now_ms)
{
	*p = (struct dh_pacer){ .bytes_per_ms = bytes_per_ms,
		.burst = burst,
		.credit = burst,
		.updated_ms = now_ms };
}

static void
refill(struct dh_pacer *p, int64_t now_ms)
{
	if (now_ms <= p->updated_ms)
		return;
	p->credit += (double)(now_ms - p->updated_ms) * p->bytes_per_ms;
	if (p->credit > p->burst)
		p->credit = p->burst;
	p->updated_ms = now_ms;
}

bool
dh_pacer_ready(struct dh_pacer *p, int64_t now_ms)
{
	refill(p, now_ms);
	return p->credit > 0;
}

void
dh_pacer_count(struct dh_pacer *p, size_t bytes, int64_t now_ms)
{
	refill(p, now_ms);
	p->credit -= (double)bytes;
}
