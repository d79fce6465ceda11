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
	uint32_t changes, published;
};

static void
on_changed(void *arg)
{
	((struct fixture *)arg)->changes++;
}

static void
on_published(void *arg, const struct dh_registry_changes *n)
{
	(void)n;
	((struct fixture *)arg)->published++;
}

/* Both kinds have been listed as empty at revision 10, and are watched. */
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
	    (struct dh_registry_cursor){ .as_of = 10, .reached = true };
	fx->cursors[DH_REGISTRY_CONFIG] =
	    (struct dh_registry_cursor){ .as_of = 10, .reached = true };
}

static void
end(struct fixture *fx)
{
	dh_registry_free(fx->reg);
	uv_run(&fx->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&fx->loop), 0);
}

/* Hands over a heartbeat of the leader every 20 ms for a time of ms. */
static void
follow_for(struct fixture *fx, int64_t ms)
{
	int64_t end_ms = dh_clock_ms() + ms;

	do {
		dh_registry_set_leader_cursors(fx->reg, fx->cursors);
		uv_run(&fx->loop, UV_RUN_NOWAIT);
		g_usleep(20000);
	} while (dh_clock_ms() < end_ms);
}

/* Answers the watches that were open before the first heartbeat. */
static void
answer_open_watches(void)
{
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, NULL, 0);
}

static void
test_no_store_calls_while_the_leader_is_heard(void)
{
	struct fixture fx;

	start(&fx);
	follow_for(&fx, 20);
	answer_open_watches();
	follow_for(&fx, 500);
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_servers));
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_config));
	/* The leader is no longer heard from. */
	dh_registry_set_leader_cursors(fx.reg, NULL);
	CU_ASSERT_PTR_NOT_NULL(fake_open(dh_wire_kind_servers));
	CU_ASSERT_PTR_NOT_NULL(fake_open(dh_wire_kind_config));
	end(&fx);
}

static void
test_leader_that_cannot_reach_the_store(void)
{
	struct fixture fx;

	start(&fx);
	follow_for(&fx, 20);
	answer_open_watches();
	fx.cursors[DH_REGISTRY_CONFIG].reached = false;
	follow_for(&fx, 20);
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_servers));
	CU_ASSERT_PTR_NOT_NULL(fake_open(dh_wire_kind_config));
	end(&fx);
}

/* After a lost datagram the store is asked once for the missing changes. */
static void
test_missed_changes_are_read_from_the_store(void)
{
	struct fixture fx;

	start(&fx);
	follow_for(&fx, 20);
	answer_open_watches();
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
test_leader_watches_and_publishes(void)
{
	struct dh_object_view gone = {
		.name = "i-1", .revision = 12, .deleted = true
	};
	struct dh_registry_cursor cursors[DH_REGISTRY_KINDS];
	struct fixture fx;

	start(&fx);
	follow_for(&fx, 20);
	answer_open_watches();
	dh_registry_set_leading(fx.reg, on_published, &fx);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open(dh_wire_kind_servers));
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	CU_ASSERT_TRUE(fake_open(dh_wire_kind_servers)->wait_ms < 1000);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 12, &gone, 1);
	CU_ASSERT_EQUAL(fx.published, 1);
	dh_registry_cursors(fx.reg, cursors);
	CU_ASSERT_EQUAL(cursors[DH_REGISTRY_SERVERS].as_of, 12);
	CU_ASSERT_TRUE(cursors[DH_REGISTRY_SERVERS].reached);
	CU_ASSERT_EQUAL(cursors[DH_REGISTRY_CONFIG].as_of, 10);
	end(&fx);
}

static void
answer_server_state(int64_t born_ms, uint64_t revision, const char *state)
{
	g_autofree char *text = g_strdup_printf(
	    "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":2,\"state\":\"%s\",\"version\":\"1\","
	    "\"cold_left_s\":0,\"sequence\":%llu,\"born\":%lld}",
	    state, (unsigned long long)revision, (long long)born_ms);
	struct json_object *spec = json_tokener_parse(text);
	struct dh_object_view v = {
		.name = "i-1", .revision = revision, .spec = spec
	};

	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, revision, &v, 1);
	json_object_put(spec);
}

