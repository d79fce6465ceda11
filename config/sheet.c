#include "config/sheet.h"

#include <stdarg.h>
#include <string.h>

#include <csv.h>
#include <xxhash.h>

#define TEXT_MAX (64u << 20)
#define CELLS_MAX 256u
#define REVISIONS "revisions"
#define COMPLETE "complete"
#define BOM "\xef\xbb\xbf"

/* Content of a column of the sheet. */
enum cell_type { CELL_TEAM, CELL_KIND, CELL_NAME, CELL_SETTING, CELL_NONE };

struct header_column {
	enum cell_type cell_type;
	enum dh_column column;
};

static const char *const cell_type_names[] = { "team", "kind", "name" };

/* State of parsing one sheet. */
struct reader {
	struct dh_sheet *sheet;
	GPtrArray *notes;
	GPtrArray *cells; /* texts of the current row; NULL: empty cell */
	GArray *header; /* struct header_column */
	GHashTable *teams; /* name -> index + 1 */
	uint32_t line;
	bool revisions_read; /* the first line has been read */
	bool stopped; /* a fatal error ended parsing */
};

static void
note_free(gpointer arg)
{
	struct dh_note *n = arg;

	g_free(n->text);
	g_free(n);
}

GPtrArray *
dh_notes_new(void)
{
	return g_ptr_array_new_with_free_func(note_free);
}

void
dh_note_add(GPtrArray *notes, enum dh_note_kind kind, const char *team,
    unsigned int row, unsigned int column, const char *fmt, ...)
{
	struct dh_note *n = g_new0(struct dh_note, 1);
	va_list ap;

	n->kind = kind;
	n->row = row;
	n->column = column;
	(void)g_strlcpy(n->team, team, sizeof(n->team));
	va_start(ap, fmt);
	n->text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(notes, n);
}

/* Appends a column as spreadsheets label it: A to Z, AA, ... */
static void
print_column(GString *out, unsigned int column)
{
	char letters[8];
	int i = sizeof(letters);

	letters[--i] = '\0';
	for (; column > 0; column = (column - 1) / 26)
		letters[--i] = (char)('A' + (column - 1) % 26);
	g_string_append_printf(out, ", column %s", &letters[i]);
}

void
dh_note_print(GString *out, const struct dh_note *n)
{
	static const char *const kinds[] = { "bad", "conflict", "note" };

	g_string_append(out, kinds[n->kind]);
	if (n->row > 0)
		g_string_append_printf(out, ": row %u", n->row);
	if (n->column > 0)
		print_column(out, n->column);
	if (n->team[0] != '\0')
		g_string_append_printf(out, ": team %s", n->team);
	g_string_append_printf(out, ": %s\n", n->text);
}

static void
bad(struct reader *r, unsigned int column, const char *text)
{
	dh_note_add(r->notes, DH_NOTE_BAD, "", r->line, column, "%s", text);
}

static const char *
cell(const struct reader *r, guint i)
{
	return i < r->cells->len ? r->cells->pdata[i] : NULL;
}

static void
read_revision(struct reader *r, guint i, const char *text)
{
	static const struct dh_field revision = { "revision", DH_FIELD_INTEGER,
		NULL, 0, INT64_MAX, NULL };
	struct dh_sheet_team t = { 0 };
	const char *equals = strrchr(text, '=');
	g_autofree char *name = NULL;
	g_autofree char *number = NULL;

	if (equals != NULL) {
		name = g_strndup(text, (gsize)(equals - text));
		number = dh_field_check(&revision, equals + 1, NULL);
	}
	if (name == NULL || number == NULL || !dh_field_is_name(name)) {
		bad(r, i + 1, "is not of the form TEAM=REVISION");
		return;
	}
	if (g_hash_table_contains(r->teams, name)) {
		bad(r, i + 1, "a team that stands twice");
		return;
	}
	(void)g_strlcpy(t.name, name, sizeof(t.name));
	t.revision = g_ascii_strtoull(number, NULL, 10);
	g_array_append_val(r->sheet->teams, t);
	g_hash_table_add(r->teams, g_steal_pointer(&name));
}

static int
team_cmp(gconstpointer a, gconstpointer b)
{
	const struct dh_sheet_team *x = a, *y = b;

	return strcmp(x->name, y->name);
}

