#include <dogwoodhub/retry.h>

#include "tests/cunit_main.h"

static const struct dh_retry_params params = {
	.percent = 10, .burst = 5, .max_attempts = 4, .base_ms = 8, .max_ms = 20
};

static struct dh_retry_budget budget;
static struct dh_rng rng;

static struct dh_retry_decision
decide(const struct dh_retry_attempt *at)
{
	return dh_retry_decide(&budget, &params, at, &rng, 0);
}

static void
setup(void)
{
	rng.state = 3;
	dh_retry_budget_init(&budget, &params);
}

static void
test_only_safe_requests_are_retried(void)
{
	struct dh_retry_attempt at = { .attempt = 1, .deadline_ms = 1000 };

	setup();
	at.outcome = DH_OUTCOME_NOT_RUN;
	CU_ASSERT_EQUAL(decide(&at).verdict, DH_RETRY_ALLOWED);
	at.outcome = DH_OUTCOME_UNKNOWN;
	CU_ASSERT_EQUAL(decide(&at).verdict, DH_RETRY_UNSAFE);
	at.idempotent = true;
	CU_ASSERT_EQUAL(decide(&at).verdict, DH_RETRY_ALLOWED);
	at.outcome = DH_OUTCOME_DONE;
	CU_ASSERT_EQUAL(decide(&at).verdict, DH_RETRY_UNSAFE);
}

static void
test_budget_is_a_fraction_of_first_attempts(void)
{
	struct dh_retry_attempt at = {
		.outcome = DH_OUTCOME_NOT_RUN, .attempt = 1, .deadline_ms = 1000
	};
	int i, again = 0;

	setup();
	for (i = 0; i < 1000; i++) {
		dh_retry_count_first_attempt(&budget, &params);
		again += decide(&at).verdict == DH_RETRY_ALLOWED;
	}
	CU_ASSERT(again >= 100 && again <= 105);
	CU_ASSERT_EQUAL(decide(&at).verdict, DH_RETRY_BUDGET_SPENT);
	/* The budget does not grow beyond the burst. */
	for (i = 0; i < 1000; i++)
		dh_retry_count_first_attempt(&budget, &params);
	for (again = 0; decide(&at).verdict == DH_RETRY_ALLOWED;)
		again++;
	CU_ASSERT_EQUAL(again, 5);
}

static void
test_refused_retry_takes_no_budget(void)
{
	struct dh_retry_attempt at = {
		.outcome = DH_OUTCOME_NOT_RUN, .attempt = 1, .deadline_ms = 1
	};

	setup();
	at.latency_ms = 1;
	CU_ASSERT_EQUAL(decide(&at).verdict, DH_RETRY_DEADLINE);
	at.deadline_ms = 1000;
	at.retry_after_ms = 999;
	CU_ASSERT_EQUAL(decide(&at).verdict, DH_RETRY_DEADLINE);
	at.retry_after_ms = 0;
	at.attempt = 4;
	CU_ASSERT_EQUAL(decide(&at).verdict, DH_RETRY_MAX_ATTEMPTS);
	CU_ASSERT_EQUAL(budget.hundredths, 500);
}

static void
test_delay_is_random_and_bounded(void)
{
	struct dh_retry_attempt at = { .outcome = DH_OUTCOME_NOT_RUN,
		.deadline_ms = 1000,
		.retry_after_ms = 100 };
	const int64_t bound_ms[] = { 8, 16, 20 };
	struct dh_retry_decision d;
	int64_t max_ms;
	int i, n;

	setup();
	for (n = 0; n < 3; n++) {
		at.attempt = (uint32_t)n + 1;
		max_ms = 0;
		for (i = 0; i < 300; i++) {
			dh_retry_budget_init(&budget, &params);
			d = decide(&at);
			CU_ASSERT_FATAL(d.delay_ms >= 100);
			if (d.delay_ms > max_ms)
				max_ms = d.delay_ms;
		}
		CU_ASSERT_EQUAL(max_ms, 100 + bound_ms[n]);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "safe requests only", test_only_safe_requests_are_retried },
		{ "retry budget", test_budget_is_a_fraction_of_first_attempts },
		{ "no budget for a refused retry",
		    test_refused_retry_takes_no_budget },
		{ "random delay", test_delay_is_random_and_bounded },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("retry", tests);
}
