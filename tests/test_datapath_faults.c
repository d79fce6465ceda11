/* The data path when backend servers and callers fail: no answer is cut
 * unseen, none is another's, nothing runs twice, and "not run" is true. */
#include <poll.h>

#include "datapath_fake.h"

#include "base/counter.h"

#include "cunit_main.h"

static struct world w;
static struct reply r;

#define POST(path, fields)                                          \
	"POST " path " HTTP/1.1\r\n" HOST fields "Content-Length: " \
	"4\r\n\r\nbody"
#define POST0(path, fields) \
	"POST " path " HTTP/1.1\r\n" HOST fields "Content-Length: 0\r\n\r\n"
#define ONCE "Idempotency-Key: 0190-1\r\n"

static void
test_cut_answer(void)
{
	world_start(&w);
	call(&w, &r, GET("/web/cut-length"));
	CU_ASSERT(!r.whole);
	call(&w, &r, GET("/web/cut-chunks"));
	CU_ASSERT(!r.whole);
	CU_ASSERT(r.status == 200 || r.status == 0);
	call(&w, &r, POST("/web/cut-head", ""));
	CU_ASSERT(is_local(&r, 502, "unknown", "lost"));
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/cut-head"), 1);
	call(&w, &r, POST("/web/cut-refusal", ""));
	CU_ASSERT(is_local(&r, 502, "unknown", "lost"));
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/cut-refusal"), 1);
	world_stop(&w);
}

static void
test_foreign_answer(void)
{
	uint32_t opened;

	world_start(&w);
	call(&w, &r, POST("/web/foreign", ""));
	CU_ASSERT(is_local(&r, 502, "unknown", "lost"));
	CU_ASSERT(strstr(r.body, "secret") == NULL);
	opened = w.fake.opened;
	/* That connection is out of step: it isn't used again. */
	call(&w, &r, GET("/web/echo"));
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT_EQUAL(w.fake.opened, opened + 1);
	/* Another request's refusal says nothing of this one. */
	call(&w, &r, POST("/web/foreign-refusal", ""));
	CU_ASSERT(is_local(&r, 502, "unknown", "lost"));
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/foreign-refusal"), 1);
	world_stop(&w);
}

/* An answer nobody asked for is not the next request's. */
static void
test_stale_answer(void)
{
	int i;

	world_start(&w);
	for (i = 0; i < 5; i++) {
		call(&w, &r, GET("/web/double"));
		CU_ASSERT_STRING_EQUAL(r.body, "first");
		call(&w, &r, GET("/web/echo"));
		CU_ASSERT(g_str_has_prefix(r.body, "GET /web/echo "));
	}
	world_stop(&w);
}

/* Leave one idle connection, which dies with the next request it reads. */
static void
warm(void)
{
	call(&w, &r, GET("/web/echo"));
	CU_ASSERT_EQUAL_FATAL(r.status, 200);
}

