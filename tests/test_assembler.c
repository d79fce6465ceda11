#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/group.h>
#include <dogwoodhub/rng.h>

#include "config/assembler.h"
#include "tests/cunit_main.h"

#define TEAMS 5u
#define EDITS 1500u

static struct dh_rng rng = { 21 };

static uint32_t
below(uint32_t n)
{
	return (uint32_t)dh_rng_below(&rng, n);
}

/* Mostly a name that only this team uses; sometimes a name that other teams
 * may claim too, or one that doesn't sort next to names it is a prefix of. */
static char *
random_name(uint32_t team, const char *what)
{
	if (below(8) == 0)
		return g_strdup_printf("%s%u", what, below(4));
	return g_strdup_printf(
	    "%s%u%s%u", what, below(3), below(2) == 0 ? "-" : "", 10 + team);
}

/* Returns true for a keyed service, which may have pins. */
static bool
add_service(struct json_object *services, const char *name)
{
	struct json_object *o = json_object_new_object(), *keys;
	bool any = below(3) == 0;

	json_object_object_add(
	    o, "service_kind", json_object_new_string(any ? "any" : "keyed"));
	json_object_object_add(
	    o, "since_ms", json_object_new_int64(1 + below(3)));
	if (!any && below(3) == 0) {
		keys = json_object_new_array();
		json_object_array_add(keys, json_object_new_string("a"));
		json_object_array_add(keys, json_object_new_string("k"));
		json_object_object_add(
		    o, "division", json_object_new_string("range"));
		json_object_object_add(o, "first_keys", keys);
	}
	json_object_object_add(services, name, o);
	return !any;
}

static void
add_backend(struct json_object *backends, const char *name, const char *service)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "service", json_object_new_string(service));
	json_object_object_add(
	    o, "address", json_object_new_string("127.0.0.1"));
	json_object_object_add(
	    o, "port", json_object_new_int(1 + (int)below(9)));
	json_object_object_add(o, "zone", json_object_new_string("z"));
	json_object_object_add(o, "region", json_object_new_string("r"));
	json_object_object_add(o, "slots", json_object_new_int(6));
	json_object_object_add(o, "connections", json_object_new_int(9));
	json_object_object_add(
	    o, "since_ms", json_object_new_int64(1 + below(3)));
	json_object_object_add(backends, name, o);
}

static void
add_pin(struct json_object *pins, const char *service, const char *backend)
{
	g_autofree char *name = g_strdup_printf("%s/k%u", service, below(9));
	struct json_object *o = json_object_new_object();

	json_object_object_add(
	    o, "backend_server", json_object_new_string(backend));
	json_object_object_add(pins, name, o);
}

static char *
random_text(uint32_t team)
{
	struct json_object *o = json_object_new_object(),
			   *services = json_object_new_object(),
			   *backends = json_object_new_object(),
			   *pins = json_object_new_object();
	uint32_t n = below(4), i, k;
	char *text;

	for (i = 0; i < n; i++) {
		g_autofree char *service = random_name(team, "s");

		bool keyed = add_service(services, service);

		for (k = below(4); k > 0; k--) {
			g_autofree char *backend = random_name(team, "b");

			add_backend(backends, backend, service);
			if (keyed && below(2) == 0)
				add_pin(pins, service, backend);
		}
	}
	json_object_object_add(o, "services", services);
	json_object_object_add(o, "backend_servers", backends);
	json_object_object_add(o, "pins", pins);
	text = g_strdup(json_object_to_json_string(o));
	json_object_put(o);
	return text;
}

/* A random team; retries until one satisfies the schema. */
static struct dh_team *
random_team(uint32_t i, uint64_t version)
{
	g_autofree char *name = g_strdup_printf("t%u", i);
	struct dh_team *t = NULL;

	while (t == NULL) {
		g_autoptr(GPtrArray) problems = dh_problems_new();
		g_autofree char *text = random_text(i);

		t = dh_team_parse(name, version, text, strlen(text), problems);
	}
	return t;
}

