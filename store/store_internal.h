#ifndef DH_STORE_STORE_INTERNAL_H
#define DH_STORE_STORE_INTERNAL_H

#include "base/counter.h"
#include "store/store.h"

/*
 * Declarations shared by the files of the store client only.
 */

struct store_call;

struct dh_store {
	struct dh_http *http;
	char *url;
	char *writer;
	struct dh_store_times times;
	uint64_t serial; /* number of puts; makes their writer ids unique */
	unsigned int failures; /* consecutive failed exchanges */
	GRand *rand;
	GHashTable *seen; /* name -> highest version seen */
	GHashTable *calls; /* set of struct store_call */
	GHashTable *watches; /* set of struct dh_store_watch */
	struct dh_counter *retries, *resolved, *stale;
};

/* One page of a list or of a watch poll. */
struct store_page {
	GPtrArray *objects; /* struct dh_object */
	uint64_t cursor;
	bool more;
};

/* Outcome of an HTTP exchange, for every kind of call. */
enum store_reply {
	REPLY_ANSWER, /* the store processed the call */
	REPLY_NO_EFFECT, /* retry: the call had no effect */
	REPLY_UNKNOWN, /* retry: the call may have taken effect */
	REPLY_REFUSED, /* the store rejected the call; a retry would fail too */
};

/* store.c: retry delays, versions seen, and whether the store is reachable. */
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

/* page.c: pages of lists and watches; the caller unrefs page->objects. */
bool store_page_parse(struct store_page *page,
    const struct dh_http_reply *reply, const char *field);
const struct dh_object *store_page_last(const struct store_page *page);
bool store_page_stale(struct dh_store *st, const struct store_page *page);

/* call.c, watch.c: free a call or a watch without calling back. */
void store_call_free(struct store_call *c);
void store_watch_destroy(struct dh_store_watch *w);

#endif
