#include "ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum { PORTS_MAX = 256 };

/* The socket stays open until exit, so that no port is printed twice. */
static int print_port(void)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t size = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) ||
	    getsockname(fd, (struct sockaddr *)&a, &size))
		return 1;
	printf("%d\n", ntohs(a.sin_port));
	return 0;
}

int ports_main(int argc, char **argv)
{
	long n = argc > 1 ? strtol(argv[1], NULL, 10) : 0;

	if (n < 1 || n > PORTS_MAX) {
		fprintf(stderr, "usage: ports N, with N from 1 to %d\n",
			PORTS_MAX);
		return 2;
	}
	for (long i = 0; i < n; i++) {
		if (print_port())
			return 1;
	}
	return 0;
}
