/*
 * failure_reports.h - which primaries the other instances cannot reach.
 *
 * Each instance reports the endpoints that gave it no answer. One that most
 * of those that reported lately miss is lost, whatever this instance sees.
 */
#ifndef PROXY_FAILURE_REPORTS_H
#define PROXY_FAILURE_REPORTS_H

#include <stdbool.h>
#include <stdint.h>

struct upstream;
struct silence_views;

struct silence_views *silence_views_new(void);
void silence_views_free(struct silence_views *v);

/* Another instance's report; it replaces the one before. */
void silence_views_note(struct silence_views *v, const char *instance,
			const uint64_t *silent, uint32_t count, int64_t now_us);

/* Returns true if at least half, this instance included, miss it. */
bool silence_views_miss(const struct silence_views *v, const struct upstream *u,
			int64_t now_us);

#endif
