#include "gateway/duty.h"

#include <string.h>

#include <dogwoodhub/reach.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/opslog.h"
#include "gateway/era.h"
#include "gateway/identity.h"
#include "gateway/record.h"
#include "platform/wire.h"

/* Changes within this time are published together, because a hot range moves
 * in several pieces at once.  The interval grows with the number of VMs, as
 * each one is sent the change and rebuilds its view from it. */
#define PUBLISH_MIN_MS 20
#define PUBLISH_MIN_VMS 60 /* number of VMs up to which it is the minimum */
#define PUBLISH_MAX_MS 150
/* Time between plans.  Spreading a hot range takes several plans and is to be
 * done within a second. */
#define PLAN_INTERVAL_MS 250
/* Minimum time between writes of a record when no order waits for the write. */
#define STORE_INTERVAL_MS 1500
#define STORE_TIMEOUT_MS 1500
/* Pause after a failed store call: it doubles up to the maximum, and a random
 * part of up to one half is left out. */
#define STORE_PAUSE_MIN_MS 100
#define STORE_PAUSE_MAX_MS 1000
/* How much slower than this VM's clock a backend server's may run: a lease is
 * waited out for that much longer than it was granted. */
#define CLOCK_DRIFT_PERMILLE 20
/* Added to each lease that is waited out, for the delivery of the order and
 * for what the two clocks differ by in timing the same lease. */
#define LEASE_MARGIN_MS 60
/* Time between probes of a backend server that does not answer. */
#define PROBE_INTERVAL_MS 250
/* Up to this number of backend servers leases last hold_ms of the settings;
 * with more they grow, up to this part of the longest lease that backend
 * servers accept (hold_max_ms). */
#define LEASE_BASE_SERVERS 300
#define LEASE_HOLD_MAX_PERCENT 80
/* Longest reply to an order, in bytes; only status and headers are used. */
#define REPLY_MAX 4096
/* Orders in flight at a time, apart from releases and for releases.  A release
 * is answered only when the running requests have ended, so releases have a
 * limit of their own and don't delay renewals. */
#define ORDERS_MAX 64
#define RELEASES_MAX 256

struct order {
	struct dh_duty *duty;
	struct dh_http_fetch *fetch;
	struct dh_key_order o;
	int64_t start_ms; /* start time of the backend server it was sent to */
	int64_t sent_ms;
	GList link;
};

struct dh_duty {
	struct dh_duty_context c;
	char *service;
	char *object; /* name of the record's object in the store */
	struct dh_keyspace *ks;
	int64_t lease_ms; /* lease of this term's grants */
	bool loaded; /* the former leader's record has been taken over */
	bool stored; /* a record has been stored since then */
	uint64_t revision; /* of the object */
	struct dh_objects_call *call; /* pending store call, or NULL */
	bool in_doubt; /* whether the last write took effect is unknown */
	bool writes_suspended; /* no writes until dh_duty_resume() */
	/* The former leader, if its record says that no leader before it can
	 * send orders any more; "" if others may, or if it follows the
	 * present leader by now. */
	char former_vm[DH_NAME_MAX];
	char former_ip[DH_ADDRESS_MAX];
	/* The store may have lost the record of another leader, which may still
	 * send orders: any other VM may be that one. */
	bool former_unknown;
	bool revision_unknown; /* the object's revision has to be read first */
	uint64_t pending_serial; /* serial of the pending write, 0 for none */
	uint64_t written_version; /* of the last write */
	int64_t next_call_ms; /* earliest time of the next store call */
	int64_t write_began_ms; /* when the last write was sent */
	int64_t retry_pause_ms; /* after the next failed store call */
	int64_t last_plan_ms; /* time of the last plan */
	uint64_t version; /* last one used to publish or store */
	struct dh_record published; /* last one passed to published() */
	struct dh_backlog *backlog; /* the publications before it */
	uint64_t published_change; /* change number of
				      dh_keyspace_current_ranges() */
	int64_t published_ms; /* time of the last publication */
	struct dh_identity *identity;
	GQueue orders; /* in flight */
	uint32_t releases; /* number of releases among them */
	struct dh_reach reach; /* by answers to orders */
	bool orders_allowed; /* argument of the last dh_duty_step() */
	int64_t last_step_ms; /* time of the last dh_duty_step() */
};

