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
 * PUT takes the body {"revision": N, "fields": {...}}, DELETE takes
 * {"revision": N} or no body. N is the revision that the entry must still
 * have, or 0 if it must not exist; without N any revision is replaced.
 * Entries are returned as {"name", "revision", "fields"}.
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
	/*
	 * Sends a change to the store, as platform_client_change_record()
	 * does; `expected` is its expected_revision.
	 */
	void (*change)(void *data, const struct record *r, bool deleted,
		       int64_t expected, platform_change_fn fn, void *fn_data);
	/*
	 * Sends the response, as operator_listener_reply() does. Takes
	 * ownership of `body`, which may be NULL.
	 */
	void (*reply)(void *data, uint64_t operator_id, int32_t error,
		      json_t *body);
	/* Returns the status of this instance as a new JSON object. */
	json_t *(*status)(void *data);
	/*
	 * Returns as new JSON the configuration revisions that the instances
	 * have applied:
	 * {"revision": N, "instances": [{"name", "revision", "age_us"}]}
	 */
	json_t *(*config_status)(void *data);
	/* Starts a graceful shutdown of this instance. */
	void (*drain)(void *data);
	/* Returns ERR_NONE, or the error to refuse changes with for now. */
	int32_t (*check_writable)(void *data);
	/*
	 * Returns ERR_NONE, or the error to refuse the change of an endpoint's
	 * record with for now.
	 */
	int32_t (*check_endpoint)(void *data, const struct endpoint_record *r,
				  bool deleted);
	void *data;
};

/*
 * Returns a new handler, freed with operator_api_free(). No change may be
 * completed after that, so free the platform client first.
 */
struct operator_api *operator_api_new(const struct operator_api_opts *opts);
void operator_api_free(struct operator_api *a);

/*
 * Handles one request. It is replied to at once, or for a change when the
 * key-value service has responded. To be used as on_request of struct
 * operator_listener_opts; data is the handler, path and body are borrowed.
 */
void operator_api_request(void *data, uint64_t operator_id,
			  enum operator_method method, const char *path,
			  const json_t *body);

#endif
