#include <string.h>

#include "base/clock.h"
#include "gateway/mirror.h"
#include "tests/cunit_main.h"
#include "tests/fake_objects.h"

#define KIND "things"

struct fixture {
	uv_loop_t loop;
	struct dh_era *era;
	struct dh_mirror *f;
	GString *log; /* "+NAME@REVISION " and "-NAME " */
	uint64_t since, as_of; /* of the last batch */
	uint32_t batches;
	bool reached;
};

static void
on_changed(void *arg, const struct dh_object_view *o)
{
	struct fixture *fx = arg;

	g_string_append_printf(
	    fx->log, "+%s@%llu ", o->name, (unsigned long long)o->revision);
}

static void
on_gone(void *arg, const char *name)
{
	struct fixture *fx = arg;

	g_string_append_printf(fx->log, "-%s ", name);
}

static void
on_reached(void *arg, bool reached)
{
	((struct fixture *)arg)->reached = reached;
}

static void
on_batch(void *arg, uint64_t since, uint64_t as_of,
    const struct dh_object_view *items, size_t n)
{
	struct fixture *fx = arg;

	(void)items;
	(void)n;
	fx->since = since;
	fx->as_of = as_of;
	fx->batches++;
}

/* Checks the calls of the handler since the last check. */
static void
check_log(struct fixture *fx, const char *expected)
{
	CU_ASSERT_STRING_EQUAL(fx->log->str, expected);
	g_string_truncate(fx->log, 0);
}

static struct dh_object_view
thing(const char *name, uint64_t revision)
{
	return (struct dh_object_view){ .name = name, .revision = revision };
}

static struct dh_object_view
deleted(const char *name, uint64_t revision)
{
	return (struct dh_object_view){
		.name = name, .revision = revision, .deleted = true
	};
}

/* Lists a and b at revision 10; the first watch is open. */
static void
start(struct fixture *fx)
{
	struct dh_mirror_handler h = { on_changed, on_gone, on_reached,
		on_batch, fx };
	struct dh_object_view items[] = { thing("a", 3), thing("b", 7) };

	memset(fx, 0, sizeof(*fx));
	uv_loop_init(&fx->loop);
	fx->era = dh_era_new();
	fx->log = g_string_new(NULL);
	fx->f =
	    dh_mirror_new(&fx->loop, NULL, NULL, fx->era, KIND, DH_FRESH, &h);
	CU_ASSERT_FALSE(dh_mirror_listed(fx->f));
	fake_answer(KIND, DH_OBJECTS_OK, 10, items, 2);
	CU_ASSERT_TRUE(dh_mirror_listed(fx->f));
	check_log(fx, "+a@3 +b@7 ");
}

static void
end(struct fixture *fx)
{
	dh_mirror_free(fx->f);
	dh_era_free(fx->era);
	uv_run(&fx->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&fx->loop), 0);
	g_string_free(fx->log, TRUE);
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

static void
test_watch_continues_after_a_pause(void)
{
	struct dh_object_view change = thing("a", 12);
	struct fixture fx;
	uint32_t made;

	start(&fx);
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 10);
	made = fake_calls_made;
	fake_answer(KIND, DH_OBJECTS_OK, 12, &change, 1);
	check_log(&fx, "+a@12 ");
	CU_ASSERT_EQUAL(fx.since, 10);
	CU_ASSERT_EQUAL(fx.as_of, 12);
	CU_ASSERT_EQUAL(fake_calls_made, made);
	run_for(&fx, 400);
	CU_ASSERT_EQUAL(fake_calls_made, made + 1);
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 12);
	/* No change: the next watch starts at once; no batch is reported. */
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 20);
	CU_ASSERT_EQUAL(fx.batches, 1);
	CU_ASSERT_EQUAL(dh_mirror_last_change_as_of(fx.f), 12);
	end(&fx);
}

/* While a fleet starts, only the leader makes fresh reads, which cost ten times
 * as much.  Other VMs make them once the start is over. */
