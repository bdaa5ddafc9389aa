/*
 * proxy_settings.h - YAML settings of an instance that serves sessions
 * (`zinnialine proxy`).
 */
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
		/* Each is "ip:port". */
		char *callers; /* sessions */
		char *ready; /* readiness probe, HTTP */
		char *metrics; /* HTTP */
		char *peers; /* messages of other instances */
		/* Statements of other instances; "": this is never a home. */
		char *relay;
	} listen;
	struct {
		char *store; /* "ip:port" of the key-value store */
		char *promotions; /* "ip:port" that promotion orders go to */
		uint32_t call_timeout_ms; /* of one call to either */
		/* Bandwidth of the instance's link; 0: not known. */
		uint32_t link_milli_mbps;
	} platform;
	struct {
		/* A withdrawn key stops working within this time. */
		uint32_t withdrawn_after_ms;
	} keys;
	struct {
		/*
		 * An instance serves nobody by a configuration that was not
		 * confirmed for this long, while the store answers.
		 */
		uint32_t applied_within_ms;
	} config;
	struct {
		/*
		 * Tolerated excess over a rate limit, summed over all
		 * instances: in a window, the part overrun_milli / 1000 of
		 * what the limit allows, plus `slack` operations.
		 */
		uint32_t window_milli_s;
		uint32_t overrun_milli;
		uint32_t slack;
	} limits;
	struct {
		/*
		 * A failover waits this long for an endpoint that may hold
		 * acknowledged commits, has no entry in the store and does not
		 * answer.
		 */
		uint32_t replica_wait_milli_s;
	} failover;
	struct {
		uint32_t max; /* open sessions of callers */
		uint32_t line_max_bytes; /* a longer line closes its session */
	} sessions;
	struct {
		/* From the signal until the process must have exited. */
		uint32_t grace_milli_s;
	} shutdown;
	struct {
		char *format; /* text or json */
		char *level; /* debug, info, warning or error */
		/* Further lines are dropped and counted. */
		uint32_t lines_per_s;
	} log;
};

/*
 * Reads and checks a file; absent optional fields get their defaults. Sets
 * *out, freed with proxy_settings_free(). Returns 0, or a negative errno with
 * one line "file:line: field: reason" in `errbuf`.
 */
int proxy_settings_load(const char *path, struct proxy_settings **out,
			char *errbuf, size_t errbuf_size);
void proxy_settings_free(struct proxy_settings *s);

#endif
