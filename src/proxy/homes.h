/*
 * homes.h - which instances open connections to a service's endpoints.
 *
 * Where there are more instances than connections to an endpoint, a few of
 * them, the service's homes, hold all connections; the others send their
 * statements to a home. Homes are chosen by rendezvous hashing over the
 * instances known to be alive, in the availability zones of the service's
 * endpoints: a statement then crosses zones as often as before, and a zone
 * that is cut off keeps homes for the endpoints that it can reach.
 *
 * Which instances are homes follows from what each instance knows. Two that
 * disagree for a moment cost connections, never a promise: a home runs a
 * statement as it would run one of its own callers.
 */
#ifndef PROXY_HOMES_H
#define PROXY_HOMES_H

#include "placement/home_choice.h"
#include "proxy/upstream.h"

struct operation;

/* The instance at which an operation arrived, and what it needs. */
struct home_request {
	const char *instance;
	const char *zone; /* of that instance */
	const char *workspace;
	const struct operation *op;
	enum home_work work;
	uint32_t ticket; /* see home_choice() */
};

/* An instance that may become a home. */
struct home_candidate {
	const char *name;
	const char *zone;
	uint64_t score; /* set by homes_choose() */
};

enum {
	HOMES_MAX = 8, /* of one service */
	/*
	 * Instances that keep a connection to each primary of a service and
	 * report if it does not answer, beside the homes. A primary counts as
	 * failed when half of them get no answer.
	 */
	OBSERVERS = 9,
	/* There are fewer observers where connections are few. */
	CONNS_PER_OBSERVER = 10,
};

/*
 * Returns true if the connections to an endpoint that may be used do not
 * suffice for one of each instance.
 */
bool homes_are_needed(uint32_t usable_conns, uint32_t instances);

/*
 * Sorts the candidates by their score for the service and chooses one home in
 * each of the endpoints' zones that has a candidate; else the first candidates.
 * Returns the number of homes; `out` holds their indexes.
 */
uint32_t homes_choose(const struct service *svc, struct home_candidate *c,
		      uint32_t count, uint32_t out[HOMES_MAX]);

/*
 * Returns the home that runs an operation, or NULL if this instance runs it
 * itself: it is that home, or no home can be reached. Each workspace has its
 * own order of the homes that suit the work equally, so its connections to an
 * endpoint are at few homes. *fit is set for a home that is returned.
 */
struct upstream *homes_find(const struct service *svc,
			    const struct home_request *r, int64_t now_us,
			    enum home_fit *fit);

/* Returns the other home that gets the workspace if this one stops, or NULL. */
struct upstream *homes_find_successor(const struct service *svc,
				      const char *workspace);

#endif