static void
answer_server_entry(int64_t born_ms, uint64_t revision)
{
	answer_server_state(born_ms, revision, "ready");
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

/* A backend server whose response said that it is leaving stays so marked for
 * that incarnation, whatever its entry in the store says. */
static void
test_leaving_reported_in_a_response(void)
{
	struct fixture fx;

	start(&fx);
	answer_server_entry(100, 11);
	follow_for(&fx, 400);
	CU_ASSERT_FALSE(is_leaving(fx.reg));
	/* An earlier incarnation. */
	dh_registry_mark_leaving(fx.reg, "i-1", 99);
	CU_ASSERT_FALSE(is_leaving(fx.reg));
	dh_registry_mark_leaving(fx.reg, "i-1", 100);
	CU_ASSERT_TRUE(is_leaving(fx.reg));
	dh_registry_set_leader_cursors(fx.reg, NULL);
	answer_server_entry(100, 12);
	CU_ASSERT_EQUAL(dh_registry_start_ms(fx.reg, "i-1"), 100);
	CU_ASSERT_TRUE(is_leaving(fx.reg));
	g_usleep(400000);
	follow_for(&fx, 20);
	dh_registry_set_leader_cursors(fx.reg, NULL);
	answer_server_entry(200, 13);
	CU_ASSERT_EQUAL(dh_registry_start_ms(fx.reg, "i-1"), 200);
	CU_ASSERT_FALSE(is_leaving(fx.reg));
	end(&fx);
}

/* Starts in era 1 with a backend server; there is no leader. */
static void
start_in_era_1(struct fixture *fx)
{
	fake_era = 1;
	start(fx);
	answer_server_entry(100, 11);
	follow_for(fx, 400);
	dh_registry_set_leader_cursors(fx->reg, NULL);
}

/* The store is restored from a copy made before a backend server left, which
 * has its old "ready" entry.  It stays marked as leaving for 5 s, in which the
 * entry could expire or change. */
static void
test_server_that_left_before_a_restore(void)
{
	struct dh_object_view gone = {
		.name = "i-1", .revision = 12, .deleted = true
	};
	struct fixture fx;

	start_in_era_1(&fx);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 12, &gone, 1);
	follow_for(&fx, 100);
	CU_ASSERT_TRUE(is_leaving(fx.reg));
	fake_era = 2;
	dh_registry_set_leader_cursors(fx.reg, NULL);
	g_usleep(350000);
	follow_for(&fx, 20);
	dh_registry_set_leader_cursors(fx.reg, NULL);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 9, NULL, 0);
	answer_server_entry(100, 8);
	CU_ASSERT_TRUE(is_leaving(fx.reg));
	follow_for(&fx, 4700);
	CU_ASSERT_TRUE(is_leaving(fx.reg));
	follow_for(&fx, 600);
	CU_ASSERT_FALSE(is_leaving(fx.reg));
	fake_era = 0;
	end(&fx);
}

/* A backend server whose entry the restored copy lacks is presumed gone only
 * after return_ms. */
