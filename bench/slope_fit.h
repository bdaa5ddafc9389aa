/* slope_fit.h - fits least-squares lines to measured points. */
#ifndef BENCH_SLOPE_FIT_H
#define BENCH_SLOPE_FIT_H

#include <stdbool.h>
#include <stdio.h>

/*
 * Reads lines "NAME X Y UNIT" and fits a line to the points of each name. The
 * k-th point at an X belongs to repeat k; a line is also fitted to each
 * repeat. Prints, by name in the order of the input, the mean at each X, and
 * the slope and the base (Y at X = 0) of the line through all points; each
 * with its minimum and maximum over the repeats. Returns 0, or -EINVAL if a
 * line of the input is malformed.
 */
int slope_fit_print(FILE *in, FILE *out, bool json);

#endif
