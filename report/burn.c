#include "report/burn.h"

#include <string.h>

#include <json.h>

#define MINUTE_MS INT64_C(60000)
#define HOUR_MS (60 * MINUTE_MS)
#define DAY_MS (24 * HOUR_MS)
#define MILLION 1000000.0

struct window_def {
	const char *name;
	int64_t length_ms;
};

static const struct window_def windows[DH_BURN_WINDOWS] = {
	[DH_BURN_5MIN] = { "5min", 5 * MINUTE_MS },
	[DH_BURN_30MIN] = { "30min", 30 * MINUTE_MS },
	[DH_BURN_1H] = { "1h", HOUR_MS },
	[DH_BURN_6H] = { "6h", 6 * HOUR_MS },
	[DH_BURN_3D] = { "3d", 3 * DAY_MS },
	[DH_BURN_30D] = { "30d", 30 * DAY_MS },
};

struct alert_rule {
	enum dh_burn_alert alert;
	enum dh_burn_window_kind long_window, short_window;
	double rate;
};

static const struct alert_rule rules[] = {
	{ DH_BURN_PAGE, DH_BURN_1H, DH_BURN_5MIN, 14.4 },
	{ DH_BURN_PAGE, DH_BURN_6H, DH_BURN_30MIN, 6 },
	{ DH_BURN_TICKET, DH_BURN_3D, DH_BURN_6H, 1 },
};

const char *
dh_burn_window_name(enum dh_burn_window_kind kind)
{
	return windows[kind].name;
}

const char *
dh_burn_alert_name(enum dh_burn_alert alert)
{
	static const char *const names[] = { "none", "ticket", "page" };

	return names[alert];
}

double
dh_burn_rate(uint32_t objective_ppm, const struct dh_sample_counts *c)
{
	double budget = (MILLION - objective_ppm) / MILLION;

	if (c->total == 0)
		return 0;
	return (double)(c->total - MIN(c->good, c->total)) / (double)c->total /
	    budget;
}

static struct dh_sample_counts
subtract_counts(struct dh_sample_counts a, const struct dh_sample_counts *b)
{
	a.total -= b->total;
	a.good -= b->good;
	a.done -= b->done;
	a.not_run -= b->not_run;
	a.unknown -= b->unknown;
	return a;
}

static void
add_counts(struct dh_sample_counts *a, const struct dh_sample_counts *b)
{
	a->total += b->total;
	a->good += b->good;
	a->done += b->done;
	a->not_run += b->not_run;
	a->unknown += b->unknown;
}

static bool
all_at_least(const struct dh_sample_counts *a, const struct dh_sample_counts *b)
{
	return a->total >= b->total && a->good >= b->good &&
	    a->done >= b->done && a->not_run >= b->not_run &&
	    a->unknown >= b->unknown;
}

static const struct dh_sample_counts *
find_counts(const struct dh_sample *s, const char *service)
{
	static const struct dh_sample_counts zero;
	const struct dh_sample_service *sv;
	guint i;

	for (i = 0; s != NULL && i < s->services->len; i++) {
		sv = &g_array_index(s->services, struct dh_sample_service, i);
		if (strcmp(sv->name, service) == 0)
			return &sv->counts;
	}
	return &zero;
}

static struct dh_burn_service *
service_at(const struct dh_burn *b, guint i)
{
	return &g_array_index(b->services, struct dh_burn_service, i);
}

/*
 * Sums of the counters over all VMs.  The counters of a VM start at 0 with each
 * incarnation.  Between two samples of one incarnation the difference is added.
 * The first sample of an incarnation is added in full if the VM was sampled
 * before with another incarnation, or if it started after the previous round.
 * Otherwise the first sample of a VM only serves as the base for differences,
 * because the time at which its requests were counted is unknown.
 */
struct totals {
	struct dh_burn *burn;
	GHashTable *last; /* VM -> its last struct dh_sample */
	int64_t previous_round_ms; /* time of the previous round; 0: none */
	struct dh_sample_counts *sums; /* one element for each service */
};

static void
add_sample(struct totals *t, const struct dh_sample *s)
{
	const struct dh_sample *last = g_hash_table_lookup(t->last, s->vm);
	bool from_zero = last != NULL ? last->incarnation != s->incarnation
				      : t->previous_round_ms > 0 &&
		s->incarnation > (uint64_t)t->previous_round_ms;
	const struct dh_sample_counts *now, *old;
	struct dh_sample_counts diff;
	const char *name;
	guint i;

	g_hash_table_insert(t->last, (gpointer)s->vm, (gpointer)s);
	t->burn->restarts += from_zero && last != NULL;
	if (last == NULL && !from_zero)
		return;
	for (i = 0; i < t->burn->services->len; i++) {
		name = service_at(t->burn, i)->name;
		now = find_counts(s, name);
		old = find_counts(from_zero ? NULL : last, name);
		if (!all_at_least(now, old))
			continue;
		diff = subtract_counts(*now, old);
		add_counts(&t->sums[i], &diff);
	}
}

