/*
 * Which VM leads, as one VM sees it: the store is played by hand, the other VM
 * by datagrams on loopback.
 */
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
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

/* The leader's object: the other VM, in term 3. */
static const char other_leads[] =
    "{\"vm\":\"vm-2\",\"ip\":\"127.0.0.2\",\"incarnation\":\"x\",\"term\":3}";

static uint16_t port; /* of all VMs */

struct fixture {
	uv_loop_t loop;
	struct dh_http *http;
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

static void
on_beat(void *arg, const struct dh_beat *beat, const char *ip)
{
	(void)arg;
	(void)beat;
	(void)ip;
}

static void
on_owners(void *arg, const struct dh_peer_part *p)
{
	(void)arg;
	(void)p;
}

static void
on_delta(void *arg, const struct dh_peer_delta *d)
{
	(void)arg;
	(void)d;
}

static void
on_report(void *arg, const struct dh_peer_report *r, const char *ip)
{
	(void)arg;
	(void)r;
	(void)ip;
}

static void
on_news(void *arg, const struct dh_registry_news *n, uint64_t term)
{
	(void)arg;
	(void)n;
	(void)term;
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

/* A VM that knows a configuration, backend servers (none), and whose kind of
 * objects holds what is given. */
static void
start(struct fixture *fx, const struct dh_object_view *items, size_t n)
{
	struct dh_peer_handler h = { on_beat, on_owners, on_delta, on_report,
		on_news, NULL };
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
	fx->reg = dh_registry_new(
	    &fx->loop, NULL, NULL, &fx->settings, on_changed, NULL);
	fake_answer(dh_wire_kind_servers, DH_OBJECTS_OK, 10, NULL, 0);
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, &v, 1);
	json_object_put(o);
	c.http = fx->http;
	c.registry = fx->reg;
	fx->owners = dh_owners_new(&c, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fx->owners);
	fx->other = dh_peer_new(&fx->loop, OTHER, port, &h, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fx->other);
	fake_answer(KIND, DH_OBJECTS_OK, 10, items, n);
}

static void
end(struct fixture *fx)
{
	dh_peer_free(fx->other);
	dh_owners_free(fx->owners);
	dh_registry_free(fx->reg);
	dh_http_free(fx->http);
	uv_run(&fx->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&fx->loop), 0);
}

static void
beat(struct fixture *fx, uint64_t term)
{
	struct dh_beat b = { .vm = "vm-2", .term = term, .vms = 2 };

	b.cursors[DH_REGISTRY_SERVERS] =
	    (struct dh_registry_cursor){ 10, true };
	b.cursors[DH_REGISTRY_CONFIG] = (struct dh_registry_cursor){ 10, true };
	dh_peer_send_beat(fx->other, SELF, &b);
	run_for(fx, 20);
}

/* The other VM is there, and follows the leader of that term. */
static void
report(struct fixture *fx, uint64_t term)
{
	struct dh_peer_report r = { .vm = "vm-2", .term = term };

	r.keys = g_array_new(FALSE, TRUE, sizeof(struct dh_peer_key));
	r.servers = g_array_new(FALSE, TRUE, sizeof(struct dh_peer_server));
	r.leaving = g_array_new(FALSE, TRUE, sizeof(struct dh_peer_leaving));
	dh_peer_send_report(fx->other, SELF, &r);
	run_for(fx, 100);
	g_array_unref(r.keys);
	g_array_unref(r.servers);
	g_array_unref(r.leaving);
}

/* Wait until this VM asks the store who leads. */
static void
wait_for_question(struct fixture *fx)
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
	beat(&fx, 3);
	wait_for_question(&fx);
	answer_with("leader", DH_OBJECTS_OK, 40, other_leads);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader")->put);
	CU_ASSERT_EQUAL(fake_open("leader")->revision, 40);
	CU_ASSERT_PTR_NOT_NULL(strstr(fake_open("leader")->put, "\"term\":4"));
	answer_with("leader", DH_OBJECTS_OK, 41, "{}");
	CU_ASSERT_TRUE(dh_owners_leads(fx.owners));
	/* One in a higher term is not argued with. */
	beat(&fx, 5);
	CU_ASSERT_FALSE(dh_owners_leads(fx.owners));
	end(&fx);
}

