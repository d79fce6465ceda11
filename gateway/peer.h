#ifndef DH_GATEWAY_PEER_H
#define DH_GATEWAY_PEER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include <dogwoodhub/types.h>

#include "gateway/fanout.h"
#include "gateway/limits.h"
#include "gateway/record.h"
#include "gateway/registry.h"
#include "gateway/suspects.h"

/*
 * UDP datagrams between VMs, in msgpack.  The leader sends heartbeats, owners
 * of keys and changes of objects in the store; the other VMs send reports of
 * what their routers observed.  Datagrams may be lost and are only hints:
 * whatever the VMs must agree on is in the store.  All functions run on the
 * control thread.
 */
struct dh_peer;

/* A heartbeat of the leader. */
struct dh_leader_heartbeat {
	char vm[DH_NAME_MAX];
	uint64_t term;
	bool failing; /* it cannot reach the store, or is stopping */
	bool lost; /* it reaches no backend server of a keyed service */
	uint32_t vms; /* VMs that report to it, itself included */
	uint64_t era; /* era of the cursors' revisions */
	/* Rises by one with each heartbeat to the VM; 0: an earlier release. */
	uint64_t number;
	struct dh_registry_cursor cursors[DH_REGISTRY_KINDS];
	GArray *limits; /* of struct dh_shared_limit; borrowed */
	GArray *suspects; /* of struct dh_suspect; borrowed */
	/* Names of the evacuated zones; borrowed; NULL: the leader does not
	 * know them. */
	GPtrArray *evacuated;
};

/* How far a VM has read the store for the VMs of its zone. */
struct dh_peer_cursors {
	int64_t core_share_milli; /* of the VM */
	uint64_t era; /* of the cursors' revisions */
	struct dh_registry_cursor cursors[DH_REGISTRY_KINDS];
};

#define DH_PEER_SERVICES 16

/* What the router of a VM has observed; sent to the leader. */
struct dh_peer_report {
	char vm[DH_NAME_MAX];
	/* Term of the leader that the VM follows.  A VM that reports a term
	 * sends no orders to backend servers itself. */
	uint64_t term;
	/* Number of the last heartbeat of that leader that the VM had received
	 * when it sent this report; 0: none, or its build does not tell. */
	uint64_t beat;
	/* Whether its build passes datagrams on; set by the receiver. */
	bool relays;
	uint32_t nowners; /* services whose owners it knows */
	struct {
		char service[DH_NAME_MAX];
		uint64_t term, version;
	} owners[DH_PEER_SERVICES];
	GArray *keys; /* of struct dh_peer_key; borrowed */
	GArray *servers; /* of struct dh_peer_server; borrowed */
	GArray *leaving; /* of struct dh_peer_leaving; borrowed */
	GArray *limits; /* of struct dh_limit_report; borrowed */
	GArray *suspects; /* of struct dh_suspect; borrowed */
};

/* A backend server whose responses say that it is leaving. */
struct dh_peer_leaving {
	char id[DH_NAME_MAX];
	int64_t start_ms; /* start of its incarnation */
};

struct dh_peer_key {
	uint32_t owners; /* index into owners of the report */
	uint32_t key;
};

struct dh_peer_server {
	char id[DH_NAME_MAX];
	uint32_t work_ms; /* mean of the samples since the last report */
	uint32_t samples;
};

/* One part of the complete list of a service's key owners, for VMs that know no
 * earlier version of it. */
struct dh_peer_part {
	char service[DH_NAME_MAX];
	uint64_t term, version;
	uint32_t part, parts; /* number of this part, from 0, and of parts */
	/* Changes to a record without owners: struct dh_record_change;
	 * borrowed. */
	GArray *changes;
};

#define DH_PEER_PARTS 64

/* Changes of a service's key owners from version base to version. */
struct dh_peer_delta {
	char service[DH_NAME_MAX];
	uint64_t term, base, version;
	GArray *changes; /* of struct dh_record_change; borrowed */
};

