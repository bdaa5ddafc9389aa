/* gateway.h - the HTTP side of the stand-in. */
#ifndef PLATFORM_GATEWAY_H
#define PLATFORM_GATEWAY_H

#include "platform/faults.h"
#include "platform/kv_store.h"

struct gateway;

/* Opens the listener; returns NULL if the address can't be used. */
struct gateway *gateway_new(struct kv_store *s, struct faults *f,
			    const char *address);
void gateway_free(struct gateway *g);
uint16_t gateway_port(const struct gateway *g);

/* Descriptor that is readable when gateway_run() has work. */
int gateway_fd(const struct gateway *g);

/* Serves what is ready; returns the wait until the next call is due. */
int64_t gateway_run(struct gateway *g, int64_t now_us);

/* Makes every open watch silent for good. */
void gateway_stall_watches(struct gateway *g);

#endif
