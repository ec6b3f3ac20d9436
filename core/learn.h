#ifndef CORE_LEARN_H
#define CORE_LEARN_H

#include <stdint.h>

/*
 * Learning of server speeds and of how far a job's declared run times are off.
 *
 *	run time = declared run time * job's factor / server's speed
 *
 * Both are estimated in logarithms, each with its variance, so that one
 * observation moves most what is known least. See docs/design/dispatch.md.
 */

/** struct lrn_estimate - a positive quantity that is being learned. */
struct lrn_estimate {
	double value; /* exp(log_value), kept for speed */
	double log_value;
	double variance; /* of log_value */
};

/** lrn_init_speed() - an unknown server, as fast as others are: exp(@log_mean).
 */
void lrn_init_speed(struct lrn_estimate *speed, double log_mean);

/** lrn_init_factor() - an unknown job: declared run times are right. */
void lrn_init_factor(struct lrn_estimate *factor);

/** lrn_expected_us() - expected run time in microseconds. */
double lrn_expected_us(const struct lrn_estimate *speed,
    const struct lrn_estimate *factor, double declared_us);

/**
 * lrn_observe() - learn from a task that ran to its end.
 * @declared_us: declared run time, more than 0.
 * @observed_us: from its start to its answer; 0 counts as 1.
 */
void lrn_observe(struct lrn_estimate *speed, struct lrn_estimate *factor,
    double declared_us, double observed_us);

#endif /* CORE_LEARN_H */
