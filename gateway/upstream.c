/*
 * Connections to backend servers.  A connection carries one request at a time,
 * and is reused only after a complete answer without extra bytes behind it.
 *
 * Late copies of earlier answers may still come, whole or in part.  They name
 * other requests than the one that waits, since an id is sent at most once on a
 * connection.
 */
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/opslog.h"
#include "gateway/worker_internal.h"
#include "platform/wire.h"

/* Answers are buffered completely, so that a truncated one is never forwarded.
 */
#define ANSWER_HEAD_MAX 65536
#define ANSWER_BODY_MAX (16u << 20)
#define ANSWER_MEMORY_SHARE 4 /* one answer: 1/4 of message memory */
/* Limit of answers with another request id that are skipped. */
#define FOREIGN_ANSWERS_MAX 4
/* Connections are reused when idle for less than IDLE_MAX_MS, and for less than
 * the timeout of their Keep-Alive header minus IDLE_SLACK_MS.  The limit is
 * shorter for requests that must not execute twice: after a reset, it is
 * unknown whether they did. */
#define IDLE_MAX_MS 4000
#define IDLE_UNREPEATABLE_MAX_MS 250
#define IDLE_SLACK_MS 1000
/* After a connection that had been idle was reset on its next request, the
 * limit of idle time for all connections of the service is IDLE_RESET_SHARE of
 * that idle time, for IDLE_RESET_MEMORY_MS. */
#define IDLE_RESET_SHARE 0.5
/* A connection that was idle for less was reset for another reason. */
#define IDLE_RESET_MIN_MS 100
#define IDLE_RESET_MEMORY_MS 10000
/* Time for which connections are not reused after an answer with a status line
 * inside its head. */
#define MIXED_MEMORY_MS 60000
/* A new connection that is reset within this time plus the round trip time
 * exceeded the backend server's connection limit. */
#define RESET_ON_CONNECT_MS 30
/* Time between checks whether a request has been delivered whose answer has
 * ended. */
#define DELIVERY_CHECK_MS 20
/* Part of a backend server's connection limit that all routers together use. */
#define CONNECTIONS_PERCENT 80
#define CONNECTIONS_MIN 2
/* Of these, the part of the VM that attends the backend server. */
#define ATTENDED_PERCENT 50

struct dh_upstream {
	struct dh_worker *worker;
	struct dh_pool *pool;
	struct dh_request *rq; /* NULL while idle */
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	uv_timer_t timer; /* connect timeout, then delivery checks */
	int closing; /* number of handles being closed */
	bool connected, written, closed, not_reusable;
	int64_t connected_ms;
	struct dh_message in;
	uint32_t foreign_answers; /* skipped: another request id */
	int64_t idle_since_ms;
	int64_t idle_max_ms;
	int64_t idle_before_ms; /* idle time before the request; 0: new */
	int64_t started_ms; /* when the connection was started */
	uint64_t number; /* of the connection, in the worker */
	uint64_t opened_at; /* end of the worker's sent_log at that time */
	uint32_t carried; /* requests sent on it so far */
	GList link; /* in pool->idle or pool->busy */
	bool waits_for_turn; /* in worker->paced_in; nothing is read */
	GList paced_link;
	GString *out; /* being written */
};

static void
unlink_from_pool(struct dh_upstream *up)
{
	if (up->pool == NULL)
		return;
	if (up->rq != NULL)
		g_queue_unlink(&up->pool->busy, &up->link);
	else
		g_queue_unlink(&up->pool->idle, &up->link);
	up->pool = NULL;
}

static void
on_closed(uv_handle_t *handle)
{
	struct dh_upstream *up = handle->data;

	if (--up->closing > 0)
		return;
	dh_message_clear(&up->in);
	if (up->out != NULL)
		g_string_free(up->out, TRUE);
	g_free(up);
}