/* Kinds of datagrams, as they are numbered on the wire. */
enum dh_peer_kind {
	DH_PEER_HEARTBEAT = 1,
	DH_PEER_OWNERS = 2,
	DH_PEER_REPORT = 3,
	DH_PEER_DELTA = 4,
	DH_PEER_CHANGES = 5,
	DH_PEER_RELAYED = 6, /* another datagram, to be passed on */
	DH_PEER_CURSORS = 7,
	DH_PEER_KINDS,
};

/* What was sent since the last call of dh_peer_take_traffic(). */
struct dh_peer_traffic {
	uint64_t bytes[DH_PEER_KINDS];
	uint64_t datagrams[DH_PEER_KINDS];
	uint64_t unsent; /* datagrams that the socket did not take */
};

struct dh_peer_handler {
	void (*heartbeat)(void *arg, const struct dh_leader_heartbeat *beat,
	    const char *from_ip);
	void (*owners)(void *arg, const struct dh_peer_part *part);
	void (*delta)(void *arg, const struct dh_peer_delta *d);
	void (*report)(void *arg, const struct dh_peer_report *report,
	    const char *from_ip);
	/* changes and all that it refers to are borrowed. */
	void (*changes)(void *arg, const struct dh_registry_changes *changes,
	    uint64_t term);
	/* A datagram that this VM is to pass on by dh_peer_pass_on(); it is
	 * also handled as if it had come by itself. */
	void (*relayed)(void *arg, const uint32_t *addresses, size_t n,
	    const void *datagram, size_t len);
	void (*cursors)(
	    void *arg, const struct dh_peer_cursors *c, const char *from_ip);
	void *arg;
};

/* dh_peer_decode -- decode a datagram and call its function of the handler;
 * false, without a call, if the datagram is malformed. */
bool dh_peer_decode(const struct dh_peer_handler *h, const void *data,
    size_t len, const char *ip);

/* dh_peer_new -- receive datagrams on ip and port; NULL with DH_ERROR_IO. */
struct dh_peer *dh_peer_new(uv_loop_t *loop, const char *ip, uint16_t port,
    const struct dh_peer_handler *h, GError **error);
void dh_peer_free(struct dh_peer *p);

/* dh_peer_take_traffic -- return what was sent since the last call. */
struct dh_peer_traffic dh_peer_take_traffic(struct dh_peer *p);

/*
 * These send to the same port of other VMs.  Failures are only counted.
 *
 * dh_peer_send_owners -- send the complete list of a service's key owners, in
 * as many datagrams as it takes.
 *
 * dh_peer_publish_delta -- send changes of owners to all VMs of f.
 *
 * dh_peer_publish_changes -- send changes of objects in the store to all VMs of
 * f, in as many datagrams as it takes; term is the leader's.
 *
 * dh_peer_pass_on -- pass a datagram of the leader on to other VMs.
 */
void dh_peer_send_heartbeat(
    struct dh_peer *p, const char *ip, const struct dh_leader_heartbeat *beat);
void dh_peer_send_cursors(
    struct dh_peer *p, const char *ip, const struct dh_peer_cursors *c);
void dh_peer_send_owners(struct dh_peer *p, const char *ip, const char *service,
    const struct dh_record *record);
void dh_peer_send_delta(
    struct dh_peer *p, const char *ip, const struct dh_peer_delta *d);
void dh_peer_publish_delta(struct dh_peer *p, const struct dh_fanout *f,
    const struct dh_peer_delta *d);
void dh_peer_publish_changes(struct dh_peer *p, const struct dh_fanout *f,
    const struct dh_registry_changes *changes, uint64_t term);
void dh_peer_pass_on(struct dh_peer *p, const uint32_t *addresses, size_t n,
    const void *datagram, size_t len);
void dh_peer_send_report(
    struct dh_peer *p, const char *ip, const struct dh_peer_report *r);

#endif
