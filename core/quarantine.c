#include <dogwoodhub/quarantine.h>

#define SUSPECT_MS INT64_C(600000)
#define REFUSAL_MS INT64_C(3600000)

static size_t
find(const struct dh_quarantine *q, uint64_t request)
{
	size_t i;

	for (i = 0; i < q->nsuspects; i++)
		if (q->suspects[i].request == request)
			return i;
	return SIZE_MAX;
}

struct dh_suspect
dh_quarantine_find(const struct dh_quarantine *q, uint64_t request)
{
	size_t i = find(q, request);

	return i == SIZE_MAX ? (struct dh_suspect){ .request = request }
			     : q->suspects[i];
}

static bool
has_server(const struct dh_suspect *s, uint32_t server)
{
	uint32_t i;

	for (i = 0; i < s->nservers; i++)
		if (s->servers[i] == server)
			return true;
	return false;
}

/* Adds the backend servers of b to those of a, and counts them. */
static void
merge_servers(struct dh_suspect *a, const struct dh_suspect *b)
{
	uint32_t i;

	for (i = 0; i < b->nservers && a->nservers < DH_CRASHES_MAX; i++)
		if (!has_server(a, b->servers[i]))
			a->servers[a->nservers++] = b->servers[i];
	if (a->crashes < b->crashes)
		a->crashes = b->crashes;
	if (a->crashes < a->nservers)
		a->crashes = a->nservers;
}

bool
dh_suspect_is_newer(const struct dh_suspect *a, const struct dh_suspect *b)
{
	struct dh_suspect merged = *b;

	if (a->epoch != b->epoch)
		return a->epoch > b->epoch;
	if (dh_suspect_is_refused(b))
		return false;
	merge_servers(&merged, a);
	return merged.crashes != b->crashes || merged.nservers != b->nservers;
}

bool
dh_suspect_is_refused(const struct dh_suspect *s)
{
	return s->crashes >= DH_CRASHES_MAX;
}

int64_t
dh_suspect_refused_ms(const struct dh_suspect *s, int64_t now_ms)
{
	int64_t left_ms = s->changed_ms + REFUSAL_MS - now_ms;

	return left_ms > 0 ? left_ms : 0;
}

/* Whether a is given up before b: fewer crashes, or older. */
static bool
is_less_important(const struct dh_suspect *a, const struct dh_suspect *b)
{
	if (a->crashes != b->crashes)
		return a->crashes < b->crashes;
	return a->changed_ms < b->changed_ms;
}

/* The place for a new entry, SIZE_MAX if all others are more important. */
static size_t
place_for(struct dh_quarantine *q, const struct dh_suspect *s)
{
	size_t i, least = 0;

	if (q->nsuspects < DH_SUSPECTS_MAX)
		return q->nsuspects++;
	for (i = 1; i < q->nsuspects; i++)
		if (is_less_important(&q->suspects[i], &q->suspects[least]))
			least = i;
	return is_less_important(&q->suspects[least], s) ? least : SIZE_MAX;
}

bool
dh_quarantine_merge(
    struct dh_quarantine *q, const struct dh_suspect *s, int64_t now_ms)
{
	struct dh_suspect known = dh_quarantine_find(q, s->request);
	struct dh_suspect entry = *s;
	size_t i;

	if (!dh_suspect_is_newer(s, &known))
		return false;
	if (entry.epoch == known.epoch)
		merge_servers(&entry, &known);
	entry.changed_ms = now_ms;
	i = find(q, s->request);
	if (i == SIZE_MAX)
		i = place_for(q, &entry);
	if (i == SIZE_MAX)
		return false;
	q->suspects[i] = entry;
	return true;
}

bool
dh_quarantine_add_crash(struct dh_quarantine *q, const struct dh_suspect *sent,
    uint32_t server, int64_t now_ms)
{
	struct dh_suspect s = dh_quarantine_find(q, sent->request);

	if (s.epoch != sent->epoch || s.nservers == DH_CRASHES_MAX ||
	    has_server(&s, server))
		return false;
	s.servers[s.nservers++] = server;
	if (sent->crashes > 0)
		s.crashes = DH_CRASHES_MAX;
	else if (s.crashes < DH_CRASHES_MAX)
		s.crashes++;
	return dh_quarantine_merge(q, &s, now_ms);
}

bool
dh_quarantine_add_answer(
    struct dh_quarantine *q, uint64_t request, int64_t now_ms)
{
	size_t i = find(q, request);

	if (i == SIZE_MAX || q->suspects[i].crashes == 0)
		return false;
	q->suspects[i].epoch++;
	q->suspects[i].crashes = q->suspects[i].nservers = 0;
	q->suspects[i].changed_ms = now_ms;
	return true;
}

bool
dh_quarantine_expire(struct dh_quarantine *q, int64_t now_ms)
{
	bool changed = false;
	struct dh_suspect *s;
	size_t i;

	for (i = 0; i < q->nsuspects;) {
		s = &q->suspects[i];
		if (dh_suspect_is_refused(s) &&
		    dh_suspect_refused_ms(s, now_ms) == 0) {
			s->epoch++;
			s->crashes = DH_CRASHES_MAX - 1;
			s->nservers = 0;
			s->changed_ms = now_ms;
			changed = true;
		} else if (!dh_suspect_is_refused(s) &&
		    now_ms - s->changed_ms >= SUSPECT_MS) {
			*s = q->suspects[--q->nsuspects];
			changed = true;
			continue;
		}
		i++;
	}
	return changed;
}
