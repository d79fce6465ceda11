#ifndef DH_CONFIG_SCHEMA_H
#define DH_CONFIG_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <dogwoodhub/types.h>

#include "config/field.h"

/*
 * Schema of a team's object, which the store holds as teams/TEAM.
 *
 * A team's object is a set of declarations; each has a kind, a name and
 * settings.  In JSON, declarations are objects keyed by name; in the sheet,
 * each declaration is a row and each setting a column.  In memory, a setting
 * is its canonical text, or NULL if the default applies.
 */
enum dh_kind {
	DH_KIND_SERVICE,
	DH_KIND_BACKEND_SERVER,
	DH_KIND_PIN, /* its name is SERVICE/KEY */
	DH_KINDS,
};

enum dh_column {
	DH_COLUMN_SERVICE_KIND,
	DH_COLUMN_DIVISION,
	DH_COLUMN_HASH_SLOTS,
	DH_COLUMN_FIRST_KEYS,
	DH_COLUMN_WEIGHT_UNAVAILABLE,
	DH_COLUMN_WEIGHT_CHURN,
	DH_COLUMN_WEIGHT_IMBALANCE,
	DH_COLUMN_HOT_KEYS,
	DH_COLUMN_UNREPEATABLE,
	DH_COLUMN_DEADLINE_MS,
	DH_COLUMN_QUEUE_MS,
	DH_COLUMN_RETRY_PERCENT,
	DH_COLUMN_OBJECTIVE_PPM,
	DH_COLUMN_OBJECTIVE_LATENCY_MS,
	DH_COLUMN_SERVICE,
	DH_COLUMN_ADDRESS,
	DH_COLUMN_PORT,
	DH_COLUMN_ZONE,
	DH_COLUMN_REGION,
	DH_COLUMN_SLOTS,
	DH_COLUMN_CONNECTIONS,
	DH_COLUMN_CHECKS_FENCE,
	DH_COLUMN_DRAIN,
	DH_COLUMN_BACKEND_SERVER,
	DH_COLUMNS,
};

/* dh_kind_name -- "service", "backend_server" or "pin". */
const char *dh_kind_name(enum dh_kind kind);

/* dh_kind_parse -- the kind called name; DH_KINDS if there is none. */
enum dh_kind dh_kind_parse(const char *name);

/* dh_column_field -- the name, type, range and default of a setting. */
const struct dh_field *dh_column_field(enum dh_column column);

/* dh_column_parse -- the setting called name; DH_COLUMNS if there is none. */
enum dh_column dh_column_parse(const char *name);

/* dh_column_applies -- whether declarations of this kind have the setting. */
bool dh_column_applies(enum dh_column column, enum dh_kind kind);

/* dh_declaration_name_check -- whether name is valid for this kind. */
bool dh_declaration_name_check(enum dh_kind kind, const char *name);

struct dh_declaration {
	enum dh_kind kind;
	const char *name;
	int64_t since_ms; /* wall-clock time of the first declaration */
	const char *values[DH_COLUMNS];
};

/* A team and its declarations, whose strings the chunk texts holds. */
struct dh_team {
	char name[DH_NAME_MAX];
	uint64_t version; /* version of the object */
	GArray *declarations; /* struct dh_declaration, sorted by kind, name */
	GPtrArray *applied; /* ids of sheets applied, oldest first */
	GStringChunk *texts;
};

/* A schema violation. */
struct dh_problem {
	enum dh_kind kind; /* DH_KINDS: the whole object */
	char *name;
	enum dh_column column; /* DH_COLUMNS: the whole declaration */
	unsigned int line; /* line in the JSON text; 0: unknown */
	char *text;
};

/* dh_problems_new -- an empty list that owns its struct dh_problem. */
GPtrArray *dh_problems_new(void);
void dh_problem_add(GPtrArray *problems, enum dh_kind kind, const char *name,
    enum dh_column column, unsigned int line, const char *text);

/* dh_problem_print -- append a human-readable line to out. */
void dh_problem_print(GString *out, const struct dh_problem *p);

/* dh_team_new -- create a team without declarations.  The caller owns it. */
struct dh_team *dh_team_new(const char *name, uint64_t version);
void dh_team_free(struct dh_team *t);

/*
 * dh_team_parse -- parse and validate a team's object.  Returns NULL if it
 * violates the schema; every violation is added to problems.
 */
struct dh_team *dh_team_parse(const char *name, uint64_t version,
    const char *text, size_t len, GPtrArray *problems);

/* dh_team_print -- the team's object as JSON; equal teams give equal texts.
 * The caller frees the result. */
char *dh_team_print(const struct dh_team *t);

/* dh_team_add -- add a copy of a declaration.  The caller must call
 * dh_team_sort() after the last one. */
void dh_team_add(struct dh_team *t, const struct dh_declaration *d);
void dh_team_sort(struct dh_team *t);

/* dh_team_find -- find a declaration in a sorted team; NULL if there is none.
 * The team owns the result. */
struct dh_declaration *dh_team_find(
    const struct dh_team *t, enum dh_kind kind, const char *name);

/* dh_team_check -- check the conditions that involve more than one setting or
 * declaration.  Returns false if any problem was added. */
bool dh_team_check(const struct dh_team *t, GPtrArray *problems);

/* dh_team_check_change -- check that now may replace before: the division of a
 * service into slots or ranges can't change while the service exists. */
bool dh_team_check_change(const struct dh_team *before,
    const struct dh_team *now, GPtrArray *problems);

/* The value of a setting, or its default if the setting isn't given. */
const char *dh_declaration_text(
    const struct dh_declaration *d, enum dh_column column);
int64_t dh_declaration_integer(
    const struct dh_declaration *d, enum dh_column column);
bool dh_declaration_boolean(
    const struct dh_declaration *d, enum dh_column column);

/* dh_pin_key -- KEY of a pin's name SERVICE/KEY.  The pin owns the result. */
const char *dh_pin_key(const struct dh_declaration *pin);

#endif
