#ifndef STANDIN_BACKEND_RECORD_H
#define STANDIN_BACKEND_RECORD_H

#include <jansson.h>
#include <stdint.h>

/*
 * Record of every start and finish. A task is known by the "uid" of its body,
 * or by its Berylrail-Task header if the body has none, so that two starts of
 * the same work count as such under whatever id they came.
 */

struct start_record;

/** rec_start() - a task starts now; the record lives for ever. */
struct start_record *rec_start(const char *uid, const char *task,
    const char *server);

/** rec_finish() - the task has run to its end. */
void rec_finish(struct start_record *record);

/** rec_list() - records whose uid begins with @prefix, as JSON. */
json_t *rec_list(const char *prefix);

/** rec_summary() - counts, and the uids that started more than once. */
json_t *rec_summary(void);

/** rec_clear() - forget all starts; running tasks are kept. */
void rec_clear(void);

#endif /* STANDIN_BACKEND_RECORD_H */
