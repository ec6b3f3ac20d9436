#ifndef CLIENT_EXPLAIN_H
#define CLIENT_EXPLAIN_H

#include <stdio.h>

/*
 * The way of one request through the log lines of all hosts, in order of time:
 * its own lines, and what the hosts and servers on its way believed meanwhile.
 */

struct explain;

/** explain_create() - for the request @id; NULL when out of memory. */
struct explain *explain_create(const char *id);

void explain_destroy(struct explain *explain);

/** explain_read() - take all lines of a log. Return: -1 if it can't be read. */
int explain_read(struct explain *explain, FILE *log);

/**
 * explain_print() - print the way and what ended it.
 * Return: the number of the request's own lines.
 */
size_t explain_print(struct explain *explain, FILE *out);

#endif /* CLIENT_EXPLAIN_H */