static void
test_entry_missing_after_a_restore(void)
{
	struct fixture fx;

	start_in_era_1(&fx);
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

static const char keyed_config[] =
    "{\"version\":1,\"limits\":{\"header_bytes\":16384,\"body_bytes\":1000000,"
    "\"header_timeout_s\":3,\"idle_timeout_s\":15},\"listeners\":[{\"host\":"
    "\"h.example\",\"rules\":[{\"name\":\"read\",\"type\":\"safe\","
    "\"target_latency_s\":0.4,\"priority\":1,\"match\":{\"path_prefix\":\"/r/"
    "\"},\"action\":{\"service\":\"s\",\"timeout_s\":2,\"max_attempts\":3}}]}],"
    "\"clusters\":[{\"name\":\"s\",\"health_path\":\"/health\","
    "\"max_conns\":200,\"sharded\":true,\"warm_s\":2.0}]}";

/* A keyed service with one backend server, "ready" at revision 11; the leader
 * is heard, and a drain period lasts 2 s. */
static void
start_keyed(struct fixture *fx)
{
	struct json_object *spec = json_tokener_parse(keyed_config);
	struct dh_object_view config = {
		.name = dh_wire_config_name, .revision = 11, .spec = spec
	};

	start(fx);
	fx->settings.drain_ms = 2000;
	dh_registry_free(fx->reg);
	fx->reg = dh_registry_new(
	    &fx->loop, NULL, NULL, &fx->settings, on_changed, fx);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 11, &config, 1);
	json_object_put(spec);
	answer_server_entry(100, 11);
	fx->cursors[DH_REGISTRY_SERVERS].as_of = 11;
	follow_for(fx, 400);
	answer_open_watches();
}

/* Whether a backend server is sent no requests; true if the view lacks it. */
static bool
is_closed_of(struct dh_registry *reg, const char *id)
{
	struct dh_view *v = dh_registry_view(reg);
	bool closed = true;
	uint32_t i;

	if (v == NULL) {
		CU_FAIL("no view");
		return false;
	}
	i = dh_view_find(v, id);
	if (i != DH_NONE)
		closed = dh_view_server_is_closed(
		    &v->servers[i], (int64_t)(uv_hrtime() / 1000000));
	dh_view_unref(v);
	return closed;
}

static bool
is_closed(struct dh_registry *reg)
{
	return is_closed_of(reg, "i-1");
}

/* Answers the open watch of backend servers with an entry that has the address
 * of i-1. */
static void
answer_entry(
    const char *id, const char *service, int64_t born_ms, uint64_t revision)
{
	g_autofree char *text =
	    g_strdup_printf("{\"service\":\"%s\",\"address\":\"127.0.0.1:80\","
			    "\"zone\":\"z\",\"slots\":2,\"state\":\"ready\","
			    "\"version\":\"1\",\"cold_left_s\":0,"
			    "\"sequence\":1,\"born\":%lld}",
		service, (long long)born_ms);
	struct json_object *spec = json_tokener_parse(text);
	struct dh_object_view v = {
		.name = id, .revision = revision, .spec = spec
	};

	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, revision, &v, 1);
	json_object_put(spec);
}

/* An entry of another writer, which started later than i-1. */
static void
answer_foreign_entry(const char *service, uint64_t revision)
{
	answer_entry("agent-0", service, 900, revision);
}

/* A later configuration, which declares the services "s" and name. */
static void
answer_config_with(const char *name, int version)
{
	struct json_object *spec = json_tokener_parse(keyed_config), *list, *c;
	struct dh_object_view v = { .name = dh_wire_config_name,
		.revision = (uint64_t)version,
		.spec = spec };

	json_object_object_add(spec, "version", json_object_new_int(version));
	(void)json_object_object_get_ex(spec, "clusters", &list);
	c = json_object_new_object();
	json_object_object_add(c, "name", json_object_new_string(name));
	json_object_object_add(
	    c, "health_path", json_object_new_string("/health"));
	json_object_object_add(c, "max_conns", json_object_new_int(200));
	json_object_array_add(list, c);
	fake_answer(
	    dh_wire_kind_config, DH_OBJECTS_OK, (uint64_t)version, &v, 1);
	json_object_put(spec);
}

/* Whether the leader knows that a backend server has ended; false if it is not
 * told of it. */
static bool
is_dead_of(const struct dh_registry *reg, const char *id)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_keyspace_server));
	const struct dh_keyspace_server *s;
	guint i;

	dh_registry_servers(reg, "s", list);
	for (i = 0; i < list->len; i++) {
		s = &g_array_index(list, struct dh_keyspace_server, i);
		if (strcmp(s->id, id) == 0)
			return s->dead;
	}
	return false;
}

