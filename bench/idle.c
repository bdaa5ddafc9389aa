#include "idle.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

enum { CONNECTIONS_MAX = 4096, HOST_BYTES = 64 };

static int parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char host[HOST_BYTES];

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return -1;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	*out = (struct sockaddr_in){ .sin_family = AF_INET };
	out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? 0 : -1;
}

static int open_connection(const struct sockaddr_in *a)
{
	/* A connection takes more memory after its first request. */
	static const char health[] = "GET /healthz HTTP/1.1\r\n"
				     "Host: idle\r\n\r\n";
	char answer[HOST_BYTES];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || connect(fd, (const struct sockaddr *)a, sizeof(*a)) ||
	    send(fd, health, sizeof(health) - 1, MSG_NOSIGNAL) < 0)
		return -1;
	return recv(fd, answer, sizeof(answer), 0) > 0 ? 0 : -1;
}

static void raise_file_limit(void)
{
	struct rlimit files;

	getrlimit(RLIMIT_NOFILE, &files);
	files.rlim_cur = files.rlim_max;
	setrlimit(RLIMIT_NOFILE, &files);
}

int idle_main(int argc, char **argv)
{
	long n = argc > 2 ? strtol(argv[2], NULL, 10) : 0;
	struct sockaddr_in a;

	if (n < 1 || n > CONNECTIONS_MAX || parse_address(argv[1], &a)) {
		fprintf(stderr, "usage: idle IP:PORT N, with N from 1 to %d\n",
			CONNECTIONS_MAX);
		return 2;
	}
	raise_file_limit();
	for (long i = 0; i < n; i++) {
		if (open_connection(&a)) {
			fprintf(stderr,
				"idle: opened only %ld of %ld connections\n", i,
				n);
			return 1;
		}
	}
	printf("open %ld\n", n);
	fflush(stdout);
	pause();
	return 0;
}
