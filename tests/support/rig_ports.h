#ifndef TESTS_SUPPORT_RIG_PORTS_H
#define TESTS_SUPPORT_RIG_PORTS_H

#include <event2/event.h>

#include "ports/blobs.h"
#include "ports/peer.h"
#include "ports/table.h"

/* In-memory fakes of the platform and of peers, with injected faults. */

#define RIG_ROWS_MAX 64

/** enum rig_fault - fault of the next calls. */
enum rig_fault {
	RIG_NO_FAULT,
	RIG_UNAVAILABLE, /* not executed; the status is UNAVAILABLE */
	RIG_LOST_BEFORE, /* not executed; the status is UNKNOWN */
	RIG_CONFLICT,	 /* CONFLICT, although no row conflicts */
	RIG_LOST_AFTER,	 /* executed; the status is UNKNOWN */
};

/** struct rig_table - rows by key; callbacks run from the event loop. */
struct rig_table {
	struct table table;
	struct event_base *base;
	enum rig_fault write_fault;
	enum rig_fault read_fault;
	size_t nfaults; /* number of next calls with a fault */
	size_t nwrites; /* transactions received */
	size_t nrows;
	struct {
		char pk[TABLE_KEY_SIZE];
		char doc[512];
	} rows[RIG_ROWS_MAX];
};

void rig_table_init(struct rig_table *fake, struct event_base *base);

/** rig_table_put() - add a row, as if another host had written it. */
void rig_table_put(struct rig_table *fake, const char *pk, const char *doc);

/** struct rig_blobs - a store of one object. */
struct rig_blobs {
	struct blobs blobs;
	struct event_base *base;
	size_t nfaults; /* number of next calls that fail */
	size_t nputs, ngets;
	char name[256];
	char *data;
	size_t len;
};

void rig_blobs_init(struct rig_blobs *fake, struct event_base *base);

/** struct rig_peers - forwards requests to another API, or fails. */
struct rig_peers {
	struct peers peers;
	struct api *target; /* NULL: forwards fail with @code */
	enum err_code code;
	size_t nforwards;
	char path[512], query[512];
};

void rig_peers_init(struct rig_peers *fake);

#endif /* TESTS_SUPPORT_RIG_PORTS_H */
