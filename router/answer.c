/* Queues the answer of an exchange on the caller's connection. */
#include <inttypes.h>
#include <string.h>

#include <ck_pr.h>

#include "router/exchange.h"

#define BLOCK_BYTES (16u << 10)

static const char *
outcome_name(enum dh_outcome outcome)
{
	switch (outcome) {
	case DH_OUTCOME_DONE:
		return "done";
	case DH_OUTCOME_NOT_RUN:
		return "not-run";
	case DH_OUTCOME_UNKNOWN:
		return "unknown";
	}
	g_assert_not_reached();
}

/*
 * Return the outcome reported to the caller.  "Not run" for an unrepeatable
 * request is a statement about its id, and another request with the same id
 * may have run or be running.  Only the leader and its deputy together can rule
 * that out, by closing the id; until they have, the outcome is reported as
 * unknown.  The caller may send the same id again in any case.
 */
static enum dh_outcome
reported_outcome(const struct dh_exchange *ex)
{
	if (ex->unrepeatable && !ex->id_closed &&
	    ex->idempotency_key[0] != '\0' &&
	    ex->local.outcome == DH_OUTCOME_NOT_RUN)
		return DH_OUTCOME_UNKNOWN;
	return ex->local.outcome;
}

static bool
closes_connections(const struct dh_exchange *ex)
{
	return ck_pr_load_32(&ex->lane->closing_connections) != 0;
}

static enum MHD_Result
answer_local(struct dh_exchange *ex)
{
	const struct dh_local_answer *a = &ex->local;
	const char *outcome = outcome_name(reported_outcome(ex));
	char text[128], after_s[24], after_ms[24];
	const char *headers[16] = { "Dh-Outcome", outcome, "Dh-Reason",
		a->reason, "Dh-Request-Id", ex->id };
	size_t n = 6;
	int len;

	if (a->retry_after_ms > 0) {
		g_snprintf(after_s, sizeof(after_s), "%" PRId64,
		    (a->retry_after_ms + 999) / 1000);
		g_snprintf(
		    after_ms, sizeof(after_ms), "%" PRId64, a->retry_after_ms);
		headers[n++] = "Retry-After";
		headers[n++] = after_s;
		headers[n++] = "Dh-Retry-After-Ms";
		headers[n++] = after_ms;
	}
	if (ex->idempotency_key[0] != '\0') {
		headers[n++] = "Idempotency-Key";
		headers[n++] = ex->idempotency_key;
	}
	if (closes_connections(ex)) {
		headers[n++] = "Connection";
		headers[n++] = "close";
	}
	len = g_snprintf(text, sizeof(text), "%s: %s\n", outcome, a->reason);
	ex->answered = true;
	return dh_httpd_reply(ex->conn, a->status, text, (size_t)len, headers);
}

static ssize_t
on_answer_read(void *arg, uint64_t pos, char *to, size_t max)
{
	struct dh_exchange *ex = arg;
	size_t n;

	(void)pos;
	ex->suspended = false;
	if (ex->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = dh_buffer_get(&ex->answer_body, to, max);
	if (n > 0) {
		ex->bytes_moved += n;
		dh_exchange_resume_transfer(ex);
		return (ssize_t)n;
	}
	if (ex->answer_ended)
		return ex->answer_failed ? MHD_CONTENT_READER_END_WITH_ERROR
					 : MHD_CONTENT_READER_END_OF_STREAM;
	dh_exchange_suspend(ex);
	return 0;
}

/* Create the response: from the buffer if that holds the complete answer, else
 * from a callback that reads the buffer as it fills. */
static struct MHD_Response *
make_response(struct dh_exchange *ex)
{
	size_t n = dh_buffer_unread(&ex->answer_body);
	bool head = strcmp(ex->method, "HEAD") == 0;

	if (dh_exchange_has_bodyless_answer(ex))
		return MHD_create_response_from_buffer(
		    0, NULL, MHD_RESPMEM_PERSISTENT);
	if (!head && ex->answer_ended && !ex->answer_failed &&
	    ex->answer_body.off == 0)
		return MHD_create_response_from_buffer(
		    n, ex->answer_body.bytes, MHD_RESPMEM_MUST_COPY);
	return MHD_create_response_from_callback(ex->answer_bytes < 0
		? MHD_SIZE_UNKNOWN
		: (uint64_t)ex->answer_bytes,
	    BLOCK_BYTES, on_answer_read, ex, NULL);
}

static enum MHD_Result
answer_backend(struct dh_exchange *ex)
{
	struct MHD_Response *r;
	enum MHD_Result result;
	guint i;

	if (ex->answer_ended && ex->answer_failed &&
	    dh_buffer_unread(&ex->answer_body) == 0)
		return MHD_NO;
	r = make_response(ex);
	if (r == NULL)
		return MHD_NO;
	for (i = 0; i + 1 < ex->answer_headers->len; i += 2)
		MHD_add_response_header(r, ex->answer_headers->pdata[i],
		    ex->answer_headers->pdata[i + 1]);
	MHD_add_response_header(r, "Dh-Outcome", "done");
	MHD_add_response_header(r, "Dh-Request-Id", ex->id);
	if (closes_connections(ex))
		MHD_add_response_header(r, "Connection", "close");
	ex->answered = true;
	result = MHD_queue_response(ex->conn, ex->status, r);
	MHD_destroy_response(r);
	return result;
}

enum MHD_Result
dh_exchange_answer(struct dh_exchange *ex)
{
	return ex->phase == DH_PHASE_LOCAL_ANSWER ? answer_local(ex)
						  : answer_backend(ex);
}
