#include <string.h>

#include "check/history.h"

#include "tests/cunit_main.h"

#define N(a) (sizeof(a) / sizeof((a)[0]))

/* Macros that build the log lines of the test histories. */
#define L(t, src, ev, rest) \
	"{\"t\":" t ",\"src\":\"" src "\",\"ev\":\"" ev "\"" rest "}"
#define GRANT(t, src, slot, fence, until)                           \
	L(t, src, "grant",                                          \
	    ",\"group\":\"g\",\"slot\":" slot ",\"fence\":\"" fence \
	    "\",\"until\":" until)
#define EXTEND(t, src, until) \
	L(t, src, "extend", ",\"group\":\"g\",\"until\":" until)
#define UP_CHECKS(t, src, checks) \
	L(t, src, "up", ",\"incarnation\":1,\"checks\":" checks)
#define RELEASE(t, src, slot) \
	L(t, src, "release", ",\"group\":\"g\",\"slot\":" slot)
#define SEND(t, call, id, via, unrepeatable)                          \
	L(t, "caller", "send",                                        \
	    ",\"call\":\"" call "\",\"id\":\"" id "\",\"via\":\"" via \
	    "\",\"service\":\"s\",\"key\":\"k\","                     \
	    "\"unrepeatable\":" unrepeatable ",\"expect\":\"h-" id "\"")
#define ANSWER(t, call, outcome, status, echo, whole)       \
	L(t, "caller", "answer",                            \
	    ",\"call\":\"" call "\",\"outcome\":\"" outcome \
	    "\",\"status\":" status ",\"echo\":\"" echo     \
	    "\",\"hash\":\"h-" echo "\",\"whole\":" whole)
#define REPEATED(t, call, echo)                                       \
	L(t, "caller", "answer",                                      \
	    ",\"call\":\"" call                                       \
	    "\",\"outcome\":\"done\",\"status\":200,\"echo\":\"" echo \
	    "\",\"whole\":true,\"repeated\":true")
#define REFUSAL(t, call)         \
	L(t, "caller", "answer", \
	    ",\"call\":\"" call  \
	    "\",\"outcome\":\"not-run\",\"status\":503,\"whole\":true")
#define UNSENT(t, call)          \
	L(t, "caller", "answer", \
	    ",\"call\":\"" call  \
	    "\",\"outcome\":\"not-run\",\"status\":0,\"whole\":true")
#define NO_ANSWER(t, call)       \
	L(t, "caller", "answer", \
	    ",\"call\":\"" call  \
	    "\",\"outcome\":\"unknown\",\"status\":0,\"whole\":false")
#define RUN(t, src, call, id, unrepeatable)       \
	L(t, src, "start",                        \
	    ",\"id\":\"" id "\",\"call\":\"" call \
	    "\",\"service\":\"s\",\"key\":\"k\"," \
	    "\"unrepeatable\":" unrepeatable)
#define UNTAGGED(t, src, id) \
	L(t, src, "start",   \
	    ",\"id\":\"" id  \
	    "\",\"service\":\"s\",\"key\":\"k\",\"unrepeatable\":false")
#define KEYED(t, src, id, slot, fence)                              \
	L(t, src, "start",                                          \
	    ",\"id\":\"" id "\",\"service\":\"s\",\"key\":\"k\","   \
	    "\"unrepeatable\":false,\"group\":\"g\",\"slot\":" slot \
	    ",\"fence\":\"" fence "\"")
#define ASSIGN(t, src, owner, fence, prev, kept)             \
	L(t, src, "assign",                                  \
	    ",\"group\":\"g\",\"slot\":1,\"owner\":\"" owner \
	    "\",\"fence\":\"" fence "\",\"prev\":\"" prev "\",\"kept\":" kept)
