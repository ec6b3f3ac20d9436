/*
 * Model of the platform's load balancer: probes /readyz of every entry host and
 * routes new submissions only to hosts that are ready.
 */

#include <err.h>
#include <stdlib.h>

#include "client_internal.h"

#define BCT_PROBE_TIMEOUT_S 1

/* Returns a random ready host, or any host if none is ready. */
int
bct_pick_host(struct bench_client *client)
{
	const struct bench_cluster *cluster = client->cluster;
	int nhosts = cluster->params.nhosts;
	int host = (int)(bwl_random(&client->random_state) % (uint64_t)nhosts);
	int i;

	for (i = 0; i < nhosts; i++) {
		if (cluster->hosts[(host + i) % nhosts].ready)
			return (host + i) % nhosts;
	}
	return host;
}

/* Readiness probes */

struct bct_probe {
	struct bench_client *client;
	int host;
};

static void
bct_probe_done(struct evhttp_request *request, void *arg)
{
	struct bct_probe *probe = arg;
	struct bench_host *host = &probe->client->cluster->hosts[probe->host];
	struct bct_conn *conn;
	bool ready = bct_response_status(request) == 200;

	/*
	 * The host's process is ending or has ended. Idle connections to it
	 * cannot be reused, even after a new process has replaced it.
	 */
	if (host->ready && !ready) {
		while ((conn = TAILQ_FIRST(
			    &probe->client->idle_conns[probe->host])) != NULL)
			TAILQ_REMOVE(&probe->client->idle_conns[probe->host],
			    conn, idle_entry);
	}
	host->ready = ready;
	free(probe);
}

void
bct_probe_hosts(evutil_socket_t fd, short what, void *arg)
{
	struct bench_client *client = arg;
	struct evhttp_connection **conn;
	struct evhttp_request *request;
	struct bct_probe *probe;
	int i;

	(void)fd;
	(void)what;
	for (i = 0; i < client->cluster->params.nhosts; i++) {
		conn = &client->probe_conns[i];
		if (*conn != NULL)
			evhttp_connection_free(*conn);
		*conn = evhttp_connection_base_new(client->base, NULL,
		    "127.0.0.1", client->cluster->hosts[i].http_port);
		evhttp_connection_set_timeout(*conn, BCT_PROBE_TIMEOUT_S);
		probe = calloc(1, sizeof(*probe));
		if (probe == NULL)
			err(1, "calloc");
		probe->client = client;
		probe->host = i;
		request = bct_new_request(bct_probe_done, probe);
		(void)evhttp_make_request(*conn, request, EVHTTP_REQ_GET,
		    "/readyz");
	}
}
