/* figure.h - named results of a run, printed as text and written as JSON. */
#ifndef BENCH_FIGURE_H
#define BENCH_FIGURE_H

#include <glib.h>
#include <stdint.h>

/* How a figure is compared with its target. */
enum figure_bound { BOUND_NONE, BOUND_AT_MOST, BOUND_AT_LEAST };

struct figure {
	char *name;
	const char *unit;
	double value;
	enum figure_bound bound;
	double target; /* unused with BOUND_NONE */
};

struct figures;

/* Returns an empty list, freed with figures_free(). */
struct figures *figures_new(void);
void figures_free(struct figures *f);

/* Adds a figure without a target; `unit` is not copied. */
void figures_add(struct figures *f, const char *name, double value,
		 const char *unit);

/* Adds a figure that is reported as met or missed. */
void figures_add_with_target(struct figures *f, const char *name, double value,
			     const char *unit, enum figure_bound bound,
			     double target);

/*
 * Adds NAME_p50, NAME_p99, NAME_p99.9 and NAME_max in ms. `us` is a GArray of
 * int64_t in microseconds, which is sorted; nothing is added if it is empty.
 */
void figures_add_percentiles(struct figures *f, const char *name, GArray *us);

/* Prints a line `name value unit` for each figure, and its target if any. */
void figures_print(const struct figures *f);

/* Appends all figures as one JSON line. Returns 0 or a negative errno. */
int figures_append(const struct figures *f, const char *file,
		   const char *label);

#endif
