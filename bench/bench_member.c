#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/group.h>
#include <dogwoodhub/member.h>
#include <dogwoodhub/relay.h>

#include "base/clock.h"
#include "proto/msg.h"

/*
 * Cost of membership and relay for one VM among 11 to 7,100, measured on the
 * state machines without network I/O: memory, links, depth and children in
 * the relay tree, and processor time of each event.  From these and the
 * default intervals the program computes the bytes and the share of a core
 * that a VM uses in steady state.
 */
#define VMS_MAX 7100
#define ROUNDS 200
#define PACKET_BYTES 52 /* IP and TCP headers with timestamps */
/* Losses, restarts and replacements per second, of VMS_MAX VMs together. */
#define VM_CHANGES_S (1230.0 / 86400)
#define RECORDS_PER_CHANGE 2 /* one removed, one added */
#define CONFIG_CHANGES_S (21000.0 / 86400) /* changes per second */
#define TEAM_BYTES 65536
#define WORK_US_PER_MESSAGE 6.0 /* per message on a link, from bench_msg */

struct shape {
	double links, links_max;
	double children_max;
	uint32_t depth;
};

struct cost {
	double memory_kb;
	double choose_us, tick_us, heard_us, learn_us;
};

static struct dh_member_record records[VMS_MAX];
static uint32_t parents[VMS_MAX];

static void
make_records(uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		records[i] = (struct dh_member_record){
			.incarnation = 1, .version = 1, .peer_port = 7001
		};
		(void)snprintf(records[i].name, DH_NAME_MAX, "entry-%u", i);
		(void)snprintf(records[i].zone, DH_NAME_MAX, "zone-%u", i % 8);
		(void)snprintf(
		    records[i].region, DH_NAME_MAX, "region-%u", i % 2);
		(void)snprintf(records[i].address, DH_ADDRESS_MAX,
		    "10.%u.%u.%u", i >> 16, i >> 8 & 255, i & 255);
	}
}

static struct dh_membership *
view_of(uint32_t self, uint32_t n, const struct dh_member_params *p,
    struct dh_member_actions *out)
{
	struct dh_membership *v = dh_member_new(p, &records[self]);
	struct dh_member_event ev = { .kind = DH_MEMBER_RECORD };
	uint32_t i;

	for (i = 0; i < n; i++) {
		ev.record = &records[i];
		dh_member_step(v, &ev, 1000, out);
	}
	ev.kind = DH_MEMBER_TICK;
	dh_member_step(v, &ev, 1000, out);
	return v;
}

