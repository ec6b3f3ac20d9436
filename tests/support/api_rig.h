#ifndef TESTS_SUPPORT_API_RIG_H
#define TESTS_SUPPORT_API_RIG_H

#include "core/ticket.h"
#include "entry/api.h"
#include "tests/support/fake_clock.h"
#include "tests/support/fake_engine.h"
#include "tests/support/rig_ports.h"

/* Two entry hosts' APIs, e1 and e2, over fakes that they share. */

/** struct rig_reply - the last reply to a request. */
struct rig_reply {
	int n; /* replies so far: must never pass 1 */
	int status;
	char outcome[32];
	char ticket[TICKET_SIZE];
	char *body; /* with a NUL */
};

struct rig {
	struct event_base *base;
	struct fake_clock clock;
	struct rig_table table;
	struct rig_blobs blobs;
	struct rig_peers peers[2]; /* of e1, of e2 */
	struct api *api[2];
};

extern struct rig rig;

void rig_setup(void);
void rig_teardown(void);

/** rig_run_loop() - run the event loop until nothing is due within @ms. */
void rig_run_loop(long ms);

/** rig_send() - one request to host @host (0 or 1); strings may be NULL. */
void rig_send(int host, enum api_method method, const char *path,
    const char *query, const char *key, const char *body,
    struct rig_reply *reply);

/** rig_ticket() - a fresh ticket of host @host. */
void rig_ticket(int host, char ticket[TICKET_SIZE]);

/** rig_job() - the body of a submission of @ntasks tasks. */
const char *rig_job(const char *ticket, size_t ntasks);

/** rig_reply_free() - forget a reply, so that it can be used again. */
void rig_reply_free(struct rig_reply *reply);

#endif /* TESTS_SUPPORT_API_RIG_H */
