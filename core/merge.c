#include <dogwoodhub/merge.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/*
 * The three tables are traversed in parallel, key by key.  A step of the merge
 * has the rows with the current key; base and current are NULL if the table has
 * no such row.
 */
struct step {
	const struct dh_merge_input *in;
	struct dh_merge_result *out;
	const struct dh_merge_row *base;
	const struct dh_merge_row *current;
	const char *key;
	/* Line of the first row of the sheet with this key, or 0 if none. */
	uint32_t line;
	/* The combined rows of the sheet, and for each column the line of the
	 * row that changed the setting, or 0 if none did. */
	const char *sheet[DH_MERGE_COLUMNS_MAX];
	uint32_t lines[DH_MERGE_COLUMNS_MAX];
};

static bool
texts_equal(const char *a, const char *b)
{
	if (a == NULL || b == NULL)
		return a == b;
	return strcmp(a, b) == 0;
}

static const char *
get_value(const struct dh_merge_row *row, uint32_t column)
{
	return row == NULL ? NULL : row->values[column];
}

static bool
add_conflict(struct step *s, enum dh_merge_conflict_kind kind, uint32_t line,
    uint32_t other, uint32_t column, const char *overridden, const char *sheet)
{
	struct dh_merge_result *r = s->out;
	struct dh_merge_conflict *list;
	size_t size;

	if (r->nconflicts == r->size) {
		size = r->size == 0 ? 16 : r->size * 2;
		list = realloc(r->conflicts, size * sizeof(*list));
		if (list == NULL)
			return false;
		r->conflicts = list;
		r->size = size;
	}
	r->conflicts[r->nconflicts++] = (struct dh_merge_conflict){
		.kind = kind,
		.key = s->key,
		.line = line,
		.winning_line = other,
		.column = column,
		.overridden = overridden,
		.winning = sheet,
	};
	return true;
}

/* Combines one column of the n rows of the sheet that have this key. */
static bool
combine_column(
    struct step *s, const struct dh_merge_row *rows, size_t n, uint32_t c)
{
	const char *base = get_value(s->base, c), *v;
	size_t i;

	s->sheet[c] = base;
	s->lines[c] = 0;
	if ((s->in->columns_present >> c & 1) == 0)
		return true;
	for (i = 0; i < n; i++) {
		v = rows[i].values[c];
		if (texts_equal(v, base))
			continue;
		if (s->lines[c] != 0 && !texts_equal(v, s->sheet[c]) &&
		    !add_conflict(s, DH_MERGE_ROWS_DIFFER, s->lines[c],
			rows[i].line, c, s->sheet[c], v))
			return false;
		s->sheet[c] = v;
		s->lines[c] = rows[i].line;
	}
	s->out->edits += s->lines[c] != 0;
	return true;
}

static bool
combine_rows(struct step *s, const struct dh_merge_row *rows, size_t n)
{
	uint32_t c;

	s->line = n == 0 ? 0 : rows[0].line;
	for (c = 0; n > 0 && c < s->in->ncolumns; c++)
		if (!combine_column(s, rows, n, c))
			return false;
	return true;
}

static bool
rows_equal(const struct step *s, const struct dh_merge_row *a,
    const struct dh_merge_row *b)
{
	uint32_t c;

	for (c = 0; c < s->in->ncolumns; c++)
		if (!texts_equal(get_value(a, c), get_value(b, c)))
			return false;
	return true;
}

/* Appends a row to the result and returns its values, to be filled in. */
static const char **
append_row(struct step *s)
{
	struct dh_merge_result *r = s->out;
	const char **values = r->values + r->n * s->in->ncolumns;

	r->rows[r->n++] = (struct dh_merge_row){ s->key, values, s->line };
	return values;
}

static void
append_current(struct step *s)
{
	memcpy(append_row(s), s->current->values,
	    s->in->ncolumns * sizeof(s->current->values[0]));
}

static void
append_from_sheet(struct step *s)
{
	memcpy(append_row(s), s->sheet, s->in->ncolumns * sizeof(s->sheet[0]));
	s->out->added++;
}

