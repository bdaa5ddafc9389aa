/*
 * group.h - a group member's copy of the replicated log, its term and role.
 *
 * Offsets start at 1 and have no gaps. Members hold no elections: a client
 * raises the term and promotes a member.
 */
#ifndef ENDPOINT_GROUP_H
#define ENDPOINT_GROUP_H

#include "store.h"

/* A committed transaction, or an empty entry that opens a term. */
struct group_log_entry {
	uint64_t term;
	uint64_t offset;
	int64_t appended_us; /* time when this member appended it */
	json_t *changes; /* NULL for an empty entry */
};

struct group_opts {
	struct store *store;
	/*
	 * The member has ceased to be primary. Called before its log changes,
	 * so that open transactions can be rolled back.
	 */
	void (*on_demoted)(void *data);
	/* The primary has appended an entry, or the role has changed. */
	void (*on_changed)(void *data);
	void *data;
};

struct group;

/* Creates a replica with an empty log, to be freed with group_free(). */
struct group *group_new(const struct group_opts *opts);
void group_free(struct group *g);

uint64_t group_current_term(const struct group *g);
bool group_is_primary(const struct group *g);
/* Returns the last entry, or NULL while the log is empty. */
const struct group_log_entry *group_last_entry(const struct group *g);
uint64_t group_last_offset(const struct group *g);
/* Returns the entry at the offset, or NULL if there is none. */
const struct group_log_entry *group_get_entry(const struct group *g,
					      uint64_t offset);

/* Appends an entry on the primary; takes ownership of `changes`. */
void group_append(struct group *g, json_t *changes);

/*
 * Adopts a later term and becomes a replica; an earlier term or the current
 * one changes nothing.
 */
void group_raise_term(struct group *g, uint64_t term);

/*
 * Becomes the primary of `term` and appends the empty entry that opens it.
 * Returns 0, or -ESTALE when the term is earlier than the current one or
 * another member is known to be its primary.
 */
int group_promote(struct group *g, uint64_t term);

/* A primary's request to a replica to append entries. */
struct group_append_request {
	uint64_t term;
	uint64_t previous_term; /* term of the entry before the first sent */
	uint64_t previous_offset; /* its offset; 0: the log's start */
	const json_t *entries; /* array of {"term", "offset", "changes"} */
};

/*
 * Appends and applies the entries of a primary; conflicting entries of this
 * log are removed first. Returns 0, -ESTALE when the request's term is earlier
 * than the current one or this member is its primary, or -ENOENT when this
 * log lacks the entry before the first one sent.
 */
int group_handle_append(struct group *g, const struct group_append_request *r);

#endif
