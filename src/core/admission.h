/* admission.h - whether a request is taken, and under which rules. */
#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include "core/event.h"
#include "core/world.h"

/* Takes a request in and routes it, or refuses it at once. */
void admission_request(struct world *w, const struct request_opts *o,
		       int64_t now_us);

/*
 * System: takes the held requests whose tokens arrived, refuses those whose
 * time is over.
 */
void admission_run(struct world *w, int64_t now_us);

/* A key was withdrawn: its requests and transactions end now. */
void admission_key_withdrawn(struct world *w,
			     const uint8_t digest[DIGEST_BYTES],
			     int64_t now_us);

#endif
