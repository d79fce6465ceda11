#include <dogwoodhub/merge.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/*
 * The three tables are walked at once, key by key; each step has the row of
 * that key in each of them, or none.
 */
struct step {
	const struct dh_merge_input *in;
	struct dh_merge_result *out;
	const struct dh_merge_row *base;
	const struct dh_merge_row *ours;
	const char *key;
	uint32_t line; /* first row of the sheet, 0: none */
	const char *sheet[DH_MERGE_COLUMNS_MAX]; /* its rows as one */
	uint32_t lines[DH_MERGE_COLUMNS_MAX]; /* the row that says so */
};

static bool
same(const char *a, const char *b)
{
	if (a == NULL || b == NULL)
		return a == b;
	return strcmp(a, b) == 0;
}

static const char *
value(const struct dh_merge_row *row, uint32_t column)
{
	return row == NULL ? NULL : row->values[column];
}

static bool
conflict(struct step *s, enum dh_merge_conflict_kind kind, uint32_t line,
    uint32_t other, uint32_t column, const char *ours, const char *sheet)
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
		.other = other,
		.column = column,
		.ours = ours,
		.sheet = sheet,
	};
	return true;
}

/* One column of the sheet's rows for this key. */
static bool
fold_column(
    struct step *s, const struct dh_merge_row *rows, size_t n, uint32_t c)
{
	const char *base = value(s->base, c), *v;
	size_t i;

	s->sheet[c] = base;
	s->lines[c] = 0;
	if ((s->in->present >> c & 1) == 0)
		return true;
	for (i = 0; i < n; i++) {
		v = rows[i].values[c];
		if (same(v, base))
			continue;
		if (s->lines[c] != 0 && !same(v, s->sheet[c]) &&
		    !conflict(s, DH_MERGE_TWO_ROWS, s->lines[c], rows[i].line,
			c, s->sheet[c], v))
			return false;
		s->sheet[c] = v;
		s->lines[c] = rows[i].line;
	}
	s->out->edits += s->lines[c] != 0;
	return true;
}

static bool
fold(struct step *s, const struct dh_merge_row *rows, size_t n)
{
	uint32_t c;

	s->line = n == 0 ? 0 : rows[0].line;
	for (c = 0; n > 0 && c < s->in->ncolumns; c++)
		if (!fold_column(s, rows, n, c))
			return false;
	return true;
}

static bool
row_same(const struct step *s, const struct dh_merge_row *a,
    const struct dh_merge_row *b)
{
	uint32_t c;

	for (c = 0; c < s->in->ncolumns; c++)
		if (!same(value(a, c), value(b, c)))
			return false;
	return true;
}

/* Room for the values of one more row of the result. */
static const char **
emit(struct step *s)
{
	struct dh_merge_result *r = s->out;
	const char **values = r->values + r->n * s->in->ncolumns;

	r->rows[r->n++] = (struct dh_merge_row){ s->key, values, s->line };
	return values;
}

static void
emit_ours(struct step *s)
{
	memcpy(emit(s), s->ours->values,
	    s->in->ncolumns * sizeof(s->ours->values[0]));
}

static void
emit_sheet(struct step *s)
{
	memcpy(emit(s), s->sheet, s->in->ncolumns * sizeof(s->sheet[0]));
	s->out->added++;
}

static bool
merge_settings(struct step *s)
{
	const char **values = emit(s);
	const char *ours, *sheet;
	uint32_t c;

	for (c = 0; c < s->in->ncolumns; c++) {
		ours = s->ours->values[c];
		sheet = s->sheet[c];
		values[c] = ours;
		if (s->lines[c] == 0 || same(ours, sheet))
			continue;
		values[c] = sheet;
		s->out->changed++;
		if (!same(ours, value(s->base, c)) &&
		    !conflict(s, DH_MERGE_BOTH_CHANGED, s->lines[c], 0, c, ours,
			sheet))
			return false;
	}
	return true;
}

/* In the sheet, not in force. */
static bool
merge_absent(struct step *s)
{
	uint32_t c, n = s->in->ncolumns;

	if (s->base == NULL) {
		emit_sheet(s);
		s->out->edits++;
		return true;
	}
	for (c = 0; c < n; c++)
		if (s->lines[c] != 0)
			break;
	if (c == n)
		return conflict(
		    s, DH_MERGE_STAYS_DELETED, s->line, 0, n, NULL, NULL);
	emit_sheet(s);
	return conflict(s, DH_MERGE_DECLARED_AGAIN, s->line, 0, n, NULL, NULL);
}

/* In force, not in the sheet. */
static bool
merge_missing(struct step *s)
{
	bool exported = s->base != NULL;

	if (exported && s->in->complete) {
		s->out->edits++;
		if (row_same(s, s->base, s->ours)) {
			s->out->deleted++;
			return true;
		}
		emit_ours(s);
		return conflict(
		    s, DH_MERGE_NOT_DELETED, 0, 0, s->in->ncolumns, NULL, NULL);
	}
	s->out->missing += exported;
	emit_ours(s);
	return true;
}

static bool
merge_key(struct step *s)
{
	if (s->line == 0)
		return s->ours == NULL || merge_missing(s);
	if (s->ours == NULL)
		return merge_absent(s);
	return merge_settings(s);
}

/* The lowest key at the heads of the tables, NULL at their ends. */
static const char *
lowest(const struct dh_merge_table *t, const size_t *at)
{
	const char *key = NULL;
	size_t i;

	for (i = 0; i < 3; i++)
		if (at[i] < t[i].n &&
		    (key == NULL || strcmp(t[i].rows[at[i]].key, key) < 0))
			key = t[i].rows[at[i]].key;
	return key;
}

/* The rows of this key at the head of a table; moves past them. */
static size_t
take(const struct dh_merge_table *t, size_t *at, const char *key,
    const struct dh_merge_row **rows)
{
	size_t start = *at;

	while (*at < t->n && strcmp(t->rows[*at].key, key) == 0)
		(*at)++;
	*rows = *at > start ? &t->rows[start] : NULL;
	return *at - start;
}

static bool
reserve(const struct dh_merge_input *in, struct dh_merge_result *out)
{
	size_t n = in->ours.n + in->sheet.n;

	*out = (struct dh_merge_result){ 0 };
	out->rows = calloc(n + 1, sizeof(out->rows[0]));
	out->values = calloc(n * in->ncolumns + 1, sizeof(out->values[0]));
	return out->rows != NULL && out->values != NULL;
}

bool
dh_merge(const struct dh_merge_input *in, struct dh_merge_result *out)
{
	const struct dh_merge_table tables[3] = { in->base, in->ours,
		in->sheet };
	struct step s = { .in = in, .out = out };
	const struct dh_merge_row *rows;
	size_t at[3] = { 0 }, n;

	assert(in->ncolumns <= DH_MERGE_COLUMNS_MAX);
	if (!reserve(in, out))
		return false;
	while ((s.key = lowest(tables, at)) != NULL) {
		n = take(&tables[0], &at[0], s.key, &s.base);
		assert(n <= 1);
		n = take(&tables[1], &at[1], s.key, &s.ours);
		assert(n <= 1);
		n = take(&tables[2], &at[2], s.key, &rows);
		if (!fold(&s, rows, n) || !merge_key(&s))
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
