#include <stdlib.h>

#include "gateway/peer.h"

/* Decodes the input as a datagram from another VM.  The values passed to the
 * handler must be within their bounds, and the changes of owners must apply to
 * a record. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void
on_beat(void *arg, const struct dh_leader_heartbeat *beat, const char *ip)
{
	(void)arg;
	(void)beat;
	(void)ip;
}

/* After any decoded changes the record must cover all keys without gaps. */
static void
apply(const GArray *changes)
{
	struct dh_record r = dh_record_unowned();
	size_t i;

	dh_record_apply(&r,
	    (const struct dh_record_change *)(void *)changes->data,
	    changes->len);
	if (r.nranges == 0 || r.ranges[0].from != 0 ||
	    r.ranges[r.nranges - 1].to != DH_KEYS - 1)
		abort();
	for (i = 1; i < r.nranges; i++)
		if (r.ranges[i].from != r.ranges[i - 1].to + 1)
			abort();
	dh_record_clear(&r);
}

static void
on_owners(void *arg, const struct dh_peer_part *p)
{
	(void)arg;
	if (p->part >= p->parts || p->parts > DH_PEER_PARTS)
		abort();
	apply(p->changes);
}

static void
on_delta(void *arg, const struct dh_peer_delta *d)
{
	(void)arg;
	apply(d->changes);
}

static void
on_report(void *arg, const struct dh_peer_report *r, const char *ip)
{
	guint i;

	(void)arg;
	(void)ip;
	for (i = 0; i < r->keys->len; i++)
		if (g_array_index(r->keys, struct dh_peer_key, i).owners >=
		    r->nowners)
			abort();
}

static void
on_news(void *arg, const struct dh_registry_changes *n, uint64_t term)
{
	(void)arg;
	(void)term;
	if (n->kind >= DH_REGISTRY_KINDS)
		abort();
}

static void
on_relayed(void *arg, const uint32_t *addresses, size_t n, const void *datagram,
    size_t len)
{
	g_autoptr(dh_fanout) f = dh_fanout_split(addresses, n);
	size_t total = 0;
	guint i;

	(void)arg;
	(void)datagram;
	(void)len;
	for (i = 0; i < f->groups->len; i++)
		total += g_array_index(f->groups, struct dh_fanout_group, i).n;
	if (total != n)
		abort();
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static const struct dh_peer_handler h = { on_beat, on_owners, on_delta,
		on_report, on_news, on_relayed, NULL, NULL };

	(void)dh_peer_decode(&h, data, len, "127.0.0.1");
	return 0;
}
