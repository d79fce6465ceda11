#include "config/apply.h"

#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "config/assemble.h"
#include "store/wait.h"

#define PREFIX "teams/"
#define ATTEMPTS_MAX 100u
#define BASE_ATTEMPTS_MAX 5u /* a replica may lag behind the revision */
#define PAUSE_MAX_MS 20

/* State of one dh_apply_sheet() call. */
struct run {
	const struct dh_apply *apply;
	const struct dh_sheet *sheet;
	struct dh_apply_result *result;
	GPtrArray *teams; /* struct dh_team: every team in force */
	GPtrArray *invalid; /* struct dh_note: schema violations */
	GPtrArray *bases; /* struct dh_team, one per team of the sheet */
	struct dh_plan *plans; /* one per team of the sheet */
};

const char *
dh_apply_outcome_name(enum dh_apply_outcome outcome)
{
	static const char *const names[] = { "planned", "accepted", "unchanged",
		"refused", "failed", "unknown" };

	return names[outcome];
}

static void
progress(const struct dh_apply *a, const char *fmt, ...)
{
	g_autofree char *text = NULL;
	va_list ap;

	if (a->progress == NULL)
		return;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	a->progress(a->arg, text);
}

/* A random delay keeps concurrent writers from retrying in step. */
static void
random_pause(void)
{
	uv_sleep((unsigned int)g_random_int_range(0, PAUSE_MAX_MS));
}

static void
team_free(gpointer t)
{
	dh_team_free(t);
}

static struct dh_team *
team_of(const struct dh_object *o, GPtrArray *notes)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	const char *name = o->name + strlen(PREFIX);
	struct dh_team *t =
	    dh_team_parse(name, o->version, o->value, o->len, problems);
	guint i;

	for (i = 0; i < problems->len; i++) {
		g_autoptr(GString) text = g_string_new(NULL);

		dh_problem_print(text, problems->pdata[i]);
		g_string_truncate(text, text->len - 1);
		dh_note_add(notes, DH_NOTE_BAD, name, 0, 0,
		    "version %" G_GUINT64_FORMAT
		    " of its object breaks the schema: %s",
		    o->version, text->str);
	}
	return t;
}

GPtrArray *
dh_apply_teams(const struct dh_apply *a, GPtrArray *notes, GError **error)
{
	g_autoptr(GPtrArray) list = dh_store_wait_list(a->store, PREFIX, error);
	GPtrArray *teams;
	struct dh_team *t;
	guint i;

	if (list == NULL)
		return NULL;
	teams = g_ptr_array_new_with_free_func(team_free);
	for (i = 0; i < list->len; i++) {
		t = team_of(list->pdata[i], notes);
		if (t != NULL)
			g_ptr_array_add(teams, t);
	}
	return teams;
}

static bool
load_teams(struct run *r, GError **error)
{
	g_clear_pointer(&r->teams, g_ptr_array_unref);
	g_ptr_array_set_size(r->invalid, 0);
	r->teams = dh_apply_teams(r->apply, r->invalid, error);
	return r->teams != NULL;
}

/* The team in force; NULL if its object is missing or invalid. */
static struct dh_team *
in_force(const struct run *r, const char *name)
{
	struct dh_team *t;
	guint i;

	for (i = 0; i < r->teams->len; i++) {
		t = r->teams->pdata[i];
		if (strcmp(t->name, name) == 0)
			return t;
	}
	return NULL;
}

static struct dh_apply_team *
result_of(const struct run *r, guint i)
{
	return &g_array_index(r->result->teams, struct dh_apply_team, i);
}

/* Adds the team at its exported revision to bases.  Returns false with error
 * set if the store can't be read; a missing revision is reported as a note. */
static bool
load_base(struct run *r, guint i, GError **error)
{
	const struct dh_sheet_team *st =
	    &g_array_index(r->sheet->teams, struct dh_sheet_team, i);
	GPtrArray *notes = result_of(r, i)->notes;
	g_autofree char *name = g_strconcat(PREFIX, st->name, NULL);
	g_autoptr(GError) why = NULL;
	struct dh_object *o = NULL;
	unsigned int tries;

	if (st->revision == 0) {
		r->bases->pdata[i] = dh_team_new(st->name, 0);
		return true;
	}
	for (tries = 0; tries < BASE_ATTEMPTS_MAX; tries++) {
		g_clear_error(&why);
		o = dh_store_wait_get(
		    r->apply->store, name, st->revision, &why);
		if (!g_error_matches(why, DH_ERROR, DH_ERROR_NOT_FOUND))
			break;
		random_pause();
	}
	if (o != NULL) {
		r->bases->pdata[i] = team_of(o, notes);
		dh_object_free(o);
		return true;
	}
	if (!g_error_matches(why, DH_ERROR, DH_ERROR_NOT_FOUND)) {
		g_propagate_error(error, g_steal_pointer(&why));
		return false;
	}
	dh_note_add(notes, DH_NOTE_BAD, st->name, 1, 0,
	    "the store has no revision %" G_GUINT64_FORMAT
	    " (any more): export the sheet again",
	    st->revision);
	return true;
}

