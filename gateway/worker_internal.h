#ifndef DH_GATEWAY_WORKER_INTERNAL_H
#define DH_GATEWAY_WORKER_INTERNAL_H

#include <dogwoodhub/attendants.h>
#include <dogwoodhub/pacer.h>
#include <dogwoodhub/ratelimit.h>
#include <dogwoodhub/reach.h>
#include <dogwoodhub/runqueue.h>
#include <dogwoodhub/sentlog.h>

#include "gateway/worker.h"
#include "gateway/message.h"

/* Retries in a row that one VM may make in addition to its share of half
 * of the retry_slack setting.  Ten VMs make 40 such retries at most, which is
 * less than the setting's default of 60. */
#define DH_RETRY_BURST 4
/* Time for sending the last answers before the end of a drain. */
#define DH_LAST_ANSWERS_MS 300
/* Time for which another VM gets no requests after a connection to it failed.
 */
#define DH_PEER_AVOID_MS 2000
/* Limit of attempts per request, whatever the route allows. */
#define DH_ATTEMPTS_MAX 8
/* Limit of backend servers considered for one request. */
#define DH_CANDIDATES_MAX 1024
/* A request that was handed over and has no answer after this time is told to
 * be in progress. */
#define DH_PROGRESS_MS 200
/* This VM, in place of the index of another one. */
#define DH_ATTENDANT_SELF (-2)
/* Number of bucket bounds of the latency histogram. */
#define DH_LATENCY_BUCKETS 12

struct dh_request;
struct dh_call;
struct dh_client;
struct dh_upstream;

/* A worker's state of one backend server, or of another VM to which it forwards
 * requests: connections and load. */
struct dh_pool {
	uint32_t uid;
	char id[DH_NAME_MAX];
	struct sockaddr_in address;
	enum dh_tier tier;
	struct dh_service_state *service; /* NULL for another VM */
	uint32_t slots;
	struct dh_backend_load load;
	GQueue idle; /* of struct dh_upstream, last used at the head */
	GQueue busy; /* of struct dh_upstream, oldest request at the head */
	uint64_t answers; /* number of answers received */
	bool keyed; /* the service is keyed */
	int64_t start_ms; /* start time of the backend server */
	uint32_t incarnation; /* hash of id and start_ms */
	/* Time of the first answer with the leaving header, or 0. */
	int64_t leaving_since_ms;
	int64_t leaving_reported_ms; /* last report of leaving, or 0 */
	/* Until then it is sent no requests, as another instance has answered
	 * at its address. */
	int64_t other_instance_until_ms;
	int64_t mixed_until_ms; /* until then, connections are not reused */
	bool listed; /* the view has it, and not as closed */
	int64_t close_ms; /* as in the view */
	bool peer; /* another VM, to which requests are forwarded */
	int64_t avoid_until_ms; /* of another VM */
	int64_t heard_ms; /* of another VM: when its last bytes arrived */
	const char *zone; /* interned */
	int32_t attendants[DH_ATTENDANTS];
	/* Of the list of VMs that attendants are an index in; 0: not found
	 * yet. */
	uint64_t attendants_number;
	/* Requests that wait here for room at the keyed backend server. */
	struct dh_run_queue waiting;
	struct dh_rate_limit rate_limit;
	/* For the next report: what answers said of the limit, and requests
	 * for the limited backend server. */
	enum dh_limit_change limit_change;
	uint32_t limit_offered, limit_admitted;
};

