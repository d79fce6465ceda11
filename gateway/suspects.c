#include "gateway/suspects.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/jsonfield.h"
#include "base/opslog.h"

#define DIGEST_BASE 16

struct dh_suspects {
	struct dh_quarantine quarantine;
	/* Of struct dh_suspect: the entries of the leader's last heartbeat. */
	GArray *shared;
	uint64_t nrefused; /* number of refused requests */
	struct dh_counter *refused; /* shows it */
};

struct dh_suspects *
dh_suspects_new(void)
{
	struct dh_suspects *s = g_new0(struct dh_suspects, 1);

	s->shared = g_array_new(FALSE, FALSE, sizeof(struct dh_suspect));
	s->refused = dh_counter_get("dh_gateway_quarantine_requests", "");
	return s;
}

void
dh_suspects_free(struct dh_suspects *s)
{
	if (s == NULL)
		return;
	g_array_free(s->shared, TRUE);
	g_free(s);
}

static void
count_refused(struct dh_suspects *s)
{
	size_t i;

	s->nrefused = 0;
	for (i = 0; i < s->quarantine.nsuspects; i++)
		s->nrefused +=
		    dh_suspect_is_refused(&s->quarantine.suspects[i]);
	dh_counter_set(s->refused, s->nrefused);
}

bool
dh_suspects_refuse(const struct dh_suspects *s)
{
	return s->nrefused > 0;
}

/* Logs where the refusal of a request begins or ends; what this VM merely hears
 * of is logged by the VM that counted it. */
static void
log_refusal(const struct dh_suspect *before, const struct dh_suspect *now,
    const char *from)
{
	bool refused = dh_suspect_is_refused(now);

	if (refused == dh_suspect_is_refused(before))
		return;
	dh_opslog_add(DH_OPS_STATE,
	    refused ? "suspect.refused" : "suspect.cleared",
	    ",\"digest\":\"%016llx\",\"crashes\":%u,\"epoch\":%u,"
	    "\"crashes_before\":%u,\"from\":\"%s\"",
	    (unsigned long long)now->request, now->crashes, now->epoch,
	    before->crashes, from);
}

static bool
merge(struct dh_suspects *s, const struct dh_suspect *entries, size_t n,
    const char *from, int64_t now_ms)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < n; i++) {
		const struct dh_suspect *e = &entries[i];
		struct dh_suspect before =
		    dh_quarantine_find(&s->quarantine, e->request);
		struct dh_suspect after;

		if (!dh_quarantine_merge(&s->quarantine, e, now_ms))
			continue;
		changed = true;
		after = dh_quarantine_find(&s->quarantine, e->request);
		log_refusal(&before, &after, from);
	}
	if (changed)
		count_refused(s);
	return changed;
}

static bool
merge_array(struct dh_suspects *s, const GArray *entries, const char *from,
    int64_t now_ms)
{
	return merge(s, (const struct dh_suspect *)(const void *)entries->data,
	    entries->len, from, now_ms);
}

bool
dh_suspects_add_worker_report(
    struct dh_suspects *s, const struct dh_worker_report *r, int64_t now_ms)
{
	return merge(s, r->suspects, r->nsuspects, "router", now_ms);
}

bool
dh_suspects_note_report(
    struct dh_suspects *s, const GArray *entries, int64_t now_ms)
{
	return merge_array(s, entries, "report", now_ms);
}

bool
dh_suspects_note_shared(
    struct dh_suspects *s, const GArray *entries, int64_t now_ms)
{
	g_array_set_size(s->shared, 0);
	g_array_append_vals(s->shared, entries->data, entries->len);
	return merge_array(s, entries, "leader", now_ms);
}

/* Reads one entry of the object, [digest, epoch, crashes]. */
static bool
read_entry(struct json_object *row, struct dh_suspect *e)
{
	struct json_object *digest, *epoch, *crashes;
	char *end = NULL;

	memset(e, 0, sizeof(*e));
	if (!json_object_is_type(row, json_type_array) ||
	    json_object_array_length(row) < 3)
		return false;
	digest = json_object_array_get_idx(row, 0);
	epoch = json_object_array_get_idx(row, 1);
	crashes = json_object_array_get_idx(row, 2);
	if (!json_object_is_type(digest, json_type_string) ||
	    !json_object_is_type(epoch, json_type_int) ||
	    !json_object_is_type(crashes, json_type_int))
		return false;
	e->request =
	    strtoull(json_object_get_string(digest), &end, DIGEST_BASE);
	e->epoch = (uint32_t)json_object_get_int64(epoch);
	e->crashes = (uint32_t)json_object_get_int64(crashes);
	return *end == '\0' && e->request != 0 &&
	    json_object_get_int64(epoch) == e->epoch &&
	    e->crashes <= DH_CRASHES_MAX;
}

