#include "idle_callers.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

/* The socket stays open until the process exits. */
static int open_connection(uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -errno;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) < 0)
		return -errno;
	return 0;
}

int idle_callers_hold(uint16_t port, uint32_t count)
{
	char byte;
	int rc;

	for (uint32_t i = 0; i < count; i++) {
		rc = open_connection(port);
		if (rc < 0)
			return rc;
	}
	printf("ready\n");
	fflush(stdout);
	while (read(STDIN_FILENO, &byte, 1) > 0)
		continue;
	return 0;
}