static bool
is_dead(const struct dh_registry *reg)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_keyspace_server));

	dh_registry_servers(reg, "s", list);
	CU_ASSERT_EQUAL_FATAL(list->len, 1);
	return is_dead_of(reg, "i-1");
}

static guint
count_disputed(const struct dh_registry *reg)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_instance));

	dh_registry_disputed(reg, "s", list);
	return list->len;
}

/* Guards against an entry of a service that no configuration names, which takes
 * the keys of the living backend server at its address away.  Once the service
 * is declared, two entries name the address, and the answers there decide. */
static void
test_entry_of_an_undeclared_service(void)
{
	struct fixture fx;

	start_keyed(&fx);
	dh_registry_set_leader_cursors(fx.reg, NULL);
	answer_foreign_entry("agent", 12);
	CU_ASSERT_EQUAL(dh_registry_start_ms(fx.reg, "agent-0"), 900);
	CU_ASSERT_FALSE(is_dead(fx.reg));
	CU_ASSERT_FALSE(is_closed(fx.reg));
	answer_config_with("unrelated", 13);
	CU_ASSERT_EQUAL(dh_registry_deployment(fx.reg)->version, 13);
	CU_ASSERT_FALSE(is_dead(fx.reg));
	CU_ASSERT_EQUAL(count_disputed(fx.reg), 0);
	g_usleep(400000);
	follow_for(&fx, 20);
	dh_registry_set_leader_cursors(fx.reg, NULL);
	answer_config_with("agent", 14);
	CU_ASSERT_EQUAL(dh_registry_deployment(fx.reg)->version, 14);
	CU_ASSERT_FALSE(is_dead(fx.reg));
	CU_ASSERT_EQUAL(count_disputed(fx.reg), 1);
	dh_registry_note_instance(fx.reg, "i-1", 100, false);
	CU_ASSERT_TRUE(is_dead(fx.reg));
	CU_ASSERT_EQUAL(count_disputed(fx.reg), 0);
	end(&fx);
}

/* Guards against an entry that names the service and the address of a living
 * backend server, and a later start, and so takes its keys and its requests
 * away before anybody has asked at that address. */
static void
test_entry_takes_the_address_of_a_living_server(void)
{
	struct fixture fx;

	start_keyed(&fx);
	dh_registry_set_leader_cursors(fx.reg, NULL);
	answer_foreign_entry("s", 12);
	CU_ASSERT_FALSE(is_dead(fx.reg));
	CU_ASSERT_FALSE(is_closed_of(fx.reg, "i-1"));
	CU_ASSERT_EQUAL(count_disputed(fx.reg), 2);
	/* It answers: the other entry names no backend server. */
	dh_registry_note_instance(fx.reg, "i-1", 100, true);
	CU_ASSERT_EQUAL(count_disputed(fx.reg), 0);
	CU_ASSERT_FALSE(is_closed_of(fx.reg, "i-1"));
	CU_ASSERT_TRUE(is_closed_of(fx.reg, "agent-0"));
	end(&fx);
}

/* An entry that is written once more with a later start is asked about anew,
 * and the earlier answer does not count for it. */
static void
test_second_start_at_a_disputed_address(void)
{
	struct fixture fx;

	start_keyed(&fx);
	dh_registry_set_leader_cursors(fx.reg, NULL);
	answer_foreign_entry("s", 12);
	dh_registry_note_instance(fx.reg, "i-1", 100, true);
	g_usleep(400000);
	follow_for(&fx, 20);
	dh_registry_set_leader_cursors(fx.reg, NULL);
	answer_entry("agent-0", "s", 950, 13);
	CU_ASSERT_EQUAL(count_disputed(fx.reg), 2);
	/* An answer that the start before gave says nothing about this one. */
	dh_registry_note_instance(fx.reg, "agent-0", 900, true);
	CU_ASSERT_EQUAL(count_disputed(fx.reg), 2);
	dh_registry_note_instance(fx.reg, "agent-0", 950, true);
	CU_ASSERT_EQUAL(count_disputed(fx.reg), 0);
	CU_ASSERT_TRUE(is_closed_of(fx.reg, "i-1"));
	CU_ASSERT_FALSE(is_closed_of(fx.reg, "agent-0"));
	end(&fx);
}

