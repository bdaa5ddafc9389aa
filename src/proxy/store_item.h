/*
 * store_item.h - the entries of the platform's store that the proxy reads and
 * writes.
 */
#ifndef PROXY_STORE_ITEM_H
#define PROXY_STORE_ITEM_H

#include "core/event.h"
#include "core/sizes.h"
#include "limits/zone_list.h"
#include "proxy/fleet_config.h"
#include "steering/steer_request.h"

#include <stdbool.h>
#include <stdint.h>

/* An endpoint's entry, which the endpoint writes itself. */
struct upstream_entry {
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char address[ADDRESS_BYTES];
	char zone[NAME_BYTES]; /* availability zone */
	uint32_t slots; /* statements that it runs at once */
	bool leaving; /* it shuts down soon */
	enum endpoint_role role; /* as reported by the endpoint */
	int64_t started_ms; /* start of its process; identifies the process */
};

/* An instance's entry, bound to the instance's lease. */
struct instance_entry {
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES]; /* for peer messages */
	char relay[ADDRESS_BYTES]; /* for statements; "": it is never a home */
	uint64_t incarnation; /* of the process */
	/* An entry of this name has been there for longer than a lease. */
	bool settled;
};

/* The holder of the singleton duty; bound to a lease of its own. */
struct duty_entry {
	char holder[NAME_BYTES];
	uint64_t incarnation;
};

/*
 * The last choice of a failover, written before its promotion order is sent.
 * The order may still be carried out while the service's term is lower.
 */
struct choice_entry {
	char endpoint[NAME_BYTES];
	uint64_t term; /* in which the endpoint is to be the primary */
};

enum { REPLICA_SET_MAX = 64 }; /* members; a larger set is unreadable */

/*
 * The endpoints of a service that may hold its log, with the state in which
 * they were last seen. Unlike an endpoint's own entry, it stays when they
 * cannot reach the store.
 */
struct replica_set_entry {
	struct upstream_entry *members; /* NULL: none */
	uint32_t count;
};

/*
 * How limits are counted in a fleet of this size; without a lease. See
 * limit_record.h.
 */
struct limit_entry {
	uint32_t size_class; /* see limits/size_class.h */
	/* The entry has had these values for longer than a lease. */
	bool settled;
	struct zone_list zones; /* that count parts of small limits */
};

enum store_item_kind {
	ITEM_CONFIG, /* .config; NULL if it cannot be read */
	ITEM_UPSTREAM, /* .upstream */
	ITEM_INSTANCE, /* .instance */
	ITEM_DUTY, /* .duty */
	ITEM_CHOICE, /* .choice */
	ITEM_REPLICA_SET, /* .replica_set */
	ITEM_LIMITS, /* .limits */
	ITEM_STEER, /* .steer */
	ITEM_OTHER, /* not used by the proxy */
	ITEM_KIND_COUNT,
};

struct store_item {
	enum store_item_kind kind;
	/* Of the endpoint, instance or service; subject of a request. */
	char name[NAME_BYTES];
	/* ITEM_STEER, also of one that is removed; STEER_KINDS: unknown. */
	enum steer_kind steer_kind;
	int64_t revision; /* of its last change */
	bool removed;
	bool readable; /* false: the value is malformed; the union is not set */
	/*
	 * The change as another instance reads it with store_ops.read_change;
	 * NULL: it is too large, or not of a watch. Owned by the item.
	 */
	char *text;
	union {
		struct fleet_config *config; /* owned by the item */
		struct upstream_entry upstream;
		struct instance_entry instance;
		struct duty_entry duty;
		struct choice_entry choice;
		struct replica_set_entry replica_set; /* owned by the item */
		struct limit_entry limits;
		struct steer_request steer;
	};
};

/* Frees the text, and what the item still owns of its value. */
void store_item_clear(struct store_item *i);

#endif
