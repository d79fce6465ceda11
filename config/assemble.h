#ifndef DH_CONFIG_ASSEMBLE_H
#define DH_CONFIG_ASSEMBLE_H

#include <dogwoodhub/conf.h>

#include "config/schema.h"

/*
 * dh_assemble -- the configuration in force: all teams' objects as one.
 *
 * Every VM gets the same result from the same objects, in whatever order they
 * are given.  Names of services, and of backend servers, are unique over all
 * teams.  dogwoodctl takes care of that when a declaration is accepted; if two
 * teams still hold a name (or two names with the same id), the one declared
 * first keeps it, by since_ms, then by the team's name, and the other is left
 * out with all that refers to it.  Whatever is left out is added to problems.
 *
 * The caller owns the result and ends it with dh_conf_free().
 */
struct dh_conf *dh_assemble(
    const struct dh_team *const *teams, size_t n, GPtrArray *problems);

/* dh_assemble_ids -- the same with another function of ids than dh_name_id. */
typedef uint64_t (*dh_id_fn)(const char *name);
struct dh_conf *dh_assemble_ids(const struct dh_team *const *teams, size_t n,
    dh_id_fn id_of, GPtrArray *problems);

/* dh_assemble_alloc -- zeroed memory for n parts of a configuration, at least
 * one; of malloc(), as dh_conf_free() expects.  Ends the process if there is
 * none. */
void *dh_assemble_alloc(size_t n, size_t size);

#endif
