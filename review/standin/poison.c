/*
 * A request that ends each upstream that begins to run it comes again and
 * again, at any gateway.  Judges how often it reaches upstreams later than
 * stable_window_s after it has ended the third.
 *
 * usage: poison BASE RECORD TROUBLE
 */
#include "site.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define FIRST_IP 11
#define START_S 15
#define UPSTREAMS 8
#define PATH "/feed/poison"
#define QUIET_MS 3000
#define AGAIN_MS 1500 /* time between two of these requests */
#define COMES 14 /* how often it comes */
#define STABLE_WINDOW_MS 3000
#define CRASHES 3
#define LATE_MAX 3

static int crashed, late, lost;
static int64_t third_ms;

static const char configuration[] =
    "{\"version\":7,\"limits\":{\"header_bytes\":16384,"
    "\"body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15},"
    "\"listeners\":[{\"host\":\"h.example\",\"rules\":[{\"name\":\"feed\","
    "\"type\":\"safe\",\"target_latency_s\":0.4,\"priority\":1,\"match\":{"
    "\"path_prefix\":\"/feed/\"},\"action\":{\"service\":\"diary-feed\","
    "\"timeout_s\":1,\"max_attempts\":2}},{\"name\":\"up\",\"type\":"
    "\"upload\",\"target_latency_s\":0.5,\"priority\":1,\"match\":{"
    "\"path_prefix\":\"/up/\"},\"action\":{\"service\":\"diary-feed\","
    "\"timeout_s\":1.2,\"max_attempts\":2}}]}],\"clusters\":[{\"name\":"
    "\"diary-feed\",\"health_path\":\"/health\",\"max_conns\":130,"
    "\"protocol\":\"h1\",\"tls\":false}]}";

static void
judge_run(
    const char *id, const char *path, const char *service, const char *upstream)
{
	(void)service;
	if (strcmp(path, PATH) != 0)
		return;
	if (crashed >= CRASHES && now_ms() > third_ms + STABLE_WINDOW_MS) {
		late++;
		record("LATE: %s reaches %s, for the %d. time", id, upstream,
		    late);
	}
	if (++crashed == CRASHES)
		third_ms = now_ms();
}

/* An upload that has begun to run and whose end nobody knows. */
static void
count_lost(uint32_t number, const char *method, int status)
{
	(void)number;
	(void)method;
	lost += status == 502 || status == 504 || status == 0;
}

static void
make_request(uint32_t number, struct client_request *r)
{
	r->method = "POST";
	snprintf(r->path, sizeof(r->path), "/up/%u", number);
	r->key = -1;
}

int
main(int argc, char **argv)
{
	struct client_request first = { "GET", "/feed/start", -1 };
	struct client_request poison = { "GET", PATH, -1 };
	const char *text = getenv("CRASH_MS");
	int base, i, status;
	int64_t end_ms;
	char id[32];

	if (argc != 4)
		return 2;
	base = atoi(argv[1]);
	site_open((uint16_t)base, argv[2]);
	crash_path = PATH;
	crash_ms = text == NULL ? 0 : atoi(text);
	on_run = judge_run;
	on_answer = count_lost;
	store_put("config", "main", configuration);
	for (i = 0; i < UPSTREAMS; i++) {
		snprintf(id, sizeof(id), "i-feed-%d", i);
		(void)site_upstream(
		    id, "diary-feed", (uint16_t)(base + 20 + i), false);
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
	    16, 100, FIRST_IP, GATEWAYS, (uint16_t)(base + 10), make_request);
	sleep_ms(QUIET_MS);
	for (i = 0; i < COMES; i++) {
		if (strcmp(argv[3], "0") != 0) {
			status = clients_ask(FIRST_IP + i % GATEWAYS,
			    (uint16_t)(base + 10), &poison);
			record("send and answer of " PATH ", number %d, to "
			       "127.0.0.%d: %d",
			    i + 1, FIRST_IP + i % GATEWAYS, status);
		}
		sleep_ms(AGAIN_MS);
	}
	clients_stop();
	printf("%u uploads, %u served, %d lost; " PATH " ended %d upstreams, "
	       "and reached %d later than 3 s after the third; 3 may be\n",
	    clients_sent(), clients_done(), lost, crashed, late);
	return late > LATE_MAX ? 1 : 0;
}
