#include "gateway/view.h"

#include <string.h>

struct dh_deployment **
dh_deployment_box(struct dh_deployment *d)
{
	struct dh_deployment **box =
	    g_atomic_rc_box_new(struct dh_deployment *);

	*box = d;
	return box;
}

static void
box_clear(gpointer box)
{
	dh_deployment_free(*(struct dh_deployment **)box);
}

void
dh_deployment_unbox(struct dh_deployment **box)
{
	if (box != NULL)
		g_atomic_rc_box_release_full(box, box_clear);
}

struct dh_view_peers *
dh_view_peers_new(size_t max)
{
	return g_atomic_rc_box_alloc0(
	    sizeof(struct dh_view_peers) + max * sizeof(struct dh_view_peer));
}

struct dh_view *
dh_view_new(struct dh_deployment **deployment)
{
	struct dh_view *v = g_new0(struct dh_view, 1);

	g_atomic_ref_count_init(&v->refs);
	v->deployment = g_atomic_rc_box_acquire(deployment);
	v->services =
	    g_new0(struct dh_view_service, (*deployment)->nservices + 1);
	return v;
}

struct dh_view *
dh_view_new_derived(struct dh_view *base)
{
	struct dh_view *v = dh_view_new(base->deployment);
	size_t i;

	v->base = dh_view_ref(base);
	v->by_id = base->by_id;
	v->servers = base->servers;
	v->nservers = base->nservers;
	v->vms = base->vms;
	for (i = 0; i < (*v->deployment)->nservices; i++) {
		v->services[i].servers = base->services[i].servers;
		v->services[i].nservers = base->services[i].nservers;
		memcpy(v->services[i].tier_end, base->services[i].tier_end,
		    sizeof(v->services[i].tier_end));
	}
	return v;
}

uint32_t
dh_view_find(const struct dh_view *v, const char *id)
{
	gpointer at =
	    v->by_id == NULL ? NULL : g_hash_table_lookup(v->by_id, id);

	return at == NULL ? DH_NONE : GPOINTER_TO_UINT(at) - 1;
}

struct dh_view *
dh_view_ref(struct dh_view *v)
{
	g_atomic_ref_count_inc(&v->refs);
	return v;
}

void
dh_view_unref(struct dh_view *v)
{
	size_t i;

	if (v == NULL || !g_atomic_ref_count_dec(&v->refs))
		return;
	for (i = 0; i < (*v->deployment)->nservices; i++) {
		if (v->base == NULL)
			g_free(v->services[i].servers);
		g_free(v->services[i].ranges);
	}
	g_free(v->services);
	g_free(v->limits);
	g_free(v->suspects);
	if (v->peers != NULL)
		g_atomic_rc_box_release(v->peers);
	if (v->base == NULL) {
		if (v->by_id != NULL)
			g_hash_table_destroy(v->by_id);
		g_free(v->servers);
	}
	dh_view_unref(v->base);
	dh_deployment_unbox(v->deployment);
	g_free(v);
}

bool
dh_view_server_is_closed(const struct dh_view_server *s, int64_t now_ms)
{
	return s->close_ms != 0 && now_ms >= s->close_ms;
}

const struct dh_view_range *
dh_view_owner(const struct dh_view *v, uint32_t service, uint32_t key)
{
	const struct dh_view_service *s = &v->services[service];
	size_t low = 0, high = s->nranges, mid;

	while (low < high) {
		mid = (low + high) / 2;
		if (s->ranges[mid].to < key)
			low = mid + 1;
		else
			high = mid;
	}
	return low < s->nranges ? &s->ranges[low] : NULL;
}
