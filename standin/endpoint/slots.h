/* slots.h - how many statements run at once; the others wait in order. */
#ifndef ENDPOINT_SLOTS_H
#define ENDPOINT_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

struct slots;

typedef void (*slot_fn)(void *data);

/* Freed with slots_free(). */
struct slots *slots_new(uint32_t count);
void slots_free(struct slots *s);

/* Returns true when a slot is free and nobody waits. */
bool slots_idle(const struct slots *s);

/* Calls fn(data) when a slot is taken, perhaps during the call. */
void slots_take(struct slots *s, slot_fn fn, void *data);
void slots_release(struct slots *s);

/* Gives up waiting. */
void slots_drop(struct slots *s, const void *data);

#endif
