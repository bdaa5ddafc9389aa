#include "figure.h"

#include <errno.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

struct figures {
	GArray *all; /* struct figure */
};

struct figures *figures_new(void)
{
	struct figures *f = g_new0(struct figures, 1);

	f->all = g_array_new(FALSE, TRUE, sizeof(struct figure));
	return f;
}

void figures_free(struct figures *f)
{
	for (guint i = 0; i < f->all->len; i++)
		g_free(g_array_index(f->all, struct figure, i).name);
	g_array_free(f->all, TRUE);
	g_free(f);
}

void figures_target(struct figures *f, const char *name, double value,
		    const char *unit, enum figure_bound bound, double target)
{
	struct figure row = {
		.name = g_strdup(name),
		.unit = unit,
		.value = value,
		.bound = bound,
		.target = target,
	};

	g_array_append_val(f->all, row);
}

void figures_add(struct figures *f, const char *name, double value,
		 const char *unit)
{
	figures_target(f, name, value, unit, BOUND_NONE, 0);
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
		double part;
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
		guint at = (guint)(rows[i].part * (us->len - 1) + 0.5);
		char *full = g_strdup_printf("%s_%s", name, rows[i].suffix);

		figures_add(f, full, g_array_index(us, int64_t, at) / 1e3,
			    "ms");
		g_free(full);
	}
}

static bool is_met(const struct figure *row)
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
	       is_met(row) ? "met" : "MISSED");
}

void figures_print(const struct figures *f)
{
	for (guint i = 0; i < f->all->len; i++) {
		const struct figure *row =
			&g_array_index(f->all, struct figure, i);

		printf("%-44s %12.3f %s", row->name, row->value, row->unit);
		print_target(row);
		printf("\n");
	}
	fflush(stdout);
}

static json_t *figure_json(const struct figure *row)
{
	json_t *o =
		json_pack("{s:f, s:s}", "value", row->value, "unit", row->unit);

	if (row->bound != BOUND_NONE) {
		json_object_set_new(o, "target", json_real(row->target));
		json_object_set_new(o, "met", json_boolean(is_met(row)));
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
	for (guint i = 0; i < f->all->len; i++) {
		const struct figure *row =
			&g_array_index(f->all, struct figure, i);

		json_object_set_new(doc, row->name, figure_json(row));
	}
	json_dumpf(doc, out, JSON_COMPACT);
	fputc('\n', out);
	json_decref(doc);
	return fclose(out) ? -EIO : 0;
}
