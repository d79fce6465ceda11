#ifndef DOGWOODHUB_CONF_H
#define DOGWOODHUB_CONF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * The configuration in use, merged from the accepted configurations of all
 * teams.  A struct dh_conf is immutable once it is published.
 */

enum dh_service_kind {
	DH_SERVICE_KEYED, /* each key is owned by one backend server */
	DH_SERVICE_ANY, /* any backend server may serve a request */
};

enum dh_division_kind {
	DH_DIVISION_HASH, /* slots by hash of the key */
	DH_DIVISION_RANGE, /* one slot per range of keys */
};

struct dh_division {
	enum dh_division_kind kind;
	union {
		struct {
			uint32_t slots;
		} hash;
		struct {
			uint32_t count; /* number of ranges */
			char **first_key; /* lowest key of each range, sorted */
		} range;
	};
};

/* Relative weights of the placement objective. */
struct dh_weights {
	uint32_t unavailable;
	uint32_t churn;
	uint32_t imbalance;
};

struct dh_service {
	char name[DH_NAME_MAX];
	char team[DH_NAME_MAX];
	enum dh_service_kind kind;
	struct dh_division division;
	struct dh_weights weights;
	bool hot_keys; /* detect hot keys and place their slots separately */
	/* Every request is non-idempotent, also without an Idempotency-Key
	 * header. */
	bool unrepeatable;
	int64_t deadline_ms; /* limit of the time a request takes */
	int64_t queue_ms; /* limit of the time a request waits for a slot */
	uint32_t retry_percent; /* retries, relative to first attempts */
	uint32_t objective_ppm; /* objective: good requests per million */
	int64_t objective_latency_ms; /* a slower request is not good */
};

struct dh_backend {
	char name[DH_NAME_MAX]; /* unique across all teams */
	char team[DH_NAME_MAX];
	char service[DH_NAME_MAX];
	char address[DH_ADDRESS_MAX]; /* IP address */
	uint16_t port;
	char zone[DH_NAME_MAX]; /* availability zone */
	char region[DH_NAME_MAX];
	uint32_t slots; /* limit of concurrent requests */
	uint32_t connections; /* limit of connections from all routers */
	bool checks_fence; /* it refuses outdated fencing tokens */
	bool draining; /* it is shutting down and gets no new requests */
};

/* Assigns a key of a service to a backend server. */
struct dh_pin {
	char team[DH_NAME_MAX];
	char service[DH_NAME_MAX];
	char key[DH_NAME_MAX];
	char backend[DH_NAME_MAX];
};

struct dh_conf {
	uint64_t revision; /* sum of the teams' revisions; never decreases */
	struct dh_service *services;
	size_t nservices;
	struct dh_backend *backends;
	size_t nbackends;
	struct dh_pin *pins;
	size_t npins;
	/* Hash table of service indices + 1, or NULL. */
	uint32_t *service_index;
	uint32_t service_index_size; /* a power of two */
};

/* dh_conf_index -- builds the hash table for dh_conf_service().  Call it when
 * the names of the services are final, and again if they change.  Returns false
 * if out of memory; lookups then remain linear. */
bool dh_conf_index(struct dh_conf *conf);

/* dh_conf_free -- frees conf and its members; conf may be NULL. */
void dh_conf_free(struct dh_conf *conf);

/* dh_conf_service -- returns the index of a service by name, or DH_NONE. */
uint32_t dh_conf_service(const struct dh_conf *conf, const char *name);

/* dh_conf_backend -- returns the index of a backend server by name, or
 * DH_NONE. */
uint32_t dh_conf_backend(const struct dh_conf *conf, const char *name);

/* dh_service_slots -- returns the number of slots of a keyed service, or 0 for
 * any other service. */
uint32_t dh_service_slots(const struct dh_service *sv);

#endif
