/* log.h - numbered log events, written by GLib structured logging. */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include "core/action.h"
#include "core/log_event.h"

#include <stdbool.h>

enum log_format { LOG_FORMAT_TEXT, LOG_FORMAT_JSON };

/*
 * Sets the format, the lowest level that is written and the name of the
 * instance in every line. Lines go to standard error, until
 * log_set_rate_limit() is called. May be called again.
 */
void log_setup(enum log_format format, enum log_level min_level,
	       const char *instance);

/*
 * Return the value for the text of a setting. Unknown texts give
 * LOG_FORMAT_TEXT and LOG_INFO.
 */
enum log_format log_format_from_name(const char *name);
enum log_level log_level_from_name(const char *name);

struct log_rate_limit {
	int fd; /* descriptor for the lines, owned by the caller */
	/*
	 * Lines with priority have twice this limit. 0: no limit; lines are
	 * not buffered and go to standard error.
	 */
	uint32_t lines_per_s;
};

/*
 * From now on lines are buffered until log_flush() writes them to limit->fd,
 * which is made non-blocking. Lines above the rate, lines that do not fit in
 * the buffer and lines that a full pipe does not take are dropped and
 * counted. The events of log_event_has_priority() and the messages of
 * libraries have priority.
 */
void log_set_rate_limit(const struct log_rate_limit *limit);

/* Writes the buffered lines. */
void log_flush(void);

/* Returns how many lines were dropped so far. */
uint64_t log_count_dropped(void);

/* Writes an entry that the core made. */
void log_entry_write(const struct log_entry *e);

/*
 * Writes an event of the host, the code around the core. `subject` and `text`
 * may be NULL. The events are documented in docs/EVENTS.md.
 */
void log_event(enum log_event number, const char *subject, int64_t value,
	       const char *text, ...) __attribute__((format(printf, 4, 5)));

#endif
