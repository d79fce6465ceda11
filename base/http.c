#include "base/http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/opslog.h"
#include "base/timer.h"

/* Number of unanswered keepalive probes that closes a connection. */
#define KEEPALIVE_PROBES 2
/* Limit of an answer's head, of interim answers before it and of trailers. */
#define HEADERS_MAX 65536

struct dh_http {
	CURLM *multi;
	uv_loop_t *loop;
	uv_timer_t *timer;
	GHashTable *transfers; /* CURL * -> struct transfer */
	GHashTable *connections; /* socket -> struct connection */
	GHashTable *by_port; /* local port -> first struct connection */
};

/* An open connection. */
struct connection {
	int port; /* local */
	curl_socket_t fd;
	bool idle; /* no transfer uses it */
	bool out_of_step; /* see dh_http_set_out_of_step() */
	struct connection *next; /* with the same local port */
};

struct transfer {
	dh_http_done_fn done;
	void *arg;
	curl_socket_t fd; /* CURL_SOCKET_BAD: none yet */
};

struct socket_watch {
	uv_poll_t poll;
	struct dh_http *http;
	curl_socket_t fd;
};

static void
handle_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void
finish_transfers(struct dh_http *h)
{
	struct transfer *tr;
	CURLMsg *msg;
	CURLcode result;
	CURL *easy;
	int left;

	while ((msg = curl_multi_info_read(h->multi, &left)) != NULL) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		easy = msg->easy_handle;
		result = msg->data.result;
		tr = g_hash_table_lookup(h->transfers, easy);
		if (tr == NULL)
			continue;
		g_hash_table_steal(h->transfers, easy);
		curl_multi_remove_handle(h->multi, easy);
		tr->done(tr->arg, easy, result);
		g_free(tr);
	}
}

static void
on_poll(uv_poll_t *poll, int status, int events)
{
	struct socket_watch *w = poll->data;
	struct dh_http *h = w->http;
	int flags = 0, running;

	if (status < 0)
		flags = CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(h->multi, w->fd, flags, &running);
	finish_transfers(h);
}

/* Returns 0 for sockets of another kind, which libcurl's resolver opens and
 * closes without close_socket(). */
static int
port_of(curl_socket_t fd)
{
	struct sockaddr_storage address = { 0 };
	socklen_t len = sizeof(address);

	if (getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		return 0;
	if (address.ss_family == AF_INET)
		return ntohs(((struct sockaddr_in *)&address)->sin_port);
	if (address.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&address)->sin6_port);
	return 0;
}

static void
set_first(struct dh_http *h, int port, struct connection *first)
{
	if (first == NULL)
		g_hash_table_remove(h->by_port, GINT_TO_POINTER(port));
	else
		g_hash_table_insert(h->by_port, GINT_TO_POINTER(port), first);
}

static void
connection_set_idle(struct dh_http *h, curl_socket_t fd, bool idle)
{
	struct connection *c =
	    g_hash_table_lookup(h->connections, GINT_TO_POINTER(fd));
	int port;

	if (c == NULL) {
		port = port_of(fd);
		if (port == 0)
			return;
		c = g_new0(struct connection, 1);
		c->fd = fd;
		c->port = port;
		c->next =
		    g_hash_table_lookup(h->by_port, GINT_TO_POINTER(port));
		set_first(h, port, c);
		g_hash_table_insert(h->connections, GINT_TO_POINTER(fd), c);
	}
	c->idle = idle;
}

static int
close_socket(void *arg, curl_socket_t fd)
{
	struct dh_http *h = arg;
	struct connection *c =
	    g_hash_table_lookup(h->connections, GINT_TO_POINTER(fd));
	struct connection *first, **at;

	if (c != NULL) {
		first =
		    g_hash_table_lookup(h->by_port, GINT_TO_POINTER(c->port));
		for (at = &first; *at != c; at = &(*at)->next)
			;
		*at = c->next;
		set_first(h, c->port, first);
		g_hash_table_remove(h->connections, GINT_TO_POINTER(fd));
	}
	return close(fd);
}

bool
dh_http_has_unread(const struct dh_http *h, int local_port)
{
	const struct connection *c =
	    g_hash_table_lookup(h->by_port, GINT_TO_POINTER(local_port));
	char byte;

	for (; c != NULL; c = c->next)
		if (c->out_of_step ||
		    (c->idle &&
			recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0))
			return true;
	return false;
}

