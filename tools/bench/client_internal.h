#ifndef TOOLS_BENCH_CLIENT_INTERNAL_H
#define TOOLS_BENCH_CLIENT_INTERNAL_H

#include <event2/event.h>
#include <event2/http.h>
#include <sys/queue.h>

#include "bench.h"

/* Definitions shared by client.c and balancer.c. */

/* A connection to an entry host. */
struct bct_conn {
	struct bench_client *client;
	int host;
	struct evhttp_connection *http;
	char ticket[TICKET_SIZE];	   /* next ticket, "" if none */
	struct bct_submission *submission; /* in progress, NULL if idle */
	bool unusable;			   /* failed, or closed by the host */
	TAILQ_ENTRY(bct_conn) idle_entry;
	TAILQ_ENTRY(bct_conn) all_entry;
};

/* A job of the workload and the state of its submission. */
struct bct_submission {
	const struct bench_job *job;
	struct bench_client *client;
	struct bct_conn *conn;
	char id[TICKET_SIZE]; /* ticket of the submission, "" if not sent */
	int resubmissions;
	bool cancelled;
};

TAILQ_HEAD(bct_conns, bct_conn);

struct bench_client {
	struct event_base *base;
	struct bench_cluster *cluster;
	const struct bench_workload *workload;
	struct bench_result *results;
	struct bct_submission *submissions; /* one for each job */
	struct bct_conns conns;
	struct bct_conns idle_conns[BENCH_HOSTS_MAX];
	struct event *arrival_timer;
	struct event *probe_timer;
	struct evhttp_connection *probe_conns[BENCH_HOSTS_MAX];
	struct bench_client_counts counts;
	json_t *errors; /* counts of errors by step and code */
	uint64_t start_us;
	uint64_t random_state;
	int next_job; /* first job that has not arrived */
	int nended;
	bool stopping;
};

/* client.c */
/* Creates a request with the Host header; exits on failure. */
struct evhttp_request *bct_new_request(
    void (*done)(struct evhttp_request *, void *), void *arg);
/* Returns the HTTP status, or 0 without a response. */
int bct_response_status(struct evhttp_request *request);

/* balancer.c */
int bct_pick_host(struct bench_client *client);
/* Timer callback: probes the readiness of every host. */
void bct_probe_hosts(evutil_socket_t fd, short what, void *arg);

#endif /* TOOLS_BENCH_CLIENT_INTERNAL_H */
