#ifndef BERYLRAIL_LIMITS_H
#define BERYLRAIL_LIMITS_H

/* Bounds that are part of the protocol. Those that a host's operator may
 * lower are settings; see entry/settings.h. */

#define NAME_LEN_MAX 63 /* bytes; object, host, label names */
#define NAME_SIZE (NAME_LEN_MAX + 1)
#define TICKET_SIZE 256		   /* bytes of text, with the NUL */
#define KEY_SIZE 129		   /* bytes of an idempotency key */
#define JOB_TASKS_MAX 170	   /* tasks of one submission */
#define LABELS_MAX 32		   /* labels of one object */
#define FRAME_BYTES_MAX (8U << 20) /* one message between peers */
#define BODY_BYTES_MAX (4U << 20)  /* one request's body */
#define HEADERS_MAX 64		   /* header lines of one request */
#define JSON_DEPTH_MAX 16	   /* nesting of a request's body */

#endif /* BERYLRAIL_LIMITS_H */
