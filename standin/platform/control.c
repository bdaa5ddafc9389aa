#include "platform/control.h"

#include "platform/net_address.h"

#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	CLIENTS_MAX = CONTROL_FDS_MAX - 1,
	LINE_BYTES_MAX = 64 << 10,
	READ_BYTES = 4096,
	WORDS_MAX = 3,
	BACKLOG = 16,
};

struct client {
	int fd;
	GString *in;
};

struct control {
	struct control_opts opts;
	int fd;
	uint32_t client_count;
	struct client clients[CLIENTS_MAX];
	bool kill_requested;
	int64_t now_us;
};

/*
 * Executes a command and appends its value, if any, to `answer`. words[0] is
 * the command's name, the others are its arguments. Returns false on an error.
 */
typedef bool (*command_fn)(struct control *c, char **words, GString *answer);

static bool run_outage(struct control *c, char **words, GString *answer)
{
	if (!strcmp(words[1], "on"))
		c->opts.faults->outage = OUTAGE_SILENT;
	else if (!strcmp(words[1], "refuse"))
		c->opts.faults->outage = OUTAGE_REFUSE;
	else if (!strcmp(words[1], "off"))
		c->opts.faults->outage = OUTAGE_OFF;
	else
		return false;
	return true;
}

static bool run_link(struct control *c, char **words, GString *answer)
{
	c->opts.faults->link_bytes_per_s = atoll(words[1]);
	return true;
}

static bool run_slow(struct control *c, char **words, GString *answer)
{
	c->opts.faults->delay_us = atoll(words[1]) * 1000;
	return true;
}

static bool run_lose(struct control *c, char **words, GString *answer)
{
	c->opts.faults->write_responses_to_drop =
		(uint32_t)strtoul(words[1], NULL, 10);
	return true;
}

static bool run_freeze(struct control *c, char **words, GString *answer)
{
	c->opts.faults->frozen = true;
	return true;
}

static bool run_resume(struct control *c, char **words, GString *answer)
{
	c->opts.faults->frozen = false;
	return true;
}

static bool run_silent(struct control *c, char **words, GString *answer)
{
	gateway_stall_watches(c->opts.gateway);
	return true;
}

static bool run_instance(struct control *c, char **words, GString *answer)
{
	return instance_list_set_state(c->opts.instances, words[1], words[2],
				       c->now_us);
}

static bool run_lag(struct control *c, char **words, GString *answer)
{
	instance_list_set_lag(c->opts.instances, atoll(words[1]) * 1000);
	return true;
}

static bool run_get(struct control *c, char **words, GString *answer)
{
	const struct kv_entry *e = kv_get(c->opts.store, words[1]);

	g_string_append(answer, e ? e->value : "none");
	return true;
}

static bool run_put(struct control *c, char **words, GString *answer)
{
	struct kv_store *s = c->opts.store;

	kv_put(s, s->revision + 1, words[1], words[2], 0);
	return true;
}

static bool run_delete(struct control *c, char **words, GString *answer)
{
	struct kv_store *s = c->opts.store;

	kv_delete_range(s, s->revision + 1, words[1], "");
	return true;
}

static bool run_compact(struct control *c, char **words, GString *answer)
{
	kv_compact(c->opts.store);
	return true;
}

static bool run_count(struct control *c, char **words, GString *answer)
{
	const uint64_t *n = c->opts.faults->call_counts;

	g_string_append_printf(answer,
			       "reads=%" G_GUINT64_FORMAT
			       " writes=%" G_GUINT64_FORMAT
			       " watches=%" G_GUINT64_FORMAT
			       " keepalives=%" G_GUINT64_FORMAT,
			       n[KV_CALL_READ], n[KV_CALL_WRITE],
			       n[KV_CALL_WATCH], n[KV_CALL_KEEPALIVE]);
	return true;
}

static bool run_revision(struct control *c, char **words, GString *answer)
{
	g_string_append_printf(answer, "%" G_GINT64_FORMAT,
			       c->opts.store->revision);
	return true;
}

static bool run_leases(struct control *c, char **words, GString *answer)
{
	GList *all = g_hash_table_get_values(c->opts.store->leases);

	for (GList *i = all; i; i = i->next) {
		const struct kv_lease *l = i->data;

		g_string_append_printf(answer, "%s%" G_GINT64_FORMAT,
				       answer->len ? " " : "", l->id);
	}
	g_list_free(all);
	return true;
}

static bool run_expire_lease(struct control *c, char **words, GString *answer)
{
	return kv_lease_revoke(c->opts.store, atoll(words[1]));
}

static bool run_kill(struct control *c, char **words, GString *answer)
{
	c->kill_requested = true;
	return true;
}

struct command {
	const char *name;
	uint32_t arguments;
	command_fn fn;
};

