#ifndef DH_CONFIG_ASSEMBLE_H
#define DH_CONFIG_ASSEMBLE_H

#include <dogwoodhub/conf.h>

#include "config/schema.h"

/*
 * dh_assemble -- combine all teams' objects into the configuration in force.
 *
 * The result depends only on the objects, not on their order, so every VM
 * computes the same configuration.  Names of services, and of backend servers,
 * are unique across all teams.  dogwoodctl enforces that when it accepts a
 * declaration; if two teams nevertheless declare the same name (or two names
 * with the same id), the earliest declaration keeps it, by since_ms, then by
 * team name.  The other declaration is omitted, as is everything that refers
 * to it.  Each omission is added to problems.
 *
 * The caller owns the result and frees it with dh_conf_free().
 */
struct dh_conf *dh_assemble(
    const struct dh_team *const *teams, size_t n, GPtrArray *problems);

/* dh_assemble_ids -- dh_assemble() with id_of in place of dh_name_id(). */
typedef uint64_t (*dh_id_fn)(const char *name);
struct dh_conf *dh_assemble_ids(const struct dh_team *const *teams, size_t n,
    dh_id_fn id_of, GPtrArray *problems);

/* dh_assemble_alloc -- allocate zeroed memory for max(n, 1) elements of a
 * configuration.  It can be released with free(), as dh_conf_free() does.
 * Aborts the process when out of memory. */
void *dh_assemble_alloc(size_t n, size_t size);

#endif
