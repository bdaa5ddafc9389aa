/* metrics.h - counters and gauges, in the Prometheus text format. */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdint.h>

struct metrics;

/* Returns an empty set, freed with metrics_free(). */
struct metrics *metrics_new(void);
void metrics_free(struct metrics *m);

/*
 * Adds to a counter or sets a gauge. `name` is of the static registry in
 * metrics.c, which holds type and help; `label` is the value of its one
 * label, or NULL.
 */
void metrics_add(struct metrics *m, const char *name, const char *label,
		 uint64_t n);
void metrics_set(struct metrics *m, const char *name, const char *label,
		 int64_t value);

/* Takes one duration into a histogram of seconds. */
void metrics_observe(struct metrics *m, const char *name, const char *label,
		     int64_t duration_us);

/* Returns the value, 0 if never set; a histogram's count. */
int64_t metrics_get(const struct metrics *m, const char *name,
		    const char *label);

/* Returns the text, which the caller frees with free(). */
char *metrics_text(const struct metrics *m);

#endif
