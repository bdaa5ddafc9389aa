/*
 * control.h - the control port, through which tests inject faults and access
 * the store.
 *
 * Each command is one line of text, and so is its answer: "ok", "ok VALUE" or
 * "error".
 *
 *   outage on|refuse|off    on: send no response; refuse: close connections
 *                           without a response. Both close open watches.
 *                           Leases still expire during an outage.
 *   slow MS                 delay each response
 *   lose N|off              execute the next N writes, but close their
 *                           connections without a response
 *   freeze, resume          stop the process except for this port; continue
 *   silent                  open watches never send anything again
 *   instance NAME live|leaving|gone
 *                           change the state of an instance, visible to
 *                           readers after the lag
 *   lag MS                  set the lag of later `instance` commands
 *   get KEY                 value of the key, or "none"
 *   put KEY VALUE, delete KEY
 *   compact                 discard the history of the keys
 *   count                   numbers of calls served, by kind
 *   revision                current revision of the store
 *   leases                  ids of the granted leases
 *   expire-lease ID         end a lease and delete its keys
 *   kill                    exit
 */
#ifndef PLATFORM_CONTROL_H
#define PLATFORM_CONTROL_H

#include "platform/faults.h"
#include "platform/gateway.h"
#include "platform/instance_list.h"
#include "platform/kv_store.h"

#include <poll.h>

struct control;

struct control_opts {
	const char *address;
	struct kv_store *store;
	struct faults *faults;
	struct gateway *gateway;
	struct instance_list *instances;
};

/*
 * Opens the listener. Returns NULL if the address cannot be used; else the
 * control port is to be freed with control_free().
 */
struct control *control_new(const struct control_opts *opts);
void control_free(struct control *c);
uint16_t control_port(const struct control *c);

/* The listener and its connections. */
enum { CONTROL_FDS_MAX = 17 };

/* Stores the descriptors to poll in `out`; returns their number. */
nfds_t control_fds(const struct control *c, struct pollfd *out);

/*
 * Serves the descriptors that poll() reported as ready; `fds` and `count` are
 * those of the last control_fds(). Commands use now_us as the current time.
 */
void control_handle_events(struct control *c, const struct pollfd *fds,
			   nfds_t count, int64_t now_us);

/* Returns true once the command `kill` was received. */
bool control_is_kill_requested(const struct control *c);

#endif
