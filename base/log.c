#include "base/log.h"

#include <stdarg.h>

#include <log4c.h>

static log4c_category_t *category;

static int
priority_of(enum dh_log_level level)
{
	switch (level) {
	case DH_LOG_ERROR:
		return LOG4C_PRIORITY_ERROR;
	case DH_LOG_WARN:
		return LOG4C_PRIORITY_WARN;
	case DH_LOG_INFO:
		return LOG4C_PRIORITY_INFO;
	case DH_LOG_DEBUG:
		return LOG4C_PRIORITY_DEBUG;
	}
	g_assert_not_reached();
}

void
dh_log_open(const char *program, enum dh_log_level level)
{
	log4c_appender_t *out;

	(void)log4c_init();
	category = log4c_category_get(program);
	out = log4c_appender_get("stderr");
	log4c_appender_set_layout(out, log4c_layout_get("dated"));
	log4c_category_set_appender(category, out);
	log4c_category_set_priority(category, priority_of(level));
}

void
dh_log(enum dh_log_level level, const char *event, const char *fmt, ...)
{
	g_autofree char *text = NULL;
	va_list ap;

	if (category == NULL)
		return;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	log4c_category_log(
	    category, priority_of(level), "event=%s %s", event, text);
}
