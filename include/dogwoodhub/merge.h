#ifndef DOGWOODHUB_MERGE_H
#define DOGWOODHUB_MERGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Three-way merge of tables, setting by setting: what a sheet changed since
 * its export goes into what is in force now.
 *
 * A row is a declaration, a column a setting; a value is its canonical text,
 * NULL where it is not set.  The rules:
 *
 *   - A setting that the sheet left as exported stays as it is in force.
 *   - One that only the sheet changed, or both in the same way, becomes the
 *     sheet's.
 *   - Changed by both, differently: the sheet's holds; a conflict.
 *   - Several rows of the sheet for one declaration: a row that left the
 *     setting as exported says nothing; if others differ, the lowest row in
 *     the sheet holds; a conflict.
 *   - A row missing from the sheet changes nothing, unless the sheet is
 *     complete: then it deletes what was there at the export, but for a
 *     declaration that was changed in force since: kept; a conflict.
 *   - Deleted in force since the export: a row that changed something declares
 *     it again, one that changed nothing doesn't; a conflict both ways.
 *
 * Merging the same sheet into the result gives the result.
 */
struct dh_merge_row {
	const char *key;
	const char *const *values;
	uint32_t line; /* of the sheet */
};

/* Rows rise by key; in the sheet's table, rows of one key rise by line. */
struct dh_merge_table {
	const struct dh_merge_row *rows;
	size_t n;
};

#define DH_MERGE_COLUMNS_MAX 64

struct dh_merge_input {
	struct dh_merge_table base; /* what the sheet was exported from */
	struct dh_merge_table ours; /* in force */
	struct dh_merge_table sheet;
	uint32_t ncolumns; /* at most DH_MERGE_COLUMNS_MAX */
	uint64_t present; /* bit c: the sheet has column c */
	bool complete; /* a missing row is a deletion */
};

enum dh_merge_conflict_kind {
	DH_MERGE_BOTH_CHANGED, /* the sheet's value holds */
	DH_MERGE_TWO_ROWS, /* the value of row `other` holds */
	DH_MERGE_DECLARED_AGAIN, /* deleted in force, changed in the sheet */
	DH_MERGE_STAYS_DELETED, /* deleted in force, as exported in the sheet */
	DH_MERGE_NOT_DELETED, /* missing from the sheet, changed in force */
};

struct dh_merge_conflict {
	enum dh_merge_conflict_kind kind;
	const char *key;
	uint32_t line; /* of the sheet; 0: it has no such row */
	uint32_t other; /* TWO_ROWS: the line that holds */
	uint32_t column; /* ncolumns: of the whole row */
	const char *ours; /* in force, or the value that gave way */
	const char *sheet; /* the sheet's */
};

/* All texts are borrowed from the input. */
struct dh_merge_result {
	struct dh_merge_row *rows; /* rising by key */
	size_t n;
	const char **values; /* of all rows */
	struct dh_merge_conflict *conflicts;
	size_t nconflicts;
	size_t size; /* room for conflicts */
	uint32_t added, deleted; /* rows, against what is in force */
	uint32_t changed; /* settings, likewise */
	uint32_t missing; /* rows missing from the sheet and kept */
	uint32_t edits; /* settings and rows that the sheet changed */
};

/* dh_merge -- false without memory.  The caller ends the result with
 * dh_merge_result_clear(), in either case. */
bool dh_merge(const struct dh_merge_input *in, struct dh_merge_result *out);
void dh_merge_result_clear(struct dh_merge_result *r);

#endif
