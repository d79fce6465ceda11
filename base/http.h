#ifndef DH_BASE_HTTP_H
#define DH_BASE_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>
#include <glib.h>
#include <uv.h>

/*
 * HTTP client on a libuv loop, which drives a curl multi handle.  All functions
 * must be called on the loop's thread.
 */
struct dh_http;

/* Called when a transfer ends; the caller then owns easy again. */
typedef void (*dh_http_done_fn)(void *arg, CURL *easy, CURLcode result);

/* dh_http_new -- create a client on loop, which must outlive the client.  The
 * caller frees it with dh_http_free(). */
struct dh_http *dh_http_new(uv_loop_t *loop);

/* dh_http_loop -- returns the loop given to dh_http_new. */
uv_loop_t *dh_http_loop(const struct dh_http *h);

/* dh_http_set_idle_max -- set the number of idle connections to keep.  The
 * default is four for each running transfer, which closes most connections of a
 * client that sends one request at a time to many servers. */
void dh_http_set_idle_max(struct dh_http *h, uint32_t connections);

/* dh_http_free -- cancel all transfers without running their call-backs, and
 * free h.  The loop must run at least once more to close its handles. */
void dh_http_free(struct dh_http *h);

/* dh_http_start -- start the transfer that easy is set up for. */
void dh_http_start(
    struct dh_http *h, CURL *easy, dh_http_done_fn done, void *arg);

/* dh_http_socket -- returns the socket that a running transfer uses, or
 * CURL_SOCKET_BAD if it has none yet.  libcurl tells it only after the end. */
curl_socket_t dh_http_socket(const struct dh_http *h, CURL *easy);

/*
 * dh_http_has_unread -- returns whether bytes wait unread on an idle connection
 * with this local port, or whether it is out of step.  They are not the answer
 * to a request that is yet to be sent.  libcurl doesn't look for them before it
 * reuses a connection, so CURLOPT_PREREQFUNCTION, which is given the port, has
 * to.  Connections to different servers may share a port: the function then
 * returns true if bytes wait on any that is idle.  A new connection must not be
 * asked about for that reason; CURLINFO_NUM_CONNECTS tells it.
 */
bool dh_http_has_unread(const struct dh_http *h, int local_port);

/* dh_http_set_out_of_step -- no further request is to use the connection with
 * this local port, since it has delivered an answer to another one.  It is
 * closed when one would. */
void dh_http_set_out_of_step(struct dh_http *h, int local_port);

/* dh_http_cancel -- cancel a transfer without running its call-back. */
void dh_http_cancel(struct dh_http *h, CURL *easy);

/*
 * An HTTP exchange with both bodies in memory.  It is meant for the store and
 * for orders to backend servers, not for forwarding clients' requests.
 */
struct dh_http_request {
	const char *method; /* "GET", "PUT", ... */
	const char *url;
	const char *const *headers; /* "Name: value"; NULL-ended or NULL */
	const void *body; /* copied; NULL for none */
	size_t body_len;
	size_t answer_max; /* limit of its body; 0: DH_HTTP_FETCH_MAX */
	int64_t timeout_ms; /* of the whole exchange */
	int64_t connect_ms; /* timeout of connecting; 0: only timeout_ms */
	bool fresh_connection; /* open a new connection */
	/* Open no connection from this time on (dh_clock_ms()), also for a
	 * second copy: without a kept one the request fails unsent.  0: no
	 * limit. */
	int64_t connect_until_ms;
	/* Never send the request a second time.  Without this, libcurl does so
	 * by itself when a kept connection ends before the answer begins, and
	 * the reply is then the answer to the second copy only. */
	bool send_once;
	/* TCP keepalive of a connection that this request opens: the kernel
	 * sends the first probe after keepalive_s of silence and closes the
	 * connection after about three times that.  0: no keepalive. */
	uint32_t keepalive_s;
	/* Close the connection with a reset, which discards unsent data, so
	 * that none of it arrives later. */
	bool reset_on_close;
	/* Close the connection after an answer with another status than 200: a
	 * late copy of it would pass for the answer to the next request. */
	bool keep_after_200_only;
};

struct dh_http_reply {
	CURLcode result; /* CURLE_OK: a complete answer was received */
	long status; /* HTTP status, 0 if none was received */
	long os_errno; /* errno of a failed connect, or 0 */
	bool sent; /* part of the request may have been sent */
	const char *body; /* NUL-terminated; valid during the call-back */
	size_t body_len;
	GHashTable *headers; /* lower-case name -> value; same lifetime */
	int local_port; /* of the connection that was used, or 0 */
	bool new_connection; /* it was opened for this request */
};

/* dh_http_status_is_valid -- returns whether a status code is one of HTTP (RFC
 * 9110, section 15).  Parsers accept all numbers of three digits. */
static inline bool
dh_http_status_is_valid(unsigned int status)
{
	return status >= 100 && status <= 599;
}

/* dh_http_find_status_line -- returns where the first status line begins in
 * text, or NULL.  In a reason phrase or in a header it is the sign that a head
 * broke off and another one followed it. */
const char *dh_http_find_status_line(const char *text, size_t len);

/* dh_http_header -- returns the value of a header, or NULL if it is missing.
 * The name is matched case-insensitively.  The value has the lifetime of reply.
 */
const char *dh_http_header(const struct dh_http_reply *reply, const char *name);

typedef void (*dh_http_reply_fn)(void *arg, const struct dh_http_reply *reply);

struct dh_http_fetch;

/*
 * dh_http_fetch -- send rq.  The call-back runs exactly once, never before the
 * function has returned.  The result may be passed to dh_http_fetch_cancel()
 * until the call-back runs.  An answer of more than answer_max bytes is an
 * error, and so is one with more than 64 KiB of headers, trailers included.  A
 * kept connection on which bytes of an earlier answer wait unread is closed,
 * and the request goes on another one.
 *
 * dh_http_fetch_cancel -- cancel the exchange without running its call-back.
 */
#define DH_HTTP_FETCH_MAX (8u << 20)
struct dh_http_fetch *dh_http_fetch(struct dh_http *h,
    const struct dh_http_request *rq, dh_http_reply_fn done, void *arg);
void dh_http_fetch_cancel(struct dh_http_fetch *f);

#endif
