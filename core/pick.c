/*
 * Choice of a backend server. See docs/design/dispatch.md.
 *
 * Invariant: a member is in the free list of its bucket if and only if its
 * server was usable and had a free slot at the last pick_server_update(). The
 * sums of a tier cover exactly its usable members.
 */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/pick.h"

#define PICK_BUCKETS_PER_DOUBLING 4
/* A task waits for a faster server only if it is expected to end sooner by this
 * factor. */
#define PICK_WAIT_GAIN_MIN 1.5
#define PICK_UNIT_SPEED_BUCKET 16 /* bucket of speed 1, in the middle */

static int
pick_speed_bucket(double speed)
{
	double x =
	    PICK_UNIT_SPEED_BUCKET - log2(speed) * PICK_BUCKETS_PER_DOUBLING;

	if (x < 0)
		return 0;
	if (x >= PICK_BUCKETS - 1)
		return PICK_BUCKETS - 1;
	return (int)lround(x);
}

double
pick_bucket_speed(int bucket)
{
	return exp2((double)(PICK_UNIT_SPEED_BUCKET - bucket) /
	    PICK_BUCKETS_PER_DOUBLING);
}

int
pick_full_cmp(const struct pick_member *a, const struct pick_member *b)
{
	if (a->next_end_us != b->next_end_us)
		return a->next_end_us < b->next_end_us ? -1 : 1;
	return a->index < b->index ? -1 : a->index > b->index;
}

RB_GENERATE(pick_tree, pick_member, full_entry, pick_full_cmp)

void
pick_server_init(struct pick_server *server)
{
	*server = (struct pick_server){ .speed = 1.0 };
	TAILQ_INIT(&server->members);
}

void
pick_pool_init(struct pick_pool *pool, const struct pick_ops *ops)
{
	int tier, bucket;

	memset(pool, 0, sizeof(*pool));
	pool->ops = ops;
	for (tier = 0; tier < PICK_TIERS; tier++) {
		for (bucket = 0; bucket < PICK_BUCKETS; bucket++) {
			TAILQ_INIT(&pool->tiers[tier].free[bucket]);
			RB_INIT(&pool->tiers[tier].full[bucket]);
		}
	}
}

static void
pick_member_unindex(struct pick_member *member)
{
	struct pick_tier *tier = &member->pool->tiers[member->tier];

	if (member->free) {
		TAILQ_REMOVE(&tier->free[member->bucket], member, free_entry);
		tier->nfree--;
		member->free = false;
	}
	if (member->full) {
		RB_REMOVE(pick_tree, &tier->full[member->bucket], member);
		member->full = false;
	}
	if (member->limit != 0) {
		tier->limit_sum[member->bucket] -= member->limit;
		tier->capacity[member->bucket] =
		    tier->limit_sum[member->bucket] *
		    pick_bucket_speed(member->bucket);
		member->limit = 0;
	}
	tier->slot_sum[member->bucket] -= member->slots;
	member->slots = 0;
}

static void
pick_member_index(struct pick_member *member, int bucket, uint32_t limit,
    bool free)
{
	struct pick_tier *tier = &member->pool->tiers[member->tier];

	member->bucket = bucket;
	member->limit = limit;
	member->free = free;
	if (member->server->usable)
		member->slots = member->server->slots;
	tier->slot_sum[bucket] += member->slots;
	tier->limit_sum[bucket] += limit;
	tier->capacity[bucket] =
	    tier->limit_sum[bucket] * pick_bucket_speed(bucket);
	if (free) {
		TAILQ_INSERT_TAIL(&tier->free[bucket], member, free_entry);
		tier->nfree++;
	} else if (member->slots != 0) {
		member->full = true;
		member->next_end_us = member->server->next_end_us;
		RB_INSERT(pick_tree, &tier->full[bucket], member);
	}
}

void
pick_server_update(struct pick_server *server)
{
	struct pick_member *member;
	uint32_t limit = server->usable ? server->limit : 0;
	uint32_t slots = server->usable ? server->slots : 0;
	bool free = server->running < limit;
	int bucket;

	member = TAILQ_FIRST(&server->members);
	if (member == NULL)
		return;
	bucket = pick_speed_bucket(server->speed);
	TAILQ_FOREACH (member, &server->members, server_entry) {
		if (member->free == free && member->limit == limit &&
		    member->slots == slots &&
		    (!member->full ||
			member->next_end_us == server->next_end_us) &&
		    (member->bucket == bucket || limit + slots == 0))
			continue;
		pick_member_unindex(member);
		pick_member_index(member, bucket, limit, free);
	}
}

int
pick_pool_add(struct pick_pool *pool, struct pick_server *server, int tier)
{
	struct pick_member *member, **members;
	size_t size;

	if (pool->nmembers == pool->members_size) {
		size = pool->members_size == 0 ? 16 : pool->members_size * 2;
		/* NOLINTNEXTLINE(bugprone-sizeof-expression) */
		members = realloc(pool->members, size * sizeof(*members));
		if (members == NULL)
			return -1;
		pool->members = members;
		pool->members_size = size;
	}
	member = calloc(1, sizeof(*member));
	if (member == NULL)
		return -1;
	member->pool = pool;
	member->server = server;
	member->tier = tier;
	member->index = pool->nmembers;
	pool->members[pool->nmembers++] = member;
	TAILQ_INSERT_TAIL(&server->members, member, server_entry);
	pick_server_update(server);
	return 0;
}

