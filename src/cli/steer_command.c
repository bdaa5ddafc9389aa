#include "cli/steer_command.h"

#include "cli/command.h"
#include "cli/options.h"
#include "cli/steer_store.h"

#include <apr_general.h>
#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ERRBUF_BYTES = 512, WORDS_MAX = 3, MS_PER_S = 1000 };

enum { OPT_FOR = 256, OPT_BY, OPT_REVISION };

static const char SETTINGS_VARIABLE[] = "ZINNIALINE_SETTINGS";

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0,
	  "Settings file of an instance (YAML); default: $ZINNIALINE_SETTINGS",
	  0 },
	{ "for", OPT_FOR, "DURATION", 0,
	  "put: life of the request, such as 90s, 30m or 2h; at most 24h", 0 },
	{ "by", OPT_BY, "NAME", 0, "put: the operator; default: $USER", 0 },
	{ "revision", OPT_REVISION, "N", 0,
	  "put: replace the request that `list' shows with this revision", 0 },
	{ 0 },
};

struct steer_args {
	const char *settings;
	const char *words[WORDS_MAX]; /* the verb, the kind and the subject */
	int word_count;
	const char *by;
	int64_t for_s; /* 0: not given */
	int64_t revision; /* NO_REVISION: not given */
	enum steer_kind kind;
};

/* A command with the store that it works on. */
struct steer_call {
	const struct steer_args *args;
	struct steer_store *store;
};

struct steer_verb {
	const char *name;
	bool has_subject; /* takes KIND and SUBJECT */
	int (*run)(const struct steer_call *c); /* returns an exit code */
};

static int64_t read_time_ms(void)
{
	return g_get_real_time() / US_PER_MS;
}

/* Parses a number of seconds, minutes or hours; returns 0 if it is none. */
static int64_t parse_duration_s(const char *text)
{
	static const struct {
		char unit;
		int64_t seconds;
	} units[] = { { 's', 1 }, { 'm', 60 }, { 'h', 3600 } };
	size_t len = strlen(text);
	g_autofree char *number = g_strndup(text, len ? len - 1 : 0);
	int64_t n = 0;

	if (!options_parse_number(number, STEER_MAX_S, &n))
		return 0;
	for (size_t i = 0; i < G_N_ELEMENTS(units); i++) {
		if (text[len - 1] == units[i].unit)
			return n * units[i].seconds <= STEER_MAX_S ?
				       n * units[i].seconds :
				       0;
	}
	return 0;
}

/* Returns the exit code of a change, and explains a failure. */
static int explain_outcome(enum store_outcome outcome)
{
	switch (outcome) {
	case STORE_DONE:
		return EXIT_OK;
	case STORE_REFUSED:
		fprintf(stderr, "zinnialine: another operator changed the "
				"request first; nothing was changed\n");
		return EXIT_CONFLICT;
	case STORE_UNKNOWN:
		fprintf(stderr, "zinnialine: the store did not answer; the "
				"change may still come into force: see "
				"`zinnialine steer list'\n");
		return EXIT_UNKNOWN;
	default:
		fprintf(stderr, "zinnialine: the store cannot be reached; "
				"nothing was changed\n");
		return EXIT_UNREACHABLE;
	}
}

static int change(const struct steer_call *c, const struct store_change *change)
{
	int64_t revision = 0;
	int rc = explain_outcome(
		steer_store_change(c->store, change, &revision));

	if (!rc)
		printf("revision %" PRId64 "\n", revision);
	return rc;
}

/*
 * Returns true if the request may be written: none is in force for the subject,
 * or it is the one that the operator has seen.
 */
static bool check_revision(const struct steer_call *c,
			   const struct steer_entry *old)
{
	bool ended =
		old && old->readable && old->request.until_ms <= read_time_ms();

	if (c->args->revision != NO_REVISION)
		return c->args->revision == (old ? old->revision : 0);
	return !old || ended;
}

static int run_put(const struct steer_call *c)
{
	const struct steer_args *a = c->args;
	const char *subject = a->words[2];
	const struct steer_entry *old =
		steer_store_find(c->store, a->kind, subject);
	struct steer_request r = { .kind = a->kind,
				   .until_ms = read_time_ms() +
					       a->for_s * MS_PER_S };
	const struct store_change put = { .put_steer = &r,
					  .steer_revision =
						  old ? old->revision : 0 };

	g_strlcpy(r.subject, subject, sizeof(r.subject));
	g_strlcpy(r.by, a->by, sizeof(r.by));
	if (!steer_store_has_subject(c->store, a->kind, subject)) {
		fprintf(stderr,
			"zinnialine: %s: the store has no '%s'; nothing was "
			"changed\n",
			a->words[1], subject);
		return EXIT_REFUSED;
	}
	if (!check_revision(c, old)) {
		fprintf(stderr,
			"zinnialine: there is a request with revision %" PRId64
			" by %s; nothing was changed\n",
			old ? old->revision : 0,
			old && old->readable ? old->request.by : "-");
		return EXIT_CONFLICT;
	}
	return change(c, &put);
}

static int run_delete(const struct steer_call *c)
{
	const struct steer_entry *old =
		steer_store_find(c->store, c->args->kind, c->args->words[2]);
	struct store_change removal = { 0 };

	if (!old) {
		fprintf(stderr, "zinnialine: there is no such request\n");
		return EXIT_REFUSED;
	}
	removal.remove_steer = &old->request;
	removal.steer_revision = old->revision;
	return change(c, &removal);
}

