#include <string.h>

#include <dogwoodhub/quarantine.h>
#include <dogwoodhub/rng.h>

#include "tests/cunit_main.h"

#define HOUR_MS INT64_C(3600000)
#define ROUTERS 10
#define REQUESTS (UINT64_C(10) * DH_SUSPECTS_MAX)

static bool
refused(const struct dh_quarantine *q, uint64_t request)
{
	struct dh_suspect s = dh_quarantine_find(q, request);

	return dh_suspect_is_refused(&s);
}

/* Another backend server ends while it runs the request. */
static void
crash(struct dh_quarantine *q, uint64_t request, int64_t now_ms)
{
	struct dh_suspect sent = dh_quarantine_find(q, request);
	static uint32_t server;

	(void)dh_quarantine_add_crash(q, &sent, ++server, now_ms);
}

static void
test_third_crash_leads_to_refusal(void)
{
	struct dh_quarantine q = { 0 };

	struct dh_suspect sent = { .request = 1 };
	uint32_t i;

	for (i = 1; i <= DH_CRASHES_MAX; i++) {
		CU_ASSERT_FALSE(refused(&q, 1));
		CU_ASSERT_TRUE(dh_quarantine_add_crash(&q, &sent, i, 100));
	}
	crash(&q, 2, 200);
	CU_ASSERT_TRUE(refused(&q, 1));
	CU_ASSERT_FALSE(refused(&q, 2));
}

/* Guards against a third crash of a request that goes to one owner at a time:
 * by then many copies of it are in progress there. */
static void
test_crash_after_a_known_one_leads_to_refusal(void)
{
	struct dh_quarantine q = { 0 };

	crash(&q, 1, 100);
	CU_ASSERT_FALSE(refused(&q, 1));
	crash(&q, 1, 200);
	CU_ASSERT_TRUE(refused(&q, 1));
}

/* Several attempts were in progress at a backend server that ended. */
static void
test_crash_of_a_server_counts_once(void)
{
	struct dh_quarantine q = { 0 };
	struct dh_suspect sent = dh_quarantine_find(&q, 1);
	int i;

	for (i = 0; i < 10; i++)
		CU_ASSERT_EQUAL(
		    dh_quarantine_add_crash(&q, &sent, 5, 100 + i), i == 0);
	CU_ASSERT_EQUAL(dh_quarantine_find(&q, 1).crashes, 1);
}

/* Guards against crashes that count once because they happened side by side, in
 * several routers: none knew of the others when it sent the request. */
static void
test_crashes_side_by_side_count_by_server(void)
{
	struct dh_quarantine q[3];
	struct dh_suspect sent[3];
	uint32_t i;

	memset(q, 0, sizeof(q));
	for (i = 0; i < 3; i++)
		sent[i] = dh_quarantine_find(&q[i], 1);
	for (i = 0; i < 3; i++) {
		CU_ASSERT_TRUE(
		    dh_quarantine_add_crash(&q[i], &sent[i], i + 1, 100));
		CU_ASSERT_FALSE(refused(&q[i], 1));
	}
	for (i = 1; i < 3; i++)
		CU_ASSERT_TRUE(
		    dh_quarantine_merge(&q[0], &q[i].suspects[0], 200));
	CU_ASSERT_TRUE(refused(&q[0], 1));
	/* The same entries again. */
	CU_ASSERT_FALSE(dh_quarantine_merge(&q[0], &q[1].suspects[0], 300));
	/* A router that had counted two of them. */
	CU_ASSERT_TRUE(dh_quarantine_merge(&q[2], &q[1].suspects[0], 300));
	CU_ASSERT_EQUAL(dh_quarantine_find(&q[2], 1).crashes, 2);
	CU_ASSERT_TRUE(dh_quarantine_merge(&q[2], &q[0].suspects[0], 300));
	CU_ASSERT_TRUE(refused(&q[2], 1));
}

/* A popular request was in progress on backend servers that ended together for
 * another reason: the next answer clears it. */
static void
test_answer_clears_crashes_side_by_side(void)
{
	struct dh_quarantine q = { 0 };
	struct dh_suspect sent = dh_quarantine_find(&q, 1);
	uint32_t i;

	for (i = 1; i <= 5; i++)
		(void)dh_quarantine_add_crash(&q, &sent, i, 100);
	CU_ASSERT_TRUE(refused(&q, 1));
	CU_ASSERT_TRUE(dh_quarantine_add_answer(&q, 1, 110));
	CU_ASSERT_FALSE(refused(&q, 1));
	CU_ASSERT_EQUAL(dh_quarantine_find(&q, 1).crashes, 0);
	/* Of the same moment, but found later. */
	CU_ASSERT_FALSE(dh_quarantine_add_crash(&q, &sent, 6, 120));
}

/* A router of an earlier release tells the number of crashes only. */
static void
test_crashes_without_servers(void)
{
	struct dh_quarantine q = { 0 };
	struct dh_suspect number = { .request = 1, .crashes = 1 };
	struct dh_suspect sent = dh_quarantine_find(&q, 1);

	CU_ASSERT_TRUE(dh_quarantine_add_crash(&q, &sent, 5, 100));
	/* It may be the same crash, passed on. */
	CU_ASSERT_FALSE(dh_quarantine_merge(&q, &number, 200));
	number.crashes = 2;
	CU_ASSERT_TRUE(dh_quarantine_merge(&q, &number, 200));
	CU_ASSERT_EQUAL(dh_quarantine_find(&q, 1).crashes, 2);
	CU_ASSERT_TRUE(dh_quarantine_add_crash(&q, &sent, 6, 300));
	CU_ASSERT_TRUE(refused(&q, 1));
}