void
dh_http_set_out_of_step(struct dh_http *h, int local_port)
{
	struct connection *c =
	    g_hash_table_lookup(h->by_port, GINT_TO_POINTER(local_port));

	for (; c != NULL; c = c->next)
		c->out_of_step = true;
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *socket_arg)
{
	struct dh_http *h = arg;
	struct socket_watch *w = socket_arg;
	struct transfer *tr = g_hash_table_lookup(h->transfers, easy);
	int events = 0;

	if (tr != NULL && what != CURL_POLL_REMOVE)
		tr->fd = fd;
	if (what == CURL_POLL_REMOVE) {
		if (w != NULL) {
			uv_poll_stop(&w->poll);
			curl_multi_assign(h->multi, fd, NULL);
			uv_close((uv_handle_t *)&w->poll, handle_closed);
			connection_set_idle(h, fd, true);
		}
		return 0;
	}
	if (w == NULL) {
		w = g_new0(struct socket_watch, 1);
		w->http = h;
		w->fd = fd;
		uv_poll_init_socket(h->loop, &w->poll, fd);
		w->poll.data = w;
		curl_multi_assign(h->multi, fd, w);
		connection_set_idle(h, fd, false);
	}
	if (what != CURL_POLL_IN)
		events |= UV_WRITABLE;
	if (what != CURL_POLL_OUT)
		events |= UV_READABLE;
	uv_poll_start(&w->poll, events, on_poll);
	return 0;
}

static void
on_timer(uv_timer_t *timer)
{
	struct dh_http *h = timer->data;
	int running;

	curl_multi_socket_action(h->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_transfers(h);
}

static int
on_timeout(CURLM *multi, long timeout_ms, void *arg)
{
	struct dh_http *h = arg;

	(void)multi;
	if (timeout_ms < 0)
		uv_timer_stop(h->timer);
	else
		uv_timer_start(h->timer, on_timer, (uint64_t)timeout_ms, 0);
	return 0;
}

struct dh_http *
dh_http_new(uv_loop_t *loop)
{
	struct dh_http *h = g_new0(struct dh_http, 1);

	h->loop = loop;
	h->transfers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	h->connections = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	h->by_port = g_hash_table_new(NULL, NULL);
	h->timer = dh_timer_new(loop, h);
	h->multi = curl_multi_init();
	g_assert(h->multi != NULL);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
	return h;
}

void
dh_http_set_idle_max(struct dh_http *h, uint32_t connections)
{
	curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS, (long)connections);
}

uv_loop_t *
dh_http_loop(const struct dh_http *h)
{
	return h->loop;
}

void
dh_http_free(struct dh_http *h)
{
	GHashTableIter it;
	gpointer easy;

	if (h == NULL)
		return;
	g_hash_table_iter_init(&it, h->transfers);
	while (g_hash_table_iter_next(&it, &easy, NULL))
		curl_multi_remove_handle(h->multi, easy);
	g_hash_table_destroy(h->transfers);
	curl_multi_cleanup(h->multi);
	g_hash_table_destroy(h->by_port);
	g_hash_table_destroy(h->connections);
	dh_timer_free(h->timer);
	g_free(h);
}

void
dh_http_start(struct dh_http *h, CURL *easy, dh_http_done_fn done, void *arg)
{
	struct transfer *tr = g_new0(struct transfer, 1);

	tr->done = done;
	tr->arg = arg;
	tr->fd = CURL_SOCKET_BAD;
	g_hash_table_insert(h->transfers, easy, tr);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, h);
	curl_multi_add_handle(h->multi, easy);
}

curl_socket_t
dh_http_socket(const struct dh_http *h, CURL *easy)
{
	const struct transfer *tr = g_hash_table_lookup(h->transfers, easy);

	return tr == NULL ? CURL_SOCKET_BAD : tr->fd;
}

void
dh_http_cancel(struct dh_http *h, CURL *easy)
{
	if (g_hash_table_remove(h->transfers, easy))
		curl_multi_remove_handle(h->multi, easy);
}