/* The entry of a backend server that was really replaced is removed: requests
 * go to the other one at once, and the leader asks before it takes the keys. */
static void
test_missing_entry_at_a_disputed_address(void)
{
	struct dh_object_view gone = {
		.name = "i-1", .revision = 13, .deleted = true
	};
	struct fixture fx;

	start_keyed(&fx);
	dh_registry_set_leader_cursors(fx.reg, NULL);
	answer_foreign_entry("s", 12);
	g_usleep(400000);
	follow_for(&fx, 20);
	dh_registry_set_leader_cursors(fx.reg, NULL);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 13, &gone, 1);
	CU_ASSERT_TRUE(is_closed_of(fx.reg, "i-1"));
	CU_ASSERT_FALSE(is_closed_of(fx.reg, "agent-0"));
	CU_ASSERT_FALSE(is_dead_of(fx.reg, "i-1"));
	CU_ASSERT_EQUAL(count_disputed(fx.reg), 1);
	dh_registry_note_instance(fx.reg, "i-1", 100, false);
	CU_ASSERT_TRUE(is_dead_of(fx.reg, "i-1"));
	CU_ASSERT_FALSE(is_dead_of(fx.reg, "agent-0"));
	end(&fx);
}

/* Whether the leader has to move the keys of a backend server of "s". */
static bool
is_leaving_of(const struct dh_registry *reg, const char *id)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_keyspace_server));
	const struct dh_keyspace_server *s;
	guint i;

	dh_registry_servers(reg, "s", list);
	for (i = 0; i < list->len; i++) {
		s = &g_array_index(list, struct dh_keyspace_server, i);
		if (strcmp(s->id, id) == 0)
			return s->leaving;
	}
	CU_FAIL("the backend server is not known");
	return false;
}

/* Lists a keyed service with a backend server in each of two regions, and a
 * route to it that has homes: a JSON list. */
static void
start_in_regions(struct fixture *fx, const char *homes)
{
	struct json_object *spec = json_tokener_parse(keyed_config);
	struct dh_object_view config = {
		.name = dh_wire_config_name, .revision = 11, .spec = spec
	};
	static const char *const ids[] = { "i-north", "i-south" };
	struct dh_object_view v[2];
	struct json_object *o;
	size_t i;

	start(fx);
	(void)g_strlcpy(fx->settings.zones, "n1=north,s1=south",
	    sizeof(fx->settings.zones));
	dh_registry_free(fx->reg);
	fx->reg = dh_registry_new(
	    &fx->loop, NULL, NULL, &fx->settings, on_changed, fx);
	for (i = 0; i < 2; i++) {
		g_autofree char *text = g_strdup_printf(
		    "{\"service\":\"s\",\"address\":\"127.0.0.1:%zu\","
		    "\"zone\":\"%s\",\"slots\":2,\"state\":\"ready\","
		    "\"version\":\"1\",\"cold_left_s\":0,\"sequence\":1,"
		    "\"born\":100}",
		    80 + i, i == 0 ? "n1" : "s1");

		v[i] = (struct dh_object_view){ .name = ids[i],
			.revision = 10,
			.spec = json_tokener_parse(text) };
	}
	(void)json_object_object_get_ex(spec, "listeners", &o);
	(void)json_object_object_get_ex(
	    json_object_array_get_idx(o, 0), "rules", &o);
	(void)json_object_object_get_ex(
	    json_object_array_get_idx(o, 0), "action", &o);
	json_object_object_add(o, "home_regions", json_tokener_parse(homes));
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, v, 2);
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 11, &config, 1);
	json_object_put(spec);
	for (i = 0; i < 2; i++)
		json_object_put(v[i].spec);
}