static void
upstream_close(struct dh_upstream *up)
{
	if (up->closed)
		return;
	up->closed = true;
	if (up->waits_for_turn)
		g_queue_unlink(&up->worker->paced_in, &up->paced_link);
	up->waits_for_turn = false;
	unlink_from_pool(up);
	up->rq = NULL;
	up->closing = 2;
	uv_close((uv_handle_t *)&up->timer, on_closed);
	uv_close((uv_handle_t *)&up->tcp, on_closed);
}

static void
answer_init(struct dh_upstream *up)
{
	size_t limit = dh_message_memory_max(up->worker) / ANSWER_MEMORY_SHARE;

	dh_message_init(&up->in, HTTP_RESPONSE, ANSWER_HEAD_MAX,
	    MIN(limit, ANSWER_BODY_MAX));
}

/* A connection that had been idle was reset, maybe because its state was
 * dropped during the idle time: lower the service's limit of idle time. */
static void
lower_idle_limit(struct dh_service_state *s, const struct dh_upstream *up)
{
	int64_t now_ms = dh_worker_now_ms(up->worker);
	int64_t limit_ms =
	    (int64_t)((double)up->idle_before_ms * IDLE_RESET_SHARE);

	if (now_ms >= s->idle_limit_until_ms || limit_ms < s->idle_limit_ms) {
		s->idle_limit_ms = limit_ms;
		dh_opslog_add(DH_OPS_STATE, "connections.forgotten",
		    ",\"service\":\"%s\",\"rested_ms\":%lld,"
		    "\"used_below_ms\":%lld",
		    s->name, (long long)up->idle_before_ms,
		    (long long)limit_ms);
	}
	s->idle_limit_until_ms = now_ms + IDLE_RESET_MEMORY_MS;
}

/* Whether the backend server reset the connection right after accepting it,
 * since it has as many connections as it allows. */
static bool
reset_on_connect(const struct dh_upstream *up)
{
	double since_ms =
	    (double)(dh_worker_now_ms(up->worker) - up->connected_ms);

	return up->connected && up->idle_before_ms == 0 && !up->in.began &&
	    since_ms <= RESET_ON_CONNECT_MS +
		up->worker->choice.round_trip_ms[up->pool->tier];
}

bool
dh_upstream_connected_before(const struct dh_upstream *up, int64_t ms)
{
	return up->connected && up->connected_ms < ms;
}

/* Close the connection and end its attempt, if any, without an answer. */
static void
upstream_fail(struct dh_upstream *up, enum dh_attempt_end how, const char *why)
{
	struct dh_request *rq = up->rq;

	if (rq != NULL && how == DH_ATTEMPT_LOST && reset_on_connect(up))
		how = DH_ATTEMPT_RESET;
	if (rq != NULL && how == DH_ATTEMPT_LOST && !up->pool->peer &&
	    up->idle_before_ms >= IDLE_RESET_MIN_MS && !up->in.began)
		lower_idle_limit(rq->service_state, up);
	upstream_close(up);
	if (rq == NULL)
		return;
	rq->upstream = NULL;
	dh_request_attempt_ended(rq, how, why);
}

/* Tell the parser that an answer to HEAD has no body. */
static void
set_expected_answer(struct dh_upstream *up)
{
	up->in.no_body = up->rq->head_only;
}

static void
read_keep_alive(struct dh_upstream *up)
{
	const char *text = dh_message_header(&up->in, "Keep-Alive");
	const char *timeout = text == NULL ? NULL : strstr(text, "timeout=");
	int64_t ms;

	if (timeout == NULL)
		return;
	ms = strtol(timeout + strlen("timeout="), NULL, 10) * 1000 -
	    IDLE_SLACK_MS;
	up->idle_max_ms = ms < up->idle_max_ms ? ms : up->idle_max_ms;
}

