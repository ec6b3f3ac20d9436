/*
 * Ends of tasks, and the answer of a submission, which is complete when each
 * task has ended once.
 */

#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/engine_internal.h"

/*
 * Ratio of response time to ideal time, for complete answers only: the time
 * from admission to answer, in parts per thousand of disp_ideal_us(). The ideal
 * time is computed from the measured run times of the submission's tasks, each
 * multiplied by the estimated speed of the server that ran it. Other outcomes
 * are counted by berylrail_submissions_ended_total.
 */
static struct counter eng_ratio_sum = {
	.name = "berylrail_response_ratio_ppt_sum",
	.help = "Sum of response times in parts per thousand of the ideal.",
};
static struct counter eng_ratio_count = {
	.name = "berylrail_response_ratio_ppt_count",
	.help = "Complete answers counted in the sum.",
};

#define ENG_RATIO_BUCKET_COUNTER(ppt)                          \
	{                                                      \
		.name = "berylrail_response_ratio_ppt_bucket", \
		.labels = "le=\"" #ppt "\"",                   \
		.help = "Complete answers up to this ratio.",  \
	}

static const double eng_ratio_bounds[] = { 1050, 1100, 1250, 1500, 2000, 3000,
	5000, 10000 };
static struct counter eng_ratio_buckets[] = {
	ENG_RATIO_BUCKET_COUNTER(1050),
	ENG_RATIO_BUCKET_COUNTER(1100),
	ENG_RATIO_BUCKET_COUNTER(1250),
	ENG_RATIO_BUCKET_COUNTER(1500),
	ENG_RATIO_BUCKET_COUNTER(2000),
	ENG_RATIO_BUCKET_COUNTER(3000),
	ENG_RATIO_BUCKET_COUNTER(5000),
	ENG_RATIO_BUCKET_COUNTER(10000),
	ENG_RATIO_BUCKET_COUNTER(+Inf),
};

#define ENG_ANSWERS_COUNTER(outcome)                              \
	{                                                         \
		.name = "berylrail_submissions_ended_total",      \
		.labels = "outcome=\"" outcome "\"",              \
		.help = "Submissions that the engine has ended.", \
	}

static struct counter eng_answers[] = {
	[OUTCOME_COMPLETE] = ENG_ANSWERS_COUNTER("complete"),
	[OUTCOME_NOT_RUN] = ENG_ANSWERS_COUNTER("not-run"),
	[OUTCOME_TASK_FAILED] = ENG_ANSWERS_COUNTER("task-failed"),
	[OUTCOME_UNKNOWN] = ENG_ANSWERS_COUNTER("outcome-unknown"),
};

static void
eng_count_ratio(const struct eng_subm *subm)
{
	size_t nbounds = sizeof(eng_ratio_bounds) / sizeof(double), i;
	double ideal_us, ppt;

	ideal_us = disp_ideal_us(&subm->job->pool->pick, subm->measured_work_us,
	    subm->subm_spec->ntasks);
	if (ideal_us < 1.0)
		return;
	ppt = (double)subm->answer->elapsed_us / ideal_us * 1000.0;
	ctr_add(&eng_ratio_sum, (uint64_t)ppt);
	ctr_inc(&eng_ratio_count);
	for (i = 0; i < nbounds; i++)
		ctr_add(&eng_ratio_buckets[i], ppt <= eng_ratio_bounds[i]);
	ctr_inc(&eng_ratio_buckets[nbounds]);
}

void
eng_count_answer(const struct eng_subm *subm)
{
	ctr_inc(&eng_answers[subm->answer->outcome]);
	if (subm->answer->outcome == OUTCOME_COMPLETE)
		eng_count_ratio(subm);
}

static void
eng_subm_end(struct eng_subm *subm)
{
	struct engine *engine = subm->engine;
	struct answer *answer = subm->answer;

	answer->outcome = subm_outcome(answer->results, answer->ntasks);
	answer->elapsed_us = clock_now_us(engine->clock) - subm->submitted_us;
	TAILQ_INSERT_TAIL(&engine->ended, subm, ended_entry);
	event_active(engine->answer_event, EV_TIMEOUT, 0);
}

/*
 * Records the end of a task, which must not have ended before. The submission
 * ends with its last task.
 * @err: may be NULL. The first one of a submission becomes the answer's error.
 */
void
eng_task_end(struct eng_subm *subm, size_t index, enum task_state state,
    const struct err *err)
{
	struct answer *answer = subm->answer;

	answer->results[index].state = state;
	if (state != TASK_DONE && answer->err.code == ERR_OK && err != NULL)
		answer->err = *err;
	if (++subm->nended == answer->ntasks)
		eng_subm_end(subm);
}

/* Ends all waiting tasks of a submission, which starts no more tasks. */
void
eng_end_pending_tasks(struct eng_subm *subm, const struct err *err)
{
	struct engine *engine = subm->engine;

	subm->failed = true;
	if (subm->npending == 0)
		return;
	ord_remove(&subm->job->pool->order, &subm->item);
	subm->job->nwaiting -= subm->npending;
	engine->nwaiting -= subm->npending;
	engine->waiting_bytes -= subm->waiting_bytes;
	subm->waiting_bytes = 0;
	while (subm->npending != 0) {
		subm->npending--;
		eng_task_end(subm, subm->pending[subm->npending],
		    subm->may_have_run ? TASK_LOST : TASK_NOT_RUN, err);
	}
}

/* Removes a submission of which no task waits or runs, except in detached
 * calls, and frees it if there are none. */
void
eng_subm_free(struct eng_subm *subm)
{
	event_del(&subm->deadline);
	RB_REMOVE(eng_subms, &subm->engine->subms, subm);
	TAILQ_REMOVE(&subm->job->subms, subm, job_entry);
	subm_answer_free(subm->answer);
	subm->answer = NULL;
	subm->answer_delivered = true;
	eng_subm_release(subm);
}

/* Frees a submission whose answer was delivered, unless detached calls still
 * refer to its request and its job. */
void
eng_subm_release(struct eng_subm *subm)
{
	if (!subm->answer_delivered || subm->ndetached != 0)
		return;
	subm->job->nsubms--;
	eng_job_release(subm->engine, subm->job);
	subm_free(subm->subm_spec);
	free(subm);
}
