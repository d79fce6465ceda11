#ifndef DH_CONFIG_ASSEMBLER_H
#define DH_CONFIG_ASSEMBLER_H

#include "config/assemble.h"

/*
 * The same configuration as dh_assemble() gives, kept from one change to the
 * next: a team's change costs about that team's declarations, and a copy of
 * all.  While two teams claim a name (or id), all is assembled anew.
 */
struct dh_assembler;

/* dh_assembler_new -- id_of: as for dh_assemble_ids().  The caller owns it. */
struct dh_assembler *dh_assembler_new(dh_id_fn id_of);
void dh_assembler_free(struct dh_assembler *as);

/* dh_assembler_set -- a team as it is now, in place of the one of its name.
 * Borrowed until it is replaced or the assembler is freed. */
void dh_assembler_set(struct dh_assembler *as, const struct dh_team *team);

/* dh_assembler_conf -- of all teams set.  What is left out is added to
 * problems, in an order of its own.  The caller owns the result. */
struct dh_conf *dh_assembler_conf(
    const struct dh_assembler *as, GPtrArray *problems);

#endif