static void
become_idle(struct dh_upstream *up)
{
	if (up->waits_for_turn)
		dh_upstream_paced_turn(up);
	g_queue_unlink(&up->pool->busy, &up->link);
	up->rq = NULL;
	up->idle_since_ms = dh_worker_now_ms(up->worker);
	g_queue_push_head_link(&up->pool->idle, &up->link);
}

/* Whether the complete answer belongs to the request: it has the request's id,
 * or no id, a status that is not a success, and no answer before it on this
 * connection of which it could be a late copy. */
static bool
answer_matches_request(struct dh_upstream *up)
{
	const char *id = dh_message_header(&up->in, dh_wire_headers.request_id);

	return id == NULL ? up->in.parser.status_code >= 300 && up->carried == 1
			  : strcmp(id, up->rq->id) == 0;
}

/* Whether the complete answer is made of parts of two: its head broke off and
 * another one followed.  On a first request, it is a header of the backend
 * server's that looks so.  In either case its connections are not reused for
 * some time.  Other VMs pass on such a header. */
static bool
is_mixed(struct dh_upstream *up)
{
	if (up->pool->peer || !dh_message_has_inner_status_line(&up->in))
		return false;
	up->not_reusable = true;
	up->pool->mixed_until_ms =
	    dh_worker_now_ms(up->worker) + MIXED_MEMORY_MS;
	return up->carried > 1;
}

/* An overloaded backend server names in its answers the rate of requests that
 * it takes from all VMs together. */
static void
note_rate_limit(struct dh_upstream *up)
{
	struct dh_pool *pool = up->pool;
	const char *text =
	    dh_message_header(&up->in, dh_wire_headers.rate_limit);
	double before_per_s = pool->rate_limit.named_per_s;
	double per_s = DH_RATE_UNLIMITED;

	if (text != NULL && !dh_wire_rate_limit(text, &per_s)) {
		dh_opslog_add(DH_OPS_REQUEST, "rate_limit.ignored",
		    ",\"server\":\"%s\",\"why\":\"not a number\"", pool->id);
		return;
	}
	/* Only an answer to a request that ran shows that the limit has been
	 * lifted. */
	if (per_s < 0 &&
	    (dh_message_header(&up->in, dh_wire_headers.server_stamp) == NULL ||
		dh_rate_limit_per_s(
		    &pool->rate_limit, dh_worker_now_ms(up->worker)) < 0))
		return;
	dh_rate_limit_answered(
	    &pool->rate_limit, per_s, dh_worker_now_ms(up->worker));
	pool->limit_change = per_s < 0 ? DH_LIMIT_LIFTED : DH_LIMIT_NAMED;
	if (per_s != before_per_s)
		dh_opslog_add(DH_OPS_MEMBER, "server.rate_limit",
		    ",\"server\":\"%s\",\"born\":%lld,\"per_s\":%.3f,"
		    "\"before\":%.3f",
		    pool->id, (long long)pool->start_ms, per_s, before_per_s);
}

static void
answer_complete(struct dh_upstream *up, bool extra)
{
	struct dh_request *rq = up->rq;
	struct dh_message answer;
	bool keep;

	if (up->in.parser.status_code / 100 == 2 &&
	    dh_message_header(&up->in, dh_wire_headers.server_stamp) == NULL) {
		dh_counter_add(up->worker->c.bad_answers, 1);
		upstream_fail(up, DH_ATTEMPT_LOST, "answer without stamp");
		return;
	}
	if (!up->pool->peer)
		note_rate_limit(up);
	read_keep_alive(up);
	keep = !extra &&
	    dh_message_header(&up->in, dh_wire_headers.request_id) != NULL &&
	    dh_pool_accepts_requests(
		up->worker, up->pool, dh_worker_now_ms(up->worker)) &&
	    !up->not_reusable && up->written && up->pool->listed &&
	    up->idle_max_ms > 0 && http_should_keep_alive(&up->in.parser);
	/* dh_request_answered() may close the connection, so the answer is
	 * moved out of it. */
	answer = up->in;
	answer_init(up);
	rq->upstream = NULL;
	up->pool->answers++;
	if (keep)
		become_idle(up);
	else
		upstream_close(up);
	dh_request_answered(rq, &answer);
	dh_message_clear(&answer);
}

