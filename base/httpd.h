#ifndef DH_BASE_HTTPD_H
#define DH_BASE_HTTPD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <microhttpd.h>
#include <uv.h>

/*
 * HTTP server on a uv loop: a libmicrohttpd daemon without threads of its
 * own.  Handlers run on the loop's thread and may suspend and resume their
 * connection there.
 */
struct dh_httpd;

struct dh_httpd_options {
	const char *address; /* IP number */
	uint16_t port; /* 0: the kernel chooses */
	bool shared_port; /* several daemons accept on one port */
	uint32_t connections_max;
	uint32_t memory_per_connection; /* bytes; bounds the header block */
	uint32_t idle_s; /* a connection silent this long is closed */
	MHD_AccessHandlerCallback handler;
	/* The raw request target; what it returns is the handler's first
	 * state.  Or NULL. */
	void *(*target)(
	    void *arg, const char *target, struct MHD_Connection *c);
	MHD_RequestCompletedCallback completed; /* or NULL */
	MHD_NotifyConnectionCallback connection; /* or NULL */
	void *arg; /* for all three */
};

/* dh_httpd_new -- listen and serve.  NULL with DH_ERROR_IO.  The caller owns
 * the result. */
struct dh_httpd *dh_httpd_new(
    uv_loop_t *loop, const struct dh_httpd_options *o, GError **error);

/* dh_httpd_port -- the port it listens on. */
uint16_t dh_httpd_port(const struct dh_httpd *h);

/* dh_httpd_resume -- resume a suspended connection; its handler runs before
 * the loop next waits. */
void dh_httpd_resume(struct dh_httpd *h, struct MHD_Connection *c);

/* dh_httpd_quiesce -- accept what has arrived, then close the port; open
 * connections are served on. */
void dh_httpd_quiesce(struct dh_httpd *h);

/* dh_httpd_connections -- connections open now. */
unsigned int dh_httpd_connections(const struct dh_httpd *h);

/* dh_httpd_free -- close every connection.  No connection may be suspended.
 * The loop must run on for its handles to close. */
void dh_httpd_free(struct dh_httpd *h);

/* dh_httpd_skip_body -- for a handler that wants no body: true while it is
 * called for the head or for a piece of a body, which is dropped; then it only
 * returns MHD_YES.  mark is any pointer but NULL. */
bool dh_httpd_skip_body(void **state, void *mark, size_t *len);

/* dh_httpd_reply -- queue a whole answer from a copied buffer; headers are
 * pairs "Name", "value", NULL-ended, or NULL. */
enum MHD_Result dh_httpd_reply(struct MHD_Connection *c, unsigned int status,
    const void *body, size_t len, const char *const *headers);

#endif
