/*
 * Load generator: sends requests to one or more routers, or directly to a
 * backend server, checks every answer against its request, writes a history
 * for dhcheck and prints rates and latencies.
 */
#include <argp.h>
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/http.h"
#include "base/eventlog.h"
#include "base/timer.h"
#include <dogwoodhub/rng.h>

#define TARGETS_MAX 64u
#define SAMPLES_MAX (16u << 20)
#define TICK_MS 1u

struct options {
	char *targets[TARGETS_MAX]; /* URLs */
	char *vias[TARGETS_MAX]; /* targets' names in the history */
	uint32_t ntargets;
	const char *service;
	const char *name;
	const char *log;
	uint32_t keys;
	uint32_t first_key;
	double zipf;
	double rate; /* requests a second, or 0: closed loop */
	uint32_t concurrency;
	int64_t duration_ms;
	uint32_t unrepeatable_percent;
	bool retry_after;
	uint32_t retries; /* client's retries with the same id */
	uint64_t size;
	uint64_t upload;
	int64_t timeout_ms;
	uint64_t seed;
	bool json;
};

enum call_outcome { CALL_DONE, CALL_NOT_RUN, CALL_UNKNOWN, CALL_OUTCOMES };

static const char *const outcome_names[] = { "done", "not-run", "unknown" };

struct samples {
	uint32_t *values;
	size_t n;
};

struct load {
	struct options opt;
	uv_loop_t loop;
	struct dh_http *http;
	struct dh_eventlog *log;
	struct dh_rng rng;
	double *zipf_sum; /* cumulative weight by rank */
	uv_timer_t tick;
	int64_t start_us, end_us;
	uint64_t sent, ended, in_flight;
	uint64_t count[CALL_OUTCOMES];
	uint64_t wrong; /* answers to a different request */
	uint64_t cut;
	uint64_t late; /* open loop: could not be sent in time */
	uint64_t bytes;
	struct samples latency_us; /* of requests that were done */
	struct samples refusal_us; /* of requests that were not run */
	struct samples return_ms; /* retry delay in refusals */
	int64_t last_done_us;
	int64_t longest_gap_us; /* between two done requests */
	uint64_t next_call;
};

struct call {
	struct load *load;
	CURL *easy;
	struct curl_slist *headers;
	uint64_t number;
	char id[40];
	char key[24];
	uint32_t target;
	uint32_t tries;
	bool unrepeatable;
	int64_t due_us; /* scheduled time of sending */
	uint64_t left; /* bytes of the upload to send */
	XXH64_state_t hash;
	uint64_t got;
	char echo[48];
	bool repeated; /* already run, by the router: no hash */
	int64_t retry_after_ms; /* retry delay in the answer, or 0 */
	uv_timer_t *wait; /* timer of the next attempt */
	enum call_outcome outcome;
	bool outcome_told;
	int64_t tried_us; /* time of sending this attempt */
};

static const struct argp_option argp_options[] = {
	{ "target", 't', "[NAME=]URL", 0, "http://IP:PORT, may be repeated",
	    0 },
	{ "service", 's', "NAME", 0, "service that the requests are for", 0 },
	{ "name", 'n', "NAME", 0, "name of this client in the history", 0 },
	{ "log", 'l', "FILE", 0, "append a history", 0 },
	{ "keys", 'k', "N", 0, "different keys (1000)", 0 },
	{ "first-key", 'f', "N", 0, "number of the first key (0)", 0 },
	{ "zipf", 'z', "S", 0, "skew of the keys (0: uniform)", 0 },
	{ "rate", 'r', "N", 0, "requests a second; 0 is a closed loop", 0 },
	{ "concurrency", 'c', "N", 0, "concurrent requests (16)", 0 },
	{ "duration-ms", 'd', "MS", 0, "duration of the run (5000)", 0 },
	{ "unrepeatable", 'u', "PERCENT", 0, "requests with an Idempotency-Key",
	    0 },
	{ "retries", 'R', "N", 0, "retries of a request", 0 },
	{ "retry-after", 'A', 0, 0,
	    "wait before a retry as long as the answer says", 0 },
	{ "size", 'S', "BYTES", 0, "size of an answer", 0 },
	{ "upload", 'U', "BYTES", 0, "size of a request's body", 0 },
	{ "timeout-ms", 'T', "MS", 0, "timeout of a request (10000)", 0 },
	{ "seed", 'e', "N", 0, "random seed of keys and ids", 0 },
	{ "now", 'N', 0, 0, "print the time in the histories' clock and exit",
	    0 },
	{ "json", 'j', 0, 0, "print JSON", 0 },
	{ 0 },
};

