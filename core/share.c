/*
 * Division of a server's slots. Every host gets the integer quotient of slots
 * and hosts. The remaining slots go to the hosts with the highest hash for this
 * server (rendezvous hashing), so that the loss of one host moves few slots.
 */

#include "core/share.h"

static uint64_t
shr_hash(const char *host, const char *server)
{
	uint64_t hash = 14695981039346656037ULL;

	for (; *host != '\0'; host++)
		hash = (hash ^ (unsigned char)*host) * 1099511628211ULL;
	hash = (hash ^ '/') * 1099511628211ULL;
	for (; *server != '\0'; server++)
		hash = (hash ^ (unsigned char)*server) * 1099511628211ULL;
	/* The high bits of FNV-1a are poorly mixed; apply a finalizer. */
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdULL;
	hash ^= hash >> 33;
	hash *= 0xc4ceb9fe1a85ec53ULL;
	return hash ^ hash >> 33;
}

/* Number of hosts with a higher hash for the server than this one. */
static size_t
shr_rank(const struct shr_input *input)
{
	uint64_t own = shr_hash(input->self, input->server), other;
	size_t i, rank = 0;

	for (i = 0; i < input->nhosts; i++) {
		other = shr_hash(input->hosts[i], input->server);
		rank += other > own;
	}
	return rank;
}

uint32_t
shr_own(const struct shr_input *input)
{
	uint32_t quotient, remainder;

	if (input->nhosts <= 1)
		return input->slots;
	quotient = input->slots / (uint32_t)input->nhosts;
	remainder = input->slots % (uint32_t)input->nhosts;
	return quotient + (remainder != 0 && shr_rank(input) < remainder);
}

static uint32_t
shr_each_limit(const struct shr_input *input)
{
	return input->slots;
}

const struct shr_ops shr_each = {
	.name = "each",
	.limit = shr_each_limit,
};

static uint32_t
shr_split_limit(const struct shr_input *input)
{
	uint32_t own = shr_own(input), limit;

	limit = own > input->lent ? own - input->lent : 0;
	limit += input->borrowed;
	return limit < input->slots ? limit : input->slots;
}

const struct shr_ops shr_split = {
	.name = "split",
	.limit = shr_split_limit,
};

/* Never less than this host's own part, because the reported number of tasks
 * may be out of date. */
static uint32_t
shr_seen_limit(const struct shr_input *input)
{
	uint32_t own = shr_own(input), unused;

	unused = input->slots > input->others_running
	    ? input->slots - input->others_running
	    : 0;
	return unused > own ? unused : own;
}

const struct shr_ops shr_seen = {
	.name = "seen",
	.limit = shr_seen_limit,
};