static void
log_skipped_answer(const struct dh_upstream *up)
{
	const struct dh_message *m = &up->in;
	const char *other = dh_message_header(m, dh_wire_headers.request_id);
	char id[DH_NAME_MAX * 2 + 8], other_id[DH_NAME_MAX * 2 + 8];

	dh_opslog_add(DH_OPS_REQUEST, "answer.skipped",
	    ",\"id\":%s,\"server\":\"%s\",\"connection\":%llu,"
	    "\"carried\":%u,\"status\":%u,\"bytes\":%zu,\"names\":%s,"
	    "\"after_ms\":%lld",
	    dh_opslog_quote(id, sizeof(id), up->rq->id), up->pool->id,
	    (unsigned long long)up->number, up->rq->carried,
	    m->parser.status_code, m->body->len,
	    dh_opslog_quote(
		other_id, sizeof(other_id), other == NULL ? "" : other),
	    (long long)(dh_worker_now_ms(up->worker) - up->rq->sent_ms));
}

/* A backend server that is leaving says so in a header of all its answers. */
static void
note_leaving(struct dh_upstream *up)
{
	struct dh_pool *pool = up->pool;

	if (pool->leaving_since_ms != 0 ||
	    !dh_wire_leaving(
		dh_message_header(&up->in, dh_wire_headers.leaving)))
		return;
	pool->leaving_since_ms = dh_worker_now_ms(up->worker);
	dh_opslog_add(DH_OPS_STATE, "server.said_leaving",
	    ",\"server\":\"%s\",\"born\":%lld,\"by\":\"answer\"", pool->id,
	    (long long)pool->start_ms);
	if (!pool->keyed)
		dh_pool_close_idle(pool);
}

static void
take_bytes(struct dh_upstream *up, const char *data, size_t len)
{
	enum dh_message_state state;
	size_t used;

	while (!up->closed) {
		state = dh_message_feed(&up->in, data, len, &used);
		data += used;
		len -= used;
		if (state == DH_MESSAGE_INCOMPLETE)
			return;
		if (state != DH_MESSAGE_DONE) {
			dh_counter_add(up->worker->c.bad_answers, 1);
			upstream_fail(up, DH_ATTEMPT_LOST, "not an answer");
			return;
		}
		if (is_mixed(up)) {
			dh_counter_add(up->worker->c.bad_answers, 1);
			upstream_fail(
			    up, DH_ATTEMPT_LOST, "parts of two answers");
			return;
		}
		if (up->in.parser.status_code >= 200 && !up->pool->peer)
			note_leaving(up);
		if (up->in.parser.status_code >= 200 &&
		    answer_matches_request(up)) {
			answer_complete(up, len > 0);
			return;
		}
		if (up->in.parser.status_code >= 200) {
			up->not_reusable = true;
			dh_counter_add(up->worker->c.bad_answers, 1);
			dh_counter_add(up->worker->c.skipped_answers, 1);
			up->rq->skipped++;
			log_skipped_answer(up);
			if (++up->foreign_answers > FOREIGN_ANSWERS_MAX) {
				upstream_fail(up, DH_ATTEMPT_LOST,
				    "answers to other requests");
				return;
			}
		}
		if (up->pool->peer && up->rq->attended &&
		    dh_message_header(&up->in, DH_OVERDUE_HEADER) != NULL) {
			/* May close the connection. */
			dh_request_overdue(up->rq);
			if (up->closed)
				return;
		}
		dh_message_reset(&up->in);
		set_expected_answer(up);
		if (len == 0)
			return;
	}
}

