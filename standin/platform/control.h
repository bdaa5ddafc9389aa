/*
 * control.h - the control port: one text command a line.
 *
 * Each is answered by one line, "ok", "ok VALUE" or "error".
 *
 *   outage on|refuse|off    answer nothing, or close connections; open
 *                           watches are cut, leases go on running out
 *   slow MS                 delay each answer
 *   lose N|off              carry out the next N changes without an answer
 *   freeze, resume          stand still but for this port
 *   silent                  open watches never send again
 *   instance NAME live|leaving|gone   visible after the lag
 *   lag MS                  lag of later changes of instances
 *   get KEY, put KEY VALUE, delete KEY, compact
 *   count, revision, leases
 *   expire-lease ID, kill
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

/* Opens the listener; returns NULL if the address can't be used. */
struct control *control_new(const struct control_opts *opts);
void control_free(struct control *c);
uint16_t control_port(const struct control *c);

enum { CONTROL_FDS_MAX = 17 };

/* Fills the descriptors to poll; returns their number. */
nfds_t control_fds(const struct control *c, struct pollfd *out);

/* Serves every descriptor that is ready. */
void control_handle_events(struct control *c, const struct pollfd *fds,
			   nfds_t count, int64_t now_us);

/* True after the command `kill`. */
bool control_is_kill_requested(const struct control *c);

#endif