static void
test_reads_are_stale_at_start(void)
{
	struct fixture fx;

	start(&fx);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_STALE);
	CU_ASSERT_TRUE(fake_open(KIND)->wait_ms <= 2500);
	run_for(&fx, 2600);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	end(&fx);
	start(&fx);
	dh_mirror_set_wait(fx.f, 700);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	end(&fx);
}

/* A VM that is behind the leader makes a fresh read, since there is no time for
 * a second try; a VM that has just started makes a stale one. */
static void
test_catching_up_reads_fresh(void)
{
	struct fixture fx;

	start(&fx);
	dh_mirror_set_fed_by_leader(fx.f, true);
	dh_mirror_catch_up(fx.f);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_STALE);
	end(&fx);
	start(&fx);
	run_for(&fx, 2600);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	dh_mirror_set_fed_by_leader(fx.f, true);
	dh_mirror_catch_up(fx.f);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	end(&fx);
}

/* The first list comes from another VM, or from the store after five failed
 * tries; changes are then watched at the store. */
static void
test_first_list_from_another_vm(void)
{
	struct dh_mirror_handler h = { on_changed, on_gone, on_reached,
		on_batch, NULL };
	struct dh_object_view items[] = { thing("a", 3), thing("b", 7) };
	struct dh_objects *other = (struct dh_objects *)(void *)items;
	struct json_object *spec = json_tokener_parse("{ \"x\": 1 }");
	g_autoptr(GString) list = NULL;
	struct fixture fx = { 0 };
	const char *text;
	int i;

	items[0].spec = spec;
	h.arg = &fx;
	uv_loop_init(&fx.loop);
	fx.era = dh_era_new();
	fx.log = g_string_new(NULL);
	fx.f = dh_mirror_new(&fx.loop, NULL, other, fx.era, KIND, DH_FRESH, &h);
	CU_ASSERT_PTR_EQUAL(fake_open(KIND)->from, other);
	CU_ASSERT_PTR_NULL(dh_mirror_list(fx.f));
	fake_answer(KIND, DH_OBJECTS_NOT_DONE, 0, NULL, 0);
	run_for(&fx, 100);
	CU_ASSERT_PTR_EQUAL(fake_open(KIND)->from, other);
	fake_answer(KIND, DH_OBJECTS_OK, 10, items, 2);
	check_log(&fx, "+a@3 +b@7 ");
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 10);
	CU_ASSERT_TRUE(fake_open(KIND)->watch);
	list = dh_mirror_list(fx.f);
	text = list == NULL ? "" : list->str;
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "a@3={\"x\":1} "));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "b@7=null "));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "as of 10"));
	end(&fx);
	memset(&fx, 0, sizeof(fx));
	uv_loop_init(&fx.loop);
	fx.era = dh_era_new();
	fx.log = g_string_new(NULL);
	fx.f = dh_mirror_new(&fx.loop, NULL, other, fx.era, KIND, DH_FRESH, &h);
	for (i = 0; i < 5; i++) {
		CU_ASSERT_PTR_EQUAL(fake_open(KIND)->from, other);
		fake_answer(KIND, DH_OBJECTS_NOT_DONE, 0, NULL, 0);
		run_for(&fx, 100);
	}
	CU_ASSERT_PTR_NULL(fake_open(KIND)->from);
	end(&fx);
	json_object_put(spec);
}

/* When the store has lost the history during stale reads, the next list is
 * fresh: a stale one could undo changes that are known already. */
static void
test_history_gone_while_reads_are_stale(void)
{
	struct fixture fx;

	start(&fx);
	fake_answer(KIND, DH_OBJECTS_HISTORY_GONE, 0, NULL, 0);
	CU_ASSERT_FALSE(fake_open(KIND)->watch);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	end(&fx);
	start(&fx);
	run_for(&fx, 2600);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	dh_mirror_set_fed_by_leader(fx.f, true);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	dh_mirror_leader_silent(fx.f);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_STALE);
	fake_answer(KIND, DH_OBJECTS_HISTORY_GONE, 0, NULL, 0);
	CU_ASSERT_FALSE(fake_open(KIND)->watch);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	end(&fx);
}

/* When the leader falls silent, a new one is expected soon: VMs make stale
 * reads for 500 ms, so that not all of them make fresh reads at once. */
