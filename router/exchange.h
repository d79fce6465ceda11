#ifndef DH_ROUTER_EXCHANGE_H
#define DH_ROUTER_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/admission.h>
#include <dogwoodhub/breaker.h>
#include <dogwoodhub/group.h>
#include <dogwoodhub/table.h>

#include "router/buffer.h"
#include "router/lane.h"
#include "router/target.h"

/*
 * An exchange is one caller's request from its first header to the last byte
 * of its answer.  It belongs to one lane and is touched on its thread only.
 * Private to the router package.
 */
enum dh_phase {
	DH_PHASE_NEW,
	DH_PHASE_ROUTE, /* waits for its slot to have an owner */
	DH_PHASE_PERMIT, /* waits for the permit to run */
	DH_PHASE_ADMISSION, /* waits for its turn at the backend server */
	DH_PHASE_BACKOFF, /* waits before the next attempt */
	DH_PHASE_SENT, /* an attempt is under way */
	DH_PHASE_CLOSE, /* refused; asks whether its id has not run */
	DH_PHASE_ANSWER, /* the backend server's answer streams */
	DH_PHASE_LOCAL, /* the answer is our own */
};

/* An answer of the router's own. */
struct dh_local_answer {
	unsigned int status;
	enum dh_outcome outcome;
	const char *reason; /* static */
	int64_t retry_after_ms; /* 0: none */
};

/* How an attempt ended. */
enum dh_attempt_end {
	DH_ATTEMPT_WHOLE, /* the whole answer came */
	DH_ATTEMPT_REFUSED, /* the backend server says that it did not run */
	DH_ATTEMPT_UNSENT, /* no byte of it has left us */
	DH_ATTEMPT_LOST, /* anything else */
};

struct dh_exchange {
	struct dh_lane *lane;
	GList link; /* in lane->exchanges */
	GList wait_link; /* in lane->waiting */
	bool is_waiting;
	struct MHD_Connection *conn;
	uv_timer_t timer;
	enum dh_phase phase;
	struct dh_local_answer local;

	/* the request */
	char *url; /* raw target */
	char method[16];
	struct dh_target target;
	char id[DH_REQUEST_ID_MAX];
	char idempotency_key[DH_REQUEST_ID_MAX];
	bool unrepeatable;
	bool has_body;
	int64_t body_bytes; /* -1: not told */
	int64_t begun_us;
	int64_t head_us; /* when the answer's headers were whole */
	int64_t deadline_ms;
	int64_t budget_ms;
	int64_t longest_ms; /* deadline that any request of its service has */
	int64_t permit_until_ms; /* a permit that comes later is not used */
	int64_t objective_ms;
	uint32_t attempt;

	/* where it goes: copied, so that no table is held */
	char group[DH_GROUP_NAME_MAX];
	char address[DH_ADDRESS_MAX];
	uint16_t port;
	bool keyed;
	bool counts_key; /* its service looks for hot keys */
	struct dh_route route;
	uint32_t conf_service; /* its service's index in the configuration... */
	uint64_t conf_revision; /* ...of this revision */
	uint64_t backend_id; /* dh_name_id() of the backend server */
	uint32_t team; /* hash of the service's team */
	struct dh_lane_service *service;
	bool shunned; /* wait for another fence than... */
	struct dh_fence shun; /* ...this, or until... */
	int64_t shun_until_ms; /* ...then */
	uint32_t shuns; /* times it was to wait so */
	int64_t parked_ms; /* since when it waits for an owner, or 0 */
	int64_t park_max_ms; /* longest it may */
	int64_t pick_retry_ms; /* when to come back, if none can be picked */
	int64_t planned_bytes; /* taken from the billed links' budget */
	struct dh_ticket ticket; /* its place at the backend server */
	struct dh_breaker_pass pass;
	int64_t sent_us;
	uint64_t token; /* of the permit asked for, 0: none */
	uint64_t permit_token; /* of the permit that was given */
	bool needs_route; /* taken back, to be routed again */
	bool permitted;
	bool closing; /* the leader was asked to close its id, or can't be */
	bool closed; /* leader and deputy say that the id has not run */
	bool may_have_run; /* an earlier attempt may have */
	bool resent; /* after its connection went silent */

