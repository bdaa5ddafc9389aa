#include "slope_fit.h"

#include <errno.h>
#include <float.h>
#include <glib.h>
#include <math.h>
#include <stdint.h>
#include <string.h>

enum { TEXT_BYTES = 64, REPEATS_MAX = 32 };

struct point {
	double x;
	double y;
	uint32_t repeat; /* number of earlier points with the same x */
};

struct series {
	char name[TEXT_BYTES];
	char unit[TEXT_BYTES];
	GArray *points; /* struct point */
};

struct line {
	double slope;
	double base; /* at x = 0 */
};

/* A value of all repeats together, and its range over them. */
struct spread {
	double value;
	double min;
	double max;
};

struct fit {
	struct spread slope;
	struct spread base;
};

static const struct point *get_point(const struct series *s, uint32_t i)
{
	return &g_array_index(s->points, struct point, i);
}

static void series_free(gpointer p)
{
	struct series *s = p;

	g_array_free(s->points, TRUE);
	g_free(s);
}

static struct series *find_or_add(GPtrArray *series_list, const char *name,
				  const char *unit)
{
	struct series *s;

	for (uint32_t i = 0; i < series_list->len; i++) {
		s = g_ptr_array_index(series_list, i);
		if (!strcmp(s->name, name))
			return s;
	}
	s = g_new0(struct series, 1);
	g_strlcpy(s->name, name, sizeof(s->name));
	g_strlcpy(s->unit, unit, sizeof(s->unit));
	s->points = g_array_new(FALSE, TRUE, sizeof(struct point));
	g_ptr_array_add(series_list, s);
	return s;
}

static void add_point(struct series *s, double x, double y)
{
	struct point p = { .x = x, .y = y };

	for (uint32_t i = 0; i < s->points->len; i++)
		p.repeat += get_point(s, i)->x == x;
	g_array_append_val(s->points, p);
}

static int read_points(FILE *in, GPtrArray *series_list)
{
	char name[TEXT_BYTES];
	char unit[TEXT_BYTES];
	double x;
	double y;
	int n;

	while ((n = fscanf(in, "%63s %lf %lf %63s", name, &x, &y, unit)) == 4)
		add_point(find_or_add(series_list, name, unit), x, y);
	return n == EOF ? 0 : -EINVAL;
}

/* Fits a line to the points of one repeat, or of all repeats. */
static struct line fit_line(const struct series *s, bool all_repeats,
			    uint32_t repeat)
{
	double n = 0, sx = 0, sy = 0, sxx = 0, sxy = 0;
	struct line l = { 0 };

	for (uint32_t i = 0; i < s->points->len; i++) {
		const struct point *p = get_point(s, i);

		if (!all_repeats && p->repeat != repeat)
			continue;
		n++;
		sx += p->x;
		sy += p->y;
		sxx += p->x * p->x;
		sxy += p->x * p->y;
	}
	if (n * sxx - sx * sx > 0)
		l.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	l.base = (sy - l.slope * sx) / n;
	return l;
}

static void extend_spread(struct spread *s, double v)
{
	s->min = fmin(s->min, v);
	s->max = fmax(s->max, v);
}

static struct fit fit_series(const struct series *s)
{
	struct line whole = fit_line(s, true, 0);
	struct fit f = { .slope = { whole.slope, DBL_MAX, -DBL_MAX },
			 .base = { whole.base, DBL_MAX, -DBL_MAX } };
	uint32_t repeats = 0;

	for (uint32_t i = 0; i < s->points->len; i++)
		repeats = MAX(repeats, get_point(s, i)->repeat + 1);
	for (uint32_t i = 0; i < repeats; i++) {
		struct line l = fit_line(s, false, i);

		extend_spread(&f.slope, l.slope);
		extend_spread(&f.base, l.base);
	}
	return f;
}

/*
 * Gets the mean and the range of the values at the x of point i. Returns
 * false unless the point is the first one at this x.
 */
static bool get_spread_at_x(const struct series *s, uint32_t i,
			    struct spread *out)
{
	double sum = 0;
	uint32_t n = 0;

	if (get_point(s, i)->repeat)
		return false;
	*out = (struct spread){ 0, DBL_MAX, -DBL_MAX };
	for (uint32_t k = 0; k < s->points->len; k++) {
		if (get_point(s, k)->x != get_point(s, i)->x)
			continue;
		sum += get_point(s, k)->y;
		extend_spread(out, get_point(s, k)->y);
		n++;
	}
	out->value = sum / n;
	return true;
}

static void print_text(const struct series *s, FILE *out)
{
	struct fit f = fit_series(s);
	struct spread v;

	for (uint32_t i = 0; i < s->points->len; i++) {
		if (get_spread_at_x(s, i, &v))
			fprintf(out, "%s.at_%g %.4g %s (%.4g..%.4g)\n", s->name,
				get_point(s, i)->x, v.value, s->unit, v.min,
				v.max);
	}
	fprintf(out, "%s.slope %.4g %s (%.4g..%.4g)\n", s->name, f.slope.value,
		s->unit, f.slope.min, f.slope.max);
	fprintf(out, "%s.base %.4g %s (%.4g..%.4g)\n", s->name, f.base.value,
		s->unit, f.base.min, f.base.max);
}

static void print_spread(FILE *out, const char *name, const struct spread *s)
{
	fprintf(out, "\"%s\": [%.6g, %.6g, %.6g]", name, s->value, s->min,
		s->max);
}

static void print_json(const struct series *s, FILE *out, bool first)
{
	struct fit f = fit_series(s);
	const char *comma = "";
	struct spread v;

	fprintf(out, "%s{\"name\": \"%s\", \"unit\": \"%s\", ",
		first ? "" : ",\n", s->name, s->unit);
	print_spread(out, "slope", &f.slope);
	fprintf(out, ", ");
	print_spread(out, "base", &f.base);
	fprintf(out, ", \"points\": [");
	for (uint32_t i = 0; i < s->points->len; i++) {
		if (!get_spread_at_x(s, i, &v))
			continue;
		fprintf(out, "%s[%g, %.6g, %.6g, %.6g]", comma,
			get_point(s, i)->x, v.value, v.min, v.max);
		comma = ", ";
	}
	fprintf(out, "]}");
}

int slope_fit_print(FILE *in, FILE *out, bool json)
{
	GPtrArray *series_list = g_ptr_array_new_with_free_func(series_free);
	int rc = read_points(in, series_list);

	if (json)
		fprintf(out, "[");
	for (uint32_t i = 0; i < series_list->len; i++) {
		if (json)
			print_json(g_ptr_array_index(series_list, i), out,
				   i == 0);
		else
			print_text(g_ptr_array_index(series_list, i), out);
	}
	if (json)
		fprintf(out, "]\n");
	g_ptr_array_free(series_list, TRUE);
	return rc;
}
