#include "gateway/backlog.h"

struct dh_backlog {
	GQueue steps; /* of struct dh_backlog_step, oldest first */
};

static void
step_free(gpointer p)
{
	struct dh_backlog_step *s = p;

	g_array_unref(s->changes);
	g_free(s);
}

struct dh_backlog *
dh_backlog_new(void)
{
	struct dh_backlog *b = g_new0(struct dh_backlog, 1);

	g_queue_init(&b->steps);
	return b;
}

void
dh_backlog_clear(struct dh_backlog *b)
{
	g_queue_clear_full(&b->steps, step_free);
}

void
dh_backlog_free(struct dh_backlog *b)
{
	if (b == NULL)
		return;
	dh_backlog_clear(b);
	g_free(b);
}

const struct dh_backlog_step *
dh_backlog_add(struct dh_backlog *b, uint64_t base, uint64_t version,
    GArray *changes, int64_t now_ms)
{
	struct dh_backlog_step *s = g_new0(struct dh_backlog_step, 1);

	*s = (struct dh_backlog_step){ base, version, now_ms, changes };
	g_queue_push_tail(&b->steps, s);
	if (b->steps.length > DH_BACKLOG_STEPS)
		step_free(g_queue_pop_head(&b->steps));
	return s;
}

bool
dh_backlog_may_arrive(
    const struct dh_backlog *b, uint64_t version, int64_t now_ms)
{
	const struct dh_backlog_step *s = dh_backlog_after(b, version);

	return s != NULL && now_ms - s->sent_ms < DH_BACKLOG_RESEND_MS;
}

const struct dh_backlog_step *
dh_backlog_after(const struct dh_backlog *b, uint64_t version)
{
	const GList *l;

	for (l = b->steps.tail; l != NULL; l = l->prev) {
		const struct dh_backlog_step *s = l->data;

		if (s->base == version)
			return s;
		if (s->version <= version)
			return NULL;
	}
	return NULL;
}
