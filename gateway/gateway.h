#ifndef DH_GATEWAY_GATEWAY_H
#define DH_GATEWAY_GATEWAY_H

#include "gateway/settings.h"

/* dh_gateway_run -- run the gateway until SIGTERM or SIGINT.  The settings file
 * path is reloaded on SIGHUP and after a change.  Returns the exit status. */
int dh_gateway_run(const struct dh_gateway_settings *s, const char *path);

#endif
