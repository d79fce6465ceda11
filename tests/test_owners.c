/*
 * The election of the leader, seen from one VM.  The tests answer its calls to
 * the store, and send datagrams over loopback in place of the other VM.
 */
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "gateway/owners.h"
#include "gateway/peer.h"
#include "platform/wire.h"
#include "tests/cunit_main.h"
#include "tests/fake_objects.h"
#include "tests/free_port.h"

#define KIND "dogwoodhub-owners"
#define SELF "127.0.0.1"
#define OTHER "127.0.0.2"

static const char config[] =
    "{\"version\":1,\"limits\":{\"header_bytes\":16384,\"body_bytes\":65536,"
    "\"header_timeout_s\":3,\"idle_timeout_s\":15},\"listeners\":[],"
    "\"clusters\":[{\"name\":\"s\",\"health_path\":\"/health/\","
    "\"max_conns\":10,\"sharded\":true}]}";

/* The leader's object: it names the other VM, in term 3. */
static const char other_leads_spec[] =
    "{\"vm\":\"vm-2\",\"ip\":\"127.0.0.2\",\"incarnation\":\"x\",\"term\":3}";

static uint16_t port; /* UDP port of all VMs */

struct fixture {
	uv_loop_t loop;
	struct dh_http *http, *grants;
	struct dh_registry *reg;
	struct dh_owners *owners;
	struct dh_peer *other;
	struct dh_gateway_settings settings;
};

static void
on_changed(void *arg)
{
	(void)arg;
}

static bool leader_lost; /* as its last heartbeat says */
static uint64_t last_beat; /* number of that heartbeat */

static void
on_beat(void *arg, const struct dh_leader_heartbeat *beat, const char *ip)
{
	(void)arg;
	(void)ip;
	leader_lost = beat->lost;
	last_beat = beat->number;
}

static uint32_t whole_records; /* parts of them that the other VM got */
static uint32_t deltas; /* that it got */
/* The other VM answers each delta by a report of the version before: a report
 * that was under way when the leader published. */
static bool report_crosses_delta;
/* The other VM has lost all deltas from the first on: its reports name the
 * version before it. */
static bool first_delta_lost;
static uint64_t first_base; /* of the first delta; 0: none came yet */
static uint32_t first_delta_again; /* times that it was sent again */

static void
on_owners(void *arg, const struct dh_peer_part *p)
{
	(void)arg;
	(void)p;
	whole_records++;
}

static void send_report_of_version(
    struct fixture *fx, uint64_t term, uint64_t version);

static void
on_delta(void *arg, const struct dh_peer_delta *d)
{
	deltas++;
	if (first_base == 0)
		first_base = d->base;
	else if (d->base == first_base)
		first_delta_again++;
	if (first_delta_lost)
		send_report_of_version(arg, d->term, first_base);
	else if (report_crosses_delta)
		send_report_of_version(arg, d->term, d->base);
}

static void
on_report(void *arg, const struct dh_peer_report *r, const char *ip)
{
	(void)arg;
	(void)r;
	(void)ip;
}

static uint32_t news_got; /* changes in the store that the other VM got */

static void
on_news(void *arg, const struct dh_registry_changes *n, uint64_t term)
{
	(void)arg;
	(void)term;
	news_got += (uint32_t)n->nitems;
}

static uint32_t cursors; /* datagrams that the other VM got */
static struct dh_peer_cursors last_cursors;

static void
on_cursors(void *arg, const struct dh_peer_cursors *c, const char *ip)
{
	(void)arg;
	(void)ip;
	cursors++;
	last_cursors = *c;
}

static void
answer_with(const char *name, enum dh_objects_result result, uint64_t revision,
    const char *spec)
{
	struct json_object *o = json_tokener_parse(spec);
	struct dh_object_view v = {
		.name = name, .revision = revision, .spec = o
	};

	fake_answer(name, result, revision, &v, 1);
	json_object_put(o);
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

/* Starts a VM that knows the configuration, an empty list of backend servers,
 * and the given objects of its own kind. */
static void
start(struct fixture *fx, const struct dh_object_view *items, size_t n)
{
	struct dh_peer_handler h = { on_beat, on_owners, on_delta, on_report,
		on_news, NULL, on_cursors, fx };
	struct json_object *o = json_tokener_parse(config);
	struct dh_object_view v = {
		.name = dh_wire_config_name, .revision = 5, .spec = o
	};
	struct dh_owners_context c = { .loop = &fx->loop,
		.settings = &fx->settings,
		.ip = SELF,
		.changed = on_changed };

	memset(fx, 0, sizeof(*fx));
	(void)g_strlcpy(fx->settings.vm, "vm-1", sizeof(fx->settings.vm));
	(void)g_strlcpy(fx->settings.zone, "z", sizeof(fx->settings.zone));
	fx->settings.peer_port = port;
	fx->settings.beat_ms = 60;
	fx->settings.silence_ms = 200;
	fx->settings.solo_ms = 15000;
	fx->settings.hold_ms = 2000;
	fx->settings.hold_max_ms = 10000;
	fx->settings.renew_ms = 100;
	fx->settings.order_ms = 100;
	fx->settings.core_share_milli = 500;
	uv_loop_init(&fx->loop);
	fx->http = dh_http_new(&fx->loop);
	fx->grants = dh_http_new(&fx->loop);
	fx->reg = dh_registry_new(
	    &fx->loop, NULL, NULL, &fx->settings, on_changed, NULL);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, &v, 1);
	json_object_put(o);
	c.http = fx->http;
	c.grants = fx->grants;
	c.registry = fx->reg;
	fx->owners = dh_owners_new(&c, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fx->owners);
	fx->other = dh_peer_new(&fx->loop, OTHER, port, &h, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fx->other);
	fake_answer(KIND, DH_OBJECTS_OK, 10, items, n);
}

static void
stop(struct fixture *fx)
{
	dh_peer_free(fx->other);
	dh_owners_free(fx->owners);
	dh_registry_free(fx->reg);
	dh_http_free(fx->grants);
	dh_http_free(fx->http);
	uv_run(&fx->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&fx->loop), 0);
}

static void
send_beat_of(struct fixture *fx, uint64_t term, bool lost)
{
	struct dh_leader_heartbeat b = {
		.vm = "vm-2", .term = term, .lost = lost, .vms = 2
	};

	b.cursors[DH_REGISTRY_SERVERS] =
	    (struct dh_registry_cursor){ .as_of = 10, .reached = true };
	b.cursors[DH_REGISTRY_CONFIG] =
	    (struct dh_registry_cursor){ .as_of = 10, .reached = true };
	dh_peer_send_heartbeat(fx->other, SELF, &b);
	run_for(fx, 20);
}

/* The leader says that it does not reach the store. */
static void
send_failing_beat(struct fixture *fx, uint64_t term)
{
	struct dh_leader_heartbeat b = {
		.vm = "vm-2", .term = term, .failing = true, .vms = 2
	};

	dh_peer_send_heartbeat(fx->other, SELF, &b);
	run_for(fx, 20);
}

static void
send_beat(struct fixture *fx, uint64_t term)
{
	send_beat_of(fx, term, false);
}

/* The routers of this VM reach backend servers of the keyed service, or none.
 */
static void
set_keyed_lost(struct fixture *fx, bool lost)
{
	struct dh_worker_report *r = g_new0(struct dh_worker_report, 1);

	r->keyed_lost = lost;
	dh_owners_add_report(fx->owners, r);
	g_free(r);
}

