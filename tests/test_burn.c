#include <math.h>
#include <string.h>

#include "report/burn.h"
#include "tests/cunit_main.h"

#define MINUTE_MS INT64_C(60000)
#define START_MS INT64_C(1700000000000)

static struct dh_service services[] = {
	{ .name = "feed",
	    .team = "t",
	    .objective_ppm = 999000,
	    .objective_latency_ms = 100 },
	{ .name = "orders",
	    .team = "u",
	    .objective_ppm = 900000,
	    .objective_latency_ms = 500 },
};
static const struct dh_conf conf = { .services = services, .nservices = 2 };

static void
add(GPtrArray *samples, int64_t minute, const char *vm, uint64_t incarnation,
    uint64_t total, uint64_t bad)
{
	struct dh_sample *s =
	    dh_sample_new(START_MS + minute * MINUTE_MS, vm, incarnation);
	g_autofree char *text = g_strdup_printf(
	    "# HELP\nother_total 4\ndh_slo_total{service=\"feed\"} "
	    "%" G_GUINT64_FORMAT "\ndh_slo_good_total{service=\"feed\"} "
	    "%" G_GUINT64_FORMAT "\n"
	    "dh_requests_total{service=\"feed\",outcome=\"not-run\"} "
	    "%" G_GUINT64_FORMAT "\n",
	    total, total - bad, bad);

	dh_sample_read(s, text);
	g_ptr_array_add(samples, s);
}

static bool
almost_equal(double a, double b)
{
	return fabs(a - b) < 1e-6;
}

static const struct dh_burn_service *
feed_service(const struct dh_burn *b)
{
	return &g_array_index(b->services, struct dh_burn_service, 0);
}

static void
test_windows_of_all_vms(void)
{
	g_autoptr(GPtrArray) samples = dh_samples_new();
	const struct dh_burn_service *sv;
	struct dh_burn *b;

	/* Two VMs, samples out of order: 2000 requests, then 1000 of which 20
	 * are bad. */
	add(samples, 60, "b", 1, 500, 0);
	add(samples, 0, "a", 1, 1000, 500);
	add(samples, 0, "b", 1, 0, 0);
	add(samples, 58, "a", 1, 2500, 500);
	add(samples, 58, "b", 1, 500, 0);
	add(samples, 60, "a", 1, 3500, 520);
	b = dh_burn_new(&conf, samples);
	sv = feed_service(b);
	CU_ASSERT_EQUAL(b->rounds, 3);
	CU_ASSERT_EQUAL(b->vms, 2);
	CU_ASSERT_EQUAL(sv->windows[DH_BURN_1H].counts.total, 3000);
	CU_ASSERT_EQUAL(sv->windows[DH_BURN_1H].counts.not_run, 20);
	CU_ASSERT_TRUE(sv->windows[DH_BURN_1H].whole);
	CU_ASSERT_TRUE(almost_equal(sv->windows[DH_BURN_1H].rate, 20.0 / 3));
	CU_ASSERT_FALSE(sv->windows[DH_BURN_6H].whole);
	CU_ASSERT_EQUAL(sv->windows[DH_BURN_6H].covered_ms, 60 * MINUTE_MS);
	CU_ASSERT_TRUE(almost_equal(sv->budget_left, 1 - 20.0 / 3));
	CU_ASSERT_EQUAL(g_array_index(b->services, struct dh_burn_service, 1)
			    .windows[DH_BURN_1H]
			    .counts.total,
	    0);
	dh_burn_free(b);
}

/* Returns the alert for n rounds, 5 minutes apart, of 1000 requests each; bad
 * has the number of bad requests of each round. */
static enum dh_burn_alert
alert_of(const unsigned int *bad, size_t n)
{
	g_autoptr(GPtrArray) samples = dh_samples_new();
	enum dh_burn_alert alert;
	uint64_t total = 0, sum = 0;
	struct dh_burn *b;
	size_t i;

	add(samples, 0, "a", 1, 0, 0);
	for (i = 0; i < n; i++) {
		total += 1000;
		sum += bad[i];
		add(samples, (int64_t)(i + 1) * 5, "a", 1, total, sum);
	}
	b = dh_burn_new(&conf, samples);
	alert = dh_burn_worst(b);
	dh_burn_free(b);
	return alert;
}

static void
test_alerts_need_both_windows(void)
{
	static const unsigned int none[12] = { 0 };
	static const unsigned int ended[12] = { 99, 99, 99, 0 };
	static const unsigned int ongoing[12] = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 60,
		60, 60 };
	static const unsigned int short_burst[12] = { 0, 0, 0, 0, 0, 0, 0, 0, 0,
		0, 0, 20 };
	static const unsigned int slow[12] = { 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2,
		2 };

	CU_ASSERT_EQUAL(alert_of(none, 12), DH_BURN_NONE);
	CU_ASSERT_EQUAL(alert_of(ended, 12), DH_BURN_TICKET);
	CU_ASSERT_EQUAL(alert_of(ongoing, 12), DH_BURN_PAGE);
	CU_ASSERT_EQUAL(alert_of(short_burst, 12), DH_BURN_TICKET);
	CU_ASSERT_EQUAL(alert_of(slow, 12), DH_BURN_TICKET);
	CU_ASSERT_EQUAL(alert_of(short_burst, 11), DH_BURN_NONE);
}

/* After a restart the counters start at 0.  The first sample of a VM that
 * started before the previous round adds no requests. */
