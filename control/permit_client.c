/* Requests permits on behalf of this VM's traffic threads; see
 * control/permits.h. */
#include <string.h>

#include "base/clock.h"
#include "base/counter.h"
#include "control/authority.h"
#include "control/feed.h"
#include "control/peers.h"
#include "control/permits.h"
#include "control/vms.h"

/* Messages carry a token that is unique on this VM: the traffic thread's index
 * above LANE_SHIFT, the thread's own token below. */
#define LANE_SHIFT 56u
#define TOKEN_MASK ((1ull << LANE_SHIFT) - 1)
/* Least time between two reads of a group's object that look for a leader which
 * can't be reached. */
#define REFRESH_MS 300

struct dh_permit_client {
	struct dh_control *control;
	struct dh_counter *unsent;
	struct dh_counter *sent;
};

struct dh_permit_client *
dh_permit_client_new(struct dh_control *ct)
{
	struct dh_permit_client *pc = g_new0(struct dh_permit_client, 1);

	pc->control = ct;
	pc->sent = dh_counter_get("dh_permit_sent_total", "");
	pc->unsent = dh_counter_get("dh_permit_unsent_total", "");
	return pc;
}

void
dh_permit_client_free(struct dh_permit_client *pc)
{
	g_free(pc);
}

static bool
send_to_vm(struct dh_permit_client *pc, struct dh_authority *a, uint64_t to,
    const struct dh_msg *m)
{
	struct dh_control *ct = pc->control;

	if (to == 0)
		return false;
	if (to == ct->self) {
		dh_permit_host_message(dh_authority_permits(a), ct->self, m);
		return true;
	}
	if (!dh_peers_is_up(dh_vms_peers(ct->vms), to) ||
	    !dh_peers_send(dh_vms_peers(ct->vms), to, m))
		return false;
	dh_counter_add(pc->sent, 1);
	return true;
}

/* Sends m to the leader or, if that fails, to the deputy, which may have become
 * the leader. */
static bool
send_to_leader(
    struct dh_permit_client *pc, struct dh_authority *a, const struct dh_msg *m)
{
	struct dh_group_view v = dh_authority_view(a);
	struct dh_feed_leaders lead =
	    dh_feed_leaders(pc->control->feed, dh_authority_name(a), &v);

	if (send_to_vm(pc, a, lead.leader, m) ||
	    send_to_vm(pc, a, lead.deputy, m))
		return true;
	dh_counter_add(pc->unsent, 1);
	dh_authority_refresh(a, REFRESH_MS);
	return false;
}

static void
answer(
    struct dh_permit_client *pc, uint64_t token, const struct dh_mail *verdict)
{
	struct dh_mail mail = *verdict;

	mail.kind = DH_MAIL_PERMIT_VERDICT;
	mail.token = token & TOKEN_MASK;
	(void)dh_router_mail(
	    pc->control->router, (uint32_t)(token >> LANE_SHIFT), &mail);
}

static void
refuse(struct dh_permit_client *pc, uint64_t token)
{
	struct dh_mail mail = { .permit = { .verdict = DH_PERMIT_REFUSED,
				    .retry_ms = REFRESH_MS } };

	answer(pc, token, &mail);
}

static void
request_permit(struct dh_permit_client *pc, struct dh_authority *a,
    uint64_t token, const struct dh_mail *mail)
{
	struct dh_msg m = { .kind = DH_MSG_PERMIT_ASK,
		.permit_ask = { .router = pc->control->self,
		    .token = token,
		    .left_ms = mail->permit.deadline_ms - dh_clock_ms() } };

	g_strlcpy(m.permit_ask.group, dh_authority_name(a),
	    sizeof(m.permit_ask.group));
	g_strlcpy(m.permit_ask.id, mail->permit.id, sizeof(m.permit_ask.id));
	if (!send_to_leader(pc, a, &m))
		refuse(pc, token);
}

static void
end_permit(struct dh_permit_client *pc, struct dh_authority *a, uint64_t token,
    const struct dh_mail *mail)
{
	struct dh_msg m = { .kind = DH_MSG_PERMIT_END,
		.permit_end = { .token = token,
		    .outcome = mail->permit.outcome,
		    .status = mail->permit.status } };

	g_strlcpy(m.permit_end.group, dh_authority_name(a),
	    sizeof(m.permit_end.group));
	g_strlcpy(m.permit_end.id, mail->permit.id, sizeof(m.permit_end.id));
	/* If this can't be sent, the permit ends at its deadline with an
	 * unknown outcome. */
	(void)send_to_leader(pc, a, &m);
}

/* If neither leader nor deputy can be reached, the refusal makes the router
 * answer at once that the outcome is unknown. */
static void
close_request_id(struct dh_permit_client *pc, struct dh_authority *a,
    uint64_t token, const struct dh_mail *mail)
{
	struct dh_msg m = { .kind = DH_MSG_PERMIT_CLOSE,
		.permit_close = { .token = token,
		    .longest_deadline_ms = mail->permit.longest_deadline_ms } };

	g_strlcpy(m.permit_close.group, dh_authority_name(a),
	    sizeof(m.permit_close.group));
	g_strlcpy(
	    m.permit_close.id, mail->permit.id, sizeof(m.permit_close.id));
	if (!send_to_leader(pc, a, &m))
		refuse(pc, token);
}

void
dh_permit_client_mail(
    struct dh_permit_client *pc, uint32_t lane, const struct dh_mail *mail)
{
	struct dh_authority *a =
	    dh_control_authority(pc->control, mail->permit.service);
	uint64_t token = (uint64_t)lane << LANE_SHIFT | mail->token;

	if (mail->kind == DH_MAIL_PERMIT_END) {
		if (a != NULL)
			end_permit(pc, a, token, mail);
	} else if (a == NULL) {
		refuse(pc, token);
	} else if (mail->kind == DH_MAIL_PERMIT_CLOSE) {
		close_request_id(pc, a, token, mail);
	} else {
		request_permit(pc, a, token, mail);
	}
}

void
dh_permit_client_answer(
    struct dh_permit_client *pc, const struct dh_permit_answer *m)
{
	struct dh_authority *a =
	    g_hash_table_lookup(pc->control->authorities, m->group);
	struct dh_mail mail = { .permit = { .verdict = m->verdict,
				    .status = m->status,
				    .retry_ms = m->retry_ms } };

	if (a == NULL)
		return;
	g_strlcpy(mail.permit.id, m->id, sizeof(mail.permit.id));
	g_strlcpy(mail.permit.service, dh_authority_service(a),
	    sizeof(mail.permit.service));
	if (m->verdict == DH_PERMIT_REFUSED)
		dh_authority_refresh(a, REFRESH_MS);
	answer(pc, m->token, &mail);
}
