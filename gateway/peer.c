#include "gateway/evacuation.h"
#include "gateway/peer.h"

#include <string.h>

#include <msgpack.h>

#include "base/counter.h"
#include "base/error.h"
#include "base/opslog.h"
#include "proto/bound.h"

/* Larger datagrams are not sent; VMs read a record of more ranges from the
 * store. */
#define DATAGRAM_MAX 60000
#define REPORT_KEYS_MAX 4096u
#define REPORT_SERVERS_MAX 512u
#define REPORT_LIMITS_MAX 256u
#define CHANGES_MAX 4096u
/* Rates are sent in thousandths of a request per second, fractions in
 * millionths. */
#define RATE_UNIT 1000.0
#define FRACTION_UNIT 1000000.0
/* Changes in one datagram of a complete list of owners. */
#define PART_CHANGES 1024u
/* Limit on the msgpack elements of a datagram; no valid one has as many. */
#define MSGPACK_ELEMENTS_MAX 65536u
/* Buffer size for the name of an object in the store; longer names are
 * refused. */
#define OBJECT_NAME_SIZE 256
#define OBJECTS_MAX 4096u
/* Once the specs in a datagram take this many bytes, the next object starts a
 * new one. */
#define SPEC_BYTES_TARGET 20000
/* VMs that one datagram is passed on to at most. */
#define RELAY_ADDRESSES_MAX 4096u
/* Bits of what a VM's build can do, in its reports. */
#define FEATURE_RELAYS 1u

struct dh_peer {
	uv_udp_t udp;
	uint16_t port;
	struct dh_peer_handler h;
	struct dh_counter *bad_datagrams, *unsent;
	struct dh_counter *bytes[DH_PEER_KINDS]; /* by kind */
	struct dh_peer_traffic traffic;
	char buffer[65536];
};

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct dh_peer *p = handle->data;

	(void)size;
	*buf = uv_buf_init(p->buffer, sizeof(p->buffer));
}

static bool
text_at(const msgpack_object_array *a, uint32_t i, char *to, size_t size)
{
	const msgpack_object *o = &a->ptr[i];

	if (i >= a->size || o->type != MSGPACK_OBJECT_STR ||
	    o->via.str.size >= size)
		return false;
	to[0] = '\0';
	/* The text of length 0 may be a null pointer. */
	if (o->via.str.size == 0)
		return true;
	if (memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL)
		return false;
	memcpy(to, o->via.str.ptr, o->via.str.size);
	to[o->via.str.size] = '\0';
	return true;
}

