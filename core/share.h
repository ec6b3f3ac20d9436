#ifndef CORE_SHARE_H
#define CORE_SHARE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Division of a backend server's task slots among the entry hosts of its
 * availability zone. It determines how many of them this host may use.
 */

/** struct shr_input - input of a policy; the pointers are borrowed. */
struct shr_input {
	const char *server;
	uint32_t slots; /* of the server, for all entry hosts together */
	const char *self;
	const char *const *hosts; /* live entry hosts, including @self */
	size_t nhosts;		  /* 0: not known; treated as 1 */
	uint32_t lent;		  /* slots in unexpired loans to other hosts */
	uint32_t borrowed;	 /* slots in unexpired loans from other hosts */
	uint32_t others_running; /* tasks of other hosts, as last reported */
};

/** struct shr_ops - a policy for the division. */
struct shr_ops {
	const char *name;
	/* Returns the number of slots that this host may use. */
	uint32_t (*limit)(const struct shr_input *input);
};

/**
 * shr_each - every host may use all slots and handles refusals by the server;
 * the naive policy.
 */
extern const struct shr_ops shr_each;
/** shr_split - slots are divided among the hosts; unused ones are lent. */
extern const struct shr_ops shr_split;
/** shr_seen - the slots that other hosts did not use, as last reported. */
extern const struct shr_ops shr_seen;

/** shr_own() - this host's part of the divided slots, without loans. */
uint32_t shr_own(const struct shr_input *input);

#endif /* CORE_SHARE_H */