/* "NAME=URL" or "URL". */
static void
add_target(struct options *o, char *arg)
{
	char *url = strstr(arg, "=http");

	o->vias[o->ntargets] = arg;
	o->targets[o->ntargets++] = url == NULL ? arg : url + 1;
	if (url != NULL)
		*url = '\0';
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 't':
		if (o->ntargets == TARGETS_MAX)
			argp_error(state, "too many targets");
		add_target(o, arg);
		break;
	case 's':
		o->service = arg;
		break;
	case 'n':
		o->name = arg;
		break;
	case 'l':
		o->log = arg;
		break;
	case 'k':
		o->keys = (uint32_t)strtoul(arg, NULL, 10);
		break;
	case 'f':
		o->first_key = (uint32_t)strtoul(arg, NULL, 10);
		break;
	case 'z':
		o->zipf = strtod(arg, NULL);
		break;
	case 'r':
		o->rate = strtod(arg, NULL);
		break;
	case 'c':
		o->concurrency = (uint32_t)strtoul(arg, NULL, 10);
		break;
	case 'd':
		o->duration_ms = strtol(arg, NULL, 10);
		break;
	case 'u':
		o->unrepeatable_percent = (uint32_t)strtoul(arg, NULL, 10);
		break;
	case 'A':
		o->retry_after = true;
		break;
	case 'R':
		o->retries = (uint32_t)strtoul(arg, NULL, 10);
		break;
	case 'S':
		o->size = strtoull(arg, NULL, 10);
		break;
	case 'U':
		o->upload = strtoull(arg, NULL, 10);
		break;
	case 'T':
		o->timeout_ms = strtol(arg, NULL, 10);
		break;
	case 'e':
		o->seed = strtoull(arg, NULL, 10);
		break;
	case 'N':
		printf("%.3f\n", (double)dh_clock_us() / 1000.0);
		exit(EXIT_SUCCESS);
	case 'j':
		o->json = true;
		break;
	case ARGP_KEY_END:
		if (o->ntargets == 0 || o->service == NULL || o->keys == 0)
			argp_error(state, "--target and --service are needed");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

/* Keys and ids */

static void
zipf_prepare(struct load *ld)
{
	double sum = 0;
	uint32_t i;

	if (ld->opt.zipf <= 0)
		return;
	ld->zipf_sum = g_new(double, ld->opt.keys);
	for (i = 0; i < ld->opt.keys; i++) {
		sum += 1.0 / pow(i + 1.0, ld->opt.zipf);
		ld->zipf_sum[i] = sum;
	}
}

static uint32_t
pick_key(struct load *ld)
{
	uint32_t low = 0, high = ld->opt.keys - 1, mid;
	double x;

	if (ld->zipf_sum == NULL)
		return (uint32_t)dh_rng_below(&ld->rng, ld->opt.keys);
	x = dh_rng_unit(&ld->rng) * ld->zipf_sum[high];
	while (low < high) {
		mid = low + (high - low) / 2;
		if (ld->zipf_sum[mid] < x)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/* A UUIDv7: its first 48 bits are the time. */
static void
make_id(struct load *ld, char *id, size_t size)
{
	uint64_t ms = (uint64_t)dh_clock_wall_ms();
	uint64_t a = dh_rng_next(&ld->rng), b = dh_rng_next(&ld->rng);

	g_snprintf(id, size, "%08x-%04x-7%03x-%04x-%012" PRIx64,
	    (uint32_t)(ms >> 16), (uint32_t)(ms & 0xffff),
	    (uint32_t)(a & 0xfff), (uint32_t)(0x8000 | (a >> 48 & 0x3fff)),
	    b & 0xffffffffffffu);
}

static uint64_t
expected_hash(const struct load *ld, const char *id)
{
	uint64_t size = ld->opt.size > 0 ? ld->opt.size : strlen(id) + 1;
	g_autofree char *unit = g_strdup_printf("%s|", id);
	size_t len = strlen(unit);
	XXH64_state_t hash;
	uint64_t i;

	XXH64_reset(&hash, 0);
	for (i = 0; i + len <= size; i += len)
		XXH64_update(&hash, unit, len);
	XXH64_update(&hash, unit, size - i);
	return XXH64_digest(&hash);
}

/* Calls */

static size_t
on_body(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;

	XXH64_update(&c->hash, data, size * n);
	c->got += size * n;
	return size * n;
}

static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	g_autofree char *line = g_strndup(data, size * n);
	char *value = strchr(line, ':');

	if (value == NULL)
		return size * n;
	*value++ = '\0';
	g_strstrip(value);
	/* The backend server sends this header, or the router in its own
	 * answers. */
	if (g_ascii_strcasecmp(line, "Test-Id") == 0 ||
	    g_ascii_strcasecmp(line, "Idempotency-Key") == 0)
		g_strlcpy(c->echo, value, sizeof(c->echo));
	if (g_ascii_strcasecmp(line, "Dh-Reason") == 0)
		c->repeated = strcmp(value, "repeated") == 0;
	if (g_ascii_strcasecmp(line, "Dh-Retry-After-Ms") == 0)
		c->retry_after_ms = g_ascii_strtoll(value, NULL, 10);
	if (g_ascii_strcasecmp(line, "Dh-Outcome") != 0)
		return size * n;
	c->outcome_told = true;
	c->outcome = strcmp(value, "done") == 0 ? CALL_DONE
	    : strcmp(value, "not-run") == 0	? CALL_NOT_RUN
						: CALL_UNKNOWN;
	return size * n;
}

static size_t
on_upload(char *to, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	size_t len = (size_t)MIN(c->left, size * n);

	memset(to, 'u', len);
	c->left -= len;
	return len;
}

static void call_send(struct call *c);
static void send_next(struct load *ld);

static void
call_free(struct call *c)
{
	curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	dh_timer_free(c->wait);
	g_free(c);
}

static void
sample(struct samples *sm, int64_t value)
{
	if (sm->values == NULL)
		sm->values = g_new(uint32_t, SAMPLES_MAX);
	if (sm->n < SAMPLES_MAX)
		sm->values[sm->n++] = (uint32_t)CLAMP(value, 0, UINT32_MAX);
}

static void
note_done(struct load *ld, const struct call *c)
{
	int64_t now_us = dh_clock_us(), gap_us = now_us - ld->last_done_us;

	if (ld->last_done_us != 0 && gap_us > ld->longest_gap_us)
		ld->longest_gap_us = gap_us;
	ld->last_done_us = now_us;
	sample(&ld->latency_us, now_us - c->due_us);
}

static void
note_refused(struct load *ld, const struct call *c)
{
	sample(&ld->refusal_us, dh_clock_us() - c->tried_us);
	if (c->retry_after_ms > 0)
		sample(&ld->return_ms, c->retry_after_ms);
}

static enum call_outcome
classify(struct call *c, long status)
{
	long sent = 0;

	if (c->outcome_told)
		return c->outcome;
	if (status != 0)
		return status < 500 ? CALL_DONE : CALL_UNKNOWN;
	/* libcurl may have sent the request on a reused connection that broke,
	 * before a new connection was refused. */
	curl_easy_getinfo(c->easy, CURLINFO_REQUEST_SIZE, &sent);
	return sent == 0 ? CALL_NOT_RUN : CALL_UNKNOWN;
}

static bool
wants_retry(const struct call *c)
{
	const struct load *ld = c->load;

	return c->outcome != CALL_DONE && c->tries <= ld->opt.retries &&
	    (ld->opt.retry_after || dh_clock_us() < ld->end_us);
}

static void
log_answer(struct call *c, long status, bool whole, uint64_t hash)
{
	g_autofree char *echo = c->echo[0] == '\0'
	    ? g_strdup("")
	    : g_strdup_printf(",\"echo\":\"%s\"", c->echo);
	g_autofree char *text = c->repeated
	    ? g_strdup(",\"repeated\":true")
	    : g_strdup_printf(",\"hash\":\"%016" PRIx64 "\"", hash);

	dh_eventlog_add(c->load->log, "answer",
	    ",\"call\":\"%s-%" PRIu64
	    "\",\"outcome\":\"%s\",\"status\":%ld%s%s,"
	    "\"whole\":%s",
	    c->load->opt.name, c->number, outcome_names[c->outcome], status,
	    echo, text, whole ? "true" : "false");
}

static void
on_wait(uv_timer_t *timer)
{
	call_send(timer->data);
}

/* Schedules the next attempt: at once, or after the answer's delay. */
static void
call_again(struct call *c)
{
	if (!c->load->opt.retry_after || c->retry_after_ms == 0) {
		call_send(c);
		return;
	}
	if (c->wait == NULL)
		c->wait = dh_timer_new(&c->load->loop, c);
	uv_timer_start(c->wait, on_wait, (uint64_t)c->retry_after_ms, 0);
}

static void
on_done(void *arg, CURL *easy, CURLcode result)
{
	struct call *c = arg;
	struct load *ld = c->load;
	uint64_t hash = XXH64_digest(&c->hash);
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	c->outcome = classify(c, status);
	/* Only a started answer can be cut; status 0 is no answer. */
	log_answer(c, status, status == 0 || result == CURLE_OK, hash);
	ld->bytes += c->got;
	ld->count[c->outcome]++;
	if (c->outcome == CALL_DONE && status == 200) {
		if (result != CURLE_OK)
			ld->cut++;
		else if (!c->repeated && hash != expected_hash(ld, c->id))
			ld->wrong++;
		else
			note_done(ld, c);
	}
	if (c->outcome == CALL_NOT_RUN)
		note_refused(ld, c);
	if (wants_retry(c)) {
		call_again(c);
		return;
	}
	ld->ended++;
	ld->in_flight--;
	call_free(c);
	if (ld->opt.rate <= 0)
		send_next(ld);
}

static void
call_headers(struct call *c)
{
	char text[128];

	curl_slist_free_all(c->headers);
	c->headers = NULL;
	g_snprintf(text, sizeof(text), "Test-Call: %s-%" PRIu64,
	    c->load->opt.name, c->number);
	c->headers = curl_slist_append(c->headers, text);
	g_snprintf(text, sizeof(text), "%s: %s",
	    c->unrepeatable ? "Idempotency-Key" : "Test-Id", c->id);
	c->headers = curl_slist_append(c->headers, text);
	c->headers = curl_slist_append(c->headers, "Expect:");
}

static void
call_options(struct call *c)
{
	const struct options *o = &c->load->opt;
	CURL *easy = c->easy;

	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, c->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)o->timeout_ms);
	if (o->upload > 0) {
		c->left = o->upload;
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "POST");
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_upload);
		curl_easy_setopt(easy, CURLOPT_READDATA, c);
		curl_easy_setopt(
		    easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t)o->upload);
	} else if (c->unrepeatable) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	}
}

