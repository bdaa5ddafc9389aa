/*
 * instance_list.h - the platform's list of instances; changes become
 * visible as keys after a lag.
 */
#ifndef PLATFORM_INSTANCE_LIST_H
#define PLATFORM_INSTANCE_LIST_H

#include "platform/kv_store.h"

struct instance_list;

/* Freed with instance_list_free(). */
struct instance_list *instance_list_new(struct kv_store *s, const char *prefix);
void instance_list_free(struct instance_list *l);

void instance_list_set_lag(struct instance_list *l, int64_t lag_us);

/* Takes "live", "leaving" or "gone"; returns false for another word. */
bool instance_list_set_state(struct instance_list *l, const char *name,
			     const char *state, int64_t now_us);

/* Makes the changes visible that are due. */
void instance_list_apply_due(struct instance_list *l, int64_t now_us);

#endif
