#include "figure.h"

#include <errno.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

struct figures {
	GArray *entries; /* struct figure */
};

struct figures *figures_new(void)
{
	struct figures *f = g_new0(struct figures, 1);

	f->entries = g_array_new(FALSE, TRUE, sizeof(struct figure));
	return f;
}

void figures_free(struct figures *f)
{
	for (guint i = 0; i < f->entries->len; i++)
		g_free(g_array_index(f->entries, struct figure, i).name);
	g_array_free(f->entries, TRUE);
	g_free(f);
}

void figures_add_with_target(struct figures *f, const char *name, double value,
			     const char *unit, enum figure_bound bound,
			     double target)
{
	struct figure row = {
		.name = g_strdup(name),
		.unit = unit,
		.value = value,
		.bound = bound,
		.target = target,
	};

	g_array_append_val(f->entries, row);
}

void figures_add(struct figures *f, const char *name, double value,
		 const char *unit)
{
	figures_add_with_target(f, name, value, unit, BOUND_NONE, 0);
}

static gint compare_us(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

void figures_add_percentiles(struct figures *f, const char *name, GArray *us)
{
	static const struct {
		const char *suffix;
		double quantile;
	} rows[] = {
		{ "p50", 0.5 },
		{ "p99", 0.99 },
		{ "p99.9", 0.999 },
		{ "max", 1 },
	};

	if (!us->len)
		return;
	g_array_sort(us, compare_us);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		guint at = (guint)(rows[i].quantile * (us->len - 1) + 0.5);
		char *full_name =
			g_strdup_printf("%s_%s", name, rows[i].suffix);

		figures_add(f, full_name, g_array_index(us, int64_t, at) / 1e3,
			    "ms");
		g_free(full_name);
	}
}

static bool meets_target(const struct figure *row)
{
	if (row->bound == BOUND_AT_MOST)
		return row->value <= row->target;
	return row->value >= row->target;
}

static void print_target(const struct figure *row)
{
	if (row->bound == BOUND_NONE)
		return;
	printf("  target %s %g: %s",
	       row->bound == BOUND_AT_MOST ? "<=" : ">=", row->target,
	       meets_target(row) ? "met" : "MISSED");
}

void figures_print(const struct figures *f)
{
	for (guint i = 0; i < f->entries->len; i++) {
		const struct figure *row =
			&g_array_index(f->entries, struct figure, i);

		printf("%-44s %12.3f %s", row->name, row->value, row->unit);
		print_target(row);
		printf("\n");
	}
	fflush(stdout);
}

static json_t *make_figure_json(const struct figure *row)
{
	json_t *o =
		json_pack("{s:f, s:s}", "value", row->value, "unit", row->unit);

	if (row->bound != BOUND_NONE) {
		json_object_set_new(o, "target", json_real(row->target));
		json_object_set_new(o, "met", json_boolean(meets_target(row)));
	}
	return o;
}

int figures_append(const struct figures *f, const char *file, const char *label)
{
	json_t *doc = json_object();
	FILE *out = fopen(file, "ae");

	if (!out) {
		json_decref(doc);
		return -errno;
	}
	json_object_set_new(doc, "label", json_string(label));
	for (guint i = 0; i < f->entries->len; i++) {
		const struct figure *row =
			&g_array_index(f->entries, struct figure, i);

		json_object_set_new(doc, row->name, make_figure_json(row));
	}
	json_dumpf(doc, out, JSON_COMPACT);
	fputc('\n', out);
	json_decref(doc);
	return fclose(out) ? -EIO : 0;
}
