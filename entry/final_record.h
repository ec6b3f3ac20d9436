#ifndef ENTRY_FINAL_RECORD_H
#define ENTRY_FINAL_RECORD_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Final records: what a process that has shut down knew of its tickets, as one
 * JSON object:
 *
 *	{"format": 1, "first": N, "next": N, "claimed": "<bits, base64>",
 *	 "answers": {"<number>": {"status", "outcome", "type", "body"}}}
 *
 * Bit i of "claimed" stands for the ticket numbered first + i. A ticket from
 * first to next whose bit is clear was never started, nor will be: the process
 * takes no new work once it writes the record.
 */

#define FREC_FORMAT 1
#define FREC_TICKETS_MAX (1U << 20)
#define FREC_ANSWERS_BYTES_MAX (1U << 20) /* of bodies */
#define FREC_SEQ_SIZE 24 /* a number in decimal, with the NUL */

struct final_record;

/** enum frec_verdict - what a record says of a ticket. */
enum frec_verdict {
	FREC_UNKNOWN, /* too old for the record, or not issued */
	FREC_NOT_RUN,
	FREC_ANSWER_RETAINED,	  /* it ended, and its answer is kept */
	FREC_ANSWER_NOT_RETAINED, /* it was claimed, and its answer is not kept
				   */
};

/** struct frec_answer - a kept answer; text is borrowed from the record. */
struct frec_answer {
	int status;
	const char *outcome;
	const char *type;
	char *body; /* for free(3) */
	size_t body_len;
};

/** frec_parse() - a record, or NULL if malformed or out of memory. */
struct final_record *frec_parse(const void *data, size_t len);

/** frec_free() - free a record; NULL is allowed. */
void frec_free(struct final_record *record);

/** frec_lookup() - what is known of a ticket; @answer is set for ANSWER. */
enum frec_verdict frec_lookup(const struct final_record *record, uint64_t seq,
    struct frec_answer *answer);

#endif /* ENTRY_FINAL_RECORD_H */
