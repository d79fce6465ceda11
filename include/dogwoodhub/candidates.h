#ifndef DOGWOODHUB_CANDIDATES_H
#define DOGWOODHUB_CANDIDATES_H

#include <dogwoodhub/group.h>

/* VMs that run a group's machine while its leader or deputy serves, and the
 * most that are ever chosen. */
#define DH_CANDIDATES 6u
#define DH_CANDIDATES_MAX 48u

/*
 * dh_candidates_choose -- the VMs that are to run a group's machine: by
 * rendezvous hash of group and VM, over those that are live and not leaving.
 * One of each availability zone comes first, then a second of each and so on;
 * within such a round the zones of the given region (0: none) come first.
 *
 * The choice is advice: VMs with different views choose differently, and no
 * safety rests on it.  Writes at most max ids, the first choice first, and
 * returns how many; max is DH_CANDIDATES_MAX at most.
 */
size_t dh_candidates_choose(uint64_t group, uint64_t region,
    const struct dh_group_vm *vms, size_t n, uint64_t *out, size_t max);

/* dh_candidates_has -- whether vm is among those chosen; much cheaper than the
 * whole choice when it is not. */
bool dh_candidates_has(uint64_t group, uint64_t region,
    const struct dh_group_vm *vms, size_t n, const struct dh_group_vm *vm,
    size_t max);

#endif
