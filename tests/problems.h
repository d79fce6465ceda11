#ifndef DH_TESTS_PROBLEMS_H
#define DH_TESTS_PROBLEMS_H

#include "config/schema.h"

/* problems_text -- returns all problems as text, which the caller frees. */
static inline char *
problems_text(const GPtrArray *problems)
{
	GString *out = g_string_new(NULL);
	guint i;

	for (i = 0; i < problems->len; i++)
		dh_problem_print(out, problems->pdata[i]);
	return g_string_free(out, FALSE);
}

#endif
