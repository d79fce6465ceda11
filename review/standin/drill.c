/*
 * A drill: the store is away for a moment and returns from a copy that is some
 * seconds old.  Since that copy the keys of one upstream have moved.  The
 * leader is cut off from the store and from the other gateways meanwhile, but
 * reaches upstreams.
 *
 * usage: drill BASE RECORD TROUBLE
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "keyed.h"

#define BEFORE_MS 4000
#define MOVE_MS 3000 /* from the copy and the announcement to the cut */
#define CUT_BEFORE_MS 500 /* from the cut to the time without the store */
#define AWAY_MS 1000
#define AGAIN_MS 500 /* until entries and configuration are written again */
#define CUT_MS 8000
#define AFTER_MS 6000
#define PEER_PORT 40

int
main(int argc, char **argv)
{
	struct upstream *list[UPSTREAMS];
	int base, leader = -1;
	bool trouble;

	if (argc != 4)
		return 2;
	base = atoi(argv[1]);
	trouble = strcmp(argv[3], "0") != 0;
	keyed_start(base, argv[2], list);
	site_network(
	    FIRST_IP, GATEWAYS, (uint16_t)base, (uint16_t)(base + PEER_PORT));
	keyed_wait(base);
	clients_start(
	    24, 100, FIRST_IP, GATEWAYS, (uint16_t)(base + 10), keyed_request);
	sleep_ms(BEFORE_MS);
	store_copy();
	upstream_set_draining(list[0]);
	sleep_ms(MOVE_MS);
	leader = store_leader(FIRST_IP);
	if (leader < 0) {
		printf("no leader\n");
		return 2;
	}
	if (trouble)
		site_cut(leader, true);
	sleep_ms(CUT_BEFORE_MS);
	if (trouble)
		store_away(true);
	sleep_ms(AWAY_MS);
	if (trouble) {
		store_restore();
		store_away(false);
	}
	sleep_ms(AGAIN_MS);
	if (trouble) {
		entries_again();
		keyed_configure();
	}
	sleep_ms(CUT_MS - CUT_BEFORE_MS - AWAY_MS - AGAIN_MS);
	if (trouble)
		site_cut(leader, false);
	sleep_ms(AFTER_MS);
	clients_stop();
	return keyed_judge();
}