static void
note_invalid(const struct run *r, struct dh_apply_team *res)
{
	const struct dh_note *n;
	guint i;

	for (i = 0; i < r->invalid->len; i++) {
		n = r->invalid->pdata[i];
		if (strcmp(n->team, res->name) == 0)
			dh_note_add(
			    res->notes, n->kind, n->team, 0, 0, "%s", n->text);
	}
}

static bool
has_bad(const GPtrArray *notes)
{
	const struct dh_note *n;
	guint i;

	for (i = 0; i < notes->len; i++) {
		n = notes->pdata[i];
		if (n->kind == DH_NOTE_BAD)
			return true;
	}
	return false;
}

/* Plans team i against the teams in force and replaces its notes. */
static void
plan(struct run *r, guint i)
{
	struct dh_apply_team *res = result_of(r, i);
	struct dh_team *ours = in_force(r, res->name);
	struct dh_team *none = NULL;
	struct dh_plan *p = &r->plans[i];

	dh_plan_clear(p);
	note_invalid(r, res);
	res->outcome = DH_APPLY_REFUSED;
	if (r->bases->pdata[i] == NULL || has_bad(res->notes))
		return;
	if (ours == NULL)
		ours = none = dh_team_new(res->name, 0);
	dh_plan_team(p, r->sheet, i, r->bases->pdata[i], ours,
	    dh_clock_wall_ms(), res->notes);
	res->version = ours->version;
	res->added = p->added;
	res->deleted = p->deleted;
	res->changed = p->changed;
	res->missing = p->missing;
	if (p->merged != NULL)
		res->outcome = p->write ? DH_APPLY_PLANNED : DH_APPLY_UNCHANGED;
	if (p->already)
		res->outcome = DH_APPLY_UNCHANGED;
	dh_team_free(none);
}

/* All teams as they would be once the plans are written. */
static GPtrArray *
teams_planned(const struct run *r)
{
	GPtrArray *all = g_ptr_array_new();
	struct dh_team *t;
	guint i, j;

	for (i = 0; i < r->result->teams->len; i++)
		if (r->plans[i].merged != NULL)
			g_ptr_array_add(all, r->plans[i].merged);
	for (i = 0; i < r->teams->len; i++) {
		t = r->teams->pdata[i];
		for (j = 0; j < r->result->teams->len; j++)
			if (r->plans[j].merged != NULL &&
			    strcmp(result_of(r, j)->name, t->name) == 0)
				break;
		if (j == r->result->teams->len)
			g_ptr_array_add(all, t);
	}
	return all;
}

/* Refuses team i if another team holds a name that its rows declare. */
static void
check_names(struct run *r, guint i)
{
	g_autoptr(GPtrArray) all = teams_planned(r);
	g_autoptr(GPtrArray) notes = dh_notes_new();
	struct dh_apply_team *res = result_of(r, i);
	const struct dh_note *n;
	guint j;

	dh_plan_check_names(r->sheet, (const struct dh_team *const *)all->pdata,
	    all->len, notes);
	for (j = 0; j < notes->len; j++) {
		n = notes->pdata[j];
		if (strcmp(res->name, n->team) != 0)
			continue;
		dh_note_add(res->notes, n->kind, n->team, n->row, n->column,
		    "%s", n->text);
		res->outcome = DH_APPLY_REFUSED;
	}
}

static bool
any_refused(const struct run *r)
{
	guint i;

	for (i = 0; i < r->result->teams->len; i++)
		if (result_of(r, i)->outcome == DH_APPLY_REFUSED)
			return true;
	return false;
}

