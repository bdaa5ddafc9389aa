#include "base/log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* GLib field whose value is the struct log_entry, for write_line(). */
#define ENTRY_FIELD "ZINNIALINE_ENTRY"

enum { SECONDS_BYTES = 20, TIME_BYTES = 40 };

/* Options and state of the log; GLib has one writer per process. */
static struct {
	enum log_format format;
	enum log_level min_level;
	char instance[NAME_BYTES];
	bool writer_is_set;
	/* lines_per_s 0: no limit; lines go to standard error at once. */
	struct log_rate_limit rate_limit;
	GString *buffer; /* lines until log_flush() */
	int64_t current_second; /* of the monotonic clock */
	uint32_t lines_this_second; /* logged in current_second */
	uint64_t dropped; /* lines, since the start */
	uint64_t dropped_reported; /* `dropped` at the last report */
} logger = { .min_level = LOG_INFO };

/* The contents of one log line. */
struct line {
	char time[TIME_BYTES];
	enum log_level level;
	const char *name; /* of the event, or "LIBRARY" */
	const char *message;
	const struct log_entry *entry; /* NULL: logged by a library */
};

static const char *const level_names[] = { "debug", "info", "warning",
					   "error" };

/* Errors map to CRITICAL, because G_LOG_LEVEL_ERROR aborts the process. */
static const GLogLevelFlags glib_levels[] = { G_LOG_LEVEL_DEBUG,
					      G_LOG_LEVEL_INFO,
					      G_LOG_LEVEL_WARNING,
					      G_LOG_LEVEL_CRITICAL };

