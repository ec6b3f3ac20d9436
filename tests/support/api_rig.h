#ifndef TESTS_SUPPORT_API_RIG_H
#define TESTS_SUPPORT_API_RIG_H

#include "core/ticket.h"
#include "entry/api.h"
#include "tests/support/fake_clock.h"
#include "tests/support/fake_engine.h"
#include "tests/support/rig_ports.h"

/*
 * Fixture with the APIs of two entry hosts, e1 and e2, which share fakes of the
 * clock, the engine, the table and the object store.
 */

/** struct rig_reply - the last reply to a request. */
struct rig_reply {
	int n; /* number of replies, at most 1 */
	int status;
	char outcome[32];
	char ticket[TICKET_SIZE];
	char *body; /* with a terminating NUL */
};

struct rig {
	struct event_base *base;
	struct fake_clock clock;
	struct rig_table table;
	struct rig_blobs blobs;
	struct rig_peers peers[2]; /* those of e1 and of e2 */
	struct api *api[2];
};

extern struct rig rig;

void rig_setup(void);

/** rig_setup_simulated() - rig_setup() with simulated time, for tests without
 * sockets: timers that end within a wait are handled within it. */
void rig_setup_simulated(void);

void rig_teardown(void);

/** rig_run_loop() - run the event loop for @ms milliseconds. */
void rig_run_loop(long ms);

/**
 * rig_send() - send a request to a host.
 * @host: 0 for e1, 1 for e2.
 * @query, @key, @body: may be NULL.
 */
void rig_send(int host, enum api_method method, const char *path,
    const char *query, const char *key, const char *body,
    struct rig_reply *reply);

/** rig_ticket() - request a ticket from a host. */
void rig_ticket(int host, char ticket[TICKET_SIZE]);

/**
 * rig_job() - body of a submission of @ntasks tasks, valid until the next call.
 * @ticket: may be NULL.
 */
const char *rig_job(const char *ticket, size_t ntasks);

/** rig_reply_free() - free and reset a reply, so that it can be reused. */
void rig_reply_free(struct rig_reply *reply);

#endif /* TESTS_SUPPORT_API_RIG_H */