static void
read_mark(struct reader *r)
{
	const char *text = cell(r, 0);
	guint i;

	r->revisions_read = true;
	if (text == NULL || strcmp(text, REVISIONS) != 0) {
		bad(r, 1, "the first line must begin with \"" REVISIONS "\"");
		r->stopped = true;
		return;
	}
	for (i = 1; i < r->cells->len; i++) {
		text = cell(r, i);
		if (text == NULL)
			continue;
		if (strcmp(text, COMPLETE) == 0)
			r->sheet->complete = true;
		else
			read_revision(r, i, text);
	}
	if (r->sheet->teams->len == 0)
		bad(r, 0, "the first line names no team");
	g_array_sort(r->sheet->teams, team_cmp);
}

static struct header_column
place_parse(const char *text)
{
	struct header_column p = { CELL_NONE, DH_COLUMNS };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cell_type_names); i++)
		if (strcmp(text, cell_type_names[i]) == 0)
			p.cell_type = (enum cell_type)i;
	if (p.cell_type != CELL_NONE)
		return p;
	p.column = dh_column_parse(text);
	if (p.column != DH_COLUMNS)
		p.cell_type = CELL_SETTING;
	return p;
}

static bool
place_taken(const struct reader *r, const struct header_column *p)
{
	const struct header_column *other;
	guint i;

	for (i = 0; i < r->header->len; i++) {
		other = &g_array_index(r->header, struct header_column, i);
		if (other->cell_type == p->cell_type &&
		    other->column == p->column)
			return true;
	}
	return false;
}

static void
read_header(struct reader *r)
{
	struct header_column p;
	guint i, before = r->notes->len;

	r->header = g_array_new(FALSE, FALSE, sizeof(struct header_column));
	for (i = 0; i < r->cells->len; i++) {
		p = (struct header_column){ CELL_NONE, DH_COLUMNS };
		if (cell(r, i) != NULL) {
			p = place_parse(cell(r, i));
			if (p.cell_type == CELL_NONE)
				bad(r, i + 1, "no such setting");
			else if (place_taken(r, &p))
				bad(r, i + 1, "a column that stands twice");
		}
		g_array_append_val(r->header, p);
		if (p.cell_type == CELL_SETTING) {
			r->sheet->columns[p.column] = i + 1;
			r->sheet->present |= UINT64_C(1) << p.column;
		}
		if (p.cell_type == CELL_NAME)
			r->sheet->name_column = i + 1;
	}
	for (i = 0; i < G_N_ELEMENTS(cell_type_names); i++) {
		p = (struct header_column){ (enum cell_type)i, DH_COLUMNS };
		if (!place_taken(r, &p))
			dh_note_add(r->notes, DH_NOTE_BAD, "", r->line, 0,
			    "the column \"%s\" is missing", cell_type_names[i]);
	}
	r->stopped = r->notes->len > before;
}

static guint
team_index(const struct reader *r, const char *name)
{
	struct dh_sheet_team key = { 0 };
	guint i;

	(void)g_strlcpy(key.name, name, sizeof(key.name));
	if (!g_hash_table_contains(r->teams, name) ||
	    !g_array_binary_search(r->sheet->teams, &key, team_cmp, &i))
		return G_MAXUINT;
	return i;
}

/* Finds the team, kind and name cells of the row. */
static void
find_identity_cells(const struct reader *r, guint at[3])
{
	const struct header_column *p;
	guint i;

	for (i = 0; i < r->header->len; i++) {
		p = &g_array_index(r->header, struct header_column, i);
		if (p->cell_type <= CELL_NAME)
			at[p->cell_type] = i;
	}
}

static bool
read_identity(struct reader *r, struct dh_sheet_row *row)
{
	const char *team, *kind, *name;
	guint at[3] = { 0 }, before = r->notes->len;

	find_identity_cells(r, at);
	team = cell(r, at[CELL_TEAM]);
	kind = cell(r, at[CELL_KIND]);
	name = cell(r, at[CELL_NAME]);
	row->team = team == NULL ? G_MAXUINT : team_index(r, team);
	if (row->team == G_MAXUINT)
		bad(r, at[CELL_TEAM] + 1, "the first line has no such team");
	row->kind = kind == NULL ? DH_KINDS : dh_kind_parse(kind);
	if (row->kind == DH_KINDS)
		bad(r, at[CELL_KIND] + 1,
		    "is not one of service, backend_server, pin");
	else if (name == NULL || !dh_declaration_name_check(row->kind, name))
		bad(r, at[CELL_NAME] + 1,
		    row->kind == DH_KIND_PIN ? "is not SERVICE/KEY"
					     : "no valid name");
	if (r->notes->len > before)
		return false;
	row->name = g_string_chunk_insert_const(r->sheet->texts, name);
	return true;
}

