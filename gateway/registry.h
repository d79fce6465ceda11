#ifndef DH_GATEWAY_REGISTRY_H
#define DH_GATEWAY_REGISTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include <dogwoodhub/keyspace.h>

#include "gateway/era.h"
#include "gateway/settings.h"
#include "gateway/view.h"
#include "platform/objects.h"

/*
 * The configuration in force and the backend servers, as read from the
 * platform's object store, directly or through the leader.  All functions run
 * on the control thread.
 */
struct dh_registry;

/* dh_registry_new -- start to read the store through o.  The first lists come
 * from source, another VM, unless that is NULL.  changed is called when the
 * next view will differ from the last.  s, loop, o and source must outlive the
 * registry. */
struct dh_registry *dh_registry_new(uv_loop_t *loop, struct dh_objects *o,
    struct dh_objects *source, const struct dh_gateway_settings *s,
    void (*changed)(void *arg), void *arg);

/* dh_registry_list -- all known objects of a kind, in the format of the store's
 * lists; the caller frees the text.  NULL if the registry does not read the
 * kind or has not listed it yet. */
GString *dh_registry_list(const struct dh_registry *r, const char *kind);
void dh_registry_free(struct dh_registry *r);

/* dh_registry_set_outage_check -- after an outage of the store as this VM saw
 * it, store_was_reachable is asked whether another VM has reached the store all
 * the time since since_ms.  If so, entries have not expired because of the
 * outage, and backend servers whose entries are missing are presumed gone at
 * once instead of after return_ms.  NULL removes the function. */
void dh_registry_set_outage_check(struct dh_registry *r,
    bool (*store_was_reachable)(void *arg, int64_t since_ms), void *arg);

/* Kinds of objects that the registry reads. */
enum dh_registry_kind {
	DH_REGISTRY_SERVERS,
	DH_REGISTRY_CONFIG,
	DH_REGISTRY_KINDS,
};

/* How far a VM has read a kind. */
struct dh_registry_cursor {
	uint64_t as_of; /* the store's revision at the last change */
	bool reached; /* the store answers the VM */
	/* Time since all changes were known that had been made by then;
	 * UINT32_MAX: not known. */
	uint32_t age_ms;
};

/* All changes of a kind after revision since, up to and including as_of. */
struct dh_registry_changes {
	enum dh_registry_kind kind;
	uint64_t since, as_of;
	const struct dh_object_view *items; /* borrowed */
	size_t nitems;
	uint64_t era; /* era of the revisions, see gateway/era.h */
};

/*
 * One VM, the leader, watches the store and sends the changes to the other VMs,
 * which ask the store only for changes that they missed.
 *
 * dh_registry_set_leading -- act as the leader: send is called with the changes
 * of each answer that has any.  NULL: stop to act as the leader.
 *
 * dh_registry_cursors -- how far this VM has read each kind; the leader sends
 * this to the other VMs.
 *
 * dh_registry_reads_store -- whether the store itself answers this VM, for each
 * kind; before its first answer the cursors are those of the leader before.
 *
 * dh_registry_set_leader_cursors -- set how far the leader has read each kind.
 * A VM that stays behind asks the store.  NULL: there is no leader or it is
 * silent, and this VM watches the store itself.
 *
 * dh_registry_apply_changes -- apply changes that the leader sent.
 */
void dh_registry_set_leading(struct dh_registry *r,
    void (*send)(void *arg, const struct dh_registry_changes *n), void *arg);
void dh_registry_cursors(const struct dh_registry *r,
    struct dh_registry_cursor cursors[DH_REGISTRY_KINDS]);
bool dh_registry_reads_store(const struct dh_registry *r);
void dh_registry_set_leader_cursors(
    struct dh_registry *r, const struct dh_registry_cursor *cursors);
void dh_registry_apply_changes(
    struct dh_registry *r, const struct dh_registry_changes *changes);

/* dh_registry_note_outage -- no VM is known to reach the store: entries that
 * are missing when it is reached again may have expired meanwhile. */
