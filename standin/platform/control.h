/* control.h - the control port: one text command a line. */
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
void control_run(struct control *c, const struct pollfd *fds, nfds_t count,
		 int64_t now_us);

/* True after the command `kill`. */
bool control_is_killed(const struct control *c);

#endif
