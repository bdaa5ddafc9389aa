/* slope_core.h - measures the cost of cores without processes or network. */
#ifndef BENCH_SLOPE_CORE_H
#define BENCH_SLOPE_CORE_H

#include <stdio.h>

/*
 * Prints points "NAME X Y UNIT" of cores in virtual time, three repeats of
 * each.
 */
void slope_core_print(FILE *out);

#endif
