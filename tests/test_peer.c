#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#include <msgpack.h>

#include "gateway/peer.h"
#include "tests/cunit_main.h"
#include "tests/free_port.h"

#define FROM "127.0.0.1"
#define TO "127.0.0.2"
#define ITEMS 300

static uint16_t port; /* all VMs use the same one */

struct fixture {
	uv_loop_t loop;
	struct dh_peer *from, *to;
	struct dh_leader_heartbeat beat;
	guint limits; /* in the last heartbeat */
	char zones[32]; /* the first one evacuated, by the last heartbeat */
	struct dh_shared_limit limit; /* the first of them */
	guint suspects; /* in the last heartbeat and all reports */
	struct dh_suspect suspect; /* the first of the last ones */
	guint reported_limits; /* in all reports */
	struct dh_limit_report reported; /* the last one */
	uint32_t beats, parts, items;
	uint64_t as_of; /* of the last part */
	bool in_order; /* each part starts where the part before ended */
	uint32_t deletions, specs;
	uint32_t expected_parts; /* as the parts say */
};

static void
take_suspects(struct fixture *fx, const GArray *suspects)
{
	fx->suspects += suspects->len;
	if (suspects->len > 0)
		fx->suspect = g_array_index(suspects, struct dh_suspect, 0);
}

static void
on_beat(void *arg, const struct dh_leader_heartbeat *beat, const char *ip)
{
	struct fixture *fx = arg;

	CU_ASSERT_STRING_EQUAL(ip, FROM);
	fx->beat = *beat;
	fx->beats++;
	take_suspects(fx, beat->suspects);
	(void)g_strlcpy(fx->zones, "unknown", sizeof(fx->zones));
	if (beat->evacuated != NULL)
		(void)g_strlcpy(fx->zones,
		    beat->evacuated->len > 0 ? beat->evacuated->pdata[0] : "",
		    sizeof(fx->zones));
	fx->limits = beat->limits->len;
	if (beat->limits->len > 0)
		fx->limit =
		    g_array_index(beat->limits, struct dh_shared_limit, 0);
}

static void
on_owners(void *arg, const struct dh_peer_part *p)
{
	struct fixture *fx = arg;

	CU_ASSERT_STRING_EQUAL(p->service, "keyed");
	CU_ASSERT_EQUAL(p->term, 4);
	CU_ASSERT_EQUAL(p->version, 17);
	CU_ASSERT_TRUE(p->part < p->parts);
	fx->parts++;
	fx->items += p->changes->len;
	fx->expected_parts = p->parts;
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
	struct fixture *fx = arg;
	guint i;

	(void)ip;
	take_suspects(fx, r->suspects);
	for (i = 0; i < r->limits->len; i++) {
		fx->reported_limits++;
		fx->reported =
		    g_array_index(r->limits, struct dh_limit_report, i);
	}
}

static void
on_changes(void *arg, const struct dh_registry_changes *n, uint64_t term)
{
	struct fixture *fx = arg;
	size_t i;

	CU_ASSERT_EQUAL(term, 9);
	CU_ASSERT_EQUAL(n->kind, DH_REGISTRY_CONFIG);
	CU_ASSERT_EQUAL(n->era, 6);
	CU_ASSERT_TRUE(n->as_of > n->since);
	fx->in_order = fx->in_order && n->since == fx->as_of;
	fx->as_of = n->as_of;
	fx->parts++;
	fx->items += (uint32_t)n->nitems;
	for (i = 0; i < n->nitems; i++) {
		fx->deletions += n->items[i].deleted;
		fx->specs += n->items[i].spec != NULL;
		CU_ASSERT_TRUE(
		    n->items[i].deleted || n->items[i].revision <= n->as_of);
	}
}

static void
start(struct fixture *fx)
{
	struct dh_peer_handler h = { on_beat, on_owners, on_delta, on_report,
		on_changes, NULL, NULL, fx };

	memset(fx, 0, sizeof(*fx));
	fx->in_order = true;
	uv_loop_init(&fx->loop);
	fx->from = dh_peer_new(&fx->loop, FROM, port, &h, NULL);
	fx->to = dh_peer_new(&fx->loop, TO, port, &h, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fx->from);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fx->to);
}