static const struct command commands[] = {
	{ "outage", 1, run_outage },
	{ "slow", 1, run_slow },
	{ "link", 1, run_link },
	{ "lose", 1, run_lose },
	{ "freeze", 0, run_freeze },
	{ "resume", 0, run_resume },
	{ "silent", 0, run_silent },
	{ "instance", 2, run_instance },
	{ "lag", 1, run_lag },
	{ "get", 1, run_get },
	{ "put", 2, run_put },
	{ "delete", 1, run_delete },
	{ "compact", 0, run_compact },
	{ "count", 0, run_count },
	{ "revision", 0, run_revision },
	{ "leases", 0, run_leases },
	{ "expire-lease", 1, run_expire_lease },
	{ "kill", 0, run_kill },
};

static bool run_command(struct control *c, char **words, GString *answer)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct command *d = &commands[i];

		if (strcmp(words[0], d->name) != 0)
			continue;
		if (g_strv_length(words) != d->arguments + 1)
			return false;
		return d->fn(c, words, answer);
	}
	return false;
}

static void run_line(struct control *c, int fd, const char *line)
{
	char **words = g_strsplit(line, " ", WORDS_MAX);
	GString *answer = g_string_new(NULL);
	const char *status = "error";
	char *text;

	if (words[0] && run_command(c, words, answer))
		status = "ok";
	text = g_strdup_printf("%s%s%s\n", status, answer->len ? " " : "",
			       answer->str);
	if (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		shutdown(fd, SHUT_RDWR);
	g_free(text);
	g_string_free(answer, TRUE);
	g_strfreev(words);
}

static void run_lines(struct control *c, struct client *cl)
{
	char *end;

	while ((end = memchr(cl->in->str, '\n', cl->in->len))) {
		char *line = g_strndup(cl->in->str, end - cl->in->str);

		g_string_erase(cl->in, 0, end - cl->in->str + 1);
		run_line(c, cl->fd, g_strchomp(line));
		g_free(line);
	}
}

static void remove_client(struct control *c, uint32_t i)
{
	close(c->clients[i].fd);
	g_string_free(c->clients[i].in, TRUE);
	c->clients[i] = c->clients[--c->client_count];
}

static void read_client(struct control *c, uint32_t i)
{
	struct client *cl = &c->clients[i];
	char buf[READ_BYTES];
	ssize_t n = recv(cl->fd, buf, sizeof(buf), 0);

	if (n <= 0 || cl->in->len > LINE_BYTES_MAX) {
		remove_client(c, i);
		return;
	}
	g_string_append_len(cl->in, buf, n);
	run_lines(c, cl);
}

static void accept_client(struct control *c)
{
	int fd = accept4(c->fd, NULL, NULL, SOCK_CLOEXEC);

	if (fd < 0)
		return;
	if (c->client_count == CLIENTS_MAX) {
		close(fd);
		return;
	}
	c->clients[c->client_count].fd = fd;
	c->clients[c->client_count].in = g_string_new(NULL);
	c->client_count++;
}

struct control *control_new(const struct control_opts *opts)
{
	struct control *c = g_new0(struct control, 1);
	struct sockaddr_in addr;
	int on = 1;

	c->opts = *opts;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		goto fail;
	setsockopt(c->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (net_address_parse(opts->address, &addr) &&
	    !bind(c->fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	    !listen(c->fd, BACKLOG))
		return c;
	close(c->fd);
fail:
	g_free(c);
	return NULL;
}

void control_free(struct control *c)
{
	while (c->client_count)
		remove_client(c, c->client_count - 1);
	close(c->fd);
	g_free(c);
}

uint16_t control_port(const struct control *c)
{
	struct sockaddr_in addr = { 0 };
	socklen_t size = sizeof(addr);

	getsockname(c->fd, (struct sockaddr *)&addr, &size);
	return ntohs(addr.sin_port);
}

nfds_t control_fds(const struct control *c, struct pollfd *out)
{
	out[0] = (struct pollfd){ .fd = c->fd, .events = POLLIN };
	for (uint32_t i = 0; i < c->client_count; i++)
		out[i + 1] = (struct pollfd){
			.fd = c->clients[i].fd,
			.events = POLLIN,
		};
	return c->client_count + 1;
}

void control_handle_events(struct control *c, const struct pollfd *fds,
			   nfds_t count, int64_t now_us)
{
	c->now_us = now_us;
	/*
	 * Backwards, as remove_client() moves the last client to the place of
	 * the removed one.
	 */
	for (nfds_t i = count; i-- > 1;) {
		if (fds[i].revents)
			read_client(c, (uint32_t)(i - 1));
	}
	if (fds[0].revents)
		accept_client(c);
}

bool control_is_kill_requested(const struct control *c)
{
	return c->kill_requested;
}