/* Sends the first attempt, or a retry through another VM. */
static void
call_send(struct call *c)
{
	struct load *ld = c->load;
	const struct options *o = &ld->opt;
	g_autofree char *url = NULL;

	c->number = ++ld->next_call;
	c->target = (c->target + 1) % o->ntargets;
	c->tries++;
	c->outcome_told = false;
	c->tried_us = dh_clock_us();
	c->echo[0] = '\0';
	c->got = 0;
	c->retry_after_ms = 0;
	c->repeated = false;
	XXH64_reset(&c->hash, 0);
	call_headers(c);
	if (o->size > 0)
		url = g_strdup_printf("%s/%s/%s?size=%" PRIu64,
		    o->targets[c->target], o->service, c->key, o->size);
	else
		url = g_strdup_printf(
		    "%s/%s/%s", o->targets[c->target], o->service, c->key);
	curl_easy_reset(c->easy);
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	call_options(c);
	dh_eventlog_add(ld->log, "send",
	    ",\"call\":\"%s-%" PRIu64 "\",\"id\":\"%s\",\"via\":\"%s\","
	    "\"service\":\"%s\",\"key\":\"%s\",\"unrepeatable\":%s,"
	    "\"expect\":\"%016" PRIx64 "\"",
	    o->name, c->number, c->id, o->vias[c->target], o->service, c->key,
	    c->unrepeatable ? "true" : "false", expected_hash(ld, c->id));
	dh_http_start(ld->http, c->easy, on_done, c);
}

