#ifndef DH_GATEWAY_PEER_H
#define DH_GATEWAY_PEER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include <dogwoodhub/types.h>

#include "gateway/record.h"
#include "gateway/registry.h"

/*
 * Datagrams between VMs, in msgpack: the leader's heartbeats and the owners of
 * keys one way, what routers have seen the other.  All of it is advice: what
 * must be agreed on is in the store.  On the control thread.
 */
struct dh_peer;

/* The leader is in office. */
struct dh_beat {
	char vm[DH_NAME_MAX];
	uint64_t term;
	bool failing; /* it cannot reach the store, or is about to leave */
	uint32_t vms; /* that report to it, itself included */
	uint64_t era; /* of the cursors' revisions */
	struct dh_registry_cursor cursors[DH_REGISTRY_KINDS];
};

#define DH_PEER_SERVICES 16

/* What a router has seen. */
struct dh_peer_report {
	char vm[DH_NAME_MAX];
	uint64_t term; /* of the leader that it follows, giving no orders */
	uint32_t nowners; /* services whose owners it knows */
	struct {
		char service[DH_NAME_MAX];
		uint64_t term, version;
	} owners[DH_PEER_SERVICES];
	GArray *keys; /* of struct dh_peer_key; borrowed */
	GArray *servers; /* of struct dh_peer_server; borrowed */
	GArray *leaving; /* of struct dh_peer_leaving; borrowed */
};

/* A backend server whose answers say that it is leaving. */
struct dh_peer_leaving {
	char id[DH_NAME_MAX];
	int64_t born_ms;
};

struct dh_peer_key {
	uint32_t owners; /* index into owners */
	uint32_t key;
};

struct dh_peer_server {
	char id[DH_NAME_MAX];
	uint32_t work_ms; /* mean of the measurements since the last report */
	uint32_t samples;
};

/* Part of all owners of a service: those that know none of its version. */
struct dh_peer_part {
	char service[DH_NAME_MAX];
	uint64_t term, version;
	uint32_t part, parts; /* from 0 on */
	GArray
	    *changes; /* of struct dh_record_change, from nothing; borrowed */
};

#define DH_PEER_PARTS 64

/* How the owners differ from an earlier version. */
struct dh_peer_delta {
	char service[DH_NAME_MAX];
	uint64_t term, base, version;
	GArray *changes; /* of struct dh_record_change; borrowed */
};

struct dh_peer_handler {
	void (*beat)(
	    void *arg, const struct dh_beat *beat, const char *from_ip);
	void (*owners)(void *arg, const struct dh_peer_part *part);
	void (*delta)(void *arg, const struct dh_peer_delta *d);
	void (*report)(void *arg, const struct dh_peer_report *report,
	    const char *from_ip);
	/* All of it is borrowed. */
	void (*news)(
	    void *arg, const struct dh_registry_news *news, uint64_t term);
	void *arg;
};

/* dh_peer_decode -- hand a datagram to the handler that it is for; false, and
 * nothing is called, if it makes no sense. */
bool dh_peer_decode(const struct dh_peer_handler *h, const void *data,
    size_t len, const char *ip);

/* dh_peer_new -- receive on ip and port; NULL with DH_ERROR_IO. */
struct dh_peer *dh_peer_new(uv_loop_t *loop, const char *ip, uint16_t port,
    const struct dh_peer_handler *h, GError **error);
void dh_peer_free(struct dh_peer *p);

/* Send to the same port of another VM; a datagram may be lost. */
void dh_peer_send_beat(
    struct dh_peer *p, const char *ip, const struct dh_beat *beat);
/* In as many datagrams as it takes. */
void dh_peer_send_owners(struct dh_peer *p, const char *ip, const char *service,
    const struct dh_record *record);
void dh_peer_send_delta(
    struct dh_peer *p, const char *ip, const struct dh_peer_delta *d);
/* In as many datagrams as it takes. */
void dh_peer_send_news(struct dh_peer *p, const char *const *ips, size_t nips,
    const struct dh_registry_news *news, uint64_t term);
void dh_peer_send_report(
    struct dh_peer *p, const char *ip, const struct dh_peer_report *r);

#endif
