#include "replication.h"

#include "line.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

enum {
	BATCH_ENTRIES_MAX = 512,
	RECONNECT_US = 20000, /* delay before the next connection attempt */
	HEARTBEAT_US = 50000, /* interval of requests without entries */
};

/* A peer to which this member replicates while it is primary. */
struct peer {
	struct replication *replication;
	char *address;
	struct stream *stream; /* NULL: not connected */
	bool in_flight; /* a request waits for its reply */
	bool lag_known; /* a reply on this connection has set lag_us */
	uint64_t next_offset; /* of the next entry to send */
	int64_t lag_us; /* replication lag that the peer requests */
	int64_t sent_us; /* time of the last request */
};

/* A connection that a peer has opened to this member. */
struct inbound_connection {
	struct replication *replication;
	struct stream *stream;
};

struct replication {
	struct endpoint *ep;
	struct listener *listener;
	GPtrArray *peers; /* struct peer */
	GPtrArray *inbound_connections; /* struct inbound_connection, open */
	bool partitioned; /* nothing is exchanged with peers */
};

static void send_json(struct stream *s, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	stream_write(s, text, strlen(text));
	stream_write(s, "\n", 1);
	stream_flush(s);
	free(text);
	json_decref(j);
}

/* Primary side. */

static void run_peer(void *data);

static void schedule_peer(struct peer *p, int64_t at_us)
{
	struct delay_queue *d = p->replication->ep->delay_queue;

	delay_queue_cancel(d, p);
	delay_queue_add(d, at_us, run_peer, p);
}

/* The lag is that of this endpoint or of the peer, whichever is larger. */
static int64_t effective_lag_us(const struct peer *p)
{
	return MAX(p->lag_us, p->replication->ep->opts.lag_us);
}

/*
 * Returns the next entries to send, at most BATCH_ENTRIES_MAX, which were
 * appended at least the peer's lag ago. None before the lag is known.
 */
static json_t *collect_due_entries(const struct peer *p, int64_t now_us)
{
	const struct group *g = p->replication->ep->engine.group;
	json_t *entries = json_array();
	uint64_t offset = p->next_offset;

	while (p->lag_known && json_array_size(entries) < BATCH_ENTRIES_MAX) {
		const struct group_log_entry *e = group_get_entry(g, offset++);
		json_t *j;

		if (!e || e->appended_us + effective_lag_us(p) > now_us)
			break;
		j = json_pack("{s:I, s:I}", "term", (json_int_t)e->term,
			      "offset", (json_int_t)e->offset);
		if (e->changes)
			json_object_set(j, "changes", e->changes);
		json_array_append_new(entries, j);
	}
	return entries;
}

static void send_append(struct peer *p, json_t *entries, int64_t now_us)
{
	const struct group *g = p->replication->ep->engine.group;
	const struct group_log_entry *previous;

	previous = group_get_entry(g, p->next_offset - 1);
	send_json(p->stream,
		  json_pack("{s:I, s:I, s:I, s:o}", "term",
			    (json_int_t)group_current_term(g), "previous_term",
			    (json_int_t)(previous ? previous->term : 0),
			    "previous_offset", (json_int_t)p->next_offset - 1,
			    "records", entries));
	p->in_flight = true;
	p->sent_us = now_us;
}

/* Returns when the next entry or heartbeat is due, whichever is earlier. */
static int64_t next_due_us(const struct peer *p)
{
	const struct group *g = p->replication->ep->engine.group;
	const struct group_log_entry *e = group_get_entry(g, p->next_offset);
	int64_t due_us = p->sent_us + HEARTBEAT_US;

	return e ? MIN(due_us, e->appended_us + effective_lag_us(p)) : due_us;
}

static void send_if_due(struct peer *p)
{
	int64_t now_us = loop_now_us();
	json_t *entries;

	if (p->in_flight)
		return;
	entries = collect_due_entries(p, now_us);
	if (json_array_size(entries) == 0 &&
	    now_us < p->sent_us + HEARTBEAT_US) {
		json_decref(entries);
		schedule_peer(p, next_due_us(p));
		return;
	}
	send_append(p, entries, now_us);
}

static void handle_reply(struct peer *p, const json_t *j)
{
	struct group *g = p->replication->ep->engine.group;
	uint64_t term = json_integer_value(json_object_get(j, "term"));
	uint64_t offset = json_integer_value(json_object_get(j, "offset"));

	p->in_flight = false;
	p->lag_known = true;
	p->lag_us = json_integer_value(json_object_get(j, "lag_us"));
	if (term > group_current_term(g)) {
		group_raise_term(g, term);
		return;
	}
	if (json_is_true(json_object_get(j, "accepted")))
		p->next_offset = offset + 1;
	else if (p->next_offset > 1)
		p->next_offset = MIN(p->next_offset - 1, offset + 1);
	send_if_due(p);
}

static void on_reply(void *data, const char *line)
{
	struct peer *p = data;
	json_t *j = json_loads(line, 0, NULL);

	if (j && group_is_primary(p->replication->ep->engine.group))
		handle_reply(p, j);
	json_decref(j);
}

static void peer_on_data(void *data, GByteArray *in)
{
	consume_lines(in, on_reply, data);
}

static void peer_on_close(void *data)
{
	struct peer *p = data;

	p->stream = NULL;
	p->in_flight = false;
	if (group_is_primary(p->replication->ep->engine.group))
		schedule_peer(p, loop_now_us() + RECONNECT_US);
}

