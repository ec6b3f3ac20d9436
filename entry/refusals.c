/*
 * The table of refusals, and the counters of refused requests.
 */

#include <stdio.h>

#include "core/counters.h"
#include "entry/refusals.h"

#define REF_NSTEPS (ERR_STEP_DRAIN + 1)
#define REF_NCODES (ERR_NO_MEMORY + 1)
#define REF_LABELS_BYTES 64

/* clang-format off */
#define REF_ROW(s, c, http, text) \
	{ .step = ERR_STEP_##s, .code = ERR_##c, .status = (http), \
	  .title = (text) }
#define REF_ROW_NOT_RUN(s, c, http, text) \
	{ .step = ERR_STEP_##s, .code = ERR_##c, .status = (http), \
	  .has_outcome = true, .outcome = OUTCOME_NOT_RUN, .title = (text) }
#define REF_ROW_UNKNOWN(s, c, http, text) \
	{ .step = ERR_STEP_##s, .code = ERR_##c, .status = (http), \
	  .has_outcome = true, .outcome = OUTCOME_UNKNOWN, .title = (text) }

static const struct refusal_row refusal_rows[REF_COUNT] = {
	[REF_PATH] = REF_ROW(PARSE, NOT_FOUND, 404, "no such path"),
	[REF_METHOD] = REF_ROW(PARSE, INVALID, 405,
	    "method not allowed for this path"),
	[REF_MALFORMED] = REF_ROW(PARSE, INVALID, 400,
	    "malformed HTTP request"),
	[REF_HEADERS] = REF_ROW(PARSE, TOO_LARGE, 431,
	    "too many header lines"),
	[REF_HEADER_BYTES] = REF_ROW(PARSE, TOO_LARGE, 431,
	    "header lines too large"),
	[REF_REQUEST_TIMEOUT] = REF_ROW(PARSE, DEADLINE, 408,
	    "the request was not received in time"),
	[REF_BODY_BYTES] = REF_ROW(PARSE, TOO_LARGE, 413,
	    "body too large"),
	[REF_JSON] = REF_ROW(PARSE, INVALID, 400, "body is not JSON"),
	[REF_NESTING] = REF_ROW(PARSE, TOO_LARGE, 400,
	    "body nested too deeply"),
	[REF_MEMBER] = REF_ROW(PARSE, INVALID, 400,
	    "missing, unknown or wrongly typed JSON member"),
	[REF_TASKS] = REF_ROW(PARSE, TOO_LARGE, 400, "too many tasks"),
	[REF_KEY] = REF_ROW(PARSE, INVALID, 400,
	    "invalid Idempotency-Key"),
	[REF_TICKET] = REF_ROW_NOT_RUN(PARSE, INVALID, 400, "not a ticket"),
	[REF_QUERY] = REF_ROW(PARSE, INVALID, 400, "invalid query"),
	[REF_CONNECTIONS] = REF_ROW(ADMIT, OVERLOAD, 503,
	    "too many connections"),

	[REF_NEVER_ISSUED] = REF_ROW_NOT_RUN(CLAIM, INVALID, 400,
	    "the ticket was not issued by this host"),
	[REF_ANSWER_EXPIRED] = REF_ROW_UNKNOWN(CLAIM, NOT_FOUND, 410,
	    "the answer is no longer retained"),
	[REF_TICKET_UNUSED] = REF_ROW(CLAIM, NOT_FOUND, 404,
	    "the ticket has not been used"),
	[REF_CLAIM_CANCELLED] = REF_ROW_NOT_RUN(CLAIM, CANCELLED, 200,
	    "cancelled before it was started"),

	[REF_FORWARD_TWICE] = REF_ROW_UNKNOWN(FORWARD, NOT_FOUND, 410,
	    "forwarded to a host that is not the issuer"),
	[REF_ISSUER_UNREACHABLE] = REF_ROW_UNKNOWN(FORWARD, UNAVAILABLE, 503,
	    "the issuing host is unreachable"),
	[REF_ISSUER_GONE] = REF_ROW_UNKNOWN(FORWARD, NOT_FOUND, 410,
	    "the issuing process has ended; no record of this ticket"),
	[REF_ISSUER_STOPPED_NOT_RUN] = REF_ROW_NOT_RUN(FORWARD, NOT_FOUND, 410,
	    "the issuing process stopped without starting the submission"),
	[REF_ISSUER_STOPPED_ENDED] = REF_ROW_UNKNOWN(FORWARD, NOT_FOUND, 410,
	    "the submission ended before the issuing process stopped; "
	    "its answer was not retained"),

	[REF_KEY_TABLE_UNAVAILABLE] = REF_ROW_UNKNOWN(TABLE, UNAVAILABLE, 503,
	    "the idempotency key can't be claimed: this attempt was not "
	    "started, but an earlier one may have been"),
	[REF_KEY_CLAIM_UNKNOWN] = REF_ROW_UNKNOWN(TABLE, LOST, 503,
	    "result of the idempotency key's claim unknown: this attempt "
	    "was not started, but an earlier one may have been"),
	[REF_KEY_LEAVING] = REF_ROW_UNKNOWN(DRAIN, LEAVING, 503,
	    "this host is shutting down: this attempt was not started, "
	    "but an earlier one may have been"),
	[REF_KEY_CLAIM_FAILED] = REF_ROW_NOT_RUN(CLAIM, LOST, 503,
	    "not started, because its idempotency key could not be claimed"),

	[REF_LEAVING] = REF_ROW_NOT_RUN(DRAIN, LEAVING, 503,
	    "this host is shutting down"),
	[REF_LEAVING_TICKETS] = REF_ROW(DRAIN, LEAVING, 503,
	    "this host is shutting down"),
	[REF_DRAIN_TIMEOUT] = REF_ROW_UNKNOWN(DRAIN, DEADLINE, 503,
	    "not completed within the time limit of the shutdown"),

	[REF_ENGINE_INVALID] = REF_ROW_NOT_RUN(ADMIT, INVALID, 400,
	    "the submission is not valid"),
	[REF_ENGINE_TOO_LARGE] = REF_ROW_NOT_RUN(ADMIT, TOO_LARGE, 413,
	    "the submission exceeds a limit"),
	[REF_ENGINE_NO_JOB] = REF_ROW_NOT_RUN(ADMIT, NOT_FOUND, 404,
	    "no such job"),
	[REF_ENGINE_OVERLOAD] = REF_ROW_NOT_RUN(ADMIT, OVERLOAD, 503,
	    "a queue or quota is full"),
	[REF_ENGINE_DEADLINE] = REF_ROW_NOT_RUN(ADMIT, DEADLINE, 503,
	    "the deadline can't be met"),
	[REF_ENGINE_NO_SERVER] = REF_ROW_NOT_RUN(ADMIT, NO_SERVER, 422,
	    "no backend server is able to run the submission"),
	[REF_ENGINE_OTHER] = REF_ROW_NOT_RUN(ADMIT, REFUSED, 503,
	    "refused at admission"),
	[REF_NO_MEMORY] = REF_ROW_UNKNOWN(ADMIT, NO_MEMORY, 503,
	    "out of memory"),
};
/* clang-format on */

const struct refusal_row *
refusal_get(enum refusal refusal)
{
	return &refusal_rows[refusal];
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
	static struct counter counters[REF_NSTEPS][REF_NCODES];
	static char labels[REF_NSTEPS][REF_NCODES][REF_LABELS_BYTES];
	struct counter *counter = &counters[err->step][err->code];

	if (counter->name == NULL) {
		char *text = labels[err->step][err->code];

		(void)snprintf(text, REF_LABELS_BYTES,
		    "step=\"%s\",code=\"%s\"", err_step_name(err->step),
		    err_code_name(err->code));
		counter->labels = text;
		counter->help = "Refused requests, by step and code.";
		counter->name = "berylrail_refusals_total";
	}
	ctr_inc(counter);
}
