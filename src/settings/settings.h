/* settings.h - YAML settings of one instance (`zinnialine serve`). */
#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

struct settings_instance {
	char *name;
	char *zone; /* availability zone */
};

struct settings_listen {
	/* Each is "ip:port"; port 0 takes any free port. */
	char *callers;
	char *operators;
	char *peers;
};

struct settings_platform {
	char **addresses; /* "ip:port" of the key-value service's members */
	unsigned addresses_count;
	char *prefix; /* of the proxy's own keys */
	char *instances_prefix; /* of the platform's list of instances */
	uint32_t call_timeout_ms; /* of one call to the service */
	uint32_t lease_s; /* TTL of the lease on this instance's shares */
};

struct settings_endpoints {
	char *driver; /* name for endpoint_driver_find() */
	char *user; /* same login for all endpoints */
	char *password;
	char *dbname;
	uint32_t connect_timeout_ms; /* of one connection */
	uint32_t probe_interval_ms; /* between probes of an endpoint */
	/* A connection is closed if an exchange is unanswered this long. */
	uint32_t silence_ms;
	/* An endpoint that answers no probe this long is regarded as down. */
	uint32_t suspect_ms;
};

struct settings_callers {
	uint32_t body_max_bytes; /* of an HTTP request */
	uint32_t header_max_bytes; /* method, path, names and values */
	uint32_t statement_max_bytes; /* SQL and parameters together */
	uint32_t result_max_bytes; /* of one statement */
	uint32_t connections_max; /* open HTTP connections */
	uint32_t requests_max; /* waiting and running at once */
	uint32_t deadline_default_ms; /* of a request that sets none */
	uint32_t deadline_max_ms; /* longer deadlines are reduced to this */
	uint32_t idle_timeout_ms; /* of an HTTP connection */
	uint32_t transaction_idle_ms; /* until an idle one is rolled back */
	char *token_key_hex; /* 64 hex digits, the same on every instance */
};

struct settings_security {
	char *operator_key; /* bearer token of operators */
	char *curve_public; /* Z85, the same on every instance */
	char *curve_secret;
	/* Callers' keys are accepted this long without being confirmed. */
	uint32_t key_grace_ms;
};

struct settings_log {
	char *format; /* text or json */
	char *level; /* debug, info, warning or error */
};

struct settings {
	struct settings_instance instance;
	struct settings_listen listen;
	struct settings_platform platform;
	struct settings_endpoints endpoints;
	struct settings_callers callers;
	struct settings_security security;
	struct settings_log log;
	uint32_t share_cells; /* cells that workspaces are hashed into */
	uint32_t drain_timeout_ms; /* upper limit of a graceful shutdown */
};

/*
 * Reads and checks a file; absent optional fields get their defaults. Sets
 * *out, freed with settings_free(). Returns 0, or a negative errno with one
 * line "file:line: field: reason" in `errbuf`.
 */
int settings_load(const char *path, struct settings **out, char *errbuf,
		  size_t errbuf_size);
void settings_free(struct settings *s);

#endif
