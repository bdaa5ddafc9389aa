/* pg_client.h - a libpq connection to an endpoint, one unit at a time. */
#ifndef BENCH_PG_CLIENT_H
#define BENCH_PG_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

struct pg_client;

/*
 * Connects to a loopback port, blocking. Returns NULL on failure; freed with
 * pg_client_free().
 */
struct pg_client *pg_client_new(uint16_t port);
void pg_client_free(struct pg_client *c);

/* The socket, for poll(). */
int pg_client_socket(const struct pg_client *c);
/* Returns true if no unit is in progress. */
bool pg_client_idle(const struct pg_client *c);

/* Sends a read of the order, or a transaction that inserts it. */
void pg_client_send(struct pg_client *c, bool write, const char *order_id,
		    int64_t scheduled_us);

/*
 * Reads available input. Returns true when the unit is done; *ok is then
 * whether it succeeded and *scheduled_us when it was due.
 */
bool pg_client_receive(struct pg_client *c, bool *ok, int64_t *scheduled_us);

#endif
