#ifndef DH_CONTROL_VMLIST_H
#define DH_CONTROL_VMLIST_H

#include "control/control.h"

/*
 * The platform's list of live and leaving VMs.  While there are few VMs each of
 * them requests it every few seconds, else only those that watch the store do.
 * The list may lag, so users must treat its entries as hints.
 */
enum dh_vmlist_state { DH_VMLIST_LIVE, DH_VMLIST_LEAVING, DH_VMLIST_MISSING };

struct dh_vmlist_entry {
	char name[DH_NAME_MAX];
	char address[DH_ADDRESS_MAX];
	uint16_t peer_port; /* 0 if not in the list */
	enum dh_vmlist_state state;
};

/* Called for each VM of a new list and, with MISSING, once for each VM that was
 * in the previous list only.  entry is borrowed. */
typedef void (*dh_vmlist_fn)(void *arg, const struct dh_vmlist_entry *entry);

struct dh_vmlist;

/* dh_vmlist_new -- a client of the list at url; http is borrowed.  The caller
 * owns the result. */
struct dh_vmlist *dh_vmlist_new(
    struct dh_http *http, const char *url, dh_vmlist_fn each, void *arg);
void dh_vmlist_free(struct dh_vmlist *l);

/* dh_vmlist_poll -- request the list, unless a request is in flight. */
void dh_vmlist_poll(struct dh_vmlist *l);

/* dh_vmlist_process -- process the body of an answer; false if it is no valid
 * list or older than the last one processed. */
bool dh_vmlist_process(struct dh_vmlist *l, const char *body);

#endif