static void
test_silent_leader(void)
{
	struct fixture fx;

	start(&fx);
	run_for(&fx, 2600);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	dh_mirror_set_fed_by_leader(fx.f, true);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	CU_ASSERT_PTR_NULL(fake_open(KIND));
	dh_mirror_leader_silent(fx.f);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_STALE);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_STALE);
	CU_ASSERT_TRUE(fake_open(KIND)->wait_ms <= 500);
	run_for(&fx, 510);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	end(&fx);
}

/* The store is restored from a copy some seconds old: everything is listed
 * again, and answers and changes of an earlier era are ignored. */
static void
test_store_is_restored_from_a_copy(void)
{
	struct dh_object_view items[] = { thing("a", 2), thing("c", 4) };
	struct dh_object_view change = thing("d", 9);
	struct fixture fx;

	fake_era = 1;
	start(&fx);
	run_for(&fx, 2600);
	fake_era = 2;
	/* The restored store has reached the same revision again. */
	fake_answer(KIND, DH_OBJECTS_OK, 10, NULL, 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open(KIND));
	CU_ASSERT_FALSE(fake_open(KIND)->watch);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	CU_ASSERT_FALSE(dh_mirror_apply(fx.f, 8, 9, &change, 1));
	fake_answer(KIND, DH_OBJECTS_OK, 5, items, 2);
	check_log(&fx, "+a@2 +c@4 -b ");
	CU_ASSERT_EQUAL(dh_mirror_as_of(fx.f), 5);
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 5);
	/* An answer of the earlier era is ignored. */
	fake_era = 1;
	fake_answer(KIND, DH_OBJECTS_OK, 12, &change, 1);
	check_log(&fx, "");
	CU_ASSERT_EQUAL(dh_mirror_as_of(fx.f), 5);
	run_for(&fx, 400);
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 5);
	/* Restores during a list, while the leader sends the changes. */
	dh_mirror_set_fed_by_leader(fx.f, true);
	fake_era = 3;
	fake_answer(KIND, DH_OBJECTS_OK, 9, &change, 1);
	fake_era = 4;
	fake_answer(KIND, DH_OBJECTS_OK, 9, &change, 1);
	check_log(&fx, "");
	fake_answer(KIND, DH_OBJECTS_OK, 3, items, 1);
	check_log(&fx, "+a@2 -c ");
	CU_ASSERT_TRUE(dh_mirror_apply(fx.f, 3, 9, &change, 1));
	check_log(&fx, "+d@9 ");
	fake_era = 0;
	end(&fx);
}

static void
test_no_store_calls_while_the_leader_sends(void)
{
	struct dh_object_view change = thing("c", 14);
	struct fixture fx;
	uint32_t made;

	start(&fx);
	run_for(&fx, 2600); /* the start is over */
	dh_mirror_set_fed_by_leader(fx.f, true);
	made = fake_calls_made;
	/* The open watch may still answer. */
	fake_answer(KIND, DH_OBJECTS_OK, 11, NULL, 0);
	CU_ASSERT_TRUE(dh_mirror_apply(fx.f, 11, 14, &change, 1));
	check_log(&fx, "+c@14 ");
	run_for(&fx, 300);
	CU_ASSERT_EQUAL(fake_calls_made, made);
	CU_ASSERT_TRUE(dh_mirror_reached(fx.f));
	/* Asks once, without waiting for a change. */
	dh_mirror_catch_up(fx.f);
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 14);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, 1);
	fake_answer(KIND, DH_OBJECTS_OK, 15, NULL, 0);
	CU_ASSERT_PTR_NULL(fake_open(KIND));
	/* The leader stops: the first watch, which does not wait, shows whether
	 * the store answers. */
	dh_mirror_set_fed_by_leader(fx.f, false);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, 1);
	fake_answer(KIND, DH_OBJECTS_OK, 15, NULL, 0);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, DH_MIRROR_WAIT_MS);
	end(&fx);
}

/* An open watch is cancelled and made again, since its connection may be
 * dead. */
