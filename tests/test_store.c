#include <string.h>

#include "base/error.h"
#include "standin/lib/store.h"
#include "store/store.h"
#include "tests/cunit_main.h"
#include "tests/scripted_server.h"

#define OK (-1)

static uv_loop_t loop;
static struct dh_http *http;
static struct dh_standin_store *standin;

static const struct dh_store_times quick = {
	.attempt_ms = 100,
	.call_ms = 20000,
	.backoff_min_ms = 1,
	.backoff_max_ms = 4,
	.wait_ms = 20,
	.resync_ms = 40,
};

/* Result of a store call. */
struct result {
	bool done;
	int code; /* OK or enum dh_error */
	struct dh_object *object;
	unsigned int objects;
};

static void
setup(void)
{
	uv_loop_init(&loop);
	http = dh_http_new(&loop);
	standin = dh_standin_store_start(0, 0, NULL, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(standin);
}

static void
teardown(void)
{
	dh_http_free(http);
	uv_run(&loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
	dh_standin_store_stop(standin);
}

static struct dh_store *
client(const char *writer)
{
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%u", dh_standin_store_port(standin));
	struct dh_store *st = dh_store_new(http, url, writer);

	dh_store_set_times(st, &quick);
	return st;
}

static void
fault(const char *json)
{
	CU_ASSERT_TRUE_FATAL(dh_standin_store_fault(standin, json, NULL));
}

static void
on_result(void *arg, const struct dh_object *object, const GError *error)
{
	struct result *r = arg;

	CU_ASSERT_FALSE(r->done);
	r->done = true;
	r->code = error == NULL ? OK : error->code;
	r->object = dh_object_copy(object);
}

static void
on_each(void *arg, const struct dh_object *object, const GError *error)
{
	struct result *r = arg;

	if (object != NULL) {
		r->objects++;
		return;
	}
	on_result(arg, object, error);
}

static void
finish(struct result *r)
{
	while (!r->done)
		uv_run(&loop, UV_RUN_ONCE);
}

static void
clear(struct result *r)
{
	dh_object_free(r->object);
	*r = (struct result){ 0 };
}

static void
put(struct dh_store *st, const char *name, uint64_t expect, const char *value,
    struct result *r)
{
	clear(r);
	dh_store_put(st, name, expect, value, strlen(value), on_result, r);
	CU_ASSERT_FALSE(r->done);
	finish(r);
}

static void
get(struct dh_store *st, const char *name, uint64_t version, struct result *r)
{
	clear(r);
	dh_store_get(st, name, version, on_result, r);
	CU_ASSERT_FALSE(r->done);
	finish(r);
}

static void
test_versions_and_conditions(void)
{
	struct dh_store *st;
	struct result r = { 0 };

	setup();
	st = client("w");
	get(st, "a/b", 0, &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_NOT_FOUND);
	put(st, "a/b", 0, "one", &r);
	CU_ASSERT_EQUAL(r.code, OK);
	CU_ASSERT_EQUAL(r.object->version, 1);
	put(st, "a/b", 0, "other", &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_CONFLICT);
	put(st, "a/b", 7, "other", &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_CONFLICT);
	put(st, "a/b", 1, "two", &r);
	CU_ASSERT_EQUAL(r.object->version, 2);
	get(st, "a/b", 0, &r);
	CU_ASSERT_STRING_EQUAL(r.object->value, "two");
	CU_ASSERT_EQUAL(r.object->len, 3);
	get(st, "a/b", 1, &r);
	CU_ASSERT_STRING_EQUAL(r.object->value, "one");
	get(st, "a/b", 3, &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_NOT_FOUND);
	clear(&r);
	dh_store_free(st);
	teardown();
}

static void
test_value_limit(void)
{
	struct dh_store *st;
	struct dh_store_times t = quick;
	struct result r = { 0 };
	g_autofree char *value = g_strnfill((1u << 20) + 1, 'x');

	setup();
	st = client("w");
	t.attempt_ms = 10000;
	dh_store_set_times(st, &t);
	put(st, "big", 0, value, &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_REFUSED);
	value[1u << 20] = '\0';
	put(st, "big", 0, value, &r);
	CU_ASSERT_EQUAL(r.code, OK);
	clear(&r);
	dh_store_free(st);
	teardown();
}

static void
test_list_over_pages(void)
{
	struct dh_store *st;
	struct dh_store_times t = quick;
	struct result r = { 0 };
	g_autofree char *value = g_strnfill(1u << 20, 'x');
	char name[16];
	int i;

	setup();
	st = client("w");
	t.attempt_ms = 10000;
	dh_store_set_times(st, &t);
	for (i = 0; i < 7; i++) {
		(void)g_snprintf(name, sizeof(name), "t/%d", i);
		put(st, name, 0, value, &r);
	}
	put(st, "u", 0, "", &r);
	clear(&r);
	dh_store_list(st, "t/", on_each, &r);
	finish(&r);
	CU_ASSERT_EQUAL(r.code, OK);
	CU_ASSERT_EQUAL(r.objects, 7);
	CU_ASSERT(dh_standin_store_calls(standin, DH_STANDIN_LIST) > 1);
	dh_store_free(st);
	teardown();
}

static void
check_lost_reply(const char *order)
{
	struct dh_store *st;
	struct result r = { 0 };

	setup();
	st = client("w");
	put(st, "x", 0, "one", &r);
	fault(order);
	put(st, "x", 1, "two", &r);
	CU_ASSERT_EQUAL(r.code, OK);
	CU_ASSERT_EQUAL(r.object->version, 2);
	get(st, "x", 0, &r);
	CU_ASSERT_EQUAL(r.object->version, 2);
	CU_ASSERT_EQUAL(dh_standin_store_calls(standin, DH_STANDIN_DROPPED), 1);
	clear(&r);
	dh_store_free(st);
	teardown();
}

static void
test_lost_reply_is_read_back(void)
{
	check_lost_reply("{\"kind\": \"lose-reply\", \"calls\": 1,"
			 " \"mode\": \"silent\"}");
	check_lost_reply("{\"kind\": \"lose-reply\", \"calls\": 1,"
			 " \"mode\": \"close\"}");
}

static void
wait_dropped(uint64_t n)
{
	while (dh_standin_store_calls(standin, DH_STANDIN_DROPPED) < n)
		uv_run(&loop, UV_RUN_NOWAIT);
}

/* A write whose reply is lost is reported as a success although another writer
 * has since written newer versions. */
static void
test_lost_reply_then_overwritten(void)
{
	struct dh_store *a, *b;
	struct result ra = { 0 }, rb = { 0 };

	setup();
	a = client("a");
	b = client("b");
	fault("{\"kind\": \"lose-reply\", \"calls\": 1,"
	      " \"mode\": \"silent\"}");
	dh_store_put(a, "x", 0, "ours", 4, on_result, &ra);
	wait_dropped(1);
	put(b, "x", 1, "theirs", &rb);
	CU_ASSERT_EQUAL(rb.code, OK);
	put(b, "x", 2, "again", &rb);
	CU_ASSERT_EQUAL(rb.code, OK);
	finish(&ra);
	CU_ASSERT_EQUAL(ra.code, OK);
	CU_ASSERT_EQUAL(ra.object->version, 1);
	clear(&ra);
	clear(&rb);
	dh_store_free(a);
	dh_store_free(b);
	teardown();
}

/* When a request is lost and another writer writes the same version, exactly
 * one write succeeds and both writers learn the outcome. */
static void
test_lost_request_races_another_writer(void)
{
	struct dh_store *a, *b;
	struct result ra = { 0 }, rb = { 0 }, r = { 0 };

	setup();
	a = client("a");
	b = client("b");
	fault("{\"kind\": \"down\", \"calls\": 1, \"mode\": \"silent\"}");
	dh_store_put(a, "x", 0, "a", 1, on_result, &ra);
	wait_dropped(1);
	put(b, "x", 0, "b", &rb);
	finish(&ra);
	CU_ASSERT((ra.code == OK) != (rb.code == OK));
	CU_ASSERT(ra.code == OK || ra.code == DH_ERROR_CONFLICT);
	CU_ASSERT(rb.code == OK || rb.code == DH_ERROR_CONFLICT);
	get(b, "x", 0, &r);
	CU_ASSERT_STRING_EQUAL(r.object->value, ra.code == OK ? "a" : "b");
	CU_ASSERT_EQUAL(r.object->version, 1);
	clear(&ra);
	clear(&rb);
	clear(&r);
	dh_store_free(a);
	dh_store_free(b);
	teardown();
}

static void
test_outage_reports_whether_write_took_effect(void)
{
	struct dh_store *st;
	struct dh_store_times t = quick;
	struct result r = { 0 };

	setup();
	st = client("w");
	fault("{\"kind\": \"down\", \"calls\": 3}");
	put(st, "x", 0, "one", &r);
	CU_ASSERT_EQUAL(r.code, OK);
	CU_ASSERT_EQUAL(dh_standin_store_calls(standin, DH_STANDIN_REFUSED), 3);
	/* Leaves time for one attempt, also on a busy machine, but not for a
	 * second, which the call's deadline would cut off unanswered. */
	t.attempt_ms = t.call_ms = 5000;
	t.backoff_min_ms = t.backoff_max_ms = 20000;
	dh_store_set_times(st, &t);
	fault("{\"kind\": \"down\"}");
	put(st, "x", 1, "two", &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_UNAVAILABLE);
	get(st, "x", 0, &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_UNAVAILABLE);
	CU_ASSERT_EQUAL(dh_standin_store_calls(standin, DH_STANDIN_REFUSED), 5);
	fault("{\"kind\": \"down\", \"mode\": \"close\"}");
	put(st, "x", 1, "three", &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_TIMEOUT);
	fault("{\"kind\": \"clear\"}");
	dh_store_set_times(st, &quick);
	get(st, "x", 0, &r);
	CU_ASSERT_EQUAL(r.code, OK);
	CU_ASSERT_EQUAL(r.object->version, 1);
	clear(&r);
	dh_store_free(st);
	teardown();
}

static void
test_no_listener_is_unavailable(void)
{
	struct dh_store *st;
	struct dh_store_times t = quick;
	struct result r = { 0 };

	setup();
	st = client("w");
	t.call_ms = 30;
	dh_store_set_times(st, &t);
	dh_standin_store_stop(standin);
	standin = NULL;
	put(st, "x", 0, "one", &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_UNAVAILABLE);
	clear(&r);
	dh_store_free(st);
	teardown();
}

static void
test_slow_store_answers(void)
{
	struct dh_store *st;
	struct result r = { 0 };

	setup();
	st = client("w");
	fault("{\"kind\": \"slow\", \"amount\": 300, \"calls\": 2}");
	put(st, "x", 0, "one", &r);
	CU_ASSERT_EQUAL(r.code, OK);
	CU_ASSERT_EQUAL(r.object->version, 1);
	clear(&r);
	dh_store_free(st);
	teardown();
}

static void
test_stale_read_never_goes_back(void)
{
	struct dh_store *st;
	struct dh_store_times t = quick;
	struct result r = { 0 };

	setup();
	st = client("w");
	put(st, "x", 0, "one", &r);
	put(st, "x", 1, "two", &r);
	fault("{\"kind\": \"stale-read\", \"calls\": 2}");
	get(st, "x", 0, &r);
	CU_ASSERT_EQUAL(r.code, OK);
	CU_ASSERT_EQUAL(r.object->version, 2);
	CU_ASSERT_EQUAL(dh_standin_store_calls(standin, DH_STANDIN_GET), 3);
	fault("{\"kind\": \"stale-read\", \"amount\": 2, \"calls\": 2}");
	get(st, "x", 1, &r);
	CU_ASSERT_EQUAL(r.code, OK);
	t.call_ms = 30;
	dh_store_set_times(st, &t);
	fault("{\"kind\": \"stale-read\"}");
	get(st, "x", 0, &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_UNAVAILABLE);
	clear(&r);
	dh_store_list(st, "", on_each, &r);
	finish(&r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_UNAVAILABLE);
	CU_ASSERT_EQUAL(r.objects, 0);
	clear(&r);
	dh_store_free(st);
	teardown();
}

/* A stale replica that lacks the version does not prove that the write whose
 * reply was lost had no effect. */
static void
test_lost_reply_with_stale_read(void)
{
	struct dh_store *st;
	struct result r = { 0 };

	setup();
	st = client("w");
	fault("{\"kind\": \"lose-reply\", \"calls\": 1,"
	      " \"mode\": \"silent\"}");
	fault("{\"kind\": \"stale-read\", \"calls\": 1}");
	put(st, "x", 0, "one", &r);
	CU_ASSERT_EQUAL(r.code, OK);
	CU_ASSERT_EQUAL(r.object->version, 1);
	get(st, "x", 0, &r);
	CU_ASSERT_EQUAL(r.object->version, 1);
	clear(&r);
	dh_store_free(st);
	teardown();
}

/* A resent write that conflicts with a higher version does not prove that the
 * first attempt had no effect. */
static void
test_lost_reply_overwritten_and_stale(void)
{
	struct dh_store *a, *b;
	struct result ra = { 0 }, rb = { 0 };

	setup();
	a = client("a");
	b = client("b");
	fault("{\"kind\": \"lose-reply\", \"calls\": 1,"
	      " \"mode\": \"silent\"}");
	dh_store_put(a, "x", 0, "ours", 4, on_result, &ra);
	wait_dropped(1);
	put(b, "x", 1, "theirs", &rb);
	fault("{\"kind\": \"stale-read\", \"amount\": 2, \"calls\": 1}");
	finish(&ra);
	CU_ASSERT_EQUAL(ra.code, OK);
	CU_ASSERT_EQUAL(ra.object->version, 1);
	clear(&ra);
	clear(&rb);
	dh_store_free(a);
	dh_store_free(b);
	teardown();
}

static void
test_rate_limit_is_obeyed(void)
{
	struct dh_store *st;
	struct result r = { 0 };

	setup();
	st = client("w");
	fault("{\"kind\": \"rate-limit\", \"amount\": 0, \"for_ms\": 300}");
	put(st, "x", 0, "one", &r);
	CU_ASSERT_EQUAL(r.code, OK);
	CU_ASSERT_EQUAL(dh_standin_store_calls(standin, DH_STANDIN_REFUSED), 1);
	clear(&r);
	dh_store_free(st);
	teardown();
}

/* Deliveries of a watch. */
struct deliveries {
	uint64_t version;
	unsigned int times;
	bool went_back;
	struct dh_store_watch
	    *watch_to_free; /* watch to free in its call-back */
};

static void
on_delivery(void *arg, const struct dh_object *object, const GError *error)
{
	struct deliveries *t = arg;

	CU_ASSERT_PTR_NULL(error);
	t->went_back = t->went_back || object->version <= t->version;
	t->version = object->version;
	t->times++;
	if (t->watch_to_free != NULL)
		dh_store_watch_free(t->watch_to_free);
}

static void
wait_delivered(struct deliveries *t, uint64_t version)
{
	while (t->version < version)
		uv_run(&loop, UV_RUN_ONCE);
}

static void
test_watch_delivers_objects_and_changes(void)
{
	struct dh_store *st;
	struct dh_store_watch *w;
	struct result r = { 0 };
	struct deliveries t = { 0 };
	uint64_t i;

	setup();
	st = client("w");
	put(st, "x", 0, "one", &r);
	put(st, "y", 0, "other prefix", &r);
	w = dh_store_watch(st, "x", on_delivery, &t);
	wait_delivered(&t, 1);
	for (i = 1; i < 5; i++) {
		put(st, "x", i, "more", &r);
		wait_delivered(&t, i + 1);
	}
	CU_ASSERT_EQUAL(t.times, 5);
	CU_ASSERT_FALSE(t.went_back);
	dh_store_watch_free(w);
	clear(&r);
	dh_store_free(st);
	teardown();
}

static void
check_watch_survives(const char *order)
{
	struct dh_store *st;
	struct result r = { 0 };
	struct deliveries t = { 0 };

	setup();
	st = client("w");
	put(st, "x", 0, "one", &r);
	(void)dh_store_watch(st, "x", on_delivery, &t);
	wait_delivered(&t, 1);
	fault(order);
	put(st, "x", 1, "two", &r);
	wait_delivered(&t, 2);
	CU_ASSERT_EQUAL(t.times, 2);
	CU_ASSERT_FALSE(t.went_back);
	clear(&r);
	dh_store_free(st);
	teardown();
}

static void
test_watch_survives_faults(void)
{
	check_watch_survives("{\"kind\": \"silent-watch\", \"calls\": 2}");
	check_watch_survives("{\"kind\": \"stale-watch\"}");
	check_watch_survives("{\"kind\": \"down\", \"calls\": 3,"
			     " \"mode\": \"close\"}");
	check_watch_survives("{\"kind\": \"rate-limit\", \"amount\": 0,"
			     " \"calls\": 1}");
}

/* After the store loses its state, a watch must not deliver versions up to the
 * highest one delivered before. */
static void
test_watch_after_store_lost_state(void)
{
	struct dh_store *st, *other;
	struct result r = { 0 };
	struct deliveries t = { 0 };
	uint16_t port;

	setup();
	st = client("w");
	other = client("o");
	put(other, "x", 0, "one", &r);
	put(other, "x", 1, "two", &r);
	(void)dh_store_watch(st, "x", on_delivery, &t);
	wait_delivered(&t, 2);
	port = dh_standin_store_port(standin);
	dh_standin_store_stop(standin);
	standin = dh_standin_store_start(port, 0, NULL, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(standin);
	put(other, "x", 0, "younger", &r);
	CU_ASSERT_EQUAL(r.object->version, 1);
	put(other, "x", 1, "younger", &r);
	put(other, "x", 2, "younger", &r);
	wait_delivered(&t, 3);
	CU_ASSERT_EQUAL(t.times, 2);
	CU_ASSERT_FALSE(t.went_back);
	clear(&r);
	dh_store_free(st);
	dh_store_free(other);
	teardown();
}

static void
test_watch_freed_in_callback(void)
{
	struct dh_store *st;
	struct result r = { 0 };
	struct deliveries t = { 0 };

	setup();
	st = client("w");
	put(st, "x/1", 0, "one", &r);
	put(st, "x/2", 0, "one", &r);
	t.watch_to_free = dh_store_watch(st, "x/", on_delivery, &t);
	wait_delivered(&t, 1);
	put(st, "x/1", 1, "two", &r);
	CU_ASSERT_EQUAL(t.times, 1);
	clear(&r);
	dh_store_free(st);
	teardown();
}

static void
test_free_drops_calls(void)
{
	struct dh_store *st;
	struct result r = { 0 }, rw = { 0 };

	setup();
	st = client("w");
	fault("{\"kind\": \"down\", \"mode\": \"silent\"}");
	dh_store_put(st, "x", 0, "one", 3, on_result, &r);
	dh_store_get(st, "x", 0, on_result, &r);
	(void)dh_store_watch(st, "", on_result, &rw);
	wait_dropped(2);
	dh_store_free(st);
	CU_ASSERT_FALSE(r.done);
	CU_ASSERT_FALSE(rw.done);
	teardown();
}

/* The stand-in store must reject malformed or unknown faults. */
static void
test_faults_are_checked(void)
{
	static const char *const bad[] = { "", "[]", "{}",
		"{\"kind\": \"lost\"}",
		"{\"kind\": \"down\", \"mode\": \"deaf\"}",
		"{\"kind\": \"lose-reply\", \"count\": 3}" };
	size_t i;

	setup();
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		CU_ASSERT_FALSE(dh_standin_store_fault(standin, bad[i], NULL));
	teardown();
}

/* Guards against a write that was carried out and is reported as one that was
 * not: libcurl sends it again, and the store refuses the copy. */
static void
test_write_on_a_connection_that_ends_is_in_doubt(void)
{
	const char *script[20] = { HTTP_ANSWER("404 Not Found"), "" };
	struct dh_store_times brief = quick;
	struct scripted_server s;
	struct result r = { 0 };
	g_autofree char *url = NULL;
	struct dh_store *st;
	size_t i;

	for (i = 2; i + 1 < G_N_ELEMENTS(script); i++)
		script[i] = HTTP_ANSWER("503 Busy");
	setup();
	scripted_server_start(&s, script);
	url = g_strdup_printf("http://127.0.0.1:%u", s.port);
	st = dh_store_new(http, url, "w");
	brief.call_ms = 300;
	brief.backoff_min_ms = brief.backoff_max_ms = 100;
	dh_store_set_times(st, &brief);
	get(st, "a", 0, &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_NOT_FOUND);
	put(st, "a", 0, "1", &r);
	CU_ASSERT_EQUAL(r.code, DH_ERROR_TIMEOUT);
	clear(&r);
	dh_store_free(st);
	teardown();
	scripted_server_stop(&s);
}

#define STORED(version, writer)                                         \
	"HTTP/1.1 200 OK\r\nETag: \"" version "\"\r\nX-Writer: " writer \
	"\r\nContent-Length: 0\r\n\r\n"

/* Guards against a write of another writer that counts as this one, by the late
 * copy of the reply to an earlier call. */
static void
test_reply_to_an_earlier_call_is_no_answer(void)
{
	static const struct {
		const char *script[4];
		int code;
	} cases[] = {
		{ { STORED("7", "w/0") LATE, STORED("8", "w/1") LATE }, OK },
		{ { STORED("8", "v/1") LATE, STORED("8", "w/1") LATE }, OK },
		{ { STORED("7", "w/0") LATE, STORED("7", "w/0") LATE,
		      STORED("8", "v/3") LATE },
		    DH_ERROR_CONFLICT },
	};
	struct scripted_server s;
	struct result r = { 0 };
	struct dh_store *st;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *url = NULL;

		setup();
		scripted_server_start(&s, cases[i].script);
		url = g_strdup_printf("http://127.0.0.1:%u", s.port);
		st = dh_store_new(http, url, "w");
		dh_store_set_times(st, &quick);
		put(st, "a", 7, "1", &r);
		CU_ASSERT_EQUAL(r.code, cases[i].code);
		if (r.code == OK)
			CU_ASSERT_EQUAL(r.object->version, 8);
		clear(&r);
		dh_store_free(st);
		teardown();
		scripted_server_stop(&s);
		CU_ASSERT_PTR_NULL(cases[i].script[s.requests]);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "versions, conditions", test_versions_and_conditions },
		{ "value limit", test_value_limit },
		{ "list pages", test_list_over_pages },
		{ "lost reply", test_lost_reply_is_read_back },
		{ "lost, overwritten", test_lost_reply_then_overwritten },
		{ "write on a connection that ends",
		    test_write_on_a_connection_that_ends_is_in_doubt },
		{ "lost request", test_lost_request_races_another_writer },
		{ "outage", test_outage_reports_whether_write_took_effect },
		{ "no listener", test_no_listener_is_unavailable },
		{ "slow", test_slow_store_answers },
		{ "stale read", test_stale_read_never_goes_back },
		{ "lost, stale", test_lost_reply_with_stale_read },
		{ "lost, overwritten, stale",
		    test_lost_reply_overwritten_and_stale },
		{ "rate limit", test_rate_limit_is_obeyed },
		{ "watch", test_watch_delivers_objects_and_changes },
		{ "watch faults", test_watch_survives_faults },
		{ "store state lost", test_watch_after_store_lost_state },
		{ "watch freed", test_watch_freed_in_callback },
		{ "free", test_free_drops_calls },
		{ "faults checked", test_faults_are_checked },
		{ "reply to an earlier call",
		    test_reply_to_an_earlier_call_is_no_answer },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("store", tests);
}
