/* slope_core.h - cost of cores alone, in virtual time. */
#ifndef BENCH_SLOPE_CORE_H
#define BENCH_SLOPE_CORE_H

#include <stdio.h>

/* Prints points "NAME X Y UNIT", several repeats of each. */
void slope_core_print(FILE *out);

#endif
