/*
 * operator_api.h - the REST interface for operators, below /v1/.
 *
 *   GET                 /v1/profiles          (also workspaces, keys)
 *   GET, PUT, DELETE    /v1/profiles/NAME     (also workspaces/NAME,
 *                                              keys/HEX DIGEST)
 *   GET                 /v1/groups
 *   GET                 /v1/groups/GROUP
 *   GET                 /v1/groups/GROUP/endpoints
 *   GET, PUT, DELETE    /v1/groups/GROUP/endpoints/NAME
 *   GET                 /v1/status
 *   GET                 /v1/config/status
 *   POST                /v1/drain
 *
 * PUT and DELETE take {"revision": N, "fields": {...}}: N is the revision
 * that the entry must still have, 0 if it must not exist; without it any
 * revision is replaced. Entries are answered as {"name", "revision",
 * "fields"}.
 */
#ifndef ADMIN_OPERATOR_API_H
#define ADMIN_OPERATOR_API_H

#include "admin/record_store.h"
#include "etcd/platform_client.h"
#include "http/operator_listener.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct operator_api;

struct operator_api_opts {
	const struct record_store *records; /* borrowed */
	/* Sends a change, as platform_client_change_record() does. */
	void (*change)(void *data, const struct record *r, bool deleted,
		       int64_t expected, platform_change_fn fn, void *fn_data);
	/* Answers, as operator_listener_reply() does; owns `body`. */
	void (*reply)(void *data, uint64_t operator_id, int32_t error,
		      json_t *body);
	/* Return new JSON objects. */
	json_t *(*status)(void *data);
	/* {"revision": N, "instances": [{"name", "revision", "age_us"}]} */
	json_t *(*config_status)(void *data);
	/* Starts a graceful shutdown of this instance. */
	void (*drain)(void *data);
	/* Returns ERR_NONE, or why no change can be accepted now. */
	int32_t (*may_write)(void *data);
	void *data;
};

/*
 * Returns a new handler, freed with operator_api_free(). Changes that are
 * still in progress must not end after that, so the platform client is
 * freed first.
 */
struct operator_api *operator_api_new(const struct operator_api_opts *opts);
void operator_api_free(struct operator_api *a);

/*
 * Answers one request, at once or when the key-value service answered.
 * Matches on_request of struct operator_listener_opts; data is the handler.
 */
void operator_api_request(void *data, uint64_t operator_id,
			  enum operator_method method, const char *path,
			  const json_t *body);

#endif
