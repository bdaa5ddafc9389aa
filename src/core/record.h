/*
 * record.h - the records stored in the platform's key-value service:
 * configuration, terms, shares and instances.
 *
 * Each record is one key of the service. Its revision is the service's
 * modification revision of that key.
 */
#ifndef CORE_RECORD_H
#define CORE_RECORD_H

#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

/* Which requests of a profile the proxy may repeat. */
enum repeat_policy {
	REPEAT_NEVER, /* sent to an endpoint at most once */
	REPEAT_READS, /* only reads are sent again */
	REPEAT_BY_ID, /* reads, and writes that carry a request id */
};

/* How fresh reads must be, which requests are repeated, what they cost. */
struct profile_record {
	char name[NAME_BYTES];
	/* Age of the data in reads; 0: strict, from a confirmed primary. */
	int64_t max_age_us;
	enum repeat_policy repeat;
	uint32_t cost_milli; /* tokens that one request takes, x 1000 */
	bool open; /* requests need no API key */
	char open_workspace[NAME_BYTES]; /* charged for requests if open */
};

/* Limits of one workspace, summed over all instances. */
struct workspace_record {
	char name[NAME_BYTES];
	uint32_t rate_milli_per_s; /* requests a second, x 1000 */
	uint32_t burst_milli; /* requests, x 1000 */
	/* Relative share of an endpoint when requests queue; at least 1. */
	uint32_t weight;
};

/* A caller's API key, of which only the digest is stored. */
struct key_record {
	uint8_t digest[DIGEST_BYTES];
	char workspace[NAME_BYTES];
};

enum endpoint_state {
	ENDPOINT_LIVE,
	ENDPOINT_LEAVING, /* gets no new requests */
};

/* One database server process of a group. */
struct endpoint_record {
	char name[NAME_BYTES];
	char group[NAME_BYTES];
	char zone[NAME_BYTES]; /* availability zone */
	char address[ADDRESS_BYTES]; /* "ip:port" */
	uint32_t slots; /* statements that may run at the same time */
	uint32_t connections_max; /* of all instances together */
	enum endpoint_state state;
};

/* Term and primary of a group, written by compare-and-swap only. */
struct term_record {
	char group[NAME_BYTES];
	uint64_t term;
	char primary[NAME_BYTES]; /* "" while the promotion is in progress */
	char promoter[NAME_BYTES]; /* instance that allocated the term */
	/* Lets the writer recognise its own change after a lost answer. */
	uint64_t change_id;
};

/* The whole limit of a workspace, in the unit of share_holder.ppm. */
enum { SHARE_WHOLE_PPM = 1000000 };

/* The part of every workspace's limit that one instance holds. */
struct share_holder {
	char instance[NAME_BYTES];
	uint64_t incarnation; /* of that instance's process */
	uint32_t ppm; /* parts per million; 0: waiting for a part */
};

/*
 * How the limits of the workspaces of one cell are divided among instances.
 * The sum of all ppm never exceeds SHARE_WHOLE_PPM. Written by
 * compare-and-swap only; a holder is removed by others only while its
 * member key is absent.
 */
struct share_record {
	uint32_t cell;
	uint32_t holder_count;
	struct share_holder holders[SHARE_HOLDERS_MAX];
};

/* A running instance; its key is deleted when the instance's lease ends. */
struct member_record {
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES]; /* for peer messages */
	uint64_t incarnation; /* of its process */
};

/* An entry of the platform's own list of machines, which may be outdated. */
struct instance_record {
	char name[NAME_BYTES]; /* instance or endpoint name */
	bool leaving;
};

enum record_kind {
	RECORD_PROFILE,
	RECORD_WORKSPACE,
	RECORD_KEY,
	RECORD_ENDPOINT,
	RECORD_TERM,
	RECORD_SHARE,
	RECORD_MEMBER,
	RECORD_INSTANCE,
	RECORD_KIND_COUNT,
};

struct record {
	enum record_kind kind;
	int64_t revision; /* modification revision of the key */
	union {
		struct profile_record profile;
		struct workspace_record workspace;
		struct key_record key;
		struct endpoint_record endpoint;
		struct term_record term;
		struct share_record share;
		struct member_record member;
		struct instance_record instance;
	};
};

/* One endpoint of a group, as known to an instance. */
struct endpoint_version {
	char name[NAME_BYTES];
	int64_t revision; /* of its record */
};

/*
 * What a change of a group's endpoints rests on: these are its endpoints, and
 * the group has no endpoint record of a later revision. Another instance may
 * have made a change that has not arrived here.
 */
struct endpoint_guard {
	char group[NAME_BYTES];
	int64_t revision;
	struct endpoint_version *members; /* freed with g_free() */
	uint32_t count;
};

#endif
