#ifndef STANDIN_BACKEND_RECORD_H
#define STANDIN_BACKEND_RECORD_H

#include <jansson.h>
#include <stdint.h>

/*
 * Records of all starts and completions. A task is identified by the "uid" of
 * its body, or by its Berylrail-Task header if the body has none. So repeated
 * starts of a task are recognized even if they come with different task ids.
 */

struct start_record;

/** rec_start() - record that a task starts now; the record is never freed. */
struct start_record *rec_start(const char *uid, const char *task,
    const char *server);

/** rec_finish() - record that the task has completed. */
void rec_finish(struct start_record *record);

/** rec_list() - records whose uid begins with @prefix, as JSON. */
json_t *rec_list(const char *prefix);

/** rec_summary() - counts, and uids started more than once, as JSON. */
json_t *rec_summary(void);

/**
 * rec_clear() - reset the counts of starts. The records of a uid are not listed
 * until it starts again; those of running tasks stay valid.
 */
void rec_clear(void);

#endif /* STANDIN_BACKEND_RECORD_H */
