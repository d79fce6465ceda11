#include <string.h>

#include <glib.h>

#include <dogwoodhub/key.h>

#include "router/load.h"
#include "tests/cunit_main.h"

static const struct dh_load_count *
find(const struct dh_load_report *r, uint32_t slot)
{
	uint32_t i;

	for (i = 0; i < r->nslots; i++)
		if (r->counts[i].slot == slot)
			return &r->counts[i];
	return NULL;
}

static void
test_counts_by_slot(void)
{
	struct dh_loads *ls = dh_loads_new();
	struct dh_load_report *r;

	dh_loads_add(ls, "feed", 0, 10);
	dh_loads_add(ls, "feed", 7, 5);
	dh_loads_add(ls, "feed", 0, 20);
	r = dh_loads_take(ls);
	CU_ASSERT_PTR_NOT_NULL_FATAL(r);
	CU_ASSERT_STRING_EQUAL(r->service, "feed");
	CU_ASSERT_EQUAL_FATAL(r->nslots, 2);
	CU_ASSERT_EQUAL(find(r, 0)->requests, 2);
	CU_ASSERT_EQUAL(find(r, 0)->busy_us, 30);
	CU_ASSERT_EQUAL(find(r, 7)->requests, 1);
	g_free(r);
	dh_loads_free(ls);
}

static void
test_reports_each_request_once(void)
{
	struct dh_loads *ls = dh_loads_new();
	struct dh_load_report *r;
	uint32_t n = 0;

	dh_loads_add(ls, "a", 1, 1);
	dh_loads_add(ls, "b", 1, 1);
	while ((r = dh_loads_take(ls)) != NULL) {
		n += r->counts[0].requests;
		g_free(r);
	}
	CU_ASSERT_EQUAL(n, 2);
	CU_ASSERT_PTR_NULL(dh_loads_take(ls));
	dh_loads_free(ls);
}

/* A report lists the hot keys by descending number of requests and leaves out
 * rare keys; counts start at 0 again after each report. */
static void
test_reports_hot_keys(void)
{
	struct dh_loads *ls = dh_loads_new();
	struct dh_load_report *r;
	char key[16];
	int i;

	for (i = 0; i < 3000; i++) {
		g_snprintf(key, sizeof(key), "k-%d", i);
		dh_loads_key(ls, "feed", i % 3 == 0 ? "hot" : key);
		if (i % 100 == 0)
			dh_loads_key(ls, "feed", "warm");
	}
	dh_loads_add(ls, "feed", 7, 5);
	r = dh_loads_take(ls);
	CU_ASSERT_PTR_NOT_NULL_FATAL(r);
	CU_ASSERT_EQUAL(r->key_total, 3030);
	CU_ASSERT_EQUAL_FATAL(r->nkeys, 2);
	CU_ASSERT_STRING_EQUAL(r->keys[0].key, "hot");
	CU_ASSERT_EQUAL(r->keys[0].requests, 1000);
	CU_ASSERT_EQUAL(r->keys[0].hash, dh_key_hash("hot", 3));
	CU_ASSERT_STRING_EQUAL(r->keys[1].key, "warm");
	CU_ASSERT_EQUAL(r->counts[0].slot, 7);
	g_free(r);
	dh_loads_key(ls, "feed", "hot");
	r = dh_loads_take(ls);
	CU_ASSERT_EQUAL(r->nkeys, 0);
	CU_ASSERT_EQUAL(r->key_total, 1);
	g_free(r);
	dh_loads_free(ls);
}

/* The number of keys in a report and the number of sketches are bounded,
 * however many services and hot keys there are. */
static void
test_hot_keys_are_bounded(void)
{
	struct dh_loads *ls = dh_loads_new();
	struct dh_load_report *r;
	uint32_t i, with_keys = 0;
	char name[16];

	for (i = 0; i < 3 * 400; i++) {
		g_snprintf(name, sizeof(name), "k-%u", i % 400);
		dh_loads_key(ls, "feed", name);
	}
	r = dh_loads_take(ls);
	CU_ASSERT_EQUAL(r->nkeys, DH_MSG_KEYS_MAX);
	g_free(r);
	for (i = 0; i < 2 * DH_LOADS_SKETCHES_MAX; i++) {
		g_snprintf(name, sizeof(name), "s-%u", i);
		dh_loads_key(ls, name, "k");
	}
	while ((r = dh_loads_take(ls)) != NULL) {
		with_keys += r->key_total > 0;
		g_free(r);
	}
	CU_ASSERT_EQUAL(with_keys, DH_LOADS_SKETCHES_MAX);
	dh_loads_free(ls);
}

static void
test_counts_by_backend(void)
{
	struct dh_loads *ls = dh_loads_new();
	struct dh_load_report *r;

	dh_loads_backend(ls, "feed", 3, true, 40);
	dh_loads_backend(ls, "feed", 4, false, 0);
	dh_loads_backend(ls, "feed", 3, true, 60);
	dh_loads_key(ls, "feed", "k");
	r = dh_loads_take(ls);
	CU_ASSERT_EQUAL_FATAL(r->nbackends, 2);
	CU_ASSERT_EQUAL(r->backends[0].backend, 3);
	CU_ASSERT_EQUAL(r->backends[0].answered, 2);
	CU_ASSERT_EQUAL(r->backends[0].latency_us, 100);
	CU_ASSERT_EQUAL(r->backends[1].failed, 1);
	g_free(r);
	dh_loads_free(ls);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "by slot", test_counts_by_slot },
		{ "once", test_reports_each_request_once },
		{ "hot keys", test_reports_hot_keys },
		{ "bounded", test_hot_keys_are_bounded },
		{ "by backend server", test_counts_by_backend },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("load", tests);
}
