/*
 * size_class.h - the size class of the fleet, by which a small limit is
 * divided among all instances or counted by a few of them.
 *
 * All instances must agree on it, so it does not follow each loss and return of
 * instances: it only rises. What was reached last is recorded in the store
 * without a lease, so that a process that starts while many others are gone
 * knows it as well. Only until the store has a record does the class follow the
 * number of listed instances.
 */
#ifndef LIMITS_SIZE_CLASS_H
#define LIMITS_SIZE_CLASS_H

#include <stdbool.h>
#include <stdint.h>

/* Larger fleets are in the last class as well. */
enum { SIZE_CLASS_MAX = 14 };

/* Returns the number, from 0, of the class that a fleet of that size is in. */
uint32_t size_class_of(uint32_t instances);

/* Returns a size in the middle of the class. */
uint32_t size_class_typical(uint32_t number);

/* The class as one instance knows it; zero-initialized: none yet. */
struct size_class {
	uint32_t number; /* in force */
	bool recorded; /* it was in the store */
};

/*
 * Record the instances listed in the store, and the class that the store has
 * on record. Return true if the class in force changed.
 */
bool size_class_count(struct size_class *c, uint32_t instances);
bool size_class_record(struct size_class *c, uint32_t number);

#endif
