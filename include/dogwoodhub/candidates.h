#ifndef DOGWOODHUB_CANDIDATES_H
#define DOGWOODHUB_CANDIDATES_H

#include <dogwoodhub/group.h>

/* Number of candidates while a leader or deputy is live, and the most that can
 * be chosen. */
#define DH_CANDIDATES_DEFAULT 6u
#define DH_CANDIDATES_MAX 48u

/*
 * dh_candidates_choose -- choose the candidates of a group: the VMs that run
 * the group's state machine (see dh_group_step()) and may become its leader or
 * deputy.  VMs that are live, not dead and not leaving are ranked by rendezvous
 * hashing of group and VM.  The first VM of each availability zone comes first,
 * then the second of each zone, and so on; in each such round the VMs of the
 * given region (0: none) come first.
 *
 * Safety does not depend on the result: VMs with different views of the
 * membership choose different candidates.  Writes at most max ids to out, best
 * first, and returns their number; max must not exceed DH_CANDIDATES_MAX.
 */
size_t dh_candidates_choose(uint64_t group, uint64_t region,
    const struct dh_group_vm *vms, size_t n, uint64_t *out, size_t max);

/* dh_candidates_has -- whether dh_candidates_choose() with these arguments
 * chooses vm; usually much cheaper than the whole choice if it does not. */
bool dh_candidates_has(uint64_t group, uint64_t region,
    const struct dh_group_vm *vms, size_t n, const struct dh_group_vm *vm,
    size_t max);

#endif
