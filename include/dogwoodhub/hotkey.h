#ifndef DOGWOODHUB_HOTKEY_H
#define DOGWOODHUB_HOTKEY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * The hottest keys of a stream of requests, in bounded memory: a space-saving
 * sketch whose counts decay, so that it forgets keys that have cooled.  One
 * for each service and thread; a leader merges what several routers report.
 */

struct dh_hotkey_params {
	uint32_t size; /* keys counted; the error is the total over it */
	int64_t half_life_us; /* in which a count loses half of its worth */
};

/* A counted key.  Its true count is in [count - error, count]. */
struct dh_hotkey {
	uint64_t hash; /* dh_key_hash() */
	double count; /* decayed weight */
	double error;
	uint8_t len; /* of key; 0: too long to be kept */
	char key[DH_NAME_MAX];
};

struct dh_hotkeys;

/* dh_hotkeys_new -- an empty sketch, or NULL without memory. */
struct dh_hotkeys *dh_hotkeys_new(const struct dh_hotkey_params *p);
void dh_hotkeys_free(struct dh_hotkeys *h);
void dh_hotkeys_clear(struct dh_hotkeys *h);

/* dh_hotkeys_add -- a request of this key; weight 1, or its cost.  hash is
 * dh_key_hash() of the key.  No allocation. */
void dh_hotkeys_add(struct dh_hotkeys *h, uint64_t hash, const void *key,
    size_t len, uint32_t weight, int64_t now_us);

/* dh_hotkeys_total -- the decayed weight of all requests. */
double dh_hotkeys_total(const struct dh_hotkeys *h);

/* dh_hotkeys_floor -- no key that isn't counted has more than this. */
double dh_hotkeys_floor(const struct dh_hotkeys *h);

/* dh_hotkeys_top -- keys that surely have at least share of the total,
 * hottest first; returns how many were written to out. */
size_t dh_hotkeys_top(const struct dh_hotkeys *h, double share,
    struct dh_hotkey *out, size_t max);

/*
 * dh_hotkeys_merge -- add another sketch's report: its list of keys, floor
 * and total.  The bounds of every key's count still hold.
 */
void dh_hotkeys_merge(struct dh_hotkeys *h, const struct dh_hotkey *list,
    size_t n, double floor, double total);

/*
 * dh_hotkeys_add_report -- add what another sketch surely counted in a period
 * that has passed: its list of keys, less their errors, and its total.  It
 * costs time by the list only; lower bounds hold, upper bounds of keys that
 * were not listed do not.
 */
void dh_hotkeys_add_report(struct dh_hotkeys *h, const struct dh_hotkey *list,
    size_t n, double total, int64_t now_us);

/* dh_hotkeys_bytes -- memory of a sketch of that size. */
size_t dh_hotkeys_bytes(uint32_t size);

#endif