static void
run(struct fixture *fx)
{
	int i;

	for (i = 0; i < 100; i++) {
		uv_run(&fx->loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
}

static void
end(struct fixture *fx)
{
	dh_peer_free(fx->from);
	dh_peer_free(fx->to);
	uv_run(&fx->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&fx->loop), 0);
}

/* A leader that knows of no evacuated zone, and one that does not know yet, are
 * told apart. */
static void
test_evacuated_zones(void)
{
	g_autoptr(GPtrArray) zones = g_ptr_array_new();
	struct dh_leader_heartbeat beat = { .vm = "vm-1", .term = 2 };
	struct fixture fx;

	start(&fx);
	dh_peer_send_heartbeat(fx.from, TO, &beat);
	run(&fx);
	CU_ASSERT_STRING_EQUAL(fx.zones, "unknown");
	beat.evacuated = zones;
	dh_peer_send_heartbeat(fx.from, TO, &beat);
	run(&fx);
	CU_ASSERT_STRING_EQUAL(fx.zones, "");
	g_ptr_array_add(zones, (gpointer)(uintptr_t) "z1");
	dh_peer_send_heartbeat(fx.from, TO, &beat);
	run(&fx);
	CU_ASSERT_STRING_EQUAL(fx.zones, "z1");
	CU_ASSERT_EQUAL(fx.beats, 3);
	end(&fx);
}

static void
test_heartbeat(void)
{
	struct dh_leader_heartbeat beat = { .vm = "vm-1",
		.term = UINT64_MAX,
		.failing = true,
		.vms = 70,
		.era = 5,
		.number = 3,
		.cursors = {
		    { 17, true, 250 }, { 1ull << 40, false, UINT32_MAX } } };
	struct dh_peer_traffic traffic;
	struct fixture fx;

	start(&fx);
	dh_peer_send_heartbeat(fx.from, TO, &beat);
	run(&fx);
	CU_ASSERT_EQUAL(fx.beats, 1);
	CU_ASSERT_STRING_EQUAL(fx.beat.vm, "vm-1");
	CU_ASSERT_EQUAL(fx.beat.term, UINT64_MAX);
	CU_ASSERT_TRUE(fx.beat.failing);
	CU_ASSERT_EQUAL(fx.beat.era, 5);
	CU_ASSERT_EQUAL(fx.beat.number, 3);
	CU_ASSERT_EQUAL(fx.beat.cursors[0].as_of, 17);
	CU_ASSERT_TRUE(fx.beat.cursors[0].reached);
	CU_ASSERT_EQUAL(fx.beat.cursors[1].as_of, 1ull << 40);
	CU_ASSERT_FALSE(fx.beat.cursors[1].reached);
	CU_ASSERT_EQUAL(fx.beat.cursors[0].age_ms, 250);
	CU_ASSERT_EQUAL(fx.beat.cursors[1].age_ms, UINT32_MAX);
	CU_ASSERT_EQUAL(fx.limits, 0);
	traffic = dh_peer_take_traffic(fx.from);
	CU_ASSERT_EQUAL(traffic.datagrams[DH_PEER_HEARTBEAT], 1);
	CU_ASSERT_TRUE(traffic.bytes[DH_PEER_HEARTBEAT] > 0);
	CU_ASSERT_EQUAL(traffic.datagrams[DH_PEER_REPORT], 0);
	CU_ASSERT_EQUAL(traffic.unsent, 0);
	traffic = dh_peer_take_traffic(fx.from);
	CU_ASSERT_EQUAL(traffic.datagrams[DH_PEER_HEARTBEAT], 0);
	end(&fx);
}

static void
test_shared_limits(void)
{
	struct dh_shared_limit s = { .id = "i-1",
		.start_ms = 1ll << 40,
		.per_s = 4.2,
		.fraction = 0.125 };
	g_autoptr(GArray) limits =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_shared_limit));
	struct dh_leader_heartbeat beat = { .vm = "vm-1", .limits = limits };
	struct fixture fx;

	start(&fx);
	g_array_append_val(limits, s);
	g_array_append_val(limits, s);
	dh_peer_send_heartbeat(fx.from, TO, &beat);
	run(&fx);
	CU_ASSERT_EQUAL(fx.limits, 2);
	CU_ASSERT_STRING_EQUAL(fx.limit.id, "i-1");
	CU_ASSERT_EQUAL(fx.limit.start_ms, 1ll << 40);
	CU_ASSERT_DOUBLE_EQUAL(fx.limit.per_s, 4.2, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(fx.limit.fraction, 0.125, 1e-6);
	end(&fx);
}

