#include <pthread.h>
#include <string.h>

#include "base/error.h"
#include "config/apply.h"
#include "standin/lib/store.h"
#include "store/wait.h"
#include "tests/cunit_main.h"

#define ROUNDS 12
#define SERVICES 6

static struct dh_standin_store *standin;

/* A store client with its own event loop, for use by one thread. */
struct client {
	uv_loop_t loop;
	struct dh_http *http;
	struct dh_apply apply;
};

/* Orders the closing of an event loop before the opening of another one that
 * gets the same file descriptors, which the thread sanitizer takes for a race:
 * it does not see the order that the kernel keeps. */
static pthread_mutex_t descriptors = PTHREAD_MUTEX_INITIALIZER;

static void
client_open(struct client *c, const char *writer)
{
	const struct dh_store_times times = { .attempt_ms = 200,
		.call_ms = 20000,
		.backoff_min_ms = 1,
		.backoff_max_ms = 4,
		.wait_ms = 20,
		.resync_ms = 40 };
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%u", dh_standin_store_port(standin));

	*c = (struct client){ 0 };
	(void)pthread_mutex_lock(&descriptors);
	uv_loop_init(&c->loop);
	c->http = dh_http_new(&c->loop);
	(void)pthread_mutex_unlock(&descriptors);
	c->apply.store = dh_store_new(c->http, url, writer);
	dh_store_set_times(c->apply.store, &times);
}

static void
client_close(struct client *c)
{
	dh_store_free(c->apply.store);
	dh_http_free(c->http);
	uv_run(&c->loop, UV_RUN_DEFAULT);
	(void)pthread_mutex_lock(&descriptors);
	uv_loop_close(&c->loop);
	(void)pthread_mutex_unlock(&descriptors);
}

static void
setup(struct client *c)
{
	standin = dh_standin_store_start(0, 0, NULL, NULL);
	g_assert_nonnull(standin);
	client_open(c, "setup");
}

static void
teardown(struct client *c)
{
	client_close(c);
	dh_standin_store_stop(standin);
}

static void
fault(const char *json)
{
	CU_ASSERT_TRUE_FATAL(dh_standin_store_fault(standin, json, NULL));
}

static struct dh_sheet *
sheet(const char *text)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	struct dh_sheet *s = dh_sheet_parse(text, strlen(text), notes);

	g_assert_nonnull(s);
	return s;
}

static char *
print_team(const struct dh_apply_team *t)
{
	GString *out = g_string_new(NULL);
	guint i;

	g_string_append_printf(out, "%s %s %" G_GUINT64_FORMAT "\n", t->name,
	    dh_apply_outcome_name(t->outcome), t->version);
	for (i = 0; i < t->notes->len; i++)
		dh_note_print(out, t->notes->pdata[i]);
	return g_string_free(out, FALSE);
}

static char *
print(const struct dh_apply_result *r)
{
	GString *out = g_string_new(NULL);
	guint i;

	for (i = 0; i < r->teams->len; i++) {
		g_autofree char *one = print_team(
		    &g_array_index(r->teams, struct dh_apply_team, i));

		g_string_append(out, one);
	}
	for (i = 0; i < r->notes->len; i++)
		dh_note_print(out, r->notes->pdata[i]);
	return g_string_free(out, FALSE);
}

/* Applies a sheet and compares all reported output. */
static void
applies(struct client *c, const char *text, bool dry_run, const char *told)
{
	struct dh_apply_result r;
	struct dh_sheet *s = sheet(text);
	g_autofree char *said = NULL;

	CU_ASSERT_TRUE(dh_apply_sheet(&c->apply, s, dry_run, &r, NULL));
	said = print(&r);
	if (strcmp(said, told) != 0)
		(void)printf("\n%s", said);
	CU_ASSERT_STRING_EQUAL(said, told);
	dh_apply_result_clear(&r);
	dh_sheet_free(s);
}

static const char two_teams[] =
    "revisions,a=0,b=0\nteam,kind,name,service_kind\n"
    "a,service,a1,keyed\nb,service,b1,any\n";

static void
test_apply_and_again(void)
{
	struct client c;

	setup(&c);
	applies(&c, two_teams, true, "a planned 0\nb planned 0\n");
	CU_ASSERT_EQUAL(dh_standin_store_calls(standin, DH_STANDIN_PUT), 0);
	applies(&c, two_teams, false, "a accepted 1\nb accepted 1\n");
	applies(&c, two_teams, false,
	    "a unchanged 1\nnote: team a: this sheet was applied before\n"
	    "b unchanged 1\nnote: team b: this sheet was applied before\n");
	CU_ASSERT_EQUAL(dh_standin_store_calls(standin, DH_STANDIN_PUT), 2);
	teardown(&c);
}

