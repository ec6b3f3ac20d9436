/*
 * Feeds of tables, as platform/rows.c reads them: at first in full, then the
 * changes, by long polls or with pauses.
 */

#include "sim_store.h"

#define SIM_POLL_WAIT_MS 2500
#define SIM_RETRY_MIN_MS 100
#define SIM_RETRY_MAX_MS 800

void
sim_feed_read(struct sim_feed *feed)
{
	bool long_poll =
	    feed->pause_ms == 0 && feed->retry_ms == 0 && !feed->full_read;
	struct sim_call *call = sim_call_create(feed->rows, SIM_CALL_FEED,
	    SIM_CALL_TIMEOUT_MS + (long_poll ? SIM_POLL_WAIT_MS : 0));

	call->feed = feed;
	call->since = feed->version;
	call->full = feed->full_read;
	call->wait_until_ms =
	    long_poll ? feed->rows->host->day->now_ms + SIM_POLL_WAIT_MS : 0;
	feed->reading = true;
	feed->suspended = false;
	feed->next_ms = 0;
	if (feed->refresh_requested)
		feed->refresh_in_progress = true;
	feed->refresh_requested = false;
}

static bool
sim_feed_suspends(const struct sim_feed *feed)
{
	return feed->pause_ms == ROWS_POLL_NEVER && !feed->refresh_requested &&
	    !feed->refresh_in_progress;
}

static void
sim_rows_set_connected(struct sim_rows *rows, bool connected)
{
	if (rows->connected == connected)
		return;
	rows->connected = connected;
	rows->listener.connected(rows->listener.arg, connected);
}

void
sim_feed_failed(struct sim_feed *feed)
{
	uint64_t now_ms = feed->rows->host->day->now_ms;

	if (sim_feed_suspends(feed)) {
		feed->suspended = true;
		return;
	}
	if (feed->retry_ms == 0) {
		feed->retry_ms = SIM_RETRY_MIN_MS;
		feed->next_ms = now_ms + 1;
		return;
	}
	sim_rows_set_connected(feed->rows, false);
	feed->next_ms = now_ms + feed->retry_ms;
	if (feed->retry_ms < SIM_RETRY_MAX_MS)
		feed->retry_ms *= 2;
	/* The store may have discarded its history meanwhile. */
	if (sim_chance(feed->rows->host->day, 50))
		feed->full_read = true;
}

void
sim_feed_replied(struct sim_feed *feed, const struct sim_call *call)
{
	const struct rows_listener *listener = &feed->rows->listener;
	uint64_t now_ms = feed->rows->host->day->now_ms;
	struct rows_change change = { .table = feed->table };
	size_t i;

	feed->retry_ms = 0;
	sim_rows_set_connected(feed->rows, true);
	if (call->full)
		listener->read_begin(listener->arg, feed->table);
	for (i = 0; i < call->nfound; i++) {
		change.key = call->found[i].key;
		change.value = call->found[i].value;
		change.value_len = call->found[i].value_len;
		change.version = call->found[i].version;
		listener->changed(listener->arg, &change);
	}
	feed->version = call->version;
	feed->full_read = false;
	if (call->full)
		listener->read_end(listener->arg, feed->table, call->version);
	listener->current(listener->arg, feed->table, call->version);
	if (feed->refresh_in_progress) {
		feed->refresh_in_progress = false;
		listener->refreshed(listener->arg, feed->table);
	}
	if (sim_feed_suspends(feed))
		feed->suspended = true;
	else
		feed->next_ms = now_ms +
		    (feed->refresh_requested || feed->pause_ms == 0
			    ? 1
			    : feed->pause_ms);
}
