#ifndef DH_GATEWAY_VIEW_H
#define DH_GATEWAY_VIEW_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/balance.h>
#include <dogwoodhub/deployment.h>
#include <dogwoodhub/keyspace.h>

#include <glib.h>

/*
 * What requests are routed by: configuration, backend servers and owners of
 * keys at one moment.  The control thread makes it; it never changes, and goes
 * when the last request that was routed by it has ended.
 */

/* A keyed backend server that leaves gets its last requests so long before
 * they would be too late: a VM that missed the leader's datagram knows of it
 * after the leader's pause, a heartbeat, the patience after it and a call, and
 * a request takes its way. */
#define DH_CLOSE_EARLY_MS 800

struct dh_view_server {
	uint32_t uid; /* of this id, life and address; never used again */
	char id[DH_NAME_MAX];
	int64_t born_ms; /* of this life */
	struct sockaddr_in address;
	enum dh_tier tier; /* as seen from this VM */
	uint32_t service;
	uint32_t slots;
	bool closed; /* left, or leaving for so long that it gets nothing */
	int64_t cold_until_ms;
};

struct dh_view_range {
	uint32_t to; /* inclusive; begins after the one before */
	uint32_t server; /* index, or DH_NONE */
	bool settled; /* the server has accepted the keys */
};

struct dh_view_service {
	uint32_t *servers; /* indices, nearest tier first */
	size_t nservers;
	size_t tier_end[DH_TIERS]; /* in servers */
	struct dh_view_range *ranges; /* of a keyed service */
	size_t nranges;
};

struct dh_view {
	gatomicrefcount refs;
	struct dh_view *base; /* whose backend servers these are; or NULL */
	GHashTable *by_id; /* of backend servers, their index and 1; or NULL */
	struct dh_deployment **deployment; /* g_atomic_rc_box */
	struct dh_view_server *servers;
	size_t nservers;
	struct dh_view_service *services; /* in the deployment's order */
	uint32_t vms; /* that share the backend servers */
	uint64_t number; /* counts views of this process */
	uint64_t owners_version; /* of the newest owners in it */
};

/* dh_view_new -- an empty one that holds a reference to deployment, a box
 * made by dh_deployment_box(). */
struct dh_view *dh_view_new(struct dh_deployment **deployment);
struct dh_view *dh_view_ref(struct dh_view *v);

/* dh_view_new_like -- one with the configuration and the backend servers of
 * base, which it shares, and without owners of keys. */
struct dh_view *dh_view_new_like(struct dh_view *base);

/* dh_view_find -- the index of a backend server, or DH_NONE.  By the thread
 * that makes views. */
uint32_t dh_view_find(const struct dh_view *v, const char *id);
void dh_view_unref(struct dh_view *v);

/* dh_deployment_box -- takes d over; freed with the last reference. */
struct dh_deployment **dh_deployment_box(struct dh_deployment *d);
void dh_deployment_unbox(struct dh_deployment **box);

/* dh_view_owner -- the range of a key, or NULL if none is known. */
const struct dh_view_range *dh_view_owner(
    const struct dh_view *v, uint32_t service, uint32_t key);

#endif