static void
test_suspects(void)
{
	struct dh_suspect s = { .request = UINT64_MAX,
		.epoch = 7,
		.crashes = 2,
		.servers = { 5, UINT32_MAX },
		.nservers = 2 };
	g_autoptr(GArray) none = g_array_new(FALSE, FALSE, 1);
	g_autoptr(GArray) suspects =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_suspect));
	struct dh_leader_heartbeat beat = { .vm = "vm-1",
		.suspects = suspects };
	struct dh_peer_report r = { .vm = "vm-1",
		.keys = none,
		.servers = none,
		.leaving = none,
		.suspects = suspects };
	struct fixture fx;

	g_array_append_val(suspects, s);
	start(&fx);
	dh_peer_send_heartbeat(fx.from, TO, &beat);
	run(&fx);
	CU_ASSERT_EQUAL(fx.beats, 1);
	CU_ASSERT_EQUAL(fx.suspects, 1);
	CU_ASSERT_EQUAL(fx.suspect.request, UINT64_MAX);
	CU_ASSERT_EQUAL(fx.suspect.epoch, 7);
	CU_ASSERT_EQUAL(fx.suspect.crashes, 2);
	CU_ASSERT_EQUAL_FATAL(fx.suspect.nservers, 2);
	CU_ASSERT_EQUAL(fx.suspect.servers[1], UINT32_MAX);
	fx.suspect.nservers = 0;
	dh_peer_send_report(fx.from, TO, &r);
	run(&fx);
	CU_ASSERT_EQUAL(fx.suspects, 2);
	CU_ASSERT_EQUAL_FATAL(fx.suspect.nservers, 2);
	CU_ASSERT_EQUAL(fx.suspect.servers[0], 5);
	g_array_index(suspects, struct dh_suspect, 0).crashes = 3;
	dh_peer_send_report(fx.from, TO, &r);
	run(&fx);
	CU_ASSERT_EQUAL(fx.suspects, 3);
	CU_ASSERT_EQUAL(fx.suspect.crashes, 3);
	/* More crashes than any VM counts. */
	g_array_index(suspects, struct dh_suspect, 0).crashes = 4;
	dh_peer_send_report(fx.from, TO, &r);
	run(&fx);
	CU_ASSERT_EQUAL(fx.suspects, 3);
	end(&fx);
}

static void
test_limits_in_a_report(void)
{
	struct dh_limit_report l = { .id = "i-1",
		.start_ms = 7,
		.change = DH_LIMIT_NAMED,
		.per_s = 0.8,
		.offered = 90,
		.admitted = 12 };
	g_autoptr(GArray) keys =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_peer_key));
	g_autoptr(GArray) servers =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_peer_server));
	g_autoptr(GArray) leaving =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_peer_leaving));
	g_autoptr(GArray) limits =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_limit_report));
	struct dh_peer_report r = { .vm = "vm-1",
		.keys = keys,
		.servers = servers,
		.leaving = leaving,
		.limits = limits };
	struct fixture fx;

	start(&fx);
	g_array_append_val(limits, l);
	dh_peer_send_report(fx.from, TO, &r);
	run(&fx);
	CU_ASSERT_EQUAL(fx.reported_limits, 1);
	CU_ASSERT_STRING_EQUAL(fx.reported.id, "i-1");
	CU_ASSERT_EQUAL(fx.reported.start_ms, 7);
	CU_ASSERT_EQUAL(fx.reported.change, DH_LIMIT_NAMED);
	CU_ASSERT_DOUBLE_EQUAL(fx.reported.per_s, 0.8, 1e-9);
	CU_ASSERT_EQUAL(fx.reported.offered, 90);
	CU_ASSERT_EQUAL(fx.reported.admitted, 12);
	/* More admitted than offered. */
	g_array_index(limits, struct dh_limit_report, 0).admitted = 91;
	dh_peer_send_report(fx.from, TO, &r);
	run(&fx);
	CU_ASSERT_EQUAL(fx.reported_limits, 1);
	end(&fx);
}

/* More changes than fit in a datagram.  A third are deletions with an old
 * revision, which must not end a part. */
