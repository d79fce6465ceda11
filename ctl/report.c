#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "config/assemble.h"
#include "ctl/ctl.h"
#include "report/burn.h"

#define KEEP_MS (INT64_C(31) * 24 * 3600 * 1000)

enum form { FORM_TEXT, FORM_JSON, FORM_HTML };

struct options {
	const char *history; /* path of the file of samples; NULL: none */
	unsigned int rounds;
	unsigned int interval_s;
	enum form form;
};

enum {
	KEY_HISTORY = 'f',
	KEY_ROUNDS = 'n',
	KEY_INTERVAL = 'i',
	KEY_HTML = 'w'
};

static const struct argp_option option_list[] = {
	{ "history", KEY_HISTORY, "FILE", 0,
	    "add to the samples in FILE, and report on them all", 0 },
	{ "rounds", KEY_ROUNDS, "N", 0,
	    "rounds of samples now (1; 2 without --history)", 0 },
	{ "interval-s", KEY_INTERVAL, "S", 0, "seconds between rounds (10)",
	    0 },
	{ "html", KEY_HTML, NULL, 0, "one page with plots", 0 },
	{ 0 },
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case KEY_HISTORY:
		o->history = arg;
		return 0;
	case KEY_ROUNDS:
		o->rounds = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case KEY_INTERVAL:
		o->interval_s = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case KEY_HTML:
		o->form = FORM_HTML;
		return 0;
	case ARGP_KEY_ARG:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
load_history(GPtrArray *samples, const char *path)
{
	int64_t from_ms = dh_clock_wall_ms() - KEEP_MS;
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	struct dh_sample *s;
	size_t i;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		s = *lines[i] == '\0' ? NULL : dh_sample_parse(lines[i]);
		if (s != NULL && s->wall_ms >= from_ms)
			g_ptr_array_add(samples, s);
		else
			dh_sample_free(s);
	}
}

/* Appends a round with a single write(), so that the lines of concurrent
 * commands don't interleave. */
static bool
append_history(const char *path, const GPtrArray *samples, guint from)
{
	g_autoptr(GString) out = g_string_new(NULL);
	int fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	bool ok;
	guint i;

	for (i = from; i < samples->len; i++) {
		g_autofree char *line = dh_sample_print(samples->pdata[i]);

		g_string_append_printf(out, "%s\n", line);
	}
	ok = fd >= 0 && write(fd, out->str, out->len) == (ssize_t)out->len;
	if (fd >= 0 && close(fd) != 0)
		ok = false;
	if (!ok)
		(void)fprintf(stderr, "dogwoodctl: can't write %s\n", path);
	return ok;
}

static bool
take_round(struct ctl *c, GPtrArray *samples, GError **error)
{
	int64_t wall_ms = dh_clock_wall_ms();
	g_autoptr(GPtrArray) vms = ctl_vms(c, "/counters", error);
	struct dh_sample *s;
	struct ctl_vm *vm;
	guint i;

	if (vms == NULL)
		return false;
	for (i = 0; i < vms->len; i++) {
		vm = vms->pdata[i];
		if (vm->answer == NULL) {
			ctl_progress(
			    c, "%s: not reached: %s", vm->name, vm->why);
			continue;
		}
		s = dh_sample_new(wall_ms, vm->name, vm->incarnation);
		dh_sample_read(s, vm->answer);
		g_ptr_array_add(samples, s);
	}
	return true;
}

static int
collect(struct ctl *c, const struct options *o, GPtrArray *samples)
{
	g_autoptr(GError) error = NULL;
	unsigned int i;
	guint from;

	for (i = 0; i < o->rounds; i++) {
		if (i > 0)
			uv_sleep(o->interval_s * 1000);
		ctl_progress(c, "round %u of %u", i + 1, o->rounds);
		from = samples->len;
		if (!take_round(c, samples, &error))
			return ctl_fail(error);
		if (o->history != NULL &&
		    !append_history(o->history, samples, from))
			return CTL_NOT_FOUND;
	}
	return CTL_OK;
}

static struct dh_conf *
load_conf(struct ctl *c, GError **error)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	g_autoptr(GPtrArray) problems = dh_problems_new();
	g_autoptr(GPtrArray) teams = dh_apply_teams(&c->apply, notes, error);

	if (teams == NULL)
		return NULL;
	return dh_assemble(
	    (const struct dh_team *const *)teams->pdata, teams->len, problems);
}

static void
print(const struct dh_burn *b, enum form form)
{
	g_autofree char *text = NULL;

	switch (form) {
	case FORM_TEXT:
		text = dh_burn_text(b);
		break;
	case FORM_JSON:
		text = dh_burn_json(b);
		break;
	case FORM_HTML:
		text = dh_burn_page(b);
		break;
	}
	(void)printf("%s%s", text, form == FORM_JSON ? "\n" : "");
}

int
ctl_report(struct ctl *c, int argc, char **argv)
{
	const struct argp argp = { option_list, parse, NULL,
		"Report on service-level burn.", NULL, NULL, NULL };
	struct options o = { .interval_s = 10,
		.form = c->json ? FORM_JSON : FORM_TEXT };
	g_autoptr(GPtrArray) samples = dh_samples_new();
	g_autoptr(GError) error = NULL;
	enum dh_burn_alert worst;
	struct dh_conf *conf;
	struct dh_burn *b;
	int status;

	(void)argp_parse(&argp, argc, argv, 0, NULL, &o);
	if (o.rounds == 0)
		o.rounds = o.history == NULL ? 2 : 1;
	conf = load_conf(c, &error);
	if (conf == NULL)
		return ctl_fail(error);
	if (o.history != NULL)
		load_history(samples, o.history);
	status = collect(c, &o, samples);
	if (status == CTL_OK) {
		b = dh_burn_new(conf, samples);
		print(b, o.form);
		worst = dh_burn_worst(b);
		status = worst == DH_BURN_NONE ? CTL_OK : CTL_ATTENTION;
		dh_burn_free(b);
	}
	dh_conf_free(conf);
	return status;
}
