#ifndef CORE_SHARE_H
#define CORE_SHARE_H

#include <stddef.h>
#include <stdint.h>

/*
 * How many of a backend server's task slots this entry host may use, when all
 * entry hosts of its availability zone share them.
 */

/** struct shr_input - what the answer depends on; all borrowed. */
struct shr_input {
	const char *server;
	uint32_t slots; /* of the server, for all entry hosts together */
	const char *self;
	const char *const *hosts; /* live entry hosts, @self among them */
	size_t nhosts;		  /* 0: not known yet, as if alone */
	uint32_t lent;		  /* to other hosts, not yet expired */
	uint32_t borrowed;	  /* from other hosts, not yet expired */
	uint32_t others_running;  /* tasks of other hosts, as last seen */
};

/** struct shr_ops - a way to share. */
struct shr_ops {
	const char *name;
	uint32_t (*limit)(const struct shr_input *input);
};

/** shr_each - naive: every host counts for itself and takes refusals. */
extern const struct shr_ops shr_each;
/** shr_split - slots are divided among the hosts; unused ones are lent. */
extern const struct shr_ops shr_split;
/** shr_seen - what other hosts were last seen to leave free. */
extern const struct shr_ops shr_seen;

/** shr_own() - this host's part when slots are divided, without loans. */
uint32_t shr_own(const struct shr_input *input);

#endif /* CORE_SHARE_H */