/* Whether the end of the connection is an orderly close: libuv reports UV_EOF
 * also for a connection that was reset after its last bytes.  A reset that
 * follows an orderly close shows in SO_ERROR only. */
static bool
closed_cleanly(struct dh_upstream *up)
{
	int fd, error = 0;
	socklen_t len = sizeof(error);
	char byte;

	return uv_fileno((uv_handle_t *)&up->tcp, &fd) == 0 &&
	    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 &&
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 &&
	    error == 0;
}

/* Whether the other side has acknowledged all bytes of the request; if that
 * cannot be told, whether all have been written. */
static bool
request_delivered(struct dh_upstream *up)
{
	int fd, unacked;

	if (!up->written || uv_fileno((uv_handle_t *)&up->tcp, &fd) != 0)
		return false;
	return ioctl(fd, SIOCOUTQ, &unacked) != 0 || unacked == 0;
}

static void on_delivery_check(uv_timer_t *timer);

/* Handles the end of the connection, which also ends an answer without a
 * length.  As long as the request is still being sent, a reset may follow that
 * shows that the answer was cut: the answer is complete once the request has
 * been delivered. */
static void
connection_ended(struct dh_upstream *up)
{
	if (!closed_cleanly(up) || !dh_message_eof(&up->in) ||
	    up->in.parser.status_code < 200 || !answer_matches_request(up)) {
		dh_request_connection_lost(up->rq);
		upstream_fail(up, DH_ATTEMPT_LOST,
		    up->in.began ? "answer ended early" : "connection ended");
		return;
	}
	/* Without a length, a copy behind the answer looks like its body. */
	if (is_mixed(up) ||
	    dh_message_body_has_head(&up->in, dh_wire_headers.request_id)) {
		dh_counter_add(up->worker->c.bad_answers, 1);
		upstream_fail(up, DH_ATTEMPT_LOST, "parts of two answers");
		return;
	}
	if (!request_delivered(up)) {
		uv_timer_start(
		    &up->timer, on_delivery_check, DELIVERY_CHECK_MS, 0);
		return;
	}
	up->not_reusable = true;
	if (!up->pool->peer)
		note_leaving(up);
	answer_complete(up, false);
}

static void
on_delivery_check(uv_timer_t *timer)
{
	connection_ended(timer->data);
}

/* Whether the answer is read at the pace of large ones. */
static bool
is_paced(const struct dh_upstream *up)
{
	return up->rq != NULL && up->rq->route->bulk &&
	    dh_pace_enabled(up->worker);
}

/* Count the bytes of a large answer, and read no more until its next turn. */
static void
pace_read(struct dh_upstream *up, size_t n)
{
	struct dh_worker *w = up->worker;

	if (up->in.body->len + n < DH_PACE_MIN)
		return;
	dh_pacer_count(&w->pacer_in, n, dh_worker_now_ms(w));
	if (dh_pacer_ready(&w->pacer_in, dh_worker_now_ms(w)))
		return;
	(void)uv_read_stop((uv_stream_t *)&up->tcp);
	up->waits_for_turn = true;
	up->paced_link.data = up;
	g_queue_push_tail_link(&w->paced_in, &up->paced_link);
	dh_pace_start(w);
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct dh_upstream *up = stream->data;

	if (n == 0)
		return;
	if (up->rq == NULL) {
		/* End of the connection, or bytes without a request. */
		upstream_close(up);
		return;
	}
	if (n > 0) {
		if (up->pool->peer)
			up->pool->heard_ms = dh_worker_now_ms(up->worker);
		else
			dh_reach_heard(&up->rq->service_state->reach,
			    dh_worker_now_ms(up->worker));
		dh_message_memory_count_read(up->worker, (size_t)n);
		if (is_paced(up))
			pace_read(up, (size_t)n);
		take_bytes(up, buf->base, (size_t)n);
		return;
	}
	if (n == UV_EOF) {
		connection_ended(up);
		return;
	}
	dh_request_connection_lost(up->rq);
	upstream_fail(up, DH_ATTEMPT_LOST,
	    up->in.began ? "answer ended early" : "connection ended");
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct dh_upstream *up = handle->data;

	(void)size;
	*buf = uv_buf_init(up->worker->buffer,
	    is_paced(up) ? DH_PACE_PIECE : sizeof(up->worker->buffer));
}

