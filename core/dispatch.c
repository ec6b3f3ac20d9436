/*
 * Parser of the policy's text form, and the ideal time that response times are
 * compared with.
 */

#include <math.h>
#include <string.h>

#include "core/dispatch.h"

#define DISP_POLICY_BYTES_MAX 256 /* with the NUL */

static const struct disp_policy disp_default = {
	.share = &shr_split,
	.order = &ord_fair,
	.pick = &pick_earliest,
	.learn = true,
	.eject = true,
	.admit = true,
	.hedge = true,
	.overflow = true,
};

static const struct disp_policy disp_naive = {
	.share = &shr_each,
	.order = &ord_fifo,
	.pick = &pick_round_robin,
};

static int
disp_set_share(struct disp_policy *policy, const char *name)
{
	static const struct shr_ops *const options[] = { &shr_each, &shr_split,
		&shr_seen };
	size_t i;

	for (i = 0; i < sizeof(options) / sizeof(options[0]); i++) {
		if (strcmp(options[i]->name, name) == 0) {
			policy->share = options[i];
			return 0;
		}
	}
	return -1;
}

static int
disp_set_order(struct disp_policy *policy, const char *name)
{
	static const struct ord_ops *const options[] = { &ord_fifo, &ord_fair };
	size_t i;

	for (i = 0; i < sizeof(options) / sizeof(options[0]); i++) {
		if (strcmp(options[i]->name, name) == 0) {
			policy->order = options[i];
			return 0;
		}
	}
	return -1;
}

static int
disp_set_pick(struct disp_policy *policy, const char *name)
{
	static const struct pick_ops *const options[] = { &pick_round_robin,
		&pick_random_two, &pick_earliest };
	size_t i;

	for (i = 0; i < sizeof(options) / sizeof(options[0]); i++) {
		if (strcmp(options[i]->name, name) == 0) {
			policy->pick = options[i];
			return 0;
		}
	}
	return -1;
}

static int
disp_set_flag(bool *value, const char *text)
{
	*value = strcmp(text, "on") == 0;
	return *value || strcmp(text, "off") == 0 ? 0 : -1;
}

static int
disp_set_option(struct disp_policy *policy, const char *key, const char *value)
{
	const struct {
		const char *key;
		bool *value;
	} flags[] = {
		{ "learn", &policy->learn },
		{ "eject", &policy->eject },
		{ "admit", &policy->admit },
		{ "hedge", &policy->hedge },
		{ "overflow", &policy->overflow },
	};
	size_t i;

	if (strcmp(key, "share") == 0)
		return disp_set_share(policy, value);
	if (strcmp(key, "order") == 0)
		return disp_set_order(policy, value);
	if (strcmp(key, "pick") == 0)
		return disp_set_pick(policy, value);
	for (i = 0; i < sizeof(flags) / sizeof(flags[0]); i++) {
		if (strcmp(key, flags[i].key) == 0)
			return disp_set_flag(flags[i].value, value);
	}
	return -1;
}

static int
disp_apply_part(struct disp_policy *policy, char *part)
{
	char *value = strchr(part, '=');

	if (value != NULL) {
		*value++ = '\0';
		return disp_set_option(policy, part, value);
	}
	if (strcmp(part, "default") == 0)
		*policy = disp_default;
	else if (strcmp(part, "naive") == 0)
		*policy = disp_naive;
	else
		return -1;
	return 0;
}

int
disp_policy_parse(struct disp_policy *policy, const char *text, struct err *err)
{
	char copy[DISP_POLICY_BYTES_MAX], *rest = copy, *part;

	*policy = disp_default;
	if (strnlen(text, sizeof(copy)) == sizeof(copy))
		return err_set(err, ERR_STEP_SETTINGS, ERR_TOO_LARGE, NULL,
		    "policy: longer than %d bytes", DISP_POLICY_BYTES_MAX - 1);
	memcpy(copy, text, strlen(text) + 1);
	while ((part = strsep(&rest, ",")) != NULL) {
		if (disp_apply_part(policy, part) == -1)
			return err_set(err, ERR_STEP_SETTINGS, ERR_INVALID,
			    NULL, "policy: unknown option \"%.60s\"", part);
	}
	return 0;
}

/* Number of tasks of @work_us each that the slots complete within @time_us. The
 * factor 1 + 1e-9 allows for rounding errors of the quotient. */
static double
disp_ntasks_within(const struct pick_tier *tier, double time_us, double work_us)
{
	double ntasks = 0;
	int bucket;

	for (bucket = 0; bucket < PICK_BUCKETS; bucket++) {
		if (tier->slot_sum[bucket] != 0)
			ntasks += tier->slot_sum[bucket] *
			    floor(time_us * pick_bucket_speed(bucket) /
				work_us * (1 + 1e-9));
	}
	return ntasks;
}

/* Returns the least time in which the slots complete @ntasks tasks of @work_us
 * each. The exact value is k * work_us / speed for an integer k and the speed
 * of one bucket; bisection approximates it from above. */
static double
disp_equal_tasks_us(const struct pick_tier *tier, double work_us, size_t ntasks)
{
	double low_us = 0, high_us, mid_us;
	int i;

	high_us = work_us / pick_bucket_speed(PICK_BUCKETS - 1);
	while (disp_ntasks_within(tier, high_us, work_us) < (double)ntasks)
		high_us *= 2;
	for (i = 0; i < 20; i++) {
		mid_us = (low_us + high_us) / 2;
		if (disp_ntasks_within(tier, mid_us, work_us) < (double)ntasks)
			low_us = mid_us;
		else
			high_us = mid_us;
	}
	return high_us;
}

double
disp_ideal_us(const struct pick_pool *pool, const double *work_us,
    size_t ntasks)
{
	const struct pick_tier *tier = &pool->tiers[0];
	double longest_us = 0, sum_us = 0, best_speed, equal_us;
	size_t i;

	best_speed = pick_best_speed(pool, 0);
	if (best_speed == 0 || ntasks == 0)
		return 0;
	for (i = 0; i < ntasks; i++) {
		longest_us = fmax(longest_us, work_us[i]);
		sum_us += work_us[i];
	}
	if (ntasks == 1 || sum_us <= 0)
		return longest_us / best_speed;
	equal_us = disp_equal_tasks_us(tier, sum_us / (double)ntasks, ntasks);
	return fmax(longest_us / best_speed, equal_us);
}
