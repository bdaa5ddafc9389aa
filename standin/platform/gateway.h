/* gateway.h - the HTTP server of the key-value service. */
#ifndef PLATFORM_GATEWAY_H
#define PLATFORM_GATEWAY_H

#include "platform/faults.h"
#include "platform/kv_store.h"

struct gateway;

/*
 * Opens the listener. Returns NULL if the address cannot be used; else the
 * gateway is to be freed with gateway_free(). The store and the faults must
 * outlive it.
 */
struct gateway *gateway_new(struct kv_store *s, struct faults *f,
			    const char *address);
void gateway_free(struct gateway *g);
uint16_t gateway_port(const struct gateway *g);

/* Descriptor that is readable when gateway_run() has work. */
int gateway_fd(const struct gateway *g);

/*
 * Processes pending requests, responses and watches. Returns the time in us
 * after which it must be called again at the latest.
 */
int64_t gateway_run(struct gateway *g, int64_t now_us);

/* Stops all open watches from sending, for good; they stay connected. */
void gateway_stall_watches(struct gateway *g);

#endif
