/*
 * Ends of tasks, and the answer that they make up.
 */

#include <stdlib.h>
#include <string.h>

#include "core/counters.h"
#include "entry/engine_internal.h"

/*
 * Response time against the ideal, of complete answers only: the time from
 * admission to answer, in parts per thousand of disp_ideal_us() over the run
 * times of the job's own tasks as measured, each multiplied by the learned
 * speed of the server that ran it. The other outcomes are counted by
 * berylrail_submissions_ended_total.
 */
static struct counter eng_ratio_sum = {
	.name = "berylrail_response_ratio_ppt_sum",
	.help = "Sum of response times against the ideal, parts per thousand.",
};
static struct counter eng_ratio_count = {
	.name = "berylrail_response_ratio_ppt_count",
	.help = "Complete answers counted in the sum.",
};

#define ENG_RATIO_BUCKET(ppt)                                  \
	{                                                      \
		.name = "berylrail_response_ratio_ppt_bucket", \
		.labels = "le=\"" #ppt "\"",                   \
		.help = "Complete answers within this ratio.", \
	}

static const double eng_ratio_bounds[] = { 1050, 1100, 1250, 1500, 2000, 3000,
	5000, 10000 };
static struct counter eng_ratio_buckets[] = {
	ENG_RATIO_BUCKET(1050),
	ENG_RATIO_BUCKET(1100),
	ENG_RATIO_BUCKET(1250),
	ENG_RATIO_BUCKET(1500),
	ENG_RATIO_BUCKET(2000),
	ENG_RATIO_BUCKET(3000),
	ENG_RATIO_BUCKET(5000),
	ENG_RATIO_BUCKET(10000),
	ENG_RATIO_BUCKET(+Inf),
};

#define ENG_ANSWERS(outcome)                                      \
	{                                                         \
		.name = "berylrail_submissions_ended_total",      \
		.labels = "outcome=\"" outcome "\"",              \
		.help = "Submissions that the engine has ended.", \
	}

static struct counter eng_answers[] = {
	[OUTCOME_COMPLETE] = ENG_ANSWERS("complete"),
	[OUTCOME_NOT_RUN] = ENG_ANSWERS("not-run"),
	[OUTCOME_TASK_FAILED] = ENG_ANSWERS("task-failed"),
	[OUTCOME_UNKNOWN] = ENG_ANSWERS("outcome-unknown"),
};

static void
eng_count_ratio(const struct eng_subm *subm)
{
	size_t nbounds = sizeof(eng_ratio_bounds) / sizeof(double), i;
	double ideal_us, ppt;

	ideal_us = disp_ideal_us(&subm->job->pool->pick, subm->work_us,
	    subm->subm->ntasks);
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
	event_active(engine->flush, EV_TIMEOUT, 0);
}

/* The first error names the answer's; a task that ended is never ended again.
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

void
eng_stop_waiting(struct eng_subm *subm, const struct err *err)
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
		    subm->maybe_ran ? TASK_LOST : TASK_NOT_RUN, err);
	}
}

/* Nothing of it waits or runs, but for stale calls. */
void
eng_subm_free(struct eng_subm *subm)
{
	event_del(&subm->deadline);
	RB_REMOVE(eng_subms, &subm->engine->subms, subm);
	TAILQ_REMOVE(&subm->job->subms, subm, job_entry);
	subm_answer_free(subm->answer);
	subm->answer = NULL;
	subm->gone = true;
	eng_subm_release(subm);
}

/* Stale calls still use the request and the job. */
void
eng_subm_release(struct eng_subm *subm)
{
	if (!subm->gone || subm->nstale != 0)
		return;
	subm->job->nsubms--;
	eng_job_release(subm->engine, subm->job);
	subm_free(subm->subm);
	free(subm);
}