/* A worker's state of one service. */
struct dh_service_state {
	char *name;
	GQuark quark; /* of name */
	struct dh_retry_budget budget;
	struct dh_demand_seen seen; /* recent requests by priority */
	struct dh_work_mean work; /* of its backend servers */
	struct dh_reach reach;
	size_t servers_open; /* backend servers that are in use */
	/* For dh_worker_probe(): backend servers that owe an answer, and how
	 * long the oldest has been awaited. */
	size_t servers_pending;
	int64_t oldest_ms;
	double answer_kib; /* mean body size of its answers */
	/* Counts the requests of the weighted routes whose first part is this
	 * service, from a random start; dh_route_service_of_nth() takes it as
	 * nth. */
	uint64_t route_counter;
	/* The configuration and the known VMs let backend servers be attended;
	 * attended_here: indices in the view's servers of those that this VM
	 * attends, by the list of VMs of attended_number. */
	bool attended;
	GArray *attended_here;
	uint64_t attended_number;
	/* Until idle_limit_until_ms, connections are reused only when idle for
	 * less than idle_limit_ms. */
	int64_t idle_limit_until_ms, idle_limit_ms;
};

struct dh_worker_counters {
	/* Requests, answers of backend servers, and those of them that came
	 * after the route's target time. */
	struct dh_counter *requests, *done, *late;
	/* Answers of the gateway itself: with 503 or 429, with 502 or 504, and
	 * with any other status. */
	struct dh_counter *refused, *unknown, *failed;
	/* Memory of messages, and messages refused because of its limit. */
	struct dh_counter *room, *room_over;
	/* Requests whose caller disconnected before their end, retries, new
	 * connections to backend servers, and waits of requests in the parked
	 * queue. */
	struct dh_counter *callers_left, *retries, *connects, *parked;
	struct dh_counter *bad_answers; /* of backend servers */
	/* Answers skipped since they name another request, and idle
	 * connections passed over since they had carried the id. */
	struct dh_counter *skipped_answers, *same_ids;
	/* Requests that were chosen for a backend server, but could no longer
	 * be sent there when the connection was ready. */
	struct dh_counter *unsent;
	/* Requests not sent to a backend server because of its rate limit. */
	struct dh_counter *rate_limited;
	/* Requests refused because they crash backend servers. */
	struct dh_counter *quarantined;
	struct dh_counter *forwarded; /* requests sent to other VMs */
	struct dh_counter *paced; /* large answers written at a pace */
	/* Requests sent to the VM that attends the backend server; requests
	 * that waited for room at an attended one, and how long. */
	struct dh_counter *handed_over, *queued, *queued_ms;
	/* Services of which no backend server is reached. */
	struct dh_counter *services_lost;
	/* Bytes of requests and answers, by tier of the backend server. */
	struct dh_counter *bytes[DH_TIERS], *keyed_bytes[DH_TIERS];
	struct dh_counter *latency[DH_LATENCY_BUCKETS + 1];
	struct dh_counter *latency_sum;
};

/* Fields marked "shared" are accessed atomically by the worker's thread and
 * the control thread. */
struct dh_worker {
	const struct dh_gateway_settings *settings;
	uint32_t index;
	pthread_t thread;
	uv_loop_t loop;
	uv_tcp_t listener; /* of callers */
	uv_tcp_t forward_listener; /* of other VMs */
	uv_async_t wake;
	uv_timer_t tick;
	struct dh_view *view;
	struct dh_view *next_view; /* shared: view to change to, or NULL */
	struct dh_worker_report *report; /* being filled */
	struct dh_worker_report *report_out; /* shared: finished report */
	uint32_t drain_requested; /* shared: flag */
	/* Times after drain_began_ms: when the listener closes, and when the
	 * worker ends at the latest. */
	int64_t drain_quiet_ms, drain_limit_ms;
	int64_t drain_began_ms; /* 0: not draining */
	uint32_t ticks;
	/* Large answers to callers and from backend servers; paced_out and
	 * paced_in wait for their turn. */
	struct dh_pacer pacer_out, pacer_in;
	GQueue paced_out; /* of struct dh_client */
	GQueue paced_in; /* of struct dh_upstream */
	uv_timer_t pace_timer;
	size_t read_bytes; /* read since the last count of message memory */
	uint32_t done; /* shared: flag, the thread has ended */
	bool accepting; /* the listeners are open */
	GHashTable *pools; /* uid -> struct dh_pool */
	struct dh_sent_log sent_log; /* ids by connection */
	uint64_t connections; /* opened so far */
	GHashTable *services; /* name -> struct dh_service_state */
	GQueue clients;
	GQueue parked; /* requests that wait for an owner of their key */
	GQueue requests; /* all requests in progress */
	struct dh_rng rng;
	struct dh_choice_params choice;
	struct dh_quarantine quarantine;
	bool quarantine_changed; /* since the last report */
	GQueue probes; /* of struct probe */
	GQueue crash_checks; /* of struct crash_check */
	struct dh_worker_counters c;
	/* Scratch space of dh_request_dispatch(). */
	struct dh_candidate candidates[DH_CANDIDATES_MAX];
	const struct dh_view_server *candidate_servers[DH_CANDIDATES_MAX];
	char buffer[65536]; /* read buffer of all connections */
};