void
dh_upstream_paced_turn(struct dh_upstream *up)
{
	g_queue_unlink(&up->worker->paced_in, &up->paced_link);
	up->waits_for_turn = false;
	if (uv_read_start((uv_stream_t *)&up->tcp, on_alloc, on_read) != 0)
		upstream_fail(up, DH_ATTEMPT_LOST, "cannot read");
}

static void
on_written(uv_write_t *req, int status)
{
	struct dh_upstream *up = req->data;

	up->written = status == 0;
	if (up->out != NULL)
		g_string_free(up->out, TRUE);
	up->out = NULL;
	if (status < 0 && !up->closed && up->rq != NULL) {
		dh_request_connection_lost(up->rq);
		upstream_fail(up, DH_ATTEMPT_LOST, "send failed");
	}
}

/* Why the request may no longer be sent to the backend server, or NULL.  Since
 * it was chosen, time may have passed: a connection was opened, or this thread
 * stood still. */
static const char *
why_unsent(const struct dh_upstream *up)
{
	const struct dh_request *rq = up->rq;
	struct dh_worker *w = up->worker;
	struct dh_suspect suspect =
	    dh_quarantine_find(&w->quarantine, rq->digest);

	uv_update_time(&w->loop);
	if (!dh_pool_accepts_requests(w, up->pool, dh_worker_now_ms(w)))
		return "the backend server is closed";
	if (rq->view->deployment != w->view->deployment)
		return "another configuration is in force";
	if (dh_suspect_is_refused(&suspect))
		return "the request is refused";
	return NULL;
}

static void
note_sent(struct dh_upstream *up)
{
	struct dh_request *rq = up->rq;

	rq->connection = up->number;
	rq->carried = up->carried++;
	dh_sent_log_add(&up->worker->sent_log, up->number, rq->id);
}

static void
send_request(struct dh_upstream *up)
{
	struct dh_request *rq = up->rq;
	const char *why = why_unsent(up);
	uv_buf_t buf = uv_buf_init(rq->wire->str, (unsigned int)rq->wire->len);
	int n;

	if (why != NULL) {
		dh_counter_add(up->worker->c.unsent, 1);
		upstream_fail(up, DH_ATTEMPT_UNSENT, why);
		return;
	}
	note_sent(up);
	n = uv_try_write((uv_stream_t *)&up->tcp, &buf, 1);
	set_expected_answer(up);
	rq->may_have_run = true;
	if (n == (int)rq->wire->len) {
		up->written = true;
		return;
	}
	if (n < 0 && n != UV_EAGAIN) {
		rq->may_have_run = rq->ran_before;
		upstream_fail(up, DH_ATTEMPT_NOT_RUN, "connection had ended");
		return;
	}
	n = n < 0 ? 0 : n;
	up->out =
	    g_string_new_len(rq->wire->str + n, (gssize)rq->wire->len - n);
	buf = uv_buf_init(up->out->str, (unsigned int)up->out->len);
	up->write.data = up;
	if (uv_write(
		&up->write, (uv_stream_t *)&up->tcp, &buf, 1, on_written) != 0)
		upstream_fail(up, DH_ATTEMPT_LOST, "send failed");
}

static void
connect_failed(struct dh_upstream *up)
{
	if (up->pool->peer)
		return;
	dh_worker_connect_failed(
	    up->worker, up->rq->service_state, up->pool->uid, up->started_ms);
}

