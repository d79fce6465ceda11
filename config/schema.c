#include "config/schema.h"

#include <string.h>

#include <dogwoodhub/conf.h>

#include "config/json.h"

#define DAY_MS 86400000
#define HASH_SLOTS_MAX 65536
#define APPLIED_MAX 64u
#define SINCE "since_ms"
#define APPLIED "applied"

#define SERVICE (1u << DH_KIND_SERVICE)
#define BACKEND_SERVER (1u << DH_KIND_BACKEND_SERVER)
#define PIN (1u << DH_KIND_PIN)

struct column {
	struct dh_field field;
	unsigned int kinds;
};

static const char *const service_kinds[] = { "keyed", "any", NULL };
static const char *const divisions[] = { "hash", "range", NULL };

#define INTEGER(n, d, low, high)                        \
	{                                               \
		n, DH_FIELD_INTEGER, d, low, high, NULL \
	}
#define OTHER(n, t, d)              \
	{                           \
		n, t, d, 0, 0, NULL \
	}
#define CHOICE(n, d, c)                        \
	{                                      \
		n, DH_FIELD_CHOICE, d, 0, 0, c \
	}

static const struct column columns[DH_COLUMNS] = {
	[DH_COLUMN_SERVICE_KIND] = { CHOICE(
					 "service_kind", NULL, service_kinds),
	    SERVICE },
	[DH_COLUMN_DIVISION] = { CHOICE("division", "hash", divisions),
	    SERVICE },
	[DH_COLUMN_HASH_SLOTS] = { INTEGER(
				       "hash_slots", "256", 1, HASH_SLOTS_MAX),
	    SERVICE },
	[DH_COLUMN_FIRST_KEYS] = { OTHER("first_keys", DH_FIELD_KEYS, ""),
	    SERVICE },
	[DH_COLUMN_WEIGHT_UNAVAILABLE] = { INTEGER("weight_unavailable", "1", 0,
					       1000000),
	    SERVICE },
	[DH_COLUMN_WEIGHT_CHURN] = { INTEGER("weight_churn", "1", 0, 1000000),
	    SERVICE },
	[DH_COLUMN_WEIGHT_IMBALANCE] = { INTEGER("weight_imbalance", "1", 0,
					     1000000),
	    SERVICE },
	[DH_COLUMN_HOT_KEYS] = { OTHER("hot_keys", DH_FIELD_BOOLEAN, "true"),
	    SERVICE },
	[DH_COLUMN_UNREPEATABLE] = { OTHER("unrepeatable", DH_FIELD_BOOLEAN,
					 "false"),
	    SERVICE },
	[DH_COLUMN_DEADLINE_MS] = { INTEGER("deadline_ms", "10000", 1, DAY_MS),
	    SERVICE },
	[DH_COLUMN_QUEUE_MS] = { INTEGER("queue_ms", "1000", 0, DAY_MS),
	    SERVICE },
	[DH_COLUMN_RETRY_PERCENT] = { INTEGER("retry_percent", "10", 0, 100),
	    SERVICE },
	[DH_COLUMN_OBJECTIVE_PPM] = { INTEGER(
					  "objective_ppm", "999000", 0, 999999),
	    SERVICE },
	[DH_COLUMN_OBJECTIVE_LATENCY_MS] = { INTEGER("objective_latency_ms",
						 "250", 1, DAY_MS),
	    SERVICE },
	[DH_COLUMN_SERVICE] = { OTHER("service", DH_FIELD_NAME, NULL),
	    BACKEND_SERVER },
	[DH_COLUMN_ADDRESS] = { OTHER("address", DH_FIELD_ADDRESS, NULL),
	    BACKEND_SERVER },
	[DH_COLUMN_PORT] = { INTEGER("port", NULL, 1, UINT16_MAX),
	    BACKEND_SERVER },
	[DH_COLUMN_ZONE] = { OTHER("zone", DH_FIELD_NAME, NULL),
	    BACKEND_SERVER },
	[DH_COLUMN_REGION] = { OTHER("region", DH_FIELD_NAME, NULL),
	    BACKEND_SERVER },
	[DH_COLUMN_SLOTS] = { INTEGER("slots", NULL, 1, 100000),
	    BACKEND_SERVER },
	[DH_COLUMN_CONNECTIONS] = { INTEGER("connections", NULL, 1, 1000000),
	    BACKEND_SERVER },
	[DH_COLUMN_CHECKS_FENCE] = { OTHER("checks_fence", DH_FIELD_BOOLEAN,
					 "false"),
	    BACKEND_SERVER },
	[DH_COLUMN_DRAIN] = { OTHER("drain", DH_FIELD_BOOLEAN, "false"),
	    BACKEND_SERVER },
	[DH_COLUMN_BACKEND_SERVER] = { OTHER("backend_server", DH_FIELD_NAME,
					   NULL),
	    PIN },
};

