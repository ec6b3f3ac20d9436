#ifndef TESTS_NAIVE_ORDER_H
#define TESTS_NAIVE_ORDER_H

#include "core/order.h"

/* Reference implementation of ord_fair: scans all queued items. */

/** naive_order_next() - the item that ord_next() must return, or NULL. */
struct ord_item *naive_order_next(const struct order *order,
    struct ord_item **items, size_t nitems, uint64_t now_us);

/** naive_order_work() - expected work of all queued items. */
double naive_order_work(struct ord_item **items, size_t nitems);

#endif /* TESTS_NAIVE_ORDER_H */
