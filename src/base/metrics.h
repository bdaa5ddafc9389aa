/* metrics.h - counters, gauges and histograms in Prometheus text format. */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdint.h>

struct metrics;

/* Returns an empty set, freed with metrics_free(). */
struct metrics *metrics_new(void);
void metrics_free(struct metrics *m);

/*
 * Adds to a counter or sets a gauge. `name` must be in the registry in
 * metrics.c, which defines type, label name and help; for any other name an
 * error is logged and the value dropped. `label` is the value of the
 * metric's label, or NULL if it has none.
 */
void metrics_add(struct metrics *m, const char *name, const char *label,
		 uint64_t n);
void metrics_set(struct metrics *m, const char *name, const char *label,
		 int64_t value);

/* Adds one duration to a histogram, which is exported in seconds. */
void metrics_observe(struct metrics *m, const char *name, const char *label,
		     int64_t duration_us);

/*
 * Returns the value, or 0 if it was never set; for a histogram the number of
 * its observations.
 */
int64_t metrics_get(const struct metrics *m, const char *name,
		    const char *label);

/*
 * Returns all metrics in the Prometheus text format, including the headers
 * of metrics without samples. The caller frees it with free().
 */
char *metrics_text(const struct metrics *m);

#endif