static bool
number_at(const msgpack_object_array *a, uint32_t i, uint64_t *value)
{
	if (i >= a->size || a->ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*value = a->ptr[i].via.u64;
	return true;
}

static const msgpack_object_array *
array_at(const msgpack_object_array *a, uint32_t i, uint32_t most)
{
	if (i >= a->size || a->ptr[i].type != MSGPACK_OBJECT_ARRAY ||
	    a->ptr[i].via.array.size > most)
		return NULL;
	return &a->ptr[i].via.array;
}

static bool
read_cursors(const msgpack_object_array *list,
    struct dh_registry_cursor cursors[DH_REGISTRY_KINDS])
{
	const msgpack_object_array *c;
	uint64_t reached;
	uint32_t i;

	if (list == NULL || list->size != DH_REGISTRY_KINDS)
		return false;
	for (i = 0; i < DH_REGISTRY_KINDS; i++) {
		c = array_at(list, i, 2);
		if (c == NULL || !number_at(c, 0, &cursors[i].as_of) ||
		    !number_at(c, 1, &reached))
			return false;
		cursors[i].reached = reached != 0;
	}
	return true;
}

/* Ages are absent in heartbeats of an earlier release. */
static void
read_ages(const msgpack_object_array *list,
    struct dh_registry_cursor cursors[DH_REGISTRY_KINDS])
{
	uint64_t age_ms;
	uint32_t i;

	for (i = 0; i < DH_REGISTRY_KINDS; i++) {
		cursors[i].age_ms = UINT32_MAX;
		if (list != NULL && number_at(list, i, &age_ms))
			cursors[i].age_ms =
			    (uint32_t)MIN(age_ms, (uint64_t)UINT32_MAX);
	}
}

static bool
rate_at(const msgpack_object_array *a, uint32_t i, double *per_s)
{
	uint64_t milli;

	if (!number_at(a, i, &milli))
		return false;
	*per_s = (double)milli / RATE_UNIT;
	return true;
}

/* Limits are absent in heartbeats of an earlier release. */
static bool
read_shared_limits(const msgpack_object_array *list, GArray *limits)
{
	struct dh_shared_limit s;
	uint64_t start_ms, fraction;
	uint32_t i;

	for (i = 0; list != NULL && i < list->size; i++) {
		const msgpack_object_array *o = array_at(list, i, 4);

		if (o == NULL || !text_at(o, 0, s.id, sizeof(s.id)) ||
		    !number_at(o, 1, &start_ms) || start_ms > INT64_MAX ||
		    !rate_at(o, 2, &s.per_s) || !number_at(o, 3, &fraction))
			return false;
		s.fraction = MIN((double)fraction / FRACTION_UNIT, 1.0);
		s.start_ms = (int64_t)start_ms;
		g_array_append_val(limits, s);
	}
	return true;
}

/* Suspects are absent in heartbeats and reports of an earlier release. */
static bool
read_suspects(const msgpack_object_array *list, GArray *suspects)
{
	struct dh_suspect s = { 0 };
	uint64_t epoch, crashes;
	uint32_t i;

	for (i = 0; list != NULL && i < list->size; i++) {
		const msgpack_object_array *o = array_at(list, i, 3);

		if (o == NULL || !number_at(o, 0, &s.request) ||
		    !number_at(o, 1, &epoch) || epoch > UINT32_MAX ||
		    !number_at(o, 2, &crashes) || crashes > DH_CRASHES_MAX)
			return false;
		s.epoch = (uint32_t)epoch;
		s.crashes = (uint32_t)crashes;
		g_array_append_val(suspects, s);
	}
	return true;
}

/* Reads the crashed backend servers of suspects, which are absent in datagrams
 * of an earlier release: its suspects have the number of crashes only. */
static bool
read_crashed_servers(const msgpack_object_array *list, GArray *suspects)
{
	const msgpack_object_array *o;
	struct dh_suspect *s;
	uint64_t server;
	uint32_t i, j;

	for (i = 0; list != NULL && i < list->size && i < suspects->len; i++) {
		s = &g_array_index(suspects, struct dh_suspect, i);
		o = array_at(list, i, DH_CRASHES_MAX);
		if (o == NULL || o->size > s->crashes)
			return false;
		for (j = 0; j < o->size; j++) {
			if (!number_at(o, j, &server) || server > UINT32_MAX)
				return false;
			s->servers[s->nservers++] = (uint32_t)server;
		}
	}
	return true;
}

static bool
read_names(const msgpack_object_array *list, GPtrArray *names)
{
	char name[DH_NAME_MAX];
	uint32_t i;

	for (i = 0; i < list->size; i++) {
		if (!text_at(list, i, name, sizeof(name)))
			return false;
		g_ptr_array_add(names, g_strdup(name));
	}
	return true;
}

static bool
decode_heartbeat(const struct dh_peer_handler *h, const msgpack_object_array *a,
    const char *ip)
{
	g_autoptr(GArray) limits =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_shared_limit));
	g_autoptr(GArray) suspects =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_suspect));
	g_autoptr(GPtrArray) evacuated = NULL;
	struct dh_leader_heartbeat b = { .limits = limits,
		.suspects = suspects };
	const msgpack_object_array *zones;
	uint64_t failing, vms, lost;

	if (!text_at(a, 1, b.vm, sizeof(b.vm)) || !number_at(a, 2, &b.term) ||
	    !number_at(a, 3, &failing) || !number_at(a, 4, &vms))
		return false;
	if (!read_cursors(array_at(a, 5, DH_REGISTRY_KINDS), b.cursors) ||
	    !number_at(a, 6, &b.era) ||
	    !read_shared_limits(array_at(a, 8, DH_SHARED_LIMITS), limits) ||
	    !read_suspects(array_at(a, 9, DH_SHARED_SUSPECTS), suspects) ||
	    !read_crashed_servers(
		array_at(a, 11, DH_SHARED_SUSPECTS), suspects))
		return false;
	read_ages(array_at(a, 7, DH_REGISTRY_KINDS), b.cursors);
	b.failing = failing != 0;
	/* Absent in heartbeats of an earlier release. */
	b.lost = number_at(a, 10, &lost) && lost != 0;
	if (!number_at(a, 12, &b.number))
		b.number = 0;
	zones = array_at(a, 13, DH_EVACUATED_ZONES_MAX);
	if (zones != NULL) {
		b.evacuated = evacuated =
		    g_ptr_array_new_with_free_func(g_free);
		if (!read_names(zones, evacuated))
			return false;
	}
	b.vms = vms > 100000 ? 100000 : (uint32_t)vms;
	h->heartbeat(h->arg, &b, ip);
	return true;
}

static bool
decode_cursors(const struct dh_peer_handler *h, const msgpack_object_array *a,
    const char *ip)
{
	struct dh_peer_cursors c;
	uint64_t core_share_milli;

	if (!number_at(a, 1, &core_share_milli) ||
	    core_share_milli > INT64_MAX || !number_at(a, 2, &c.era) ||
	    !read_cursors(array_at(a, 3, DH_REGISTRY_KINDS), c.cursors))
		return false;
	c.core_share_milli = (int64_t)core_share_milli;
	read_ages(array_at(a, 4, DH_REGISTRY_KINDS), c.cursors);
	if (h->cursors != NULL)
		h->cursors(h->arg, &c, ip);
	return true;
}

static bool
read_changes(const msgpack_object_array *list, GArray *changes)
{
	struct dh_record_change c;
	uint64_t from, to, settled, next = 0;
	uint32_t i;

	for (i = 0; i < list->size; i++) {
		const msgpack_object_array *o = array_at(list, i, 4);

		if (o == NULL || !number_at(o, 0, &from) ||
		    !number_at(o, 1, &to) ||
		    !text_at(o, 2, c.owner, sizeof(c.owner)) ||
		    !number_at(o, 3, &settled) || from < next || from > to ||
		    to > UINT16_MAX)
			return false;
		next = to + 1;
		c.from = (uint32_t)from;
		c.to = (uint32_t)to;
		c.settled = settled != 0;
		g_array_append_val(changes, c);
	}
	return true;
}

