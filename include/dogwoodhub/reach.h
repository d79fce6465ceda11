#ifndef DOGWOODHUB_REACH_H
#define DOGWOODHUB_REACH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decides whether a router reaches any backend server of a service.
 *
 * New connections decide: while a network is partitioned, those that are open
 * may go silent, be reset, or go on working while new ones fail.  Connections
 * to several backend servers that fail one after the other, or a silence of
 * all, call for probes, which are connections to others.  When as many fail as
 * are needed and none is accepted in between, no backend server is reached.
 * One that is accepted ends this.
 *
 * The functions have no side effects beyond their arguments and read no clock.
 */

/* Backend servers at which a connection has to fail, or all if there are
 * fewer. */
#define DH_REACH_FAILURES 4

/* Zeroed: backend servers are reached.  Owns no memory. */
struct dh_reach {
	bool lost; /* no backend server is reached */
	int64_t lost_ms; /* when this began */
	int64_t accepted_ms; /* last connection that was accepted */
	int64_t heard_ms; /* last bytes, or accepted connection */
	int64_t probed_ms; /* start of the last probes */
	/* Backend servers at which a connection failed that was started after
	 * accepted_ms. */
	uint32_t failed[DH_REACH_FAILURES];
	size_t nfailed;
};

/* dh_reach_accepted -- a backend server accepted a connection.  True if none
 * was reached before. */
bool dh_reach_accepted(struct dh_reach *r, int64_t now_ms);

/* dh_reach_heard -- bytes of a backend server arrived. */
void dh_reach_heard(struct dh_reach *r, int64_t now_ms);

/* dh_reach_failed -- a connection to the backend server uid, started at
 * started_ms, failed.  servers is the number of known backend servers.  True if
 * none is reached any more. */
bool dh_reach_failed(struct dh_reach *r, uint32_t uid, int64_t started_ms,
    size_t servers, int64_t now_ms);

/* dh_reach_has_failed -- whether uid is one of the failed backend servers. */
bool dh_reach_has_failed(const struct dh_reach *r, uint32_t uid);

/* dh_reach_probes -- the number of backend servers to be probed now, which
 * counts as done.  pending is the number of backend servers that owe an answer,
 * since pending_since_ms the longest.  silence_ms is the time without any
 * answer that is unusual for the service. */
size_t dh_reach_probes(struct dh_reach *r, size_t pending,
    int64_t pending_since_ms, int64_t silence_ms, int64_t now_ms);

#endif
