#include "config/assembler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The configuration of one team alone.  Without contested ids, its services,
 * backend servers and pins are the same in the whole configuration, because
 * references to another team's declarations are omitted. */
struct part {
	const struct dh_team *team;
	struct dh_conf *conf;
	GPtrArray *problems;
	GArray *claims; /* uint64_t: ids of services and backend servers */
};

/* Index of each list: pointers into the parts' configurations, by name. */
enum list { SERVICES, BACKENDS, PINS, LISTS };

struct dh_assembler {
	dh_id_fn id_of;
	GHashTable *parts; /* team's name -> struct part */
	GHashTable *claims; /* id and kind -> number of claims */
	guint contested; /* number of ids with more than one claim */
	GPtrArray *lists[LISTS];
};

static void
part_free(gpointer arg)
{
	struct part *p = arg;

	dh_conf_free(p->conf);
	g_ptr_array_unref(p->problems);
	g_array_unref(p->claims);
	g_free(p);
}

struct dh_assembler *
dh_assembler_new(dh_id_fn id_of)
{
	struct dh_assembler *as = g_new0(struct dh_assembler, 1);
	int l;

	as->id_of = id_of;
	as->parts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, part_free);
	as->claims =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	for (l = 0; l < LISTS; l++)
		as->lists[l] = g_ptr_array_new();
	return as;
}

void
dh_assembler_free(struct dh_assembler *as)
{
	int l;

	if (as == NULL)
		return;
	g_hash_table_unref(as->parts);
	g_hash_table_unref(as->claims);
	for (l = 0; l < LISTS; l++)
		g_ptr_array_unref(as->lists[l]);
	g_free(as);
}

/* Claims */

static void
claim(struct dh_assembler *as, uint64_t id)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(as->claims, &id)) + 1;
	uint64_t *key = g_new(uint64_t, 1);

	*key = id;
	g_hash_table_replace(as->claims, key, GUINT_TO_POINTER(n));
	as->contested += n == 2;
}

static void
unclaim(struct dh_assembler *as, uint64_t id)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(as->claims, &id)) - 1;
	uint64_t *key;

	as->contested -= n == 1;
	if (n == 0) {
		g_hash_table_remove(as->claims, &id);
		return;
	}
	key = g_new(uint64_t, 1);
	*key = id;
	g_hash_table_replace(as->claims, key, GUINT_TO_POINTER(n));
}

/* A service and a backend server may share a name, so the lowest bit of a
 * claim holds the kind.  Two ids that differ only in that bit count as
 * contested; this costs time but doesn't change the result. */
static void
claim_all(struct dh_assembler *as, struct part *p)
{
	const struct dh_declaration *d;
	uint64_t id;
	guint i;

	for (i = 0; i < p->team->declarations->len; i++) {
		d = &g_array_index(
		    p->team->declarations, struct dh_declaration, i);
		if (d->kind == DH_KIND_PIN)
			continue;
		id = as->id_of(d->name) & ~(uint64_t)1;
		id |= d->kind == DH_KIND_SERVICE;
		g_array_append_val(p->claims, id);
		claim(as, id);
	}
}

static void
unclaim_all(struct dh_assembler *as, const struct part *p)
{
	guint i;

	for (i = 0; i < p->claims->len; i++)
		unclaim(as, g_array_index(p->claims, uint64_t, i));
}

/* Lists */

static int
compare(enum list l, const void *a, const void *b)
{
	char x[2 * DH_NAME_MAX + 1], y[2 * DH_NAME_MAX + 1];
	const struct dh_pin *p = a, *q = b;

	switch (l) {
	case SERVICES:
		return strcmp(((const struct dh_service *)a)->name,
		    ((const struct dh_service *)b)->name);
	case BACKENDS:
		return strcmp(((const struct dh_backend *)a)->name,
		    ((const struct dh_backend *)b)->name);
	case PINS:
		(void)snprintf(x, sizeof(x), "%s/%s", p->service, p->key);
		(void)snprintf(y, sizeof(y), "%s/%s", q->service, q->key);
		return strcmp(x, y);
	case LISTS:
		break;
	}
	g_assert_not_reached();
}

struct span {
	char *first;
	size_t n, size;
};

static struct span
span_of(const struct dh_conf *conf, enum list l)
{
	switch (l) {
	case SERVICES:
		return (struct span){ (char *)conf->services, conf->nservices,
			sizeof(struct dh_service) };
	case BACKENDS:
		return (struct span){ (char *)conf->backends, conf->nbackends,
			sizeof(struct dh_backend) };
	case PINS:
		return (struct span){ (char *)conf->pins, conf->npins,
			sizeof(struct dh_pin) };
	case LISTS:
		break;
	}
	g_assert_not_reached();
}

