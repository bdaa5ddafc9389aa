/* net_address.h - parses addresses of the form "ip:port". */
#ifndef PLATFORM_NET_ADDRESS_H
#define PLATFORM_NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/* Parses an IPv4 address and a port; returns false if `text` is malformed. */
bool net_address_parse(const char *text, struct sockaddr_in *out);

#endif
