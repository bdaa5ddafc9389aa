/* figure.h - measured values, printed as lines and written as JSON. */
#ifndef BENCH_FIGURE_H
#define BENCH_FIGURE_H

#include <glib.h>
#include <stdint.h>

/* What a figure must reach. */
enum figure_bound { BOUND_NONE, BOUND_AT_MOST, BOUND_AT_LEAST };

struct figure {
	char *name;
	const char *unit;
	double value;
	enum figure_bound bound;
	double target;
};

struct figures;

/* Freed with figures_free(). */
struct figures *figures_new(void);
void figures_free(struct figures *f);

void figures_add(struct figures *f, const char *name, double value,
		 const char *unit);
void figures_target(struct figures *f, const char *name, double value,
		    const char *unit, enum figure_bound bound, double target);

/*
 * Adds NAME_p50, NAME_p99, NAME_p99.9 and NAME_max in ms; sorts `us`, a
 * GArray of int64_t.
 */
void figures_add_percentiles(struct figures *f, const char *name, GArray *us);

/* Prints `name value unit`, with the target where there is one. */
void figures_print(const struct figures *f);

/* Appends one JSON line. Returns 0 or a negative errno. */
int figures_append(const struct figures *f, const char *file,
		   const char *label);

#endif
