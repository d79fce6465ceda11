#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include <curl/curl.h>

#include "base/log.h"
#include "config/settings.h"
#include "control/control.h"

/* Exit statuses besides those of the run itself. */
#define EXIT_SETTINGS 2

struct arguments {
	const char *config;
	const char *history;
	bool check;
};

static const struct argp_option options[] = {
	{ "config", 'c', "FILE", 0, "settings: JSON with comments", 0 },
	{ "check", 'k', 0, 0, "check the settings and exit", 0 },
	{ "history", 'y', "FILE", 0, "append a history of decisions", 0 },
	{ 0 },
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 'c':
		a->config = arg;
		break;
	case 'y':
		a->history = arg;
		break;
	case 'k':
		a->check = true;
		break;
	case ARGP_KEY_END:
		if (a->config == NULL)
			argp_error(state, "--config is required");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp parser = { options, parse_option, NULL,
		"Route requests to the backend server that owns their key.",
		NULL, NULL, NULL };
	struct arguments a = { 0 };
	struct dh_settings s;
	g_autoptr(GError) error = NULL;
	int status;

	if (argp_parse(&parser, argc, argv, 0, NULL, &a) != 0)
		return EXIT_SETTINGS;
	if (!dh_settings_load(&s, a.config, &error)) {
		fprintf(stderr, "dogwoodhub: %s\n", error->message);
		return EXIT_SETTINGS;
	}
	if (a.check) {
		printf("%s: ok\n", a.config);
		return EXIT_SUCCESS;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	dh_log_open("dogwoodhub", (enum dh_log_level)s.log_level);
	status = dh_control_run(&s, a.history);
	curl_global_cleanup();
	return status;
}
