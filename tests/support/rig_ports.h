#ifndef TESTS_SUPPORT_RIG_PORTS_H
#define TESTS_SUPPORT_RIG_PORTS_H

#include <event2/event.h>

#include "ports/blobs.h"
#include "ports/peer.h"
#include "ports/table.h"

/* Platform and peers in memory, with the faults that a test asks for. */

#define RIG_ROWS_MAX 64

/** enum rig_fault - what befalls the next calls. */
enum rig_fault {
	RIG_NO_FAULT,
	RIG_UNAVAILABLE, /* certainly nothing was done */
	RIG_LOST_BEFORE, /* not done, and the caller can't know */
	RIG_CONFLICT,	 /* a conflict without a row to blame */
	RIG_LOST_AFTER,	 /* done, and the caller can't know */
};

/** struct rig_table - rows by key; calls are answered from the event loop. */
struct rig_table {
	struct table table;
	struct event_base *base;
	enum rig_fault write_fault;
	enum rig_fault read_fault;
	size_t nfaults; /* calls that still meet the fault */
	size_t nwrites; /* transactions seen */
	size_t nrows;
	struct {
		char pk[TABLE_KEY_SIZE];
		char doc[512];
	} rows[RIG_ROWS_MAX];
};

void rig_table_init(struct rig_table *fake, struct event_base *base);
/** rig_table_put() - a row that another host has written. */
void rig_table_put(struct rig_table *fake, const char *pk, const char *doc);

/** struct rig_blobs - one object. */
struct rig_blobs {
	struct blobs blobs;
	struct event_base *base;
	size_t nfaults; /* calls that still fail */
	size_t nputs, ngets;
	char name[256];
	char *data;
	size_t len;
};

void rig_blobs_init(struct rig_blobs *fake, struct event_base *base);

/** struct rig_peers - forwards to another API, or fails. */
struct rig_peers {
	struct peers peers;
	struct api *target; /* NULL: fail with @code */
	enum err_code code;
	size_t nforwards;
	char path[512], query[512];
};

void rig_peers_init(struct rig_peers *fake);

#endif /* TESTS_SUPPORT_RIG_PORTS_H */
