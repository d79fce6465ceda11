#include "control/peers.h"

#include <string.h>

#include "base/counter.h"
#include "control/vms.h"

#define SILENT_MS 800
#define PROBE_MS 300
#define BACKOFF_MAX_MS 1000

struct peer {
	uint64_t vm;
	char address[DH_ADDRESS_MAX];
	uint16_t port;
	bool wanted;
	struct dh_link *out; /* connected by this VM, or NULL */
	struct dh_link *in; /* accepted from the other VM, or NULL */
};

struct dh_peers {
	struct dh_control *control;
	struct dh_link_params params;
	struct dh_hello self;
	struct dh_link_server *server;
	GHashTable *by_id; /* VM -> struct peer */
	const struct dh_peers_ops *ops;
	void *arg;
	struct dh_counter *dropped;
};

static struct peer *
find(const struct dh_peers *p, uint64_t vm)
{
	return g_hash_table_lookup(p->by_id, &vm);
}

static struct peer *
get_peer(struct dh_peers *p, uint64_t vm)
{
	struct peer *pe = find(p, vm);

	if (pe != NULL)
		return pe;
	pe = g_new0(struct peer, 1);
	pe->vm = vm;
	g_hash_table_insert(p->by_id, &pe->vm, pe);
	return pe;
}

static struct dh_link *
active_link(const struct peer *pe)
{
	if (pe->out != NULL && dh_link_is_up(pe->out))
		return pe->out;
	return pe->in != NULL && dh_link_is_up(pe->in) ? pe->in : NULL;
}

static struct peer *
peer_of_link(struct dh_peers *p, struct dh_link *l)
{
	GHashTableIter it;
	gpointer each;

	g_hash_table_iter_init(&it, p->by_id);
	while (g_hash_table_iter_next(&it, NULL, &each)) {
		struct peer *pe = each;

		if (pe->out == l || pe->in == l)
			return pe;
	}
	return NULL;
}

static void
drop_out(struct peer *pe)
{
	dh_link_free_reason(pe->out, DH_GOODBYE_DUPLICATE);
	pe->out = NULL;
}

static void
drop_in(struct peer *pe)
{
	dh_link_free_reason(pe->in, DH_GOODBYE_DUPLICATE);
	pe->in = NULL;
}

/*
 * Reduces two links to a peer to one: each VM sends over the link that it
 * connected, so each link would be silent in one direction.  A link to an
 * earlier incarnation is closed.  Otherwise the link that the VM with the lower
 * id connected is kept, and that VM closes the other one once its own is up.
 * The VM with the higher id only stops connecting, because its link may end
 * before it sees the remaining one as up.
 */
static void
drop_duplicate(const struct dh_peers *p, struct peer *pe)
{
	uint64_t out, in;

	if (pe->out == NULL || pe->in == NULL || !dh_link_is_up(pe->in))
		return;
	if (!dh_link_is_up(pe->out)) {
		if (p->control->self > pe->vm)
			drop_out(pe);
		return;
	}
	out = dh_link_peer(pe->out)->incarnation;
	in = dh_link_peer(pe->in)->incarnation;
	if (out < in)
		drop_out(pe);
	else if (out > in || p->control->self < pe->vm)
		drop_in(pe);
}

static void
on_up(void *arg, struct dh_link *l, const struct dh_hello *hello)
{
	struct dh_hello hello_copy = *hello; /* l may be freed below */
	struct dh_peers *p = arg;
	uint64_t vm = dh_name_id(hello->vm);
	struct peer *pe = get_peer(p, vm);

	if (pe->out != l && pe->in != l) {
		/* An accepted link replaces an earlier one. */
		if (pe->in != NULL)
			drop_in(pe);
		pe->in = l;
	}
	drop_duplicate(p, pe);
	p->ops->up(p->arg, vm, &hello_copy);
}

static void
on_msg(void *arg, struct dh_link *l, const struct dh_msg *m)
{
	struct dh_peers *p = arg;
	const struct dh_hello *hello = dh_link_peer(l);

	p->ops->message(p->arg, dh_name_id(hello->vm), m);
}

static void
on_down(void *arg, struct dh_link *l, enum dh_link_down why)
{
	struct dh_peers *p = arg;
	struct peer *pe = peer_of_link(p, l);

	if (pe == NULL)
		return;
	if (pe->in == l)
		pe->in = NULL;
	drop_duplicate(p, pe);
	if (active_link(pe) == NULL)
		p->ops->down(p->arg, pe->vm, why);
}

static const struct dh_link_ops link_ops = { on_up, on_msg, on_down };

static void
peer_free(gpointer arg)
{
	struct peer *pe = arg;

	dh_link_free(pe->out);
	dh_link_free(pe->in);
	g_free(pe);
}

