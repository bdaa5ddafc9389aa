/* admission.h - access and rate limit checks of new requests. */
#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include "core/event.h"
#include "core/world.h"

/*
 * Admits a request and routes it, lets it wait for rate limit tokens, or
 * replies with an error.
 */
void admission_handle_request(struct world *w, const struct request_opts *o,
			      int64_t now_us);

/*
 * Called each tick, and after messages from peers: admits the waiting requests
 * whose rate limit tokens have arrived and refuses those that waited too long.
 */
void admission_run(struct world *w, int64_t now_us);

/* Ends all requests and transactions of an API key that was withdrawn. */
void admission_handle_key_withdrawn(struct world *w,
				    const uint8_t digest[DIGEST_BYTES],
				    int64_t now_us);

#endif
