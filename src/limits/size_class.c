#include "limits/size_class.h"

enum {
	/* Classes are 1 and 2, 3 to 11, 12 to 47, 48 to 191 and so on. */
	FIRST = 3,
	FACTOR = 4,
};

uint32_t size_class_of(uint32_t instances)
{
	uint32_t number = 0;

	for (uint32_t low = FIRST; number < SIZE_CLASS_MAX && instances >= low;
	     low *= FACTOR)
		number++;
	return number;
}

uint32_t size_class_typical(uint32_t number)
{
	uint32_t size = FIRST * FACTOR / 2;

	if (!number)
		return 1;
	for (uint32_t i = 1; i < number && i < SIZE_CLASS_MAX; i++)
		size *= FACTOR;
	return size;
}

static bool set_number(struct size_class *c, uint32_t number)
{
	bool changed = c->number != number;

	c->number = number;
	return changed;
}

bool size_class_count(struct size_class *c, uint32_t instances)
{
	return !c->recorded && set_number(c, size_class_of(instances));
}

bool size_class_record(struct size_class *c, uint32_t number)
{
	if (c->recorded && number <= c->number)
		return false;
	c->recorded = true;
	return set_number(c, number);
}
