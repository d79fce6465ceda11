#include "config/assemble.h"

#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/group.h>

/* A declaration and the team that made it. */
struct claim {
	const struct dh_team *team;
	const struct dh_declaration *declaration;
	uint64_t id;
};

struct assembly {
	GArray *claims[DH_KINDS]; /* struct claim */
	GHashTable *services; /* name -> struct dh_team that holds it */
	GHashTable *backends;
	GPtrArray *problems;
};

static int
earlier_first(gconstpointer a, gconstpointer b)
{
	const struct claim *x = a, *y = b;

	if (x->id != y->id)
		return x->id < y->id ? -1 : 1;
	if (x->declaration->since_ms != y->declaration->since_ms)
		return x->declaration->since_ms < y->declaration->since_ms ? -1
									   : 1;
	if (x->team != y->team)
		return strcmp(x->team->name, y->team->name);
	return strcmp(x->declaration->name, y->declaration->name);
}

static int
by_name(gconstpointer a, gconstpointer b)
{
	const struct claim *x = a, *y = b;

	return strcmp(x->declaration->name, y->declaration->name);
}

static void
leave_out(struct assembly *as, const struct claim *c, const char *why)
{
	g_autofree char *text =
	    g_strdup_printf("team %s: left out: %s", c->team->name, why);

	dh_problem_add(as->problems, c->declaration->kind, c->declaration->name,
	    DH_COLUMNS, 0, text);
}

/* Keeps the first claim of each id. */
static void
settle(struct assembly *as, enum dh_kind kind)
{
	GArray *all = as->claims[kind];
	struct claim *kept, *c;
	guint i, n = 0;

	g_array_sort(all, earlier_first);
	for (i = 0; i < all->len; i++) {
		c = &g_array_index(all, struct claim, i);
		kept = n == 0 ? NULL : &g_array_index(all, struct claim, n - 1);
		if (kept != NULL && kept->id == c->id) {
			g_autofree char *why =
			    g_strdup_printf("team %s holds the name %s",
				kept->team->name, kept->declaration->name);

			leave_out(as, c, why);
			continue;
		}
		g_array_index(all, struct claim, n++) = *c;
	}
	g_array_set_size(all, n);
	g_array_sort(all, by_name);
}

static void
gather(struct assembly *as, const struct dh_team *t, dh_id_fn id_of)
{
	const struct dh_declaration *d;
	struct claim c = { .team = t };
	guint i;

	for (i = 0; i < t->declarations->len; i++) {
		d = &g_array_index(t->declarations, struct dh_declaration, i);
		c.declaration = d;
		c.id = id_of(d->name);
		g_array_append_val(as->claims[d->kind], c);
	}
}

static GHashTable *
holders(const GArray *claims)
{
	GHashTable *table = g_hash_table_new(g_str_hash, g_str_equal);
	const struct claim *c;
	guint i;

	for (i = 0; i < claims->len; i++) {
		c = &g_array_index(claims, struct claim, i);
		g_hash_table_insert(
		    table, (gpointer)c->declaration->name, (gpointer)c->team);
	}
	return table;
}

static void
drop_if(struct assembly *as, enum dh_kind kind,
    bool (*lost)(const struct assembly *, const struct claim *))
{
	GArray *all = as->claims[kind];
	struct claim *c;
	guint i, n = 0;

	for (i = 0; i < all->len; i++) {
		c = &g_array_index(all, struct claim, i);
		if (lost(as, c))
			leave_out(as, c, "what it refers to is left out");
		else
			g_array_index(all, struct claim, n++) = *c;
	}
	g_array_set_size(all, n);
}

static bool
backend_lost(const struct assembly *as, const struct claim *c)
{
	return g_hash_table_lookup(as->services,
		   c->declaration->values[DH_COLUMN_SERVICE]) != c->team;
}