/* Sends a report of a VM that has that version of the owners of service s; 0:
 * it knows no keyed service. */
static void
send_report_from(
    struct dh_peer *from, const char *vm, uint64_t term, uint64_t version)
{
	struct dh_peer_report r = { .term = term, .beat = last_beat };

	(void)g_strlcpy(r.vm, vm, sizeof(r.vm));
	if (version != 0) {
		r.nowners = 1;
		(void)g_strlcpy(
		    r.owners[0].service, "s", sizeof(r.owners[0].service));
		r.owners[0].term = term;
		r.owners[0].version = version;
	}
	r.keys = g_array_new(FALSE, TRUE, sizeof(struct dh_peer_key));
	r.servers = g_array_new(FALSE, TRUE, sizeof(struct dh_peer_server));
	r.leaving = g_array_new(FALSE, TRUE, sizeof(struct dh_peer_leaving));
	dh_peer_send_report(from, SELF, &r);
	g_array_unref(r.keys);
	g_array_unref(r.servers);
	g_array_unref(r.leaving);
}

static void
send_report_of_version(struct fixture *fx, uint64_t term, uint64_t version)
{
	send_report_from(fx->other, "vm-2", term, version);
}

/* Sends a report of the other VM, which follows the leader of that term. */
static void
send_report(struct fixture *fx, uint64_t term)
{
	send_report_of_version(fx, term, 0);
	run_for(fx, 100);
}

/* Runs until this VM reads the leader's object from the store. */
static void
wait_for_read(struct fixture *fx)
{
	int i;

	for (i = 0; i < 200 && fake_open("leader") == NULL; i++)
		run_for(fx, 10);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader"));
	CU_ASSERT_PTR_NULL(fake_open("leader")->put);
}

static void
test_silent_leader_is_replaced(void)
{
	struct fixture fx;

	start(&fx, NULL, 0);
	send_beat(&fx, 3);
	wait_for_read(&fx);
	answer_with("leader", DH_OBJECTS_OK, 40, other_leads_spec);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader")->put);
	CU_ASSERT_EQUAL(fake_open("leader")->revision, 40);
	CU_ASSERT_PTR_NOT_NULL(strstr(fake_open("leader")->put, "\"term\":4"));
	answer_with("leader", DH_OBJECTS_OK, 41, "{}");
	CU_ASSERT_TRUE(dh_owners_is_leader(fx.owners));
	/* It gives way to a leader of a higher term. */
	send_beat(&fx, 5);
	CU_ASSERT_FALSE(dh_owners_is_leader(fx.owners));
	stop(&fx);
}

/* Another VM becomes the leader and its heartbeat arrives while this VM reads
 * the object: this VM must not replace it. */
static void
test_leader_heard_during_read(void)
{
	struct fixture fx;

	start(&fx, NULL, 0);
	send_beat(&fx, 3);
	wait_for_read(&fx);
	send_beat(&fx, 4);
	answer_with("leader", DH_OBJECTS_OK, 41,
	    "{\"vm\":\"vm-2\",\"ip\":\"127.0.0.2\",\"incarnation\":\"y\","
	    "\"term\":4}");
	CU_ASSERT_PTR_NULL(fake_open("leader"));
	CU_ASSERT_FALSE(dh_owners_is_leader(fx.owners));
	stop(&fx);
}

/* Another VM replaces the leader's object first: this VM follows it. */
static void
test_conflict_in_store(void)
{
	struct fixture fx;

	start(&fx, NULL, 0);
	send_beat(&fx, 3);
	wait_for_read(&fx);
	answer_with("leader", DH_OBJECTS_OK, 40, other_leads_spec);
	answer_with("leader", DH_OBJECTS_CONFLICT, 41,
	    "{\"vm\":\"vm-3\",\"ip\":\"127.0.0.3\",\"incarnation\":\"z\","
	    "\"term\":4}");
	CU_ASSERT_FALSE(dh_owners_is_leader(fx.owners));
	run_for(&fx, 100);
	CU_ASSERT_PTR_NULL(fake_open("leader"));
	stop(&fx);
}

/* Makes this VM the leader in term 4, after the other VM. */
static void
lead_after_other(struct fixture *fx)
{
	send_beat(fx, 3);
	wait_for_read(fx);
	answer_with("leader", DH_OBJECTS_OK, 40, other_leads_spec);
	answer_with("leader", DH_OBJECTS_OK, 41, "{}");
	CU_ASSERT_TRUE(dh_owners_is_leader(fx->owners));
}

/* Guards against all VMs that ask the store at the same moment, when the leader
 * falls silent: another VM of the zone goes first. */
static void
test_store_is_read_in_turn(void)
{
	struct json_object *o = json_tokener_parse(
	    "{\"ip\":\"127.0.0.3\",\"core_share_milli\":900,\"zone\":\"z\","
	    "\"relays\":1}");
	struct dh_object_view v = {
		.name = "vm.vm-3", .revision = 7, .spec = o
	};
	struct fixture fx;
	int i;

	start(&fx, &v, 1);
	fx.settings.silence_ms = 2000;
	for (i = 0; i < 20; i++) {
		send_beat(&fx, 3);
		if (fake_open(dh_wire_kind_servers) != NULL)
			fake_answer(
			    dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	}
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_servers));
	/* Three heartbeats and a step are missing: the leader is silent. */
	run_for(&fx, 3 * fx.settings.beat_ms + 80);
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_servers));
	/* The other VM does not read it either: this one does. */
	run_for(&fx, 400);
	CU_ASSERT_PTR_NOT_NULL(fake_open(dh_wire_kind_servers));
	stop(&fx);
	json_object_put(o);
}

/* Sends the cursors of the other VM, which is larger than this one and reads
 * the store for its zone. */
static void
send_cursors(struct fixture *fx, bool reached)
{
	struct dh_peer_cursors c = { .core_share_milli = 900 };

	c.cursors[DH_REGISTRY_SERVERS] =
	    (struct dh_registry_cursor){ .as_of = 10, .reached = reached };
	c.cursors[DH_REGISTRY_CONFIG] =
	    (struct dh_registry_cursor){ .as_of = 10, .reached = reached };
	dh_peer_send_cursors(fx->other, SELF, &c);
	run_for(fx, 40);
}

static void
test_reader_of_the_zone_is_followed(void)
{
	struct fixture fx;
	int i;

	start(&fx, NULL, 0);
	fx.settings.silence_ms = 4000;
	fx.settings.drain_ms = 1000;
	for (i = 0; i < 20; i++) {
		send_beat(&fx, 3);
		if (fake_open(dh_wire_kind_servers) != NULL)
			fake_answer(
			    dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	}
	CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_servers));
	/* The leader says that it lacks the store, and this VM starts to read
	 * before it hears of the other one; its open watch is answered. */
	fx.settings.core_share_milli = 100;
	for (i = 0; i < 30; i++) {
		send_cursors(&fx, true);
		send_failing_beat(&fx, 3);
		if (i > 2)
			CU_ASSERT_PTR_NULL(fake_open(dh_wire_kind_servers));
		if (fake_open(dh_wire_kind_servers) != NULL)
			fake_answer(
			    dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	}
	/* One that does not reach the store is not followed. */
	for (i = 0; i < 10 && fake_open(dh_wire_kind_servers) == NULL; i++)
		send_cursors(&fx, false);
	CU_ASSERT_PTR_NOT_NULL(fake_open(dh_wire_kind_servers));
	stop(&fx);
}

/* Guards against backend servers that are presumed gone, and a leader that is
 * replaced, after an outage of the store that this VM did not ask in. */
