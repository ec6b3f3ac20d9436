#ifndef STANDIN_PROXY_LINK_H
#define STANDIN_PROXY_LINK_H

#include <event2/event.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/* A link: a listener whose connections are forwarded to one target port. */

/** enum link_mode - handling of the bytes of a link. */
enum link_mode {
	LINK_PASS,
	LINK_REFUSE,	 /* does not listen; all connections are reset */
	LINK_DROP,	 /* discards all bytes; connections stay open */
	LINK_FREEZE,	 /* delays all bytes until the mode changes */
	LINK_LOSE_REPLY, /* resets the connection at the first byte of a reply
			  */
	LINK_DROP_REPLY, /* discards the bytes of replies */
	LINK_DUPLICATE,	 /* sends requests on a second connection as well */
	LINK_NMODES,
};

/** struct link_rule - faults of a link. They may be combined. */
struct link_rule {
	enum link_mode mode;
	uint32_t delay_ms;	/* of each chunk, in both directions */
	uint32_t jitter_ms;	/* maximum random delay; reorders connections */
	int64_t cut_request_at; /* reset after this many bytes; -1: never */
	int64_t cut_answer_at;
	int64_t half_close_at; /* stop sending the request after this many
				  bytes; -1: never */
	uint32_t rate;	       /* bytes per second and direction; 0: no limit */
	uint32_t
	    cut_permille; /* chance of a reset per chunk; "chaos" in JSON */
	int64_t
	    faults_left; /* until the rule ends; 0: no limit; "shots" in JSON */
};

struct pair;

/** struct link - a link and its counters. */
struct link {
	char name[64];
	struct event_base *base;
	struct evconnlistener *listener;
	uint16_t port;
	struct sockaddr_in target; /* port 0: none */
	bool refusing;		   /* the listener does not listen */
	struct link_rule rule;
	int64_t request_bytes; /* since the rule was set */
	int64_t answer_bytes;
	uint64_t naccepted, ncut;
	LIST_HEAD(, pair) pairs;
	TAILQ_ENTRY(link) entry;
};

/** link_open() - create a link, listening at a free port; NULL on error. */
struct link *link_open(struct event_base *base, const char *name);

/**
 * link_set_target() - forward new connections to @target; refuse them if its
 * port is 0.
 */
void link_set_target(struct link *link, const struct sockaddr_in *target);

/** link_set_rule() - replace the rule; 0, or -1 if the mode is unknown. */
int link_set_rule(struct link *link, const json_t *json);

/** link_cut_all() - reset every connection of the link. */
void link_cut_all(struct link *link);

/** link_stats() - mode and counters as JSON. */
json_t *link_stats(const struct link *link);

/** link_seed() - set the seed of all random choices. */
void link_seed(uint64_t seed);

/** link_set_trace_fd() - set the file for the trace, a line for each fault. */
void link_set_trace_fd(int fd);

/** link_random() - random number below @n, 0 if @n is 0. */
uint32_t link_random(uint32_t n);

/** link_log() - write a line to the trace. @id: of the pair; 0: the link. */
void link_log(const struct link *link, unsigned id, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** link_fault_occurred() - count a fault; after the last one, end the rule. */
void link_fault_occurred(struct link *link);

#endif /* STANDIN_PROXY_LINK_H */