static void
end_round(struct totals *t, int64_t wall_ms)
{
	struct dh_burn_point p = { .wall_ms = wall_ms };
	guint i;

	for (i = 0; i < t->burn->services->len; i++) {
		p.counts = t->sums[i];
		g_array_append_val(service_at(t->burn, i)->points, p);
	}
	t->burn->rounds++;
	t->previous_round_ms = wall_ms;
}

static gint
sample_cmp(gconstpointer a, gconstpointer b)
{
	const struct dh_sample *x = *(const struct dh_sample *const *)a;
	const struct dh_sample *y = *(const struct dh_sample *const *)b;

	if (x->wall_ms != y->wall_ms)
		return x->wall_ms < y->wall_ms ? -1 : 1;
	return strcmp(x->vm, y->vm);
}

static void
sum_rounds(struct dh_burn *b, const GPtrArray *samples)
{
	struct totals t = { .burn = b };
	const struct dh_sample *s, *next;
	guint i;

	t.last = g_hash_table_new(g_str_hash, g_str_equal);
	t.sums = g_new0(struct dh_sample_counts, b->services->len + 1);
	for (i = 0; i < samples->len; i++) {
		s = samples->pdata[i];
		g_assert(s != NULL);
		add_sample(&t, s);
		b->vms++;
		next = i + 1 < samples->len ? samples->pdata[i + 1] : NULL;
		if (next != NULL && next->wall_ms == s->wall_ms)
			continue;
		end_round(&t, s->wall_ms);
		if (next != NULL)
			b->vms = 0;
	}
	g_hash_table_unref(t.last);
	g_free(t.sums);
}

static void
fill_window(struct dh_burn_service *sv, enum dh_burn_window_kind kind)
{
	struct dh_burn_window *w = &sv->windows[kind];
	const struct dh_burn_point *last, *first;
	guint i = sv->points->len - 1;
	int64_t start_ms;

	last = &g_array_index(sv->points, struct dh_burn_point, i);
	start_ms = last->wall_ms - windows[kind].length_ms;
	for (;; i--) {
		first = &g_array_index(sv->points, struct dh_burn_point, i);
		if (first->wall_ms <= start_ms || i == 0)
			break;
	}
	w->covered_ms = last->wall_ms - first->wall_ms;
	w->whole = first->wall_ms <= start_ms;
	w->counts = subtract_counts(last->counts, &first->counts);
	w->rate = dh_burn_rate(sv->objective_ppm, &w->counts);
}

static void
fill_service(struct dh_burn_service *sv)
{
	size_t i;
	int kind;

	sv->budget_left = 1;
	if (sv->points->len == 0)
		return;
	for (kind = 0; kind < DH_BURN_WINDOWS; kind++)
		fill_window(sv, (enum dh_burn_window_kind)kind);
	sv->budget_left = 1 - sv->windows[DH_BURN_30D].rate;
	for (i = 0; i < G_N_ELEMENTS(rules); i++)
		if (sv->windows[rules[i].long_window].rate > rules[i].rate &&
		    sv->windows[rules[i].short_window].rate > rules[i].rate)
			sv->alert = MAX(sv->alert, rules[i].alert);
}

static void
service_clear(gpointer p)
{
	struct dh_burn_service *sv = p;

	g_array_unref(sv->points);
}

static void
add_services(struct dh_burn *b, const struct dh_conf *conf)
{
	struct dh_burn_service sv = { 0 };
	size_t i;

	for (i = 0; i < conf->nservices; i++) {
		const struct dh_service *from = &conf->services[i];

		memcpy(sv.name, from->name, sizeof(sv.name));
		memcpy(sv.team, from->team, sizeof(sv.team));
		sv.objective_ppm = from->objective_ppm;
		sv.objective_latency_ms = from->objective_latency_ms;
		sv.points =
		    g_array_new(FALSE, FALSE, sizeof(struct dh_burn_point));
		g_array_append_val(b->services, sv);
	}
}

struct dh_burn *
dh_burn_new(const struct dh_conf *conf, const GPtrArray *samples)
{
	struct dh_burn *b = g_new0(struct dh_burn, 1);
	g_autoptr(GPtrArray) sorted = g_ptr_array_new();
	guint i;

	b->services = g_array_new(FALSE, TRUE, sizeof(struct dh_burn_service));
	g_array_set_clear_func(b->services, service_clear);
	add_services(b, conf);
	for (i = 0; i < samples->len; i++)
		g_ptr_array_add(sorted, samples->pdata[i]);
	g_ptr_array_sort(sorted, sample_cmp);
	sum_rounds(b, sorted);
	if (sorted->len > 0) {
		b->from_ms = ((struct dh_sample *)sorted->pdata[0])->wall_ms;
		b->to_ms = ((struct dh_sample *)sorted->pdata[sorted->len - 1])
			       ->wall_ms;
	}
	for (i = 0; i < b->services->len; i++)
		fill_service(service_at(b, i));
	return b;
}