static bool
pin_lost(const struct assembly *as, const struct claim *c)
{
	const char *name = c->declaration->name;
	g_autofree char *service = g_strndup(name, strcspn(name, "/"));

	return g_hash_table_lookup(as->services, service) != c->team ||
	    g_hash_table_lookup(as->backends,
		c->declaration->values[DH_COLUMN_BACKEND_SERVER]) != c->team;
}

static uint32_t
u32(const struct claim *c, enum dh_column column)
{
	return (uint32_t)dh_declaration_integer(c->declaration, column);
}

static void
copy_text(char *to, const struct claim *c, enum dh_column column)
{
	(void)g_strlcpy(
	    to, dh_declaration_text(c->declaration, column), DH_NAME_MAX);
}

void *
dh_assemble_alloc(size_t n, size_t size)
{
	void *p = calloc(MAX(n, 1), size);

	if (p == NULL)
		g_error("no memory for the configuration");
	return p;
}

static void
fill_ranges(struct dh_division *div, const char *text)
{
	struct json_object *list = json_tokener_parse(text);
	size_t i, n = json_object_array_length(list);

	div->kind = DH_DIVISION_RANGE;
	div->range.count = (uint32_t)n;
	div->range.first_key = dh_assemble_alloc(n, sizeof(char *));
	for (i = 0; i < n; i++)
		div->range.first_key[i] = strdup(
		    json_object_get_string(json_object_array_get_idx(list, i)));
	json_object_put(list);
}

static void
fill_division(struct dh_service *sv, const struct claim *c)
{
	const struct dh_declaration *d = c->declaration;

	if (strcmp(dh_declaration_text(d, DH_COLUMN_SERVICE_KIND), "any") ==
	    0) {
		sv->kind = DH_SERVICE_ANY;
		return;
	}
	sv->kind = DH_SERVICE_KEYED;
	if (strcmp(dh_declaration_text(d, DH_COLUMN_DIVISION), "range") == 0) {
		fill_ranges(&sv->division,
		    dh_declaration_text(d, DH_COLUMN_FIRST_KEYS));
		return;
	}
	sv->division.kind = DH_DIVISION_HASH;
	sv->division.hash.slots = u32(c, DH_COLUMN_HASH_SLOTS);
}

static void
fill_service(struct dh_service *sv, const struct claim *c)
{
	const struct dh_declaration *d = c->declaration;

	(void)g_strlcpy(sv->name, d->name, sizeof(sv->name));
	(void)g_strlcpy(sv->team, c->team->name, sizeof(sv->team));
	fill_division(sv, c);
	sv->weights.unavailable = u32(c, DH_COLUMN_WEIGHT_UNAVAILABLE);
	sv->weights.churn = u32(c, DH_COLUMN_WEIGHT_CHURN);
	sv->weights.imbalance = u32(c, DH_COLUMN_WEIGHT_IMBALANCE);
	sv->hot_keys = dh_declaration_boolean(d, DH_COLUMN_HOT_KEYS);
	sv->unrepeatable = dh_declaration_boolean(d, DH_COLUMN_UNREPEATABLE);
	sv->deadline_ms = dh_declaration_integer(d, DH_COLUMN_DEADLINE_MS);
	sv->queue_ms = dh_declaration_integer(d, DH_COLUMN_QUEUE_MS);
	sv->retry_percent = u32(c, DH_COLUMN_RETRY_PERCENT);
	sv->objective_ppm = u32(c, DH_COLUMN_OBJECTIVE_PPM);
	sv->objective_latency_ms =
	    dh_declaration_integer(d, DH_COLUMN_OBJECTIVE_LATENCY_MS);
}

