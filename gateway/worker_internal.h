#ifndef DH_GATEWAY_WORKER_INTERNAL_H
#define DH_GATEWAY_WORKER_INTERNAL_H

#include "gateway/worker.h"
#include "gateway/message.h"

/* Retries that a VM may make in a row beyond its part of the fleet's slack:
 * with ten VMs the whole stays within it. */
#define DH_RETRY_BURST 4
/* Requests that one request may be sent as, whatever its route allows. */
#define DH_ATTEMPTS_MAX 8
/* Backend servers of a service that are looked at for one request. */
#define DH_CANDIDATES_MAX 1024
/* Bounds of the buckets of latency histograms. */
#define DH_LATENCY_BUCKETS 12

struct dh_request;
struct dh_call;
struct dh_client;
struct dh_upstream;

/* What a worker knows of a backend server, by uid. */
struct dh_pool {
	uint32_t uid;
	char id[DH_NAME_MAX];
	struct sockaddr_in address;
	enum dh_tier tier;
	uint32_t slots;
	struct dh_backend_load load;
	GQueue idle; /* of struct dh_upstream, newest at the head */
	GQueue busy; /* of struct dh_upstream, oldest request first */
	uint64_t answers; /* that came from it */
	bool keyed; /* its service is */
	int64_t born_ms; /* of this life */
	int64_t leaving_ms; /* since an answer said that it leaves; 0: none */
	int64_t told_leaving_ms; /* last reported */
	bool listed; /* in the current view, and open */
};

/* What a worker knows of a service, by name. */
struct dh_service_state {
	char *name;
	GQuark quark; /* of name */
	struct dh_retry_budget budget;
	struct dh_demand_seen seen;
	double work_ms; /* mean over its backend servers */
	double answer_kib; /* mean size */
	uint64_t chosen; /* requests so far, for weights */
	/* Until then only connections that rested for less are used. */
	int64_t idle_until_ms, idle_most_ms;
};

struct dh_worker_counters {
	struct dh_counter *requests, *done, *late, *refused, *unknown, *failed;
	struct dh_counter *room, *room_over;
	struct dh_counter *gone, *retries, *connects, *parked, *bad_answers;
	/* Request and answer, by the tier of the backend server. */
	struct dh_counter *bytes[DH_TIERS], *keyed_bytes[DH_TIERS];
	struct dh_counter *latency[DH_LATENCY_BUCKETS + 1];
	struct dh_counter *latency_sum;
};

struct dh_worker {
	const struct dh_gateway_settings *settings;
	uint32_t index;
	pthread_t thread;
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_async_t wake;
	uv_timer_t tick;
	struct dh_view *view;
	struct dh_view *next_view; /* exchanged */
	struct dh_worker_report *report; /* being filled */
	struct dh_worker_report *report_out; /* exchanged */
	uint32_t drain_asked; /* exchanged */
	int64_t drain_quiet_ms, drain_limit_ms;
	int64_t drain_began_ms; /* 0: not draining */
	uint32_t ticks;
	size_t read_bytes; /* since memory was counted */
	uint32_t done; /* exchanged */
	bool accepting; /* the listener is open */
	GHashTable *pools; /* uid -> struct dh_pool */
	GHashTable *services; /* name -> struct dh_service_state */
	GQueue clients;
	GQueue parked; /* requests that wait for an owner */
	GQueue requests; /* all that run */
	struct dh_rng rng;
	struct dh_choice_params choice;
	struct dh_worker_counters c;
	/* Scratch of one dispatch. */
	struct dh_candidate candidates[DH_CANDIDATES_MAX];
	const struct dh_view_server *candidate_servers[DH_CANDIDATES_MAX];
	char buffer[65536]; /* of reads */
};

/* What happened to an attempt. */
enum dh_attempt_end {
	DH_ATTEMPT_UNREACHABLE, /* no connection; nothing was sent */
	DH_ATTEMPT_NOT_RUN, /* the backend server says so */
	DH_ATTEMPT_MISDIRECTED, /* not the owner, or another instance */
	DH_ATTEMPT_OVERRUN, /* its new connection was reset; it may have run */
	DH_ATTEMPT_LOST, /* it may have run */
};

enum dh_request_state {
	DH_REQUEST_NEW,
	DH_REQUEST_PARKED,
	DH_REQUEST_SENT,
	DH_REQUEST_ENDED,
};

