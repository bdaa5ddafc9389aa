/*
 * instance_list.h - the platform's list of instances, one key of the store for
 * each. Changes become visible in the store after a lag.
 */
#ifndef PLATFORM_INSTANCE_LIST_H
#define PLATFORM_INSTANCE_LIST_H

#include "platform/kv_store.h"

struct instance_list;

/*
 * Creates a list whose keys are `prefix` followed by the instance's name; to
 * be freed with instance_list_free().
 */
struct instance_list *instance_list_new(struct kv_store *s, const char *prefix);
void instance_list_free(struct instance_list *l);

/* Sets the lag of later changes. */
void instance_list_set_lag(struct instance_list *l, int64_t lag_us);

/*
 * Schedules a change of the instance's state to "live", "leaving" or "gone".
 * Returns false for any other state.
 */
bool instance_list_set_state(struct instance_list *l, const char *name,
			     const char *state, int64_t now_us);

/* Applies the changes that are due to the store. */
void instance_list_apply_due(struct instance_list *l, int64_t now_us);

#endif
