#include <string.h>

#include <dogwoodhub/breaker.h>

#include "tests/cunit_main.h"

static const struct dh_breaker_params params = { .failures = 4,
	.percent = 50,
	.window = 20,
	.probes = 2,
	.open_ms = 100,
	.max_open_ms = 1000 };

static struct dh_breaker br;
static struct dh_rng rng;

static struct dh_breaker_decision
ask(int64_t now_ms)
{
	return dh_breaker_admit(&br, &params, now_ms);
}

static void
end(struct dh_breaker_decision pass, enum dh_breaker_result result,
    int64_t now_ms)
{
	dh_breaker_record(&br, &params, &pass, result, &rng, now_ms);
}

static void
run(enum dh_breaker_result result, int n, int64_t now_ms)
{
	while (n-- > 0)
		end(ask(now_ms), result, now_ms);
}

static void
setup(void)
{
	memset(&br, 0, sizeof(br));
	rng.state = 5;
}

static void
test_consecutive_failures_open(void)
{
	struct dh_breaker_decision pass;

	setup();
	run(DH_BREAKER_FAILED, 3, 0);
	run(DH_BREAKER_ANSWERED, 1, 0);
	run(DH_BREAKER_FAILED, 3, 0);
	run(DH_BREAKER_CANCELLED, 9, 0);
	CU_ASSERT_EQUAL(ask(0).verdict, DH_BREAKER_PASS);
	run(DH_BREAKER_FAILED, 1, 0);
	pass = ask(1);
	CU_ASSERT_EQUAL(pass.verdict, DH_BREAKER_REFUSE);
	CU_ASSERT(pass.retry_after_ms >= 49 && pass.retry_after_ms <= 99);
}

static void
test_failure_rate_opens(void)
{
	int i;

	setup();
	for (i = 0; i < 20; i++)
		run(i % 2 == 0 ? DH_BREAKER_FAILED : DH_BREAKER_ANSWERED, 1, 0);
	CU_ASSERT_EQUAL(br.state, DH_BREAKER_OPEN);
	setup();
	for (i = 0; i < 100; i++)
		run(i % 3 == 0 ? DH_BREAKER_FAILED : DH_BREAKER_ANSWERED, 1, 0);
	CU_ASSERT_EQUAL(br.state, DH_BREAKER_CLOSED);
}

static void
test_one_probe_at_a_time_then_closes(void)
{
	struct dh_breaker_decision probe;

	setup();
	run(DH_BREAKER_FAILED, 4, 0);
	probe = ask(100);
	CU_ASSERT(probe.probe);
	CU_ASSERT_EQUAL(ask(100).verdict, DH_BREAKER_REFUSE);
	/* After a probe is cancelled, the next request is a probe. */
	end(probe, DH_BREAKER_CANCELLED, 101);
	run(DH_BREAKER_ANSWERED, 1, 102);
	CU_ASSERT_EQUAL(br.state, DH_BREAKER_HALF_OPEN);
	run(DH_BREAKER_ANSWERED, 1, 103);
	CU_ASSERT_EQUAL(br.state, DH_BREAKER_CLOSED);
}

static void
test_open_period_doubles_to_its_limit(void)
{
	int64_t now_ms = 0, last_ms = 0;
	int i;

	setup();
	run(DH_BREAKER_FAILED, 4, 0);
	for (i = 0; i < 8; i++) {
		last_ms = br.until_ms - now_ms;
		CU_ASSERT(last_ms >= (50 << i) || last_ms >= 500);
		CU_ASSERT(last_ms <= 1000);
		now_ms = br.until_ms;
		run(DH_BREAKER_FAILED, 1, now_ms);
	}
	CU_ASSERT(last_ms >= 500);
}

/* Results of requests to a frozen backend server that were sent before the
 * breaker opened may arrive much later. */
static void
test_results_from_before_opening_are_ignored(void)
{
	struct dh_breaker_decision old;
	int i;

	setup();
	old = ask(0);
	run(DH_BREAKER_FAILED, 4, 0);
	(void)ask(200);
	end(old, DH_BREAKER_ANSWERED, 200);
	end(old, DH_BREAKER_ANSWERED, 200);
	CU_ASSERT_EQUAL(br.state, DH_BREAKER_HALF_OPEN);
	end(old, DH_BREAKER_FAILED, 200);
	CU_ASSERT_EQUAL(br.state, DH_BREAKER_HALF_OPEN);
	setup();
	old = ask(0);
	run(DH_BREAKER_FAILED, 4, 0);
	run(DH_BREAKER_ANSWERED, 2, 200);
	for (i = 0; i < 4; i++)
		end(old, DH_BREAKER_FAILED, 300);
	CU_ASSERT_EQUAL(br.state, DH_BREAKER_CLOSED);
}

static void
test_reports_are_only_advice(void)
{
	int64_t until_ms;

	setup();
	dh_breaker_advise(&br, &params, DH_BREAKER_ADVICE_BAD, 0);
	run(DH_BREAKER_ANSWERED, 100, 0);
	CU_ASSERT_EQUAL(br.state, DH_BREAKER_CLOSED);
	run(DH_BREAKER_FAILED, 2, 0);
	CU_ASSERT_EQUAL(br.state, DH_BREAKER_OPEN);
	until_ms = br.until_ms;
	dh_breaker_advise(&br, &params, DH_BREAKER_ADVICE_GOOD, 1);
	CU_ASSERT_EQUAL(br.state, DH_BREAKER_OPEN);
	CU_ASSERT_EQUAL(br.until_ms, 25);
	CU_ASSERT(until_ms > 25);
	dh_breaker_advise(&br, &params, DH_BREAKER_ADVICE_GOOD, 1);
	CU_ASSERT(!ask(24).probe);
	CU_ASSERT(ask(25).probe);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "consecutive failures", test_consecutive_failures_open },
		{ "failure rate in a window", test_failure_rate_opens },
		{ "one probe at a time", test_one_probe_at_a_time_then_closes },
		{ "open period doubles to its limit",
		    test_open_period_doubles_to_its_limit },
		{ "results from before opening",
		    test_results_from_before_opening_are_ignored },
		{ "reports are only advice", test_reports_are_only_advice },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("breaker", tests);
}
