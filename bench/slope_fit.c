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
	uint32_t repeat;
};

struct series {
	char name[TEXT_BYTES];
	char unit[TEXT_BYTES];
	GArray *points; /* of struct point */
};

struct line {
	double slope;
	double base;
};

/* A value with the least and the most over the repeats. */
struct spread {
	double all;
	double least;
	double most;
};

struct fit {
	struct spread slope;
	struct spread base;
};

static const struct point *point_at(const struct series *s, uint32_t i)
{
	return &g_array_index(s->points, struct point, i);
}

static void series_free(gpointer p)
{
	struct series *s = p;

	g_array_free(s->points, TRUE);
	g_free(s);
}

static struct series *find_or_add(GPtrArray *all, const char *name,
				  const char *unit)
{
	struct series *s;

	for (uint32_t i = 0; i < all->len; i++) {
		s = g_ptr_array_index(all, i);
		if (!strcmp(s->name, name))
			return s;
	}
	s = g_new0(struct series, 1);
	g_strlcpy(s->name, name, sizeof(s->name));
	g_strlcpy(s->unit, unit, sizeof(s->unit));
	s->points = g_array_new(FALSE, TRUE, sizeof(struct point));
	g_ptr_array_add(all, s);
	return s;
}

static void add_point(struct series *s, double x, double y)
{
	struct point p = { .x = x, .y = y };

	for (uint32_t i = 0; i < s->points->len; i++)
		p.repeat += point_at(s, i)->x == x;
	g_array_append_val(s->points, p);
}

static int read_all(FILE *in, GPtrArray *all)
{
	char name[TEXT_BYTES];
	char unit[TEXT_BYTES];
	double x;
	double y;
	int n;

	while ((n = fscanf(in, "%63s %lf %lf %63s", name, &x, &y, unit)) == 4)
		add_point(find_or_add(all, name, unit), x, y);
	return n == EOF ? 0 : -EINVAL;
}

/* The line through one repeat, or through all points. */
static struct line line_of(const struct series *s, bool all, uint32_t repeat)
{
	double n = 0, sx = 0, sy = 0, sxx = 0, sxy = 0;
	struct line l = { 0 };

	for (uint32_t i = 0; i < s->points->len; i++) {
		const struct point *p = point_at(s, i);

		if (!all && p->repeat != repeat)
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

static void widen(struct spread *s, double v)
{
	s->least = fmin(s->least, v);
	s->most = fmax(s->most, v);
}

static struct fit fit_of(const struct series *s)
{
	struct line whole = line_of(s, true, 0);
	struct fit f = { .slope = { whole.slope, DBL_MAX, -DBL_MAX },
			 .base = { whole.base, DBL_MAX, -DBL_MAX } };
	uint32_t repeats = 0;

	for (uint32_t i = 0; i < s->points->len; i++)
		repeats = MAX(repeats, point_at(s, i)->repeat + 1);
	for (uint32_t i = 0; i < repeats; i++) {
		struct line l = line_of(s, false, i);

		widen(&f.slope, l.slope);
		widen(&f.base, l.base);
	}
	return f;
}

/* Returns the values at the X of point `i`; false for a later repeat. */
static bool at_x(const struct series *s, uint32_t i, struct spread *out)
{
	double sum = 0;
	uint32_t n = 0;

	if (point_at(s, i)->repeat)
		return false;
	*out = (struct spread){ 0, DBL_MAX, -DBL_MAX };
	for (uint32_t k = 0; k < s->points->len; k++) {
		if (point_at(s, k)->x != point_at(s, i)->x)
			continue;
		sum += point_at(s, k)->y;
		widen(out, point_at(s, k)->y);
		n++;
	}
	out->all = sum / n;
	return true;
}

static void print_text(const struct series *s, FILE *out)
{
	struct fit f = fit_of(s);
	struct spread v;

	for (uint32_t i = 0; i < s->points->len; i++) {
		if (at_x(s, i, &v))
			fprintf(out, "%s.at_%g %.4g %s (%.4g..%.4g)\n", s->name,
				point_at(s, i)->x, v.all, s->unit, v.least,
				v.most);
	}
	fprintf(out, "%s.slope %.4g %s (%.4g..%.4g)\n", s->name, f.slope.all,
		s->unit, f.slope.least, f.slope.most);
	fprintf(out, "%s.base %.4g %s (%.4g..%.4g)\n", s->name, f.base.all,
		s->unit, f.base.least, f.base.most);
}

static void print_spread(FILE *out, const char *name, const struct spread *s)
{
	fprintf(out, "\"%s\": [%.6g, %.6g, %.6g]", name, s->all, s->least,
		s->most);
}

static void print_json(const struct series *s, FILE *out, bool first)
{
	struct fit f = fit_of(s);
	const char *comma = "";
	struct spread v;

	fprintf(out, "%s{\"name\": \"%s\", \"unit\": \"%s\", ",
		first ? "" : ",\n", s->name, s->unit);
	print_spread(out, "slope", &f.slope);
	fprintf(out, ", ");
	print_spread(out, "base", &f.base);
	fprintf(out, ", \"points\": [");
	for (uint32_t i = 0; i < s->points->len; i++) {
		if (!at_x(s, i, &v))
			continue;
		fprintf(out, "%s[%g, %.6g, %.6g, %.6g]", comma,
			point_at(s, i)->x, v.all, v.least, v.most);
		comma = ", ";
	}
	fprintf(out, "]}");
}

int slope_fit_print(FILE *in, FILE *out, bool json)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(series_free);
	int rc = read_all(in, all);

	if (json)
		fprintf(out, "[");
	for (uint32_t i = 0; i < all->len; i++) {
		if (json)
			print_json(g_ptr_array_index(all, i), out, i == 0);
		else
			print_text(g_ptr_array_index(all, i), out);
	}
	if (json)
		fprintf(out, "]\n");
	g_ptr_array_free(all, TRUE);
	return rc;
}
