#ifndef ENTRY_REFUSALS_H
#define ENTRY_REFUSALS_H

#include <stdbool.h>

#include "berylrail/error.h"
#include "berylrail/outcome.h"

/*
 * Every way in which an entry host refuses a request, in one table. A row
 * whose outcome is "not-run" is a promise: where it is used, no task of the
 * request was started, nor will be.
 */

/** enum refusal - rows of the table. */
enum refusal {
	/* The request itself. */
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
	/* Forwarding, and issuers that are gone. */
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
	/* Shutting down. */
	REF_LEAVING,
	REF_LEAVING_TICKETS,
	REF_DRAIN_TIMEOUT,
	/* What the engine refuses, by its error's code. */
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

/** struct refusal_row - one row; the message may be replaced. */
struct refusal_row {
	enum err_step step;
	enum err_code code;
	int status;	  /* HTTP */
	bool has_outcome; /* does it answer a submission or request? */
	enum outcome outcome;
	const char *title;
};

/** refusal_get() - the row of a refusal. */
const struct refusal_row *refusal_get(enum refusal refusal);

/** refusal_from_engine() - the row for an error of engine_submit(). */
enum refusal refusal_from_engine(const struct err *err);

/** refusal_set_err() - fill @err from a row, with @peer (may be NULL). */
void refusal_set_err(struct err *err, enum refusal refusal, const char *peer);

/** refusal_count() - count one refusal by its step and code. */
void refusal_count(const struct err *err);

#endif /* ENTRY_REFUSALS_H */