static void
test_reused_dies(void)
{
	world_start(&w);
	warm();
	call(&w, &r, POST("/web/1/die", ""));
	CU_ASSERT(is_local(&r, 502, "unknown", "lost"));
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/1/die"), 1);
	warm();
	call(&w, &r,
	    "POST /web/2/die HTTP/1.1\r\n" HOST
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	CU_ASSERT(is_local(&r, 502, "unknown", "lost"));
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/2/die"), 1);
	warm();
	call(&w, &r, POST0("/web/3/die", ""));
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/3/die"), 1);
	warm();
	call(&w, &r, "DELETE /web/4/die HTTP/1.1\r\n" HOST "\r\n");
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/4/die"), 1);
	warm();
	call(&w, &r, "GET /web/5/die HTTP/1.1\r\n" HOST ONCE "\r\n");
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/5/die"), 1);
	world_stop(&w);
	world_start(&w);
	warm();
	call(&w, &r, GET("/web/6/die"));
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/6/die"), 2);
	world_stop(&w);
}

/* Read by a backend server that then dies: it may have run. */
static void
test_reused_dies_for_good(void)
{
	world_start(&w);
	warm();
	w.fake.deaf = true;
	call(&w, &r, GET("/web/die"));
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/die"), 1);
	CU_ASSERT_EQUAL(r.status, 502);
	CU_ASSERT(says(&r, "Dh-Outcome: unknown"));
	world_stop(&w);
}

static void
test_refused(void)
{
	world_start(&w);
	call(&w, &r, POST("/web/refuse", ""));
	CU_ASSERT(is_local(&r, 503, "not-run", "refused"));
	CU_ASSERT(strstr(r.head, "\nRetry-After: ") != NULL);
	CU_ASSERT(fake_seen(&w.fake, "/web/refuse") > 1);
	/* Of its id, which another try may use, a router can't say so. */
	call(&w, &r, POST("/pay/refuse", ONCE));
	CU_ASSERT(is_local(&r, 503, "unknown", "refused"));
	CU_ASSERT(strstr(r.head, "\nRetry-After: ") != NULL);
	CU_ASSERT_EQUAL(g_atomic_int_get(&w.permits), 1);
	CU_ASSERT(world_wait_end(&w, DH_OUTCOME_NOT_RUN, 1));
	world_stop(&w);
}

/* What the leader says of a refused request's id is what the caller hears. */
static void
test_close(void)
{
	static const struct {
		enum dh_permit_verdict verdict;
		unsigned int status;
		const char *outcome, *reason;
	} cases[] = {
		{ DH_PERMIT_NOT_RUN, 503, "not-run", "refused" },
		{ DH_PERMIT_REFUSED, 503, "unknown", "refused" },
		{ DH_PERMIT_IN_FLIGHT, 503, "unknown", "refused" },
		{ DH_PERMIT_UNKNOWN, 503, "unknown", "refused" },
		{ DH_PERMIT_WAS_DONE, 201, "done", "repeated" },
	};
	size_t i;

	world_start(&w);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_atomic_int_set(&w.close_verdict, (gint)cases[i].verdict);
		call(&w, &r, POST("/pay/refuse", ONCE));
		CU_ASSERT(is_local(
		    &r, cases[i].status, cases[i].outcome, cases[i].reason));
		CU_ASSERT_EQUAL(w.close_token, w.permit_token);
		CU_ASSERT_EQUAL(cases[i].verdict != DH_PERMIT_WAS_DONE,
		    strstr(r.head, "\nDh-Retry-After-Ms: 16000") != NULL);
	}
	CU_ASSERT_EQUAL(g_atomic_int_get(&w.closes), 5);
	/* The leader has refused the permit: it is not asked again. */
	g_atomic_int_set(&w.close_verdict, DH_PERMIT_NOT_RUN);
	g_atomic_int_set(&w.refuse_permits, 1);
	call(&w, &r, POST("/pay/echo", ONCE));
	CU_ASSERT(is_local(&r, 503, "unknown", "permit"));
	CU_ASSERT_EQUAL(g_atomic_int_get(&w.closes), 5);
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/pay/echo"), 0);
	/* No such service here: elsewhere it may be known, and have run. */
	call(&w, &r, POST("/nowhere/echo", ONCE));
	CU_ASSERT(is_local(&r, 404, "unknown", "no-service"));
	world_stop(&w);
}

/* Refused before it has a permit: also then the leader is asked, but not for
 * every request of a flood. */
