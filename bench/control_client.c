#include "control_client.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

enum { READ_BYTES = 65536, ANSWER_WAIT_S = 5 };

static int connect_to_port(uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port) };
	struct timeval wait = { .tv_sec = ANSWER_WAIT_S };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	if (!connect(fd, (struct sockaddr *)&a, sizeof(a)))
		return fd;
	close(fd);
	return -1;
}

/* A list starts with "ok" and ends with "."; other answers are one line. */
static bool is_complete(const GString *s)
{
	if (g_str_has_prefix(s->str, "ok\n") && s->len > strlen("ok\n"))
		return g_str_has_suffix(s->str, "\n.\n");
	return g_str_has_suffix(s->str, "\n") && !g_str_equal(s->str, "ok\n");
}

char *control_send_command(uint16_t port, const char *command)
{
	GString *answer = g_string_new(NULL);
	char *line = g_strdup_printf("%s\n", command);
	char *buf = g_malloc(READ_BYTES);
	int fd = connect_to_port(port);
	ssize_t n = -1;

	if (fd >= 0)
		n = send(fd, line, strlen(line), MSG_NOSIGNAL);
	while (n > 0 && !is_complete(answer)) {
		n = recv(fd, buf, READ_BYTES, 0);
		if (n > 0)
			g_string_append_len(answer, buf, n);
	}
	if (fd >= 0)
		close(fd);
	g_free(buf);
	g_free(line);
	return g_string_free(answer, FALSE);
}
