#include <dogwoodhub/key.h>

#include <xxhash.h>

uint64_t
dh_key_hash(const void *key, size_t len)
{
	return XXH3_64bits(key, len);
}

uint32_t
dh_key_slot(const void *key, size_t len, uint32_t nslots)
{
	/* The high half of the product is in [0, nslots).  It needs no
	 * division, and its bias is negligible. */
	return (uint32_t)(((__uint128_t)dh_key_hash(key, len) * nslots) >> 64);
}
