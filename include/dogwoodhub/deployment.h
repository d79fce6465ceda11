#ifndef DOGWOODHUB_DEPLOYMENT_H
#define DOGWOODHUB_DEPLOYMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * What operators want routed where, one version of it, and the backend
 * servers that have registered themselves.  Plain data, filled by whoever
 * reads it from the platform; immutable once it is shared.
 */

/* What may be done with a request that was sent and has no answer. */
enum dh_repeat {
	DH_REPEAT_SAFE, /* idempotent: may run more than once */
	DH_REPEAT_NEVER, /* may run once at most */
};

struct dh_route_part {
	uint32_t service; /* index into services */
	uint32_t weight;
};

struct dh_http_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	enum dh_repeat repeat;
	uint32_t priority; /* 0 is the most urgent */
	uint32_t attempts_max; /* backend servers one request may go to */
	int64_t target_ms; /* latency objective */
	int64_t timeout_ms; /* from arrival to the final answer */
	struct dh_route_part *parts;
	size_t nparts;
};

struct dh_http_service {
	char *name;
	char *health_path;
	uint32_t connections_max; /* of one backend server, by all callers */
	bool keyed; /* requests carry a key, which one server owns */
	int64_t cold_keys_ms; /* keys taken without a handover are slow */
};

struct dh_deployment {
	int64_t version;
	uint32_t header_bytes_max;
	uint64_t body_bytes_max;
	int64_t header_timeout_ms; /* to send a request's head */
	int64_t idle_timeout_ms; /* between requests of a connection */
	struct dh_http_route *routes;
	size_t nroutes;
	struct dh_http_service *services;
	size_t nservices;
};

/* dh_deployment_new -- nothing in it; dh_deployment_free -- with all its
 * members, which come from malloc(3).  NULL is allowed. */
struct dh_deployment *dh_deployment_new(void);
void dh_deployment_free(struct dh_deployment *d);

/* dh_deployment_service -- index of a service by name, or DH_NONE. */
uint32_t dh_deployment_service(const struct dh_deployment *d, const char *name);

/* dh_deployment_match -- the route of this host, without port and in any
 * case, with the longest prefix of path; or NULL. */
const struct dh_http_route *dh_deployment_match(
    const struct dh_deployment *d, const char *host, const char *path);

/* dh_route_part_at -- the part of a route that the nth of its requests goes
 * to, so that any run of requests is shared out by weight. */
uint32_t dh_route_part_at(const struct dh_http_route *r, uint64_t nth);

/* A backend server as it describes itself. */
struct dh_registration {
	char id[DH_NAME_MAX];
	char service[DH_NAME_MAX];
	char address[DH_ADDRESS_MAX]; /* IP number */
	uint16_t port;
	char zone[DH_NAME_MAX]; /* availability zone */
	uint32_t slots; /* requests at once */
	bool draining;
	int64_t cold_left_ms; /* still slow after its start */
	int64_t born_ms; /* start of this life; 0 if not told */
};

#endif