static void
test_changes_in_parts(void)
{
	struct dh_fanout_vm to = { .address = inet_addr(TO), .zone = "z" };
	g_autoptr(dh_fanout) f = dh_fanout_new(&to, 1, 0);
	struct dh_object_view items[ITEMS];
	struct dh_registry_changes news = { DH_REGISTRY_CONFIG, 100,
		100 + ITEMS, items, ITEMS, 6 };
	struct json_object *spec = json_object_new_object();
	g_autofree char *text = g_strnfill(300, 'x');
	struct fixture fx;
	size_t i;

	json_object_object_add(spec, "text", json_object_new_string(text));
	for (i = 0; i < ITEMS; i++)
		items[i] = (struct dh_object_view){ .name = "thing",
			.revision = i % 3 == 0 ? 1 : 100 + i,
			.deleted = i % 3 == 0,
			.spec = i % 3 == 0 ? NULL : spec };
	start(&fx);
	fx.as_of = 100;
	dh_peer_publish_changes(fx.from, f, &news, 9);
	run(&fx);
	CU_ASSERT_TRUE(fx.parts > 1);
	CU_ASSERT_EQUAL(fx.items, ITEMS);
	CU_ASSERT_EQUAL(fx.deletions, ITEMS / 3);
	CU_ASSERT_EQUAL(fx.specs, ITEMS - ITEMS / 3);
	CU_ASSERT_TRUE(fx.in_order);
	CU_ASSERT_EQUAL(fx.as_of, 100 + ITEMS);
	json_object_put(spec);
	end(&fx);
}

#define FLEET_VMS 40

/* A VM that a datagram is passed on to. */
struct fleet_vm {
	struct dh_peer *peer;
	uint32_t deltas, relayed;
};

static void
count_delta(void *arg, const struct dh_peer_delta *d)
{
	CU_ASSERT_EQUAL(d->version, 8);
	CU_ASSERT_EQUAL(d->changes->len, 1);
	((struct fleet_vm *)arg)->deltas++;
}

static void
pass_on(void *arg, const uint32_t *addresses, size_t n, const void *datagram,
    size_t len)
{
	struct fleet_vm *vm = arg;

	vm->relayed++;
	dh_peer_pass_on(vm->peer, addresses, n, datagram, len);
}

static void
test_datagram_passed_on_to_all(void)
{
	struct dh_record_change change = { .to = 9, .owner = "a" };
	struct dh_peer_delta d = { .service = "keyed",
		.term = 4,
		.base = 7,
		.version = 8,
		.changes = g_array_new(
		    FALSE, FALSE, sizeof(struct dh_record_change)) };
	struct fleet_vm fleet[FLEET_VMS] = { 0 };
	struct dh_fanout_vm vms[FLEET_VMS];
	g_autoptr(dh_fanout) f = NULL;
	struct dh_peer_traffic traffic;
	struct fixture fx;
	char ip[32];
	int i, relays = 0;

	start(&fx);
	g_array_append_val(d.changes, change);
	for (i = 0; i < FLEET_VMS; i++) {
		struct dh_peer_handler h = { on_beat, on_owners, count_delta,
			on_report, on_changes, pass_on, NULL, &fleet[i] };

		(void)g_snprintf(ip, sizeof(ip), "127.0.1.%d", i + 1);
		fleet[i].peer = dh_peer_new(&fx.loop, ip, port, &h, NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(fleet[i].peer);
		vms[i] = (struct dh_fanout_vm){ .address = inet_addr(ip),
			.zone = i % 2 == 0 ? "y" : "z",
			.relays = true };
	}
	f = dh_fanout_new(vms, FLEET_VMS, 0);
	dh_peer_publish_delta(fx.from, f, &d);
	run(&fx);
	for (i = 0; i < FLEET_VMS; i++) {
		CU_ASSERT_EQUAL(fleet[i].deltas, 1);
		relays += fleet[i].relayed > 0;
		dh_peer_free(fleet[i].peer);
	}
	CU_ASSERT_EQUAL(relays, (int)f->groups->len);
	traffic = dh_peer_take_traffic(fx.from);
	CU_ASSERT_EQUAL(traffic.datagrams[DH_PEER_DELTA], f->groups->len);
	g_array_unref(d.changes);
	end(&fx);
}

/* The bytes of a heartbeat; returns their number. */
static size_t
heartbeat_bytes(struct fixture *fx, char *bytes, size_t size)
{
	struct dh_leader_heartbeat beat = { .vm = "vm-1", .term = 1 };
	struct sockaddr_in to = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = inet_addr("127.0.0.3") };
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	ssize_t n;

	CU_ASSERT_EQUAL_FATAL(
	    bind(fd, (const struct sockaddr *)&to, sizeof(to)), 0);
	dh_peer_send_heartbeat(fx->from, "127.0.0.3", &beat);
	n = recv(fd, bytes, size, 0);
	CU_ASSERT_TRUE_FATAL(n > 0);
	(void)close(fd);
	return (size_t)n;
}

