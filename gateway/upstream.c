/*
 * Connections to backend servers: one request at a time on each, kept for the
 * next one only after a whole answer with nothing behind it.
 */
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/opslog.h"
#include "gateway/worker_internal.h"
#include "platform/wire.h"

/* Answers are held whole, so that one that ends early is never passed on. */
#define ANSWER_HEAD_MAX 65536
#define ANSWER_BODY_MAX (16u << 20)
#define ANSWER_ROOM_SHARE 4 /* and one of them at most such a part of all */
/* Answers to other requests that are skipped before ours. */
#define FOREIGN_MAX 4
/* Idle connections are used again for this long, and for this long if what
 * they said of their timeout is kept to; the shorter for requests that must
 * not run twice, since a reset would leave open whether they ran. */
#define IDLE_MAX_MS 4000
#define IDLE_UNREPEATABLE_MAX_MS 250
#define IDLE_SLACK_MS 1000
/* After a rested connection was reset by the next request, none of the service
 * is used that has rested for this part of that time, for so long. */
#define IDLE_RESET_SHARE 0.5
/* One that rested for less was cut for another reason. */
#define IDLE_RESET_MIN_MS 100
#define IDLE_RESET_MEMORY_MS 10000
/* A new connection that is reset within this time and the way there and back
 * was one too many. */
#define TURNED_AWAY_MS 30
/* Part of a backend server's connections that the routers together use. */
#define CONNECTIONS_PERCENT 80
#define CONNECTIONS_MIN 2

struct dh_upstream {
	struct dh_worker *worker;
	struct dh_pool *pool;
	struct dh_request *rq; /* NULL while idle */
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	uv_timer_t timer; /* of the connecting */
	int closing; /* handles that are being closed */
	bool connected, written, closed, spoiled;
	int64_t connected_ms;
	struct dh_message in;
	uint32_t foreign;
	int64_t idle_since_ms;
	int64_t idle_max_ms;
	int64_t rested_ms; /* before the request; 0: it is the first here */
	GList link; /* in pool->idle or pool->busy */
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
	unlink_from_pool(up);
	up->rq = NULL;
	up->closing = 2;
	uv_close((uv_handle_t *)&up->timer, on_closed);
	uv_close((uv_handle_t *)&up->tcp, on_closed);
}

static void
answer_init(struct dh_upstream *up)
{
	size_t most = dh_room_max(up->worker) / ANSWER_ROOM_SHARE;

	dh_message_init(&up->in, HTTP_RESPONSE, ANSWER_HEAD_MAX,
	    MIN(most, ANSWER_BODY_MAX));
}

/* The connection may have been forgotten while it rested. */
static void
learn_forgotten(struct dh_service_state *s, const struct dh_upstream *up)
{
	int64_t now_ms = dh_worker_now_ms(up->worker);
	int64_t most_ms = (int64_t)((double)up->rested_ms * IDLE_RESET_SHARE);

	if (now_ms >= s->idle_until_ms || most_ms < s->idle_most_ms) {
		s->idle_most_ms = most_ms;
		dh_ops(DH_OPS_STATE, "connections.forgotten",
		    ",\"service\":\"%s\",\"rested_ms\":%lld,"
		    "\"used_below_ms\":%lld",
		    s->name, (long long)up->rested_ms, (long long)most_ms);
	}
	s->idle_until_ms = now_ms + IDLE_RESET_MEMORY_MS;
}

/* Whether the backend server has taken the connection only to reset it: it has
 * as many as it allows. */
static bool
turned_away(const struct dh_upstream *up)
{
	double since_ms =
	    (double)(dh_worker_now_ms(up->worker) - up->connected_ms);

	return up->connected && up->rested_ms == 0 && !up->in.began &&
	    since_ms <=
	    TURNED_AWAY_MS + up->worker->choice.way_ms[up->pool->tier];
}

/* The attempt ends without an answer. */
static void
upstream_fail(struct dh_upstream *up, enum dh_attempt_end how, const char *why)
{
	struct dh_request *rq = up->rq;

	if (rq != NULL && how == DH_ATTEMPT_LOST && turned_away(up))
		how = DH_ATTEMPT_OVERRUN;
	if (rq != NULL && how == DH_ATTEMPT_LOST &&
	    up->rested_ms >= IDLE_RESET_MIN_MS && !up->in.began)
		learn_forgotten(rq->service_state, up);
	upstream_close(up);
	if (rq == NULL)
		return;
	rq->upstream = NULL;
	dh_request_attempt_ended(rq, how, why);
}

