#include <string.h>

#include "base/clock.h"
#include "gateway/limits.h"
#include "platform/wire.h"
#include "tests/cunit_main.h"
#include "tests/fake_objects.h"

#define BORN_MS 100

struct fixture {
	uv_loop_t loop;
	struct dh_registry *reg;
	struct dh_gateway_settings settings;
	struct dh_limits *limits;
	int64_t now_ms;
};

static void
on_changed(void *arg)
{
	(void)arg;
}

/* The registry knows a backend server, i-1. */
static void
start(struct fixture *fx)
{
	struct json_object *spec = json_tokener_parse(
	    "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":2,\"state\":\"ready\",\"version\":\"1\","
	    "\"cold_left_s\":0,\"sequence\":1,\"born\":100}");
	struct dh_object_view v = {
		.name = "i-1", .revision = 3, .spec = spec
	};

	memset(fx, 0, sizeof(*fx));
	uv_loop_init(&fx->loop);
	fx->reg = dh_registry_new(
	    &fx->loop, NULL, NULL, &fx->settings, on_changed, fx);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, &v, 1);
	json_object_put(spec);
	fx->limits = dh_limits_new(fx->reg);
	fx->now_ms = 100000;
}

static void
end(struct fixture *fx)
{
	dh_limits_free(fx->limits);
	dh_registry_free(fx->reg);
	uv_run(&fx->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&fx->loop), 0);
}

static void
note(struct fixture *fx, const char *id, enum dh_limit_change change,
    double per_s, uint32_t offered, uint32_t admitted)
{
	struct dh_limit_report r = { .start_ms = BORN_MS,
		.change = change,
		.per_s = per_s,
		.offered = offered,
		.admitted = admitted };
	g_autoptr(GArray) list =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_limit_report));

	(void)g_strlcpy(r.id, id, sizeof(r.id));
	g_array_append_val(list, r);
	dh_limits_note_reports(fx->limits, list, fx->now_ms);
}

/* The limits that the leader shares; the caller frees the list. */
static GArray *
share(struct fixture *fx)
{
	GArray *list =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_shared_limit));

	dh_limits_share(fx->limits, list, fx->now_ms);
	return list;
}

static void
test_reports_of_all_vms_are_added_up(void)
{
	g_autoptr(GArray) list = NULL;
	const struct dh_shared_limit *s;
	struct fixture fx;
	int i;

	start(&fx);
	/* Not known to be limited. */
	note(&fx, "i-1", DH_LIMIT_UNCHANGED, 0, 50, 50);
	list = share(&fx);
	CU_ASSERT_EQUAL(list->len, 0);
	note(&fx, "i-1", DH_LIMIT_NAMED, 4.0, 0, 0);
	/* Ten VMs offer 4 a second each and admit a tenth of it. */
	for (i = 0; i < 80; i++) {
		fx.now_ms += 100;
		note(&fx, "i-1", DH_LIMIT_UNCHANGED, 0, 4, i % 5 < 2);
	}
	g_array_unref(list);
	list = share(&fx);
	CU_ASSERT_EQUAL_FATAL(list->len, 1);
	s = &g_array_index(list, struct dh_shared_limit, 0);
	CU_ASSERT_STRING_EQUAL(s->id, "i-1");
	CU_ASSERT_EQUAL(s->start_ms, BORN_MS);
	CU_ASSERT_DOUBLE_EQUAL(s->per_s, 4.0, 0);
	CU_ASSERT_TRUE(s->fraction > 0.04 && s->fraction < 0.1);
	CU_ASSERT_DOUBLE_EQUAL(
	    dh_limits_per_s(fx.limits, "i-1", BORN_MS), 4.0, 0);
	CU_ASSERT_TRUE(dh_limits_per_s(fx.limits, "i-1", BORN_MS + 1) < 0);
	CU_ASSERT_TRUE(dh_limits_per_s(fx.limits, "i-2", BORN_MS) < 0);
	end(&fx);
}

static void
test_end_of_a_limit(void)
{
	g_autoptr(GArray) list = NULL;
	struct fixture fx;

	start(&fx);
	note(&fx, "i-1", DH_LIMIT_NAMED, 4.0, 3, 3);
	/* Gone, or another incarnation than the registry's. */
	note(&fx, "i-2", DH_LIMIT_NAMED, 4.0, 3, 3);
	list = share(&fx);
	CU_ASSERT_EQUAL(list->len, 1);
	note(&fx, "i-1", DH_LIMIT_LIFTED, 0, 1, 1);
	g_array_unref(list);
	list = share(&fx);
	CU_ASSERT_EQUAL(list->len, 0);
	note(&fx, "i-1", DH_LIMIT_NAMED, 4.0, 3, 3);
	dh_limits_forget(fx.limits);
	g_array_unref(list);
	list = share(&fx);
	CU_ASSERT_EQUAL(list->len, 0);
	end(&fx);
}

static void
test_reports_of_several_workers(void)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_limit_report));
	struct dh_worker_report *r = g_new0(struct dh_worker_report, 1);
	const struct dh_limit_report *p;
	struct fixture fx;

	start(&fx);
	(void)g_strlcpy(r->limits[0].id, "i-1", sizeof(r->limits[0].id));
	r->limits[0].start_ms = BORN_MS;
	r->limits[0].change = DH_LIMIT_NAMED;
	r->limits[0].per_s = 2.5;
	r->limits[0].offered = 7;
	r->limits[0].admitted = 2;
	r->nlimits = 1;
	dh_limits_add_worker_report(fx.limits, r);
	r->limits[0].change = DH_LIMIT_UNCHANGED;
	r->limits[0].per_s = 0;
	dh_limits_add_worker_report(fx.limits, r);
	dh_limits_take_reports(fx.limits, list);
	CU_ASSERT_EQUAL_FATAL(list->len, 1);
	p = &g_array_index(list, struct dh_limit_report, 0);
	CU_ASSERT_EQUAL(p->change, DH_LIMIT_NAMED);
	CU_ASSERT_DOUBLE_EQUAL(p->per_s, 2.5, 0);
	CU_ASSERT_EQUAL(p->offered, 14);
	CU_ASSERT_EQUAL(p->admitted, 4);
	g_array_set_size(list, 0);
	dh_limits_take_reports(fx.limits, list);
	CU_ASSERT_EQUAL(list->len, 0);
	g_free(r);
	end(&fx);
}

