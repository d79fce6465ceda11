#ifndef DOGWOODHUB_MERGE_H
#define DOGWOODHUB_MERGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Three-way merge of tables, setting by setting.  A sheet is a table that was
 * exported from the configuration and then edited; its changes since the export
 * are merged into the current configuration.
 *
 * A row is a declaration and a column a setting.  A value is the canonical text
 * of the setting, or NULL if it is not set.  The rules are:
 *
 *   - A setting that the sheet did not change keeps its current value.
 *   - A setting that only the sheet changed, or that both changed to the same
 *     value, gets the value in the sheet.
 *   - If both changed a setting to different values, it gets the value in the
 *     sheet and a conflict is reported.
 *   - If several rows of the sheet have the same key, rows that did not change
 *     the setting are ignored.  If the others differ, the last of them in the
 *     sheet wins and a conflict is reported.
 *   - A row that is missing from the sheet changes nothing, unless the sheet is
 *     complete.  Then the declaration is deleted if it existed at the export.
 *     If it has changed since, it is kept and a conflict is reported.
 *   - A declaration that was deleted since the export is added again if the
 *     sheet changed one of its settings, and stays deleted otherwise.  Both are
 *     reported as a conflict.
 *
 * Merging the same sheet again into the result does not change the result.
 */
struct dh_merge_row {
	const char *key; /* identifies the declaration */
	const char *const *values; /* one value for each column */
	uint32_t line; /* line number in the sheet */
};

/* The rows are sorted by key, and those of the sheet also by line.  Only the
 * sheet may have several rows with the same key. */
struct dh_merge_table {
	const struct dh_merge_row *rows;
	size_t n;
};

#define DH_MERGE_COLUMNS_MAX 64

struct dh_merge_input {
	struct dh_merge_table base; /* the configuration at the export */
	struct dh_merge_table current; /* the current configuration */
	struct dh_merge_table sheet; /* the edited table */
	uint32_t ncolumns; /* at most DH_MERGE_COLUMNS_MAX */
	uint64_t columns_present; /* bit c is set if the sheet has column c */
	bool complete; /* a row missing from the sheet is a deletion */
};

enum dh_merge_conflict_kind {
	/* Both changed the setting; the value in the sheet wins. */
	DH_MERGE_BOTH_CHANGED,
	/* Two rows of the sheet differ; the one in line winning_line wins. */
	DH_MERGE_ROWS_DIFFER,
	/* The declaration was deleted since the export, but the sheet changed
	 * it; it is added again. */
	DH_MERGE_READDED,
	/* The declaration was deleted since the export, and the sheet did not
	 * change it; it stays deleted. */
	DH_MERGE_STAYS_DELETED,
	/* The declaration is missing from the sheet, but was changed since the
	 * export; it is kept. */
	DH_MERGE_NOT_DELETED,
};

struct dh_merge_conflict {
	enum dh_merge_conflict_kind kind;
	const char *key;
	uint32_t line; /* line in the sheet, or 0 if it has no such row */
	uint32_t winning_line; /* DH_MERGE_ROWS_DIFFER: the line that wins */
	uint32_t column; /* ncolumns for a conflict of the whole row */
	const char *overridden; /* the value that was overridden */
	const char *winning; /* the value that wins */
};

/* Keys and values point to the strings of the input. */
struct dh_merge_result {
	struct dh_merge_row *rows; /* sorted by key */
	size_t n;
	const char **values; /* the values of all rows */
	struct dh_merge_conflict *conflicts;
	size_t nconflicts;
	size_t size; /* capacity of conflicts */
	/* Numbers of rows added to and deleted from the current configuration,
	 * and of settings changed in it. */
	uint32_t added, deleted;
	uint32_t changed;
	uint32_t missing; /* rows missing from the sheet that are kept */
	uint32_t edits; /* settings and rows that the sheet changed */
};

/* dh_merge -- merge the sheet.  Returns false if memory runs out.  The caller
 * frees the result with dh_merge_result_clear() in either case. */
bool dh_merge(const struct dh_merge_input *in, struct dh_merge_result *out);
void dh_merge_result_clear(struct dh_merge_result *r);

#endif
