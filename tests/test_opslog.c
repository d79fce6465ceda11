#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <json.h>

#include "base/clock.h"
#include "base/opslog.h"
#include "tests/cunit_main.h"

#define LINES_PER_S 20

static int fds[2];

static size_t
drain(char *buf, size_t size)
{
	ssize_t n, at = 0;

	(void)fcntl(fds[0], F_SETFL, O_NONBLOCK);
	while ((n = read(fds[0], buf + at, size - 1 - (size_t)at)) > 0)
		at += n;
	buf[at] = '\0';
	return (size_t)at;
}

static int
count_lines(char *text)
{
	char *line, *rest = text;
	int n = 0;

	while ((line = strsep(&rest, "\n")) != NULL && rest != NULL) {
		struct json_object *o = json_tokener_parse(line);

		CU_ASSERT_PTR_NOT_NULL(o);
		json_object_put(o);
		n++;
	}
	return n;
}

/* Waits for the start of a second, so that the following lines share one
 * second's limit. */
static void
wait_for_second_start(void)
{
	while (dh_clock_wall_ms() % 1000 > 100)
		(void)usleep(1000);
}

static void
test_limit_and_count_of_dropped_lines(void)
{
	static char buf[1 << 20];
	char text[64];
	uint64_t before = dh_opslog_dropped();
	int i;

	wait_for_second_start();
	for (i = 0; i < 10 * LINES_PER_S; i++)
		dh_opslog_add(DH_OPS_REQUEST, "request.end",
		    ",\"id\":%s,\"n\":%d",
		    dh_opslog_quote(text, sizeof(text), "a\"\\\nb"), i);
	dh_opslog_add(DH_OPS_STATE, "leader.lost", ",\"term\":%d", 3);
	CU_ASSERT_EQUAL(
	    dh_opslog_dropped() - before, UINT64_C(9) * LINES_PER_S);
	(void)drain(buf, sizeof(buf));
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "\"ev\":\"leader.lost\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "\"ev\":\"log.left_out\""));
	CU_ASSERT_EQUAL(count_lines(buf), LINES_PER_S + 2);
}

/* When nobody reads the pipe, no call blocks, and lines that do not fit are
 * counted. */
static void
test_stalled_reader_blocks_nothing(void)
{
	static char buf[1 << 21];
	char pad[1024];
	uint64_t before = dh_opslog_dropped();
	int64_t began;
	int i, rounds;

	memset(pad, 'x', sizeof(pad) - 1);
	pad[sizeof(pad) - 1] = '\0';
	began = dh_clock_ms();
	for (rounds = 0; rounds < 3; rounds++) {
		for (i = 0; i < 4 * LINES_PER_S; i++)
			dh_opslog_add(DH_OPS_STATE, "server.changed",
			    ",\"pad\":\"%s\"", pad);
		(void)usleep(1000 * 1000);
	}
	CU_ASSERT_TRUE(dh_clock_ms() - began < 3500);
	CU_ASSERT_TRUE(dh_opslog_dropped() > before);
	(void)drain(buf, sizeof(buf));
	/* count_lines() asserts that each line is complete. */
	CU_ASSERT_TRUE(count_lines(buf) > 10);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "line limit", test_limit_and_count_of_dropped_lines },
		{ "stalled reader", test_stalled_reader_blocks_nothing },
		CU_TEST_INFO_NULL,
	};

	if (pipe(fds) != 0)
		return EXIT_FAILURE;
	dh_opslog_open(fds[1], "vm-1", LINES_PER_S);
	return cunit_main("opslog", tests);
}