static void run_due_work(struct dh_duty *d);

static const char *
health_path(const struct dh_duty *d)
{
	const struct dh_deployment *dep = dh_registry_deployment(d->c.registry);
	uint32_t i =
	    dep == NULL ? DH_NONE : dh_deployment_service(dep, d->service);

	return i == DH_NONE ? "/" : dep->services[i].health_path;
}

static void
order_free(struct order *w)
{
	g_queue_unlink(&w->duty->orders, &w->link);
	w->duty->releases -= w->o.kind == DH_KEY_RELEASE;
	g_free(w);
}

/* Translates the reply to an order for dh_keyspace_handle_answer(). */
static enum dh_key_answer
classify_reply(const struct order *w, const struct dh_http_reply *reply)
{
	if (reply->status == 0 && reply->sent)
		return DH_KEY_UNANSWERED;
	if (reply->status == 0)
		return w->o.kind == DH_KEY_GRANT &&
			dh_clock_ms() >= w->o.same_process_from_ms
		    ? DH_KEY_WITHHELD
		    : DH_KEY_NOT_SENT;
	if (w->o.kind == DH_KEY_PROBE)
		return reply->status == 421 ? DH_KEY_NOT_SENT : DH_KEY_ACCEPTED;
	switch (reply->status) {
	case 200:
		return DH_KEY_ACCEPTED;
	case 409:
		return DH_KEY_REFUSED;
	case 421: /* the address belongs to another backend server now */
		return DH_KEY_NOT_SENT;
	default:
		return DH_KEY_UNANSWERED;
	}
}

static const char *
order_name(enum dh_key_order_kind kind)
{
	switch (kind) {
	case DH_KEY_GRANT:
		return "grant";
	case DH_KEY_RELEASE:
		return "release";
	case DH_KEY_PROBE:
		return "probe";
	}
	return "";
}

static void
log_order(const struct order *w, long status, enum dh_key_answer answer)
{
	static const char *const names[] = { "accepted", "refused", "silent",
		"unsent", "withheld" };

	if (answer == DH_KEY_ACCEPTED && w->o.kind == DH_KEY_GRANT)
		return;
	dh_opslog_add(DH_OPS_MEMBER, "order.answered",
	    ",\"order\":\"%s\",\"server\":\"%s\",\"from\":%u,\"to\":%u,"
	    "\"fence\":%llu,\"status\":%ld,\"answer\":\"%s\",\"term\":%llu",
	    order_name(w->o.kind), w->o.server, w->o.from, w->o.to,
	    (unsigned long long)w->o.fence, status, names[answer],
	    (unsigned long long)w->duty->c.term);
}

static const char *
reply_handover(const struct dh_http_reply *reply)
{
	const char *text = dh_http_header(reply, dh_wire_headers.handover);
	const char *p;

	for (p = text; p != NULL && *p != '\0'; p++)
		if (!g_ascii_isalnum(*p) && strchr("._-+/=", *p) == NULL)
			return NULL;
	return text;
}

/* A release is answered when the running requests have ended, which may be
 * after its timeout. */
static void
note_reach(const struct order *w, bool answered)
{
	struct dh_reach *r = &w->duty->reach;
	int64_t now_ms = dh_clock_ms();
	bool changed = false;

	if (answered)
		changed = dh_reach_accepted(r, now_ms);
	else if (w->o.kind != DH_KEY_RELEASE)
		changed = dh_reach_failed(
		    r, g_str_hash(w->o.server), w->sent_ms, SIZE_MAX, now_ms);
	if (changed)
		dh_opslog_add(DH_OPS_STATE, "orders.reach",
		    ",\"service\":\"%s\",\"lost\":%s,\"term\":%llu",
		    w->duty->service, r->lost ? "true" : "false",
		    (unsigned long long)w->duty->c.term);
}

