/*
 * Plays configuration changes that add and remove a service while upstreams
 * crash, and judges whether a service runs requests that no configuration ever
 * allowed it to run.
 *
 * usage: route BASE RECORD TROUBLE
 */
#include "site.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define FIRST_IP 11
#define START_S 15
#define ROUNDS 6
#define QUIET_MS 1000 /* before a storm of changes */
#define CHANGE_MS 330 /* between changes of a storm */
#define CHANGES 12 /* of a storm, 4 s long */
#define CRASH_AT_MS 130 /* after a change in the middle of the storm */
#define CRASHED_MS 5000 /* time for which it is down */
#define UPSTREAMS 8 /* of each service; one of them crashes */

static int wrong;

static const char limits[] =
    "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,"
    "\"header_timeout_s\":3,\"idle_timeout_s\":15}";

#define RULE(name, type, prefix, service)                                    \
	"{\"name\":\"" name "\",\"type\":\"" type                            \
	"\",\"target_latency_s\":0.8,\"priority\":1,\"match\":{"             \
	"\"path_prefix\":\"" prefix "\"},\"action\":{\"service\":\"" service \
	"\",\"timeout_s\":2.5,\"max_attempts\":2}}"
#define CLUSTER(name)                                         \
	"{\"name\":\"" name "\",\"health_path\":\"/health\"," \
	"\"max_conns\":130,\"protocol\":\"h1\",\"tls\":false}"

/* Writes a configuration; services are listed by their names. */
static void
configure(int version, bool album)
{
	char text[4096];

	snprintf(text, sizeof(text),
	    "{\"version\":%d,%s,\"listeners\":[{\"host\":\"h.example\","
	    "\"rules\":[%s,%s,%s%s]}],\"clusters\":[%s%s,%s,%s]}",
	    version, limits, RULE("care", "unsafe", "/care/", "care-log"),
	    RULE("feed", "safe", "/feed/", "diary-feed"),
	    RULE("media", "unsafe", "/media/", "media-intake"),
	    album ? "," RULE("album", "safe", "/album/", "album-view") : "",
	    album ? CLUSTER("album-view") "," : "", CLUSTER("care-log"),
	    CLUSTER("diary-feed"), CLUSTER("media-intake"));
	store_put("config", "main", text);
}

static void
judge_run(
    const char *id, const char *path, const char *service, const char *upstream)
{
	const char *allowed = strncmp(path, "/care/", 6) == 0 ? "care-log"
	    : strncmp(path, "/feed/", 6) == 0		      ? "diary-feed"
							      : "album-view";

	if (strcmp(service, allowed) == 0)
		return;
	wrong++;
	record("BROKEN: %s %s is run by %s of %s; only %s may", id, path,
	    upstream, service, allowed);
	printf("ROUTE: %s %s is run by %s of %s; only %s may\n", id, path,
	    upstream, service, allowed);
}

static void
make_request(uint32_t number, struct client_request *r)
{
	bool care = number % 4 == 0;

	r->method = care ? "POST" : "GET";
	snprintf(
	    r->path, sizeof(r->path), care ? "/care/%u" : "/feed/%u", number);
	r->key = -1;
}

static bool
is_served(uint16_t port)
{
	struct client_request r = { "GET", "/feed/start", -1 };
	int64_t end_ms = now_ms() + START_S * 1000;
	int i;

	for (i = 0; i < GATEWAYS; i++)
		while (clients_ask(FIRST_IP + i, port, &r) != 200) {
			if (now_ms() > end_ms)
				return false;
			sleep_ms(100);
		}
	return true;
}

int
main(int argc, char **argv)
{
	static const char *const services[] = { "care-log", "diary-feed",
		"media-intake", "album-view" };
	struct upstream *u, *feed[UPSTREAMS] = { NULL };
	int base, i, s, version = 7;
	bool trouble;
	char id[32];

	if (argc != 4)
		return 2;
	base = atoi(argv[1]);
	trouble = strcmp(argv[3], "0") != 0;
	site_open((uint16_t)base, argv[2]);
	work_ms = 310;
	on_run = judge_run;
	configure(version, false);
	for (s = 0; s < 4; s++)
		for (i = 0; i < UPSTREAMS; i++) {
			snprintf(id, sizeof(id), "i-%s-%d", services[s], i);
			u = site_upstream(id, services[s],
			    (uint16_t)(base + 20 + s * 10 + i), false);
			if (s == 1)
				feed[i] = u;
		}
	if (!is_served((uint16_t)(base + 10))) {
		printf("not served at the start\n");
		return 2;
	}
	clients_start(
	    80, 300, FIRST_IP, GATEWAYS, (uint16_t)(base + 10), make_request);
	for (s = 0; s < ROUNDS; s++) {
		sleep_ms(QUIET_MS);
		for (i = 0; i < CHANGES; i++) {
			version += 3;
			if (trouble)
				configure(version, i % 2 == 0);
			sleep_ms(CRASH_AT_MS);
			if (trouble && i == CHANGES / 2)
				upstream_crash(feed[s]);
			sleep_ms(CHANGE_MS - CRASH_AT_MS);
		}
		sleep_ms(CRASHED_MS - CHANGES * CHANGE_MS / 2);
		if (trouble)
			upstream_start_again(feed[s]);
	}
	clients_stop();
	printf("%u requests, %u served, %d run by a wrong service\n",
	    clients_sent(), clients_done(), wrong);
	return wrong > 0 ? 1 : 0;
}
