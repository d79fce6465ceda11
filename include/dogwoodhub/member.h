#ifndef DOGWOODHUB_MEMBER_H
#define DOGWOODHUB_MEMBER_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * Membership of the VMs that run the system.
 */

enum dh_member_state {
	DH_MEMBER_LIVE,
	DH_MEMBER_SUSPECT, /* silent; not yet given up */
	DH_MEMBER_LEAVING, /* answers, but shuts down */
	DH_MEMBER_GONE, /* this incarnation is taken for lost */
};

/* What is known of one VM, as it travels between VMs. */
struct dh_member_record {
	char name[DH_NAME_MAX];
	uint64_t incarnation; /* rises with every start of its process */
	uint64_t version; /* rises with every word it says of itself */
	enum dh_member_state state;
	char zone[DH_NAME_MAX];
	char region[DH_NAME_MAX];
	char address[DH_ADDRESS_MAX];
	uint16_t peer_port;
};

#endif