bool
dh_duty_is_lost(const struct dh_duty *d)
{
	return d->reach.lost;
}

static void
on_order_reply(void *arg, const struct dh_http_reply *reply)
{
	struct order *w = arg;
	struct dh_duty *d = w->duty;
	enum dh_key_answer answer = classify_reply(w, reply);
	bool ours;

	log_order(w, reply->status, answer);
	if (answer != DH_KEY_WITHHELD)
		note_reach(w, reply->status != 0);
	if (dh_wire_leaving(dh_http_header(reply, dh_wire_headers.leaving)))
		dh_registry_mark_leaving(
		    d->c.registry, w->o.server, w->start_ms);
	if (reply->status == 421)
		dh_registry_note_instance(
		    d->c.registry, w->o.server, w->start_ms, false);
	ours = dh_keyspace_handle_answer(
	    d->ks, w->o.order_id, answer, reply_handover(reply), dh_clock_ms());
	order_free(w);
	if (!ours) {
		d->c.deposed(d->c.arg, "a higher token at a backend server");
		return;
	}
	run_due_work(d);
}

static void
send_order(struct dh_duty *d, const struct dh_key_order *o)
{
	struct order *w;
	g_autofree char *address =
	    dh_registry_address(d->c.registry, o->server);
	g_autofree char *url = NULL;
	g_autofree char *body = NULL;
	g_autofree char *expected =
	    g_strconcat(dh_wire_headers.expected_server, ": ", o->server, NULL);
	const char *const headers[] = { "Content-Type: application/json",
		expected, NULL };
	struct dh_http *http = d->c.http;
	struct dh_http_request rq = { .method = "POST",
		.headers = headers,
		.answer_max = REPLY_MAX,
		.timeout_ms = d->c.settings->order_ms,
		.reset_on_close = true,
		.keep_after_200_only = true };

	if (address == NULL) {
		(void)dh_keyspace_handle_answer(
		    d->ks, o->order_id, DH_KEY_NOT_SENT, NULL, dh_clock_ms());
		return;
	}
	switch (o->kind) {
	case DH_KEY_GRANT:
		url = g_strconcat("http://", address, dh_wire_grant_path, NULL);
		body = dh_wire_grant(o);
		/* Each kept connection of this client was opened for a grant
		 * of a leader that was in office. */
		http = d->c.grants;
		rq.connect_until_ms = o->same_process_from_ms;
		break;
	case DH_KEY_RELEASE:
		url =
		    g_strconcat("http://", address, dh_wire_release_path, NULL);
		body = dh_wire_release(o);
		/* Answered when the running requests have ended. */
		rq.timeout_ms = d->lease_ms;
		/* On a used connection, a late copy of the answer to an earlier
		 * order would pass for this one's. */
		rq.fresh_connection = true;
		break;
	case DH_KEY_PROBE:
		url = g_strconcat("http://", address, health_path(d), NULL);
		rq.method = "GET";
		rq.fresh_connection = true;
		break;
	}
	rq.url = url;
	rq.body = body;
	rq.body_len = body == NULL ? 0 : strlen(body);
	w = g_new0(struct order, 1);
	w->duty = d;
	w->o = *o;
	w->start_ms = dh_registry_start_ms(d->c.registry, o->server);
	w->sent_ms = dh_clock_ms();
	w->link.data = w;
	g_queue_push_tail_link(&d->orders, &w->link);
	d->releases += o->kind == DH_KEY_RELEASE;
	w->fetch = dh_http_fetch(http, &rq, on_order_reply, w);
}

static int64_t
publish_interval_ms(const struct dh_duty *d)
{
	int64_t ms = PUBLISH_MIN_MS * (int64_t)d->c.count_vms(d->c.arg) /
	    PUBLISH_MIN_VMS;

	return CLAMP(ms, PUBLISH_MIN_MS, PUBLISH_MAX_MS);
}

