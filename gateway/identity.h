#ifndef DH_GATEWAY_IDENTITY_H
#define DH_GATEWAY_IDENTITY_H

#include <stdint.h>

#include "base/http.h"
#include "gateway/registry.h"

/*
 * Questions of the leader to addresses that several entries name: which of the
 * backend servers of a service is there?  Each one is asked for by its id, on a
 * new connection, with a health check, which renews no lease and is answered by
 * another instance with 421.  The registry is told of each answer.  A question
 * without one is repeated with growing pauses for as long as the address is
 * disputed; meanwhile no keys are taken from the one that was there.  All
 * calls are made on the control thread.
 */
struct dh_identity;

/* dh_identity_new -- answered is called when the registry has been told of an
 * answer.  http and reg must outlive the object. */
struct dh_identity *dh_identity_new(struct dh_http *http,
    struct dh_registry *reg, void (*answered)(void *arg), void *arg);

/* dh_identity_free -- cancels the questions that are open. */
void dh_identity_free(struct dh_identity *w);

/* dh_identity_step -- ask about the disputed backend servers of a service for
 * which a question is due at now_ms, a time of dh_clock_ms(). */
void dh_identity_step(struct dh_identity *w, const char *service,
    const char *health_path, int64_t now_ms);

#endif
