/*
 * Index of objects by name. The number of buckets is doubled when there are
 * more entries than buckets.
 */

#include "core/name_index.h"
#include "core/mem.h"

#define NIDX_BUCKETS_MIN 16

/* FNV-1a, and a finalizer for the low bits, which select the bucket. */
static uint64_t
nidx_hash(const char *name)
{
	uint64_t hash = UINT64_C(0xcbf29ce484222325);

	for (; *name != '\0'; name++)
		hash = (hash ^ (uint8_t)*name) * UINT64_C(0x100000001b3);
	return hash ^ hash >> 32;
}

static struct nidx_bucket *
nidx_bucket(const struct name_index *index, uint64_t hash)
{
	return &index->buckets[hash & (index->nbuckets - 1)];
}

void
nidx_init(struct name_index *index)
{
	memset(index, 0, sizeof(*index));
}

void
nidx_release(struct name_index *index)
{
	free(index->buckets);
	nidx_init(index);
}

/* The entries of a bucket keep their order, so that nidx_find() returns the
 * same entry of several with the same name. */
static void
nidx_resize(struct name_index *index, size_t nbuckets)
{
	struct name_index old = *index;
	struct nidx_bucket *bucket;
	struct nidx_entry *entry, *last;
	size_t i;

	index->nbuckets = nbuckets;
	index->buckets = mem_zalloc(nbuckets, sizeof(*index->buckets));
	for (i = 0; i < old.nbuckets; i++) {
		while ((entry = LIST_FIRST(&old.buckets[i])) != NULL) {
			LIST_REMOVE(entry, link);
			bucket = nidx_bucket(index, entry->hash);
			last = LIST_FIRST(bucket);
			while (last != NULL && LIST_NEXT(last, link) != NULL)
				last = LIST_NEXT(last, link);
			if (last == NULL)
				LIST_INSERT_HEAD(bucket, entry, link);
			else
				LIST_INSERT_AFTER(last, entry, link);
		}
	}
	free(old.buckets);
}

void
nidx_insert(struct name_index *index, struct nidx_entry *entry,
    const char *name)
{
	if (index->n >= index->nbuckets)
		nidx_resize(index,
		    index->nbuckets == 0 ? NIDX_BUCKETS_MIN
					 : index->nbuckets * 2);
	entry->name = name;
	entry->hash = nidx_hash(name);
	LIST_INSERT_HEAD(nidx_bucket(index, entry->hash), entry, link);
	index->n++;
}

void
nidx_remove(struct name_index *index, struct nidx_entry *entry)
{
	LIST_REMOVE(entry, link);
	index->n--;
}

/* The first of @entry and those after it in its bucket that has the name. */
static struct nidx_entry *
nidx_search(struct nidx_entry *entry, const char *name, uint64_t hash)
{
	for (; entry != NULL; entry = LIST_NEXT(entry, link)) {
		if (entry->hash == hash && strcmp(entry->name, name) == 0)
			return entry;
	}
	return NULL;
}

struct nidx_entry *
nidx_find(const struct name_index *index, const char *name)
{
	uint64_t hash = nidx_hash(name);

	if (index->n == 0)
		return NULL;
	return nidx_search(LIST_FIRST(nidx_bucket(index, hash)), name, hash);
}

struct nidx_entry *
nidx_next(const struct nidx_entry *entry)
{
	return nidx_search(LIST_NEXT(entry, link), entry->name, entry->hash);
}
