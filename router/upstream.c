/*
 * Sends an exchange's request to a backend server, with libcurl.
 *
 * When a reused connection breaks before the answer, libcurl sends the request
 * again by itself, and only the answer to the last copy is seen.  Without a
 * seek function it can't do so once a byte of the body was sent.  A request
 * that is unrepeatable, or that is not safe to repeat and has no body,
 * therefore gets a new connection.
 *
 * A backend server may send an answer twice, the second time late.  Answers on
 * a connection are told apart by the request's id, so that only the first one
 * may lack it, and a connection carries a request only once.
 */
#include <inttypes.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "router/exchange.h"
#include "router/probe.h"

#define CONNECT_TIMEOUT_MS 500L
#define UNACKED_TIMEOUT_MS 3000
#define CONNECTION_IDLE_S 20L
#define CONNECTION_LIFE_S 120L
#define BLOCK_BYTES (16L << 10)
/* Subtracted from the time that a backend server is given, so that its answer
 * "not run" arrives before the router gives up with the outcome unknown. */
#define DEADLINE_MARGIN_MS 20
#define STATUS_LINE_PREFIX "HTTP/"

static const char *const hop_headers[] = { "Connection", "Keep-Alive",
	"Transfer-Encoding", "TE", "Trailer", "Upgrade", "Proxy-Connection",
	"Proxy-Authorization", "Proxy-Authenticate", "Content-Length",
	"Expect" };

/* Whether a header is not forwarded. */
static bool
is_hop_header(const char *name)
{
	size_t i;

	if (g_ascii_strncasecmp(name, "Dh-", 3) == 0)
		return true;
	for (i = 0; i < G_N_ELEMENTS(hop_headers); i++)
		if (g_ascii_strcasecmp(name, hop_headers[i]) == 0)
			return true;
	return false;
}

static size_t
on_read(char *to, size_t size, size_t n, void *arg)
{
	struct dh_exchange *ex = arg;
	size_t got = dh_buffer_get(&ex->request_body, to, size * n);

	if (got == 0 && !ex->request_ended) {
		ex->read_paused = true;
		return CURL_READFUNC_PAUSE;
	}
	ex->bytes_moved += got;
	if (got > 0 && !ex->request_ended)
		dh_exchange_resume(ex);
	return got;
}

static void
count_bad_answer(const char *why)
{
	g_autofree char *labels = g_strdup_printf("why=\"%s\"", why);

	dh_counter_add(dh_counter_get("dh_bad_answers_total", labels), 1);
}

static size_t
on_write(char *data, size_t size, size_t n, void *arg)
{
	struct dh_exchange *ex = arg;
	size_t len = size * n;

	if (ex->not_run || ex->id_mismatch)
		return len;
	/* A body without a complete head of an answer before it. */
	if (!ex->answer_started) {
		count_bad_answer("no-head");
		return 0;
	}
	if (dh_buffer_room(&ex->answer_body) < len) {
		ex->write_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	dh_buffer_put(&ex->answer_body, data, len);
	ex->bytes_moved += len;
	if (ex->request_ended)
		dh_exchange_resume(ex);
	return len;
}

static void
note_id(struct dh_exchange *ex, const char *id)
{
	ex->id_named = true;
	ex->id_mismatch |= strcmp(id, ex->id) != 0;
}

static void
save_header(struct dh_exchange *ex, const char *name, const char *value)
{
	if (g_ascii_strcasecmp(name, "Content-Length") == 0)
		ex->answer_bytes = g_ascii_strtoll(value, NULL, 10);
	else if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0)
		ex->answer_chunked = true;
	else if (g_ascii_strcasecmp(name, "Dh-Request-Id") == 0)
		note_id(ex, value);
	else if (g_ascii_strcasecmp(name, "Dh-Outcome") == 0)
		ex->not_run =
		    ex->status >= 200 && strcmp(value, "not-run") == 0;
	else if (g_ascii_strcasecmp(name, "Dh-Reason") == 0)
		g_strlcpy(
		    ex->refused_reason, value, sizeof(ex->refused_reason));
	if (is_hop_header(name))
		return;
	g_ptr_array_add(ex->answer_headers, g_strdup(name));
	g_ptr_array_add(ex->answer_headers, g_strdup(value));
}