struct dh_http_fetch {
	struct dh_http *http;
	CURL *easy;
	struct curl_slist *headers;
	GString *body;
	GHashTable *reply_headers;
	dh_http_reply_fn done;
	void *arg;
	size_t answer_max;
	size_t header_bytes; /* received so far */
	uint32_t keepalive_s;
	bool reset_on_close;
	bool keep_after_200_only;
	int64_t connect_until_ms;
	int64_t end_ms; /* of its timeout; INT64_MAX: none */
	long opened; /* number of connections opened for this transfer */
	bool send_once;
	bool began; /* the request was begun to be sent */
	bool unread; /* its connection had unread bytes */
	int local_port; /* of the connection that was used last */
};

static curl_socket_t
open_socket(void *arg, curlsocktype purpose, struct curl_sockaddr *address)
{
	const struct dh_http_fetch *f = arg;

	(void)purpose;
	/* The process may have been stopped since the request was made. */
	if (dh_clock_ms() >= f->connect_until_ms)
		return CURL_SOCKET_BAD;
	return socket(address->family, address->socktype | SOCK_CLOEXEC,
	    address->protocol);
}

/* The gateway's log and that of the other programs are two. */
static void
log_unread(const char *ip, int port, int local_port)
{
	dh_counter_add(dh_counter_get("dh_http_unread_total", ""), 1);
	dh_log(DH_LOG_WARN, "http.unread", "server=%s:%d port=%d result=closed",
	    ip, port, local_port);
	dh_opslog_add(DH_OPS_STATE, "http.unread",
	    ",\"server\":\"%s:%d\",\"port\":%d,\"result\":\"closed\"", ip, port,
	    local_port);
}

/* Called before each copy of a request is sent. */
static int
before_request(void *arg, char *ip, char *local_ip, int port, int local_port)
{
	struct dh_http_fetch *f = arg;
	long opened = f->opened;

	(void)local_ip;
	if (f->began && f->send_once)
		return CURL_PREREQFUNC_ABORT;
	curl_easy_getinfo(f->easy, CURLINFO_NUM_CONNECTS, &f->opened);
	f->unread =
	    f->opened == opened && dh_http_has_unread(f->http, local_port);
	if (f->unread) {
		log_unread(ip, port, local_port);
		return CURL_PREREQFUNC_ABORT;
	}
	f->began = true;
	f->local_port = local_port;
	return CURL_PREREQFUNC_OK;
}

