#include "config/plan.h"

#include <string.h>

#include <dogwoodhub/merge.h>

#define APPLIED_KEPT 16u
#define OBJECT_MAX (1u << 20)

G_STATIC_ASSERT(DH_COLUMNS <= DH_MERGE_COLUMNS_MAX);

/* A team's declarations as a table to merge; the table owns the keys. */
struct keyed {
	GStringChunk *keys;
	GArray *rows; /* struct dh_merge_row */
};

static struct keyed
keyed_new(const struct dh_team *t)
{
	struct keyed k = { g_string_chunk_new(1u << 16),
		g_array_new(FALSE, FALSE, sizeof(struct dh_merge_row)) };
	const struct dh_declaration *d;
	struct dh_merge_row row = { 0 };
	guint i;

	for (i = 0; i < t->declarations->len; i++) {
		g_autofree char *key = NULL;

		d = &g_array_index(t->declarations, struct dh_declaration, i);
		key = dh_sheet_key(d->kind, d->name);
		row.key = g_string_chunk_insert(k.keys, key);
		row.values = d->values;
		g_array_append_val(k.rows, row);
	}
	return k;
}

static void
keyed_clear(struct keyed *k)
{
	g_string_chunk_free(k->keys);
	g_array_unref(k->rows);
}

static struct dh_merge_table
table_of(const GArray *rows)
{
	return (struct dh_merge_table){ (const struct dh_merge_row *)rows->data,
		rows->len };
}

static GArray *
sheet_rows(const struct dh_sheet *sheet, const struct dh_sheet_team *st)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct dh_merge_row));
	const struct dh_sheet_row *from;
	struct dh_merge_row row;
	guint i;

	for (i = st->first; i < st->first + st->n; i++) {
		from = &g_array_index(sheet->rows, struct dh_sheet_row, i);
		row = (struct dh_merge_row){ from->key, from->values,
			from->line };
		g_array_append_val(rows, row);
	}
	return rows;
}

static enum dh_kind
key_kind(const char *key)
{
	return (enum dh_kind)(key[0] - '0');
}

static const char *
shown(const char *value)
{
	return value == NULL ? "(not set)" : value;
}

static void
note_conflict(GPtrArray *notes, const struct dh_sheet *sheet, const char *team,
    const struct dh_merge_conflict *c)
{
	const char *kind = dh_kind_name(key_kind(c->key));
	const char *name = c->key + 1;
	unsigned int column = sheet->name_column;
	const char *setting = "";

	if (c->column < DH_COLUMNS) {
		column = sheet->columns[c->column];
		setting = dh_column_field((enum dh_column)c->column)->name;
	}
	switch (c->kind) {
	case DH_MERGE_BOTH_CHANGED:
		dh_note_add(notes, DH_NOTE_CONFLICT, team, c->line, column,
		    "%s %s: %s: also changed since the export, to %s; the "
		    "sheet's %s holds",
		    kind, name, setting, shown(c->overridden),
		    shown(c->winning));
		return;
	case DH_MERGE_ROWS_DIFFER:
		dh_note_add(notes, DH_NOTE_CONFLICT, team, c->line, column,
		    "%s %s: %s: %s here, %s in row %u, which holds", kind, name,
		    setting, shown(c->overridden), shown(c->winning),
		    c->winning_line);
		return;
	case DH_MERGE_READDED:
		dh_note_add(notes, DH_NOTE_CONFLICT, team, c->line, column,
		    "%s %s: deleted since the export; the row changed it, so "
		    "it is declared again",
		    kind, name);
		return;
	case DH_MERGE_STAYS_DELETED:
		dh_note_add(notes, DH_NOTE_CONFLICT, team, c->line, column,
		    "%s %s: deleted since the export; the row changed "
		    "nothing, so it stays deleted",
		    kind, name);
		return;
	case DH_MERGE_NOT_DELETED:
		dh_note_add(notes, DH_NOTE_CONFLICT, team, 0, 0,
		    "%s %s: missing from the complete sheet, but changed "
		    "since the export; kept",
		    kind, name);
		return;
	}
}

