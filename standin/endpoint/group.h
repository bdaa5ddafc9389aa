/*
 * group.h - one member's copy of the group's log, its term and its role.
 *
 * Offsets start at 1 and have no gaps. There is no election here: others
 * raise the term and promote a member.
 */
#ifndef ENDPOINT_GROUP_H
#define ENDPOINT_GROUP_H

#include "store.h"

/* A committed transaction, or an empty entry that opens a term. */
struct log_record {
	uint64_t term;
	uint64_t offset;
	int64_t committed_us; /* when it was appended here */
	json_t *changes; /* NULL for an empty entry */
};

struct group_opts {
	struct store *store;
	/* The member is about to lose its role or its log changes. */
	void (*on_demoted)(void *data);
	/* The log has grown on the primary, or the role has changed. */
	void (*on_changed)(void *data);
	void *data;
};

struct group;

/* Freed with group_free(). */
struct group *group_new(const struct group_opts *opts);
void group_free(struct group *g);

uint64_t group_current_term(const struct group *g);
bool group_is_primary(const struct group *g);
/* Returns the last entry, or NULL while the log is empty. */
const struct log_record *group_last(const struct group *g);
uint64_t group_last_offset(const struct group *g);
/* Returns an entry, or NULL. */
const struct log_record *group_record(const struct group *g, uint64_t offset);

/* Appends on the primary; takes ownership of `changes`. */
void group_append(struct group *g, json_t *changes);

/* Adopts a later term as a replica; an earlier one changes nothing. */
void group_raise_term(struct group *g, uint64_t term);

/*
 * Becomes the primary of `term`. Returns 0, or -ESTALE when the term is
 * behind or has another primary.
 */
int group_promote(struct group *g, uint64_t term);

/* What a primary sends to a replica. */
struct group_append_request {
	uint64_t term;
	uint64_t previous_term; /* of the entry before the first one sent */
	uint64_t previous_offset;
	const json_t *records; /* array of {"term", "offset", "changes"} */
};

/*
 * Takes entries of a primary. Returns 0, -ESTALE for an earlier term, or
 * -ENOENT when the entry before the first one is not in this log.
 */
int group_accept(struct group *g, const struct group_append_request *r);

#endif