static void
test_open_watch_is_replaced(void)
{
	struct fixture fx;
	uint32_t cancelled;

	start(&fx);
	dh_mirror_set_fed_by_leader(fx.f, true);
	cancelled = fake_cancelled;
	dh_mirror_catch_up(fx.f);
	CU_ASSERT_EQUAL(fake_cancelled, cancelled + 1);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, 1);
	/* A call that does not wait is not cancelled. */
	dh_mirror_catch_up(fx.f);
	dh_mirror_set_fed_by_leader(fx.f, false);
	CU_ASSERT_EQUAL(fake_cancelled, cancelled + 1);
	fake_answer(KIND, DH_OBJECTS_OK, 10, NULL, 0);
	dh_mirror_set_fed_by_leader(fx.f, true);
	dh_mirror_set_fed_by_leader(fx.f, false);
	CU_ASSERT_EQUAL(fake_cancelled, cancelled + 2);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, 1);
	end(&fx);
}

static void
test_changes_after_a_gap_are_refused(void)
{
	struct dh_object_view change = thing("a", 14);
	struct fixture fx;

	start(&fx);
	dh_mirror_set_fed_by_leader(fx.f, true);
	CU_ASSERT_FALSE(dh_mirror_apply(fx.f, 12, 14, &change, 1));
	check_log(&fx, "");
	CU_ASSERT_EQUAL(dh_mirror_as_of(fx.f), 10);
	end(&fx);
}

/* The leader sends changes that the store has sent already, and older ones. */
static void
test_overlapping_changes(void)
{
	struct dh_object_view own[] = { thing("a", 12), thing("c", 13),
		deleted("b", 14), thing("d", 15) };
	struct dh_object_view told[] = { thing("b", 9), thing("a", 12),
		deleted("c", 13), deleted("d", 11), thing("e", 17) };
	struct fixture fx;

	start(&fx);
	fake_answer(KIND, DH_OBJECTS_OK, 15, own, 4);
	check_log(&fx, "+a@12 +c@13 -b +d@15 ");
	dh_mirror_set_fed_by_leader(fx.f, true);
	CU_ASSERT_TRUE(dh_mirror_apply(fx.f, 8, 12, told, 2));
	check_log(&fx, "");
	/* The deletion of c has the revision of its last change; d was
	 * created again after its deletion. */
	CU_ASSERT_TRUE(dh_mirror_apply(fx.f, 8, 18, told, 5));
	check_log(&fx, "-c +e@17 ");
	CU_ASSERT_EQUAL(dh_mirror_as_of(fx.f), 18);
	end(&fx);
}

static void
test_lost_store_is_reported(void)
{
	struct fixture fx;

	start(&fx);
	CU_ASSERT_TRUE(fx.reached);
	fake_answer(KIND, DH_OBJECTS_UNKNOWN, 0, NULL, 0);
	CU_ASSERT_FALSE(fx.reached);
	/* The leader reaches it. */
	dh_mirror_set_fed_by_leader(fx.f, true);
	CU_ASSERT_TRUE(fx.reached);
	end(&fx);
}

static void
test_shorter_wait_replaces_the_open_watch(void)
{
	struct fixture fx;
	uint32_t cancelled;

	start(&fx);
	cancelled = fake_cancelled;
	dh_mirror_set_wait(fx.f, 700);
	CU_ASSERT_EQUAL(fake_cancelled, cancelled + 1);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, 1);
	fake_answer(KIND, DH_OBJECTS_OK, 10, NULL, 0);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, 700);
	end(&fx);
}

static void
test_history_gone_lists_again(void)
{
	struct dh_object_view items[] = { thing("b", 7) };
	struct fixture fx;

	start(&fx);
	fake_answer(KIND, DH_OBJECTS_HISTORY_GONE, 0, NULL, 0);
	CU_ASSERT_FALSE(fake_open(KIND)->watch);
	/* Changes of the leader are refused during the list: they may be older
	 * than the list. */
	CU_ASSERT_FALSE(dh_mirror_apply(fx.f, 10, 30, items, 1));
	fake_answer(KIND, DH_OBJECTS_OK, 40, items, 1);
	check_log(&fx, "+b@7 -a ");
	CU_ASSERT_EQUAL(dh_mirror_as_of(fx.f), 40);
	end(&fx);
}

