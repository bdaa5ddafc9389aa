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

/* Writes one entry of the core. */
void log_entry_write(const struct log_entry *e);

/* Writes one event of the host. */
void log_event(enum log_event number, const char *subject, int64_t value,
	       const char *text, ...) __attribute__((format(printf, 4, 5)));

#endif
