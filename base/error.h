#ifndef DH_BASE_ERROR_H
#define DH_BASE_ERROR_H

#include <glib.h>

/*
 * DH_ERROR -- the GError domain of every package above core.
 *
 * An outcome that a caller must tell apart has a code of its own; the
 * message is for people.
 */
#define DH_ERROR (dh_error_quark())

enum dh_error {
	DH_ERROR_INVALID, /* input breaks its schema */
	DH_ERROR_IO, /* socket, file or transport failed */
	DH_ERROR_TIMEOUT, /* no answer in time: the effect is unknown */
	DH_ERROR_NOT_FOUND, /* the object does not exist */
	DH_ERROR_CONFLICT, /* the object has another version */
	DH_ERROR_REFUSED, /* the other side refused: it had no effect */
	DH_ERROR_UNAVAILABLE, /* the other side is down: it had no effect */
};

GQuark dh_error_quark(void);

#endif