static void
send_one(struct load *ld, int64_t due_us)
{
	struct call *c = g_new0(struct call, 1);

	c->load = ld;
	c->easy = curl_easy_init();
	c->due_us = due_us;
	c->target = (uint32_t)dh_rng_below(&ld->rng, ld->opt.ntargets);
	c->unrepeatable =
	    dh_rng_below(&ld->rng, 100) < ld->opt.unrepeatable_percent;
	make_id(ld, c->id, sizeof(c->id));
	g_snprintf(
	    c->key, sizeof(c->key), "k%u", ld->opt.first_key + pick_key(ld));
	ld->sent++;
	ld->in_flight++;
	call_send(c);
}

static void
send_next(struct load *ld)
{
	int64_t now_us = dh_clock_us();

	if (now_us < ld->end_us)
		send_one(ld, now_us);
	else if (ld->in_flight == 0)
		uv_stop(&ld->loop);
}

/* Open loop: sends all due requests, up to a bound of requests in flight. */
static void
on_tick(uv_timer_t *timer)
{
	struct load *ld = timer->data;
	int64_t now_us = dh_clock_us(), due_us;

	while (ld->start_us +
		(int64_t)((double)(ld->sent + ld->late) * 1e6 / ld->opt.rate) <=
	    MIN(now_us, ld->end_us - 1)) {
		due_us = ld->start_us +
		    (int64_t)((double)(ld->sent + ld->late) * 1e6 /
			ld->opt.rate);
		if (ld->in_flight >= ld->opt.concurrency)
			ld->late++;
		else
			send_one(ld, due_us);
	}
	if (now_us >= ld->end_us && ld->in_flight == 0)
		uv_stop(&ld->loop);
}