#define STORE "\"store\""
#define PAIR "\"pair\",\"holders\":[\"v1\",\"v2\"]"
#define FORCE(t, src, rev) L(t, src, "force", ",\"revision\":" rev)
#define ACCEPT(t, rev) L(t, "ctl", "accept", ",\"revision\":" rev)
#define UP(t, src) L(t, src, "up", ",\"incarnation\":1")
#define DOWN(t, name) L(t, "script", "down", ",\"name\":\"" name "\"")
#define STOP(t, vm) L(t, "script", "stop", ",\"vm\":\"" vm "\"")
#define STOPPED(t, vm) L(t, "script", "stopped", ",\"vm\":\"" vm "\"")
#define DRAIN(t, b) L(t, "script", "drain", ",\"backend\":\"" b "\"")
#define UNDRAIN(t, b) L(t, "script", "undrain", ",\"backend\":\"" b "\"")
#define FAULT(t, name, on)      \
	L(t, "script", "fault", \
	    ",\"kind\":\"pause\",\"name\":\"" name "\",\"on\":" on)

struct history_case {
	const char *name;
	enum dh_promise promise;
	enum dh_verdict verdict;
	const char
	    *finding_text; /* the first finding contains it; NULL if held */
	const char *lines[12];
};

static const struct history_case cases[] = {
	{ "consecutive owners", DH_PROMISE_SINGLE_OWNER, DH_VERDICT_HELD, NULL,
	    { GRANT("0", "a", "1", "1.1", "500"), EXTEND("100", "a", "600"),
		KEYED("599", "a", "r1", "1", "1.1"),
		GRANT("600", "b", "1", "1.2", "1100"), RELEASE("700", "b", "1"),
		GRANT("700", "a", "1", "1.3", "1200"),
		KEYED("701", "a", "r2", "1", "1.3") } },
	{ "a restart releases the slots", DH_PROMISE_SINGLE_OWNER,
	    DH_VERDICT_HELD, NULL,
	    { GRANT("0", "a", "1", "1.1", "500"), UP("10", "a"),
		GRANT("20", "b", "1", "1.2", "520"),
		EXTEND("30", "a", "530") } },
	{ "two overlapping leases", DH_PROMISE_SINGLE_OWNER, DH_VERDICT_BROKEN,
	    "t:1",
	    { GRANT("0", "a", "1", "1.1", "500"),
		GRANT("499.999", "b", "1", "1.2", "900") } },
	{ "an expired lease is extended", DH_PROMISE_SINGLE_OWNER,
	    DH_VERDICT_BROKEN, "t:2",
	    { GRANT("0", "a", "1", "1.1", "500"),
		GRANT("500", "b", "1", "1.2", "900"),
		EXTEND("600", "a", "1100") } },
	{ "request without a lease", DH_PROMISE_SINGLE_OWNER, DH_VERDICT_BROKEN,
	    "t:2",
	    { GRANT("0", "a", "1", "1.1", "500"),
		KEYED("500", "a", "r1", "1", "1.1") } },
	{ "request with an old fence", DH_PROMISE_SINGLE_OWNER,
	    DH_VERDICT_BROKEN, "t:3",
	    { GRANT("0", "a", "1", "1.1", "500"),
		GRANT("9", "a", "1", "2.1", "509"),
		KEYED("10", "a", "r1", "1", "1.1") } },
	{ "request with an old fence, fences checked", DH_PROMISE_SINGLE_OWNER,
	    DH_VERDICT_BROKEN, "t:4",
	    { UP_CHECKS("0", "a", "true"), GRANT("0", "a", "1", "1.1", "500"),
		GRANT("9", "a", "1", "2.1", "509"),
		KEYED("10", "a", "r1", "1", "1.1") } },
	{ "request with an old fence, fences unchecked",
	    DH_PROMISE_SINGLE_OWNER, DH_VERDICT_HELD, NULL,
	    { UP_CHECKS("0", "a", "false"), GRANT("0", "a", "1", "1.1", "500"),
		GRANT("9", "a", "1", "2.1", "509"),
		KEYED("10", "a", "r1", "1", "1.1") } },
	{ "request with a later fence, fences unchecked",
	    DH_PROMISE_SINGLE_OWNER, DH_VERDICT_BROKEN, "t:3",
	    { UP_CHECKS("0", "a", "false"), GRANT("0", "a", "1", "1.1", "500"),
		KEYED("10", "a", "r1", "1", "2.1") } },
	{ "a lower grant after a higher one, fences unchecked",
	    DH_PROMISE_SINGLE_OWNER, DH_VERDICT_HELD, NULL,
	    { UP_CHECKS("1", "b1", "false"), GRANT("2", "b1", "0", "3.1", "50"),
		GRANT("3", "b1", "0", "2.1", "90"),
		KEYED("4", "b1", "r1", "0", "3.1"),
		KEYED("5", "b1", "r2", "0", "2.1") } },
	{ "the higher grant has ended, fences unchecked",
	    DH_PROMISE_SINGLE_OWNER, DH_VERDICT_BROKEN, "t:4",
	    { UP_CHECKS("1", "b1", "false"), GRANT("2", "b1", "0", "3.1", "50"),
		GRANT("3", "b1", "0", "2.1", "90"),
		KEYED("60", "b1", "r1", "0", "3.1") } },
	{ "the higher grant was released, fences unchecked",
	    DH_PROMISE_SINGLE_OWNER, DH_VERDICT_BROKEN, "t:5",
	    { UP_CHECKS("1", "b1", "false"), GRANT("2", "b1", "0", "3.1", "50"),
		RELEASE("3", "b1", "0"), GRANT("4", "b1", "0", "2.1", "90"),
		KEYED("5", "b1", "r1", "0", "3.1") } },
	{ "a lower grant after a higher one, fences checked",
	    DH_PROMISE_SINGLE_OWNER, DH_VERDICT_BROKEN, "t:4",
	    { UP_CHECKS("1", "b1", "true"), GRANT("2", "b1", "0", "3.1", "50"),
		GRANT("3", "b1", "0", "2.1", "90"),
		KEYED("4", "b1", "r1", "0", "3.1") } },
	{ "request without a lease, fences unchecked", DH_PROMISE_SINGLE_OWNER,
	    DH_VERDICT_BROKEN, "t:3",
	    { UP_CHECKS("0", "a", "false"), GRANT("0", "a", "1", "1.1", "500"),
		KEYED("500", "a", "r1", "1", "1.1") } },
	{ "two backend servers get the same fence", DH_PROMISE_SINGLE_OWNER,
	    DH_VERDICT_BROKEN, "t:2",
	    { GRANT("0", "a", "1", "1.1", "500"),
		GRANT("500", "b", "1", "1.1", "900") } },

	{ "assignments form a chain", DH_PROMISE_ASSIGNMENT_KEPT,
	    DH_VERDICT_HELD, NULL,
	    { ASSIGN("0", "v1", "a", "1.1", "0.0", STORE),
		ASSIGN("1", "v1", "b", "1.2", "1.1", PAIR),
		ASSIGN("2", "v2", "b", "2.1", "1.2", STORE),
		ASSIGN("3", "v2", "a", "2.3", "2.2", STORE) } },
	{ "both holders were killed", DH_PROMISE_ASSIGNMENT_KEPT,
	    DH_VERDICT_HELD, NULL,
	    { ASSIGN("0", "v1", "a", "1.1", "0.0", STORE),
		ASSIGN("1", "v1", "b", "1.2", "1.1", PAIR), DOWN("2", "v1"),
		DOWN("3", "v2"),
		ASSIGN("4", "v3", "a", "2.1", "1.1", STORE) } },
	{ "one holder was killed", DH_PROMISE_ASSIGNMENT_KEPT,
	    DH_VERDICT_BROKEN, "t:2",
	    { ASSIGN("0", "v1", "a", "1.1", "0.0", STORE),
		ASSIGN("1", "v1", "b", "1.2", "1.1", PAIR), DOWN("2", "v1"),
		ASSIGN("4", "v3", "a", "2.1", "1.1", STORE) } },
	{ "the store loses an assignment", DH_PROMISE_ASSIGNMENT_KEPT,
	    DH_VERDICT_BROKEN, "t:2",
	    { ASSIGN("0", "v1", "a", "1.1", "0.0", STORE),
		ASSIGN("1", "v1", "b", "1.2", "1.1", STORE), DOWN("2", "v1"),
		DOWN("3", "v2"),
		ASSIGN("4", "v3", "a", "2.1", "1.1", STORE) } },
	{ "a fence decreases", DH_PROMISE_ASSIGNMENT_KEPT, DH_VERDICT_BROKEN,
	    "t:2",
	    { ASSIGN("0", "v1", "a", "2.1", "0.0", STORE),
		ASSIGN("1", "v1", "b", "1.9", "2.1", STORE) } },

	{ "holders killed before the assignment", DH_PROMISE_ASSIGNMENT_KEPT,
	    DH_VERDICT_BROKEN, "t:3",
	    { DOWN("0", "v1"), DOWN("1", "v2"),
		ASSIGN("2", "v1", "b", "1.2", "1.1", PAIR),
		ASSIGN("4", "v3", "a", "2.1", "1.1", STORE) } },
	{ "a fence is below the one it replaces", DH_PROMISE_ASSIGNMENT_KEPT,
	    DH_VERDICT_BROKEN, "t:2",
	    { ASSIGN("0", "v1", "a", "1.1", "0.0", STORE),
		ASSIGN("1", "v1", "b", "2.4", "2.5", STORE) } },

	{ "answers out of order", DH_PROMISE_OWN_ANSWER, DH_VERDICT_HELD, NULL,
	    { SEND("0", "c1", "r1", "v1", "false"),
		SEND("1", "c2", "r2", "v1", "false"),
		ANSWER("2", "c2", "done", "200", "r2", "true"),
		ANSWER("3", "c1", "done", "200", "r1", "true"),
		SEND("4", "c3", "r3", "v1", "false"),
		ANSWER("5", "c3", "done", "200", "r3", "false") } },
	{ "answer of another request", DH_PROMISE_OWN_ANSWER, DH_VERDICT_BROKEN,
	    "t:3",
	    { SEND("0", "c1", "r1", "v1", "false"),
		SEND("1", "c2", "r2", "v1", "false"),
		ANSWER("2", "c2", "done", "200", "r1", "true") } },
	{ "answer of another request, same body", DH_PROMISE_OWN_ANSWER,
	    DH_VERDICT_BROKEN, "t:2",
	    { SEND("0", "c1", "r1", "v1", "false"),
		L("1", "caller", "answer",
		    ",\"call\":\"c1\",\"outcome\":\"done\",\"status\":200,"
		    "\"echo\":\"r2\",\"hash\":\"h-r1\",\"whole\":true") } },
	{ "truncated body taken as complete", DH_PROMISE_OWN_ANSWER,
	    DH_VERDICT_BROKEN, "t:2",
	    { SEND("0", "c1", "r1", "v1", "false"),
		L("1", "caller", "answer",
		    ",\"call\":\"c1\",\"outcome\":\"done\",\"status\":200,"
		    "\"echo\":\"r1\",\"hash\":\"short\",\"whole\":true") } },
	{ "report of an earlier execution", DH_PROMISE_OWN_ANSWER,
	    DH_VERDICT_HELD, NULL,
	    { SEND("1", "c1", "p", "v1", "true"),
		RUN("2", "b1", "c1", "p", "true"), NO_ANSWER("3", "c1"),
		SEND("4", "c2", "p", "v1", "true"),
		REPEATED("5", "c2", "p") } },
	{ "report of an execution that never was", DH_PROMISE_OWN_ANSWER,
	    DH_VERDICT_BROKEN, "t:2",
	    { SEND("1", "c1", "p", "v1", "true"), REPEATED("2", "c1", "p") } },
	{ "report of an earlier execution of another request",
	    DH_PROMISE_OWN_ANSWER, DH_VERDICT_BROKEN, "t:4",
	    { SEND("1", "c1", "p", "v1", "true"),
		SEND("2", "c2", "q", "v1", "true"),
		RUN("3", "b1", "c1", "p", "true"), REPEATED("4", "c1", "q") } },
	{ "two answers", DH_PROMISE_OWN_ANSWER, DH_VERDICT_BROKEN, "t:3",
	    { SEND("0", "c1", "r1", "v1", "false"),
		ANSWER("1", "c1", "done", "200", "r1", "true"),
		ANSWER("2", "c1", "done", "200", "r1", "true") } },

	{ "refused, then retried", DH_PROMISE_NOT_RUN, DH_VERDICT_HELD, NULL,
	    { SEND("0", "c1", "r1", "v1", "true"), REFUSAL("1", "c1"),
		SEND("2", "c2", "r1", "v2", "true"),
		RUN("3", "a", "c2", "r1", "true"),
		SEND("4", "c3", "r2", "v1", "false"),
		SEND("5", "c4", "r2", "v1", "false"), REFUSAL("6", "c3"),
		RUN("7", "a", "c4", "r2", "false") } },
	{ "refused after it ran", DH_PROMISE_NOT_RUN, DH_VERDICT_BROKEN, "t:2",
	    { SEND("0", "c1", "r1", "v1", "false"),
		RUN("1", "a", "c1", "r1", "false"), REFUSAL("2", "c1") } },
	{ "runs after the refusal", DH_PROMISE_NOT_RUN, DH_VERDICT_BROKEN,
	    "t:3",
	    { SEND("0", "c1", "r1", "v1", "false"), REFUSAL("1", "c1"),
		RUN("2", "a", "c1", "r1", "false") } },
	{ "runs untagged after the refusal", DH_PROMISE_NOT_RUN,
	    DH_VERDICT_BROKEN, "t:3",
	    { SEND("0", "c1", "r1", "v1", "false"), REFUSAL("1", "c1"),
		UNTAGGED("2", "a", "r1") } },
	{ "the first attempt runs after the second was refused",
	    DH_PROMISE_NOT_RUN, DH_VERDICT_BROKEN, "t:4",
	    { SEND("0", "c1", "r1", "v1", "true"),
		SEND("1", "c2", "r1", "v2", "true"), REFUSAL("2", "c2"),
		RUN("3", "a", "c1", "r1", "true") } },
	{ "the second attempt is refused after the first ran",
	    DH_PROMISE_NOT_RUN, DH_VERDICT_BROKEN, "t:2",
	    { SEND("0", "c1", "r1", "v1", "true"),
		RUN("1", "a", "c1", "r1", "true"),
		SEND("2", "c2", "r1", "v2", "true"), REFUSAL("3", "c2") } },

	{ "the second attempt is not sent after the first ran",
	    DH_PROMISE_NOT_RUN, DH_VERDICT_HELD, NULL,
	    { SEND("0", "c1", "r1", "v1", "true"),
		RUN("1", "a", "c1", "r1", "true"),
		SEND("2", "c2", "r1", "v2", "true"), UNSENT("3", "c2") } },
	{ "the second attempt is not sent, then the first runs",
	    DH_PROMISE_NOT_RUN, DH_VERDICT_HELD, NULL,
	    { SEND("0", "c1", "r1", "v1", "true"),
		SEND("1", "c2", "r1", "v2", "true"), UNSENT("2", "c2"),
		RUN("3", "a", "c1", "r1", "true") } },
	{ "reported as not sent after it ran", DH_PROMISE_NOT_RUN,
	    DH_VERDICT_BROKEN, "t:2",
	    { SEND("0", "c1", "r1", "v1", "true"),
		RUN("1", "a", "c1", "r1", "true"), UNSENT("2", "c1") } },
	{ "runs after it was reported as not sent", DH_PROMISE_NOT_RUN,
	    DH_VERDICT_BROKEN, "t:2",
	    { SEND("0", "c1", "r1", "v1", "true"), UNSENT("1", "c1"),
		RUN("2", "a", "c1", "r1", "true") } },
	{ "runs untagged after it was reported as not sent", DH_PROMISE_NOT_RUN,
	    DH_VERDICT_BROKEN, "t:2",
	    { SEND("0", "c1", "r1", "v1", "false"), UNSENT("1", "c1"),
		UNTAGGED("2", "a", "r1") } },
	{ "each unrepeatable request runs once", DH_PROMISE_AT_MOST_ONCE,
	    DH_VERDICT_HELD, NULL,
	    { SEND("0", "c1", "r1", "v1", "true"),
		RUN("1", "a", "c1", "r1", "true"),
		RUN("2", "a", "c9", "r2", "false"),
		RUN("3", "b", "c9", "r2", "false") } },
	{ "runs on two backend servers", DH_PROMISE_AT_MOST_ONCE,
	    DH_VERDICT_BROKEN, "t:1",
	    { RUN("1", "a", "c1", "r1", "true"),
		RUN("2", "b", "c2", "r1", "true") } },
	{ "runs twice on one, only the client says unrepeatable",
	    DH_PROMISE_AT_MOST_ONCE, DH_VERDICT_BROKEN, "t:3",
	    { SEND("0", "c1", "r1", "v1", "true"), UNTAGGED("1", "a", "r1"),
		UNTAGGED("2", "a", "r1") } },

	{ "drained in time", DH_PROMISE_DRAINED, DH_VERDICT_HELD, NULL,
	    { DRAIN("0", "a"), UNTAGGED("5000", "a", "r1"),
		UNTAGGED("6000", "b", "r2"), UNDRAIN("7000", "a"),
		UNTAGGED("8000", "a", "r3") } },
	{ "request after the drain", DH_PROMISE_DRAINED, DH_VERDICT_BROKEN,
	    "t:1", { DRAIN("0", "a"), UNTAGGED("5000.001", "a", "r1") } },
	{ "refused request after the drain", DH_PROMISE_DRAINED,
	    DH_VERDICT_BROKEN, "t:2",
	    { DRAIN("0", "a"),
		L("9000", "a", "refuse",
		    ",\"id\":\"r1\",\"reason\":\"draining\"") } },

	{ "calls finish before the shutdown", DH_PROMISE_CLEAN_STOP,
	    DH_VERDICT_HELD, NULL,
	    { SEND("0", "c1", "r1", "v1", "false"),
		SEND("0", "c2", "r2", "v2", "false"), STOP("1", "v1"),
		SEND("2", "c3", "r3", "v1", "false"), REFUSAL("2", "c3"),
		ANSWER("3", "c1", "done", "200", "r1", "true"),
		NO_ANSWER("4", "c2"), STOPPED("5", "v1") } },
	{ "the backend server was killed", DH_PROMISE_CLEAN_STOP,
	    DH_VERDICT_HELD, NULL,
	    { SEND("0", "c1", "r1", "v1", "false"),
		RUN("1", "a", "c1", "r1", "false"), STOP("2", "v1"),
		DOWN("3", "a"), NO_ANSWER("4", "c1"), STOPPED("5", "v1") } },
	{ "killed before the call was sent", DH_PROMISE_CLEAN_STOP,
	    DH_VERDICT_UNSEEN, NULL,
	    { UP("0", "v1"), STOP("1", "v1"), DOWN("2", "v1"),
		SEND("3", "c1", "r1", "v1", "false"), NO_ANSWER("4", "c1"),
		STOPPED("5", "v1") } },
	{ "restarted after a kill", DH_PROMISE_CLEAN_STOP, DH_VERDICT_BROKEN,
	    "t:4",
	    { DOWN("0", "v1"), UP("1", "v1"), STOP("2", "v1"),
		SEND("3", "c1", "r1", "v1", "false"), NO_ANSWER("4", "c1"),
		STOPPED("5", "v1") } },
	{ "cut off by the shutdown", DH_PROMISE_CLEAN_STOP, DH_VERDICT_BROKEN,
	    "t:2",
	    { SEND("0", "c1", "r1", "v1", "false"), STOP("1", "v1"),
		ANSWER("2", "c1", "done", "200", "r1", "false"),
		STOPPED("3", "v1") } },
	{ "accepted and dropped", DH_PROMISE_CLEAN_STOP, DH_VERDICT_BROKEN,
	    "t:1",
	    { STOP("0", "v1"), SEND("1", "c1", "r1", "v1", "false"),
		STOPPED("2", "v1"), NO_ANSWER("3", "c1") } },
	{ "never answered", DH_PROMISE_CLEAN_STOP, DH_VERDICT_BROKEN, "t:1",
	    { SEND("0", "c1", "r1", "v1", "false"), STOP("1", "v1"),
		STOPPED("2", "v1") } },

	{ "the shutdown is still in progress", DH_PROMISE_CLEAN_STOP,
	    DH_VERDICT_UNSEEN, NULL,
	    { SEND("0", "c1", "r1", "v1", "false"), STOP("1", "v1") } },

	{ "in force within the time limit", DH_PROMISE_CONFIG_KEPT,
	    DH_VERDICT_HELD, NULL,
	    { UP("0", "v1"), UP("0", "a"), ACCEPT("0", "1"),
		FORCE("10", "v1", "1"), ACCEPT("20", "2"),
		FAULT("30", "v1", "true"), FAULT("9000", "v1", "false"),
		FORCE("12000", "v1", "2"), UP("13000", "v1"),
		FORCE("13010", "v1", "2"), ACCEPT("20000", "2") } },
	{ "a VM is late", DH_PROMISE_CONFIG_KEPT, DH_VERDICT_BROKEN, "t:3",
	    { UP("0", "v1"), FORCE("1", "v1", "1"), ACCEPT("10", "2"),
		FORCE("4010.001", "v1", "2") } },
	{ "a VM returns to an older revision", DH_PROMISE_CONFIG_KEPT,
	    DH_VERDICT_BROKEN, "t:2",
	    { UP("0", "v1"), FORCE("1", "v1", "2"), FORCE("2", "v1", "1") } },
	{ "a new VM starts with an old revision", DH_PROMISE_CONFIG_KEPT,
	    DH_VERDICT_BROKEN, "t:1",
	    { ACCEPT("0", "2"), UP("9000", "v1"), FORCE("9001", "v1", "1"),
		FORCE("9002", "v1", "2") } },
};

