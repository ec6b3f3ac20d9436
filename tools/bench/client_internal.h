#ifndef TOOLS_BENCH_CLIENT_INTERNAL_H
#define TOOLS_BENCH_CLIENT_INTERNAL_H

#include <event2/event.h>
#include <event2/http.h>
#include <sys/queue.h>

#include "bench.h"

/* Shared by client.c and balancer.c. */

/* One client and its connection. */
struct bct_conn {
	struct bench_client *client;
	int host;
	struct evhttp_connection *http;
	char ticket[TICKET_SIZE];
	struct bct_job *job; /* under way, or NULL: idle */
	bool broken;
	TAILQ_ENTRY(bct_conn) entry; /* of idle ones */
	TAILQ_ENTRY(bct_conn) all_entry;
};

/* One job under way. */
struct bct_job {
	const struct bench_job *job;
	struct bench_client *client;
	struct bct_conn *conn;
	char id[TICKET_SIZE];
	int resubmits;
	bool cancelled;
};

TAILQ_HEAD(bct_conns, bct_conn);

struct bench_client {
	struct event_base *base;
	struct bench_cluster *cluster;
	const struct bench_load *load;
	struct bench_result *results;
	struct bct_job *jobs;
	struct bct_conns all;
	struct bct_conns idle[BENCH_HOSTS_MAX];
	struct event *due;
	struct event *balancer;
	struct evhttp_connection *ready_conns[BENCH_HOSTS_MAX];
	struct bench_client_counts counts;
	json_t *errors; /* counts by step and code */
	uint64_t start_us;
	uint64_t random;
	int next; /* job */
	int nended;
	bool stopping;
};

/* client.c */
struct evhttp_request *bct_request(
    void (*done)(struct evhttp_request *, void *), void *arg);
int bct_status(struct evhttp_request *request);

/* balancer.c */
int bct_balance(struct bench_client *client);
void bct_balancer_tick(evutil_socket_t fd, short what, void *arg);

#endif /* TOOLS_BENCH_CLIENT_INTERNAL_H */