/* Results */

static int
compare_us(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static void
samples_sort(struct samples *sm)
{
	if (sm->n > 0)
		qsort(sm->values, sm->n, sizeof(*sm->values), compare_us);
}

static uint32_t
percentile(const struct samples *sm, double p)
{
	return sm->n == 0 ? 0 : sm->values[(size_t)((double)(sm->n - 1) * p)];
}

static void
print_json(const struct load *ld, double s)
{
	printf("{\"sent\":%" PRIu64 ",\"done\":%" PRIu64 ",\"not_run\":%" PRIu64
	       ",\"unknown\":%" PRIu64 ",\"wrong\":%" PRIu64 ",\"cut\":%" PRIu64
	       ",\"late\":%" PRIu64
	       ",\"rate\":%.0f,\"mbytes_s\":%.1f,\"p50_us\":%u,"
	       "\"p99_us\":%u,\"p999_us\":%u,\"gap_ms\":%.1f,"
	       "\"refusal_p50_us\":%u,\"refusal_p90_us\":%u,"
	       "\"refusal_p99_us\":%u,"
	       "\"return_p50_ms\":%u,\"return_p99_ms\":%u}\n",
	    ld->sent, ld->count[CALL_DONE], ld->count[CALL_NOT_RUN],
	    ld->count[CALL_UNKNOWN], ld->wrong, ld->cut, ld->late,
	    (double)ld->latency_us.n / s, (double)ld->bytes / 1e6 / s,
	    percentile(&ld->latency_us, 0.5), percentile(&ld->latency_us, 0.99),
	    percentile(&ld->latency_us, 0.999),
	    (double)ld->longest_gap_us / 1000.0,
	    percentile(&ld->refusal_us, 0.5), percentile(&ld->refusal_us, 0.9),
	    percentile(&ld->refusal_us, 0.99), percentile(&ld->return_ms, 0.5),
	    percentile(&ld->return_ms, 0.99));
}

static void
print_text(const struct load *ld, double s)
{
	printf("sent %" PRIu64 ", done %" PRIu64 ", not run %" PRIu64
	       ", unknown %" PRIu64 ", wrong %" PRIu64 ", cut %" PRIu64
	       ", late %" PRIu64 "\n",
	    ld->sent, ld->count[CALL_DONE], ld->count[CALL_NOT_RUN],
	    ld->count[CALL_UNKNOWN], ld->wrong, ld->cut, ld->late);
	printf("%.0f done/s, %.1f MB/s, p50 %u us, p99 %u us, p99.9 %u us, "
	       "longest gap %.1f ms\n",
	    (double)ld->latency_us.n / s, (double)ld->bytes / 1e6 / s,
	    percentile(&ld->latency_us, 0.5), percentile(&ld->latency_us, 0.99),
	    percentile(&ld->latency_us, 0.999),
	    (double)ld->longest_gap_us / 1000.0);
}

static void
print_results(struct load *ld)
{
	double s = (double)ld->opt.duration_ms / 1000.0;

	samples_sort(&ld->latency_us);
	samples_sort(&ld->refusal_us);
	samples_sort(&ld->return_ms);
	if (ld->opt.json)
		print_json(ld, s);
	else
		print_text(ld, s);
}

static void
load_start(struct load *ld)
{
	uint32_t i;

	ld->start_us = dh_clock_us();
	ld->end_us = ld->start_us + ld->opt.duration_ms * 1000;
	if (ld->opt.rate > 0) {
		uv_timer_init(&ld->loop, &ld->tick);
		ld->tick.data = ld;
		uv_timer_start(&ld->tick, on_tick, 0, TICK_MS);
		return;
	}
	for (i = 0; i < ld->opt.concurrency; i++)
		send_one(ld, ld->start_us);
}

int
main(int argc, char **argv)
{
	struct argp parser = { argp_options, parse_option, NULL,
		"Send requests and check their answers.", NULL, NULL, NULL };
	struct load ld = { .opt = { .name = "load",
			       .keys = 1000,
			       .concurrency = 16,
			       .duration_ms = 5000,
			       .timeout_ms = 10000,
			       .seed = 1 } };

	if (argp_parse(&parser, argc, argv, 0, NULL, &ld.opt) != 0)
		return 64;
	(void)signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	uv_loop_init(&ld.loop);
	ld.http = dh_http_new(&ld.loop);
	ld.log = dh_eventlog_open(ld.opt.log, ld.opt.name);
	ld.rng.state = ld.opt.seed;
	zipf_prepare(&ld);
	load_start(&ld);
	uv_run(&ld.loop, UV_RUN_DEFAULT);
	print_results(&ld);
	dh_http_free(ld.http);
	if (ld.opt.rate > 0)
		uv_close((uv_handle_t *)&ld.tick, NULL);
	uv_run(&ld.loop, UV_RUN_DEFAULT);
	uv_loop_close(&ld.loop);
	dh_eventlog_close(ld.log);
	g_free(ld.latency_us.values);
	g_free(ld.refusal_us.values);
	g_free(ld.return_ms.values);
	g_free(ld.zipf_sum);
	curl_global_cleanup();
	return ld.wrong == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