static bool
decode_owners(const struct dh_peer_handler *h, const msgpack_object_array *a)
{
	g_autoptr(GArray) changes =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_record_change));
	struct dh_peer_part o = { .changes = changes };
	const msgpack_object_array *list = array_at(a, 6, CHANGES_MAX);
	uint64_t part, parts;

	if (list == NULL || !text_at(a, 1, o.service, sizeof(o.service)) ||
	    !number_at(a, 2, &o.term) || !number_at(a, 3, &o.version) ||
	    !number_at(a, 4, &part) || !number_at(a, 5, &parts) ||
	    parts > DH_PEER_PARTS || part >= parts ||
	    !read_changes(list, changes))
		return false;
	o.part = (uint32_t)part;
	o.parts = (uint32_t)parts;
	h->owners(h->arg, &o);
	return true;
}

static bool
decode_delta(const struct dh_peer_handler *h, const msgpack_object_array *a)
{
	g_autoptr(GArray) changes =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_record_change));
	struct dh_peer_delta d = { .changes = changes };
	const msgpack_object_array *list = array_at(a, 5, CHANGES_MAX);

	if (list == NULL || !text_at(a, 1, d.service, sizeof(d.service)) ||
	    !number_at(a, 2, &d.term) || !number_at(a, 3, &d.base) ||
	    !number_at(a, 4, &d.version) || !read_changes(list, changes))
		return false;
	h->delta(h->arg, &d);
	return true;
}

static bool
read_record_versions(const msgpack_object_array *list, struct dh_peer_report *r)
{
	uint32_t i;

	for (i = 0; i < list->size; i++) {
		const msgpack_object_array *o = array_at(list, i, 3);

		if (o == NULL ||
		    !text_at(o, 0, r->owners[i].service,
			sizeof(r->owners[i].service)) ||
		    !number_at(o, 1, &r->owners[i].term) ||
		    !number_at(o, 2, &r->owners[i].version))
			return false;
	}
	r->nowners = list->size;
	return true;
}

static bool
read_keys(const msgpack_object_array *list, struct dh_peer_report *r)
{
	struct dh_peer_key k;
	uint64_t value;
	uint32_t i;

	for (i = 0; i < list->size; i++) {
		if (!number_at(list, i, &value))
			return false;
		k.owners = (uint32_t)(value >> 16);
		k.key = (uint32_t)(value & UINT16_MAX);
		if (value >> 32 != 0 || k.owners >= r->nowners)
			return false;
		g_array_append_val(r->keys, k);
	}
	return true;
}

static bool
read_servers(const msgpack_object_array *list, struct dh_peer_report *r)
{
	struct dh_peer_server s;
	uint64_t work_ms, samples;
	uint32_t i;

	for (i = 0; i < list->size; i++) {
		const msgpack_object_array *o = array_at(list, i, 3);

		if (o == NULL || !text_at(o, 0, s.id, sizeof(s.id)) ||
		    !number_at(o, 1, &work_ms) || work_ms > UINT32_MAX ||
		    !number_at(o, 2, &samples) || samples > UINT32_MAX)
			return false;
		s.work_ms = (uint32_t)work_ms;
		s.samples = (uint32_t)samples;
		g_array_append_val(r->servers, s);
	}
	return true;
}

static bool
read_leaving(const msgpack_object_array *list, struct dh_peer_report *r)
{
	struct dh_peer_leaving s;
	uint64_t start_ms;
	uint32_t i;

	for (i = 0; i < list->size; i++) {
		const msgpack_object_array *o = array_at(list, i, 2);

		if (o == NULL || !text_at(o, 0, s.id, sizeof(s.id)) ||
		    !number_at(o, 1, &start_ms) || start_ms > INT64_MAX)
			return false;
		s.start_ms = (int64_t)start_ms;
		g_array_append_val(r->leaving, s);
	}
	return true;
}

/* Limits are absent in reports of an earlier release. */
static bool
read_limits(const msgpack_object_array *list, struct dh_peer_report *r)
{
	struct dh_limit_report s;
	uint64_t start_ms, change, offered, admitted;
	uint32_t i;

	for (i = 0; list != NULL && i < list->size; i++) {
		const msgpack_object_array *o = array_at(list, i, 6);

		if (o == NULL || !text_at(o, 0, s.id, sizeof(s.id)) ||
		    !number_at(o, 1, &start_ms) || start_ms > INT64_MAX ||
		    !number_at(o, 2, &change) || change > DH_LIMIT_LIFTED ||
		    !rate_at(o, 3, &s.per_s) || !number_at(o, 4, &offered) ||
		    offered > UINT32_MAX || !number_at(o, 5, &admitted) ||
		    admitted > offered)
			return false;
		s.start_ms = (int64_t)start_ms;
		s.change = (enum dh_limit_change)change;
		s.offered = (uint32_t)offered;
		s.admitted = (uint32_t)admitted;
		g_array_append_val(r->limits, s);
	}
	return true;
}

