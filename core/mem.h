#ifndef CORE_MEM_H
#define CORE_MEM_H

#include <stdlib.h>
#include <string.h>

/*
 * Allocation of small objects that aborts the process if memory is exhausted.
 * There is no useful way to continue then, and the restarted process recovers
 * its state from the store.
 */

/** mem_zalloc() - zeroed memory for @n objects of @size bytes; never NULL. */
static inline void *
mem_zalloc(size_t n, size_t size)
{
	void *p = calloc(n == 0 ? 1 : n, size);

	if (p == NULL)
		abort();
	return p;
}

/** mem_strndup() - copy @len bytes and append a NUL; never NULL. */
static inline char *
mem_strndup(const char *text, size_t len)
{
	char *p = mem_zalloc(len + 1, 1);

	memcpy(p, text, len);
	return p;
}

#endif /* CORE_MEM_H */
