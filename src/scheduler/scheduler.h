/*
 * scheduler.h - the statements of one service that wait for an endpoint, and
 * the order in which they are sent.
 *
 * Pure: the caller passes the time and does what the outcomes say. One
 * scheduler serves one service; the engine's service owns it.
 */
#ifndef SCHEDULER_SCHEDULER_H
#define SCHEDULER_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

/* A waiting statement. Owned by its session; the scheduler only links it. */
struct sched_job {
	void *owner; /* the session */
	uint32_t class; /* priority of its route, 0 is the highest */
	uint64_t workspace; /* hash of its name */
	bool begun; /* part of work that holds a connection already */
	bool needs_primary;
	int64_t arrived_us;
	int64_t aim_us; /* when its answer should be there at the latest */
	int64_t latest_us; /* when it must have been sent, or is of no use */
	int64_t run_us; /* expected duration */
	/* Set by the scheduler. */
	uint64_t tag; /* virtual start time within its class */
	bool queued;
};

/* The room that the caller sees now, for work of one kind. */
struct sched_room {
	uint32_t running; /* statements of this instance at the endpoints */
	uint32_t limit; /* of them, over all endpoints that can run the work */
	int64_t blocked_us; /* expected time until any can run; 0: none */
};

enum sched_verdict {
	SCHED_ENTERED,
	SCHED_REFUSED, /* it would miss latest_us; it has not entered */
};

enum { SCHED_DISPLACED_MAX = 16 };

struct sched_outcome {
	enum sched_verdict verdict;
	int64_t retry_us; /* refused: when the caller should come back */
	const char *reason; /* refused: what it lost to; a constant */
	/* Taken out, as they would now miss latest_us: refuse them at once. */
	struct sched_job *displaced[SCHED_DISPLACED_MAX];
	uint32_t displaced_count;
};

struct scheduler_opts {
	uint32_t jobs_max; /* waiting at once */
	/* Part of the room that the lowest class gets, in thousandths. */
	uint32_t lowest_part_milli;
};

struct scheduler;

/* Freed with scheduler_free(), which does not free the jobs. */
struct scheduler *scheduler_new(const struct scheduler_opts *opts);
void scheduler_free(struct scheduler *s);

/* Adds a job or refuses it. */
void scheduler_add(struct scheduler *s, struct sched_job *j,
		   const struct sched_room *room, struct sched_outcome *out,
		   int64_t now_us);

/* Removes a job: its caller has left, it ended, or it is being sent. */
void scheduler_remove(struct scheduler *s, struct sched_job *j, bool sent);

/*
 * Return the first job in the order of sending, and the one after `j`; NULL: no
 * more. A job that cannot be sent now, as its endpoint has no room, is skipped.
 */
struct sched_job *scheduler_first(struct scheduler *s, int64_t now_us);
struct sched_job *scheduler_next(struct scheduler *s, struct sched_job *j);

/* Returns a job that can no longer be sent in time, or NULL. */
struct sched_job *scheduler_find_late(struct scheduler *s, int64_t now_us);

uint32_t scheduler_count(const struct scheduler *s);

#endif
