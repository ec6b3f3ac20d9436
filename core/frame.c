/*
 * Frames of the peer protocol. This module does no I/O: the caller reads the
 * socket and passes the bytes in.
 */

#include <stdlib.h>
#include <string.h>

#include "core/frame.h"

#define FRAME_INITIAL_ALLOCATION_BYTES 256

void
frm_init(struct frame_parser *parser, size_t payload_max)
{
	memset(parser, 0, sizeof(*parser));
	parser->payload_max = payload_max;
}

void
frm_release(struct frame_parser *parser)
{
	free(parser->payload);
	frm_init(parser, parser->payload_max);
}

void
frm_header(uint8_t header[FRAME_HEADER_BYTES], size_t len)
{
	header[0] = (uint8_t)(len >> 24);
	header[1] = (uint8_t)(len >> 16);
	header[2] = (uint8_t)(len >> 8);
	header[3] = (uint8_t)len;
}

static int
frm_reserve(struct frame_parser *parser, size_t needed, struct err *err)
{
	size_t size = parser->allocated;
	uint8_t *payload;

	if (size == 0)
		size = FRAME_INITIAL_ALLOCATION_BYTES;
	while (size < needed)
		size *= 2;
	if (size == parser->allocated)
		return 0;
	payload = realloc(parser->payload, size);
	if (payload == NULL)
		return err_set(err, ERR_STEP_PARSE, ERR_NO_MEMORY, NULL,
		    "out of memory for a frame of %zu bytes",
		    parser->payload_len);
	parser->payload = payload;
	parser->allocated = size;
	return 0;
}

/* Returns the number of bytes consumed. */
static size_t
frm_read_header(struct frame_parser *parser, const uint8_t *data, size_t len)
{
	size_t n = FRAME_HEADER_BYTES - parser->header_received;

	if (n > len)
		n = len;
	memcpy(parser->header + parser->header_received, data, n);
	parser->header_received += n;
	if (parser->header_received == FRAME_HEADER_BYTES)
		parser->payload_len = (size_t)parser->header[0] << 24 |
		    (size_t)parser->header[1] << 16 |
		    (size_t)parser->header[2] << 8 | parser->header[3];
	return n;
}

int
frm_feed(struct frame_parser *parser, const void *data, size_t len,
    size_t *consumed, struct err *err)
{
	const uint8_t *bytes = data;
	size_t n;

	*consumed = 0;
	if (parser->header_received == FRAME_HEADER_BYTES &&
	    parser->payload_received == parser->payload_len) {
		parser->header_received = 0;
		parser->payload_received = 0;
	}
	if (len == 0)
		return 0;
	if (parser->header_received < FRAME_HEADER_BYTES) {
		*consumed = frm_read_header(parser, bytes, len);
		if (parser->header_received < FRAME_HEADER_BYTES)
			return 0;
		if (parser->payload_len > parser->payload_max)
			return err_set(err, ERR_STEP_PARSE, ERR_TOO_LARGE, NULL,
			    "frame of %zu bytes exceeds the limit of %zu bytes",
			    parser->payload_len, parser->payload_max);
	}
	n = parser->payload_len - parser->payload_received;
	if (n > len - *consumed)
		n = len - *consumed;
	if (n > 0) {
		if (frm_reserve(parser, parser->payload_received + n, err) < 0)
			return -1;
		memcpy(parser->payload + parser->payload_received,
		    bytes + *consumed, n);
		parser->payload_received += n;
		*consumed += n;
	}
	return parser->payload_received == parser->payload_len;
}