static void
on_connected(uv_connect_t *req, int status)
{
	struct dh_upstream *up = req->data;

	if (up->closed)
		return;
	uv_timer_stop(&up->timer);
	if (status < 0) {
		connect_failed(up);
		upstream_fail(up, DH_ATTEMPT_UNREACHABLE, uv_strerror(status));
		return;
	}
	if (!up->pool->peer)
		dh_worker_accepted(up->worker, up->rq->service_state);
	up->connected = true;
	up->connected_ms = dh_worker_now_ms(up->worker);
	(void)uv_tcp_nodelay(&up->tcp, 1);
	if (uv_read_start((uv_stream_t *)&up->tcp, on_alloc, on_read) != 0) {
		upstream_fail(up, DH_ATTEMPT_UNREACHABLE, "cannot read");
		return;
	}
	send_request(up);
}

static void
on_connect_timeout(uv_timer_t *timer)
{
	struct dh_upstream *up = timer->data;

	connect_failed(up);
	upstream_fail(up, DH_ATTEMPT_UNREACHABLE, "connect timed out");
}

static struct dh_upstream *
upstream_open(struct dh_request *rq, struct dh_pool *pool)
{
	struct dh_worker *w = rq->worker;
	struct dh_upstream *up = g_new0(struct dh_upstream, 1);

	up->worker = w;
	up->pool = pool;
	up->rq = rq;
	up->link.data = up;
	up->idle_max_ms = IDLE_MAX_MS;
	up->started_ms = dh_worker_now_ms(w);
	up->number = ++w->connections;
	up->opened_at = dh_sent_log_end(&w->sent_log);
	answer_init(up);
	uv_tcp_init(&w->loop, &up->tcp);
	uv_timer_init(&w->loop, &up->timer);
	up->tcp.data = up->timer.data = up->connect.data = up;
	g_queue_push_tail_link(&pool->busy, &up->link);
	dh_counter_add(w->c.connects, 1);
	return up;
}

static int64_t
idle_limit_ms(const struct dh_request *rq, int64_t now_ms)
{
	const struct dh_service_state *s = rq->service_state;
	int64_t limit_ms = rq->route->repeat == DH_REPEAT_SAFE
	    ? IDLE_MAX_MS
	    : IDLE_UNREPEATABLE_MAX_MS;

	return now_ms < s->idle_limit_until_ms ? MIN(limit_ms, s->idle_limit_ms)
					       : limit_ms;
}

/* Whether the connection has not carried the request's id before. */
static bool
is_new_to(const struct dh_upstream *up, const struct dh_request *rq)
{
	struct dh_worker *w = up->worker;
	char id[DH_NAME_MAX * 2 + 8];

	if (!dh_sent_log_has(&w->sent_log, up->number, rq->id))
		return true;
	dh_counter_add(w->c.same_ids, 1);
	dh_opslog_add(DH_OPS_REQUEST, "connection.same_id",
	    ",\"id\":%s,\"server\":\"%s\",\"attempt\":%u,"
	    "\"connection\":%llu,\"carried\":%u",
	    dh_opslog_quote(id, sizeof(id), rq->id), up->pool->id, rq->attempts,
	    (unsigned long long)up->number, up->carried);
	return false;
}

/* An idle connection for the request, or NULL.  Connections that may not be
 * used are closed, since they count for the backend server's limit. */
static struct dh_upstream *
take_idle(struct dh_request *rq, struct dh_pool *pool, int64_t now_ms)
{
	int64_t limit_ms = idle_limit_ms(rq, now_ms), idle_ms;
	struct dh_upstream *up, *used = NULL;
	GList *link, *next;

	for (link = pool->idle.head; link != NULL; link = next) {
		next = link->next;
		up = link->data;
		idle_ms = now_ms - up->idle_since_ms;
		if (now_ms < pool->mixed_until_ms || idle_ms >= limit_ms ||
		    idle_ms >= up->idle_max_ms ||
		    !dh_sent_log_covers(&rq->worker->sent_log, up->opened_at)) {
			upstream_close(up);
			continue;
		}
		if (!is_new_to(up, rq)) {
			used = up;
			continue;
		}
		up->idle_before_ms = MAX(idle_ms, 1);
		g_queue_unlink(&pool->idle, link);
		up->rq = rq;
		g_queue_push_tail_link(&pool->busy, &up->link);
		return up;
	}
	if (used != NULL)
		upstream_close(used);
	return NULL;
}