	/* caller's side */
	struct dh_buffer up;
	bool up_ended; /* the whole body was read */
	bool suspended;
	bool answered; /* a response was queued */
	bool aborted; /* the caller has gone */

	/* backend server's side */
	CURL *easy;
	struct curl_slist *headers;
	struct dh_buffer down;
	bool read_paused, write_paused;
	bool head_whole; /* its headers were all read... */
	bool head_ready; /* ...and are the caller's answer */
	bool down_ended, down_failed;
	unsigned int status;
	int64_t answer_bytes; /* -1: not told */
	GPtrArray *answer_headers; /* name, value, ... */
	bool not_run; /* the backend server says so */
	bool foreign; /* the answer names another request */
	char refused_reason[32];
	uint64_t progress; /* bytes moved, both ways */
	uint64_t progress_seen;
};

/* dh_exchange_new -- a request whose first line has arrived. */
struct dh_exchange *dh_exchange_new(
    struct dh_lane *lane, struct MHD_Connection *conn, const char *url);

/* dh_exchange_free -- the request has ended, one way or the other. */
void dh_exchange_free(struct dh_exchange *ex);

/* dh_exchange_begin -- its headers are whole: check the request and set it on
 * its way. */
void dh_exchange_begin(struct dh_exchange *ex, const char *method);

/* dh_exchange_on_body -- n bytes of the body went into the buffer. */
void dh_exchange_on_body(struct dh_exchange *ex, size_t n);
void dh_exchange_on_body_end(struct dh_exchange *ex);

/* dh_exchange_route -- try to route it with the table in force. */
void dh_exchange_route(struct dh_exchange *ex);

/* dh_exchange_reroute -- the table has changed: a request that still waits for
 * its turn, or may be repeated and has no answer yet, is taken back for the
 * slot's new owner; needs_route then tells. */
void dh_exchange_reroute(struct dh_exchange *ex, const struct dh_table *t);

/* dh_exchange_is_silent -- the attempt under way has had no answer for long,
 * as of that time. */
bool dh_exchange_is_silent(const struct dh_exchange *ex, int64_t at_us);

/* dh_exchange_resend -- the connection of its attempt is lost: if it may be
 * repeated it is taken back and needs_route tells. */
void dh_exchange_resend(struct dh_exchange *ex);

/* dh_exchange_permit -- the control thread's verdict. */
void dh_exchange_permit(struct dh_exchange *ex, const struct dh_mail *mail);

/* dh_exchange_admitted -- its turn has come, or won't. */
void dh_exchange_admitted(
    struct dh_exchange *ex, enum dh_admit verdict, int64_t retry_after_ms);

/* dh_exchange_send -- start an attempt (module upstream). */
void dh_exchange_send(struct dh_exchange *ex);

/* dh_exchange_unsend -- end the attempt under way, if any. */
void dh_exchange_unsend(struct dh_exchange *ex);

/* dh_exchange_unpause -- let the attempt go on as far as the buffers allow. */
void dh_exchange_unpause(struct dh_exchange *ex);

/* dh_exchange_on_head -- the answer's headers are whole. */
void dh_exchange_on_head(struct dh_exchange *ex);

/* dh_exchange_on_end -- the attempt has ended. */
void dh_exchange_on_end(struct dh_exchange *ex, enum dh_attempt_end end);

/* dh_exchange_wake -- have the caller's side looked at again. */
void dh_exchange_wake(struct dh_exchange *ex);

/* dh_exchange_sleep -- leave the caller's side alone until then. */
void dh_exchange_sleep(struct dh_exchange *ex);

/* dh_exchange_answer -- queue the answer on the caller's side (module
 * answer). */
enum MHD_Result dh_exchange_answer(struct dh_exchange *ex);

#endif