static bool
decode_report(const struct dh_peer_handler *h, const msgpack_object_array *a,
    const char *ip)
{
	g_autoptr(GArray) keys =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_peer_key));
	g_autoptr(GArray) servers =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_peer_server));
	g_autoptr(GArray) leaving =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_peer_leaving));
	g_autoptr(GArray) limits =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_limit_report));
	g_autoptr(GArray) suspects =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_suspect));
	struct dh_peer_report r = { .keys = keys,
		.servers = servers,
		.leaving = leaving,
		.limits = limits,
		.suspects = suspects };
	const msgpack_object_array *l1 = array_at(a, 2, DH_PEER_SERVICES);
	const msgpack_object_array *l2 = array_at(a, 3, REPORT_KEYS_MAX);
	const msgpack_object_array *l3 = array_at(a, 4, REPORT_SERVERS_MAX);
	const msgpack_object_array *l4 = array_at(a, 5, REPORT_SERVERS_MAX);
	uint64_t features;

	if (!text_at(a, 1, r.vm, sizeof(r.vm)) || l1 == NULL || l2 == NULL ||
	    l3 == NULL || l4 == NULL || !read_record_versions(l1, &r) ||
	    !read_keys(l2, &r) || !read_servers(l3, &r) ||
	    !read_leaving(l4, &r) || !number_at(a, 6, &r.term) ||
	    !read_limits(array_at(a, 7, REPORT_LIMITS_MAX), &r) ||
	    !read_suspects(array_at(a, 8, DH_SHARED_SUSPECTS), suspects) ||
	    !read_crashed_servers(array_at(a, 9, DH_SHARED_SUSPECTS), suspects))
		return false;
	/* Absent in reports of an earlier release. */
	r.relays =
	    number_at(a, 10, &features) && (features & FEATURE_RELAYS) != 0;
	(void)number_at(a, 11, &r.beat);
	h->report(h->arg, &r, ip);
	return true;
}

static bool
read_object_change(
    const msgpack_object_array *o, struct dh_object_view *v, GPtrArray *names)
{
	char name[OBJECT_NAME_SIZE];
	g_autofree char *spec = NULL;
	uint64_t deleted;

	if (o == NULL || !text_at(o, 0, name, sizeof(name)) ||
	    !number_at(o, 1, &v->revision) || !number_at(o, 2, &deleted) ||
	    o->size < 4 || o->ptr[3].type != MSGPACK_OBJECT_STR)
		return false;
	spec = g_strndup(o->ptr[3].via.str.ptr, o->ptr[3].via.str.size);
	v->deleted = deleted != 0;
	v->spec = v->deleted ? NULL : json_tokener_parse(spec);
	v->name = g_strdup(name);
	g_ptr_array_add(names, (char *)(uintptr_t)v->name);
	return true;
}

static bool
decode_changes(const struct dh_peer_handler *h, const msgpack_object_array *a)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
	const msgpack_object_array *list = array_at(a, 5, OBJECTS_MAX);
	g_autofree struct dh_object_view *items = NULL;
	struct dh_registry_changes n = { 0 };
	uint64_t term, kind;
	uint32_t i;
	bool ok = true;

	if (list == NULL || !number_at(a, 1, &term) ||
	    !number_at(a, 2, &kind) || kind >= DH_REGISTRY_KINDS ||
	    !number_at(a, 3, &n.since) || !number_at(a, 4, &n.as_of) ||
	    !number_at(a, 6, &n.era))
		return false;
	items = g_new0(struct dh_object_view, list->size + 1);
	for (i = 0; ok && i < list->size; i++)
		ok = read_object_change(array_at(list, i, 4), &items[i], names);
	n.kind = (enum dh_registry_kind)kind;
	n.items = items;
	n.nitems = list->size;
	if (ok)
		h->changes(h->arg, &n, term);
	for (i = 0; i < list->size; i++)
		json_object_put(items[i].spec);
	return ok;
}

static bool decode(const struct dh_peer_handler *h, const void *data,
    size_t len, const char *ip, bool relayed);

/* A datagram that the leader wants passed on.  Heartbeats and reports are not:
 * their sender matters. */
static bool
decode_relayed(const struct dh_peer_handler *h, const msgpack_object_array *a,
    const char *ip)
{
	uint32_t addresses[RELAY_ADDRESSES_MAX];
	const msgpack_object *to = &a->ptr[1], *datagram = &a->ptr[2];
	uint32_t n;

	if (a->size < 3 || to->type != MSGPACK_OBJECT_BIN ||
	    datagram->type != MSGPACK_OBJECT_BIN ||
	    to->via.bin.size % sizeof(addresses[0]) != 0 ||
	    to->via.bin.size > sizeof(addresses))
		return false;
	n = to->via.bin.size / (uint32_t)sizeof(addresses[0]);
	if (n > 0)
		memcpy(addresses, to->via.bin.ptr, to->via.bin.size);
	if (!decode(h, datagram->via.bin.ptr, datagram->via.bin.size, ip, true))
		return false;
	if (h->relayed != NULL)
		h->relayed(h->arg, addresses, n, datagram->via.bin.ptr,
		    datagram->via.bin.size);
	return true;
}

static bool
decode_message(const struct dh_peer_handler *h, const msgpack_object *o,
    const char *ip, bool relayed)
{
	const msgpack_object_array *a = &o->via.array;
	uint64_t kind;

	if (o->type != MSGPACK_OBJECT_ARRAY || !number_at(a, 0, &kind))
		return false;
	switch (kind) {
	case DH_PEER_HEARTBEAT:
		return !relayed && decode_heartbeat(h, a, ip);
	case DH_PEER_OWNERS:
		return decode_owners(h, a);
	case DH_PEER_DELTA:
		return decode_delta(h, a);
	case DH_PEER_REPORT:
		return !relayed && decode_report(h, a, ip);
	case DH_PEER_CHANGES:
		return decode_changes(h, a);
	case DH_PEER_RELAYED:
		return !relayed && decode_relayed(h, a, ip);
	case DH_PEER_CURSORS:
		return !relayed && decode_cursors(h, a, ip);
	default: /* sent by a later release */
		return false;
	}
}

