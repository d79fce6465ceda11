#ifndef DH_CONFIG_ASSEMBLER_H
#define DH_CONFIG_ASSEMBLER_H

#include "config/assemble.h"

/*
 * Incremental form of dh_assemble() with the same result.  A change to a team
 * costs time in proportion to that team's declarations, plus one copy of the
 * whole configuration.  While two teams claim the same name or id, every
 * configuration is assembled from scratch.
 */
struct dh_assembler;

/* dh_assembler_new -- create an assembler without teams.  id_of is used as in
 * dh_assemble_ids().  The caller owns the result. */
struct dh_assembler *dh_assembler_new(dh_id_fn id_of);
void dh_assembler_free(struct dh_assembler *as);

/* dh_assembler_set -- add team, or replace the team of the same name.  The
 * assembler borrows team until it is replaced or the assembler is freed. */
void dh_assembler_set(struct dh_assembler *as, const struct dh_team *team);

/* dh_assembler_conf -- the configuration of all teams set.  Each omission is
 * added to problems; their order may differ from that of dh_assemble().  The
 * caller owns the result. */
struct dh_conf *dh_assembler_conf(
    const struct dh_assembler *as, GPtrArray *problems);

#endif
