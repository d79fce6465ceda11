#ifndef DH_STANDIN_LIB_STORE_H
#define DH_STANDIN_LIB_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * Stand-in for the platform's object store, in memory, on threads of its own
 * and on loopback.  docs/STORE.md gives the protocol and the faults it can
 * inject.
 */
struct dh_standin_store;

enum dh_standin_call {
	DH_STANDIN_GET,
	DH_STANDIN_PUT,
	DH_STANDIN_LIST,
	DH_STANDIN_WATCH, /* a waiting watch is one call */
	DH_STANDIN_REFUSED, /* of the above, answered 429 or 503 */
	DH_STANDIN_DROPPED, /* met silence or a closed connection */
	DH_STANDIN_CALLS,
};

/* dh_standin_store_start -- listen on port (0: any free one).  log_path, or
 * NULL, gets a line for each write that took effect.  NULL with error when
 * the port or the file can't be had.  End it with dh_standin_store_stop(). */
struct dh_standin_store *dh_standin_store_start(
    uint16_t port, int64_t latency_ms, const char *log_path, GError **error);
void dh_standin_store_stop(struct dh_standin_store *s);

uint16_t dh_standin_store_port(const struct dh_standin_store *s);

/* dh_standin_store_fault -- what POST /_fault does. */
bool dh_standin_store_fault(
    struct dh_standin_store *s, const char *json, GError **error);

uint64_t dh_standin_store_calls(
    struct dh_standin_store *s, enum dh_standin_call kind);

#endif