/* Result of an attempt that ended without an answer to return. */
enum dh_attempt_end {
	DH_ATTEMPT_UNREACHABLE, /* no connection; nothing was sent */
	DH_ATTEMPT_UNSENT, /* no longer allowed when it was to be sent */
	DH_ATTEMPT_NOT_RUN, /* the request was not executed */
	DH_ATTEMPT_MISDIRECTED, /* sent to a wrong owner or instance */
	DH_ATTEMPT_RESET, /* a new connection was reset; may have executed */
	DH_ATTEMPT_LOST, /* no usable answer; may have executed */
};

enum dh_request_state {
	DH_REQUEST_NEW,
	DH_REQUEST_PARKED,
	DH_REQUEST_QUEUED,
	DH_REQUEST_SENT,
	DH_REQUEST_ENDED,
};

struct dh_request {
	struct dh_worker *worker;
	struct dh_call *call; /* NULL once the caller has disconnected */
	struct dh_message *in; /* owned by call; NULL when call is NULL */
	struct dh_view *view; /* the view that routed the request */
	const struct dh_http_route *route;
	struct dh_http_route forwarded_route; /* route if from_vm */
	/* Index in view only: a later view may have other services.  See
	 * dh_request_current_service(). */
	uint32_t service;
	struct dh_service_state *service_state;
	char id[DH_NAME_MAX * 2];
	uint64_t digest; /* dh_message_digest() of in; 0: not computed yet */
	/* What was known of digest when the current attempt was sent. */
	struct dh_suspect suspect;
	bool keyed;
	uint32_t key;
	int64_t arrived_ms;
	int64_t deadline_ms; /* the earlier of the caller's and the route's */
	enum dh_request_state state;
	struct dh_upstream *upstream;
	struct dh_pool *pool; /* backend server of the current attempt */
	char server_id[DH_NAME_MAX]; /* of the last attempt, for the log */
	int64_t sent_ms; /* start of the current attempt */
	/* Of the current attempt: number of its connection, requests that this
	 * had carried before, and answers to others that came on it. */
	uint64_t connection;
	uint32_t carried, skipped;
	double requests_ahead; /* at the backend server, as of sent_ms */
	double expected_ms; /* expected duration of the attempt */
	uint32_t attempts; /* attempts that reached a backend server */
	uint32_t unreachable; /* attempts that found no connection */
	uint32_t unsent; /* attempts that were no longer allowed */
	bool from_vm; /* another VM has forwarded it */
	uint32_t forwards; /* attempts that went to other VMs */
	/* Another VM has handed it over, which decides about its repetition.
	 * progress_told: that VM was told that it is in progress. */
	bool handed_over, progress_told;
	/* The current attempt went to the VM that attends the backend server.
	 */
	bool attended;
	uint32_t handovers; /* attempts that went to such VMs */
	bool attended_here; /* this VM attends the backend server */
	/* Its place in the queue of queued_at, while its state is QUEUED. */
	struct dh_run_entry run;
	struct dh_pool *queued_at;
	int64_t queued_ms;
	bool has_turn; /* has waited and is to be sent now */
	uint64_t answers_at_send; /* pool->answers as of sent_ms */
	/* The owner as of misdirected_owners_version refused the key. */
	bool misdirected;
	uint64_t misdirected_owners_version;
	bool may_have_run; /* a backend server may have executed it */
	bool ran_before; /* may_have_run before the current attempt */
	/* The last choice left out a backend server for its rate limit. */
	bool rate_limited;
	/* The last choice left out a backend server outside the homes. */
	bool outside_homes;
	bool head_only; /* the method is HEAD */
	uint32_t tried[DH_ATTEMPTS_MAX]; /* uids of backend servers */
	uint32_t ntried;
	GString *wire; /* the request as sent to backend servers */
	uv_timer_t deadline_timer;
	uv_timer_t wait_timer; /* end of parking, or answer overdue */
	int closing; /* number of timers being closed */
	GList link; /* in worker->parked */
	GList all_link; /* in worker->requests */
};

