/*
 * store.h - the platform's store, as a table of functions.
 *
 * Each call gets one answer. STORE_UNKNOWN: it may have been carried out,
 * or may be later if its condition still holds.
 */
#ifndef PROXY_STORE_H
#define PROXY_STORE_H

#include "proxy/store_item.h"

#include <stdbool.h>
#include <stdint.h>

enum store_outcome {
	STORE_DONE,
	STORE_REFUSED, /* the condition failed, or the lease has ended */
	STORE_COMPACTED, /* the history that was asked for is no longer there */
	STORE_FAILED, /* nothing was done */
	STORE_UNKNOWN,
	STORE_OUTCOME_COUNT,
};

struct store_answer {
	enum store_outcome outcome;
	int64_t asked_us;
	int64_t revision; /* of the store, or of the change */
	uint64_t lease;
	int64_t ttl_us;
	/* Items of a list or watch; valid during the callback. */
	struct store_item *items;
	uint32_t item_count;
	bool more; /* list: another page follows */
	char after[256]; /* list: where it begins */
};

typedef void (*store_answer_fn)(void *data, const struct store_answer *a);

/* A change; each part may be left out. */
struct store_change {
	const struct instance_entry *put_instance;
	const struct duty_entry *put_duty;
	const struct choice_entry *put_choice; /* of `service`; no lease */
	const char *service;
	bool remove_duty;
	bool remove_instance; /* the one of put name `instance` */
	const char *instance;
	bool if_instance; /* only if its entry's revision is the following */
	int64_t instance_revision;
	bool if_duty; /* only if the duty's revision is duty_revision */
	int64_t duty_revision; /* 0: nobody holds it */
	uint64_t lease; /* of the entries that are put */
};

struct store;

struct store_ops {
	void (*list)(struct store *s, const char *after, store_answer_fn fn,
		     void *data);
	void (*watch)(struct store *s, int64_t after_revision, int64_t wait_us,
		      store_answer_fn fn, void *data);
	/* Asks for the present revision only. */
	void (*probe)(struct store *s, store_answer_fn fn, void *data);
	void (*change)(struct store *s, const struct store_change *c,
		       store_answer_fn fn, void *data);
	void (*lease)(struct store *s, int64_t ttl_us, store_answer_fn fn,
		      void *data);
	void (*renew)(struct store *s, uint64_t lease, store_answer_fn fn,
		      void *data);
	void (*end_lease)(struct store *s, uint64_t lease, store_answer_fn fn,
			  void *data);
};

/* The head of every implementation. */
struct store {
	const struct store_ops *ops;
};

enum promotion_outcome {
	PROMOTION_ORDERED, /* carried out, or about to be */
	PROMOTION_REFUSED, /* a later token was used, or it does not run */
	PROMOTION_NOT_DONE, /* nothing was done */
	PROMOTION_UNKNOWN, /* it may be carried out, also seconds later */
	PROMOTION_OUTCOME_COUNT,
};

/* Names the endpoint that leads a service from now on. */
struct promotion_order {
	const char *service;
	const char *endpoint;
	const char *holder; /* instance that gives the order */
	uint64_t token; /* fence: lower ones are refused from now on */
};

typedef void (*promotion_answer_fn)(void *data, enum promotion_outcome outcome);

struct promoter;

struct promoter_ops {
	void (*order)(struct promoter *p, const struct promotion_order *o,
		      promotion_answer_fn fn, void *data);
};

struct promoter {
	const struct promoter_ops *ops;
};

#endif
