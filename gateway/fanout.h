#ifndef DH_GATEWAY_FANOUT_H
#define DH_GATEWAY_FANOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * The ways on which a datagram of the leader reaches all other VMs.  The leader
 * sends it to a few relays in each availability zone, and each relay passes it
 * on to a part of the other VMs there, through further relays if they are many.
 * Relays change with each datagram, so that the loss of one costs a VM single
 * datagrams only.  Addresses are IPv4 in network byte order.
 */

/* Up to this number of VMs are sent to directly: a relay costs time. */
#define DH_FANOUT_DIRECT_MAX 32
/* Relays of a zone at most, and the VMs that one more relay is used for. */
#define DH_FANOUT_ZONE_RELAYS 4
#define DH_FANOUT_RELAY_VMS 12
/* Copies that a relay sends at most. */
#define DH_FANOUT_COPIES 16

struct dh_fanout_vm {
	uint32_t address;
	const char *zone;
	int64_t core_share_milli; /* the largest ones become relays */
	bool relays; /* its build passes datagrams on */
	bool silent; /* may be gone: becomes no relay */
};

/* VMs that are reached through the first of them. */
struct dh_fanout_group {
	const uint32_t *addresses;
	size_t n; /* at least 1 */
};

typedef struct dh_fanout {
	uint32_t *addresses; /* of all groups */
	GArray *groups; /* of struct dh_fanout_group */
} dh_fanout;

/* dh_fanout_new -- group n VMs, which are reordered.  turn differs from call to
 * call: it decides which VMs become relays. */
struct dh_fanout *dh_fanout_new(
    struct dh_fanout_vm *vms, size_t n, uint32_t turn);
void dh_fanout_free(struct dh_fanout *f);

/* dh_fanout_split -- group the addresses that a relay passes a datagram on to;
 * every one of them can be a relay, the first ones best. */
struct dh_fanout *dh_fanout_split(const uint32_t *addresses, size_t n);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(dh_fanout, dh_fanout_free)

#endif
