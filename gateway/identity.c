#include "gateway/identity.h"

#include <string.h>

#include "base/opslog.h"
#include "platform/wire.h"

#define QUESTION_TIMEOUT_MS 500
/* Pause after a question without an answer; it doubles up to the maximum. */
#define PAUSE_MIN_MS 250
#define PAUSE_MAX_MS 4000
/* Longest body of an answer, in bytes; only its headers are used. */
#define ANSWER_MAX 4096
/* Questions in flight at a time. */
#define QUESTIONS_MAX 16

struct question {
	struct dh_identity *owner;
	struct dh_instance instance;
	struct dh_http_fetch *fetch; /* NULL: not in flight */
	int64_t due_ms; /* of the next one */
	int64_t pause_ms;
	bool wanted; /* the instance was disputed at the last step */
};

struct dh_identity {
	struct dh_http *http;
	struct dh_registry *registry;
	GHashTable *questions; /* id -> struct question */
	uint32_t in_flight;
	void (*answered)(void *arg);
	void *arg;
};

static void
question_free(gpointer data)
{
	struct question *q = data;

	if (q->fetch != NULL) {
		dh_http_fetch_cancel(q->fetch);
		q->owner->in_flight--;
	}
	g_free(q);
}

struct dh_identity *
dh_identity_new(struct dh_http *http, struct dh_registry *reg,
    void (*answered)(void *arg), void *arg)
{
	struct dh_identity *w = g_new0(struct dh_identity, 1);

	w->http = http;
	w->registry = reg;
	w->answered = answered;
	w->arg = arg;
	w->questions = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, question_free);
	return w;
}

void
dh_identity_free(struct dh_identity *w)
{
	if (w == NULL)
		return;
	g_hash_table_destroy(w->questions);
	g_free(w);
}

static void
on_answer(void *arg, const struct dh_http_reply *reply)
{
	struct question *q = arg;
	struct dh_identity *w = q->owner;
	struct dh_instance i = q->instance;
	const char *id = dh_http_header(reply, dh_wire_headers.server_id);
	bool other = reply->status == 421 ||
	    (reply->status != 0 && id != NULL && strcmp(id, i.id) != 0);
	bool itself = !other && id != NULL;

	q->fetch = NULL;
	w->in_flight--;
	dh_opslog_add(DH_OPS_STATE, "server.asked",
	    ",\"server\":\"%s\",\"born\":%lld,\"status\":%ld,\"there\":\"%s\"",
	    i.id, (long long)i.start_ms, reply->status,
	    other	 ? "another one"
		: itself ? "itself"
			 : "unknown");
	if (!other && !itself) {
		q->pause_ms = MIN(q->pause_ms * 2, PAUSE_MAX_MS);
		return;
	}
	g_hash_table_remove(w->questions, i.id);
	dh_registry_note_instance(w->registry, i.id, i.start_ms, itself);
	w->answered(w->arg);
}

static void
ask(struct question *q, const char *health_path)
{
	struct dh_identity *w = q->owner;
	g_autofree char *address =
	    dh_registry_address(w->registry, q->instance.id);
	g_autofree char *expected = g_strconcat(
	    dh_wire_headers.expected_server, ": ", q->instance.id, NULL);
	g_autofree char *url = NULL;
	const char *const headers[] = { expected, NULL };
	struct dh_http_request rq = { .method = "GET",
		.headers = headers,
		.answer_max = ANSWER_MAX,
		.timeout_ms = QUESTION_TIMEOUT_MS,
		.fresh_connection = true,
		.reset_on_close = true };

	if (address == NULL)
		return;
	url = g_strconcat("http://", address, health_path, NULL);
	rq.url = url;
	q->fetch = dh_http_fetch(w->http, &rq, on_answer, q);
	w->in_flight++;
}

static void
want(struct dh_identity *w, const struct dh_instance *i, int64_t now_ms)
{
	struct question *q = g_hash_table_lookup(w->questions, i->id);

	if (q == NULL || q->instance.start_ms != i->start_ms) {
		q = g_new0(struct question, 1);
		q->owner = w;
		q->instance = *i;
		q->due_ms = now_ms;
		q->pause_ms = PAUSE_MIN_MS;
		g_hash_table_replace(w->questions, g_strdup(i->id), q);
	}
	q->wanted = true;
}

void
dh_identity_step(struct dh_identity *w, const char *service,
    const char *health_path, int64_t now_ms)
{
	g_autoptr(GArray) disputed =
	    g_array_new(FALSE, TRUE, sizeof(struct dh_instance));
	struct question *q;
	GHashTableIter it;
	gpointer value;
	guint i;

	dh_registry_disputed(w->registry, service, disputed);
	if (disputed->len == 0 && g_hash_table_size(w->questions) == 0)
		return;
	for (i = 0; i < disputed->len; i++)
		want(
		    w, &g_array_index(disputed, struct dh_instance, i), now_ms);
	g_hash_table_iter_init(&it, w->questions);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		q = value;
		if (!q->wanted) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		q->wanted = false;
		if (q->fetch != NULL || now_ms < q->due_ms ||
		    w->in_flight >= QUESTIONS_MAX)
			continue;
		q->due_ms = now_ms + q->pause_ms;
		ask(q, health_path);
	}
}
