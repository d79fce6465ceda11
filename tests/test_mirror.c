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
	uint64_t since, as_of; /* of the last news */
	uint32_t news;
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
on_news(void *arg, uint64_t since, uint64_t as_of,
    const struct dh_object_view *items, size_t n)
{
	struct fixture *fx = arg;

	(void)items;
	(void)n;
	fx->since = since;
	fx->as_of = as_of;
	fx->news++;
}

/* What was reported since the last time. */
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

/* Listed: a and b, as of 10; the first watch is open. */
static void
start(struct fixture *fx)
{
	struct dh_mirror_handler h = { on_changed, on_gone, on_reached, on_news,
		fx };
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
	made = fake_made;
	fake_answer(KIND, DH_OBJECTS_OK, 12, &change, 1);
	check_log(&fx, "+a@12 ");
	CU_ASSERT_EQUAL(fx.since, 10);
	CU_ASSERT_EQUAL(fx.as_of, 12);
	CU_ASSERT_EQUAL(fake_made, made);
	run_for(&fx, 400);
	CU_ASSERT_EQUAL(fake_made, made + 1);
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 12);
	/* Nothing changed: the next one at once, and no news. */
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 20);
	CU_ASSERT_EQUAL(fx.news, 1);
	CU_ASSERT_EQUAL(dh_mirror_news_as_of(fx.f), 12);
	end(&fx);
}

/* The dear reads are left to the leader while a fleet starts; they are made
 * once the start is over, or at once by one on whom others rely. */
static void
test_start_reads_what_may_be_old(void)
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

/* One that is behind the leader reads what is new: there is no time for a
 * second try.  Only one that has just started waits for the leader. */
static void
test_behind_asks_afresh(void)
{
	struct fixture fx;

	start(&fx);
	dh_mirror_set_fed(fx.f, true);
	dh_mirror_catch_up(fx.f);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_STALE);
	end(&fx);
	start(&fx);
	run_for(&fx, 2600);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	dh_mirror_set_fed(fx.f, true);
	dh_mirror_catch_up(fx.f);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	end(&fx);
}

/* The first list comes from another VM; the store is asked when that has none,
 * and for all that comes later. */
static void
test_begins_with_another_vm(void)
{
	struct dh_mirror_handler h = { on_changed, on_gone, on_reached, on_news,
		NULL };
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

/* A list that may be old is never read in place of newer knowledge, nor a
 * second time. */
static void
test_history_gone_while_reads_may_be_old(void)
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
	dh_mirror_set_fed(fx.f, true);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	dh_mirror_feeder_silent(fx.f);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_STALE);
	fake_answer(KIND, DH_OBJECTS_HISTORY_GONE, 0, NULL, 0);
	CU_ASSERT_FALSE(fake_open(KIND)->watch);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	end(&fx);
}

/* A leader that falls silent has a successor soon: many VMs do not read the
 * store afresh at once, but they do when none comes. */
static void
test_silent_leader(void)
{
	struct fixture fx;

	start(&fx);
	run_for(&fx, 2600);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	dh_mirror_set_fed(fx.f, true);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	CU_ASSERT_PTR_NULL(fake_open(KIND));
	dh_mirror_feeder_silent(fx.f);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_STALE);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_STALE);
	CU_ASSERT_TRUE(fake_open(KIND)->wait_ms <= 500);
	run_for(&fx, 510);
	fake_answer(KIND, DH_OBJECTS_OK, 20, NULL, 0);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	end(&fx);
}

/* The store is a copy some seconds old: all is listed anew, and what bears a
 * revision or an answer of before is left. */
static void
test_store_went_back(void)
{
	struct dh_object_view items[] = { thing("a", 2), thing("c", 4) };
	struct dh_object_view change = thing("d", 9);
	struct fixture fx;

	fake_era = 1;
	start(&fx);
	run_for(&fx, 2600);
	fake_era = 2;
	/* By chance the revision is one that it has. */
	fake_answer(KIND, DH_OBJECTS_OK, 10, NULL, 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake_open(KIND));
	CU_ASSERT_FALSE(fake_open(KIND)->watch);
	CU_ASSERT_EQUAL(fake_open(KIND)->freshness, DH_FRESH);
	CU_ASSERT_FALSE(dh_mirror_take(fx.f, 8, 9, &change, 1));
	fake_answer(KIND, DH_OBJECTS_OK, 5, items, 2);
	check_log(&fx, "+a@2 +c@4 -b ");
	CU_ASSERT_EQUAL(dh_mirror_as_of(fx.f), 5);
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 5);
	/* An answer of before is as good as none. */
	fake_era = 1;
	fake_answer(KIND, DH_OBJECTS_OK, 12, &change, 1);
	check_log(&fx, "");
	CU_ASSERT_EQUAL(dh_mirror_as_of(fx.f), 5);
	run_for(&fx, 400);
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 5);
	/* Once more, while it lists; also one that is told by the leader. */
	dh_mirror_set_fed(fx.f, true);
	fake_era = 3;
	fake_answer(KIND, DH_OBJECTS_OK, 9, &change, 1);
	fake_era = 4;
	fake_answer(KIND, DH_OBJECTS_OK, 9, &change, 1);
	check_log(&fx, "");
	fake_answer(KIND, DH_OBJECTS_OK, 3, items, 1);
	check_log(&fx, "+a@2 -c ");
	CU_ASSERT_TRUE(dh_mirror_take(fx.f, 3, 9, &change, 1));
	check_log(&fx, "+d@9 ");
	fake_era = 0;
	end(&fx);
}