static void
test_close_budget(void)
{
	struct caller c[100];
	size_t i;
	int closed = 0, unknown = 0;

	world_start(&w);
	g_atomic_int_set(&w.close_verdict, DH_PERMIT_NOT_RUN);
	for (i = 0; i < G_N_ELEMENTS(c); i++) {
		caller_open(&c[i], w.port);
		fake_say(c[i].fd, POST("/orphan/key/echo", ONCE));
	}
	for (i = 0; i < G_N_ELEMENTS(c); i++) {
		caller_read(&c[i], &r, false);
		CU_ASSERT_EQUAL(r.status, 503);
		closed += says(&r, "Dh-Outcome: not-run");
		unknown += says(&r, "Dh-Outcome: unknown");
		caller_close(&c[i]);
	}
	CU_ASSERT_EQUAL(closed + unknown, (int)G_N_ELEMENTS(c));
	CU_ASSERT_EQUAL(closed, g_atomic_int_get(&w.closes));
	CU_ASSERT(closed > 0);
	CU_ASSERT(unknown > 0);
	CU_ASSERT_EQUAL(g_atomic_int_get(&w.permits), 0);
	world_stop(&w);
}

/* The table names an owner before its grant is there: it is asked again, until
 * it has its lease, though no other table comes. */
static void
test_owner_without_lease_yet(void)
{
	world_start(&w);
	call(&w, &r, GET("/feed/k/leaseless"));
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT(strstr(r.body, "GET /feed/k/leaseless ") != NULL);
	CU_ASSERT_EQUAL(
	    fake_seen(&w.fake, "/feed/k/leaseless"), FAKE_LEASELESS + 1);
	world_stop(&w);
}

/* A body does not lengthen the wait for an owner (50 ms) to the deadline (15
 * s): the answer is there before that of one whose deadline is 300 ms. */
static void
test_parked_with_body(void)
{
	struct caller parked, slow;
	struct pollfd fd = { .events = POLLIN };

	world_start(&w);
	caller_open(&parked, w.port);
	caller_open(&slow, w.port);
	fake_say(parked.fd,
	    "POST /orphan/key HTTP/1.1\r\n" HOST
	    "Content-Length: 3\r\n\r\nabc");
	fake_say(slow.fd, GET("/slow/hang"));
	caller_read(&slow, &r, false);
	CU_ASSERT(is_local(&r, 504, "unknown", "deadline"));
	fd.fd = parked.fd;
	CU_ASSERT_EQUAL(poll(&fd, 1, 0), 1);
	caller_read(&parked, &r, false);
	CU_ASSERT(is_local(&r, 503, "not-run", "no-owner"));
	caller_close(&parked);
	caller_close(&slow);
	world_stop(&w);
}

static void
test_unrepeatable(void)
{
	world_start(&w);
	call(&w, &r, POST("/pay/echo", ONCE));
	CU_ASSERT_EQUAL(r.status, 200);
	call(&w, &r, POST("/pay/cut-head", ONCE));
	CU_ASSERT(is_local(&r, 502, "unknown", "lost"));
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/pay/cut-head"), 1);
	call(&w, &r, "GET /pay/cut-head?g HTTP/1.1\r\n" HOST ONCE "\r\n");
	CU_ASSERT(is_local(&r, 502, "unknown", "lost"));
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/pay/cut-head?g"), 1);
	CU_ASSERT_EQUAL(g_atomic_int_get(&w.permits), 3);
	CU_ASSERT(world_wait_end(&w, DH_OUTCOME_DONE, 1));
	CU_ASSERT(world_wait_end(&w, DH_OUTCOME_UNKNOWN, 2));
	world_stop(&w);
}

static void
test_unreachable(void)
{
	world_start(&w);
	(void)shutdown(w.fake.fd, SHUT_RDWR);
	call(&w, &r, POST("/web/echo", ""));
	CU_ASSERT(is_local(&r, 503, "not-run", "connect"));
	CU_ASSERT(strstr(r.head, "\nRetry-After: ") != NULL);
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/echo"), 0);
	world_stop(&w);
}

static void
test_deadline(void)
{
	world_start(&w);
	w.fake.busy = 100; /* it has them */
	call(&w, &r, GET("/slow/hang"));
	CU_ASSERT(is_local(&r, 504, "unknown", "deadline"));
	CU_ASSERT(fake_wait_gone(&w.fake, 1));
	call(&w, &r,
	    "GET /web/hang HTTP/1.1\r\n" HOST "Dh-Deadline-Ms: 100\r\n\r\n");
	CU_ASSERT(is_local(&r, 504, "unknown", "deadline"));
	CU_ASSERT(fake_wait_gone(&w.fake, 2));
	world_stop(&w);
}

