/*
 * An upstream fails part of the requests that it runs with a 503 that does not
 * say that the request was not executed.  Judges whether a client is told, by a
 * 503, that an unrepeatable request has not run although it has.
 *
 * usage: refused BASE RECORD TROUBLE
 */
#include "site.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define FIRST_IP 11
#define START_S 15
#define UPSTREAMS 8 /* one of them fails */
#define GREY_SHARE 0.4 /* of its requests */
#define QUIET_MS 2000
#define GREY_MS 5000
#define REQUESTS_MAX 65536

static bool ran[REQUESTS_MAX];
static int false_refusals;

static const char configuration[] =
    "{\"version\":7,\"limits\":{\"header_bytes\":16384,"
    "\"body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15},"
    "\"listeners\":[{\"host\":\"h.example\",\"rules\":[{\"name\":\"care\","
    "\"type\":\"unsafe\",\"target_latency_s\":0.5,\"priority\":1,\"match\":{"
    "\"path_prefix\":\"/care/\"},\"action\":{\"service\":\"care-log\","
    "\"timeout_s\":1.2,\"max_attempts\":2}}]}],\"clusters\":[{\"name\":"
    "\"care-log\",\"health_path\":\"/health\",\"max_conns\":130,"
    "\"protocol\":\"h1\",\"tls\":false}]}";

static void
note_run(
    const char *id, const char *path, const char *service, const char *upstream)
{
	unsigned int number;

	(void)path;
	(void)service;
	(void)upstream;
	if (sscanf(id, "q-%u", &number) == 1 && number < REQUESTS_MAX)
		ran[number] = true;
}

static void
judge_answer(uint32_t number, const char *method, int status)
{
	if ((status != 503 && status != 429) || number >= REQUESTS_MAX ||
	    !ran[number])
		return;
	false_refusals++;
	record("BROKEN: %s q-%u is answered %d and has run", method, number,
	    status);
}

static void
make_request(uint32_t number, struct client_request *r)
{
	r->method = "POST";
	snprintf(r->path, sizeof(r->path), "/care/%u", number);
	r->key = -1;
}

int
main(int argc, char **argv)
{
	struct client_request first = { "POST", "/care/start", -1 };
	struct upstream *u, *grey = NULL;
	int64_t end_ms;
	int base, i;
	char id[32];

	if (argc != 4)
		return 2;
	base = atoi(argv[1]);
	site_open((uint16_t)base, argv[2]);
	work_ms = 150;
	on_run = note_run;
	on_answer = judge_answer;
	store_put("config", "main", configuration);
	for (i = 0; i < UPSTREAMS; i++) {
		snprintf(id, sizeof(id), "i-care-%d", i);
		u = site_upstream(
		    id, "care-log", (uint16_t)(base + 20 + i), false);
		if (i == 0)
			grey = u;
	}
	end_ms = now_ms() + START_S * 1000;
	for (i = 0; i < GATEWAYS; i++)
		while (clients_ask(FIRST_IP + i, (uint16_t)(base + 10),
			   &first) != 200) {
			if (now_ms() > end_ms) {
				printf("not served at the start\n");
				return 2;
			}
			sleep_ms(100);
		}
	clients_start(
	    24, 150, FIRST_IP, GATEWAYS, (uint16_t)(base + 10), make_request);
	sleep_ms(QUIET_MS);
	if (strcmp(argv[3], "0") != 0) {
		upstream_misbehaviour(grey)->grey_status = 503;
		upstream_misbehaviour(grey)->grey_share = GREY_SHARE;
	}
	sleep_ms(GREY_MS);
	upstream_misbehaviour(grey)->grey_share = 0;
	sleep_ms(QUIET_MS);
	clients_stop();
	printf("%u requests, %u served, %d answered 503 though they had run\n",
	    clients_sent(), clients_done(), false_refusals);
	return false_refusals > 0 ? 1 : 0;
}
