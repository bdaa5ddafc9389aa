#include "proxy/hop.h"

#include "core/sizes.h"

#include <inttypes.h>
#include <string.h>

static const char START[] = "HOP ";
static const char OPERATION[] = "OP ";
static const char LEAVING[] = "LEAVING";
static const char LOAD[] = "LOAD ";

enum { OPERATION_WORDS = 11, LOAD_WORDS = 2 };

/* More than any statement may take. */
static const int64_t DURATION_MAX_US = 3600 * US_PER_S;

void hop_put_start(GString *out, const char *service)
{
	g_string_append_printf(out, "%s%d %s\r\n", START, HOP_VERSION, service);
}

static int64_t limit_duration(int64_t us)
{
	return CLAMP(us, 0, DURATION_MAX_US);
}

void hop_put_operation(GString *out, const struct hop_operation *op)
{
	const struct route *r = &op->route;

	g_string_append_printf(out,
			       "%s%" PRId64 " %" PRId64 " %" PRIu64 " %" PRIu64,
			       OPERATION, op->config_version, op->elapsed_us,
			       op->last_write.term, op->last_write.offset);
	g_string_append_printf(out,
			       " %d %" PRId64 " %" PRId64 " %" PRId64 " %u",
			       (int)r->freshness, limit_duration(r->max_age_us),
			       limit_duration(r->timeout_us),
			       limit_duration(r->target_us), r->priority);
	g_string_append_printf(out, " %s %s\r\n", op->workspace, op->database);
}

void hop_put_leaving(GString *out)
{
	g_string_append_printf(out, "%s\r\n", LEAVING);
}

void hop_put_load(GString *out, const struct hop_load *l)
{
	g_string_append_printf(out, "%s%" PRId64, LOAD, l->read_wait_us);
	if (l->took_us < 0)
		g_string_append(out, " -\r\n");
	else
		g_string_append_printf(out, " %" PRId64 "\r\n",
				       limit_duration(l->took_us));
}

bool hop_is_operation(const char *line)
{
	return g_str_has_prefix(line, OPERATION);
}

bool hop_is_leaving(const char *line)
{
	return !strcmp(line, LEAVING);
}

bool hop_is_load(const char *line)
{
	return g_str_has_prefix(line, LOAD);
}

/* Splits the line at its blanks; returns false unless it has `count` words. */
static bool split(char *line, char **words, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		words[i] = line;
		line = strchr(line, ' ');
		if (words[i][0] == ' ' || !words[i][0] ||
		    !line != (i + 1 == count))
			return false;
		if (line)
			*line++ = '\0';
	}
	return true;
}

static bool parse_u64(const char *text, uint64_t max, uint64_t *out)
{
	guint64 v;

	if (!g_ascii_string_to_unsigned(text, 10, 0, max, &v, NULL))
		return false;
	*out = v;
	return true;
}

bool hop_read_start(char *line, const char **service)
{
	uint64_t version;
	char *words[2];

	if (!g_str_has_prefix(line, START) ||
	    !split(line + strlen(START), words, G_N_ELEMENTS(words)) ||
	    !parse_u64(words[0], INT64_MAX, &version) || version != HOP_VERSION)
		return false;
	*service = words[1];
	return true;
}

static bool parse_duration(const char *text, int64_t *out)
{
	uint64_t v;

	if (!parse_u64(text, (uint64_t)DURATION_MAX_US, &v))
		return false;
	*out = (int64_t)v;
	return true;
}

/* Reads the words of a route; see hop_put_operation(). */
static bool read_route(char **words, struct route *out)
{
	uint64_t freshness;
	uint64_t priority;

	memset(out, 0, sizeof(*out));
	if (!parse_u64(words[0], FRESH_SESSION, &freshness) ||
	    !parse_duration(words[1], &out->max_age_us) ||
	    !parse_duration(words[2], &out->timeout_us) ||
	    !parse_duration(words[3], &out->target_us) ||
	    !parse_u64(words[4], UINT32_MAX, &priority))
		return false;
	out->freshness = (enum freshness)freshness;
	out->priority = (uint32_t)priority;
	return true;
}

bool hop_read_operation(char *line, struct hop_operation *out)
{
	char *words[OPERATION_WORDS];
	uint64_t version;

	if (!hop_is_operation(line) ||
	    !split(line + strlen(OPERATION), words, OPERATION_WORDS) ||
	    !parse_u64(words[0], INT64_MAX, &version) ||
	    !parse_duration(words[1], &out->elapsed_us) ||
	    !parse_u64(words[2], UINT64_MAX, &out->last_write.term) ||
	    !parse_u64(words[3], UINT64_MAX, &out->last_write.offset) ||
	    !read_route(&words[4], &out->route) ||
	    strlen(words[9]) >= NAME_BYTES)
		return false;
	out->config_version = (int64_t)version;
	out->workspace = words[9];
	out->database = words[10];
	return true;
}

bool hop_read_load(char *line, struct hop_load *out)
{
	char *words[LOAD_WORDS];
	uint64_t wait_us;

	if (!hop_is_load(line) ||
	    !split(line + strlen(LOAD), words, LOAD_WORDS) ||
	    !parse_u64(words[0], LOAD_WAIT_MAX_US, &wait_us))
		return false;
	out->read_wait_us = (int64_t)wait_us;
	out->took_us = -1;
	return !strcmp(words[1], "-") ||
	       parse_duration(words[1], &out->took_us);
}