static void
read_cell(struct reader *r, struct dh_sheet_row *row, guint i)
{
	const struct header_column *p;
	g_autoptr(GError) why = NULL;
	g_autofree char *text = NULL;

	if (cell(r, i) == NULL)
		return;
	if (i >= r->header->len) {
		bad(r, i + 1, "a cell outside the columns");
		return;
	}
	p = &g_array_index(r->header, struct header_column, i);
	if (p->cell_type <= CELL_NAME)
		return;
	if (p->cell_type == CELL_NONE) {
		bad(r, i + 1, "a cell under an empty heading");
		return;
	}
	if (row->kind != DH_KINDS && !dh_column_applies(p->column, row->kind)) {
		g_autofree char *told = g_strdup_printf(
		    "%s: a %s has no such setting",
		    dh_column_field(p->column)->name, dh_kind_name(row->kind));

		bad(r, i + 1, told);
		return;
	}
	text = dh_field_check(dh_column_field(p->column), cell(r, i), &why);
	if (text == NULL) {
		g_autofree char *told = g_strdup_printf(
		    "%s: %s", dh_column_field(p->column)->name, why->message);

		bad(r, i + 1, told);
		return;
	}
	row->values[p->column] =
	    g_string_chunk_insert_const(r->sheet->texts, text);
}

static bool
row_empty(const struct reader *r)
{
	guint i;

	for (i = 0; i < r->cells->len; i++)
		if (r->cells->pdata[i] != NULL)
			return false;
	return true;
}

static void
read_row(struct reader *r)
{
	struct dh_sheet_row row = { .line = r->line };
	g_autofree char *key = NULL;
	bool named;
	guint i;

	named = read_identity(r, &row);
	for (i = 0; i < r->cells->len; i++)
		read_cell(r, &row, i);
	if (!named)
		return;
	key = dh_sheet_key(row.kind, row.name);
	row.key = g_string_chunk_insert_const(r->sheet->texts, key);
	g_array_append_val(r->sheet->rows, row);
}

static void
on_cell(void *data, size_t len, void *arg)
{
	struct reader *r = arg;
	const char *text = data;

	if (r->stopped)
		return;
	if (r->cells->len >= CELLS_MAX) {
		bad(r, 0, "too many cells");
		r->stopped = true;
		return;
	}
	if (len > 0 && !g_utf8_validate(text, (gssize)len, NULL)) {
		bad(r, r->cells->len + 1, "is not UTF-8");
		len = 0;
	}
	g_ptr_array_add(r->cells, len == 0 ? NULL : g_strndup(text, len));
}

static void
on_row(int end, void *arg)
{
	struct reader *r = arg;

	(void)end;
	if (r->stopped)
		return;
	if (!r->revisions_read)
		read_mark(r);
	else if (!row_empty(r) && r->header == NULL)
		read_header(r);
	else if (!row_empty(r))
		read_row(r);
	g_ptr_array_set_size(r->cells, 0);
	r->line++;
}

static int
row_cmp(gconstpointer a, gconstpointer b)
{
	const struct dh_sheet_row *x = a, *y = b;
	int diff;

	if (x->team != y->team)
		return x->team < y->team ? -1 : 1;
	diff = strcmp(x->key, y->key);
	if (diff != 0)
		return diff;
	return x->line < y->line ? -1 : x->line > y->line;
}

/* Sorts the rows and sets each team's range of rows. */
static void
group_rows(struct reader *r)
{
	struct dh_sheet *s = r->sheet;
	struct dh_sheet_team *t;
	guint i;

	g_array_sort(s->rows, row_cmp);
	for (i = 0; i < s->rows->len; i++) {
		t = &g_array_index(s->teams, struct dh_sheet_team,
		    g_array_index(s->rows, struct dh_sheet_row, i).team);
		if (t->n++ == 0)
			t->first = i;
	}
	for (i = 0; s->complete && i < s->teams->len; i++) {
		t = &g_array_index(s->teams, struct dh_sheet_team, i);
		if (t->n == 0)
			dh_note_add(r->notes, DH_NOTE_BAD, t->name, 1, 0,
			    "a complete sheet without a row of this team "
			    "would delete all it has");
	}
}

/* Removes a byte order mark and converts line ends to newlines, so that the
 * CSV parser sees every line of the file as one row. */
static GString *
normalise(const char *text, size_t len)
{
	GString *out = g_string_sized_new(len + 1);
	size_t i = 0;

	if (len >= strlen(BOM) && memcmp(text, BOM, strlen(BOM)) == 0)
		i = strlen(BOM);
	for (; i < len; i++)
		if (text[i] != '\r' || i + 1 == len || text[i + 1] != '\n')
			g_string_append_c(out, text[i]);
	if (out->len > 0 && out->str[out->len - 1] != '\n')
		g_string_append_c(out, '\n');
	return out;
}

