#ifndef CLIENT_EXPLAIN_H
#define CLIENT_EXPLAIN_H

#include <stdio.h>

/*
 * Trace of one request from the log lines of all hosts, in order of time: lines
 * with its id, and changes of state of the hosts and servers involved.
 */

struct explain;

/** explain_create() - create a trace of the request @id; never NULL. */
struct explain *explain_create(const char *id);

void explain_destroy(struct explain *explain);

/** explain_read() - read a log. Return: 0, or -1 after a read error. */
int explain_read(struct explain *explain, FILE *log);

/**
 * explain_print() - print the trace and the outcome of the request.
 * Return: the number of lines with the id of the request; 0 prints nothing.
 */
size_t explain_print(struct explain *explain, FILE *out);

#endif /* CLIENT_EXPLAIN_H */
