/*
 * size_class.h - the size class of the fleet, by which a small limit is
 * divided among all instances or counted by a few of them.
 *
 * All instances must agree on it, so it does not follow each loss and return of
 * instances: it only rises. What was reached last is recorded in the store
 * without a lease, so that a process that starts while many others are gone
 * knows it as well.
 */
#ifndef LIMITS_SIZE_CLASS_H
#define LIMITS_SIZE_CLASS_H

#include <stdbool.h>
#include <stdint.h>

/* Returns the number, from 0, of the class that a fleet of that size is in. */
uint32_t size_class_of(uint32_t instances);

/* Returns a size in the middle of the class. */
uint32_t size_class_typical(uint32_t number);

/* The class as one instance knows it; zero-initialized: none yet. */
struct size_class {
	bool known;
	uint32_t number;
	uint32_t stored; /* as the store has it */
};

/* Record the instances listed in the store, and what the store has stored. */
void size_class_count(struct size_class *c, uint32_t instances);
void size_class_stored(struct size_class *c, uint32_t number);

/* Returns true if the duty's holder has to store the class again. */
bool size_class_must_store(const struct size_class *c);

#endif
