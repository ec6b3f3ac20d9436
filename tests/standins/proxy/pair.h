#ifndef STANDIN_PROXY_PAIR_H
#define STANDIN_PROXY_PAIR_H

#include "link.h"

/*
 * An accepted connection and the one to the target: a pair of sockets with two
 * flows, one for each direction. A pair belongs to its link and frees itself.
 */

/** pair_start() - pass an accepted connection on to the link's target. */
void pair_start(struct link *link, evutil_socket_t fd);

/** pair_cut() - reset both connections; the pair is gone. */
void pair_cut(struct pair *pair, const char *reason);

/** pair_next() - the pair after this one in its link's list, or NULL. */
struct pair *pair_next(const struct pair *pair);

/** pair_rule_changed() - the link's rule is a new one; nothing is freed. */
void pair_rule_changed(struct pair *pair);

#endif /* STANDIN_PROXY_PAIR_H */