static struct dh_history *
run(const char *const *lines, size_t n, uint32_t max_ids)
{
	struct dh_history_params p = dh_history_defaults();
	struct dh_history *h;
	struct dh_where at = { .file = "t", .line = 0 };
	struct dh_event ev;
	GError *error = NULL;

	p.max_ids = max_ids;
	h = dh_history_new(&p);
	for (; at.line < n && lines[at.line] != NULL;) {
		if (!dh_event_parse(
			&ev, lines[at.line], strlen(lines[at.line]), &error))
			g_error("%s: %s", lines[at.line], error->message);
		at.line++;
		dh_history_add(h, &ev, at);
		dh_event_clear(&ev);
	}
	dh_history_finish(h);
	return h;
}

static void
test_histories(void)
{
	const struct history_case *c;
	const struct dh_finding_list *f;
	struct dh_history *h;
	enum dh_verdict v;
	size_t i;

	for (i = 0; i < N(cases); i++) {
		c = &cases[i];
		h = run(c->lines, N(c->lines), 100);
		v = dh_history_verdict(h, c->promise);
		if (v != c->verdict)
			(void)printf("%s: %s\n", c->name, dh_verdict_name(v));
		CU_ASSERT_EQUAL(v, c->verdict);
		f = dh_history_findings(h, c->promise);
		if (c->verdict == DH_VERDICT_BROKEN && f->broken > 0)
			CU_ASSERT_PTR_NOT_NULL(
			    strstr(f->text[0], c->finding_text));
		if (c->verdict == DH_VERDICT_HELD && f->broken > 0)
			(void)printf("%s: %s\n", c->name, f->text[0]);
		dh_history_free(h);
	}
}

