#ifndef DH_CONFIG_SHEET_H
#define DH_CONFIG_SHEET_H

#include "config/schema.h"

/*
 * The operators' sheet: CSV, a row a declaration, a column a setting.
 * docs/SHEET.md states the form.
 */
#define DH_SHEET_ID_MAX 24

struct dh_sheet_row {
	guint team; /* index into teams */
	enum dh_kind kind;
	const char *name;
	const char *key; /* kind and name, as one: how rows are sorted */
	const char *values[DH_COLUMNS]; /* canonical; NULL: empty cell */
	uint32_t line; /* row of the sheet, from 1 */
};

struct dh_sheet_team {
	char name[DH_NAME_MAX];
	uint64_t revision; /* version it was exported from; 0: new */
	guint first, n; /* its rows */
};

struct dh_sheet {
	char id[DH_SHEET_ID_MAX]; /* by the content: equal sheets, equal ids */
	bool complete; /* a missing row is a deletion */
	uint64_t present; /* bit c: it has enum dh_column c */
	unsigned int columns[DH_COLUMNS]; /* where, from 1; 0: it has not */
	unsigned int name_column;
	GArray *teams; /* struct dh_sheet_team, by name */
	GArray *rows; /* struct dh_sheet_row, by team, key and line */
	GStringChunk *texts;
};

/* What there is to say about a cell, or a row, or a team. */
enum dh_note_kind {
	DH_NOTE_BAD, /* the sheet is refused */
	DH_NOTE_CONFLICT, /* settled by rule */
	DH_NOTE_INFO,
};

struct dh_note {
	enum dh_note_kind kind;
	unsigned int row, column; /* from 1; 0: none */
	char team[DH_NAME_MAX]; /* "" : none */
	char *text;
};

/* dh_notes_new -- an empty list that owns its struct dh_note. */
GPtrArray *dh_notes_new(void);
void dh_note_add(GPtrArray *notes, enum dh_note_kind kind, const char *team,
    unsigned int row, unsigned int column, const char *fmt, ...)
    G_GNUC_PRINTF(6, 7);

/* dh_note_print -- append a line for people. */
void dh_note_print(GString *out, const struct dh_note *n);

/*
 * dh_sheet_parse -- read and check text.  NULL if anything is wrong: then
 * each bad cell is in notes.  The caller owns the result.
 */
struct dh_sheet *dh_sheet_parse(const char *text, size_t len, GPtrArray *notes);
void dh_sheet_free(struct dh_sheet *s);

/* dh_sheet_export -- the sheet of these teams, sorted by name.  The caller
 * frees it. */
char *dh_sheet_export(const struct dh_team *const *teams, size_t n);

/* dh_sheet_key -- the key of a row, the caller's to free. */
char *dh_sheet_key(enum dh_kind kind, const char *name);

#endif
