/* slots.h - limits how many statements run concurrently. */
#ifndef ENDPOINT_SLOTS_H
#define ENDPOINT_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

struct slot_pool;

typedef void (*slot_fn)(void *data);

/* Creates a pool of `count` free slots, to be freed with slot_pool_free(). */
struct slot_pool *slot_pool_new(uint32_t count);
void slot_pool_free(struct slot_pool *s);

/* Returns true when a slot is free and no request waits. */
bool slot_pool_has_free(const struct slot_pool *s);

/*
 * Requests a slot and calls fn(data) once it is granted, possibly before this
 * returns. Requests are served first in, first out.
 */
void slot_pool_acquire(struct slot_pool *s, slot_fn fn, void *data);
/* Returns a slot to the pool, where the oldest waiting request gets it. */
void slot_pool_release(struct slot_pool *s);

/* Cancels all waiting requests with this data. */
void slot_pool_cancel(struct slot_pool *s, const void *data);

#endif
