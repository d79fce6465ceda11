#ifndef DH_GATEWAY_SUSPECTS_H
#define DH_GATEWAY_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json.h>

#include <dogwoodhub/quarantine.h>

#include "gateway/view.h"
#include "gateway/worker.h"

/*
 * Requests that crash backend servers (dogwoodhub/quarantine.h), on the control
 * thread.  Each VM reports to the leader what it knows and the leader's last
 * heartbeat did not show; heartbeats carry what the leader knows.  The leader
 * keeps the refused requests in an object of the store, with which VMs start.
 */
struct dh_suspects;

/* Entries in a heartbeat or report at most; of more, refused requests and the
 * last changes. */
#define DH_SHARED_SUSPECTS 64
#define DH_SUSPECTS_OBJECT "quarantine" /* name of the object in the store */

struct dh_suspects *dh_suspects_new(void);
void dh_suspects_free(struct dh_suspects *s);

/* dh_suspects_add_worker_report -- merge what a worker has found.  True if
 * views have to be published again, as for the next three functions. */
bool dh_suspects_add_worker_report(
    struct dh_suspects *s, const struct dh_worker_report *r, int64_t now_ms);

/* dh_suspects_note_report -- as the leader, merge the entries of a VM's report,
 * a GArray of struct dh_suspect. */
bool dh_suspects_note_report(
    struct dh_suspects *s, const GArray *entries, int64_t now_ms);

/* dh_suspects_note_shared -- merge the entries of the leader's heartbeat. */
bool dh_suspects_note_shared(
    struct dh_suspects *s, const GArray *entries, int64_t now_ms);

/* dh_suspects_note_spec -- merge the spec of the object in the store. */
bool dh_suspects_note_spec(
    struct dh_suspects *s, struct json_object *spec, int64_t now_ms);

/* dh_suspects_expire -- true if views have to be published again. */
bool dh_suspects_expire(struct dh_suspects *s, int64_t now_ms);

/* dh_suspects_report -- append the entries that the leader lacks to a GArray of
 * struct dh_suspect. */
void dh_suspects_report(const struct dh_suspects *s, GArray *entries);

/* dh_suspects_share -- as the leader, append the entries of a heartbeat. */
void dh_suspects_share(const struct dh_suspects *s, GArray *entries);

/* dh_suspects_refuse -- whether any request is refused. */
bool dh_suspects_refuse(const struct dh_suspects *s);

/* dh_suspects_spec -- the spec of the object in the store; the caller frees the
 * text. */
char *dh_suspects_spec(const struct dh_suspects *s);

void dh_suspects_fill_view(const struct dh_suspects *s, struct dh_view *v);

#endif
