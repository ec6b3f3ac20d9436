/*
 * Non-blocking writer of log lines. All lines in the buffer are complete,
 * except that the beginning of the first one may already have been written.
 */

#include <errno.h>
#include <event2/event.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "adapters/log_writer.h"
#include "core/counters.h"

#define LGW_BUFFER_BYTES (256U << 10)
#define LGW_FLUSH_DELAY_MS 25 /* one write for several lines */

static struct counter lgw_dropped_total = {
	.name = "berylrail_log_lines_dropped_total",
	.help = "Log lines dropped because the buffer was full.",
};

static struct {
	int fd;
	struct event *timer;
	size_t len;
	unsigned long dropped; /* lines, since the last report in the log */
	char buffer[LGW_BUFFER_BYTES];
} lgw = { .fd = -1 };

void
lgw_open(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	lgw.fd = fd;
	lgw.len = 0;
	if (flags != -1)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

void
lgw_flush(void)
{
	ssize_t n;

	while (lgw.len > 0) {
		n = write(lgw.fd, lgw.buffer, lgw.len);
		if (n == -1 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		lgw.len -= (size_t)n;
		memmove(lgw.buffer, lgw.buffer + n, lgw.len);
	}
}

static void
lgw_schedule_flush(void)
{
	const struct timeval delay = { .tv_usec = LGW_FLUSH_DELAY_MS * 1000 };

	if (!event_pending(lgw.timer, EV_TIMEOUT, NULL))
		(void)event_add(lgw.timer, &delay);
}

static void
lgw_flush_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	lgw_flush();
	if (lgw.len > 0)
		lgw_schedule_flush();
}

int
lgw_attach(struct event_base *base)
{
	lgw.timer = evtimer_new(base, lgw_flush_timer, NULL);
	return lgw.timer == NULL ? -1 : 0;
}

void
lgw_detach(void)
{
	if (lgw.timer != NULL)
		event_free(lgw.timer);
	lgw.timer = NULL;
	lgw_flush();
}

static bool
lgw_append(const char *line, size_t len)
{
	if (len + 1 > LGW_BUFFER_BYTES - lgw.len)
		return false;
	memcpy(lgw.buffer + lgw.len, line, len);
	lgw.len += len;
	lgw.buffer[lgw.len++] = '\n';
	return true;
}

void
lgw_add(const char *line, size_t len)
{
	char text[80];
	int n;

	if (lgw.fd == -1)
		return;
	if (lgw.dropped > 0) {
		n = snprintf(text, sizeof(text),
		    "event=log-lines-dropped lines=%lu reason=\"buffer full\"",
		    lgw.dropped);
		if (lgw_append(text, (size_t)n))
			lgw.dropped = 0;
	}
	if (!lgw_append(line, len)) {
		lgw.dropped++;
		ctr_inc(&lgw_dropped_total);
	}
	if (lgw.timer == NULL)
		lgw_flush();
	else
		lgw_schedule_flush();
}