/* Another writer updated the object first: plans again on the new version. */
static bool
plan_again(struct run *r, guint i, GError **error)
{
	struct dh_apply_team *res = result_of(r, i);

	random_pause();
	if (!load_teams(r, error))
		return false;
	g_ptr_array_set_size(res->notes, 0);
	plan(r, i);
	check_names(r, i);
	return true;
}

static void
write_failed(struct run *r, guint i, const GError *why)
{
	struct dh_apply_team *res = result_of(r, i);

	res->outcome = DH_APPLY_FAILED;
	if (g_error_matches(why, DH_ERROR, DH_ERROR_TIMEOUT))
		res->outcome = DH_APPLY_UNKNOWN;
	if (g_error_matches(why, DH_ERROR, DH_ERROR_REFUSED))
		res->outcome = DH_APPLY_REFUSED;
	dh_note_add(
	    res->notes, DH_NOTE_BAD, res->name, 0, 0, "%s", why->message);
}

/* Sends one conditional update.  Returns true when the team is finished. */
static bool
write_once(struct run *r, guint i)
{
	struct dh_apply_team *res = result_of(r, i);
	g_autofree char *name = g_strconcat(PREFIX, res->name, NULL);
	g_autofree char *text = dh_team_print(r->plans[i].merged);
	g_autoptr(GError) why = NULL;
	uint64_t version;

	res->attempts++;
	version = dh_store_wait_put(
	    r->apply->store, name, res->version, text, strlen(text), &why);
	if (version > 0) {
		res->version = version;
		res->outcome = DH_APPLY_ACCEPTED;
		return true;
	}
	if (g_error_matches(why, DH_ERROR, DH_ERROR_CONFLICT) &&
	    res->attempts < ATTEMPTS_MAX) {
		g_clear_error(&why);
		if (plan_again(r, i, &why))
			return false;
	}
	write_failed(r, i, why);
	return true;
}

static void
write_team(struct run *r, guint i)
{
	struct dh_apply_team *res = result_of(r, i);

	while (res->outcome == DH_APPLY_PLANNED)
		if (write_once(r, i))
			break;
	progress(r->apply, "team %s: %s, version %" G_GUINT64_FORMAT, res->name,
	    dh_apply_outcome_name(res->outcome), res->version);
}

/*
 * Two teams may have claimed a name concurrently.  Each writer reads all
 * objects after its own write, so at least the later writer sees both claims.
 */
static void
check_left_out(struct run *r)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	g_autoptr(GError) why = NULL;
	const struct dh_problem *p;
	guint i;

	if (!load_teams(r, &why)) {
		dh_note_add(r->result->notes, DH_NOTE_INFO, "", 0, 0,
		    "not checked for names taken meanwhile: %s", why->message);
		return;
	}
	dh_conf_free(dh_assemble((const struct dh_team *const *)r->teams->pdata,
	    r->teams->len, problems));
	for (i = 0; i < problems->len; i++) {
		p = problems->pdata[i];
		dh_note_add(r->result->notes, DH_NOTE_CONFLICT, "", 0, 0,
		    "%s %s: %s", dh_kind_name(p->kind), p->name, p->text);
	}
}

static void
write_all(struct run *r)
{
	uint32_t added = 0;
	guint i;

	for (i = 0; i < r->result->teams->len; i++) {
		write_team(r, i);
		added += result_of(r, i)->added;
	}
	if (added > 0)
		check_left_out(r);
}

static void
note_clear(gpointer p)
{
	struct dh_apply_team *t = p;

	g_ptr_array_unref(t->notes);
}

static void
result_init(struct dh_apply_result *result, const struct dh_sheet *sheet)
{
	const struct dh_sheet_team *st;
	struct dh_apply_team t = { 0 };
	guint i;

	result->notes = dh_notes_new();
	result->teams = g_array_new(FALSE, TRUE, sizeof(struct dh_apply_team));
	g_array_set_clear_func(result->teams, note_clear);
	for (i = 0; i < sheet->teams->len; i++) {
		st = &g_array_index(sheet->teams, struct dh_sheet_team, i);
		(void)g_strlcpy(t.name, st->name, sizeof(t.name));
		t.outcome = DH_APPLY_REFUSED;
		t.notes = dh_notes_new();
		g_array_append_val(result->teams, t);
	}
}

static bool
plan_all(struct run *r, GError **error)
{
	guint i, n = r->result->teams->len;

	if (!load_teams(r, error))
		return false;
	for (i = 0; i < n; i++) {
		progress(r->apply, "planning team %s (%u of %u)",
		    result_of(r, i)->name, i + 1, n);
		if (!load_base(r, i, error))
			return false;
		plan(r, i);
	}
	for (i = 0; i < n; i++)
		check_names(r, i);
	return true;
}