static bool
decode(const struct dh_peer_handler *h, const void *data, size_t len,
    const char *ip, bool relayed)
{
	msgpack_unpacked m;
	size_t at = 0;
	bool ok;

	if (!dh_msgpack_bounded(data, len, MSGPACK_ELEMENTS_MAX))
		return false;
	msgpack_unpacked_init(&m);
	ok =
	    msgpack_unpack_next(&m, data, len, &at) == MSGPACK_UNPACK_SUCCESS &&
	    decode_message(h, &m.data, ip, relayed);
	msgpack_unpacked_destroy(&m);
	return ok;
}

bool
dh_peer_decode(const struct dh_peer_handler *h, const void *data, size_t len,
    const char *ip)
{
	return decode(h, data, len, ip, false);
}

static void
on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
    const struct sockaddr *from, unsigned int flags)
{
	struct dh_peer *p = udp->data;
	char ip[DH_ADDRESS_MAX];

	if (n <= 0 || from == NULL || (flags & UV_UDP_PARTIAL) != 0)
		return;
	if (uv_ip4_name((const struct sockaddr_in *)(const void *)from, ip,
		sizeof(ip)) != 0)
		return;
	if (!dh_peer_decode(&p->h, buf->base, (size_t)n, ip)) {
		dh_counter_add(p->bad_datagrams, 1);
		dh_opslog_add(DH_OPS_STATE, "peer.bad_datagram",
		    ",\"from\":\"%s\",\"bytes\":%zd", ip, n);
	}
}

struct dh_peer *
dh_peer_new(uv_loop_t *loop, const char *ip, uint16_t port,
    const struct dh_peer_handler *h, GError **error)
{
	static const struct {
		enum dh_peer_kind kind;
		const char *label;
	} kinds[] = {
		{ DH_PEER_HEARTBEAT, "kind=\"heartbeat\"" },
		{ DH_PEER_OWNERS, "kind=\"owners\"" },
		{ DH_PEER_REPORT, "kind=\"report\"" },
		{ DH_PEER_DELTA, "kind=\"delta\"" },
		{ DH_PEER_CHANGES, "kind=\"changes\"" },
		{ DH_PEER_RELAYED, "kind=\"relayed\"" },
		{ DH_PEER_CURSORS, "kind=\"cursors\"" },
	};
	struct dh_peer *p = g_new0(struct dh_peer, 1);
	struct sockaddr_in sin;
	size_t i;
	int rc;

	p->port = port;
	p->h = *h;
	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		p->bytes[kinds[i].kind] =
		    dh_counter_get("dh_peer_sent_bytes_total", kinds[i].label);
	p->unsent = dh_counter_get("dh_peer_unsent_datagrams_total", "");
	p->bad_datagrams = dh_counter_get("dh_peer_bad_datagrams_total", "");
	uv_udp_init(loop, &p->udp);
	p->udp.data = p;
	rc = uv_ip4_addr(ip, port, &sin);
	if (rc == 0)
		rc = uv_udp_bind(&p->udp, (const struct sockaddr *)&sin, 0);
	if (rc == 0)
		rc = uv_udp_recv_start(&p->udp, on_alloc, on_datagram);
	if (rc == 0)
		return p;
	g_set_error(error, DH_ERROR, DH_ERROR_IO, "cannot receive on %s:%u: %s",
	    ip, port, uv_strerror(rc));
	dh_peer_free(p);
	return NULL;
}

static void
on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void
dh_peer_free(struct dh_peer *p)
{
	if (p != NULL)
		uv_close((uv_handle_t *)&p->udp, on_closed);
}

struct dh_peer_traffic
dh_peer_take_traffic(struct dh_peer *p)
{
	struct dh_peer_traffic t = p->traffic;

	memset(&p->traffic, 0, sizeof(p->traffic));
	return t;
}

static void
send_bytes(struct dh_peer *p, const struct sockaddr_in *to,
    enum dh_peer_kind kind, const char *data, size_t len)
{
	uv_buf_t buf = uv_buf_init((char *)(uintptr_t)data, (unsigned int)len);

	dh_counter_add(p->bytes[kind], len);
	p->traffic.bytes[kind] += len;
	p->traffic.datagrams[kind]++;
	if (len > DATAGRAM_MAX ||
	    uv_udp_try_send(&p->udp, &buf, 1, (const struct sockaddr *)to) <
		0) {
		dh_counter_add(p->unsent, 1);
		p->traffic.unsent++;
	}
}

static void
send_buffer(struct dh_peer *p, const char *ip, enum dh_peer_kind kind,
    const msgpack_sbuffer *b)
{
	struct sockaddr_in sin;

	if (uv_ip4_addr(ip, p->port, &sin) == 0)
		send_bytes(p, &sin, kind, b->data, b->size);
}