/* A replica that lags behind: it has neither the team nor the revision. */
static void
test_stale_replica(void)
{
	struct client c;

	setup(&c);
	applies(&c, two_teams, false, "a accepted 1\nb accepted 1\n");
	client_close(&c);
	client_open(&c, "fresh");
	fault("{\"kind\": \"stale-read\", \"calls\": 2}");
	applies(&c, "revisions,a=1\nteam,kind,name,queue_ms\na,service,a1,7\n",
	    false, "a accepted 2\n");
	teardown(&c);
}

static void
test_refused_whole(void)
{
	struct client c;

	setup(&c);
	applies(&c,
	    "revisions,a=0,b=0,c=7\nteam,kind,name,service_kind,service\n"
	    "a,service,x,keyed,\nb,service,x,any,\nb,service,y,,\n",
	    false,
	    "a planned 0\n"
	    "b refused 0\nbad: row 5, column D: team b: service y: "
	    "service_kind: is required\n"
	    "c refused 0\nbad: row 1: team c: the store has no revision 7 "
	    "(any more): export the sheet again\n");
	applies(&c,
	    "revisions,a=0,b=0\nteam,kind,name,service_kind,service\n"
	    "a,service,x,keyed,\nb,service,x,any,\n",
	    false,
	    "a refused 0\nbad: row 3, column C: team a: service x: team b "
	    "has it too\n"
	    "b refused 0\nbad: row 4, column C: team b: service x: team a "
	    "has it too\n");
	CU_ASSERT_EQUAL(dh_standin_store_calls(standin, DH_STANDIN_PUT), 0);
	teardown(&c);
}

static void
store_down(void *arg, const char *text)
{
	(void)arg;
	if (strncmp(text, "team a: accepted", 16) == 0)
		fault("{\"kind\": \"down\"}");
}

/* The store fails after some teams are written: the result distinguishes them
 * from the others, and applying the sheet again completes it. */
static void
test_half_way(void)
{
	struct client c;
	struct dh_store_times t, usual;
	struct dh_apply_result r;
	struct dh_sheet *s = sheet(two_teams);

	setup(&c);
	t = usual = dh_store_times(c.apply.store);
	/* The backoff exceeds the call's time limit, so the first refusal ends
	 * a call.  5 s leave enough time on a busy machine. */
	t.call_ms = 5000;
	t.backoff_min_ms = t.backoff_max_ms = 4 * t.call_ms;
	dh_store_set_times(c.apply.store, &t);
	c.apply.progress = store_down;
	CU_ASSERT_TRUE(dh_apply_sheet(&c.apply, s, false, &r, NULL));
	CU_ASSERT_EQUAL(g_array_index(r.teams, struct dh_apply_team, 0).outcome,
	    DH_APPLY_ACCEPTED);
	CU_ASSERT_EQUAL(g_array_index(r.teams, struct dh_apply_team, 1).outcome,
	    DH_APPLY_FAILED);
	CU_ASSERT_EQUAL(dh_apply_worst(&r), DH_APPLY_FAILED);
	dh_apply_result_clear(&r);
	dh_sheet_free(s);
	c.apply.progress = NULL;
	fault("{\"kind\": \"clear\"}");
	dh_store_set_times(c.apply.store, &usual);
	applies(&c, two_teams, false,
	    "a unchanged 1\nnote: team a: this sheet was applied before\n"
	    "b accepted 1\n");
	teardown(&c);
}

static void
test_unreachable_store(void)
{
	struct client c;
	struct dh_store_times t;
	struct dh_apply_result r;
	struct dh_sheet *s = sheet(two_teams);
	g_autoptr(GError) error = NULL;

	setup(&c);
	t = dh_store_times(c.apply.store);
	t.call_ms = 30;
	dh_store_set_times(c.apply.store, &t);
	fault("{\"kind\": \"down\"}");
	CU_ASSERT_FALSE(dh_apply_sheet(&c.apply, s, false, &r, &error));
	CU_ASSERT_TRUE(g_error_matches(error, DH_ERROR, DH_ERROR_UNAVAILABLE));
	dh_apply_result_clear(&r);
	dh_sheet_free(s);
	teardown(&c);
}

static const char with_backend[] =
    "revisions,a=0\nteam,kind,name,service_kind,service,address,port,zone,"
    "region,slots,connections\n"
    "a,service,s,keyed,,,,,,,\n"
    "a,backend_server,s-1,,s,127.0.0.1,1,z,r,6,130\n";

