#ifndef DOGWOODHUB_HOTKEY_H
#define DOGWOODHUB_HOTKEY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * The most frequent (hottest) keys of a stream of requests, in bounded memory.
 * The module is a space-saving sketch with exponentially decaying counts, so
 * that keys that are no longer requested drop out.  Each thread has one sketch
 * per service; a leader merges the reports of several routers.
 */

struct dh_hotkey_params {
	uint32_t size; /* number of counters; errors are at most total / size */
	int64_t half_life_us; /* time in which a count decays to its half */
};

/* A counted key.  Its true count is in [count - error, count]. */
struct dh_hotkey {
	uint64_t hash; /* dh_key_hash() */
	double count; /* decayed weight, upper bound */
	double error; /* largest possible excess of count */
	uint8_t len; /* length of key; 0: the key is too long to be stored */
	char key[DH_NAME_MAX];
};

struct dh_hotkeys;

/* dh_hotkeys_new -- create an empty sketch; returns NULL if out of memory.
 * dh_hotkeys_free() frees a sketch, dh_hotkeys_clear() empties it. */
struct dh_hotkeys *dh_hotkeys_new(const struct dh_hotkey_params *p);
void dh_hotkeys_free(struct dh_hotkeys *h);
void dh_hotkeys_clear(struct dh_hotkeys *h);

/* dh_hotkeys_add -- count a request for a key, with weight 1 or the request's
 * cost.  hash is dh_key_hash() of the key.  Allocates no memory. */
void dh_hotkeys_add(struct dh_hotkeys *h, uint64_t hash, const void *key,
    size_t len, uint32_t weight, int64_t now_us);

/* dh_hotkeys_total -- return the decayed weight of all requests. */
double dh_hotkeys_total(const struct dh_hotkeys *h);

/* dh_hotkeys_floor -- return an upper bound of the weight of any key that has
 * no counter. */
double dh_hotkeys_floor(const struct dh_hotkeys *h);

/* dh_hotkeys_top -- list the keys whose lower bound is at least the given share
 * of the total, hottest first.  Returns the number of keys written to out, at
 * most max. */
size_t dh_hotkeys_top(const struct dh_hotkeys *h, double share,
    struct dh_hotkey *out, size_t max);

/*
 * dh_hotkeys_merge -- add the contents of another sketch: its list of keys,
 * floor and total.  The bounds of every key's count remain valid.
 */
void dh_hotkeys_merge(struct dh_hotkeys *h, const struct dh_hotkey *list,
    size_t n, double floor, double total);

/*
 * dh_hotkeys_add_report -- add the lower bounds that another sketch counted in
 * a past period: its list of keys, whose errors are subtracted, and its total.
 * The running time depends on the length of the list only.  Lower bounds remain
 * valid; upper bounds of keys that are not in the list do not.
 */
void dh_hotkeys_add_report(struct dh_hotkeys *h, const struct dh_hotkey *list,
    size_t n, double total, int64_t now_us);

/* dh_hotkeys_bytes -- return the memory use in bytes of a sketch with that many
 * counters. */
size_t dh_hotkeys_bytes(uint32_t size);

#endif