static void
test_outage_is_known_without_a_turn(void)
{
	struct json_object *o = json_tokener_parse(
	    "{\"ip\":\"127.0.0.3\",\"core_share_milli\":900,\"zone\":\"z\","
	    "\"relays\":1}");
	struct dh_object_view v[8];
	struct dh_registry_cursor known[DH_REGISTRY_KINDS];
	char names[G_N_ELEMENTS(v)][16], ip[32];
	struct fixture fx;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(v); i++) {
		(void)g_snprintf(
		    names[i], sizeof(names[i]), "vm.vm-%zu", i + 3);
		(void)g_snprintf(ip, sizeof(ip), "127.0.0.%zu", i + 3);
		v[i] = (struct dh_object_view){
			.name = names[i], .revision = 7 + i, .spec = NULL
		};
		json_object_deep_copy(o, &v[i].spec, NULL);
		json_object_object_add(
		    v[i].spec, "ip", json_object_new_string(ip));
	}
	start(&fx, v, G_N_ELEMENTS(v));
	fx.settings.silence_ms = 5000;
	for (i = 0; i < 20; i++) {
		send_beat(&fx, 3);
		if (fake_open(dh_wire_kind_servers) != NULL)
			fake_answer(
			    dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	}
	for (i = 0; i < 50; i++)
		send_failing_beat(&fx, 3);
	dh_registry_cursors(fx.reg, known);
	CU_ASSERT_FALSE(known[DH_REGISTRY_SERVERS].reached);
	send_cursors(&fx, true);
	dh_registry_cursors(fx.reg, known);
	CU_ASSERT_TRUE(known[DH_REGISTRY_SERVERS].reached);
	/* The VM that reads falls silent: the turns begin anew. */
	for (i = 0; i < 35; i++)
		send_failing_beat(&fx, 3);
	dh_registry_cursors(fx.reg, known);
	CU_ASSERT_TRUE(known[DH_REGISTRY_SERVERS].reached);
	stop(&fx);
	for (i = 0; i < G_N_ELEMENTS(v); i++)
		json_object_put(v[i].spec);
	json_object_put(o);
}

static void
test_vm_reads_for_its_zone(void)
{
	struct json_object *o = json_tokener_parse(
	    "{\"ip\":\"127.0.0.2\",\"core_share_milli\":100,\"zone\":\"z\","
	    "\"relays\":1}");
	struct json_object *elsewhere = json_tokener_parse(
	    "{\"ip\":\"127.0.0.3\",\"core_share_milli\":900,\"zone\":\"y\","
	    "\"relays\":1}");
	struct dh_object_view v[] = {
		{ .name = "vm.vm-2", .revision = 7, .spec = o },
		{ .name = "vm.vm-3", .revision = 8, .spec = elsewhere },
	};
	struct fixture fx;
	int i;

	news_got = cursors = 0;
	start(&fx, v, 2);
	fx.settings.silence_ms = 2000;
	send_beat(&fx, 3);
	if (fake_open(dh_wire_kind_servers) != NULL)
		fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	run_for(&fx, 4 * fx.settings.beat_ms);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open(dh_wire_kind_servers));
	answer_with(dh_wire_kind_servers, DH_OBJECTS_OK, 11, "{}");
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, NULL, 0);
	for (i = 0; i < 20 && !last_cursors.cursors[0].reached; i++)
		run_for(&fx, 20);
	CU_ASSERT_TRUE(cursors > 0);
	CU_ASSERT_EQUAL(news_got, 1);
	CU_ASSERT_EQUAL(last_cursors.cursors[DH_REGISTRY_SERVERS].as_of, 11);
	/* A leader that reaches the store ends it. */
	send_beat(&fx, 4);
	run_for(&fx, 20);
	cursors = 0;
	for (i = 0; i < 10; i++)
		send_beat(&fx, 4);
	CU_ASSERT_EQUAL(cursors, 0);
	stop(&fx);
	json_object_put(o);
	json_object_put(elsewhere);
}

/* Guards against a VM that reads for its zone, does not reach the store, and
 * keeps the other VMs there from reading it themselves. */
static void
test_reader_without_the_store_says_nothing(void)
{
	struct json_object *o = json_tokener_parse(
	    "{\"ip\":\"127.0.0.2\",\"core_share_milli\":100,\"zone\":\"z\","
	    "\"relays\":1}");
	struct dh_object_view v = {
		.name = "vm.vm-2", .revision = 7, .spec = o
	};
	struct fixture fx;
	int i;

	start(&fx, &v, 1);
	fx.settings.silence_ms = 2000;
	send_beat(&fx, 3);
	if (fake_open(dh_wire_kind_servers) != NULL)
		fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	cursors = 0;
	run_for(&fx, 12 * fx.settings.beat_ms);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open(dh_wire_kind_servers));
	CU_ASSERT_EQUAL(cursors, 0);
	/* Half of what it reads is not enough. */
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	run_for(&fx, 4 * fx.settings.beat_ms);
	CU_ASSERT_EQUAL(cursors, 0);
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, NULL, 0);
	for (i = 0; i < 20 && cursors == 0; i++)
		run_for(&fx, 20);
	CU_ASSERT_TRUE(cursors > 0);
	stop(&fx);
	json_object_put(o);
}

/* The leader reaches the store and this VM, but no backend server: leases would
 * end. */
static void
test_leader_without_backend_servers_is_replaced(void)
{
	struct fixture fx;
	int i;

	start(&fx, NULL, 0);
	for (i = 0; i < 30 && fake_open("leader") == NULL; i++) {
		send_beat_of(&fx, 3, true);
		run_for(&fx, 40);
	}
	CU_ASSERT_PTR_NOT_NULL(fake_open("leader"));
	stop(&fx);
	/* This VM reaches none either, and does not replace it. */
	start(&fx, NULL, 0);
	set_keyed_lost(&fx, true);
	for (i = 0; i < 30; i++) {
		send_beat_of(&fx, 3, true);
		run_for(&fx, 40);
	}
	CU_ASSERT_PTR_NULL(fake_open("leader"));
	/* Nor is one that reaches them, whatever this VM does. */
	for (i = 0; i < 30; i++) {
		send_beat_of(&fx, 3, false);
		run_for(&fx, 40);
	}
	CU_ASSERT_PTR_NULL(fake_open("leader"));
	stop(&fx);
}

static void
test_leader_says_that_it_lacks_backend_servers(void)
{
	struct json_object *o = json_tokener_parse(
	    "{\"ip\":\"127.0.0.2\",\"core_share_milli\":500,\"zone\":\"z\"}");
	struct dh_object_view v = {
		.name = "vm.vm-2", .revision = 7, .spec = o
	};
	struct fixture fx;

	start(&fx, &v, 1);
	lead_after_other(&fx);
	run_for(&fx, 150);
	CU_ASSERT_FALSE(leader_lost);
	set_keyed_lost(&fx, true);
	run_for(&fx, 150);
	CU_ASSERT_TRUE(leader_lost);
	CU_ASSERT_TRUE(dh_owners_is_leader(fx.owners));
	set_keyed_lost(&fx, false);
	run_for(&fx, 150);
	CU_ASSERT_FALSE(leader_lost);
	stop(&fx);
	json_object_put(o);
}

/* The leader stores the list of the strong VMs of each availability zone. */
/* Guards against zones that come back into use when the leader is lost: the
 * successor names none before it has read the entries. */
