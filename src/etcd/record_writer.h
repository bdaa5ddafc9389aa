/* record_writer.h - reads and conditional writes of single records. */
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
	/* Gives PLATFORM_RESULT events. */
	void (*on_event)(void *data, const struct event *e);
	void *data;
};

/* Freed with record_writer_free(), after the calls of `etcd` are gone. */
struct record_writer *record_writer_new(const struct record_writer_opts *opts);
void record_writer_free(struct record_writer *w);

/*
 * Carries out an operation of the core. A change is one transaction: the
 * key's modification revision is the expected one, and for each absent
 * member the key member/NAME does not exist, of whatever incarnation.
 * Without an answer the outcome is PLATFORM_UNKNOWN.
 */
void record_writer_start(struct record_writer *w,
			 const struct platform_start *p);

/* See platform_client_change(). */
void record_writer_change(struct record_writer *w, const struct record *r,
			  bool deleted, int64_t expected, platform_change_fn fn,
			  void *data);

#endif
