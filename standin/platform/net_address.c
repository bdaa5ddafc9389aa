#include "platform/net_address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

bool net_address_parse(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	guint64 port;
	char *ip;
	bool ok;

	if (!colon ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return false;
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	ip = g_strndup(text, colon - text);
	ok = inet_pton(AF_INET, ip, &out->sin_addr) == 1;
	g_free(ip);
	return ok;
}