static void
test_each_promise_has_held_and_broken_cases(void)
{
	uint32_t good[DH_PROMISES] = { 0 }, bad[DH_PROMISES] = { 0 };
	size_t i;

	for (i = 0; i < N(cases); i++) {
		if (cases[i].verdict == DH_VERDICT_HELD)
			good[cases[i].promise]++;
		else if (cases[i].verdict == DH_VERDICT_BROKEN)
			bad[cases[i].promise]++;
	}
	for (i = 0; i < DH_PROMISES; i++) {
		CU_ASSERT(good[i] >= 1);
		CU_ASSERT(bad[i] >= 2);
	}
}

static void
test_empty_history_is_unseen(void)
{
	struct dh_history *h = run(NULL, 0, 1);
	int p;

	for (p = 0; p < DH_PROMISES; p++)
		CU_ASSERT_EQUAL(dh_history_verdict(h, (enum dh_promise)p),
		    DH_VERDICT_UNSEEN);
	dh_history_free(h);
}

static void
test_evicted_ids_are_counted(void)
{
	static const char *const lines[] = {
		RUN("1", "a", "c1", "r1", "true"),
		RUN("2", "a", "c2", "r2", "true"),
		RUN("3", "a", "c3", "r3", "true"),
		RUN("4", "a", "c4", "r1", "true"),
	};
	struct dh_history *h = run(lines, N(lines), 2);

	CU_ASSERT_EQUAL(dh_history_forgotten(h), 2);
	CU_ASSERT_EQUAL(
	    dh_history_verdict(h, DH_PROMISE_AT_MOST_ONCE), DH_VERDICT_PARTIAL);
	dh_history_free(h);
	h = run(lines, N(lines), 3);
	CU_ASSERT_EQUAL(
	    dh_history_verdict(h, DH_PROMISE_AT_MOST_ONCE), DH_VERDICT_BROKEN);
	dh_history_free(h);
}