/* Packs a datagram that is to be passed on to nobody. */
static void
pack_relayed(msgpack_sbuffer *b, const char *bytes, size_t len)
{
	msgpack_packer pk;

	msgpack_sbuffer_init(b);
	msgpack_packer_init(&pk, b, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint32(&pk, DH_PEER_RELAYED);
	msgpack_pack_bin(&pk, 0);
	msgpack_pack_bin(&pk, len);
	msgpack_pack_bin_body(&pk, bytes, len);
}

/* A heartbeat is taken for one of its sender, and a datagram that is passed on
 * again and again would have no end. */
static void
test_datagrams_that_are_not_passed_on(void)
{
	struct dh_peer_handler h = { on_beat, on_owners, on_delta, on_report,
		on_changes, NULL, NULL, NULL };
	msgpack_sbuffer relayed, twice;
	struct fixture fx;
	char bytes[512];
	size_t len;

	start(&fx);
	h.arg = &fx;
	len = heartbeat_bytes(&fx, bytes, sizeof(bytes));
	CU_ASSERT_TRUE(dh_peer_decode(&h, bytes, len, FROM));
	pack_relayed(&relayed, bytes, len);
	CU_ASSERT_FALSE(dh_peer_decode(&h, relayed.data, relayed.size, FROM));
	pack_relayed(&twice, relayed.data, relayed.size);
	CU_ASSERT_FALSE(dh_peer_decode(&h, twice.data, twice.size, FROM));
	CU_ASSERT_EQUAL(fx.beats, 1);
	msgpack_sbuffer_destroy(&relayed);
	msgpack_sbuffer_destroy(&twice);
	end(&fx);
}

/* A record of 4096 ranges; every second range has no owner. */
static void
test_owners_in_parts(void)
{
	struct dh_record r = { .term = 4, .version = 17, .nranges = 4096 };
	struct fixture fx;
	uint32_t i;

	r.ranges = g_new0(struct dh_key_range, r.nranges);
	for (i = 0; i < r.nranges; i++) {
		r.ranges[i].from = i * 16;
		r.ranges[i].to = i * 16 + 15;
		if (i % 2 == 0)
			g_snprintf(r.ranges[i].owner, sizeof(r.ranges[i].owner),
			    "i-%x", i);
	}
	start(&fx);
	dh_peer_send_owners(fx.from, TO, "keyed", &r);
	run(&fx);
	CU_ASSERT_TRUE(fx.parts > 1);
	CU_ASSERT_EQUAL(fx.parts, fx.expected_parts);
	CU_ASSERT_EQUAL(fx.items, r.nranges / 2);
	dh_record_clear(&r);
	end(&fx);
}

/* Truncated datagrams and those with fields of another type call nothing. */
static void
test_bad_datagrams(void)
{
	static const unsigned char bad[][16] = { { 0x96, 1 }, { 0xc0 },
		{ 0x93, 5, 1, 9 }, { 0x96, 5, 1, 7, 1, 2, 0x90 },
		{ 0x96, 5, 1, 0, 1, 2, 0x91, 0x91, 1 },
		{ 0x96, 1, 0xa1, 'v', 1, 0, 1, 0x91, 0x92, 1, 1 } };
	static const size_t len[] = { 2, 1, 4, 7, 9, 11 };
	struct sockaddr_in to;
	struct fixture fx;
	uv_udp_t udp;
	uv_buf_t buf;
	size_t i;

	start(&fx);
	uv_udp_init(&fx.loop, &udp);
	uv_ip4_addr(TO, port, &to);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		buf = uv_buf_init(
		    (char *)(uintptr_t)bad[i], (unsigned int)len[i]);
		CU_ASSERT_EQUAL(uv_udp_try_send(&udp, &buf, 1,
				    (const struct sockaddr *)&to),
		    (int)len[i]);
	}
	run(&fx);
	CU_ASSERT_EQUAL(fx.beats, 0);
	CU_ASSERT_EQUAL(fx.parts, 0);
	uv_close((uv_handle_t *)&udp, NULL);
	end(&fx);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "heartbeat", test_heartbeat },
		{ "evacuated zones", test_evacuated_zones },
		{ "shared limits", test_shared_limits },
		{ "limits in a report", test_limits_in_a_report },
		{ "suspects", test_suspects },
		{ "changes in parts", test_changes_in_parts },
		{ "datagram passed on", test_datagram_passed_on_to_all },
		{ "not passed on", test_datagrams_that_are_not_passed_on },
		{ "owners in parts", test_owners_in_parts },
		{ "bad datagrams", test_bad_datagrams },
		CU_TEST_INFO_NULL,
	};

	port = free_port();
	return cunit_main("peer", tests);
}