static void
send_to_group(struct dh_peer *p, const struct dh_fanout_group *g,
    enum dh_peer_kind kind, const void *datagram, size_t len)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(p->port),
		.sin_addr.s_addr = g->addresses[0] };
	size_t to_bytes = (g->n - 1) * sizeof(g->addresses[0]);
	msgpack_sbuffer b;
	msgpack_packer pk;

	if (g->n == 1) {
		send_bytes(p, &sin, kind, datagram, len);
		return;
	}
	msgpack_sbuffer_init(&b);
	msgpack_packer_init(&pk, &b, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint32(&pk, DH_PEER_RELAYED);
	msgpack_pack_bin(&pk, to_bytes);
	msgpack_pack_bin_body(&pk, g->addresses + 1, to_bytes);
	msgpack_pack_bin(&pk, len);
	msgpack_pack_bin_body(&pk, datagram, len);
	send_bytes(p, &sin, kind, b.data, b.size);
	msgpack_sbuffer_destroy(&b);
}

static void
send_to_groups(struct dh_peer *p, const struct dh_fanout *f,
    enum dh_peer_kind kind, const void *datagram, size_t len)
{
	guint i;

	for (i = 0; i < f->groups->len; i++)
		send_to_group(p,
		    &g_array_index(f->groups, struct dh_fanout_group, i), kind,
		    datagram, len);
}

void
dh_peer_pass_on(struct dh_peer *p, const uint32_t *addresses, size_t n,
    const void *datagram, size_t len)
{
	g_autoptr(dh_fanout) f = dh_fanout_split(addresses, n);

	send_to_groups(p, f, DH_PEER_RELAYED, datagram, len);
}

static void
pack_text(msgpack_packer *pk, const char *text)
{
	msgpack_pack_str_with_body(pk, text, strlen(text));
}

static void
pack_rate(msgpack_packer *pk, double per_s)
{
	msgpack_pack_uint64(
	    pk, per_s > 0 ? (uint64_t)(per_s * RATE_UNIT + 0.5) : 0);
}

static void
pack_shared_limits(msgpack_packer *pk, const GArray *limits)
{
	guint i, n = limits == NULL ? 0 : limits->len;

	msgpack_pack_array(pk, n);
	for (i = 0; i < n; i++) {
		const struct dh_shared_limit *s =
		    &g_array_index(limits, struct dh_shared_limit, i);

		msgpack_pack_array(pk, 4);
		pack_text(pk, s->id);
		msgpack_pack_uint64(pk, (uint64_t)s->start_ms);
		pack_rate(pk, s->per_s);
		msgpack_pack_uint32(
		    pk, (uint32_t)(s->fraction * FRACTION_UNIT));
	}
}

static void
pack_limits(msgpack_packer *pk, const GArray *limits)
{
	guint i, n = limits == NULL ? 0 : MIN(limits->len, REPORT_LIMITS_MAX);

	msgpack_pack_array(pk, n);
	for (i = 0; i < n; i++) {
		const struct dh_limit_report *s =
		    &g_array_index(limits, struct dh_limit_report, i);

		msgpack_pack_array(pk, 6);
		pack_text(pk, s->id);
		msgpack_pack_uint64(pk, (uint64_t)s->start_ms);
		msgpack_pack_uint32(pk, (uint32_t)s->change);
		pack_rate(pk, s->per_s);
		msgpack_pack_uint32(pk, s->offered);
		msgpack_pack_uint32(pk, s->admitted);
	}
}

static void
pack_suspects(msgpack_packer *pk, const GArray *suspects)
{
	guint i, n = suspects == NULL ? 0 : suspects->len;

	msgpack_pack_array(pk, n);
	for (i = 0; i < n; i++) {
		const struct dh_suspect *s =
		    &g_array_index(suspects, struct dh_suspect, i);

		msgpack_pack_array(pk, 3);
		msgpack_pack_uint64(pk, s->request);
		msgpack_pack_uint32(pk, s->epoch);
		msgpack_pack_uint32(pk, s->crashes);
	}
}

/* Of a refused request nobody counts any more. */
static void
pack_crashed_servers(msgpack_packer *pk, const GArray *suspects)
{
	guint i, n = suspects == NULL ? 0 : suspects->len;
	uint32_t j, nservers;

	msgpack_pack_array(pk, n);
	for (i = 0; i < n; i++) {
		const struct dh_suspect *s =
		    &g_array_index(suspects, struct dh_suspect, i);

		nservers = dh_suspect_is_refused(s) ? 0 : s->nservers;
		msgpack_pack_array(pk, nservers);
		for (j = 0; j < nservers; j++)
			msgpack_pack_uint32(pk, s->servers[j]);
	}
}

static void
pack_cursors(msgpack_packer *pk,
    const struct dh_registry_cursor cursors[DH_REGISTRY_KINDS])
{
	uint32_t i;

	msgpack_pack_array(pk, DH_REGISTRY_KINDS);
	for (i = 0; i < DH_REGISTRY_KINDS; i++) {
		msgpack_pack_array(pk, 2);
		msgpack_pack_uint64(pk, cursors[i].as_of);
		msgpack_pack_uint32(pk, cursors[i].reached);
	}
}

static void
pack_ages(msgpack_packer *pk,
    const struct dh_registry_cursor cursors[DH_REGISTRY_KINDS])
{
	uint32_t i;

	msgpack_pack_array(pk, DH_REGISTRY_KINDS);
	for (i = 0; i < DH_REGISTRY_KINDS; i++)
		msgpack_pack_uint32(pk, cursors[i].age_ms);
}

