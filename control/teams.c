#include "control/teams.h"

#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/timer.h"
#include "config/assembler.h"
#include "config/schema.h"
#include "control/feed.h"

#define TEAMS_PREFIX "teams/"

struct dh_teams {
	struct dh_control *control;
	GHashTable *by_name; /* name -> struct dh_team */
	struct dh_assembler *assembler; /* of the teams in by_name */
	uv_timer_t *assemble; /* runs once after a burst of changes */
};

static void
team_free(void *team)
{
	dh_team_free(team);
}

static void
log_problems(const char *what, GPtrArray *problems)
{
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < problems->len; i++)
		dh_problem_print(text, problems->pdata[i]);
	dh_log(DH_LOG_WARN, "config.problem", "what=%s %s", what, text->str);
	g_string_free(text, TRUE);
}

static void
on_assemble(uv_timer_t *timer)
{
	struct dh_teams *tm = timer->data;
	g_autoptr(GPtrArray) problems = dh_problems_new();
	struct dh_conf *conf = dh_assembler_conf(tm->assembler, problems);

	if (problems->len > 0)
		log_problems("merge", problems);
	dh_control_accept(tm->control, conf);
}

/* Applies an earlier version of a team's object unless a valid one is known.  A
 * VM that starts while the latest version violates the schema thus uses the
 * last valid one. */
static void
on_earlier_version(
    void *arg, const struct dh_object *object, const GError *error)
{
	struct dh_teams *tm = arg;

	(void)error;
	if (object == NULL || !g_str_has_prefix(object->name, TEAMS_PREFIX) ||
	    g_hash_table_lookup(
		tm->by_name, object->name + strlen(TEAMS_PREFIX)) != NULL)
		return;
	if (dh_teams_apply(tm, object->name + strlen(TEAMS_PREFIX),
		object->version, object->value, object->len))
		dh_feed_put_team(tm->control->feed, object);
}

static void
get_earlier_version(struct dh_teams *tm, const char *name, uint64_t version)
{
	g_autofree char *object = g_strdup_printf(TEAMS_PREFIX "%s", name);

	if (version > 1)
		dh_store_get(tm->control->store, object, version - 1,
		    on_earlier_version, tm);
}

bool
dh_teams_apply(struct dh_teams *tm, const char *name, uint64_t version,
    const char *text, size_t len)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	struct dh_team *team =
	    dh_team_parse(name, version, text, len, problems);

	if (team == NULL) {
		dh_counter_add(
		    dh_counter_get("dh_config_refused_total", ""), 1);
		log_problems(name, problems);
		if (g_hash_table_lookup(tm->by_name, name) == NULL)
			get_earlier_version(tm, name, version);
		return false;
	}
	dh_assembler_set(tm->assembler, team);
	g_hash_table_replace(tm->by_name, g_strdup(name), team);
	uv_timer_start(tm->assemble, on_assemble, 0, 0);
	return true;
}

struct dh_teams *
dh_teams_new(struct dh_control *ct)
{
	struct dh_teams *tm = g_new0(struct dh_teams, 1);

	tm->control = ct;
	tm->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, team_free);
	tm->assembler = dh_assembler_new(dh_name_id);
	tm->assemble = dh_timer_new(&ct->loop, tm);
	return tm;
}

void
dh_teams_free(struct dh_teams *tm)
{
	if (tm == NULL)
		return;
	dh_timer_free(tm->assemble);
	dh_assembler_free(tm->assembler);
	g_hash_table_unref(tm->by_name);
	g_free(tm);
}
