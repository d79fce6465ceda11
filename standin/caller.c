/*
 * Clients of gateways for soak tests.  Each client keeps its connection, sends
 * one request at a time and checks the answer, with the help of the platform's
 * stand-in where the answer alone is not enough.  A violation prints a line
 * "BROKEN ..." and makes the exit status 1.
 *
 * usage: caller MS SEED PLATFORM_PORT EXCUSES IP:PORT...
 * EXCUSES is a directory.  Its file K, if any, tells when gateway K, counted
 * from 1, was killed or stopped by a signal and when it ran again: two wall
 * clock times in ms, the second of them 0 while the gateway does not run.
 *
 * The last lines are "second N done refused unknown lost" and "sum ...".
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <http_parser.h>

#include <dogwoodhub/rng.h>

#include "base/clock.h"

#define CALLERS 4 /* number for each gateway */
#define GATEWAYS_MAX 64
#define SECONDS_MAX 7200
#define DEADLINE_MS 2000
/* Time after the deadline within which the final answer must arrive. */
#define ANSWER_SLACK_MS 3000
#define THINK_MS 40UL
/* One in AGAIN_SHARE repeatable requests is given up, or its answer lost,
 * within GIVE_UP_MS, and sent again under its id. */
#define AGAIN_SHARE 8
#define GIVE_UP_MS 60
#define KEYS 65536

enum result { DONE, REFUSED, UNKNOWN, LOST, RESULTS };

static const char *const names[RESULTS] = { "done", "refused", "unknown",
	"lost" };

struct caller {
	pthread_t thread;
	int gateway; /* index in gateways */
	struct dh_rng rng;
	int fd; /* -1: no connection */
	uint32_t sent;
};

struct answer {
	int status; /* 0: no status yet */
	GString *body;
	char field[64], id[64], stamp[96];
	bool whole, retry_after, in_value;
};

static struct sockaddr_in gateways[GATEWAYS_MAX], platform;
static const char *disruptions_dir;
static int64_t end_ms, begin_ms, begin_wall_ms;
static uint64_t run_seed;
static uint32_t counts[SECONDS_MAX][RESULTS];
static uint32_t broken;

static void
report_violation(const char *what, const char *id, const struct caller *c)
{
	printf("BROKEN %s: request %s through gateway %d at %lld\n", what, id,
	    c->gateway + 1, (long long)dh_clock_wall_ms());
	(void)fflush(stdout);
	(void)__atomic_add_fetch(&broken, 1, __ATOMIC_RELAXED);
}

/* Returns whether the gateway was killed or stopped after since_wall_ms. */
static bool
was_disrupted(int gateway, int64_t since_wall_ms)
{
	g_autofree char *path =
	    g_strdup_printf("%s/%d", disruptions_dir, gateway + 1);
	g_autofree char *text = NULL;
	long long from = 0, to = 0;

	if (!g_file_get_contents(path, &text, NULL, NULL) ||
	    sscanf(text, "%lld %lld", &from, &to) != 2)
		return false;
	return to == 0 || to >= since_wall_ms;
}

static int
on_field(http_parser *p, const char *at, size_t n)
{
	struct answer *a = p->data;

	if (a->in_value)
		a->field[0] = '\0';
	a->in_value = false;
	if (strlen(a->field) + n < sizeof(a->field))
		strncat(a->field, at, n);
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t n)
{
	struct answer *a = p->data;

	a->in_value = true;
	if (g_ascii_strcasecmp(a->field, "X-Dogwoodhub-Request-Id") == 0 &&
	    strlen(a->id) + n < sizeof(a->id))
		strncat(a->id, at, n);
	if (g_ascii_strcasecmp(a->field, "X-Dogwoodhub-Server-Stamp") == 0 &&
	    strlen(a->stamp) + n < sizeof(a->stamp))
		strncat(a->stamp, at, n);
	if (g_ascii_strcasecmp(a->field, "Retry-After") == 0)
		a->retry_after = true;
	return 0;
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
	g_string_append_len(((struct answer *)p->data)->body, at, (gssize)n);
	return 0;
}

static int
on_complete(http_parser *p)
{
	struct answer *a = p->data;

	a->whole = true;
	a->status = (int)p->status_code;
	return 0;
}

static int
connect_to(const struct sockaddr_in *to)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd >= 0 &&
	    connect(fd, (const struct sockaddr *)to, sizeof(*to)) == 0)
		return fd;
	if (fd >= 0)
		(void)close(fd);
	return -1;
}

