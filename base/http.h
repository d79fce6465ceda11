#ifndef DH_BASE_HTTP_H
#define DH_BASE_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>
#include <glib.h>
#include <uv.h>

/*
 * HTTP client on a uv loop: a curl multi handle that the loop drives.
 * Everything here is called on the loop's thread.
 */
struct dh_http;

/* Called once a transfer ends; easy belongs to the caller again. */
typedef void (*dh_http_done_fn)(void *arg, CURL *easy, CURLcode result);

/* dh_http_new -- a client on loop, which must outlive it.  The caller owns
 * it and ends it with dh_http_free(). */
struct dh_http *dh_http_new(uv_loop_t *loop);

/* dh_http_loop -- the loop it was made with. */
uv_loop_t *dh_http_loop(const struct dh_http *h);

/* dh_http_keep -- keep up to so many idle connections; at first four for each
 * transfer under way, so that one to many servers in turn closes most. */
void dh_http_keep(struct dh_http *h, uint32_t connections);

/* dh_http_free -- drop all transfers without calling back.  The loop must run
 * on (or be run once more) for its handles to close. */
void dh_http_free(struct dh_http *h);

/* dh_http_start -- start a prepared transfer; uses CURLOPT_PRIVATE. */
void dh_http_start(
    struct dh_http *h, CURL *easy, dh_http_done_fn done, void *arg);

/* dh_http_cancel -- end a transfer without calling back. */
void dh_http_cancel(struct dh_http *h, CURL *easy);

/*
 * A small exchange with both bodies in memory: for the store and for orders
 * to backend servers, never for callers' requests.
 */
struct dh_http_request {
	const char *method; /* "GET", "PUT", ... */
	const char *url;
	const char *const *headers; /* "Name: value", NULL-ended, or NULL */
	const void *body; /* copied; NULL for none */
	size_t body_len;
	size_t answer_max; /* bytes of its body; 0: DH_HTTP_FETCH_MAX */
	int64_t timeout_ms;
	int64_t connect_ms; /* to open a connection; 0: the whole time */
	bool fresh_connection; /* do not reuse one */
	/* A connection that this request opens: probes from the kernel end it
	 * after keepalive_s of silence or three, 0 for none; closing resets
	 * it, so that nothing of it arrives later. */
	uint32_t keepalive_s;
	bool reset_on_close;
};

struct dh_http_reply {
	CURLcode result; /* CURLE_OK when a whole answer came */
	long status; /* HTTP status, 0 when none came */
	long os_errno; /* of a failed connection, 0 for none */
	bool sent; /* some byte of the request may have left */
	const char *body; /* NUL-ended; borrowed for the call */
	size_t body_len;
	GHashTable *headers; /* lower-case name -> value; borrowed */
};

/* dh_http_header -- the value of a header by its name in any case, NULL if it
 * is missing; borrowed like all of the reply. */
const char *dh_http_header(const struct dh_http_reply *reply, const char *name);

typedef void (*dh_http_reply_fn)(void *arg, const struct dh_http_reply *reply);

struct dh_http_fetch;

/*
 * dh_http_fetch -- send rq and call back once, never before this returns.
 * The handle returned is good for dh_http_fetch_cancel() until the call back.
 * An answer of more than answer_max bytes is an error.
 */
#define DH_HTTP_FETCH_MAX (8u << 20)
struct dh_http_fetch *dh_http_fetch(struct dh_http *h,
    const struct dh_http_request *rq, dh_http_reply_fn done, void *arg);
void dh_http_fetch_cancel(struct dh_http_fetch *f);

#endif
