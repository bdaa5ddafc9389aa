/* entry_json.h - JSON of configuration records in the operator API. */
#ifndef ADMIN_ENTRY_JSON_H
#define ADMIN_ENTRY_JSON_H

#include "admin/record_store.h"

#include <jansson.h>
#include <stdint.h>

/* All functions return new JSON, owned by the caller. */

/* Returns {"name", "revision", "fields"}. */
json_t *entry_to_json(const struct record *r);

/*
 * Returns the body of a conflict: the entry `current` that is stored now, or
 * only `revision` if `current` is NULL (no entry), and a "detail".
 */
json_t *entry_conflict_to_json(int64_t revision, const struct record *current);

/*
 * Returns an array of all entries of a kind. A `group` that is not NULL
 * selects its endpoints; `kind` must then be RECORD_ENDPOINT.
 */
json_t *entry_list_to_json(const struct record_store *s, enum record_kind kind,
			   const char *group);

/*
 * Returns {"group", "term", "primary", "promoter", "revision", "endpoints"};
 * 0 and "" if the group has no term.
 */
json_t *group_to_json(const struct record_store *s, const char *group);

/* Returns an array of all groups that have endpoints or a term. */
json_t *group_list_to_json(const struct record_store *s);

#endif