static void
publish(struct dh_duty *d)
{
	struct dh_record r = { .term = d->c.term }, before = d->published;
	const struct dh_backlog_step *step = NULL;
	const struct dh_key_range *ranges;
	uint64_t number = dh_keyspace_current_ranges(d->ks, NULL, NULL);
	int64_t now_ms = dh_clock_ms();

	if ((number == d->published_change && before.ranges != NULL) ||
	    now_ms - d->published_ms < publish_interval_ms(d))
		return;
	d->published_ms = now_ms;
	d->published_change =
	    dh_keyspace_current_ranges(d->ks, &ranges, &r.nranges);
	r.version = ++d->version;
	r.ranges = (struct dh_key_range *)(uintptr_t)ranges;
	d->published = dh_record_copy(&r);
	if (before.ranges != NULL)
		step = dh_backlog_add(d->backlog, before.version, r.version,
		    dh_record_diff(&before, &d->published), now_ms);
	d->c.published(d->c.arg, d->service, &d->published, step);
	dh_record_clear(&before);
}

static void
store_failed(struct dh_duty *d, const char *why)
{
	d->next_call_ms = dh_clock_ms() + d->retry_pause_ms / 2 +
	    g_random_int_range(0, (gint)d->retry_pause_ms / 2 + 1);
	d->retry_pause_ms = MIN(d->retry_pause_ms * 2, STORE_PAUSE_MAX_MS);
	dh_opslog_add(DH_OPS_STATE, "owners.store_failed",
	    ",\"service\":\"%s\",\"why\":\"%s\",\"term\":%llu,"
	    "\"version\":%llu",
	    d->service, why, (unsigned long long)d->c.term,
	    (unsigned long long)d->written_version);
}

static void
write_succeeded(struct dh_duty *d, uint64_t revision)
{
	uint64_t serial = d->pending_serial;

	d->revision = revision;
	d->stored = true;
	d->pending_serial = 0;
	d->in_doubt = false;
	d->retry_pause_ms = STORE_PAUSE_MIN_MS;
	d->c.confirmed(d->c.arg, d->write_began_ms);
	dh_keyspace_note_leading(d->ks, d->write_began_ms);
	dh_keyspace_record_stored(d->ks, serial);
	run_due_work(d);
}

/*
 * Starts from the record of a former leader, or without ranges if there is no
 * record.  A record of an earlier era is distrusted, and so is a missing one
 * unless the era is the first: the store may have lost a later record of that
 * leader or of the next one, which may reach neither the store nor another VM
 * and so go on without knowing of the new era.  No former leader has written to
 * the store after last_write_ms.
 */
static void
take_over(struct dh_duty *d, const struct dh_record *r, int64_t last_write_ms)
{
	bool distrust =
	    r->distrusted || dh_era_may_lack_writes(d->c.era, r->term);

	dh_keyspace_take_over(d->ks, r->ranges, r->nranges,
	    MAX(r->next_fence, dh_era_floor(d->c.era) + 1), (int64_t)r->hold_ms,
	    last_write_ms);
	if (distrust)
		dh_keyspace_mark_record_stale(d->ks);
	d->former_unknown = distrust;
	d->stored = false;
	d->former_vm[0] = '\0';
	if (r->sole && !distrust) {
		(void)g_strlcpy(d->former_vm, r->vm, sizeof(d->former_vm));
		(void)g_strlcpy(d->former_ip, r->ip, sizeof(d->former_ip));
	}
	dh_opslog_add(DH_OPS_STATE, "owners.taken_over",
	    ",\"service\":\"%s\",\"term\":%llu,\"from_term\":%llu,"
	    "\"from_version\":%llu,\"ranges\":%zu,\"trusted\":%s",
	    d->service, (unsigned long long)d->c.term,
	    (unsigned long long)r->term, (unsigned long long)r->version,
	    r->nranges, distrust ? "false" : "true");
}

/* Decides from the stored object whether the last write took effect, after a
 * conflict or a write without an answer. */
