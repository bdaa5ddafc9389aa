/* slope_fit.h - least-squares lines through measured points. */
#ifndef BENCH_SLOPE_FIT_H
#define BENCH_SLOPE_FIT_H

#include <stdbool.h>
#include <stdio.h>

/*
 * Reads lines "NAME X Y UNIT". The k-th point of each X is repeat k; each
 * repeat gets a line of its own, which gives the spread. Prints, in the
 * order of the names, the mean at each X and the fit with least and most.
 * Returns 0 or -EINVAL.
 */
int slope_fit_print(FILE *in, FILE *out, bool json);

#endif
