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
 * An exchange is one request of a caller, from its first header to the last
 * byte of its answer.  It belongs to one lane, and only the lane's thread
 * accesses it.  Private to the router package.
 */
enum dh_phase {
	DH_PHASE_NEW,
	DH_PHASE_ROUTE, /* waits for its slot to have an owner */
	DH_PHASE_PERMIT, /* waits for the leader's permit to run */
	DH_PHASE_ADMISSION, /* queued for admission at the backend server */
	DH_PHASE_BACKOFF, /* waits before the next attempt */
	DH_PHASE_SENT, /* an attempt is under way */
	DH_PHASE_CLOSING_ID, /* refused; waits for the leader to close its id */
	DH_PHASE_ANSWER, /* the backend server's answer is streamed */
	DH_PHASE_LOCAL_ANSWER, /* the router itself answers */
};

/* An answer that the router makes itself. */
struct dh_local_answer {
	unsigned int status;
	enum dh_outcome outcome;
	const char *reason; /* static */
	int64_t retry_after_ms; /* 0: no Retry-After header */
};

/* How an attempt ended. */
enum dh_attempt_end {
	DH_ATTEMPT_COMPLETE, /* the complete answer was received */
	DH_ATTEMPT_REFUSED, /* the backend server answered "not run" */
	DH_ATTEMPT_UNSENT, /* no byte of the request was sent */
	DH_ATTEMPT_LOST, /* any other end: the request may have run */
};

/* Connections that an exchange remembers to have been sent on.  After that many
 * each further attempt opens one. */
#define DH_EXCHANGE_CARRIED_MAX 8u

struct dh_exchange {
	struct dh_lane *lane;
	GList link; /* in lane->exchanges */
	GList wait_link; /* in lane->waiting */
	bool is_waiting; /* wait_link is in lane->waiting */
	struct MHD_Connection *conn;
	uv_timer_t timer;
	enum dh_phase phase;
	struct dh_local_answer local;

	/* request */
	char *url; /* request target, not decoded */
	char method[16];
	struct dh_target target;
	char id[DH_REQUEST_ID_MAX];
	char idempotency_key[DH_REQUEST_ID_MAX];
	bool unrepeatable; /* must not run twice: needs a permit */
	bool has_body;
	int64_t body_bytes; /* -1: unknown */
	int64_t started_us;
	int64_t answer_headers_us; /* when the answer's headers were complete */
	int64_t deadline_ms;
	int64_t time_limit_ms; /* from the end of the body to the deadline */
	int64_t max_time_limit_ms; /* of any request of the service */
	int64_t permit_use_deadline_ms; /* a later permit is not used */
	int64_t objective_ms; /* the service's latency objective */
	uint32_t attempt; /* attempts started so far */

	/* destination; copied, so that no reference to a table is kept */
	char group[DH_GROUP_NAME_MAX];
	char address[DH_ADDRESS_MAX];
	uint16_t port;
	bool keyed; /* routed by key to the owner of a slot */
	bool counts_key; /* the service's requests are counted by key */
	struct dh_route route;
	uint32_t conf_service; /* index of the service in conf_revision */
	uint64_t conf_revision; /* revision of the configuration */
	uint64_t backend_id; /* dh_name_id() of the backend server */
	uint32_t team; /* hash of the service's team */
	struct dh_lane_service *service;
	bool avoids_fence; /* waits for a fence other than avoided_fence */
	struct dh_fence avoided_fence;
	int64_t avoid_until_ms; /* avoided_fence may be used from then on */
	uint32_t lease_refusals; /* refusals "lease" and "wrong-owner" */
	int64_t owner_wait_start_ms; /* 0: does not wait for an owner */
	int64_t owner_wait_max_ms;
	int64_t pick_retry_after_ms; /* set if no backend server was picked */
	int64_t reserved_bytes; /* taken from the budget of billed links */
	struct dh_ticket ticket; /* in the backend server's admission queue */
	struct dh_breaker_decision pass; /* the circuit breaker's decision on
					  * the current attempt */
	int64_t sent_us; /* when the current attempt was started */
	uint64_t awaited_token; /* key in lane->awaiting_permit, 0: none */
	uint64_t permit_token; /* of the permit last asked for, 0: none */
	bool needs_route; /* its attempt was cancelled; route it again */
	bool permitted;
	bool close_requested; /* closing the id was tried or is pointless */
	bool id_closed; /* leader and deputy confirm: the id has not run */
	bool may_have_run; /* an earlier attempt or copy may have run */
	bool copy_sent; /* libcurl has begun to send a copy of this attempt */
	bool resent; /* sent again after its connection became silent */

	/* connection of the caller */
	struct dh_buffer request_body;
	bool request_ended; /* the complete body was received */
	bool suspended; /* libmicrohttpd does not poll the connection */
	bool answered; /* a response was queued */
	bool aborted; /* the caller disconnected, or the answer failed */

