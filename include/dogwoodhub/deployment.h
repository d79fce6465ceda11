#ifndef DOGWOODHUB_DEPLOYMENT_H
#define DOGWOODHUB_DEPLOYMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * One version of the operators' HTTP routes and services, and the registration
 * of a backend server.  Plain data, filled in by the module that reads it from
 * the platform; immutable once it is shared.
 */

/* Whether a request that was sent and has no response may be sent again. */
enum dh_repeat {
	DH_REPEAT_SAFE, /* the request is idempotent and may run repeatedly */
	DH_REPEAT_NEVER, /* the request may run at most once */
};

/* A service that receives a share of a route's requests. */
struct dh_weighted_service {
	uint32_t service; /* index into services */
	uint32_t weight;
};

struct dh_http_route {
	char *name;
	char *host;
	char *prefix; /* path prefix; begins and ends with a slash */
	enum dh_repeat repeat;
	bool bulk; /* its answers are large */
	uint32_t priority; /* 0 is the highest */
	uint32_t attempts_max; /* limit of backend servers tried per request */
	int64_t target_ms; /* latency objective */
	int64_t timeout_ms; /* limit from arrival to the final response */
	struct dh_weighted_service *parts;
	size_t nparts;
	/* Regions that may serve the requests and get their bodies, separated
	 * by commas; NULL: all. */
	char *homes;
};

struct dh_http_service {
	char *name;
	char *health_path;
	uint32_t connections_max; /* total that one backend server accepts */
	bool keyed; /* requests carry a key, which one backend server owns */
	/* Requests per second that a backend server bears from all routers
	 * together while it starts; 0: no bound is known. */
	double slow_start_per_s;
	int64_t cold_keys_ms; /* how long a key stays slow after a backend
			       * server took it over without a handover */
};

struct dh_deployment {
	int64_t version;
	uint32_t header_bytes_max;
	uint64_t body_bytes_max;
	int64_t header_timeout_ms; /* limit to receive a request's header */
	int64_t idle_timeout_ms; /* limit between requests of a connection */
	struct dh_http_route *routes;
	size_t nroutes;
	struct dh_http_service *services;
	size_t nservices;
};

/* dh_deployment_new -- returns an empty deployment; aborts if out of memory.
 * dh_deployment_free -- frees d, which may be NULL, and its members,
 * which must come from malloc(3). */
struct dh_deployment *dh_deployment_new(void);
void dh_deployment_free(struct dh_deployment *d);

/* dh_deployment_service -- returns the index of a service by name, or
 * DH_NONE. */
uint32_t dh_deployment_service(const struct dh_deployment *d, const char *name);

/* dh_deployment_match -- returns the route for host with the longest prefix of
 * path, or NULL.  A port in host is ignored, and so is its case. */
const struct dh_http_route *dh_deployment_match(
    const struct dh_deployment *d, const char *host, const char *path);

/* dh_route_service_of_nth -- returns the index of the service that receives the
 * nth request of a route.  Any sequence of consecutive requests is divided by
 * weight. */
uint32_t dh_route_service_of_nth(const struct dh_http_route *r, uint64_t nth);

/*
 * dh_homes_include -- whether region is one of homes, as in a route.
 *
 * dh_deployment_keys_allowed -- whether all routes that lead to a service may
 * be served in region, so that keys of the service may be owned there.
 */
bool dh_homes_include(const char *homes, const char *region);
bool dh_deployment_keys_allowed(
    const struct dh_deployment *d, uint32_t service, const char *region);

/* What a backend server reports about itself. */
struct dh_registration {
	char id[DH_NAME_MAX];
	char service[DH_NAME_MAX];
	char address[DH_ADDRESS_MAX]; /* IP address */
	uint16_t port;
	char zone[DH_NAME_MAX]; /* availability zone */
	uint32_t slots; /* limit of concurrent requests */
	bool draining;
	int64_t slow_start_left_ms; /* remaining time of its slow start */
	int64_t start_ms; /* start time of the process; 0 if not reported */
};

#endif
