#include "control/permits.h"

#include <string.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/timer.h"
#include "control/authority.h"
#include "control/peers.h"
#include "control/vms.h"

/* Delay before a refused request for a permit is to be sent again, when this VM
 * may not grant permits now. */
#define RETRY_MS 200

/* Value of dh_permit_host.deputy while this VM doesn't lead; no VM has this
 * id. */
#define NOT_LEADING UINT64_MAX

struct dh_permit_host {
	struct dh_control *control;
	char group[DH_GROUP_NAME_MAX];
	struct dh_permits *permits;
	struct dh_authority *authority;
	uv_timer_t *timer;
	uv_timer_t *confirm_timer; /* defers dh_authority_confirm() until the
				    * group's step has ended */
	struct dh_counter *confirms;
	struct dh_counter *sent;
	enum dh_group_role role;
	uint64_t term; /* of which this VM is leader or deputy, else 0 */
	uint64_t last_term; /* last nonzero term */
	uint64_t last_deputy_seq; /* deputy_seq in last_term */
	int64_t store_ms; /* leader: when the store last confirmed the term */
	uint64_t deputy; /* NOT_LEADING unless leader */
	bool deputy_up; /* link to the deputy is up */
	bool supported;
};

static void step(struct dh_permit_host *h, const struct dh_permit_event *ev);

/* Actions */

static bool
send_to(struct dh_permit_host *h, uint64_t to, const struct dh_msg *m)
{
	if (!dh_peers_send(dh_vms_peers(h->control->vms), to, m))
		return false;
	dh_counter_add(h->sent, 1);
	return true;
}

static void
send_answer(struct dh_permit_host *h, const struct dh_permit_action *a)
{
	struct dh_msg m = { .kind = DH_MSG_PERMIT_VERDICT,
		.permit_verdict = { .token = a->answer.token,
		    .verdict = a->answer.verdict,
		    .status = a->answer.status,
		    .retry_ms = a->answer.retry_ms } };
	struct dh_permit_event end = { .kind = DH_PERMIT_END,
		.end = { .id = a->answer.id,
		    .router = a->to,
		    .token = a->answer.token,
		    .outcome = DH_OUTCOME_NOT_RUN } };

	g_strlcpy(
	    m.permit_verdict.group, h->group, sizeof(m.permit_verdict.group));
	g_strlcpy(
	    m.permit_verdict.id, a->answer.id, sizeof(m.permit_verdict.id));
	if (a->to == h->control->self) {
		dh_permit_client_answer(
		    h->control->permit_client, &m.permit_verdict);
		return;
	}
	if (!send_to(h, a->to, &m) && a->answer.verdict == DH_PERMIT_RUN)
		step(h, &end);
}

static void
send_hold(struct dh_permit_host *h, const struct dh_permit_action *a)
{
	struct dh_msg m = { .kind = DH_MSG_PERMIT_HOLD,
		.permit_hold = { .term = a->hold.term,
		    .deputy_seq = a->hold.deputy_seq,
		    .seq = a->hold.seq,
		    .complete = a->hold.complete,
		    .n = a->hold.n,
		    .list = a->hold.list,
		    .lost_before_wall_ms = a->hold.lost_before_wall_ms,
		    .loss_remaining_ms = a->hold.loss_remaining_ms } };

	g_strlcpy(m.permit_hold.group, h->group, sizeof(m.permit_hold.group));
	(void)send_to(h, a->to, &m);
}

static void
send_held(struct dh_permit_host *h, const struct dh_permit_action *a)
{
	struct dh_msg m = { .kind = DH_MSG_PERMIT_HELD,
		.permit_held = { .term = a->held.term,
		    .seq = a->held.seq,
		    .refused = a->held.refused } };

	g_strlcpy(m.permit_held.group, h->group, sizeof(m.permit_held.group));
	(void)send_to(h, a->to, &m);
}

static void
on_confirm(uv_timer_t *timer)
{
	struct dh_permit_host *h = timer->data;

	dh_counter_add(h->confirms, 1);
	dh_authority_confirm(h->authority);
}

