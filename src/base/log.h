/* log.h - numbered log events, written by GLib structured logging. */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include "core/action.h"
#include "core/log_event.h"

#include <stdbool.h>

enum log_format { LOG_FORMAT_TEXT, LOG_FORMAT_JSON };

/* Sets format and the least level that is written, to standard error. */
void log_setup(enum log_format format, enum log_level least,
	       const char *instance);

/* Return the value of a setting's text; text and info if unknown. */
enum log_format log_format_of(const char *name);
enum log_level log_level_of(const char *name);

/*
 * From now on lines are collected for `fd`, which is made non-blocking:
 * more than lines_per_s in a second, twice that for warnings and errors, or
 * what a full pipe does not take, is left out and counted.
 */
struct log_bound {
	int fd;
	uint32_t lines_per_s;
};
void log_set_bound(const struct log_bound *bound);

/* Writes what was collected. */
void log_flush(void);

/* Returns how many lines were left out so far. */
uint64_t log_left_out(void);

/* Writes one entry of the core. */
void log_entry_write(const struct log_entry *e);

/* Writes one event of the host. */
void log_event(enum log_event number, const char *subject, int64_t value,
	       const char *text, ...) __attribute__((format(printf, 4, 5)));

#endif