static void
resolve_write(struct dh_duty *d, const struct dh_object_view *o)
{
	g_autoptr(GError) error = NULL;
	struct dh_record r;

	if (!dh_record_parse(&r, o->spec, &error)) {
		d->c.deposed(d->c.arg, error->message);
		return;
	}
	if (r.term > d->c.term) {
		dh_record_clear(&r);
		d->c.deposed(d->c.arg, "the record has a higher term");
		return;
	}
	if (r.term == d->c.term && r.version == d->written_version) {
		dh_record_clear(&r);
		write_succeeded(d, o->revision);
		return;
	}
	/* The former leader stored a record after this VM had read it. */
	if (r.term < d->c.term && o->revision != d->revision)
		take_over(d, &r, dh_clock_ms());
	dh_record_clear(&r);
	/* The write did not take effect.  The next one changes the revision,
	 * and then a delayed copy of this write is refused. */
	d->revision = o->revision;
	d->pending_serial = 0;
	d->in_doubt = false;
}

static void
on_written(void *arg, const struct dh_objects_reply *r)
{
	struct dh_duty *d = arg;

	d->call = NULL;
	r = dh_era_check_reply(dh_registry_era(d->c.registry), r);
	if (r == NULL)
		return;
	switch (r->result) {
	case DH_OBJECTS_OK:
		if (r->nitems == 1) {
			write_succeeded(d, r->items[0].revision);
			return;
		}
		d->in_doubt = true;
		return;
	case DH_OBJECTS_CONFLICT:
		if (r->nitems == 1)
			resolve_write(d, &r->items[0]);
		else
			d->in_doubt = true;
		return;
	case DH_OBJECTS_NOT_DONE:
		dh_keyspace_record_rejected(d->ks, d->pending_serial);
		d->pending_serial = 0;
		store_failed(d, "store busy or down");
		return;
	case DH_OBJECTS_UNKNOWN:
		d->in_doubt = true;
		store_failed(d, "no answer to a write");
		return;
	case DH_OBJECTS_NOT_FOUND:
	case DH_OBJECTS_HISTORY_GONE:
	case DH_OBJECTS_REJECTED:
		d->in_doubt = true;
		store_failed(d, "write rejected");
		return;
	}
}

/* The object has been removed, and with it maybe a record that the former
 * leader stored after this VM had read its last one. */
static void
record_removed(struct dh_duty *d)
{
	if (!d->stored) {
		dh_keyspace_mark_record_stale(d->ks);
		d->former_unknown = true;
	}
	dh_opslog_add(DH_OPS_STATE, "owners.removed",
	    ",\"service\":\"%s\",\"term\":%llu,\"revision\":%llu,"
	    "\"trusted\":%s",
	    d->service, (unsigned long long)d->c.term,
	    (unsigned long long)d->revision, d->stored ? "true" : "false");
}

static void
on_record_reread(void *arg, const struct dh_objects_reply *r)
{
	struct dh_duty *d = arg;

	d->call = NULL;
	r = dh_era_check_reply(dh_registry_era(d->c.registry), r);
	if (r == NULL)
		return;
	if (r->result == DH_OBJECTS_OK && r->nitems == 1) {
		resolve_write(d, &r->items[0]);
		return;
	}
	if (r->result == DH_OBJECTS_NOT_FOUND) {
		if (d->revision != 0)
			record_removed(d);
		d->revision = 0;
		d->pending_serial = 0;
		d->in_doubt = false;
		return;
	}
	store_failed(d, "cannot read the record back");
}

/* Takes the object's revision and its record from a reply.  The record has no
 * ranges if there is no object or its text is invalid; in the latter case it
 * is distrusted, since somebody held the keys.  Returns false if the call
 * failed or another VM leads in a later term. */
static bool
read_record(struct dh_duty *d, const struct dh_objects_reply *r,
    struct dh_record *record)
{
	g_autoptr(GError) error = NULL;

	d->call = NULL;
	r = dh_era_check_reply(dh_registry_era(d->c.registry), r);
	if (r == NULL)
		return false;
	if (r->result == DH_OBJECTS_OK && r->nitems == 1) {
		d->revision = r->items[0].revision;
		if (!dh_record_parse(record, r->items[0].spec, &error)) {
			record->distrusted = true;
			dh_opslog_add(DH_OPS_STATE, "owners.unreadable",
			    ",\"service\":\"%s\",\"why\":\"%s\"", d->service,
			    error->message);
		}
	} else if (r->result == DH_OBJECTS_NOT_FOUND) {
		d->revision = 0;
	} else {
		store_failed(d, "cannot read the record");
		return false;
	}
	if (record->term > d->c.term) {
		dh_record_clear(record);
		d->c.deposed(d->c.arg, "the record has a higher term");
		return false;
	}
	return true;
}