static int
id_cmp(const void *a, const void *b)
{
	const uint64_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/* Sorted ids, each followed by its index in records[]. */
static uint32_t
index_of(const uint64_t (*ids)[2], uint32_t n, uint64_t id)
{
	const uint64_t key[2] = { id, 0 };
	const uint64_t(*at)[2] = bsearch(key, ids, n, sizeof(*ids), id_cmp);

	if (at == NULL)
		abort();
	return (uint32_t)(*at)[1];
}

/* Neighbours chosen by every VM, and the resulting links and relay tree. */
static struct shape
measure_shape(uint32_t n, const struct dh_member_params *p)
{
	static uint32_t links[VMS_MAX], children[VMS_MAX];
	static uint64_t ids[VMS_MAX][2];
	struct dh_member_actions out = { 0 };
	struct shape s = { 0 };
	struct dh_membership *v;
	uint32_t i, j, depth;
	size_t k;

	memset(links, 0, sizeof(links));
	memset(children, 0, sizeof(children));
	for (i = 0; i < n; i++) {
		ids[i][0] = dh_name_id(records[i].name);
		ids[i][1] = i;
	}
	qsort(ids, n, sizeof(ids[0]), id_cmp);
	for (i = 0; i < n; i++) {
		v = view_of(i, n, p, &out);
		parents[i] = i;
		for (k = 0; k < out.n; k++) {
			if (out.list[k].kind == DH_MEMBER_DO_LINK) {
				j = index_of(ids, n, out.list[k].vm);
				links[i]++;
				links[j]++;
			}
			if (out.list[k].kind == DH_MEMBER_DO_SET_PARENT)
				parents[i] = index_of(ids, n, out.list[k].vm);
		}
		if (parents[i] != i)
			children[parents[i]]++;
		dh_member_actions_clear(&out);
		dh_member_free(v);
	}
	for (i = 0; i < n; i++) {
		/* In a small group both ends choose each other: one link. */
		if (n <= p->mesh_max)
			links[i] /= 2;
		depth = 0;
		for (j = i; parents[j] != j; j = parents[j])
			depth++;
		s.depth = depth > s.depth ? depth : s.depth;
		s.links += (double)links[i] / n;
		s.links_max = links[i] > s.links_max ? links[i] : s.links_max;
		s.children_max =
		    children[i] > s.children_max ? children[i] : s.children_max;
	}
	dh_member_actions_free(&out);
	return s;
}

static struct cost
measure_cost(uint32_t n, const struct dh_member_params *p)
{
	struct dh_member_event tick = { .kind = DH_MEMBER_TICK };
	struct dh_member_event ev = { .kind = DH_MEMBER_RECORD };
	struct dh_member_actions out = { 0 };
	struct cost c = { 0 };
	struct dh_membership *v;
	int64_t now = 2000, start;
	size_t before = mallinfo2().uordblks;
	uint32_t i;

	v = view_of(0, n, p, &out);
	c.memory_kb = (double)(mallinfo2().uordblks - before) / 1024;
	for (i = 0; i < ROUNDS; i++) {
		/* A VM restarts: learn, relay, choose all neighbours again. */
		records[n - 1].incarnation++;
		ev.record = &records[n - 1];
		start = dh_clock_us();
		dh_member_step(v, &ev, now, &out);
		c.learn_us += (double)(dh_clock_us() - start) / ROUNDS;
		now += 250;
		start = dh_clock_us();
		dh_member_step(v, &tick, now, &out);
		c.choose_us += (double)(dh_clock_us() - start) / ROUNDS;
		dh_member_actions_clear(&out);
	}
	start = dh_clock_us();
	for (i = 0; i < ROUNDS * 100; i++) {
		now += 250;
		dh_member_step(v, &tick, now, &out);
		dh_member_actions_clear(&out);
	}
	c.tick_us = (double)(dh_clock_us() - start) / (ROUNDS * 100);
	ev = (struct dh_member_event){ .kind = DH_MEMBER_HEARTBEAT,
		.vm = dh_name_id(records[1].name) };
	ev.heartbeat.incarnation = records[1].incarnation;
	ev.heartbeat.digest = dh_member_digest(v);
	start = dh_clock_us();
	for (i = 0; i < ROUNDS * 100; i++)
		dh_member_step(v, &ev, now, &out);
	c.heard_us = (double)(dh_clock_us() - start) / (ROUNDS * 100);
	dh_member_actions_free(&out);
	dh_member_free(v);
	return c;
}

static size_t
frame_bytes(const struct dh_msg *m)
{
	size_t len = 0;

	free(dh_msg_encode(m, &len));
	return len;
}

/* Bytes and time to send an edit of a large object to `fanout` neighbours. */
static double
relay_change(uint32_t fanout, double *cpu_us)
{
	struct dh_relay_params p;
	struct dh_relay_item item;
	struct dh_team_update u = { .team = "diary", .len = TEAM_BYTES };
	uint8_t *bytes = calloc(1, TEAM_BYTES);
	struct dh_msg m = { .kind = DH_MSG_CONFIG };
	struct dh_relay *r;
	size_t sent = 0;
	int64_t start;
	uint64_t i, j;

	dh_relay_params_defaults(&p);
	r = dh_relay_new(&p);
	u.bytes = bytes;
	for (j = 1; j <= fanout; j++)
		(void)dh_relay_attach(r, j, NULL, 0, NULL, 0);
	start = dh_clock_us();
	for (i = 1; i <= ROUNDS; i++) {
		u.version = i;
		memset(bytes + i * 100, 'x', 20);
		(void)dh_relay_put_team(r, &u, 0);
		for (j = 1; j <= fanout; j++) {
			while (dh_relay_next(r, j, &item)) {
				m.config.n = 1;
				m.config.list = &item.team;
				sent = frame_bytes(&m);
				dh_relay_sent(r, j, &item);
			}
		}
	}
	*cpu_us = (double)(dh_clock_us() - start) / ROUNDS;
	dh_relay_free(r);
	free(bytes);
	return (double)sent;
}

struct traffic {
	double heartbeat_bytes, record_bytes, change_bytes;
	double heartbeats_s; /* heartbeats a second on a link */
	double records_s;
};

/* Bytes that a node sends a second.  Each heartbeat is acknowledged by a
 * packet of its own; each new record goes on every link, once. */
static double
sent_bytes_s(const struct traffic *t, double links, double children)
{
	return links * t->heartbeats_s *
	    (t->heartbeat_bytes + 2 * PACKET_BYTES) +
	    links * t->records_s * (t->record_bytes + 2 * PACKET_BYTES) +
	    children * CONFIG_CHANGES_S * (t->change_bytes + 2 * PACKET_BYTES);
}

static void
report(uint32_t n, const struct dh_member_params *p, struct traffic *t,
    double relay_us)
{
	int64_t beat_ms =
	    n > p->mesh_max ? p->sparse_heartbeat_ms : p->heartbeat_ms;
	struct shape s;
	struct cost c;
	double cpu_us;

	make_records(VMS_MAX);
	s = measure_shape(n, p);
	c = measure_cost(n, p);
	t->heartbeats_s = 1000 / (double)beat_ms;
	t->records_s = n / (double)VMS_MAX * VM_CHANGES_S * RECORDS_PER_CHANGE;
	cpu_us =
	    s.links * t->heartbeats_s * (WORK_US_PER_MESSAGE + c.heard_us) +
	    2 * t->heartbeats_s * c.tick_us +
	    t->records_s * (c.choose_us + s.links * c.learn_us) +
	    CONFIG_CHANGES_S * relay_us;
	printf("%6u %8.0f %6.1f %5.0f %6u %9.0f %9.1f %8.2f %8.3f %8.2f "
	       "%8.0f %8.0f %9.4f\n",
	    n, c.memory_kb, s.links, s.links_max, s.depth, s.children_max,
	    c.choose_us, c.tick_us, c.heard_us, c.learn_us,
	    sent_bytes_s(t, s.links, 1),
	    sent_bytes_s(t, s.links_max, s.children_max), cpu_us / 10000);
}

int
main(void)
{
	static const uint32_t sizes[] = { 11, 100, 1000, 7100 };
	struct dh_msg beat = { .kind = DH_MSG_HEARTBEAT,
		.heartbeat = { 100000, UINT64_MAX, UINT64_MAX, UINT64_MAX,
		    1 << 24, UINT64_MAX } };
	struct dh_msg members = { .kind = DH_MSG_MEMBERS,
		.members = { .n = 1, .list = records } };
	struct dh_member_params p;
	struct traffic t = { 0 };
	double relay_us;
	size_t i;

	dh_member_params_defaults(&p);
	make_records(VMS_MAX);
	t.heartbeat_bytes = (double)frame_bytes(&beat);
	t.record_bytes = (double)frame_bytes(&members);
	t.change_bytes = relay_change(p.fanout, &relay_us);
	printf("heartbeat %.0f bytes, record %.0f bytes, change of a %u byte "
	       "object %.0f bytes and %.0f us for %u children\n",
	    t.heartbeat_bytes, t.record_bytes, TEAM_BYTES, t.change_bytes,
	    relay_us, p.fanout);
	printf("%6s %8s %6s %5s %6s %9s %9s %8s %8s %8s %8s %8s %9s\n", "VMs",
	    "memory", "links", "(max)", "depth", "children", "choose", "tick",
	    "heard", "learn", "sent", "(max)", "core");
	printf("%6s %8s %6s %5s %6s %9s %9s %8s %8s %8s %8s %8s %9s\n", "",
	    "KB", "", "", "", "max", "us", "us", "us", "us", "B/s", "B/s", "%");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		report(sizes[i], &p, &t, relay_us);
	return 0;
}
