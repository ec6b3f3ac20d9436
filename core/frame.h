#ifndef CORE_FRAME_H
#define CORE_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"

/*
 * Incremental parser of frames: a 4-byte big-endian length, then as many
 * bytes. Memory follows what has arrived, not the length that was announced.
 */

#define FRAME_HEADER_BYTES 4

/** struct frame_parser - the state of one byte stream. */
struct frame_parser {
	size_t payload_max; /* bytes of a payload; larger ones are refused */
	uint8_t header[FRAME_HEADER_BYTES];
	size_t header_received;	 /* bytes of the header that are here */
	size_t payload_len;	 /* announced, once the header is whole */
	uint8_t *payload;	 /* owned */
	size_t payload_received; /* bytes that are here */
	size_t allocated;	 /* bytes */
};

/** frm_init() - a parser at the start of a stream, payloads up to @max. */
void frm_init(struct frame_parser *parser, size_t payload_max);

/** frm_release() - free what the parser owns. */
void frm_release(struct frame_parser *parser);

/**
 * frm_feed() - take bytes from the stream.
 * @parser: the stream's parser.
 * @data: bytes that follow those of the last call.
 * @len: their number.
 * @consumed: set to how many were taken; the others are to be fed again.
 * @err: set on failure.
 *
 * Return: 1 if a frame is whole, in parser->payload and payload_len until the
 * next call; 0 if all bytes were taken and more are needed; -1 with TOO_LARGE
 * or NO_MEMORY, after which the stream can't be read any further.
 */
int frm_feed(struct frame_parser *parser, const void *data, size_t len,
    size_t *consumed, struct err *err);

/** frm_header() - write the header of a payload of @len bytes. */
void frm_header(uint8_t header[FRAME_HEADER_BYTES], size_t len);

#endif /* CORE_FRAME_H */
