/*
 * Messages that wait while the event loop is paused.
 */

#include "core/unread.h"

/* After a pause, all sockets count as read when as much time has passed as the
 * pause has taken, or this time. */
#define UNREAD_READ_MAX_US UINT64_C(100000)

void
unread_start(struct unread *unread, uint64_t now_us)
{
	*unread = (struct unread){ .last_tick_us = now_us,
		.previous_tick_us = now_us };
}

void
unread_tick(struct unread *unread, uint64_t now_us)
{
	uint64_t pause_us = now_us - unread->last_tick_us;
	uint64_t ends_us = now_us +
	    (pause_us < UNREAD_READ_MAX_US ? pause_us : UNREAD_READ_MAX_US);

	if (unread->last_tick_us != 0 && ends_us > unread->pause_ends_us) {
		unread->paused_us = unread->last_tick_us;
		unread->pause_us = pause_us;
		unread->pause_ends_us = ends_us;
	}
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
