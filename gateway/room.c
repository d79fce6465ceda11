/*
 * Limit of the memory for messages of callers and backend servers that a
 * worker holds.
 */
#include <dogwoodhub/room.h>

#include "base/opslog.h"
#include "gateway/worker_internal.h"

/* Part of the process's memory for message bodies; the rest is for tables,
 * views and the control thread. */
#define MESSAGE_MEMORY_PERCENT 30
/* The memory is counted again after reads of 1/8 of the limit. */
#define COUNT_INTERVAL_SHARE 8
#define MIB (1u << 20)

size_t
dh_message_memory_max(const struct dh_worker *w)
{
	return (size_t)w->settings->memory_mb * MIB / 100 *
	    MESSAGE_MEMORY_PERCENT / w->settings->threads;
}

/* Adds a message that may be given up.  One that takes no more than a
 * connection may keep anyway is counted, but not given up: that would free
 * nothing. */
static void
add_message(
    GArray *list, size_t bytes, uint32_t priority, void *owner, size_t *total)
{
	struct dh_room_message u = { bytes, priority, owner };

	*total += bytes;
	if (bytes > DH_MESSAGE_BODY_KEPT_MAX)
		g_array_append_val(list, u);
}

static size_t
count_messages(struct dh_worker *w, GArray *clients, GArray *requests)
{
	size_t total = 0;
	uint32_t priority;
	GList *l;

	for (l = w->clients.head; l != NULL; l = l->next) {
		total += dh_client_buffered_bytes(l->data);
		add_message(clients, dh_client_body_bytes(l->data, &priority),
		    priority, l->data, &total);
	}
	for (l = w->requests.head; l != NULL; l = l->next) {
		struct dh_request *rq = l->data;

		total += rq->wire == NULL ? 0 : rq->wire->allocated_len;
		add_message(requests, dh_upstream_body_bytes(rq),
		    rq->route == NULL ? 0 : rq->route->priority, rq, &total);
	}
	return total;
}

/* Whether to reject the caller's message c rather than the backend server's
 * answer r: the less urgent one, which has the higher priority number, or the
 * larger one if the priorities are equal. */
static bool
caller_first(const struct dh_room_message *c, const struct dh_room_message *r)
{
	if (c == NULL || r == NULL)
		return c != NULL;
	return c->priority > r->priority ||
	    (c->priority == r->priority && c->bytes > r->bytes);
}

static void
reject_over_limit(
    struct dh_worker *w, GArray *clients, GArray *requests, size_t total)
{
	struct dh_room_message *c, *r, *u;
	size_t limit = dh_message_memory_max(w);

	while (total > limit) {
		c = dh_room_select(
		    (struct dh_room_message *)(void *)clients->data,
		    clients->len);
		r = dh_room_select(
		    (struct dh_room_message *)(void *)requests->data,
		    requests->len);
		u = caller_first(c, r) ? c : r;
		if (u == NULL)
			return;
		dh_opslog_add(DH_OPS_REQUEST, "room.over",
		    ",\"bytes\":%zu,\"of\":%zu,\"most\":%zu,\"priority\":%u,"
		    "\"from\":\"%s\"",
		    u->bytes, total, limit, u->priority,
		    u == c ? "caller" : "backend");
		dh_counter_add(w->c.room_over, 1);
		total -= u->bytes;
		u->bytes = 0;
		if (u == c)
			dh_client_reject_memory_limit(u->owner);
		else
			dh_upstream_fail_memory_limit(u->owner);
	}
}

static void
check_limit(struct dh_worker *w)
{
	g_autoptr(GArray) clients =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_room_message));
	g_autoptr(GArray) requests =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_room_message));

	size_t total = count_messages(w, clients, requests);

	dh_counter_set(w->c.room, total);
	reject_over_limit(w, clients, requests, total);
}

void
dh_message_memory_count_read(struct dh_worker *w, size_t bytes)
{
	w->read_bytes += bytes;
	if (w->read_bytes < dh_message_memory_max(w) / COUNT_INTERVAL_SHARE)
		return;
	w->read_bytes = 0;
	check_limit(w);
}
