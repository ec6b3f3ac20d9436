#ifndef CORE_FRAME_H
#define CORE_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"

/*
 * Incremental parser of frames: a 4-byte big-endian length, followed by a
 * payload of that many bytes. Memory is allocated for the bytes received, not
 * for the announced length, so that a peer can't reserve memory with a header.
 */

#define FRAME_HEADER_BYTES 4

/** struct frame_parser - parser state of one byte stream. */
struct frame_parser {
	size_t payload_max; /* bytes; larger payloads are rejected */
	uint8_t header[FRAME_HEADER_BYTES];
	size_t header_received;	 /* bytes */
	size_t payload_len;	 /* bytes; valid after the complete header */
	uint8_t *payload;	 /* owned */
	size_t payload_received; /* bytes */
	size_t allocated;	 /* bytes at @payload */
};

/** frm_init() - initialize; payloads may have up to @payload_max bytes. */
void frm_init(struct frame_parser *parser, size_t payload_max);

/** frm_release() - free the payload buffer and reset the parser. */
void frm_release(struct frame_parser *parser);

/**
 * frm_feed() - parse the next bytes of the stream.
 * @parser: the stream's parser.
 * @data: bytes that follow those consumed by the last call.
 * @len: number of bytes at @data.
 * @consumed: set to the number of bytes consumed; the caller must pass the
 *            remaining ones again.
 * @err: set on failure.
 *
 * Return: 1 if a frame is complete; parser->payload and payload_len are valid
 * until the next call. 0 if all bytes were consumed and more are needed. -1
 * with TOO_LARGE or NO_MEMORY; the stream can't be parsed any further then.
 */
int frm_feed(struct frame_parser *parser, const void *data, size_t len,
    size_t *consumed, struct err *err);

/** frm_header() - encode the header of a payload of @len bytes. */
void frm_header(uint8_t header[FRAME_HEADER_BYTES], size_t len);

#endif /* CORE_FRAME_H */