static void
take_out(GPtrArray *list, struct span s)
{
	guint i, n = 0;
	char *p;

	for (i = 0; i < list->len; i++) {
		p = list->pdata[i];
		if (p < s.first || p >= s.first + s.n * s.size)
			list->pdata[n++] = p;
	}
	g_ptr_array_set_size(list, (int)n);
}

static GPtrArray *
merge_in(GPtrArray *list, enum list l, struct span s)
{
	GPtrArray *all = g_ptr_array_sized_new(list->len + (guint)s.n);
	size_t k = 0;
	guint i = 0;

	while (i < list->len || k < s.n) {
		char *next = s.first + k * s.size;

		if (k == s.n ||
		    (i < list->len && compare(l, list->pdata[i], next) < 0)) {
			g_ptr_array_add(all, list->pdata[i++]);
		} else {
			g_ptr_array_add(all, next);
			k++;
		}
	}
	g_ptr_array_unref(list);
	return all;
}

/* Teams */

static void
drop(struct dh_assembler *as, const char *name)
{
	struct part *p = g_hash_table_lookup(as->parts, name);
	int l;

	if (p == NULL)
		return;
	unclaim_all(as, p);
	for (l = 0; l < LISTS; l++)
		take_out(as->lists[l], span_of(p->conf, l));
	g_hash_table_remove(as->parts, name);
}

void
dh_assembler_set(struct dh_assembler *as, const struct dh_team *team)
{
	struct part *p = g_new0(struct part, 1);
	int l;

	drop(as, team->name);
	p->team = team;
	p->problems = dh_problems_new();
	p->claims = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	p->conf = dh_assemble_ids(&team, 1, as->id_of, p->problems);
	claim_all(as, p);
	for (l = 0; l < LISTS; l++)
		as->lists[l] = merge_in(as->lists[l], l, span_of(p->conf, l));
	g_hash_table_insert(as->parts, g_strdup(team->name), p);
}

/* Whole configuration */

/* Ranges are the only part of a configuration held by pointer. */
static void
copy_ranges(struct dh_division *div)
{
	char **first_key;
	uint32_t i;

	if (div->kind != DH_DIVISION_RANGE)
		return;
	first_key = dh_assemble_alloc(div->range.count, sizeof(char *));
	for (i = 0; i < div->range.count; i++)
		first_key[i] = strdup(div->range.first_key[i]);
	div->range.first_key = first_key;
}

static void *
copy_list(const GPtrArray *list, size_t size)
{
	char *copy = dh_assemble_alloc(list->len, size);
	guint i;

	for (i = 0; i < list->len; i++)
		memcpy(copy + i * size, list->pdata[i], size);
	return copy;
}

static void
add_parts(
    const struct dh_assembler *as, struct dh_conf *conf, GPtrArray *problems)
{
	const struct dh_problem *pr;
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, as->parts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct part *p = value;

		conf->revision += p->conf->revision;
		for (i = 0; i < p->problems->len; i++) {
			pr = p->problems->pdata[i];
			dh_problem_add(problems, pr->kind, pr->name, pr->column,
			    pr->line, pr->text);
		}
	}
}

static struct dh_conf *
from_scratch(const struct dh_assembler *as, GPtrArray *problems)
{
	g_autoptr(GPtrArray) teams = g_ptr_array_new();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, as->parts);
	while (g_hash_table_iter_next(&it, NULL, &p))
		g_ptr_array_add(teams, (gpointer)((struct part *)p)->team);
	return dh_assemble_ids(
	    (const struct dh_team *const *)(void *)teams->pdata, teams->len,
	    as->id_of, problems);
}

struct dh_conf *
dh_assembler_conf(const struct dh_assembler *as, GPtrArray *problems)
{
	struct dh_conf *conf;
	size_t i;

	if (as->contested > 0)
		return from_scratch(as, problems);
	conf = dh_assemble_alloc(1, sizeof(*conf));
	conf->nservices = as->lists[SERVICES]->len;
	conf->services =
	    copy_list(as->lists[SERVICES], sizeof(struct dh_service));
	conf->nbackends = as->lists[BACKENDS]->len;
	conf->backends =
	    copy_list(as->lists[BACKENDS], sizeof(struct dh_backend));
	conf->npins = as->lists[PINS]->len;
	conf->pins = copy_list(as->lists[PINS], sizeof(struct dh_pin));
	for (i = 0; i < conf->nservices; i++)
		copy_ranges(&conf->services[i].division);
	(void)dh_conf_index(conf);
	add_parts(as, conf, problems);
	return conf;
}
