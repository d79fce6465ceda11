#ifndef DH_GATEWAY_RECORD_H
#define DH_GATEWAY_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/keyspace.h>

#include <glib.h>
#include <json.h>

/*
 * The record of the owners of a service's keys.  The leader stores it as JSON:
 * {"term":1,"version":2,"next":9,"hold_ms":2000,"distrusted":0,
 *  "vm":"NAME","ip":"ADDRESS","sole":1,"servers":[["ID",BORN],..],
 *  "ranges":[[TO,OWNER,FENCE,FORMER,FORMER_FENCE,SETTLED],..]}
 * BORN is the start time of a backend server's process.  Ranges are in order
 * and cover all keys from 0; OWNER and FORMER are indices into servers, or -1
 * for none.  FENCE values are fencing tokens, SETTLED is 0 or 1.
 */
struct dh_record {
	uint64_t term; /* of the leader that wrote it */
	uint64_t version; /* within the term */
	uint64_t next_fence; /* next fencing token to give out */
	uint64_t hold_ms; /* lease of the leader's grants; 0: not known */
	/* Backend servers may hold keys under grants that are missing here. */
	bool distrusted;
	char vm[DH_NAME_MAX]; /* the leader's VM; "" if not known */
	char ip[DH_ADDRESS_MAX]; /* the leader's address */
	bool sole; /* no earlier leader sends orders any more */
	struct dh_key_range *ranges;
	size_t nranges;
};

/* dh_record_to_json -- encode as JSON; the caller frees the result. */
char *dh_record_to_json(const struct dh_record *r);

/* dh_record_parse -- decode; returns false with DH_ERROR_INVALID if o is no
 * valid record.
 *
 * dh_record_clear -- free the ranges. */
bool dh_record_parse(
    struct dh_record *r, struct json_object *o, GError **error);
void dh_record_clear(struct dh_record *r);

/* A range of keys whose owner or settled flag has changed; routers need nothing
 * else of a record. */
struct dh_record_change {
	uint32_t from, to; /* both inclusive */
	char owner[DH_NAME_MAX]; /* "" for none */
	bool settled;
};

/* dh_record_apply -- apply changes, which must be in the order of keys and not
 * overlap.  Neighbouring ranges with the same owner and settled flag are
 * merged. */
void dh_record_apply(
    struct dh_record *r, const struct dh_record_change *changes, size_t n);

/* dh_record_unowned -- return a record in which no key has an owner;
 * dh_record_clear() frees it. */
struct dh_record dh_record_unowned(void);

/* dh_record_diff -- return the changes that turn a into b, as an array of
 * struct dh_record_change for dh_record_apply(); the caller frees it.  Both
 * records must cover all keys. */
GArray *dh_record_diff(const struct dh_record *a, const struct dh_record *b);

/* dh_record_copy -- return a deep copy; dh_record_clear() frees it. */
struct dh_record dh_record_copy(const struct dh_record *r);

/* dh_record_is_newer -- whether a is of a later term than b, or of a later
 * version in the same term. */
bool dh_record_is_newer(const struct dh_record *a, const struct dh_record *b);

#endif
