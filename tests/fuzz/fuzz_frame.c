/*
 * Fuzz target: the frame parser of the peer protocol, fed in chunks as from a
 * socket, and the decoder of the payloads. The first byte of the input
 * determines the size of the chunks.
 */
#include <stdint.h>
#include <stdlib.h>

#include "core/frame.h"
#include "proto/peer.pb-c.h"

#define PAYLOAD_BYTES_MAX 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
fuzz_decode(const struct frame_parser *parser)
{
	Berylrail__Frame *frame;

	frame = berylrail__frame__unpack(NULL, parser->payload_len,
	    parser->payload);
	if (frame != NULL)
		berylrail__frame__free_unpacked(frame, NULL);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct frame_parser parser;
	struct err err;
	size_t chunk, consumed;
	int status;

	if (size == 0)
		return 0;
	chunk = (size_t)data[0] + 1;
	data++;
	size--;
	frm_init(&parser, PAYLOAD_BYTES_MAX);
	while (size > 0) {
		status = frm_feed(&parser, data, size < chunk ? size : chunk,
		    &consumed, &err);
		if (status == -1)
			break;
		if (consumed == 0 && status == 0)
			abort(); /* the parser made no progress */
		if (status == 1) {
			if (parser.payload_len > PAYLOAD_BYTES_MAX)
				abort();
			fuzz_decode(&parser);
		}
		data += consumed;
		size -= consumed;
	}
	frm_release(&parser);
	return 0;
}