static void
pick_member_destroy(struct pick_member *member)
{
	struct pick_pool *pool = member->pool;
	struct pick_member *last = pool->members[pool->nmembers - 1];

	pick_member_unindex(member);
	pool->members[member->index] = last;
	pool->nmembers--;
	if (last != member) {
		/* The index is part of the key in the tree of full members. */
		bool full = last->full;
		struct pick_tree *tree =
		    &pool->tiers[last->tier].full[last->bucket];

		if (full)
			RB_REMOVE(pick_tree, tree, last);
		last->index = member->index;
		if (full)
			RB_INSERT(pick_tree, tree, last);
	}
	TAILQ_REMOVE(&member->server->members, member, server_entry);
	free(member);
}

static struct pick_member *
pick_find_member(const struct pick_pool *pool, const struct pick_server *server)
{
	struct pick_member *member;

	TAILQ_FOREACH (member, &server->members, server_entry) {
		if (member->pool == pool)
			return member;
	}
	return NULL;
}

bool
pick_pool_contains(const struct pick_pool *pool,
    const struct pick_server *server)
{
	return pick_find_member(pool, server) != NULL;
}

void
pick_pool_remove(struct pick_pool *pool, struct pick_server *server)
{
	struct pick_member *member = pick_find_member(pool, server);

	if (member != NULL)
		pick_member_destroy(member);
}

void
pick_server_remove(struct pick_server *server)
{
	struct pick_member *member, *next;

	for (member = TAILQ_FIRST(&server->members); member != NULL;
	     member = next) {
		next = TAILQ_NEXT(member, server_entry);
		pick_member_destroy(member);
	}
}

void
pick_pool_clear(struct pick_pool *pool)
{
	while (pool->nmembers != 0)
		pick_member_destroy(pool->members[pool->nmembers - 1]);
	free(pool->members);
	pool->members = NULL;
	pool->members_size = 0;
}

struct pick_server *
pick_choose(struct pick_pool *pool, int tier, const struct pick_task *task)
{
	if (pool->tiers[tier].nfree == 0)
		return NULL;
	return pool->ops->choose(pool, tier, task);
}

double
pick_capacity(const struct pick_pool *pool, int tier)
{
	double capacity = 0;
	int bucket;

	for (bucket = 0; bucket < PICK_BUCKETS; bucket++)
		capacity += pool->tiers[tier].capacity[bucket];
	return capacity;
}

double
pick_best_speed(const struct pick_pool *pool, int tier)
{
	int bucket;

	for (bucket = 0; bucket < PICK_BUCKETS; bucket++) {
		if (pool->tiers[tier].slot_sum[bucket] != 0)
			return pick_bucket_speed(bucket);
	}
	return 0;
}

/* The tier has at least one free member, so the loop terminates. */
static struct pick_server *
pick_round_robin_choose(struct pick_pool *pool, int tier,
    const struct pick_task *task)
{
	struct pick_member *member;

	(void)task;
	do {
		pool->cursor = (pool->cursor + 1) % pool->nmembers;
		member = pool->members[pool->cursor];
	} while (!member->free || member->tier != tier);
	return member->server;
}

const struct pick_ops pick_round_robin = {
	.name = "round-robin",
	.choose = pick_round_robin_choose,
};

static struct pick_server *
pick_random_two_choose(struct pick_pool *pool, int tier,
    const struct pick_task *task)
{
	struct pick_server *a, *b;
	uint64_t random = task->random;

	pool->cursor = (size_t)(random >> 32) % pool->nmembers;
	a = pick_round_robin_choose(pool, tier, task);
	pool->cursor = (size_t)(random & UINT32_MAX) % pool->nmembers;
	b = pick_round_robin_choose(pool, tier, task);
	return (double)a->running / a->limit <= (double)b->running / b->limit
	    ? a
	    : b;
}

const struct pick_ops pick_random_two = {
	.name = "random-two",
	.choose = pick_random_two_choose,
};

/* Expected time until the task ends if it waits for a server of the first
 * @nbuckets buckets, all of which are full: the shortest time in which one of
 * them ends a task and then runs this one, plus the time that their total
 * capacity needs for the work that is served before the task. */
static double
pick_end_after_wait_us(const struct pick_tier *tier, int nbuckets,
    const struct pick_task *task)
{
	const struct pick_member *member;
	double capacity = 0, end_us, best_us = INFINITY;
	struct pick_tree *tree;
	int i;

	for (i = 0; i < nbuckets; i++) {
		tree = (struct pick_tree *)&tier->full[i];
		member = RB_MIN(pick_tree, tree);
		if (member == NULL)
			continue;
		capacity += tier->capacity[i];
		end_us = task->work_us / pick_bucket_speed(i);
		if (member->next_end_us > task->now_us)
			end_us += (double)(member->next_end_us - task->now_us);
		best_us = fmin(best_us, end_us);
	}
	if (capacity <= 0)
		return INFINITY;
	return best_us + (task->work_ahead_us - task->work_us) / capacity;
}

/*
 * Chooses from the fastest bucket with a free slot. Returns NULL if the task is
 * expected to end sooner by the factor PICK_WAIT_GAIN_MIN when it waits for a
 * faster server. Members of one bucket are chosen in rotation.
 */
static struct pick_server *
pick_earliest_choose(struct pick_pool *pool, int tier,
    const struct pick_task *task)
{
	struct pick_tier *t = &pool->tiers[tier];
	struct pick_member *member;
	int bucket = 0;

	while (TAILQ_EMPTY(&t->free[bucket]))
		bucket++;
	if (pick_end_after_wait_us(t, bucket, task) * PICK_WAIT_GAIN_MIN <
	    task->work_us / pick_bucket_speed(bucket))
		return NULL;
	member = TAILQ_FIRST(&t->free[bucket]);
	TAILQ_REMOVE(&t->free[bucket], member, free_entry);
	TAILQ_INSERT_TAIL(&t->free[bucket], member, free_entry);
	return member->server;
}

const struct pick_ops pick_earliest = {
	.name = "earliest",
	.choose = pick_earliest_choose,
};