/* The record was read after the store was restored from an older copy.  Only
 * its revision is used: this leader knows the owners better than that copy. */
static void
on_revision_read(void *arg, const struct dh_objects_reply *r)
{
	struct dh_duty *d = arg;
	struct dh_record record = { 0 };

	if (!read_record(d, r, &record))
		return;
	dh_record_clear(&record);
	d->revision_unknown = false;
}

static void
store_record(struct dh_duty *d, int64_t now_ms)
{
	struct dh_record r = { .term = d->c.term };
	const struct dh_key_range *ranges;
	g_autofree char *text = NULL;
	uint64_t serial;

	if (d->call != NULL || d->writes_suspended || now_ms < d->next_call_ms)
		return;
	if (d->revision_unknown) {
		d->call = dh_objects_get(d->c.objects, d->c.kind, d->object,
		    DH_FRESH, STORE_TIMEOUT_MS, on_revision_read, d);
		return;
	}
	if (d->in_doubt) {
		d->call = dh_objects_get(d->c.objects, d->c.kind, d->object,
		    DH_FRESH, STORE_TIMEOUT_MS, on_record_reread, d);
		return;
	}
	if (!dh_keyspace_needs_store(d->ks, now_ms) &&
	    now_ms - d->write_began_ms < STORE_INTERVAL_MS)
		return;
	serial = dh_keyspace_export(
	    d->ks, now_ms, &ranges, &r.nranges, &r.next_fence);
	if (serial == 0)
		return;
	r.version = ++d->version;
	r.hold_ms = (uint64_t)d->lease_ms;
	r.distrusted = dh_keyspace_record_is_stale(d->ks);
	r.sole = dh_keyspace_is_sole_leader(d->ks);
	(void)g_strlcpy(r.vm, d->c.settings->vm, sizeof(r.vm));
	(void)g_strlcpy(r.ip, d->c.ip, sizeof(r.ip));
	r.ranges = (struct dh_key_range *)(uintptr_t)ranges;
	text = dh_record_to_json(&r);
	d->pending_serial = serial;
	d->write_began_ms = now_ms;
	d->written_version = r.version;
	d->call = dh_objects_put(d->c.objects, d->c.kind, d->object,
	    d->revision, text, STORE_TIMEOUT_MS, on_written, d);
}

/* A process that was stopped for a while may have been replaced by another
 * leader, whose orders it would undo.  Replies that come in before the next
 * dh_duty_step() therefore start no orders. */
static bool
may_order(const struct dh_duty *d)
{
	return d->orders_allowed &&
	    dh_clock_ms() - d->last_step_ms < d->c.settings->silence_ms;
}

static void
run_due_work(struct dh_duty *d)
{
	struct dh_key_order o;

	store_record(d, dh_clock_ms());
	publish(d);
	while (may_order(d) && d->releases < RELEASES_MAX &&
	    d->orders.length - d->releases < ORDERS_MAX &&
	    dh_keyspace_next_order(d->ks, dh_clock_ms(), &o))
		send_order(d, &o);
}

static void
set_servers(struct dh_duty *d)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_keyspace_server));
	guint i;

	dh_registry_servers(d->c.registry, d->service, list);
	for (i = 0; i < list->len; i++) {
		struct dh_keyspace_server *s =
		    &g_array_index(list, struct dh_keyspace_server, i);
		double per_s = d->c.rate_limit(d->c.arg, s->id, s->start_ms);

		if (per_s >= 0 &&
		    (!s->limited || per_s < s->rate_limit_per_s)) {
			s->limited = true;
			s->rate_limit_per_s = per_s;
		}
	}
	dh_keyspace_set_servers(d->ks,
	    (const struct dh_keyspace_server *)(void *)list->data, list->len);
}

