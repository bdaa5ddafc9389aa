/* entry_json.h - configuration records as the operators see them. */
#ifndef ADMIN_ENTRY_JSON_H
#define ADMIN_ENTRY_JSON_H

#include "admin/record_store.h"

#include <jansson.h>
#include <stdint.h>

/* Each returns new JSON, owned by the caller. */

/* {"name", "revision", "fields"} */
json_t *entry_json(const struct record *r);

/* The entry that is stored instead of an expected one, with "detail". */
json_t *entry_conflict_json(int64_t revision, const struct record *current);

/* An array of the entries of a kind; of one group, unless that is NULL. */
json_t *entry_list_json(const struct record_store *s, enum record_kind kind,
			const char *group);

/* {"group", "term", "primary", "promoter", "revision", "endpoints"} */
json_t *group_json(const struct record_store *s, const char *group);

/* An array of all groups that have endpoints or a term. */
json_t *group_list_json(const struct record_store *s);

#endif
