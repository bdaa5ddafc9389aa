/* expiry.h - deadlines, delayed sends and idle transactions. */
#ifndef CORE_EXPIRY_H
#define CORE_EXPIRY_H

#include "core/world.h"

#include <stdint.h>

/* System: answers what is past its time and resumes what was delayed. */
void expiry_run(struct world *w, int64_t now_us);

#endif