	/* transfer from and to the backend server */
	CURL *easy; /* NULL: no attempt is under way */
	struct curl_slist *headers; /* of the request sent */
	struct dh_buffer answer_body;
	bool read_paused, write_paused; /* libcurl's callbacks returned PAUSE */
	bool in_head; /* between a status line and the end of its head */
	bool headers_complete; /* all headers of the answer were received */
	bool answer_started; /* the received headers go to the caller */
	bool answer_ended, answer_failed;
	unsigned int status;
	int64_t answer_bytes; /* -1: unknown */
	bool answer_chunked;
	bool request_undelivered; /* not all of it has been acknowledged */
	GPtrArray *answer_headers; /* name, value, name, value, ... */
	bool not_run; /* the backend server answered "not run" */
	bool connection_reused; /* it has carried another request before */
	bool connection_refused; /* the kept one may not carry the request */
	/* Local ports of the connections that carried an attempt or a copy. */
	uint16_t carried[DH_EXCHANGE_CARRIED_MAX];
	uint32_t ncarried;
	bool id_named; /* the answer names an id */
	bool id_mismatch; /* the answer is that to another request */
	char refused_reason[32];
	uint64_t bytes_moved; /* in both directions */
	uint64_t bytes_moved_seen; /* bytes_moved at the last stall check */
};

/* dh_exchange_new -- create the exchange of a request whose request line was
 * received. */
struct dh_exchange *dh_exchange_new(
    struct dh_lane *lane, struct MHD_Connection *conn, const char *url);

/* dh_exchange_free -- end the exchange, complete or not: cancel what is under
 * way, count the outcome and report the end of its permit. */
void dh_exchange_free(struct dh_exchange *ex);

/* dh_exchange_begin -- check and route a request whose headers are complete. */
void dh_exchange_begin(struct dh_exchange *ex, const char *method);

/* dh_exchange_on_body -- n bytes of the body were added to the buffer. */
void dh_exchange_on_body(struct dh_exchange *ex, size_t n);
void dh_exchange_on_body_end(struct dh_exchange *ex);

/* dh_exchange_route -- route the request by the current table. */
void dh_exchange_route(struct dh_exchange *ex);

/* dh_exchange_reroute -- if table t gives the slot another owner, the request
 * is queued for admission or is idempotent and has no answer yet, and its body
 * can be sent again: cancel the attempt and set needs_route. */
void dh_exchange_reroute(struct dh_exchange *ex, const struct dh_table *t);

/* dh_exchange_is_silent -- whether the current attempt has no answer although
 * it was started long enough before time at_us. */
bool dh_exchange_is_silent(const struct dh_exchange *ex, int64_t at_us);

/* dh_exchange_resend -- the connection of the current attempt is lost: if the
 * request is idempotent and was not resent before, cancel the attempt and set
 * needs_route. */
void dh_exchange_resend(struct dh_exchange *ex);

/* dh_exchange_on_permit -- the control thread replied to a request for a
 * permit or to a request to close the id. */
void dh_exchange_on_permit(struct dh_exchange *ex, const struct dh_mail *mail);

/* dh_exchange_on_admission -- admission has let the request run, queued it or
 * refused it. */
void dh_exchange_on_admission(
    struct dh_exchange *ex, enum dh_admit verdict, int64_t retry_after_ms);

/* dh_exchange_start_attempt -- send the request to its backend server
 * (upstream.c). */
void dh_exchange_start_attempt(struct dh_exchange *ex);

/* dh_exchange_cancel_attempt -- cancel the current attempt, if any
 * (upstream.c). */
void dh_exchange_cancel_attempt(struct dh_exchange *ex);

/* dh_exchange_resume_transfer -- continue the attempt's paused directions as
 * far as the buffers allow (upstream.c). */
void dh_exchange_resume_transfer(struct dh_exchange *ex);

/* dh_exchange_has_bodyless_answer -- whether the status of the answer excludes
 * a body. */
static inline bool
dh_exchange_has_bodyless_answer(const struct dh_exchange *ex)
{
	return ex->status == 204 || ex->status == 304;
}

/* dh_exchange_on_headers -- the answer's headers are complete. */
void dh_exchange_on_headers(struct dh_exchange *ex);

/* dh_exchange_on_end -- the current attempt has ended. */
void dh_exchange_on_end(struct dh_exchange *ex, enum dh_attempt_end end);

/* dh_exchange_resume -- let the HTTP server serve the caller's connection
 * again. */
void dh_exchange_resume(struct dh_exchange *ex);

/* dh_exchange_suspend -- suspend the caller's connection until
 * dh_exchange_resume(). */
void dh_exchange_suspend(struct dh_exchange *ex);

/* dh_exchange_answer -- queue the answer on the caller's connection
 * (answer.c). */
enum MHD_Result dh_exchange_answer(struct dh_exchange *ex);

#endif