/* Another was first, and is heard before the store answers: it is not
 * replaced in turn. */
static void
test_leader_heard_while_asking(void)
{
	struct fixture fx;

	start(&fx, NULL, 0);
	beat(&fx, 3);
	wait_for_question(&fx);
	beat(&fx, 4);
	answer_with("leader", DH_OBJECTS_OK, 41,
	    "{\"vm\":\"vm-2\",\"ip\":\"127.0.0.2\",\"incarnation\":\"y\","
	    "\"term\":4}");
	CU_ASSERT_PTR_NULL(fake_open("leader"));
	CU_ASSERT_FALSE(dh_owners_leads(fx.owners));
	end(&fx);
}

/* Another was first in the store. */
static void
test_conflict_in_the_store(void)
{
	struct fixture fx;

	start(&fx, NULL, 0);
	beat(&fx, 3);
	wait_for_question(&fx);
	answer_with("leader", DH_OBJECTS_OK, 40, other_leads);
	answer_with("leader", DH_OBJECTS_CONFLICT, 41,
	    "{\"vm\":\"vm-3\",\"ip\":\"127.0.0.3\",\"incarnation\":\"z\","
	    "\"term\":4}");
	CU_ASSERT_FALSE(dh_owners_leads(fx.owners));
	run_for(&fx, 100);
	CU_ASSERT_PTR_NULL(fake_open("leader"));
	end(&fx);
}

/* Leads in term 4, after the other VM. */
static void
lead_after_other(struct fixture *fx)
{
	beat(fx, 3);
	wait_for_question(fx);
	answer_with("leader", DH_OBJECTS_OK, 40, other_leads);
	answer_with("leader", DH_OBJECTS_OK, 41, "{}");
	CU_ASSERT_TRUE(dh_owners_leads(fx->owners));
}

/* The leader says whom others of a zone begin with. */
static void
test_strong_are_named(void)
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
	end(&fx);
	json_object_put(o);
}

/* An address in the store that still holds is not written again. */
static void
test_address_that_stands(void)
{
	struct json_object *o = json_tokener_parse(
	    "{\"ip\":\"127.0.0.1\",\"core_share_milli\":500,\"zone\":\"z\"}");
	struct dh_object_view v = {
		.name = "vm.vm-1", .revision = 7, .spec = o
	};
	struct fixture fx;

	start(&fx, &v, 1);
	run_for(&fx, 150);
	CU_ASSERT_PTR_NULL(fake_open("vm.vm-1"));
	end(&fx);
	json_object_put(o);
	/* One that is another's by now is replaced. */
	o = json_tokener_parse(
	    "{\"ip\":\"127.0.0.9\",\"core_share_milli\":500}");
	v.spec = o;
	start(&fx, &v, 1);
	run_for(&fx, 150);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("vm.vm-1"));
	CU_ASSERT_EQUAL(fake_open("vm.vm-1")->revision, 7);
	end(&fx);
	json_object_put(o);
	/* The first time it is made. */
	start(&fx, NULL, 0);
	run_for(&fx, 150);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("vm.vm-1"));
	CU_ASSERT_EQUAL(fake_open("vm.vm-1")->revision, 0);
	end(&fx);
}

/* Connections that were made to a backend server since the last time. */
static int
take_connections(int fd)
{
	int n = 0, c;

	while ((c = accept(fd, NULL, NULL)) >= 0) {
		(void)close(c);
		n++;
	}
	return n;
}

