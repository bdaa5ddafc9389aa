/* pg_client.h - one connection to an endpoint; statements run in turn. */
#ifndef BENCH_PG_CLIENT_H
#define BENCH_PG_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

struct pg_client;

/* Connects, waiting; NULL on failure. Freed with pg_client_free(). */
struct pg_client *pg_client_new(uint16_t port);
void pg_client_free(struct pg_client *c);

int pg_client_socket(const struct pg_client *c);
bool pg_client_idle(const struct pg_client *c);

/* A read of the order, or a transaction that books it. */
void pg_client_send(struct pg_client *c, bool write, const char *order_id,
		    int64_t scheduled_us);

/*
 * Takes in what came. Returns true when the work is done; *ok tells
 * whether it succeeded and *scheduled_us when it was due.
 */
bool pg_client_receive(struct pg_client *c, bool *ok, int64_t *scheduled_us);

#endif
