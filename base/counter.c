#include "base/counter.h"

#include <pthread.h>

#include <ck_pr.h>

struct dh_counter {
	uint64_t value;
	char *name;
	char *labels;
};

static pthread_mutex_t registry_lock = PTHREAD_MUTEX_INITIALIZER;
static GTree *registry;

static gint
compare_id(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(a, b);
}

struct dh_counter *
dh_counter_get(const char *name, const char *labels)
{
	g_autofree char *id = g_strdup_printf("%s{%s}", name, labels);
	struct dh_counter *c;

	pthread_mutex_lock(&registry_lock);
	if (registry == NULL)
		registry = g_tree_new(compare_id);
	c = g_tree_lookup(registry, id);
	if (c == NULL) {
		c = g_new0(struct dh_counter, 1);
		c->name = g_strdup(name);
		c->labels = g_strdup(labels);
		g_tree_insert(registry, g_steal_pointer(&id), c);
	}
	pthread_mutex_unlock(&registry_lock);
	return c;
}

void
dh_counter_add(struct dh_counter *c, uint64_t n)
{
	ck_pr_add_64(&c->value, n);
}

void
dh_counter_set(struct dh_counter *c, uint64_t value)
{
	ck_pr_store_64(&c->value, value);
}

uint64_t
dh_counter_value(const struct dh_counter *c)
{
	return ck_pr_load_64(&c->value);
}

static gboolean
print_one(gpointer id, gpointer value, gpointer arg)
{
	const struct dh_counter *c = value;
	GString *out = arg;

	(void)id;
	g_string_append(out, c->name);
	if (c->labels[0] != '\0')
		g_string_append_printf(out, "{%s}", c->labels);
	g_string_append_printf(
	    out, " %" G_GUINT64_FORMAT "\n", dh_counter_value(c));
	return FALSE;
}

void
dh_counter_print(GString *out)
{
	pthread_mutex_lock(&registry_lock);
	if (registry != NULL)
		g_tree_foreach(registry, print_one, out);
	pthread_mutex_unlock(&registry_lock);
}
