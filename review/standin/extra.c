/*
 * A faulty upstream sends the answer to an order once more, late, where the
 * answer to the next order on that connection is expected.  It leaves, so its
 * keys are released under load.
 *
 * usage: extra BASE RECORD TROUBLE
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "keyed.h"

#define BEFORE_MS 8000
#define AFTER_MS 8000
#define EXTRA_SHARE 0.02 /* of the upstream's answers */

int
main(int argc, char **argv)
{
	struct upstream *list[UPSTREAMS];
	struct misbehaviour *bad;
	int base, status;

	if (argc != 4)
		return 2;
	base = atoi(argv[1]);
	keyed_open(base, argv[2], list);
	clients_start(
	    24, 60, FIRST_IP, GATEWAYS, (uint16_t)(base + 10), keyed_request);
	sleep_ms(BEFORE_MS);
	bad = upstream_misbehaviour(list[0]);
	bad->extra_before_release = strcmp(argv[3], "0") != 0;
	bad->extra_max = (uint32_t)(upstream_answers(list[0]) * EXTRA_SHARE);
	upstream_set_draining(list[0]);
	sleep_ms(AFTER_MS);
	clients_stop();
	status = keyed_judge();
	printf("%u of %u answers of the faulty upstream were sent twice\n",
	    upstream_extra_answers(list[0]), upstream_answers(list[0]));
	return status;
}
