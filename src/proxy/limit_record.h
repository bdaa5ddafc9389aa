/*
 * limit_record.h - the record of how limits are counted in this fleet, one
 * entry of the store without a lease.
 *
 * The holder of the duty writes it when the fleet outgrows it. Each write needs
 * the revision of the entry that it replaces, so that a write that is carried
 * out late replaces nothing newer. A lease later the holder writes it again as
 * settled: no instance can still count in an earlier way, and a process that
 * starts need not wait.
 */
#ifndef PROXY_LIMIT_RECORD_H
#define PROXY_LIMIT_RECORD_H

#include "proxy/store.h"

struct engine;
struct limit_record;

/* Freed with limit_record_free(). */
struct limit_record *limit_record_new(struct engine *e);
void limit_record_free(struct limit_record *r);

/* Handles the entry as read from the store, or its removal. */
void limit_record_handle_item(struct limit_record *r,
			      const struct store_item *item, int64_t now_us);

/* A list of the store begins (`ends` is false) or ends. */
void limit_record_handle_list(struct limit_record *r, bool ends);

/* Writes the entry if this instance holds the duty and it is outdated. */
void limit_record_run(struct limit_record *r, int64_t now_us);

#endif
