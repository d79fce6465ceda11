#ifndef DH_STORE_STORE_H
#define DH_STORE_STORE_H

#include <stdint.h>

#include <glib.h>

#include "base/http.h"

/*
 * Client of the platform's object store (docs/STORE.md gives the protocol).
 * All functions must be called on the thread that runs the HTTP client's
 * event loop.  Unless stated otherwise, a call-back runs exactly once and never
 * before the function that takes it has returned.
 *
 * Errors are codes of DH_ERROR:
 * NOT_FOUND: the object or the version does not exist;
 * CONFLICT: the object has another version than the write expected;
 * UNAVAILABLE: the store gave no usable answer; the call had no effect;
 * TIMEOUT: it is unknown, even after reading back, whether a write took effect;
 * REFUSED: the store rejected the call, and a retry would fail too.
 */
struct dh_store;

struct dh_object {
	char *name;
	uint64_t version; /* 0: the object does not exist */
	char *writer; /* id of the client that wrote this version */
	char *value; /* NUL-terminated; the NUL is not counted in len */
	size_t len;
};

/* dh_object_copy -- returns a deep copy that the caller frees, or NULL if o is
 * NULL. */
struct dh_object *dh_object_copy(const struct dh_object *o);
void dh_object_free(struct dh_object *o);

/* object is NULL on error.  object and error are valid only during the
 * call-back. */
typedef void (*dh_store_fn)(
    void *arg, const struct dh_object *object, const GError *error);

/* dh_store_new -- url is "http://IP:port"; writer is an id unique to this run
 * of the process.  The caller frees the result; http must outlive it. */
struct dh_store *dh_store_new(
    struct dh_http *http, const char *url, const char *writer);

/* dh_store_http -- returns the HTTP client given to dh_store_new. */
struct dh_http *dh_store_http(const struct dh_store *st);

/* dh_store_free -- cancels every pending call without running its call-back
 * and frees the watches.  Must not be called from within a call-back. */
void dh_store_free(struct dh_store *st);

/* Timeouts and intervals of store calls, in milliseconds. */
struct dh_store_times {
	int64_t attempt_ms; /* timeout of one HTTP exchange */
	int64_t call_ms; /* timeout of a get, put or list page with retries */
	int64_t backoff_min_ms; /* first retry delay; doubles each retry */
	int64_t backoff_max_ms; /* longest retry delay */
	int64_t wait_ms; /* how long the store holds a watch poll open */
	int64_t resync_ms; /* interval of checking a watch against a list */
};

/* dh_store_set_times -- set the timeouts of calls started from now on.
 * dh_store_times returns the current ones, initially the defaults. */
void dh_store_set_times(struct dh_store *st, const struct dh_store_times *t);
struct dh_store_times dh_store_times(const struct dh_store *st);

/* dh_store_get -- read the newest version (version 0) or the given one.  A
 * result older than a version that this client has already seen is not
 * delivered: the read is retried and finally fails with UNAVAILABLE. */
void dh_store_get(struct dh_store *st, const char *name, uint64_t version,
    dh_store_fn done, void *arg);

/*
 * dh_store_put -- write the object if its version is still expect (0: it must
 * not exist).  If the reply is lost, the object is read back and its writer id
 * compared with an id unique to this call.  The call-back then reports
 * success, CONFLICT or, if the store does not answer, TIMEOUT.  On success,
 * object in the call-back has the new version.
 */
void dh_store_put(struct dh_store *st, const char *name, uint64_t expect,
    const char *value, size_t len, dh_store_fn done, void *arg);

/* dh_store_list -- read all objects whose names start with prefix.  The
 * call-back runs once for each object, then once with object and error NULL;
 * on failure the last call has error set. */
void dh_store_list(
    struct dh_store *st, const char *prefix, dh_store_fn each, void *arg);

/*
 * dh_store_watch -- call back for each existing object under prefix, then for
 * each change, until the watch is freed, which its call-back may do.  Of
 * several changes in quick succession only the newest version may be
 * delivered.  The watch reconnects with backoff; each version is delivered at
 * most once, and never after a higher version of the same object.  Each poll
 * is one billed call.  error is never set.
 */
struct dh_store_watch;
struct dh_store_watch *dh_store_watch(
    struct dh_store *st, const char *prefix, dh_store_fn each, void *arg);
void dh_store_watch_free(struct dh_store_watch *w);

#endif
