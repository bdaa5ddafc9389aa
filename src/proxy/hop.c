#include "proxy/hop.h"

#include "core/sizes.h"

#include <inttypes.h>
#include <string.h>

static const char START[] = "HOP ";
static const char OPERATION[] = "OP ";
static const char LEAVING[] = "LEAVING";

enum { OPERATION_WORDS = 6 };

/* More than any statement may take; the route's timeout ends it earlier. */
static const int64_t ELAPSED_MAX_US = 3600 * US_PER_S;

void hop_put_start(GString *out, const char *service)
{
	g_string_append_printf(out, "%s%d %s\r\n", START, HOP_VERSION, service);
}

void hop_put_operation(GString *out, const struct hop_operation *op)
{
	g_string_append_printf(out,
			       "%s%" PRId64 " %" PRId64 " %" PRIu64 " %" PRIu64
			       " %s %s\r\n",
			       OPERATION, op->config_version, op->elapsed_us,
			       op->last_write.term, op->last_write.offset,
			       op->workspace, op->database);
}

void hop_put_leaving(GString *out)
{
	g_string_append_printf(out, "%s\r\n", LEAVING);
}

bool hop_is_operation(const char *line)
{
	return g_str_has_prefix(line, OPERATION);
}

bool hop_is_leaving(const char *line)
{
	return !strcmp(line, LEAVING);
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

bool hop_read_operation(char *line, struct hop_operation *out)
{
	char *words[OPERATION_WORDS];
	uint64_t version;
	uint64_t elapsed_us;

	if (!hop_is_operation(line) ||
	    !split(line + strlen(OPERATION), words, OPERATION_WORDS) ||
	    !parse_u64(words[0], INT64_MAX, &version) ||
	    !parse_u64(words[1], (uint64_t)ELAPSED_MAX_US, &elapsed_us) ||
	    !parse_u64(words[2], UINT64_MAX, &out->last_write.term) ||
	    !parse_u64(words[3], UINT64_MAX, &out->last_write.offset) ||
	    strlen(words[4]) >= NAME_BYTES)
		return false;
	out->config_version = (int64_t)version;
	out->elapsed_us = (int64_t)elapsed_us;
	out->workspace = words[4];
	out->database = words[5];
	return true;
}