/* request.c */

/* dh_request_start -- route and send a complete request.  The caller gets
 * exactly one dh_call_answer(), unless it disconnects before. */
void dh_request_start(struct dh_call *call, struct dh_message *in);

/* dh_request_is_repeatable -- whether the route of a request is known and
 * allows to repeat it. */
bool dh_request_is_repeatable(
    const struct dh_worker *w, const struct dh_message *in);

/* dh_request_view_changed -- dispatch the parked requests by the new view. */
void dh_request_view_changed(struct dh_worker *w);

/* dh_request_current_service -- the index of the request's service in the
 * worker's present view, or DH_NONE if that has no such service. */
uint32_t dh_request_current_service(const struct dh_request *rq);

/* dh_request_update_route -- make the worker's present view the request's: if
 * its deployment is another one, route the request again.  No attempt may be in
 * progress.  False if the request has been answered with an error, because it
 * has no route any more, or one by which it may not be sent once more. */
bool dh_request_update_route(struct dh_request *rq);

/* dh_request_overdue -- give up the current attempt and start another one, if
 * a retry is allowed. */
void dh_request_overdue(struct dh_request *rq);

/* dh_requests_finish_all -- answer all requests in progress with an error,
 * before the process exits. */
void dh_requests_finish_all(struct dh_worker *w);

/* dh_request_caller_disconnected -- detach the caller.  A request that was
 * sent and must not be repeated continues; others end. */
void dh_request_caller_disconnected(struct dh_request *rq);

/* dh_request_return -- return a backend server's answer to the caller, and end
 * the request. */
void dh_request_return(struct dh_request *rq, struct dh_message *answer);

/* dh_request_add_tried -- note that the current attempt has ended. */
void dh_request_add_tried(struct dh_request *rq);

/* dh_request_log_attempt -- log the end of an attempt that was not the last. */
void dh_request_log_attempt(
    struct dh_request *rq, const char *how, const char *why);

/* dh_request_answered -- handle the complete answer to the current attempt. */
void dh_request_answered(struct dh_request *rq, struct dh_message *answer);

/* dh_request_attempt_ended -- handle the end of an attempt without an answer;
 * why is a text for the log and the caller. */
void dh_request_attempt_ended(
    struct dh_request *rq, enum dh_attempt_end how, const char *why);

/* dh_request_retry_allowed -- whether the outcome of the last attempt, the
 * route and this VM's retry budget allow one more attempt, which is counted. */
bool dh_request_retry_allowed(struct dh_request *rq, enum dh_outcome outcome);

/* dh_request_finish -- answer the caller with an error of the gateway's own,
 * and end the request.  A 503 becomes 502 if the request may have run. */
void dh_request_finish(struct dh_request *rq, unsigned int status,
    const char *why, int64_t retry_after_ms);

/* attempt.c */

/* dh_request_dispatch -- choose a backend server and send the request there;
 * otherwise forward, park or refuse the request. */
void dh_request_dispatch(struct dh_request *rq);

/* dh_request_send -- start an attempt at a backend server or another VM. */
void dh_request_send(struct dh_request *rq, struct dh_pool *pool);

