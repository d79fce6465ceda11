#include <stdio.h>
#include <string.h>

#include <dogwoodhub/merge.h>
#include <dogwoodhub/types.h>

#include "tests/cunit_main.h"

#define COLUMNS 3
#define ROWS_MAX 16
#define ALL 7u

/* A table parsed from text: rows "key=a,b,c" separated by spaces, with "-" for
 * NULL. */
struct table {
	char text[256];
	const char *values[ROWS_MAX][COLUMNS];
	struct dh_merge_row rows[ROWS_MAX];
	struct dh_merge_table table;
};

static void
table_parse(struct table *t, const char *text)
{
	char *p, *save = NULL, *cell, *cells;
	size_t n = 0, c;

	*t = (struct table){ 0 };
	(void)snprintf(t->text, sizeof(t->text), "%s", text);
	for (p = strtok_r(t->text, " ", &save); p != NULL;
	     p = strtok_r(NULL, " ", &save)) {
		cells = strchr(p, '=');
		*cells++ = '\0';
		for (c = 0; c < COLUMNS; c++) {
			cell = strsep(&cells, ",");
			t->values[n][c] = strcmp(cell, "-") == 0 ? NULL : cell;
		}
		t->rows[n] =
		    (struct dh_merge_row){ p, t->values[n], (uint32_t)n + 3 };
		n++;
	}
	t->table = (struct dh_merge_table){ t->rows, n };
}

static void
table_print(char *out, size_t size, const struct dh_merge_row *rows, size_t n)
{
	size_t i, len = 0;
	uint32_t c;

	out[0] = '\0';
	for (i = 0; i < n; i++) {
		len += (size_t)snprintf(out + len, size - len,
		    "%s%s=", i == 0 ? "" : " ", rows[i].key);
		for (c = 0; c < COLUMNS; c++)
			len += (size_t)snprintf(out + len, size - len, "%s%s",
			    rows[i].values[c] == NULL ? "-" : rows[i].values[c],
			    c < COLUMNS - 1 ? "," : "");
	}
}

static void
conflicts_print(char *out, size_t size, const struct dh_merge_result *r)
{
	const struct dh_merge_conflict *c;
	size_t i, len = 0;

	out[0] = '\0';
	for (i = 0; i < r->nconflicts; i++) {
		c = &r->conflicts[i];
		len += (size_t)snprintf(out + len, size - len,
		    "%s%d:%s:%u:%u:%u:%s:%s", i == 0 ? "" : " ", (int)c->kind,
		    c->key, c->line, c->winning_line, c->column,
		    c->overridden == NULL ? "-" : c->overridden,
		    c->winning == NULL ? "-" : c->winning);
	}
}

struct scenario {
	const char *base, *ours, *sheet;
	bool complete;
	uint64_t present;
	const char *result;
	const char *conflicts; /* kind:key:line:other:column:ours:sheet */
};

static const struct scenario scenarios[] = {
	/* Not changed in the sheet: the current value is kept. */
	{ "a=1,2,3", "a=1,9,3", "a=1,2,3", false, ALL, "a=1,9,3", "" },
	/* Changed in the sheet only, and changed to the same value by both. */
	{ "a=1,2,3", "a=1,2,9", "a=5,2,9", false, ALL, "a=5,2,9", "" },
	/* Changed by both to different values. */
	{ "a=1,2,3", "a=1,8,3", "a=1,9,3", false, ALL, "a=1,9,3",
	    "0:a:3:0:1:8:9" },
	/* Unset in the sheet and changed in the current configuration. */
	{ "a=1,2,3", "a=1,8,3", "a=1,-,3", false, ALL, "a=1,-,3",
	    "0:a:3:0:1:8:-" },
	/* Added by both, and added in the sheet only. */
	{ "", "a=1,2,-", "a=1,3,4 b=7,-,-", false, ALL, "a=1,3,4 b=7,-,-",
	    "0:a:3:0:1:2:3" },
	/* The sheet lacks two columns. */
	{ "a=1,2,3", "a=1,2,3", "a=5,-,-", false, 1u, "a=5,2,3", "" },
	/* Two rows for one key that change different settings. */
	{ "a=1,2,3", "a=1,2,3", "a=1,2,7 a=5,2,3", false, ALL, "a=5,2,7", "" },
	/* Rows for one key that change a setting to different values. */
	{ "a=1,2,3", "a=1,2,3", "a=4,2,3 a=5,2,3 a=4,2,3", false, ALL,
	    "a=4,2,3", "1:a:3:4:0:4:5 1:a:4:5:0:5:4" },
	/* The same, and a change in the current configuration. */
	{ "a=1,2,3", "a=9,2,3", "a=4,2,3 a=5,2,3", false, ALL, "a=5,2,3",
	    "1:a:3:4:0:4:5 0:a:4:0:0:9:5" },
	/* Rows missing from the sheet. */
	{ "a=1,2,3 b=1,-,-", "a=1,2,3 b=1,-,- c=3,-,-", "b=1,-,-", false, ALL,
	    "a=1,2,3 b=1,-,- c=3,-,-", "" },
	{ "a=1,2,3 b=1,-,-", "a=1,2,3 b=1,-,- c=3,-,-", "b=1,-,-", true, ALL,
	    "b=1,-,- c=3,-,-", "" },
	{ "a=1,2,3 b=1,-,-", "a=1,2,4 b=1,-,-", "b=1,-,-", true, ALL,
	    "a=1,2,4 b=1,-,-", "4:a:0:0:3:-:-" },
	/* Deleted from the current configuration. */
	{ "a=1,2,3", "", "a=1,2,3", false, ALL, "", "3:a:3:0:3:-:-" },
	{ "a=1,2,3", "", "a=1,2,4", false, ALL, "a=1,2,4", "2:a:3:0:3:-:-" },
	{ "a=1,2,3", "", "", true, ALL, "", "" },
};

