#ifndef CORE_PICK_H
#define CORE_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <sys/tree.h>

/*
 * Choice of the backend server for a task. A pool is the set of servers that
 * one pair of selectors matches; a server may be a member of any number of
 * pools. Each pool indexes its members in buckets by speed, so that a choice
 * examines at most PICK_BUCKETS lists.
 */

/* Buckets, fastest first. The speed of adjacent ones differs by 2^(1/4). */
#define PICK_BUCKETS 32
#define PICK_TIERS 2 /* 0: own availability zone, 1: others */

struct pick_pool;

/** struct pick_server - a server; embedded in its owner's struct. */
struct pick_server {
	double speed;	      /* relative to a server of speed 1 */
	uint32_t running;     /* tasks that this host runs on the server */
	uint32_t limit;	      /* maximum of @running */
	uint32_t slots;	      /* of the server, for all entry hosts together */
	bool usable;	      /* new tasks may be started on it */
	uint64_t next_end_us; /* when a running task is expected to end */
	TAILQ_HEAD(, pick_member) members;
};

/** struct pick_member - a server's membership in a pool; owned by the pool. */
struct pick_member {
	struct pick_pool *pool;
	struct pick_server *server;
	size_t index; /* in the pool's members */
	int tier;
	/* State of the server when the member was last indexed: */
	int bucket;
	uint32_t limit; /* 0 if the server was not usable */
	uint32_t slots; /* 0 if the server was not usable */
	bool free;	/* in the tier's free list of the bucket */
	bool full;	/* in the tier's tree of full members of the bucket */
	uint64_t next_end_us;
	TAILQ_ENTRY(pick_member) free_entry;
	RB_ENTRY(pick_member) full_entry;
	TAILQ_ENTRY(pick_member) server_entry;
};

TAILQ_HEAD(pick_members, pick_member);
RB_HEAD(pick_tree, pick_member);

int pick_full_cmp(const struct pick_member *a, const struct pick_member *b);
RB_PROTOTYPE(pick_tree, pick_member, full_entry, pick_full_cmp)

/** struct pick_tier - index of the usable members of one tier, by bucket. */
struct pick_tier {
	struct pick_members free[PICK_BUCKETS];
	struct pick_tree full[PICK_BUCKETS]; /* not free, by next_end_us */
	uint32_t limit_sum[PICK_BUCKETS];    /* sum of the members' limits */
	uint32_t slot_sum[PICK_BUCKETS];     /* sum of the members' slots */
	double capacity[PICK_BUCKETS];	     /* limit_sum * bucket's speed */
	uint32_t nfree;			     /* members with a free slot */
};

/** struct pick_task - the task that a server is chosen for. */
struct pick_task {
	double work_us;	      /* expected run time at speed 1 */
	double work_ahead_us; /* work served before it, plus its own work */
	uint64_t now_us;
	uint64_t random;
};

/** struct pick_ops - a policy for the choice. */
struct pick_ops {
	const char *name;
	/* Returns a server with a free slot, or NULL if the task is expected
	 * to end sooner when it waits for a faster one. The tier has a member
	 * with a free slot. */
	struct pick_server *(*choose)(struct pick_pool *pool, int tier,
	    const struct pick_task *task);
};

/** struct pick_pool - the servers that match one pair of selectors. */
struct pick_pool {
	const struct pick_ops *ops;
	struct pick_tier tiers[PICK_TIERS];
	struct pick_member **members;
	size_t nmembers;
	size_t members_size;
	size_t cursor; /* index of the last member tried by round robin */
};

/** pick_round_robin - the next server with a free slot; the naive policy. */
extern const struct pick_ops pick_round_robin;
/** pick_random_two - the less loaded of two servers drawn at random. */
extern const struct pick_ops pick_random_two;
/**
 * pick_earliest - the fastest server with a free slot, or none if the task is
 * expected to end sooner when it waits for a faster one.
 */
extern const struct pick_ops pick_earliest;

/** pick_server_init() - initialize an unusable server that is in no pool. */
void pick_server_init(struct pick_server *server);

/** pick_pool_init() - initialize an empty pool. */
void pick_pool_init(struct pick_pool *pool, const struct pick_ops *ops);

/** pick_pool_clear() - remove all members. */
void pick_pool_clear(struct pick_pool *pool);

/** pick_pool_add() - add a server; 0, or -1 if memory is exhausted. */
int pick_pool_add(struct pick_pool *pool, struct pick_server *server, int tier);

/** pick_pool_remove() - remove a server if it is a member. */
void pick_pool_remove(struct pick_pool *pool, struct pick_server *server);

/** pick_pool_contains() - is a server a member? */
bool pick_pool_contains(const struct pick_pool *pool,
    const struct pick_server *server);

/** pick_server_remove() - remove a server from all its pools. */
void pick_server_remove(struct pick_server *server);

/** pick_server_update() - index a server again after any field changed. */
void pick_server_update(struct pick_server *server);

/**
 * pick_choose() - choose a server of a tier.
 *
 * Return: the server, or NULL if no member has a free slot or the policy
 * prefers to wait.
 */
struct pick_server *pick_choose(struct pick_pool *pool, int tier,
    const struct pick_task *task);

/** pick_capacity() - work that the usable members complete per unit of time. */
double pick_capacity(const struct pick_pool *pool, int tier);

/** pick_best_speed() - speed of the fastest usable member, 0 if none. */
double pick_best_speed(const struct pick_pool *pool, int tier);

/** pick_bucket_speed() - the speed that represents a bucket. */
double pick_bucket_speed(int bucket);

#endif /* CORE_PICK_H */