/* dh_request_was_tried -- whether an attempt went to the backend server or VM
 * before. */
bool dh_request_was_tried(const struct dh_request *rq, uint32_t uid);

/* dh_request_record_reply -- update the load estimate of the backend server
 * and the byte counters at the end of an attempt.  answer may be NULL. */
void dh_request_record_reply(struct dh_request *rq, enum dh_reply_kind kind,
    const struct dh_message *answer);

/* forward.c */

/* dh_request_forward -- send the request to another VM, which may reach the
 * backend servers that this VM does not reach.  False if there is none, or if
 * the request must stay here. */
bool dh_request_forward(struct dh_request *rq);

/* dh_request_forward_answered -- handle the complete answer of another VM. */
void dh_request_forward_answered(
    struct dh_request *rq, struct dh_message *answer);

/* dh_requests_service_lost -- no backend server of the service is reached:
 * forward its requests that wait for one. */
void dh_requests_service_lost(
    struct dh_worker *w, const struct dh_service_state *s);

/* dh_forward_add_header, dh_forward_read_header -- write and read the header
 * with which a VM forwards a request that it has routed: what it knows of the
 * route, so that the other VM's configuration has no part in it.  The route
 * read from in has no names, and homes that are to be freed with free(3);
 * service is as dh_request's.  False, with nothing to free, if the header is
 * malformed, or names a service that d does not have. */
void dh_forward_add_header(const struct dh_request *rq, GString *out);
bool dh_forward_read_header(const struct dh_message *in,
    const struct dh_deployment *d, struct dh_http_route *route,
    uint32_t *service);

/* attend.c */

/* dh_attend_view_changed -- find what this VM attends by the new view. */
void dh_attend_view_changed(struct dh_worker *w, bool same_servers);

/* dh_pool_attended_here -- whether this VM is the preferred one to attend the
 * backend server. */
bool dh_pool_attended_here(struct dh_worker *w, struct dh_pool *pool);

/* dh_request_hand_over -- send the request to the VM that attends its backend
 * server.  False if that is this VM, or if the request is to be sent to a
 * backend server directly. */
bool dh_request_hand_over(struct dh_request *rq);

/* dh_request_hand_over_answered -- false if the answer of the attending VM is
 * to be returned to the caller; true if the request has been sent again. */
bool dh_request_hand_over_answered(
    struct dh_request *rq, struct dh_message *answer);

/* dh_attend_report_progress -- tell other VMs of the requests that they have
 * handed over some time ago and that have no answer yet. */
void dh_attend_report_progress(struct dh_worker *w);

/* waiting.c */

/* dh_request_wait_for_room -- false if the request is to be sent to the backend
 * server now; true if it waits, or has been refused. */
bool dh_request_wait_for_room(struct dh_request *rq, struct dh_pool *pool);

/* dh_request_stop_waiting -- take the request out of its queue, if any. */
void dh_request_stop_waiting(struct dh_request *rq);

/* dh_pool_run_waiting, dh_worker_run_waiting -- send what waits and has room,
 * at one backend server or at all; the latter also refuses what has waited for
 * too long. */
void dh_pool_run_waiting(struct dh_worker *w, struct dh_pool *pool);
void dh_worker_run_waiting(struct dh_worker *w);

/* dh_waiting_view_changed -- dispatch the waiting requests whose key has
 * another owner in the new view. */
void dh_waiting_view_changed(struct dh_worker *w);

#define DH_FORWARDED_HEADER "Dogwoodhub-Forwarded"
/* In a forwarded request: the other VM attends the backend server. */
#define DH_ATTENDED_HEADER "Dogwoodhub-Attended"
/* In an interim answer of the attending VM: see dh_call_tell_progress(). */
#define DH_OVERDUE_HEADER "Dogwoodhub-Overdue"
/* In the answer to a forwarded request: this VM is about to end. */
#define DH_LEAVING_HEADER "Dogwoodhub-Leaving"
/* In a refusal of a request that another VM has forwarded: this VM does not
 * reach the backend servers either. */
