#include "check/history.h"

#include "check/history_internal.h"

#define DRAIN_MS 5000
#define CONFIG_MS 4000
#define MAX_IDS 1000000

static const char *const promise_names[DH_PROMISES] = {
	[DH_PROMISE_SINGLE_OWNER] = "single-owner",
	[DH_PROMISE_ASSIGNMENT_KEPT] = "assignment-kept",
	[DH_PROMISE_OWN_ANSWER] = "own-answer",
	[DH_PROMISE_NOT_RUN] = "not-run",
	[DH_PROMISE_AT_MOST_ONCE] = "at-most-once",
	[DH_PROMISE_DRAINED] = "drained",
	[DH_PROMISE_CLEAN_STOP] = "clean-stop",
	[DH_PROMISE_CONFIG_KEPT] = "config-kept",
};

static const char *const verdict_names[] = {
	[DH_VERDICT_UNSEEN] = "unseen",
	[DH_VERDICT_HELD] = "held",
	[DH_VERDICT_PARTIAL] = "partial",
	[DH_VERDICT_BROKEN] = "broken",
};

struct dh_history_params
dh_history_defaults(void)
{
	struct dh_history_params p = {
		.drain_ms = DRAIN_MS,
		.config_ms = CONFIG_MS,
		.max_ids = MAX_IDS,
	};

	return p;
}

struct dh_history *
dh_history_new(const struct dh_history_params *p)
{
	struct dh_history *h = g_new0(struct dh_history, 1);

	g_assert(p->max_ids > 0);
	h->params = *p;
	h->ownership = dh_ownership_new();
	h->requests = dh_requests_new();
	h->lifecycle = dh_lifecycle_new();
	h->changed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->now_us = INT64_MIN;
	return h;
}

void
dh_history_free(struct dh_history *h)
{
	size_t p, i;

	if (h == NULL)
		return;
	for (p = 0; p < DH_PROMISES; p++) {
		for (i = 0; i < DH_HISTORY_FINDINGS_MAX; i++)
			g_free(h->findings[p].text[i]);
	}
	dh_ownership_free(h->ownership);
	dh_requests_free(h->requests);
	dh_lifecycle_free(h->lifecycle);
	g_hash_table_unref(h->changed);
	g_free(h);
}

void
dh_history_broken(struct dh_history *h, enum dh_promise p, struct dh_where at,
    const char *fmt, ...)
{
	struct dh_finding_list *f = &h->findings[p];
	g_autofree char *why = NULL;
	va_list ap;

	f->broken++;
	if (f->broken > DH_HISTORY_FINDINGS_MAX)
		return;
	va_start(ap, fmt);
	why = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	f->text[f->broken - 1] =
	    g_strdup_printf("%s:%u: %s", at.file, at.line, why);
}

const struct dh_change *
dh_history_change(const struct dh_history *h, const char *name)
{
	return g_hash_table_lookup(h->changed, name);
}

static void
note_change(struct dh_history *h, const char *name, int64_t t_us, bool up)
{
	struct dh_change *c = g_hash_table_lookup(h->changed, name);

	if (c == NULL) {
		c = g_new(struct dh_change, 1);
		c->down_us = INT64_MIN;
		c->up_us = INT64_MIN;
		g_hash_table_insert(h->changed, g_strdup(name), c);
	}
	if (up)
		c->up_us = t_us;
	else
		c->down_us = t_us;
}

void
dh_history_add(
    struct dh_history *h, const struct dh_event *ev, struct dh_where where)
{
	g_assert(ev->t_us >= h->now_us);
	dh_lifecycle_pass(h, ev->t_us);
	h->now_us = ev->t_us;
	if (ev->kind == DH_EVENT_UP)
		note_change(h, ev->src, ev->t_us, true);
	else if (ev->kind == DH_EVENT_DOWN)
		note_change(h, ev->target.name, ev->t_us, false);
	dh_requests_before(h, ev, where);
	dh_check_single_owner(h, ev, where);
	dh_check_assignment_kept(h, ev, where);
	dh_check_own_answer(h, ev, where);
	dh_check_not_run(h, ev, where);
	dh_check_at_most_once(h, ev, where);
	dh_check_drained(h, ev, where);
	dh_check_clean_stop(h, ev, where);
	dh_check_config_kept(h, ev, where);
	dh_requests_after(h, ev, where);
}

void
dh_history_finish(struct dh_history *h)
{
	dh_check_clean_stop_end(h);
}

const char *
dh_promise_name(enum dh_promise p)
{
	return promise_names[p];
}

const char *
dh_verdict_name(enum dh_verdict v)
{
	return verdict_names[v];
}

static bool
depends_on_request_ids(enum dh_promise p)
{
	return p == DH_PROMISE_OWN_ANSWER || p == DH_PROMISE_NOT_RUN ||
	    p == DH_PROMISE_AT_MOST_ONCE || p == DH_PROMISE_CLEAN_STOP;
}

enum dh_verdict
dh_history_verdict(const struct dh_history *h, enum dh_promise p)
{
	const struct dh_finding_list *f = &h->findings[p];

	if (f->broken > 0)
		return DH_VERDICT_BROKEN;
	if (f->checked == 0)
		return DH_VERDICT_UNSEEN;
	if (depends_on_request_ids(p) && dh_history_forgotten(h) > 0)
		return DH_VERDICT_PARTIAL;
	return DH_VERDICT_HELD;
}

const struct dh_finding_list *
dh_history_findings(const struct dh_history *h, enum dh_promise p)
{
	return &h->findings[p];
}

uint64_t
dh_history_forgotten(const struct dh_history *h)
{
	return dh_requests_forgotten(h->requests);
}
