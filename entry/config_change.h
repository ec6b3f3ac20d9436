#ifndef ENTRY_CONFIG_CHANGE_H
#define ENTRY_CONFIG_CHANGE_H

#include <event2/util.h>

#include "entry/config_sync_internal.h"

/* A change that an operator requested; see config_change.c. */

#define CONFIG_OPERATOR_NAME_SIZE 160 /* bytes, with the NUL */

struct config_change {
	struct config_sync *sync;
	struct cfgop_change requested;
	char operator_name[CONFIG_OPERATOR_NAME_SIZE];
	uint64_t digest;       /* checksum of the requested operations */
	uint64_t base_version; /* version that the last attempt was based on */
	uint64_t start_us;     /* monotonic */
	unsigned attempts;
	bool maybe_written;  /* a transaction's reply was lost */
	bool base_outdated;  /* another change was written first */
	bool awaiting_fetch; /* a fetch is due before the next step */
	json_t *row;	     /* document of the new version's row; owned */
	/* Error of the last attempt. It is the reply if the row of the change's
	 * id does not exist; after a 409 the attempt is then repeated. */
	struct err pending_err;
	int pending_status; /* HTTP status of pending_err; 0: none */
	struct event *timer;
	api_reply_fn reply;
	void *arg;
	TAILQ_ENTRY(config_change) entry;
};

/** config_change_free() - free a change that is in no queue. */
void config_change_free(struct config_change *change);

/** config_change_on_timer() - callback of a change's timer. */
void config_change_on_timer(evutil_socket_t fd, short events, void *arg);

#endif /* ENTRY_CONFIG_CHANGE_H */
