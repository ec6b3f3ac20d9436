#ifndef CORE_UNREAD_H
#define CORE_UNREAD_H

#include <stdint.h>

/*
 * Since when a message that is read now may have waited in the sockets of this
 * process. After a pause, an event loop reads a part of its sockets in each
 * iteration, and runs its timers in between.
 *
 * Times are of one clock that counts suspensions.
 */

/** struct unread - the ticks of a timer of the event loop; zeroed: none yet. */
struct unread {
	uint64_t last_tick_us;	   /* or the start; 0: neither */
	uint64_t previous_tick_us; /* the one before the last; 0: none */
	uint64_t interval_us;	   /* of the ticks, as set; 0: short */
	/* The longest of the last pauses: the tick before it, or before the
	 * first one of a row, and until when messages from that time may be
	 * read. */
	uint64_t paused_us;
	uint64_t pause_us; /* its length */
	uint64_t pause_ends_us;
	/* Pauses, each of which began before the messages of the one before
	 * were read; 0: no tick was late. */
	uint32_t npauses;
};

/** unread_start() - no message has been read before @now_us.
 * @interval_us: of the ticks. */
void unread_start(struct unread *unread, uint64_t now_us, uint64_t interval_us);

/** unread_tick() - the timer has expired. */
void unread_tick(struct unread *unread, uint64_t now_us);

/**
 * unread_since_us() - since when a message that is read now may have waited.
 * Return: the time of a tick or the start; 0: there were fewer than two.
 */
uint64_t unread_since_us(const struct unread *unread, uint64_t now_us);

/**
 * unread_pause_us() - the longest pause of the event loop in which a message
 * that is read now may have waited. Unlike the time since
 * unread_since_us(), it is no longer on a host of which all ticks are late.
 */
uint64_t unread_pause_us(const struct unread *unread, uint64_t now_us);

#endif /* CORE_UNREAD_H */