static void
run_csv(struct reader *r, const GString *text)
{
	struct csv_parser p;

	if (csv_init(&p,
		CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL |
		    CSV_APPEND_NULL) != 0)
		g_error("no memory for a CSV reader");
	if (g_str_has_prefix(text->str, REVISIONS ";"))
		csv_set_delim(&p, ';');
	if (csv_parse(&p, text->str, text->len, on_cell, on_row, r) !=
		text->len ||
	    csv_fini(&p, on_cell, on_row, r) != 0)
		bad(r, r->cells->len + 1,
		    "quotes that don't fit: what follows was not read");
	csv_free(&p);
}

static struct dh_sheet *
sheet_new(const GString *text)
{
	struct dh_sheet *s = g_new0(struct dh_sheet, 1);

	(void)g_snprintf(s->id, sizeof(s->id), "%016" G_GINT64_MODIFIER "x",
	    (guint64)XXH3_64bits(text->str, text->len));
	s->teams = g_array_new(FALSE, TRUE, sizeof(struct dh_sheet_team));
	s->rows = g_array_new(FALSE, TRUE, sizeof(struct dh_sheet_row));
	s->texts = g_string_chunk_new(1u << 16);
	return s;
}

struct dh_sheet *
dh_sheet_parse(const char *text, size_t len, GPtrArray *notes)
{
	struct reader r = { .notes = notes, .line = 1 };
	guint before = notes->len;
	GString *plain;

	if (len > TEXT_MAX) {
		dh_note_add(notes, DH_NOTE_BAD, "", 0, 0,
		    "longer than %u bytes", TEXT_MAX);
		return NULL;
	}
	plain = normalise(text, len);
	r.sheet = sheet_new(plain);
	r.cells = g_ptr_array_new_with_free_func(g_free);
	r.teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	run_csv(&r, plain);
	if (notes->len == before && r.header == NULL)
		bad(&r, 0, "there is no header");
	if (notes->len == before)
		group_rows(&r);
	(void)g_string_free(plain, TRUE);
	g_ptr_array_unref(r.cells);
	g_hash_table_unref(r.teams);
	if (r.header != NULL)
		g_array_unref(r.header);
	if (notes->len == before)
		return r.sheet;
	dh_sheet_free(r.sheet);
	return NULL;
}

void
dh_sheet_free(struct dh_sheet *s)
{
	if (s == NULL)
		return;
	g_array_unref(s->teams);
	g_array_unref(s->rows);
	g_string_chunk_free(s->texts);
	g_free(s);
}

char *
dh_sheet_key(enum dh_kind kind, const char *name)
{
	return g_strdup_printf("%d%s", (int)kind, name);
}

static void
append_cell(GString *out, const char *text)
{
	gsize at = out->len, size;

	if (text == NULL)
		return;
	if (text[strcspn(text, ",;\" \t")] == '\0') {
		g_string_append(out, text);
		return;
	}
	size = csv_write(NULL, 0, text, strlen(text));
	g_string_set_size(out, at + size);
	(void)csv_write(out->str + at, size, text, strlen(text));
}

static void
export_declaration(
    GString *out, const struct dh_team *t, const struct dh_declaration *d)
{
	int i;

	g_string_append_printf(out, "%s,%s,", t->name, dh_kind_name(d->kind));
	append_cell(out, d->name);
	for (i = 0; i < DH_COLUMNS; i++) {
		g_string_append_c(out, ',');
		append_cell(out, d->values[i]);
	}
	g_string_append_c(out, '\n');
}

char *
dh_sheet_export(const struct dh_team *const *teams, size_t n)
{
	GString *out = g_string_new(REVISIONS);
	const GArray *list;
	size_t i;
	guint j;
	int c;

	for (i = 0; i < n; i++)
		g_string_append_printf(out, ",%s=%" G_GUINT64_FORMAT,
		    teams[i]->name, teams[i]->version);
	g_string_append(out, "\nteam,kind,name");
	for (c = 0; c < DH_COLUMNS; c++)
		g_string_append_printf(
		    out, ",%s", dh_column_field((enum dh_column)c)->name);
	g_string_append_c(out, '\n');
	for (i = 0; i < n; i++) {
		list = teams[i]->declarations;
		for (j = 0; j < list->len; j++)
			export_declaration(out, teams[i],
			    &g_array_index(list, struct dh_declaration, j));
	}
	return g_string_free(out, FALSE);
}
