#ifndef DH_CONTROL_RECORD_H
#define DH_CONTROL_RECORD_H

#include <glib.h>

#include <dogwoodhub/group.h>

/*
 * A group's object in the store: a struct dh_group_record as JSON.  Numbers
 * of 64 bits are strings of hex digits.
 */

/* dh_record_encode -- the caller frees the text. */
char *dh_record_encode(const struct dh_group_record *r);

/* dh_record_decode -- a new record, ended with dh_record_free(), or NULL with
 * DH_ERROR_INVALID. */
struct dh_group_record *dh_record_decode(const char *text, GError **error);

void dh_record_free(struct dh_group_record *r);

#endif
