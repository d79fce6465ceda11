#ifndef DH_GATEWAY_GATEWAY_H
#define DH_GATEWAY_GATEWAY_H

#include "gateway/settings.h"

/* dh_gateway_run -- serve until SIGTERM or SIGINT; path is read again at
 * SIGHUP and when it has changed.  Returns the exit status. */
int dh_gateway_run(const struct dh_gateway_settings *s, const char *path);

#endif
