#ifndef DH_CONTROL_VMLIST_H
#define DH_CONTROL_VMLIST_H

#include "control/control.h"

/*
 * The platform's list of live and leaving VMs, asked for every few seconds by
 * the VMs that watch the store and by those that know too few others.  It
 * lags; what it says is passed on as advice.
 */
enum dh_vmlist_state { DH_VMLIST_LIVE, DH_VMLIST_LEAVING, DH_VMLIST_MISSING };

struct dh_vmlist_entry {
	char name[DH_NAME_MAX];
	char address[DH_ADDRESS_MAX];
	uint16_t peer_port; /* 0: the list does not say */
	enum dh_vmlist_state state;
};

/* entry is borrowed; MISSING is told once for a VM listed before. */
typedef void (*dh_vmlist_fn)(void *arg, const struct dh_vmlist_entry *entry);

struct dh_vmlist;

/* dh_vmlist_new -- a follower of the list at url.  The caller owns it. */
struct dh_vmlist *dh_vmlist_new(
    struct dh_http *http, const char *url, dh_vmlist_fn each, void *arg);
void dh_vmlist_free(struct dh_vmlist *l);

/* dh_vmlist_poll -- ask now, unless an answer is still awaited. */
void dh_vmlist_poll(struct dh_vmlist *l);

/* dh_vmlist_take -- what an answer's body says; false when it is no list or
 * older than one already taken. */
bool dh_vmlist_take(struct dh_vmlist *l, const char *body);

#endif