/* The backend server's one slot is taken: who can't have it in time is told
 * so, and has not run. */
static void
test_queue(void)
{
	struct caller c;

	world_start(&w);
	caller_open(&c, w.port);
	fake_say(c.fd, GET("/tight/hang"));
	CU_ASSERT(fake_wait_seen(&w.fake, "/tight/hang", 1));
	call(&w, &r,
	    "GET /tight/echo HTTP/1.1\r\n" HOST "Dh-Deadline-Ms: 100\r\n\r\n");
	CU_ASSERT_EQUAL(r.status, 503);
	CU_ASSERT(says(&r, "Dh-Outcome: not-run"));
	CU_ASSERT(strstr(r.head, "\nRetry-After: ") != NULL);
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/tight/echo"), 0);
	caller_close(&c);
	world_stop(&w);
}

static void
test_caller_leaves(void)
{
	struct caller c;

	world_start(&w);
	caller_open(&c, w.port);
	fake_say(c.fd, GET("/web/hang"));
	CU_ASSERT(fake_wait_seen(&w.fake, "/web/hang", 1));
	caller_close(&c);
	CU_ASSERT(fake_wait_gone(&w.fake, 1));
	caller_open(&c, w.port);
	fake_say(c.fd, POST("/web/hang", ""));
	CU_ASSERT(fake_wait_seen(&w.fake, "/web/hang", 2));
	caller_close(&c);
	CU_ASSERT(fake_wait_gone(&w.fake, 2));
	call(&w, &r, GET("/web/echo"));
	CU_ASSERT_EQUAL(r.status, 200);
	world_stop(&w);
}

/* Leave three idle connections that swallow what they get: one of each of
 * three backend servers at the same address. */
static void
warm_silent(void)
{
	static const char *const texts[] = { GET("/web/hold"),
		GET("/tight/hold"), GET("/feed/key/hold") };
	struct caller c[G_N_ELEMENTS(texts)];
	char *path[G_N_ELEMENTS(texts)];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		caller_open(&c[i], w.port);
		fake_say(c[i].fd, texts[i]);
		path[i] = fake_wait_held(&w.fake);
		CU_ASSERT_PTR_NOT_NULL_FATAL(path[i]);
	}
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		fake_release(&w.fake, path[i]);
		caller_read(&c[i], &r, false);
		caller_close(&c[i]);
		g_free(path[i]);
	}
	pthread_mutex_lock(&w.fake.lock);
	w.fake.silent_upto = w.fake.opened;
	pthread_mutex_unlock(&w.fake.lock);
}

static void
test_silent_connection(void)
{
	world_start(&w);
	warm_silent();

	call(&w, &r, GET("/web/echo?s"));

	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT(strstr(r.body, "\nDh-Attempt: 2\n") != NULL);
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/echo?s"), 2);
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/_dh/load"), 1);
	/* The other two are not tried. */
	call(&w, &r, GET("/web/echo?t"));
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/echo?t"), 1);
	call(&w, &r, POST("/web/echo?u", ""));
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/echo?u"), 1);
	world_stop(&w);
}

/* What may not run twice is not sent twice. */
static void
test_silent_unrepeatable(void)
{
	world_start(&w);
	warm_silent();
	call(&w, &r, POST("/web/echo?s", "Dh-Deadline-Ms: 1500\r\n"));
	CU_ASSERT(is_local(&r, 504, "unknown", "deadline"));
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/echo?s"), 1);
	CU_ASSERT(fake_wait_seen(&w.fake, "/_dh/load", 1));
	call(&w, &r, GET("/web/echo"));
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/echo"), 1);
	world_stop(&w);
}

