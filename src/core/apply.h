/* apply.h - takes configuration records into force. */
#ifndef CORE_APPLY_H
#define CORE_APPLY_H

#include "core/event.h"
#include "core/world.h"

/* A record was put, or deleted at record->revision. */
void apply_record(struct world *w, const struct record *r, bool deleted,
		  int64_t now_us);

/* Everything up to the given revision was passed on. */
void apply_synced(struct world *w, const struct config_synced *s,
		  int64_t now_us);

/* Divides endpoints over the instances that are known. */
void apply_instances(struct world *w);

#endif
