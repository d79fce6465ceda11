#include <dogwoodhub/runqueue.h>

#include <math.h>

/* Part of the time left of the latency objective within which the answer of a
 * request that waits must be expected.  The rest covers work times above the
 * mean. */
#define TARGET_SHARE 0.8
/* Part of the time left until the deadline within which a request that can only
 * be late must be expected to be answered. */
#define LEFT_SHARE 0.9
/* Requests that wait although they can only be late, for each slot. */
#define LATE_PER_SLOT 2
/* After so many requests that ran before an older, less urgent one, the oldest
 * runs. */
#define PASSED_OVER_MAX 3

void
dh_run_queue_init(struct dh_run_queue *q)
{
	TAILQ_INIT(&q->entries);
	q->n = 0;
	q->passed_over = 0;
}

/* Number of requests that the backend server holds: one for each slot, as many
 * that wait there, so that no slot is idle while answers are slow to arrive or
 * others send requests too, and those that are on their way. */
static double
window(const struct dh_run_server *s)
{
	double slots = s->slots > 0 ? s->slots : 1;

	return ceil(slots * (2 + s->round_trip_ms / s->work_ms));
}

static double
expected_ms(const struct dh_run_server *s, double ahead)
{
	double slots = s->slots > 0 ? s->slots : 1;
	double rounds = ahead + 1 > slots ? (ahead + 1 - slots) / slots : 0;

	return s->round_trip_ms + s->work_ms * (1 + rounds);
}

/* Whether the request meets its latency objective if it is sent now. */
static bool
in_time(
    const struct dh_run_entry *e, const struct dh_run_server *s, int64_t now_ms)
{
	return (double)(e->target_ms - now_ms) >= s->round_trip_ms + s->work_ms;
}

struct dh_run_decision
dh_run_queue_admit(struct dh_run_queue *q, struct dh_run_entry *e,
    const struct dh_run_server *s, int64_t now_ms)
{
	struct dh_run_decision d = { .verdict = DH_RUN_NOW };
	double before = 0, slots = s->slots > 0 ? s->slots : 1, excess_ms;
	size_t late = 0;
	struct dh_run_entry *other;

	TAILQ_FOREACH (other, &q->entries, link) {
		late += other->late || !in_time(other, s, now_ms);
		before +=
		    other->priority <= e->priority && in_time(other, s, now_ms);
	}
	d.expected_ms = expected_ms(s, s->requests + before);
	if (q->n == 0 && s->requests + 1 <= window(s))
		return d;
	excess_ms =
	    d.expected_ms - (double)(e->target_ms - now_ms) * TARGET_SHARE;
	if (excess_ms > 0) {
		d.expected_ms = expected_ms(s, s->requests + (double)q->n);
		d.full_ms = (int64_t)ceil(excess_ms);
		d.verdict = DH_RUN_REFUSE;
		if ((double)late >= slots * LATE_PER_SLOT ||
		    d.expected_ms >
			(double)(e->deadline_ms - now_ms) * LEFT_SHARE)
			return d;
	}
	d.verdict = DH_RUN_WAIT;
	e->late = excess_ms > 0;
	TAILQ_INSERT_TAIL(&q->entries, e, link);
	q->n++;
	return d;
}

struct dh_run_entry *
dh_run_queue_next(
    struct dh_run_queue *q, const struct dh_run_server *s, int64_t now_ms)
{
	struct dh_run_entry *e, *oldest = NULL, *found = NULL;

	if (s->requests + 1 > window(s))
		return NULL;
	TAILQ_FOREACH (e, &q->entries, link) {
		if (!in_time(e, s, now_ms))
			continue;
		if (oldest == NULL)
			oldest = e;
		if (found == NULL || e->priority < found->priority)
			found = e;
	}
	if (found != oldest && q->passed_over++ >= PASSED_OVER_MAX)
		found = oldest;
	if (found == oldest)
		q->passed_over = 0;
	if (found == NULL)
		found = TAILQ_FIRST(&q->entries);
	if (found != NULL)
		dh_run_queue_remove(q, found);
	return found;
}

void
dh_run_queue_remove(struct dh_run_queue *q, struct dh_run_entry *e)
{
	TAILQ_REMOVE(&q->entries, e, link);
	q->n--;
}
