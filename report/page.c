#include "report/burn.h"

#define WIDTH 640.0
#define HEIGHT 160.0
#define MARGIN 40.0
#define POINTS_MAX 400u /* a line with more points is thinned out */

static const char page_start[] =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>Service-level burn</title><style>"
    "body{font:14px sans-serif;margin:2em;max-width:60em}"
    "table{border-collapse:collapse}td,th{border:1px solid #ccc;"
    "padding:2px 8px;text-align:right}th{background:#eee}"
    "svg{background:#fafafa;margin:8px 8px 8px 0}"
    ".page{color:#b00}.ticket{color:#b60}"
    "</style></head><body><h1>Service-level burn</h1>\n";

/* A diagram of one value over time. */
struct plot {
	const char *title;
	const char *colour;
	double low, high;
	double reference; /* value of the dashed horizontal line */
	int64_t from_ms, to_ms; /* wall clock */
	GString *path;
	GString *out;
};

static const struct dh_burn_point *
point(const struct dh_burn_service *sv, guint i)
{
	return &g_array_index(sv->points, struct dh_burn_point, i);
}

static double
y_coordinate(const struct plot *p, double value)
{
	double y =
	    (CLAMP(value, p->low, p->high) - p->low) / (p->high - p->low);

	return HEIGHT - MARGIN / 2 - y * (HEIGHT - MARGIN);
}

static void
plot_point(struct plot *p, double at, double value)
{
	g_string_append_printf(p->path, "%s%.1f,%.1f",
	    p->path->len == 0 ? "" : " ", MARGIN + at * (WIDTH - 2 * MARGIN),
	    y_coordinate(p, value));
}

static void
plot_time(const struct plot *p, double x, const char *anchor, int64_t wall_ms)
{
	g_autoptr(GDateTime) at = g_date_time_new_from_unix_utc(wall_ms / 1000);
	g_autofree char *text = g_date_time_format(at, "%F %T");

	g_string_append_printf(p->out,
	    "<text x=\"%.0f\" y=\"%.0f\" font-size=\"10\" "
	    "text-anchor=\"%s\">%s</text>",
	    x, HEIGHT - 4, anchor, text);
}

static void
plot_finish(struct plot *p)
{
	g_string_append_printf(p->out,
	    "<svg width=\"%.0f\" height=\"%.0f\" role=\"img\">"
	    "<title>%s</title>"
	    "<text x=\"%.0f\" y=\"12\" font-size=\"12\">%s</text>"
	    "<text x=\"2\" y=\"%.1f\" font-size=\"10\">%.2f</text>"
	    "<text x=\"2\" y=\"%.1f\" font-size=\"10\">%.2f</text>"
	    "<line x1=\"%.0f\" x2=\"%.0f\" y1=\"%.1f\" y2=\"%.1f\" "
	    "stroke=\"#999\" stroke-dasharray=\"4\"/>"
	    "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" "
	    "points=\"%s\"/>",
	    WIDTH, HEIGHT, p->title, MARGIN, p->title,
	    y_coordinate(p, p->high) + 4, p->high, y_coordinate(p, p->low) + 4,
	    p->low, MARGIN, WIDTH - MARGIN, y_coordinate(p, p->reference),
	    y_coordinate(p, p->reference), p->colour, p->path->str);
	plot_time(p, MARGIN, "start", p->from_ms);
	plot_time(p, WIDTH - MARGIN, "end", p->to_ms);
	g_string_append(p->out, "</svg>\n");
	(void)g_string_free(p->path, TRUE);
}

/* Burn rate of the requests counted between two points. */
static double
rate_between(const struct dh_burn_service *sv, guint from, guint to)
{
	const struct dh_sample_counts *a = &point(sv, from)->counts;
	const struct dh_sample_counts *b = &point(sv, to)->counts;
	struct dh_sample_counts c = { .total = b->total - a->total,
		.good = b->good - a->good };

	return dh_burn_rate(sv->objective_ppm, &c);
}

/* Position of a point on the time axis, from 0 to 1. */
static double
time_fraction(const struct plot *p, const struct dh_burn_service *sv, guint i)
{
	return (double)(point(sv, i)->wall_ms - p->from_ms) /
	    (double)MAX(p->to_ms - p->from_ms, 1);
}

static void
plot_begin(struct plot *p, const struct dh_burn_service *sv, GString *out)
{
	p->from_ms = point(sv, 0)->wall_ms;
	p->to_ms = point(sv, sv->points->len - 1)->wall_ms;
	p->path = g_string_new(NULL);
	p->out = out;
}