static void
test_evacuated_zone_outlives_the_leader(void)
{
	g_autoptr(GPtrArray) zones = g_ptr_array_new();
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	struct dh_leader_heartbeat b = {
		.vm = "vm-2", .term = 7, .vms = 2, .evacuated = zones
	};
	struct fixture fx;

	g_ptr_array_add(zones, (gpointer)(uintptr_t) "z1");
	start(&fx, NULL, 0);
	dh_peer_send_heartbeat(fx.other, SELF, &b);
	run_for(&fx, 20);
	CU_ASSERT_FALSE(dh_registry_set_evacuated(fx.reg, zones));
	send_beat(&fx, 8);
	CU_ASSERT_FALSE(dh_registry_set_evacuated(fx.reg, zones));
	b.term = 8;
	b.evacuated = none;
	dh_peer_send_heartbeat(fx.other, SELF, &b);
	run_for(&fx, 20);
	CU_ASSERT_TRUE(dh_registry_set_evacuated(fx.reg, zones));
	stop(&fx);
}

static void
test_strong_vms_are_listed(void)
{
	struct json_object *o = json_tokener_parse(
	    "{\"ip\":\"127.0.0.9\",\"core_share_milli\":100,\"zone\":\"z\"}");
	struct dh_object_view v = {
		.name = "vm.vm-9", .revision = 7, .spec = o
	};
	struct fixture fx;

	start(&fx, &v, 1);
	lead_after_other(&fx);
	run_for(&fx, 100);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("strong"));
	CU_ASSERT_STRING_EQUAL(fake_open("strong")->put,
	    "{\"vms\":[[\"vm-1\",\"z\",\"127.0.0.1\"]]}");
	stop(&fx);
	json_object_put(o);
}

/* This VM's address in the store is not written again if it is correct. */
static void
test_address_in_store(void)
{
	struct json_object *o = json_tokener_parse(
	    "{\"ip\":\"127.0.0.1\",\"core_share_milli\":500,\"zone\":\"z\","
	    "\"relays\":1}");
	struct dh_object_view v = {
		.name = "vm.vm-1", .revision = 7, .spec = o
	};
	struct fixture fx;

	start(&fx, &v, 1);
	run_for(&fx, 150);
	CU_ASSERT_PTR_NULL(fake_open("vm.vm-1"));
	stop(&fx);
	json_object_put(o);
	/* An entry of an earlier release is replaced. */
	o = json_tokener_parse("{\"ip\":\"127.0.0.1\",\"core_share_milli\":500,"
			       "\"zone\":\"z\"}");
	v.spec = o;
	start(&fx, &v, 1);
	run_for(&fx, 150);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("vm.vm-1"));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fake_open("vm.vm-1")->put, "\"relays\":1"));
	stop(&fx);
	json_object_put(o);
	/* An entry with another address is replaced. */
	o = json_tokener_parse(
	    "{\"ip\":\"127.0.0.9\",\"core_share_milli\":500}");
	v.spec = o;
	start(&fx, &v, 1);
	run_for(&fx, 150);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("vm.vm-1"));
	CU_ASSERT_EQUAL(fake_open("vm.vm-1")->revision, 7);
	stop(&fx);
	json_object_put(o);
	/* A missing entry is created. */
	start(&fx, NULL, 0);
	run_for(&fx, 150);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("vm.vm-1"));
	CU_ASSERT_EQUAL(fake_open("vm.vm-1")->revision, 0);
	stop(&fx);
}

/* Accepts and closes all pending connections; returns their number. */
static int
accept_pending(int fd)
{
	int n = 0, c;

	while ((c = accept(fd, NULL, NULL)) >= 0) {
		(void)close(c);
		n++;
	}
	return n;
}

/* A listening socket in place of a backend server; orders get no answer. */
struct silent_server {
	int fd;
	char *entry; /* the backend server's spec in the store */
};

static struct silent_server
silent_server_start(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	struct silent_server s = { .fd = socket(AF_INET,
				       SOCK_STREAM | SOCK_NONBLOCK, 0) };

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(
	    bind(s.fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(s.fd, 64), 0);
	CU_ASSERT_EQUAL_FATAL(
	    getsockname(s.fd, (struct sockaddr *)&sin, &len), 0);
	s.entry = g_strdup_printf(
	    "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
	    "\"version\":\"1\",\"slots\":2,\"state\":\"ready\",\"sequence\":1,"
	    "\"cold_left_s\":0,\"born\":5}",
	    ntohs(sin.sin_port));
	return s;
}

static void
silent_server_end(struct silent_server *s)
{
	(void)close(s->fd);
	g_free(s->entry);
}

/* Makes this VM the leader and waits for its first order.  Returns the spec of
 * the leader's object; the caller frees it. */
static char *
lead_and_order(struct fixture *fx, const struct silent_server *s)
{
	char *leader;
	int i, seen = 0;

	start(fx, NULL, 0);
	run_for(fx, 350);
	answer_with(dh_wire_kind_servers, DH_OBJECTS_OK, 11, s->entry);
	wait_for_read(fx);
	answer_with("leader", DH_OBJECTS_NOT_FOUND, 0, "{}");
	leader = g_strdup(fake_open("leader")->put);
	answer_with("leader", DH_OBJECTS_OK, 41, leader);
	CU_ASSERT_TRUE(dh_owners_is_leader(fx->owners));
	for (i = 0; i < 100 && seen == 0; i++) {
		run_for(fx, 10);
		answer_with("service.s", DH_OBJECTS_NOT_FOUND, 0, "{}");
		if (fake_open("service.s") != NULL &&
		    fake_open("service.s")->put != NULL)
			answer_with("service.s", DH_OBJECTS_OK, 50, "{}");
		seen += accept_pending(s->fd);
	}
	CU_ASSERT_TRUE(seen > 0);
	return leader;
}

/* A leader whose process was stopped for a while may have been replaced.  It
 * sends no orders before the store confirms that it still leads, or before a
 * successor would have sent some heartbeats. */
static void
check_stalled_leader(bool confirmed, bool replaced)
{
	struct silent_server s = silent_server_start();
	g_autofree char *leader = NULL;
	struct fixture fx;
	int i, seen = 0;

	leader = lead_and_order(&fx, &s);
	fx.settings.beat_ms =
	    300; /* longer than a busy machine delays this process */
	g_usleep(300000);
	(void)accept_pending(s.fd);
	run_for(&fx, 60);
	CU_ASSERT_EQUAL(accept_pending(s.fd), 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader"));
	if (confirmed)
		answer_with("leader", DH_OBJECTS_OK, 41, leader);
	if (replaced)
		send_beat(&fx, 9);
	for (i = 0; i < 20 && seen == 0; i++) {
		run_for(&fx, 100);
		seen = accept_pending(s.fd);
	}
	CU_ASSERT_EQUAL(seen > 0, !replaced);
	CU_ASSERT_EQUAL(dh_owners_is_leader(fx.owners), !replaced);
	stop(&fx);
	silent_server_end(&s);
}

#define CONNECTIONS_MAX 256

/* Connections to the listening sockets of two backend servers, which accept
 * each order. */
struct order_connections {
	int fds[CONNECTIONS_MAX];
	int orders[CONNECTIONS_MAX]; /* number received on each */
	bool has_refused[CONNECTIONS_MAX];
	int n;
	int grants, releases, releases_behind_another_order;
	int refused; /* number of grants to answer by 500 */
	int behind_a_refusal; /* orders on such a connection */
};

static void
answer_orders(struct order_connections *c, int listener)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
	};
	bool refuse;
	char text[2048];
	ssize_t len;
	int i, fd;

	while (c->n < CONNECTIONS_MAX &&
	    (fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
		c->orders[c->n] = 0;
		c->has_refused[c->n] = false;
		c->fds[c->n++] = fd;
	}
	for (i = 0; i < c->n; i++) {
		len = recv(c->fds[i], text, sizeof(text) - 1, MSG_DONTWAIT);
		if (len <= 0)
			continue;
		text[len] = '\0';
		if (strstr(text, "/release ") != NULL) {
			c->releases++;
			c->releases_behind_another_order += c->orders[i] > 0;
		}
		c->grants += strstr(text, "/grant ") != NULL;
		c->orders[i]++;
		c->behind_a_refusal += c->has_refused[i];
		refuse = c->refused > 0 && strstr(text, "/grant ") != NULL;
		c->refused -= refuse;
		c->has_refused[i] |= refuse;
		(void)!write(
		    c->fds[i], answers[refuse], strlen(answers[refuse]));
	}
}

/* Answers what the leader asks of the store about its service. */
static void
answer_service_calls(bool *loaded)
{
	if (fake_open("service.s") == NULL)
		return;
	if (fake_open("service.s")->put == NULL && !*loaded) {
		*loaded = true;
		answer_with("service.s", DH_OBJECTS_NOT_FOUND, 0, "{}");
	} else {
		answer_with("service.s", DH_OBJECTS_OK, 50, "{}");
	}
}

/* Guards against a late copy of the answer to a grant that passes for the
 * answer to a release behind it: the release has a connection of its own. */
static void
test_release_has_a_connection_of_its_own(void)
{
	struct silent_server s[2] = { silent_server_start(),
		silent_server_start() };
	struct order_connections c = { .n = 0 };
	struct dh_object_view v[2];
	struct fixture fx;
	bool loaded = false;
	int i;

	start(&fx, NULL, 0);
	run_for(&fx, 350);
	for (i = 0; i < 2; i++)
		v[i] = (struct dh_object_view){ .name = i == 0 ? "i-1" : "i-2",
			.revision = 11,
			.spec = json_tokener_parse(s[i].entry) };
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 11, v, 2);
	wait_for_read(&fx);
	answer_with("leader", DH_OBJECTS_NOT_FOUND, 0, "{}");
	answer_with("leader", DH_OBJECTS_OK, 41, "{}");
	CU_ASSERT_TRUE(dh_owners_is_leader(fx.owners));
	for (i = 0; i < 300 && c.releases == 0; i++) {
		run_for(&fx, 10);
		answer_service_calls(&loaded);
		answer_orders(&c, s[0].fd);
		answer_orders(&c, s[1].fd);
		if (i != 150)
			continue;
		json_object_object_add(
		    v[0].spec, "state", json_object_new_string("draining"));
		v[0].revision = 12;
		fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 12, v, 1);
	}
	CU_ASSERT_TRUE(c.releases > 0);
	CU_ASSERT_EQUAL(c.releases_behind_another_order, 0);
	stop(&fx);
	for (i = 0; i < c.n; i++)
		(void)close(c.fds[i]);
	for (i = 0; i < 2; i++) {
		json_object_put(v[i].spec);
		silent_server_end(&s[i]);
	}
}

