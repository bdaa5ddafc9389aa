/* delay.h - calls that are due later, on one timer of the loop. */
#ifndef ENDPOINT_DELAY_H
#define ENDPOINT_DELAY_H

#include "base/loop.h"

#include <stdbool.h>

struct delays;

typedef void (*delay_fn)(void *data);

/* Freed with delays_free(). */
struct delays *delays_new(struct loop *l);
void delays_free(struct delays *d);

/* Calls fn(data) at at_us or as soon afterwards as possible. */
void delays_add(struct delays *d, int64_t at_us, delay_fn fn, void *data);

/* Drops every call that has this data. */
void delays_drop(struct delays *d, const void *data);

/* While paused nothing is called; due calls follow after the pause. */
void delays_pause(struct delays *d, bool paused);

#endif
