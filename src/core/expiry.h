/* expiry.h - deadlines, delayed requests and idle transactions. */
#ifndef CORE_EXPIRY_H
#define CORE_EXPIRY_H

#include "core/world.h"

#include <stdint.h>

/*
 * Called each tick: resumes delayed requests, fails requests past their
 * deadline or without a primary for too long and ends idle transactions.
 */
void expiry_run(struct world *w, int64_t now_us);

#endif
