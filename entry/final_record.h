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

#define REC_FORMAT 1
#define REC_TICKETS_MAX (1U << 20)
#define REC_ANSWERS_BYTES_MAX (1U << 20) /* of bodies */
#define REC_SEQ_SIZE 24			 /* a number in decimal, with the NUL */

struct record;

/** enum rec_verdict - what a record says of a ticket. */
enum rec_verdict {
	REC_UNKNOWN, /* too old for the record, or not issued */
	REC_NOT_RUN,
	REC_ANSWER, /* it ended, and its answer is kept */
	REC_ENDED,  /* it was claimed, and its answer is not kept */
};

/** struct rec_answer - a kept answer; text is borrowed from the record. */
struct rec_answer {
	int status;
	const char *outcome;
	const char *type;
	char *body; /* for free(3) */
	size_t body_len;
};

/** rec_parse() - a record, or NULL if malformed or out of memory. */
struct record *rec_parse(const void *data, size_t len);

/** rec_free() - free a record; NULL is allowed. */
void rec_free(struct record *record);

/** rec_look() - what is known of a ticket; @answer is set for ANSWER. */
enum rec_verdict rec_look(const struct record *record, uint64_t seq,
    struct rec_answer *answer);

#endif /* ENTRY_FINAL_RECORD_H */
