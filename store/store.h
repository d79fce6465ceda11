#ifndef DH_STORE_STORE_H
#define DH_STORE_STORE_H

#include <stdint.h>

#include <glib.h>

#include "base/http.h"

/*
 * Client of the platform's object store (docs/STORE.md gives the protocol).
 * Everything is called on the thread of the http client's loop; call-backs
 * come once, never before the call returns.
 *
 * Outcomes are codes of DH_ERROR: NOT_FOUND; CONFLICT, another version is
 * there; UNAVAILABLE, no effect; TIMEOUT, the effect of a write is unknown
 * even after reading back; REFUSED, the store will never take this call.
 */
struct dh_store;

struct dh_object {
	char *name;
	uint64_t version; /* 0: does not exist */
	char *writer; /* who wrote this version */
	char *value; /* NUL-ended */
	size_t len;
};

/* dh_object_copy -- a deep copy, the caller's to free.  o may be NULL. */
struct dh_object *dh_object_copy(const struct dh_object *o);
void dh_object_free(struct dh_object *o);

/* object is borrowed for the call, NULL on error; error is borrowed. */
typedef void (*dh_store_fn)(
    void *arg, const struct dh_object *object, const GError *error);

/* dh_store_new -- url is "http://IP:port"; writer is unique to this process
 * incarnation.  The caller owns the result; http must outlive it. */
struct dh_store *dh_store_new(
    struct dh_http *http, const char *url, const char *writer);

/* dh_store_http -- the client it was made with. */
struct dh_http *dh_store_http(const struct dh_store *st);

/* dh_store_free -- drops every call in flight without calling back and frees
 * the watches.  Not from within a call-back. */
void dh_store_free(struct dh_store *st);

/* How long to try.  All in milliseconds. */
struct dh_store_times {
	int64_t attempt_ms; /* one HTTP exchange */
	int64_t call_ms; /* a get, put or page of a list, with retries */
	int64_t backoff_min_ms; /* before the first retry, then doubling */
	int64_t backoff_max_ms;
	int64_t wait_ms; /* a watch waits this long at the store */
	int64_t resync_ms; /* a watch is checked against a list */
};

/* dh_store_set_times -- for calls started from now on; dh_store_times gives
 * what is set, at first the defaults. */
void dh_store_set_times(struct dh_store *st, const struct dh_store_times *t);
struct dh_store_times dh_store_times(const struct dh_store *st);

/* dh_store_get -- the newest version, or the given older one (version > 0).
 * A result older than one this client has already seen is not delivered:
 * the read is repeated, then fails as UNAVAILABLE. */
void dh_store_get(struct dh_store *st, const char *name, uint64_t version,
    dh_store_fn done, void *arg);

/*
 * dh_store_put -- write if the object's version is still expect (0: it must
 * not exist).  When the reply is lost it reads back and compares the writer
 * id of this very call: the call-back says success, CONFLICT or, when the
 * store stays silent, TIMEOUT.  object in the call-back has the new version.
 */
void dh_store_put(struct dh_store *st, const char *name, uint64_t expect,
    const char *value, size_t len, dh_store_fn done, void *arg);

/* object and error as above; called once for every object listed, then once
 * with both NULL. */
void dh_store_list(
    struct dh_store *st, const char *prefix, dh_store_fn each, void *arg);

/*
 * dh_store_watch -- tell each object under prefix that exists now, then each
 * change, until the watch is freed (also from within its call-back).  Only
 * the newest version is told when several follow fast.  Reconnects with
 * backoff; each version is told once, and never one below a version already
 * told.  Each waiting watch is one billed call.  error is never set.
 */
struct dh_store_watch;
struct dh_store_watch *dh_store_watch(
    struct dh_store *st, const char *prefix, dh_store_fn each, void *arg);
void dh_store_watch_free(struct dh_store_watch *w);

#endif