static const char *const kind_names[DH_KINDS] = { "service", "backend_server",
	"pin" };

/* Names of the kinds' members in the JSON object. */
static const char *const kind_members[DH_KINDS] = { "services",
	"backend_servers", "pins" };

static const struct dh_field since_field = INTEGER(SINCE, "0", 0, INT64_MAX);

const char *
dh_kind_name(enum dh_kind kind)
{
	g_assert(kind < DH_KINDS);
	return kind_names[kind];
}

enum dh_kind
dh_kind_parse(const char *name)
{
	int kind;

	for (kind = 0; kind < DH_KINDS; kind++)
		if (strcmp(kind_names[kind], name) == 0)
			break;
	return (enum dh_kind)kind;
}

const struct dh_field *
dh_column_field(enum dh_column column)
{
	g_assert(column < DH_COLUMNS);
	return &columns[column].field;
}

enum dh_column
dh_column_parse(const char *name)
{
	int column;

	for (column = 0; column < DH_COLUMNS; column++)
		if (strcmp(columns[column].field.name, name) == 0)
			break;
	return (enum dh_column)column;
}

bool
dh_column_applies(enum dh_column column, enum dh_kind kind)
{
	return (columns[column].kinds & (1u << kind)) != 0;
}

bool
dh_declaration_name_check(enum dh_kind kind, const char *name)
{
	g_autofree char *service = NULL;
	const char *slash = strchr(name, '/');

	if (kind != DH_KIND_PIN)
		return dh_field_is_name(name);
	if (slash == NULL)
		return false;
	service = g_strndup(name, (gsize)(slash - name));
	return dh_field_is_name(service) && dh_field_is_key(slash + 1);
}

static void
problem_free(gpointer arg)
{
	struct dh_problem *p = arg;

	g_free(p->name);
	g_free(p->text);
	g_free(p);
}

GPtrArray *
dh_problems_new(void)
{
	return g_ptr_array_new_with_free_func(problem_free);
}

void
dh_problem_add(GPtrArray *problems, enum dh_kind kind, const char *name,
    enum dh_column column, unsigned int line, const char *text)
{
	struct dh_problem *p = g_new0(struct dh_problem, 1);

	p->kind = kind;
	p->name = g_strdup(name);
	p->column = column;
	p->line = line;
	p->text = g_strdup(text);
	g_ptr_array_add(problems, p);
}

void
dh_problem_print(GString *out, const struct dh_problem *p)
{
	if (p->line > 0)
		g_string_append_printf(out, "line %u: ", p->line);
	if (p->kind < DH_KINDS)
		g_string_append_printf(
		    out, "%s %s: ", kind_names[p->kind], p->name);
	if (p->column < DH_COLUMNS)
		g_string_append_printf(
		    out, "%s: ", columns[p->column].field.name);
	g_string_append_printf(out, "%s\n", p->text);
}

struct dh_team *
dh_team_new(const char *name, uint64_t version)
{
	struct dh_team *t = g_new0(struct dh_team, 1);

	(void)g_strlcpy(t->name, name, sizeof(t->name));
	t->version = version;
	t->declarations =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_declaration));
	t->applied = g_ptr_array_new();
	t->texts = g_string_chunk_new(4096);
	return t;
}

