#ifndef DH_PROTO_BOUND_H
#define DH_PROTO_BOUND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * dh_msgpack_bounded -- whether data is one whole msgpack value of at most
 * elements_max elements, nested at most DH_MSGPACK_DEPTH_MAX deep, with
 * nothing after it.
 *
 * msgpack-c sets aside memory for as many elements as an array announces
 * before it has seen them; this is asked first, so that memory stays
 * proportional to the bytes that came.
 */
#define DH_MSGPACK_DEPTH_MAX 16

bool dh_msgpack_bounded(const uint8_t *data, size_t len, size_t elements_max);

#endif
