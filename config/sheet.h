#ifndef DH_CONFIG_SHEET_H
#define DH_CONFIG_SHEET_H

#include "config/schema.h"

/*
 * The operators' sheet: CSV with a row per declaration and a column per
 * setting.  docs/SHEET.md specifies the format.
 */
#define DH_SHEET_ID_MAX 24

struct dh_sheet_row {
	guint team; /* index into teams */
	enum dh_kind kind;
	const char *name;
	const char *key; /* sort key made of kind and name */
	const char *values[DH_COLUMNS]; /* canonical; NULL: empty cell */
	uint32_t line; /* row of the sheet, counted from 1 */
};

struct dh_sheet_team {
	char name[DH_NAME_MAX];
	uint64_t revision; /* exported version; 0: new team */
	guint first, n; /* index of the first row, number of rows */
};

struct dh_sheet {
	char id[DH_SHEET_ID_MAX]; /* hash of the content */
	bool complete; /* a missing row is a deletion */
	uint64_t present; /* bit c: the sheet has column c of enum dh_column */
	unsigned int columns[DH_COLUMNS]; /* position from 1; 0: absent */
	unsigned int name_column;
	GArray *teams; /* struct dh_sheet_team, by name */
	GArray *rows; /* struct dh_sheet_row, by team, key, line */
	GStringChunk *texts;
};

/* Severity of a note about a cell, a row or a team. */
enum dh_note_kind {
	DH_NOTE_BAD, /* error: the sheet is refused */
	DH_NOTE_CONFLICT, /* conflicting changes, resolved by the merge rules */
	DH_NOTE_INFO,
};

struct dh_note {
	enum dh_note_kind kind;
	unsigned int row, column; /* counted from 1; 0: none */
	char team[DH_NAME_MAX]; /* "": none */
	char *text;
};

/* dh_notes_new -- an empty list that owns its struct dh_note. */
GPtrArray *dh_notes_new(void);
void dh_note_add(GPtrArray *notes, enum dh_note_kind kind, const char *team,
    unsigned int row, unsigned int column, const char *fmt, ...)
    G_GNUC_PRINTF(6, 7);

/* dh_note_print -- append a human-readable line to out. */
void dh_note_print(GString *out, const struct dh_note *n);

/*
 * dh_sheet_parse -- parse and validate text.  Returns NULL if there is any
 * error; notes then lists each bad cell.  The caller owns the result.
 */
struct dh_sheet *dh_sheet_parse(const char *text, size_t len, GPtrArray *notes);
void dh_sheet_free(struct dh_sheet *s);

/* dh_sheet_export -- the sheet of these teams, sorted by name, as CSV.  The
 * caller frees the result. */
char *dh_sheet_export(const struct dh_team *const *teams, size_t n);

/* dh_sheet_key -- the sort key of a row.  The caller frees the result. */
char *dh_sheet_key(enum dh_kind kind, const char *name);

#endif
