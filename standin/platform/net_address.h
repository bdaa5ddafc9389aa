/* net_address.h - "ip:port" texts. */
#ifndef PLATFORM_NET_ADDRESS_H
#define PLATFORM_NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/* Reads an IPv4 address and port; returns false if it is malformed. */
bool net_address_parse(const char *text, struct sockaddr_in *out);

#endif