static bool
send_all(int fd, const GString *text)
{
	size_t at = 0;
	ssize_t n;

	while (at < text->len) {
		n = send(fd, text->str + at, text->len - at, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		at += (size_t)n;
	}
	return true;
}

/*
 * Reads one answer.  Returns false if it did not arrive in time.  Sets *keep if
 * the connection can be reused.
 */
static bool
read_answer(int fd, struct answer *a, int64_t until_ms, bool *keep)
{
	http_parser_settings settings;
	http_parser parser;
	char buf[4096];
	struct pollfd pfd = { .fd = fd, .events = POLLIN };
	int64_t left_ms;
	ssize_t n;

	http_parser_settings_init(&settings);
	settings.on_header_field = on_field;
	settings.on_header_value = on_value;
	settings.on_body = on_body;
	settings.on_message_complete = on_complete;
	http_parser_init(&parser, HTTP_RESPONSE);
	parser.data = a;
	*keep = false;
	while (!a->whole) {
		left_ms = until_ms - dh_clock_ms();
		if (left_ms <= 0 || poll(&pfd, 1, (int)left_ms) == 0)
			return false;
		n = recv(fd, buf, sizeof(buf), 0);
		if (n <= 0)
			return true;
		if (http_parser_execute(&parser, &settings, buf, (size_t)n) !=
		    (size_t)n)
			return true;
	}
	*keep = http_should_keep_alive(&parser) != 0;
	return true;
}

/* Sends a control call to the platform; returns whether its answer has text. */
static bool
ask_platform(const char *path, const char *text)
{
	g_autoptr(GString) call = g_string_new(NULL);
	struct answer a = { .body = g_string_new(NULL) };
	int fd = connect_to(&platform);
	bool keep, has;

	g_string_printf(call,
	    "GET %s HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n", path);
	if (fd < 0 || !send_all(fd, call) ||
	    !read_answer(fd, &a, dh_clock_ms() + DEADLINE_MS, &keep) ||
	    a.status != 200) {
		fprintf(stderr, "caller: the platform does not answer\n");
		exit(2);
	}
	has = strstr(a.body->str, text) != NULL;
	g_string_free(a.body, TRUE);
	(void)close(fd);
	return has;
}

static void
count(enum result r)
{
	int64_t second = (dh_clock_ms() - begin_ms) / 1000;

	if (second >= 0 && second < SECONDS_MAX)
		(void)__atomic_add_fetch(
		    &counts[second][r], 1, __ATOMIC_RELAXED);
}

/* The stamp ends with the number of the run. */
static void
check_done(
    const struct caller *c, const struct answer *a, const char *id, int attempt)
{
	g_autofree char *stamp = g_strdup_printf("s-%s-", id);
	g_autofree char *body = g_strdup_printf(
	    "body of %s, attempt %d, run %s", id, attempt,
	    g_str_has_prefix(a->stamp, stamp) ? a->stamp + strlen(stamp) : "");

	if (strcmp(a->id, id) != 0 || !g_str_has_prefix(a->stamp, stamp) ||
	    strcmp(a->body->str, body) != 0)
		report_violation("not its own whole answer", id, c);
}

/* A refusal promises that the request has not run and will not run. */
static void
check_refused(const struct caller *c, const struct answer *a, const char *id,
    bool repeatable)
{
	g_autofree char *path = g_strdup_printf("/_refused?id=%s", id);

	if ((a->status == 503 || a->status == 429) && !a->retry_after)
		report_violation("refused without a time to come back", id, c);
	if (!repeatable)
		(void)ask_platform(path, "");
}

static void
check_answer(const struct caller *c, const struct answer *a, const char *id,
    bool repeatable, int attempt)
{
	switch (a->status) {
	case 200:
		check_done(c, a, id, attempt);
		count(DONE);
		return;
	case 408:
	case 421:
	case 429:
	case 503:
		check_refused(c, a, id, repeatable);
		count(REFUSED);
		return;
	case 500:
	case 502:
	case 504:
		count(UNKNOWN);
		return;
	default:
		report_violation("a proper request was denied", id, c);
		count(UNKNOWN);
		return;
	}
}

/* Checks a call that was not answered; closed: its connection ended. */
static void
check_unanswered(const struct caller *c, const char *id, int attempt,
    int64_t sent_wall_ms, bool closed)
{
	g_autofree char *path = g_strdup_printf("/_seen?id=%s-%d", id, attempt);
	bool disrupted = was_disrupted(c->gateway, sent_wall_ms);

	/* A request that crosses an orderly close was not forwarded. */
	if (closed && !disrupted && ask_platform(path, "\"seen\":true"))
		report_violation(
		    "passed on and closed without an answer", id, c);
	if (!closed && !disrupted)
		report_violation("no answer", id, c);
	else
		count(LOST);
}

static void
disconnect(struct caller *c)
{
	(void)close(c->fd);
	c->fd = -1;
}

/* Sends a request once.  give_up_ms: 0, or the time after which the caller
 * disconnects without an answer, which is not counted. */
static void
ask_gateway(struct caller *c, const char *id, const char *line, uint64_t key,
    int attempt, int64_t give_up_ms)
{
	struct answer a = { .body = g_string_new(NULL) };
	g_autoptr(GString) text = g_string_new(NULL);
	bool repeatable = line[0] == 'G', keep = false, answered;
	int64_t now_ms = dh_clock_ms(), now_wall_ms = dh_clock_wall_ms();
	int64_t wait_ms =
	    give_up_ms > 0 ? give_up_ms : DEADLINE_MS + ANSWER_SLACK_MS;

	g_string_printf(text,
	    "%s HTTP/1.1\r\nHost: h.example\r\n"
	    "X-Dogwoodhub-Request-Id: %s\r\nX-Dogwoodhub-Deadline-Ms: %d\r\n"
	    "X-Dogwoodhub-Shard-Key: %u\r\nSoak-Attempt: %d\r\n"
	    "Content-Length: 0\r\n\r\n",
	    line, id, DEADLINE_MS, (unsigned int)key, attempt);
	if (c->fd < 0)
		c->fd = connect_to(&gateways[c->gateway]);
	if (c->fd < 0) {
		/* The gateway does not run. */
		count(LOST);
		g_string_free(a.body, TRUE);
		g_usleep(100000);
		return;
	}
	answered = send_all(c->fd, text) &&
	    read_answer(c->fd, &a, now_ms + wait_ms, &keep);
	if (answered && a.whole)
		check_answer(c, &a, id, repeatable, attempt);
	else if (give_up_ms == 0 || dh_clock_ms() < now_ms + give_up_ms)
		check_unanswered(c, id, attempt, now_wall_ms,
		    answered || dh_clock_ms() < now_ms + DEADLINE_MS);
	if (!keep || give_up_ms > 0)
		disconnect(c);
	g_string_free(a.body, TRUE);
}

static void
call_once(struct caller *c)
{
	bool repeatable = dh_rng_below(&c->rng, 4) != 0;
	bool again = repeatable && dh_rng_below(&c->rng, AGAIN_SHARE) == 0;
	const char *line = repeatable ? "GET /r/" : "POST /w/";
	uint64_t key;
	char id[64];

	g_snprintf(id, sizeof(id), "c%llx-%d-%llx-%u",
	    (unsigned long long)run_seed, c->gateway,
	    (unsigned long long)c->rng.state, ++c->sent);
	key = dh_rng_below(&c->rng, KEYS);
	if (again)
		ask_gateway(c, id, line, key, 1,
		    1 + (int64_t)dh_rng_below(&c->rng, GIVE_UP_MS));
	ask_gateway(c, id, line, key, again ? 2 : 1, 0);
}

static void *
run(void *arg)
{
	struct caller *c = arg;

	while (dh_clock_ms() < end_ms) {
		call_once(c);
		g_usleep((gulong)dh_rng_below(&c->rng, THINK_MS * 1000));
	}
	if (c->fd >= 0)
		(void)close(c->fd);
	return NULL;
}

static bool
parse_address(const char *text, struct sockaddr_in *to)
{
	g_auto(GStrv) part = g_strsplit(text, ":", 2);

	if (g_strv_length(part) != 2)
		return false;
	to->sin_family = AF_INET;
	to->sin_port = htons((uint16_t)atoi(part[1]));
	return inet_pton(AF_INET, part[0], &to->sin_addr) == 1;
}

static void
print_counts(void)
{
	uint32_t sum[RESULTS] = { 0 };
	int64_t second, seconds = (dh_clock_ms() - begin_ms) / 1000 + 1;
	int r;

	for (second = 0; second < seconds && second < SECONDS_MAX; second++) {
		printf("second %lld", (long long)second);
		for (r = 0; r < RESULTS; r++) {
			printf(" %u", counts[second][r]);
			sum[r] += counts[second][r];
		}
		printf("\n");
	}
	printf("sum");
	for (r = 0; r < RESULTS; r++)
		printf(" %s %u", names[r], sum[r]);
	printf(" broken %u\n", broken);
}

int
main(int argc, char **argv)
{
	struct caller *callers;
	g_autofree char *at = NULL;
	int i, n;

	if (argc < 6 || argc - 5 > GATEWAYS_MAX) {
		fprintf(stderr,
		    "usage: caller MS SEED PLATFORM_PORT EXCUSES IP:PORT...\n");
		return 2;
	}
	(void)signal(SIGPIPE, SIG_IGN);
	run_seed = g_ascii_strtoull(argv[2], NULL, 10);
	at = g_strdup_printf("127.0.0.1:%s", argv[3]);
	disruptions_dir = argv[4];
	n = (argc - 5) * CALLERS;
	for (i = 5; i < argc; i++)
		if (!parse_address(argv[i], &gateways[i - 5]))
			return 2;
	if (!parse_address(at, &platform))
		return 2;
	callers = g_new0(struct caller, (size_t)n);
	begin_ms = dh_clock_ms();
	begin_wall_ms = dh_clock_wall_ms();
	end_ms = begin_ms + atoll(argv[1]);
	printf("begin %lld\n", (long long)begin_wall_ms);
	for (i = 0; i < n; i++) {
		callers[i].gateway = i / CALLERS;
		callers[i].fd = -1;
		callers[i].rng.state = run_seed * 1000 + (uint64_t)i;
		if (pthread_create(
			&callers[i].thread, NULL, run, &callers[i]) != 0)
			return 2;
	}
	for (i = 0; i < n; i++)
		(void)pthread_join(callers[i].thread, NULL);
	g_free(callers);
	print_counts();
	return broken > 0 ? 1 : 0;
}