static void
on_timer(uv_timer_t *timer)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_TICK };

	step(timer->data, &ev);
}

static void
start_timer(struct dh_permit_host *h)
{
	int64_t at_ms = dh_permits_next_ms(h->permits), wait_ms;

	if (at_ms == INT64_MAX) {
		uv_timer_stop(h->timer);
		return;
	}
	wait_ms = at_ms - dh_clock_ms();
	uv_timer_start(
	    h->timer, on_timer, wait_ms > 0 ? (uint64_t)wait_ms : 0, 0);
}

static void
step(struct dh_permit_host *h, const struct dh_permit_event *ev)
{
	struct dh_permit_actions acts = { 0 };
	size_t i;

	dh_permits_step(
	    h->permits, ev, dh_clock_ms(), dh_clock_wall_ms(), &acts);
	for (i = 0; i < acts.n; i++) {
		switch (acts.list[i].kind) {
		case DH_PERMIT_DO_ANSWER:
			send_answer(h, &acts.list[i]);
			break;
		case DH_PERMIT_DO_HOLD:
			send_hold(h, &acts.list[i]);
			break;
		case DH_PERMIT_DO_HELD:
			send_held(h, &acts.list[i]);
			break;
		case DH_PERMIT_DO_CONFIRM:
			uv_timer_start(h->confirm_timer, on_confirm, 0, 0);
			break;
		}
	}
	dh_permit_actions_free(&acts);
	start_timer(h);
}

/* The group's role on this VM */

static bool
is_up(const struct dh_permit_host *h, uint64_t vm)
{
	return vm != 0 && dh_peers_is_up(dh_vms_peers(h->control->vms), vm);
}

static void
start_leading(struct dh_permit_host *h, const struct dh_group_view *v)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_LEAD,
		.lead = { .term = v->term,
		    .from_term = v->term - 1,
		    .was_in_record =
			v->inherited && h->last_term == v->term - 1,
		    .from_deputy_seq = h->last_deputy_seq,
		    .deputy = v->deputy,
		    .deputy_seq = v->deputy_seq } };

	h->term = h->last_term = v->term;
	h->last_deputy_seq = v->deputy_seq;
	h->deputy = v->deputy;
	h->deputy_up = is_up(h, v->deputy);
	h->store_ms = INT64_MIN;
	step(h, &ev);
}

static void
update_confirmed(struct dh_permit_host *h, const struct dh_group_view *v)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_CONFIRMED,
		.confirmed.sent_ms = v->store_confirmed_ms };

	if (v->store_confirmed_ms == h->store_ms)
		return;
	h->store_ms = v->store_confirmed_ms;
	step(h, &ev);
}

static void
update_deputy(struct dh_permit_host *h, const struct dh_group_view *v)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_DEPUTY,
		.lead = { .deputy = v->deputy, .deputy_seq = v->deputy_seq } };
	bool up = is_up(h, v->deputy);
	bool changed = v->deputy != h->deputy ||
	    v->deputy_seq != h->last_deputy_seq || (up && !h->deputy_up);

	h->last_deputy_seq = v->deputy_seq;
	h->deputy = v->deputy;
	h->deputy_up = up;
	if (changed)
		step(h, &ev);
}

void
dh_permit_host_set_view(struct dh_permit_host *h, const struct dh_group_view *v)
{
	struct dh_permit_event idle = { .kind = DH_PERMIT_IDLE };

	h->supported = v->supported;
	h->role = v->role;
	switch (v->role) {
	case DH_GROUP_LEADER:
		if (h->term != v->term || h->deputy == NOT_LEADING)
			start_leading(h, v);
		else
			update_deputy(h, v);
		update_confirmed(h, v);
		break;
	case DH_GROUP_DEPUTY:
		h->term = h->last_term = v->term;
		h->last_deputy_seq = v->deputy_seq;
		h->deputy = NOT_LEADING;
		break;
	case DH_GROUP_IDLE:
		if (h->term != 0)
			step(h, &idle);
		h->term = 0;
		break;
	case DH_GROUP_TAKING:
	case DH_GROUP_WAITING:
	case DH_GROUP_SOLO:
		break;
	}
}