struct dh_request {
	struct dh_worker *worker;
	struct dh_call *call; /* the caller's; NULL: it has left */
	struct dh_message *in; /* the client's, until it has left */
	struct dh_view *view; /* it was routed by */
	const struct dh_http_route *route;
	uint32_t service; /* index in view */
	struct dh_service_state *service_state;
	char id[DH_NAME_MAX * 2];
	bool keyed;
	uint32_t key;
	int64_t arrived_ms;
	int64_t deadline_ms; /* the caller's, at the latest the route's */
	enum dh_request_state state;
	struct dh_upstream *upstream;
	struct dh_pool *pool; /* of the attempt, until it has ended */
	char server[DH_NAME_MAX]; /* its name, for the log */
	int64_t sent_ms; /* of the attempt */
	double ahead; /* requests before it, when it was sent */
	double expected_ms;
	uint32_t attempts; /* that were sent */
	uint32_t unreachable;
	uint64_t answers; /* of the pool, when it was sent */
	bool misdirected; /* by the owners of this version */
	uint64_t misdirected_owners;
	bool may_have_run;
	bool head_only; /* HEAD */
	uint32_t tried[DH_ATTEMPTS_MAX]; /* uids */
	uint32_t ntried;
	GString *wire; /* as sent to backend servers */
	uv_timer_t timer; /* final answer */
	uv_timer_t pause; /* of a parked one, or a late answer */
	int closing; /* timers that are being closed */
	GList link; /* in parked */
	GList all_link; /* in the worker's requests */
};

/* request.c */
void dh_request_start(struct dh_call *call, struct dh_message *in);
/* Whether a request may be repeated, as far as its route is known. */
bool dh_request_is_safe(const struct dh_worker *w, const struct dh_message *in);
void dh_request_view_changed(struct dh_worker *w);
/* No answer when one was expected: try once more, if that is allowed. */
void dh_request_overdue(struct dh_request *rq);
/* Answer every request that runs: the process is about to end. */
void dh_requests_give_up(struct dh_worker *w);
/* The caller has left; the request may go on without it. */
void dh_request_abandon(struct dh_request *rq);
/* From upstream.c: the attempt ended. */
void dh_request_answered(struct dh_request *rq, struct dh_message *answer);
void dh_request_attempt_ended(
    struct dh_request *rq, enum dh_attempt_end how, const char *why);
/* attempt.c: choose a backend server and send. */
void dh_request_dispatch(struct dh_request *rq);
void dh_request_finish(struct dh_request *rq, unsigned int status,
    const char *why, int64_t retry_after_ms);
void dh_request_give_back(struct dh_request *rq, enum dh_reply_kind kind,
    const struct dh_message *answer);

/* upstream.c */
bool dh_upstream_send(struct dh_request *rq, struct dh_pool *pool);
void dh_upstream_drop(struct dh_request *rq);
void dh_pool_close_idle(struct dh_pool *pool);
/* Whether it may be sent requests, as far as its own answers tell. */
bool dh_pool_open(
    const struct dh_worker *w, const struct dh_pool *pool, int64_t now_ms);
bool dh_pool_full(const struct dh_worker *w, const struct dh_pool *pool,
    uint32_t connections_max);
/* What the answer that is being read takes; and end that attempt. */
size_t dh_upstream_reading(const struct dh_request *rq);
void dh_upstream_no_room(struct dh_request *rq);
int64_t dh_pool_oldest_ms(const struct dh_pool *pool, int64_t now_ms);

/* client.c */
void dh_client_accept(struct dh_worker *w);
/* Answer a request of a connection, once those before it are answered; takes
 * the head.  The call is over. */
void dh_call_answer(struct dh_call *call, GString *head, const char *body,
    size_t len, bool close);
void dh_call_set_request(struct dh_call *call, struct dh_request *rq);
struct dh_worker *dh_call_worker(const struct dh_call *call);
/* What it holds beyond the message that it reads; and what that takes, of a
 * kind of request with this priority. */
size_t dh_client_held(const struct dh_client *client);
size_t dh_client_reading(const struct dh_client *client, uint32_t *priority);
/* Refuse what it reads. */
void dh_client_no_room(struct dh_client *client);
void dh_clients_close(struct dh_worker *w);
void dh_clients_sweep(struct dh_worker *w, int64_t now_ms);

/* room.c */
/* The most that messages may take. */
size_t dh_room_max(const struct dh_worker *w);
/* So much was read: if all together is too much now, some give way, the one
 * that was read from perhaps among them. */
void dh_room_read(struct dh_worker *w, size_t bytes);

/* worker.c */
struct dh_pool *dh_worker_pool(
    struct dh_worker *w, const struct dh_view_server *s);
struct dh_service_state *dh_worker_service(
    struct dh_worker *w, const struct dh_view *v, uint32_t service);
void dh_worker_saw_key(struct dh_worker *w, GQuark service, uint32_t key);
void dh_worker_latency(struct dh_worker *w, int64_t ms);
int64_t dh_worker_now_ms(const struct dh_worker *w);

#endif