static bool
merge_settings(struct step *s)
{
	const char **values = append_row(s);
	const char *current, *sheet;
	uint32_t c;

	for (c = 0; c < s->in->ncolumns; c++) {
		current = s->current->values[c];
		sheet = s->sheet[c];
		values[c] = current;
		if (s->lines[c] == 0 || texts_equal(current, sheet))
			continue;
		values[c] = sheet;
		s->out->changed++;
		if (!texts_equal(current, get_value(s->base, c)) &&
		    !add_conflict(s, DH_MERGE_BOTH_CHANGED, s->lines[c], 0, c,
			current, sheet))
			return false;
	}
	return true;
}

/* Handles a key that the sheet has and the current configuration lacks. */
static bool
merge_only_in_sheet(struct step *s)
{
	uint32_t c, n = s->in->ncolumns;

	if (s->base == NULL) {
		append_from_sheet(s);
		s->out->edits++;
		return true;
	}
	for (c = 0; c < n; c++)
		if (s->lines[c] != 0)
			break;
	if (c == n)
		return add_conflict(
		    s, DH_MERGE_STAYS_DELETED, s->line, 0, n, NULL, NULL);
	append_from_sheet(s);
	return add_conflict(s, DH_MERGE_READDED, s->line, 0, n, NULL, NULL);
}

/* Handles a key that the current configuration has and the sheet lacks. */
static bool
merge_only_current(struct step *s)
{
	bool exported = s->base != NULL;

	if (exported && s->in->complete) {
		s->out->edits++;
		if (rows_equal(s, s->base, s->current)) {
			s->out->deleted++;
			return true;
		}
		append_current(s);
		return add_conflict(
		    s, DH_MERGE_NOT_DELETED, 0, 0, s->in->ncolumns, NULL, NULL);
	}
	s->out->missing += exported;
	append_current(s);
	return true;
}

static bool
merge_key(struct step *s)
{
	if (s->line == 0)
		return s->current == NULL || merge_only_current(s);
	if (s->current == NULL)
		return merge_only_in_sheet(s);
	return merge_settings(s);
}

/* Returns the lowest key at the current positions in the three tables, or NULL
 * at the end of all. */
static const char *
lowest_key(const struct dh_merge_table *t, const size_t *at)
{
	const char *key = NULL;
	size_t i;

	for (i = 0; i < 3; i++)
		if (at[i] < t[i].n &&
		    (key == NULL || strcmp(t[i].rows[at[i]].key, key) < 0))
			key = t[i].rows[at[i]].key;
	return key;
}

/* Sets *rows to the rows with the key at position *at of the table, advances
 * *at past them, and returns their number. */
static size_t
take_rows(const struct dh_merge_table *t, size_t *at, const char *key,
    const struct dh_merge_row **rows)
{
	size_t start = *at;

	while (*at < t->n && strcmp(t->rows[*at].key, key) == 0)
		(*at)++;
	*rows = *at > start ? &t->rows[start] : NULL;
	return *at - start;
}

static bool
allocate_result(const struct dh_merge_input *in, struct dh_merge_result *out)
{
	size_t n = in->current.n + in->sheet.n;

	*out = (struct dh_merge_result){ 0 };
	out->rows = calloc(n + 1, sizeof(out->rows[0]));
	out->values = calloc(n * in->ncolumns + 1, sizeof(out->values[0]));
	return out->rows != NULL && out->values != NULL;
}

bool
dh_merge(const struct dh_merge_input *in, struct dh_merge_result *out)
{
	const struct dh_merge_table tables[3] = { in->base, in->current,
		in->sheet };
	struct step s = { .in = in, .out = out };
	const struct dh_merge_row *rows;
	size_t at[3] = { 0 }, n;

	assert(in->ncolumns <= DH_MERGE_COLUMNS_MAX);
	if (!allocate_result(in, out))
		return false;
	while ((s.key = lowest_key(tables, at)) != NULL) {
		n = take_rows(&tables[0], &at[0], s.key, &s.base);
		assert(n <= 1);
		n = take_rows(&tables[1], &at[1], s.key, &s.current);
		assert(n <= 1);
		n = take_rows(&tables[2], &at[2], s.key, &rows);
		if (!combine_rows(&s, rows, n) || !merge_key(&s))
			return false;
	}
	return true;
}

void
dh_merge_result_clear(struct dh_merge_result *r)
{
	free(r->rows);
	free(r->values);
	free(r->conflicts);
	*r = (struct dh_merge_result){ 0 };
}
