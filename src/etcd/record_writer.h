/* record_writer.h - reads and conditionally writes single records. */
#ifndef ETCD_RECORD_WRITER_H
#define ETCD_RECORD_WRITER_H

#include "core/action.h"
#include "core/event.h"
#include "etcd/etcd_call.h"
#include "etcd/platform_client.h"

struct record_writer;

struct record_writer_opts {
	struct etcd *etcd;
	const char *prefix; /* borrowed */
	/* Receives EVENT_PLATFORM_RESULT. */
	void (*on_event)(void *data, const struct event *e);
	void *data;
};

/* Free it with record_writer_free() once `etcd` has been destroyed. */
struct record_writer *record_writer_new(const struct record_writer_opts *opts);
void record_writer_free(struct record_writer *w);

/*
 * Starts an operation of the core. A change is one transaction with these
 * conditions: the key's modification revision is the expected one, and for each
 * absent member no key member/NAME exists, whatever the incarnation in its
 * value. If no answer is received, the outcome is PLATFORM_UNKNOWN.
 */
void record_writer_start_operation(struct record_writer *w,
				   const struct platform_start *p);

/* Starts an operator's change; see platform_client_change_record(). */
void record_writer_change_record(struct record_writer *w,
				 const struct record *r, bool deleted,
				 int64_t expected_revision,
				 const struct endpoint_guard *guard,
				 platform_change_fn fn, void *data);

#endif