/* Draws a step line: between two points the rate is constant, namely the
 * average over the interval. */
static void
plot_rate(GString *out, const struct dh_burn_service *sv, guint stride)
{
	struct plot p = { .title = "burn rate (dashed line: 1)",
		.colour = "#06c",
		.high = 2,
		.reference = 1 };
	double rate;
	guint i;

	plot_begin(&p, sv, out);
	for (i = stride; i < sv->points->len; i += stride)
		p.high = MAX(p.high, rate_between(sv, i - stride, i));
	for (i = stride; i < sv->points->len; i += stride) {
		rate = rate_between(sv, i - stride, i);
		plot_point(&p, time_fraction(&p, sv, i - stride), rate);
		plot_point(&p, time_fraction(&p, sv, i), rate);
	}
	plot_finish(&p);
}

static void
plot_budget(GString *out, const struct dh_burn_service *sv, guint stride)
{
	struct plot p = { .title = "budget left (dashed line: 0)",
		.colour = "#080",
		.low = -0.5,
		.high = 1 };
	guint i;

	plot_begin(&p, sv, out);
	for (i = 0; i < sv->points->len; i += stride)
		plot_point(
		    &p, time_fraction(&p, sv, i), 1 - rate_between(sv, 0, i));
	plot_finish(&p);
}

static void
page_table(GString *out, const struct dh_burn_service *sv)
{
	const struct dh_burn_window *w;
	int kind;

	g_string_append(out,
	    "<table><tr><th>window</th><th>burn rate</th><th>requests</th>"
	    "<th>not good</th><th>not run</th><th>unknown</th>"
	    "<th>covered, s</th></tr>\n");
	for (kind = 0; kind < DH_BURN_WINDOWS; kind++) {
		w = &sv->windows[kind];
		g_string_append_printf(out,
		    "<tr><td>%s</td><td>%.2f</td><td>%" G_GUINT64_FORMAT
		    "</td><td>%" G_GUINT64_FORMAT "</td><td>%" G_GUINT64_FORMAT
		    "</td><td>%" G_GUINT64_FORMAT "</td><td>%" G_GINT64_FORMAT
		    "%s</td></tr>\n",
		    dh_burn_window_name((enum dh_burn_window_kind)kind),
		    w->rate, w->counts.total,
		    w->counts.total - MIN(w->counts.good, w->counts.total),
		    w->counts.not_run, w->counts.unknown, w->covered_ms / 1000,
		    w->whole ? "" : " (in part)");
	}
	g_string_append(out, "</table>\n");
}

static void
page_service(GString *out, const struct dh_burn_service *sv)
{
	g_autofree char *name = g_markup_escape_text(sv->name, -1);
	g_autofree char *team = g_markup_escape_text(sv->team, -1);
	guint stride = 1 + sv->points->len / POINTS_MAX;

	g_string_append_printf(out,
	    "<h2>%s</h2><p>team %s; objective %.4f %% good within "
	    "%" G_GINT64_FORMAT
	    " ms; budget left %.1f %%; alert <b class=\"%s\">%s</b></p>\n",
	    name, team, sv->objective_ppm / 10000.0, sv->objective_latency_ms,
	    sv->budget_left * 100, dh_burn_alert_name(sv->alert),
	    dh_burn_alert_name(sv->alert));
	page_table(out, sv);
	if (sv->points->len < 2)
		return;
	plot_rate(out, sv, stride);
	plot_budget(out, sv, stride);
}

char *
dh_burn_page(const struct dh_burn *b)
{
	g_autoptr(GDateTime) to =
	    g_date_time_new_from_unix_utc(b->to_ms / 1000);
	g_autofree char *when = g_date_time_format(to, "%F %T UTC");
	GString *out = g_string_new(page_start);
	guint i;

	g_string_append_printf(out,
	    "<p>%s; %u rounds of samples over %" G_GINT64_FORMAT
	    " s; %u VMs in the last; %u restarts</p>\n",
	    when, b->rounds, (b->to_ms - b->from_ms) / 1000, b->vms,
	    b->restarts);
	for (i = 0; i < b->services->len; i++)
		page_service(out,
		    &g_array_index(b->services, struct dh_burn_service, i));
	g_string_append(out, "</body></html>\n");
	return g_string_free(out, FALSE);
}
