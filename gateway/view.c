#include "gateway/view.h"

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
		g_free(v->services[i].servers);
		g_free(v->services[i].ranges);
	}
	g_free(v->services);
	g_free(v->servers);
	dh_deployment_unbox(v->deployment);
	g_free(v);
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
