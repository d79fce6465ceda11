#ifndef DH_ROUTER_TARGET_H
#define DH_ROUTER_TARGET_H

#include <stdbool.h>
#include <stddef.h>

#include <dogwoodhub/types.h>

#define DH_KEY_MAX 256

/* The service and key that a request's path names. */
struct dh_target {
	char service[DH_NAME_MAX];
	char key[DH_KEY_MAX];
};

/*
 * dh_target_parse -- parse the raw target "/SERVICE/KEY/...?..." and decode
 * percent-encoding.  The key is "" if there is no second segment.  False when
 * there is no service, a part is too long or its encoding is invalid.
 */
bool dh_target_parse(struct dh_target *t, const char *path);

/* dh_target_set_key -- replace the key, as by a header; false when it is too
 * long. */
bool dh_target_set_key(struct dh_target *t, const char *key);

#endif
