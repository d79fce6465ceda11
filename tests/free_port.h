#ifndef DH_TESTS_FREE_PORT_H
#define DH_TESTS_FREE_PORT_H

#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Returns an unused UDP port, so that concurrent runs of a test do not use the
 * same one. */
static uint16_t
free_port(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	/* Binding to all addresses finds a port that is free on each. */
	if (fd < 0 || bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0)
		abort();
	(void)close(fd);
	return ntohs(sin.sin_port);
}

#endif