/* It has the request: it is slow, and nothing is sent again. */
static void
test_slow_is_not_silent(void)
{
	struct caller c;

	world_start(&w);
	w.fake.busy = 1;
	caller_open(&c, w.port);
	fake_say(c.fd, GET("/web/hold"));
	CU_ASSERT(fake_wait_seen(&w.fake, "/_dh/load", 2));
	fake_release(&w.fake, "/web/hold");
	caller_read(&c, &r, false);
	CU_ASSERT_EQUAL(r.status, 200);
	CU_ASSERT_EQUAL(fake_seen(&w.fake, "/web/hold"), 1);
	caller_close(&c);
	world_stop(&w);
}

static void
test_frozen(void)
{
	struct dh_counter *frozen =
	    dh_counter_get("dh_probes_total", "verdict=\"frozen\"");
	uint64_t before = dh_counter_value(frozen);
	struct caller c[3];
	int i, refused = 0;

	world_start(&w);
	w.fake.frozen = true;
	caller_open(&c[0], w.port);
	fake_say(c[0].fd, GET("/web/echo"));
	for (i = 0; dh_counter_value(frozen) == before && i < 20000; i++)
		g_usleep(1000);
	CU_ASSERT_EQUAL_FATAL(dh_counter_value(frozen), before + 1);
	for (i = 1; i < 3; i++) {
		caller_open(&c[i], w.port);
		fake_say(c[i].fd,
		    "GET /web/echo?2 HTTP/1.1\r\n" HOST
		    "Dh-Deadline-Ms: 500\r\n\r\n");
	}
	/* At most one finds out whether it is back. */
	for (i = 1; i < 3; i++) {
		caller_read(&c[i], &r, false);
		refused += r.status == 503 && says(&r, "Dh-Outcome: not-run");
		caller_close(&c[i]);
	}
	CU_ASSERT(refused >= 1);
	CU_ASSERT(fake_seen(&w.fake, "/web/echo?2") <= 1);
	caller_close(&c[0]);
	world_stop(&w);
}

/* The share of one VM of 22 connections is two, however many requests its
 * limit lets in. */
static void
test_connection_share(void)
{
	enum { CALLERS = 8, ROUNDS = 30 };
	struct caller c[CALLERS];
	uint32_t n;
	int i, round;

	share_connections = 22;
	world_start(&w);
	share_connections = 0;
	for (i = 0; i < CALLERS; i++)
		caller_open(&c[i], w.port);
	for (round = 0; round < ROUNDS; round++) {
		for (i = 0; i < CALLERS; i++)
			fake_say(c[i].fd, GET("/web/echo"));
		for (i = 0; i < CALLERS; i++) {
			caller_read(&c[i], &r, false);
			CU_ASSERT(r.whole);
		}
	}
	for (i = 0; i < CALLERS; i++)
		caller_close(&c[i]);
	n = w.fake.opened - fake_seen(&w.fake, "/_dh/load");
	CU_ASSERT(n >= 1 && n <= 2);
	world_stop(&w);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "cut answer", test_cut_answer },
		{ "foreign answer", test_foreign_answer },
		{ "stale answer", test_stale_answer },
		{ "reused dies", test_reused_dies },
		{ "reused dies for good", test_reused_dies_for_good },
		{ "refused", test_refused },
		{ "close", test_close },
		{ "close budget", test_close_budget },
		{ "parked with body", test_parked_with_body },
		{ "owner without lease yet", test_owner_without_lease_yet },
		{ "unrepeatable", test_unrepeatable },
		{ "unreachable", test_unreachable },
		{ "deadline", test_deadline },
		{ "queue", test_queue },
		{ "caller leaves", test_caller_leaves },
		{ "silent connection", test_silent_connection },
		{ "silent unrepeatable", test_silent_unrepeatable },
		{ "slow is not silent", test_slow_is_not_silent },
		{ "frozen", test_frozen },
		{ "connection share", test_connection_share },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("datapath faults", tests);
}
