#ifndef PORTS_HOSTLIST_H
#define PORTS_HOSTLIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "berylrail/error.h"
#include "berylrail/limits.h"

/*
 * The platform's lagging list of live and leaving hosts: entry hosts and the
 * hosts of backend servers.
 */

/** enum hostlist_role - what runs on a listed host. */
enum hostlist_role {
	HOSTLIST_ENTRY,	 /* an entry host; port is its peer port */
	HOSTLIST_SERVER, /* a backend server */
};

/** struct hostlist_entry - one line of the list. */
struct hostlist_entry {
	enum hostlist_role role;
	char name[NAME_SIZE];
	char az[NAME_SIZE];
	char address[46];
	uint16_t port;
	bool leaving;
};

/* Runs once; @entries is borrowed, NULL with @err set if the list failed. */
typedef void (*hostlist_done_fn)(void *arg,
    const struct hostlist_entry *entries, size_t nentries,
    const struct err *err);

struct hostlist;

/** struct hostlist_ops - a source of the list. */
struct hostlist_ops {
	void (*fetch)(struct hostlist *hostlist, hostlist_done_fn done,
	    void *arg);
};

struct hostlist {
	const struct hostlist_ops *ops;
};

#endif /* PORTS_HOSTLIST_H */
