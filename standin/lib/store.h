#ifndef DH_STANDIN_LIB_STORE_H
#define DH_STANDIN_LIB_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * Stand-in for the platform's object store.  It keeps objects in memory and
 * serves them on loopback from its own threads.  docs/STORE.md specifies the
 * protocol and the faults it can inject.
 */
struct dh_standin_store;

enum dh_standin_call {
	DH_STANDIN_GET,
	DH_STANDIN_PUT,
	DH_STANDIN_LIST,
	DH_STANDIN_WATCH, /* a long poll counts as one call */
	DH_STANDIN_REFUSED, /* calls answered 429 or 503 */
	DH_STANDIN_DROPPED, /* calls that got no response */
	DH_STANDIN_CALLS,
};

/*
 * dh_standin_store_start -- start a store that listens on port, or on any free
 * port if it is 0.  A line for each write that took effect is appended to
 * log_path unless it is NULL.  Returns NULL and sets error if the port or the
 * file cannot be opened.  dh_standin_store_stop() stops and frees the store.
 */
struct dh_standin_store *dh_standin_store_start(
    uint16_t port, int64_t latency_ms, const char *log_path, GError **error);
void dh_standin_store_stop(struct dh_standin_store *s);

uint16_t dh_standin_store_port(const struct dh_standin_store *s);

/* dh_standin_store_fault -- set a fault from json, as POST /_fault does. */
bool dh_standin_store_fault(
    struct dh_standin_store *s, const char *json, GError **error);

uint64_t dh_standin_store_calls(
    struct dh_standin_store *s, enum dh_standin_call kind);

#endif
