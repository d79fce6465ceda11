#include <stdio.h>
#include <string.h>

#include <json.h>

#include "base/error.h"
#include "config/settings.h"
#include "ctl/ctl.h"
#include "store/wait.h"

static const char *const note_kinds[] = { "bad", "conflict", "note" };

static int
usage(const char *text)
{
	(void)fprintf(stderr, "usage: dogwoodctl %s\n", text);
	return CTL_USAGE;
}

static void
notes_text(const GPtrArray *notes)
{
	g_autoptr(GString) out = g_string_new(NULL);
	guint i;

	for (i = 0; i < notes->len; i++)
		dh_note_print(out, notes->pdata[i]);
	(void)fputs(out->str, stdout);
}

static void
put_text(struct json_object *o, const char *name, const char *text)
{
	json_object_object_add(o, name, json_object_new_string(text));
}

static void
put_number(struct json_object *o, const char *name, uint64_t value)
{
	json_object_object_add(o, name, json_object_new_uint64(value));
}

static struct json_object *
notes_json(const GPtrArray *notes)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct dh_note *n;
	guint i;

	for (i = 0; i < notes->len; i++) {
		n = notes->pdata[i];
		o = json_object_new_object();
		put_text(o, "kind", note_kinds[n->kind]);
		put_number(o, "row", n->row);
		put_number(o, "column", n->column);
		put_text(o, "team", n->team);
		put_text(o, "text", n->text);
		json_object_array_add(list, o);
	}
	return list;
}

static void
print_notes(struct ctl *c, const GPtrArray *notes)
{
	struct json_object *root;

	if (!c->json) {
		notes_text(notes);
		return;
	}
	root = json_object_new_object();
	json_object_object_add(root, "teams", json_object_new_array());
	json_object_object_add(root, "notes", notes_json(notes));
	ctl_print_json(root);
}

static struct json_object *
team_json(const struct dh_apply_team *t)
{
	struct json_object *o = json_object_new_object();

	put_text(o, "team", t->name);
	put_text(o, "outcome", dh_apply_outcome_name(t->outcome));
	put_number(o, "version", t->version);
	put_number(o, "added", t->added);
	put_number(o, "deleted", t->deleted);
	put_number(o, "changed", t->changed);
	put_number(o, "missing", t->missing);
	put_number(o, "attempts", t->attempts);
	json_object_object_add(o, "notes", notes_json(t->notes));
	return o;
}

static void
print_result(struct ctl *c, const struct dh_apply_result *r)
{
	struct json_object *root, *list;
	const struct dh_apply_team *t;
	guint i;

	root = json_object_new_object();
	list = json_object_new_array();
	for (i = 0; i < r->teams->len; i++) {
		t = &g_array_index(r->teams, struct dh_apply_team, i);
		json_object_array_add(list, team_json(t));
		if (c->json)
			continue;
		(void)printf("team %s: %s, version %" G_GUINT64_FORMAT
			     ": %u added, %u deleted, %u settings changed\n",
		    t->name, dh_apply_outcome_name(t->outcome), t->version,
		    t->added, t->deleted, t->changed);
		notes_text(t->notes);
	}
	json_object_object_add(root, "teams", list);
	json_object_object_add(root, "notes", notes_json(r->notes));
	if (c->json) {
		ctl_print_json(root);
		return;
	}
	json_object_put(root);
	notes_text(r->notes);
}

static bool
any_accepted(const struct dh_apply_result *r)
{
	guint i;

	for (i = 0; i < r->teams->len; i++)
		if (g_array_index(r->teams, struct dh_apply_team, i).outcome ==
		    DH_APPLY_ACCEPTED)
			return true;
	return false;
}

static int
exit_status(const struct dh_apply_result *r, bool dry_run)
{
	switch (dh_apply_worst(r)) {
	case DH_APPLY_UNKNOWN:
		return CTL_UNKNOWN;
	case DH_APPLY_FAILED:
		return any_accepted(r) ? CTL_PARTIAL : CTL_UNREACHABLE;
	case DH_APPLY_REFUSED:
		return any_accepted(r) ? CTL_PARTIAL : CTL_REFUSED;
	case DH_APPLY_PLANNED:
		return dry_run ? CTL_ATTENTION : CTL_REFUSED;
	case DH_APPLY_ACCEPTED:
	case DH_APPLY_UNCHANGED:
		return CTL_OK;
	}
	return CTL_OK;
}

static int
apply(struct ctl *c, const char *path, bool dry_run)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	struct dh_apply_result r;
	struct dh_sheet *s;
	int status;
	gsize len;

	text = ctl_read(path, &len);
	if (text == NULL)
		return CTL_NOT_FOUND;
	ctl_progress(c, "reading %s: %zu bytes", path, len);
	s = dh_sheet_parse(text, len, notes);
	if (s == NULL) {
		print_notes(c, notes);
		return CTL_REFUSED;
	}
	ctl_progress(c, "%u rows of %u teams", s->rows->len, s->teams->len);
	if (dh_apply_sheet(&c->apply, s, dry_run, &r, &error)) {
		print_result(c, &r);
		status = exit_status(&r, dry_run);
	} else {
		status = ctl_fail(error);
	}
	dh_apply_result_clear(&r);
	dh_sheet_free(s);
	return status;
}

int
ctl_apply(struct ctl *c, int argc, char **argv)
{
	return argc == 2 ? apply(c, argv[1], false) : usage("apply SHEET");
}

int
ctl_diff(struct ctl *c, int argc, char **argv)
{
	return argc == 2 ? apply(c, argv[1], true) : usage("diff SHEET");
}