static void load_record(struct dh_duty *d);

static void
on_loaded(void *arg, const struct dh_objects_reply *r)
{
	struct dh_duty *d = arg;
	struct dh_record record = { 0 };

	if (!read_record(d, r, &record))
		return;
	/* Without an object nobody has written a record in this era, and other
	 * leaders have written nothing at all since this VM took its term. */
	take_over(
	    d, &record, d->revision == 0 ? d->c.term_began_ms : dh_clock_ms());
	dh_record_clear(&record);
	d->loaded = true;
	dh_duty_step(d, d->orders_allowed, 0);
}

static void
load_record(struct dh_duty *d)
{
	if (d->call == NULL && dh_clock_ms() >= d->next_call_ms)
		d->call = dh_objects_get(d->c.objects, d->c.kind, d->object,
		    DH_FRESH, STORE_TIMEOUT_MS, on_loaded, d);
}

/* Leases grow with the number of backend servers: the leader needs longer to
 * renew them all, and a server that stops answering holds fewer keys. */
static int64_t
lease_ms(const struct dh_duty_context *c, const char *service)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_keyspace_server));
	int64_t ms;

	dh_registry_servers(c->registry, service, list);
	ms = c->settings->hold_ms * (int64_t)list->len / LEASE_BASE_SERVERS;
	ms = MIN(ms, c->settings->hold_max_ms * LEASE_HOLD_MAX_PERCENT / 100);
	return MAX(ms, c->settings->hold_ms);
}

/* An answer has shown which backend server is at an address: plan by that. */
static void
on_identified(void *arg)
{
	struct dh_duty *d = arg;

	d->last_plan_ms = 0;
}

struct dh_duty *
dh_duty_new(const struct dh_duty_context *c, const char *service)
{
	struct dh_duty *d = g_new0(struct dh_duty, 1);
	int64_t duration_ms = lease_ms(c, service);
	struct dh_keyspace_params p = { .lease_ms = duration_ms,
		.renew_ms =
		    c->settings->renew_ms * duration_ms / c->settings->hold_ms,
		.probe_ms = PROBE_INTERVAL_MS,
		.storeless_max_ms = c->settings->solo_ms,
		.drift_permille = CLOCK_DRIFT_PERMILLE,
		.margin_ms = LEASE_MARGIN_MS,
		/* VMs that have just heard this leader elect no other one for
		 * that long. */
		.leading_valid_ms = c->settings->silence_ms };

	d->c = *c;
	d->service = g_strdup(service);
	d->object = g_strconcat("service.", service, NULL);
	d->ks = dh_keyspace_new(&p);
	d->backlog = dh_backlog_new();
	d->identity = dh_identity_new(c->http, c->registry, on_identified, d);
	d->lease_ms = duration_ms;
	d->retry_pause_ms = STORE_PAUSE_MIN_MS;
	load_record(d);
	return d;
}

void
dh_duty_free(struct dh_duty *d)
{
	struct order *w;

	if (d == NULL)
		return;
	while (d->orders.head != NULL) {
		w = d->orders.head->data;
		dh_http_fetch_cancel(w->fetch);
		order_free(w);
	}
	dh_objects_cancel(d->call);
	dh_identity_free(d->identity);
	dh_keyspace_free(d->ks);
	dh_backlog_free(d->backlog);
	dh_record_clear(&d->published);
	g_free(d->service);
	g_free(d->object);
	g_free(d);
}

bool
dh_duty_store_rolled_back(struct dh_duty *d, uint64_t era)
{
	if (!d->loaded ||
	    !dh_keyspace_record_lost(d->ks, dh_era_floor(era), dh_clock_ms()))
		return false;
	dh_objects_cancel(d->call);
	d->call = NULL;
	d->former_vm[0] = '\0';
	d->former_unknown = true;
	d->c.era = era;
	d->pending_serial = 0;
	d->in_doubt = false;
	d->writes_suspended = d->revision_unknown = true;
	return true;
}