bool
dh_suspects_note_spec(
    struct dh_suspects *s, struct json_object *spec, int64_t now_ms)
{
	struct json_object *list;
	struct dh_suspect e;
	bool changed = false;
	size_t i, n;

	if (!json_object_is_type(spec, json_type_object) ||
	    !json_object_object_get_ex(spec, "requests", &list) ||
	    !json_object_is_type(list, json_type_array)) {
		dh_opslog_add(DH_OPS_STATE, "quarantine.unreadable",
		    ",\"why\":\"no list of requests\"");
		return false;
	}
	n = json_object_array_length(list);
	for (i = 0; i < n; i++) {
		if (read_entry(json_object_array_get_idx(list, i), &e))
			changed = merge(s, &e, 1, "store", now_ms) || changed;
		else
			dh_opslog_add(DH_OPS_STATE, "quarantine.unreadable",
			    ",\"why\":\"an invalid entry\",\"entry\":%zu", i);
	}
	return changed;
}

bool
dh_suspects_expire(struct dh_suspects *s, int64_t now_ms)
{
	struct dh_quarantine before = s->quarantine;
	struct dh_suspect after;
	size_t i;

	if (!dh_quarantine_expire(&s->quarantine, now_ms))
		return false;
	for (i = 0; i < before.nsuspects; i++) {
		after = dh_quarantine_find(
		    &s->quarantine, before.suspects[i].request);
		log_refusal(&before.suspects[i], &after, "expiry");
	}
	count_refused(s);
	return true;
}

/* Refused requests first, then the last changes. */
static gint
compare_importance(gconstpointer a, gconstpointer b)
{
	const struct dh_suspect *ea = a, *eb = b;
	bool ra = dh_suspect_is_refused(ea), rb = dh_suspect_is_refused(eb);

	if (ra != rb)
		return ra ? -1 : 1;
	return (ea->changed_ms < eb->changed_ms) -
	    (ea->changed_ms > eb->changed_ms);
}

static void
keep_most_important(GArray *entries)
{
	if (entries->len <= DH_SHARED_SUSPECTS)
		return;
	g_array_sort(entries, compare_importance);
	g_array_set_size(entries, DH_SHARED_SUSPECTS);
}

static bool
leader_has(const struct dh_suspects *s, const struct dh_suspect *e)
{
	const struct dh_suspect *l;
	guint i;

	for (i = 0; i < s->shared->len; i++) {
		l = &g_array_index(s->shared, struct dh_suspect, i);
		if (l->request == e->request)
			return !dh_suspect_is_newer(e, l);
	}
	return false;
}

void
dh_suspects_report(const struct dh_suspects *s, GArray *entries)
{
	size_t i;

	for (i = 0; i < s->quarantine.nsuspects; i++)
		if (!leader_has(s, &s->quarantine.suspects[i]))
			g_array_append_val(entries, s->quarantine.suspects[i]);
	keep_most_important(entries);
}

void
dh_suspects_share(const struct dh_suspects *s, GArray *entries)
{
	g_array_append_vals(
	    entries, s->quarantine.suspects, (guint)s->quarantine.nsuspects);
	keep_most_important(entries);
}

static int
compare_requests(const void *a, const void *b)
{
	const struct dh_suspect *ea = a, *eb = b;

	return (ea->request > eb->request) - (ea->request < eb->request);
}

char *
dh_suspects_spec(const struct dh_suspects *s)
{
	g_autoptr(GString) text = g_string_new("{\"requests\":[");
	struct dh_quarantine q = s->quarantine;
	const char *comma = "";
	size_t i;

	qsort(q.suspects, q.nsuspects, sizeof(q.suspects[0]), compare_requests);
	for (i = 0; i < q.nsuspects; i++) {
		if (!dh_suspect_is_refused(&q.suspects[i]))
			continue;
		g_string_append_printf(text, "%s[\"%016llx\",%u,%u]", comma,
		    (unsigned long long)q.suspects[i].request,
		    q.suspects[i].epoch, q.suspects[i].crashes);
		comma = ",";
	}
	g_string_append(text, "]}");
	return g_strdup(text->str);
}

void
dh_suspects_fill_view(const struct dh_suspects *s, struct dh_view *v)
{
	if (s->quarantine.nsuspects == 0)
		return;
	v->suspects = g_memdup2(s->quarantine.suspects,
	    s->quarantine.nsuspects * sizeof(v->suspects[0]));
	v->nsuspects = s->quarantine.nsuspects;
}
