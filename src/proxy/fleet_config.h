/*
 * fleet_config.h - the operators' configuration: routes, services, workspaces
 * and keys.
 *
 * It is read from the store as a whole and not changed once it is built; a
 * newer version replaces it.
 */
#ifndef PROXY_FLEET_CONFIG_H
#define PROXY_FLEET_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Which acknowledged writes a read must see. */
enum freshness {
	FRESH_STRICT, /* all that were acknowledged before it */
	FRESH_BOUNDED, /* all but those of the last max_age_us */
	FRESH_SESSION, /* like FRESH_BOUNDED, and all of its own session */
};

/* How sessions of one database name are served. */
struct route {
	char *database;
	char *service;
	enum freshness freshness;
	int64_t max_age_us; /* not for FRESH_STRICT */
	int64_t timeout_us; /* of one statement */
	int64_t target_us; /* target latency of a whole operation */
	uint32_t priority; /* 0 is the highest */
	bool is_public; /* sessions need no key */
};

/* A group of endpoints that hold the same data. */
struct service_config {
	char *name;
	uint32_t conns_max; /* to one endpoint, over all instances */
	/* A commit is acknowledged only once it is on a replica as well. */
	bool confirms_writes;
};

/* A workspace and its limits over the whole fleet. */
struct workspace_config {
	char *name;
	uint32_t rate_milli_per_s; /* thousandths of an operation per second */
	uint32_t burst_milli; /* thousandths of an operation */
	uint32_t priority; /* 0 is the highest */
};

struct fleet_config {
	int64_t version;
	int64_t transaction_idle_us; /* idle time until it is rolled back */
	GPtrArray *routes; /* struct route */
	GPtrArray *services; /* struct service_config */
	GPtrArray *workspaces; /* struct workspace_config */
	GHashTable *by_database; /* name to struct route */
	GHashTable *by_key; /* key to struct workspace_config */
	/* Of sessions without a valid key; no workspace has this name. */
	char *public_workspace;
	/*
	 * Entries that are not in the lists, as their names can't be used, and
	 * kind and name of the first one, for the log; NULL: none.
	 */
	uint32_t left_out_count;
	const char *left_out_kind;
	char *left_out_name;
};

/*
 * Returns an empty configuration. Freed with fleet_config_free(), with
 * everything in it.
 */
struct fleet_config *fleet_config_new(void);
void fleet_config_free(struct fleet_config *c);

/*
 * Add an entry. The configuration takes ownership of it and of the strings in
 * it. fleet_config_add_key() copies `key`; `w` must have been added before.
 */
void fleet_config_add_route(struct fleet_config *c, struct route *r);
void fleet_config_add_service(struct fleet_config *c, struct service_config *s);
void fleet_config_add_workspace(struct fleet_config *c,
				struct workspace_config *w);
void fleet_config_add_key(struct fleet_config *c, const char *key,
			  struct workspace_config *w);

/* Counts an entry that is not added. `kind` is static; `name` is copied. */
void fleet_config_leave_out(struct fleet_config *c, const char *kind,
			    const char *name);

/* Return an entry, owned by the configuration, or NULL if there is none. */
const struct route *fleet_config_find_route(const struct fleet_config *c,
					    const char *database);
const struct workspace_config *
fleet_config_find_workspace_by_key(const struct fleet_config *c,
				   const char *key);
const struct service_config *
fleet_config_find_service(const struct fleet_config *c, const char *name);

#endif