static void
fill_backend(struct dh_backend *b, const struct claim *c)
{
	const struct dh_declaration *d = c->declaration;

	(void)g_strlcpy(b->name, d->name, sizeof(b->name));
	(void)g_strlcpy(b->team, c->team->name, sizeof(b->team));
	copy_text(b->service, c, DH_COLUMN_SERVICE);
	copy_text(b->address, c, DH_COLUMN_ADDRESS);
	b->port = (uint16_t)u32(c, DH_COLUMN_PORT);
	copy_text(b->zone, c, DH_COLUMN_ZONE);
	copy_text(b->region, c, DH_COLUMN_REGION);
	b->slots = u32(c, DH_COLUMN_SLOTS);
	b->connections = u32(c, DH_COLUMN_CONNECTIONS);
	b->checks_fence = dh_declaration_boolean(d, DH_COLUMN_CHECKS_FENCE);
	b->draining = dh_declaration_boolean(d, DH_COLUMN_DRAIN);
}

static void
fill_pin(struct dh_pin *p, const struct claim *c)
{
	const char *name = c->declaration->name;
	size_t len = strcspn(name, "/");

	(void)g_strlcpy(p->team, c->team->name, sizeof(p->team));
	memcpy(p->service, name, len);
	(void)g_strlcpy(p->key, dh_pin_key(c->declaration), sizeof(p->key));
	copy_text(p->backend, c, DH_COLUMN_BACKEND_SERVER);
}

static struct dh_conf *
fill(const struct assembly *as)
{
	struct dh_conf *conf = dh_assemble_alloc(1, sizeof(*conf));
	const GArray *sv = as->claims[DH_KIND_SERVICE];
	const GArray *bs = as->claims[DH_KIND_BACKEND_SERVER];
	const GArray *pins = as->claims[DH_KIND_PIN];
	guint i;

	conf->nservices = sv->len;
	conf->services = dh_assemble_alloc(sv->len, sizeof(struct dh_service));
	for (i = 0; i < sv->len; i++)
		fill_service(
		    &conf->services[i], &g_array_index(sv, struct claim, i));
	conf->nbackends = bs->len;
	conf->backends = dh_assemble_alloc(bs->len, sizeof(struct dh_backend));
	for (i = 0; i < bs->len; i++)
		fill_backend(
		    &conf->backends[i], &g_array_index(bs, struct claim, i));
	conf->npins = pins->len;
	conf->pins = dh_assemble_alloc(pins->len, sizeof(struct dh_pin));
	for (i = 0; i < pins->len; i++)
		fill_pin(&conf->pins[i], &g_array_index(pins, struct claim, i));
	(void)dh_conf_index(conf);
	return conf;
}

struct dh_conf *
dh_assemble_ids(const struct dh_team *const *teams, size_t n, dh_id_fn id_of,
    GPtrArray *problems)
{
	struct assembly as = { .problems = problems };
	struct dh_conf *conf;
	uint64_t revision = 0;
	size_t i;
	int kind;

	for (kind = 0; kind < DH_KINDS; kind++)
		as.claims[kind] =
		    g_array_new(FALSE, FALSE, sizeof(struct claim));
	for (i = 0; i < n; i++) {
		gather(&as, teams[i], id_of);
		revision += teams[i]->version;
	}
	settle(&as, DH_KIND_SERVICE);
	settle(&as, DH_KIND_BACKEND_SERVER);
	as.services = holders(as.claims[DH_KIND_SERVICE]);
	drop_if(&as, DH_KIND_BACKEND_SERVER, backend_lost);
	as.backends = holders(as.claims[DH_KIND_BACKEND_SERVER]);
	drop_if(&as, DH_KIND_PIN, pin_lost);
	g_array_sort(as.claims[DH_KIND_PIN], by_name);
	conf = fill(&as);
	conf->revision = revision;
	g_hash_table_unref(as.services);
	g_hash_table_unref(as.backends);
	for (kind = 0; kind < DH_KINDS; kind++)
		g_array_unref(as.claims[kind]);
	return conf;
}

struct dh_conf *
dh_assemble(const struct dh_team *const *teams, size_t n, GPtrArray *problems)
{
	return dh_assemble_ids(teams, n, dh_name_id, problems);
}