/* A view has the shared limits of the incarnations that it knows, unless the
 * leader has been silent. */
/* A backend server that starts is limited by the configuration, without an
 * answer that says so: the fraction is shared once reports have been added up,
 * and no longer when it has started. */
static void
test_starting_server(void)
{
	static const char text[] =
	    "{\"version\":1,\"limits\":{\"header_bytes\":16384,"
	    "\"body_bytes\":1000,\"header_timeout_s\":3,\"idle_timeout_s\":15},"
	    "\"listeners\":[],\"clusters\":[{\"name\":\"s\",\"health_path\":"
	    "\"/health\",\"max_conns\":200,\"warmup_s\":3,"
	    "\"warmup_per_s\":6.5}]}";
	static const char entry[] =
	    "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":2,\"state\":\"ready\",\"version\":\"1\","
	    "\"cold_left_s\":0.3,\"sequence\":2,\"born\":100}";
	struct json_object *spec = json_tokener_parse(text);
	struct json_object *server = json_tokener_parse(entry);
	struct dh_object_view config = {
		.name = dh_wire_config_name, .revision = 10, .spec = spec
	};
	struct dh_object_view v = {
		.name = "i-1", .revision = 11, .spec = server
	};
	g_autoptr(GArray) shared =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_shared_limit));
	struct fixture fx;

	start(&fx);
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, &config, 1);
	dh_limits_share(fx.limits, shared, fx.now_ms);
	CU_ASSERT_EQUAL(shared->len, 0);
	CU_ASSERT_TRUE(dh_limits_per_s(fx.limits, "i-1", BORN_MS) < 0);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 11, &v, 1);
	dh_limits_share(fx.limits, shared, fx.now_ms);
	CU_ASSERT_EQUAL(shared->len, 0);
	CU_ASSERT_EQUAL(dh_limits_per_s(fx.limits, "i-1", BORN_MS), 6.5);
	dh_limits_share(fx.limits, shared, fx.now_ms + 1000);
	CU_ASSERT_EQUAL(shared->len, 1);
	g_usleep(350000);
	g_array_set_size(shared, 0);
	dh_limits_share(fx.limits, shared, fx.now_ms + 1200);
	CU_ASSERT_EQUAL(shared->len, 0);
	CU_ASSERT_TRUE(dh_limits_per_s(fx.limits, "i-1", BORN_MS) < 0);
	json_object_put(spec);
	json_object_put(server);
	end(&fx);
}

static void
test_limits_in_a_view(void)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_shared_limit));
	struct dh_shared_limit s = {
		.id = "i-1", .start_ms = BORN_MS, .per_s = 4.0, .fraction = 0.5
	};
	struct dh_deployment **box = dh_deployment_box(dh_deployment_new());
	struct dh_view *v = dh_view_new(box);
	struct fixture fx;

	start(&fx);
	v->servers = g_new0(struct dh_view_server, 1);
	v->nservers = 1;
	(void)g_strlcpy(v->servers[0].id, "i-1", sizeof(v->servers[0].id));
	v->servers[0].uid = 42;
	v->servers[0].start_ms = BORN_MS;
	v->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(v->by_id, v->servers[0].id, GUINT_TO_POINTER(1));
	CU_ASSERT_FALSE(dh_limits_set_shared(fx.limits, list, fx.now_ms));
	dh_limits_fill_view(fx.limits, v, fx.now_ms);
	CU_ASSERT_EQUAL(v->nlimits, 0);
	g_array_append_val(list, s);
	s.start_ms++;
	g_array_append_val(list, s);
	CU_ASSERT_TRUE(dh_limits_set_shared(fx.limits, list, fx.now_ms));
	dh_limits_fill_view(fx.limits, v, fx.now_ms + 2000);
	CU_ASSERT_EQUAL(v->nlimits, 0);
	dh_limits_fill_view(fx.limits, v, fx.now_ms + 100);
	CU_ASSERT_EQUAL_FATAL(v->nlimits, 1);
	CU_ASSERT_EQUAL(v->limits[0].uid, 42);
	CU_ASSERT_DOUBLE_EQUAL(v->limits[0].per_s, 4.0, 0);
	CU_ASSERT_DOUBLE_EQUAL(v->limits[0].fraction, 0.5, 0);
	/* The end of the last limit has to be published as well. */
	g_array_set_size(list, 0);
	CU_ASSERT_TRUE(dh_limits_set_shared(fx.limits, list, fx.now_ms));
	CU_ASSERT_FALSE(dh_limits_set_shared(fx.limits, list, fx.now_ms));
	dh_view_unref(v);
	dh_deployment_unbox(box);
	end(&fx);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "reports of all VMs", test_reports_of_all_vms_are_added_up },
		{ "end of a limit", test_end_of_a_limit },
		{ "reports of several workers",
		    test_reports_of_several_workers },
		{ "limits in a view", test_limits_in_a_view },
		{ "starting server", test_starting_server },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("limits", tests);
}
