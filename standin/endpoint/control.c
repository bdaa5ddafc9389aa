#include "control.h"

#include "line.h"
#include "replication.h"
#include "session.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct control_connection {
	struct endpoint *ep;
	struct stream *stream;
};

enum { WORDS_MAX = 2 + ENDPOINT_PEERS_MAX };

/*
 * Runs a command and appends its answer to `out`. words[0] is the name of the
 * command; the array of arguments after it ends with NULL.
 */
typedef void (*command_fn)(struct endpoint *ep, const char *const *words,
			   GString *out);

static void run_freeze(struct endpoint *ep, const char *const *words,
		       GString *out)
{
	delay_queue_set_paused(ep->delay_queue, true);
	net_set_frozen(ep->net, true);
	g_string_append(out, "ok\n");
}

static void run_resume(struct endpoint *ep, const char *const *words,
		       GString *out)
{
	delay_queue_set_paused(ep->delay_queue, false);
	net_set_frozen(ep->net, false);
	g_string_append(out, "ok\n");
}

static void run_silent(struct endpoint *ep, const char *const *words,
		       GString *out)
{
	for (guint i = 0; i < ep->sessions->len; i++)
		session_stall(g_ptr_array_index(ep->sessions, i));
	g_string_append_printf(out, "ok %u\n", ep->sessions->len);
}

static void run_stray(struct endpoint *ep, const char *const *words,
		      GString *out)
{
	for (guint i = 0; i < ep->sessions->len; i++)
		session_send_unsolicited_result(
			g_ptr_array_index(ep->sessions, i));
	g_string_append_printf(out, "ok %u\n", ep->sessions->len);
}

static void run_record(struct endpoint *ep, const char *const *words,
		       GString *out)
{
	bool ends = !g_strcmp0(words[1], "end");

	for (guint i = 0; i < ep->sessions->len; i++) {
		struct session *s = g_ptr_array_index(ep->sessions, i);

		if (ends)
			session_stop_recording(s);
		else
			session_record(s);
	}
	g_string_append_printf(out, "ok %u\n", ep->sessions->len);
}

static void run_repeat(struct endpoint *ep, const char *const *words,
		       GString *out)
{
	for (guint i = 0; i < ep->sessions->len; i++)
		session_repeat_recorded(g_ptr_array_index(ep->sessions, i));
	g_string_append_printf(out, "ok %u\n", ep->sessions->len);
}

static void disconnect_clients(struct endpoint *ep)
{
	ep->reject_clients = true;
	while (ep->sessions->len > 0)
		session_close(g_ptr_array_index(ep->sessions, 0));
}

static void run_cut(struct endpoint *ep, const char *const *words, GString *out)
{
	if (!g_strcmp0(words[1], "peers")) {
		replication_set_partitioned(ep->replication, true);
	} else if (!g_strcmp0(words[1], "clients")) {
		disconnect_clients(ep);
	} else {
		g_string_append(out, "error peers or clients\n");
		return;
	}
	g_string_append(out, "ok\n");
}

static void run_heal(struct endpoint *ep, const char *const *words,
		     GString *out)
{
	if (!g_strcmp0(words[1], "peers")) {
		replication_set_partitioned(ep->replication, false);
	} else if (!g_strcmp0(words[1], "clients")) {
		ep->reject_clients = false;
	} else {
		g_string_append(out, "error peers or clients\n");
		return;
	}
	g_string_append(out, "ok\n");
}

static void run_lag(struct endpoint *ep, const char *const *words, GString *out)
{
	ep->opts.lag_us = g_ascii_strtoll(words[1] ? words[1] : "0", NULL, 10);
	ep->opts.lag_us *= 1000;
	replication_notify(ep->replication);
	g_string_append(out, "ok\n");
}

static void run_service(struct endpoint *ep, const char *const *words,
			GString *out)
{
	ep->opts.service_us =
		g_ascii_strtoll(words[1] ? words[1] : "0", NULL, 10);
	g_string_append(out, "ok\n");
}

static void run_peers(struct endpoint *ep, const char *const *words,
		      GString *out)
{
	uint32_t count = 0;

	while (words[1 + count])
		count++;
	replication_set_peers(ep->replication, count, words + 1);
	g_string_append(out, "ok\n");
}

