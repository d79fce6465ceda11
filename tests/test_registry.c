#include <string.h>

#include "base/clock.h"
#include "gateway/registry.h"
#include "platform/wire.h"
#include "tests/cunit_main.h"
#include "tests/fake_objects.h"

struct fixture {
	uv_loop_t loop;
	struct dh_registry *reg;
	struct dh_gateway_settings settings;
	struct dh_registry_cursor cursors[DH_REGISTRY_KINDS];
	uint32_t changes, news;
};

static void
on_changed(void *arg)
{
	((struct fixture *)arg)->changes++;
}

static void
on_news(void *arg, const struct dh_registry_news *n)
{
	(void)n;
	((struct fixture *)arg)->news++;
}

/* Both kinds are empty as of 10, and are watched. */
static void
start(struct fixture *fx)
{
	memset(fx, 0, sizeof(*fx));
	fx->settings.return_ms = 2000;
	uv_loop_init(&fx->loop);
	fx->reg = dh_registry_new(
	    &fx->loop, NULL, NULL, &fx->settings, on_changed, fx);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, NULL, 0);
	fx->cursors[DH_REGISTRY_SERVERS] =
	    (struct dh_registry_cursor){ 10, true };
	fx->cursors[DH_REGISTRY_CONFIG] =
	    (struct dh_registry_cursor){ 10, true };
}

static void
end(struct fixture *fx)
{
	dh_registry_free(fx->reg);
	uv_run(&fx->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&fx->loop), 0);
}

/* Heartbeats of the leader, for so long. */
static void
follow_for(struct fixture *fx, int64_t ms)
{
	int64_t end_ms = dh_clock_ms() + ms;

	do {
		dh_registry_follow(fx->reg, fx->cursors);
		uv_run(&fx->loop, UV_RUN_NOWAIT);
		g_usleep(20000);
	} while (dh_clock_ms() < end_ms);
}

/* The watches that were open when the leader was heard of. */
static void
end_open(void)
{
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, NULL, 0);
}

static void
test_store_is_not_asked_while_the_leader_tells(void)
{
	struct fixture fx;

	start(&fx);
	follow_for(&fx, 20);
	end_open();
	follow_for(&fx, 500);
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_servers));
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_config));
	/* It is heard of no more. */
	dh_registry_follow(fx.reg, NULL);
	CU_ASSERT_PTR_NOT_NULL(fake_open(dh_wire_kind_servers));
	CU_ASSERT_PTR_NOT_NULL(fake_open(dh_wire_kind_config));
	end(&fx);
}

static void
test_leader_without_the_store_is_not_relied_on(void)
{
	struct fixture fx;

	start(&fx);
	follow_for(&fx, 20);
	end_open();
	fx.cursors[DH_REGISTRY_CONFIG].reached = false;
	follow_for(&fx, 20);
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_servers));
	CU_ASSERT_PTR_NOT_NULL(fake_open(dh_wire_kind_config));
	end(&fx);
}

/* A datagram was lost: the store is asked once what is missing. */
static void
test_missed_news_are_asked_for(void)
{
	struct fixture fx;

	start(&fx);
	follow_for(&fx, 20);
	end_open();
	fx.cursors[DH_REGISTRY_SERVERS].as_of = 15;
	follow_for(&fx, 100);
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_servers));
	follow_for(&fx, 500);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open(dh_wire_kind_servers));
	CU_ASSERT_EQUAL(fake_open(dh_wire_kind_servers)->since, 10);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 15, NULL, 0);
	follow_for(&fx, 500);
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_servers));
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_config));
	end(&fx);
}

static void
test_leader_watches_and_tells(void)
{
	struct dh_object_view gone = {
		.name = "i-1", .revision = 12, .deleted = true
	};
	struct dh_registry_cursor cursors[DH_REGISTRY_KINDS];
	struct fixture fx;

	start(&fx);
	follow_for(&fx, 20);
	end_open();
	dh_registry_feed(fx.reg, on_news, &fx);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open(dh_wire_kind_servers));
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	CU_ASSERT_TRUE(fake_open(dh_wire_kind_servers)->wait_ms < 1000);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 12, &gone, 1);
	CU_ASSERT_EQUAL(fx.news, 1);
	dh_registry_cursors(fx.reg, cursors);
	CU_ASSERT_EQUAL(cursors[DH_REGISTRY_SERVERS].as_of, 12);
	CU_ASSERT_TRUE(cursors[DH_REGISTRY_SERVERS].reached);
	CU_ASSERT_EQUAL(cursors[DH_REGISTRY_CONFIG].as_of, 10);
	end(&fx);
}