/* Ends all connections, as the end of a backend server's process does. */
static void
end_connections(struct order_connections *c)
{
	while (c->n > 0)
		(void)close(c->fds[--c->n]);
}

/* Answers orders for some time; returns the number of grants. */
static int
count_grants(
    struct fixture *fx, struct order_connections *c, int listener, int64_t ms)
{
	int64_t end_ms = dh_clock_ms() + ms;

	c->grants = 0;
	while (dh_clock_ms() < end_ms) {
		run_for(fx, 10);
		answer_orders(c, listener);
	}
	return c->grants;
}

/* Guards against a late copy of a refusal that passes for the answer to the
 * next grant, and of a 409, which deposes the leader. */
static void
test_no_order_follows_a_refusal(void)
{
	struct silent_server s = silent_server_start();
	struct order_connections c = { .refused = 3 };
	struct fixture fx;
	bool loaded = false;
	int i, n;

	start(&fx, NULL, 0);
	run_for(&fx, 350);
	answer_with(dh_wire_kind_servers, DH_OBJECTS_OK, 11, s.entry);
	wait_for_read(&fx);
	answer_with("leader", DH_OBJECTS_NOT_FOUND, 0, "{}");
	answer_with("leader", DH_OBJECTS_OK, 41, "{}");
	for (i = 0; i < 300 && (c.refused > 0 || c.grants < 8); i++) {
		run_for(&fx, 10);
		answer_service_calls(&loaded);
		answer_orders(&c, s.fd);
	}
	CU_ASSERT_EQUAL(c.refused, 0);
	CU_ASSERT_TRUE(c.grants >= 8);
	CU_ASSERT_EQUAL(c.behind_a_refusal, 0);
	/* Accepted ones share a connection. */
	n = c.n;
	CU_ASSERT_TRUE(count_grants(&fx, &c, s.fd, 300) > 0);
	CU_ASSERT_EQUAL(c.n, n);
	end_connections(&c);
	stop(&fx);
	silent_server_end(&s);
}

/* Guards against a leader that was replaced unknown to it, by a cut or a
 * freeze, and grants its old keys to a backend server that has restarted: the
 * new process knows no token of the successor. */
static void
test_unconfirmed_leader_grants_on_open_connections_only(void)
{
	struct silent_server s = silent_server_start();
	struct json_object *vm = json_tokener_parse(
	    "{\"ip\":\"127.0.0.2\",\"core_share_milli\":500,\"zone\":\"z\"}");
	struct dh_object_view other = {
		.name = "vm.vm-2", .revision = 7, .spec = vm
	};
	struct order_connections c = { .n = 0 };
	struct fixture fx;
	bool loaded = false;
	int i;

	start(&fx, &other, 1);
	run_for(&fx, 350);
	answer_with(dh_wire_kind_servers, DH_OBJECTS_OK, 11, s.entry);
	wait_for_read(&fx);
	answer_with("leader", DH_OBJECTS_NOT_FOUND, 0, "{}");
	answer_with("leader", DH_OBJECTS_OK, 41, "{}");
	for (i = 0; i < 100 && c.grants == 0; i++) {
		run_for(&fx, 10);
		answer_service_calls(&loaded);
		answer_orders(&c, s.fd);
	}
	CU_ASSERT_TRUE(c.grants > 0);
	/* Neither the store nor the other VM says anything: the leader renews
	 * on the connections that it has, and on no other. */
	(void)count_grants(&fx, &c, s.fd, 300);
	CU_ASSERT_TRUE(count_grants(&fx, &c, s.fd, 300) > 0);
	end_connections(&c);
	CU_ASSERT_EQUAL(count_grants(&fx, &c, s.fd, 600), 0);
	/* The other VM follows another leader, or an earlier heartbeat. */
	send_report(&fx, 0);
	CU_ASSERT_EQUAL(count_grants(&fx, &c, s.fd, 300), 0);
	last_beat = 1;
	send_report(&fx, 1);
	CU_ASSERT_EQUAL(count_grants(&fx, &c, s.fd, 50), 0);
	/* It has just heard this leader. */
	run_for(&fx, 100);
	send_report(&fx, 1);
	CU_ASSERT_TRUE(count_grants(&fx, &c, s.fd, 100) > 0);
	end_connections(&c);
	run_for(&fx, 300);
	CU_ASSERT_EQUAL(count_grants(&fx, &c, s.fd, 300), 0);
	/* The store names this leader: the answer to a call that was made long
	 * before says nothing, the one to the next call does. */
	answer_with("leader", DH_OBJECTS_OK, 41, "{\"term\":1}");
	CU_ASSERT_EQUAL(count_grants(&fx, &c, s.fd, 50), 0);
	for (i = 0; i < 100 && fake_open("leader") == NULL; i++)
		run_for(&fx, 10);
	answer_with("leader", DH_OBJECTS_OK, 41, "{\"term\":1}");
	CU_ASSERT_TRUE(count_grants(&fx, &c, s.fd, 100) > 0);
	end_connections(&c);
	stop(&fx);
	silent_server_end(&s);
	json_object_put(vm);
}