bool
dh_apply_sheet(const struct dh_apply *a, const struct dh_sheet *sheet,
    bool dry_run, struct dh_apply_result *result, GError **error)
{
	struct run r = { .apply = a, .sheet = sheet, .result = result };
	guint i, n = sheet->teams->len;
	bool ok;

	result_init(result, sheet);
	r.invalid = dh_notes_new();
	r.bases = g_ptr_array_new_with_free_func(team_free);
	g_ptr_array_set_size(r.bases, (int)n);
	r.plans = g_new0(struct dh_plan, n);
	ok = plan_all(&r, error);
	if (ok && !dry_run && !any_refused(&r))
		write_all(&r);
	for (i = 0; i < n; i++)
		dh_plan_clear(&r.plans[i]);
	g_free(r.plans);
	g_ptr_array_unref(r.bases);
	g_ptr_array_unref(r.invalid);
	g_clear_pointer(&r.teams, g_ptr_array_unref);
	return ok;
}

void
dh_apply_result_clear(struct dh_apply_result *result)
{
	g_array_unref(result->teams);
	g_ptr_array_unref(result->notes);
}

enum dh_apply_outcome
dh_apply_worst(const struct dh_apply_result *result)
{
	static const enum dh_apply_outcome order[] = { DH_APPLY_UNKNOWN,
		DH_APPLY_FAILED, DH_APPLY_REFUSED, DH_APPLY_ACCEPTED,
		DH_APPLY_PLANNED };
	size_t i;
	guint j;

	for (i = 0; i < G_N_ELEMENTS(order); i++)
		for (j = 0; j < result->teams->len; j++)
			if (g_array_index(
				result->teams, struct dh_apply_team, j)
				.outcome == order[i])
				return order[i];
	return DH_APPLY_UNCHANGED;
}

static struct dh_team *
holder_of(const GPtrArray *teams, const char *backend)
{
	struct dh_declaration *d, *found = NULL;
	struct dh_team *holder = NULL;
	guint i;

	for (i = 0; i < teams->len; i++) {
		d = dh_team_find(
		    teams->pdata[i], DH_KIND_BACKEND_SERVER, backend);
		if (d == NULL ||
		    (found != NULL && found->since_ms <= d->since_ms))
			continue;
		found = d;
		holder = teams->pdata[i];
	}
	return holder;
}

/* Makes one attempt.  Returns 0 with error set; the caller retries on
 * DH_ERROR_CONFLICT. */
static uint64_t
drain_once(
    const struct dh_apply *a, const char *backend, bool drain, GError **error)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	g_autoptr(GPtrArray) teams = dh_apply_teams(a, notes, error);
	g_autofree char *name = NULL;
	g_autofree char *text = NULL;
	struct dh_declaration *d;
	struct dh_team *t;

	if (teams == NULL)
		return 0;
	t = holder_of(teams, backend);
	if (t == NULL) {
		g_set_error(error, DH_ERROR, DH_ERROR_NOT_FOUND,
		    "no team declares the backend server %s", backend);
		return 0;
	}
	d = dh_team_find(t, DH_KIND_BACKEND_SERVER, backend);
	if (dh_declaration_boolean(d, DH_COLUMN_DRAIN) == drain)
		return t->version;
	d->values[DH_COLUMN_DRAIN] = drain ? "true" : NULL;
	name = g_strconcat(PREFIX, t->name, NULL);
	text = dh_team_print(t);
	return dh_store_wait_put(
	    a->store, name, t->version, text, strlen(text), error);
}

uint64_t
dh_apply_drain(
    const struct dh_apply *a, const char *backend, bool drain, GError **error)
{
	unsigned int i;

	for (i = 0; i < ATTEMPTS_MAX; i++) {
		g_autoptr(GError) why = NULL;
		uint64_t version = drain_once(a, backend, drain, &why);

		if (version > 0)
			return version;
		if (!g_error_matches(why, DH_ERROR, DH_ERROR_CONFLICT)) {
			g_propagate_error(error, g_steal_pointer(&why));
			return 0;
		}
		random_pause();
	}
	g_set_error(error, DH_ERROR, DH_ERROR_CONFLICT,
	    "others kept writing: not changed");
	return 0;
}