void
dh_peer_send_cursors(
    struct dh_peer *p, const char *ip, const struct dh_peer_cursors *c)
{
	msgpack_sbuffer b;
	msgpack_packer pk;

	msgpack_sbuffer_init(&b);
	msgpack_packer_init(&pk, &b, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 5);
	msgpack_pack_uint32(&pk, DH_PEER_CURSORS);
	msgpack_pack_uint64(&pk, (uint64_t)MAX(c->core_share_milli, 0));
	msgpack_pack_uint64(&pk, c->era);
	pack_cursors(&pk, c->cursors);
	pack_ages(&pk, c->cursors);
	send_buffer(p, ip, DH_PEER_CURSORS, &b);
	msgpack_sbuffer_destroy(&b);
}

static void
pack_names(msgpack_packer *pk, const GPtrArray *names)
{
	guint i;

	msgpack_pack_array(pk, names->len);
	for (i = 0; i < names->len; i++)
		pack_text(pk, names->pdata[i]);
}

void
dh_peer_send_heartbeat(struct dh_peer *p, const char *ip,
    const struct dh_leader_heartbeat *heartbeat)
{
	msgpack_sbuffer b;
	msgpack_packer pk;

	msgpack_sbuffer_init(&b);
	msgpack_packer_init(&pk, &b, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, heartbeat->evacuated == NULL ? 13 : 14);
	msgpack_pack_uint32(&pk, DH_PEER_HEARTBEAT);
	pack_text(&pk, heartbeat->vm);
	msgpack_pack_uint64(&pk, heartbeat->term);
	msgpack_pack_uint32(&pk, heartbeat->failing);
	msgpack_pack_uint32(&pk, heartbeat->vms);
	pack_cursors(&pk, heartbeat->cursors);
	msgpack_pack_uint64(&pk, heartbeat->era);
	pack_ages(&pk, heartbeat->cursors);
	pack_shared_limits(&pk, heartbeat->limits);
	pack_suspects(&pk, heartbeat->suspects);
	msgpack_pack_uint32(&pk, heartbeat->lost);
	pack_crashed_servers(&pk, heartbeat->suspects);
	msgpack_pack_uint64(&pk, heartbeat->number);
	if (heartbeat->evacuated != NULL)
		pack_names(&pk, heartbeat->evacuated);
	send_buffer(p, ip, DH_PEER_HEARTBEAT, &b);
	msgpack_sbuffer_destroy(&b);
}

static void
pack_changes(msgpack_packer *pk, const struct dh_record_change *c, size_t n)
{
	size_t i;

	msgpack_pack_array(pk, n);
	for (i = 0; i < n; i++) {
		msgpack_pack_array(pk, 4);
		msgpack_pack_uint32(pk, c[i].from);
		msgpack_pack_uint32(pk, c[i].to);
		pack_text(pk, c[i].owner);
		msgpack_pack_uint32(pk, c[i].settled);
	}
}

void
dh_peer_send_owners(struct dh_peer *p, const char *ip, const char *service,
    const struct dh_record *record)
{
	struct dh_record none = dh_record_unowned();
	g_autoptr(GArray) changes = dh_record_diff(&none, record);
	const struct dh_record_change *all =
	    (const struct dh_record_change *)(void *)changes->data;
	uint32_t part, parts = (changes->len + PART_CHANGES) / PART_CHANGES;
	size_t at;
	msgpack_sbuffer b;
	msgpack_packer pk;

	for (part = 0; part < parts; part++) {
		msgpack_sbuffer_init(&b);
		msgpack_packer_init(&pk, &b, msgpack_sbuffer_write);
		msgpack_pack_array(&pk, 7);
		msgpack_pack_uint32(&pk, DH_PEER_OWNERS);
		pack_text(&pk, service);
		msgpack_pack_uint64(&pk, record->term);
		msgpack_pack_uint64(&pk, record->version);
		msgpack_pack_uint32(&pk, part);
		msgpack_pack_uint32(&pk, parts);
		at = (size_t)part * PART_CHANGES;
		pack_changes(&pk, all + at,
		    MIN((size_t)PART_CHANGES, changes->len - at));
		send_buffer(p, ip, DH_PEER_OWNERS, &b);
		msgpack_sbuffer_destroy(&b);
	}
	dh_record_clear(&none);
}

static void
pack_delta(msgpack_packer *pk, const struct dh_peer_delta *d)
{
	msgpack_pack_array(pk, 6);
	msgpack_pack_uint32(pk, DH_PEER_DELTA);
	pack_text(pk, d->service);
	msgpack_pack_uint64(pk, d->term);
	msgpack_pack_uint64(pk, d->base);
	msgpack_pack_uint64(pk, d->version);
	pack_changes(pk, &g_array_index(d->changes, struct dh_record_change, 0),
	    d->changes->len);
}

void
dh_peer_send_delta(
    struct dh_peer *p, const char *ip, const struct dh_peer_delta *d)
{
	msgpack_sbuffer b;
	msgpack_packer pk;

	msgpack_sbuffer_init(&b);
	msgpack_packer_init(&pk, &b, msgpack_sbuffer_write);
	pack_delta(&pk, d);
	send_buffer(p, ip, DH_PEER_DELTA, &b);
	msgpack_sbuffer_destroy(&b);
}

void
dh_peer_publish_delta(
    struct dh_peer *p, const struct dh_fanout *f, const struct dh_peer_delta *d)
{
	msgpack_sbuffer b;
	msgpack_packer pk;