/* Makes this VM the leader of a service with two backend servers, which accept
 * all orders, and lets the first one leave once keys are owned.  Runs until
 * enough() is true, for at most 4 s. */
static void
lead_while_keys_move(struct fixture *fx, bool (*enough)(void))
{
	struct silent_server s[2] = { silent_server_start(),
		silent_server_start() };
	struct json_object *vm = json_tokener_parse(
	    "{\"ip\":\"127.0.0.2\",\"core_share_milli\":500,\"zone\":\"z\"}");
	struct dh_object_view other = {
		.name = "vm.vm-2", .revision = 7, .spec = vm
	};
	struct order_connections c = { .n = 0 };
	struct dh_object_view v[2];
	bool loaded = false;
	int i;

	start(fx, &other, 1);
	run_for(fx, 350);
	for (i = 0; i < 2; i++)
		v[i] = (struct dh_object_view){ .name = i == 0 ? "i-1" : "i-2",
			.revision = 11,
			.spec = json_tokener_parse(s[i].entry) };
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 11, v, 2);
	wait_for_read(fx);
	answer_with("leader", DH_OBJECTS_NOT_FOUND, 0, "{}");
	answer_with("leader", DH_OBJECTS_OK, 41, "{}");
	for (i = 0; i < 400 && !enough(); i++) {
		run_for(fx, 10);
		answer_service_calls(&loaded);
		answer_orders(&c, s[0].fd);
		answer_orders(&c, s[1].fd);
		if (i != 100)
			continue;
		json_object_object_add(
		    v[0].spec, "state", json_object_new_string("draining"));
		v[0].revision = 12;
		fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 12, v, 1);
	}
	CU_ASSERT_TRUE(enough());
	stop(fx);
	for (i = 0; i < c.n; i++)
		(void)close(c.fds[i]);
	for (i = 0; i < 2; i++) {
		json_object_put(v[i].spec);
		silent_server_end(&s[i]);
	}
	json_object_put(vm);
}

static bool
three_deltas_sent(void)
{
	return deltas >= 3;
}

/* Guards against a leader whose link is filled by whole records for VMs whose
 * reports were under way when it published. */
static void
test_whole_record_for_a_report_that_crossed_a_delta(void)
{
	struct fixture fx;

	whole_records = deltas = 0;
	report_crosses_delta = true;
	lead_while_keys_move(&fx, three_deltas_sent);
	report_crosses_delta = false;
	CU_ASSERT_EQUAL(whole_records, 0);
}

static bool
lost_delta_sent_again(void)
{
	return first_delta_again > 0;
}

static void
test_lost_delta_is_sent_again(void)
{
	struct fixture fx;

	whole_records = deltas = first_delta_again = 0;
	first_base = 0;
	first_delta_lost = true;
	lead_while_keys_move(&fx, lost_delta_sent_again);
	first_delta_lost = false;
	CU_ASSERT_EQUAL(whole_records, 0);
}

#define FLEET_ZONES 3u
#define FLEET_ZONE_VMS 16u
#define FLEET_VMS ((size_t)FLEET_ZONES * FLEET_ZONE_VMS)
/* The leader sends news at most this often to an availability zone. */
#define ZONE_COPIES_MAX 4u
#define NEWS_BYTES 4000u

/* Bytes of news that all dh_peer of this process have sent. */
static uint64_t
news_bytes(void)
{
	return dh_counter_value(
	    dh_counter_get("dh_peer_sent_bytes_total", "kind=\"changes\""));
}

/* Guards against a leader that sends each change in the store to each VM, which
 * fills its link: heartbeats and changes are lost. */
static void
test_news_to_many_vms(void)
{
	struct dh_peer_handler h = { on_beat, on_owners, on_delta, on_report,
		on_news, NULL, NULL, NULL };
	struct dh_object_view vms[FLEET_VMS];
	struct dh_peer *peers[FLEET_VMS];
	char names[FLEET_VMS][32], spec[128], ip[DH_ADDRESS_MAX];
	g_autofree char *filler = g_strnfill(NEWS_BYTES, 'x');
	g_autofree char *news = g_strdup_printf("{\"x\":\"%s\"}", filler);
	uint64_t before;
	struct fixture fx;
	uint32_t i;

	for (i = 0; i < FLEET_VMS; i++) {
		(void)g_snprintf(names[i], sizeof(names[i]), "vm.fleet-%u", i);
		(void)g_snprintf(spec, sizeof(spec),
		    "{\"ip\":\"127.0.1.%u\",\"core_share_milli\":100,"
		    "\"zone\":\"z%u\"}",
		    i + 1, i % FLEET_ZONES);
		vms[i] = (struct dh_object_view){ .name = names[i],
			.revision = 7,
			.spec = json_tokener_parse(spec) };
	}
	start(&fx, vms, FLEET_VMS);
	for (i = 0; i < FLEET_VMS; i++) {
		(void)g_snprintf(ip, sizeof(ip), "127.0.1.%u", i + 1);
		peers[i] = dh_peer_new(&fx.loop, ip, port, &h, NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(peers[i]);
	}
	lead_after_other(&fx);
	for (i = 0; i < FLEET_VMS; i++)
		send_report_from(peers[i], names[i] + strlen("vm."), 4, 0);
	run_for(&fx, 50);
	before = news_bytes();
	answer_with(dh_wire_kind_servers, DH_OBJECTS_OK, 11, news);
	run_for(&fx, 50);
	CU_ASSERT_TRUE(news_bytes() - before >= NEWS_BYTES);
	CU_ASSERT_TRUE((news_bytes() - before) / NEWS_BYTES <=
	    (uint64_t)FLEET_ZONES * ZONE_COPIES_MAX);
	for (i = 0; i < FLEET_VMS; i++) {
		dh_peer_free(peers[i]);
		json_object_put(vms[i].spec);
	}
	stop(&fx);
}

/* A leader that is about to stop sends orders until another VM leads.  Without
 * the store no other VM can lead, and leases have to be renewed. */
static void
test_resigned_leader_renews_leases(void)
{
	struct silent_server s = silent_server_start();
	struct fixture fx;
	int i, seen = 0;

	g_free(lead_and_order(&fx, &s));
	send_report(&fx, 1);
	dh_owners_resign(fx.owners);
	CU_ASSERT_TRUE(dh_owners_renews_for_others(fx.owners));
	(void)accept_pending(s.fd);
	for (i = 0; i < 20 && seen == 0; i++) {
		run_for(&fx, 100);
		seen = accept_pending(s.fd);
	}
	CU_ASSERT_TRUE(seen > 0);
	send_beat(&fx, 9);
	CU_ASSERT_FALSE(dh_owners_renews_for_others(fx.owners));
	(void)accept_pending(s.fd);
	run_for(&fx, 600);
	CU_ASSERT_EQUAL(accept_pending(s.fd), 0);
	stop(&fx);
	silent_server_end(&s);
}

/* Without other VMs a resigned leader may stop at once: no other VM relies on
 * the leases. */
static void
test_resigned_leader_without_other_vms(void)
{
	struct silent_server s = silent_server_start();
	struct fixture fx;

	g_free(lead_and_order(&fx, &s));
	dh_owners_resign(fx.owners);
	CU_ASSERT_FALSE(dh_owners_renews_for_others(fx.owners));
	stop(&fx);
	silent_server_end(&s);
}

static void
test_stalled_leader_orders_nothing(void)
{
	check_stalled_leader(true, false);
	check_stalled_leader(false, false);
	check_stalled_leader(false, true);
}

/* The former leader's record says that no leader before it sends orders, and
 * then the former leader sends a report with the given term.  Checks whether
 * this VM then stores that it alone sends orders. */
static void
check_former_leader_follows(uint64_t term, bool alone)
{
	struct fixture fx;
	int i;

	start(&fx, NULL, 0);
	lead_after_other(&fx);
	run_for(&fx, 100);
	answer_with("service.s", DH_OBJECTS_OK, 50,
	    "{\"term\":3,\"version\":2,\"next\":9,\"vm\":\"vm-2\","
	    "\"ip\":\"127.0.0.2\",\"sole\":1,\"servers\":[[\"a\",7]],"
	    "\"ranges\":[[65535,0,3,-1,0,1]]}");
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(strstr(fake_open("service.s")->put,
	    "\"vm\":\"vm-1\",\"ip\":\"127.0.0.1\",\"sole\":0"));
	answer_with("service.s", DH_OBJECTS_OK, 51, "{}");
	send_report(&fx, term);
	for (i = 0; i < 100 && fake_open("service.s") == NULL; i++)
		run_for(&fx, 20);
	CU_ASSERT_EQUAL(fake_open("service.s") != NULL &&
		strstr(fake_open("service.s")->put, "\"sole\":1") != NULL,
	    alone);
	stop(&fx);
}

static void
test_former_leader_follows(void)
{
	check_former_leader_follows(4, true);
	/* Reports from before it led, or from before it knew of a leader. */
	check_former_leader_follows(2, false);
	check_former_leader_follows(0, false);
}

/* Makes this VM the leader, in era 1. */
static void
lead_in_first_era(struct fixture *fx)
{
	fake_era = 1;
	start(fx, NULL, 0);
	wait_for_read(fx);
	answer_with("leader", DH_OBJECTS_NOT_FOUND, 0, "{}");
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fake_open("leader")->put, "\"term\":4294967297"));
	answer_with("leader", DH_OBJECTS_OK, 41, "{}");
	CU_ASSERT_TRUE(dh_owners_is_leader(fx->owners));
	run_for(fx, 60);
	answer_with("service.s", DH_OBJECTS_NOT_FOUND, 0, "{}");
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s"));
	answer_with("service.s", DH_OBJECTS_OK, 50, "{}");
}

