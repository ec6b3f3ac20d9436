#ifndef CORE_PICK_H
#define CORE_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <sys/tree.h>

/*
 * Which backend server gets a task. A pool is the set of servers that one
 * pair of selectors matches; a server is a member of any number of pools. In
 * each pool the members with a free slot stand in buckets by speed, so that a
 * choice looks at no more than PICK_BUCKETS lists.
 */

#define PICK_BUCKETS 32 /* a quarter of a doubling each, fastest first */
#define PICK_TIERS 2	/* own availability zone, others */

struct pick_pool;

/** struct pick_server - a server as the choice sees it; embedded. */
struct pick_server {
	double speed;	      /* relative to a server of speed 1 */
	uint32_t running;     /* tasks of this host */
	uint32_t limit;	      /* of running tasks */
	uint32_t slots;	      /* of the server, all entry hosts together */
	bool usable;	      /* may get new work */
	uint64_t next_end_us; /* when a running task is expected to end */
	TAILQ_HEAD(, pick_member) members;
};

/** struct pick_member - a server in a pool; owned by the pool. */
struct pick_member {
	struct pick_pool *pool;
	struct pick_server *server;
	size_t index; /* in the pool's members */
	int tier;
	/* As last filed: */
	int bucket;
	uint32_t limit; /* 0 if it was not usable */
	uint32_t slots; /* 0 if it was not usable */
	bool free;	/* stands in the pool's free list of its bucket */
	bool full;	/* stands in the pool's tree of full ones */
	uint64_t next_end_us;
	TAILQ_ENTRY(pick_member) free_entry;
	RB_ENTRY(pick_member) full_entry;
	TAILQ_ENTRY(pick_member) server_entry;
};

TAILQ_HEAD(pick_members, pick_member);
RB_HEAD(pick_tree, pick_member);

int pick_full_cmp(const struct pick_member *a, const struct pick_member *b);
RB_PROTOTYPE(pick_tree, pick_member, full_entry, pick_full_cmp)

/** struct pick_tier - usable members of one tier. */
struct pick_tier {
	struct pick_members free[PICK_BUCKETS];
	struct pick_tree full[PICK_BUCKETS]; /* usable others, by next_us */
	uint32_t limit_sum[PICK_BUCKETS];    /* sum of limits */
	uint32_t slot_sum[PICK_BUCKETS];     /* sum of slots */
	double capacity[PICK_BUCKETS];	     /* sum of limit * bucket's speed */
	uint32_t nfree;			     /* members with a free slot */
};

/** struct pick_task - what a choice depends on. */
struct pick_task {
	double work_us;	      /* expected run time at speed 1 */
	double work_ahead_us; /* work that comes first, and this task's own */
	uint64_t now_us;
	uint64_t random;
};

/** struct pick_ops - a way to choose. */
struct pick_ops {
	const char *name;
	/* A member with a free slot, or NULL: none is free, or waiting for a
	 * faster one is expected to end sooner. */
	struct pick_server *(*choose)(struct pick_pool *pool, int tier,
	    const struct pick_task *task);
};

/** struct pick_pool - the servers that may run some tasks. */
struct pick_pool {
	const struct pick_ops *ops;
	struct pick_tier tiers[PICK_TIERS];
	struct pick_member **members;
	size_t nmembers;
	size_t members_size;
	size_t cursor; /* of round robin */
};

/** pick_round_robin - naive: the next one with a free slot. */
extern const struct pick_ops pick_round_robin;
/** pick_random_two - the less busy of two drawn at random. */
extern const struct pick_ops pick_random_two;
/** pick_earliest - by the earliest expected end, waiting if that pays. */
extern const struct pick_ops pick_earliest;

void pick_server_init(struct pick_server *server);

/** pick_pool_init() - an empty pool. */
void pick_pool_init(struct pick_pool *pool, const struct pick_ops *ops);

/** pick_pool_clear() - remove all members. */
void pick_pool_clear(struct pick_pool *pool);

/** pick_pool_add() - make a server a member; -1 when out of memory. */
int pick_pool_add(struct pick_pool *pool, struct pick_server *server, int tier);

/** pick_pool_remove() - remove a server if it is a member. */
void pick_pool_remove(struct pick_pool *pool, struct pick_server *server);

/** pick_pool_contains() - is a server a member? */
bool pick_pool_contains(const struct pick_pool *pool,
    const struct pick_server *server);

/** pick_server_remove() - remove a server from all its pools. */
void pick_server_remove(struct pick_server *server);

/** pick_server_update() - file a server anew after any field changed. */
void pick_server_update(struct pick_server *server);

/** pick_choose() - choose a server of a tier, or NULL. */
struct pick_server *pick_choose(struct pick_pool *pool, int tier,
    const struct pick_task *task);

/** pick_capacity() - work that usable members of a tier do in a unit of time.
 */
double pick_capacity(const struct pick_pool *pool, int tier);

/** pick_best_speed() - of the fastest usable member of a tier, 0 if none. */
double pick_best_speed(const struct pick_pool *pool, int tier);

/** pick_bucket_speed() - the speed that a bucket stands for. */
double pick_bucket_speed(int bucket);

#endif /* CORE_PICK_H */
