#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include <curl/curl.h>

#include "base/log.h"
#include "config/settings.h"
#include "control/control.h"
#include "gateway/gateway.h"

/* Exit status for invalid settings or arguments. */
#define EXIT_SETTINGS 2

struct arguments {
	const char *config;
	const char *history;
	bool check;
	bool gateway;
};

static const struct argp_option options[] = {
	{ "config", 'c', "FILE", 0, "settings: JSON with comments", 0 },
	{ "check", 'k', 0, 0, "check the settings and exit", 0 },
	{ "gateway", 'g', 0, 0,
	    "serve a platform that holds the configuration; without --config "
	    "the settings are those that DOGWOODHUB_SETTINGS names",
	    0 },
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
	case 'g':
		a->gateway = true;
		break;
	case 'y':
		a->history = arg;
		break;
	case 'k':
		a->check = true;
		break;
	case ARGP_KEY_END:
		if (a->config == NULL && a->gateway)
			a->config = getenv("DOGWOODHUB_SETTINGS");
		if (a->config == NULL)
			argp_error(state, "--config is required");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static int
run_gateway(const struct arguments *a)
{
	struct dh_gateway_settings s;
	g_autoptr(GError) error = NULL;

	if (!dh_gateway_settings_load(&s, a->config, &error)) {
		fprintf(stderr, "dogwoodhub: %s\n", error->message);
		return EXIT_SETTINGS;
	}
	if (a->check) {
		printf("%s: ok\n", a->config);
		return EXIT_SUCCESS;
	}
	return dh_gateway_run(&s, a->config);
}

static int
run_router(const struct arguments *a)
{
	struct dh_settings s;
	g_autoptr(GError) error = NULL;

	if (!dh_settings_load(&s, a->config, &error)) {
		fprintf(stderr, "dogwoodhub: %s\n", error->message);
		return EXIT_SETTINGS;
	}
	if (a->check) {
		printf("%s: ok\n", a->config);
		return EXIT_SUCCESS;
	}
	dh_log_open("dogwoodhub", (enum dh_log_level)s.log_level);
	return dh_control_run(&s, a->history);
}

int
main(int argc, char **argv)
{
	static const struct argp parser = { options, parse_option, NULL,
		"Route requests to the backend server that owns their key.",
		NULL, NULL, NULL };
	struct arguments a = { 0 };
	int status;

	if (argp_parse(&parser, argc, argv, 0, NULL, &a) != 0)
		return EXIT_SETTINGS;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	status = a.gateway ? run_gateway(&a) : run_router(&a);
	curl_global_cleanup();
	return status;
}
