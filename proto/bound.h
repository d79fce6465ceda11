#ifndef DH_PROTO_BOUND_H
#define DH_PROTO_BOUND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * dh_msgpack_bounded -- return whether data is exactly one complete msgpack
 * value with at most elements_max values inside it, nested at most
 * DH_MSGPACK_DEPTH_MAX deep.
 *
 * msgpack-c allocates memory for as many elements as the header of an array
 * announces, before it has read them.  This check must come before the call of
 * msgpack-c, so that its memory stays proportional to the size of the data.
 */
#define DH_MSGPACK_DEPTH_MAX 16

bool dh_msgpack_bounded(const uint8_t *data, size_t len, size_t elements_max);

#endif