static void
test_answer_clears(void)
{
	struct dh_quarantine q = { 0 };
	struct dh_suspect sent;

	CU_ASSERT_FALSE(dh_quarantine_add_answer(&q, 1, 50));
	crash(&q, 1, 100);
	sent = dh_quarantine_find(&q, 1);
	crash(&q, 1, 200);
	CU_ASSERT_TRUE(dh_quarantine_add_answer(&q, 1, 300));
	CU_ASSERT_FALSE(dh_quarantine_add_answer(&q, 1, 300));
	/* An attempt that was sent before the answer, and crashes after it. */
	CU_ASSERT_FALSE(dh_quarantine_add_crash(&q, &sent, 1000, 400));
	crash(&q, 1, 500);
	CU_ASSERT_FALSE(refused(&q, 1));
	crash(&q, 1, 700);
	CU_ASSERT_TRUE(refused(&q, 1));
	/* An answer that was on its way when the request was found. */
	CU_ASSERT_TRUE(dh_quarantine_add_answer(&q, 1, 800));
	CU_ASSERT_FALSE(refused(&q, 1));
}

static void
test_expiry(void)
{
	struct dh_quarantine q = { 0 };

	crash(&q, 1, 0);
	crash(&q, 2, 0);
	crash(&q, 2, 0);
	crash(&q, 2, 0);
	CU_ASSERT_TRUE(dh_quarantine_expire(&q, HOUR_MS - 1));
	CU_ASSERT_EQUAL(q.nsuspects, 1);
	CU_ASSERT_TRUE(refused(&q, 2));
	CU_ASSERT_EQUAL(dh_suspect_refused_ms(&q.suspects[0], HOUR_MS - 1), 1);
	CU_ASSERT_TRUE(dh_quarantine_expire(&q, HOUR_MS));
	CU_ASSERT_FALSE(refused(&q, 2));
	crash(&q, 2, HOUR_MS);
	CU_ASSERT_TRUE(refused(&q, 2));
}

static void
test_full_table_keeps_refused_requests(void)
{
	struct dh_quarantine q = { 0 };
	uint64_t i;

	for (i = 1; i <= DH_CRASHES_MAX; i++)
		crash(&q, 1, (int64_t)i);
	for (i = 2; i <= REQUESTS; i++)
		crash(&q, i, (int64_t)i + 10);
	CU_ASSERT_TRUE(refused(&q, 1));
	CU_ASSERT_EQUAL(q.nsuspects, DH_SUSPECTS_MAX);
	CU_ASSERT_EQUAL(dh_quarantine_find(&q, REQUESTS).crashes, 1);
	CU_ASSERT_EQUAL(dh_quarantine_find(&q, 2).crashes, 0);
}

/* Entries arrive in any order, several times or late: all routers end with the
 * same. */
static void
test_merge_converges(void)
{
	struct dh_quarantine q[ROUTERS];
	struct dh_suspect sent;
	struct dh_rng rng = { 7 };
	uint64_t from, to, step;
	size_t i;

	memset(q, 0, sizeof(q));
	for (step = 0; step < 5000; step++) {
		from = dh_rng_below(&rng, ROUTERS);
		to = dh_rng_below(&rng, ROUTERS);
		sent = dh_quarantine_find(&q[from], dh_rng_below(&rng, 20));
		switch (dh_rng_below(&rng, 4)) {
		case 0:
			(void)dh_quarantine_add_crash(&q[from], &sent,
			    (uint32_t)dh_rng_below(&rng, 6), (int64_t)step);
			break;
		case 1:
			if (sent.request % 4 == 0)
				(void)dh_quarantine_add_answer(
				    &q[from], sent.request, (int64_t)step);
			break;
		default:
			(void)dh_quarantine_merge(&q[to], &sent, (int64_t)step);
			break;
		}
	}
	for (from = 0; from < ROUTERS; from++)
		for (to = 0; to < ROUTERS; to++)
			for (i = 0; i < q[from].nsuspects; i++)
				(void)dh_quarantine_merge(
				    &q[to], &q[from].suspects[i], 6000);
	for (from = 1; from < ROUTERS; from++)
		for (step = 0; step < 20; step++) {
			struct dh_suspect a = dh_quarantine_find(&q[0], step);
			struct dh_suspect b =
			    dh_quarantine_find(&q[from], step);

			CU_ASSERT_EQUAL(a.epoch, b.epoch);
			CU_ASSERT_EQUAL(a.crashes, b.crashes);
		}
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "third crash", test_third_crash_leads_to_refusal },
		{ "same server", test_crash_of_a_server_counts_once },
		{ "side by side", test_crashes_side_by_side_count_by_server },
		{ "side by side, answered",
		    test_answer_clears_crashes_side_by_side },
		{ "without servers", test_crashes_without_servers },
		{ "crash after a known one",
		    test_crash_after_a_known_one_leads_to_refusal },
		{ "answer", test_answer_clears },
		{ "expiry", test_expiry },
		{ "full table", test_full_table_keeps_refused_requests },
		{ "merge", test_merge_converges },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("quarantine", tests);
}
