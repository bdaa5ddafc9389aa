#include "base/metrics.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

enum metric_type { COUNTER, GAUGE, HISTOGRAM };

struct metric_info {
	const char *name; /* without NAME_PREFIX */
	enum metric_type type;
	const char *label; /* name of the one label, or NULL */
	const char *help;
};

#define NAME_PREFIX "zinnialine_"
#define US_PER_SECOND 1e6

static const char *const type_names[] = { [COUNTER] = "counter",
					  [GAUGE] = "gauge",
					  [HISTOGRAM] = "histogram" };

static const struct metric_info registry[] = {
	{ "requests_total", COUNTER, "verdict", "Answered requests." },
	{ "refusals_total", COUNTER, "error",
	  "Requests that were answered with an error." },
	{ "quota_asks_total", COUNTER, "answer",
	  "Operations that the home of their limit was asked for." },
	{ "reads_total", COUNTER, "role",
	  "Reads by the role of the endpoint that served them." },
	{ "pending_requests", GAUGE, NULL,
	  "Requests that wait for an endpoint or run on one." },
	{ "open_transactions", GAUGE, NULL, "Open transactions." },
	{ "promotions_total", COUNTER, "result",
	  "Promotions that this instance started, by result." },
	{ "platform_calls_total", COUNTER, NULL,
	  "Calls made to the key-value service." },
	{ "platform_up", GAUGE, NULL,
	  "1 while the key-value service answers." },
	{ "peer_bytes_sent_total", COUNTER, NULL, "Bytes sent to all peers." },
	{ "peer_bytes_received_total", COUNTER, NULL,
	  "Bytes received from all peers." },
	{ "peers_up", GAUGE, NULL, "Peers that answer." },
	{ "config_revision", GAUGE, NULL,
	  "Highest configuration revision applied." },
	{ "config_records", GAUGE, "kind", "Configuration records held." },
	{ "share_ppm", GAUGE, "instance",
	  "Part of the workspaces' limits that this instance holds." },
	{ "loans_total", COUNTER, "direction",
	  "Parts of shares lent and borrowed." },
	{ "statements_total", COUNTER, "result",
	  "Callers' statements by the answer they got." },
	{ "statements_refused_total", COUNTER, "cause",
	  "Statements that found no room, by class and what they lost to." },
	{ "endpoint_repeated_answers_total", COUNTER, "endpoint",
	  "Copies of earlier answers that endpoints sent, dropped" },
	{ "endpoint_refusals_total", COUNTER, "reason",
	  "Statements and connections that endpoints refused unrun." },
	{ "hedged_statements_total", COUNTER, "service",
	  "Late statements that were sent to another endpoint." },
	{ "connections_opened_total", COUNTER, "purpose",
	  "Connections opened to endpoints." },
	{ "store_calls_total", COUNTER, "call",
	  "Calls to the platform's store, with their outcome." },
	{ "store_received_bytes_total", COUNTER, "call",
	  "Bytes received in answers of the platform's store." },
	{ "relayed_operations_total", COUNTER, "service",
	  "Operations sent to a home instance" },
	{ "home_choices_total", COUNTER, "fit",
	  "Operations sent to a home, by how well its zone suits them" },
	{ "home_loads_dropped_total", COUNTER, NULL,
	  "Malformed loads of homes that were ignored" },
	{ "relayed_not_accepted_total", COUNTER, "service",
	  "Operations that a home instance did not accept" },
	{ "connections_ahead_total", COUNTER, "service",
	  "Connections opened ahead of need, told by a home that stops." },
	{ "homes", GAUGE, "service",
	  "Home instances of the service; 0: none are needed" },
	{ "store_changes_relayed_total", COUNTER, "way",
	  "Changes of the store passed on to other instances" },
	{ "store_restored_total", COUNTER, NULL,
	  "Times that the store came back from an older copy" },
	{ "store_watches_abandoned_total", COUNTER, NULL,
	  "Watches that did not deliver a known change in time." },
	{ "unconfirmed_sessions_total", COUNTER, NULL,
	  "Sessions accepted while the configuration was not confirmed." },
	{ "store_confirmed_age_ms", GAUGE, NULL,
	  "Age of configuration and keys: since the store was asked last." },
	{ "config_version", GAUGE, NULL, "Configuration in force here." },
	{ "sessions", GAUGE, NULL, "Callers' sessions." },
	{ "instances", GAUGE, NULL, "Instances that divide the limits." },
	{ "duty_held", GAUGE, NULL,
	  "1 while this instance holds the singleton duty." },
	{ "log_lines_left_out_total", COUNTER, NULL,
	  "Log lines beyond the allowed rate or a full pipe." },
	{ "draining", GAUGE, NULL, "1 while the instance shuts down." },
	{ "steer_requests", GAUGE, NULL,
	  "Operators' requests in force at the instance." },
	{ "quota_ask_seconds", HISTOGRAM, NULL,
	  "Time until the home of a limit answered." },
	{ "statement_seconds", HISTOGRAM, "kind",
	  "Time from a caller's statement to its answer." },
	{ "store_call_seconds", HISTOGRAM, "call",
	  "Time until a call to the platform's store ended." },
	/* One sample for each workspace, endpoint or peer: the longest part. */
	{ "workspace_admitted_total", COUNTER, "workspace",
	  "Requests admitted by the workspace's rate." },
	{ "workspace_refused_total", COUNTER, "workspace",
	  "Requests refused because the workspace was over its rate." },
	{ "retries_total", COUNTER, "group",
	  "Requests that were sent to an endpoint again." },
	{ "endpoint_connections", GAUGE, "endpoint",
	  "Open connections to an endpoint." },
	{ "endpoint_connections_lost_total", COUNTER, "endpoint",
	  "Connections to an endpoint that were lost or retired." },
	{ "endpoint_up", GAUGE, "endpoint",
	  "1 while the endpoint answers probes." },
	{ "group_term", GAUGE, "group", "Term of the database group." },
	{ "peer_messages_sent_total", COUNTER, "peer",
	  "Messages sent to a peer." },
	{ "peer_messages_received_total", COUNTER, "peer",
	  "Messages received from a peer." },
	{ "endpoint_no_answers_total", COUNTER, "endpoint",
	  "Work that an endpoint did not answer in time." },
	{ "endpoint_weight_milli", GAUGE, "endpoint",
	  "Part of its usual work that an endpoint gets." },
	{ "endpoint_seconds", HISTOGRAM, "endpoint",
	  "Time from sending a statement to the endpoint's answer." },
	{ "queue_seconds", HISTOGRAM, "service",
	  "Time that a statement waited for a connection." },
	{ "mark_age_ms", GAUGE, "service",
	  "Since the primary's log position was asked last; -1: never." },
	{ "waiting_statements", GAUGE, "service",
	  "Statements that wait for a connection." },
};

