/*
 * scheduler.h - the statements of one service that wait for an endpoint, and
 * the order in which they are sent.
 *
 * Pure: the caller passes the time and does what the outcomes say. One
 * scheduler serves one service, which owns it.
 *
 * Jobs are sent by class. Within a class each workspace gets the same part of
 * the room, by virtual start times, and within a workspace the job that must be
 * sent earliest goes first. Each class below the first that waits keeps a small
 * part of the room. Work that has begun holds its connection and does not wait
 * here.
 */
#ifndef SCHEDULER_SCHEDULER_H
#define SCHEDULER_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

struct scheduler;

/* A waiting statement. Owned by its session; the scheduler only links it. */
struct sched_job {
	void *owner; /* the session */
	uint32_t class_number; /* priority of its route; 0: the most urgent */
	uint64_t workspace; /* hash of its name */
	bool needs_primary; /* may change while it waits */
	int64_t latest_us; /* when it must have been sent, or is of no use */
	int64_t run_us; /* expected duration */
	/* Set by the scheduler. */
	uint64_t tag; /* virtual start time within its class */
	struct scheduler *scheduler; /* NULL: it does not wait */
};

/* The room for jobs of one kind: those that need the primary, or the others. */
struct sched_room {
	uint32_t running; /* statements in progress at the endpoints */
	int64_t blocked_us; /* expected time until any can run; 0: none */
	/* Jobs of the other kind have no other endpoint. */
	bool shared;
};

/* What a refused job lost to. */
enum sched_cause {
	SCHED_CAUSE_URGENT, /* jobs of a higher class */
	SCHED_CAUSE_WORKSPACE, /* earlier jobs of its workspace */
	SCHED_CAUSE_CLASS, /* other workspaces of its class */
	SCHED_CAUSE_RUNNING, /* statements in progress */
	SCHED_CAUSE_BLOCKED, /* no endpoint can run it now */
	SCHED_CAUSE_FULL, /* the number of waiting jobs */
	SCHED_CAUSE_COUNT,
};

/* Returns a phrase that follows "lost to". */
const char *sched_cause_text(enum sched_cause cause);

struct sched_refusal {
	struct sched_job *job;
	enum sched_cause cause;
	int64_t wait_us; /* expected time until what is before it has run */
};

enum { SCHED_REFUSED_MAX = 16 };

struct scheduler_opts {
	uint32_t jobs_max; /* waiting at once */
	/*
	 * Part of the room, in thousandths, that each class keeps while a
	 * higher one waits.
	 */
	uint32_t part_milli;
};

/* Freed with scheduler_free(), which does not free the jobs. */
struct scheduler *scheduler_new(const struct scheduler_opts *opts);
void scheduler_free(struct scheduler *s);

/*
 * Adds a job. Returns the number of jobs that must be refused at once, which
 * are not in the queue: the job itself if it cannot be sent in time, or those
 * of lower classes that can no longer be sent in time behind it. A job that
 * does not fit into the queue displaces the last one.
 */
uint32_t scheduler_add(struct scheduler *s, struct sched_job *j,
		       const struct sched_room *room,
		       struct sched_refusal out[SCHED_REFUSED_MAX],
		       int64_t now_us);

/* Removes a job that was not sent, if it waits. */
void scheduler_remove(struct sched_job *j);

/* Returns what a waiting job waits for. */
struct sched_refusal scheduler_estimate(const struct sched_job *j,
					const struct sched_room *room);

/*
 * Return the jobs in the order of sending; NULL: no more. scheduler_send()
 * removes the current job, which is being sent, and scheduler_skip() keeps it;
 * both return the one to try next. No job may be added or removed in between.
 */
struct sched_job *scheduler_first(struct scheduler *s);
struct sched_job *scheduler_send(struct scheduler *s);
struct sched_job *scheduler_skip(struct scheduler *s);

/* Returns a job that can no longer be sent in time, or NULL. */
struct sched_job *scheduler_find_late(const struct scheduler *s,
				      int64_t now_us);

uint32_t scheduler_count(const struct scheduler *s);
/* Returns the number of jobs that do not need the primary. */
uint32_t scheduler_count_reads(const struct scheduler *s);
uint32_t scheduler_count_workspace(const struct scheduler *s,
				   uint64_t workspace);

#endif
