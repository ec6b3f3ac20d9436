#ifndef CORE_NAME_INDEX_H
#define CORE_NAME_INDEX_H

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Index of objects by name: an intrusive hash table that grows with the number
 * of its entries, so that a lookup takes the same time at any size. Several
 * entries may have the same name. Neither names nor objects are owned.
 */

/** struct nidx_entry - member of an object that is in an index. */
struct nidx_entry {
	const char *name; /* must not change while the entry is in an index */
	uint64_t hash;
	LIST_ENTRY(nidx_entry) link;
};

LIST_HEAD(nidx_bucket, nidx_entry);

/** struct name_index - an index; initialise with nidx_init(). */
struct name_index {
	struct nidx_bucket *buckets; /* NULL until the first insertion */
	size_t nbuckets;	     /* a power of 2 */
	size_t n;
};

/** NIDX_OBJECT() - the object of @type whose member @field is @entry. */
#define NIDX_OBJECT(entry, type, field) \
	((type *)((char *)(entry)-offsetof(type, field)))

void nidx_init(struct name_index *index);

/** nidx_release() - free the memory of the index, not the entries. */
void nidx_release(struct name_index *index);

/** nidx_insert() - add an entry under @name; borrowed until it is removed. */
void nidx_insert(struct name_index *index, struct nidx_entry *entry,
    const char *name);

/** nidx_remove() - remove an entry that is in the index. */
void nidx_remove(struct name_index *index, struct nidx_entry *entry);

/** nidx_find() - Return: the entry that was inserted last with this name, or
 * NULL. */
struct nidx_entry *nidx_find(const struct name_index *index, const char *name);

/** nidx_next() - Return: the next entry with the same name, or NULL. */
struct nidx_entry *nidx_next(const struct nidx_entry *entry);

#endif /* CORE_NAME_INDEX_H */