static void
test_drain(void)
{
	struct client c;
	g_autoptr(GError) error = NULL;

	setup(&c);
	applies(&c, with_backend, false, "a accepted 1\n");
	CU_ASSERT_EQUAL(dh_apply_drain(&c.apply, "s-1", true, NULL), 2);
	CU_ASSERT_EQUAL(dh_apply_drain(&c.apply, "s-1", true, NULL), 2);
	applies(&c, with_backend, false,
	    "a unchanged 2\nnote: team a: this sheet was applied before\n");
	CU_ASSERT_EQUAL(dh_apply_drain(&c.apply, "s-1", false, NULL), 3);
	CU_ASSERT_EQUAL(dh_apply_drain(&c.apply, "s-2", true, &error), 0);
	CU_ASSERT_TRUE(g_error_matches(error, DH_ERROR, DH_ERROR_NOT_FOUND));
	teardown(&c);
}

/* Appliers run concurrently on their own threads with sheets that come from
 * the same export. */
struct applier {
	pthread_t thread;
	const char *writer;
	char *text;
	unsigned int conflicts;
	enum dh_apply_outcome worst;
};

static void *
applier_run(void *arg)
{
	struct applier *ap = arg;
	struct client c;
	struct dh_apply_result r;
	struct dh_sheet *s = sheet(ap->text);
	const struct dh_apply_team *t;
	const struct dh_note *n;
	guint i;

	client_open(&c, ap->writer);
	g_assert_true(dh_apply_sheet(&c.apply, s, false, &r, NULL));
	t = &g_array_index(r.teams, struct dh_apply_team, 0);
	for (i = 0; i < t->notes->len; i++) {
		n = t->notes->pdata[i];
		ap->conflicts += n->kind == DH_NOTE_CONFLICT;
	}
	ap->worst = dh_apply_worst(&r);
	dh_apply_result_clear(&r);
	dh_sheet_free(s);
	client_close(&c);
	return NULL;
}

/* The sheet as exported, with one setting of some services changed. */
static char *
edited(uint64_t revision, const char *setting, unsigned int from,
    unsigned int to, unsigned int value, const char *shared)
{
	GString *out = g_string_new(NULL);
	unsigned int i;

	g_string_append_printf(out,
	    "revisions,a=%" G_GUINT64_FORMAT "\nteam,kind,name,%s,"
	    "retry_percent\n",
	    revision, setting);
	for (i = 0; i < SERVICES; i++) {
		g_string_append_printf(out, "a,service,s%u,", i);
		if (i >= from && i < to)
			g_string_append_printf(out, "%u", value);
		g_string_append_printf(out, ",%s\n", i == 0 ? shared : "");
	}
	return g_string_free(out, FALSE);
}

static struct dh_team *
fetch(struct client *c, uint64_t version)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	struct dh_object *o =
	    dh_store_wait_get(c->apply.store, "teams/a", version, NULL);
	struct dh_team *t;

	g_assert_nonnull(o);
	t = dh_team_parse("a", o->version, o->value, o->len, problems);
	g_assert_nonnull(t);
	dh_object_free(o);
	return t;
}

/* Each version adds exactly one applied sheet to those of the version before:
 * no write was lost or repeated. */
static void
check_history(struct client *c, uint64_t last)
{
	struct dh_team *before = fetch(c, 1), *now;
	uint64_t v;
	guint i;

	for (v = 2; v <= last; v++) {
		now = fetch(c, v);
		CU_ASSERT_EQUAL_FATAL(
		    now->applied->len, before->applied->len + 1);
		for (i = 0; i < before->applied->len; i++)
			CU_ASSERT_STRING_EQUAL(
			    now->applied->pdata[i], before->applied->pdata[i]);
		dh_team_free(before);
		before = now;
	}
	dh_team_free(before);
}

static void
check_setting(const struct dh_team *t, enum dh_column column, unsigned int from,
    unsigned int to, const char *value)
{
	const struct dh_declaration *d;
	char name[8];
	unsigned int i;

	for (i = 0; i < SERVICES; i++) {
		(void)g_snprintf(name, sizeof(name), "s%u", i);
		d = dh_team_find(t, DH_KIND_SERVICE, name);
		g_assert_nonnull(d);
		CU_ASSERT_STRING_EQUAL(
		    d->values[column] == NULL ? "" : d->values[column],
		    i >= from && i < to ? value : "");
	}
}

/* Changes of two sheets that don't overlap all take effect.  Of the setting
 * that both change, one sheet's value holds and exactly one applier gets a
 * conflict note. */
