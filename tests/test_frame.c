#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "core/frame.h"

/*
 * Feeds @len bytes in chunks of @chunk bytes and compares each payload with
 * @expected. Returns the number of frames, or -1 on a parser error.
 */
static int
feed_chunks(struct frame_parser *parser, const uint8_t *data, size_t len,
    size_t chunk, const uint8_t *expected, size_t expected_len)
{
	struct err err;
	size_t consumed, n, offset = 0;
	int rc, frames = 0;

	while (offset < len) {
		n = len - offset < chunk ? len - offset : chunk;
		rc = frm_feed(parser, data + offset, n, &consumed, &err);
		if (rc < 0)
			return -1;
		cr_assert_leq(consumed, n);
		offset += consumed;
		if (rc == 1) {
			cr_assert_eq(parser->payload_len, expected_len);
			if (expected_len > 0)
				cr_assert_arr_eq(parser->payload, expected,
				    expected_len);
			frames++;
		}
	}
	return frames;
}

Test(frame, frames_are_complete_for_any_chunk_size)
{
	uint8_t stream[3 * (FRAME_HEADER_BYTES + 300)];
	uint8_t payload[300];
	struct frame_parser parser;
	size_t i, chunk;

	for (i = 0; i < sizeof(payload); i++)
		payload[i] = (uint8_t)(i * 7);
	for (i = 0; i < 3; i++) {
		frm_header(stream + i * 304, sizeof(payload));
		memcpy(stream + i * 304 + FRAME_HEADER_BYTES, payload,
		    sizeof(payload));
	}
	for (chunk = 1; chunk <= sizeof(stream); chunk++) {
		frm_init(&parser, 300);
		cr_assert_eq(feed_chunks(&parser, stream, sizeof(stream), chunk,
				 payload, sizeof(payload)),
		    3, "chunks of %zu bytes", chunk);
		frm_release(&parser);
	}
}

Test(frame, empty_payload_is_a_frame)
{
	const uint8_t stream[8] = { 0 };
	struct frame_parser parser;

	frm_init(&parser, 10);
	cr_assert_eq(feed_chunks(&parser, stream, 8, 8, stream, 0), 2);
	cr_assert_eq(feed_chunks(&parser, stream, 8, 1, stream, 0), 2);
	frm_release(&parser);
}

Test(frame, one_byte_over_limit_is_rejected)
{
	uint8_t header[FRAME_HEADER_BYTES];
	struct frame_parser parser;
	struct err err;
	size_t consumed;

	frm_init(&parser, 1000);
	frm_header(header, 1000);
	cr_assert_eq(frm_feed(&parser, header, 4, &consumed, &err), 0);
	frm_release(&parser);
	frm_header(header, 1001);
	cr_assert_eq(frm_feed(&parser, header, 4, &consumed, &err), -1);
	cr_assert_eq(err.code, ERR_TOO_LARGE);
	cr_assert_eq(err.step, ERR_STEP_PARSE);
	frm_release(&parser);
}

Test(frame, allocation_follows_received_bytes)
{
	struct frame_parser parser;
	struct err err;
	size_t consumed;
	uint8_t data[FRAME_HEADER_BYTES + 1] = { 0 };

	frm_init(&parser, 8U << 20);
	frm_header(data, 8U << 20);
	cr_assert_eq(frm_feed(&parser, data, sizeof(data), &consumed, &err), 0);
	cr_assert_lt(parser.allocated, 1024);
	frm_release(&parser);
}

/* Streams of frames of random length, fed in chunks of random size. */
Test(frame, random_streams_in_random_chunks)
{
	struct frame_parser parser;
	uint8_t stream[4096], bytes[64];
	size_t lens[64], len, n, offset, consumed, chunk, frame;
	struct err err;
	unsigned seed;
	int rc;

	memset(bytes, 0x5a, sizeof(bytes));
	for (seed = 1; seed <= 300; seed++) {
		srand(seed);
		for (n = 0, len = 0; n < 60; n++) {
			lens[n] = (size_t)(rand() % 64);
			frm_header(stream + len, lens[n]);
			memcpy(stream + len + 4, bytes, lens[n]);
			len += 4 + lens[n];
		}
		frm_init(&parser, 64);
		for (offset = 0, frame = 0; offset < len; offset += consumed) {
			chunk = (size_t)(rand() % 40) + 1;
			if (chunk > len - offset)
				chunk = len - offset;
			rc = frm_feed(&parser, stream + offset, chunk,
			    &consumed, &err);
			cr_assert_geq(rc, 0);
			if (rc == 1)
				cr_assert_eq(parser.payload_len, lens[frame++],
				    "seed %u", seed);
		}
		cr_assert_eq(frame, n, "seed %u", seed);
		frm_release(&parser);
	}
}