/* Upper bounds of the buckets, in the usual steps of 1, 2.5 and 5. */
static const int64_t bucket_bounds_us[] = {
	1000,	2500,	5000,	 10000,	  25000,   50000,    100000,
	250000, 500000, 1000000, 2500000, 5000000, 10000000,
};

enum { BUCKET_COUNT = G_N_ELEMENTS(bucket_bounds_us) };

struct histogram {
	/* Per bucket, not cumulative; the last one is above all bounds. */
	uint64_t counts[BUCKET_COUNT + 1];
	int64_t sum_us;
};

/* One time series: a metric with one value of its label. */
struct sample {
	const struct metric_info *info;
	const char *name; /* borrowed from info, except in lookup keys */
	char *label; /* value of the label, "" if there is none */
	int64_t value; /* of a histogram: number of observations */
	struct histogram *histogram; /* NULL for other types */
};

struct metrics {
	GHashTable *samples; /* set of owned struct sample */
};

static guint sample_hash(gconstpointer p)
{
	const struct sample *s = p;

	return g_str_hash(s->name) * 31 + g_str_hash(s->label);
}

static gboolean sample_equal(gconstpointer a, gconstpointer b)
{
	const struct sample *x = a;
	const struct sample *y = b;

	return !strcmp(x->label, y->label) && !strcmp(x->name, y->name);
}

static void sample_free(gpointer p)
{
	struct sample *s = p;

	g_free(s->histogram);
	g_free(s->label);
	g_free(s);
}

struct metrics *metrics_new(void)
{
	struct metrics *m = g_new0(struct metrics, 1);

	m->samples = g_hash_table_new_full(sample_hash, sample_equal,
					   sample_free, NULL);
	return m;
}

void metrics_free(struct metrics *m)
{
	g_hash_table_destroy(m->samples);
	g_free(m);
}

static struct sample *find_sample(const struct metrics *m, const char *name,
				  const char *label)
{
	struct sample key = { .name = name,
			      .label = (char *)(label ? label : "") };

	return g_hash_table_lookup(m->samples, &key);
}

static const struct metric_info *find_metric_info(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(registry); i++) {
		if (!strcmp(registry[i].name, name))
			return &registry[i];
	}
	return NULL;
}

static struct sample *find_or_add_sample(struct metrics *m, const char *name,
					 const char *label)
{
	struct sample *s = find_sample(m, name, label);
	const struct metric_info *info;

	if (s)
		return s;
	info = find_metric_info(name);
	if (!info) {
		g_critical("metric %s is not in the registry, value dropped",
			   name);
		return NULL;
	}
	s = g_new0(struct sample, 1);
	s->info = info;
	s->name = info->name;
	s->label = g_strdup(label ? label : "");
	g_hash_table_add(m->samples, s);
	return s;
}

