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

/* Carries the whole entry through GLib to the writer. */
#define ENTRY_FIELD "ZINNIALINE_ENTRY"

enum { SECONDS_BYTES = 20, TIME_BYTES = 40 };

/* GLib has one writer per process, so its options are per process too. */
static struct {
	enum log_format format;
	enum log_level least;
	char instance[NAME_BYTES];
	bool writer_is_set;
	struct log_bound bound; /* lines_per_s 0: none */
	GString *collected;
	int64_t second; /* of the clock, that lines_in_second counts */
	uint32_t lines_in_second;
	uint64_t left_out;
	uint64_t left_out_told;
} opts = { .least = LOG_INFO };

/* What one line shows. */
struct line {
	char time[TIME_BYTES];
	enum log_level level;
	const char *name;
	const char *message;
	const struct log_entry *entry; /* NULL: a message of a library */
};

static const char *const level_names[] = { "debug", "info", "warning",
					   "error" };

/* G_LOG_LEVEL_ERROR would abort the process. */
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

static char *text_line(const struct line *l)
{
	GString *s = g_string_new(NULL);
	const struct log_entry *e = l->entry;

	g_string_append_printf(s, "%s %s %" PRId32 " %s", l->time,
			       level_names[l->level], e ? e->number : 0,
			       l->name);
	append_quoted(s, "message", l->message);
	append_quoted(s, "instance", opts.instance);
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

/* A text cut inside a UTF-8 sequence is still written. */
static json_t *json_text(const char *value)
{
	g_autofree char *valid = g_utf8_make_valid(value, -1);

	return json_string(valid);
}

static char *json_line(const struct line *l)
{
	const struct log_entry *e = l->entry;
	json_t *j = json_object();
	char *dump;
	char *out;

	json_object_set_new(j, "time", json_string(l->time));
	json_object_set_new(j, "event", json_integer(e ? e->number : 0));
	json_object_set_new(j, "name", json_string(l->name));
	json_object_set_new(j, "level", json_string(level_names[l->level]));
	json_object_set_new(j, "message", json_text(l->message));
	json_object_set_new(j, "instance", json_text(opts.instance));
	if (e && e->caller_id)
		json_object_set_new(j, "caller",
				    json_integer((json_int_t)e->caller_id));
	if (e) {
		json_object_set_new(j, "subject", json_text(e->subject));
		json_object_set_new(j, "value", json_integer(e->value));
		json_object_set_new(j, "text", json_text(e->text));
	}
	dump = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	out = g_strdup_printf("%s\n", dump ? dump : "{}");
	free(dump);
	return out;
}

typedef char *(*line_fn)(const struct line *l);

static const line_fn formatters[] = {
	[LOG_FORMAT_TEXT] = text_line,
	[LOG_FORMAT_JSON] = json_line,
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

enum { COLLECTED_MAX_BYTES = 256 * 1024 };

/* Tells once a second how many lines are missing. */
static void say_left_out(void)
{
	uint64_t before = opts.left_out_told;

	if (opts.left_out == before)
		return;
	opts.left_out_told = opts.left_out;
	log_event(LOG_LINES_LEFT_OUT, opts.instance,
		  (int64_t)(opts.left_out - before), "-");
}

/* Returns true while the second's lines are not used up. */
static bool fits_bound(bool kept_first)
{
	uint32_t most = opts.bound.lines_per_s;
	int64_t second = g_get_monotonic_time() / G_USEC_PER_SEC;

	if (second != opts.second) {
		opts.second = second;
		opts.lines_in_second = 0;
		say_left_out();
	}
	if (kept_first)
		most *= 2;
	return opts.lines_in_second++ < most &&
	       opts.collected->len < COLLECTED_MAX_BYTES;
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer data)
{
	struct line l = { .level = level_from_glib(level),
			  .name = "LIBRARY",
			  .message = "" };
	g_autofree char *text = NULL;

	if (l.level < opts.least)
		return G_LOG_WRITER_HANDLED;
	read_fields(&l, fields, count);
	if (opts.bound.lines_per_s &&
	    !fits_bound(!l.entry || log_event_has_priority(l.entry->number))) {
		opts.left_out++;
		return G_LOG_WRITER_HANDLED;
	}
	format_time(l.time, sizeof(l.time));
	text = formatters[opts.format](&l);
	if (opts.bound.lines_per_s)
		g_string_append(opts.collected, text);
	else
		fputs(text, stderr);
	return G_LOG_WRITER_HANDLED;
}

void log_setup(enum log_format format, enum log_level least,
	       const char *instance)
{
	opts.format = format;
	opts.least = least;
	g_strlcpy(opts.instance, instance, sizeof(opts.instance));
	if (opts.writer_is_set)
		return;
	g_log_set_writer_func(write_line, NULL, NULL);
	opts.writer_is_set = true;
}

enum log_format log_format_of(const char *name)
{
	return strcmp(name, "json") ? LOG_FORMAT_TEXT : LOG_FORMAT_JSON;
}

enum log_level log_level_of(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (!strcmp(level_names[i], name))
			return (enum log_level)i;
	}
	return LOG_INFO;
}

void log_set_bound(const struct log_bound *bound)
{
	int flags = fcntl(bound->fd, F_GETFL);

	opts.bound = *bound;
	if (!opts.collected)
		opts.collected = g_string_new(NULL);
	/* Where it cannot be set, a full pipe would hold up requests. */
	if (flags < 0 || fcntl(bound->fd, F_SETFL, flags | O_NONBLOCK) < 0)
		log_event(LOG_INTERNAL_ERROR, "log", errno, "fcntl: %s",
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

	if (!opts.collected || !opts.collected->len)
		return;
	n = write(opts.bound.fd, opts.collected->str, opts.collected->len);
	if (n < 0)
		n = 0;
	opts.left_out += count_lines(opts.collected->str + n,
				     opts.collected->len - (size_t)n);
	g_string_truncate(opts.collected, 0);
}

uint64_t log_left_out(void)
{
	return opts.left_out;
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

	if (level < opts.least)
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
