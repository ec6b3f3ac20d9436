#ifndef CORE_DISPATCH_H
#define CORE_DISPATCH_H

#include <stdbool.h>
#include <stddef.h>

#include "berylrail/error.h"
#include "core/order.h"
#include "core/pick.h"
#include "core/share.h"

/*
 * The dispatch policy: one option for each decision. Its text form:
 *
 *	default
 *	naive
 *	default,order=fifo,hedge=off
 *
 * A policy text is a base, "default" or "naive", followed by changes to it:
 * share=each, split or seen; order=fifo or fair; pick=round-robin, random-two
 * or earliest; learn, eject, admit, hedge, overflow = on or off.
 */

/** struct disp_policy - a parsed policy. */
struct disp_policy {
	const struct shr_ops *share;
	const struct ord_ops *order;
	const struct pick_ops *pick;
	bool learn; /* estimate speeds and run times; else use declared ones */
	bool eject; /* eject failing servers */
	bool admit; /* refuse submissions that can't meet their deadline */
	bool hedge; /* hedge repeatable single requests */
	bool overflow; /* use servers of other availability zones */
};

/**
 * disp_policy_parse() - parse the text form of a policy.
 *
 * Return: 0, or -1 with @err (step SETTINGS): INVALID or TOO_LARGE.
 */
int disp_policy_parse(struct disp_policy *policy, const char *text,
    struct err *err);

/**
 * disp_ideal_us() - lower bound for the time that tasks need on idle servers.
 * @pool: the servers; all usable ones of the own availability zone are counted
 *        with all their slots, including those that other hosts use.
 * @work_us: run time of each task at speed 1.
 *
 * The bound is the larger of two times: that of the longest task on the fastest
 * server, and that of all tasks on all slots if each had the mean work.
 *
 * Return: microseconds, or 0 if there is no task or no usable server.
 */
double disp_ideal_us(const struct pick_pool *pool, const double *work_us,
    size_t ntasks);

#endif /* CORE_DISPATCH_H */
