#include "core/sizes.h"
#include "summary.h"

#include <stdio.h>
#include <string.h>

enum { LINE_BYTES = 256, WORD_BYTES = 64 };

static const double gap_max_target_ms = 6000;
static const double gap_median_target_ms = 1000;

/* A fault injected by bench/measure. */
struct fault {
	int64_t at_us; /* monotonic clock */
	uint32_t group;
	char kind[WORD_BYTES];
};

static gint compare_us(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Returns the sorted times at which writes of the group were confirmed. */
static GArray *collect_confirm_times(const struct records *r, uint32_t group)
{
	GArray *us = g_array_new(FALSE, FALSE, sizeof(int64_t));

	for (guint i = 0; i < r->rows->len; i++) {
		const struct work_record *x =
			&g_array_index(r->rows, struct work_record, i);

		if (!x->error && work_is_write(x->kind) && x->group == group)
			g_array_append_val(us, x->done_us);
	}
	g_array_sort(us, compare_us);
	return us;
}

/*
 * Returns the longest time between two confirmed writes that ends after
 * from_us and starts before to_us; the part after to_us is not counted. The
 * time from the last write to to_us counts as well.
 */
static int64_t find_longest_gap(const GArray *us, int64_t from_us,
				int64_t to_us)
{
	int64_t longest = 0;

	for (guint i = 1; i < us->len; i++) {
		int64_t a = g_array_index(us, int64_t, i - 1);
		int64_t b = g_array_index(us, int64_t, i);

		if (b > from_us && a < to_us)
			longest = MAX(longest, MIN(b, to_us) - a);
	}
	if (us->len && g_array_index(us, int64_t, us->len - 1) < to_us)
		longest = MAX(longest,
			      to_us - g_array_index(us, int64_t, us->len - 1));
	return longest;
}

static uint32_t find_group(const struct plan *p, const char *name)
{
	for (uint32_t g = 0; g < p->group_count; g++) {
		if (g_str_equal(p->groups[g], name))
			return g;
	}
	return NO_INDEX;
}

static GArray *read_faults(const struct records *r, const struct plan *p,
			   const char *file)
{
	GArray *faults = g_array_new(FALSE, TRUE, sizeof(struct fault));
	FILE *in = fopen(file, "re");
	char line[LINE_BYTES];

	while (in && fgets(line, sizeof(line), in)) {
		char **words = g_strsplit(g_strstrip(line), " ", 3);
		struct fault x = { 0 };

		if (g_strv_length(words) == 3) {
			x.at_us = g_ascii_strtoll(words[0], NULL, 10) -
				  r->wall_offset_us;
			x.group = find_group(p, words[1]);
			g_strlcpy(x.kind, words[2], WORD_BYTES);
			if (x.group != NO_INDEX)
				g_array_append_val(faults, x);
		}
		g_strfreev(words);
	}
	if (in)
		fclose(in);
	return faults;
}

/* A gap counts for a fault until the next fault of the same group. */
static int64_t get_fault_end_us(const GArray *faults, guint at, int64_t end_us)
{
	const struct fault *x = &g_array_index(faults, struct fault, at);

	for (guint i = at + 1; i < faults->len; i++) {
		const struct fault *y = &g_array_index(faults, struct fault, i);

		if (y->group == x->group)
			return MIN(y->at_us, end_us);
	}
	return end_us;
}

static void add_fault_kind(const GArray *faults, const GArray *gaps,
			   const char *kind, struct figures *f)
{
	GArray *us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	char *name = g_strdup_printf("write_gap_%s", kind);

	for (guint i = 0; i < faults->len; i++) {
		if (g_str_equal(g_array_index(faults, struct fault, i).kind,
				kind))
			g_array_append_val(us, g_array_index(gaps, int64_t, i));
	}
	figures_add_percentiles(f, name, us);
	g_free(name);
	g_array_free(us, TRUE);
}

static void add_fault_kinds(const GArray *faults, const GArray *gaps,
			    struct figures *f)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < faults->len; i++) {
		struct fault *x = &g_array_index(faults, struct fault, i);

		if (g_hash_table_add(seen, x->kind))
			add_fault_kind(faults, gaps, x->kind, f);
	}
	g_hash_table_destroy(seen);
}

static void add_faults(const struct records *r, const struct plan *p,
		       GArray **writes, const char *file, struct figures *f)
{
	GArray *faults = read_faults(r, p, file);
	GArray *gaps = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t end_us = r->start_us + p->duration_us;
	guint middle = faults->len / 2;

	for (guint i = 0; i < faults->len; i++) {
		const struct fault *x = &g_array_index(faults, struct fault, i);
		int64_t gap =
			find_longest_gap(writes[x->group], x->at_us,
					 get_fault_end_us(faults, i, end_us));

		printf("fault %s %s at %.1f s: gap %.0f ms\n",
		       p->groups[x->group], x->kind,
		       (double)(x->at_us - r->start_us) / US_PER_S, gap / 1e3);
		g_array_append_val(gaps, gap);
	}
	add_fault_kinds(faults, gaps, f);
	figures_add(f, "faults", faults->len, "faults");
	if (gaps->len) {
		g_array_sort(gaps, compare_us);
		figures_add_with_target(f, "write_gap_median",
					g_array_index(gaps, int64_t, middle) /
						1e3,
					"ms", BOUND_AT_MOST,
					gap_median_target_ms);
		figures_add_with_target(f, "write_gap_longest",
					g_array_index(gaps, int64_t,
						      gaps->len - 1) /
						1e3,
					"ms", BOUND_AT_MOST, gap_max_target_ms);
	}
	g_array_free(gaps, TRUE);
	g_array_free(faults, TRUE);
}

void summary_add_gaps(const struct records *r, const struct plan *p,
		      const char *faults, struct figures *f)
{
	GArray *writes[PLAN_GROUPS_MAX] = { NULL };
	int64_t longest = 0;

	for (uint32_t g = 0; g < p->group_count; g++) {
		writes[g] = collect_confirm_times(r, g);
		longest = MAX(longest,
			      find_longest_gap(writes[g], r->start_us,
					       r->start_us + p->duration_us));
	}
	figures_add(f, "longest_write_gap", longest / 1e3, "ms");
	if (faults)
		add_faults(r, p, writes, faults, f);
	for (uint32_t g = 0; g < p->group_count; g++)
		g_array_free(writes[g], TRUE);
}
