/*
 * The table of refusals.
 */

#include <stdio.h>

#include "core/counters.h"
#include "entry/refusals.h"

#define REF_STEPS (ERR_STEP_DRAIN + 1)
#define REF_CODES (ERR_NO_MEMORY + 1)
#define REF_LABELS_BYTES 64

/* clang-format off */
#define REF_PLAIN(s, c, http, text) \
	{ .step = ERR_STEP_##s, .code = ERR_##c, .status = (http), \
	  .title = (text) }
#define REF_NOT_RUN(s, c, http, text) \
	{ .step = ERR_STEP_##s, .code = ERR_##c, .status = (http), \
	  .has_outcome = true, .outcome = OUTCOME_NOT_RUN, .title = (text) }
#define REF_UNKNOWN(s, c, http, text) \
	{ .step = ERR_STEP_##s, .code = ERR_##c, .status = (http), \
	  .has_outcome = true, .outcome = OUTCOME_UNKNOWN, .title = (text) }

static const struct refusal_row ref_rows[REF_COUNT] = {
	[REF_PATH] = REF_PLAIN(PARSE, NOT_FOUND, 404, "no such path"),
	[REF_METHOD] = REF_PLAIN(PARSE, INVALID, 405,
	    "the path does not serve this method"),
	[REF_MALFORMED] = REF_PLAIN(PARSE, INVALID, 400,
	    "not an HTTP request"),
	[REF_HEADERS] = REF_PLAIN(PARSE, TOO_LARGE, 431,
	    "too many header lines"),
	[REF_HEADER_BYTES] = REF_PLAIN(PARSE, TOO_LARGE, 431,
	    "header lines too long"),
	[REF_REQUEST_TIMEOUT] = REF_PLAIN(PARSE, DEADLINE, 408,
	    "the request took too long to arrive"),
	[REF_BODY_BYTES] = REF_PLAIN(PARSE, TOO_LARGE, 413,
	    "body too large"),
	[REF_JSON] = REF_PLAIN(PARSE, INVALID, 400, "body is not JSON"),
	[REF_NESTING] = REF_PLAIN(PARSE, TOO_LARGE, 400,
	    "body nested too deep"),
	[REF_MEMBER] = REF_PLAIN(PARSE, INVALID, 400,
	    "missing, unknown or ill-typed member"),
	[REF_TASKS] = REF_PLAIN(PARSE, TOO_LARGE, 400, "too many tasks"),
	[REF_KEY] = REF_PLAIN(PARSE, INVALID, 400, "bad Idempotency-Key"),
	[REF_TICKET] = REF_NOT_RUN(PARSE, INVALID, 400, "not a ticket"),
	[REF_QUERY] = REF_PLAIN(PARSE, INVALID, 400, "bad query"),
	[REF_CONNECTIONS] = REF_PLAIN(ADMIT, OVERLOAD, 503,
	    "too many connections"),

	[REF_NEVER_ISSUED] = REF_NOT_RUN(CLAIM, INVALID, 400,
	    "this host did not issue this ticket"),
	[REF_ANSWER_EXPIRED] = REF_UNKNOWN(CLAIM, NOT_FOUND, 410,
	    "the answer is no longer kept"),
	[REF_TICKET_UNUSED] = REF_PLAIN(CLAIM, NOT_FOUND, 404,
	    "the ticket was not used yet"),
	[REF_CLAIM_CANCELLED] = REF_NOT_RUN(CLAIM, CANCELLED, 200,
	    "cancelled before its start"),

	[REF_FORWARD_TWICE] = REF_UNKNOWN(FORWARD, NOT_FOUND, 410,
	    "forwarded to a host that is not the issuer"),
	[REF_ISSUER_UNREACHABLE] = REF_UNKNOWN(FORWARD, UNAVAILABLE, 503,
	    "the issuing host can't be reached"),
	[REF_ISSUER_GONE] = REF_UNKNOWN(FORWARD, NOT_FOUND, 410,
	    "the issuing process is gone and left no record"),
	[REF_ISSUER_STOPPED_NOT_RUN] = REF_NOT_RUN(FORWARD, NOT_FOUND, 410,
	    "the issuing process stopped and never started it"),
	[REF_ISSUER_STOPPED_ENDED] = REF_UNKNOWN(FORWARD, NOT_FOUND, 410,
	    "it ended before the issuing process stopped; "
	    "its answer was not kept"),

	[REF_KEY_TABLE_UNAVAILABLE] = REF_UNKNOWN(TABLE, UNAVAILABLE, 503,
	    "the key can't be claimed: not started here now, "
	    "but an earlier try may have been"),
	[REF_KEY_CLAIM_UNKNOWN] = REF_UNKNOWN(TABLE, LOST, 503,
	    "the claim of the key could not be settled: not started here "
	    "now, but an earlier try may have been"),
	[REF_KEY_LEAVING] = REF_UNKNOWN(DRAIN, LEAVING, 503,
	    "this host is shutting down: not started here now, "
	    "but an earlier try may have been"),
	[REF_KEY_CLAIM_FAILED] = REF_NOT_RUN(CLAIM, LOST, 503,
	    "its key could not be claimed, so that it was not started"),

	[REF_LEAVING] = REF_NOT_RUN(DRAIN, LEAVING, 503,
	    "this host is shutting down"),
	[REF_LEAVING_TICKETS] = REF_PLAIN(DRAIN, LEAVING, 503,
	    "this host is shutting down"),
	[REF_DRAIN_TIMEOUT] = REF_UNKNOWN(DRAIN, DEADLINE, 503,
	    "cut by the limit of the shutdown"),

	[REF_ENGINE_INVALID] = REF_NOT_RUN(ADMIT, INVALID, 400,
	    "the submission is not valid"),
	[REF_ENGINE_TOO_LARGE] = REF_NOT_RUN(ADMIT, TOO_LARGE, 413,
	    "the submission exceeds a bound"),
	[REF_ENGINE_NO_JOB] = REF_NOT_RUN(ADMIT, NOT_FOUND, 404,
	    "no such job"),
	[REF_ENGINE_OVERLOAD] = REF_NOT_RUN(ADMIT, OVERLOAD, 503,
	    "a queue or quota is full"),
	[REF_ENGINE_DEADLINE] = REF_NOT_RUN(ADMIT, DEADLINE, 503,
	    "the deadline can't be met"),
	[REF_ENGINE_NO_SERVER] = REF_NOT_RUN(ADMIT, NO_SERVER, 422,
	    "no backend server can run it"),
	[REF_ENGINE_OTHER] = REF_NOT_RUN(ADMIT, REFUSED, 503,
	    "refused at admission"),
	[REF_NO_MEMORY] = REF_UNKNOWN(ADMIT, NO_MEMORY, 503,
	    "out of memory"),
};
/* clang-format on */

