#ifndef DOGWOODHUB_KEY_H
#define DOGWOODHUB_KEY_H

#include <stddef.h>
#include <stdint.h>

/*
 * dh_key_hash -- return the 64-bit hash of a key.  It is the same on every VM
 * and in every release.
 *
 * dh_key_slot -- return the hash slot of a key, in [0, nslots).  nslots must
 * not be 0.
 */
uint64_t dh_key_hash(const void *key, size_t len);
uint32_t dh_key_slot(const void *key, size_t len, uint32_t nslots);

#endif
