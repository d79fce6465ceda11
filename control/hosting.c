#include "control/hosting.h"

#include "base/timer.h"
#include "control/authority.h"
#include "control/vms.h"

/* Delay that combines changes of the VMs into one choice of candidates. */
#define CHOOSE_DELAY_MS 100u
#define CHECK_MS 1000u
/* Delay of the first choice of candidates.  A process that has just started
 * knows no other VMs and would consider itself a candidate of every group. */
#define SETTLE_MS 500u

struct dh_hosting {
	struct dh_control *control;
	uv_timer_t *choose;
	uv_timer_t *check;
	bool settled; /* SETTLE_MS is over */
};

static void
update_members(struct dh_hosting *h, bool hosted_only)
{
	size_t n;
	g_autofree struct dh_group_vm *vms = dh_vms_list(h->control->vms, &n);
	GHashTableIter it;
	gpointer a;

	g_hash_table_iter_init(&it, h->control->authorities);
	while (g_hash_table_iter_next(&it, NULL, &a))
		if (!hosted_only || dh_authority_is_hosted(a))
			dh_authority_set_vms(a, vms, n);
}

static void
on_choose(uv_timer_t *timer)
{
	struct dh_hosting *h = timer->data;

	h->settled = true;
	update_members(h, false);
}

static void
schedule_choice(struct dh_hosting *h)
{
	if (!uv_is_active((uv_handle_t *)h->choose))
		uv_timer_start(h->choose, on_choose, CHOOSE_DELAY_MS, 0);
}

void
dh_hosting_vms_changed(struct dh_hosting *h)
{
	update_members(h, true);
	schedule_choice(h);
}

static void
on_check(uv_timer_t *timer)
{
	struct dh_hosting *h = timer->data;
	GHashTableIter it;
	gpointer a;
	bool changed = false;

	g_hash_table_iter_init(&it, h->control->authorities);
	while (g_hash_table_iter_next(&it, NULL, &a))
		if (dh_authority_check_leaders(a))
			changed = true;
	if (changed)
		schedule_choice(h);
}

/* Service name -> GPtrArray of the service's struct dh_backend. */
static GHashTable *
backends_by_service(const struct dh_conf *conf)
{
	GHashTable *table = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
	GPtrArray *list;
	size_t i;

	for (i = 0; i < conf->nbackends; i++) {
		struct dh_backend *b = &conf->backends[i];

		list = g_hash_table_lookup(table, b->service);
		if (list == NULL) {
			list = g_ptr_array_new();
			g_hash_table_insert(table, b->service, list);
		}
		g_ptr_array_add(list, b);
	}
	return table;
}

static void
add_authorities(struct dh_control *ct, const struct dh_conf *conf)
{
	size_t i;

	for (i = 0; i < conf->nservices; i++) {
		const struct dh_service *sv = &conf->services[i];
		struct dh_authority *a = dh_control_authority(ct, sv->name);

		if (a != NULL)
			continue;
		a = dh_authority_new(ct, sv->name, 0, dh_service_slots(sv));
		g_hash_table_insert(
		    ct->authorities, g_strdup(dh_authority_name(a)), a);
	}
}

void
dh_hosting_configure(struct dh_hosting *h)
{
	struct dh_control *ct = h->control;
	g_autoptr(GHashTable) backends = backends_by_service(ct->conf->conf);
	GHashTableIter it;
	gpointer a;

	add_authorities(ct, ct->conf->conf);
	g_hash_table_iter_init(&it, ct->authorities);
	while (g_hash_table_iter_next(&it, NULL, &a)) {
		GPtrArray *list =
		    g_hash_table_lookup(backends, dh_authority_service(a));

		dh_authority_configure(a,
		    list == NULL
			? NULL
			: (const struct dh_backend *const *)(void *)list->pdata,
		    list == NULL ? 0 : list->len);
	}
	if (h->settled)
		update_members(h, false);
}

struct dh_hosting *
dh_hosting_new(struct dh_control *ct)
{
	struct dh_hosting *h = g_new0(struct dh_hosting, 1);

	h->control = ct;
	h->choose = dh_timer_new(&ct->loop, h);
	h->check = dh_timer_new(&ct->loop, h);
	uv_timer_start(h->choose, on_choose, SETTLE_MS, 0);
	uv_timer_start(h->check, on_check, CHECK_MS, CHECK_MS);
	return h;
}

void
dh_hosting_free(struct dh_hosting *h)
{
	if (h == NULL)
		return;
	dh_timer_free(h->choose);
	dh_timer_free(h->check);
	g_free(h);
}
