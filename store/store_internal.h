#ifndef DH_STORE_STORE_INTERNAL_H
#define DH_STORE_STORE_INTERNAL_H

#include "base/counter.h"
#include "store/store.h"

/*
 * What the files of the store's client share; private to the package.
 */

struct store_call;

struct dh_store {
	struct dh_http *http;
	char *url;
	char *writer;
	struct dh_store_times times;
	uint64_t serial; /* of puts */
	unsigned int failures; /* in a row */
	GRand *rand;
	GHashTable *seen; /* name -> highest version seen */
	GHashTable *calls; /* struct call, a set */
	GHashTable *watches; /* struct dh_store_watch, a set */
	struct dh_counter *retries, *resolved, *stale;
};

/* A page of a list or a watch. */
struct store_page {
	GPtrArray *objects; /* struct dh_object */
	uint64_t cursor;
	bool more;
};

/* What an HTTP exchange says, whatever the call. */
enum store_reply {
	REPLY_ANSWER, /* the store's own word on the call */
	REPLY_NO_EFFECT, /* try again: it had none */
	REPLY_UNKNOWN, /* try again: it may have had an effect */
	REPLY_REFUSED, /* trying again is of no use */
};

/* store.c: waits between tries, versions seen, how the store does. */
int64_t store_backoff_ms(struct dh_store *st, unsigned int failures);
uint64_t store_version_lookup(GHashTable *table, const char *name);
void store_version_raise(GHashTable *table, const char *name, uint64_t version);
void store_note_answer(struct dh_store *st);
void store_note_failure(struct dh_store *st);
int64_t store_reply_after_ms(const struct dh_http_reply *reply);
enum store_reply store_reply_class(const struct dh_http_reply *reply);
char *store_list_url(
    struct dh_store *st, const char *prefix, const char *after, bool values);
void store_count_call(const char *labels);

/* page.c: a list's or a watch's page; objects are the caller's to unref. */
bool store_page_parse(struct store_page *page,
    const struct dh_http_reply *reply, const char *field);
const struct dh_object *store_page_last(const struct store_page *page);
bool store_page_stale(struct dh_store *st, const struct store_page *page);

/* call.c, watch.c: end one without a word. */
void store_call_free(struct store_call *c);
void store_watch_destroy(struct dh_store_watch *w);

#endif