static int
on_socket_created(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	const struct dh_http_fetch *f = arg;
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	int on = 1, seconds = (int)f->keepalive_s, probes = KEEPALIVE_PROBES;
	int rc = 0;

	(void)purpose;
	if (f->reset_on_close)
		rc |= setsockopt(
		    fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	if (seconds > 0) {
		rc |= setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
		rc |= setsockopt(
		    fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
		rc |= setsockopt(
		    fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
		rc |= setsockopt(
		    fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	}
	if (rc != 0)
		dh_log(DH_LOG_WARN, "http.socket_option", "result=failed");
	return CURL_SOCKOPT_OK;
}

static size_t
on_body(char *data, size_t size, size_t n, void *arg)
{
	struct dh_http_fetch *f = arg;

	if (f->body->len + size * n > f->answer_max)
		return 0;
	g_string_append_len(f->body, data, (gssize)(size * n));
	return size * n;
}

static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct dh_http_fetch *f = arg;
	g_autofree char *line = NULL;
	long status = 0;
	char *colon;

	f->header_bytes += size * n;
	if (f->header_bytes > HEADERS_MAX)
		return 0;
	if (f->keep_after_200_only) {
		curl_easy_getinfo(f->easy, CURLINFO_RESPONSE_CODE, &status);
		curl_easy_setopt(
		    f->easy, CURLOPT_FORBID_REUSE, status == 200 ? 0L : 1L);
	}
	line = g_strndup(data, size * n);
	colon = strchr(line, ':');
	if (colon == NULL)
		return size * n;
	*colon = '\0';
	g_hash_table_replace(f->reply_headers, g_ascii_strdown(line, -1),
	    g_strdup(g_strstrip(colon + 1)));
	return size * n;
}

static void
fetch_free(struct dh_http_fetch *f)
{
	curl_easy_cleanup(f->easy);
	curl_slist_free_all(f->headers);
	g_string_free(f->body, TRUE);
	g_hash_table_unref(f->reply_headers);
	g_free(f);
}

static void fetch_done(void *arg, CURL *easy, CURLcode result);

/* Starts the transfer again.  Returns false if its timeout is over. */
static bool
fetch_again(struct dh_http_fetch *f)
{
	int64_t left_ms = f->end_ms - dh_clock_ms();

	if (left_ms <= 0)
		return false;
	if (f->end_ms != INT64_MAX)
		curl_easy_setopt(f->easy, CURLOPT_TIMEOUT_MS, (long)left_ms);
	f->unread = false;
	f->opened = 0;
	dh_http_start(f->http, f->easy, fetch_done, f);
	return true;
}

static void
fetch_done(void *arg, CURL *easy, CURLcode result)
{
	struct dh_http_fetch *f = arg;
	struct dh_http_reply reply = { .result = result };
	long sent = 0;

	if (result == CURLE_ABORTED_BY_CALLBACK && f->unread) {
		if (fetch_again(f))
			return;
		reply.result = CURLE_OPERATION_TIMEDOUT;
	}
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply.status);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
	curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &reply.os_errno);
	reply.sent = sent > 0 || f->began;
	reply.body = f->body->str;
	reply.body_len = f->body->len;
	reply.headers = f->reply_headers;
	reply.local_port = f->local_port;
	reply.new_connection = f->opened > 0;
	f->done(f->arg, &reply);
	fetch_free(f);
}

const char *
dh_http_find_status_line(const char *text, size_t len)
{
	static const char version[] = "HTTP/1.";
	const size_t n = sizeof(version) - 1;
	const char *end = text + len, *p = text, *line, *status;

	while ((p = memmem(p, (size_t)(end - p), version, n)) != NULL) {
		line = p;
		p += n;
		if (p == end || !g_ascii_isdigit(*p++))
			continue;
		for (status = p; p < end && *p == ' '; p++)
			;
		if (p > status && end - p >= 3 && g_ascii_isdigit(p[0]) &&
		    g_ascii_isdigit(p[1]) && g_ascii_isdigit(p[2]))
			return line;
	}
	return NULL;
}

const char *
dh_http_header(const struct dh_http_reply *reply, const char *name)
{
	g_autofree char *lower = g_ascii_strdown(name, -1);

	return reply->headers == NULL
	    ? NULL
	    : g_hash_table_lookup(reply->headers, lower);
}

struct dh_http_fetch *
dh_http_fetch(struct dh_http *h, const struct dh_http_request *rq,
    dh_http_reply_fn done, void *arg)
{
	struct dh_http_fetch *f = g_new0(struct dh_http_fetch, 1);
	CURL *easy = curl_easy_init();
	size_t i;

	g_assert(easy != NULL);
	f->http = h;
	f->easy = easy;
	f->body = g_string_new(NULL);
	f->reply_headers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->done = done;
	f->arg = arg;
	f->answer_max = rq->answer_max > 0 ? rq->answer_max : DH_HTTP_FETCH_MAX;
	f->keepalive_s = rq->keepalive_s;
	f->reset_on_close = rq->reset_on_close;
	f->keep_after_200_only = rq->keep_after_200_only;
	if (f->keepalive_s > 0 || f->reset_on_close) {
		curl_easy_setopt(
		    easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
		curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, f);
	}
	for (i = 0; rq->headers != NULL && rq->headers[i] != NULL; i++)
		f->headers = curl_slist_append(f->headers, rq->headers[i]);
	f->headers = curl_slist_append(f->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, rq->url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, rq->method);
	if (rq->body != NULL) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)rq->body_len);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, rq->body);
	}
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, f->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, f);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, f);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)rq->timeout_ms);
	if (rq->connect_ms > 0)
		curl_easy_setopt(
		    easy, CURLOPT_CONNECTTIMEOUT_MS, (long)rq->connect_ms);
	if (rq->fresh_connection)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	f->connect_until_ms = rq->connect_until_ms;
	if (f->connect_until_ms != 0) {
		curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
		curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, f);
	}
	f->send_once = rq->send_once;
	f->end_ms =
	    rq->timeout_ms > 0 ? dh_clock_ms() + rq->timeout_ms : INT64_MAX;
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, f);
	dh_http_start(h, easy, fetch_done, f);
	return f;
}

void
dh_http_fetch_cancel(struct dh_http_fetch *f)
{
	if (f == NULL)
		return;
	dh_http_cancel(f->http, f->easy);
	fetch_free(f);
}
