#ifndef ENTRY_FINAL_RECORD_H
#define ENTRY_FINAL_RECORD_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Final records. A process that shuts down stores the state of its tickets as
 * one JSON object, so that other hosts can reply in its place:
 *
 *	{"format": 1, "first": N, "next": N, "claimed": "<bits, base64>",
 *	 "answers": {"<number>": {"status", "outcome", "type", "body"}}}
 *
 * Bit i of "claimed" stands for the ticket numbered first + i. A ticket from
 * first to next - 1 whose bit is clear was never claimed and never will be,
 * because the process accepts no new work once it renders the record.
 */

#define REC_FORMAT 1
#define REC_TICKETS_MAX (1U << 20)
#define REC_ANSWERS_BYTES_MAX (1U << 20) /* total size of the bodies */
#define REC_SEQ_SIZE 24			 /* decimal number with the NUL */

struct final_record;

/** enum rec_verdict - state of a ticket according to a record. */
enum rec_verdict {
	REC_UNKNOWN,	     /* outside the record: too old, or not issued */
	REC_NOT_RUN,	     /* never claimed */
	REC_ANSWER_RETAINED, /* ended; the record has its answer */
	REC_ANSWER_NOT_RETAINED, /* claimed; the record has no answer */
};

/** struct rec_answer - an answer; strings are borrowed from the record. */
struct rec_answer {
	int status;
	const char *outcome;
	const char *type;
	char *body; /* for free(3) */
	size_t body_len;
};

/** rec_parse() - parse a record; NULL if malformed or out of memory. */
struct final_record *rec_parse(const void *data, size_t len);

/** rec_free() - free a record; NULL is allowed. */
void rec_free(struct final_record *record);

/**
 * rec_lookup() - look up a ticket by its sequence number.
 * @answer: set if the verdict is REC_ANSWER_RETAINED; the caller frees its
 *          body.
 */
enum rec_verdict rec_lookup(const struct final_record *record, uint64_t seq,
    struct rec_answer *answer);

#endif /* ENTRY_FINAL_RECORD_H */