	msgpack_sbuffer_init(&b);
	msgpack_packer_init(&pk, &b, msgpack_sbuffer_write);
	pack_delta(&pk, d);
	send_to_groups(p, f, DH_PEER_DELTA, b.data, b.size);
	msgpack_sbuffer_destroy(&b);
}

void
dh_peer_send_report(
    struct dh_peer *p, const char *ip, const struct dh_peer_report *r)
{
	msgpack_sbuffer b;
	msgpack_packer pk;
	uint32_t i;

	msgpack_sbuffer_init(&b);
	msgpack_packer_init(&pk, &b, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 12);
	msgpack_pack_uint32(&pk, DH_PEER_REPORT);
	pack_text(&pk, r->vm);
	msgpack_pack_array(&pk, r->nowners);
	for (i = 0; i < r->nowners; i++) {
		msgpack_pack_array(&pk, 3);
		pack_text(&pk, r->owners[i].service);
		msgpack_pack_uint64(&pk, r->owners[i].term);
		msgpack_pack_uint64(&pk, r->owners[i].version);
	}
	msgpack_pack_array(&pk, r->keys->len);
	for (i = 0; i < r->keys->len; i++) {
		const struct dh_peer_key *k =
		    &g_array_index(r->keys, struct dh_peer_key, i);

		msgpack_pack_uint32(&pk, k->owners << 16 | k->key);
	}
	msgpack_pack_array(&pk, r->servers->len);
	for (i = 0; i < r->servers->len; i++) {
		const struct dh_peer_server *s =
		    &g_array_index(r->servers, struct dh_peer_server, i);

		msgpack_pack_array(&pk, 3);
		pack_text(&pk, s->id);
		msgpack_pack_uint32(&pk, s->work_ms);
		msgpack_pack_uint32(&pk, s->samples);
	}
	msgpack_pack_array(&pk, r->leaving->len);
	for (i = 0; i < r->leaving->len; i++) {
		const struct dh_peer_leaving *s =
		    &g_array_index(r->leaving, struct dh_peer_leaving, i);

		msgpack_pack_array(&pk, 2);
		pack_text(&pk, s->id);
		msgpack_pack_uint64(&pk, (uint64_t)s->start_ms);
	}
	msgpack_pack_uint64(&pk, r->term);
	pack_limits(&pk, r->limits);
	pack_suspects(&pk, r->suspects);
	pack_crashed_servers(&pk, r->suspects);
	msgpack_pack_uint32(&pk, FEATURE_RELAYS);
	msgpack_pack_uint64(&pk, r->beat);
	send_buffer(p, ip, DH_PEER_REPORT, &b);
	msgpack_sbuffer_destroy(&b);
}

static const char *
spec_text(const struct dh_object_view *o)
{
	return o->spec == NULL
	    ? ""
	    : json_object_to_json_string_ext(o->spec, JSON_C_TO_STRING_PLAIN);
}

static void
publish_part(struct dh_peer *p, const struct dh_fanout *f,
    const struct dh_registry_changes *n, uint64_t term)
{
	const struct dh_object_view *o;
	msgpack_sbuffer b;
	msgpack_packer pk;
	size_t i;

	msgpack_sbuffer_init(&b);
	msgpack_packer_init(&pk, &b, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 7);
	msgpack_pack_uint32(&pk, DH_PEER_CHANGES);
	msgpack_pack_uint64(&pk, term);
	msgpack_pack_uint32(&pk, n->kind);
	msgpack_pack_uint64(&pk, n->since);
	msgpack_pack_uint64(&pk, n->as_of);
	msgpack_pack_array(&pk, n->nitems);
	for (i = 0; i < n->nitems; i++) {
		o = &n->items[i];
		msgpack_pack_array(&pk, 4);
		pack_text(&pk, o->name);
		msgpack_pack_uint64(&pk, o->revision);
		msgpack_pack_uint32(&pk, o->deleted);
		pack_text(&pk, spec_text(o));
	}
	msgpack_pack_uint64(&pk, n->era);
	send_to_groups(p, f, DH_PEER_CHANGES, b.data, b.size);
	msgpack_sbuffer_destroy(&b);
}

void
dh_peer_publish_changes(struct dh_peer *p, const struct dh_fanout *f,
    const struct dh_registry_changes *changes, uint64_t term)
{
	struct dh_registry_changes part = *changes;
	const struct dh_object_view *o;
	size_t i, bytes;

	for (i = 0; i < changes->nitems; i += part.nitems) {
		part.items = &changes->items[i];
		part.nitems = 0;
		part.as_of = part.since;
		bytes = 0;
		/* A part covers the revisions up to its last change.  A
		 * deletion does not count, since its revision may be that of
		 * the object's last change; so a part takes more objects, also
		 * beyond SPEC_BYTES_TARGET, until one is not deleted. */
		while (i + part.nitems < changes->nitems &&
		    (bytes < SPEC_BYTES_TARGET || part.as_of == part.since)) {
			o = &part.items[part.nitems++];
			bytes += strlen(spec_text(o));
			if (!o->deleted && o->revision > part.as_of)
				part.as_of = o->revision;
		}
		if (i + part.nitems == changes->nitems)
			part.as_of = changes->as_of;
		publish_part(p, f, &part, term);
		part.since = part.as_of;
	}
}