void metrics_add(struct metrics *m, const char *name, const char *label,
		 uint64_t n)
{
	struct sample *s = find_or_add_sample(m, name, label);

	if (s)
		s->value += (int64_t)n;
}

void metrics_set(struct metrics *m, const char *name, const char *label,
		 int64_t value)
{
	struct sample *s = find_or_add_sample(m, name, label);

	if (s)
		s->value = value;
}

void metrics_observe(struct metrics *m, const char *name, const char *label,
		     int64_t duration_us)
{
	struct sample *s = find_or_add_sample(m, name, label);
	size_t i = 0;

	if (!s)
		return;
	if (!s->histogram)
		s->histogram = g_new0(struct histogram, 1);
	while (i < BUCKET_COUNT && duration_us > bucket_bounds_us[i])
		i++;
	s->histogram->counts[i]++;
	s->histogram->sum_us += duration_us;
	s->value++;
}

int64_t metrics_get(const struct metrics *m, const char *name,
		    const char *label)
{
	const struct sample *s = find_sample(m, name, label);

	return s ? s->value : 0;
}

static void append_label(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, "{%s=\"", name);
	for (const char *c = value; *c; c++) {
		if (*c == '\n') {
			g_string_append(out, "\\n");
			continue;
		}
		if (*c == '"' || *c == '\\')
			g_string_append_c(out, '\\');
		g_string_append_c(out, *c);
	}
	g_string_append(out, "\"}");
}

static gint compare_samples(gconstpointer a, gconstpointer b)
{
	const struct sample *const *x = a;
	const struct sample *const *y = b;
	ptrdiff_t order = (*x)->info - (*y)->info;

	if (order)
		return order < 0 ? -1 : 1;
	return strcmp((*x)->label, (*y)->label);
}

static GPtrArray *sort_samples(const struct metrics *m)
{
	GPtrArray *sorted = g_ptr_array_new();
	GHashTableIter it;
	gpointer s;

	g_hash_table_iter_init(&it, m->samples);
	while (g_hash_table_iter_next(&it, &s, NULL))
		g_ptr_array_add(sorted, s);
	g_ptr_array_sort(sorted, compare_samples);
	return sorted;
}

static void append_header(GString *out, const struct metric_info *info)
{
	g_string_append_printf(out, "# HELP " NAME_PREFIX "%s %s\n", info->name,
			       info->help);
	g_string_append_printf(out, "# TYPE " NAME_PREFIX "%s %s\n", info->name,
			       type_names[info->type]);
}

static void append_series(GString *out, const struct sample *s,
			  const char *suffix, const char *bound)
{
	GString *labels = g_string_new(NULL);

	g_string_append_printf(out, NAME_PREFIX "%s%s", s->info->name, suffix);
	if (s->info->label)
		append_label(labels, s->info->label, s->label);
	if (bound && labels->len)
		g_string_truncate(labels, labels->len - 1);
	if (bound)
		g_string_append_printf(labels, "%sle=\"%s\"}",
				       labels->len ? "," : "{", bound);
	g_string_append(out, labels->str);
	g_string_free(labels, TRUE);
}

static void append_histogram(GString *out, const struct sample *s)
{
	const struct histogram *h = s->histogram;
	uint64_t cumulative = 0;

	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		char bound[G_ASCII_DTOSTR_BUF_SIZE];

		cumulative += h->counts[i];
		g_ascii_formatd(bound, sizeof(bound), "%g",
				(double)bucket_bounds_us[i] / US_PER_SECOND);
		append_series(out, s, "_bucket", bound);
		g_string_append_printf(out, " %" PRIu64 "\n", cumulative);
	}
	append_series(out, s, "_bucket", "+Inf");
	g_string_append_printf(out, " %" PRId64 "\n", s->value);
	append_series(out, s, "_sum", NULL);
	g_string_append_printf(out, " %.6f\n",
			       (double)h->sum_us / US_PER_SECOND);
	append_series(out, s, "_count", NULL);
	g_string_append_printf(out, " %" PRId64 "\n", s->value);
}

static void append_sample(GString *out, const struct sample *s)
{
	if (s->histogram) {
		append_histogram(out, s);
		return;
	}
	g_string_append_printf(out, NAME_PREFIX "%s", s->info->name);
	if (s->info->label)
		append_label(out, s->info->label, s->label);
	g_string_append_printf(out, " %" PRId64 "\n", s->value);
}

char *metrics_text(const struct metrics *m)
{
	GString *out = g_string_new(NULL);
	GPtrArray *sorted = sort_samples(m);
	guint next = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(registry); i++) {
		append_header(out, &registry[i]);
		while (next < sorted->len) {
			const struct sample *s = sorted->pdata[next];

			if (s->info != &registry[i])
				break;
			append_sample(out, s);
			next++;
		}
	}
	g_ptr_array_free(sorted, TRUE);
	return g_string_free(out, FALSE);
}