void
dh_duty_resume(struct dh_duty *d, uint64_t term)
{
	d->c.term = term;
	d->writes_suspended = false;
	d->next_call_ms = 0;
	d->retry_pause_ms = STORE_PAUSE_MIN_MS;
	/* Publishes all owners again, as a record of the new term. */
	dh_record_clear(&d->published);
	dh_backlog_clear(d->backlog);
	d->published_ms = 0;
}

static void
log_plan(const struct dh_duty *d)
{
	struct dh_keyspace_stats s = dh_keyspace_stats(d->ks);

	if (s.changes == 0)
		return;
	dh_opslog_add(DH_OPS_STATE, "owners.planned",
	    ",\"service\":\"%s\",\"term\":%llu,\"changes\":%u,"
	    "\"hot_keys\":%u,\"used_mean\":%.2f,\"used_most\":%.2f,"
	    "\"ranges\":%u,\"moving\":%u,\"servers\":%u,\"silent\":%u",
	    d->service, (unsigned long long)d->c.term, s.changes, s.hot_keys,
	    s.utilisation_mean_milli / 1000.0, s.utilisation_max_milli / 1000.0,
	    s.ranges, s.moving, s.servers, s.unresponsive);
}

bool
dh_duty_is_withholding(const struct dh_duty *d)
{
	return dh_keyspace_is_withholding(d->ks);
}

void
dh_duty_step(struct dh_duty *d, bool send_orders, int64_t leading_ms)
{
	int64_t now_ms = dh_clock_ms();

	dh_keyspace_note_leading(d->ks, leading_ms);
	d->orders_allowed = send_orders;
	d->last_step_ms = now_ms;
	dh_identity_step(d->identity, d->service, health_path(d), now_ms);
	if (!d->loaded) {
		load_record(d);
		return;
	}
	if (now_ms - d->last_plan_ms >= PLAN_INTERVAL_MS) {
		d->last_plan_ms = now_ms;
		set_servers(d);
		dh_keyspace_plan(d->ks, now_ms);
		log_plan(d);
	}
	run_due_work(d);
}

void
dh_duty_add_request(struct dh_duty *d, uint32_t key)
{
	dh_keyspace_count_request(d->ks, key);
}

void
dh_duty_add_work_time(
    struct dh_duty *d, const char *server, uint32_t work_ms, uint32_t samples)
{
	dh_keyspace_add_service_time(d->ks, server, work_ms, samples);
}

static void
note_former_leaders_stopped(struct dh_duty *d, const char *former)
{
	dh_keyspace_former_leaders_stopped(d->ks, dh_clock_ms());
	dh_opslog_add(DH_OPS_STATE, "owners.alone",
	    ",\"service\":\"%s\",\"term\":%llu,\"former\":\"%s\"", d->service,
	    (unsigned long long)d->c.term, former);
}

void
dh_duty_note_follower(struct dh_duty *d, const char *vm, const char *ip)
{
	if (d->former_vm[0] == '\0' || strcmp(d->former_vm, vm) != 0 ||
	    strcmp(d->former_ip, ip) != 0)
		return;
	d->former_vm[0] = '\0';
	note_former_leaders_stopped(d, vm);
}

bool
dh_duty_awaits_followers(const struct dh_duty *d)
{
	return d->former_unknown && !d->writes_suspended;
}

void
dh_duty_note_all_follow(struct dh_duty *d)
{
	d->former_unknown = false;
	note_former_leaders_stopped(d, "any");
}

const struct dh_record *
dh_duty_record(const struct dh_duty *d)
{
	return d->published.ranges == NULL ? NULL : &d->published;
}

bool
dh_duty_is_up_to_date(const struct dh_duty *d, uint64_t term, uint64_t version)
{
	return term > d->c.term ||
	    (term == d->c.term &&
		(version >= d->published.version ||
		    dh_backlog_may_arrive(d->backlog, version, dh_clock_ms())));
}

const struct dh_backlog_step *
dh_duty_step_after(const struct dh_duty *d, uint64_t term, uint64_t version)
{
	return term == d->c.term ? dh_backlog_after(d->backlog, version) : NULL;
}
