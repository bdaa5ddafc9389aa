/* proxy_settings.h - the YAML settings of an instance that serves sessions. */
#ifndef SETTINGS_PROXY_SETTINGS_H
#define SETTINGS_PROXY_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

struct proxy_settings {
	struct {
		char *name;
		char *zone; /* availability zone */
	} instance;
	struct {
		char *callers; /* "ip:port" */
		char *ready;
		char *metrics;
		char *peers;
	} listen;
	struct {
		char *store; /* "ip:port" */
		char *promotions;
		uint32_t call_timeout_ms;
	} platform;
	struct {
		uint32_t withdrawn_after_ms; /* a withdrawn key's last use */
	} keys;
	struct {
		uint32_t window_milli_s; /* in which limits are counted */
		uint32_t overrun_milli; /* tolerated part beyond them */
		uint32_t slack; /* tolerated operations beyond them */
	} limits;
	struct {
		uint32_t max; /* callers' sessions */
		uint32_t line_max_bytes;
	} sessions;
	struct {
		uint32_t grace_milli_s; /* from the signal to the end */
	} shutdown;
	struct {
		char *format; /* text or json */
		char *level; /* debug, info, warning or error */
		uint32_t lines_per_s; /* more are counted, not written */
	} log;
};

/*
 * Reads and checks a file. Returns 0, or a negative errno with one line
 * "file:line: field: reason" in `why`. Freed with proxy_settings_free().
 */
int proxy_settings_load(const char *path, struct proxy_settings **out,
			char *why, size_t why_size);
void proxy_settings_free(struct proxy_settings *s);

#endif
