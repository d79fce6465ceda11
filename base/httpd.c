#include "base/httpd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/timer.h"

/* Interval of checking the connections' timeouts. */
#define SWEEP_MS 500
#define TURNS_MAX 4 /* MHD_run() calls before the loop waits */
#define ACCEPT_TURNS_MAX 64 /* each accepts several connections */

struct dh_httpd {
	struct MHD_Daemon *daemon;
	uv_poll_t *poll;
	uv_timer_t *sweep;
	uv_prepare_t *prepare;
	bool pending; /* the daemon has work that no event will signal */
	bool running; /* inside MHD_run() */
	uint16_t port;
	MHD_socket listen_fd;
};

static void
run_daemon(struct dh_httpd *h)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	h->running = true;
	h->pending = false;
	MHD_run(h->daemon);
	h->running = false;
	/* The daemon polls edge-triggered: no event signals work that it left
	 * unfinished, so MHD_run() must be called again. */
	if (MHD_get_timeout(h->daemon, &wait_ms) == MHD_YES && wait_ms == 0)
		h->pending = true;
}

static void
on_poll(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	run_daemon(poll->data);
}

static void
on_sweep(uv_timer_t *timer)
{
	run_daemon(timer->data);
}

/* Does unfinished work before the loop waits, so that resuming a connection
 * takes no extra loop iteration.  After TURNS_MAX calls the rest is left to the
 * next iteration, so that other events are handled too. */
static void
on_prepare(uv_prepare_t *prepare)
{
	struct dh_httpd *h = prepare->data;
	int turns;

	for (turns = 0; h->pending && turns < TURNS_MAX; turns++)
		run_daemon(h);
	if (h->pending)
		uv_timer_start(h->sweep, on_sweep, 0, SWEEP_MS);
}

static bool
address_parse(const struct dh_httpd_options *o, struct sockaddr_in *sin)
{
	*sin = (struct sockaddr_in){ .sin_family = AF_INET,
		.sin_port = htons(o->port) };
	return inet_pton(AF_INET, o->address, &sin->sin_addr) == 1;
}

static void
loop_attach(struct dh_httpd *h, uv_loop_t *loop)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_EPOLL_FD);

	h->poll = g_new0(uv_poll_t, 1);
	uv_poll_init(loop, h->poll, info->epoll_fd);
	h->poll->data = h;
	uv_poll_start(h->poll, UV_READABLE, on_poll);
	h->sweep = dh_timer_new(loop, h);
	uv_timer_start(h->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	h->prepare = g_new0(uv_prepare_t, 1);
	uv_prepare_init(loop, h->prepare);
	h->prepare->data = h;
	uv_prepare_start(h->prepare, on_prepare);
}

struct dh_httpd *
dh_httpd_new(uv_loop_t *loop, const struct dh_httpd_options *o, GError **error)
{
	/* This option with value 0 would also forbid reusing a port in
	 * TIME_WAIT, so it is left out unless the port is shared. */
	struct MHD_OptionItem shared[] = {
		{ MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};
	struct MHD_OptionItem none[] = { { MHD_OPTION_END, 0, NULL } };
	struct sockaddr_in sin;
	struct dh_httpd *h;

	if (!address_parse(o, &sin)) {
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID,
		    "%s is not an IPv4 address", o->address);
		return NULL;
	}
	h = g_new0(struct dh_httpd, 1);
	h->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
	    o->port, NULL, NULL, o->handler, o->arg, MHD_OPTION_SOCK_ADDR, &sin,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned int)o->connections_max,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT,
	    (size_t)o->memory_per_connection, MHD_OPTION_CONNECTION_TIMEOUT,
	    (unsigned int)o->idle_s, MHD_OPTION_NOTIFY_COMPLETED, o->completed,
	    o->arg, MHD_OPTION_NOTIFY_CONNECTION, o->connection, o->arg,
	    MHD_OPTION_URI_LOG_CALLBACK, o->target, o->arg,
	    MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_LISTEN_BACKLOG_SIZE,
	    1024u, MHD_OPTION_ARRAY, o->shared_port ? shared : none,
	    MHD_OPTION_END);
	if (h->daemon == NULL) {
		g_set_error(error, DH_ERROR, DH_ERROR_IO,
		    "cannot listen on %s:%u", o->address, o->port);
		g_free(h);
		return NULL;
	}
	h->port =
	    MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	h->listen_fd = MHD_INVALID_SOCKET;
	loop_attach(h, loop);
	return h;
}

uint16_t
dh_httpd_port(const struct dh_httpd *h)
{
	return h->port;
}

void
dh_httpd_resume(struct dh_httpd *h, struct MHD_Connection *c)
{
	MHD_resume_connection(c);
	h->pending = true;
}

/* Accepts the connections in the listen queue; the kernel resets those left in
 * the queue when the port is closed. */
static void
accept_queued(struct dh_httpd *h)
{
	struct pollfd p = { .events = POLLIN };
	int turns;

	p.fd = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_LISTEN_FD)
		   ->listen_fd;
	for (turns = 0; turns < ACCEPT_TURNS_MAX; turns++) {
		run_daemon(h);
		if (poll(&p, 1, 0) != 1)
			return;
	}
}

void
dh_httpd_quiesce(struct dh_httpd *h)
{
	g_assert(!h->running);
	accept_queued(h);
	h->listen_fd = MHD_quiesce_daemon(h->daemon);
	if (h->listen_fd != MHD_INVALID_SOCKET)
		(void)close(h->listen_fd);
}

unsigned int
dh_httpd_connections(const struct dh_httpd *h)
{
	return MHD_get_daemon_info(
	    h->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
	    ->num_connections;
}

static void
handle_closed(uv_handle_t *handle)
{
	g_free(handle);
}

void
dh_httpd_free(struct dh_httpd *h)
{
	if (h == NULL)
		return;
	uv_close((uv_handle_t *)h->poll, handle_closed);
	dh_timer_free(h->sweep);
	uv_close((uv_handle_t *)h->prepare, handle_closed);
	MHD_stop_daemon(h->daemon);
	g_free(h);
}

bool
dh_httpd_skip_body(void **state, void *mark, size_t *len)
{
	if (*state == NULL) {
		*state = mark;
		return true;
	}
	if (*len == 0)
		return false;
	*len = 0;
	return true;
}

enum MHD_Result
dh_httpd_reply(struct MHD_Connection *c, unsigned int status, const void *body,
    size_t len, const char *const *headers)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    len, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;
	size_t i;

	if (r == NULL)
		return MHD_NO;
	for (i = 0; headers != NULL && headers[i] != NULL; i += 2)
		MHD_add_response_header(r, headers[i], headers[i + 1]);
	result = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
	return result;
}
