#ifndef DOGWOODHUB_KEY_H
#define DOGWOODHUB_KEY_H

#include <stddef.h>
#include <stdint.h>

/*
 * dh_key_hash -- 64-bit hash of a key, the same on every VM and release.
 * dh_key_slot -- the hash slot of a key, in [0, nslots); nslots > 0.
 */
uint64_t dh_key_hash(const void *key, size_t len);
uint32_t dh_key_slot(const void *key, size_t len, uint32_t nslots);

#endif
