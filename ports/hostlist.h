#ifndef PORTS_HOSTLIST_H
#define PORTS_HOSTLIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"

/*
 * Interface to the platform's list of live and leaving hosts: entry hosts and
 * backend servers. The list may be out of date.
 */

/** enum hostlist_role - what runs on a listed host. */
enum hostlist_role {
	HOSTLIST_ENTRY,	 /* an entry host; @port is its peer port */
	HOSTLIST_SERVER, /* a backend server */
};

/** struct hostlist_entry - one host of the list. */
struct hostlist_entry {
	enum hostlist_role role;
	char name[NAME_SIZE];
	char az[NAME_SIZE];
	char address[46];
	uint16_t port;
	bool leaving;
};

/*
 * Called once at the end of a fetch. @entries is borrowed; on failure it is
 * NULL and @err is set.
 */
typedef void (*hostlist_done_fn)(void *arg,
    const struct hostlist_entry *entries, size_t nentries,
    const struct err *err);

struct hostlist;

/** struct hostlist_ops - operations of a source of the list. */
struct hostlist_ops {
	void (*fetch)(struct hostlist *hostlist, hostlist_done_fn done,
	    void *arg);
};

struct hostlist {
	const struct hostlist_ops *ops;
};

#endif /* PORTS_HOSTLIST_H */