#define DH_UNREACHED_HEADER "Dogwoodhub-Unreached"

/* upstream.c */

/* dh_upstream_send -- send rq->wire on an idle or a new connection; false if
 * no connection could be started, and the attempt has ended. */
bool dh_upstream_send(struct dh_request *rq, struct dh_pool *pool);

/* dh_upstream_cancel -- close the connection of the current attempt, without a
 * call of dh_request_attempt_ended(). */
void dh_upstream_cancel(struct dh_request *rq);

void dh_pool_close_idle(struct dh_pool *pool);

/* dh_pool_admit -- count a request that is to be sent to the backend server;
 * false if its rate limit allows no request now. */
bool dh_pool_admit(struct dh_worker *w, struct dh_pool *pool, int64_t now_ms);

/* dh_pool_accepts_requests -- false once the view has closed the backend
 * server, or its own answers have said that it is leaving; for a keyed service,
 * some time after that.  Asked when a backend server is chosen, and again when
 * the request is handed to the socket. */
bool dh_pool_accepts_requests(
    const struct dh_worker *w, const struct dh_pool *pool, int64_t now_ms);

/* dh_pool_at_connection_limit -- whether all connections that this worker may
 * have to the backend server are busy.  connections_max is the limit for all
 * VMs together. */
bool dh_pool_at_connection_limit(
    struct dh_worker *w, struct dh_pool *pool, uint32_t connections_max);

/* dh_pool_oldest_ms -- time since the oldest pending request was sent to the
 * backend server; 0 if none is pending. */
int64_t dh_pool_oldest_ms(const struct dh_pool *pool, int64_t now_ms);

/* dh_upstream_paced_turn -- read more of a paced answer. */
void dh_upstream_paced_turn(struct dh_upstream *up);

/* dh_upstream_body_bytes -- memory of the body of the answer being read. */
size_t dh_upstream_body_bytes(const struct dh_request *rq);

/* dh_upstream_fail_memory_limit -- end the current attempt because there is no
 * memory for its answer. */
void dh_upstream_fail_memory_limit(struct dh_request *rq);

/* pace.c */

/* dh_pace_init, dh_pace_end -- begin and end the pacing of large answers. */
void dh_pace_init(struct dh_worker *w);
void dh_pace_end(struct dh_worker *w);

/* dh_pace_start -- take turns until paced_out and paced_in are empty. */
void dh_pace_start(struct dh_worker *w);

/* dh_pace_enabled -- whether large answers are paced: the rate of the link is
 * known. */
bool dh_pace_enabled(const struct dh_worker *w);

/* Answers of up to this size are not paced. */
#define DH_PACE_MIN 16384u
/* Bytes of a paced answer that are read or written at once. */
#define DH_PACE_PIECE 8192u

/* client.c */

/* dh_client_accept -- accept a connection of a caller, or of another VM that
 * forwards requests. */
void dh_client_accept(struct dh_worker *w, uv_tcp_t *listener);

/* dh_call_from_vm -- whether another VM has forwarded the call's request. */
bool dh_call_from_vm(const struct dh_call *call);

/* dh_call_tell_progress -- send an interim answer.  overdue: the answer of the
 * backend server is overdue, and there is room for another attempt. */
void dh_call_tell_progress(struct dh_call *call, bool overdue);

/* dh_call_answer -- queue the answer to a call; it is sent after the answers
 * to earlier calls of the connection.  Takes ownership of head, and ends the
 * call.  close: close the connection after the answer. */
void dh_call_answer(struct dh_call *call, GString *head, const char *body,
    size_t len, bool close);

/* dh_call_pace_answer -- the answer to come is paced if it is large. */
void dh_call_pace_answer(struct dh_call *call);

/* dh_client_paced_turn -- write the next piece of a paced answer.  The client
 * leaves paced_out, and returns to it when it can take another piece. */
void dh_client_paced_turn(struct dh_client *client);