static void peer_on_free(void *data)
{
}

static const struct stream_ops peer_ops = { peer_on_data, peer_on_close,
					    peer_on_free };

static void peer_disconnect(struct peer *p)
{
	if (p->stream)
		stream_close(p->stream);
	p->stream = NULL;
	p->in_flight = false;
	delay_queue_cancel(p->replication->ep->delay_queue, p);
}

static void peer_connect(struct peer *p)
{
	struct endpoint *ep = p->replication->ep;

	p->next_offset = group_last_offset(ep->engine.group) + 1;
	p->lag_known = false;
	p->sent_us = -HEARTBEAT_US;
	p->stream = stream_connect(ep->net, p->address, &peer_ops, p);
	if (p->stream)
		send_if_due(p);
	else
		schedule_peer(p, loop_now_us() + RECONNECT_US);
}

static void run_peer(void *data)
{
	struct peer *p = data;

	if (!group_is_primary(p->replication->ep->engine.group)) {
		peer_disconnect(p);
		return;
	}
	if (p->replication->partitioned)
		return;
	if (p->stream)
		send_if_due(p);
	else
		peer_connect(p);
}

void replication_notify(struct replication *r)
{
	if (!r)
		return;
	for (guint i = 0; i < r->peers->len; i++)
		schedule_peer(g_ptr_array_index(r->peers, i), loop_now_us());
}

/* Replica side. */

static void on_request(void *data, const char *line)
{
	struct inbound_connection *in = data;
	struct endpoint *ep = in->replication->ep;
	struct group_append_request r = { 0 };
	json_t *j = json_loads(line, 0, NULL);
	uint64_t offset;
	int rc;

	if (!j)
		return;
	r.term = json_integer_value(json_object_get(j, "term"));
	r.previous_term =
		json_integer_value(json_object_get(j, "previous_term"));
	r.previous_offset =
		json_integer_value(json_object_get(j, "previous_offset"));
	r.entries = json_object_get(j, "records");
	rc = group_handle_append(ep->engine.group, &r);
	offset = r.previous_offset + json_array_size(r.entries);
	if (rc)
		offset = group_last_offset(ep->engine.group);
	send_json(in->stream,
		  json_pack("{s:I, s:I, s:b, s:I}", "term",
			    (json_int_t)group_current_term(ep->engine.group),
			    "offset", (json_int_t)offset, "accepted", rc == 0,
			    "lag_us", (json_int_t)ep->opts.lag_us));
	json_decref(j);
}

static void inbound_on_data(void *data, GByteArray *in)
{
	consume_lines(in, on_request, data);
}

static void inbound_on_close(void *data)
{
	struct inbound_connection *in = data;

	g_ptr_array_remove_fast(in->replication->inbound_connections, in);
}

static void inbound_on_free(void *data)
{
	g_free(data);
}

static const struct stream_ops inbound_ops = { inbound_on_data,
					       inbound_on_close,
					       inbound_on_free };

static void on_accept(void *data, int fd)
{
	struct replication *r = data;
	struct inbound_connection *in;

	if (r->partitioned) {
		close(fd);
		return;
	}
	in = g_new0(struct inbound_connection, 1);
	in->replication = r;
	in->stream = stream_new(r->ep->net, fd, &inbound_ops, in);
	g_ptr_array_add(r->inbound_connections, in);
}

static void peer_free(gpointer data)
{
	struct peer *p = data;

	g_free(p->address);
	g_free(p);
}

void replication_set_peers(struct replication *r, uint32_t count,
			   const char *const *peers)
{
	for (guint i = 0; i < r->peers->len; i++)
		peer_disconnect(g_ptr_array_index(r->peers, i));
	g_ptr_array_set_size(r->peers, 0);
	for (uint32_t i = 0; i < count; i++) {
		struct peer *p = g_new0(struct peer, 1);

		p->replication = r;
		p->address = g_strdup(peers[i]);
		g_ptr_array_add(r->peers, p);
	}
	replication_notify(r);
}

struct replication *replication_new(struct endpoint *ep)
{
	struct replication *r = g_new0(struct replication, 1);

	r->ep = ep;
	r->peers = g_ptr_array_new_with_free_func(peer_free);
	r->inbound_connections = g_ptr_array_new();
	r->listener = listener_new(ep->net, ep->opts.replication, on_accept, r);
	if (!r->listener) {
		replication_free(r);
		return NULL;
	}
	replication_set_peers(r, ep->opts.peer_count, ep->opts.peers);
	return r;
}

void replication_free(struct replication *r)
{
	if (!r)
		return;
	g_ptr_array_free(r->peers, TRUE);
	g_ptr_array_free(r->inbound_connections, TRUE);
	g_free(r);
}

uint16_t replication_port(const struct replication *r)
{
	return listener_port(r->listener);
}

void replication_set_partitioned(struct replication *r, bool partitioned)
{
	r->partitioned = partitioned;
	if (!partitioned) {
		replication_notify(r);
		return;
	}
	for (guint i = 0; i < r->peers->len; i++)
		peer_disconnect(g_ptr_array_index(r->peers, i));
	for (guint i = 0; i < r->inbound_connections->len; i++) {
		struct inbound_connection *in =
			g_ptr_array_index(r->inbound_connections, i);

		stream_close(in->stream);
	}
	g_ptr_array_set_size(r->inbound_connections, 0);
}
