#include <dogwoodhub/reach.h>

/* Time between probes, which is longer than most connections take. */
#define PROBE_INTERVAL_MS 200
/* Probes while no backend server is reached. */
#define LOST_PROBES 2
/* Failed backend servers that call for probes. */
#define SUSPICIOUS_FAILURES 2
/* Backend servers that owe an answer, and do not answer, call for probes. */
#define SILENT_SERVERS 2

bool
dh_reach_accepted(struct dh_reach *r, int64_t now_ms)
{
	bool lost = r->lost;

	r->accepted_ms = r->heard_ms = now_ms;
	r->nfailed = 0;
	r->lost = false;
	return lost;
}

void
dh_reach_heard(struct dh_reach *r, int64_t now_ms)
{
	r->heard_ms = now_ms;
}

bool
dh_reach_has_failed(const struct dh_reach *r, uint32_t uid)
{
	size_t i;

	for (i = 0; i < r->nfailed; i++)
		if (r->failed[i] == uid)
			return true;
	return false;
}

bool
dh_reach_failed(struct dh_reach *r, uint32_t uid, int64_t started_ms,
    size_t servers, int64_t now_ms)
{
	size_t needed =
	    servers < DH_REACH_FAILURES ? servers : DH_REACH_FAILURES;

	if (r->lost || started_ms < r->accepted_ms ||
	    dh_reach_has_failed(r, uid))
		return false;
	r->failed[r->nfailed++] = uid;
	if (r->nfailed < needed)
		return false;
	r->lost = true;
	r->lost_ms = now_ms;
	return true;
}

size_t
dh_reach_probes(struct dh_reach *r, size_t pending, int64_t pending_since_ms,
    int64_t silence_ms, int64_t now_ms)
{
	bool silent = pending >= SILENT_SERVERS &&
	    now_ms - pending_since_ms >= silence_ms &&
	    now_ms - r->heard_ms >= silence_ms;

	if (now_ms - r->probed_ms < PROBE_INTERVAL_MS ||
	    (!r->lost && r->nfailed < SUSPICIOUS_FAILURES && !silent))
		return 0;
	r->probed_ms = now_ms;
	return r->lost ? LOST_PROBES : DH_REACH_FAILURES;
}