void dh_call_set_request(struct dh_call *call, struct dh_request *rq);
struct dh_worker *dh_call_worker(const struct dh_call *call);

/* dh_call_address -- store the caller's IP address, "" if it is unknown. */
void dh_call_address(const struct dh_call *call, char *ip, size_t size);

/* dh_client_buffered_bytes -- memory of the connection's buffers, but for the
 * message that is being read. */
size_t dh_client_buffered_bytes(const struct dh_client *client);

/* dh_client_body_bytes -- memory of the body of the request being read, and
 * the priority of its route. */
size_t dh_client_body_bytes(const struct dh_client *client, uint32_t *priority);

/* dh_client_reject_memory_limit -- refuse the request being read because there
 * is no memory for its body. */
void dh_client_reject_memory_limit(struct dh_client *client);

void dh_clients_close(struct dh_worker *w);

/* dh_clients_sweep -- close connections whose timeouts have expired. */
void dh_clients_sweep(struct dh_worker *w, int64_t now_ms);

/* dh_upstream_connected_before -- whether the connection was accepted before
 * that time. */
bool dh_upstream_connected_before(const struct dh_upstream *up, int64_t ms);

/* crash.c */

/* dh_request_connection_lost -- the connection of the current attempt ended
 * without an answer: find out whether the backend server has ended, and then
 * count a crash against the request.  The attempt is still to be ended. */
void dh_request_connection_lost(const struct dh_request *rq);

/* dh_crash_check_ms -- how long that takes for the backend server of the last
 * attempt. */
int64_t dh_crash_check_ms(const struct dh_request *rq);
void dh_worker_end_crash_checks(struct dh_worker *w);

/* probe.c */

/* dh_worker_try_connect -- open a connection to a backend server and close it.
 * done is called once, with 0 or the error of libuv: UV_ETIMEDOUT after
 * connect_ms and a round trip, UV_ECANCELED at the worker's end. */
void dh_worker_try_connect(struct dh_worker *w, const struct dh_view_server *s,
    void (*done)(void *arg, int status), void *arg);

/* dh_worker_accepted -- a backend server of the service accepted a connection.
 */
void dh_worker_accepted(struct dh_worker *w, struct dh_service_state *s);

/* dh_worker_connect_failed -- a connection to a backend server of the service,
 * started at started_ms, failed. */
void dh_worker_connect_failed(struct dh_worker *w, struct dh_service_state *s,
    uint32_t uid, int64_t started_ms);

/* dh_worker_probe -- probe backend servers if it is time for that. */
void dh_worker_probe(struct dh_worker *w);
void dh_worker_end_probes(struct dh_worker *w);

/* room.c */

/* dh_message_memory_max -- the worker's limit of memory for messages. */
size_t dh_message_memory_max(const struct dh_worker *w);

/* dh_message_memory_count_read -- count bytes that were read.  If the memory
 * of all messages exceeds the limit, refuse some of them, which may include
 * the message that the bytes belong to. */
void dh_message_memory_count_read(struct dh_worker *w, size_t bytes);

/* worker.c */

/* dh_worker_pool -- the state of a backend server, created if missing. */
struct dh_pool *dh_worker_pool(
    struct dh_worker *w, const struct dh_view_server *s);

/* dh_worker_peer_pool -- the state of another VM, created if missing. */
struct dh_pool *dh_worker_peer_pool(
    struct dh_worker *w, const struct dh_view_peer *p);

/* dh_worker_service -- the state of a service, created if missing. */
struct dh_service_state *dh_worker_service(
    struct dh_worker *w, const struct dh_view *v, uint32_t service);

/* dh_worker_count_key -- add a request for a key to the next report. */
void dh_worker_count_key(struct dh_worker *w, GQuark service, uint32_t key);

/* dh_worker_count_latency -- add a request to the latency histogram. */
void dh_worker_count_latency(struct dh_worker *w, int64_t ms);

int64_t dh_worker_now_ms(const struct dh_worker *w);

#endif
