#include "standin/lib/store.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

struct options {
	uint16_t port;
	int64_t latency_ms;
	const char *log_path;
};

enum option_key { KEY_PORT = 'p', KEY_LATENCY = 'l', KEY_LOG = 'o' };

static const struct argp_option option_list[] = {
	{ "port", KEY_PORT, "P", 0, "port on loopback", 0 },
	{ "latency-ms", KEY_LATENCY, "N", 0, "delay of every call", 0 },
	{ "log", KEY_LOG, "FILE", 0, "append a line for each write", 0 },
	{ 0 },
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case KEY_PORT:
		o->port = (uint16_t)strtoul(arg, NULL, 10);
		return 0;
	case KEY_LATENCY:
		o->latency_ms = strtol(arg, NULL, 10);
		return 0;
	case KEY_LOG:
		o->log_path = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	const struct argp argp = { option_list, parse, NULL,
		"Stand-in for the platform's object store, in memory.", NULL,
		NULL, NULL };
	struct options o = { 0 };
	g_autoptr(GError) error = NULL;
	struct dh_standin_store *s;
	sigset_t set;
	int sig;

	(void)argp_parse(&argp, argc, argv, 0, NULL, &o);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	(void)pthread_sigmask(SIG_BLOCK, &set, NULL);
	s = dh_standin_store_start(o.port, o.latency_ms, o.log_path, &error);
	if (s == NULL) {
		(void)fprintf(stderr, "%s\n", error->message);
		return EXIT_FAILURE;
	}
	(void)printf("listening on 127.0.0.1:%u\n", dh_standin_store_port(s));
	(void)fflush(stdout);
	(void)sigwait(&set, &sig);
	dh_standin_store_stop(s);
	return EXIT_SUCCESS;
}