static enum log_level level_from_glib(GLogLevelFlags flags)
{
	if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return LOG_ERROR;
	if (flags & G_LOG_LEVEL_WARNING)
		return LOG_WARNING;
	if (flags & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
		return LOG_INFO;
	return LOG_DEBUG;
}

static void format_time(char *out, size_t size)
{
	struct timespec ts;
	struct tm tm;
	char seconds[SECONDS_BYTES];

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(seconds, sizeof(seconds), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(out, size, "%s.%06dZ", seconds, (int)(ts.tv_nsec / 1000));
}

static void append_quoted(GString *s, const char *key, const char *value)
{
	g_autofree char *escaped = g_strescape(value, NULL);

	g_string_append_printf(s, " %s=\"%s\"", key, escaped);
}

static char *format_text_line(const struct line *l)
{
	GString *s = g_string_new(NULL);
	const struct log_entry *e = l->entry;

	g_string_append_printf(s, "%s %s %" PRId32 " %s", l->time,
			       level_names[l->level], e ? e->number : 0,
			       l->name);
	append_quoted(s, "message", l->message);
	append_quoted(s, "instance", logger.instance);
	if (e && e->caller_id)
		g_string_append_printf(s, " caller=%" PRIu64, e->caller_id);
	if (e && e->subject[0])
		append_quoted(s, "subject", e->subject);
	if (e)
		g_string_append_printf(s, " value=%" PRId64, e->value);
	if (e && e->text[0])
		append_quoted(s, "text", e->text);
	g_string_append_c(s, '\n');
	return g_string_free(s, FALSE);
}

/*
 * Replaces invalid UTF-8, such as a sequence cut by truncation, because
 * Jansson rejects it.
 */
static json_t *make_json_string(const char *value)
{
	g_autofree char *valid = g_utf8_make_valid(value, -1);

	return json_string(valid);
}

static char *format_json_line(const struct line *l)
{
	const struct log_entry *e = l->entry;
	json_t *j = json_object();
	char *dump;
	char *out;

	json_object_set_new(j, "time", json_string(l->time));
	json_object_set_new(j, "event", json_integer(e ? e->number : 0));
	json_object_set_new(j, "name", json_string(l->name));
	json_object_set_new(j, "level", json_string(level_names[l->level]));
	json_object_set_new(j, "message", make_json_string(l->message));
	json_object_set_new(j, "instance", make_json_string(logger.instance));
	if (e && e->caller_id)
		json_object_set_new(j, "caller",
				    json_integer((json_int_t)e->caller_id));
	if (e) {
		json_object_set_new(j, "subject", make_json_string(e->subject));
		json_object_set_new(j, "value", json_integer(e->value));
		json_object_set_new(j, "text", make_json_string(e->text));
	}
	dump = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	out = g_strdup_printf("%s\n", dump ? dump : "{}");
	free(dump);
	return out;
}

typedef char *(*line_format_fn)(const struct line *l);

static const line_format_fn formatters[] = {
	[LOG_FORMAT_TEXT] = format_text_line,
	[LOG_FORMAT_JSON] = format_json_line,
};

static void read_fields(struct line *l, const GLogField *fields, gsize count)
{
	const struct log_event_info *info;

	for (gsize i = 0; i < count; i++) {
		if (!strcmp(fields[i].key, ENTRY_FIELD))
			l->entry = fields[i].value;
		else if (!strcmp(fields[i].key, "MESSAGE"))
			l->message = fields[i].value;
	}
	if (!l->entry)
		return;
	info = log_event_info(l->entry->number);
	if (info)
		l->name = info->name;
}

enum { BUFFER_MAX_BYTES = 256 * 1024 };

/* Logs how many lines were dropped since the last report, if any. */
static void report_dropped_lines(void)
{
	uint64_t before = logger.dropped_reported;

	if (logger.dropped == before)
		return;
	logger.dropped_reported = logger.dropped;
	log_event(LOG_LINES_LEFT_OUT, logger.instance,
		  (int64_t)(logger.dropped - before), "-");
}

/*
 * Counts a line and returns whether the limit allows it in this second.
 * Lines with priority have twice the limit.
 */
static bool within_rate_limit(bool has_priority)
{
	uint32_t max_lines = logger.rate_limit.lines_per_s;
	int64_t second = g_get_monotonic_time() / G_USEC_PER_SEC;

	if (second != logger.current_second) {
		logger.current_second = second;
		logger.lines_this_second = 0;
		report_dropped_lines();
	}
	if (has_priority)
		max_lines *= 2;
	return logger.lines_this_second++ < max_lines &&
	       logger.buffer->len < BUFFER_MAX_BYTES;
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer data)
{
	struct line l = { .level = level_from_glib(level),
			  .name = "LIBRARY",
			  .message = "" };
	g_autofree char *text = NULL;

	if (l.level < logger.min_level)
		return G_LOG_WRITER_HANDLED;
	read_fields(&l, fields, count);
	if (level & G_LOG_LEVEL_ERROR) {
		/* GLib ends the process next: nothing may stay buffered. */
		log_flush();
		fprintf(stderr, "zinnialine: %s\n", l.message);
		return G_LOG_WRITER_HANDLED;
	}
	if (logger.rate_limit.lines_per_s &&
	    !within_rate_limit(!l.entry ||
			       log_event_has_priority(l.entry->number))) {
		logger.dropped++;
		return G_LOG_WRITER_HANDLED;
	}
	format_time(l.time, sizeof(l.time));
	text = formatters[logger.format](&l);
	if (logger.rate_limit.lines_per_s)
		g_string_append(logger.buffer, text);
	else
		fputs(text, stderr);
	return G_LOG_WRITER_HANDLED;
}

void log_setup(enum log_format format, enum log_level min_level,
	       const char *instance)
{
	logger.format = format;
	logger.min_level = min_level;
	g_strlcpy(logger.instance, instance, sizeof(logger.instance));
	if (logger.writer_is_set)
		return;
	g_log_set_writer_func(write_line, NULL, NULL);
	logger.writer_is_set = true;
}

enum log_format log_format_from_name(const char *name)
{
	return strcmp(name, "json") ? LOG_FORMAT_TEXT : LOG_FORMAT_JSON;
}

enum log_level log_level_from_name(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (!strcmp(level_names[i], name))
			return (enum log_level)i;
	}
	return LOG_INFO;
}

void log_set_rate_limit(const struct log_rate_limit *limit)
{
	int flags = fcntl(limit->fd, F_GETFL);

	logger.rate_limit = *limit;
	if (!logger.buffer)
		logger.buffer = g_string_new(NULL);
	/* If the descriptor stays blocking, a full pipe delays requests. */
	if (flags < 0 || fcntl(limit->fd, F_SETFL, flags | O_NONBLOCK) < 0)
		log_event(LOG_INTERNAL_ERROR, "log", errno,
			  "log output stays blocking, requests may wait for "
			  "it: fcntl: %s",
			  g_strerror(errno));
}

static uint64_t count_lines(const char *text, size_t len)
{
	uint64_t n = 0;

	for (size_t i = 0; i < len; i++)
		n += text[i] == '\n';
	return n;
}

void log_flush(void)
{
	ssize_t n;

	if (!logger.buffer || !logger.buffer->len)
		return;
	n = write(logger.rate_limit.fd, logger.buffer->str, logger.buffer->len);
	if (n < 0)
		n = 0;
	logger.dropped += count_lines(logger.buffer->str + n,
				      logger.buffer->len - (size_t)n);
	g_string_truncate(logger.buffer, 0);
}

uint64_t log_count_dropped(void)
{
	return logger.dropped;
}

void log_entry_write(const struct log_entry *e)
{
	const struct log_event_info *info = log_event_info(e->number);
	enum log_level level = info ? info->level : LOG_ERROR;
	const GLogField fields[] = {
		{ "MESSAGE", info ? info->text : "unknown event", -1 },
		{ "GLIB_DOMAIN", "zinnialine", -1 },
		{ ENTRY_FIELD, e, sizeof(*e) },
	};

	if (level < logger.min_level)
		return;
	g_log_structured_array(glib_levels[level], fields,
			       G_N_ELEMENTS(fields));
}

void log_event(enum log_event number, const char *subject, int64_t value,
	       const char *text, ...)
{
	struct log_entry e = { .number = number, .value = value };
	va_list ap;

	g_strlcpy(e.subject, subject ? subject : "", sizeof(e.subject));
	va_start(ap, text);
	vsnprintf(e.text, sizeof(e.text), text ? text : "", ap);
	va_end(ap);
	log_entry_write(&e);
}
