/*
 * Error objects, which record the step and the peer at which an error arose.
 * The names of steps and codes are part of the interface; see error.h.
 */

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "berylrail/error.h"

static const char *const err_step_names[] = {
	[ERR_STEP_NONE] = "none",
	[ERR_STEP_SETTINGS] = "settings",
	[ERR_STEP_PARSE] = "parse",
	[ERR_STEP_ADMIT] = "admit",
	[ERR_STEP_CLAIM] = "claim",
	[ERR_STEP_QUEUE] = "queue",
	[ERR_STEP_CONNECT] = "connect",
	[ERR_STEP_SEND] = "send",
	[ERR_STEP_RECEIVE] = "receive",
	[ERR_STEP_FORWARD] = "forward",
	[ERR_STEP_CONFIG] = "config",
	[ERR_STEP_TABLE] = "table",
	[ERR_STEP_BLOB] = "blob",
	[ERR_STEP_PEER] = "peer",
	[ERR_STEP_DRAIN] = "drain",
};

static const char *const err_code_names[] = {
	[ERR_OK] = "ok",
	[ERR_INVALID] = "invalid",
	[ERR_TOO_LARGE] = "too-large",
	[ERR_NOT_FOUND] = "not-found",
	[ERR_CONFLICT] = "conflict",
	[ERR_OVERLOAD] = "overload",
	[ERR_DEADLINE] = "deadline",
	[ERR_NO_SERVER] = "no-server",
	[ERR_UNAVAILABLE] = "unavailable",
	[ERR_LOST] = "lost",
	[ERR_REFUSED] = "refused",
	[ERR_FAILED] = "failed",
	[ERR_CANCELLED] = "cancelled",
	[ERR_LEAVING] = "leaving",
	[ERR_CORRUPT] = "corrupt",
	[ERR_NO_MEMORY] = "no-memory",
};

#define ERR_NITEMS(a) (sizeof(a) / sizeof((a)[0]))

int
err_set(struct err *err, enum err_step step, enum err_code code,
    const char *peer, const char *fmt, ...)
{
	va_list ap;

	if (err == NULL)
		return -1;
	err->step = step;
	err->code = code;
	(void)snprintf(err->peer, sizeof(err->peer), "%s",
	    peer == NULL ? "" : peer);
	va_start(ap, fmt);
	(void)vsnprintf(err->message, sizeof(err->message), fmt, ap);
	va_end(ap);
	return -1;
}

const char *
err_step_name(enum err_step step)
{
	if ((size_t)step >= ERR_NITEMS(err_step_names))
		return "none";
	return err_step_names[step];
}

const char *
err_code_name(enum err_code code)
{
	if ((size_t)code >= ERR_NITEMS(err_code_names))
		return "ok";
	return err_code_names[code];
}

enum err_step
err_step_from_name(const char *name)
{
	size_t i;

	for (i = 0; i < ERR_NITEMS(err_step_names); i++) {
		if (strcmp(name, err_step_names[i]) == 0)
			return (enum err_step)i;
	}
	return ERR_STEP_NONE;
}

enum err_code
err_code_from_name(const char *name)
{
	size_t i;

	for (i = 0; i < ERR_NITEMS(err_code_names); i++) {
		if (strcmp(name, err_code_names[i]) == 0)
			return (enum err_code)i;
	}
	return ERR_OK;
}
