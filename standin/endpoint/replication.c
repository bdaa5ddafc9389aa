#include "replication.h"

#include "line.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

enum {
	BATCH_RECORDS_MAX = 512,
	RECONNECT_US = 20000,
	HEARTBEAT_US = 50000,
};

/* A peer as this member sees it while it is primary. */
struct peer {
	struct replication *replication;
	char *address;
	struct stream *stream; /* NULL: not connected */
	bool in_flight; /* a request waits for its answer */
	bool greeted; /* it has answered, so that its lag is known */
	uint64_t next_offset; /* of the next entry to send */
	int64_t lag_us; /* that the peer asks for */
	int64_t sent_us;
};

/* A connection of a peer to this member. */
struct inbound {
	struct replication *replication;
	struct stream *stream;
};

struct replication {
	struct endpoint *ep;
	struct listener *listener;
	GPtrArray *peers; /* of struct peer */
	GPtrArray *inbounds; /* of struct inbound, open ones */
	bool cut;
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

/* Primary. */

static void peer_tick(void *data);

static void schedule(struct peer *p, int64_t at_us)
{
	struct delays *d = p->replication->ep->delays;

	delays_drop(d, p);
	delays_add(d, at_us, peer_tick, p);
}

static int64_t peer_lag_us(const struct peer *p)
{
	return MAX(p->lag_us, p->replication->ep->opts.lag_us);
}

/* Adds the entries that are old enough for the peer's lag. */
static json_t *due_records(const struct peer *p, int64_t now_us)
{
	const struct group *g = p->replication->ep->engine.group;
	json_t *records = json_array();
	uint64_t offset = p->next_offset;

	while (p->greeted && json_array_size(records) < BATCH_RECORDS_MAX) {
		const struct log_record *r = group_record(g, offset++);
		json_t *j;

		if (!r || r->committed_us + peer_lag_us(p) > now_us)
			break;
		j = json_pack("{s:I, s:I}", "term", (json_int_t)r->term,
			      "offset", (json_int_t)r->offset);
		if (r->changes)
			json_object_set(j, "changes", r->changes);
		json_array_append_new(records, j);
	}
	return records;
}

static void send_append(struct peer *p, json_t *records, int64_t now_us)
{
	const struct group *g = p->replication->ep->engine.group;
	const struct log_record *previous;

	previous = group_record(g, p->next_offset - 1);
	send_json(p->stream,
		  json_pack("{s:I, s:I, s:I, s:o}", "term",
			    (json_int_t)group_current_term(g), "previous_term",
			    (json_int_t)(previous ? previous->term : 0),
			    "previous_offset", (json_int_t)p->next_offset - 1,
			    "records", records));
	p->in_flight = true;
	p->sent_us = now_us;
}

/* When the first entry that was not sent is due, or the heartbeat. */
static int64_t next_due_us(const struct peer *p)
{
	const struct group *g = p->replication->ep->engine.group;
	const struct log_record *r = group_record(g, p->next_offset);
	int64_t due_us = p->sent_us + HEARTBEAT_US;

	return r ? MIN(due_us, r->committed_us + peer_lag_us(p)) : due_us;
}

static void peer_send(struct peer *p)
{
	int64_t now_us = loop_now_us();
	json_t *records;

	if (p->in_flight)
		return;
	records = due_records(p, now_us);
	if (json_array_size(records) == 0 &&
	    now_us < p->sent_us + HEARTBEAT_US) {
		json_decref(records);
		schedule(p, next_due_us(p));
		return;
	}
	send_append(p, records, now_us);
}

static void handle_answer(struct peer *p, const json_t *j)
{
	struct group *g = p->replication->ep->engine.group;
	uint64_t term = json_integer_value(json_object_get(j, "term"));
	uint64_t offset = json_integer_value(json_object_get(j, "offset"));

	p->in_flight = false;
	p->greeted = true;
	p->lag_us = json_integer_value(json_object_get(j, "lag_us"));
	if (term > group_current_term(g)) {
		group_raise_term(g, term);
		return;
	}
	if (json_is_true(json_object_get(j, "accepted")))
		p->next_offset = offset + 1;
	else if (p->next_offset > 1)
		p->next_offset = MIN(p->next_offset - 1, offset + 1);
	peer_send(p);
}

static void on_answer(void *data, const char *line)
{
	struct peer *p = data;
	json_t *j = json_loads(line, 0, NULL);

	if (j && group_is_primary(p->replication->ep->engine.group))
		handle_answer(p, j);
	json_decref(j);
}

static void peer_on_data(void *data, GByteArray *in)
{
	line_each(in, on_answer, data);
}

static void peer_on_close(void *data)
{
	struct peer *p = data;

	p->stream = NULL;
	p->in_flight = false;
	if (group_is_primary(p->replication->ep->engine.group))
		schedule(p, loop_now_us() + RECONNECT_US);
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
	delays_drop(p->replication->ep->delays, p);
}

static void peer_connect(struct peer *p)
{
	struct endpoint *ep = p->replication->ep;

	p->next_offset = group_last_offset(ep->engine.group) + 1;
	p->greeted = false;
	p->sent_us = -HEARTBEAT_US;
	p->stream = stream_connect(ep->net, p->address, &peer_ops, p);
	if (p->stream)
		peer_send(p);
	else
		schedule(p, loop_now_us() + RECONNECT_US);
}

static void peer_tick(void *data)
{
	struct peer *p = data;

	if (!group_is_primary(p->replication->ep->engine.group)) {
		peer_disconnect(p);
		return;
	}
	if (p->replication->cut)
		return;
	if (p->stream)
		peer_send(p);
	else
		peer_connect(p);
}

void replication_wake(struct replication *r)
{
	if (!r)
		return;
	for (guint i = 0; i < r->peers->len; i++)
		schedule(g_ptr_array_index(r->peers, i), loop_now_us());
}

/* Replica. */

static void on_request(void *data, const char *line)
{
	struct inbound *in = data;
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
	r.records = json_object_get(j, "records");
	rc = group_accept(ep->engine.group, &r);
	offset = r.previous_offset + json_array_size(r.records);
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
	line_each(in, on_request, data);
}

static void inbound_on_close(void *data)
{
	struct inbound *in = data;

	g_ptr_array_remove_fast(in->replication->inbounds, in);
}

static void inbound_on_free(void *data)
{
	g_free(data);
}

static const struct stream_ops inbound_ops = { inbound_on_data,
					       inbound_on_close,
					       inbound_on_free };

static void on_peer(void *data, int fd)
{
	struct replication *r = data;
	struct inbound *in;

	if (r->cut) {
		close(fd);
		return;
	}
	in = g_new0(struct inbound, 1);
	in->replication = r;
	in->stream = stream_new(r->ep->net, fd, &inbound_ops, in);
	g_ptr_array_add(r->inbounds, in);
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
	replication_wake(r);
}

struct replication *replication_new(struct endpoint *ep)
{
	struct replication *r = g_new0(struct replication, 1);

	r->ep = ep;
	r->peers = g_ptr_array_new_with_free_func(peer_free);
	r->inbounds = g_ptr_array_new();
	r->listener = listener_new(ep->net, ep->opts.replication, on_peer, r);
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
	g_ptr_array_free(r->inbounds, TRUE);
	g_free(r);
}

uint16_t replication_port(const struct replication *r)
{
	return listener_port(r->listener);
}

void replication_cut(struct replication *r, bool cut)
{
	r->cut = cut;
	if (!cut) {
		replication_wake(r);
		return;
	}
	for (guint i = 0; i < r->peers->len; i++)
		peer_disconnect(g_ptr_array_index(r->peers, i));
	for (guint i = 0; i < r->inbounds->len; i++) {
		struct inbound *in = g_ptr_array_index(r->inbounds, i);

		stream_close(in->stream);
	}
	g_ptr_array_set_size(r->inbounds, 0);
}
