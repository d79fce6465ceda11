#include "base/eventlog.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

#include "base/clock.h"

struct dh_eventlog {
	int fd;
	char *source;
};

struct dh_eventlog *
dh_eventlog_open(const char *path, const char *source)
{
	struct dh_eventlog *log;
	int fd;

	if (path == NULL)
		return NULL;
	fd = open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
	if (fd < 0) {
		perror(path);
		return NULL;
	}
	log = g_new0(struct dh_eventlog, 1);
	log->fd = fd;
	log->source = g_strdup(source);
	return log;
}

void
dh_eventlog_close(struct dh_eventlog *log)
{
	if (log == NULL)
		return;
	(void)close(log->fd);
	g_free(log->source);
	g_free(log);
}

void
dh_eventlog_add(struct dh_eventlog *log, const char *ev, const char *fmt, ...)
{
	GString *line;
	va_list ap;

	if (log == NULL)
		return;
	line = g_string_new(NULL);
	g_string_printf(line, "{\"t\":%.3f,\"src\":\"%s\",\"ev\":\"%s\"",
	    (double)dh_clock_us() / 1000.0, log->source, ev);
	va_start(ap, fmt);
	g_string_append_vprintf(line, fmt, ap);
	va_end(ap);
	g_string_append(line, "}\n");
	if (write(log->fd, line->str, line->len) < 0)
		perror("history");
	g_string_free(line, TRUE);
}