void
dh_team_free(struct dh_team *t)
{
	if (t == NULL)
		return;
	g_array_unref(t->declarations);
	g_ptr_array_unref(t->applied);
	g_string_chunk_free(t->texts);
	g_free(t);
}

static int
declaration_cmp(gconstpointer a, gconstpointer b)
{
	const struct dh_declaration *x = a, *y = b;

	if (x->kind != y->kind)
		return x->kind < y->kind ? -1 : 1;
	return strcmp(x->name, y->name);
}

void
dh_team_add(struct dh_team *t, const struct dh_declaration *d)
{
	struct dh_declaration copy = *d;
	int i;

	copy.name = g_string_chunk_insert_const(t->texts, d->name);
	for (i = 0; i < DH_COLUMNS; i++)
		if (d->values[i] != NULL)
			copy.values[i] =
			    g_string_chunk_insert_const(t->texts, d->values[i]);
	g_array_append_val(t->declarations, copy);
}

void
dh_team_sort(struct dh_team *t)
{
	g_array_sort(t->declarations, declaration_cmp);
}

struct dh_declaration *
dh_team_find(const struct dh_team *t, enum dh_kind kind, const char *name)
{
	struct dh_declaration key = { .kind = kind, .name = name };
	guint i;

	if (!g_array_binary_search(t->declarations, &key, declaration_cmp, &i))
		return NULL;
	return &g_array_index(t->declarations, struct dh_declaration, i);
}

const char *
dh_declaration_text(const struct dh_declaration *d, enum dh_column column)
{
	if (d->values[column] != NULL)
		return d->values[column];
	return columns[column].field.default_text;
}

int64_t
dh_declaration_integer(const struct dh_declaration *d, enum dh_column column)
{
	return g_ascii_strtoll(dh_declaration_text(d, column), NULL, 10);
}

bool
dh_declaration_boolean(const struct dh_declaration *d, enum dh_column column)
{
	return strcmp(dh_declaration_text(d, column), "true") == 0;
}

const char *
dh_pin_key(const struct dh_declaration *pin)
{
	return strchr(pin->name, '/') + 1;
}

/* State of parsing one object; all problems are collected. */
struct reader {
	struct dh_json_doc *doc;
	struct dh_team *team;
	GPtrArray *problems;
};

/* The line of a setting, or of its declaration if the setting has none. */
static unsigned int
line_of(struct dh_json_doc *doc, enum dh_kind kind, const char *name,
    const char *setting)
{
	g_autofree char *whole =
	    g_strjoin(DH_JSON_SEP, kind_members[kind], name, NULL);
	g_autofree char *path = g_strjoin(DH_JSON_SEP, whole, setting, NULL);
	unsigned int line = dh_json_doc_line(doc, path);

	return line > 0 ? line : dh_json_doc_line(doc, whole);
}

static void
reader_problem(struct reader *r, const struct dh_declaration *d,
    const char *setting, const char *why)
{
	g_autofree char *path = g_strjoin(
	    DH_JSON_SEP, kind_members[d->kind], d->name, setting, NULL);
	enum dh_column column =
	    setting == NULL ? DH_COLUMNS : dh_column_parse(setting);
	g_autofree char *text = setting != NULL && column == DH_COLUMNS
	    ? g_strdup_printf("%s: %s", setting, why)
	    : g_strdup(why);

	dh_problem_add(r->problems, d->kind, d->name, column,
	    line_of(r->doc, d->kind, d->name, setting), text);
}

static void
read_setting(struct reader *r, struct dh_declaration *d, const char *name,
    struct json_object *value, GPtrArray *texts)
{
	enum dh_column column = dh_column_parse(name);
	bool since = strcmp(name, SINCE) == 0;
	g_autoptr(GError) why = NULL;
	char *text;