/* Reads at the start are stale: nothing says how old the copy is, until the
 * leader does or a fresh read is answered. */
static void
test_age_of_the_copy(void)
{
	struct fixture fx;
	int64_t began_ms;

	start(&fx);
	CU_ASSERT_EQUAL(dh_mirror_current_ms(fx.f), 0);
	fake_answer(KIND, DH_OBJECTS_OK, 10, NULL, 0);
	CU_ASSERT_EQUAL(dh_mirror_current_ms(fx.f), 0);
	dh_mirror_note_leader_age(fx.f, 300);
	CU_ASSERT_TRUE(dh_mirror_current_ms(fx.f) <= dh_clock_ms() - 300);
	CU_ASSERT_TRUE(dh_mirror_current_ms(fx.f) >= dh_clock_ms() - 400);
	/* A fresh read whose answer has a change says nothing of the time
	 * after it was sent. */
	began_ms = dh_clock_ms();
	dh_mirror_set_wait(fx.f, 200);
	run_for(&fx, 100);
	fake_answer(KIND, DH_OBJECTS_OK, 11, NULL, 0);
	CU_ASSERT_TRUE(dh_mirror_current_ms(fx.f) >= began_ms);
	CU_ASSERT_TRUE(dh_mirror_current_ms(fx.f) < began_ms + 90);
	/* One that waited without a change does. */
	began_ms = dh_clock_ms();
	run_for(&fx, 250);
	fake_answer(KIND, DH_OBJECTS_OK, 11, NULL, 0);
	CU_ASSERT_TRUE(dh_mirror_current_ms(fx.f) >= began_ms + 190);
	CU_ASSERT_TRUE(dh_mirror_current_ms(fx.f) <= began_ms + 240);
	end(&fx);
}

static void
test_limit_of_the_age(void)
{
	struct fixture fx;

	start(&fx);
	dh_mirror_set_max_age(fx.f, 400);
	fake_answer(KIND, DH_OBJECTS_OK, 10, NULL, 0);
	dh_mirror_set_fed_by_leader(fx.f, true);
	fake_answer(KIND, DH_OBJECTS_OK, 10, NULL, 0);
	dh_mirror_note_leader_age(fx.f, 0);
	dh_mirror_check_age(fx.f);
	CU_ASSERT_PTR_NULL(fake_open(KIND));
	run_for(&fx, 420);
	dh_mirror_check_age(fx.f);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open(KIND));
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	fake_answer(KIND, DH_OBJECTS_OK, 10, NULL, 0);
	CU_ASSERT_TRUE(dh_clock_ms() - dh_mirror_current_ms(fx.f) < 100);
	dh_mirror_check_age(fx.f);
	CU_ASSERT_PTR_NULL(fake_open(KIND));
	/* A watch of its own is answered twice in that time. */
	dh_mirror_set_fed_by_leader(fx.f, false);
	fake_answer(KIND, DH_OBJECTS_OK, 10, NULL, 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open(KIND));
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, 200);
	end(&fx);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "pause", test_watch_continues_after_a_pause },
		{ "start", test_reads_are_stale_at_start },
		{ "catching up", test_catching_up_reads_fresh },
		{ "silent leader", test_silent_leader },
		{ "history gone, stale reads",
		    test_history_gone_while_reads_are_stale },
		{ "another VM's list", test_first_list_from_another_vm },
		{ "restored from a copy", test_store_is_restored_from_a_copy },
		{ "leader sends", test_no_store_calls_while_the_leader_sends },
		{ "open watch", test_open_watch_is_replaced },
		{ "gap", test_changes_after_a_gap_are_refused },
		{ "overlap", test_overlapping_changes },
		{ "lost store", test_lost_store_is_reported },
		{ "shorter wait", test_shorter_wait_replaces_the_open_watch },
		{ "history gone", test_history_gone_lists_again },
		{ "age of the copy", test_age_of_the_copy },
		{ "limit of the age", test_limit_of_the_age },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("mirror", tests);
}
