/*
 * upstream.h - an endpoint as this instance knows it, and its service.
 *
 * Services belong to the engine, upstreams to their service.
 */
#ifndef PROXY_UPSTREAM_H
#define PROXY_UPSTREAM_H

#include "proxy/mark_ring.h"
#include "proxy/store_item.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct service;

struct upstream {
	struct upstream_entry entry;
	struct service *service;
	int64_t missing_since_us; /* not listed; 0: it is */

	/* Connections of this instance. */
	GPtrArray *conns; /* struct upstream_conn */
	int64_t open_after_us; /* no new connection before */

	/* What it last showed. */
	struct position position;
	int64_t silent_since_us; /* first question without an answer; 0 */
	int64_t lag_us; /* estimate of how far it is behind */
	int64_t behind_until_us; /* it said that it lacks a position */
	int64_t busy_until_us; /* it said that it is overloaded */

	/* Moving averages. */
	int64_t latency_us; /* of a statement, waiting there included */
	int64_t latency_at_us;
	int64_t handshake_us; /* of opening a connection */

	uint32_t running; /* statements under way */
	uint32_t open_failures; /* in a row */
	bool listed; /* the store has its entry */
	bool has_position;
	bool refused; /* silent, and nothing listens at its address */
	bool leads; /* it said so, and has not denied it since */
};

struct service {
	char name[NAME_BYTES];
	GPtrArray *upstreams; /* struct upstream */
	uint32_t conns_max; /* to one endpoint, over all instances */
	bool confirms_writes;
	struct upstream *primary; /* NULL: none is known */
	uint64_t term; /* highest seen */
	int64_t primary_lost_us; /* 0: there is one */
	int64_t outage_us; /* how long losses of the primary last */
	struct mark_ring marks;
	GPtrArray *waiting; /* struct session, most urgent first */
	bool probing; /* a mark is being asked for */
	int64_t probe_due_us;
	int64_t least_age_us; /* smallest max_age_us of its routes; 0: none */
};

/* Freed with service_free(), with its upstreams. */
struct service *service_new(const char *name);
void service_free(struct service *s);

/* Adds an upstream to its service. */
struct upstream *upstream_new(struct service *s,
			      const struct upstream_entry *e);

/* Removes it from its service; it must have no connections. */
void upstream_free(struct upstream *u);

/* Returns its number in messages between instances. */
uint64_t upstream_number(const struct upstream *u);

/* Returns true when new work may be sent to it. */
bool upstream_usable(const struct upstream *u);

/* Takes the log position that an answer carried. */
void upstream_note_position(struct upstream *u, struct position p,
			    int64_t now_us);

/* It answered something, or at least its machine did. */
void upstream_note_answer(struct upstream *u);

/* Takes the time that a statement or a handshake took. */
void upstream_note_latency(struct upstream *u, int64_t took_us, int64_t now_us);
void upstream_note_handshake(struct upstream *u, int64_t took_us);

/* Returns the expected duration of a statement; fades when not renewed. */
int64_t upstream_latency_us(const struct upstream *u, int64_t now_us);

/* Returns true if it gets no answer for longer than a delay lasts. */
bool upstream_is_silent(const struct upstream *u, int64_t now_us);

/* Returns since when no primary answers; 0: one does. */
int64_t service_outage_since_us(const struct service *s, int64_t now_us);

/* The primary serves again after an outage. */
void service_note_recovery(struct service *s, int64_t took_us);

/*
 * How an endpoint's word about its role counts. An entry that is read for the
 * first time may be older than a promotion; it displaces nobody.
 */
enum lead_word {
	LEAD_DENIED, /* it is a replica, or refused as one */
	LEAD_ENTRY, /* its entry says that it leads */
	LEAD_TAKEN, /* its entry changed to that, or its answer shows it */
};

/*
 * Takes an endpoint's word and chooses the primary anew. Returns true if
 * the service's primary changed; it may be NULL then.
 */
bool service_note_lead(struct upstream *u, enum lead_word word, int64_t now_us);

#endif