	if (!since &&
	    (column == DH_COLUMNS || !dh_column_applies(column, d->kind))) {
		reader_problem(r, d, name, "no such setting here");
		return;
	}
	text = dh_field_check_json(
	    since ? &since_field : &columns[column].field, value, &why);
	if (text == NULL) {
		reader_problem(r, d, name, why->message);
		return;
	}
	g_ptr_array_add(texts, text);
	if (since)
		d->since_ms = g_ascii_strtoll(text, NULL, 10);
	else
		d->values[column] = text;
}

static void
read_declaration(struct reader *r, enum dh_kind kind, const char *name,
    struct json_object *settings)
{
	struct dh_declaration d = { .kind = kind, .name = name };
	g_autoptr(GPtrArray) texts = g_ptr_array_new_with_free_func(g_free);

	if (!dh_declaration_name_check(kind, name)) {
		reader_problem(r, &d, NULL, "no valid name");
		return;
	}
	if (!json_object_is_type(settings, json_type_object)) {
		reader_problem(r, &d, NULL, "is not an object");
		return;
	}
	json_object_object_foreach(settings, key, value)
	    read_setting(r, &d, key, value, texts);
	dh_team_add(r->team, &d);
}

static void
read_applied(struct reader *r, struct json_object *list)
{
	struct json_object *v;
	const char *id;
	size_t i;

	for (i = 0; i < json_object_array_length(list); i++) {
		v = json_object_array_get_idx(list, i);
		id = json_object_get_string(v);
		if (i >= APPLIED_MAX ||
		    !json_object_is_type(v, json_type_string) ||
		    !dh_field_is_name(id)) {
			dh_problem_add(r->problems, DH_KINDS, NULL, DH_COLUMNS,
			    dh_json_doc_line(r->doc, APPLIED),
			    APPLIED ": at most 64 names");
			return;
		}
		g_ptr_array_add(r->team->applied,
		    g_string_chunk_insert_const(r->team->texts, id));
	}
}

static void
read_member(struct reader *r, const char *name, struct json_object *value)
{
	g_autofree char *text = NULL;
	int kind;

	if (strcmp(name, APPLIED) == 0 &&
	    json_object_is_type(value, json_type_array)) {
		read_applied(r, value);
		return;
	}
	for (kind = 0; kind < DH_KINDS; kind++)
		if (strcmp(name, kind_members[kind]) == 0)
			break;
	if (kind == DH_KINDS || !json_object_is_type(value, json_type_object)) {
		text = g_strdup_printf(
		    "%.80s: not known, or of a wrong type", name);
		dh_problem_add(r->problems, DH_KINDS, NULL, DH_COLUMNS,
		    dh_json_doc_line(r->doc, name), text);
		return;
	}
	json_object_object_foreach(value, key, settings)
	    read_declaration(r, (enum dh_kind)kind, key, settings);
}

static void
reader_run(struct reader *r)
{
	if (!json_object_is_type(r->doc->root, json_type_object)) {
		dh_problem_add(r->problems, DH_KINDS, NULL, DH_COLUMNS, 1,
		    "is not an object");
		return;
	}
	json_object_object_foreach(r->doc->root, name, value)
	    read_member(r, name, value);
	dh_team_sort(r->team);
}

/* Fills in the lines of problems, which dh_team_check() doesn't know. */
static void
add_lines(struct reader *r, guint from)
{
	struct dh_problem *p;
	guint i;

	for (i = from; i < r->problems->len; i++) {
		p = g_ptr_array_index(r->problems, i);
		p->line = line_of(r->doc, p->kind, p->name,
		    p->column < DH_COLUMNS ? columns[p->column].field.name
					   : NULL);
	}
}

struct dh_team *
dh_team_parse(const char *name, uint64_t version, const char *text, size_t len,
    GPtrArray *problems)
{
	g_autoptr(GError) error = NULL;
	struct dh_json_doc *doc = dh_json_doc_parse(text, len, &error);
	struct reader r = { .doc = doc, .problems = problems };
	guint before = problems->len;

	if (doc == NULL) {
		dh_problem_add(
		    problems, DH_KINDS, NULL, DH_COLUMNS, 0, error->message);
		return NULL;
	}
	r.team = dh_team_new(name, version);
	reader_run(&r);
	if (problems->len == before && !dh_team_check(r.team, problems))
		add_lines(&r, before);
	dh_json_doc_free(doc);
	if (problems->len == before)
		return r.team;
	dh_team_free(r.team);
	return NULL;
}