/* Messages */

static void
refuse(struct dh_permit_host *h, uint64_t to, const char *id, uint64_t token)
{
	struct dh_permit_action a = { .kind = DH_PERMIT_DO_ANSWER,
		.to = to,
		.answer = { .token = token,
		    .verdict = DH_PERMIT_REFUSED,
		    .retry_ms = RETRY_MS } };

	g_strlcpy(a.answer.id, id, sizeof(a.answer.id));
	send_answer(h, &a);
}

static void
handle_ask(
    struct dh_permit_host *h, uint64_t from, const struct dh_permit_ask *q)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_ASK,
		.ask = { .id = q->id,
		    .router = from,
		    .token = q->token,
		    .left_ms = q->left_ms } };

	if (h->role != DH_GROUP_LEADER || !h->supported)
		refuse(h, from, q->id, q->token);
	else
		step(h, &ev);
}

static void
handle_close(
    struct dh_permit_host *h, uint64_t from, const struct dh_permit_close *q)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_CLOSE,
		.close = { .id = q->id,
		    .router = from,
		    .token = q->token,
		    .longest_deadline_ms = q->longest_deadline_ms } };

	if (h->role != DH_GROUP_LEADER || !h->supported)
		refuse(h, from, q->id, q->token);
	else
		step(h, &ev);
}

void
dh_permit_host_message(
    struct dh_permit_host *h, uint64_t from, const struct dh_msg *m)
{
	struct dh_permit_event ev = { 0 };

	switch (m->kind) {
	case DH_MSG_PERMIT_ASK:
		handle_ask(h, from, &m->permit_ask);
		return;
	case DH_MSG_PERMIT_CLOSE:
		handle_close(h, from, &m->permit_close);
		return;
	case DH_MSG_PERMIT_END:
		ev.kind = DH_PERMIT_END;
		ev.end.id = m->permit_end.id;
		ev.end.router = from;
		ev.end.token = m->permit_end.token;
		ev.end.outcome = m->permit_end.outcome;
		ev.end.status = m->permit_end.status;
		break;
	case DH_MSG_PERMIT_HOLD:
		ev.kind = DH_PERMIT_HOLD;
		ev.hold.from = from;
		ev.hold.term = m->permit_hold.term;
		ev.hold.deputy_seq = m->permit_hold.deputy_seq;
		ev.hold.seq = m->permit_hold.seq;
		ev.hold.complete = m->permit_hold.complete;
		ev.hold.lost_before_wall_ms =
		    m->permit_hold.lost_before_wall_ms;
		ev.hold.loss_remaining_ms = m->permit_hold.loss_remaining_ms;
		ev.hold.n = m->permit_hold.n;
		ev.hold.list = m->permit_hold.list;
		break;
	case DH_MSG_PERMIT_HELD:
		ev.kind = DH_PERMIT_HELD;
		ev.held.from = from;
		ev.held.term = m->permit_held.term;
		ev.held.seq = m->permit_held.seq;
		ev.held.refused = m->permit_held.refused;
		break;
	default:
		return;
	}
	step(h, &ev);
}

struct dh_permit_host *
dh_permit_host_new(
    struct dh_control *ct, const char *group, struct dh_authority *authority)
{
	struct dh_permit_host *h = g_new0(struct dh_permit_host, 1);
	struct dh_permit_params p;

	dh_permit_params_defaults(&p);
	h->control = ct;
	g_strlcpy(h->group, group, sizeof(h->group));
	h->permits = dh_permits_new(&p);
	h->deputy = NOT_LEADING;
	h->authority = authority;
	h->timer = dh_timer_new(&ct->loop, h);
	h->confirm_timer = dh_timer_new(&ct->loop, h);
	h->sent = dh_counter_get("dh_permit_sent_total", "");
	h->confirms = dh_counter_get("dh_permit_confirms_total", "");
	return h;
}

void
dh_permit_host_free(struct dh_permit_host *h)
{
	if (h == NULL)
		return;
	dh_timer_free(h->timer);
	dh_timer_free(h->confirm_timer);
	dh_permits_free(h->permits);
	g_free(h);
}