static void
enter_server(int64_t born_ms, uint64_t revision)
{
	g_autofree char *text = g_strdup_printf(
	    "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":2,\"state\":\"ready\",\"version\":\"1\","
	    "\"cold_left_s\":0,\"sequence\":%llu,\"born\":%lld}",
	    (unsigned long long)revision, (long long)born_ms);
	struct json_object *spec = json_tokener_parse(text);
	struct dh_object_view v = {
		.name = "i-1", .revision = revision, .spec = spec
	};

	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, revision, &v, 1);
	json_object_put(spec);
}

static bool
is_leaving(const struct dh_registry *reg)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_keyspace_server));

	dh_registry_servers(reg, "s", list);
	CU_ASSERT_EQUAL_FATAL(list->len, 1);
	return g_array_index(list, struct dh_keyspace_server, 0).leaving;
}

/* What an answer has said holds for that life, whatever the entry says. */
static void
test_leaving_by_an_answer(void)
{
	struct fixture fx;

	start(&fx);
	enter_server(100, 11);
	follow_for(&fx, 400);
	CU_ASSERT_FALSE(is_leaving(fx.reg));
	dh_registry_said_leaving(fx.reg, "i-1", 99); /* of a life before */
	CU_ASSERT_FALSE(is_leaving(fx.reg));
	dh_registry_said_leaving(fx.reg, "i-1", 100);
	CU_ASSERT_TRUE(is_leaving(fx.reg));
	dh_registry_follow(fx.reg, NULL);
	enter_server(100, 12);
	CU_ASSERT_EQUAL(dh_registry_born_ms(fx.reg, "i-1"), 100);
	CU_ASSERT_TRUE(is_leaving(fx.reg));
	g_usleep(400000);
	follow_for(&fx, 20);
	dh_registry_follow(fx.reg, NULL);
	enter_server(200, 13);
	CU_ASSERT_EQUAL(dh_registry_born_ms(fx.reg, "i-1"), 200);
	CU_ASSERT_FALSE(is_leaving(fx.reg));
	end(&fx);
}

/* Knows a backend server, and follows the store itself. */
static void
start_in_first_era(struct fixture *fx)
{
	fake_era = 1;
	start(fx);
	enter_server(100, 11);
	follow_for(fx, 400);
	dh_registry_follow(fx->reg, NULL);
}

/* The store went back to before the backend server had left: it is not used
 * again because of that, unless its entry stands. */
static void
test_left_before_the_store_went_back(void)
{
	struct dh_object_view gone = {
		.name = "i-1", .revision = 12, .deleted = true
	};
	struct fixture fx;

	start_in_first_era(&fx);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 12, &gone, 1);
	follow_for(&fx, 100);
	CU_ASSERT_TRUE(is_leaving(fx.reg));
	fake_era = 2;
	dh_registry_follow(fx.reg, NULL);
	g_usleep(350000);
	follow_for(&fx, 20);
	dh_registry_follow(fx.reg, NULL);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 9, NULL, 0);
	enter_server(100, 8);
	CU_ASSERT_TRUE(is_leaving(fx.reg));
	follow_for(&fx, 4700);
	CU_ASSERT_TRUE(is_leaving(fx.reg));
	follow_for(&fx, 600);
	CU_ASSERT_FALSE(is_leaving(fx.reg));
	fake_era = 0;
	end(&fx);
}

/* Entries that the copy lacks are awaited. */
static void
test_missing_since_the_store_went_back(void)
{
	struct fixture fx;

	start_in_first_era(&fx);
	fake_era = 2;
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 11, NULL, 0);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 9, NULL, 0);
	follow_for(&fx, 1500);
	CU_ASSERT_FALSE(is_leaving(fx.reg));
	follow_for(&fx, 1000);
	CU_ASSERT_TRUE(is_leaving(fx.reg));
	fake_era = 0;
	end(&fx);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "leader tells",
		    test_store_is_not_asked_while_the_leader_tells },
		{ "leader without the store",
		    test_leader_without_the_store_is_not_relied_on },
		{ "missed news", test_missed_news_are_asked_for },
		{ "leaving", test_leaving_by_an_answer },
		{ "left, went back", test_left_before_the_store_went_back },
		{ "missing, went back",
		    test_missing_since_the_store_went_back },
		{ "as the leader", test_leader_watches_and_tells },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("registry", tests);
}
