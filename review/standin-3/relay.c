/*
 * The network between gateway 1 and the others, for their datagrams.  Gateway 1
 * uses PORT_1 for peers and the others use PORT_2, so that each side's datagrams
 * come here and are passed on from the sender's own address.  SIGUSR1 cuts the
 * network: datagrams are dropped; SIGUSR2 heals it.
 *
 * usage: relay PORT_1 PORT_2 IP_1 IP_OTHER...
 */
#include "http3.h"

#define OTHERS_MAX 8

static volatile sig_atomic_t cut;

static void
on_signal(int number)
{
	cut = number == SIGUSR1;
}

static int
bind_udp(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	(void)inet_pton(AF_INET, ip, &a.sin_addr);
	if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		perror("bind");
		exit(2);
	}
	return fd;
}

int
main(int argc, char **argv)
{
	struct sockaddr_in first = { .sin_family = AF_INET }, from, to;
	struct sockaddr_in other[OTHERS_MAX];
	struct pollfd p[OTHERS_MAX + 1];
	static char data[65536];
	int i, n = argc - 4;
	socklen_t size;
	ssize_t len;

	if (n < 1 || n > OTHERS_MAX)
		return 2;
	(void)signal(SIGUSR1, on_signal);
	(void)signal(SIGUSR2, on_signal);
	first.sin_port = htons((uint16_t)atoi(argv[1]));
	(void)inet_pton(AF_INET, argv[3], &first.sin_addr);
	/* p[0] has the address of gateway 1, p[i + 1] that of another one. */
	p[0] = (struct pollfd){ bind_udp(argv[3], atoi(argv[2])), POLLIN, 0 };
	for (i = 0; i < n; i++) {
		p[i + 1] = (struct pollfd){ bind_udp(argv[4 + i],
						atoi(argv[1])),
			POLLIN, 0 };
		other[i] = (struct sockaddr_in){ .sin_family = AF_INET,
			.sin_port = htons((uint16_t)atoi(argv[2])) };
		(void)inet_pton(AF_INET, argv[4 + i], &other[i].sin_addr);
	}
	for (;;) {
		if (poll(p, (nfds_t)n + 1, -1) < 0)
			continue;
		for (i = 0; i <= n; i++) {
			if ((p[i].revents & POLLIN) == 0)
				continue;
			size = sizeof(from);
			len = recvfrom(p[i].fd, data, sizeof(data), 0,
			    (struct sockaddr *)&from, &size);
			if (len < 0 || cut)
				continue;
			if (i > 0) { /* from gateway 1 to another one */
				to = other[i - 1];
				(void)sendto(p[0].fd, data, (size_t)len, 0,
				    (struct sockaddr *)&to, sizeof(to));
				continue;
			}
			for (int k = 0; k < n; k++)
				if (other[k].sin_addr.s_addr ==
				    from.sin_addr.s_addr)
					(void)sendto(p[k + 1].fd, data,
					    (size_t)len, 0,
					    (struct sockaddr *)&first,
					    sizeof(first));
		}
	}
}
