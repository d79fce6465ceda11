#ifndef DH_CONTROL_RECORD_H
#define DH_CONTROL_RECORD_H

#include <glib.h>

#include <dogwoodhub/group.h>

/*
 * The content of a group's object in the store: a struct dh_group_record as
 * JSON.  Ids, incarnations and sequence numbers, which need all 64 bits, are
 * strings of hexadecimal digits.
 */

/* dh_record_encode -- the record as JSON; the caller frees the text with
 * g_free(). */
char *dh_record_encode(const struct dh_group_record *r);

/* dh_record_decode -- the record in a JSON text, to be freed with
 * dh_record_free(), or NULL with DH_ERROR_INVALID. */
struct dh_group_record *dh_record_decode(const char *text, GError **error);

void dh_record_free(struct dh_group_record *r);

#endif
