#ifndef ENTRY_REFUSALS_H
#define ENTRY_REFUSALS_H

#include <stdbool.h>

#include "berylrail/error.h"
#include "berylrail/outcome.h"

/*
 * Table of all refusals of requests by an entry host. A row with
 * OUTCOME_NOT_RUN may be used only if no task of the request has been or will
 * be started.
 */

/** enum refusal - rows of the table. */
enum refusal {
	/* Requests that are malformed, too large or too slow. */
	REF_PATH,
	REF_METHOD,
	REF_MALFORMED,
	REF_HEADERS,
	REF_HEADER_BYTES,
	REF_REQUEST_TIMEOUT,
	REF_BODY_BYTES,
	REF_JSON,
	REF_NESTING,
	REF_MEMBER,
	REF_TASKS,
	REF_KEY,
	REF_TICKET,
	REF_QUERY,
	REF_CONNECTIONS,
	/* Tickets. */
	REF_NEVER_ISSUED,
	REF_ANSWER_EXPIRED,
	REF_TICKET_UNUSED,
	REF_CLAIM_CANCELLED,
	/* Forwarding to issuing hosts, and tickets of processes that ended. */
	REF_FORWARD_TWICE,
	REF_ISSUER_UNREACHABLE,
	REF_ISSUER_GONE,
	REF_ISSUER_STOPPED_NOT_RUN,
	REF_ISSUER_STOPPED_ENDED,
	/* Idempotency keys. */
	REF_KEY_TABLE_UNAVAILABLE,
	REF_KEY_CLAIM_UNKNOWN,
	REF_KEY_LEAVING,
	REF_KEY_CLAIM_FAILED,
	/* Shutdown of this host. */
	REF_LEAVING,
	REF_LEAVING_TICKETS,
	REF_DRAIN_TIMEOUT,
	/* Refusals by the engine, by the code of its error. */
	REF_ENGINE_INVALID,
	REF_ENGINE_TOO_LARGE,
	REF_ENGINE_NO_JOB,
	REF_ENGINE_OVERLOAD,
	REF_ENGINE_DEADLINE,
	REF_ENGINE_NO_SERVER,
	REF_ENGINE_OTHER,
	REF_NO_MEMORY,
	REF_COUNT,
};

/** struct refusal_row - one row. */
struct refusal_row {
	enum err_step step;
	enum err_code code;
	int status;	  /* HTTP status */
	bool has_outcome; /* the response states an outcome */
	enum outcome outcome;
	const char *title; /* default message */
};

/** refusal_get() - get the row of a refusal. */
const struct refusal_row *refusal_get(enum refusal refusal);

/** refusal_from_engine() - map an error of engine_submit() to a refusal. */
enum refusal refusal_from_engine(const struct err *err);

/** refusal_set_err() - set @err from a row. @peer: may be NULL. */
void refusal_set_err(struct err *err, enum refusal refusal, const char *peer);

/** refusal_count() - count a refusal by the step and code of its error. */
void refusal_count(const struct err *err);

#endif /* ENTRY_REFUSALS_H */