static int
drain(struct ctl *c, const char *name, bool on)
{
	g_autoptr(GError) error = NULL;
	uint64_t version = dh_apply_drain(&c->apply, name, on, &error);
	struct json_object *root;

	if (version == 0)
		return ctl_fail(error);
	if (!c->json) {
		(void)printf("backend server %s: drain %s, version "
			     "%" G_GUINT64_FORMAT " of its team\n",
		    name, on ? "on" : "off", version);
		return CTL_OK;
	}
	root = json_object_new_object();
	put_text(root, "backend_server", name);
	json_object_object_add(root, "drain", json_object_new_boolean(on));
	put_number(root, "version", version);
	ctl_print_json(root);
	return CTL_OK;
}

int
ctl_drain(struct ctl *c, int argc, char **argv)
{
	return argc == 2 ? drain(c, argv[1], true) : usage("drain NAME");
}

int
ctl_undrain(struct ctl *c, int argc, char **argv)
{
	return argc == 2 ? drain(c, argv[1], false) : usage("undrain NAME");
}

static int
get_list(struct ctl *c, const GPtrArray *teams)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct dh_team *t;
	guint i;

	for (i = 0; i < teams->len; i++) {
		t = teams->pdata[i];
		o = json_object_new_object();
		put_text(o, "team", t->name);
		put_number(o, "version", t->version);
		put_number(o, "declarations", t->declarations->len);
		json_object_array_add(list, o);
		if (!c->json)
			(void)printf("%s version %" G_GUINT64_FORMAT
				     ", %u declarations\n",
			    t->name, t->version, t->declarations->len);
	}
	if (c->json)
		ctl_print_json(list);
	else
		json_object_put(list);
	return CTL_OK;
}

static bool
wanted(const struct dh_team *t, int argc, char **argv)
{
	int i;

	for (i = 0; i < argc; i++)
		if (strcmp(argv[i], t->name) == 0)
			return true;
	return argc == 0;
}

static int
get_sheet(const GPtrArray *teams, int argc, char **argv)
{
	g_autoptr(GPtrArray) chosen = g_ptr_array_new();
	g_autofree char *text = NULL;
	guint i;

	for (i = 0; i < teams->len; i++)
		if (wanted(teams->pdata[i], argc, argv))
			g_ptr_array_add(chosen, teams->pdata[i]);
	if (chosen->len < (guint)argc || chosen->len == 0) {
		(void)fprintf(stderr, "dogwoodctl: no such team\n");
		return CTL_NOT_FOUND;
	}
	text = dh_sheet_export(
	    (const struct dh_team *const *)chosen->pdata, chosen->len);
	(void)fputs(text, stdout);
	return CTL_OK;
}

static int
get_team(const GPtrArray *teams, const char *name)
{
	g_autofree char *text = NULL;
	guint i;

	for (i = 0; i < teams->len; i++)
		if (strcmp(((struct dh_team *)teams->pdata[i])->name, name) ==
		    0)
			text = dh_team_print(teams->pdata[i]);
	if (text == NULL) {
		(void)fprintf(stderr, "dogwoodctl: no such team: %s\n", name);
		return CTL_NOT_FOUND;
	}
	(void)printf("%s\n", text);
	return CTL_OK;
}

int
ctl_get(struct ctl *c, int argc, char **argv)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	g_autoptr(GError) error = NULL;
	g_autoptr(GPtrArray) teams = dh_apply_teams(&c->apply, notes, &error);
	g_autoptr(GString) messages = g_string_new(NULL);
	guint i;

	if (teams == NULL)
		return ctl_fail(error);
	for (i = 0; i < notes->len; i++)
		dh_note_print(messages, notes->pdata[i]);
	(void)fputs(messages->str, stderr);
	if (argc == 1)
		return get_list(c, teams);
	if (strcmp(argv[1], "sheet") == 0)
		return get_sheet(teams, argc - 2, argv + 2);
	return argc == 2 ? get_team(teams, argv[1])
			 : usage("get [TEAM|sheet [TEAM...]]");
}

static void
check_team(const char *text, gsize len, GPtrArray *notes)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	guint i;

	dh_team_free(dh_team_parse("check", 1, text, len, problems));
	for (i = 0; i < problems->len; i++) {
		g_autoptr(GString) line = g_string_new(NULL);

		dh_problem_print(line, problems->pdata[i]);
		g_string_truncate(line, line->len - 1);
		dh_note_add(notes, DH_NOTE_BAD, "", 0, 0, "%s", line->str);
	}
}

static void
check_settings(const char *text, gsize len, GPtrArray *notes)
{
	g_autoptr(GError) error = NULL;
	struct dh_settings s;

	if (!dh_settings_parse(&s, text, len, &error))
		dh_note_add(notes, DH_NOTE_BAD, "", 0, 0, "%s", error->message);
}

int
ctl_check(struct ctl *c, int argc, char **argv)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	g_autofree char *text = NULL;
	const char *kind = "settings";
	gsize len;

	if (argc != 2)
		return usage("check FILE");
	text = ctl_read(argv[1], &len);
	if (text == NULL)
		return CTL_NOT_FOUND;
	if (strstr(text, "\"services\"") != NULL)
		kind = "team";
	else if (strchr(text, '{') == NULL)
		kind = "sheet";
	if (strcmp(kind, "team") == 0)
		check_team(text, len, notes);
	else if (strcmp(kind, "sheet") == 0)
		dh_sheet_free(dh_sheet_parse(text, len, notes));
	else
		check_settings(text, len, notes);
	ctl_progress(c, "%s: checked as %s", argv[1], kind);
	print_notes(c, notes);
	return notes->len == 0 ? CTL_OK : CTL_REFUSED;
}