const struct refusal_row *
refusal_get(enum refusal refusal)
{
	return &ref_rows[refusal];
}

enum refusal
refusal_from_engine(const struct err *err)
{
	switch (err->code) {
	case ERR_INVALID:
		return REF_ENGINE_INVALID;
	case ERR_TOO_LARGE:
		return REF_ENGINE_TOO_LARGE;
	case ERR_NOT_FOUND:
		return REF_ENGINE_NO_JOB;
	case ERR_OVERLOAD:
		return REF_ENGINE_OVERLOAD;
	case ERR_DEADLINE:
		return REF_ENGINE_DEADLINE;
	case ERR_NO_SERVER:
		return REF_ENGINE_NO_SERVER;
	default:
		return REF_ENGINE_OTHER;
	}
}

void
refusal_set_err(struct err *err, enum refusal refusal, const char *peer)
{
	const struct refusal_row *row = refusal_get(refusal);

	(void)err_set(err, row->step, row->code, peer, "%s", row->title);
}

void
refusal_count(const struct err *err)
{
	static struct counter counters[REF_STEPS][REF_CODES];
	static char labels[REF_STEPS][REF_CODES][REF_LABELS_BYTES];
	struct counter *counter = &counters[err->step][err->code];

	if (counter->name == NULL) {
		char *text = labels[err->step][err->code];

		(void)snprintf(text, REF_LABELS_BYTES,
		    "step=\"%s\",code=\"%s\"", err_step_name(err->step),
		    err_code_name(err->code));
		counter->labels = text;
		counter->help = "requests refused, by step and code";
		counter->name = "berylrail_refusals_total";
	}
	ctr_inc(counter);
}
