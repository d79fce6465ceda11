#include <string.h>

#include "base/clock.h"
#include "gateway/evacuation.h"
#include "platform/wire.h"
#include "tests/cunit_main.h"
#include "tests/fake_objects.h"

struct fixture {
	uv_loop_t loop;
	struct dh_era *era;
	struct dh_evacuations *evacuations;
};

static void
start(struct fixture *fx)
{
	uv_loop_init(&fx->loop);
	fx->era = dh_era_new();
	fx->evacuations = dh_evacuations_new(&fx->loop, NULL, fx->era);
}

static void
end(struct fixture *fx)
{
	dh_evacuations_free(fx->evacuations);
	dh_era_free(fx->era);
	uv_run(&fx->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&fx->loop), 0);
}

static void
answer(const char *zone, bool deleted, uint64_t revision)
{
	struct dh_object_view v = {
		.name = zone, .revision = revision, .deleted = deleted
	};

	fake_answer(dh_wire_kind_evacuations, DH_OBJECTS_OK, revision, &v, 1);
}

static guint
count(const struct fixture *fx)
{
	g_autoptr(GPtrArray) zones = dh_evacuations_zones(fx->evacuations);

	CU_ASSERT_PTR_NOT_NULL(zones);
	return zones == NULL ? G_MAXUINT : zones->len;
}

static void
run_for(struct fixture *fx, int64_t ms)
{
	int64_t end_ms = dh_clock_ms() + ms;

	while (dh_clock_ms() < end_ms) {
		uv_run(&fx->loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
}

/* Nothing is said before the entries have been read: an empty list would put
 * zones back into use. */
static void
test_entries(void)
{
	struct fixture fx;

	start(&fx);
	CU_ASSERT_PTR_NULL(dh_evacuations_zones(fx.evacuations));
	fake_answer(dh_wire_kind_evacuations, DH_OBJECTS_OK, 10, NULL, 0);
	CU_ASSERT_EQUAL(count(&fx), 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open(dh_wire_kind_evacuations));
	CU_ASSERT_TRUE(fake_open(dh_wire_kind_evacuations)->watch);
	/* A dead connection shows in time for evacuate_s. */
	CU_ASSERT_TRUE(fake_open(dh_wire_kind_evacuations)->wait_ms <= 1500);
	answer("z1", false, 11);
	CU_ASSERT_EQUAL(count(&fx), 1);
	run_for(&fx, 600);
	answer("z1", true, 12);
	CU_ASSERT_EQUAL(count(&fx), 0);
	end(&fx);
}

/* The store does not answer: the entries that are known hold. */
static void
test_store_away(void)
{
	struct fixture fx;

	start(&fx);
	fake_answer(dh_wire_kind_evacuations, DH_OBJECTS_OK, 10, NULL, 0);
	answer("z1", false, 11);
	run_for(&fx, 600);
	fake_answer(dh_wire_kind_evacuations, DH_OBJECTS_UNKNOWN, 0, NULL, 0);
	CU_ASSERT_EQUAL(count(&fx), 1);
	end(&fx);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "entries", test_entries },
		{ "store away", test_store_away },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("evacuation", tests);
}