/* An answer to HEAD has no body. */
static void
expect_answer(struct dh_upstream *up)
{
	up->in.no_body = up->rq->head_only;
}

static void
learn_idle_time(struct dh_upstream *up)
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
	g_queue_unlink(&up->pool->busy, &up->link);
	up->rq = NULL;
	up->idle_since_ms = dh_worker_now_ms(up->worker);
	g_queue_push_head_link(&up->pool->idle, &up->link);
}

/* Whether the whole answer that is in belongs to the request. */
static bool
is_ours(struct dh_upstream *up)
{
	const char *id = dh_message_header(&up->in, dh_wire_headers.request_id);

	return id == NULL ? up->in.parser.status_code >= 300
			  : strcmp(id, up->rq->id) == 0;
}

static void
answer_complete(struct dh_upstream *up, bool extra)
{
	struct dh_request *rq = up->rq;
	struct dh_message answer;
	bool keep;

	if (up->in.parser.status_code / 100 == 2 &&
	    dh_message_header(&up->in, dh_wire_headers.stamp) == NULL) {
		dh_counter_add(up->worker->c.bad_answers, 1);
		upstream_fail(up, DH_ATTEMPT_LOST, "answer without stamp");
		return;
	}
	learn_idle_time(up);
	keep = !extra &&
	    dh_pool_open(up->worker, up->pool, dh_worker_now_ms(up->worker)) &&
	    !up->spoiled && up->written && up->pool->listed &&
	    up->idle_max_ms > 0 && http_should_keep_alive(&up->in.parser);
	/* The connection may go with the request's next steps: the answer
	 * stays. */
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

/* A backend server says in all its answers that it leaves. */
static void
note_leaving(struct dh_upstream *up)
{
	struct dh_pool *pool = up->pool;

	if (pool->leaving_ms != 0 ||
	    !dh_wire_leaving(
		dh_message_header(&up->in, dh_wire_headers.leaving)))
		return;
	pool->leaving_ms = dh_worker_now_ms(up->worker);
	dh_ops(DH_OPS_STATE, "server.said_leaving",
	    ",\"server\":\"%s\",\"born\":%lld,\"by\":\"answer\"", pool->id,
	    (long long)pool->born_ms);
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
		if (state == DH_MESSAGE_MORE)
			return;
		if (state != DH_MESSAGE_DONE) {
			dh_counter_add(up->worker->c.bad_answers, 1);
			upstream_fail(up, DH_ATTEMPT_LOST, "not an answer");
			return;
		}
		if (up->in.parser.status_code >= 200)
			note_leaving(up);
		if (up->in.parser.status_code >= 200 && is_ours(up)) {
			answer_complete(up, len > 0);
			return;
		}
		if (up->in.parser.status_code >= 200) {
			up->spoiled = true;
			dh_counter_add(up->worker->c.bad_answers, 1);
			if (++up->foreign > FOREIGN_MAX) {
				upstream_fail(up, DH_ATTEMPT_LOST,
				    "answers to other requests");
				return;
			}
		}
		dh_message_reset(&up->in);
		expect_answer(up);
		if (len == 0)
			return;
	}
}

/* Whether the connection was closed in order.  The loop reports the end of one
 * that was reset after its last bytes in the same way. */
static bool
ended_in_order(struct dh_upstream *up)
{
	char byte;
	int fd;

	return uv_fileno((uv_handle_t *)&up->tcp, &fd) == 0 &&
	    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct dh_upstream *up = stream->data;

	if (n == 0)
		return;
	if (up->rq == NULL) {
		/* Closed, or bytes that belong to no request. */
		upstream_close(up);
		return;
	}
	if (n > 0) {
		dh_room_read(up->worker, (size_t)n);
		take_bytes(up, buf->base, (size_t)n);
		return;
	}
	if (n == UV_EOF && ended_in_order(up) && dh_message_end(&up->in) &&
	    up->in.parser.status_code >= 200 && is_ours(up)) {
		up->spoiled = true;
		note_leaving(up);
		answer_complete(up, false);
		return;
	}
	upstream_fail(up, DH_ATTEMPT_LOST,
	    up->in.began ? "answer ended early" : "connection ended");
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct dh_upstream *up = handle->data;

	(void)size;
	*buf = uv_buf_init(up->worker->buffer, sizeof(up->worker->buffer));
}