bool
dh_upstream_send(struct dh_request *rq, struct dh_pool *pool)
{
	struct dh_worker *w = rq->worker;
	struct dh_upstream *up = take_idle(rq, pool, dh_worker_now_ms(w));

	if (up != NULL) {
		up->written = up->not_reusable = false;
		up->foreign_answers = 0;
		rq->upstream = up;
		send_request(up);
		return true;
	}
	up = upstream_open(rq, pool);
	rq->upstream = up;
	if (uv_tcp_connect(&up->connect, &up->tcp,
		(const struct sockaddr *)&pool->address, on_connected) != 0) {
		upstream_fail(up, DH_ATTEMPT_UNREACHABLE, "no socket");
		return false;
	}
	uv_timer_start(&up->timer, on_connect_timeout,
	    (uint64_t)w->settings->connect_ms +
		(uint64_t)w->choice.round_trip_ms[pool->tier],
	    0);
	return true;
}

void
dh_upstream_cancel(struct dh_request *rq)
{
	if (rq->upstream == NULL)
		return;
	upstream_close(rq->upstream);
	rq->upstream = NULL;
}

size_t
dh_upstream_body_bytes(const struct dh_request *rq)
{
	return rq->upstream == NULL ? 0 : rq->upstream->in.body->allocated_len;
}

void
dh_upstream_fail_memory_limit(struct dh_request *rq)
{
	if (rq->upstream != NULL)
		upstream_fail(
		    rq->upstream, DH_ATTEMPT_LOST, "no room for the answer");
}

void
dh_pool_close_idle(struct dh_pool *pool)
{
	while (pool->idle.head != NULL)
		upstream_close(pool->idle.head->data);
}

bool
dh_pool_accepts_requests(
    const struct dh_worker *w, const struct dh_pool *pool, int64_t now_ms)
{
	int64_t limit_ms = w->settings->drain_ms - DH_DRAIN_MARGIN_MS;

	if (pool->peer)
		return true;
	if (!pool->listed ||
	    (pool->close_ms != 0 && now_ms >= pool->close_ms) ||
	    now_ms < pool->other_instance_until_ms)
		return false;
	if (pool->leaving_since_ms == 0)
		return true;
	/* The owner of keys is used until the keys can have moved. */
	return pool->keyed && now_ms - pool->leaving_since_ms < limit_ms;
}

bool
dh_pool_at_connection_limit(
    struct dh_worker *w, struct dh_pool *pool, uint32_t connections_max)
{
	uint32_t vms = w->view->vms > 0 ? w->view->vms : 1;
	uint32_t percent = CONNECTIONS_PERCENT;
	uint32_t share;

	/* The VM that attends has most of the connections. */
	if (pool->service != NULL && pool->service->attended) {
		if (dh_pool_attended_here(w, pool)) {
			percent = ATTENDED_PERCENT;
			vms = 1;
		} else {
			percent -= ATTENDED_PERCENT;
		}
	}
	share = connections_max * percent / 100 / vms / w->settings->threads;

	if (share < CONNECTIONS_MIN)
		share = CONNECTIONS_MIN;
	return pool->busy.length >= share;
}

int64_t
dh_pool_oldest_ms(const struct dh_pool *pool, int64_t now_ms)
{
	const struct dh_upstream *up;

	if (pool->busy.head == NULL)
		return 0;
	up = pool->busy.head->data;
	return now_ms - up->rq->sent_ms;
}