/* Guards against keys that are owned where a route to their service may not be
 * served. */
static void
test_keys_are_owned_in_the_homes(void)
{
	struct fixture fx;

	start_in_regions(&fx, "[]");
	CU_ASSERT_FALSE(is_leaving_of(fx.reg, "i-north"));
	CU_ASSERT_FALSE(is_leaving_of(fx.reg, "i-south"));
	end(&fx);
	start_in_regions(&fx, "[\"south\"]");
	CU_ASSERT_TRUE(is_leaving_of(fx.reg, "i-north"));
	CU_ASSERT_FALSE(is_leaving_of(fx.reg, "i-south"));
	end(&fx);
	/* No home has a backend server. */
	start_in_regions(&fx, "[\"east\"]");
	CU_ASSERT_FALSE(is_leaving_of(fx.reg, "i-north"));
	CU_ASSERT_FALSE(is_leaving_of(fx.reg, "i-south"));
	end(&fx);
}

static void
set_evacuated(struct fixture *fx, const char *zone, bool changes)
{
	g_autoptr(GPtrArray) zones = g_ptr_array_new();

	if (zone != NULL)
		g_ptr_array_add(zones, (gpointer)(uintptr_t)zone);
	CU_ASSERT_EQUAL(dh_registry_set_evacuated(fx->reg, zones), changes);
}

/* Keys leave the backend servers of an evacuated zone, which still get requests
 * for them for a part of evacuate_s, and none after that until the zone is in
 * use again. */
static void
test_evacuated_zone(void)
{
	struct fixture fx;

	start_in_regions(&fx, "[]");
	fx.settings.evacuate_ms = 500;
	set_evacuated(&fx, "n1", true);
	set_evacuated(&fx, "n1", false);
	CU_ASSERT_TRUE(is_leaving_of(fx.reg, "i-north"));
	CU_ASSERT_FALSE(is_leaving_of(fx.reg, "i-south"));
	CU_ASSERT_FALSE(is_closed_of(fx.reg, "i-north"));
	g_usleep(200000);
	CU_ASSERT_TRUE(is_closed_of(fx.reg, "i-north"));
	CU_ASSERT_FALSE(is_closed_of(fx.reg, "i-south"));
	set_evacuated(&fx, NULL, true);
	CU_ASSERT_FALSE(is_leaving_of(fx.reg, "i-north"));
	CU_ASSERT_FALSE(is_closed_of(fx.reg, "i-north"));
	end(&fx);
}

/* Guards against a zone that is put back into use because the restored store
 * lacks the operators' entry, which is written again. */
static void
test_evacuated_zone_after_a_restore(void)
{
	struct fixture fx;

	start_in_era_1(&fx);
	set_evacuated(&fx, "n1", true);
	fake_era = 2;
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 11, NULL, 0);
	set_evacuated(&fx, NULL, false);
	follow_for(&fx, 1500);
	set_evacuated(&fx, NULL, false);
	follow_for(&fx, 1000);
	set_evacuated(&fx, NULL, true);
	fake_era = 0;
	end(&fx);
}

/* Runs until ms after since_ms, without a heartbeat. */
static void
run_until(struct fixture *fx, int64_t since_ms, int64_t ms)
{
	while (dh_clock_ms() < since_ms + ms) {
		uv_run(&fx->loop, UV_RUN_NOWAIT);
		g_usleep(5000);
	}
}

/* Loses the leader and learns 1 s later, from the store, of a change that may
 * have been made right after the last heartbeat.  Returns the time of that. */
static int64_t
learn_late(struct fixture *fx, void (*answer)(void))
{
	int64_t heard_ms;

	follow_for(fx, 40);
	heard_ms = dh_clock_ms();
	CU_ASSERT_FALSE(is_closed(fx->reg));
	run_until(fx, heard_ms, 1000);
	dh_registry_set_leader_cursors(fx->reg, NULL);
	answer();
	run_until(fx, heard_ms, 1020);
	CU_ASSERT_TRUE(is_leaving(fx->reg));
	return heard_ms;
}