static void
on_written(uv_write_t *req, int status)
{
	struct dh_upstream *up = req->data;

	up->written = status == 0;
	if (up->out != NULL)
		g_string_free(up->out, TRUE);
	up->out = NULL;
	if (status < 0 && !up->closed && up->rq != NULL)
		upstream_fail(up, DH_ATTEMPT_LOST, "send failed");
}

static void
send_request(struct dh_upstream *up)
{
	struct dh_request *rq = up->rq;
	uv_buf_t buf = uv_buf_init(rq->wire->str, (unsigned int)rq->wire->len);
	int n = uv_try_write((uv_stream_t *)&up->tcp, &buf, 1);

	expect_answer(up);
	rq->may_have_run = true;
	if (n == (int)rq->wire->len) {
		up->written = true;
		return;
	}
	if (n < 0 && n != UV_EAGAIN) {
		rq->may_have_run = false;
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
on_connected(uv_connect_t *req, int status)
{
	struct dh_upstream *up = req->data;

	if (up->closed)
		return;
	uv_timer_stop(&up->timer);
	if (status < 0) {
		upstream_fail(up, DH_ATTEMPT_UNREACHABLE, uv_strerror(status));
		return;
	}
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
	upstream_fail(timer->data, DH_ATTEMPT_UNREACHABLE, "connect timed out");
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
	answer_init(up);
	uv_tcp_init(&w->loop, &up->tcp);
	uv_timer_init(&w->loop, &up->timer);
	up->tcp.data = up->timer.data = up->connect.data = up;
	g_queue_push_tail_link(&pool->busy, &up->link);
	dh_counter_add(w->c.connects, 1);
	return up;
}

static struct dh_upstream *
take_idle(struct dh_request *rq, struct dh_pool *pool, int64_t now_ms)
{
	int64_t most_ms = rq->route->repeat == DH_REPEAT_SAFE
	    ? IDLE_MAX_MS
	    : IDLE_UNREPEATABLE_MAX_MS;
	const struct dh_service_state *s = rq->service_state;
	struct dh_upstream *up;
	GList *link = pool->idle.head;

	if (link == NULL)
		return NULL;
	up = link->data;
	if (now_ms < s->idle_until_ms)
		most_ms = MIN(most_ms, s->idle_most_ms);
	/* The others rest for longer: another connection takes their place,
	 * for the backend server counts them all. */
	if (now_ms - up->idle_since_ms >= most_ms ||
	    now_ms - up->idle_since_ms >= up->idle_max_ms) {
		dh_pool_close_idle(pool);
		return NULL;
	}
	up->rested_ms = MAX(now_ms - up->idle_since_ms, 1);
	g_queue_unlink(&pool->idle, link);
	up->rq = rq;
	g_queue_push_tail_link(&pool->busy, &up->link);
	return up;
}

bool
dh_upstream_send(struct dh_request *rq, struct dh_pool *pool)
{
	struct dh_worker *w = rq->worker;
	struct dh_upstream *up = take_idle(rq, pool, dh_worker_now_ms(w));

	if (up != NULL) {
		up->written = up->spoiled = false;
		up->foreign = 0;
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
		(uint64_t)w->choice.way_ms[pool->tier],
	    0);
	return true;
}

void
dh_upstream_drop(struct dh_request *rq)
{
	if (rq->upstream == NULL)
		return;
	upstream_close(rq->upstream);
	rq->upstream = NULL;
}

size_t
dh_upstream_reading(const struct dh_request *rq)
{
	return rq->upstream == NULL ? 0 : rq->upstream->in.body->allocated_len;
}

void
dh_upstream_no_room(struct dh_request *rq)
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
dh_pool_open(
    const struct dh_worker *w, const struct dh_pool *pool, int64_t now_ms)
{
	int64_t most_ms = w->settings->drain_ms - DH_CLOSE_EARLY_MS;

	if (pool->leaving_ms == 0)
		return true;
	/* Its keys need time to move. */
	return pool->keyed && now_ms - pool->leaving_ms < most_ms;
}

bool
dh_pool_full(const struct dh_worker *w, const struct dh_pool *pool,
    uint32_t connections_max)
{
	uint32_t vms = w->view->vms > 0 ? w->view->vms : 1;
	uint32_t share = connections_max * CONNECTIONS_PERCENT / 100 / vms /
	    w->settings->threads;

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