void dh_registry_note_outage(struct dh_registry *r);

/* dh_registry_check_age -- ask the store for changes of backend servers if
 * their list has been too old for spread_ms.  To be called regularly while
 * dh_registry_set_leader_cursors() is not. */
void dh_registry_check_age(struct dh_registry *r, int64_t spread_ms);

/* dh_registry_era -- the era of the store's data, shared by all modules that
 * read the store; freed with the registry. */
struct dh_era *dh_registry_era(const struct dh_registry *r);

/* dh_registry_deployment -- the configuration in force, borrowed; NULL before
 * the first. */
const struct dh_deployment *dh_registry_deployment(const struct dh_registry *r);

/* dh_registry_ready -- whether a configuration and the list of backend
 * servers are known. */
bool dh_registry_ready(const struct dh_registry *r);

/* dh_registry_view -- a new view without owners of keys, a reference that the
 * caller releases; NULL before the first configuration. */
struct dh_view *dh_registry_view(struct dh_registry *r);

/* dh_registry_next_change_ms -- when the next view will differ only because
 * time has passed: a leaving backend server gets its last request.  INT64_MAX
 * if there is no such time. */
int64_t dh_registry_next_change_ms(const struct dh_registry *r);

/* dh_registry_servers -- append a service's backend servers to a GArray of
 * struct dh_keyspace_server.  Those that are gone are included for at least
 * a minute, marked as leaving.  Left out are those whose address another one
 * has, as far as is known; see dh_registry_disputed(). */
void dh_registry_servers(
    const struct dh_registry *r, const char *service, GArray *list);

/* dh_registry_set_evacuated -- set the zones whose backend servers are to get
 * no requests, by name.  Keys are moved off them, and they are sent requests
 * for their keys for some time more.  For return_ms after a restore of the
 * store no zone is put back into use.  True if the next view will differ. */
bool dh_registry_set_evacuated(struct dh_registry *r, const GPtrArray *zones);

/* dh_registry_starting -- append the backend servers that start, and for which
 * the configuration says how many requests they bear meanwhile, to a GArray of
 * struct dh_starting_server. */
struct dh_starting_server {
	char id[DH_NAME_MAX];
	int64_t start_ms; /* start of its incarnation */
	double per_s; /* from all VMs together */
};
void dh_registry_starting(const struct dh_registry *r, GArray *list);

/* One incarnation of a backend server. */
struct dh_instance {
	char id[DH_NAME_MAX];
	int64_t start_ms;
};

/*
 * Several entries may name the same address: an address is used again after
 * the end of a backend server, and an entry may come from another writer.  An
 * entry is no evidence of which one is there; only an answer from the address
 * is.
 *
 * dh_registry_disputed -- append the backend servers of a service whose address
 * other entries name too, and of which no answer has told whether they are
 * there, to a GArray of struct dh_instance.
 *
 * dh_registry_note_instance -- an answer from the address of an incarnation has
 * shown that it is there, or that another one is.
 */
void dh_registry_disputed(
    const struct dh_registry *r, const char *service, GArray *list);
void dh_registry_note_instance(
    struct dh_registry *r, const char *id, int64_t start_ms, bool there);

/* dh_registry_mark_leaving -- mark a backend server as leaving because one of
 * its responses said so.  The mark holds, whatever its entry in the store says,
 * for the incarnation that started at start_ms; another one is not marked. */
void dh_registry_mark_leaving(
    struct dh_registry *r, const char *id, int64_t start_ms);

/* dh_registry_start_ms -- start of the incarnation of a backend server that is
 * known; 0 if none is. */
int64_t dh_registry_start_ms(const struct dh_registry *r, const char *id);

/* dh_registry_address -- the current or last address of a backend server, as
 * "IP:port"; the caller frees it.  NULL if the backend server is unknown. */
char *dh_registry_address(const struct dh_registry *r, const char *id);

#endif