/* The first row of the sheet with this key; NULL if there is none. */
static const struct dh_sheet_row *
row_find(const struct dh_sheet *sheet, guint team, const char *key)
{
	const struct dh_sheet_team *st =
	    &g_array_index(sheet->teams, struct dh_sheet_team, team);
	const struct dh_sheet_row *row;
	guint low = st->first, high = st->first + st->n, middle;

	while (low < high) {
		middle = low + (high - low) / 2;
		row = &g_array_index(sheet->rows, struct dh_sheet_row, middle);
		if (strcmp(row->key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == st->first + st->n)
		return NULL;
	row = &g_array_index(sheet->rows, struct dh_sheet_row, low);
	return strcmp(row->key, key) == 0 ? row : NULL;
}

static void
note_problem(GPtrArray *notes, const struct dh_sheet *sheet, guint team,
    const struct dh_problem *p)
{
	const struct dh_sheet_team *st =
	    &g_array_index(sheet->teams, struct dh_sheet_team, team);
	g_autofree char *key = dh_sheet_key(p->kind, p->name);
	const struct dh_sheet_row *row = row_find(sheet, team, key);
	g_autoptr(GString) text = g_string_new(NULL);
	unsigned int column = sheet->name_column;

	dh_problem_print(text, p);
	g_string_truncate(text, text->len - 1);
	if (p->column < DH_COLUMNS && sheet->columns[p->column] > 0)
		column = sheet->columns[p->column];
	dh_note_add(notes, DH_NOTE_BAD, st->name, row == NULL ? 0 : row->line,
	    row == NULL ? 0 : column, "%s", text->str);
}

static void
add_declarations(struct dh_team *t, const struct dh_merge_result *r,
    const struct dh_team *ours, int64_t now_ms)
{
	const struct dh_declaration *old;
	struct dh_declaration d = { 0 };
	size_t i;

	for (i = 0; i < r->n; i++) {
		d.kind = key_kind(r->rows[i].key);
		d.name = r->rows[i].key + 1;
		old = dh_team_find(ours, d.kind, d.name);
		d.since_ms = old == NULL ? now_ms : old->since_ms;
		memcpy(d.values, r->rows[i].values, sizeof(d.values));
		dh_team_add(t, &d);
	}
	dh_team_sort(t);
}

static void
copy_applied(struct dh_team *t, const struct dh_team *ours, const char *id)
{
	guint i = 0, n = ours->applied->len;

	if (n >= APPLIED_KEPT)
		i = n - APPLIED_KEPT + 1;
	for (; i < n; i++)
		g_ptr_array_add(t->applied,
		    g_string_chunk_insert_const(
			t->texts, ours->applied->pdata[i]));
	if (id != NULL)
		g_ptr_array_add(
		    t->applied, g_string_chunk_insert_const(t->texts, id));
}

static bool
applied_before(const struct dh_team *ours, const char *id)
{
	guint i;

	for (i = 0; i < ours->applied->len; i++)
		if (strcmp(ours->applied->pdata[i], id) == 0)
			return true;
	return false;
}

static bool
check_merged(const struct dh_plan *plan, const struct dh_sheet *sheet, guint i,
    const struct dh_team *ours, GPtrArray *notes)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	g_autofree char *text = NULL;
	bool ok;
	guint j;

	ok = dh_team_check(plan->merged, problems) &&
	    dh_team_check_change(ours, plan->merged, problems);
	for (j = 0; j < problems->len; j++)
		note_problem(notes, sheet, i, g_ptr_array_index(problems, j));
	if (!ok)
		return false;
	text = dh_team_print(plan->merged);
	if (strlen(text) <= OBJECT_MAX)
		return true;
	dh_note_add(notes, DH_NOTE_BAD, plan->merged->name, 0, 0,
	    "the team's object has %zu bytes, more than %u", strlen(text),
	    OBJECT_MAX);
	return false;
}

static void
plan_merged(struct dh_plan *plan, const struct dh_sheet *sheet, guint i,
    const struct dh_merge_result *r, const struct dh_team *ours, int64_t now_ms,
    GPtrArray *notes)
{
	const struct dh_sheet_team *st =
	    &g_array_index(sheet->teams, struct dh_sheet_team, i);
	size_t j;

	plan->added = r->added;
	plan->deleted = r->deleted;
	plan->changed = r->changed;
	plan->missing = r->missing;
	plan->write = r->edits > 0;
	plan->merged = dh_team_new(st->name, ours->version);
	add_declarations(plan->merged, r, ours, now_ms);
	copy_applied(plan->merged, ours, plan->write ? sheet->id : NULL);
	for (j = 0; j < r->nconflicts; j++)
		note_conflict(notes, sheet, st->name, &r->conflicts[j]);
	if (r->missing > 0)
		dh_note_add(notes, DH_NOTE_INFO, st->name, 0, 0,
		    "%u declarations that the sheet lacks are kept: its "
		    "first line does not say \"complete\"",
		    r->missing);
	if (!check_merged(plan, sheet, i, ours, notes))
		g_clear_pointer(&plan->merged, dh_team_free);
}

void
dh_plan_team(struct dh_plan *plan, const struct dh_sheet *sheet, guint i,
    const struct dh_team *base, const struct dh_team *ours, int64_t now_ms,
    GPtrArray *notes)
{
	const struct dh_sheet_team *st =
	    &g_array_index(sheet->teams, struct dh_sheet_team, i);
	struct dh_merge_input in = { .ncolumns = DH_COLUMNS,
		.columns_present = sheet->present,
		.complete = sheet->complete };
	struct dh_merge_result r;
	struct keyed old, now;
	GArray *rows;

	*plan = (struct dh_plan){ 0 };
	if (applied_before(ours, sheet->id)) {
		plan->already = true;
		dh_note_add(notes, DH_NOTE_INFO, st->name, 0, 0,
		    "this sheet was applied before");
		return;
	}
	old = keyed_new(base);
	now = keyed_new(ours);
	rows = sheet_rows(sheet, st);
	in.base = table_of(old.rows);
	in.current = table_of(now.rows);
	in.sheet = table_of(rows);
	if (!dh_merge(&in, &r))
		g_error("no memory for the merge");
	plan_merged(plan, sheet, i, &r, ours, now_ms, notes);
	dh_merge_result_clear(&r);
	keyed_clear(&old);
	keyed_clear(&now);
	g_array_unref(rows);
}

void
dh_plan_clear(struct dh_plan *plan)
{
	dh_team_free(plan->merged);
	*plan = (struct dh_plan){ 0 };
}

/* The first team found for each key.  A second team with the same key is a
 * duplicate. */
struct names {
	const struct dh_sheet *sheet;
	GHashTable *holders; /* key -> struct dh_team */
	GPtrArray *notes;
};

static guint
sheet_team(const struct dh_sheet *sheet, const char *name)
{
	guint i;

	for (i = 0; i < sheet->teams->len; i++)
		if (strcmp(g_array_index(sheet->teams, struct dh_sheet_team, i)
			       .name,
			name) == 0)
			return i;
	return G_MAXUINT;
}

static void
note_name(struct names *names, const struct dh_team *t,
    const struct dh_team *other, const char *key)
{
	guint i = sheet_team(names->sheet, t->name);
	const struct dh_sheet_row *row;

	if (i == G_MAXUINT)
		return;
	row = row_find(names->sheet, i, key);
	if (row == NULL)
		return;
	dh_note_add(names->notes, DH_NOTE_BAD, t->name, row->line,
	    names->sheet->name_column, "%s %s: team %s has it too",
	    dh_kind_name(key_kind(key)), key + 1, other->name);
}

static void
check_name(struct names *names, const struct dh_team *t,
    const struct dh_declaration *d)
{
	g_autofree char *key = dh_sheet_key(d->kind, d->name);
	const struct dh_team *other = g_hash_table_lookup(names->holders, key);

	if (other == NULL) {
		g_hash_table_insert(
		    names->holders, g_steal_pointer(&key), (gpointer)t);
		return;
	}
	note_name(names, t, other, key);
	note_name(names, other, t, key);
}

void
dh_plan_check_names(const struct dh_sheet *sheet,
    const struct dh_team *const *teams, size_t n, GPtrArray *notes)
{
	struct names names = { .sheet = sheet, .notes = notes };
	const struct dh_declaration *d;
	size_t i;
	guint j;

	names.holders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < n; i++)
		for (j = 0; j < teams[i]->declarations->len; j++) {
			d = &g_array_index(
			    teams[i]->declarations, struct dh_declaration, j);
			if (d->kind != DH_KIND_PIN)
				check_name(&names, teams[i], d);
		}
	g_hash_table_unref(names.holders);
}
