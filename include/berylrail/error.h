#ifndef BERYLRAIL_ERROR_H
#define BERYLRAIL_ERROR_H

/*
 * Errors carry the step and the peer at which they arose. The function that
 * meets the error fills the object once and returns -1 (or NULL); callers pass
 * it on unchanged.
 */

#define ERR_PEER_MAX 96	    /* bytes, with the terminating NUL */
#define ERR_MESSAGE_MAX 192 /* bytes, with the terminating NUL */

/** enum err_step - the step of the work at which an error arose. */
enum err_step {
	ERR_STEP_NONE,
	ERR_STEP_SETTINGS,
	ERR_STEP_PARSE,	  /* reading a request, frame, selector or ticket */
	ERR_STEP_ADMIT,	  /* admission control */
	ERR_STEP_CLAIM,	  /* claiming a ticket or an idempotency key */
	ERR_STEP_QUEUE,	  /* waiting for a task slot */
	ERR_STEP_CONNECT, /* connecting to a backend server */
	ERR_STEP_SEND,	  /* sending a request to a backend server */
	ERR_STEP_RECEIVE, /* waiting for or reading its answer */
	ERR_STEP_FORWARD, /* forwarding to the issuing host */
	ERR_STEP_CONFIG,  /* reading or changing the configuration */
	ERR_STEP_TABLE,	  /* the platform's table service */
	ERR_STEP_BLOB,	  /* the platform's object store */
	ERR_STEP_PEER,	  /* the connection to a peer */
	ERR_STEP_DRAIN,	  /* graceful shutdown */
};

/** enum err_code - the kind of an error, independent of its step. */
enum err_code {
	ERR_OK,
	ERR_INVALID,	 /* malformed input */
	ERR_TOO_LARGE,	 /* input exceeds a bound */
	ERR_NOT_FOUND,	 /* no such object */
	ERR_CONFLICT,	 /* lost a compare-and-set, or already exists */
	ERR_OVERLOAD,	 /* a queue or a quota is full */
	ERR_DEADLINE,	 /* the deadline can't be met, or has passed */
	ERR_NO_SERVER,	 /* no backend server matches or is able */
	ERR_UNAVAILABLE, /* the peer can't be reached; nothing was sent */
	ERR_LOST,	 /* the connection broke after something was sent */
	ERR_REFUSED,	 /* the peer refused by contract */
	ERR_FAILED,	 /* the task ran and failed */
	ERR_CANCELLED,	 /* cancelled by the caller */
	ERR_LEAVING,	 /* this host is shutting down */
	ERR_CORRUPT,	 /* length or digest do not match */
	ERR_NO_MEMORY,
};

/** struct err - an error with the step and the peer at which it arose. */
struct err {
	enum err_step step;
	enum err_code code;
	char peer[ERR_PEER_MAX];       /* name or address, may be empty */
	char message[ERR_MESSAGE_MAX]; /* one line for people */
};

/**
 * err_set() - fill an error object.
 * @err: the object to fill; may be NULL, then nothing is stored.
 * @step: the step at which the error arose.
 * @code: its kind.
 * @peer: name or address of the other side, NULL for none.
 * @fmt: message in the manner of printf(3).
 *
 * Return: always -1, so that a caller can `return err_set(...)`.
 */
int err_set(struct err *err, enum err_step step, enum err_code code,
    const char *peer, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/** err_step_name() - the step's name as callers and logs see it. */
const char *err_step_name(enum err_step step);

/** err_code_name() - the code's name as callers and logs see it. */
const char *err_code_name(enum err_code code);

/** err_step_from_name() - inverse of err_step_name(), NONE if unknown. */
enum err_step err_step_from_name(const char *name);

/** err_code_from_name() - inverse of err_code_name(), ERR_OK if unknown. */
enum err_code err_code_from_name(const char *name);

#endif /* BERYLRAIL_ERROR_H */
