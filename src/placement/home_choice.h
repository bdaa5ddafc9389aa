/*
 * home_choice.h - which home of a service runs an operation.
 *
 * A pure function of what the entry instance knows about each home. Work that
 * needs the primary goes where the primary is, so that only one hop crosses
 * availability zones; reads that a replica can serve stay in the entry's own
 * zone while a replica there can serve them.
 */
#ifndef PLACEMENT_HOME_CHOICE_H
#define PLACEMENT_HOME_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/* What an operation needs of an endpoint. */
enum home_work {
	HOME_WORK_PRIMARY, /* writes, plain transactions, strict reads */
	HOME_WORK_READ, /* reads that a replica can serve */
};

/* A home as the entry knows it; this instance may be one of them. */
struct home_option {
	/* Of this home for the workspace; among equals the highest is used. */
	uint64_t rank;
	bool available; /* it can be sent work now */
	bool in_entry_zone;
	bool in_primary_zone;
	bool has_replica; /* a replica in its zone can serve the read */
	/* It has work and says nothing, so it is used only if all do so. */
	bool stalled;
	int64_t wait_us; /* expected there, as it told */
};

/* How well a home's place suits the work, worst first. */
enum home_fit {
	HOME_FIT_NONE, /* all that it asks is in other zones */
	HOME_FIT_ENDPOINT, /* an endpoint in its zone can run the work */
	HOME_FIT_NEAR, /* likewise, and the entry is in its zone as well */
};

enum home_fit home_choice_fit(const struct home_option *o, enum home_work work);

/* Returns the name of the fit for metrics. */
const char *home_fit_name(enum home_fit fit);

enum {
	/*
	 * A home is relieved only if another one has a shorter wait by this
	 * much: several times what a longer way costs.
	 */
	HOME_WAIT_MARGIN_US = 20 * 1000,
	HOME_TICKETS = 1000,
};

/*
 * Returns the index of the home to use, or -1 if none is available. `ticket`,
 * below HOME_TICKETS and evenly spread over operations, decides which of them
 * a busy home is relieved of: at most half, so that homes don't take all work
 * from one another in turn, and a wrong wait moves no more than that.
 */
int home_choice(const struct home_option *o, uint32_t count,
		enum home_work work, uint32_t ticket);

#endif
