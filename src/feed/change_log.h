/*
 * change_log.h - the last changes of the platform's store, in order, as they
 * are passed on to other instances.
 */
#ifndef FEED_CHANGE_LOG_H
#define FEED_CHANGE_LOG_H

#include <stdint.h>

struct change_log_opts {
	uint32_t changes_max;
	uint32_t bytes_max; /* of their texts */
};

struct change_log_entry {
	int64_t position; /* see proxy/store_position.h */
	const char *text; /* NULL: has to be read from the store */
};

struct change_log;

/* Copies `opts`. Freed with change_log_free(). */
struct change_log *change_log_new(const struct change_log_opts *opts);
void change_log_free(struct change_log *l);

/* Forgets all changes: none is known up to `position`. */
void change_log_reset(struct change_log *l, int64_t position);

/*
 * Appends a change; the text is copied, NULL if it can't be passed on. The
 * oldest changes are forgotten if there are too many. A second change of the
 * last position makes both of them such that can't be passed on; one of an
 * earlier position is ignored.
 */
void change_log_append(struct change_log *l, int64_t position,
		       const char *text);

/* Returns the position up to which all changes are known or forgotten. */
int64_t change_log_position(const struct change_log *l);

/*
 * Fills in the changes that follow `position`, at most `max`. Returns their
 * number; 0 if there is none, or if one of them was forgotten. Valid until the
 * log changes.
 */
uint32_t change_log_collect(const struct change_log *l, int64_t position,
			    struct change_log_entry *out, uint32_t max);

#endif