static void
fill_hello(struct dh_hello *h, const struct dh_control *ct)
{
	const struct dh_settings *s = ct->settings;

	*h = (struct dh_hello){ .version_min = DH_PROTO_VERSION_MIN,
		.version_max = DH_PROTO_VERSION_MAX,
		.purpose = DH_HELLO_PEER,
		.incarnation = ct->incarnation,
		.port = dh_vms_port(s) };
	g_strlcpy(h->vm, s->vm, sizeof(h->vm));
	g_strlcpy(h->zone, s->zone, sizeof(h->zone));
	g_strlcpy(h->region, s->region, sizeof(h->region));
	g_strlcpy(h->address, s->listen_address, sizeof(h->address));
}

struct dh_peers *
dh_peers_new(struct dh_control *ct, const struct dh_peers_ops *ops, void *arg,
    GError **error)
{
	const struct dh_settings *s = ct->settings;
	struct dh_peers *p = g_new0(struct dh_peers, 1);

	p->control = ct;
	p->ops = ops;
	p->arg = arg;
	p->dropped = dh_counter_get("dh_peer_dropped_total", "");
	p->by_id =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, peer_free);
	dh_link_params_defaults(&p->params);
	p->params.silent_ms = SILENT_MS;
	p->params.probe_ms = PROBE_MS;
	p->params.backoff_max_ms = BACKOFF_MAX_MS;
	p->params.seed = ct->self ^ ct->incarnation;
	fill_hello(&p->self, ct);
	p->server = dh_link_listen(&ct->loop, &p->params, &p->self,
	    s->listen_address, s->peer_port, &link_ops, p, error);
	if (p->server != NULL)
		return p;
	dh_peers_free(p);
	return NULL;
}

void
dh_peers_free(struct dh_peers *p)
{
	if (p == NULL)
		return;
	g_hash_table_unref(p->by_id);
	if (p->server != NULL)
		dh_link_server_free(p->server);
	g_free(p);
}

static void
connect_to(struct dh_peers *p, struct peer *pe)
{
	pe->out = dh_link_connect(&p->control->loop, &p->params, &p->self,
	    pe->address, pe->port, &link_ops, p);
}

void
dh_peers_want(
    struct dh_peers *p, uint64_t vm, const char *address, uint16_t port)
{
	struct peer *pe;

	if (vm == p->control->self || port == 0)
		return;
	pe = get_peer(p, vm);
	pe->wanted = true;
	if (pe->port == port && strcmp(pe->address, address) == 0 &&
	    pe->out != NULL)
		return;
	pe->port = port;
	g_strlcpy(pe->address, address, sizeof(pe->address));
	dh_link_free(pe->out);
	pe->out = NULL;
	if (p->control->self < vm)
		connect_to(p, pe);
}

void
dh_peers_unwant(struct dh_peers *p, uint64_t vm)
{
	struct peer *pe = find(p, vm);

	if (pe == NULL)
		return;
	pe->wanted = false;
	dh_link_free(pe->out);
	pe->out = NULL;
}

void
dh_peers_check(struct dh_peers *p)
{
	GHashTableIter it;
	gpointer each;

	g_hash_table_iter_init(&it, p->by_id);
	while (g_hash_table_iter_next(&it, NULL, &each)) {
		struct peer *pe = each;

		if (pe->wanted && pe->out == NULL && pe->in == NULL)
			connect_to(p, pe);
	}
}

bool
dh_peers_send(struct dh_peers *p, uint64_t vm, const struct dh_msg *m)
{
	struct peer *pe = find(p, vm);
	struct dh_link *l = pe == NULL ? NULL : active_link(pe);

	if (l != NULL && dh_link_send(l, m) == DH_CONN_SENT)
		return true;
	dh_counter_add(p->dropped, 1);
	return false;
}

void
dh_peers_send_all(struct dh_peers *p, const struct dh_msg *m)
{
	GHashTableIter it;
	struct dh_link *l;
	uint8_t *frame;
	gpointer pe;
	size_t len;

	frame = dh_msg_encode(m, &len);
	if (frame == NULL)
		return;
	g_hash_table_iter_init(&it, p->by_id);
	while (g_hash_table_iter_next(&it, NULL, &pe)) {
		l = active_link(pe);
		if (l != NULL &&
		    dh_link_send_frame(l, frame, len) != DH_CONN_SENT)
			dh_counter_add(p->dropped, 1);
	}
	free(frame);
}

bool
dh_peers_is_up(const struct dh_peers *p, uint64_t vm)
{
	struct peer *pe = find(p, vm);

	return pe != NULL && active_link(pe) != NULL;
}

uint32_t
dh_peers_links(const struct dh_peers *p)
{
	GHashTableIter it;
	gpointer each;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, p->by_id);
	while (g_hash_table_iter_next(&it, NULL, &each)) {
		const struct peer *pe = each;

		n += pe->out != NULL && dh_link_is_up(pe->out);
		n += pe->in != NULL && dh_link_is_up(pe->in);
	}
	return n;
}

uint16_t
dh_peers_port(const struct dh_peers *p)
{
	return dh_link_server_port(p->server);
}
