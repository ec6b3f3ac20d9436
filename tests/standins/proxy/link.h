#ifndef STANDIN_PROXY_LINK_H
#define STANDIN_PROXY_LINK_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/* A link: a listener whose connections are passed on to one target. */

/** enum link_mode - what happens to the bytes of a link. */
enum link_mode {
	LINK_PASS,
	LINK_REFUSE,	 /* nobody listens, old connections are cut */
	LINK_DROP,	 /* bytes vanish, both ways, connections stay open */
	LINK_FREEZE,	 /* bytes are held back until the mode changes */
	LINK_LOSE_REPLY, /* requests pass; the first byte of an answer cuts */
	LINK_DROP_REPLY, /* requests pass; answers vanish */
	LINK_DUPLICATE,	 /* requests are sent again on a second connection */
	LINK_NMODES,
};

/** struct link_rule - faults of a link; they may be combined. */
struct link_rule {
	enum link_mode mode;
	uint32_t delay_ms;	/* of every chunk, both ways */
	uint32_t jitter_ms;	/* random further delay: reorders connections */
	int64_t cut_request_at; /* reset after so many bytes, -1 for never */
	int64_t cut_answer_at;
	int64_t half_close_at; /* of the request: no more is sent after it */
	uint32_t rate;	       /* bytes a second and direction, 0: no limit */
	uint32_t cut_permille; /* chance of a cut per chunk, in 1/1000 */
	int64_t faults_left;   /* faults left before LINK_PASS, 0: no limit */
};

struct pair;

/** struct link - see above. */
struct link {
	char name[64];
	struct event_base *base;
	struct evconnlistener *listener;
	uint16_t port;
	uint16_t target_port; /* on loopback, 0: nobody is there */
	bool refusing;	      /* nobody listens */
	struct link_rule rule;
	int64_t request_bytes; /* since the rule was set */
	int64_t answer_bytes;
	uint64_t naccepted, ncut;
	LIST_HEAD(, pair) pairs;
	TAILQ_ENTRY(link) entry;
};

/** link_open() - listen at a port that the kernel chooses; NULL on error. */
struct link *link_open(struct event_base *base, const char *name);

/** link_set_target() - pass connections on to this port from now on. */
void link_set_target(struct link *link, uint16_t port);

/** link_set_rule() - replace the faults; -1 if the mode is unknown. */
int link_set_rule(struct link *link, const json_t *json);

/** link_cut_all() - reset every connection of the link. */
void link_cut_all(struct link *link);

/** link_stats() - counts as JSON. */
json_t *link_stats(const struct link *link);

/** link_seed() - seed of all random choices. */
void link_seed(uint64_t seed);

/** link_set_trace_fd() - set where one line for each fault is printed. */
void link_set_trace_fd(int fd);

/** link_random() - a number below @n by the seed. */
uint32_t link_random(uint32_t n);

/** link_log() - a line of the trace, of the pair with that id. */
void link_log(const struct link *link, unsigned id, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** link_fault_occurred() - one fault of the rule has happened. */
void link_fault_occurred(struct link *link);

#endif /* STANDIN_PROXY_LINK_H */
