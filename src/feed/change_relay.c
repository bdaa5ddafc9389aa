#include "feed/change_relay.h"

#include "feed/change_log.h"

#include <glib.h>
#include <string.h>

enum {
	/* A restart of a fleet of a few hundred instances. */
	CHANGES_MAX = 1024,
	BYTES_MAX = 512 * 1024,
	/*
	 * Changes sent to an instance between two of its reports. More would
	 * fill a slow link; who lags reads the store itself.
	 */
	BUDGET = 8,
};

/* An instance that reports to this one. */
struct follower {
	int64_t position; /* reported, or sent since then */
	int64_t heard_us;
	uint32_t budget; /* changes that may be sent before its next report */
};

struct change_relay {
	struct change_relay_opts opts;
	struct change_log *log;
	GHashTable *followers; /* instance name to struct follower */
	int64_t sent_position; /* of the last change_relay_run() */
};

struct change_relay *change_relay_new(const struct change_relay_opts *opts)
{
	static const struct change_log_opts log = { .changes_max = CHANGES_MAX,
						    .bytes_max = BYTES_MAX };
	struct change_relay *r = g_new0(struct change_relay, 1);

	r->opts = *opts;
	r->log = change_log_new(&log);
	r->followers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

void change_relay_free(struct change_relay *r)
{
	g_hash_table_destroy(r->followers);
	change_log_free(r->log);
	g_free(r);
}

void change_relay_reset(struct change_relay *r, int64_t position)
{
	change_log_reset(r->log, position);
}

void change_relay_append(struct change_relay *r, int64_t position,
			 const char *text)
{
	change_log_append(r->log, position, text);
}

static void send_missing(struct change_relay *r, const char *instance,
			 struct follower *f)
{
	struct change_log_entry missing[BUDGET];
	uint32_t count = change_log_collect(r->log, f->position, missing,
					    MIN(f->budget, BUDGET));

	for (uint32_t i = 0; i < count && missing[i].text; i++) {
		struct peer_change c = { .after = f->position,
					 .position = missing[i].position };

		g_strlcpy(c.text, missing[i].text, sizeof(c.text));
		r->opts.send(r->opts.data, instance, &c);
		f->position = c.position;
		f->budget--;
	}
}

void change_relay_handle_report(struct change_relay *r, const char *instance,
				int64_t position, int64_t now_us)
{
	struct follower *f = g_hash_table_lookup(r->followers, instance);

	if (!f) {
		f = g_new0(struct follower, 1);
		g_hash_table_insert(r->followers, g_strdup(instance), f);
	}
	f->position = position;
	f->heard_us = now_us;
	f->budget = BUDGET;
	send_missing(r, instance, f);
}

void change_relay_run(struct change_relay *r, int64_t now_us)
{
	GHashTableIter it;
	gpointer name;
	gpointer value;

	if (change_log_position(r->log) == r->sent_position)
		return;
	r->sent_position = change_log_position(r->log);
	g_hash_table_iter_init(&it, r->followers);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		struct follower *f = value;

		if (now_us - f->heard_us >= CHANGE_RELAY_SILENCE_US)
			g_hash_table_iter_remove(&it);
		else
			send_missing(r, name, f);
	}
}

void change_relay_stop(struct change_relay *r)
{
	g_hash_table_remove_all(r->followers);
}
