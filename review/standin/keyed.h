#ifndef REVIEW_KEYED_H
#define REVIEW_KEYED_H

#include "site.h"

/*
 * A small deployment with one service that is divided by key, for the cases
 * about owners of keys.
 */
#define GATEWAYS 3
#define FIRST_IP 11
#define UPSTREAMS 4
#define SERVICE "diary-feed"

/*
 * keyed_start -- start the store and the upstreams, and write the
 * configuration. keyed_configure -- write it again. keyed_wait -- wait until
 * each gateway serves keys of all parts of the key space.  Exits with 2 if they
 * do not. keyed_open -- start and wait.
 */
void keyed_start(int base, const char *record_path, struct upstream **list);
void keyed_configure(void);
void keyed_wait(int base);
void keyed_open(int base, const char *record_path, struct upstream **list);

/* keyed_request -- a safe request for a key, for clients_start(). */
void keyed_request(uint32_t number, struct client_request *r);

/* keyed_judge -- print what OWNER says of the run and return the exit status:
 * 1 if two upstreams held a key for over half a second, or if one was given a
 * key on which another was still at work. */
int keyed_judge(void);

#endif