static void
test_restarts_and_new_vms(void)
{
	g_autoptr(GPtrArray) samples = dh_samples_new();
	uint64_t later = (uint64_t)(START_MS + MINUTE_MS / 2);
	struct dh_burn *b;

	add(samples, 0, "a", 1, 1000, 0);
	add(samples, 1, "a", later, 30, 0);
	add(samples, 1, "new", later, 7, 0);
	add(samples, 1, "old", 1, 5000, 0);
	add(samples, 2, "old", 1, 5100, 0);
	b = dh_burn_new(&conf, samples);
	CU_ASSERT_EQUAL(feed_service(b)->windows[DH_BURN_1H].counts.total, 137);
	CU_ASSERT_EQUAL(b->restarts, 1);
	CU_ASSERT_EQUAL(b->vms, 1);
	dh_burn_free(b);
}

static void
test_too_few_samples(void)
{
	g_autoptr(GPtrArray) samples = dh_samples_new();
	struct dh_burn *b = dh_burn_new(&conf, samples);
	g_autofree char *text = dh_burn_text(b);

	CU_ASSERT_EQUAL(b->rounds, 0);
	CU_ASSERT_TRUE(almost_equal(feed_service(b)->budget_left, 1));
	dh_burn_free(b);
	add(samples, 0, "a", 1, 1000, 900);
	b = dh_burn_new(&conf, samples);
	CU_ASSERT_EQUAL(dh_burn_worst(b), DH_BURN_NONE);
	CU_ASSERT_EQUAL(feed_service(b)->windows[DH_BURN_5MIN].counts.total, 0);
	dh_burn_free(b);
}

static void
test_sample_line(void)
{
	struct dh_sample *s = dh_sample_new(5, "a", 6), *t;
	g_autofree char *line = NULL;
	g_autofree char *again = NULL;

	dh_sample_read(s,
	    "dh_slo_total{service=\"x\"} 9\n"
	    "dh_slo_good_total{service=\"x\"} 8\n"
	    "dh_requests_total{outcome=\"done\",service=\"x\"} 7\n"
	    "dh_requests_total{service=\"x\",outcome=\"unknown\"} 1\n"
	    "dh_requests_total{service=\"x\"} 5\n"
	    "dh_slo_total{my_service=\"z\"} 9\ndh_slo_total{other=\"x\"} "
	    "9\ndh_slo_total{service=\"x 9\n"
	    "dh_slo_total{service=\"y\"} x\n");
	line = dh_sample_print(s);
	CU_ASSERT_STRING_EQUAL(line,
	    "{\"wall_ms\":5,\"vm\":\"a\",\"incarnation\":6,"
	    "\"services\":{\"x\":[9,8,7,0,1]}}");
	t = dh_sample_parse(line);
	g_assert_nonnull(t);
	again = dh_sample_print(t);
	CU_ASSERT_STRING_EQUAL(again, line);
	CU_ASSERT_PTR_NULL(dh_sample_parse("{\"wall_ms\":5}"));
	CU_ASSERT_PTR_NULL(dh_sample_parse("{\"wall_ms\":5,\"vm\":\"a\","
					   "\"incarnation\":6,\"services\":"
					   "{\"x\":[1]}}"));
	CU_ASSERT_PTR_NULL(dh_sample_parse("half a li"));
	dh_sample_free(s);
	dh_sample_free(t);
}

/* Returns whether each line of the page has at least two points; a line of one
 * point would be invisible. */
static bool
lines_drawn(const char *page)
{
	const char *at = page, *end;

	while ((at = strstr(at, "points=\"")) != NULL) {
		at += strlen("points=\"");
		end = strchr(at, '"');
		if (memchr(at, ' ', (size_t)(end - at)) == NULL)
			return false;
	}
	return true;
}

static void
test_output_formats(void)
{
	g_autoptr(GPtrArray) samples = dh_samples_new();
	g_autofree char *text = NULL;
	g_autofree char *json = NULL;
	g_autofree char *page = NULL;
	struct dh_burn *b;

	add(samples, 0, "a", 1, 0, 0);
	add(samples, 1, "a", 1, 1000, 100);
	b = dh_burn_new(&conf, samples);
	text = dh_burn_text(b);
	CU_ASSERT_PTR_NOT_NULL(strstr(text,
	    "feed (team t): 99.9000 % good within 100 ms; "
	    "budget left -9900.0 %; alert page\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text,
	    "5min  burn   100.00  requests 1000  not good 100  "
	    "not run 100  unknown 0  (covers 60 s)\n"));
	json = dh_burn_json(b);
	CU_ASSERT_PTR_NOT_NULL(strstr(json, "\"alert\":\"page\""));
	page = dh_burn_page(b);
	CU_ASSERT_PTR_NOT_NULL(strstr(page, "<h2>orders</h2>"));
	CU_ASSERT_PTR_NOT_NULL(strstr(page, "<polyline"));
	CU_ASSERT_PTR_NULL(strstr(page, "http"));
	CU_ASSERT_PTR_NULL(strstr(page, "nan"));
	CU_ASSERT_TRUE(lines_drawn(page));
	dh_burn_free(b);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "windows", test_windows_of_all_vms },
		{ "alerts", test_alerts_need_both_windows },
		{ "restarts and new VMs", test_restarts_and_new_vms },
		{ "few samples", test_too_few_samples },
		{ "sample line", test_sample_line },
		{ "output formats", test_output_formats },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("burn", tests);
}
