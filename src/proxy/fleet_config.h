/*
 * fleet_config.h - the operators' configuration, which arrives whole.
 *
 * Read-only once it is built; a newer version replaces it. Freed with
 * fleet_config_free(), with everything in it.
 */
#ifndef PROXY_FLEET_CONFIG_H
#define PROXY_FLEET_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How fresh a read must be. */
enum freshness {
	FRESH_STRICT, /* has every write acknowledged before it */
	FRESH_BOUNDED, /* has all but those of the last max_age_us */
	FRESH_SESSION, /* the same, and every write of its own session */
};

/* What is served under one database name. */
struct route {
	char *database;
	char *service;
	enum freshness freshness;
	int64_t max_age_us;
	int64_t timeout_us; /* of one statement */
	int64_t target_us; /* of a whole operation */
	uint32_t priority; /* 0 is the highest */
	bool open; /* no key is asked for */
};

/* A group of endpoints that hold the same data. */
struct service_config {
	char *name;
	uint32_t conns_max; /* to one endpoint, over all instances */
	bool confirms_writes; /* a commit is on a replica when acknowledged */
};

/* A workspace and its limits over the whole fleet. */
struct workspace_config {
	char *name;
	uint32_t rate_milli_per_s;
	uint32_t burst_milli;
	uint32_t priority; /* 0 is the highest */
};

struct fleet_config {
	int64_t version;
	int64_t transaction_idle_us; /* until one may be rolled back */
	GPtrArray *routes; /* struct route */
	GPtrArray *services; /* struct service_config */
	GPtrArray *workspaces; /* struct workspace_config */
	GHashTable *by_database; /* name to struct route */
	GHashTable *by_key; /* key to struct workspace_config */
};

/* Returns an empty configuration. */
struct fleet_config *fleet_config_new(void);
void fleet_config_free(struct fleet_config *c);

/* Take over the entry and the texts in it. */
void fleet_config_add_route(struct fleet_config *c, struct route *r);
void fleet_config_add_service(struct fleet_config *c, struct service_config *s);
void fleet_config_add_workspace(struct fleet_config *c,
				struct workspace_config *w);
void fleet_config_add_key(struct fleet_config *c, const char *key,
			  struct workspace_config *w);

/* Return NULL when there is none. */
const struct route *fleet_config_find_route(const struct fleet_config *c,
					    const char *database);
const struct workspace_config *
fleet_config_find_workspace_by_key(const struct fleet_config *c,
				   const char *key);
const struct service_config *
fleet_config_find_service(const struct fleet_config *c, const char *name);

#endif
