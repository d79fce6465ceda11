#include <string.h>

#include <dogwoodhub/conf.h>

#include "base/clock.h"
#include "control/peers.h"
#include "tests/cunit_main.h"

#define BEAT_MS 100
#define BEATS 25u /* BEATS * BEAT_MS exceeds the silence limit of a link */
#define LIMIT_MS 20000

/* A VM with its links and counts of their events. */
struct side {
	struct dh_settings settings;
	struct dh_control control;
	struct dh_peers *peers;
	uint32_t ups;
	uint32_t downs;
	uint32_t beats; /* heartbeats received */
};

static void
on_up(void *arg, uint64_t vm, const struct dh_hello *hello)
{
	struct side *s = arg;

	(void)vm;
	(void)hello;
	s->ups++;
}

static void
on_message(void *arg, uint64_t vm, const struct dh_msg *m)
{
	struct side *s = arg;

	(void)vm;
	if (m->kind == DH_MSG_HEARTBEAT)
		s->beats++;
}

static void
on_down(void *arg, uint64_t vm, enum dh_link_down why)
{
	struct side *s = arg;

	(void)vm;
	(void)why;
	s->downs++;
}

static const struct dh_peers_ops ops = { on_up, on_message, on_down };

static void
side_start(struct side *s, const char *name, uint64_t incarnation)
{
	g_autoptr(GError) error = NULL;

	*s = (struct side){ .control = { .incarnation = incarnation } };
	g_strlcpy(s->settings.vm, name, sizeof(s->settings.vm));
	g_strlcpy(s->settings.listen_address, "127.0.0.1",
	    sizeof(s->settings.listen_address));
	s->control.settings = &s->settings;
	s->control.self = dh_name_id(name);
	uv_loop_init(&s->control.loop);
	s->peers = dh_peers_new(&s->control, &ops, s, &error);
	g_assert_no_error(error);
}

static void
side_stop(struct side *s)
{
	dh_peers_free(s->peers);
	while (uv_run(&s->control.loop, UV_RUN_NOWAIT) != 0)
		;
	uv_loop_close(&s->control.loop);
}

static void
want_link(struct side *s, const struct side *other)
{
	dh_peers_want(s->peers, other->control.self, "127.0.0.1",
	    dh_peers_port(other->peers));
}

static void
run_once(struct side *a, struct side *b)
{
	uv_run(&a->control.loop, UV_RUN_NOWAIT);
	uv_run(&b->control.loop, UV_RUN_NOWAIT);
	g_usleep(1000);
}

static bool
both_up(const struct side *a, const struct side *b)
{
	return dh_peers_is_up(a->peers, b->control.self) &&
	    dh_peers_is_up(b->peers, a->control.self);
}

static void
connect_both(struct side *a, struct side *b)
{
	int64_t end = dh_clock_ms() + LIMIT_MS;

	while (!both_up(a, b) && dh_clock_ms() < end)
		run_once(a, b);
	CU_ASSERT_TRUE(both_up(a, b));
}

/* Sends heartbeats both ways until each side has received BEATS of them. */
static void
exchange_heartbeats(struct side *a, struct side *b)
{
	struct dh_msg m = { .kind = DH_MSG_HEARTBEAT };
	int64_t start = dh_clock_ms(), due = start;

	while ((a->beats < BEATS || b->beats < BEATS) &&
	    dh_clock_ms() - start < LIMIT_MS) {
		if (dh_clock_ms() >= due) {
			due += BEAT_MS;
			dh_peers_send_all(a->peers, &m);
			dh_peers_send_all(b->peers, &m);
		}
		run_once(a, b);
	}
}

/* Both VMs connect to each other at the same time.  One link remains, and
 * neither VM considers the other silent. */
static void
test_both_connect(void)
{
	struct side a, b;

	side_start(&a, "v1", 1);
	side_start(&b, "v2", 1);
	want_link(&a, &b);
	want_link(&b, &a);
	dh_peers_check(a.peers);
	dh_peers_check(b.peers);
	connect_both(&a, &b);
	exchange_heartbeats(&a, &b);
	CU_ASSERT_TRUE(a.beats >= BEATS);
	CU_ASSERT_TRUE(b.beats >= BEATS);
	CU_ASSERT_EQUAL(a.downs, 0);
	CU_ASSERT_EQUAL(b.downs, 0);
	CU_ASSERT_TRUE(both_up(&a, &b));
	CU_ASSERT_EQUAL(dh_peers_links(a.peers), 1);
	CU_ASSERT_EQUAL(dh_peers_links(b.peers), 1);
	side_stop(&a);
	side_stop(&b);
}

/* A peer is reported as down once its only link has ended. */
static void
test_peer_ends(void)
{
	struct side a, b;
	int64_t end;

	side_start(&a, "v1", 1);
	side_start(&b, "v2", 1);
	want_link(&a, &b);
	want_link(&b, &a);
	connect_both(&a, &b);
	side_stop(&b);
	end = dh_clock_ms() + LIMIT_MS;
	while (a.downs == 0 && dh_clock_ms() < end) {
		uv_run(&a.control.loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
	CU_ASSERT_TRUE(a.downs > 0);
	CU_ASSERT_FALSE(dh_peers_is_up(a.peers, b.control.self));
	side_stop(&a);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "both connect", test_both_connect },
		{ "peer ends", test_peer_ends },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("peers", tests);
}
