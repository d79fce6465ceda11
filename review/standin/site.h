#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Stand-ins for the users' platform in one process on loopback: the store,
 * upstreams, and clients that send requests to gateways.  All events go to the
 * record file, one line each, with milliseconds since the start.
 */

#define KEYS 65536
#define UPSTREAMS_MAX 32
#define ID_MAX 64

struct upstream;

/* How an upstream misbehaves. */
struct misbehaviour {
	/* This share of requests fails with grey_status after its work. */
	double grey_share;
	int grey_status;
	/* Before the answer to a release, the answer to the order before it on
	 * that connection is sent once more. */
	bool extra_before_release;
	uint32_t extra_max; /* at most this many extra answers */
};

extern int work_ms; /* time that an upstream works on a request */

/* A request whose path begins with this ends the upstream that runs it, after
 * crash_ms; the upstream is back after crash_down_ms.  NULL: none does. */
extern const char *crash_path;
extern int crash_ms, crash_down_ms;

int64_t now_ms(void);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* site_open -- start the store on 127.0.0.1:port; record_path is written. */
void site_open(uint16_t port, const char *record_path);

/* site_upstream -- start an upstream and write its entry. */
struct upstream *site_upstream(
    const char *id, const char *service, uint16_t port, bool keyed);
struct misbehaviour *upstream_misbehaviour(struct upstream *u);
void upstream_set_draining(struct upstream *u);

/* upstream_crash -- end the upstream: its port and connections close, and its
 * requests end without an answer.  Its entry lapses after three heartbeats.
 * upstream_start_again -- start it with a new time of birth. */
void upstream_crash(struct upstream *u);
void upstream_start_again(struct upstream *u);
int64_t upstream_born_ms(const struct upstream *u);
uint32_t upstream_extra_answers(const struct upstream *u);
uint32_t upstream_answers(const struct upstream *u);

/* store_put, store_delete -- write an object as the operator or an upstream
 * does. */
void store_put(const char *kind, const char *name, const char *spec);
void store_delete(const char *kind, const char *name);

/*
 * The network of a site whose gateways reach the store and one another through
 * the stand-in.  Gateway i, from 0, has the address 127.0.0.(first_ip + i), its
 * store at store_port + 1 + i and its peer_port at peer_port + i.
 *
 * site_network -- open it.
 * site_cut -- cut gateway i off from the store and from all other gateways, or
 * heal the cut.
 * store_away -- let the store answer nobody, or return it to service.
 * store_copy, store_restore -- copy the store's data, and bring the copy back
 * with the next Store-Era.  entries_again() writes the upstreams' entries.
 */
void site_network(int first_ip, int n, uint16_t store_port, uint16_t peer_port);
void site_cut(int gateway, bool cut);
void store_away(bool away);
void store_copy(void);
void store_restore(void);
void entries_again(void);
/* The gateway that wrote the object "leader" of the system's own kind last, or
 * -1. */
int store_leader(int first_ip);

/* Called, with the site locked, when an upstream begins to run a request. */
extern void (*on_run)(const char *id, const char *path, const char *service,
    const char *upstream);

/* Called, with the site locked, when a client has its answer; status 0: the
 * connection ended without one. */
extern void (*on_answer)(uint32_t number, const char *method, int status);

/* Longest time that two upstreams held one key, in ms, and the number of grants
 * of keys on which another upstream was still at work. */
int64_t site_double_hold_ms(void);
int site_grants_of_busy_keys(void);

/*
 * clients_start -- threads threads send requests in turn to the gateways
 * 127.0.0.(first_ip + i):port, i < n, until clients_stop().  make() fills in
 * method, path and key (-1: none) of the number-th request.
 */
struct client_request {
	const char *method;
	char path[128];
	int key;
};
void clients_start(int threads, int pause_ms, int first_ip, int n,
    uint16_t port, void (*make)(uint32_t number, struct client_request *r));
void clients_stop(void);
uint32_t clients_sent(void);
uint32_t clients_done(void);

/* clients_ask -- send one request and return its status, 0 for none. */
int clients_ask(int ip, uint16_t port, const struct client_request *r);

void sleep_ms(int ms);

#endif