static void
test_stored_findings_are_bounded(void)
{
	const char *lines[30];
	struct dh_history *h;
	const struct dh_finding_list *f;
	size_t i;

	for (i = 0; i < N(lines); i++)
		lines[i] = RUN("1", "a", "c", "r", "true");
	h = run(lines, N(lines), 10);
	f = dh_history_findings(h, DH_PROMISE_AT_MOST_ONCE);
	CU_ASSERT_EQUAL(f->broken, N(lines) - 1);
	CU_ASSERT_PTR_NOT_NULL(f->text[DH_HISTORY_FINDINGS_MAX - 1]);
	dh_history_free(h);
}

static void
test_invalid_lines_are_rejected(void)
{
	static const char *const lines[] = {
		"",
		"[]",
		"{\"t\":1,\"src\":\"a\"",
		L("1", "a", "no-such-kind", ""),
		L("\"1\"", "a", "up", ""),
		L("1", "a", "grant", ",\"group\":\"g\",\"slot\":1"),
		GRANT("1", "a", "-1", "1.1", "2"),
		GRANT("1", "a", "1", "11", "2"),
		GRANT("1", "a", "1", "1.1x", "2"),
		ANSWER("1", "c", "maybe", "200", "r", "true"),
		ASSIGN("1", "v", "a", "1.1", "0.0", "\"ram\""),
		ASSIGN("1", "v", "a", "1.1", "0.0", "\"pair\""),
	};
	GError *error = NULL;
	struct dh_event ev;
	size_t i;

	for (i = 0; i < N(lines); i++) {
		CU_ASSERT_FALSE(
		    dh_event_parse(&ev, lines[i], strlen(lines[i]), &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		g_clear_error(&error);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "histories", test_histories },
		{ "each promise held and broken",
		    test_each_promise_has_held_and_broken_cases },
		{ "empty history", test_empty_history_is_unseen },
		{ "evicted ids", test_evicted_ids_are_counted },
		{ "stored findings", test_stored_findings_are_bounded },
		{ "invalid lines", test_invalid_lines_are_rejected },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("history", tests);
}