void
dh_burn_free(struct dh_burn *b)
{
	if (b == NULL)
		return;
	g_array_unref(b->services);
	g_free(b);
}

enum dh_burn_alert
dh_burn_worst(const struct dh_burn *b)
{
	enum dh_burn_alert worst = DH_BURN_NONE;
	guint i;

	for (i = 0; i < b->services->len; i++)
		worst = MAX(worst, service_at(b, i)->alert);
	return worst;
}

static void
text_service(GString *out, const struct dh_burn_service *sv)
{
	const struct dh_burn_window *w;
	int kind;

	g_string_append_printf(out,
	    "%s (team %s): %.4f %% good within %" G_GINT64_FORMAT
	    " ms; budget left %.1f %%; alert %s\n",
	    sv->name, sv->team, sv->objective_ppm / 10000.0,
	    sv->objective_latency_ms, sv->budget_left * 100,
	    dh_burn_alert_name(sv->alert));
	if (sv->windows[DH_BURN_30D].counts.total == 0) {
		g_string_append(out, "  no requests counted\n");
		return;
	}
	for (kind = 0; kind < DH_BURN_WINDOWS; kind++) {
		w = &sv->windows[kind];
		g_string_append_printf(out,
		    "  %-5s burn %8.2f  requests %" G_GUINT64_FORMAT
		    "  not good %" G_GUINT64_FORMAT
		    "  not run %" G_GUINT64_FORMAT
		    "  unknown %" G_GUINT64_FORMAT,
		    windows[kind].name, w->rate, w->counts.total,
		    w->counts.total - MIN(w->counts.good, w->counts.total),
		    w->counts.not_run, w->counts.unknown);
		if (!w->whole)
			g_string_append_printf(out,
			    "  (covers %" G_GINT64_FORMAT " s)",
			    w->covered_ms / 1000);
		g_string_append_c(out, '\n');
	}
}

char *
dh_burn_text(const struct dh_burn *b)
{
	GString *out = g_string_new(NULL);
	guint i;

	g_string_append_printf(out,
	    "%u rounds of samples over %" G_GINT64_FORMAT
	    " s, %u VMs in the last, %u restarts\n",
	    b->rounds, (b->to_ms - b->from_ms) / 1000, b->vms, b->restarts);
	for (i = 0; i < b->services->len; i++)
		text_service(out, service_at(b, i));
	return g_string_free(out, FALSE);
}

static void
put_number(struct json_object *o, const char *name, uint64_t value)
{
	json_object_object_add(o, name, json_object_new_uint64(value));
}

static struct json_object *
window_json(const struct dh_burn_window *w)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "rate", json_object_new_double(w->rate));
	json_object_object_add(o, "whole", json_object_new_boolean(w->whole));
	put_number(o, "covered_ms", (uint64_t)w->covered_ms);
	put_number(o, "total", w->counts.total);
	put_number(o, "good", w->counts.good);
	put_number(o, "done", w->counts.done);
	put_number(o, "not_run", w->counts.not_run);
	put_number(o, "unknown", w->counts.unknown);
	return o;
}

static struct json_object *
service_json(const struct dh_burn_service *sv)
{
	struct json_object *o = json_object_new_object();
	struct json_object *all = json_object_new_object();
	int kind;

	json_object_object_add(o, "name", json_object_new_string(sv->name));
	json_object_object_add(o, "team", json_object_new_string(sv->team));
	put_number(o, "objective_ppm", sv->objective_ppm);
	put_number(
	    o, "objective_latency_ms", (uint64_t)sv->objective_latency_ms);
	json_object_object_add(
	    o, "budget_left", json_object_new_double(sv->budget_left));
	json_object_object_add(
	    o, "alert", json_object_new_string(dh_burn_alert_name(sv->alert)));
	for (kind = 0; kind < DH_BURN_WINDOWS; kind++)
		json_object_object_add(
		    all, windows[kind].name, window_json(&sv->windows[kind]));
	json_object_object_add(o, "windows", all);
	return o;
}

char *
dh_burn_json(const struct dh_burn *b)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	char *text;
	guint i;

	put_number(root, "from_ms", (uint64_t)b->from_ms);
	put_number(root, "to_ms", (uint64_t)b->to_ms);
	put_number(root, "rounds", b->rounds);
	put_number(root, "vms", b->vms);
	put_number(root, "restarts", b->restarts);
	for (i = 0; i < b->services->len; i++)
		json_object_array_add(list, service_json(service_at(b, i)));
	json_object_object_add(root, "services", list);
	text = g_strdup(
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return text;
}