/* Returns false if the status line is not one of HTTP. */
static bool
begin_head(struct dh_exchange *ex, const char *line)
{
	const char *space = strchr(line, ' ');

	ex->status = space == NULL
	    ? 0
	    : (unsigned int)g_ascii_strtoull(space + 1, NULL, 10);
	ex->answer_bytes = -1;
	ex->answer_chunked = false;
	ex->not_run = false;
	ex->id_named = false;
	ex->id_mismatch = false;
	ex->headers_complete = false;
	ex->in_head = true;
	if (ex->answer_headers != NULL)
		g_ptr_array_unref(ex->answer_headers);
	ex->answer_headers = g_ptr_array_new_with_free_func(g_free);
	return dh_http_status_is_valid(ex->status);
}

/* Whether a head whose last line was received is that of an answer to this
 * request. */
static bool
is_own_head(struct dh_exchange *ex)
{
	if (!ex->id_named && ex->status >= 200) {
		if (ex->connection_reused) {
			count_bad_answer("no-id");
			ex->id_mismatch = true;
			return false;
		}
		/* A copy of this answer could not be told from the next one. */
		curl_easy_setopt(ex->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	if (ex->id_mismatch)
		count_bad_answer("other-id");
	return !ex->id_mismatch;
}

/* Whether a line of a head does not show that it is made of parts of two. */
static bool
is_line_of_one_head(
    struct dh_exchange *ex, const char *line, size_t len, bool begins_head)
{
	size_t from = begins_head ? strlen(STATUS_LINE_PREFIX) : 0;

	if (begins_head && (ex->in_head || ex->answer_started))
		return false;
	if (ex->answer_started ||
	    dh_http_find_status_line(line + from, len - from) == NULL)
		return true;
	/* May also be a header of the backend server's. */
	curl_easy_setopt(ex->easy, CURLOPT_FORBID_REUSE, 1L);
	return !ex->connection_reused;
}

static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct dh_exchange *ex = arg;
	g_autofree char *line = g_strndup(data, size * n);
	bool begins_head = g_str_has_prefix(line, STATUS_LINE_PREFIX);
	char *colon;

	if (!is_line_of_one_head(ex, data, size * n, begins_head)) {
		count_bad_answer("two-heads");
		ex->id_mismatch = true;
		return 0;
	}
	g_strchomp(line);
	if (begins_head) {
		/* After an error libcurl does not use the connection again. */
		if (!begin_head(ex, line))
			return 0;
	} else if (line[0] == '\0') {
		ex->headers_complete = true;
		ex->in_head = false;
		/* The connection delivers another request's answer: return an
		 * error, so that libcurl does not use it again. */
		if (!is_own_head(ex))
			return 0;
		/* A length beside chunks is not that of the body. */
		if (ex->answer_chunked)
			ex->answer_bytes = -1;
		if (ex->status >= 200 && !ex->not_run)
			dh_exchange_on_headers(ex);
	} else if ((colon = strchr(line, ':')) != NULL && !ex->answer_started) {
		*colon = '\0';
		save_header(ex, line, g_strstrip(colon + 1));
	}
	return size * n;
}

/* Whether only the end of the connection ends the answer. */
static bool
answer_ends_with_connection(const struct dh_exchange *ex)
{
	return ex->answer_started && ex->answer_bytes < 0 &&
	    !ex->answer_chunked && !dh_exchange_has_bodyless_answer(ex);
}

/* libcurl calls this each time that it has received, before it closes the
 * connection: the last call tells how much of the request had been delivered
 * when the answer ended. */
static int
on_progress(void *arg, curl_off_t answer_all, curl_off_t answer_now,
    curl_off_t request_all, curl_off_t request_now)
{
	struct dh_exchange *ex = arg;
	curl_socket_t fd = dh_http_socket(ex->lane->http, ex->easy);
	int unacked = 0;

	(void)answer_all;
	(void)answer_now;
	(void)request_all;
	if (!answer_ends_with_connection(ex))
		return 0;
	if (fd != CURL_SOCKET_BAD && ioctl(fd, SIOCOUTQ, &unacked) != 0)
		unacked = 0;
	ex->request_undelivered = unacked > 0 || !ex->request_ended ||
	    dh_buffer_unread(&ex->request_body) > 0 ||
	    request_now < ex->body_bytes;
	return 0;
}

static enum dh_attempt_end
attempt_end_of(struct dh_exchange *ex, CURL *easy, CURLcode result)
{
	long sent = 0;

	/* Until all headers were received, the answer may turn out to be for
	 * another request. */
	if (ex->id_mismatch || (ex->not_run && !ex->headers_complete))
		return DH_ATTEMPT_LOST;
	if (ex->not_run)
		return DH_ATTEMPT_REFUSED;
	/* libcurl stops sending when the connection ends.  An answer without a
	 * length may then have been cut. */
	if (result == CURLE_OK)
		return ex->request_undelivered ? DH_ATTEMPT_LOST
					       : DH_ATTEMPT_COMPLETE;
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
	/* A refused connection is no proof that nothing was sent: libcurl may
	 * have sent the request on a reused connection before, which broke. */
	if (sent == 0)
		return DH_ATTEMPT_UNSENT;
	return DH_ATTEMPT_LOST;
}

static void
release_easy(struct dh_exchange *ex)
{
	dh_lane_easy_put(ex->lane, ex->easy);
	ex->easy = NULL;
	curl_slist_free_all(ex->headers);
	ex->headers = NULL;
	ex->read_paused = false;
	ex->write_paused = false;
}

void
dh_exchange_cancel_attempt(struct dh_exchange *ex)
{
	if (ex->easy == NULL)
		return;
	dh_http_cancel(ex->lane->http, ex->easy);
	release_easy(ex);
}

void
dh_exchange_resume_transfer(struct dh_exchange *ex)
{
	bool read, write;

	if (ex->easy == NULL)
		return;
	read = ex->read_paused &&
	    (ex->request_ended || dh_buffer_unread(&ex->request_body) > 0);
	write = ex->write_paused &&
	    dh_buffer_room(&ex->answer_body) >= (size_t)BLOCK_BYTES;
	if (!read && !write)
		return;
	if (read)
		ex->read_paused = false;
	if (write)
		ex->write_paused = false;
	curl_easy_pause(ex->easy,
	    (ex->read_paused ? CURLPAUSE_SEND : 0) |
		(ex->write_paused ? CURLPAUSE_RECV : 0));
}

/* libcurl calls this when it opens a connection for the exchange. */
static int
on_socket(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	struct dh_exchange *ex = arg;
	unsigned int ms = UNACKED_TIMEOUT_MS;

	(void)purpose;
	ex->connection_reused = false;
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	return CURL_SOCKOPT_OK;
}

/* Whether a kept connection may not carry the request. */
static bool
refuses_connection(const struct dh_exchange *ex, int local_port)
{
	uint32_t i;

	for (i = 0; i < ex->ncarried; i++)
		if (ex->carried[i] == local_port)
			return true;
	if (ex->ncarried == DH_EXCHANGE_CARRIED_MAX)
		return true;
	if (!dh_http_has_unread(ex->lane->http, local_port))
		return false;
	count_bad_answer("unread");
	return true;
}

/* libcurl calls this before each copy of a request that it sends.  After an
 * error it closes the connection. */
static int
on_copy(void *arg, char *ip, char *local_ip, int port, int local_port)
{
	struct dh_exchange *ex = arg;

	(void)ip;
	(void)local_ip;
	(void)port;
	ex->connection_refused =
	    ex->connection_reused && refuses_connection(ex, local_port);
	if (ex->connection_refused)
		return CURL_PREREQFUNC_ABORT;
	if (ex->ncarried < DH_EXCHANGE_CARRIED_MAX)
		ex->carried[ex->ncarried++] = (uint16_t)local_port;
	ex->may_have_run |= ex->copy_sent;
	ex->copy_sent = true;
	return CURL_PREREQFUNC_OK;
}

static enum MHD_Result
copy_header(
    void *arg, enum MHD_ValueKind kind, const char *name, const char *value)
{
	struct dh_exchange *ex = arg;
	g_autofree char *line = NULL;

	(void)kind;
	if (is_hop_header(name))
		return MHD_YES;
	if (value == NULL || value[0] == '\0')
		line = g_strdup_printf("%s;", name);
	else
		line = g_strdup_printf("%s: %s", name, value);
	ex->headers = curl_slist_append(ex->headers, line);
	return MHD_YES;
}

static void G_GNUC_PRINTF(2, 3)
    add_header(struct dh_exchange *ex, const char *fmt, ...)
{
	g_autofree char *line = NULL;
	va_list ap;

	va_start(ap, fmt);
	line = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	ex->headers = curl_slist_append(ex->headers, line);
}

static void
build_headers(struct dh_exchange *ex)
{
	int64_t left_ms = ex->deadline_ms - dh_clock_ms() - DEADLINE_MARGIN_MS;

	MHD_get_connection_values(ex->conn, MHD_HEADER_KIND, copy_header, ex);
	if (MHD_lookup_connection_value(ex->conn, MHD_HEADER_KIND, "Accept") ==
	    NULL)
		add_header(ex, "Accept:");
	add_header(ex, "Expect:");
	add_header(ex, "Dh-Request-Id: %s", ex->id);
	add_header(ex, "Dh-Attempt: %u", ex->attempt);
	add_header(ex, "Dh-Deadline-Ms: %" PRId64, MAX(left_ms, 1));
	if (ex->target.key[0] != '\0' && ex->keyed) {
		add_header(ex, "Dh-Group: %s", ex->group);
		add_header(ex, "Dh-Slot: %u", ex->route.slot);
		add_header(ex, "Dh-Fence: %" PRIu64 ".%" PRIu64,
		    ex->route.fence.term, ex->route.fence.counter);
	}
}

static void
set_body(struct dh_exchange *ex, CURL *easy)
{
	bool post = strcmp(ex->method, "POST") == 0;

	if (ex->has_body) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_read);
		curl_easy_setopt(easy, CURLOPT_READDATA, ex);
		curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
		curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
		curl_easy_setopt(easy, CURLOPT_XFERINFODATA, ex);
		curl_easy_setopt(
		    easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t)ex->body_bytes);
	} else if (strcmp(ex->method, "HEAD") == 0) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	} else if (post || strcmp(ex->method, "PUT") == 0 ||
	    strcmp(ex->method, "PATCH") == 0) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, ex->method);
}