/* A backend server that answers no order: a socket which listens. */
struct silent_server {
	int fd;
	char *entry; /* in the store */
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

/* Leads, and has ordered.  Returns the leader's object, for g_free(). */
static char *
lead_and_order(struct fixture *fx, const struct silent_server *s)
{
	char *leader;
	int i, seen = 0;

	start(fx, NULL, 0);
	run_for(fx, 350);
	answer_with(dh_wire_kind_servers, DH_OBJECTS_OK, 11, s->entry);
	wait_for_question(fx);
	answer_with("leader", DH_OBJECTS_NOT_FOUND, 0, "{}");
	leader = g_strdup(fake_open("leader")->put);
	answer_with("leader", DH_OBJECTS_OK, 41, leader);
	CU_ASSERT_TRUE(dh_owners_leads(fx->owners));
	for (i = 0; i < 100 && seen == 0; i++) {
		run_for(fx, 10);
		answer_with("service.s", DH_OBJECTS_NOT_FOUND, 0, "{}");
		if (fake_open("service.s") != NULL &&
		    fake_open("service.s")->put != NULL)
			answer_with("service.s", DH_OBJECTS_OK, 50, "{}");
		seen += take_connections(s->fd);
	}
	CU_ASSERT_TRUE(seen > 0);
	return leader;
}

/* A leader that stood still may have a successor: it orders nothing before the
 * store has said that it still leads, or a successor has had the time for some
 * heartbeats. */
static void
check_stalled(bool confirmed, bool replaced)
{
	struct silent_server s = silent_server_start();
	g_autofree char *leader = NULL;
	struct fixture fx;
	int i, seen = 0;

	leader = lead_and_order(&fx, &s);
	fx.settings.beat_ms = 300; /* longer than a busy machine stands still */
	g_usleep(300000);
	(void)take_connections(s.fd);
	run_for(&fx, 60);
	CU_ASSERT_EQUAL(take_connections(s.fd), 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader"));
	if (confirmed)
		answer_with("leader", DH_OBJECTS_OK, 41, leader);
	if (replaced)
		beat(&fx, 9);
	for (i = 0; i < 20 && seen == 0; i++) {
		run_for(&fx, 100);
		seen = take_connections(s.fd);
	}
	CU_ASSERT_EQUAL(seen > 0, !replaced);
	CU_ASSERT_EQUAL(dh_owners_leads(fx.owners), !replaced);
	end(&fx);
	silent_server_end(&s);
}

/* A leader that is about to stop orders until another one leads: without the
 * store none can, and leases are to go on. */
static void
test_resigned_leader_goes_on(void)
{
	struct silent_server s = silent_server_start();
	struct fixture fx;
	int i, seen = 0;

	g_free(lead_and_order(&fx, &s));
	report(&fx, 1);
	dh_owners_resign(fx.owners);
	CU_ASSERT_TRUE(dh_owners_needed(fx.owners));
	(void)take_connections(s.fd);
	for (i = 0; i < 20 && seen == 0; i++) {
		run_for(&fx, 100);
		seen = take_connections(s.fd);
	}
	CU_ASSERT_TRUE(seen > 0);
	beat(&fx, 9);
	CU_ASSERT_FALSE(dh_owners_needed(fx.owners));
	(void)take_connections(s.fd);
	run_for(&fx, 600);
	CU_ASSERT_EQUAL(take_connections(s.fd), 0);
	end(&fx);
	silent_server_end(&s);
}

/* Alone it has nobody to renew leases for. */
static void
test_resigned_leader_alone(void)
{
	struct silent_server s = silent_server_start();
	struct fixture fx;

	g_free(lead_and_order(&fx, &s));
	dh_owners_resign(fx.owners);
	CU_ASSERT_FALSE(dh_owners_needed(fx.owners));
	end(&fx);
	silent_server_end(&s);
}

static void
test_stalled_leader_orders_nothing(void)
{
	check_stalled(true, false);
	check_stalled(false, false);
	check_stalled(false, true);
}

/* What a leader stores once the former one, whose record says that no other was
 * before it, has reported to it from that term on. */
static void
check_former_follows(uint64_t term, bool alone)
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
	report(&fx, term);
	for (i = 0; i < 100 && fake_open("service.s") == NULL; i++)
		run_for(&fx, 20);
	CU_ASSERT_EQUAL(fake_open("service.s") != NULL &&
		strstr(fake_open("service.s")->put, "\"sole\":1") != NULL,
	    alone);
	end(&fx);
}

static void
test_former_leader_follows(void)
{
	check_former_follows(4, true);
	/* Sent before it led, or before it knew of any leader. */
	check_former_follows(2, false);
	check_former_follows(0, false);
}

/* Leads in era 1. */
static void
lead_in_first_era(struct fixture *fx)
{
	fake_era = 1;
	start(fx, NULL, 0);
	wait_for_question(fx);
	answer_with("leader", DH_OBJECTS_NOT_FOUND, 0, "{}");
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fake_open("leader")->put, "\"term\":4294967297"));
	answer_with("leader", DH_OBJECTS_OK, 41, "{}");
	CU_ASSERT_TRUE(dh_owners_leads(fx->owners));
	run_for(fx, 60);
	answer_with("service.s", DH_OBJECTS_NOT_FOUND, 0, "{}");
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s"));
	answer_with("service.s", DH_OBJECTS_OK, 50, "{}");
}

