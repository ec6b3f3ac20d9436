/*
 * Fuzz target: final records, as read from the object store.
 */

#include <stdlib.h>

#include "entry/final_record.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct rec_answer answer;
	struct final_record *record;
	uint64_t seq;

	record = rec_parse(data, size);
	for (seq = 0; record != NULL && seq < 64; seq++) {
		if (rec_lookup(record, seq, &answer) == REC_ANSWER_RETAINED)
			free(answer.body);
	}
	rec_free(record);
	return 0;
}
