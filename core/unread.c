/*
 * Messages that wait while the event loop is paused.
 */

#include <stdbool.h>

#include "core/unread.h"

/* After a pause, all sockets count as read when as much time has passed as the
 * pause has taken, or this time. */
#define UNREAD_READ_MAX_US UINT64_C(100000)

/* A tick that is late by this follows a pause. */
#define UNREAD_LATE_US UINT64_C(100000)
/* An iteration that is longer by this reads few of the sockets: it prolongs a
 * pause before it. */
#define UNREAD_DELAY_US UINT64_C(50000)
/* Pauses in a row after which the messages of the first one count as read: a
 * slow host, of which all ticks are late, reads on between them. */
#define UNREAD_PAUSES_MAX 2

void
unread_start(struct unread *unread, uint64_t now_us, uint64_t interval_us)
{
	*unread = (struct unread){ .last_tick_us = now_us,
		.previous_tick_us = now_us,
		.interval_us = interval_us };
}

/* The tick at @now_us is the first one after @pause_us. */
static void
unread_pause(struct unread *unread, uint64_t now_us, uint64_t pause_us)
{
	uint64_t ends_us = now_us +
	    (pause_us < UNREAD_READ_MAX_US ? pause_us : UNREAD_READ_MAX_US);
	bool in_row =
	    unread->npauses > 0 && unread->last_tick_us < unread->pause_ends_us;

	if (in_row && unread->npauses < UNREAD_PAUSES_MAX &&
	    pause_us >= unread->interval_us + UNREAD_DELAY_US) {
		unread->npauses++;
		if (pause_us > unread->pause_us)
			unread->pause_us = pause_us;
		if (ends_us > unread->pause_ends_us)
			unread->pause_ends_us = ends_us;
		return;
	}
	if (ends_us <= unread->pause_ends_us ||
	    (in_row && now_us < unread->pause_ends_us))
		return;
	unread->npauses = pause_us >= unread->interval_us + UNREAD_LATE_US;
	unread->paused_us = unread->last_tick_us;
	unread->pause_us = pause_us;
	unread->pause_ends_us = ends_us;
}

void
unread_tick(struct unread *unread, uint64_t now_us)
{
	if (unread->last_tick_us != 0)
		unread_pause(unread, now_us, now_us - unread->last_tick_us);
	unread->previous_tick_us = unread->last_tick_us;
	unread->last_tick_us = now_us;
}

uint64_t
unread_since_us(const struct unread *unread, uint64_t now_us)
{
	if (now_us < unread->pause_ends_us &&
	    unread->paused_us < unread->previous_tick_us)
		return unread->paused_us;
	return unread->previous_tick_us;
}

uint64_t
unread_pause_us(const struct unread *unread, uint64_t now_us)
{
	uint64_t pause_us = 0;

	if (unread->last_tick_us != 0)
		pause_us = now_us - unread->last_tick_us;
	if (now_us < unread->pause_ends_us && unread->pause_us > pause_us)
		pause_us = unread->pause_us;
	return pause_us;
}
