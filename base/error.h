#ifndef DH_BASE_ERROR_H
#define DH_BASE_ERROR_H

#include <glib.h>

/*
 * DH_ERROR -- the GError domain of every package above core.
 *
 * Errors that a caller must distinguish have their own code; the message is
 * for people.
 */
#define DH_ERROR (dh_error_quark())

enum dh_error {
	DH_ERROR_INVALID, /* input does not conform to its schema */
	DH_ERROR_IO, /* socket, file or transport failed */
	DH_ERROR_TIMEOUT, /* no answer in time; the effect is unknown */
	DH_ERROR_NOT_FOUND, /* the object does not exist */
	DH_ERROR_CONFLICT, /* the object does not have the expected version */
	DH_ERROR_REFUSED, /* rejected by the remote side; no effect */
	DH_ERROR_UNAVAILABLE, /* remote side unavailable; no effect */
};

GQuark dh_error_quark(void);

#endif
