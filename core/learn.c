/*
 * A Kalman filter on logarithms. Each observation depends on two unknowns, the
 * speed of the server and the factor of the job.
 */

#include <math.h>

#include "core/learn.h"

/* Variances of natural logarithms. */
#define LRN_SPEED_INITIAL_VARIANCE 0.5	/* speed of an unknown server */
#define LRN_FACTOR_INITIAL_VARIANCE 4.0 /* factor of an unknown job */
#define LRN_NOISE_VARIANCE 0.1		/* run time of one task */
#define LRN_DRIFT_VARIANCE 0.0005	/* added to both by an observation */
#define LRN_OUTLIER_STDDEVS 3.0		/* larger residuals are clipped */

static void
lrn_init(struct lrn_estimate *estimate, double log_value, double variance)
{
	estimate->value = exp(log_value);
	estimate->log_value = log_value;
	estimate->variance = variance;
}

void
lrn_init_speed(struct lrn_estimate *speed, double log_mean)
{
	lrn_init(speed, log_mean, LRN_SPEED_INITIAL_VARIANCE);
}

void
lrn_init_factor(struct lrn_estimate *factor)
{
	lrn_init(factor, 0.0, LRN_FACTOR_INITIAL_VARIANCE);
}

double
lrn_expected_us(const struct lrn_estimate *speed,
    const struct lrn_estimate *factor, double declared_us)
{
	return declared_us * factor->value / speed->value;
}

static void
lrn_apply_gain(struct lrn_estimate *estimate, double gain, double correction)
{
	estimate->log_value += gain * correction;
	estimate->value = exp(estimate->log_value);
	estimate->variance *= 1.0 - gain;
}

void
lrn_observe(struct lrn_estimate *speed, struct lrn_estimate *factor,
    double declared_us, double observed_us)
{
	double residual, total, bound;

	if (observed_us < 1.0)
		observed_us = 1.0;
	speed->variance += LRN_DRIFT_VARIANCE;
	factor->variance += LRN_DRIFT_VARIANCE;
	residual =
	    log(observed_us / lrn_expected_us(speed, factor, declared_us));
	total = speed->variance + factor->variance + LRN_NOISE_VARIANCE;
	bound = LRN_OUTLIER_STDDEVS * sqrt(total);
	residual = fmin(fmax(residual, -bound), bound);
	lrn_apply_gain(speed, speed->variance / total, -residual);
	lrn_apply_gain(factor, factor->variance / total, residual);
}
