#ifndef TESTS_SUPPORT_FAKE_PORTS_H
#define TESTS_SUPPORT_FAKE_PORTS_H

#include <event2/event.h>

#include "ports/blobs.h"
#include "ports/peer.h"
#include "ports/table.h"

/* Platform and peers in memory, with the faults that a test asks for. */

#define FAKE_ROWS_MAX 64

/** enum fake_fault - what befalls the next calls. */
enum fake_fault {
	FAKE_FINE,
	FAKE_DOWN,	  /* certainly nothing was done */
	FAKE_LOST_BEFORE, /* not done, and the caller can't know */
	FAKE_LOST_AFTER,  /* done, and the caller can't know */
};

/** struct fake_table - rows by key; calls are answered from the event loop. */
struct fake_table {
	struct table table;
	struct event_base *base;
	enum fake_fault write_fault;
	enum fake_fault read_fault;
	size_t nfaults; /* calls that still meet the fault */
	size_t nwrites; /* transactions seen */
	size_t nrows;
	struct {
		char pk[TABLE_KEY_SIZE];
		char doc[512];
	} rows[FAKE_ROWS_MAX];
};

void fake_table_init(struct fake_table *fake, struct event_base *base);
/** fake_table_put() - a row that another host has written. */
void fake_table_put(struct fake_table *fake, const char *pk, const char *doc);

/** struct fake_blobs - one object. */
struct fake_blobs {
	struct blobs blobs;
	struct event_base *base;
	size_t nfaults; /* calls that still fail */
	size_t nputs, ngets;
	char name[256];
	char *data;
	size_t len;
};

void fake_blobs_init(struct fake_blobs *fake, struct event_base *base);

/** struct fake_peers - forwards to another API, or fails. */
struct fake_peers {
	struct peers peers;
	struct api *target; /* NULL: fail with @code */
	enum err_code code;
	size_t nforwards;
	char path[512], query[512];
};

void fake_peers_init(struct fake_peers *fake);

#endif /* TESTS_SUPPORT_FAKE_PORTS_H */