static void
test_fed_asks_nothing(void)
{
	struct dh_object_view change = thing("c", 14);
	struct fixture fx;
	uint32_t made;

	start(&fx);
	run_for(&fx, 2600); /* the start is over */
	dh_mirror_set_fed(fx.f, true);
	made = fake_made;
	/* The open one may still bring something. */
	fake_answer(KIND, DH_OBJECTS_OK, 11, NULL, 0);
	CU_ASSERT_TRUE(dh_mirror_take(fx.f, 11, 14, &change, 1));
	check_log(&fx, "+c@14 ");
	run_for(&fx, 300);
	CU_ASSERT_EQUAL(fake_made, made);
	CU_ASSERT_TRUE(dh_mirror_reached(fx.f));
	/* Once, without waiting for a change. */
	dh_mirror_catch_up(fx.f);
	CU_ASSERT_EQUAL(fake_open(KIND)->since, 14);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, 1);
	fake_answer(KIND, DH_OBJECTS_OK, 15, NULL, 0);
	CU_ASSERT_PTR_NULL(fake_open(KIND));
	/* Fed no more: first to see whether the store answers. */
	dh_mirror_set_fed(fx.f, false);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, 1);
	fake_answer(KIND, DH_OBJECTS_OK, 15, NULL, 0);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, DH_MIRROR_WAIT_MS);
	end(&fx);
}

/* The watch that was open before may be on a dead connection. */
static void
test_open_watch_is_not_relied_on(void)
{
	struct fixture fx;
	uint32_t cancelled;

	start(&fx);
	dh_mirror_set_fed(fx.f, true);
	cancelled = fake_cancelled;
	dh_mirror_catch_up(fx.f);
	CU_ASSERT_EQUAL(fake_cancelled, cancelled + 1);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, 1);
	/* What asks already goes on. */
	dh_mirror_catch_up(fx.f);
	dh_mirror_set_fed(fx.f, false);
	CU_ASSERT_EQUAL(fake_cancelled, cancelled + 1);
	fake_answer(KIND, DH_OBJECTS_OK, 10, NULL, 0);
	dh_mirror_set_fed(fx.f, true);
	dh_mirror_set_fed(fx.f, false);
	CU_ASSERT_EQUAL(fake_cancelled, cancelled + 2);
	CU_ASSERT_EQUAL(fake_open(KIND)->wait_ms, 1);
	end(&fx);
}

static void
test_news_with_a_gap_are_not_taken(void)
{
	struct dh_object_view change = thing("a", 14);
	struct fixture fx;

	start(&fx);
	dh_mirror_set_fed(fx.f, true);
	CU_ASSERT_FALSE(dh_mirror_take(fx.f, 12, 14, &change, 1));
	check_log(&fx, "");
	CU_ASSERT_EQUAL(dh_mirror_as_of(fx.f), 10);
	end(&fx);
}

/* What is known from the store already comes again, and older. */
static void
test_news_that_overlap(void)
{
	struct dh_object_view own[] = { thing("a", 12), thing("c", 13),
		deleted("b", 14), thing("d", 15) };
	struct dh_object_view told[] = { thing("b", 9), thing("a", 12),
		deleted("c", 13), deleted("d", 11), thing("e", 17) };
	struct fixture fx;

	start(&fx);
	fake_answer(KIND, DH_OBJECTS_OK, 15, own, 4);
	check_log(&fx, "+a@12 +c@13 -b +d@15 ");
	dh_mirror_set_fed(fx.f, true);
	CU_ASSERT_TRUE(dh_mirror_take(fx.f, 8, 12, told, 2));
	check_log(&fx, "");
	/* c was deleted at its last change or later; d came back since. */
	CU_ASSERT_TRUE(dh_mirror_take(fx.f, 8, 18, told, 5));
	check_log(&fx, "-c +e@17 ");
	CU_ASSERT_EQUAL(dh_mirror_as_of(fx.f), 18);
	end(&fx);
}

static void
test_lost_store_is_told(void)
{
	struct fixture fx;

	start(&fx);
	CU_ASSERT_TRUE(fx.reached);
	fake_answer(KIND, DH_OBJECTS_UNKNOWN, 0, NULL, 0);
	CU_ASSERT_FALSE(fx.reached);
	/* Another VM reaches it. */
	dh_mirror_set_fed(fx.f, true);
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
	/* Nothing is taken meanwhile: it may be older than the list. */
	CU_ASSERT_FALSE(dh_mirror_take(fx.f, 10, 30, items, 1));
	fake_answer(KIND, DH_OBJECTS_OK, 40, items, 1);
	check_log(&fx, "+b@7 -a ");
	CU_ASSERT_EQUAL(dh_mirror_as_of(fx.f), 40);
	end(&fx);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "pause", test_watch_continues_after_a_pause },
		{ "start", test_start_reads_what_may_be_old },
		{ "behind", test_behind_asks_afresh },
		{ "silent leader", test_silent_leader },
		{ "history gone, old reads",
		    test_history_gone_while_reads_may_be_old },
		{ "another VM's list", test_begins_with_another_vm },
		{ "went back", test_store_went_back },
		{ "fed", test_fed_asks_nothing },
		{ "open watch", test_open_watch_is_not_relied_on },
		{ "gap", test_news_with_a_gap_are_not_taken },
		{ "overlap", test_news_that_overlap },
		{ "lost store", test_lost_store_is_told },
		{ "shorter wait", test_shorter_wait_replaces_the_open_watch },
		{ "history gone", test_history_gone_lists_again },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("mirror", tests);
}
