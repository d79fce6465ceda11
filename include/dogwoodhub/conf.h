#ifndef DOGWOODHUB_CONF_H
#define DOGWOODHUB_CONF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * The teams' accepted configuration, after the merge: what is in force.
 * A value of this type is immutable once published.
 */

enum dh_service_kind {
	DH_SERVICE_KEYED, /* one owning backend server a key */
	DH_SERVICE_ANY, /* any backend server may serve it */
};

enum dh_division_kind {
	DH_DIVISION_HASH, /* hash slots */
	DH_DIVISION_RANGE, /* key ranges, each is one slot */
};

struct dh_division {
	enum dh_division_kind kind;
	union {
		struct {
			uint32_t slots;
		} hash;
		struct {
			uint32_t count; /* ranges */
			char **first_key; /* lowest key of each, sorted */
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
	bool hot_keys; /* found, and their slots placed apart */
	bool unrepeatable; /* every request, header or not */
	int64_t deadline_ms; /* longest a request may take */
	int64_t queue_ms; /* longest it may wait for a slot */
	uint32_t retry_percent; /* retries to first attempts */
	uint32_t objective_ppm; /* good requests out of a million */
	int64_t objective_latency_ms; /* slower than this is not good */
};

struct dh_backend {
	char name[DH_NAME_MAX]; /* unique over all teams */
	char team[DH_NAME_MAX];
	char service[DH_NAME_MAX];
	char address[DH_ADDRESS_MAX]; /* IP number */
	uint16_t port;
	char zone[DH_NAME_MAX]; /* availability zone */
	char region[DH_NAME_MAX];
	uint32_t slots; /* requests it runs at once */
	uint32_t connections; /* most it accepts from all routers */
	bool checks_fence; /* refuses lower fencing tokens */
	bool drain; /* leaving: gets no new work */
};

struct dh_pin {
	char team[DH_NAME_MAX];
	char service[DH_NAME_MAX];
	char key[DH_NAME_MAX];
	char backend[DH_NAME_MAX];
};

struct dh_conf {
	uint64_t revision; /* sum of the teams' revisions: only rises */
	struct dh_service *services;
	size_t nservices;
	struct dh_backend *backends;
	size_t nbackends;
	struct dh_pin *pins;
	size_t npins;
	uint32_t *service_index; /* hash table of indices + 1, or NULL */
	uint32_t service_index_size; /* a power of two */
};

/* dh_conf_index -- have dh_conf_service() look services up by hash.  Call it
 * when their names are final; again if they change.  False without memory:
 * look-ups then stay linear. */
bool dh_conf_index(struct dh_conf *conf);

/* dh_conf_free -- release conf and all it owns; conf may be NULL. */
void dh_conf_free(struct dh_conf *conf);

/* dh_conf_service -- index of a service by name, or DH_NONE. */
uint32_t dh_conf_service(const struct dh_conf *conf, const char *name);

/* dh_conf_backend -- index of a backend server by name, or DH_NONE. */
uint32_t dh_conf_backend(const struct dh_conf *conf, const char *name);

/* dh_service_slots -- slots of a keyed service, 0 for any other. */
uint32_t dh_service_slots(const struct dh_service *sv);

#endif
