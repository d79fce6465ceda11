#include "keyed.h"

#include <stdio.h>
#include <stdlib.h>

#define START_S 20
#define OWNER_MS 500

static const char configuration[] =
    "{\"version\":7,\"limits\":{\"header_bytes\":16384,"
    "\"body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15},"
    "\"listeners\":[{\"host\":\"h.example\",\"rules\":[{\"name\":\"feed\","
    "\"type\":\"safe\",\"target_latency_s\":0.4,\"priority\":1,\"match\":{"
    "\"path_prefix\":\"/feed/\"},\"action\":{\"service\":\"" SERVICE
    "\",\"timeout_s\":1,\"max_attempts\":2}}]}],\"clusters\":[{\"name\":"
    "\"" SERVICE "\",\"health_path\":\"/health\",\"max_conns\":130,"
    "\"protocol\":\"h1\",\"tls\":false,\"sharded\":true,\"warm_s\":2.0,"
    "\"grants\":\"duty_call\"}]}";

void
keyed_request(uint32_t number, struct client_request *r)
{
	r->method = "GET";
	snprintf(r->path, sizeof(r->path), "/feed/%u", number);
	r->key = (int)(number * 40503u % KEYS);
}

static bool
is_served(uint16_t port)
{
	struct client_request r = { "GET", "/feed/start", 0 };
	int64_t end_ms = now_ms() + START_S * 1000;
	int i;

	for (i = 0; i < GATEWAYS; i++)
		for (r.key = 7; r.key < KEYS; r.key += KEYS / 16)
			while (clients_ask(FIRST_IP + i, port, &r) != 200) {
				if (now_ms() > end_ms)
					return false;
				sleep_ms(50);
			}
	return true;
}

void
keyed_configure(void)
{
	store_put("config", "main", configuration);
}

void
keyed_start(int base, const char *record_path, struct upstream **list)
{
	char id[32];
	int i;

	site_open((uint16_t)base, record_path);
	keyed_configure();
	for (i = 0; i < UPSTREAMS; i++) {
		snprintf(id, sizeof(id), "i-feed-%d", i);
		list[i] =
		    site_upstream(id, SERVICE, (uint16_t)(base + 20 + i), true);
	}
}

void
keyed_wait(int base)
{
	if (!is_served((uint16_t)(base + 10))) {
		printf("not served at the start\n");
		exit(2);
	}
}

void
keyed_open(int base, const char *record_path, struct upstream **list)
{
	keyed_start(base, record_path, list);
	keyed_wait(base);
}

int
keyed_judge(void)
{
	int64_t held_ms = site_double_hold_ms();
	int busy = site_grants_of_busy_keys();

	printf("%u requests, %u served; two upstreams held a key for %lld ms; "
	       "%d grants of a key on which another upstream was at work\n",
	    clients_sent(), clients_done(), (long long)held_ms, busy);
	return held_ms > OWNER_MS || busy > 0 ? 1 : 0;
}
