#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "check/history.h"

/* Checks the history in the event logs of a run; see docs/HISTORY.md. */

#define EXIT_BROKEN 1
#define EXIT_BAD_INPUT 2

enum { OPT_DRAIN = 256, OPT_CONFIG, OPT_MAX_IDS, OPT_NEED };

struct options {
	struct dh_history_params params;
	bool need[DH_PROMISES];
	char **files;
	int nfiles;
};

/* A log file and its next event. */
struct source {
	const char *name;
	FILE *f;
	char *line;
	size_t size;
	uint32_t number;
	struct dh_event ev;
	bool ended;
};

static const struct argp_option argp_options[] = {
	{ "drain-ms", OPT_DRAIN, "N", 0,
	    "time in which a leaving backend server may still get work", 0 },
	{ "config-ms", OPT_CONFIG, "N", 0,
	    "time in which an accepted revision must be in force", 0 },
	{ "max-ids", OPT_MAX_IDS, "N", 0, "request ids remembered", 0 },
	{ "need", OPT_NEED, "PROMISE", 0,
	    "fail if this promise is unseen or partial", 0 },
	{ 0 },
};

static int64_t
number(const char *arg, struct argp_state *state, int64_t max)
{
	char *end;
	int64_t n;

	errno = 0;
	n = strtoll(arg, &end, 10);
	if (errno != 0 || end == arg || *end != '\0' || n < 1 || n > max)
		argp_error(
		    state, "not a number from 1 to %" PRId64 ": %s", max, arg);
	return n;
}

static void
need(struct options *op, const char *arg, struct argp_state *state)
{
	int p;

	for (p = 0; p < DH_PROMISES; p++) {
		if (strcmp(arg, dh_promise_name((enum dh_promise)p)) != 0)
			continue;
		op->need[p] = true;
		return;
	}
	argp_error(state, "no such promise: %s", arg);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *op = state->input;

	switch (key) {
	case OPT_DRAIN:
		op->params.drain_ms = number(arg, state, INT32_MAX);
		return 0;
	case OPT_CONFIG:
		op->params.config_ms = number(arg, state, INT32_MAX);
		return 0;
	case OPT_MAX_IDS:
		op->params.max_ids = (uint32_t)number(arg, state, INT32_MAX);
		return 0;
	case OPT_NEED:
		need(op, arg, state);
		return 0;
	case ARGP_KEY_ARGS:
		op->files = state->argv + state->next;
		op->nfiles = state->argc - state->next;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
bad_input(const struct source *s, const char *why)
{
	(void)fprintf(
	    stderr, "dhcheck: %s:%" PRIu32 ": %s\n", s->name, s->number, why);
	exit(EXIT_BAD_INPUT);
}

/* Reads the next event.  A last line without newline may be incomplete. */
static void
next_event(struct source *s)
{
	g_autoptr(GError) error = NULL;
	int64_t before_us = s->ev.json == NULL ? INT64_MIN : s->ev.t_us;
	ssize_t n;
	bool torn;

	dh_event_clear(&s->ev);
	n = getline(&s->line, &s->size, s->f);
	if (n < 0) {
		if (ferror(s->f))
			bad_input(s, strerror(errno));
		s->ended = true;
		return;
	}
	s->number++;
	torn = s->line[n - 1] != '\n';
	if (!torn)
		n--;
	if (dh_event_parse(&s->ev, s->line, (size_t)n, &error)) {
		if (s->ev.t_us < before_us)
			bad_input(s, "time falls");
		return;
	}
	if (!torn)
		bad_input(s, error->message);
	(void)printf("%s:%" PRIu32 ": torn line dropped\n", s->name, s->number);
	s->ended = true;
}

static struct source *
earliest(struct source *list, int n)
{
	struct source *found = NULL;
	int i;

	for (i = 0; i < n; i++) {
		if (list[i].ended)
			continue;
		if (found == NULL || list[i].ev.t_us < found->ev.t_us)
			found = &list[i];
	}
	return found;
}

static void
read_all(struct dh_history *h, const struct options *op)
{
	struct source *list = g_new0(struct source, (gsize)op->nfiles);
	struct source *s;
	int i;

	for (i = 0; i < op->nfiles; i++) {
		list[i].name = op->files[i];
		list[i].f = fopen(op->files[i], "re");
		if (list[i].f == NULL)
			bad_input(&list[i], strerror(errno));
		next_event(&list[i]);
	}
	s = earliest(list, op->nfiles);
	while (s != NULL) {
		struct dh_where at = { .file = s->name, .line = s->number };

		dh_history_add(h, &s->ev, at);
		next_event(s);
		s = earliest(list, op->nfiles);
	}
	dh_history_finish(h);
	for (i = 0; i < op->nfiles; i++) {
		(void)fclose(list[i].f);
		free(list[i].line);
	}
	g_free(list);
}

static bool
report(const struct dh_history *h, enum dh_promise p, bool needed)
{
	const struct dh_finding_list *f = dh_history_findings(h, p);
	enum dh_verdict v = dh_history_verdict(h, p);
	size_t i;

	(void)printf("%-16s %-8s checked %" PRIu64 ", broken %" PRIu64 "\n",
	    dh_promise_name(p), dh_verdict_name(v), f->checked, f->broken);
	for (i = 0; i < DH_HISTORY_FINDINGS_MAX && f->text[i] != NULL; i++)
		(void)printf("    %s\n", f->text[i]);
	return v != DH_VERDICT_BROKEN && (v == DH_VERDICT_HELD || !needed);
}

int
main(int argc, char **argv)
{
	const struct argp argp = {
		.options = argp_options,
		.parser = parse_option,
		.args_doc = "FILE...",
		.doc = "Check the history of a run against the promises.",
	};
	struct options op = { .params = dh_history_defaults() };
	struct dh_history *h;
	bool ok = true;
	int p;

	if (argp_parse(&argp, argc, argv, 0, NULL, &op) != 0)
		return EXIT_BAD_INPUT;
	h = dh_history_new(&op.params);
	read_all(h, &op);
	for (p = 0; p < DH_PROMISES; p++)
		ok &= report(h, (enum dh_promise)p, op.need[p]);
	if (dh_history_forgotten(h) > 0)
		(void)printf("%" PRIu64 " request ids were forgotten\n",
		    dh_history_forgotten(h));
	dh_history_free(h);
	return ok ? EXIT_SUCCESS : EXIT_BROKEN;
}