static void
print_ranges(GString *out, const struct dh_service *sv)
{
	uint32_t i;

	if (sv->kind != DH_SERVICE_KEYED ||
	    sv->division.kind != DH_DIVISION_RANGE)
		return;
	for (i = 0; i < sv->division.range.count; i++)
		g_string_append_printf(
		    out, " %s", sv->division.range.first_key[i]);
}

static char *
print(const struct dh_conf *conf)
{
	GString *out = g_string_new(NULL);
	size_t i;

	g_string_append_printf(
	    out, "%llu\n", (unsigned long long)conf->revision);
	for (i = 0; i < conf->nservices; i++) {
		const struct dh_service *sv = &conf->services[i];

		g_string_append_printf(out, "service %s %s %d %u %u", sv->name,
		    sv->team, sv->kind, dh_service_slots(sv),
		    sv->retry_percent);
		print_ranges(out, sv);
		g_string_append_c(out, '\n');
	}
	for (i = 0; i < conf->nbackends; i++) {
		const struct dh_backend *b = &conf->backends[i];

		g_string_append_printf(out, "backend %s %s %s %s %u %u\n",
		    b->name, b->team, b->service, b->address, b->port,
		    b->slots);
	}
	for (i = 0; i < conf->npins; i++)
		g_string_append_printf(out, "pin %s %s %s %s\n",
		    conf->pins[i].team, conf->pins[i].service,
		    conf->pins[i].key, conf->pins[i].backend);
	return g_string_free(out, FALSE);
}

/* Whether assembler and dh_assemble() give the same configuration and the same
 * problems. */
static bool
matches_full_assembly(
    const struct dh_assembler *as, struct dh_team **teams, size_t *left_out)
{
	g_autoptr(GPtrArray) kept_out = dh_problems_new();
	g_autoptr(GPtrArray) scratch_out = dh_problems_new();
	g_autofree char *a = NULL, *b = NULL;
	const struct dh_team *list[TEAMS];
	struct dh_conf *kept, *scratch;
	size_t n = 0, i;

	for (i = 0; i < TEAMS; i++)
		if (teams[i] != NULL)
			list[n++] = teams[i];
	kept = dh_assembler_conf(as, kept_out);
	scratch = dh_assemble(list, n, scratch_out);
	a = print(kept);
	b = print(scratch);
	CU_ASSERT_EQUAL(
	    kept->service_index != NULL, scratch->service_index != NULL);
	for (i = 0; i < kept->nservices; i++)
		CU_ASSERT_EQUAL(
		    dh_conf_service(kept, kept->services[i].name), i);
	dh_conf_free(kept);
	dh_conf_free(scratch);
	*left_out = kept_out->len;
	return strcmp(a, b) == 0 && kept_out->len == scratch_out->len;
}

static void
test_like_from_scratch(void)
{
	struct dh_assembler *as = dh_assembler_new(dh_name_id);
	struct dh_team *teams[TEAMS] = { 0 }, *now;
	uint32_t e, i, contested = 0;
	size_t left_out;

	for (e = 0; e < EDITS; e++) {
		i = below(TEAMS);
		now = random_team(i, e + 1);
		dh_assembler_set(as, now);
		dh_team_free(teams[i]);
		teams[i] = now;
		CU_ASSERT(matches_full_assembly(as, teams, &left_out));
		contested += left_out > 0;
	}
	printf("%u of %u contested ", contested, EDITS);
	/* Both the incremental and the full assembly were exercised. */
	CU_ASSERT(contested > EDITS / 20 && contested < EDITS * 19 / 20);
	dh_assembler_free(as);
	for (i = 0; i < TEAMS; i++)
		dh_team_free(teams[i]);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "same as full assembly", test_like_from_scratch },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("assembler", tests);
}