/* After the store was restored from an older copy the leader goes on in a term
 * of the new era, and replaces the record of that copy by its own. */
static void
test_leader_resumes_after_store_restore(void)
{
	struct fixture fx;
	int i;

	lead_in_first_era(&fx);
	fake_era = 2;
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, NULL, 0);
	CU_ASSERT_TRUE(dh_owners_is_leader(fx.owners));
	for (i = 0; i < 10; i++) {
		run_for(&fx, 60);
		if (fake_open("leader") == NULL)
			continue;
		/* Leases are renewed before the leader writes. */
		if (fake_open("leader")->put != NULL)
			break;
		CU_ASSERT_PTR_NULL(fake_open("service.s"));
		answer_with("leader", DH_OBJECTS_OK, 30,
		    "{\"vm\":\"vm-9\",\"ip\":\"127.0.0.9\","
		    "\"incarnation\":\"x\",\"term\":4294967296}");
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader")->put);
	CU_ASSERT_EQUAL(fake_open("leader")->revision, 30);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fake_open("leader")->put, "\"term\":8589934593"));
	answer_with("leader", DH_OBJECTS_OK, 31, "{}");
	CU_ASSERT_TRUE(dh_owners_is_leader(fx.owners));
	run_for(&fx, 60);
	/* The object is read for its revision first. */
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s"));
	CU_ASSERT_PTR_NULL(fake_open("service.s")->put);
	answer_with("service.s", DH_OBJECTS_OK, 22, "{}");
	run_for(&fx, 60);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s"));
	CU_ASSERT_EQUAL(fake_open("service.s")->revision, 22);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fake_open("service.s")->put, "\"term\":8589934593"));
	fake_era = 0;
	stop(&fx);
}

/* The leader's first write after a restore of the store took effect, but its
 * answer was lost: the leader recognizes its own write. */
static void
test_lost_answer_after_store_restore(void)
{
	g_autofree char *written = NULL;
	struct fixture fx;
	int i;

	lead_in_first_era(&fx);
	fake_era = 2;
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, NULL, 0);
	for (i = 0; i < 60 && dh_owners_is_leader(fx.owners); i++) {
		run_for(&fx, 20);
		if (fake_open("leader") == NULL)
			continue;
		if (fake_open("leader")->put == NULL) {
			answer_with("leader",
			    written == NULL ? DH_OBJECTS_NOT_FOUND
					    : DH_OBJECTS_OK,
			    31, written == NULL ? "{}" : written);
			continue;
		}
		if (written != NULL)
			break;
		written = g_strdup(fake_open("leader")->put);
		fake_answer("leader", DH_OBJECTS_UNKNOWN, 0, NULL, 0);
	}
	CU_ASSERT_TRUE(dh_owners_is_leader(fx.owners));
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader"));
	CU_ASSERT_EQUAL(fake_open("leader")->revision, 31);
	fake_era = 0;
	stop(&fx);
}

/* Answers of an earlier era count as none: this VM tries to lead again. */
static void
test_answer_of_earlier_era(void)
{
	struct fixture fx;

	fake_era = 2;
	start(&fx, NULL, 0);
	wait_for_read(&fx);
	fake_era = 1;
	answer_with("leader", DH_OBJECTS_OK, 90, "{\"term\":3}");
	CU_ASSERT_PTR_NULL(fake_open("leader"));
	wait_for_read(&fx);
	fake_era = 2;
	answer_with("leader", DH_OBJECTS_NOT_FOUND, 0, "{}");
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader"));
	fake_era = 1;
	answer_with("leader", DH_OBJECTS_OK, 91, "{}");
	CU_ASSERT_FALSE(dh_owners_is_leader(fx.owners));
	wait_for_read(&fx);
	fake_era = 0;
	stop(&fx);
}

/* Makes this VM the leader in era 2, after the other VM led in the era before.
 * Returns once the record is being read. */
static void
lead_after_restore(struct fixture *fx, int64_t solo_ms)
{
	fake_era = 2;
	start(fx, NULL, 0);
	fx->settings.hold_ms = 200;
	fx->settings.solo_ms = solo_ms;
	send_beat(fx, (UINT64_C(1) << 32) + 7);
	wait_for_read(fx);
	answer_with("leader", DH_OBJECTS_NOT_FOUND, 0, "{}");
	answer_with("leader", DH_OBJECTS_OK, 41, "{}");
	CU_ASSERT_TRUE(dh_owners_is_leader(fx->owners));
	run_for(fx, 60);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s"));
}

