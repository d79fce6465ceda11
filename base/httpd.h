#ifndef DH_BASE_HTTPD_H
#define DH_BASE_HTTPD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <microhttpd.h>
#include <uv.h>

/*
 * HTTP server on a libuv loop: a libmicrohttpd daemon without its own threads.
 * Handlers run on the loop's thread, where they may suspend and resume their
 * connections.
 */
struct dh_httpd;

struct dh_httpd_options {
	const char *address; /* IPv4 address */
	uint16_t port; /* 0: the kernel chooses one */
	bool shared_port; /* let several daemons listen on one port */
	uint32_t connections_max;
	uint32_t memory_per_connection; /* bytes; limits the request header */
	uint32_t idle_s; /* close a connection idle for so long */
	MHD_AccessHandlerCallback handler;
	/* Called with the raw request target, if not NULL.  Its result is the
	 * initial request state that the handler gets. */
	void *(*target)(
	    void *arg, const char *target, struct MHD_Connection *c);
	MHD_RequestCompletedCallback completed; /* or NULL */
	MHD_NotifyConnectionCallback connection; /* or NULL */
	void *arg; /* passed to the call-backs above */
};

/* dh_httpd_new -- start a server.  Returns NULL with DH_ERROR_INVALID for a bad
 * address, or DH_ERROR_IO if it cannot listen.  The caller frees the result
 * with dh_httpd_free(). */
struct dh_httpd *dh_httpd_new(
    uv_loop_t *loop, const struct dh_httpd_options *o, GError **error);

/* dh_httpd_port -- returns the port that h listens on. */
uint16_t dh_httpd_port(const struct dh_httpd *h);

/* dh_httpd_resume -- resume a suspended connection.  Its handler normally runs
 * before the loop waits for events again. */
void dh_httpd_resume(struct dh_httpd *h, struct MHD_Connection *c);

/* dh_httpd_quiesce -- accept the connections that wait on the port, then close
 * the port.  Open connections are still served. */
void dh_httpd_quiesce(struct dh_httpd *h);

/* dh_httpd_connections -- returns the number of open connections. */
unsigned int dh_httpd_connections(const struct dh_httpd *h);

/* dh_httpd_free -- close every connection, none of which may be suspended, and
 * free h.  The loop must run once more to close its handles. */
void dh_httpd_free(struct dh_httpd *h);

/* dh_httpd_skip_body -- discard a request's body, for handlers that need none.
 * Returns true while the handler is called for the header or a part of the
 * body; the handler must then return MHD_YES and do nothing else.  mark is any
 * pointer but NULL. */
bool dh_httpd_skip_body(void **state, void *mark, size_t *len);

/* dh_httpd_reply -- queue a complete answer with a copy of body.  headers are
 * pairs of "Name" and "value", NULL-terminated, or NULL. */
enum MHD_Result dh_httpd_reply(struct MHD_Connection *c, unsigned int status,
    const void *body, size_t len, const char *const *headers);

#endif
