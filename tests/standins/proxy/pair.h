#ifndef STANDIN_PROXY_PAIR_H
#define STANDIN_PROXY_PAIR_H

#include "link.h"

/*
 * A pair is an accepted connection and the one to the target, with a flow for
 * each direction. It is in its link's list, and frees itself when both flows
 * have ended, on a socket error or when a fault resets it.
 */

/** pair_start() - forward an accepted connection to the link's target. */
void pair_start(struct link *link, evutil_socket_t fd);

/** pair_cut() - reset both connections and free the pair. */
void pair_cut(struct pair *pair, const char *reason);

/** pair_next() - the pair after this one in its link's list, or NULL. */
struct pair *pair_next(const struct pair *pair);

/** pair_rule_changed() - apply the new rule of the link; frees nothing. */
void pair_rule_changed(struct pair *pair);

#endif /* STANDIN_PROXY_PAIR_H */