/* The leader goes on, in a term of the new era, and stores what it knows in
 * place of what the copy has. */
static void
test_leader_goes_on_when_the_store_went_back(void)
{
	struct fixture fx;
	int i;

	lead_in_first_era(&fx);
	fake_era = 2;
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, NULL, 0);
	CU_ASSERT_TRUE(dh_owners_leads(fx.owners));
	for (i = 0; i < 10; i++) {
		run_for(&fx, 60);
		if (fake_open("leader") == NULL)
			continue;
		/* Nothing is written before leases have been renewed. */
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
	CU_ASSERT_TRUE(dh_owners_leads(fx.owners));
	run_for(&fx, 60);
	/* The revision is asked for first. */
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s"));
	CU_ASSERT_PTR_NULL(fake_open("service.s")->put);
	answer_with("service.s", DH_OBJECTS_OK, 22, "{}");
	run_for(&fx, 60);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("service.s"));
	CU_ASSERT_EQUAL(fake_open("service.s")->revision, 22);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(fake_open("service.s")->put, "\"term\":8589934593"));
	fake_era = 0;
	end(&fx);
}

/* Its write had no answer, and took effect. */
static void
test_lost_answer_when_the_store_went_back(void)
{
	g_autofree char *written = NULL;
	struct fixture fx;
	int i;

	lead_in_first_era(&fx);
	fake_era = 2;
	fake_answer(dh_wire_kind_config, DH_OBJECTS_OK, 10, NULL, 0);
	for (i = 0; i < 60 && dh_owners_leads(fx.owners); i++) {
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
	CU_ASSERT_TRUE(dh_owners_leads(fx.owners));
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader"));
	CU_ASSERT_EQUAL(fake_open("leader")->revision, 31);
	fake_era = 0;
	end(&fx);
}

/* An answer of an earlier era is as good as none: this VM stands again. */
static void
test_answer_of_an_earlier_era(void)
{
	struct fixture fx;

	fake_era = 2;
	start(&fx, NULL, 0);
	wait_for_question(&fx);
	fake_era = 1;
	answer_with("leader", DH_OBJECTS_OK, 90, "{\"term\":3}");
	CU_ASSERT_PTR_NULL(fake_open("leader"));
	wait_for_question(&fx);
	fake_era = 2;
	answer_with("leader", DH_OBJECTS_NOT_FOUND, 0, "{}");
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open("leader"));
	fake_era = 1;
	answer_with("leader", DH_OBJECTS_OK, 91, "{}");
	CU_ASSERT_FALSE(dh_owners_leads(fx.owners));
	wait_for_question(&fx);
	fake_era = 0;
	end(&fx);
}

/* Another was first in the new era. */
static void
test_leader_gives_way_when_the_store_went_back(void)
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
	CU_ASSERT_FALSE(dh_owners_leads(fx.owners));
	fake_era = 0;
	end(&fx);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "silent leader", test_silent_leader_is_replaced },
		{ "heard while asking", test_leader_heard_while_asking },
		{ "conflict", test_conflict_in_the_store },
		{ "strong", test_strong_are_named },
		{ "stalled", test_stalled_leader_orders_nothing },
		{ "resigned", test_resigned_leader_goes_on },
		{ "resigned, alone", test_resigned_leader_alone },
		{ "former follows", test_former_leader_follows },
		{ "address", test_address_that_stands },
		{ "went back", test_leader_goes_on_when_the_store_went_back },
		{ "went back, lost answer",
		    test_lost_answer_when_the_store_went_back },
		{ "earlier era", test_answer_of_an_earlier_era },
		{ "went back, replaced",
		    test_leader_gives_way_when_the_store_went_back },
		CU_TEST_INFO_NULL,
	};

	port = free_port();
	return cunit_main("owners", tests);
}