static void
check_closed_in_drain_period(struct fixture *fx, int64_t heard_ms)
{
	CU_ASSERT_FALSE(is_closed(fx->reg));
	run_until(fx, heard_ms, 1200);
	CU_ASSERT_FALSE(is_closed(fx->reg));
	run_until(fx, heard_ms, 1800);
	CU_ASSERT_TRUE(is_closed(fx->reg));
}

static void
answer_draining(void)
{
	answer_server_state(100, 12, "draining");
}

static void
answer_gone(void)
{
	struct dh_object_view gone = {
		.name = "i-1", .revision = 12, .deleted = true
	};

	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 12, &gone, 1);
}

static void
test_drain_period_learned_late(void)
{
	struct fixture fx;

	start_keyed(&fx);
	check_closed_in_drain_period(&fx, learn_late(&fx, answer_draining));
	end(&fx);
}

static void
test_drain_period_of_a_missing_entry(void)
{
	struct fixture fx;

	start_keyed(&fx);
	check_closed_in_drain_period(&fx, learn_late(&fx, answer_gone));
	end(&fx);
}

static void
test_drain_period_of_a_reported_leaving(void)
{
	struct fixture fx;
	int64_t heard_ms;

	start_keyed(&fx);
	follow_for(&fx, 40);
	heard_ms = dh_clock_ms();
	run_until(&fx, heard_ms, 1000);
	dh_registry_mark_leaving(fx.reg, "i-1", 100);
	check_closed_in_drain_period(&fx, heard_ms);
	end(&fx);
}

/* The leader's connection to the store is dead, but its heartbeats arrive: the
 * store is asked after half of the drain period. */
static void
test_leader_whose_copy_is_old(void)
{
	struct fixture fx;
	int64_t cut_ms;
	uint32_t *age_ms;

	start_keyed(&fx);
	follow_for(&fx, 40);
	cut_ms = dh_clock_ms();
	age_ms = &fx.cursors[DH_REGISTRY_SERVERS].age_ms;
	do {
		*age_ms = (uint32_t)(dh_clock_ms() - cut_ms);
		follow_for(&fx, 20);
		if (*age_ms < 900)
			CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_servers));
	} while (*age_ms < 1150);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open(dh_wire_kind_servers));
	CU_ASSERT_EQUAL(fake_open(dh_wire_kind_servers)->freshness, DH_FRESH);
	answer_draining();
	check_closed_in_drain_period(&fx, cut_ms);
	end(&fx);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "leader is heard",
		    test_no_store_calls_while_the_leader_is_heard },
		{ "leader without the store",
		    test_leader_that_cannot_reach_the_store },
		{ "missed changes",
		    test_missed_changes_are_read_from_the_store },
		{ "leaving", test_leaving_reported_in_a_response },
		{ "left before a restore",
		    test_server_that_left_before_a_restore },
		{ "missing after a restore",
		    test_entry_missing_after_a_restore },
		{ "drain learned late", test_drain_period_learned_late },
		{ "missing entry learned late",
		    test_drain_period_of_a_missing_entry },
		{ "leaving reported late",
		    test_drain_period_of_a_reported_leaving },
		{ "leader with an old copy", test_leader_whose_copy_is_old },
		{ "entry of an undeclared service",
		    test_entry_of_an_undeclared_service },
		{ "entry takes the address of a living server",
		    test_entry_takes_the_address_of_a_living_server },
		{ "second start at a disputed address",
		    test_second_start_at_a_disputed_address },
		{ "missing entry at a disputed address",
		    test_missing_entry_at_a_disputed_address },
		{ "keys in the homes", test_keys_are_owned_in_the_homes },
		{ "evacuated zone", test_evacuated_zone },
		{ "evacuated zone, store restored",
		    test_evacuated_zone_after_a_restore },
		{ "as the leader", test_leader_watches_and_publishes },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("registry", tests);
}
