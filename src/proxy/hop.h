/*
 * hop.h - what an instance says to a home beside the statements themselves.
 *
 * The connection carries the wire protocol of endpoints, with the home in the
 * place of an endpoint, and these lines:
 *  - HOP begins it, instead of the protocol's own start.
 *  - OP precedes the first statement of each operation. It has no answer.
 *  - LOAD comes from a home before each answer, and while an operation takes
 *    long. It shows that the home runs, and tells how long reads wait there.
 *  - LEAVING comes from a home that is stopping: it runs what it has accepted
 *    and refuses what follows. The other end closes the connection once that
 *    is idle, so no statement can meet a connection that is being closed.
 */
#ifndef PROXY_HOP_H
#define PROXY_HOP_H

#include "core/position.h"
#include "placement/home_load.h"
#include "proxy/fleet_config.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { HOP_VERSION = 3 }; /* homes of other versions are not used */

/* Of one operation of a session. */
struct hop_operation {
	int64_t config_version; /* by which the sender routed it */
	/*
	 * By that configuration. Its service is that of the connection; it is
	 * read without its names and without .is_public.
	 */
	struct route route;
	int64_t elapsed_us; /* since it arrived from the caller */
	struct position last_write; /* of the session; term 0: none */
	const char *workspace;
	const char *database;
};

/* What a home tells of itself. */
struct hop_load {
	int64_t read_wait_us; /* expected, of a new read */
	/* For which the home had the statement that it answers; -1: none. */
	int64_t took_us;
};

void hop_put_start(GString *out, const char *service);
/* A longer time than hop_read_operation() accepts is shortened. */
void hop_put_operation(GString *out, const struct hop_operation *op);
void hop_put_leaving(GString *out);
void hop_put_load(GString *out, const struct hop_load *l);

bool hop_is_operation(const char *line);
bool hop_is_leaving(const char *line);
bool hop_is_load(const char *line);

/*
 * Return false if the line is malformed. They change it, and the strings in
 * *out point into it.
 */
bool hop_read_start(char *line, const char **service);
bool hop_read_operation(char *line, struct hop_operation *out);
bool hop_read_load(char *line, struct hop_load *out);

#endif
