#ifndef TESTS_NAIVE_ORDER_H
#define TESTS_NAIVE_ORDER_H

#include "core/order.h"

/* What ord_fair promises, computed by looking at everything that waits. */

/** naive_order_next() - the item that must be next, or NULL. */
struct ord_item *naive_order_next(const struct order *order,
    struct ord_item **items, size_t nitems, uint64_t now_us);

/** naive_order_work() - expected work of all queued items. */
double naive_order_work(struct ord_item **items, size_t nitems);

#endif /* TESTS_NAIVE_ORDER_H */
