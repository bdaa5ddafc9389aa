/*
 * store.h - the interface to the platform's store and promotion service.
 *
 * Implementations provide tables of functions. Each call invokes its callback
 * exactly once, unless it is canceled. Revisions are positions, see
 * store_position.h. A call ends with STORE_UNKNOWN when the
 * store is silent for too long; an answer that keeps arriving is not given up.
 */
#ifndef PROXY_STORE_H
#define PROXY_STORE_H

#include "proxy/store_item.h"

#include <stdbool.h>
#include <stdint.h>

enum store_outcome {
	STORE_DONE,
	STORE_REFUSED, /* the condition failed, or the lease has ended */
	STORE_COMPACTED, /* the watched revision is no longer in the history */
	STORE_FAILED, /* nothing was done */
	/* It may have been done, or be done later if its condition holds. */
	STORE_UNKNOWN,
	STORE_OUTCOME_COUNT,
};

struct store_answer {
	enum store_outcome outcome;
	int64_t requested_us; /* when the call was made */
	/*
	 * Of the store, as it answered; 0: not known. A rise means that it came
	 * back from an older copy, see store_position.h.
	 */
	uint32_t era;
	int64_t revision; /* position of the store, or of the change */
	uint64_t lease; /* lease: the new one */
	int64_t ttl_us; /* lease, renew: as granted; 0: unknown */
	/* Items of a list or watch; valid during the callback. */
	struct store_item *items;
	uint32_t item_count;
	bool more; /* list: another page follows */
	char after[256]; /* list: key after which that page begins */
};

typedef void (*store_answer_fn)(void *data, const struct store_answer *a);

/* An atomic change of the store; unused fields are 0. */
struct store_change {
	const struct instance_entry *put_instance;
	const struct duty_entry *put_duty;
	const struct choice_entry *put_choice; /* of `service`; no lease */
	/* Of `service`, without a lease. */
	const struct replica_set_entry *put_replica_set;
	const char *service;
	/* Without a lease; only if its entry has this revision, 0: none. */
	const struct limit_entry *put_limits;
	int64_t limits_revision;
	/* An operator's request, without a lease. */
	const struct steer_request *put_steer;
	const struct steer_request *remove_steer; /* of its kind and subject */
	int64_t steer_revision; /* only if that entry has it; 0: there is none */
	bool remove_duty;
	bool remove_instance; /* the entry of `instance` */
	const char *instance;
	/* Only if the entry of `instance` has this revision. */
	bool if_instance;
	int64_t instance_revision;
	bool if_duty; /* only if the duty's entry has this revision */
	int64_t duty_revision; /* 0: only if there is no entry */
	uint64_t lease; /* of the instance's and the duty's entries */
};

struct store;

struct store_ops {
	/*
	 * Lists one page of items; `after`: "", or .after of the last page.
	 * Returns the number of the call.
	 */
	uint64_t (*list)(struct store *s, const char *after, store_answer_fn fn,
			 void *data);
	/*
	 * Answers with the changes after a revision as soon as there are any,
	 * or with no items after wait_us. Returns the number of the call.
	 */
	uint64_t (*watch)(struct store *s, int64_t after_revision,
			  int64_t wait_us, store_answer_fn fn, void *data);
	/* Ends a list or watch without an answer; its transfer stops. */
	void (*cancel)(struct store *s, uint64_t call);
	/* Returns true if a part of the answer has arrived. */
	bool (*is_arriving)(const struct store *s, uint64_t call);
	/*
	 * Reads only the current revision of the store; the answer is small
	 * whatever the store holds.
	 */
	void (*probe)(struct store *s, store_answer_fn fn, void *data);
	void (*change)(struct store *s, const struct store_change *c,
		       store_answer_fn fn, void *data);
	/* Grants a new lease. */
	void (*lease)(struct store *s, int64_t ttl_us, store_answer_fn fn,
		      void *data);
	void (*renew)(struct store *s, uint64_t lease, store_answer_fn fn,
		      void *data);
	/* Revokes a lease; the entries bound to it are removed. */
	void (*end_lease)(struct store *s, uint64_t lease, store_answer_fn fn,
			  void *data);
	/*
	 * Reads the text of a change that another instance has passed on; the
	 * caller clears the item. Returns 0, or -EINVAL if it is malformed.
	 */
	int (*read_change)(struct store *s, const char *text, int64_t position,
			   struct store_item *out);
};

/* Must be the first member of every implementation. */
struct store {
	const struct store_ops *ops;
};

enum promotion_outcome {
	PROMOTION_ORDERED, /* carried out, or about to be */
	/* A later token was used, or the endpoint does not run. */
	PROMOTION_REFUSED,
	PROMOTION_NOT_DONE, /* nothing was done */
	PROMOTION_UNKNOWN, /* it may be carried out, even seconds later */
	PROMOTION_OUTCOME_COUNT,
};

/* Makes an endpoint the primary of a service. */
struct promotion_order {
	const char *service;
	const char *endpoint;
	const char *holder; /* the instance that holds the duty */
	uint64_t token; /* fencing token: lower ones are refused from now on */
};

typedef void (*promotion_answer_fn)(void *data, enum promotion_outcome outcome);

struct promoter;

struct promoter_ops {
	/* Sends a promotion order; fn is called once with its outcome. */
	void (*order)(struct promoter *p, const struct promotion_order *o,
		      promotion_answer_fn fn, void *data);
};

/* The first member of every implementation. */
struct promoter {
	const struct promoter_ops *ops;
};

#endif
