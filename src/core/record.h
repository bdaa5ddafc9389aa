/*
 * record.h - the operators' configuration records, as the core sees them.
 *
 * Each record is one key of the platform's key-value service. Its revision
 * is the service's modification revision of that key.
 */
#ifndef CORE_RECORD_H
#define CORE_RECORD_H

#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

/* How a request of a profile may be repeated by the proxy. */
enum repeat_policy {
	REPEAT_NEVER, /* sent to an endpoint at most once */
	REPEAT_READS, /* only reads are sent again */
	REPEAT_BY_ID, /* reads, and writes that carry a request id */
};

/* How fresh reads must be, how requests are repeated, what they cost. */
struct profile_record {
	char name[NAME_BYTES];
	int64_t max_age_us; /* 0: strict, served by a confirmed primary */
	enum repeat_policy repeat;
	uint32_t cost_milli; /* tokens that one request takes, x 1000 */
	bool open; /* no key is asked for */
	char open_workspace[NAME_BYTES]; /* charged for open requests */
};

/* Limits of one workspace, counted over all instances together. */
struct workspace_record {
	char name[NAME_BYTES];
	uint32_t rate_milli_per_s; /* requests a second, x 1000 */
	uint32_t burst_milli; /* requests, x 1000 */
	uint32_t weight; /* part of an endpoint when requests queue; 1.. */
};

/* A caller's key; only its digest is kept. */
struct key_record {
	uint8_t digest[DIGEST_BYTES];
	char workspace[NAME_BYTES];
};

enum endpoint_state {
	ENDPOINT_LIVE,
	ENDPOINT_LEAVING, /* gets no new work */
};

/* One database server process of a group. */
struct endpoint_record {
	char name[NAME_BYTES];
	char group[NAME_BYTES];
	char zone[NAME_BYTES]; /* availability zone */
	char address[ADDRESS_BYTES]; /* "ip:port" */
	uint32_t slots; /* statements that run at once */
	uint32_t connections_max; /* over all instances */
	enum endpoint_state state;
};

/* Term and primary of a group, written by compare-and-swap only. */
struct term_record {
	char group[NAME_BYTES];
	uint64_t term;
	char primary[NAME_BYTES]; /* "" while the promotion is in progress */
	char promoter[NAME_BYTES]; /* instance that allocated the term */
	uint64_t change_id; /* tells one's own change after a lost answer */
};

/* All of every workspace's limit, in the unit of share_holder.ppm. */
enum { SHARE_WHOLE_PPM = 1000000 };

/* The part of every workspace's limit that one instance holds. */
struct share_holder {
	char instance[NAME_BYTES];
	uint64_t incarnation; /* process of that instance */
	uint32_t ppm; /* 0: the instance asks for a part */
};

/*
 * How the limits of the workspaces of one cell are divided over instances.
 * The sum of all ppm never exceeds SHARE_WHOLE_PPM. Written by
 * compare-and-swap only; a holder is removed by others only while its
 * member key is absent.
 */
struct share_record {
	uint32_t cell;
	uint32_t holder_count;
	struct share_holder holders[SHARE_HOLDERS_MAX];
};

/* A running instance; the key is bound to that instance's lease. */
struct member_record {
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES]; /* for peer messages */
	uint64_t incarnation;
};

/* A row of the platform's own list of machines, which lags. */
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

#endif