/* Checks that the record of a new leader stays distrusted, and says so, until
 * the other VM reports.  result and record: what the store answers to the
 * leader that reads the record. */
static void
check_successor_awaits_followers(
    enum dh_objects_result result, const char *record)
{
	struct fixture fx;
	int i;

	lead_after_restore(&fx, 15000);
	answer_with(
	    "service.s", result, result == DH_OBJECTS_OK ? 50 : 0, record);
	/* Longer than a leader that knows of the new era sends orders. */
	for (i = 0; i < 350; i++) {
		run_for(&fx, 10);
		if (fake_open("service.s") == NULL)
			continue;
		CU_ASSERT_PTR_NOT_NULL(
		    strstr(fake_open("service.s")->put, "\"distrusted\":1"));
		answer_with("service.s", DH_OBJECTS_OK, 51 + (uint64_t)i, "{}");
	}
	send_report(&fx, (UINT64_C(2) << 32) + 1);
	for (i = 0; i < 100; i++) {
		run_for(&fx, 10);
		if (fake_open("service.s") == NULL)
			continue;
		if (strstr(fake_open("service.s")->put, "\"distrusted\":0"))
			break;
		answer_with(
		    "service.s", DH_OBJECTS_OK, 500 + (uint64_t)i, "{}");
	}
	CU_ASSERT_TRUE(i < 100);
	fake_era = 0;
	stop(&fx);
}

/* Guards against a successor that grants keys by a copy while a leader that is
 * cut off may renew others. */
static void
test_successor_awaits_a_leader_that_is_cut_off(void)
{
	char record[512];

	(void)snprintf(record, sizeof(record),
	    "{\"term\":%llu,\"version\":2,\"next\":9,\"servers\":[[\"a\",7]],"
	    "\"ranges\":[[65535,0,3,-1,0,1]]}",
	    (1ull << 32) + 6);
	check_successor_awaits_followers(DH_OBJECTS_OK, record);
}

/* Guards against a successor that takes a record which the restored store lacks
 * for one that never existed, and grants keys beside their owners. */
static void
test_record_missing_after_a_restore(void)
{
	check_successor_awaits_followers(DH_OBJECTS_NOT_FOUND, "{}");
}

/* Makes this VM the leader after the other one, without eras, and answers its
 * read of the record. */
static void
lead_with_record(struct fixture *fx, const char *record)
{
	start(fx, NULL, 0);
	lead_after_other(fx);
	run_for(fx, 100);
	answer_with("service.s", DH_OBJECTS_OK, 50, record);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s")->put);
}

/* Guards against a leader that takes a record which it can't read for none, and
 * grants keys beside their owners. */
static void
test_unreadable_record(void)
{
	struct fixture fx;

	lead_with_record(&fx, "{\"term\":3,\"layout\":2}");
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fake_open("service.s")->put, "\"distrusted\":1"));
	stop(&fx);
}

/* Guards against a leader that relies on the record it has read although the
 * object has been removed since, maybe with a later record. */
static void
test_record_removed_before_the_first_write(void)
{
	struct fixture fx;
	int i;

	lead_with_record(&fx,
	    "{\"term\":3,\"version\":2,\"next\":9,\"servers\":[[\"a\",7]],"
	    "\"ranges\":[[65535,0,3,-1,0,1]]}");
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fake_open("service.s")->put, "\"distrusted\":0"));
	fake_answer("service.s", DH_OBJECTS_NOT_FOUND, 0, NULL, 0);
	for (i = 0; i < 100; i++) {
		run_for(&fx, 20);
		if (fake_open("service.s") == NULL)
			continue;
		if (fake_open("service.s")->put != NULL)
			break;
		answer_with("service.s", DH_OBJECTS_NOT_FOUND, 0, "{}");
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s")->put);
	CU_ASSERT_EQUAL(fake_open("service.s")->revision, 0);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fake_open("service.s")->put, "\"distrusted\":1"));
	stop(&fx);
}

/* A service that is added long after a restore has no former leader: its keys
 * are granted without a wait. */
static void
test_service_added_after_a_restore(void)
{
	struct fixture fx;

	lead_after_restore(&fx, 300);
	/* solo_ms, and a lease of 200 ms with its allowances. */
	run_for(&fx, 600);
	answer_with("service.s", DH_OBJECTS_NOT_FOUND, 0, "{}");
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s")->put);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fake_open("service.s")->put, "\"distrusted\":0"));
	fake_era = 0;
	stop(&fx);
}

/* Another VM became the leader first in the new era: this one follows it. */
static void
test_leader_replaced_after_store_restore(void)
{
	struct fixture fx;

	lead_in_first_era(&fx);
	fake_era = 2;
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, NULL, 0);
	run_for(&fx, 60);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader"));
	answer_with("leader", DH_OBJECTS_OK, 30,
	    "{\"vm\":\"vm-9\",\"ip\":\"127.0.0.9\",\"incarnation\":\"x\","
	    "\"term\":8589934593}");
	CU_ASSERT_FALSE(dh_owners_is_leader(fx.owners));
	fake_era = 0;
	stop(&fx);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "silent leader is replaced", test_silent_leader_is_replaced },
		{ "leader heard during the read",
		    test_leader_heard_during_read },
		{ "conflict in the store", test_conflict_in_store },
		{ "store is read in turn", test_store_is_read_in_turn },
		{ "reader of the zone is followed",
		    test_reader_of_the_zone_is_followed },
		{ "outage known without a turn",
		    test_outage_is_known_without_a_turn },
		{ "VM reads for its zone", test_vm_reads_for_its_zone },
		{ "reader without the store",
		    test_reader_without_the_store_says_nothing },
		{ "leader without backend servers",
		    test_leader_without_backend_servers_is_replaced },
		{ "leader says so",
		    test_leader_says_that_it_lacks_backend_servers },
		{ "list of strong VMs", test_strong_vms_are_listed },
		{ "leader that may have been replaced",
		    test_unconfirmed_leader_grants_on_open_connections_only },
		{ "stalled leader", test_stalled_leader_orders_nothing },
		{ "release has a connection of its own",
		    test_release_has_a_connection_of_its_own },
		{ "no order follows a refusal",
		    test_no_order_follows_a_refusal },
		{ "whole record for a report that crossed a delta",
		    test_whole_record_for_a_report_that_crossed_a_delta },
		{ "lost delta", test_lost_delta_is_sent_again },
		{ "news to many VMs", test_news_to_many_vms },
		{ "resigned leader renews leases",
		    test_resigned_leader_renews_leases },
		{ "resigned leader without other VMs",
		    test_resigned_leader_without_other_vms },
		{ "former leader follows", test_former_leader_follows },
		{ "address in the store", test_address_in_store },
		{ "store restored", test_leader_resumes_after_store_restore },
		{ "store restored, answer lost",
		    test_lost_answer_after_store_restore },
		{ "answer of an earlier era", test_answer_of_earlier_era },
		{ "store restored, former leader cut off",
		    test_successor_awaits_a_leader_that_is_cut_off },
		{ "store restored, record missing",
		    test_record_missing_after_a_restore },
		{ "unreadable record", test_unreadable_record },
		{ "record removed before the first write",
		    test_record_removed_before_the_first_write },
		{ "store restored, service added later",
		    test_service_added_after_a_restore },
		{ "store restored, leader replaced",
		    test_leader_replaced_after_store_restore },
		{ "evacuated zone and leader",
		    test_evacuated_zone_outlives_the_leader },
		CU_TEST_INFO_NULL,
	};

	port = free_port();
	return cunit_main("owners", tests);
}
