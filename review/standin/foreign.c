/*
 * Another writer puts an entry into the store whose service no configuration
 * names.  It has the address of a living upstream.
 *
 * usage: foreign BASE RECORD TROUBLE
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "keyed.h"

#define BEFORE_MS 5000
#define AFTER_MS 6000

int
main(int argc, char **argv)
{
	struct upstream *list[UPSTREAMS];
	char entry[512];
	int base;

	if (argc != 4)
		return 2;
	base = atoi(argv[1]);
	keyed_open(base, argv[2], list);
	clients_start(
	    24, 100, FIRST_IP, GATEWAYS, (uint16_t)(base + 10), keyed_request);
	sleep_ms(BEFORE_MS);
	snprintf(entry, sizeof(entry),
	    "{\"service\":\"host-agent\",\"address\":\"127.0.0.1:%d\","
	    "\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,"
	    "\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":1,"
	    "\"born\":%lld}",
	    base + 20, (long long)time(NULL) * 1000);
	if (strcmp(argv[3], "0") != 0)
		store_put("servers", "agent-0", entry);
	sleep_ms(AFTER_MS);
	clients_stop();
	return keyed_judge();
}
