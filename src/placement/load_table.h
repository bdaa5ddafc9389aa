/*
 * load_table.h - the load that other instances have told, with its age.
 *
 * In memory only. A figure is believed for LOAD_MAX_AGE_US; after a restart the
 * table is empty until the first answers arrive.
 */
#ifndef PLACEMENT_LOAD_TABLE_H
#define PLACEMENT_LOAD_TABLE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	LOAD_UNKNOWN = -1,
	LOAD_MAX_AGE_US = 500 * 1000,
	/* No larger wait is believed: a wrong figure costs at most this. */
	LOAD_WAIT_MAX_US = 10 * 1000 * 1000,
};

/* What a home tells of itself. */
struct load_figure {
	int64_t wait_us; /* expected until a new statement would be sent */
	int64_t age_us; /* when it was sent */
};

struct load_table;

/* Freed with load_table_free(). */
struct load_table *load_table_new(void);
void load_table_free(struct load_table *t);

/*
 * Records what a home of the service told. Returns false, and records nothing,
 * if the figure is out of range.
 */
bool load_table_put(struct load_table *t, const char *service, const char *home,
		    const struct load_figure *f, int64_t now_us);

/* Returns the expected wait there, or LOAD_UNKNOWN. */
int64_t load_table_wait_us(const struct load_table *t, const char *service,
			   const char *home, int64_t now_us);

#endif
