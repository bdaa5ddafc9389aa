#include "cli/instance_command.h"

#include "cli/change.h"
#include "cli/command.h"
#include "cli/output.h"
#include "cli/verb.h"

#include <stdint.h>
#include <stdio.h>

#define CONFIG_STATUS_PATH "/v1/config/status"

static int call_and_print(struct cli *x, const char *method, const char *path)
{
	struct client_response resp;
	int rc;

	client_call(x->client, method, path, NULL, &resp);
	rc = resp.exit_code;
	if (rc != EXIT_OK)
		output_failure(&resp);
	else if (x->options.json)
		output_json(stdout, resp.body);
	else
		output_flat(stdout, resp.body);
	client_response_clear(&resp);
	return rc;
}

static int run_status(struct cli *x)
{
	return call_and_print(x, "GET", "/v1/status");
}

static int run_drain(struct cli *x)
{
	return call_and_print(x, "POST", "/v1/drain");
}

static int run_metrics(struct cli *x)
{
	struct client_response resp;
	int rc;

	client_call(x->client, "GET", "/metrics", NULL, &resp);
	rc = resp.exit_code;
	if (rc != EXIT_OK)
		output_failure(&resp);
	else
		fputs(resp.text, stdout);
	client_response_clear(&resp);
	return rc;
}

static int run_config_revision(struct cli *x)
{
	return call_and_print(x, "GET", CONFIG_STATUS_PATH);
}

/* Reads the revision that the answering instance has applied. */
static int read_revision(struct cli *x, int64_t *out)
{
	json_t *status;
	int rc = change_read_entry(x, CONFIG_STATUS_PATH, &status);

	*out = json_integer_value(json_object_get(status, "revision"));
	json_decref(status);
	return rc;
}

static int run_config_wait(struct cli *x)
{
	int64_t revision = 0;
	int rc = EXIT_OK;

	if (!x->arg_count) {
		rc = read_revision(x, &revision);
	} else if (!options_parse_number(x->args[0], INT64_MAX, &revision)) {
		fprintf(stderr, "zinnialine: '%s' is not a revision number\n",
			x->args[0]);
		rc = EXIT_USAGE;
	}
	return rc == EXIT_OK ? change_wait_applied(x, revision) : rc;
}

static const struct verb status_verbs[] = {
	{ "", "", "", 0, 0, false, run_status },
	{ 0 },
};

static const struct verb metrics_verbs[] = {
	{ "", "", "", 0, 0, true, run_metrics },
	{ 0 },
};

static const struct verb drain_verbs[] = {
	{ "", "", "", 0, 0, true, run_drain },
	{ 0 },
};

static const struct verb config_verbs[] = {
	{ "revision", "", "Print the revision that each instance has applied",
	  0, 0, false, run_config_revision },
	{ "wait", "[REVISION]",
	  "Wait until a revision is in force everywhere (default: the one "
	  "that the answering instance has applied)",
	  0, 1, false, run_config_wait },
	{ 0 },
};

static const struct noun status_noun = {
	.name = "status",
	.summary = "Print the status of the first instance that answers.",
	.verbs = status_verbs,
};

static const struct noun metrics_noun = {
	.name = "metrics",
	.summary = "Print the metrics of one instance.",
	.verbs = metrics_verbs,
};

static const struct noun drain_noun = {
	.name = "drain",
	.summary = "Shut one instance down gracefully.",
	.verbs = drain_verbs,
};

static const struct noun config_noun = {
	.name = "config",
	.summary = "Show the revision of the configuration or wait for it.",
	.verbs = config_verbs,
	.options = NOUN_OPTS_WAIT,
};

int status_command(int argc, char **argv)
{
	return noun_run(&status_noun, argc, argv);
}

int metrics_command(int argc, char **argv)
{
	return noun_run(&metrics_noun, argc, argv);
}

int drain_command(int argc, char **argv)
{
	return noun_run(&drain_noun, argc, argv);
}

int config_command(int argc, char **argv)
{
	return noun_run(&config_noun, argc, argv);
}
