#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "base/opslog.h"
#include "gateway/suspects.h"
#include "tests/cunit_main.h"

static bool
note_crashes(
    struct dh_suspects *s, uint64_t request, uint32_t crashes, int64_t now_ms)
{
	struct dh_worker_report *r = g_new0(struct dh_worker_report, 1);
	bool changed;

	r->nsuspects = 1;
	r->suspects[0] =
	    (struct dh_suspect){ .request = request, .crashes = crashes };
	changed = dh_suspects_add_worker_report(s, r, now_ms);
	g_free(r);
	return changed;
}

static GArray *
entries_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct dh_suspect));
}

/* A report has what the last heartbeat did not show, also if the report or the
 * heartbeat before was lost. */
static void
test_report_is_repeated_until_the_leader_has_it(void)
{
	struct dh_suspects *vm = dh_suspects_new(), *leader = dh_suspects_new();
	g_autoptr(GArray) lost = entries_new();
	g_autoptr(GArray) report = entries_new();
	g_autoptr(GArray) beat = entries_new();
	g_autoptr(GArray) empty = entries_new();
	g_autoptr(GArray) next = entries_new();

	CU_ASSERT_TRUE(note_crashes(vm, 5, 2, 100));
	CU_ASSERT_FALSE(note_crashes(vm, 5, 2, 200));
	dh_suspects_report(vm, lost);
	CU_ASSERT_EQUAL(lost->len, 1);
	dh_suspects_report(vm, report);
	CU_ASSERT_EQUAL(report->len, 1);
	CU_ASSERT_TRUE(dh_suspects_note_report(leader, report, 300));
	CU_ASSERT_FALSE(dh_suspects_note_report(leader, report, 400));
	dh_suspects_share(leader, beat);
	CU_ASSERT_EQUAL(beat->len, 1);
	CU_ASSERT_FALSE(dh_suspects_note_shared(vm, beat, 500));
	dh_suspects_report(vm, next);
	CU_ASSERT_EQUAL(next->len, 0);
	/* A new leader knows nothing. */
	CU_ASSERT_FALSE(dh_suspects_note_shared(vm, empty, 600));
	dh_suspects_report(vm, next);
	CU_ASSERT_EQUAL(next->len, 1);
	dh_suspects_free(vm);
	dh_suspects_free(leader);
}

static void
test_refused_requests_are_shared_first(void)
{
	struct dh_suspects *s = dh_suspects_new();
	g_autoptr(GArray) beat = entries_new();
	uint64_t i;

	(void)note_crashes(s, 1, 3, 1);
	for (i = 2; i < 200; i++)
		(void)note_crashes(s, i, 1, (int64_t)i);
	dh_suspects_share(s, beat);
	CU_ASSERT_EQUAL_FATAL(beat->len, DH_SHARED_SUSPECTS);
	CU_ASSERT_EQUAL(g_array_index(beat, struct dh_suspect, 0).request, 1);
	CU_ASSERT_EQUAL(g_array_index(beat, struct dh_suspect, 1).request, 199);
	dh_suspects_free(s);
}

static void
test_store_has_refused_requests(void)
{
	struct dh_suspects *s = dh_suspects_new(), *t = dh_suspects_new();
	g_autofree char *text = NULL;
	g_autofree char *again = NULL;
	struct json_object *spec;

	(void)note_crashes(s, 0xfe00000000000001u, 3, 1);
	(void)note_crashes(s, 2, 2, 1);
	(void)note_crashes(s, 3, 3, 1);
	CU_ASSERT_TRUE(dh_suspects_refuse(s));
	text = dh_suspects_spec(s);
	CU_ASSERT_STRING_EQUAL(text,
	    "{\"requests\":[[\"0000000000000003\",0,3],"
	    "[\"fe00000000000001\",0,3]]}");
	spec = json_tokener_parse(text);
	CU_ASSERT_STRING_EQUAL(
	    text, json_object_to_json_string_ext(spec, JSON_C_TO_STRING_PLAIN));
	CU_ASSERT_FALSE(dh_suspects_refuse(t));
	CU_ASSERT_TRUE(dh_suspects_note_spec(t, spec, 2));
	CU_ASSERT_FALSE(dh_suspects_note_spec(t, spec, 3));
	CU_ASSERT_TRUE(dh_suspects_refuse(t));
	again = dh_suspects_spec(t);
	CU_ASSERT_STRING_EQUAL(again, text);
	json_object_put(spec);
	dh_suspects_free(s);
	dh_suspects_free(t);
}

static void
test_invalid_specs(void)
{
	static const char *const specs[] = { "null", "[]", "{}",
		"{\"requests\":1}", "{\"requests\":[1]}",
		"{\"requests\":[[\"1\",0]]}", "{\"requests\":[[\"x\",0,3]]}",
		"{\"requests\":[[\"1\",\"0\",3]]}",
		"{\"requests\":[[\"0\",0,3]]}", "{\"requests\":[[\"1\",-1,3]]}",
		"{\"requests\":[[\"1\",0,4]]}",
		"{\"requests\":[[\"1\",5000000000,3]]}" };
	struct dh_suspects *s = dh_suspects_new();
	struct json_object *spec;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(specs); i++) {
		spec = json_tokener_parse(specs[i]);
		CU_ASSERT_FALSE(dh_suspects_note_spec(s, spec, 1));
		json_object_put(spec);
	}
	CU_ASSERT_FALSE(dh_suspects_refuse(s));
	dh_suspects_free(s);
}

static int log_fds[2];

/* The lines logged since the last call. */
static const char *
read_log(void)
{
	static char text[65536];
	ssize_t n, len = 0;

	while ((n = read(log_fds[0], text + len,
		    sizeof(text) - 1 - (size_t)len)) > 0)
		len += n;
	text[len] = '\0';
	return text;
}

/* Guards against a line for each change that a VM hears of, and against a
 * refusal whose end has none. */
static void
test_lines_of_a_refusal(void)
{
	struct dh_suspects *s = dh_suspects_new();

	(void)read_log();
	(void)note_crashes(s, 5, 1, 100);
	(void)note_crashes(s, 6, 2, 100);
	CU_ASSERT_STRING_EQUAL(read_log(), "");
	(void)note_crashes(s, 5, 3, 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(read_log(), "\"suspect.refused\""));
	(void)note_crashes(s, 5, 3, 300);
	CU_ASSERT_STRING_EQUAL(read_log(), "");
	CU_ASSERT_TRUE(dh_suspects_expire(s, 200 + 3600 * 1000));
	CU_ASSERT_PTR_NOT_NULL(strstr(read_log(), "\"suspect.cleared\""));
	dh_suspects_free(s);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "lines of a refusal", test_lines_of_a_refusal },
		{ "report", test_report_is_repeated_until_the_leader_has_it },
		{ "importance", test_refused_requests_are_shared_first },
		{ "store", test_store_has_refused_requests },
		{ "invalid specs", test_invalid_specs },
		CU_TEST_INFO_NULL,
	};

	if (pipe(log_fds) != 0 || fcntl(log_fds[0], F_SETFL, O_NONBLOCK) != 0)
		return 1;
	dh_opslog_open(log_fds[1], "vm-1", 1000);
	return cunit_main("suspects", tests);
}
