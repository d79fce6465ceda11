#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "base/clock.h"
#include "proto/frame.h"
#include "proto/link.h"
#include "proto/msg.h"
#include "tests/msg_samples.h"

/*
 * Cost of the protocol between VMs: size of a message of each kind, processor
 * time to encode and decode it, and processor time of one small message over
 * a loopback link, including the system calls of both ends.
 */
#define BENCH_MS 100 /* duration of each measurement */
#define LINK_MESSAGES 50000

static int64_t
cpu_us(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return ((int64_t)u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1000000 +
	    u.ru_utime.tv_usec + u.ru_stime.tv_usec;
}

static void
bench_one(const char *name, const struct dh_msg *m)
{
	int64_t start, encode_us, decode_us;
	uint64_t n, rounds = 0;
	struct dh_msg back;
	uint8_t *frame;
	size_t len = 0;

	start = dh_clock_us();
	while (dh_clock_us() - start < (int64_t)BENCH_MS * 1000) {
		free(dh_msg_encode(m, &len));
		rounds++;
	}
	encode_us = dh_clock_us() - start;
	frame = dh_msg_encode(m, &len);
	if (frame == NULL)
		abort();
	start = dh_clock_us();
	for (n = 0; n < rounds; n++) {
		if (dh_msg_decode(frame + DH_FRAME_HEADER,
			len - DH_FRAME_HEADER, &back) != DH_MSG_OK)
			abort();
		dh_msg_clear(&back);
	}
	decode_us = dh_clock_us() - start;
	printf("%-22s %8zu %10.0f %10.0f\n", name, len,
	    (double)encode_us * 1000 / (double)rounds,
	    (double)decode_us * 1000 / (double)rounds);
	free(frame);
}

static void
bench_large(void)
{
	static struct dh_slot_update slots[16384];
	struct dh_table_update table = { .group = "feed/0",
		.version = { 3, 42 },
		.nslots = 16384,
		.slots = slots };
	struct dh_msg m = { .kind = DH_MSG_TABLE,
		.table = { .n = 1, .list = &table } };
	uint32_t i;

	for (i = 0; i < 16384; i++)
		slots[i] = (struct dh_slot_update){ i,
			{ dh_name_id("backend-1"), dh_name_id("backend-2"),
			    { 3, i }, DH_SLOT_OWNED } };
	table.base = (struct dh_relay_version){ 3, 41 };
	table.n = 1;
	bench_one("table, 1 slot changed", &m);
	table.n = 16384;
	bench_one("table, 16384 slots", &m);
}

/* Round trips over a link, one message in flight at a time. */

struct echo {
	struct dh_link *link;
	uint64_t left;
};

static void
echo_up(void *arg, struct dh_link *l, const struct dh_hello *peer)
{
	struct dh_msg m = { .kind = DH_MSG_HEARTBEAT,
		.heartbeat = { 1, UINT64_MAX, UINT64_MAX, UINT64_MAX, 5, 6 } };
	struct echo *e = arg;

	(void)peer;
	if (e->link == l)
		(void)dh_link_send(l, &m);
}

static void
echo_msg(void *arg, struct dh_link *l, const struct dh_msg *m)
{
	struct echo *e = arg;

	if (e->left == 0)
		return;
	e->left--;
	(void)dh_link_send(l, m);
}

static void
echo_down(void *arg, struct dh_link *l, enum dh_link_down why)
{
	(void)arg;
	(void)l;
	(void)why;
}

static const struct dh_link_ops echo_ops = {
	.up = echo_up, .msg = echo_msg, .down = echo_down
};

static void
bench_link(void)
{
	struct dh_hello self = { .vm = "entry-1", .address = "127.0.0.1" };
	struct echo a = { .left = LINK_MESSAGES }, b = { .left = UINT64_MAX };
	struct dh_link_params params;
	struct dh_link_server *server;
	int64_t start;
	uv_loop_t loop;

	uv_loop_init(&loop);
	dh_link_params_defaults(&params);
	server = dh_link_listen(
	    &loop, &params, &self, "127.0.0.1", 0, &echo_ops, &b, NULL);
	if (server == NULL)
		abort();
	a.link = dh_link_connect(&loop, &params, &self, "127.0.0.1",
	    dh_link_server_port(server), &echo_ops, &a);
	start = cpu_us();
	while (a.left > 0)
		uv_run(&loop, UV_RUN_ONCE);
	printf("heartbeat over a loopback link: %.2f us of processor time a "
	       "message, both ends\n",
	    (double)(cpu_us() - start) / (2.0 * LINK_MESSAGES));
	dh_link_free(a.link);
	dh_link_server_free(server);
	while (uv_run(&loop, UV_RUN_NOWAIT) != 0)
		;
	uv_loop_close(&loop);
}

int
main(void)
{
	struct dh_msg m;
	int kind;

	printf("%-22s %8s %10s %10s\n", "message", "bytes", "encode ns",
	    "decode ns");
	for (kind = 1; kind <= DH_MSG_KIND_MAX; kind++) {
		msg_sample((enum dh_msg_kind)kind, &m);
		bench_one(dh_msg_kind_name((enum dh_msg_kind)kind), &m);
	}
	m = (struct dh_msg){ .kind = DH_MSG_HEARTBEAT,
		.heartbeat = { 100000, UINT64_MAX, UINT64_MAX, UINT64_MAX,
		    1 << 24, UINT64_MAX } };
	bench_one("heartbeat, digests", &m);
	bench_large();
	bench_link();
	return 0;
}
