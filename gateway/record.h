#ifndef DH_GATEWAY_RECORD_H
#define DH_GATEWAY_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/keyspace.h>

#include <glib.h>
#include <json.h>

/*
 * The owners of a service's keys as text: in the store, and between VMs.
 * {"term":1,"version":2,"next":9,"hold_ms":2000,"distrusted":0,
 *  "vm":"NAME","ip":"ADDRESS","sole":1,"servers":[["ID",BORN],..],
 *  "ranges":[[TO,OWNER,FENCE,FORMER,FORMER_FENCE,SETTLED],..]}
 * Ranges follow one another from key 0; OWNER and FORMER are indices into
 * servers, -1 for none.
 */
struct dh_record {
	uint64_t term; /* of the leader that wrote it */
	uint64_t version; /* within the term */
	uint64_t next_fence;
	uint64_t hold_ms; /* of its grants; 0: not known here */
	bool distrusted; /* others may hold keys that it does not know of */
	char vm[DH_NAME_MAX]; /* that wrote it; "" if not known here */
	char ip[DH_ADDRESS_MAX];
	bool sole; /* no leader before that one gives orders any more */
	struct dh_key_range *ranges;
	size_t nranges;
};

/* dh_record_text -- encode; the caller's to free. */
char *dh_record_text(const struct dh_record *r);

/* dh_record_parse -- decode; false with DH_ERROR_INVALID.  dh_record_clear
 * frees the ranges. */
bool dh_record_parse(
    struct dh_record *r, struct json_object *o, GError **error);
void dh_record_clear(struct dh_record *r);

/* Keys that have another owner or state, as far as routers care. */
struct dh_record_change {
	uint32_t from, to; /* both inclusive */
	char owner[DH_NAME_MAX]; /* "" for none */
	bool settled;
};

/* dh_record_apply -- make changes, which are in the order of keys and do not
 * overlap.  Neighbours that then are alike for routers join. */
void dh_record_apply(
    struct dh_record *r, const struct dh_record_change *changes, size_t n);

/* dh_record_none -- one in which no key has an owner; dh_record_clear() frees
 * it. */
struct dh_record dh_record_none(void);

/* dh_record_changes -- what makes b of a, which both cover all keys, for
 * dh_record_apply(): an array of struct dh_record_change, the caller's. */
GArray *dh_record_changes(const struct dh_record *a, const struct dh_record *b);

/* dh_record_copy -- a deep copy; dh_record_clear() frees it. */
struct dh_record dh_record_copy(const struct dh_record *r);

/* dh_record_newer -- whether a is newer than b. */
bool dh_record_newer(const struct dh_record *a, const struct dh_record *b);

#endif