static struct json_object *
value_json(const struct dh_field *f, const char *text)
{
	switch (f->type) {
	case DH_FIELD_INTEGER:
		return json_object_new_int64(g_ascii_strtoll(text, NULL, 10));
	case DH_FIELD_BOOLEAN:
		return json_object_new_boolean(strcmp(text, "true") == 0);
	case DH_FIELD_KEYS:
		return json_tokener_parse(text);
	default:
		return json_object_new_string(text);
	}
}

static struct json_object *
declaration_json(const struct dh_declaration *d)
{
	struct json_object *root = json_object_new_object();
	const struct dh_field *f;
	int i;

	for (i = 0; i < DH_COLUMNS; i++) {
		f = &columns[i].field;
		if (d->values[i] != NULL)
			json_object_object_add(
			    root, f->name, value_json(f, d->values[i]));
	}
	if (d->since_ms != 0)
		json_object_object_add(
		    root, SINCE, json_object_new_int64(d->since_ms));
	return root;
}

char *
dh_team_print(const struct dh_team *t)
{
	struct json_object *root = json_object_new_object();
	struct json_object *sets[DH_KINDS], *applied;
	const struct dh_declaration *d;
	char *text;
	guint i;

	for (i = 0; i < DH_KINDS; i++) {
		sets[i] = json_object_new_object();
		json_object_object_add(root, kind_members[i], sets[i]);
	}
	for (i = 0; i < t->declarations->len; i++) {
		d = &g_array_index(t->declarations, struct dh_declaration, i);
		json_object_object_add(
		    sets[d->kind], d->name, declaration_json(d));
	}
	applied = json_object_new_array();
	for (i = 0; i < t->applied->len; i++)
		json_object_array_add(
		    applied, json_object_new_string(t->applied->pdata[i]));
	json_object_object_add(root, APPLIED, applied);
	text = g_strdup(json_object_to_json_string_ext(
	    root, JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(root);
	return text;
}

/* Conditions that involve more than one setting or declaration */
struct checker {
	const struct dh_team *team;
	GPtrArray *problems;
};

static void
found(struct checker *c, const struct dh_declaration *d, enum dh_column column,
    const char *why)
{
	dh_problem_add(c->problems, d->kind, d->name, column, 0, why);
}

static bool
check_required(struct checker *c, const struct dh_declaration *d)
{
	guint before = c->problems->len;
	int i;

	for (i = 0; i < DH_COLUMNS; i++)
		if (dh_column_applies((enum dh_column)i, d->kind) &&
		    columns[i].field.default_text == NULL &&
		    d->values[i] == NULL)
			found(c, d, (enum dh_column)i, "is required");
	return c->problems->len == before;
}

static void
check_division(struct checker *c, const struct dh_declaration *d)
{
	const char *kind = dh_declaration_text(d, DH_COLUMN_SERVICE_KIND);
	const char *division = dh_declaration_text(d, DH_COLUMN_DIVISION);
	bool keyed = strcmp(kind, "keyed") == 0;
	bool hash = strcmp(division, "hash") == 0;

	if (!keyed && d->values[DH_COLUMN_DIVISION] != NULL)
		found(c, d, DH_COLUMN_DIVISION, "only for a keyed service");
	if ((!keyed || !hash) && d->values[DH_COLUMN_HASH_SLOTS] != NULL)
		found(c, d, DH_COLUMN_HASH_SLOTS, "only for hash division");
	if ((!keyed || hash) && d->values[DH_COLUMN_FIRST_KEYS] != NULL)
		found(c, d, DH_COLUMN_FIRST_KEYS, "only for range division");
	if (keyed && !hash && d->values[DH_COLUMN_FIRST_KEYS] == NULL)
		found(c, d, DH_COLUMN_FIRST_KEYS, "required by range division");
}

static void
check_service(struct checker *c, const struct dh_declaration *d)
{
	int64_t deadline_ms = dh_declaration_integer(d, DH_COLUMN_DEADLINE_MS);

	check_division(c, d);
	if (dh_declaration_integer(d, DH_COLUMN_QUEUE_MS) > deadline_ms)
		found(c, d, DH_COLUMN_QUEUE_MS, "longer than deadline_ms");
	if (dh_declaration_integer(d, DH_COLUMN_OBJECTIVE_LATENCY_MS) >
	    deadline_ms)
		found(c, d, DH_COLUMN_OBJECTIVE_LATENCY_MS,
		    "longer than deadline_ms");
}

static void
check_pin(struct checker *c, const struct dh_declaration *d)
{
	g_autofree char *name = g_strndup(d->name, strcspn(d->name, "/"));
	const struct dh_declaration *sv =
	    dh_team_find(c->team, DH_KIND_SERVICE, name);
	const struct dh_declaration *bs = dh_team_find(c->team,
	    DH_KIND_BACKEND_SERVER, d->values[DH_COLUMN_BACKEND_SERVER]);

	if (sv == NULL ||
	    strcmp(sv->values[DH_COLUMN_SERVICE_KIND], "keyed") != 0)
		found(c, d, DH_COLUMNS, "the team has no such keyed service");
	if (bs == NULL || strcmp(bs->values[DH_COLUMN_SERVICE], name) != 0)
		found(c, d, DH_COLUMN_BACKEND_SERVER,
		    "the service has no such backend server");
}

static void
check_backend(struct checker *c, const struct dh_declaration *d)
{
	if (dh_team_find(
		c->team, DH_KIND_SERVICE, d->values[DH_COLUMN_SERVICE]) == NULL)
		found(c, d, DH_COLUMN_SERVICE, "the team has no such service");
}

static void
check_declaration(struct checker *c, const struct dh_declaration *d)
{
	switch (d->kind) {
	case DH_KIND_SERVICE:
		check_service(c, d);
		return;
	case DH_KIND_BACKEND_SERVER:
		check_backend(c, d);
		return;
	case DH_KIND_PIN:
		check_pin(c, d);
		return;
	case DH_KINDS:
		break;
	}
	g_assert_not_reached();
}

bool
dh_team_check(const struct dh_team *t, GPtrArray *problems)
{
	struct checker c = { .team = t, .problems = problems };
	const struct dh_declaration *d;
	guint before = problems->len, i;
	bool whole = true;

	for (i = 0; i < t->declarations->len; i++) {
		d = &g_array_index(t->declarations, struct dh_declaration, i);
		whole = check_required(&c, d) && whole;
	}
	for (i = 0; whole && i < t->declarations->len; i++) {
		d = &g_array_index(t->declarations, struct dh_declaration, i);
		check_declaration(&c, d);
	}
	return problems->len == before;
}

bool
dh_team_check_change(const struct dh_team *before, const struct dh_team *now,
    GPtrArray *problems)
{
	static const enum dh_column fixed[] = { DH_COLUMN_SERVICE_KIND,
		DH_COLUMN_DIVISION, DH_COLUMN_HASH_SLOTS,
		DH_COLUMN_FIRST_KEYS };
	struct checker c = { .team = now, .problems = problems };
	const struct dh_declaration *d, *old;
	guint count = problems->len, i, j;

	for (i = 0; i < now->declarations->len; i++) {
		d = &g_array_index(now->declarations, struct dh_declaration, i);
		old = dh_team_find(before, d->kind, d->name);
		if (d->kind != DH_KIND_SERVICE || old == NULL)
			continue;
		for (j = 0; j < G_N_ELEMENTS(fixed); j++)
			if (strcmp(dh_declaration_text(d, fixed[j]),
				dh_declaration_text(old, fixed[j])) != 0)
				found(&c, d, fixed[j],
				    "can't change while the service exists");
	}
	return problems->len == count;
}