static void
race(struct client *c, const char *order)
{
	struct applier ap[2] = { { .writer = "first" },
		{ .writer = "second" } };
	struct dh_team *t;
	const char *shared;
	int i;

	ap[0].text = edited(1, "queue_ms", 0, 4, 70, "11");
	ap[1].text = edited(1, "deadline_ms", 2, SERVICES, 20000, "22");
	fault("{\"kind\": \"clear\"}");
	if (order != NULL)
		fault(order);
	for (i = 0; i < 2; i++)
		CU_ASSERT_EQUAL_FATAL(
		    pthread_create(&ap[i].thread, NULL, applier_run, &ap[i]),
		    0);
	for (i = 0; i < 2; i++) {
		(void)pthread_join(ap[i].thread, NULL);
		CU_ASSERT_EQUAL(ap[i].worst, DH_APPLY_ACCEPTED);
		g_free(ap[i].text);
	}
	fault("{\"kind\": \"clear\"}");
	CU_ASSERT_EQUAL(ap[0].conflicts + ap[1].conflicts, 1);
	t = fetch(c, 0);
	CU_ASSERT_EQUAL(t->version, 3);
	check_setting(t, DH_COLUMN_QUEUE_MS, 0, 4, "70");
	check_setting(t, DH_COLUMN_DEADLINE_MS, 2, SERVICES, "20000");
	shared = dh_team_find(t, DH_KIND_SERVICE, "s0")
		     ->values[DH_COLUMN_RETRY_PERCENT];
	CU_ASSERT_STRING_EQUAL(shared, ap[0].conflicts == 1 ? "11" : "22");
	check_history(c, t->version);
	dh_team_free(t);
}

static const char *const orders[] = {
	NULL,
	"{\"kind\": \"lose-reply\", \"calls\": 1, \"mode\": \"close\"}",
	"{\"kind\": \"lose-reply\", \"calls\": 2, \"mode\": \"silent\"}",
	"{\"kind\": \"down\", \"calls\": 5}",
	"{\"kind\": \"down\", \"calls\": 3, \"mode\": \"close\"}",
	"{\"kind\": \"stale-read\", \"calls\": 2}",
	"{\"kind\": \"slow\", \"amount\": 5}",
};

static void
test_races(void)
{
	struct client c;
	g_autofree char *first = NULL;
	GString *text;
	unsigned int i, j;

	for (i = 0; i < ROUNDS; i++) {
		setup(&c);
		text = g_string_new(
		    "revisions,a=0\nteam,kind,name,service_kind\n");
		for (j = 0; j < SERVICES; j++)
			g_string_append_printf(text, "a,service,s%u,any\n", j);
		applies(&c, text->str, false, "a accepted 1\n");
		(void)g_string_free(text, TRUE);
		race(&c, orders[i % G_N_ELEMENTS(orders)]);
		teardown(&c);
	}
}

/* Two new teams claim the same name concurrently: at least one of them gets a
 * note. */
static void
test_name_taken_at_once(void)
{
	struct client c;
	struct dh_apply_result r;
	struct dh_sheet *s;
	static const char rival[] =
	    "{\"services\": {\"x\": {\"service_kind\": \"any\","
	    "\"since_ms\": 1}}}";

	setup(&c);
	CU_ASSERT_EQUAL(dh_store_wait_put(c.apply.store, "teams/b", 0, rival,
			    strlen(rival), NULL),
	    1);
	s = sheet("revisions,a=0\nteam,kind,name,service_kind\n"
		  "a,service,x,any\n");
	fault("{\"kind\": \"stale-read\", \"calls\": 1}");
	client_close(&c);
	client_open(&c, "a");
	CU_ASSERT_TRUE(dh_apply_sheet(&c.apply, s, false, &r, NULL));
	CU_ASSERT_EQUAL(dh_apply_worst(&r), DH_APPLY_ACCEPTED);
	CU_ASSERT_EQUAL_FATAL(r.notes->len, 1);
	CU_ASSERT_STRING_EQUAL(((struct dh_note *)r.notes->pdata[0])->text,
	    "service x: team a: left out: team b holds the name x");
	dh_apply_result_clear(&r);
	dh_sheet_free(s);
	teardown(&c);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "apply, again", test_apply_and_again },
		{ "stale replica", test_stale_replica },
		{ "sheet refused as a whole", test_refused_whole },
		{ "store fails partway", test_half_way },
		{ "unreachable", test_unreachable_store },
		{ "drain", test_drain },
		{ "races", test_races },
		{ "concurrent name claim", test_name_taken_at_once },
		CU_TEST_INFO_NULL,
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cunit_main("apply", tests);
}
