#include "core/log_event.h"

#include <stddef.h>

#define LOG_EVENT_ROW(name, number, level, text) { number, level, #name, text },
static const struct log_event_info rows[] = { LOG_EVENT_TABLE(LOG_EVENT_ROW) };

const struct log_event_info *log_event_list(uint32_t *count)
{
	*count = sizeof(rows) / sizeof(rows[0]);
	return rows;
}

bool log_event_has_priority(int32_t number)
{
	const struct log_event_info *info = log_event_info(number);

	return !info || info->level >= LOG_WARNING ||
	       number == LOG_STATEMENT_FAILED || number == LOG_STATEMENT_SLOW;
}

const struct log_event_info *log_event_info(int32_t number)
{
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		if (rows[i].number == number)
			return &rows[i];
	}
	return NULL;
}