static void
run_merge(struct dh_merge_result *r, const struct scenario *sc,
    const struct dh_merge_table *ours, struct table *base, struct table *sheet)
{
	const struct dh_merge_input in = { .base = base->table,
		.current = *ours,
		.sheet = sheet->table,
		.ncolumns = COLUMNS,
		.columns_present = sc->present,
		.complete = sc->complete };

	CU_ASSERT_TRUE_FATAL(dh_merge(&in, r));
}

static void
test_merge_rules(void)
{
	struct table base, ours, sheet;
	struct dh_merge_result r;
	char text[512];
	size_t i;

	for (i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
		const struct scenario *sc = &scenarios[i];

		table_parse(&base, sc->base);
		table_parse(&ours, sc->ours);
		table_parse(&sheet, sc->sheet);
		run_merge(&r, sc, &ours.table, &base, &sheet);
		table_print(text, sizeof(text), r.rows, r.n);
		if (strcmp(text, sc->result) != 0)
			(void)printf("\nscenario %zu: %s\n", i, text);
		CU_ASSERT_STRING_EQUAL(text, sc->result);
		conflicts_print(text, sizeof(text), &r);
		if (strcmp(text, sc->conflicts) != 0)
			(void)printf("\nscenario %zu: %s\n", i, text);
		CU_ASSERT_STRING_EQUAL(text, sc->conflicts);
		dh_merge_result_clear(&r);
	}
}

/* Changes are counted relative to the current configuration. */
static void
test_change_counts(void)
{
	struct table base, ours, sheet;
	struct dh_merge_result r;
	const struct scenario sc = { .complete = true, .present = ALL };

	table_parse(&base, "a=1,2,3 b=1,1,1");
	table_parse(&ours, "a=1,2,3 b=1,1,1 d=1,1,1");
	table_parse(&sheet, "a=4,5,3 c=1,-,-");
	run_merge(&r, &sc, &ours.table, &base, &sheet);
	CU_ASSERT_EQUAL(r.added, 1);
	CU_ASSERT_EQUAL(r.deleted, 1);
	CU_ASSERT_EQUAL(r.changed, 2);
	CU_ASSERT_EQUAL(r.missing, 0);
	dh_merge_result_clear(&r);
	run_merge(&r, &(const struct scenario){ .present = ALL }, &ours.table,
	    &base, &sheet);
	CU_ASSERT_EQUAL(r.missing, 1);
	CU_ASSERT_EQUAL(r.deleted, 0);
	dh_merge_result_clear(&r);
}

static uint32_t
next_random(uint32_t *state)
{
	*state = *state * 1664525u + 1013904223u;
	return *state >> 16;
}

static void
random_table(struct table *t, uint32_t *state, uint32_t rows_max)
{
	char text[256] = "";
	size_t len = 0;
	uint32_t key, n, i;

	for (key = 0; key < 5; key++) {
		n = next_random(state) % (rows_max + 1);
		for (i = 0; i < n && len < sizeof(text) - 16; i++)
			len += (size_t)snprintf(text + len, sizeof(text) - len,
			    "%sk%u=%u,%u,-", len == 0 ? "" : " ", key,
			    next_random(state) % 3, next_random(state) % 3);
	}
	table_parse(t, text);
}

/* A second merge of the same sheet changes nothing.  It may report conflicts on
 * declarations that stay deleted. */
static void
test_repeated_merge(void)
{
	struct table base, ours, sheet;
	struct dh_merge_result once, twice;
	char first[512], second[512];
	uint32_t state = 1, i;

	for (i = 0; i < 20000; i++) {
		const struct scenario sc = { .complete = i % 2 == 0,
			.present = i % 3 == 0 ? 1 : ALL };
		struct dh_merge_table merged;

		random_table(&base, &state, 1);
		random_table(&ours, &state, 1);
		random_table(&sheet, &state, 2);
		run_merge(&once, &sc, &ours.table, &base, &sheet);
		merged = (struct dh_merge_table){ once.rows, once.n };
		run_merge(&twice, &sc, &merged, &base, &sheet);
		table_print(first, sizeof(first), once.rows, once.n);
		table_print(second, sizeof(second), twice.rows, twice.n);
		if (strcmp(first, second) != 0) {
			CU_FAIL("the second merge changed the result");
			(void)printf("\nround %u\n%s\n%s\n", i, first, second);
			i = 20000;
		}
		CU_ASSERT(twice.changed + twice.added + twice.deleted == 0);
		dh_merge_result_clear(&twice);
		dh_merge_result_clear(&once);
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "merge rules", test_merge_rules },
		{ "change counts", test_change_counts },
		{ "repeated merge", test_repeated_merge },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("merge", tests);
}
