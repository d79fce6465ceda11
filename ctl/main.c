#include "ctl/ctl.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <json.h>

#include "base/clock.h"
#include "base/error.h"
#include "config/settings.h"

#define STORE_VARIABLE "DOGWOODHUB_STORE"

enum { KEY_STORE = 's', KEY_SETTINGS = 'c', KEY_JSON = 'j', KEY_QUIET = 'q' };

static const struct ctl_command commands[] = {
	{ "apply", "SHEET", "apply a sheet", true, ctl_apply },
	{ "diff", "SHEET", "show what apply would change", true, ctl_diff },
	{ "get", "[TEAM|sheet [TEAM...]]",
	    "list the teams; print one; export a sheet", true, ctl_get },
	{ "status", "", "show the status of every VM", true, ctl_status },
	{ "drain", "NAME", "assign no new work to a backend server", true,
	    ctl_drain },
	{ "undrain", "NAME", "end a drain", true, ctl_undrain },
	{ "report", "", "service-level burn", true, ctl_report },
	{ "check", "FILE", "check settings, a team's object or a sheet", false,
	    ctl_check },
};

struct options {
	struct ctl *ctl;
	struct dh_settings settings;
	const struct ctl_command *command;
	int at; /* index of the command in argv */
};

static const struct argp_option option_list[] = {
	{ "store", KEY_STORE, "URL", 0,
	    "the object store, http://IP:port; else $" STORE_VARIABLE, 0 },
	{ "settings", KEY_SETTINGS, "FILE", 0,
	    "take the store from a VM's settings", 0 },
	{ "json", KEY_JSON, NULL, 0, "print JSON", 0 },
	{ "quiet", KEY_QUIET, NULL, 0, "print no progress messages", 0 },
	{ 0 },
};

static const struct ctl_command *
command_find(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	return NULL;
}

static void
load_settings(struct argp_state *state, struct options *o, const char *path)
{
	g_autoptr(GError) error = NULL;

	if (!dh_settings_load(&o->settings, path, &error))
		argp_error(state, "%s", error->message);
	o->ctl->store_url = o->settings.store_url;
}

static error_t
parse(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case KEY_STORE:
		o->ctl->store_url = arg;
		return 0;
	case KEY_SETTINGS:
		load_settings(state, o, arg);
		return 0;
	case KEY_JSON:
		o->ctl->json = true;
		return 0;
	case KEY_QUIET:
		o->ctl->quiet = true;
		return 0;
	case ARGP_KEY_ARG:
		o->command = command_find(arg);
		if (o->command == NULL)
			argp_error(state, "no such command: %s", arg);
		o->at = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static char *
usage_text(void)
{
	GString *out = g_string_new(
	    "Manage dogwoodhub: its teams' configuration and its VMs.\v"
	    "Commands:\n");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(out, "  %-8s %-24s %s\n",
		    commands[i].name, commands[i].args, commands[i].doc);
	g_string_append(out,
	    "\nExit status: 0 done, 1 refused, 2 done in part, 3 store not "
	    "reached, 4 outcome unknown, 5 not found, 6 needs attention, 64 "
	    "usage.");
	return g_string_free(out, FALSE);
}

void
ctl_progress(struct ctl *c, const char *fmt, ...)
{
	va_list ap;

	if (c->quiet)
		return;
	va_start(ap, fmt);
	(void)vfprintf(stderr, fmt, ap);
	va_end(ap);
	(void)fputc('\n', stderr);
}

static void
on_progress(void *arg, const char *text)
{
	ctl_progress(arg, "%s", text);
}

int
ctl_fail(const GError *error)
{
	(void)fprintf(stderr, "dogwoodctl: %s\n", error->message);
	if (error->domain != DH_ERROR)
		return CTL_REFUSED;
	switch ((enum dh_error)error->code) {
	case DH_ERROR_NOT_FOUND:
		return CTL_NOT_FOUND;
	case DH_ERROR_UNAVAILABLE:
	case DH_ERROR_CONFLICT:
		return CTL_UNREACHABLE;
	case DH_ERROR_TIMEOUT:
		return CTL_UNKNOWN;
	case DH_ERROR_IO:
	case DH_ERROR_INVALID:
	case DH_ERROR_REFUSED:
		return CTL_REFUSED;
	}
	return CTL_REFUSED;
}

static char *
read_stdin(gsize *len)
{
	GString *out = g_string_new(NULL);
	char buf[4096];
	size_t n;

	while ((n = fread(buf, 1, sizeof(buf), stdin)) > 0)
		g_string_append_len(out, buf, (gssize)n);
	*len = out->len;
	return g_string_free(out, FALSE);
}

char *
ctl_read(const char *path, gsize *len)
{
	g_autoptr(GError) error = NULL;
	char *text = NULL;

	if (strcmp(path, "-") == 0)
		return read_stdin(len);
	if (!g_file_get_contents(path, &text, len, &error))
		(void)fprintf(stderr, "dogwoodctl: %s\n", error->message);
	return text;
}

void
ctl_print_json(struct json_object *root)
{
	(void)printf("%s\n",
	    json_object_to_json_string_ext(
		root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(root);
}

static void
ctl_open(struct ctl *c)
{
	g_autofree char *writer =
	    g_strdup_printf("dogwoodctl-%s-%d-%" G_GINT64_FORMAT,
		g_get_user_name(), (int)getpid(), dh_clock_wall_ms());

	curl_global_init(CURL_GLOBAL_DEFAULT);
	uv_loop_init(&c->loop);
	c->http = dh_http_new(&c->loop);
	if (c->store_url != NULL)
		c->store = dh_store_new(c->http, c->store_url, writer);
	c->apply.store = c->store;
	c->apply.progress = on_progress;
	c->apply.arg = c;
}

static void
ctl_close(struct ctl *c)
{
	dh_store_free(c->store);
	dh_http_free(c->http);
	(void)uv_run(&c->loop, UV_RUN_DEFAULT);
	(void)uv_loop_close(&c->loop);
	curl_global_cleanup();
}

int
main(int argc, char **argv)
{
	g_autofree char *doc = usage_text();
	const struct argp argp = { option_list, parse, "COMMAND [ARG...]", doc,
		NULL, NULL, NULL };
	struct ctl c = { .store_url = getenv(STORE_VARIABLE) };
	struct options o = { .ctl = &c };
	int status;

	argp_err_exit_status = CTL_USAGE;
	(void)argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &o);
	if (o.command->needs_store && c.store_url == NULL) {
		(void)fprintf(stderr,
		    "dogwoodctl: no object store given; use --store, "
		    "--settings or $" STORE_VARIABLE "\n");
		return CTL_USAGE;
	}
	ctl_open(&c);
	status = o.command->run(&c, argc - o.at, argv + o.at);
	ctl_close(&c);
	return status;
}
