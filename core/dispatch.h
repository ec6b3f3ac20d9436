#ifndef CORE_DISPATCH_H
#define CORE_DISPATCH_H

#include <stdbool.h>
#include <stddef.h>

#include "berylrail/error.h"
#include "core/order.h"
#include "core/pick.h"
#include "core/share.h"

/*
 * The dispatch policy: one choice for each decision.
 *
 *	default
 *	naive
 *	default,order=fifo,hedge=off
 *
 * A policy is a base, "default" or "naive", and changes to it: share=each,
 * split or seen; order=fifo or fair; pick=round-robin, random-two or earliest;
 * learn, eject, admit (by time), hedge, overflow = on or off.
 */

/** struct disp_policy - a policy. */
struct disp_policy {
	const struct shr_ops *share;
	const struct ord_ops *order;
	const struct pick_ops *pick;
	bool learn;    /* speeds and run times; else all are as declared */
	bool eject;    /* servers that fail */
	bool admit;    /* refuse what can't meet its deadline */
	bool hedge;    /* repeatable single requests */
	bool overflow; /* to other availability zones */
};

/** disp_policy_parse() - 0, or -1 with @err. */
int disp_policy_parse(struct disp_policy *policy, const char *text,
    struct err *err);

/**
 * disp_ideal_us() - time that tasks need on idle, ideally chosen servers.
 * @pool: the servers; all usable ones of the own availability zone count,
 *        with all their slots, whoever uses them.
 * @work_us: run time of each task at speed 1.
 *
 * It is the least time that neither the longest task on the fastest server,
 * nor all tasks, each with the mean work, on all slots can beat.
 */
double disp_ideal_us(const struct pick_pool *pool, const double *work_us,
    size_t ntasks);

#endif /* CORE_DISPATCH_H */
