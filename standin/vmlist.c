/*
 * Stand-in for the platform's list of VMs: answers each request with the
 * current content of a file.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/httpd.h"

#define CONNECTIONS_MAX 256u
#define CONNECTION_MEMORY (16u << 10)
#define IDLE_S 60u

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *path,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	static const char *const headers[] = { "Content-Type",
		"application/json", NULL };
	g_autofree char *text = NULL;
	gsize size = 0;

	(void)path;
	(void)method;
	(void)version;
	(void)data;
	if (dh_httpd_skip_body(state, arg, len))
		return MHD_YES;
	if (!g_file_get_contents(arg, &text, &size, NULL))
		return dh_httpd_reply(conn, 503, "", 0, NULL);
	return dh_httpd_reply(conn, 200, text, size, headers);
}

int
main(int argc, char **argv)
{
	struct dh_httpd_options o = { .address = "127.0.0.1",
		.connections_max = CONNECTIONS_MAX,
		.memory_per_connection = CONNECTION_MEMORY,
		.idle_s = IDLE_S,
		.handler = on_request };
	g_autoptr(GError) error = NULL;
	uv_loop_t loop;

	if (argc != 3) {
		fprintf(stderr, "usage: vmlist PORT FILE\n");
		return 64;
	}
	(void)signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&loop);
	o.port = (uint16_t)strtoul(argv[1], NULL, 10);
	o.arg = argv[2];
	if (dh_httpd_new(&loop, &o, &error) == NULL) {
		fprintf(stderr, "vmlist: %s\n", error->message);
		return 1;
	}
	return uv_run(&loop, UV_RUN_DEFAULT);
}