static void print_entry(const struct steer_entry *e, int64_t now_ms)
{
	int64_t left_s =
		(e->request.until_ms - now_ms + MS_PER_S - 1) / MS_PER_S;
	bool is_known = e->request.kind != STEER_KINDS;
	char left[32];

	if (!e->readable)
		g_strlcpy(left, "malformed", sizeof(left));
	else if (left_s <= 0)
		g_strlcpy(left, "ended", sizeof(left));
	else
		snprintf(left, sizeof(left), "%" PRId64 " s", left_s);
	printf("%-15s %-24s %-10s %-12s %" PRId64 "\n",
	       is_known ? steer_kind_name(e->request.kind) : "unknown",
	       e->request.subject, left, e->request.by[0] ? e->request.by : "-",
	       e->revision);
}

static int run_list(const struct steer_call *c)
{
	const GPtrArray *entries = steer_store_entries(c->store);
	int64_t now_ms = read_time_ms();

	printf("%-15s %-24s %-10s %-12s %s\n", "kind", "subject", "left", "by",
	       "revision");
	for (guint i = 0; i < entries->len; i++)
		print_entry(g_ptr_array_index(entries, i), now_ms);
	return EXIT_OK;
}

static const struct steer_verb verbs[] = {
	{ "put", true, run_put },
	{ "list", false, run_list },
	{ "delete", true, run_delete },
};

static const struct steer_verb *find_verb(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (!strcmp(verbs[i].name, name))
			return &verbs[i];
	}
	return NULL;
}

static void check_subject(struct steer_args *a, struct argp_state *state)
{
	if (!steer_kind_from_name(a->words[1], &a->kind))
		argp_error(state, "unknown kind '%s'", a->words[1]);
	if (!a->words[2][0] || strlen(a->words[2]) >= NAME_BYTES)
		argp_error(state, "'%s' is not a valid name", a->words[2]);
}

static void check_arguments(struct steer_args *a, struct argp_state *state)
{
	const struct steer_verb *v =
		a->word_count ? find_verb(a->words[0]) : NULL;

	if (!v) {
		argp_error(state, "a verb is required: put, list or delete");
		return;
	}
	if (a->word_count != (v->has_subject ? WORDS_MAX : 1))
		argp_error(state, "usage: steer %s%s", v->name,
			   v->has_subject ? " KIND SUBJECT" : "");
	else if (v->has_subject)
		check_subject(a, state);
	if (!a->settings)
		argp_error(state, "--settings is required");
	if (v->run != run_put)
		return;
	if (!a->for_s)
		argp_error(state, "--for must be a duration up to 24h");
	/* Instances take no names with blanks. */
	if (!a->by || !a->by[0] || strlen(a->by) >= NAME_BYTES ||
	    strpbrk(a->by, " \t\r\n"))
		argp_error(state, "--by must be the operator's name, a word");
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct steer_args *a = state->input;

	switch (key) {
	case 's':
		a->settings = arg;
		return 0;
	case OPT_FOR:
		a->for_s = parse_duration_s(arg);
		return 0;
	case OPT_BY:
		a->by = arg;
		return 0;
	case OPT_REVISION:
		if (!options_parse_number(arg, INT64_MAX, &a->revision))
			argp_error(state, "--revision must be a number");
		return 0;
	case ARGP_KEY_ARG:
		if (a->word_count == WORDS_MAX)
			argp_error(state, "too many arguments");
		else
			a->words[a->word_count++] = arg;
		return 0;
	case ARGP_KEY_END:
		check_arguments(a, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.args_doc = "put KIND SUBJECT\nlist\ndelete KIND SUBJECT",
	.doc = "Steer load of instances that serve sessions."
	       "\v"
	       "KIND is avoid-endpoint, avoid-instance, avoid-zone, "
	       "move-primary (SUBJECT: the endpoint that it leaves) or "
	       "pause-writes (SUBJECT: a workspace).",
};

static int run_with_store(const struct steer_args *a,
			  const struct proxy_settings *s, apr_pool_t *pool)
{
	struct steer_call c = { .args = a };
	int rc = steer_store_open(&c.store, s, pool);

	if (rc) {
		fprintf(stderr, "zinnialine: %s\n", g_strerror(-rc));
		return EXIT_FAILED;
	}
	if (steer_store_load(c.store) == STORE_DONE) {
		rc = find_verb(a->words[0])->run(&c);
	} else {
		fprintf(stderr,
			"zinnialine: the store at %s cannot be read; nothing "
			"was changed\n",
			s->platform.store);
		rc = EXIT_UNREACHABLE;
	}
	steer_store_free(c.store);
	return rc;
}

int steer_command(int argc, char **argv)
{
	static char name[] = "zinnialine steer";
	struct steer_args a = { .settings = getenv(SETTINGS_VARIABLE),
				.by = getenv("USER"),
				.revision = NO_REVISION };
	struct proxy_settings *s = NULL;
	char errbuf[ERRBUF_BYTES] = "";
	apr_pool_t *pool = NULL;
	int rc;

	argv[0] = name;
	if (argp_parse(&argp, argc, argv, 0, NULL, &a))
		return EXIT_USAGE;
	if (apr_initialize() != APR_SUCCESS)
		return EXIT_FAILED;
	if (proxy_settings_load(a.settings, &s, errbuf, sizeof(errbuf))) {
		fprintf(stderr, "zinnialine: cannot load settings: %s\n",
			errbuf);
		apr_terminate();
		return EXIT_SETTINGS;
	}
	apr_pool_create(&pool, NULL);
	rc = run_with_store(&a, s, pool);
	apr_pool_destroy(pool);
	proxy_settings_free(s);
	apr_terminate();
	return rc;
}
