/* apply.h - applies configuration records from the platform. */
#ifndef CORE_APPLY_H
#define CORE_APPLY_H

#include "core/event.h"
#include "core/world.h"

/* Applies a record that was put, or deleted at r->revision. */
void apply_record(struct world *w, const struct record *r, bool deleted,
		  int64_t now_us);

/* Handles EVENT_CONFIG_SYNCED: all records up to s->revision are applied. */
void apply_config_synced(struct world *w, const struct config_synced *s,
			 int64_t now_us);

/* Adapts this instance's endpoint limits to the number of known instances. */
void apply_instance_count(struct world *w);

#endif
