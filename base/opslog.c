#include "base/opslog.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>

#include "base/clock.h"
#include "base/counter.h"

/* At most PIPE_BUF, so that a pipe accepts a line entirely or not at all. */
#define LINE_MAX_BYTES 2048
#define STATE_FACTOR 4

static struct {
	int fd;
	char vm[64];
	uint32_t lines_per_s;
	uint64_t second; /* wall-clock second that used[] refers to */
	uint32_t used[DH_OPS_CLASSES]; /* lines offered in it, by class */
	uint64_t left_out; /* lines dropped so far */
	uint64_t reported; /* value of left_out in the last log.left_out line */
} log_state = { .fd = -1 };

void
dh_opslog_open(int fd, const char *vm, uint32_t lines_per_s)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags < 0 || fcntl(fd, F_SETFL, flags | O_NONBLOCK) < 0)
		perror("dogwoodhub: standard output");
	log_state.fd = fd;
	log_state.lines_per_s = lines_per_s;
	(void)g_strlcpy(log_state.vm, vm, sizeof(log_state.vm));
}

uint64_t
dh_opslog_dropped(void)
{
	return ck_pr_load_64(&log_state.left_out);
}

const char *
dh_opslog_quote(char *buf, size_t size, const char *text)
{
	size_t n = 0;

	buf[n++] = '"';
	for (; *text != '\0' && n + 4 < size; text++) {
		if (*text == '"' || *text == '\\')
			buf[n++] = '\\';
		buf[n++] = (unsigned char)*text < 0x20 ? '?' : *text;
	}
	buf[n++] = '"';
	buf[n] = '\0';
	return buf;
}

/* Counts a line of this class.  Returns whether it is within the limit. */
static bool
within_limit(enum dh_ops_class class, uint64_t second)
{
	uint32_t limit = class == DH_OPS_STATE
	    ? log_state.lines_per_s * STATE_FACTOR
	    : log_state.lines_per_s;
	int i;

	if (ck_pr_load_64(&log_state.second) != second) {
		ck_pr_store_64(&log_state.second, second);
		for (i = 0; i < DH_OPS_CLASSES; i++)
			ck_pr_store_32(&log_state.used[i], 0);
	}
	return ck_pr_faa_32(&log_state.used[class], 1) < limit;
}

static void
write_line(const char *line, size_t len)
{
	ssize_t n;

	do
		n = write(log_state.fd, line, len);
	while (n < 0 && errno == EINTR);
	if (n != (ssize_t)len)
		ck_pr_inc_64(&log_state.left_out);
}

static void
report_left_out(double t)
{
	uint64_t n = ck_pr_load_64(&log_state.left_out);
	char line[256];
	int len;

	if (n == ck_pr_load_64(&log_state.reported))
		return;
	ck_pr_store_64(&log_state.reported, n);
	len = snprintf(line, sizeof(line),
	    "{\"t\":%.3f,\"vm\":\"%s\",\"ev\":\"log.left_out\",\"lines\":%llu}"
	    "\n",
	    t, log_state.vm, (unsigned long long)n);
	write_line(line, (size_t)len);
}

void
dh_opslog_add(enum dh_ops_class class, const char *event, const char *fmt, ...)
{
	double t = (double)dh_clock_wall_ms() / 1000.0;
	char line[LINE_MAX_BYTES];
	va_list ap;
	int n, more;

	if (log_state.fd < 0)
		return;
	if (!within_limit(class, (uint64_t)t)) {
		ck_pr_inc_64(&log_state.left_out);
		return;
	}
	report_left_out(t);
	n = snprintf(line, sizeof(line),
	    "{\"t\":%.3f,\"vm\":\"%s\",\"ev\":\"%s\"", t, log_state.vm, event);
	va_start(ap, fmt);
	more = vsnprintf(line + n, sizeof(line) - (size_t)n, fmt, ap);
	va_end(ap);
	n += more;
	if (n + 3 > (int)sizeof(line)) {
		ck_pr_inc_64(&log_state.left_out);
		return;
	}
	line[n++] = '}';
	line[n++] = '\n';
	write_line(line, (size_t)n);
}