static void run_state(struct endpoint *ep, const char *const *words,
		      GString *out)
{
	const struct group *g = ep->engine.group;
	const struct group_log_entry *last = group_last_entry(g);

	g_string_append_printf(out,
			       "ok role=%s current_term=%" PRIu64
			       " last_term=%" PRIu64 " last_offset=%" PRIu64
			       " statements=%" PRIu64 " connections=%u\n",
			       group_is_primary(g) ? "primary" : "replica",
			       group_current_term(g), last ? last->term : 0,
			       last ? last->offset : 0,
			       ep->engine.statement_count, ep->sessions->len);
}

static void run_count(struct endpoint *ep, const char *const *words,
		      GString *out)
{
	struct table *t = store_get_table(ep->engine.store,
					  words[1] ? words[1] : "", false);
	uint32_t count = 0;

	for (GList *l = t ? table_rows(t) : NULL; l; l = l->next)
		count += row_visible_values(l->data, NULL) != NULL;
	g_string_append_printf(out, "ok %u\n", count);
}

static void dump_row(const struct table *t, const GPtrArray *values,
		     GString *out)
{
	for (uint32_t i = 0; i < table_column_count(t); i++) {
		const char *v = values_get(values, (int32_t)i);

		g_string_append_printf(out, "%s%s", i ? "\t" : "",
				       v ? v : "\\N");
	}
	g_string_append_c(out, '\n');
}

static void run_dump(struct endpoint *ep, const char *const *words,
		     GString *out)
{
	struct table *t = store_get_table(ep->engine.store,
					  words[1] ? words[1] : "", false);

	g_string_append(out, "ok\n");
	for (GList *l = t ? table_rows(t) : NULL; l; l = l->next) {
		const GPtrArray *values = row_visible_values(l->data, NULL);

		if (values)
			dump_row(t, values, out);
	}
	g_string_append(out, ".\n");
}

static void run_log(struct endpoint *ep, const char *const *words, GString *out)
{
	const struct group *g = ep->engine.group;
	uint64_t last = group_last_offset(g);

	g_string_append(out, "ok\n");
	for (uint64_t i = 1; i <= last; i++) {
		const struct group_log_entry *e = group_get_entry(g, i);

		g_string_append_printf(out, "%" PRIu64 " %" PRIu64 "\n",
				       e->term, e->offset);
	}
	g_string_append(out, ".\n");
}

static void run_kill(struct endpoint *ep, const char *const *words,
		     GString *out)
{
	_exit(0);
}

static const struct control_command {
	const char *name;
	command_fn run;
} commands[] = {
	{ "freeze", run_freeze }, { "resume", run_resume },
	{ "silent", run_silent }, { "stray", run_stray },
	{ "record", run_record }, { "repeat", run_repeat },
	{ "cut", run_cut },	  { "heal", run_heal },
	{ "lag", run_lag },	  { "service", run_service },
	{ "peers", run_peers },	  { "state", run_state },
	{ "count", run_count },	  { "dump", run_dump },
	{ "log", run_log },	  { "kill", run_kill },
};

static void run_command(struct endpoint *ep, const char *const *words,
			GString *out)
{
	for (guint i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!g_strcmp0(commands[i].name, words[0])) {
			commands[i].run(ep, words, out);
			return;
		}
	}
	g_string_append(out, "error no such command\n");
}

static void on_line(void *data, const char *line)
{
	struct control_connection *c = data;
	char **words = g_strsplit(line, " ", WORDS_MAX);
	GString *out = g_string_new(NULL);

	run_command(c->ep, (const char *const *)words, out);
	stream_write(c->stream, out->str, out->len);
	stream_flush(c->stream);
	g_string_free(out, TRUE);
	g_strfreev(words);
}

static void on_data(void *data, GByteArray *in)
{
	consume_lines(in, on_line, data);
}

static void on_close(void *data)
{
}

static void on_free(void *data)
{
	g_free(data);
}

static const struct stream_ops ops = { on_data, on_close, on_free };

static void on_accept(void *data, int fd)
{
	struct control_connection *c = g_new0(struct control_connection, 1);

	c->ep = data;
	c->stream = stream_new(c->ep->control_net, fd, &ops, c);
}

struct listener *control_listen(struct endpoint *ep)
{
	return listener_new(ep->control_net, ep->opts.control, on_accept, ep);
}
