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
	/* An instance does not accept changes right after its start. */
	ACCEPT_RETRY_INTERVAL_US = 500000,
	ACCEPT_ATTEMPTS_MAX = 20,
};

#define CONFIG_STATUS_PATH "/v1/config/status"

/* How many of all instances have applied a revision. */
struct progress {
	size_t confirmed;
	size_t total;
};

int change_read_entry(struct cli *x, const char *path, json_t **out)
{
	struct client_response resp;
	int rc;

	*out = NULL;
	client_call(x->client, "GET", path, NULL, &resp);
	rc = resp.error == ERR_NOT_FOUND ? EXIT_OK : resp.exit_code;
	if (resp.exit_code == EXIT_OK)
		*out = json_incref(resp.body);
	else if (rc != EXIT_OK)
		output_failure(&resp);
	client_response_clear(&resp);
	return rc;
}

int64_t change_expected_revision(const struct cli *x, const json_t *entry)
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

/* Returns false if no instance reported its configuration status. */
static bool read_progress(struct cli *x, int64_t revision, struct progress *out)
{
	struct client_response resp;
	bool ok;

	client_call(x->client, "GET", CONFIG_STATUS_PATH, NULL, &resp);
	ok = resp.exit_code == EXIT_OK;
	if (ok)
		*out = count_progress(resp.body, revision);
	client_response_clear(&resp);
	return ok;
}

static void print_progress(const struct progress *p, int64_t revision)
{
	fprintf(stderr,
		"revision %" PRId64 ": confirmed by %zu of %zu instances\n",
		revision, p->confirmed, p->total);
}

int change_wait_applied(struct cli *x, int64_t revision)
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
		" is stored, but not known to be in force on all instances\n",
		revision);
	return EXIT_NOT_IN_FORCE;
}

static void print_conflicting_entry(const struct cli *x, const json_t *stored)
{
	if (!json_object_get(stored, "fields"))
		return;
	fprintf(stderr, "stored now: ");
	output_entry(stderr, stored);
	if (x->options.json)
		output_json(stdout, stored);
}

static void print_stored_entry(const struct cli *x, const json_t *entry)
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

/*
 * Repeats the request while the instance does not accept changes yet, up to
 * ACCEPT_ATTEMPTS_MAX times.
 */
static void call_until_accepted(struct cli *x, const char *method,
				const char *path, const json_t *body,
				struct client_response *resp)
{
	for (int i = 1;; i++) {
		client_call(x->client, method, path, body, resp);
		if (resp->error != ERR_NOT_YET || i == ACCEPT_ATTEMPTS_MAX)
			return;
		if (i == 1)
			fprintf(stderr, "instance does not accept changes "
					"yet, retrying\n");
		client_response_clear(resp);
		usleep(ACCEPT_RETRY_INTERVAL_US);
	}
}

/*
 * Sends a change, prints its result and waits until it is in force, unless
 * --no-wait is given. Consumes `body`. Returns an exit code.
 */
static int send_change(struct cli *x, const char *method, const char *path,
		       json_t *body)
{
	struct client_response resp;
	int64_t revision;
	int rc;

	call_until_accepted(x, method, path, body, &resp);
	json_decref(body);
	rc = resp.exit_code;
	revision = json_integer_value(json_object_get(resp.body, "revision"));
	if (rc == EXIT_OK)
		print_stored_entry(x, resp.body);
	else
		output_failure(&resp);
	if (rc == EXIT_CONFLICT)
		print_conflicting_entry(x, resp.body);
	if (rc == EXIT_UNKNOWN)
		fprintf(stderr, "zinnialine: the change may have taken "
				"effect; show the entry to find out\n");
	client_response_clear(&resp);
	if (rc == EXIT_OK && !x->options.no_wait)
		return change_wait_applied(x, revision);
	return rc;
}

int change_put(struct cli *x, const char *path, int64_t revision,
	       json_t *fields)
{
	return send_change(x, "PUT", path,
			   json_pack("{s:I, s:o}", "revision",
				     (json_int_t)revision, "fields", fields));
}

int change_delete(struct cli *x, const char *path, int64_t revision)
{
	return send_change(x, "DELETE", path,
			   json_pack("{s:I}", "revision",
				     (json_int_t)revision));
}
