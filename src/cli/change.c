#include "cli/change.h"

#include "base/loop.h"
#include "cli/command.h"
#include "cli/output.h"
#include "core/error.h"
#include "core/sizes.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

enum {
	POLL_INTERVAL_US = 100000,
	/* An instance that was just started accepts changes only later. */
	ACCEPT_INTERVAL_US = 500000,
	ACCEPT_TRIES = 20,
};

#define CONFIG_STATUS_PATH "/v1/config/status"

/* How many instances have applied a revision. */
struct progress {
	size_t confirmed;
	size_t total;
};

int change_read(struct cli *x, const char *path, json_t **out)
{
	struct client_answer a;
	int rc;

	*out = NULL;
	client_call(x->client, "GET", path, NULL, &a);
	rc = a.error == ERR_NOT_FOUND ? EXIT_OK : a.exit_code;
	if (a.exit_code == EXIT_OK)
		*out = json_incref(a.body);
	else if (rc != EXIT_OK)
		output_failure(&a);
	client_answer_clear(&a);
	return rc;
}

int64_t change_revision(const struct cli *x, const json_t *entry)
{
	if (x->options.revision != NO_REVISION)
		return x->options.revision;
	return json_integer_value(json_object_get(entry, "revision"));
}

static struct progress count_progress(const json_t *status, int64_t revision)
{
	const json_t *instances = json_object_get(status, "instances");
	struct progress p = { .total = json_array_size(instances) };

	for (size_t i = 0; i < p.total; i++) {
		const json_t *row = json_array_get(instances, i);
		const json_t *applied = json_object_get(row, "revision");

		if (json_integer_value(applied) >= revision)
			p.confirmed++;
	}
	return p;
}

/* Returns false when no instance answered. */
static bool read_progress(struct cli *x, int64_t revision, struct progress *out)
{
	struct client_answer a;
	bool ok;

	client_call(x->client, "GET", CONFIG_STATUS_PATH, NULL, &a);
	ok = a.exit_code == EXIT_OK;
	if (ok)
		*out = count_progress(a.body, revision);
	client_answer_clear(&a);
	return ok;
}

static void print_progress(const struct progress *p, int64_t revision)
{
	fprintf(stderr,
		"revision %" PRId64 ": confirmed by %zu of %zu instances\n",
		revision, p->confirmed, p->total);
}

int change_wait(struct cli *x, int64_t revision)
{
	int64_t end_us = loop_now_us() + x->options.wait_ms * US_PER_MS;
	struct progress last = { 0 };
	struct progress now = { 0 };

	for (;;) {
		if (read_progress(x, revision, &now) &&
		    memcmp(&now, &last, sizeof(now)) != 0)
			print_progress(&now, revision);
		last = now;
		if (now.total && now.confirmed == now.total)
			return EXIT_OK;
		if (loop_now_us() + POLL_INTERVAL_US > end_us)
			break;
		usleep(POLL_INTERVAL_US);
	}
	fprintf(stderr,
		"zinnialine: revision %" PRId64
		" is stored, but not known to be in force everywhere\n",
		revision);
	return EXIT_NOT_IN_FORCE;
}

static void print_conflict(const struct cli *x, const json_t *stored)
{
	if (!json_object_get(stored, "fields"))
		return;
	fprintf(stderr, "stored now: ");
	output_entry(stderr, stored);
	if (x->options.json)
		output_json(stdout, stored);
}

static void print_stored(const struct cli *x, const json_t *entry)
{
	if (x->options.json)
		output_json(stdout, entry);
	else if (json_object_get(entry, "fields"))
		output_entry(stdout, entry);
	else
		printf("revision=%lld\n",
		       json_integer_value(json_object_get(entry, "revision")));
	fflush(stdout);
}

/* Calls until the instance accepts changes. */
static void call_when_accepted(struct cli *x, const char *method,
			       const char *path, const json_t *body,
			       struct client_answer *a)
{
	for (int i = 1;; i++) {
		client_call(x->client, method, path, body, a);
		if (a->error != ERR_NOT_YET || i == ACCEPT_TRIES)
			return;
		if (i == 1)
			fprintf(stderr, "waiting until the instance accepts "
					"changes\n");
		client_answer_clear(a);
		usleep(ACCEPT_INTERVAL_US);
	}
}

/* Consumes `body`. */
static int change(struct cli *x, const char *method, const char *path,
		  json_t *body)
{
	struct client_answer a;
	int64_t revision;
	int rc;

	call_when_accepted(x, method, path, body, &a);
	json_decref(body);
	rc = a.exit_code;
	revision = json_integer_value(json_object_get(a.body, "revision"));
	if (rc == EXIT_OK)
		print_stored(x, a.body);
	else
		output_failure(&a);
	if (rc == EXIT_CONFLICT)
		print_conflict(x, a.body);
	if (rc == EXIT_UNKNOWN)
		fprintf(stderr, "zinnialine: the change may have taken "
				"effect; read the entry to know\n");
	client_answer_clear(&a);
	if (rc == EXIT_OK && !x->options.no_wait)
		return change_wait(x, revision);
	return rc;
}

int change_put(struct cli *x, const char *path, int64_t revision,
	       json_t *fields)
{
	return change(x, "PUT", path,
		      json_pack("{s:I, s:o}", "revision", (json_int_t)revision,
				"fields", fields));
}

int change_delete(struct cli *x, const char *path, int64_t revision)
{
	return change(x, "DELETE", path,
		      json_pack("{s:I}", "revision", (json_int_t)revision));
}
