#include <stdint.h>
#include <string.h>

#include "base/error.h"
#include "config/schema.h"
#include "config/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Parses the input as settings and as a team's object.  Settings must parse or
 * fail with an error.  A team's object must parse, and then print to a text
 * that parses and prints to itself, or be rejected with at least one problem.
 */
static void
check_team(const char *text, size_t len)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	struct dh_team *t = dh_team_parse("t", 1, text, len, problems), *u;
	g_autofree char *first = NULL;
	g_autofree char *second = NULL;

	g_assert_true((t == NULL) == (problems->len > 0));
	if (t == NULL)
		return;
	first = dh_team_print(t);
	u = dh_team_parse("t", 1, first, strlen(first), problems);
	g_assert_nonnull(u);
	second = dh_team_print(u);
	g_assert_cmpstr(first, ==, second);
	dh_team_free(t);
	dh_team_free(u);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autoptr(GError) error = NULL;
	struct dh_settings s;
	bool ok = dh_settings_parse(&s, (const char *)data, size, &error);

	g_assert_true(ok == (error == NULL));
	g_assert_true(ok || g_error_matches(error, DH_ERROR, DH_ERROR_INVALID));
	check_team((const char *)data, size);
	return 0;
}