/* Whether it would do harm if libcurl sent the request twice unnoticed. */
static bool
needs_own_connection(const struct dh_exchange *ex)
{
	bool repeatable = strcmp(ex->method, "GET") == 0 ||
	    strcmp(ex->method, "HEAD") == 0 ||
	    strcmp(ex->method, "OPTIONS") == 0;

	return ex->unrepeatable || (!repeatable && !ex->has_body);
}

static void
set_connection(struct dh_exchange *ex, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, CONNECTION_IDLE_S);
	curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, CONNECTION_LIFE_S);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, ex);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_copy);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, ex);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, BLOCK_BYTES);
	curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, BLOCK_BYTES);
	if (needs_own_connection(ex) ||
	    dh_probes_needs_new_connection(ex->lane->probes, ex->backend_id))
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
}

static void send_attempt(struct dh_exchange *ex, bool on_new_connection);

static void
on_done(void *arg, CURL *easy, CURLcode result)
{
	struct dh_exchange *ex = arg;
	enum dh_attempt_end end = attempt_end_of(ex, easy, result);

	release_easy(ex);
	if (ex->connection_refused && !ex->copy_sent) {
		send_attempt(ex, true);
		return;
	}
	dh_exchange_on_end(ex, end);
}

static void
send_attempt(struct dh_exchange *ex, bool on_new_connection)
{
	CURL *easy = dh_lane_easy_get(ex->lane);
	g_autofree char *url =
	    g_strdup_printf("http://%s:%u%s", ex->address, ex->port, ex->url);

	g_assert(ex->easy == NULL);
	ex->easy = easy;
	ex->not_run = false;
	ex->copy_sent = false;
	ex->connection_reused = true;
	ex->connection_refused = false;
	ex->id_named = false;
	ex->id_mismatch = false;
	ex->request_undelivered = false;
	ex->refused_reason[0] = '\0';
	ex->headers_complete = false;
	ex->in_head = false;
	build_headers(ex);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, ex->headers);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, ex);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, ex);
	set_body(ex, easy);
	set_connection(ex, easy);
	if (on_new_connection)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	dh_http_start(ex->lane->http, easy, on_done, ex);
}

void
dh_exchange_start_attempt(struct dh_exchange *ex)
{
	if (ex->attempt++ == 0)
		dh_retry_count_first_attempt(
		    &ex->service->budget, &ex->service->retry);
	ex->phase = DH_PHASE_SENT;
	ex->sent_us = dh_clock_us();
	send_attempt(ex, false);
}
