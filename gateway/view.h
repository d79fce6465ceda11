#ifndef DH_GATEWAY_VIEW_H
#define DH_GATEWAY_VIEW_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/balance.h>
#include <dogwoodhub/deployment.h>
#include <dogwoodhub/keyspace.h>
#include <dogwoodhub/quarantine.h>

#include <glib.h>

/*
 * A view is an immutable snapshot of the configuration, the backend servers and
 * the owners of keys, by which requests are routed.  The control thread creates
 * it; it is freed with its last reference, which a request may hold.
 */

/* A leaving backend server of a keyed service is sent requests until this time
 * before the end of its drain period (drain_s).  The margin covers the delay of
 * a heartbeat or a view on a busy VM, a new connection (connect_ms), and the
 * time for a request to arrive. */
#define DH_DRAIN_MARGIN_MS 500

struct dh_view_server {
	uint32_t uid; /* unique for id, start_ms and address; not reused */
	char id[DH_NAME_MAX];
	int64_t start_ms; /* start time of the backend server's process */
	struct sockaddr_in address;
	enum dh_tier tier; /* distance from this VM */
	const char *zone, *region; /* interned; "" if they are not known */
	uint32_t service;
	uint32_t slots; /* limit of concurrent requests */
	/* From then on it is sent no requests, as it has left, is leaving or
	 * was replaced: a time of the workers' clock; 0: it is in use. */
	int64_t close_ms;
	int64_t slow_start_until_ms; /* end of the slow start, or 0 */
	/* Requests per second that it bears until then from all VMs; 0: no
	 * bound is known. */
	double slow_start_per_s;
};

struct dh_view_range {
	uint32_t to; /* last key; the first follows the previous range */
	uint32_t server; /* index in servers of the view, or DH_NONE */
	bool settled; /* the server has accepted the keys of the range */
};

struct dh_view_service {
	uint32_t *servers; /* indices, nearest tier first */
	size_t nservers;
	size_t tier_end[DH_TIERS]; /* index in servers after each tier */
	struct dh_view_range *ranges; /* of a keyed service, by key */
	size_t nranges;
};

/* The rate limit of a backend server, as the leader shares it. */
struct dh_view_limit {
	uint32_t uid; /* of the backend server */
	double per_s;
	double fraction; /* of the requests that are admitted */
};

/* Another VM, to which requests may be forwarded. */
struct dh_view_peer {
	uint32_t uid; /* from DH_PEER_UID_FIRST on; not reused */
	char vm[DH_NAME_MAX];
	struct sockaddr_in address;
	enum dh_tier tier; /* distance from this VM */
	const char *zone, *region; /* interned; "" if they are not known */
	int64_t link_kbps; /* rate of its network link; 0: not known */
};

/* Less than this: uids of backend servers. */
#define DH_PEER_UID_FIRST UINT32_C(0x80000000)

struct dh_view_peers {
	uint64_t number; /* rises with each new list of this process */
	size_t n;
	struct dh_view_peer list[]; /* nearest first */
};

struct dh_view {
	gatomicrefcount refs;
	struct dh_view *base; /* owner of by_id and servers; NULL: itself */
	GHashTable *by_id; /* id of a server -> its index + 1; or NULL */
	struct dh_deployment **deployment; /* g_atomic_rc_box */
	struct dh_view_server *servers;
	size_t nservers;
	struct dh_view_service *services; /* in the deployment's order */
	struct dh_view_limit *limits; /* of this view, also if derived */
	size_t nlimits;
	/* Requests that may crash backend servers, of this view as well. */
	struct dh_suspect *suspects;
	size_t nsuspects;
	struct dh_view_peers *peers; /* g_atomic_rc_box; or NULL */
	uint32_t vms; /* number of VMs that share the backend servers */
	/* At least as many as there are, with those that may have ended; 0: not
	 * known. */
	uint32_t vms_max;
	uint64_t number; /* sequence number within this process */
	uint64_t owners_version; /* newest version of owners in the view */
};

/* dh_view_peers_new -- a g_atomic_rc_box with room for max VMs, and none in it.
 */
struct dh_view_peers *dh_view_peers_new(size_t max);

/* dh_view_new -- an empty view.  It takes a new reference to deployment, which
 * was made by dh_deployment_box(). */
struct dh_view *dh_view_new(struct dh_deployment **deployment);
struct dh_view *dh_view_ref(struct dh_view *v);

/* dh_view_new_derived -- a view that shares the configuration and the backend
 * servers of base, and has no owners of keys. */
struct dh_view *dh_view_new_derived(struct dh_view *base);

/* dh_view_find -- the index of a backend server, or DH_NONE.  To be called only
 * by the thread that creates views. */
uint32_t dh_view_find(const struct dh_view *v, const char *id);
void dh_view_unref(struct dh_view *v);

/* dh_deployment_box -- make a reference-counted box with one reference.  It
 * takes ownership of d, and frees it when dh_deployment_unbox() has dropped the
 * last reference. */
struct dh_deployment **dh_deployment_box(struct dh_deployment *d);
void dh_deployment_unbox(struct dh_deployment **box);

/* dh_view_server_is_closed -- whether the backend server is sent no requests at
 * now_ms, a time of the workers' clock. */
bool dh_view_server_is_closed(const struct dh_view_server *s, int64_t now_ms);

/* dh_view_owner -- the range that contains a key, or NULL. */
const struct dh_view_range *dh_view_owner(
    const struct dh_view *v, uint32_t service, uint32_t key);

#endif
